#ifndef PERIDOT_SLOTS_WORLD_H
#define PERIDOT_SLOTS_WORLD_H

/* State of the model, shared by its files.  */

#include "slots_sim.h"

#include "budget.h"
#include "decide.h"
#include "policy.h"
#include "pool.h"
#include "router.h"

#include <glib.h>

#define INSTANCES 12
#define ENDPOINTS 20
#define CENTRES 3
#define POOLS 6
#define SLOTS 3
#define SERVER_QUEUE 6 /* a server sheds beyond slots and this queue */
#define COLD_ANSWERS 40
#define COLD_FACTOR 3
#define NOISE_FACTOR 10
#define RUN_MS 1000
#define QUEUE_MAX 32
#define US 1000
#define REPORT_STEP_MS 10
#define REPORT_AGE 10 /* steps: reports are 100 ms old */
#define SERVICE 77

typedef int64_t us_t;

typedef enum
{
  EV_ARRIVE, /* request at an instance */
  EV_FORWARD,
  EV_AT_SERVER,
  EV_FINISH,
  EV_CUT, /* the server learns of a closed connection or the deadline */
  EV_DONE,
  EV_TIMEOUT,
  EV_OWNER, /* message to an owner */
  EV_HOLDER,
  EV_PROBED,
  EV_TICK,
  EV_FAULT
} kind_t;

typedef struct
{
  us_t at;
  uint64_t sequence;
  kind_t kind;
  uint32_t a;
  uint32_t b;
  uint64_t c;
  decide_msg_type_t type;
  decide_msg_grant_t grant;
  decide_msg_release_t release;
} event_t;

typedef struct
{
  uint32_t instance;
  us_t arrived;
  us_t deadline;
  bool once;
  bool ended;
  uint32_t attempts;
  uint32_t ran; /* attempts that a server began to run */
} request_t;

typedef struct
{
  uint32_t request;
  uint32_t instance;
  uint32_t endpoint;
  uint64_t number;
  clock_ms_t start_by;
  us_t deadline;
  us_t sent;
  bool at_server;
  bool running;
  bool left_server;
  bool done;
} attempt_t;

typedef struct
{
  uint32_t centre;
  uint32_t pool;
  uint32_t slots;
  uint32_t running;
  GQueue waiting;
  uint32_t cold_left;
  uint64_t identity;
  bool draining;
  us_t drained_at;
  us_t noisy_from;
  us_t noisy_until;
  uint32_t history[REPORT_AGE];
} server_t;

typedef struct
{
  uint32_t centre;
  router_t *router;
  us_t paused_until;
  bool was_paused;
  decide_pool_load_t ads[POOLS];
  uint32_t local[ENDPOINTS];
  policy_state_t policy;
  budget_t budget;
} instance_t;

typedef struct
{
  sim_options_t options;
  sim_result_t *result;
  const policy_t *policy;
  us_t now;
  uint64_t sequence;
  uint32_t step;
  decide_rng_t rng;
  decide_rng_t router_rng;
  GSequence *events;
  GArray *requests;
  GArray *attempts;
  GArray *latencies; /* ms, as double */
  GArray *waits;
  server_t servers[ENDPOINTS];
  instance_t instances[INSTANCES];
  pool_t *pools[POOLS];
  bool out[CENTRES];
  us_t out_since;
  uint32_t retries;
} sim_t;

extern sim_t sim;

request_t *sim_request (uint64_t index);
attempt_t *sim_attempt (uint64_t index);
clock_ms_t sim_now_ms (void);
double sim_uniform (void);
void sim_put (us_t at, event_t event);
event_t sim_take (void);
us_t sim_delay (uint32_t from, uint32_t to, bool message);
void sim_refuse (void *context, const decide_refusal_t *refusal);
void sim_forward (void *context, const router_forward_t *forward);
void sim_cut (uint64_t index, us_t at);
void sim_attempt_over (uint64_t index, decide_attempt_result_t result,
                       const decide_load_t *load);
void sim_cancel (void *context, uint64_t number);
decide_load_t sim_load (const server_t *server);
void sim_at_server (uint64_t index);
void sim_leave_server (uint64_t index);
void sim_finish (uint64_t index);
void sim_restart_server (uint32_t endpoint);
void sim_forward_now (uint64_t index);
uint32_t sim_owner (uint32_t pool);
void sim_at_owner (const event_t *event);
void sim_at_holder (const event_t *event);
router_callbacks_t sim_router_callbacks (instance_t *instance);
pool_callbacks_t sim_pool_callbacks (uint32_t pool);

#endif
