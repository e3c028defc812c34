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
  bool urgent; /* the route's priority is not the lowest of all routes */
  clock_ms_t first_requested_at; /* estimated time of the client's first
                                    attempt at any instance */
  clock_ms_t waiting_since;      /* time of arrival, or of the end of the last
                                    failed attempt */
  clock_ms_t target; /* time by which the client should have the response, in
                        ms after @first_requested_at */
  clock_ms_t response_deadline; /* time by which the response must be ready to
                                   reach the client in time */
  double service_time_ms; /* time that the request takes at an idle endpoint,
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
 * @load: load of the endpoint that the request may be sent to; NULL if no
 *   endpoint responded to a probe
 * @expected_response_ms: expected response time at that endpoint, in ms
 */
admission_decision_t admission_decide (const admission_request_t *request,
                                       const backend_load_t *load,
                                       double expected_response_ms,
                                       clock_ms_t now);

/* Whether no endpoint can answer the request before its deadline, because the
   time that is left is too short.  */
bool admission_is_infeasible (const admission_request_t *request,
                              clock_ms_t now);

/* Whether the request can still be answered within its target.  */
bool admission_can_meet_target (const admission_request_t *request,
                                clock_ms_t now);

/* Whether the waiting request @a has to be served before @b.  */
bool admission_has_precedence (const admission_request_t *a,
                               const admission_request_t *b, clock_ms_t now);

/**
 * admission_retry_after_ms() - compute the delay after which a refused client
 * should retry
 * @was_shed: an endpoint rejected the request although it had free slots, and
 *   may accept it at once; if false, all endpoints are busy until a running
 *   request ends
 * @service_time_ms: service time in ms, from estimate_service_time()
 *
 * Return: ms, with jitter, so that clients refused together do not retry
 * together.
 */
clock_ms_t admission_retry_after_ms (bool was_shed, double service_time_ms,
                                     decide_rng_t *rng);

#endif
