#ifndef PERIDOT_DECIDE_ROUTER_H
#define PERIDOT_DECIDE_ROUTER_H

/* Requester's side: choice of pool, lent grants, pending requests, retries
   and hedges.  Each request ends in exactly one of: an answered attempt
   (router_attempt_done() returns true), one refusal, or router_gone().

   Callbacks run inside the calls below and must not call into the same
   router: the node queues messages to its own instance and delivers them
   after the call has returned.  */

#include "decide.h"

#define ROUTER_CANDIDATES_MAX                                                 \
  (DECIDE_SERVICE_ENDPOINTS_MAX / DECIDE_POOL_ENDPOINTS_MAX                   \
   + DECIDE_DATA_CENTRES_MAX)

typedef struct router router_t;

typedef struct router_candidate
{
  decide_id_t pool;
  decide_id_t owner;
  bool local;      /* pool of the own data centre */
  bool out;        /* the data centre or the owner is out */
  uint16_t free;   /* of the owner's last heartbeat; the router itself */
  uint16_t queued; /* keeps what replies say */
  clock_ms_t seen; /* time at which that heartbeat arrived; 0: none */
} router_candidate_t;

typedef struct router_request
{
  uint64_t id;
  decide_id_t service;
  bool idempotent;
  bool retry;
  uint32_t unknown_per_mille; /* share of retries after an unknown outcome */
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
  clock_ms_t start_by; /* not sent after this time */
  clock_ms_t deadline; /* the attempt ends by this time */
  bool hedge;
} router_forward_t;

typedef struct router_callbacks
{
  void *context;
  /* Lists pools that have an owner and returns their number.  */
  uint32_t (*candidates) (void *context, decide_id_t service,
                          router_candidate_t *candidates, uint32_t max);
  /* Whether an attempt may start now: the endpoint exists, neither it nor its
     data centre is out, and the configuration is fresh.  */
  bool (*usable) (void *context, decide_id_t service, decide_id_t pool,
                  decide_id_t endpoint);
  /* GRANT_REQUEST and GRANT_CANCEL; msg is complete but for the type.  */
  void (*ask) (void *context, decide_id_t owner,
               const decide_msg_grant_t *msg);
  void (*cancel_ask) (void *context, decide_id_t owner,
                      const decide_msg_grant_t *msg);
  /* RELEASE.  */
  void (*release) (void *context, decide_id_t owner,
                   const decide_msg_release_t *msg);
  void (*forward) (void *context, const router_forward_t *forward);
  /* The attempt's result is not wanted; router_attempt_done() must still be
     called when it has ended.  */
  void (*cancel) (void *context, uint64_t attempt);
  void (*refuse) (void *context, const decide_refusal_t *refusal);
} router_callbacks_t;

/**
 * router_new() - create the requester's side of an instance
 * @rng: generator of the node; kept
 *
 * Return: the router, or NULL when out of memory.
 */
router_t *router_new (const router_callbacks_t *callbacks, decide_rng_t *rng,
                      clock_ms_t now);
void router_free (router_t *router);

void router_request (router_t *router, clock_ms_t now,
                     const router_request_t *request);

/* The caller has gone: attempts are cancelled and nothing is reported.  */
void router_gone (router_t *router, clock_ms_t now, uint64_t request);

/**
 * router_withdraw() - like router_gone(), for a request that cannot have run
 * Return: false when it is not pending or may have run; then it goes on.
 */
bool router_withdraw (router_t *router, clock_ms_t now, uint64_t request);

/* GRANT, QUEUED, REFUSED and RECALL of an owner.  */
void router_granted (router_t *router, clock_ms_t now, decide_id_t owner,
                     const decide_msg_grant_t *msg);
void router_queued (router_t *router, clock_ms_t now, decide_id_t owner,
                    const decide_msg_grant_t *msg);
void router_refused (router_t *router, clock_ms_t now, decide_id_t owner,
                     const decide_msg_grant_t *msg);
void router_recall (router_t *router, clock_ms_t now, decide_id_t owner,
                    const decide_msg_grant_t *msg);

/**
 * router_attempt_done() - an attempt ended
 *
 * Return: whether its answer is the answer to the request.  A false return
 * for an answered attempt means that the request had ended before.
 */
bool router_attempt_done (router_t *router, clock_ms_t now, uint64_t attempt,
                          const decide_attempt_end_t *end);

/* The owner does not serve its pools any more: requests that wait there go
   elsewhere at once and lent grants are not used again.  */
void router_owner_lost (router_t *router, clock_ms_t now, decide_id_t owner);

/* Returns idle lent grants and borrows no more, for a planned stop.  */
void router_stop_lending (router_t *router, clock_ms_t now);

/**
 * router_tick() - do what is due
 * Return: the next time in ms at which something is due, or INT64_MAX.
 */
clock_ms_t router_tick (router_t *router, clock_ms_t now);

/* Requests that have not ended.  */
uint32_t router_pending (const router_t *router);
/* Attempts that have not ended, and lent grants held.  */
uint32_t router_held (const router_t *router);

#endif
