#ifndef PERIDOT_DECIDE_ROUTER_H
#define PERIDOT_DECIDE_ROUTER_H

/* The router acts for the instance that received a request.  It chooses a
   pool, asks the pool's owner for a grant of a slot, starts attempts, reuses
   grants, and retries and hedges requests.  Each request ends in exactly one
   of four ways: by an answered attempt (router_attempt_done() returns true),
   by a refusal, by router_cancel_request(), or by router_withdraw_if_not_run()
   if that returns true.

   Callbacks run inside the calls below and must not call functions of the same
   router.  The node therefore queues messages to its own instance and delivers
   them after the call has returned.  */

#include "decide.h"

/* Maximum number of candidates for a request.  It is enough for a service with
   DECIDE_SERVICE_ENDPOINTS_MAX endpoints, however they are distributed over
   the data centres.  */
#define ROUTER_CANDIDATES_MAX                                                 \
  (DECIDE_SERVICE_ENDPOINTS_MAX / DECIDE_POOL_ENDPOINTS_MAX                   \
   + DECIDE_DATA_CENTRES_MAX)

typedef struct router router_t;

/* A pool from which a grant may be requested.  If the router has had a reply
   of the pool's owner after @seen, it uses the numbers of free slots and
   waiting requests in that reply instead of @free and @queued.  */
typedef struct router_candidate
{
  decide_id_t pool;
  decide_id_t owner;
  bool local;      /* the pool is in this instance's data centre */
  bool out;        /* the pool's data centre is out of service */
  uint16_t free;   /* free slots of the pool in the owner's last heartbeat */
  uint16_t queued; /* waiting requests of the pool in that heartbeat */
  clock_ms_t seen; /* arrival of that heartbeat in ms; 0: none yet */
} router_candidate_t;

typedef struct router_request
{
  uint64_t id;
  decide_id_t service;
  bool idempotent; /* may run more than once */
  bool retry;      /* retries that need a token are allowed */
  /* Maximum number of retries after an unknown outcome, per 1000 requests.
     With DECIDE_RETRIES_PER_MILLE or more, only the limit for all retries
     applies.  */
  uint32_t retries_after_unknown_per_mille;
  bool hedge;                /* may be hedged if it is idempotent */
  uint32_t priority;         /* lower values are more urgent */
  clock_ms_t hedge_after_ms; /* delay from the first attempt to the hedge */
  clock_ms_t run_ms;         /* maximum duration of an attempt; 0: that of the
                                grant */
  clock_ms_t deadline;       /* time in ms at which the request is refused if
                                it has not ended */
} router_request_t;

/* An attempt to start: the request is sent to an endpoint.  */
typedef struct router_forward
{
  uint64_t request;
  uint64_t attempt;
  decide_id_t service;
  decide_id_t pool;
  decide_id_t endpoint;
  clock_ms_t start_by; /* latest time of sending, in ms */
  clock_ms_t deadline; /* time in ms at which the attempt must end */
  bool hedge;          /* sent while another attempt of the request runs */
} router_forward_t;

typedef struct router_callbacks
{
  void *context;
  /* Writes the pools of a service that have an owner, at most @max, to
     @candidates; returns their number.  */
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
  /* Starts an attempt.  */
  void (*forward) (void *context, const router_forward_t *forward);
  /* Cancels an attempt whose result is no longer needed; router_attempt_done()
     must still be called when it has ended.  */
  void (*cancel) (void *context, uint64_t attempt);
  /* Reports that a request ends without a response.  */
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
   not ended; otherwise the process aborts.  */
void router_request (router_t *router, clock_ms_t now,
                     const router_request_t *request);

/* Cancels a request whose client has disconnected: its attempts are cancelled,
   and neither a response nor a refusal is reported.  */
void router_cancel_request (router_t *router, clock_ms_t now,
                            uint64_t request);

/**
 * router_withdraw_if_not_run() - cancel a request that has not run
 *
 * If no attempt is running or may have run, this does the same as
 * router_cancel_request().
 *
 * Return: whether the request was cancelled; if not, it continues, or was not
 * pending.
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
 * @now: time in ms
 * @attempt: number that was passed to the forward callback
 * @end: result of the attempt
 *
 * Return: whether the attempt's response is the response to the request.  The
 * result is false for an answered attempt if the request had ended before.
 */
bool router_attempt_done (router_t *router, clock_ms_t now, uint64_t attempt,
                          const decide_attempt_end_t *end);

/* Handles an owner that no longer serves its pools.  Requests that wait for
   its grants try another pool at once, and its idle reusable grants are
   returned.  */
void router_handle_owner_loss (router_t *router, clock_ms_t now,
                               decide_id_t owner);

/* Returns idle reusable grants to their owners and requests no more reusable
   ones, for a graceful shutdown.  */
void router_stop_grant_reuse (router_t *router, clock_ms_t now);

/**
 * router_tick() - run the timers that are due
 *
 * Return: the time in ms at which the next timer is due, or INT64_MAX.
 */
clock_ms_t router_tick (router_t *router, clock_ms_t now);

/* Returns the number of requests that have not ended.  */
uint32_t router_count_pending (const router_t *router);
/* Returns the number of grants that this instance holds, in use by attempts or
   idle for reuse.  */
uint32_t router_count_grants (const router_t *router);

#endif
