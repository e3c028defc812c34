#ifndef PERIDOT_BALANCE_ADMISSION_H
#define PERIDOT_BALANCE_ADMISSION_H

/* What happens to a request now: it is sent to an endpoint, waits at the
   instance, or is refused.  */

#include "decide.h"
#include "estimate.h"

typedef struct admission_request
{
  bool urgent;            /* other routes of the services are less urgent */
  clock_ms_t asked_at;    /* the caller asked first, here or elsewhere */
  clock_ms_t waits_since; /* arrival, or the end of the last attempt */
  clock_ms_t target;      /* ms from the first request */
  clock_ms_t give_up_at;  /* no answer after it reaches the caller */
  double base;            /* ms of work, from estimate_base() */
} admission_request_t;

typedef enum admission
{
  ADMISSION_SEND,
  ADMISSION_WAIT,
  ADMISSION_REFUSE
} admission_t;

/**
 * admission_decide() - decide on a request
 * @load: load of the best endpoint that answered; NULL when none did
 * @estimate: ms that the request would take there
 */
admission_t admission_decide (const admission_request_t *request,
                              const backend_load_t *load, double estimate,
                              clock_ms_t now);

/* Whether too little time is left for any endpoint.  */
bool admission_is_hopeless (const admission_request_t *request,
                            clock_ms_t now);

/* Whether an answer within the target is still possible.  */
bool admission_can_be_in_time (const admission_request_t *request,
                               clock_ms_t now);

/* Whether the first of two waiting requests goes before the second.  */
bool admission_before (const admission_request_t *a,
                       const admission_request_t *b, clock_ms_t now);

/**
 * admission_return_after() - when a caller that is refused is to come back
 * @shed: endpoints with room turned the request away, and may take it at
 *   once; otherwise all are busy until some work ends
 * @base: ms of work, from estimate_base()
 *
 * Return: ms, spread so that callers refused together return apart.
 */
clock_ms_t admission_return_after (bool shed, double base, decide_rng_t *rng);

#endif
