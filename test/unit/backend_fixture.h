#ifndef PERIDOT_BACKEND_FIXTURE_H
#define PERIDOT_BACKEND_FIXTURE_H

/* Server with many ways to answer, and a pool, for the tests of the backend
   library.  */

#include "backend.h"
#include "httpserver.h"

#include <glib.h>

#define LOAD "in_flight=2; queued=1; slots=3; cold=1; draining=0; identity=fe"

extern httpserver_t *server;
extern backend_pool_t *pool;
extern int release_fd; /* a number written lets as many /held answer */
extern int written_fd; /* readable after the second answer of /extra-later */

typedef struct answer
{
  GString *body;
  int heads;
  int parts;
  uint32_t status;
  int64_t length;
  bool framing_header;
  int fd; /* written to at the head, unless 0 */
} answer_t;

clock_ms_t now_ms (void);

/* Makes a request with 5 s until its deadline.  */
backend_request_t make_request (const char *method, const char *path,
                                answer_t *answer);

/* Runs a request that needs nothing special.  Return: the body.  */
char *run (const char *method, const char *path, backend_result_t *result);
void assert_end (const char *method, const char *path,
                 decide_attempt_result_t expected);
uint64_t get_idle (void);

/* Opens @count connections, at most 4, at the same time.  */
void open_connections (int count);

/* Ends the server with its connections and starts another one.  */
void replace_server (void);

/* Runs a test with a server and a pool of its own.  */
void with_server (gconstpointer test);

#endif
