#ifndef PERIDOT_INSTANCE_PRIVATE_H
#define PERIDOT_INSTANCE_PRIVATE_H

#include "instance.h"

struct instance
{
  struct ev_loop *loop;
  instance_settings_t settings;
  instance_calls_t calls;
  backends_t *backends;
  proxy_t *proxy;
  view_t *view;
  members_t *members;
  reader_t reader;
  feed_t *feed;
  relay_t *relay;
  server_t *callers;
  server_t *ready;
  server_t *addresses;
  server_t *metrics;
  ev_timer tick;
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_hup;
  clock_ms_t stop_at; /* SIGTERM came; 0: not stopping */
  bool closed_idle;
  clock_ms_t checked_at; /* last look at the settings */
};

/* ---- stop.c ---- */
void stop_begin (instance_t *instance, clock_ms_t now);
void stop_tick (instance_t *instance, clock_ms_t now);

#endif
