#include "backends_private.h"

#include <string.h>

/* Time after a failed probe, or after a response to a probe that shows the
   endpoint to be unhealthy, during which the endpoint is probed only if there
   are no others.  Each further failed probe doubles this time.  */
#define BACKOFF_MIN_MS 250
/* Longest time after a failed probe during which the endpoint is probed only
   if there are no others.  */
#define BACKOFF_MAX_MS 2000
/* EWMA weight of the newest request in the failure rate.  */
#define FAILURE_RATE_WEIGHT 0.3
/* EWMA weight of the newest request in an endpoint's slowdown.  */
#define SLOWDOWN_WEIGHT 0.5
/* A slowdown below this factor counts as none, because it can result from the
   normal variation of service times, which is smaller than this factor.  */
#define SLOWDOWN_THRESHOLD 1.8
/* Upper limit of the slowdown that is computed from a single request.  */
#define SLOWDOWN_MAX 12.0
/* Without requests, the part of a slowdown above 1 is half as large after this
   time, so that an endpoint that has recovered is used again.  */
#define SLOWDOWN_HALF_TIME_MS 2500.0
/* Without requests, the failure rate is half as large after this time, so that
   an endpoint that has recovered is used again.  */
#define FAILURE_RATE_HALF_TIME_MS 2000.0

static void entry_copy (backend_entry_t *to, const backend_entry_t *from);
static void entry_clear (backend_entry_t *entry);
static service_index_t add_service (backends_t *backends, const char *name);
static backend_t *allocate_backend (backends_t *backends);
static void release_backend (backends_t *backends, backend_t *backend);

backends_t *
backends_new (const char *own_name, const char *own_data_centre)
{
  backends_t *backends = g_new0 (backends_t, 1);

  backends->table = g_ptr_array_new ();
  g_queue_init (&backends->free_list);
  backends->services = g_ptr_array_new ();
  backends->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  backends->data_centres_out
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backends->data_centre = g_strdup (own_data_centre);
  backends->own_name = g_strdup (own_name);
  return backends;
}

void
backends_free (backends_t *backends)
{
  for (guint i = 0; i < backends->table->len; i++)
    {
      backend_t *backend = g_ptr_array_index (backends->table, i);

      entry_clear (&backend->entry);
      g_free (backend);
    }
  for (guint i = 0; i < backends->services->len; i++)
    {
      service_t *service = g_ptr_array_index (backends->services, i);

      g_free (service->name);
      g_free (service->health_path);
      g_free (service);
    }
  g_queue_clear (&backends->free_list);
  g_ptr_array_free (backends->table, TRUE);
  g_ptr_array_free (backends->services, TRUE);
  g_hash_table_destroy (backends->by_id);
  g_hash_table_destroy (backends->data_centres_out);
  g_free (backends->data_centre);
  g_free (backends->own_name);
  g_strfreev (backends->instances);
  g_free (backends);
}

service_index_t
backends_ensure_service (backends_t *backends, const char *name)
{
  service_t *service;

  for (guint i = 0; i < backends->services->len; i++)
    {
      service = g_ptr_array_index (backends->services, i);
      if (!service->is_canary && strcmp (service->name, name) == 0)
        return (service_index_t)i;
    }
  return add_service (backends, name);
}

static service_index_t
add_service (backends_t *backends, const char *name)
{
  service_t *service = g_new0 (service_t, 1);

  service->name = g_strdup (name);
  service->health_path = g_strdup ("/");
  service->full_load_slowdown = 1.0;
  service->canary = -1;
  g_ptr_array_add (backends->services, service);
  return (service_index_t)backends->services->len - 1;
}

service_index_t
backends_ensure_canary (backends_t *backends, service_index_t service)
{
  service_t *entry = backends_service_get (backends, service);

  if (entry->canary < 0)
    {
      entry->canary = add_service (backends, entry->name);
      backends_service_get (backends, entry->canary)->is_canary = true;
      backends_sync_canary (backends, service);
    }
  return entry->canary;
}

void
backends_sync_canary (backends_t *backends, service_index_t service)
{
  const service_t *entry = backends_service_get (backends, service);
  service_t *canary;

  if (entry->canary < 0)
    return;
  canary = backends_service_get (backends, entry->canary);
  g_free (canary->health_path);
  canary->health_path = g_strdup (entry->health_path);
  canary->connections_max = entry->connections_max;
  canary->cold_per_s = entry->cold_per_s;
}

