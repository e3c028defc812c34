#ifndef PERIDOT_BALANCE_ROLLOUT_JUDGE_H
#define PERIDOT_BALANCE_ROLLOUT_JUDGE_H

/* Decides on the steps of a rollout from what the answers of the two versions
   have shown so far, over all instances.  The new version is compared with the
   old one in the same span of time and on the same routes, so that trouble
   that meets both does not count against it.  Trouble of single endpoints does
   not count either: a bad version shows on most of its endpoints.  This module
   uses no network.  */

#include "rollouts.h"

/* Limits of what is judged; further routes and endpoints are left out.  */
#define ROLLOUT_ENDPOINTS_MAX 256
/* Times of the evidence that is remembered, and the time from one to the
   next.  They span the window in which a version that has turned bad shows,
   although it was good before.  */
#define ROLLOUT_HISTORY 6
#define ROLLOUT_HISTORY_STEP_MS 500

/* The users' bounds, which the settings state.  */
typedef struct rollout_bounds
{
  double share_max; /* share of the requests that a bad version may get between
                       the order and the end of its duration; 0: there are no
                       rollouts */
  double slack;     /* requests that it may get in addition */
} rollout_bounds_t;

/* Attempts at endpoints.  */
typedef struct rollout_tally
{
  uint64_t answers;  /* that have ended with an answer or were too slow */
  uint64_t failures; /* of these, answers that report a failure */
  uint64_t slow;     /* of these, several times slower than expected */
  uint64_t busy_ms;  /* time that they took together */
} rollout_tally_t;

/* Both versions' attempts on a route.  */
typedef struct rollout_route_tally
{
  uint64_t route; /* digest of its name */
  rollout_tally_t stable;
  rollout_tally_t canary;
} rollout_route_tally_t;

/* Attempts at an endpoint of the new version.  */
typedef struct rollout_endpoint_tally
{
  uint64_t endpoint; /* digest of its id */
  rollout_tally_t tally;
} rollout_endpoint_tally_t;

/* What is known of a rollout at a time, summed since the order.  */
typedef struct rollout_evidence
{
  rollout_route_tally_t routes[ROLLOUT_ROUTES_MAX];
  int n_routes;
  rollout_endpoint_tally_t endpoints[ROLLOUT_ENDPOINTS_MAX];
  int n_endpoints;
} rollout_evidence_t;

/* The endpoints of a service that could get requests now, and the instances
   that send them.  */
typedef struct rollout_room
{
  int stable_endpoints;
  int canary_endpoints;
  uint32_t stable_slots;
  uint32_t canary_slots;
  int instances_behind; /* ready instances that have not confirmed the phase
                           ROLLOUT_PROMOTED, or have requests at old
                           endpoints */
} rollout_room_t;

/* Memory of the judge for one rollout.  */
typedef struct rollout_judge
{
  uint64_t id;         /* rollout that it is about; 0: none */
  clock_ms_t began_at; /* ms; when this instance began to judge it */
  rollout_evidence_t history[ROLLOUT_HISTORY]; /* ring */
  clock_ms_t history_at[ROLLOUT_HISTORY];
  unsigned int n_history;         /* number added so far */
  rollout_evidence_t before_ramp; /* what was known when the canary phase
                                     ended */
  clock_ms_t window_moved_at;     /* ms; when other canaries became active */
  uint64_t window_answers;        /* answers of the new version at that time */
} rollout_judge_t;

/* Returns the tally of a route or an endpoint, which is added if it is
   missing; NULL if there are too many.  */
rollout_route_tally_t *rollout_evidence_route (rollout_evidence_t *evidence,
                                               uint64_t route);
rollout_tally_t *rollout_evidence_endpoint (rollout_evidence_t *evidence,
                                            uint64_t endpoint);

/* Sum over all routes.  */
rollout_route_tally_t
rollout_evidence_total (const rollout_evidence_t *evidence);

/**
 * rollout_judge() - decide on the next step of a rollout
 * @judge: must be zero at first
 * @step: out: the step to take, if it differs from that of @rollout
 * @reason: out: why, a text of ROLLOUT_REASON_BYTES bytes
 *
 * Has to be called a few times a second while rollout_is_running() is true.
 *
 * Return: whether to take @step.
 */
bool rollout_judge (rollout_judge_t *judge, const rollout_t *rollout,
                    const rollout_evidence_t *evidence,
                    const rollout_room_t *room, const rollout_bounds_t *bounds,
                    clock_ms_t now, rollout_step_t *step, char *reason);

/* Whether the old endpoints may be stopped now, so that the store may be told
   that the rollout is completed.  */
bool rollout_can_complete (const rollout_t *rollout,
                           const rollout_room_t *room, clock_ms_t now);

#endif
