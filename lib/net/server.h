#ifndef PERIDOT_NET_SERVER_H
#define PERIDOT_NET_SERVER_H

/* HTTP/1.1 server on an event loop.  Requests that a caller sends behind one
   another are handed on at once and answered in order.  */

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "clock.h"

typedef struct server server_t;
typedef struct connection connection_t;

/* One request and its answer.  */
typedef struct exchange
{
  connection_t *connection; /* NULL once the caller has left */
  char *method;
  char *target;
  GPtrArray *fields; /* names and values in turn */
  GByteArray *body;
  clock_ms_t arrived; /* when its last byte was read */
  void *user;         /* of the handler */

  /* Of the server.  */
  GString *head;
  GByteArray *out;
  size_t sent;
  bool chunked;
  bool begun;   /* the head may be sent */
  bool ended;   /* nothing more will be added */
  bool aborted; /* ends short: the connection is closed */
  bool started; /* the head was put into the connection's output */
  bool last;    /* the connection ends behind it */
  bool no_body; /* the answer to a HEAD request, or a status without body */
} exchange_t;

typedef struct server_hooks
{
  /* A whole request was read.  */
  void (*request) (void *context, exchange_t *exchange);
  /* The caller left before the answer was ended; the exchange stays valid
     until exchange_release().  */
  void (*gone) (void *context, exchange_t *exchange);
  /* The output of a streamed answer was written.  */
  void (*drained) (void *context, exchange_t *exchange);
  void *context;
} server_hooks_t;

typedef struct server_limits
{
  int64_t header_bytes;
  int64_t body_bytes;
  clock_ms_t header_timeout;
  clock_ms_t idle_timeout;
} server_limits_t;

/**
 * server_new() - listen
 * @result: out: 0 or a negative errno
 *
 * Return: the server, or NULL.
 */
server_t *server_new (struct ev_loop *loop, const struct sockaddr_in *address,
                      const server_hooks_t *hooks, int *result);
void server_free (server_t *server);
void server_set_limits (server_t *server, const server_limits_t *limits);

/* From now on each connection ends behind its current answer.  */
void server_drain (server_t *server);
/* Closes the connections that wait for a request.  */
void server_close_idle (server_t *server);
/* Stops accepting.  */
void server_close (server_t *server);
/* Open connections.  */
int server_connections (const server_t *server);

/* Value of a request's header field, or NULL.  */
const char *exchange_field (const exchange_t *exchange, const char *name);

/* ---- Answers ---- */

/**
 * exchange_answer() - answer a request whole
 * @fields: header fields, each ended by CR LF, without Content-Length and
 *   those of one connection; NULL: none
 */
void exchange_answer (exchange_t *exchange, int status, const char *reason,
                      const char *fields, const void *body, size_t length);

/* The same, with a body that is taken over; large ones are not copied.  */
void exchange_answer_with (exchange_t *exchange, int status,
                           const char *reason, const char *fields,
                           GByteArray *body);

/**
 * exchange_begin() - begin an answer that is streamed
 * @length: of the body; negative: unknown, sent in chunks
 */
void exchange_begin (exchange_t *exchange, int status, const char *reason,
                     const char *fields, int64_t length);
void exchange_write (exchange_t *exchange, const void *data, size_t length);
void exchange_end (exchange_t *exchange);
/* Ends a streamed answer short of its length.  */
void exchange_abort (exchange_t *exchange);
/* Bytes of the answer that are not written yet.  */
size_t exchange_pending (const exchange_t *exchange);

/* Frees an exchange whose caller has left.  */
void exchange_release (exchange_t *exchange);

#endif
