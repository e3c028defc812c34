#include "slots_world.h"

#include <math.h>
#include <string.h>

/* Sends a request to the endpoint that the baseline policy chooses.  */
static void
choose_and_forward (instance_t *instance, uint64_t index)
{
  policy_endpoint_t endpoints[ENDPOINTS];
  router_forward_t forward
      = { .request = index,
          .attempt = sim.attempts->len,
          .start_by = INT64_MAX,
          .deadline = sim_request (index)->deadline / US_PER_MS };
  uint32_t chosen;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    endpoints[i] = (policy_endpoint_t){
      .endpoint = i,
      .local = instance->local[i],
      .reported = true,
      .in_flight
      = sim.servers[i].load_history[sim.report_step % REPORT_AGE_STEPS],
    };
  chosen = sim.policy->choose (&instance->policy, endpoints, ENDPOINTS);
  instance->local[chosen]++;
  forward.endpoint = chosen + 1;
  sim_forward (instance, &forward);
}

/* Adds the new request of an EV_ARRIVE event, or finds the request to retry,
   and passes it to the instance's router or to the baseline policy.  */
static void
submit_request (const event_t *event)
{
  instance_t *instance = &sim.instances[event->target];
  uint64_t index = event->index;
  request_t *request;
  router_request_t wanted;

  if (event->detail == 0)
    {
      index = sim.requests->len;
      g_array_append_vals (
          sim.requests,
          &(request_t){
              .instance = event->target,
              .arrived_at = sim.now,
              .deadline = sim.now + (us_t)sim.options.timeout_ms * US_PER_MS,
              .non_idempotent = decide_rng_below (&sim.rng, 100)
                                < sim.options.non_idempotent_percent },
          1);
      sim.result->requests++;
      budget_deposit (&instance->budget);
    }
  request = sim_request (index);
  if (instance->router == NULL)
    {
      choose_and_forward (instance, index);
      return;
    }
  wanted = (router_request_t){ .id = index,
                               .service = SERVICE_ID,
                               .idempotent = !request->non_idempotent,
                               .retry = true,
                               .hedge = sim.options.hedge,
                               .hedge_after_ms = sim.options.hedge_after_ms,
                               .run_ms = RUN_MS,
                               .deadline = request->deadline / US_PER_MS };
  router_request (instance->router, sim_now_ms (), &wanted);
}

/* Creates a pool, or applies its current settings to it.  */
static void
configure_pool (uint32_t pool)
{
  pool_settings_t settings
      = { .id = pool + 1, .run_ms = RUN_MS, .queue_max = QUEUE_MAX };
  pool_callbacks_t callbacks = sim_pool_callbacks (pool);

  settings.out = sim.out[pool / 2];
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (sim.servers[i].pool == pool)
      settings.endpoints[settings.endpoint_count++]
          = (pool_endpoint_t){ .id = i + 1, .slots = SLOTS };
  if (sim.pools[pool] != NULL)
    {
      g_assert_cmpint (
          pool_configure (sim.pools[pool], sim_now_ms (), &settings), ==, 0);
      return;
    }
  sim.pools[pool] = pool_new (
      &settings, &callbacks, decide_rng_next (&sim.router_rng), sim_now_ms ());
  pool_resume (sim.pools[pool], sim_now_ms ());
}

/* Replaces a pool by a new one that takes over its grants and limits, as at
   the graceful shutdown of its owner.  */
static void
hand_over (uint32_t pool)
{
  decide_handover_grant_t grants[DECIDE_HANDOVER_GRANTS_MAX];
  decide_handover_limit_t limits[DECIDE_HANDOVER_LIMITS_MAX];
  pool_t *old = sim.pools[pool];
  uint32_t count;

  pool_suspend (old, sim_now_ms ());
  count = pool_export_grants (old, sim_now_ms (), 0, grants,
                              G_N_ELEMENTS (grants));
  g_assert_cmpuint (count, ==, pool_grant_count (old));
  sim.pools[pool] = NULL;
  configure_pool (pool);
  for (uint32_t i = 0; i < count; i++)
    pool_import_grant (sim.pools[pool], sim_now_ms (), &grants[i]);
  count = pool_export_limits (old, limits, G_N_ELEMENTS (limits));
  for (uint32_t i = 0; i < count; i++)
    pool_import_limit (sim.pools[pool], sim_now_ms (), &limits[i]);
  pool_free (old);
}

static void
drain_or_restart (server_t *server, uint32_t endpoint)
{
  if (server->draining)
    sim_restart_server (endpoint);
  else
    {
      server->draining = true;
      server->first_shed_at = 0;
    }
}

