#include "slots_sim.h"

#include "budget.h"
#include "decide.h"
#include "policy.h"
#include "pool.h"
#include "router.h"

#include <glib.h>
#include <math.h>
#include <string.h>

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

static struct
{
  sim_options_t options;
  sim_result_t *result;
  const policy_t *policy;
  us_t now;
  uint64_t sequence;
  uint32_t step;
  decide_rng_t rng;
  decide_rng_t router_rng;
  GArray *heap;
  GArray *requests;
  GArray *attempts;
  GArray *latencies;
  server_t servers[ENDPOINTS];
  instance_t instances[INSTANCES];
  pool_t *pools[POOLS];
  bool out[CENTRES];
  us_t out_since;
  uint32_t retries;
} sim;

static request_t *
request_at (uint64_t index)
{
  return &g_array_index (sim.requests, request_t, index);
}

static attempt_t *
attempt_at (uint64_t index)
{
  return &g_array_index (sim.attempts, attempt_t, index);
}

static clock_ms_t
now_ms (void)
{
  return sim.now / US;
}

static double
uniform (void)
{
  return (double)(decide_rng_next (&sim.rng) >> 11) / 9007199254740992.0;
}

static bool
earlier (const event_t *x, const event_t *y)
{
  return x->at != y->at ? x->at < y->at : x->sequence < y->sequence;
}

static void
put (us_t at, event_t event)
{
  guint i = sim.heap->len;

  event.at = at;
  event.sequence = sim.sequence++;
  g_array_append_val (sim.heap, event);
  while (i > 0)
    {
      event_t *child = &g_array_index (sim.heap, event_t, i);
      event_t *parent = &g_array_index (sim.heap, event_t, (i - 1) / 2);
      event_t swap = *parent;

      if (!earlier (child, parent))
        break;
      *parent = *child;
      *child = swap;
      i = (i - 1) / 2;
    }
}

static event_t
take (void)
{
  event_t *heap = (event_t *)(void *)sim.heap->data;
  event_t first = heap[0];
  guint i = 0;

  heap[0] = heap[sim.heap->len - 1];
  g_array_set_size (sim.heap, sim.heap->len - 1);
  while (2 * i + 1 < sim.heap->len)
    {
      guint child = 2 * i + 1;
      event_t swap = heap[i];

      if (child + 1 < sim.heap->len
          && earlier (&heap[child + 1], &heap[child]))
        child++;
      if (!earlier (&heap[child], &heap[i]))
        break;
      heap[i] = heap[child];
      heap[child] = swap;
      i = child;
    }
  return first;
}

static us_t
delay (uint32_t from, uint32_t to, bool message)
{
  /* Messages wait for the sender thread; the rest is the network.  */
  return (from == to ? 100 : 1500) + (message ? 100 : 0);
}

/* ---- Requests ---- */

static void
end_request (uint32_t index, bool answered)
{
  request_t *request = request_at (index);
  double latency = (double)(sim.now - request->arrived) / US;

  if (request->ended)
    {
      sim.result->ended_twice++;
      return;
    }
  request->ended = true;
  if (sim.now > request->deadline + 2 * US
      && !sim.instances[request->instance].was_paused)
    sim.result->ended_late++;
  if (request->arrived < (us_t)sim.options.warm_up_ms * US)
    return;
  if (answered)
    {
      sim.result->answered++;
      g_array_append_val (sim.latencies, latency);
    }
  else
    sim.result->refused++;
}

static void
cb_refuse (void *context, const decide_refusal_t *refusal)
{
  (void)context;
  if (refusal->ran == DECIDE_RAN_NO && request_at (refusal->request)->ran > 0)
    sim.result->false_not_run++;
  g_assert_cmpint (refusal->retry_after_ms, >, 0);
  end_request ((uint32_t)refusal->request, false);
}

static void
cb_forward (void *context, const router_forward_t *forward)
{
  instance_t *instance = context;
  attempt_t attempt = { .request = (uint32_t)forward->request,
                        .instance = (uint32_t)(instance - sim.instances),
                        .endpoint = (uint32_t)forward->endpoint - 1,
                        .number = forward->attempt,
                        .start_by = forward->start_by,
                        .deadline = forward->deadline * US };

  g_array_append_val (sim.attempts, attempt);
  sim.result->attempts++;
  sim.result->hedges += forward->hedge;
  if (request_at (forward->request)->attempts++ > 0 && !forward->hedge)
    sim.retries++;
  put (sim.now, (event_t){ .kind = EV_FORWARD,
                           .a = attempt.instance,
                           .c = sim.attempts->len - 1 });
}

