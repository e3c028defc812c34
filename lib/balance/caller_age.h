#ifndef PERIDOT_BALANCE_CALLER_AGE_H
#define PERIDOT_BALANCE_CALLER_AGE_H

/* How long ago a caller asked first.  A caller that was refused comes back
   with a new request, and states the time that it has left of the whole: less
   than callers of the route state when they ask first.  Its answer can be in
   time no more, and must not hold up those that can.  */

#include "clock.h"

typedef struct caller_age
{
  clock_ms_t longest; /* time that a caller stated, in this window */
  clock_ms_t before;  /* the same, in the window before */
  clock_ms_t window_at;
} caller_age_t;

/**
 * caller_age_note() - a request arrived
 * @stated: ms for which its caller waits; 0: not stated
 *
 * Return: ms for which the caller has waited at least; 0 for a first request.
 */
clock_ms_t caller_age_note (caller_age_t *age, clock_ms_t stated,
                            clock_ms_t now);

#endif
