#ifndef PERIDOT_BALANCE_ROLLOUTS_H
#define PERIDOT_BALANCE_ROLLOUTS_H

/* Rollouts: replacements of a service's software by a new version whose
   endpoints run beside the old ones.  The table has one rollout for each
   service, the one that was ordered last.  Its phase says which requests the
   endpoints of the new version get.  rollout_judge.h decides on the phase;
   this module keeps it, and maps endpoints and requests to the old or the new
   version.  It uses no network.  */

#include "backends.h"

/* Routes of a service for which requests are counted separately.  */
#define ROLLOUT_ROUTES_MAX 16
/* Time for which endpoints of a version that no order names get no requests,
   if others were known before.  The order may be on its way: what a watch of
   the store has lost is listed again by then.  */
#define ROLLOUT_UNORDERED_HOLD_MS 10000

/* Phases of a rollout, in ascending precedence: of two phases that different
   instances state, the later one in this order holds.  */
typedef enum rollout_phase
{
  ROLLOUT_CANARY,    /* a small share of the requests goes to few endpoints of
                        the new version */
  ROLLOUT_RAMP,      /* a growing share goes to the new version */
  ROLLOUT_PROMOTED,  /* all requests go to the new version; the store does not
                        say so yet, so that the old endpoints still run */
  ROLLOUT_CANCELLED, /* the operator has removed the order before the end */
  ROLLOUT_ROLLED_BACK, /* the new version gets no requests */
  ROLLOUT_COMPLETED,   /* the store says that the new version has replaced the
                          old one */
  ROLLOUT_PHASE_COUNT
} rollout_phase_t;

/* An operator's order.  */
typedef struct rollout_order
{
  const char *service;
  const char *version;       /* of the new software */
  clock_ms_t duration;       /* ms from the order until it should be done */
  store_revision_t created;  /* store revision at which its object was made */
  store_revision_t revision; /* of the object when the order was read; of two
                                orders the one with the later one holds */
} rollout_order_t;

/* What is to be done with requests.  */
typedef struct rollout_step
{
  rollout_phase_t phase;
  uint32_t number; /* of two steps of the same phase, the one with the higher
                      number holds */
  double share;    /* share of the requests for the new version, 0 to 1 */
  uint32_t active; /* number of endpoints of the new version that get requests;
                      0: all */
  uint32_t first;  /* position of the first of them, see
                      rollouts_is_active() */
} rollout_step_t;

/* Requests of one route, at this instance, since the order.  */
typedef struct rollout_route
{
  uint64_t route; /* digest of its name */
  uint64_t requests;
} rollout_route_t;

/* Greatest length of the reason for a step, with its NUL.  */
#define ROLLOUT_REASON_BYTES 96

typedef struct rollout
{
  char *service;
  char *version;
  uint64_t id; /* the same at all instances; subject of the counts */
  store_revision_t created;
  store_revision_t ordered; /* of the object when the order was first read */
  clock_ms_t duration;
  clock_ms_t started_at; /* ms; when the order was first seen by any
                            instance */
  rollout_step_t step;
  clock_ms_t stepped_at;             /* ms; when @step was last changed here */
  char reason[ROLLOUT_REASON_BYTES]; /* of @step, for the log */
  rollout_route_t routes[ROLLOUT_ROUTES_MAX];
  int n_routes;
  uint64_t requests; /* over all routes */
  /* For the reader of the store: revision of the object, zero: not known; and
     the phase that its status names, ROLLOUT_PHASE_COUNT: none.  */
  store_revision_t revision;
  rollout_phase_t stored_phase;
} rollout_t;

typedef struct rollouts rollouts_t;

rollouts_t *rollouts_new (void);
void rollouts_free (rollouts_t *rollouts);

/* Number of rollouts, the one at a position below that, and that of a service,
   or NULL.  */
int rollouts_count (const rollouts_t *rollouts);
rollout_t *rollouts_get (rollouts_t *rollouts, int position);
rollout_t *rollouts_find (rollouts_t *rollouts, const char *service);

/* Whether requests may go to both versions, so that they are counted.  */
bool rollout_is_running (const rollout_t *rollout);
const char *rollout_phase_name (rollout_phase_t phase);

/**
 * rollouts_put() - add an order that was read from the store
 *
 * An order for the same service and version is the same one, unless its object
 * was made anew in the same era of the store.  A later order for the service
 * replaces the one before.
 *
 * Return: the rollout of the service, which is that of another order if that
 * is newer.
 */
rollout_t *rollouts_put (rollouts_t *rollouts, const rollout_order_t *order,
                         clock_ms_t now);

/**
 * rollouts_learn() - record what another instance tells of a rollout
 * @age: ms since the order was first seen
 *
 * Return: whether anything has changed.
 */
bool rollouts_learn (rollouts_t *rollouts, const rollout_order_t *order,
                     uint64_t id, const rollout_step_t *step, clock_ms_t age,
                     clock_ms_t now);

/* Takes a step, unless a phase of higher precedence is known.  Its number is
   set.  @reason: for the log.  Return: whether the step was taken.  */
bool rollout_take_step (rollout_t *rollout, const rollout_step_t *step,
                        const char *reason, clock_ms_t now);

/* ---- Endpoints ---- */

/* Records that all endpoints of the first complete list are known.  The
   versions of these count as established; a version that appears later at a
   service with endpoints of another one waits for its order.  */
void rollouts_set_established (rollouts_t *rollouts);

/**
 * rollouts_set_track() - set which requests an endpoint may get, by its
 * version
 *
 * Must be called when an endpoint was added and, for all, when a rollout has
 * changed.
 */
void rollouts_set_track (rollouts_t *rollouts, backends_t *backends,
                         backend_t *backend, clock_ms_t now);
void rollouts_set_tracks (rollouts_t *rollouts, backends_t *backends,
                          clock_ms_t now);
/* Whether a version waits for its order, so that rollouts_set_tracks() must be
   called again.  */
bool rollouts_has_unordered (const rollouts_t *rollouts);

/* ---- Requests ---- */

/**
 * rollout_draw() - decide whether a request goes to the new version
 * @route: digest of its route's name
 *
 * In the canary phase each route gets about the same number of requests to the
 * new version, so that a fault on a rarely used route shows in time; the share
 * over all routes is that of the step.
 */
bool rollout_draw (rollout_t *rollout, uint64_t route, decide_rng_t *rng);

/* Suspends the canary and ramp phases at this instance, or ends that.  An
   instance that hears nothing of others would not hear of a rollback.  */
void rollouts_suspend (rollouts_t *rollouts, bool suspended);
/* Returns the rollout of a service if some requests may go to its canary pool
   now, or NULL.  */
rollout_t *rollouts_find_dividing (rollouts_t *rollouts, const char *service);

#endif
