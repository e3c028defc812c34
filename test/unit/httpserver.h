#ifndef PERIDOT_HTTPSERVER_H
#define PERIDOT_HTTPSERVER_H

/* HTTP server for tests.  The handler writes the response to the socket
   itself, so that it can also violate the protocol.  Each connection has a
   thread.  */

#include <stdbool.h>
#include <stddef.h>

typedef struct httpserver httpserver_t;

typedef struct httpserver_request
{
  int fd;         /* socket of the connection */
  int connection; /* number of the connection, from 1 */
  int number;     /* number of the request on its connection, from 1 */
  char method[16];
  char path[256];
  const char *text; /* request line and headers */
  const char *body;
  size_t body_length;
} httpserver_request_t;

/* Handles one request.  Return: whether the connection is kept open.  */
typedef bool (*httpserver_handler_t) (void *context,
                                      const httpserver_request_t *request);

/* Starts a server on a free port of the loopback address.  */
httpserver_t *httpserver_start (httpserver_handler_t handler, void *context);
/* Closes all connections and waits for their threads.  */
void httpserver_stop (httpserver_t *server);
/* Return: the address as IP:PORT.  */
const char *httpserver_get_address (const httpserver_t *server);

/* Waits at most 5 s until @count requests for @path have been received.
   Return: the number of requests received.  */
int httpserver_wait_requests (httpserver_t *server, const char *path,
                              int count);
/* Return: the number of requests received for @path.  */
int httpserver_get_request_count (httpserver_t *server, const char *path);

/* Waits at most 5 s until @count connections have ended, because the client
   closed them or the handler returned false.  Return: the number of
   connections that have ended.  */
int httpserver_wait_closed (httpserver_t *server, int count);

/* Writes formatted text to a connection.  */
void httpserver_write (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Discards received data until the client closes the connection.  */
void httpserver_drain (int fd);

#endif
