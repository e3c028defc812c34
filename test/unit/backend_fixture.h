#ifndef PERIDOT_BACKEND_FIXTURE_H
#define PERIDOT_BACKEND_FIXTURE_H

/* Fixture of the tests of lib/backend: a connection pool and a server whose
   response depends on the path of the request.  */

#include "backend.h"
#include "httpserver.h"

#include <glib.h>

/* Value of the Server-Load header that the server sends.  */
#define SERVER_LOAD_VALUE                                                     \
  "in_flight=2; queued=1; slots=3; cold=1; draining=0; identity=fe"

extern httpserver_t *server;
extern backend_pool_t *pool;
/* Eventfd on which the server waits before it sends a response to /held or the
   second response to /extra-later; writing N releases N responses.  */
extern int release_fd;
/* Eventfd that becomes readable when the server has sent the second response
   to /extra-later.  */
extern int written_fd;
/* Line that the server sends in the head of its response to /field.  */
extern const char *response_field;

/* Received response, filled in by the callbacks that make_request() sets.  */
typedef struct response
{
  GString *body;
  int on_head_calls; /* number of calls of on_head() */
  int on_body_calls; /* number of calls of on_body() */
  uint32_t status;
  int64_t stated_length; /* Content-Length in bytes; -1 if chunked */
  /* Whether on_head() received a Content-Length or Transfer-Encoding
     header.  */
  bool has_framing_header;
  int fd; /* unused, 0 */
} response_t;

/* Return: the time of CLOCK_BOOTTIME in ms.  */
clock_ms_t now_ms (void);

/* Prepares a request with a deadline in 5 s, and initialises @response.  */
backend_request_t make_request (const char *method, const char *path,
                                response_t *response);

/* Runs a request that make_request() prepares.  Return: the body, to be freed
   by the caller.  */
char *run_request (const char *method, const char *path,
                   backend_result_t *result);
/* Runs a request and asserts its result.  */
void assert_result (const char *method, const char *path,
                    decide_attempt_result_t expected);
/* Return: the number of idle connections in the pool.  */
uint64_t get_idle_count (void);

/* Opens @count connections, at most 4, by concurrent requests.  */
void open_connections (int count);

/* Stops the server, closes its connections and starts another server.  */
void replace_server (void);

/* Runs the function @test with a new server and a new pool.  */
void with_server (gconstpointer test);

#endif
