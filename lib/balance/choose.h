#ifndef PERIDOT_BALANCE_CHOOSE_H
#define PERIDOT_BALANCE_CHOOSE_H

/* Chooses the endpoints that are probed for a request, and rates those that
   responded.  */

#include "estimate.h"

#define CHOOSE_MAX 16

typedef struct choose_criteria
{
  service_ref_t service;
  const backend_ref_t *excluded; /* endpoints tried before */
  int n_excluded;
  int count;            /* most endpoints to choose */
  int remote;           /* least number of them in other data centres */
  bool skip_subsetting; /* from all endpoints, not only this instance's subset
                         */
} choose_criteria_t;

/**
 * choose_candidates() - choose endpoints to probe
 * @chosen: out: endpoints of the own data centre, followed by those of others,
 *   each group in random order
 *
 * Endpoints that are draining or in a data centre out of service are left out.
 * Those in backoff after a failure are chosen only if there are no others.
 *
 * Return: number of endpoints in @chosen.
 */
int choose_candidates (backends_t *backends, const choose_criteria_t *criteria,
                       decide_rng_t *rng, clock_ms_t now,
                       backend_ref_t chosen[CHOOSE_MAX]);

/* Whether an endpoint is in a list.  */
bool choose_is_listed (const backends_t *backends, const backend_t *backend,
                       const backend_ref_t *list, int count);

/* Whether a request may be sent to an endpoint now.  */
bool choose_is_eligible (backends_t *backends, backend_t *backend,
                         clock_ms_t now);

/**
 * choose_cost() - compute the cost of sending a request to an endpoint
 * @service_time_ms: service time in ms, from estimate_service_time()
 * @estimate: out: expected response time there, in ms
 *
 * Return: cost in ms; lower is better.
 */
double choose_cost (backends_t *backends, const backend_t *backend,
                    double service_time_ms, bool bulk, clock_ms_t now,
                    double *estimate);

/* Whether no other endpoint could serve a request noticeably better.  */
bool choose_is_good_enough (backends_t *backends, backend_t *backend,
                            double service_time_ms, bool bulk, clock_ms_t now);

#endif
