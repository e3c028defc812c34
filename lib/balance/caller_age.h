#ifndef PERIDOT_BALANCE_CALLER_AGE_H
#define PERIDOT_BALANCE_CALLER_AGE_H

/* Estimates how long ago a client made its first request.  A client that was
   refused retries with a new request, whose timeout is only the time that the
   client has left.  A retry is therefore recognised by a timeout shorter than
   those of first requests on the same route.  The estimate is needed because
   the target response time counts from the client's first request: a retry
   that can no longer meet its target must not delay requests that can.  */

#include "clock.h"

/* Longest timeouts that requests of one route have stated.  */
typedef struct caller_age
{
  clock_ms_t longest_timeout; /* longest timeout in the current window, ms; see
                                 WINDOW_MS */
  clock_ms_t previous_longest_timeout; /* longest timeout in the previous
                                          window, ms */
  clock_ms_t window_start; /* time at which the current window began */
} caller_age_t;

/**
 * caller_age_update() - record a request's timeout and estimate how long ago
 * its client made its first request
 * @timeout_history: longest timeouts of the request's route; updated
 * @stated_timeout: ms that the client waits for a response; 0: not stated
 *
 * Return: lower bound in ms of the time since the client's first request; 0
 * for a first request.
 */
clock_ms_t caller_age_update (caller_age_t *timeout_history,
                              clock_ms_t stated_timeout, clock_ms_t now);

#endif
