/* Planned stop: callers are sent elsewhere first, then what is left is
   answered, then the process ends.  */

#include "instance_private.h"

/* Callers that keep an answer of the directory three times as long as told
   still use this instance until then.  */
#define CALLERS_MOVE_MS 3000
/* Quiet time at the end, for connections that were accepted last.  */
#define QUIET_MS 200
/* The process ends this long before it would be killed.  */
#define BEFORE_KILL_MS 400

void
stop_begin (instance_t *instance, clock_ms_t now)
{
  if (instance->stop_at != 0)
    return;
  instance->stop_at = now;
  g_message ("stopping: %d requests in flight",
             proxy_in_flight (instance->proxy));
  relay_set_ready (instance->relay, false);
  server_drain (instance->callers);
}

void
stop_tick (instance_t *instance, clock_ms_t now)
{
  clock_ms_t since = now - instance->stop_at;
  bool over = since >= instance->settings.stop_within - BEFORE_KILL_MS;

  if (instance->stop_at == 0)
    return;
  if (since >= CALLERS_MOVE_MS && !instance->closed_idle)
    {
      /* Requests that take longer than what is left would be cut.  */
      instance->closed_idle = true;
      proxy_refuse_new (instance->proxy);
      server_close_idle (instance->callers);
    }
  if (!over
      && (since < CALLERS_MOVE_MS + QUIET_MS
          || proxy_in_flight (instance->proxy) > 0
          || server_connections (instance->callers) > 0))
    return;
  g_message ("stopped: %d requests in flight are left",
             proxy_in_flight (instance->proxy));
  ev_break (instance->loop, EVBREAK_ALL);
}
