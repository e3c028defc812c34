#ifndef PERIDOT_DECIDE_ROUTER_STATE_H
#define PERIDOT_DECIDE_ROUTER_STATE_H

/* State of a router, shared by router.c (requests and timers), router_ask.c
   (choice of pool, messages of owners), router_attempt.c (grants in use) and
   router_report.c (reports of uses to owners).  The tables are binary search
   trees of libc's tsearch().  */

#include "budget.h"
#include "router.h"

#include <sys/queue.h>

/* Limit of grant requests for one request; each costs a message and its
   reply.  */
#define ROUTER_GRANT_REQUESTS_MAX 4
#define ROUTER_ATTEMPTS_MAX 4
/* Time for which a pool is chosen last after its owner did not answer in
   time.  The owner may have failed, and missing heartbeats show that only
   later.  */
#define ROUTER_BACKOFF_MS 500
/* A request leaves an owner's queue this long after twice its expected wait,
   because the owner may have failed in the meantime.  */
#define ROUTER_QUEUE_MARGIN_MS 100
/* Retry-after time of a refusal when no owner or backend server stated one. */
#define ROUTER_DEFAULT_RETRY_AFTER_MS 100
/* The holder of a grant lets it expire earlier than the owner does, by these
   two margins: clock rates differ by less than 1%, and a backend server
   counts a deadline from the arrival of the request.  */
#define ROUTER_CLOCK_DRIFT_PERCENT 1
#define ROUTER_TRANSIT_MARGIN_MS 10

typedef struct router_key
{
  uint64_t number;
  uint64_t owner; /* 0 except for grants: each owner numbers its own */
} router_key_t;

typedef struct router_pending_request router_pending_request_t;
typedef struct router_attempt router_attempt_t;

/* What the router knows about a pool besides its owner's heartbeats.  */
typedef struct router_pool_state
{
  router_key_t key;             /* number: the pool's id */
  uint32_t grant_request_count; /* without a reply yet */
  clock_ms_t backoff_until;
  int64_t spare_slots; /* free slots minus waiting requests, last reply */
  clock_ms_t seen;     /* arrival of that reply */
} router_pool_state_t;

/* A GRANT_REQUEST that was sent to an owner and has not ended.  */
typedef struct router_grant_request
{
  router_key_t key; /* number of the grant request; 0: none pending */
  router_pending_request_t *pending;
  decide_id_t pool;
  decide_id_t owner;
  clock_ms_t sent_at;
  clock_ms_t timeout_at;
  bool queued; /* the owner has put it into its queue */
  bool hedge;  /* for a second attempt while the first one runs */
} router_grant_request_t;

typedef struct router_grant router_grant_t;
typedef struct router_service router_service_t;
/* A grant of an owner that this instance holds.  */
struct router_grant
{
  router_key_t key; /* number of the grant, and its owner */
  decide_id_t pool;
  decide_id_t endpoint;
  clock_ms_t start_by; /* no use starts at or after this time */
  clock_ms_t expires_at;
  bool reusable;
  bool chained;      /* reusable only by requests queued in the pool */
  uint32_t priority; /* least urgent priority that may reuse it if chained */
  bool recalled;
  bool idle; /* in the service's list of idle grants */
  router_service_t *service;
  TAILQ_ENTRY (router_grant) link;
  /* Batch of ended uses that were not yet reported to the owner, in order.  */
  bool reported;     /* a use was reported or is in the batch */
  uint64_t identity; /* identity that the backend server stated last */
  clock_ms_t report_due_at;
  uint32_t unreported_count; /* 0: not in the router's report_queue */
  decide_attempt_end_t unreported_ends[DECIDE_RELEASE_ENDS_MAX - 1];
  TAILQ_ENTRY (router_grant) report_link;
};
TAILQ_HEAD (router_grant_list, router_grant);

/* Token buckets for retries and hedges, and idle grants, of one service.  */
struct router_service
{
  router_key_t key;
  budget_t retry;
  /* For retries after an unknown outcome, which need a token of @retry too. */
  budget_t unknown;
  budget_t hedge;
  struct router_grant_list idle;
  TAILQ_ENTRY (router_service) link;
};

struct router_attempt
{
  router_key_t key;
  router_pending_request_t *pending; /* NULL when the request has ended */
  router_service_t *service;
  router_grant_t *used_grant;
  TAILQ_ENTRY (router_attempt) link; /* in the request's list of attempts */
};
TAILQ_HEAD (router_attempt_list, router_attempt);

/* A pool that gave no usable grant to a request.  */
typedef struct router_tried_pool
{
  decide_id_t pool;
  bool refused;    /* false: no answer, no usable grant, or queue left */
  bool queue_full; /* refused or left because of other waiting requests */
} router_tried_pool_t;