static void
cut_at_server (uint64_t index, us_t at)
{
  put (at, (event_t){ .kind = EV_CUT, .c = index });
}

static void
attempt_over (uint64_t index, decide_attempt_result_t result,
              const decide_load_t *load)
{
  attempt_t *attempt = attempt_at (index);
  decide_attempt_end_t end = { .result = result,
                               .status = 200,
                               .latency_ms = (sim.now - attempt->sent) / US };
  instance_t *instance = &sim.instances[attempt->instance];
  uint32_t request = attempt->request;
  bool answer = result == DECIDE_ATTEMPT_ANSWERED;

  if (attempt->done)
    return;
  attempt->done = true;
  if (load != NULL)
    end.load = *load;
  if (instance->router != NULL)
    {
      answer = router_attempt_done (instance->router, now_ms (),
                                    attempt->number, &end);
      if (answer)
        end_request (request, true);
      return;
    }
  instance->local[attempt->endpoint]--;
  if (result == DECIDE_ATTEMPT_SHED && request_at (request)->attempts < 4
      && sim.now < request_at (request)->deadline
      && budget_spend (&instance->budget, now_ms ()))
    put (sim.now, (event_t){ .kind = EV_ARRIVE,
                             .a = attempt->instance,
                             .b = 1,
                             .c = request });
  else
    end_request (request, answer);
}

static void
cb_cancel (void *context, uint64_t number)
{
  for (guint i = sim.attempts->len; i-- > 0;)
    if (attempt_at (i)->number == number)
      {
        attempt_t *attempt = attempt_at (i);
        instance_t *instance = context;

        cut_at_server (i, sim.now
                              + delay (instance->centre,
                                       sim.servers[attempt->endpoint].centre,
                                       false));
        /* Reported after the call, as the daemon's worker does.  */
        put (sim.now, (event_t){ .kind = EV_DONE,
                                 .a = attempt->instance,
                                 .b = DECIDE_ATTEMPT_CANCELLED,
                                 .c = i });
        return;
      }
}

/* ---- Servers ---- */

static decide_load_t
load_of (const server_t *server)
{
  return (decide_load_t){ .present = true,
                          .in_flight = server->running,
                          .queued = server->waiting.length,
                          .slots = server->slots,
                          .cold = server->cold_left > 0,
                          .draining = server->draining,
                          .identity = server->identity };
}

static us_t
run_time (server_t *server)
{
  double half = sim.options.service_ms * US / 2.0;
  double work = half - half * log (1 - uniform ());
  us_t at = sim.now;
  double slow;

  if (server->cold_left > 0)
    work *= COLD_FACTOR;
  if (at >= server->noisy_until || at + work <= server->noisy_from)
    return (us_t)work;
  if (at < server->noisy_from)
    {
      work -= (double)(server->noisy_from - at);
      at = server->noisy_from;
    }
  slow = (double)(server->noisy_until - at);
  if (work * NOISE_FACTOR > slow)
    work = slow + (work - slow / NOISE_FACTOR);
  else
    work *= NOISE_FACTOR;
  return at - sim.now + (us_t)work;
}

static void
serve (server_t *server)
{
  uint32_t workers = server->cold_left > 0 ? 1 : server->slots;

  while (server->running < workers && server->waiting.length > 0)
    {
      uint64_t index
          = GPOINTER_TO_SIZE (g_queue_pop_head (&server->waiting)) - 1;
      attempt_t *attempt = attempt_at (index);
      request_t *request = request_at (attempt->request);

      attempt->running = true;
      server->running++;
      if (request->ran++ > 0 && request->once)
        sim.result->ran_twice++;
      put (sim.now + run_time (server),
           (event_t){ .kind = EV_FINISH, .a = attempt->endpoint, .c = index });
    }
}

