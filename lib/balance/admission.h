#ifndef PERIDOT_BALANCE_ADMISSION_H
#define PERIDOT_BALANCE_ADMISSION_H

/* What happens to a request now: it is sent to an endpoint, waits at the
   instance, or is refused.  */

#include "estimate.h"

typedef struct admission_request
{
  work_class_t class;
  bool urgent;            /* no other class of the service goes before it */
  clock_ms_t arrived;
  clock_ms_t target;      /* ms from the arrival */
  clock_ms_t give_up_at;  /* no answer after it reaches the caller */
} admission_request_t;

typedef enum admission
{
  ADMISSION_SEND,
  ADMISSION_WAIT,
  ADMISSION_REFUSE
} admission_t;

/**
 * admission_decide() - decide on a request
 * @load: load of the best endpoint that was probed; NULL when none answered
 * @estimate: ms that the request would take there
 */
admission_t admission_decide (const admission_request_t *request,
                              const backend_load_t *load, double estimate,
                              clock_ms_t now);

/* Whether the first of two waiting requests goes before the second.  */
bool admission_before (const admission_request_t *a,
                       const admission_request_t *b, double work_a,
                       double work_b, clock_ms_t now);

/* Time after which a refused request is worth repeating, in ms.  */
clock_ms_t admission_retry_after (const service_t *service);

#endif