static void
inject_fault (void)
{
  uint32_t kind = 1U << decide_rng_below (&sim.rng, 6);
  uint32_t endpoint = decide_rng_below (&sim.rng, ENDPOINTS);
  uint32_t pool = decide_rng_below (&sim.rng, POOLS);
  instance_t *instance
      = &sim.instances[decide_rng_below (&sim.rng, INSTANCES)];

  switch (kind & sim.options.faults)
    {
    case SIM_RESTART:
      sim_restart_server (endpoint);
      break;
    case SIM_DRAIN:
      drain_or_restart (&sim.servers[endpoint], endpoint);
      break;
    case SIM_PAUSE:
      instance->paused_until
          = sim.now + (us_t)decide_rng_below (&sim.rng, 3000) * US_PER_MS;
      instance->was_paused = true;
      break;
    case SIM_HANDOVER:
      hand_over (pool);
      break;
    case SIM_OUT:
      sim.out[pool / 2] = !sim.out[pool / 2];
      sim.out_changed_at = sim.now;
      configure_pool (pool / 2 * 2);
      configure_pool (pool / 2 * 2 + 1);
      break;
    case SIM_COLD:
      pool_set_cold (sim.pools[pool], sim_now_ms ());
      break;
    default:
      break;
    }
}

/* Schedules the next noise of a server, which begins 2 s later on average and
   lasts 20 to 200 ms.  */
static void
schedule_noise (server_t *server)
{
  if (!sim.options.noise || sim.now < server->noisy_until)
    return;
  server->noisy_from = sim.now + (us_t)(-2e6 * log (1 - sim_uniform ()));
  server->noisy_until = server->noisy_from
                        + (20 + decide_rng_below (&sim.rng, 181)) * US_PER_MS;
}

static void
tick (void)
{
  sim.report_step = (uint32_t)(sim_now_ms () / REPORT_STEP_MS);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      server_t *server = &sim.servers[i];

      schedule_noise (server);
      if (sim_now_ms () % REPORT_STEP_MS == 0)
        server->load_history[(sim.report_step + REPORT_AGE_STEPS - 1)
                             % REPORT_AGE_STEPS]
            = server->running + server->waiting.length;
    }
  if (sim.options.cold && sim_now_ms () % 500 == 250)
    sim_restart_server (decide_rng_below (&sim.rng, ENDPOINTS));
  for (uint32_t i = 0; i < POOLS && sim.pools[i] != NULL; i++)
    {
      decide_pool_load_t load;

      if (sim.instances[sim_owner (i)].paused_until > sim.now)
        continue;
      pool_tick (sim.pools[i], sim_now_ms ());
      pool_get_load (sim.pools[i], &load);
      for (uint32_t j = 0; j < INSTANCES; j++)
        if (sim_now_ms () % DECIDE_HEARTBEAT_INTERVAL_MS == 0)
          sim.instances[j].advertised_loads[i] = load;
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (sim.instances[i].router != NULL
        && sim.instances[i].paused_until <= sim.now)
      router_tick (sim.instances[i].router, sim_now_ms ());
}

static void
dispatch_event (const event_t *event)
{
  switch (event->kind)
    {
    case EV_ARRIVE:
      submit_request (event);
      break;
    case EV_FORWARD:
      sim_send_attempt (event->index);
      break;
    case EV_AT_SERVER:
      sim_arrive_at_server (event->index);
      break;
    case EV_FINISH:
      sim_finish_run (event->index);
      break;
    case EV_CLOSE:
      sim_leave_server (event->index);
      break;
    case EV_RESULT:
      sim_end_attempt (event->index, (decide_attempt_result_t)event->detail,
                       &event->release.end.load);
      break;
    case EV_TIMEOUT:
      sim_end_attempt (event->index, DECIDE_ATTEMPT_TIMEOUT, NULL);
      break;
    case EV_TO_OWNER:
      sim_deliver_to_owner (event);
      break;
    case EV_TO_HOLDER:
      sim_deliver_to_holder (event);
      break;
    case EV_PROBED:
      {
        decide_load_t load = sim_server_load (&sim.servers[event->index - 1]);

        pool_handle_probe_result (sim.pools[event->detail], sim_now_ms (),
                                  event->index, true, 6, &load);
        break;
      }
    case EV_FAULT:
      inject_fault ();
      sim_schedule (sim.now
                        + (us_t)decide_rng_below (&sim.rng, 200) * US_PER_MS,
                    (event_t){ .kind = EV_FAULT });
      break;
    case EV_TICK:
      tick ();
      sim_schedule (sim.now + US_PER_MS, (event_t){ .kind = EV_TICK });
      break;
    default:
      g_assert_not_reached ();
    }
}

