#ifndef PERIDOT_NET_SERVER_H
#define PERIDOT_NET_SERVER_H

/* HTTP/1.1 server on an event loop.  Pipelined requests of a connection are
   passed to the handler as they arrive; their responses are sent in the order
   of the requests.  */

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "clock.h"
#include "holdings.h"

typedef struct server server_t;
typedef struct connection connection_t;

/* A request and its response.  */
typedef struct exchange
{
  connection_t *connection; /* NULL after the client has disconnected */
  char *method;
  char *target;      /* request target (path and query), as received */
  GPtrArray *fields; /* char *; alternating names and values of the request's
                        header fields */
  GByteArray *body;  /* request body */
  clock_ms_t arrived_at; /* ms; when the last byte of the request was read */
  void *user; /* data of the request handler, not used by the server */

  /* Private to the server.  */
  server_t *body_owner; /* server whose memory for bodies @body uses; NULL:
                           none */
  size_t body_bytes;    /* bytes of that memory */
  size_t head_bytes;    /* bytes of @target and @fields as received */
  GList body_link;      /* in the server's @bodies */
  GString *head;        /* response head: status line and header fields */
  GByteArray *output;   /* encoded part of the response body that was not moved
                           to the connection's output yet */
  size_t sent;          /* unused */
  bool chunked;         /* the response uses chunked transfer coding */
  bool response_started; /* @head is set and may be sent */
  bool response_ended;   /* the handler has written the whole response */
  bool response_aborted; /* the handler has aborted the response; the
                            connection is closed after what was written */
  bool head_queued;      /* @head was moved to the connection's output */
  bool close_after;      /* the connection is closed after the response */
  bool no_body; /* the response has no body, because the request is HEAD or
                   because of its status */
} exchange_t;

/* Callbacks of the server.  */
typedef struct server_hooks
{
  /* Called when a whole request was read.  The handler has to respond to it,
     at once or later.  */
  void (*request) (void *context, exchange_t *exchange);
  /* Called when the connection was closed before the response was complete.
     The exchange stays valid until it is released with exchange_release() or
     its response ends.  */
  void (*disconnected) (void *context, exchange_t *exchange);
  /* Called when everything that was written so far of the oldest unfinished
     response has been passed to the socket, so that the handler can write
     more; may be NULL.  */
  void (*output_drained) (void *context, exchange_t *exchange);
  void *context; /* first argument of the callbacks */
} server_hooks_t;

/* Limits for requests and connections.  Requests that exceed them are rejected
   with an error response.  */
typedef struct server_limits
{
  int64_t header_bytes; /* greatest size of a request's target and header
                           fields together */
  int64_t body_bytes;   /* greatest size of a request body */
  /* ms; an incomplete request is rejected if it began at least this time ago
     and its head is not complete, or the client has sent nothing for this
     time.  */
  clock_ms_t header_timeout;
  clock_ms_t idle_timeout; /* ms; a connection without a request, or whose
                              client reads nothing of a response, is closed
                              after this time */
} server_limits_t;

/**
 * server_new() - listen on an address and accept connections
 * @address: IPv4 address and TCP port
 * @hooks: callbacks; copied
 * @result: out: 0 or a negative errno
 *
 * Return: the server, or NULL if @result is not 0.
 */
server_t *server_new (struct ev_loop *loop, const struct sockaddr_in *address,
                      const server_hooks_t *hooks, int *result);
/* Closes the listening socket and all connections, and frees the server.  */
void server_free (server_t *server);
/* Replaces the limits, also for open connections.  If the idle timeout becomes
   shorter, the open connections keep the old timeout until a time of its
   length has passed since the change.  */
void server_set_limits (server_t *server, const server_limits_t *limits);

/* Sets what the connections of several servers hold together, and its limits;
   must be called before the first connection.  Its @close is set.  */
void server_set_holdings (server_t *server, holdings_t *holdings);
/* Limits the memory that request bodies take together, apart from small ones;
   0: no limit.  A body for which there is no memory is not read until other
   requests have ended; after a short time its request is refused.  */
void server_set_body_memory (server_t *server, size_t bytes);

/* Starts a graceful shutdown: from now on each connection is closed after the
   response to its last pending request.  Idle connections stay open until
   server_close_idle().  */
void server_drain (server_t *server);
/* Closes the connections on which no request is being received or
   processed.  */
void server_close_idle (server_t *server);
/* Closes the listening socket; open connections are kept.  */
void server_stop_accepting (server_t *server);
/* Number of open connections.  */
int server_connection_count (const server_t *server);

/* Value of the first request header field of this name, or NULL.  */
const char *exchange_header_value (const exchange_t *exchange,
                                   const char *name);

/* ---- Responses ---- */

/**
 * exchange_respond() - send a complete response
 * @fields: header fields, each ended by CR LF, without Content-Length and
 *   connection-specific fields; NULL: none
 */
void exchange_respond (exchange_t *exchange, int status, const char *reason,
                       const char *fields, const void *body, size_t length);

/* Like exchange_respond(), but takes ownership of the body; large bodies are
   not copied.  */
void exchange_respond_take (exchange_t *exchange, int status,
                            const char *reason, const char *fields,
                            GByteArray *body);

/**
 * exchange_start_response() - start a streamed response
 * @fields: as for exchange_respond()
 * @length: bytes in the body; negative: unknown, the body is sent in chunks
 */
void exchange_start_response (exchange_t *exchange, int status,
                              const char *reason, const char *fields,
                              int64_t length);
/* Appends data to the body of a streamed response.  */
void exchange_write_body (exchange_t *exchange, const void *data,
                          size_t length);
/* Completes a streamed response.  */
void exchange_end_response (exchange_t *exchange);
/* Stops a streamed response in the middle and closes the connection, so that
   the client detects that the response is incomplete.  */
void exchange_abort_response (exchange_t *exchange);
/* Number of bytes written to the response that were not passed to the socket
   yet.  */
size_t exchange_unsent_bytes (const exchange_t *exchange);

/* Frees an exchange whose client has disconnected.  */
void exchange_release (exchange_t *exchange);

#endif
