#ifndef PERIDOT_BALANCE_ADMISSION_H
#define PERIDOT_BALANCE_ADMISSION_H

/* Admission control: decides whether a request is sent to an endpoint now,
   waits at this instance, or is refused.  */

#include "decide.h"
#include "estimate.h"

typedef struct admission_request
{
  bool urgent; /* other routes of the services have a lower priority */
  clock_ms_t
      first_requested_at;   /* the client's first attempt, at any instance */
  clock_ms_t waiting_since; /* arrival, or end of the last failed attempt */
  clock_ms_t target;        /* ms from @first_requested_at */
  clock_ms_t
      response_deadline; /* a later response does not reach the client */
  double
      service_time_ms; /* service time in ms, from estimate_service_time() */
} admission_request_t;

typedef enum admission_decision
{
  ADMISSION_SEND,
  ADMISSION_WAIT,
  ADMISSION_REFUSE
} admission_decision_t;

/**
 * admission_decide() - decide whether a request is sent, waits or is refused
 * @load: load of the best endpoint that responded to a probe; NULL if none did
 * @estimate: expected response time there, in ms
 */
admission_decision_t admission_decide (const admission_request_t *request,
                                       const backend_load_t *load,
                                       double estimate, clock_ms_t now);

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
 * @shed: endpoints with free slots rejected the request and may accept it at
 *   once; otherwise all are busy until a request ends
 * @service_time_ms: service time in ms, from estimate_service_time()
 *
 * Return: ms, with jitter, so that clients refused together do not retry
 * together.
 */
clock_ms_t admission_retry_after_ms (bool shed, double service_time_ms,
                                     decide_rng_t *rng);

#endif
