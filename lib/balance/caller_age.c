#include "caller_age.h"

#include <glib.h>

/* The longest timeout is forgotten after one to two windows.  */
#define WINDOW_MS 10000
/* First requests of a route state at least this share of its longest timeout:
   the timeouts of some clients are shorter by a sixth.  */
#define FIRST_REQUEST_SHARE 0.8

clock_ms_t
caller_age_update (caller_age_t *age, clock_ms_t stated_timeout,
                   clock_ms_t now)
{
  clock_ms_t longest;

  if (stated_timeout <= 0)
    return 0;
  if (now - age->window_start >= WINDOW_MS)
    {
      age->previous_longest = now - age->window_start < 2 * WINDOW_MS
                                  ? age->longest
                                  : stated_timeout;
      age->longest = 0;
      age->window_start = now;
    }
  age->longest = MAX (age->longest, stated_timeout);
  longest = MAX (age->longest, age->previous_longest);
  return MAX (
      (clock_ms_t)((double)longest * FIRST_REQUEST_SHARE) - stated_timeout, 0);
}
