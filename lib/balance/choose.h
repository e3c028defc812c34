#ifndef PERIDOT_BALANCE_CHOOSE_H
#define PERIDOT_BALANCE_CHOOSE_H

/* Which endpoints are probed for a request, and which of those that answered
   gets it.  */

#include "estimate.h"

#define CHOOSE_MAX 16

typedef struct choose_wish
{
  service_ref_t service;
  const backend_ref_t *excluded; /* endpoints that had the request before */
  int n_excluded;
  int count;  /* endpoints to probe */
  int remote; /* of them at least in other data centres */
  bool wide;  /* of all endpoints, not only the usual ones */
} choose_wish_t;

/**
 * choose_candidates() - endpoints to probe, in random order within the own
 * data centre first
 *
 * Endpoints that are draining, in a data centre that is taken out, or avoided
 * after a failure are left out; those avoided are used when nothing else is
 * left.
 *
 * Return: their number.
 */
int choose_candidates (backends_t *backends, const choose_wish_t *wish,
                       decide_rng_t *rng, clock_ms_t now,
                       backend_ref_t chosen[CHOOSE_MAX]);

/* Whether an endpoint is one of a list.  */
bool choose_is_listed (const backends_t *backends, const backend_t *backend,
                       const backend_ref_t *list, int count);

/* Whether an endpoint may be sent a request at this moment.  */
bool choose_allows (backends_t *backends, backend_t *backend, clock_ms_t now);

/**
 * choose_cost() - what a request would cost at an endpoint, lower is better
 * @base: ms of work, from estimate_base()
 * @estimate: out: ms that it would take there
 */
double choose_cost (backends_t *backends, const backend_t *backend,
                    double base, bool bulk, clock_ms_t now, double *estimate);

/* Whether no other endpoint would serve a request noticeably better.  */
bool choose_is_good_enough (backends_t *backends, backend_t *backend,
                            double base, bool bulk, clock_ms_t now);

#endif