static void
answer_from (uint64_t index, decide_attempt_result_t result)
{
  attempt_t *attempt = attempt_at (index);
  server_t *server = &sim.servers[attempt->endpoint];
  decide_load_t load = load_of (server);

  put (sim.now
           + delay (server->centre, sim.instances[attempt->instance].centre,
                    false),
       (event_t){ .kind = EV_DONE,
                  .a = attempt->instance,
                  .b = result,
                  .c = index,
                  .release.end.load = load });
}

static void
at_server (uint64_t index)
{
  attempt_t *attempt = attempt_at (index);
  server_t *server = &sim.servers[attempt->endpoint];
  uint32_t load = server->running + server->waiting.length + 1;

  if (attempt->left_server)
    return;
  if (server->draining || load > server->slots + SERVER_QUEUE)
    {
      if (server->draining && server->drained_at == 0)
        server->drained_at = sim.now;
      if (server->draining && sim.now > server->drained_at + 100 * US)
        sim.result->sent_to_drained++;
      attempt->left_server = true;
      sim.result->shed++;
      answer_from (index, DECIDE_ATTEMPT_SHED);
      return;
    }
  if (load > server->slots && load - server->slots > sim.result->over_slots)
    sim.result->over_slots = load - server->slots;
  if (server->cold_left > 0 && load - 1 > sim.result->over_cold)
    sim.result->over_cold = load - 1;
  attempt->at_server = true;
  g_queue_push_tail (&server->waiting, GSIZE_TO_POINTER (index + 1));
  serve (server);
}

static void
leave_server (uint64_t index)
{
  attempt_t *attempt = attempt_at (index);
  server_t *server = &sim.servers[attempt->endpoint];

  if (attempt->left_server)
    return;
  attempt->left_server = true;
  if (!attempt->at_server)
    return;
  if (attempt->running)
    server->running--;
  else
    g_queue_remove (&server->waiting, GSIZE_TO_POINTER (index + 1));
  serve (server);
}

static void
finish (uint64_t index)
{
  attempt_t *attempt = attempt_at (index);
  server_t *server = &sim.servers[attempt->endpoint];

  if (attempt->left_server)
    return;
  if (server->cold_left > 0)
    server->cold_left--;
  leave_server (index);
  answer_from (index, DECIDE_ATTEMPT_ANSWERED);
}

/* The process ends: its requests are reset, the next one is cold.  */
static void
restart_server (uint32_t endpoint)
{
  server_t *server = &sim.servers[endpoint];

  for (guint i = 0; i < sim.attempts->len; i++)
    if (attempt_at (i)->endpoint == endpoint && attempt_at (i)->at_server
        && !attempt_at (i)->left_server)
      {
        attempt_at (i)->left_server = true;
        answer_from (i, DECIDE_ATTEMPT_RESET);
      }
  server->running = 0;
  g_queue_clear (&server->waiting);
  server->cold_left = COLD_ANSWERS;
  server->identity++;
  server->draining = false;
}

static void
forward_now (uint64_t index)
{
  attempt_t *attempt = attempt_at (index);
  server_t *server = &sim.servers[attempt->endpoint];
  us_t there
      = delay (sim.instances[attempt->instance].centre, server->centre, false);

  if (attempt->done)
    return;
  attempt->sent = sim.now;
  if (now_ms () > attempt->start_by)
    {
      attempt_over (index, DECIDE_ATTEMPT_UNUSED, NULL);
      return;
    }
  /* A pause between the decision and the sending is bounded by start_by.  */
  if (sim.out[server->centre]
      && sim.now > sim.out_since
                       + (sim.instances[attempt->instance].was_paused
                              ? 3000 * US
                              : US))
    sim.result->sent_to_out++;
  put (sim.now + there, (event_t){ .kind = EV_AT_SERVER, .c = index });
  cut_at_server (index, attempt->deadline + there);
  put (attempt->deadline,
       (event_t){ .kind = EV_TIMEOUT, .a = attempt->instance, .c = index });
}

/* ---- Messages ---- */

static void
send (uint32_t from, uint32_t to, event_t event)
{
  sim.result->messages++;
  if ((sim.options.faults & SIM_LOSS) != 0 && from != to
      && decide_rng_below (&sim.rng, 100) == 0)
    return;
  put (sim.now
           + (from == to ? 0
                         : delay (sim.instances[from].centre,
                                  sim.instances[to].centre, true)),
       event);
}

