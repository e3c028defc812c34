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
  unsigned int samples; /* responses included in the median */
} service_time_t;

/**
 * estimate_update() - update the estimates with an answered request
 * @load: the endpoint's load when the request was sent, without that request
 * @duration: ms from sending the request to its response
 */
void estimate_update (service_t *service, service_time_t *service_time,
                      const backend_load_t *load, clock_ms_t duration);

/**
 * estimate_service_time() - estimate the service time of a request at an idle
 * endpoint
 * @target: target of the request in ms; while the route has no samples, a
 *   share of it is returned
 *
 * Return: ms.
 */
double estimate_service_time (const service_time_t *service_time,
                              clock_ms_t target);

/**
 * estimate_response_time() - estimate the response time of a request at an
 * endpoint, including the wait in the endpoint's queue
 * @service_time_ms: service time in ms, from estimate_service_time()
 * @load: the endpoint's load, without that request
 * @cold: whether the endpoint is still warming up
 *
 * Return: ms.
 */
double estimate_response_time (const service_t *service,
                               double service_time_ms,
                               const backend_load_t *load, bool cold);

#endif
