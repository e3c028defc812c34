#ifndef PERIDOT_DECIDE_ROUTER_STATE_H
#define PERIDOT_DECIDE_ROUTER_STATE_H

/* State of a router, shared by router.c (requests and timers), router_ask.c
   (choice of pool, messages of owners), router_attempt.c (grants in use) and
   router_report.c (reports of ended attempts to owners).  The tables are
   binary search trees of libc's tsearch().  */

#include "budget.h"
#include "router.h"

#include <sys/queue.h>

/* Maximum number of grant requests sent for one request; each costs a message
   and its reply.  */
#define ROUTER_GRANT_REQUESTS_MAX 4
/* Maximum number of attempts of one request.  */
#define ROUTER_ATTEMPTS_MAX 4
/* Time for which a pool is only used as a fallback after its owner did not
   reply in time.  The owner may have failed, which missing heartbeats show
   only later.  */
#define ROUTER_BACKOFF_MS 500
/* A request leaves an owner's queue after twice its expected wait plus this
   time, because the owner may have failed in the meantime.  */
#define ROUTER_QUEUE_MARGIN_MS 100
/* Retry-after time of a refusal when no owner or backend server stated one. */
#define ROUTER_DEFAULT_RETRY_AFTER_MS 100
/* The holder of a grant treats it as expired earlier than the owner does, by
   these two margins: clock rates differ by less than 1%, and a backend server
   counts a deadline from the arrival of the request.  */
#define ROUTER_CLOCK_DRIFT_PERCENT 1
#define ROUTER_TRANSIT_MARGIN_MS 10

/* Key of an entry of a table.  */
typedef struct router_key
{
  uint64_t number; /* id or number of the entry */
  uint64_t owner;  /* in the table of grants, the owner that issued the grant,
                      because each owner numbers its own grants; 0 in other
                      tables */
} router_key_t;

typedef struct router_pending_request router_pending_request_t;
typedef struct router_attempt router_attempt_t;

/* What the router knows about a pool besides the load that its owner reports
   in heartbeats.  */
typedef struct router_pool_state
{
  router_key_t key;          /* key.number is the pool's id */
  uint32_t unanswered_count; /* grant requests without a reply yet */
  clock_ms_t backoff_until;  /* time in ms until which the pool is only a
                                fallback */
  int64_t spare_slots; /* free slots minus waiting requests in the owner's last
                          reply */
  clock_ms_t seen;     /* arrival of that reply in ms */
} router_pool_state_t;

/* A GRANT_REQUEST that was sent to an owner and has not ended.  */
typedef struct router_grant_request
{
  router_key_t key; /* key.number is the number of the grant request; 0: none
                       pending */
  router_pending_request_t *pending; /* request that needs the grant */
  decide_id_t pool;
  decide_id_t owner;
  clock_ms_t sent_at;    /* in ms */
  clock_ms_t timeout_at; /* time in ms at which another pool is tried */
  bool queued;           /* the owner has put it into its queue */
  bool hedge; /* the grant is for a second attempt while the first one runs */
} router_grant_request_t;

typedef struct router_grant router_grant_t;
typedef struct router_service router_service_t;
/* A grant of an owner that this instance holds.  */
struct router_grant
{
  router_key_t key; /* number of the grant (key.number) and its owner */
  decide_id_t pool;
  decide_id_t endpoint;
  clock_ms_t start_by;   /* no attempt starts at or after this time (ms) */
  clock_ms_t expires_at; /* time in ms at which attempts must have ended */
  bool reusable;
  bool only_for_queued; /* reusable only by requests queued in the pool */
  uint32_t priority; /* with @only_for_queued, least urgent priority that may
                        reuse it */
  bool recalled; /* to be returned to the owner after the running attempt */
  bool idle;     /* in the service's list of idle grants */
  router_service_t *service; /* NULL until the grant is idle for the first
                                time */
  TAILQ_ENTRY (router_grant) link;
  /* An attempt under the grant was reported to the owner or is in the batch
     below.  */
  bool reported;
  uint64_t identity; /* of the backend server's process, from its last load
                        report */
  /* Batch of results of attempts that were not yet reported to the owner, in
     the order in which they ended, and the latest time in ms to send it.  */
  clock_ms_t report_due_at;
  uint32_t unreported_count; /* 0: not in the router's report_queue */
  decide_attempt_end_t unreported_ends[DECIDE_RELEASE_ENDS_MAX - 1];
  TAILQ_ENTRY (router_grant) report_link;
};
TAILQ_HEAD (router_grant_list, router_grant);

