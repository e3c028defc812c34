#ifndef PERIDOT_BALANCE_ADMISSION_H
#define PERIDOT_BALANCE_ADMISSION_H

/* Admission control: decides whether a request is sent to an endpoint now,
   waits at this instance, or is refused.  */

#include "decide.h"
#include "estimate.h"

/* Properties of a request on which admission decisions depend.  Points in time
   are in ms as returned by clock_now().  */
typedef struct admission_request
{
  bool urgent; /* the request's route has a higher priority than some other
                  route */
  clock_ms_t first_requested_at; /* estimated time at which the client first
                                    sent the request, to any instance */
  clock_ms_t waiting_since; /* time of arrival or, after a failed attempt, time
                               of that failure */
  clock_ms_t target; /* target response time: ms from @first_requested_at until
                        the client should have the response */
  clock_ms_t response_deadline; /* time by which this instance must have the
                                   response, to return it in time */
  double service_time_ms; /* ms that the request takes at an idle endpoint,
                             from estimate_service_time() */
} admission_request_t;

typedef enum admission_decision
{
  ADMISSION_SEND,
  ADMISSION_WAIT,
  ADMISSION_REFUSE
} admission_decision_t;

/**
 * admission_decide() - decide whether a request is sent, waits or is refused
 * @load: load of the endpoint to which the request would be sent; NULL if
 *   there is no such endpoint
 * @expected_response_ms: expected response time at that endpoint, in ms;
 *   ignored if @load is NULL
 */
admission_decision_t admission_decide (const admission_request_t *request,
                                       const backend_load_t *load,
                                       double expected_response_ms,
                                       clock_ms_t now);

/* Whether the time left until the response deadline is too short for any
   endpoint to respond.  */
bool admission_is_infeasible (const admission_request_t *request,
                              clock_ms_t now);

/* Returns the longest time in ms from now that the request may wait for an
   endpoint, as far as admission_decide() lets it; at least 0.  */
clock_ms_t admission_patience_ms (const admission_request_t *request,
                                  clock_ms_t now);

/* Whether the client could have the response within the target response time
   if an idle endpoint got the request now.  */
bool admission_can_meet_target (const admission_request_t *request,
                                clock_ms_t now);

/* Whether the waiting request @a has to be served before @b.  Requests that
   can still meet their target come first, then urgent ones, then those with
   the earliest target.  */
bool admission_has_precedence (const admission_request_t *a,
                               const admission_request_t *b, clock_ms_t now);

/**
 * admission_retry_after_ms() - compute the delay after which a refused client
 * should retry
 * @was_shed: true: an endpoint with free slots rejected the request, and may
 *   accept a retry at once; false: all endpoints are busy until a running
 *   request ends
 * @service_time_ms: service time in ms, from estimate_service_time()
 *
 * Return: ms, with jitter, so that clients refused together do not retry
 * together.
 */
clock_ms_t admission_retry_after_ms (bool was_shed, double service_time_ms,
                                     decide_rng_t *rng);

#endif
