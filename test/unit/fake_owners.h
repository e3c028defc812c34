#ifndef PERIDOT_FAKE_OWNERS_H
#define PERIDOT_FAKE_OWNERS_H

/* Fake owners: the callbacks record what a router does, and the test sends
   the owners' replies.  Pool P belongs to owner 100 + P.  */

#include "router.h"

#include <glib.h>

#define POOLS 3     /* number of pools; their ids are 1 to 3 */
#define SERVICE 4   /* id of the service */
#define RUN_MS 1000 /* run_ms of requests and grants */

typedef struct
{
  decide_id_t owner;
  decide_msg_grant_t msg;
  bool cancelled;
} fake_grant_request_t;

typedef struct
{
  decide_id_t owner;
  decide_msg_release_t msg;
} fake_release_t;

/* The router's calls of each callback, in order; cleared by
   fake_router_new().  */
extern GArray *fake_grant_requests;
extern GArray *fake_releases;
extern GArray *fake_forwards;
extern GArray *fake_cancels;
extern GArray *fake_refusals;
/* Values that the callbacks, the requests and the owners' replies carry.
   fake_router_new() sets defaults, except for
   fake_retries_after_unknown_per_mille.  */
extern bool fake_usable;             /* whether the endpoints may be used */
extern uint16_t fake_free_slots;     /* free slots of each pool */
extern uint16_t fake_queued;         /* waiting requests of each pool */
extern clock_ms_t fake_heartbeat_at; /* time of the owners' last heartbeat */
extern uint32_t fake_priority;       /* priority of requests and grants */
extern uint32_t fake_retries_after_unknown_per_mille;
extern bool fake_local[POOLS]; /* pool is in the router's data centre */
extern bool fake_out_of_service[POOLS];

/* Clears the recorded calls and returns a new router.  */
router_t *fake_router_new (void);
/* Submits a request with retries allowed and a deadline 800 ms from @now;
   with @hedge, hedging starts after 20 ms.  */
void fake_submit_request (router_t *router, clock_ms_t now, uint64_t id,
                          bool idempotent, bool hedge);
/* Each of these returns the last recorded call of its kind.  */
const fake_grant_request_t *fake_last_grant_request (void);
const router_forward_t *fake_last_forward (void);
const decide_refusal_t *fake_last_refusal (void);
const fake_release_t *fake_last_release (void);
/* These reply to @grant_request as its owner.  */
void fake_send_grant (router_t *router, clock_ms_t now,
                      const fake_grant_request_t *grant_request,
                      decide_id_t endpoint, clock_ms_t lend_ms,
                      clock_ms_t wait_ms);
void fake_send_refusal (router_t *router, clock_ms_t now,
                        const fake_grant_request_t *grant_request,
                        decide_reason_t reason, clock_ms_t wait_ms);
/* Ends an attempt.  Return: whether its response is the response to the
   request.  */
bool fake_end_attempt (router_t *router, clock_ms_t now, uint64_t attempt,
                       decide_attempt_result_t result);
/* Allocate and free the arrays of recorded calls.  */
void fake_set_up (void);
void fake_tear_down (void);

#endif
