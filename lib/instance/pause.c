/* Detection of pauses of the process or its machine.  What an instance knows
   after a pause is as old as the pause, and requests that arrived meanwhile
   wait at its sockets.  They are held until the instance has heard what
   changed, so that none goes where none may go any more.  */

#include "instance_private.h"

/* Time between two iterations of the event loop from which on the process
   counts as paused.  The loop's own timer expires every 50 ms; the shortest
   time in which other instances may have to act on a change is two
   seconds.  */
#define PAUSE_MIN_MS 1000
/* Longest time for which requests are held.  While nobody can tell what has
   changed, as during an outage of the store or a cut, instances serve with
   what they know.  */
#define HOLD_MAX_MS 500

static void on_iteration (struct ev_loop *loop, ev_check *watcher, int events);

void
pause_start_watching (instance_t *instance)
{
  instance->last_iteration_at = clock_now ();
  ev_check_init (&instance->iteration_watcher, on_iteration);
  instance->iteration_watcher.data = instance;
  /* Called before the callbacks that read requests in the same iteration.  */
  ev_set_priority (&instance->iteration_watcher, EV_MAXPRI);
  ev_check_start (instance->loop, &instance->iteration_watcher);
}

static void
on_iteration (struct ev_loop *loop, ev_check *watcher, int events)
{
  instance_t *instance = watcher->data;
  clock_ms_t now = clock_now ();
  clock_ms_t gap = now - instance->last_iteration_at;

  (void)loop;
  (void)events;
  instance->last_iteration_at = now;
  if (gap < PAUSE_MIN_MS)
    return;
  g_message ("paused for %" G_GINT64_FORMAT
             " ms; requests wait until changes are known",
             gap);
  instance->held_since = now;
  proxy_hold (instance->proxy, true);
  relay_start_anew (instance->relay, now);
}

void
pause_tick (instance_t *instance, clock_ms_t now)
{
  clock_ms_t held_for = now - instance->held_since;
  bool is_current = instance->view->synced_at > instance->held_since
                    && relay_has_announced_config (instance->relay);

  if (instance->held_since == 0 || (!is_current && held_for < HOLD_MAX_MS))
    return;
  g_message ("requests are served again after %" G_GINT64_FORMAT " ms%s",
             held_for,
             is_current ? "" : ", though no other instance has answered");
  instance->held_since = 0;
  proxy_hold (instance->proxy, false);
}
