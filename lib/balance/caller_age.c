#include "caller_age.h"

#include <glib.h>

/* Longest stated times are forgotten after one to two windows.  */
#define WINDOW_MS 10000
/* First requests of a route's callers state at least this share of the longest
   time: some of the users' callers are patient for a sixth less.  */
#define FIRST_SHARE 0.8

clock_ms_t
caller_age_note (caller_age_t *age, clock_ms_t stated, clock_ms_t now)
{
  clock_ms_t longest;

  if (stated <= 0)
    return 0;
  if (now - age->window_at >= WINDOW_MS)
    {
      age->before
          = now - age->window_at < 2 * WINDOW_MS ? age->longest : stated;
      age->longest = 0;
      age->window_at = now;
    }
  age->longest = MAX (age->longest, stated);
  longest = MAX (age->longest, age->before);
  return MAX ((clock_ms_t)((double)longest * FIRST_SHARE) - stated, 0);
}
