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
/* Time for the clients to get the responses to the requests that are ended
   then.  */
#define LAST_RESPONSES_MS 100

void
stop_begin (instance_t *instance, clock_ms_t now)
{
  if (instance->stop_began_at != 0)
    return;
  instance->stop_began_at = now;
  instance->stop_ends_at
      = now + MAX (instance->settings.stop_timeout - KILL_MARGIN_MS, 0);
  proxy_stop (instance->proxy, now + ADDRESSES_EXPIRE_MS,
              instance->stop_ends_at - LAST_RESPONSES_MS);
  g_message ("stopping: %d requests in flight",
             proxy_count_in_flight (instance->proxy));
  relay_set_ready (instance->relay, false);
  server_drain (instance->client_server);
}

void
stop_tick (instance_t *instance, clock_ms_t now)
{
  clock_ms_t elapsed = now - instance->stop_began_at;
  bool deadline_reached = now >= instance->stop_ends_at;
  bool ends_requests = now >= instance->stop_ends_at - LAST_RESPONSES_MS;

  if (instance->stop_began_at == 0)
    return;
  if ((elapsed >= ADDRESSES_EXPIRE_MS || ends_requests)
      && !instance->idle_connections_closed)
    {
      instance->idle_connections_closed = true;
      server_close_idle (instance->client_server);
    }
  if (ends_requests && !instance->requests_ended)
    {
      instance->requests_ended = true;
      g_message ("stopping: %d requests in flight are ended",
                 proxy_count_in_flight (instance->proxy));
      proxy_end_requests (instance->proxy);
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
