#ifndef PERIDOT_NET_SERVER_PRIVATE_H
#define PERIDOT_NET_SERVER_PRIVATE_H

#include <http_parser.h>

#include "server.h"

struct server
{
  struct ev_loop *loop;
  server_hooks_t hooks;
  server_limits_t limits;
  clock_ms_t previous_idle_timeout; /* ms, before it was last shortened */
  clock_ms_t idle_timeout_shortened_at;
  int fd; /* listening socket; -1: closed */
  ev_io accept_watcher;
  ev_timer accept_retry_timer;
  ev_prepare cleanup_watcher;
  GQueue connections;
  GQueue closed; /* connection_t *, freed by @cleanup_watcher */
  bool draining;
};

struct connection
{
  server_t *server;
  GList link; /* in the server's @connections or @closed */
  int fd;
  ev_io read_watcher;
  ev_io write_watcher;
  ev_timer timeout_timer;
  http_parser parser;
  GByteArray *pending_input; /* not parsed yet: the pipeline is full */
  GByteArray *output;        /* bytes to send */
  GByteArray *output_body;   /* large body to send after @output; NULL: none */
  size_t output_sent;        /* bytes of @output that were sent */
  GQueue exchanges;          /* exchange_t *, in the order of their requests */
  exchange_t *incoming;      /* its request is being received; NULL: none */
  GString *field_name;       /* of the header field that is being parsed */
  GString *field_value;
  bool in_value;          /* parsing @field_value, not @field_name */
  size_t header_bytes;    /* size of the target and header fields so far */
  bool closing;           /* no further request is read */
  bool truncated;         /* a response ended short; nothing may follow it */
  bool lingering;         /* sending is shut down; input is discarded */
  bool closed;            /* freed in the next iteration of the event loop */
  clock_ms_t accepted_at; /* when the connection was accepted */
  clock_ms_t last_activity_at;   /* when bytes were last read or sent */
  clock_ms_t request_started_at; /* 0: between requests */
};

/* Sends pending output of the responses, in order, as far as the socket takes
   it.  Closes the connection when its last response is sent.  */
void connection_flush (connection_t *connection);
/* Parses pending input once the pipeline has room again.  */
void connection_resume (connection_t *connection);
/* Closes the socket at once; the memory is freed later.  Calls the
   disconnected hook for each request whose response is incomplete.  */
void connection_close (connection_t *connection);
void exchange_free (exchange_t *exchange);

#endif