/* State of one service: token buckets for retries and hedges, and the idle
   grants on its endpoints.  */
struct router_service
{
  router_key_t key;      /* key.number is the service's id */
  budget_t retry_budget; /* for all retries */
  /* For retries after an unknown outcome.  Each needs a token from this bucket
     and one from @retry_budget.  A request whose
     retries_after_unknown_per_mille is at least DECIDE_RETRIES_PER_MILLE needs
     only the latter.  */
  budget_t unknown_budget;
  budget_t hedge_budget;
  struct router_grant_list idle;
  TAILQ_ENTRY (router_service) link;
};

/* An attempt that has not ended.  */
struct router_attempt
{
  router_key_t key; /* key.number is the number of the attempt */
  router_pending_request_t *pending; /* NULL when the request has ended */
  router_service_t *service;
  router_grant_t *used_grant;
  TAILQ_ENTRY (router_attempt) link; /* in the request's list of attempts */
};
TAILQ_HEAD (router_attempt_list, router_attempt);

/* A pool from which a request got no usable grant.  */
typedef struct router_tried_pool
{
  decide_id_t pool;
  /* The owner refused; otherwise it did not answer in time, its grant was not
     usable, or the request left its queue.  */
  bool refused;
  /* The owner refused, or the request left its queue, because of the requests
     that wait there.  */
  bool queue_too_long;
} router_tried_pool_t;

/* A request that has not ended.  */
struct router_pending_request
{
  router_key_t key; /* key.number is the request's id */
  router_request_t request;
  router_service_t *service;
  router_grant_request_t grant_request; /* at most one at a time */
  struct router_attempt_list attempts;  /* running attempts */
  uint32_t grant_requests_sent;         /* for this request, in total */
  uint32_t attempt_count;               /* attempts started, in total */
  /* The request left a queue for a pool in another data centre; this is
     allowed once.  */
  bool left_queue;
  uint32_t tried_pool_count;
  router_tried_pool_t tried_pools[ROUTER_GRANT_REQUESTS_MAX];
  clock_ms_t hedge_at; /* time in ms; INT64_MAX: no hedge, or already tried */
  /* Shortest retry-after time that was stated; INT64_MAX if none was.  */
  clock_ms_t min_retry_after_ms;
  decide_reason_t reason; /* of the last refusal by an owner */
  decide_ran_t ran;       /* whether an attempt that has ended may have run */
  decide_id_t last_endpoint; /* endpoint of the attempt that ended last */
  TAILQ_ENTRY (router_pending_request) link;
};
TAILQ_HEAD (router_pending_list, router_pending_request);

struct router
{
  router_callbacks_t callbacks;
  decide_rng_t *rng;
  uint64_t last_number; /* number given last to a grant request or attempt */
  bool stopping;        /* no grants are kept for reuse any more */
  clock_ms_t next_timer_at; /* time in ms at which the next timer is due */
  uint32_t pending_count;   /* requests that have not ended */
  uint32_t grant_count;     /* grants that this instance holds */
  /* Tables: pending requests, grant requests, attempts, grants, services and
     pool states.  */
  void *pending_by_id;
  void *grant_requests;
  void *attempts;
  void *grants;
  void *services;
  void *pool_states;
  struct router_pending_list pending;
  /* Grants with unreported attempts, ordered by report_due_at.  */
  struct router_grant_list report_queue;
  TAILQ_HEAD (, router_service) service_list;
};

