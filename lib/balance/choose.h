#ifndef PERIDOT_BALANCE_CHOOSE_H
#define PERIDOT_BALANCE_CHOOSE_H

/* Chooses the endpoints that are probed for a request, and rates those that
   responded.  */

#include "estimate.h"

/* Largest number of endpoints that choose_candidates() returns.  */
#define CHOOSE_ENDPOINTS_MAX 16

/* Criteria by which choose_candidates() chooses endpoints.  */
typedef struct choose_criteria
{
  service_index_t service;
  /* Endpoints of earlier attempts, which must not be chosen.  */
  const backend_handle_t *excluded;
  int n_excluded;
  int count;  /* largest number of endpoints to choose */
  int remote; /* smallest number of endpoints in other data centres to choose,
                 if there are as many */
  bool skip_subsetting; /* choose from all endpoints of the service, not only
                           from this instance's subset */
  /* out: number of endpoints of the service that were left out, by obstacle;
     NULL: not counted */
  uint32_t *withheld;
} choose_criteria_t;

/**
 * choose_candidates() - choose endpoints to probe
 * @chosen: out: endpoints for which this instance has a permit, then those in
 *   this instance's data centre, then those in other data centres, each group
 *   in random order
 *
 * Only endpoints for which choose_is_eligible() is true are chosen, and now
 * and then one that has stated a limit, to learn whether it still does.  Those
 * in backoff after a failed probe are chosen only if there are no others.
 *
 * Return: number of endpoints in @chosen.
 */
int choose_candidates (backends_t *backends, const choose_criteria_t *criteria,
                       decide_rng_t *rng, clock_ms_t now,
                       backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX]);

/**
 * choose_permits() - choose endpoints for which to ask for a permit
 * @chosen: out: at most @criteria->count endpoints in random order, which
 * could get a request if this instance had a permit
 *
 * Return: number of endpoints in @chosen.
 */
int choose_permits (backends_t *backends, const choose_criteria_t *criteria,
                    decide_rng_t *rng, clock_ms_t now,
                    backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX]);

/* Why no request may be sent to an endpoint now.  An endpoint may have several
   obstacles, of which the first in this order counts.  */
typedef enum choose_obstacle
{
  CHOOSE_NO_OBSTACLE,
  CHOOSE_DRAINING,        /* according to its entry in the store */
  CHOOSE_LEAVING,         /* according to its responses */
  CHOOSE_VERSION,         /* a rollout gives its version no requests */
  CHOOSE_DECLINED,        /* it has asked for no requests for a time */
  CHOOSE_DATA_CENTRE_OUT, /* its data centre is out of service */
  CHOOSE_COLD,            /* it is warming up, and others may send to it */
  CHOOSE_LIMITED,         /* its limit needs a permit */
  CHOOSE_OBSTACLE_COUNT
} choose_obstacle_t;

/* Returns the obstacle of an endpoint.  This is the only place that decides
   whether an endpoint may get a request now: rounds of probes, waiting
   requests, retries and hedged attempts all ask it right before they send.  */
choose_obstacle_t choose_get_obstacle (backends_t *backends,
                                       backend_t *backend, clock_ms_t now);
/**
 * choose_get_declined_until() - find out whether all endpoints of a service
 * have asked for no requests
 *
 * Endpoints that are draining or leaving, or whose data centre is out of
 * service, are left out.
 *
 * Return: the earliest time at which one of them takes requests again; 0: one
 * may do so already, or there is none.
 */
clock_ms_t choose_get_declined_until (backends_t *backends,
                                      service_index_t service, clock_ms_t now);

/* Returns a short name for the log.  */
const char *choose_obstacle_name (choose_obstacle_t obstacle);

/* What this instance knows of the limits that the endpoints of a service
   state.  Endpoints that could not get a request in any case are left out.
   All numbers are 0 if no endpoint needs a permit.  */
typedef struct choose_limits
{
  int n_unlimited; /* endpoints that need no permit */
  int n_limited;   /* endpoints that need one */
  int n_permits;   /* permits of this instance */
  int n_asked;     /* requests for permits without a reply */
  int n_unknown;   /* endpoints for which it may ask now */
  /* Times from which the permits can be used, earliest first.  */
  clock_ms_t permit_from[CHOOSE_ENDPOINTS_MAX];
  clock_ms_t next_at; /* earliest time at which one of the others may have a
                         permit; INT64_MAX: there is none */
} choose_limits_t;

choose_limits_t choose_get_limits (backends_t *backends,
                                   service_index_t service, clock_ms_t now);

/* Whether an endpoint is in a list.  */
bool choose_is_listed (const backends_t *backends, const backend_t *backend,
                       const backend_handle_t *list, int count);

/* Whether a request may be sent to an endpoint now: it has no obstacle.  */
bool choose_is_eligible (backends_t *backends, backend_t *backend,
                         clock_ms_t now);

/**
 * choose_cost() - compute the cost of sending a request to an endpoint
 * @service_time_ms: service time in ms, from estimate_service_time()
 * @bulk: the response is large, so that its transfer from another data centre
 *   costs more
 * @expected_response_ms: out: expected response time at that endpoint, in ms
 *
 * Return: cost in ms; lower is better.
 */
double choose_cost (backends_t *backends, const backend_t *backend,
                    double service_time_ms, bool bulk, clock_ms_t now,
                    double *expected_response_ms);

/* Whether a request may be sent to an endpoint that has responded to its
   probe, without waiting for the probes of other endpoints, because none of
   them could have a noticeably lower cost.  */
bool choose_is_good_enough (backends_t *backends, backend_t *backend,
                            double service_time_ms, bool bulk, clock_ms_t now);

#endif
