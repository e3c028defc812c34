#ifndef PERIDOT_BALANCE_ESTIMATE_H
#define PERIDOT_BALANCE_ESTIMATE_H

/* Estimates response times from the median service time of each route.  The
   median is multiplied by the slowdown that the endpoint reports, and by
   further factors if nearly all its slots are in use, if it is cold, or if
   requests wait in its queue.  */

#include "backends.h"

/* Service time of a route's requests at an endpoint with free slots.  */
typedef struct service_time
{
  double ms;            /* median; 0: no sample yet */
  unsigned int samples; /* number of responses included in @ms */
} service_time_t;

/**
 * estimate_update() - update the estimates of a service and a route with an
 * answered request
 * @service_time: service time of the request's route
 * @load: the endpoint's load when the request was sent, without that request
 * @duration: ms from sending the request to its response
 *
 * A request that found nearly all slots in use updates only the service's
 * @full_load_slowdown.  One that found all slots in use is ignored, because
 * its duration includes the wait in the endpoint's queue.
 */
void estimate_update (service_t *service, service_time_t *service_time,
                      const backend_load_t *load, clock_ms_t duration);

/**
 * estimate_service_time() - estimate the service time of a route's request at
 * an endpoint with free slots
 * @target: the request's target response time in ms
 *
 * Return: the route's median in ms or, while the route has no samples, a fixed
 * share of @target (UNKNOWN_ROUTE_TARGET_SHARE).
 */
double estimate_service_time (const service_time_t *service_time,
                              clock_ms_t target);

/**
 * estimate_response_time() - estimate the response time of a request at an
 * endpoint, including the wait in the endpoint's queue
 * @service_time_ms: service time in ms, from estimate_service_time()
 * @load: load of the endpoint before the request is sent to it
 * @cold: whether the endpoint is still warming up
 *
 * Return: ms.
 */
double estimate_response_time (const service_t *service,
                               double service_time_ms,
                               const backend_load_t *load, bool cold);

#endif
