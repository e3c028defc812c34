/* Graceful shutdown.  The instance first reports that it is not ready, so that
   clients move to other instances, then waits until no request is in flight
   and all connections of clients are closed, then ends the process.  */

#include "instance_private.h"

/* Time after the start of the shutdown during which clients may still use this
   instance, because some cache a response of the directory three times as long
   as ADDRESSES_TTL_MS.  */
#define ADDRESSES_EXPIRE_MS 3000
/* Time after ADDRESSES_EXPIRE_MS for requests on the connections that were
   accepted last.  */
#define LAST_ACCEPTED_GRACE_MS 200
/* The process ends this long before SIGKILL is expected, even if requests are
   still in flight.  */
#define KILL_MARGIN_MS 400

void
stop_begin (instance_t *instance, clock_ms_t now)
{
  if (instance->stop_began_at != 0)
    return;
  instance->stop_began_at = now;
  g_message ("stopping: %d requests in flight",
             proxy_count_in_flight (instance->proxy));
  relay_set_ready (instance->relay, false);
  server_drain (instance->client_server);
}

void
stop_tick (instance_t *instance, clock_ms_t now)
{
  clock_ms_t elapsed = now - instance->stop_began_at;
  bool deadline_reached
      = elapsed >= instance->settings.stop_timeout - KILL_MARGIN_MS;

  if (instance->stop_began_at == 0)
    return;
  if (elapsed >= ADDRESSES_EXPIRE_MS && !instance->idle_connections_closed)
    {
      /* New requests are refused, because a request that takes longer than the
         time left would be aborted.  */
      instance->idle_connections_closed = true;
      proxy_refuse_new (instance->proxy);
      server_close_idle (instance->client_server);
    }
  if (!deadline_reached
      && (elapsed < ADDRESSES_EXPIRE_MS + LAST_ACCEPTED_GRACE_MS
          || proxy_count_in_flight (instance->proxy) > 0
          || server_connection_count (instance->client_server) > 0))
    return;
  g_message ("stopped: %d requests still in flight",
             proxy_count_in_flight (instance->proxy));
  ev_break (instance->loop, EVBREAK_ALL);
}
