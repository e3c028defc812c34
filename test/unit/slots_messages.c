#include "slots_world.h"

static void
send (uint32_t from, uint32_t to, event_t event)
{
  sim.result->messages++;
  if ((sim.options.faults & SIM_LOSS) != 0 && from != to
      && decide_rng_below (&sim.rng, 100) == 0)
    return;
  sim_put (sim.now
               + (from == to ? 0
                             : sim_delay (sim.instances[from].centre,
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
uint32_t
sim_owner (uint32_t pool)
{
  return pool / 2 + CENTRES * (pool % 2);
}

static void
to_holder (uint32_t pool, decide_id_t holder, decide_msg_type_t type,
           const decide_msg_grant_t *msg)
{
  send (sim_owner (pool), (uint32_t)holder - 1,
        (event_t){ .kind = EV_HOLDER,
                   .a = (uint32_t)holder - 1,
                   .b = sim_owner (pool),
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
  sim_put (sim.now + 6 * US,
           (event_t){ .kind = EV_PROBED,
                      .a = sim_owner (GPOINTER_TO_UINT (context)),
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
                                .owner = sim_owner (i) + 1,
                                .local = i / 2 == instance->centre,
                                .out = sim.out[i / 2],
                                .free = instance->ads[i].free,
                                .queued = instance->ads[i].queued,
                                .seen = sim_now_ms ()
                                        / DECIDE_HEARTBEAT_INTERVAL_MS
                                        * DECIDE_HEARTBEAT_INTERVAL_MS };
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

void
sim_at_owner (const event_t *event)
{
  decide_id_t holder = event->b + 1;

  if (event->type == DECIDE_MSG_GRANT_REQUEST)
    pool_request (sim.pools[event->grant.pool - 1], sim_now_ms (), holder,
                  &event->grant);
  else if (event->type == DECIDE_MSG_GRANT_CANCEL)
    pool_cancel (sim.pools[event->grant.pool - 1], sim_now_ms (), holder,
                 event->grant.request);
  else
    pool_release (sim.pools[event->release.pool - 1], sim_now_ms (), holder,
                  &event->release);
}

void
sim_at_holder (const event_t *event)
{
  instance_t *instance = &sim.instances[event->a];
  decide_id_t owner = event->b + 1;

  if (event->type == DECIDE_MSG_GRANT)
    router_handle_grant (instance->router, sim_now_ms (), owner,
                         &event->grant);
  else if (event->type == DECIDE_MSG_QUEUED)
    router_handle_queued (instance->router, sim_now_ms (), owner,
                          &event->grant);
  else if (event->type == DECIDE_MSG_REFUSED)
    router_handle_refused (instance->router, sim_now_ms (), owner,
                           &event->grant);
  else
    router_handle_recall (instance->router, sim_now_ms (), owner,
                          &event->grant);
}

router_callbacks_t
sim_router_callbacks (instance_t *instance)
{
  return (router_callbacks_t){ .context = instance,
                               .candidates = cb_candidates,
                               .usable = cb_usable,
                               .ask = cb_ask,
                               .cancel_ask = cb_cancel_ask,
                               .release = cb_release,
                               .forward = sim_forward,
                               .cancel = sim_cancel,
                               .refuse = sim_refuse };
}

pool_callbacks_t
sim_pool_callbacks (uint32_t pool)
{
  return (pool_callbacks_t){ .context = GUINT_TO_POINTER (pool),
                             .granted = cb_granted,
                             .queued = cb_queued,
                             .refused = cb_refused,
                             .recall = cb_recall,
                             .probe = cb_probe };
}
