#include "caller_age.h"

#include <glib.h>

/* Length of the windows over which the longest timeout is tracked.  A timeout
   counts until the end of the window that follows the one in which it was
   stated, that is, for one to two window lengths.  */
#define WINDOW_MS 10000
/* Smallest timeout of a first request, as a share of the longest timeout of
   its route.  It is below 1 because the timeouts of some clients are shorter
   by a sixth.  */
#define FIRST_REQUEST_TIMEOUT_MIN_SHARE 0.8

clock_ms_t
caller_age_update (caller_age_t *timeout_history, clock_ms_t stated_timeout,
                   clock_ms_t now)
{
  clock_ms_t longest_timeout;

  if (stated_timeout <= 0)
    return 0;
  if (now - timeout_history->window_start >= WINDOW_MS)
    {
      timeout_history->previous_longest_timeout
          = now - timeout_history->window_start < 2 * WINDOW_MS
                ? timeout_history->longest_timeout
                : stated_timeout;
      timeout_history->longest_timeout = 0;
      timeout_history->window_start = now;
    }
  timeout_history->longest_timeout
      = MAX (timeout_history->longest_timeout, stated_timeout);
  longest_timeout = MAX (timeout_history->longest_timeout,
                         timeout_history->previous_longest_timeout);
  return MAX (
      (clock_ms_t)((double)longest_timeout * FIRST_REQUEST_TIMEOUT_MIN_SHARE)
          - stated_timeout,
      0);
}
