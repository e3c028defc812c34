#ifndef PERIDOT_HTTPSERVER_H
#define PERIDOT_HTTPSERVER_H

/* Server for tests that can misbehave: the handler writes the answer to the
   socket itself.  One thread for each connection.  */

#include <stdbool.h>
#include <stddef.h>

typedef struct httpserver httpserver_t;

typedef struct httpserver_request
{
  int fd;
  int connection; /* number of the connection, from 1 */
  int number;     /* number of the request on its connection, from 1 */
  char method[16];
  char path[256];
  const char *text; /* request line and headers */
  const char *body;
  size_t body_length;
} httpserver_request_t;

/* Return: whether the connection is kept.  */
typedef bool (*httpserver_handler_t) (void *context,
                                      const httpserver_request_t *request);

httpserver_t *httpserver_start (httpserver_handler_t handler, void *context);
/* Closes all connections and waits for their threads.  */
void httpserver_stop (httpserver_t *server);
const char *httpserver_get_address (const httpserver_t *server);

/* Waits until @count requests for @path have been read.  Return: the count
   after at most 5 s.  */
int httpserver_wait (httpserver_t *server, const char *path, int count);
int httpserver_get_count (httpserver_t *server, const char *path);

/* Waits until @count connections have been closed by the client.  */
int httpserver_wait_closed (httpserver_t *server, int count);

/* Writes formatted text to a connection.  */
void httpserver_write (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Blocks until the client closes the connection.  */
void httpserver_drain (int fd);

#endif
