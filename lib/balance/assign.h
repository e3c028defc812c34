#ifndef PERIDOT_BALANCE_ASSIGN_H
#define PERIDOT_BALANCE_ASSIGN_H

/* Assigns waiting requests to the endpoints that have just been probed.  */

#include "admission.h"
#include "choose.h"

typedef struct assign_request
{
  const admission_request_t *request;
  const backend_ref_t *excluded; /* endpoints tried before */
  int n_excluded;
  bool bulk;
  void *user; /* not used by assign_decide() */
  /* Set by assign_decide().  */
  admission_decision_t result;
  int endpoint; /* index of the best unassigned endpoint; -1: none */
} assign_request_t;

/**
 * assign_decide() - assign endpoints to the waiting requests of a service
 * @requests: requests with the results; they are sorted by precedence
 * @endpoints: probed endpoints, at most CHOOSE_MAX; each gets at most one
 *   request
 */
void assign_decide (backends_t *backends, assign_request_t *requests,
                    int n_requests, backend_t *const *endpoints,
                    int n_endpoints, clock_ms_t now);

#endif
