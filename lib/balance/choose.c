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
#define LOCAL_SUBSET_MAX 32
/* Largest number of endpoints in all other data centres together that this
   instance uses for one service.  */
#define REMOTE_SUBSET_MAX 12

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

bool
choose_is_eligible (backends_t *backends, backend_t *backend, clock_ms_t now)
{
  if (backend->entry.draining
      || backends_is_data_centre_out (backends, backend->entry.data_centre))
    return false;
  return !backend_is_cold (backend, now)
         || backends_can_send_to_cold (backends, backend, now);
}

int
choose_candidates (backends_t *backends, const choose_criteria_t *criteria,
                   decide_rng_t *rng, clock_ms_t now,
                   backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX])
{
  GArray *local = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  GArray *remote = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  GArray *backed_off = g_array_new (FALSE, FALSE, sizeof (backend_handle_t));
  int count = MIN (criteria->count, CHOOSE_ENDPOINTS_MAX);
  uint32_t position = 0;
  int n_local;
  int n_remote;
  int n_chosen = 0;

  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      backend_handle_t handle;

      if (backend->service != criteria->service
          || choose_is_listed (backends, backend, criteria->excluded,
                               criteria->n_excluded)
          || !choose_is_eligible (backends, backend, now))
        continue;
      handle = backends_get_handle (backends, backend);
      if (now < backend->backoff_until)
        g_array_append_val (backed_off, handle);
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