static void
to_owner (instance_t *instance, decide_id_t owner, decide_msg_type_t type,
          const decide_msg_grant_t *grant, const decide_msg_release_t *release)
{
  event_t event = { .kind = EV_OWNER,
                    .a = (uint32_t)owner - 1,
                    .b = (uint32_t)(instance - sim.instances),
                    .type = type };

  if (grant != NULL)
    event.grant = *grant;
  if (release != NULL)
    event.release = *release;
  send (event.b, event.a, event);
}

static void
cb_ask (void *context, decide_id_t owner, const decide_msg_grant_t *msg)
{
  to_owner (context, owner, DECIDE_MSG_GRANT_REQUEST, msg, NULL);
}

static void
cb_cancel_ask (void *context, decide_id_t owner, const decide_msg_grant_t *msg)
{
  to_owner (context, owner, DECIDE_MSG_GRANT_CANCEL, msg, NULL);
}

static void
cb_release (void *context, decide_id_t owner, const decide_msg_release_t *msg)
{
  to_owner (context, owner, DECIDE_MSG_RELEASE, NULL, msg);
}

/* Pools 0 and 1 are in data centre 0, and so on; owners are there too.  */
static uint32_t
owner_of (uint32_t pool)
{
  return pool / 2 + CENTRES * (pool % 2);
}

static void
to_holder (uint32_t pool, decide_id_t holder, decide_msg_type_t type,
           const decide_msg_grant_t *msg)
{
  send (owner_of (pool), (uint32_t)holder - 1,
        (event_t){ .kind = EV_HOLDER,
                   .a = (uint32_t)holder - 1,
                   .b = owner_of (pool),
                   .type = type,
                   .grant = *msg });
}

static void
cb_granted (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_GRANT, msg);
}

static void
cb_queued (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_QUEUED, msg);
}

static void
cb_refused (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_REFUSED, msg);
}

static void
cb_recall (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_RECALL, msg);
}

static void
cb_probe (void *context, decide_id_t pool, decide_id_t endpoint)
{
  (void)pool;
  put (sim.now + 6 * US, (event_t){ .kind = EV_PROBED,
                                    .a = owner_of (GPOINTER_TO_UINT (context)),
                                    .b = GPOINTER_TO_UINT (context),
                                    .c = endpoint });
}

static uint32_t
cb_candidates (void *context, decide_id_t service,
               router_candidate_t *candidates, uint32_t max)
{
  instance_t *instance = context;

  (void)service;
  g_assert_cmpuint (max, >=, POOLS);
  for (uint32_t i = 0; i < POOLS; i++)
    candidates[i]
        = (router_candidate_t){ .pool = i + 1,
                                .owner = owner_of (i) + 1,
                                .local = i / 2 == instance->centre,
                                .out = sim.out[i / 2],
                                .free = instance->ads[i].free,
                                .queued = instance->ads[i].queued,
                                .seen = now_ms () / DECIDE_HEARTBEAT_MS
                                        * DECIDE_HEARTBEAT_MS };
  return POOLS;
}

static bool
cb_usable (void *context, decide_id_t service, decide_id_t pool,
           decide_id_t endpoint)
{
  (void)context;
  (void)service;
  (void)pool;
  return !sim.out[sim.servers[endpoint - 1].centre];
}

static void
at_owner (const event_t *event)
{
  decide_id_t holder = event->b + 1;

  if (event->type == DECIDE_MSG_GRANT_REQUEST)
    pool_request (sim.pools[event->grant.pool - 1], now_ms (), holder,
                  &event->grant);
  else if (event->type == DECIDE_MSG_GRANT_CANCEL)
    pool_cancel (sim.pools[event->grant.pool - 1], now_ms (), holder,
                 event->grant.request);
  else
    pool_release (sim.pools[event->release.pool - 1], now_ms (), holder,
                  &event->release);
}

static void
at_holder (const event_t *event)
{
  instance_t *instance = &sim.instances[event->a];
  decide_id_t owner = event->b + 1;

  if (event->type == DECIDE_MSG_GRANT)
    router_granted (instance->router, now_ms (), owner, &event->grant);
  else if (event->type == DECIDE_MSG_QUEUED)
    router_queued (instance->router, now_ms (), owner, &event->grant);
  else if (event->type == DECIDE_MSG_REFUSED)
    router_refused (instance->router, now_ms (), owner, &event->grant);
  else
    router_recall (instance->router, now_ms (), owner, &event->grant);
}

