#ifndef PERIDOT_DECIDE_ROUTER_H
#define PERIDOT_DECIDE_ROUTER_H

/* The router acts for the instance that received a request.  It chooses a
   pool, asks the pool's owner for a grant of a slot, starts attempts, reuses
   grants, and retries and hedges requests.  Each request ends in exactly one
   of: an answered attempt (router_attempt_done() returns true), one refusal,
   router_cancel_request() or a successful router_withdraw_if_not_run().
   Callbacks run inside the calls below and must not call into the same router.
   The node therefore queues messages to its own instance and delivers them
   after the call has returned.  */

#include "decide.h"

#define ROUTER_CANDIDATES_MAX                                                 \
  (DECIDE_SERVICE_ENDPOINTS_MAX / DECIDE_POOL_ENDPOINTS_MAX                   \
   + DECIDE_DATA_CENTRES_MAX)

typedef struct router router_t;

/* A pool that may be asked for a grant.  The router replaces the free slots
   and waiting requests by those of later replies.  */
typedef struct router_candidate
{
  decide_id_t pool;
  decide_id_t owner;
  bool local;      /* pool is in this instance's data centre */
  bool out;        /* data centre or owner is out of service */
  uint16_t free;   /* free slots in the last heartbeat */
  uint16_t queued; /* waiting requests in it */
  clock_ms_t seen; /* arrival of that heartbeat; 0: none yet */
} router_candidate_t;

typedef struct router_request
{
  uint64_t id;
  decide_id_t service;
  bool idempotent;
  bool retry;
  uint32_t
      retries_after_unknown_per_mille; /* retry ratio after unknown outcomes */
  bool hedge;
  uint32_t priority;
  clock_ms_t hedge_after_ms;
  clock_ms_t run_ms;
  clock_ms_t deadline;
} router_request_t;

typedef struct router_forward
{
  uint64_t request;
  uint64_t attempt;
  decide_id_t service;
  decide_id_t pool;
  decide_id_t endpoint;
  clock_ms_t start_by; /* latest time of sending */
  clock_ms_t deadline; /* time at which the attempt must end */
  bool hedge;
} router_forward_t;

typedef struct router_callbacks
{
  void *context;
  /* Lists the pools of a service that have an owner; returns their number.  */
  uint32_t (*candidates) (void *context, decide_id_t service,
                          router_candidate_t *candidates, uint32_t max);
  /* Returns whether an attempt may start now: the endpoint exists, neither it
     nor its data centre is out of service, and the configuration is fresh.  */
  bool (*usable) (void *context, decide_id_t service, decide_id_t pool,
                  decide_id_t endpoint);
  /* These two send GRANT_REQUEST and GRANT_CANCEL to an owner; the router has
     set every field of @msg that the type needs.  */
  void (*request_grant_from_owner) (void *context, decide_id_t owner,
                                    const decide_msg_grant_t *msg);
  void (*cancel_grant_request) (void *context, decide_id_t owner,
                                const decide_msg_grant_t *msg);
  /* Sends RELEASE to an owner.  */
  void (*release) (void *context, decide_id_t owner,
                   const decide_msg_release_t *msg);
  void (*forward) (void *context, const router_forward_t *forward);
  /* Cancels an attempt whose result is no longer needed;
     router_attempt_done() must still be called when it has ended.  */
  void (*cancel) (void *context, uint64_t attempt);
  void (*refuse) (void *context, const decide_refusal_t *refusal);
} router_callbacks_t;

/**
 * router_new() - create the router of an instance
 * @callbacks: functions that the router calls; copied
 * @rng: random number generator of the node; must outlive the router
 * @now: current time in ms
 *
 * Return: the router, or NULL when out of memory.
 */
router_t *router_new (const router_callbacks_t *callbacks, decide_rng_t *rng,
                      clock_ms_t now);
void router_free (router_t *router);

/* Starts a request.  Its id must differ from those of all requests that have
   not ended.  */
void router_request (router_t *router, clock_ms_t now,
                     const router_request_t *request);

/* Cancels a request whose client has disconnected: its attempts are
   cancelled, and neither an answer nor a refusal is reported.  */
void router_cancel_request (router_t *router, clock_ms_t now,
                            uint64_t request);

/**
 * router_withdraw_if_not_run() - cancel a request like
 * router_cancel_request(), if it has not run
 *
 * Return: false when the request is not pending, or when an attempt is running
 * or may have run; the request then continues.
 */
bool router_withdraw_if_not_run (router_t *router, clock_ms_t now,
                                 uint64_t request);

/* These handle the messages GRANT, QUEUED, REFUSED and RECALL of an owner.  */
void router_handle_grant (router_t *router, clock_ms_t now, decide_id_t owner,
                          const decide_msg_grant_t *msg);
void router_handle_queued (router_t *router, clock_ms_t now, decide_id_t owner,
                           const decide_msg_grant_t *msg);
void router_handle_refused (router_t *router, clock_ms_t now,
                            decide_id_t owner, const decide_msg_grant_t *msg);
void router_handle_recall (router_t *router, clock_ms_t now, decide_id_t owner,
                           const decide_msg_grant_t *msg);

/**
 * router_attempt_done() - handle the end of an attempt
 *
 * Return: whether the attempt's answer is the answer to the request.  It is
 * false for an answered attempt if the request had ended before.
 */
bool router_attempt_done (router_t *router, clock_ms_t now, uint64_t attempt,
                          const decide_attempt_end_t *end);

/* Handles an owner that no longer serves its pools: requests that wait there
   try another pool at once, and its reusable grants are not used again.  */
void router_handle_owner_loss (router_t *router, clock_ms_t now,
                               decide_id_t owner);

/* Returns idle reusable grants and requests no more of them, for a graceful
   shutdown.  */
void router_stop_grant_reuse (router_t *router, clock_ms_t now);

/**
 * router_tick() - run the timers that are due
 *
 * Return: the time in ms at which the next timer is due, or INT64_MAX.
 */
clock_ms_t router_tick (router_t *router, clock_ms_t now);

/* Returns the number of requests that have not ended.  */
uint32_t router_count_pending (const router_t *router);
/* Returns the number of grants held, by running attempts or idle for reuse. */
uint32_t router_count_grants (const router_t *router);

#endif
