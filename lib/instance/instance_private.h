#ifndef PERIDOT_INSTANCE_PRIVATE_H
#define PERIDOT_INSTANCE_PRIVATE_H

#include "instance.h"

struct instance
{
  struct ev_loop *loop;
  instance_settings_t settings;
  instance_hooks_t hooks;
  backends_t *backends;
  proxy_t *proxy;
  view_t *view;
  members_t *members;
  reader_t reader;
  feed_t *feed;
  relay_t *relay;
  rollout_control_t *rollout_control;
  holdings_t holdings; /* what clients make the servers hold */
  server_t *client_server;
  server_t *ready_server;
  server_t *addresses_server;
  server_t *metrics_server;
  ev_timer tick_timer; /* calls the periodic functions of the components */
  ev_signal sigterm_watcher;
  ev_signal sigint_watcher;
  ev_signal sighup_watcher;
  clock_ms_t stop_began_at; /* ms; when SIGTERM or SIGINT was received; 0: the
                               instance is not shutting down */
  clock_ms_t stop_ends_at;  /* ms; the process ends then at the latest */
  bool idle_connections_closed; /* the shutdown has closed idle connections */
  bool requests_ended;          /* it has ended the requests in flight */
  ev_check iteration_watcher;   /* detects pauses of the process */
  clock_ms_t last_iteration_at; /* ms; when the event loop last began to call
                                   callbacks */
  clock_ms_t held_since; /* ms; when requests began to be held after a pause;
                            0: they are not held */
  clock_ms_t settings_checked_at; /* ms; when have_settings_changed() was last
                                     called */
};

/* ---- stop.c ---- */

/* Starts the graceful shutdown, unless it has begun already.  */
void stop_begin (instance_t *instance, clock_ms_t now);
/* Continues a shutdown that has begun, and ends the event loop when the
   shutdown is complete.  The function has to be called on every tick.  */
void stop_tick (instance_t *instance, clock_ms_t now);

/* ---- pause.c ---- */

/* Starts to detect pauses of the process, after which requests are held.  */
void pause_start_watching (instance_t *instance);
/* Releases held requests when this instance knows what has changed.  The
   function has to be called on every tick, and when the view changes.  */
void pause_tick (instance_t *instance, clock_ms_t now);

#endif