/* ---- Arrivals, ticks, faults ---- */

static void
choose_and_forward (instance_t *instance, uint64_t index)
{
  policy_endpoint_t endpoints[ENDPOINTS];
  router_forward_t forward = { .request = index,
                               .attempt = sim.attempts->len,
                               .start_by = INT64_MAX,
                               .deadline = request_at (index)->deadline / US };
  uint32_t at;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    endpoints[i] = (policy_endpoint_t){
      .endpoint = i,
      .local = instance->local[i],
      .reported = true,
      .in_flight = sim.servers[i].history[sim.step % REPORT_AGE],
    };
  at = sim.policy->choose (&instance->policy, endpoints, ENDPOINTS);
  instance->local[at]++;
  forward.endpoint = at + 1;
  cb_forward (instance, &forward);
}

static void
arrive (const event_t *event)
{
  instance_t *instance = &sim.instances[event->a];
  uint64_t index = event->c;
  request_t *request;
  router_request_t wanted;

  if (event->b == 0)
    {
      index = sim.requests->len;
      g_array_append_vals (
          sim.requests,
          &(request_t){ .instance = event->a,
                        .arrived = sim.now,
                        .deadline
                        = sim.now + (us_t)sim.options.timeout_ms * US,
                        .once = decide_rng_below (&sim.rng, 100)
                                < sim.options.once_percent },
          1);
      sim.result->requests++;
      budget_earn (&instance->budget);
    }
  request = request_at (index);
  if (instance->router == NULL)
    {
      choose_and_forward (instance, index);
      return;
    }
  wanted = (router_request_t){ .id = index,
                               .service = SERVICE,
                               .idempotent = !request->once,
                               .retry = true,
                               .hedge = sim.options.hedge,
                               .hedge_after_ms = sim.options.hedge_after_ms,
                               .run_ms = RUN_MS,
                               .deadline = request->deadline / US };
  router_request (instance->router, now_ms (), &wanted);
}

static void
configure (uint32_t pool)
{
  pool_settings_t settings
      = { .id = pool + 1, .run_ms = RUN_MS, .queue_max = QUEUE_MAX };

  settings.out = sim.out[pool / 2];
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (sim.servers[i].pool == pool)
      settings.endpoints[settings.endpoint_count++]
          = (pool_endpoint_t){ .id = i + 1, .slots = SLOTS };
  if (sim.pools[pool] != NULL)
    {
      g_assert_cmpint (pool_configure (sim.pools[pool], now_ms (), &settings),
                       ==, 0);
      return;
    }
  sim.pools[pool]
      = pool_new (&settings,
                  &(pool_callbacks_t){ .context = GUINT_TO_POINTER (pool),
                                       .granted = cb_granted,
                                       .queued = cb_queued,
                                       .refused = cb_refused,
                                       .recall = cb_recall,
                                       .probe = cb_probe },
                  decide_rng_next (&sim.router_rng), now_ms ());
  pool_resume (sim.pools[pool], now_ms ());
}

/* Moves a pool to a new owner state by handover, as a planned stop does.  */
static void
hand_over (uint32_t pool)
{
  decide_handover_grant_t grants[DECIDE_HANDOVER_GRANTS_MAX];
  pool_t *old = sim.pools[pool];
  uint32_t count;

  pool_suspend (old, now_ms ());
  count = pool_export (old, now_ms (), 0, grants, G_N_ELEMENTS (grants));
  g_assert_cmpuint (count, ==, pool_grant_count (old));
  sim.pools[pool] = NULL;
  configure (pool);
  for (uint32_t i = 0; i < count; i++)
    pool_import (sim.pools[pool], now_ms (), &grants[i]);
  pool_free (old);
}

static void
drain (server_t *server, uint32_t endpoint)
{
  if (server->draining)
    restart_server (endpoint);
  else
    {
      server->draining = true;
      server->drained_at = 0;
    }
}

