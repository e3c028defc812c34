#include "choose.h"

#include <string.h>

/* A failure rate of 1 adds this multiple of an endpoint's cost to the cost; a
   lower rate adds proportionally less.  */
#define FAILURE_COST_FACTOR 6.0
/* Cost that is added for an endpoint in another data centre, because of the
   round trip and the price of the transferred bytes.  */
#define REMOTE_PENALTY_MS 8.0
/* Cost that is added instead of REMOTE_PENALTY_MS for a request with a large
   response.  */
#define REMOTE_BULK_PENALTY_MS 120.0
/* An endpoint is good enough if its cost is at most this multiple of the cost
   of an idle endpoint in this instance's data centre.  A request is then sent
   to it without waiting for the results of other probes.  */
#define GOOD_ENOUGH_FACTOR 1.05
/* Largest number of endpoints in this instance's data centre that the instance
   uses for one service (deterministic subsetting).  */
#define LOCAL_SUBSET_MAX 12
/* Largest number of endpoints in all other data centres together that this
   instance uses for one service.  */
#define REMOTE_SUBSET_MAX 6

/* Largest number of endpoints for which this instance has a permit among those
   that are probed together.  */
#define PERMITTED_MAX 2
/* Age of what is known of an endpoint's limit from which endpoints are probed
   to learn whether they still state it.  */
#define LIMIT_CHECK_AFTER_MS 1000
/* An endpoint is probed for that in one of so many rounds, times the number of
   instances, so that the checks are a small part of all probes.  */
#define LIMIT_CHECK_ODDS 3U

static bool is_usable (backends_t *backends, backend_t *backend,
                       clock_ms_t now);
static bool is_limit_due (const backends_t *backends, const backend_t *backend,
                          decide_rng_t *rng, clock_ms_t now);
static bool has_limits (backends_t *backends, service_index_t service,
                        int instances);
static void add_permit (choose_limits_t *limits, clock_ms_t from);
static void keep_subset (backends_t *backends, GArray *handles, guint count);
static gint compare_rendezvous_weight (gconstpointer a, gconstpointer b,
                                       gpointer data);
static void shuffle (backend_handle_t *handles, int count, decide_rng_t *rng);

bool
choose_is_listed (const backends_t *backends, const backend_t *backend,
                  const backend_handle_t *list, int count)
{
  backend_handle_t handle = backends_get_handle (backends, backend);

  for (int i = 0; i < count; i++)
    if (list[i].index == handle.index
        && list[i].generation == handle.generation)
      return true;
  return false;
}

static gint
compare_rendezvous_weight (gconstpointer a, gconstpointer b, gpointer data)
{
  const backend_t *left = backends_get (data, *(const backend_handle_t *)a);
  const backend_t *right = backends_get (data, *(const backend_handle_t *)b);

  return (left->rendezvous_weight < right->rendezvous_weight)
         - (left->rendezvous_weight > right->rendezvous_weight);
}

/* Keeps the @count endpoints with the highest rendezvous weight for this
   instance.  Because the subset is small, connections to its endpoints are
   reused before they have been idle for too long.  */
static void
keep_subset (backends_t *backends, GArray *handles, guint count)
{
  if (handles->len <= count)
    return;
  g_array_sort_with_data (handles, compare_rendezvous_weight, backends);
  g_array_set_size (handles, count);
}

/* Fisher-Yates shuffle.  */
static void
shuffle (backend_handle_t *handles, int count, decide_rng_t *rng)
{
  for (int i = count - 1; i > 0; i--)
    {
      int j = (int)decide_rng_below (rng, (uint32_t)i + 1);
      backend_handle_t swapped = handles[i];

      handles[i] = handles[j];
      handles[j] = swapped;
    }
}

choose_obstacle_t
choose_get_obstacle (backends_t *backends, backend_t *backend, clock_ms_t now)
{
  if (backend->entry.draining)
    return CHOOSE_DRAINING;
  if (backend->says_leaving)
    return CHOOSE_LEAVING;
  if (backend->track == BACKEND_WITHHELD)
    return CHOOSE_VERSION;
  if (now < backend->declined_until)
    return CHOOSE_DECLINED;
  if (backends_is_data_centre_out (backends, backend->entry.data_centre))
    return CHOOSE_DATA_CENTRE_OUT;
  if (backend_is_cold (backend, now)
      && !backends_can_send_to_cold (backends, backend, now))
    return CHOOSE_COLD;
  if (!rate_limit_allows (&backend->rate_limit,
                          backends_instance_count (backends), now))
    return CHOOSE_LIMITED;
  return CHOOSE_NO_OBSTACLE;
}