struct router_pending_request
{
  router_key_t key;
  router_request_t request;
  router_service_t *service;
  router_grant_request_t
      request_grant_from_owner; /* at most one grant request at a time */
  struct router_attempt_list attempts;
  uint32_t grant_request_count;
  uint32_t attempt_count; /* started, ended ones included */
  bool left_queue; /* left a queue for another data centre; allowed once */
  uint32_t tried_pool_count;
  router_tried_pool_t tried_pools[ROUTER_GRANT_REQUESTS_MAX];
  clock_ms_t hedge_at;           /* INT64_MAX: no hedge, or already done */
  clock_ms_t min_retry_after_ms; /* INT64_MAX until known */
  decide_reason_t reason;        /* of the last refusal by an owner */
  decide_ran_t ran;
  decide_id_t last_endpoint; /* endpoint of the last attempt that ended */
  TAILQ_ENTRY (router_pending_request) link;
};
TAILQ_HEAD (router_pending_list, router_pending_request);

struct router
{
  router_callbacks_t callbacks;
  decide_rng_t *rng;
  uint64_t last_number; /* of a grant request or an attempt */
  bool stopping;
  clock_ms_t next_due; /* time of the next timer */
  uint32_t pending_count;
  uint32_t grant_count;
  void *pending_by_id;
  void *grant_requests;
  void *attempts;
  void *grants;
  void *services;
  void *pool_states;
  struct router_pending_list pending;
  struct router_grant_list report_queue; /* ordered by report_due_at */
  TAILQ_HEAD (, router_service) service_list;
};

/* Operations on the tables.  Each entry starts with its router_key_t.
   router_find() returns NULL when there is no such entry, and router_add()
   returns 0 or -ENOMEM.  */
void *router_find (void *const *table, uint64_t number, uint64_t owner);
int router_add (void **table, void *entry);
void router_remove (void **table, void *entry);

/* Makes router_tick() run its timers at @due or earlier.  */
void router_schedule (router_t *router, clock_ms_t due);
/* Ends a request and cancels its attempts without calling @refuse.  */
void router_end_request (router_t *router, clock_ms_t now,
                         router_pending_request_t *pending);
/* Ends a request like router_end_request() and reports its refusal.  */
void router_refuse (router_t *router, clock_ms_t now,
                    router_pending_request_t *pending, decide_reason_t reason);
void router_update_retry_after (router_pending_request_t *pending,
                                clock_ms_t retry_after_ms);

/* Reports that a use of a reusable grant has ended, at once or in a batch.  */
void router_report_use (router_t *router, clock_ms_t now,
                        router_grant_t *grant,
                        const decide_attempt_end_t *end);
/* Sends the batches of ended uses that are due.  */
void router_send_due_reports (router_t *router, clock_ms_t now);
/* Sends RELEASE with all unreported ends and @end at once.  Frees @grant
   unless @keep is set.  */
void router_send_release (router_t *router, router_grant_t *grant,
                          const decide_attempt_end_t *end, bool keep);

/* Starts an attempt with an idle reusable grant, or requests a grant from an
   owner; refuses the request when neither is possible.  */
void router_dispatch (router_t *router, clock_ms_t now,
                      router_pending_request_t *pending);
/* Chooses a pool and requests a grant from its owner.  Return: false when no
   pool is left, the limit of grant requests is reached, or memory is short. */
bool router_request_grant (router_t *router, clock_ms_t now,
                           router_pending_request_t *pending, bool hedge);
/* Ends the pending grant request, if there is one; with @notify_owner the
   owner receives GRANT_CANCEL.  */
void router_end_grant_request (router_t *router,
                               router_pending_request_t *pending,
                               bool notify_owner);
/* Handles an owner that did not answer in time: tries the next pool, or
   refuses the request, which frees @pending.  */
void router_handle_grant_timeout (router_t *router, clock_ms_t now,
                                  router_pending_request_t *pending);

/* Starts an attempt with a grant; it is a hedge while another attempt runs.
   Return: 0, or -ENOMEM after the grant was returned to its owner.  */
int router_start_attempt (router_t *router, clock_ms_t now,
                          router_pending_request_t *pending,
                          router_grant_t *grant);
/* Takes an idle grant out of the service's list, and returns those that
   cannot be used to their owners.  Return: a usable grant on an endpoint on
   which the request neither runs now nor ended its last attempt, or NULL.  */
router_grant_t *
router_take_idle_grant (router_t *router, clock_ms_t now,
                        const router_pending_request_t *pending);
/* Returns a grant that no attempt uses to its owner and frees it.  */
void router_return_unused_grant (router_t *router, router_grant_t *grant);
/* Returns a grant whose grant request is no longer pending.  */
void router_return_unmatched_grant (router_t *router, decide_id_t owner,
                                    const decide_msg_grant_t *msg);

#endif
