#ifndef PERIDOT_BALANCE_ASSIGN_H
#define PERIDOT_BALANCE_ASSIGN_H

/* Assigns waiting requests to the endpoints that have just been probed.  */

#include "admission.h"
#include "choose.h"

/* A waiting request, and the decision of assign_decide() on it.  */
typedef struct assign_request
{
  const admission_request_t *request;
  const backend_handle_t *excluded; /* endpoints of earlier attempts, which
                                       must not get the request */
  int n_excluded;
  bool bulk;  /* the response is large, see choose_cost() */
  void *user; /* the caller's own pointer, which assign_decide() ignores */
  /* Results of assign_decide().  */
  admission_decision_t result;
  int endpoint_index; /* index into the @endpoints of assign_decide(): the best
                         endpoint for the request among those that were not
                         assigned to requests of higher precedence; -1:
                         none */
  bool is_limited;    /* the request is refused because of the limits that
                         endpoints state; set by the proxy, not here */
} assign_request_t;

/**
 * assign_decide() - assign endpoints to the waiting requests of a service
 * @requests: the requests; the function sorts them by precedence and sets
 *   their results
 * @endpoints: probed endpoints, at most CHOOSE_ENDPOINTS_MAX; each gets at
 *   most one request
 */
void assign_decide (backends_t *backends, assign_request_t *requests,
                    int n_requests, backend_t *const *endpoints,
                    int n_endpoints, clock_ms_t now);

#endif