clock_ms_t
choose_get_declined_until (backends_t *backends, service_index_t service,
                           clock_ms_t now)
{
  clock_ms_t earliest = 0;
  uint32_t position = 0;

  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      choose_obstacle_t obstacle;

      if (backend->service != service)
        continue;
      obstacle = choose_get_obstacle (backends, backend, now);
      if (obstacle == CHOOSE_DRAINING || obstacle == CHOOSE_LEAVING
          || obstacle == CHOOSE_VERSION
          || backends_is_data_centre_out (backends,
                                          backend->entry.data_centre))
        continue;
      if (obstacle != CHOOSE_DECLINED)
        return 0;
      if (earliest == 0 || backend->declined_until < earliest)
        earliest = backend->declined_until;
    }
  return earliest;
}

const char *
choose_obstacle_name (choose_obstacle_t obstacle)
{
  static const char *const names[CHOOSE_OBSTACLE_COUNT]
      = { "none",     "draining",        "leaving", "version",
          "declined", "data centre out", "cold",    "limited" };

  return names[obstacle];
}

/* Whether a request may be sent to an endpoint now if the limit that it has
   stated allows one.  */
static bool
is_usable (backends_t *backends, backend_t *backend, clock_ms_t now)
{
  choose_obstacle_t obstacle = choose_get_obstacle (backends, backend, now);

  return obstacle == CHOOSE_NO_OBSTACLE || obstacle == CHOOSE_LIMITED;
}

/* Whether to probe an endpoint only to learn whether it still states its
   limit.  All instances together do that a few times a second for each
   endpoint whose limit they have not heard of lately.  */
static bool
is_limit_due (const backends_t *backends, const backend_t *backend,
              decide_rng_t *rng, clock_ms_t now)
{
  const rate_limit_t *limit = &backend->rate_limit;

  return limit->statement.is_limited
         && (limit->sources & RATE_LIMIT_PROBE) != 0
         && now - rate_limit_stated_at (limit) >= LIMIT_CHECK_AFTER_MS
         && decide_rng_below (rng, (uint32_t)backends_instance_count (backends)
                                       * LIMIT_CHECK_ODDS)
                == 0;
}

bool
choose_is_eligible (backends_t *backends, backend_t *backend, clock_ms_t now)
{
  return choose_get_obstacle (backends, backend, now) == CHOOSE_NO_OBSTACLE;
}

int
choose_permits (backends_t *backends, const choose_criteria_t *criteria,
                decide_rng_t *rng, clock_ms_t now,
                backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX])
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  int instances = backends_instance_count (backends);
  uint32_t position = 0;
  int n_chosen;

  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      backend_handle_t handle = backends_get_handle (backends, backend);

      if (backend->service == criteria->service
          && now >= backend->backoff_until
          && rate_limit_should_ask (&backend->rate_limit, instances, now)
          && is_usable (backends, backend, now))
        g_array_append_val (handles, handle);
    }
  if (!criteria->skip_subsetting)
    keep_subset (backends, handles, LOCAL_SUBSET_MAX + REMOTE_SUBSET_MAX);
  shuffle ((backend_handle_t *)(void *)handles->data, (int)handles->len, rng);
  n_chosen
      = MIN (MIN (criteria->count, CHOOSE_ENDPOINTS_MAX), (int)handles->len);
  for (int i = 0; i < n_chosen; i++)
    chosen[i] = g_array_index (handles, backend_handle_t, i);
  g_array_free (handles, TRUE);
  return n_chosen;
}

/* Adds a permit to those that choose_get_limits() returns.  If there are too
   many, the latest is left out.  */
static void
add_permit (choose_limits_t *limits, clock_ms_t from)
{
  int i = MIN (limits->n_permits, CHOOSE_ENDPOINTS_MAX - 1);

  if (limits->n_permits == CHOOSE_ENDPOINTS_MAX
      && from >= limits->permit_from[i])
    return;
  for (; i > 0 && limits->permit_from[i - 1] > from; i--)
    limits->permit_from[i] = limits->permit_from[i - 1];
  limits->permit_from[i] = from;
  limits->n_permits = MIN (limits->n_permits + 1, CHOOSE_ENDPOINTS_MAX);
}

/* Whether an endpoint of the service needs a permit.  Mostly none does, and
   this is decided for every request.  */
static bool
has_limits (backends_t *backends, service_index_t service, int instances)
{
  uint32_t position = 0;

  for (const backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    if (backend->service == service
        && rate_limit_needs_permit (&backend->rate_limit, instances))
      return true;
  return false;
}

choose_limits_t
choose_get_limits (backends_t *backends, service_index_t service,
                   clock_ms_t now)
{
  choose_limits_t limits = { .next_at = INT64_MAX };
  int instances = backends_instance_count (backends);
  uint32_t position = 0;

  if (!has_limits (backends, service, instances))
    return limits;
  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      const rate_limit_t *limit = &backend->rate_limit;

      if (backend->service != service || !is_usable (backends, backend, now))
        continue;
      if (!rate_limit_needs_permit (limit, instances))
        {
          limits.n_unlimited++;
          continue;
        }
      limits.n_limited++;
      if (now < limit->permit_until)
        add_permit (&limits, limit->permit_from);
      else if (rate_limit_should_ask (limit, instances, now))
        limits.n_unknown++;
      else if (limit->asked_at != 0)
        limits.n_asked++;
      else
        limits.next_at = MIN (limits.next_at, limit->ask_again_at);
    }
  return limits;
}

