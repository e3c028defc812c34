#include "slots_world.h"

/* Schedules the delivery of a message between instances.  With SIM_LOSS, 1% of
   the messages to other instances are lost.  */
static void
send_message (uint32_t from, uint32_t to, event_t event)
{
  sim.result->messages++;
  if ((sim.options.faults & SIM_LOSS) != 0 && from != to
      && decide_rng_below (&sim.rng, 100) == 0)
    return;
  sim_schedule (sim.now
                    + (from == to
                           ? 0
                           : sim_delay (sim.instances[from].data_centre,
                                        sim.instances[to].data_centre, true)),
                event);
}

static void
send_to_owner (instance_t *instance, decide_id_t owner, decide_msg_type_t type,
               const decide_msg_grant_t *grant,
               const decide_msg_release_t *release)
{
  event_t event = { .kind = EV_TO_OWNER,
                    .target = (uint32_t)owner - 1,
                    .detail = (uint32_t)(instance - sim.instances),
                    .type = type };

  if (grant != NULL)
    event.grant = *grant;
  if (release != NULL)
    event.release = *release;
  send_message (event.detail, event.target, event);
}

static void
cb_request_owner_grant (void *context, decide_id_t owner,
                        const decide_msg_grant_t *msg)
{
  send_to_owner (context, owner, DECIDE_MSG_GRANT_REQUEST, msg, NULL);
}

static void
cb_cancel_owner_request (void *context, decide_id_t owner,
                         const decide_msg_grant_t *msg)
{
  send_to_owner (context, owner, DECIDE_MSG_GRANT_CANCEL, msg, NULL);
}

static void
cb_release (void *context, decide_id_t owner, const decide_msg_release_t *msg)
{
  send_to_owner (context, owner, DECIDE_MSG_RELEASE, NULL, msg);
}

/* Pools 0 and 1 and their owners are in data centre 0, pools 2 and 3 in data
   centre 1, and so on.  */
uint32_t
sim_owner (uint32_t pool)
{
  return pool / 2 + DATA_CENTRES * (pool % 2);
}

static void
send_to_holder (uint32_t pool, decide_id_t holder, decide_msg_type_t type,
                const decide_msg_grant_t *msg)
{
  send_message (sim_owner (pool), (uint32_t)holder - 1,
                (event_t){ .kind = EV_TO_HOLDER,
                           .target = (uint32_t)holder - 1,
                           .detail = sim_owner (pool),
                           .type = type,
                           .grant = *msg });
}

static void
cb_granted (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  send_to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_GRANT, msg);
}

static void
cb_queued (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  send_to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_QUEUED, msg);
}

static void
cb_refused (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  send_to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_REFUSED, msg);
}

static void
cb_recall (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  send_to_holder (GPOINTER_TO_UINT (context), holder, DECIDE_MSG_RECALL, msg);
}

static void
cb_probe (void *context, decide_id_t pool, decide_id_t endpoint)
{
  (void)pool;
  sim_schedule (sim.now + 6 * US_PER_MS,
                (event_t){ .kind = EV_PROBED,
                           .target = sim_owner (GPOINTER_TO_UINT (context)),
                           .detail = GPOINTER_TO_UINT (context),
                           .index = endpoint });
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
                                .local = i / 2 == instance->data_centre,
                                .out = sim.out[i / 2],
                                .free = instance->advertised_loads[i].free,
                                .queued = instance->advertised_loads[i].queued,
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
  return !sim.out[sim.servers[endpoint - 1].data_centre];
}

void
sim_deliver_to_owner (const event_t *event)
{
  decide_id_t holder = event->detail + 1;

  if (event->type == DECIDE_MSG_GRANT_REQUEST)
    pool_handle_grant_request (sim.pools[event->grant.pool - 1], sim_now_ms (),
                               holder, &event->grant);
  else if (event->type == DECIDE_MSG_GRANT_CANCEL)
    pool_handle_grant_cancel (sim.pools[event->grant.pool - 1], sim_now_ms (),
                              holder, event->grant.request);
  else
    pool_handle_release (sim.pools[event->release.pool - 1], sim_now_ms (),
                         holder, &event->release);
}

void
sim_deliver_to_holder (const event_t *event)
{
  instance_t *instance = &sim.instances[event->target];
  decide_id_t owner = event->detail + 1;

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
                               .request_grant_from_owner
                               = cb_request_owner_grant,
                               .cancel_grant_request = cb_cancel_owner_request,
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