/* Returns whether an instance processes the event; a paused instance processes
   it after the pause.  */
static bool
is_for_instance (event_kind_t kind)
{
  return kind == EV_ARRIVE || kind == EV_FORWARD || kind == EV_RESULT
         || kind == EV_TIMEOUT || kind == EV_TO_OWNER || kind == EV_TO_HOLDER
         || kind == EV_PROBED;
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns a quantile of sorted values, or 0 without values.  */
static double
quantile (GArray *values, double fraction)
{
  if (values->len == 0)
    return 0;
  return g_array_index (values, double, (guint)(fraction * (values->len - 1)));
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
  sim.events = g_sequence_new (g_free);
  sim.requests = g_array_new (FALSE, FALSE, sizeof (request_t));
  sim.attempts = g_array_new (FALSE, FALSE, sizeof (attempt_t));
  sim.latencies = g_array_new (FALSE, FALSE, sizeof (double));
  sim.wait_times = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    sim.servers[i]
        = (server_t){ .data_centre = i % DATA_CENTRES,
                      .pool = i % DATA_CENTRES * 2 + i / DATA_CENTRES / 4,
                      .slots = SLOTS,
                      .identity = 1000 * (i + 1) };
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      instance_t *instance = &sim.instances[i];
      router_callbacks_t router_callbacks = sim_router_callbacks (instance);

      instance->data_centre = i % DATA_CENTRES;
      instance->policy.rng = &sim.router_rng;
      budget_init (&instance->budget, DECIDE_RETRIES_PER_MILLE,
                   BUDGET_MIN_RETRIES_PER_S, 0);
      if (sim.policy->choose == NULL)
        instance->router = router_new (&router_callbacks, &sim.router_rng, 0);
    }
  for (uint32_t i = 0; i < POOLS && sim.policy->choose == NULL; i++)
    configure_pool (i);
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
  g_sequence_free (sim.events);
  g_array_free (sim.requests, TRUE);
  g_array_free (sim.attempts, TRUE);
  g_array_free (sim.latencies, TRUE);
  g_array_free (sim.wait_times, TRUE);
}

void
sim_run (const sim_options_t *options, sim_result_t *result)
{
  us_t end = (us_t)options->duration_ms * US_PER_MS;
  /* A request may end after its deadline by the length of a pause, which is
     less than 3 s.  */
  us_t grace = (us_t)(options->timeout_ms + 3100) * US_PER_MS;
  double mean_service_us = (double)options->service_ms * US_PER_MS;
  double mean_interval_us
      = mean_service_us / (ENDPOINTS * SLOTS) * 100 / options->load_percent;
  double next_arrival_us = 0;
  uint64_t retries_max;

  set_up (options, result);
  while (next_arrival_us < (double)end)
    {
      sim_schedule (
          (us_t)next_arrival_us,
          (event_t){ .kind = EV_ARRIVE,
                     .target = decide_rng_below (&sim.rng, INSTANCES) });
      next_arrival_us -= mean_interval_us * log (1 - sim_uniform ());
    }
  sim_schedule (0, (event_t){ .kind = EV_TICK });
  if (options->faults != 0)
    sim_schedule (US_PER_MS, (event_t){ .kind = EV_FAULT });
  while (!g_sequence_is_empty (sim.events))
    {
      event_t event = sim_pop_event ();

      if (event.at > end + grace)
        break;
      sim.now = event.at;
      if (event.kind == EV_FAULT && event.at > end)
        continue;
      if (is_for_instance (event.kind)
          && sim.instances[event.target].paused_until > sim.now)
        sim_schedule (sim.instances[event.target].paused_until, event);
      else
        dispatch_event (&event);
    }
  for (guint i = 0; i < sim.requests->len; i++)
    result->not_ended += !sim_request (i)->ended;
  g_array_sort (sim.latencies, compare_double);
  g_array_sort (sim.wait_times, compare_double);
  result->wait_p99_ms = quantile (sim.wait_times, 0.99);
  result->p50_ms = quantile (sim.latencies, 0.5);
  result->p99_ms = quantile (sim.latencies, 0.99);
  result->p999_ms = quantile (sim.latencies, 0.999);
  result->goodput = (double)result->answered * mean_service_us
                    / ((double)(options->duration_ms - options->warm_up_ms)
                       * US_PER_MS * ENDPOINTS * SLOTS);
  retries_max = result->requests * DECIDE_RETRIES_PER_MILLE / 1000
                + (uint64_t)INSTANCES * (options->duration_ms / 1000 + 5);
  if (sim.retries > retries_max)
    result->retries_over = sim.retries - (uint32_t)retries_max;
  tear_down ();
}