void
backends_set_track (backends_t *backends, backend_t *backend,
                    backend_track_t track)
{
  service_index_t service
      = backends_ensure_service (backends, backend->entry.service);

  backend->track = track;
  backend->service = track == BACKEND_CANARY
                         ? backends_ensure_canary (backends, service)
                         : service;
}

service_t *
backends_service_get (backends_t *backends, service_index_t service)
{
  return g_ptr_array_index (backends->services, (guint)service);
}

int
backends_service_count (const backends_t *backends)
{
  return (int)backends->services->len;
}

static void
entry_copy (backend_entry_t *to, const backend_entry_t *from)
{
  *to = *from;
  to->id = g_strdup (from->id);
  to->service = g_strdup (from->service);
  to->data_centre = g_strdup (from->data_centre);
  to->software = g_strdup (from->software);
}

static void
entry_clear (backend_entry_t *entry)
{
  g_free (entry->id);
  g_free (entry->service);
  g_free (entry->data_centre);
  g_free (entry->software);
}

void
backends_put (backends_t *backends, const backend_entry_t *entry,
              clock_ms_t now)
{
  backend_t *backend = g_hash_table_lookup (backends->by_id, entry->id);
  bool is_restarted;

  if (backend != NULL
      && store_revision_compare (entry->revision, backend->entry.revision) < 0)
    return;
  is_restarted
      = backend != NULL
        && (backend->entry.born != entry->born
            || strcmp (backend->entry.service, entry->service) != 0
            || backend->entry.address.sin_addr.s_addr
                   != entry->address.sin_addr.s_addr
            || backend->entry.address.sin_port != entry->address.sin_port);
  if (is_restarted)
    {
      release_backend (backends, backend);
      backend = NULL;
    }
  if (backend == NULL)
    {
      backend = allocate_backend (backends);
      entry_copy (&backend->entry, entry);
      backend->service = backends_ensure_service (backends, entry->service);
      backend->rendezvous_weight
          = backends_rendezvous_weight (backends->own_name, entry->id);
      g_hash_table_insert (backends->by_id, backend->entry.id, backend);
    }
  else
    {
      backend->entry.slots = entry->slots;
      backend->entry.draining = entry->draining;
      backend->entry.cold = entry->cold;
      backend->entry.sequence = entry->sequence;
      backend->entry.revision = entry->revision;
    }
  backend->cold_until = MAX (backend->cold_until, now + entry->cold);
}

/* Returns an initialised table entry.  It is taken from the free list or, if
   that is empty, added to the table.  */
static backend_t *
allocate_backend (backends_t *backends)
{
  backend_t *backend = g_queue_pop_head (&backends->free_list);
  uint32_t generation = 1;
  uint32_t index;

  if (backend == NULL)
    {
      backend = g_new0 (backend_t, 1);
      backend->load.slowdown_percent = 100;
      index = backends->table->len;
      g_ptr_array_add (backends->table, backend);
    }
  else
    {
      index = backend->index;
      generation = backend->generation + 1;
    }
  memset (backend, 0, sizeof *backend);
  backend->index = index;
  backend->generation = generation;
  backend->in_use = true;
  backend->load.slowdown_percent = 100;
  return backend;
}

static void
release_backend (backends_t *backends, backend_t *backend)
{
  g_hash_table_remove (backends->by_id, backend->entry.id);
  entry_clear (&backend->entry);
  memset (&backend->entry, 0, sizeof backend->entry);
  backend->in_use = false;
  backend->generation++;
  g_queue_push_tail (&backends->free_list, backend);
}

bool
backends_remove (backends_t *backends, const char *id)
{
  backend_t *backend = g_hash_table_lookup (backends->by_id, id);

  if (backend == NULL)
    return false;
  release_backend (backends, backend);
  return true;
}

int
backends_count (const backends_t *backends)
{
  return (int)g_hash_table_size (backends->by_id);
}

backend_t *
backends_next (backends_t *backends, uint32_t *position)
{
  while (*position < backends->table->len)
    {
      backend_t *backend = g_ptr_array_index (backends->table, (*position)++);

      if (backend->in_use)
        return backend;
    }
  return NULL;
}

