#ifndef PERIDOT_BALANCE_ESTIMATE_H
#define PERIDOT_BALANCE_ESTIMATE_H

/* How long requests take: the median time of work for each route, with the
   endpoint's own pace taken out, and how much an endpoint slows down when all
   its slots are in use.  */

#include "backends.h"

/* Work of a route's requests at an unhurried endpoint.  */
typedef struct work
{
  double ms;          /* median; 0: no request has been answered yet */
  unsigned int known; /* answers that counted */
} work_t;

/**
 * estimate_learn() - an endpoint answered a request
 * @load: the endpoint's load as of the send, before the request
 * @took: ms from send to answer
 */
void estimate_learn (service_t *service, work_t *work,
                     const backend_load_t *load, clock_ms_t took);

/**
 * estimate_base() - time that a request takes at the best of endpoints
 * @target: ms; stands in for the work of a route that is not known yet
 */
double estimate_base (const work_t *work, clock_ms_t target);

/**
 * estimate_at() - time that a request takes at an endpoint, with the wait in
 * the endpoint's queue
 * @base: from estimate_base()
 */
double estimate_at (const service_t *service, double base,
                    const backend_load_t *load, bool cold);

#endif