static void
fault (void)
{
  uint32_t kind = 1U << decide_rng_below (&sim.rng, 6);
  uint32_t endpoint = decide_rng_below (&sim.rng, ENDPOINTS);
  uint32_t pool = decide_rng_below (&sim.rng, POOLS);
  instance_t *instance
      = &sim.instances[decide_rng_below (&sim.rng, INSTANCES)];

  switch (kind & sim.options.faults)
    {
    case SIM_RESTART:
      restart_server (endpoint);
      break;
    case SIM_DRAIN:
      drain (&sim.servers[endpoint], endpoint);
      break;
    case SIM_PAUSE:
      instance->paused_until
          = sim.now + (us_t)decide_rng_below (&sim.rng, 3000) * US;
      instance->was_paused = true;
      break;
    case SIM_HANDOVER:
      hand_over (pool);
      break;
    case SIM_OUT:
      sim.out[pool / 2] = !sim.out[pool / 2];
      sim.out_since = sim.now;
      configure (pool / 2 * 2);
      configure (pool / 2 * 2 + 1);
      break;
    case SIM_COLD:
      pool_start_cold (sim.pools[pool], now_ms ());
      break;
    default:
      break;
    }
}

static void
make_noise (server_t *server)
{
  if (!sim.options.noise || sim.now < server->noisy_until)
    return;
  server->noisy_from = sim.now + (us_t)(-2e6 * log (1 - uniform ()));
  server->noisy_until
      = server->noisy_from + (20 + decide_rng_below (&sim.rng, 181)) * US;
}

static void
tick (void)
{
  sim.step = (uint32_t)(now_ms () / REPORT_STEP_MS);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      server_t *server = &sim.servers[i];

      make_noise (server);
      if (now_ms () % REPORT_STEP_MS == 0)
        server->history[(sim.step + REPORT_AGE - 1) % REPORT_AGE]
            = server->running + server->waiting.length;
    }
  if (sim.options.cold && now_ms () % 500 == 250)
    restart_server (decide_rng_below (&sim.rng, ENDPOINTS));
  for (uint32_t i = 0; i < POOLS && sim.pools[i] != NULL; i++)
    {
      decide_pool_load_t load;

      if (sim.instances[owner_of (i)].paused_until > sim.now)
        continue;
      pool_tick (sim.pools[i], now_ms ());
      pool_get_load (sim.pools[i], &load);
      for (uint32_t j = 0; j < INSTANCES; j++)
        if (now_ms () % DECIDE_HEARTBEAT_MS == 0)
          sim.instances[j].ads[i] = load;
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (sim.instances[i].router != NULL
        && sim.instances[i].paused_until <= sim.now)
      router_tick (sim.instances[i].router, now_ms ());
}

static void
dispatch (const event_t *event)
{
  switch (event->kind)
    {
    case EV_ARRIVE:
      arrive (event);
      break;
    case EV_FORWARD:
      forward_now (event->c);
      break;
    case EV_AT_SERVER:
      at_server (event->c);
      break;
    case EV_FINISH:
      finish (event->c);
      break;
    case EV_CUT:
      leave_server (event->c);
      break;
    case EV_DONE:
      attempt_over (event->c, (decide_attempt_result_t)event->b,
                    &event->release.end.load);
      break;
    case EV_TIMEOUT:
      attempt_over (event->c, DECIDE_ATTEMPT_TIMEOUT, NULL);
      break;
    case EV_OWNER:
      at_owner (event);
      break;
    case EV_HOLDER:
      at_holder (event);
      break;
    case EV_PROBED:
      {
        decide_load_t load = load_of (&sim.servers[event->c - 1]);

        pool_probed (sim.pools[event->b], now_ms (), event->c, true, 6, &load);
        break;
      }
    case EV_FAULT:
      fault ();
      put (sim.now + (us_t)decide_rng_below (&sim.rng, 200) * US,
           (event_t){ .kind = EV_FAULT });
      break;
    case EV_TICK:
      tick ();
      put (sim.now + US, (event_t){ .kind = EV_TICK });
      break;
    default:
      g_assert_not_reached ();
    }
}

