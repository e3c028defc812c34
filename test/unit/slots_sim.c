#include "slots_world.h"

#include <math.h>
#include <string.h>

static void
choose_and_forward (instance_t *instance, uint64_t index)
{
  policy_endpoint_t endpoints[ENDPOINTS];
  router_forward_t forward
      = { .request = index,
          .attempt = sim.attempts->len,
          .start_by = INT64_MAX,
          .deadline = sim_request (index)->deadline / US };
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
  sim_forward (instance, &forward);
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
      budget_deposit (&instance->budget);
    }
  request = sim_request (index);
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
  router_request (instance->router, sim_now_ms (), &wanted);
}

static void
configure (uint32_t pool)
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

/* Moves a pool to a new owner state by handover, as a planned stop does.  */
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
  configure (pool);
  for (uint32_t i = 0; i < count; i++)
    pool_import_grant (sim.pools[pool], sim_now_ms (), &grants[i]);
  count = pool_export_limits (old, limits, G_N_ELEMENTS (limits));
  for (uint32_t i = 0; i < count; i++)
    pool_import_limit (sim.pools[pool], sim_now_ms (), &limits[i]);
  pool_free (old);
}

static void
drain (server_t *server, uint32_t endpoint)
{
  if (server->draining)
    sim_restart_server (endpoint);
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
      sim_restart_server (endpoint);
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
      pool_start_cold (sim.pools[pool], sim_now_ms ());
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
  server->noisy_from = sim.now + (us_t)(-2e6 * log (1 - sim_uniform ()));
  server->noisy_until
      = server->noisy_from + (20 + decide_rng_below (&sim.rng, 181)) * US;
}

static void
tick (void)
{
  sim.step = (uint32_t)(sim_now_ms () / REPORT_STEP_MS);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      server_t *server = &sim.servers[i];

      make_noise (server);
      if (sim_now_ms () % REPORT_STEP_MS == 0)
        server->history[(sim.step + REPORT_AGE - 1) % REPORT_AGE]
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
          sim.instances[j].ads[i] = load;
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (sim.instances[i].router != NULL
        && sim.instances[i].paused_until <= sim.now)
      router_tick (sim.instances[i].router, sim_now_ms ());
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
      sim_forward_now (event->c);
      break;
    case EV_AT_SERVER:
      sim_at_server (event->c);
      break;
    case EV_FINISH:
      sim_finish (event->c);
      break;
    case EV_CUT:
      sim_leave_server (event->c);
      break;
    case EV_DONE:
      sim_attempt_over (event->c, (decide_attempt_result_t)event->b,
                        &event->release.end.load);
      break;
    case EV_TIMEOUT:
      sim_attempt_over (event->c, DECIDE_ATTEMPT_TIMEOUT, NULL);
      break;
    case EV_OWNER:
      sim_at_owner (event);
      break;
    case EV_HOLDER:
      sim_at_holder (event);
      break;
    case EV_PROBED:
      {
        decide_load_t load = sim_load (&sim.servers[event->c - 1]);

        pool_handle_probe_result (sim.pools[event->b], sim_now_ms (), event->c,
                                  true, 6, &load);
        break;
      }
    case EV_FAULT:
      fault ();
      sim_put (sim.now + (us_t)decide_rng_below (&sim.rng, 200) * US,
               (event_t){ .kind = EV_FAULT });
      break;
    case EV_TICK:
      tick ();
      sim_put (sim.now + US, (event_t){ .kind = EV_TICK });
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
quantile (GArray *values, double share)
{
  if (values->len == 0)
    return 0;
  return g_array_index (values, double, (guint)(share * (values->len - 1)));
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
  sim.waits = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    sim.servers[i] = (server_t){ .centre = i % CENTRES,
                                 .pool = i % CENTRES * 2 + i / CENTRES / 4,
                                 .slots = SLOTS,
                                 .identity = 1000 * (i + 1) };
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      instance_t *instance = &sim.instances[i];
      router_callbacks_t router_callbacks = sim_router_callbacks (instance);

      instance->centre = i % CENTRES;
      instance->policy.rng = &sim.router_rng;
      budget_init (&instance->budget, DECIDE_RETRIES_PER_MILLE,
                   BUDGET_MIN_RETRIES_PER_S, 0);
      if (sim.policy->choose == NULL)
        instance->router = router_new (&router_callbacks, &sim.router_rng, 0);
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
  g_sequence_free (sim.events);
  g_array_free (sim.requests, TRUE);
  g_array_free (sim.attempts, TRUE);
  g_array_free (sim.latencies, TRUE);
  g_array_free (sim.waits, TRUE);
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
      sim_put ((us_t)at,
               (event_t){ .kind = EV_ARRIVE,
                          .a = decide_rng_below (&sim.rng, INSTANCES) });
      at -= gap * log (1 - sim_uniform ());
    }
  sim_put (0, (event_t){ .kind = EV_TICK });
  if (options->faults != 0)
    sim_put (US, (event_t){ .kind = EV_FAULT });
  while (!g_sequence_is_empty (sim.events))
    {
      event_t event = sim_take ();

      if (event.at > end + drain)
        break;
      sim.now = event.at;
      if (event.kind == EV_FAULT && event.at > end)
        continue;
      if (is_for_instance (event.kind)
          && sim.instances[event.a].paused_until > sim.now)
        sim_put (sim.instances[event.a].paused_until, event);
      else
        dispatch (&event);
    }
  for (guint i = 0; i < sim.requests->len; i++)
    result->not_ended += !sim_request (i)->ended;
  g_array_sort (sim.latencies, compare_double);
  g_array_sort (sim.waits, compare_double);
  result->wait_p99_ms = quantile (sim.waits, 0.99);
  result->p50_ms = quantile (sim.latencies, 0.5);
  result->p99_ms = quantile (sim.latencies, 0.99);
  result->p999_ms = quantile (sim.latencies, 0.999);
  result->capacity_answered
      = (double)result->answered * service
        / ((double)(options->duration_ms - options->warm_up_ms) * US
           * ENDPOINTS * SLOTS);
  earned = result->requests * DECIDE_RETRIES_PER_MILLE / 100
           + (uint64_t)INSTANCES * (options->duration_ms / 1000 + 5);
  if (sim.retries > earned)
    result->retries_over = sim.retries - (uint32_t)earned;
  tear_down ();
}
