#ifndef PERIDOT_BALANCE_ESTIMATE_H
#define PERIDOT_BALANCE_ESTIMATE_H

/* How long requests take: a smoothed time of work for each service and class
   of request, with the endpoint's own pace taken out, and how much an
   endpoint slows down when all its slots are in use.  */

#include "backends.h"

/* Classes of requests with times of their own.  */
typedef enum work_class
{
  WORK_IDEMPOTENT,
  WORK_ONCE,
  WORK_BULK,
  WORK_URGENT,   /* idempotent, of higher priority than others */
  WORK_CLASSES
} work_class_t;

/**
 * estimate_learn() - an endpoint answered a request
 * @load: the endpoint's load as of the send, before the request
 * @took: ms from send to answer
 */
void estimate_learn (service_t *service, work_class_t class,
                     const backend_load_t *load, clock_ms_t took);

/**
 * estimate_work() - time that a request takes at an endpoint
 * @fallback: ms, used before any request of the class was answered
 */
double estimate_work (const service_t *service, work_class_t class,
                      const backend_load_t *load, bool cold,
                      clock_ms_t fallback);

#endif
