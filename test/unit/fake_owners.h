#ifndef PERIDOT_FAKE_OWNERS_H
#define PERIDOT_FAKE_OWNERS_H

/* Owners played by a test: records what a router does.  Pool P belongs to
   owner 100 + P.  */

#include "router.h"

#include <glib.h>

#define POOLS 3
#define SERVICE 4
#define RUN_MS 1000

typedef struct
{
  decide_id_t owner;
  decide_msg_grant_t msg;
  bool cancelled;
} fake_ask_t;

typedef struct
{
  decide_id_t owner;
  decide_msg_release_t msg;
} fake_given_t;

extern GArray *fake_asks;
extern GArray *fake_given;
extern GArray *fake_forwards;
extern GArray *fake_cancels;
extern GArray *fake_refusals;
extern bool fake_usable;
extern uint16_t fake_slots_free;
extern uint16_t fake_queued;
extern clock_ms_t fake_seen;
extern uint32_t fake_priority; /* of requests and grants */
extern uint32_t fake_unknown_per_mille;
extern bool fake_local[POOLS];
extern bool fake_out[POOLS];

router_t *fake_router (void);
void fake_request (router_t *router, clock_ms_t now, uint64_t id,
                   bool idempotent, bool hedge);
const fake_ask_t *fake_ask (void);
const router_forward_t *fake_forward (void);
const decide_refusal_t *fake_refusal (void);
const fake_given_t *fake_last_given (void);
void fake_grant (router_t *router, clock_ms_t now, const fake_ask_t *ask,
                 decide_id_t endpoint, clock_ms_t lend_ms, clock_ms_t wait_ms);
void fake_refuse (router_t *router, clock_ms_t now, const fake_ask_t *ask,
                  decide_reason_t reason, clock_ms_t wait_ms);
bool fake_done (router_t *router, clock_ms_t now, uint64_t attempt,
                decide_attempt_result_t result);
void fake_set_up (void);
void fake_tear_down (void);

#endif