backend_t *
backends_find (backends_t *backends, const char *id)
{
  return g_hash_table_lookup (backends->by_id, id);
}

backend_t *
backends_get (backends_t *backends, backend_handle_t handle)
{
  backend_t *backend;

  if (handle.index >= backends->table->len)
    return NULL;
  backend = g_ptr_array_index (backends->table, handle.index);
  return backend->in_use && backend->generation == handle.generation ? backend
                                                                     : NULL;
}

backend_handle_t
backends_get_handle (const backends_t *backends, const backend_t *backend)
{
  (void)backends;
  return (backend_handle_t){ .index = backend->index,
                             .generation = backend->generation };
}

void
backends_set_data_centre_out (backends_t *backends, const char *data_centre,
                              bool out)
{
  if (out)
    g_hash_table_add (backends->data_centres_out, g_strdup (data_centre));
  else
    g_hash_table_remove (backends->data_centres_out, data_centre);
}

bool
backends_is_data_centre_out (const backends_t *backends,
                             const char *data_centre)
{
  return g_hash_table_contains (backends->data_centres_out, data_centre);
}

bool
backend_is_local (const backends_t *backends, const backend_t *backend)
{
  return strcmp (backend->entry.data_centre, backends->data_centre) == 0;
}

bool
backend_is_cold (const backend_t *backend, clock_ms_t now)
{
  return now < backend->cold_until;
}

void
backend_record_probe (backend_t *backend, backend_health_t health,
                      const backend_load_t *load, clock_ms_t warmup_left_ms,
                      clock_ms_t now)
{
  backend->health = health;
  backend->health_checked_at = now;
  if (health == BACKEND_UNREACHABLE || health == BACKEND_ID_MISMATCH)
    {
      clock_ms_t pause = BACKOFF_MIN_MS
                         << MIN (backend->consecutive_failures, 5U);

      backend->consecutive_failures++;
      backend->backoff_until = now + MIN (pause, BACKOFF_MAX_MS);
      return;
    }
  backend->consecutive_failures = 0;
  backend->backoff_until
      = health == BACKEND_UNHEALTHY ? now + BACKOFF_MIN_MS : 0;
  backend->cold_until = warmup_left_ms > 0 ? now + warmup_left_ms : 0;
  if (load != NULL)
    backend_record_load (backend, load, now);
}

void
backend_record_load (backend_t *backend, const backend_load_t *load,
                     clock_ms_t now)
{
  backend->load = *load;
  backend->load_reported_at = now;
}

void
backend_record_result (backend_t *backend, bool is_failure, clock_ms_t now)
{
  double before = backend_failure_rate (backend, now);

  backend->failure_rate = before * (1.0 - FAILURE_RATE_WEIGHT)
                          + (is_failure ? FAILURE_RATE_WEIGHT : 0.0);
  backend->failure_rate_at = now;
}

void
backend_record_duration (backend_t *backend, double expected,
                         clock_ms_t duration, bool is_complete, clock_ms_t now)
{
  double ratio
      = CLAMP ((double)duration / MAX (expected, 1.0), 1.0, SLOWDOWN_MAX);
  double before = backend_slowdown (backend, now);

  if (!is_complete && ratio <= before)
    return;
  backend->slowdown = before + SLOWDOWN_WEIGHT * (ratio - before);
  backend->slowdown_at = now;
}

double
backend_slowdown (const backend_t *backend, clock_ms_t now)
{
  double excess
      = (backend->slowdown - 1.0)
        / (1.0 + (double)(now - backend->slowdown_at) / SLOWDOWN_HALF_TIME_MS);

  return 1.0 + excess < SLOWDOWN_THRESHOLD ? 1.0 : 1.0 + excess;
}

double
backend_failure_rate (const backend_t *backend, clock_ms_t now)
{
  double half_times
      = (double)(now - backend->failure_rate_at) / FAILURE_RATE_HALF_TIME_MS;

  return backend->failure_rate / (1.0 + half_times);
}

bool
backend_record_leaving (backend_t *backend, bool is_own, clock_ms_t now)
{
  if (backend->says_leaving)
    return false;
  backend->says_leaving = true;
  backend->leaving_is_own = is_own;
  backend->leaving_learnt_at = now;
  return true;
}
