#ifndef PERIDOT_BALANCE_CALLER_AGE_H
#define PERIDOT_BALANCE_CALLER_AGE_H

/* Estimates how long ago a client made its first request.  A client that was
   refused retries with a new request and states as timeout the time that it
   has left, which is less than first requests of the route state.  A retry can
   no longer be answered within the target, and must not delay requests that
   can.  */

#include "clock.h"

typedef struct caller_age
{
  clock_ms_t longest;          /* longest timeout stated in this window, ms */
  clock_ms_t previous_longest; /* longest timeout of the window before, ms */
  clock_ms_t window_start;
} caller_age_t;

/**
 * caller_age_update() - record a request and estimate the age of its client
 * @stated_timeout: ms that the client waits for a response; 0: not stated
 *
 * Return: ms that the client has waited at least; 0 for a first request.
 */
clock_ms_t caller_age_update (caller_age_t *age, clock_ms_t stated_timeout,
                              clock_ms_t now);

#endif