static bool
is_for_instance (kind_t kind)
{
  return kind == EV_ARRIVE || kind == EV_FORWARD || kind == EV_DONE
         || kind == EV_TIMEOUT || kind == EV_OWNER || kind == EV_HOLDER
         || kind == EV_PROBED;
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
quantile (double share)
{
  if (sim.latencies->len == 0)
    return 0;
  return g_array_index (sim.latencies, double,
                        (guint)(share * (sim.latencies->len - 1)));
}

static void
set_up (const sim_options_t *options, sim_result_t *result)
{
  memset (&sim, 0, sizeof sim);
  memset (result, 0, sizeof *result);
  sim.options = *options;
  sim.result = result;
  sim.policy = policy_find (options->policy);
  g_assert_nonnull (sim.policy);
  decide_rng_seed (&sim.rng, options->seed);
  decide_rng_seed (&sim.router_rng, options->seed + 1);
  sim.heap = g_array_new (FALSE, FALSE, sizeof (event_t));
  sim.requests = g_array_new (FALSE, FALSE, sizeof (request_t));
  sim.attempts = g_array_new (FALSE, FALSE, sizeof (attempt_t));
  sim.latencies = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    sim.servers[i] = (server_t){ .centre = i % CENTRES,
                                 .pool = i % CENTRES * 2 + i / CENTRES / 4,
                                 .slots = SLOTS,
                                 .identity = 1000 * (i + 1) };
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      instance_t *instance = &sim.instances[i];

      instance->centre = i % CENTRES;
      instance->policy.rng = &sim.router_rng;
      budget_init (&instance->budget, BUDGET_RETRY_PERCENT,
                   BUDGET_RETRY_FLOOR_PER_S, 0);
      if (sim.policy->choose == NULL)
        instance->router
            = router_new (&(router_callbacks_t){ .context = instance,
                                                 .candidates = cb_candidates,
                                                 .usable = cb_usable,
                                                 .ask = cb_ask,
                                                 .cancel_ask = cb_cancel_ask,
                                                 .release = cb_release,
                                                 .forward = cb_forward,
                                                 .cancel = cb_cancel,
                                                 .refuse = cb_refuse },
                          &sim.router_rng, 0);
    }
  for (uint32_t i = 0; i < POOLS && sim.policy->choose == NULL; i++)
    configure (i);
}

static void
tear_down (void)
{
  for (uint32_t i = 0; i < POOLS; i++)
    pool_free (sim.pools[i]);
  for (uint32_t i = 0; i < INSTANCES; i++)
    router_free (sim.instances[i].router);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    g_queue_clear (&sim.servers[i].waiting);
  g_array_free (sim.heap, TRUE);
  g_array_free (sim.requests, TRUE);
  g_array_free (sim.attempts, TRUE);
  g_array_free (sim.latencies, TRUE);
}

void
sim_run (const sim_options_t *options, sim_result_t *result)
{
  us_t end = (us_t)options->duration_ms * US;
  us_t drain = (us_t)(options->timeout_ms + 3100) * US;
  double service = (double)options->service_ms * US;
  double gap = service / (ENDPOINTS * SLOTS) * 100 / options->load_percent;
  double at = 0;
  uint64_t earned;

  set_up (options, result);
  while (at < (double)end)
    {
      put ((us_t)at, (event_t){ .kind = EV_ARRIVE,
                                .a = decide_rng_below (&sim.rng, INSTANCES) });
      at -= gap * log (1 - uniform ());
    }
  put (0, (event_t){ .kind = EV_TICK });
  if (options->faults != 0)
    put (US, (event_t){ .kind = EV_FAULT });
  while (sim.heap->len > 0)
    {
      event_t event = take ();

      if (event.at > end + drain)
        break;
      sim.now = event.at;
      if (event.kind == EV_FAULT && event.at > end)
        continue;
      if (is_for_instance (event.kind)
          && sim.instances[event.a].paused_until > sim.now)
        put (sim.instances[event.a].paused_until, event);
      else
        dispatch (&event);
    }
  for (guint i = 0; i < sim.requests->len; i++)
    result->not_ended += !request_at (i)->ended;
  g_array_sort (sim.latencies, compare_double);
  result->p50_ms = quantile (0.5);
  result->p99_ms = quantile (0.99);
  result->p999_ms = quantile (0.999);
  result->capacity_answered
      = (double)result->answered * service
        / ((double)(options->duration_ms - options->warm_up_ms) * US
           * ENDPOINTS * SLOTS);
  earned = result->requests * BUDGET_RETRY_PERCENT / 100
           + (uint64_t)INSTANCES * (options->duration_ms / 1000 + 5);
  if (sim.retries > earned)
    result->retries_over = sim.retries - (uint32_t)earned;
  tear_down ();
}