int
choose_candidates (backends_t *backends, const choose_criteria_t *criteria,
                   decide_rng_t *rng, clock_ms_t now,
                   backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX])
{
  GArray *local = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  GArray *remote = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  GArray *backed_off = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  GArray *permitted = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  int instances = backends_instance_count (backends);
  int count = MIN (criteria->count, CHOOSE_ENDPOINTS_MAX);
  uint32_t position = 0;
  int n_local;
  int n_remote;
  int n_permitted;
  int n_chosen = 0;

  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      backend_handle_t handle;
      choose_obstacle_t obstacle;

      if (backend->service != criteria->service
          || choose_is_listed (backends, backend, criteria->excluded,
                               criteria->n_excluded))
        continue;
      obstacle = choose_get_obstacle (backends, backend, now);
      if (obstacle != CHOOSE_NO_OBSTACLE && criteria->withheld != NULL)
        criteria->withheld[obstacle]++;
      if (obstacle != CHOOSE_NO_OBSTACLE
          && !(obstacle == CHOOSE_LIMITED
               && is_limit_due (backends, backend, rng, now)))
        continue;
      handle = backends_get_handle (backends, backend);
      if (now < backend->backoff_until)
        g_array_append_val (backed_off, handle);
      else if (rate_limit_needs_permit (&backend->rate_limit, instances)
               && rate_limit_allows (&backend->rate_limit, instances, now))
        g_array_append_val (permitted, handle);
      else if (backend_is_local (backends, backend))
        g_array_append_val (local, handle);
      else
        g_array_append_val (remote, handle);
    }
  if (!criteria->skip_subsetting)
    {
      keep_subset (backends, local, LOCAL_SUBSET_MAX);
      keep_subset (backends, remote, REMOTE_SUBSET_MAX);
    }
  shuffle ((backend_handle_t *)(void *)local->data, (int)local->len, rng);
  shuffle ((backend_handle_t *)(void *)remote->data, (int)remote->len, rng);
  shuffle ((backend_handle_t *)(void *)backed_off->data, (int)backed_off->len,
           rng);
  shuffle ((backend_handle_t *)(void *)permitted->data, (int)permitted->len,
           rng);
  /* A permit that is not used soon is lost, to all instances.  */
  n_permitted = MIN (MIN (count, PERMITTED_MAX), (int)permitted->len);
  for (int i = 0; i < n_permitted; i++)
    chosen[n_chosen++] = g_array_index (permitted, backend_handle_t, i);
  count -= n_permitted;
  n_remote = MIN (MIN (criteria->remote, count), (int)remote->len);
  n_local = MIN (count - n_remote, (int)local->len);
  n_remote = MIN (count - n_local, (int)remote->len);
  for (int i = 0; i < n_local; i++)
    chosen[n_chosen++] = g_array_index (local, backend_handle_t, i);
  for (int i = 0; i < n_remote; i++)
    chosen[n_chosen++] = g_array_index (remote, backend_handle_t, i);
  if (n_chosen == 0)
    for (int i = 0; i < MIN (count, (int)backed_off->len); i++)
      chosen[n_chosen++] = g_array_index (backed_off, backend_handle_t, i);
  g_array_free (local, TRUE);
  g_array_free (remote, TRUE);
  g_array_free (backed_off, TRUE);
  g_array_free (permitted, TRUE);
  return n_chosen;
}

double
choose_cost (backends_t *backends, const backend_t *backend,
             double service_time_ms, bool bulk, clock_ms_t now,
             double *expected_response_ms)
{
  const service_t *service = backends_service_get (backends, backend->service);
  const backend_load_t *load = &backend->load;
  double cost;

  *expected_response_ms = estimate_response_time (
      service, service_time_ms, load, backend_is_cold (backend, now));
  *expected_response_ms *= backend_slowdown (backend, now);
  cost = *expected_response_ms
         * (1.0 + FAILURE_COST_FACTOR * backend_failure_rate (backend, now));
  if (!backend_is_local (backends, backend))
    cost += bulk ? REMOTE_BULK_PENALTY_MS : REMOTE_PENALTY_MS;
  return cost;
}

bool
choose_is_good_enough (backends_t *backends, backend_t *backend,
                       double service_time_ms, bool bulk, clock_ms_t now)
{
  double expected_response_ms;

  return choose_is_eligible (backends, backend, now)
         && backend->load.running + backend->load.waiting < backend->load.slots
         && choose_cost (backends, backend, service_time_ms, bulk, now,
                         &expected_response_ms)
                <= GOOD_ENOUGH_FACTOR * service_time_ms;
}