/* These find, add and remove an entry of a table.  Each entry starts with its
   router_key_t.  router_find() returns NULL when there is no such entry, and
   router_add() returns 0 or -ENOMEM.  */
void *router_find (void *const *table, uint64_t number, uint64_t owner);
int router_add (void **table, void *entry);
void router_remove (void **table, void *entry);

/* Makes router_tick() run the timers no later than @due (in ms).  */
void router_schedule (router_t *router, clock_ms_t due);
/* Ends a request and cancels its attempts without calling @refuse.  */
void router_end_request (router_t *router, clock_ms_t now,
                         router_pending_request_t *pending);
/* Ends a request like router_end_request() and reports its refusal.  */
void router_refuse (router_t *router, clock_ms_t now,
                    router_pending_request_t *pending, decide_reason_t reason);
/* Lowers the retry-after time that a later refusal of the request states to
   @retry_after_ms.  Changes nothing if @retry_after_ms is 0 or is not
   shorter.  */
void router_lower_retry_after (router_pending_request_t *pending,
                               clock_ms_t retry_after_ms);

/* Reports to the owner that an attempt under a reusable grant has ended, at
   once or in a batch.  */
void router_report_attempt_end (router_t *router, clock_ms_t now,
                                router_grant_t *grant,
                                const decide_attempt_end_t *end);
/* Sends the batches of reports that are due.  */
void router_send_due_reports (router_t *router, clock_ms_t now);
/* Sends RELEASE with all unreported results of attempts and @end.  Unless
   @keep is set, the owner ends the grant, and @grant is freed.  */
void router_send_release (router_t *router, router_grant_t *grant,
                          const decide_attempt_end_t *end, bool keep);

/* Starts an attempt with an idle reusable grant, or requests a grant from an
   owner; refuses the request when neither is possible.  */
void router_dispatch (router_t *router, clock_ms_t now,
                      router_pending_request_t *pending);
/* Chooses a pool and requests a grant from its owner; @hedge says whether the
   grant is for a hedge.  Return: false when no pool is left, the maximum
   number of grant requests is reached, or memory is short.  */
bool router_request_grant (router_t *router, clock_ms_t now,
                           router_pending_request_t *pending, bool hedge);
/* Ends the pending grant request, if there is one; with @notify_owner the
   owner receives GRANT_CANCEL.  */
void router_end_grant_request (router_t *router,
                               router_pending_request_t *pending,
                               bool notify_owner);
/* Ends a grant request that timed out or whose owner no longer serves its
   pools.  Then tries the next pool, or refuses the request, which frees
   @pending.  */
void router_handle_grant_timeout (router_t *router, clock_ms_t now,
                                  router_pending_request_t *pending);

/* Starts an attempt with a grant; the attempt is a hedge if another attempt of
   the request is running.  Return: 0, or -ENOMEM, in which case the grant was
   returned to its owner.  */
int router_start_attempt (router_t *router, clock_ms_t now,
                          router_pending_request_t *pending,
                          router_grant_t *grant);
/* Takes a usable grant out of the service's list of idle grants, and returns
   to their owners the unusable grants that precede it in the list.  Return:
   the grant, or NULL.  Its endpoint is neither that of the request's first
   running attempt nor that of the attempt that ended last.  */
router_grant_t *
router_take_idle_grant (router_t *router, clock_ms_t now,
                        const router_pending_request_t *pending);
/* Returns to its owner a grant that no attempt uses, and frees @grant.  */
void router_return_unused_grant (router_t *router, router_grant_t *grant);
/* Returns to its owner a grant that this instance has not stored, because its
   grant request is no longer pending, or because memory is short.  */
void router_return_unmatched_grant (router_t *router, decide_id_t owner,
                                    const decide_msg_grant_t *msg);

#endif
