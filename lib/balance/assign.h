#ifndef PERIDOT_BALANCE_ASSIGN_H
#define PERIDOT_BALANCE_ASSIGN_H

/* Which of the waiting requests gets which of the endpoints that have just
   been probed.  */

#include "admission.h"
#include "choose.h"

typedef struct assign_request
{
  const admission_request_t *request;
  const backend_ref_t *excluded; /* endpoints that had it before */
  int n_excluded;
  bool bulk;
  void *user; /* of the caller */
  /* Results.  */
  admission_t result;
  int endpoint; /* the best that was left for it; -1: none */
} assign_request_t;

/**
 * assign_decide() - decide on all waiting requests of a service
 * @requests: are sorted, the first to be served first
 * @endpoints: each gets one request at most
 */
void assign_decide (backends_t *backends, assign_request_t *requests,
                    int n_requests, backend_t *const *endpoints,
                    int n_endpoints, clock_ms_t now);

#endif
