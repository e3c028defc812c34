#include "caller_age.h"

#include <glib.h>

/* Length of the windows over which the longest timeout is tracked.  A timeout
   counts until the end of the window after its own, that is, for one to two
   windows.  */
#define WINDOW_MS 10000
/* Smallest timeout of a first request, as a share of the longest timeout of
   its route.  It is below 1 because the timeouts of some clients are shorter
   by a sixth.  */
#define FIRST_REQUEST_TIMEOUT_MIN_SHARE 0.8

clock_ms_t
caller_age_update (caller_age_t *age, clock_ms_t stated_timeout,
                   clock_ms_t now)
{
  clock_ms_t longest_timeout;

  if (stated_timeout <= 0)
    return 0;
  if (now - age->window_start >= WINDOW_MS)
    {
      age->previous_longest_timeout = now - age->window_start < 2 * WINDOW_MS
                                          ? age->longest_timeout
                                          : stated_timeout;
      age->longest_timeout = 0;
      age->window_start = now;
    }
  age->longest_timeout = MAX (age->longest_timeout, stated_timeout);
  longest_timeout = MAX (age->longest_timeout, age->previous_longest_timeout);
  return MAX (
      (clock_ms_t)((double)longest_timeout * FIRST_REQUEST_TIMEOUT_MIN_SHARE)
          - stated_timeout,
      0);
}
