#ifndef PERIDOT_NET_SERVER_PRIVATE_H
#define PERIDOT_NET_SERVER_PRIVATE_H

#include <http_parser.h>

#include "server.h"

struct server
{
  struct ev_loop *loop;
  server_hooks_t hooks;
  server_limits_t limits;
  clock_ms_t idle_before; /* idle timeout before it was shortened */
  clock_ms_t shortened_at;
  int fd;
  ev_io acceptor;
  ev_timer accept_pause;
  ev_prepare cleaner;
  GQueue connections;
  GQueue dead; /* connection_t * that are freed by the cleaner */
  bool draining;
};

struct connection
{
  server_t *server;
  GList link;
  int fd;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  http_parser parser;
  GByteArray *in; /* read while too many requests are waiting */
  GByteArray *out;
  GByteArray *tail; /* a large body, sent behind it; NULL: none */
  size_t out_sent;
  GQueue exchanges; /* in the order of their requests */
  exchange_t *reading;
  GString *name;
  GString *value;
  bool in_value;
  size_t header_bytes;
  bool closing;   /* no further request is read */
  bool cut;       /* an answer ended short; nothing may follow it */
  bool lingering; /* answered and shut down; reads until the caller closes */
  bool dead;      /* closed; freed at the next turn of the loop */
  clock_ms_t opened_at;
  clock_ms_t active_at;
  clock_ms_t request_began; /* 0: between requests */
};

void connection_flush (connection_t *connection);
void connection_resume (connection_t *connection);
void connection_close (connection_t *connection);
void exchange_free (exchange_t *exchange);

#endif
