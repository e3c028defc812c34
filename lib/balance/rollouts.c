#include "rollouts.h"

#include <string.h>
#include <xxhash.h>

/* In the canary phase no route gives the new version a larger share of its
   requests than this, however rarely it is used.  */
#define ROUTE_SHARE_MAX 0.3

/* A version of a service's software that was seen.  */
typedef struct seen_version
{
  clock_ms_t first_seen_at; /* ms */
  bool is_established;      /* it was there before any other */
} seen_version_t;

struct rollouts
{
  GPtrArray *table;    /* rollout_t * */
  GHashTable *seen;    /* "service\nversion" to seen_version_t * */
  GHashTable *staffed; /* names of services of which a version was seen, used
                          as a set */
  bool is_established; /* rollouts_set_established() was called */
  bool has_unordered;
  bool is_suspended; /* see rollouts_suspend() */
};

/* An endpoint of a new version, with its position among these.  */
typedef struct canary
{
  backend_t *backend;
  uint64_t order;
} canary_t;

static void free_rollout (gpointer data);
static bool is_same_order (const rollout_t *rollout,
                           const rollout_order_t *order);
static void begin (rollout_t *rollout, const rollout_order_t *order,
                   uint64_t id, clock_ms_t started_at);
static rollout_t *ensure_order (rollouts_t *rollouts,
                                const rollout_order_t *order, uint64_t id,
                                clock_ms_t started_at, bool *is_new);
static bool is_later_step (const rollout_step_t *step,
                           const rollout_step_t *known);
static const seen_version_t *see_version (rollouts_t *rollouts,
                                          const backend_entry_t *entry,
                                          clock_ms_t now);
static backend_track_t find_track (rollouts_t *rollouts,
                                   const backend_t *backend, clock_ms_t now);
static gint compare_canaries (gconstpointer a, gconstpointer b);
static void narrow_canaries (rollout_t *rollout, backends_t *backends);
static rollout_route_t *get_route (rollout_t *rollout, uint64_t route);

rollouts_t *
rollouts_new (void)
{
  rollouts_t *rollouts = g_new0 (rollouts_t, 1);

  rollouts->table = g_ptr_array_new_with_free_func (free_rollout);
  rollouts->seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rollouts->staffed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return rollouts;
}

void
rollouts_free (rollouts_t *rollouts)
{
  g_ptr_array_free (rollouts->table, TRUE);
  g_hash_table_destroy (rollouts->seen);
  g_hash_table_destroy (rollouts->staffed);
  g_free (rollouts);
}

static void
free_rollout (gpointer data)
{
  rollout_t *rollout = data;

  g_free (rollout->service);
  g_free (rollout->version);
  g_free (rollout);
}

int
rollouts_count (const rollouts_t *rollouts)
{
  return (int)rollouts->table->len;
}

rollout_t *
rollouts_get (rollouts_t *rollouts, int position)
{
  return g_ptr_array_index (rollouts->table, (guint)position);
}

rollout_t *
rollouts_find (rollouts_t *rollouts, const char *service)
{
  for (guint i = 0; i < rollouts->table->len; i++)
    {
      rollout_t *rollout = g_ptr_array_index (rollouts->table, i);

      if (strcmp (rollout->service, service) == 0)
        return rollout;
    }
  return NULL;
}

bool
rollout_is_running (const rollout_t *rollout)
{
  return rollout->step.phase <= ROLLOUT_PROMOTED;
}

const char *
rollout_phase_name (rollout_phase_t phase)
{
  static const char *const names[ROLLOUT_PHASE_COUNT] = {
    "canary", "ramp", "promoted", "cancelled", "rolled back", "completed"
  };

  return names[phase];
}

static bool
is_same_order (const rollout_t *rollout, const rollout_order_t *order)
{
  /* A restored store has the order again, at another revision.  */
  return strcmp (rollout->version, order->version) == 0
         && (rollout->created.era != order->created.era
             || rollout->created.number == order->created.number);
}

static void
begin (rollout_t *rollout, const rollout_order_t *order, uint64_t id,
       clock_ms_t started_at)
{
  g_free (rollout->service);
  g_free (rollout->version);
  *rollout = (rollout_t){
    .service = g_strdup (order->service),
    .version = g_strdup (order->version),
    .id = id,
    .created = order->created,
    .ordered = order->revision,
    .duration = order->duration,
    .started_at = started_at,
    .stepped_at = started_at,
    .stored_phase = ROLLOUT_PHASE_COUNT,
  };
  g_strlcpy (rollout->reason, "ordered", sizeof rollout->reason);
}

/* Returns the rollout of the order's service, which becomes that of the order
   unless it is newer.  */
static rollout_t *
ensure_order (rollouts_t *rollouts, const rollout_order_t *order, uint64_t id,
              clock_ms_t started_at, bool *is_new)
{
  rollout_t *rollout = rollouts_find (rollouts, order->service);

  *is_new = rollout == NULL;
  if (rollout == NULL)
    {
      rollout = g_new0 (rollout_t, 1);
      g_ptr_array_add (rollouts->table, rollout);
    }
  else if (is_same_order (rollout, order))
    {
      if (store_revision_compare (rollout->created, order->created) < 0)
        rollout->created = order->created;
      return rollout;
    }
  else if (store_revision_compare (rollout->ordered, order->revision) >= 0)
    return rollout;
  *is_new = true;
  begin (rollout, order, id, started_at);
  return rollout;
}

rollout_t *
rollouts_put (rollouts_t *rollouts, const rollout_order_t *order,
              clock_ms_t now)
{
  uint64_t id = XXH64 (order->service, strlen (order->service),
                       order->revision.era ^ (order->revision.number << 16));
  bool is_new;

  id = XXH64 (order->version, strlen (order->version), id);
  return ensure_order (rollouts, order, id, now, &is_new);
}

static bool
is_later_step (const rollout_step_t *step, const rollout_step_t *known)
{
  if (step->phase != known->phase)
    return step->phase > known->phase;
  return step->number > known->number;
}

bool
rollouts_learn (rollouts_t *rollouts, const rollout_order_t *order,
                uint64_t id, const rollout_step_t *step, clock_ms_t age,
                clock_ms_t now)
{
  bool is_new;
  rollout_t *rollout = ensure_order (rollouts, order, id, now - age, &is_new);

  if (!is_same_order (rollout, order))
    return false;
  rollout->started_at = MIN (rollout->started_at, now - age);
  /* Two instances may have read the order at different revisions.  */
  if (store_revision_compare (order->revision, rollout->ordered) < 0)
    {
      rollout->ordered = order->revision;
      rollout->id = id;
    }
  if (!is_new && !is_later_step (step, &rollout->step))
    return false;
  rollout->step = *step;
  rollout->stepped_at = now;
  g_strlcpy (rollout->reason, "told by another instance",
             sizeof rollout->reason);
  return true;
}

bool
rollout_take_step (rollout_t *rollout, const rollout_step_t *step,
                   const char *reason, clock_ms_t now)
{
  uint32_t number = rollout->step.number + 1;

  if (step->phase < rollout->step.phase)
    return false;
  rollout->step = *step;
  rollout->step.number = number;
  rollout->stepped_at = now;
  g_strlcpy (rollout->reason, reason, sizeof rollout->reason);
  return true;
}

void
rollouts_set_established (rollouts_t *rollouts)
{
  rollouts->is_established = true;
}

bool
rollouts_has_unordered (const rollouts_t *rollouts)
{
  return rollouts->has_unordered;
}

/* Records the version of an endpoint.  Return: the record.  */
static const seen_version_t *
see_version (rollouts_t *rollouts, const backend_entry_t *entry,
             clock_ms_t now)
{
  g_autofree char *name
      = g_strdup_printf ("%s\n%s", entry->service, entry->software);
  seen_version_t *seen = g_hash_table_lookup (rollouts->seen, name);

  if (seen != NULL)
    return seen;
  seen = g_new0 (seen_version_t, 1);
  seen->first_seen_at = now;
  seen->is_established
      = !rollouts->is_established
        || !g_hash_table_contains (rollouts->staffed, entry->service);
  g_hash_table_add (rollouts->staffed, g_strdup (entry->service));
  g_hash_table_insert (rollouts->seen, g_steal_pointer (&name), seen);
  return seen;
}

/* Returns the track of an endpoint, before the canaries are narrowed down to
   the active ones.  */
static backend_track_t
find_track (rollouts_t *rollouts, const backend_t *backend, clock_ms_t now)
{
  const backend_entry_t *entry = &backend->entry;
  const rollout_t *rollout = rollouts_find (rollouts, entry->service);
  const seen_version_t *seen;
  bool is_new;

  /* An endpoint that states no version is not part of a rollout.  */
  if (entry->software == NULL || *entry->software == '\0')
    return BACKEND_STABLE;
  seen = see_version (rollouts, entry, now);
  is_new = rollout != NULL && strcmp (rollout->version, entry->software) == 0;
  if (rollout != NULL)
    switch (rollout->step.phase)
      {
      case ROLLOUT_CANARY:
      case ROLLOUT_RAMP:
        if (is_new)
          return BACKEND_CANARY;
        break;
      case ROLLOUT_PROMOTED:
      case ROLLOUT_COMPLETED:
        return is_new ? BACKEND_STABLE : BACKEND_WITHHELD;
      default:
        if (is_new)
          return BACKEND_WITHHELD;
        break;
      }
  if (!seen->is_established
      && now - seen->first_seen_at < ROLLOUT_UNORDERED_HOLD_MS)
    {
      rollouts->has_unordered = true;
      return BACKEND_WITHHELD;
    }
  return BACKEND_STABLE;
}

void
rollouts_set_track (rollouts_t *rollouts, backends_t *backends,
                    backend_t *backend, clock_ms_t now)
{
  backend_track_t track = find_track (rollouts, backend, now);
  const rollout_t *rollout = rollouts_find (rollouts, backend->entry.service);

  /* rollouts_set_tracks() decides whether it is among the active ones.  */
  if (track == BACKEND_CANARY && rollout->step.active > 0)
    track = BACKEND_WITHHELD;
  backends_set_track (backends, backend, track);
}

static gint
compare_canaries (gconstpointer a, gconstpointer b)
{
  const canary_t *left = a;
  const canary_t *right = b;

  return (left->order > right->order) - (left->order < right->order);
}

/* Withholds the endpoints of the new version that are not among the active
   ones.  All instances have the same active ones, as the order follows from
   the ids of the endpoints.  */
static void
narrow_canaries (rollout_t *rollout, backends_t *backends)
{
  GArray *canaries = g_array_new (FALSE, FALSE, sizeof (canary_t));
  uint32_t position = 0;

  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      canary_t canary = { .backend = backend };

      if (backend->track != BACKEND_CANARY
          || strcmp (backend->entry.service, rollout->service) != 0)
        continue;
      canary.order = XXH64 (backend->entry.id, strlen (backend->entry.id), 0);
      g_array_append_val (canaries, canary);
    }
  g_array_sort (canaries, compare_canaries);
  for (guint i = 0; i < canaries->len; i++)
    {
      guint distance
          = (i + canaries->len - rollout->step.first % canaries->len)
            % canaries->len;

      if (distance >= rollout->step.active)
        backends_set_track (backends,
                            g_array_index (canaries, canary_t, i).backend,
                            BACKEND_WITHHELD);
    }
  g_array_unref (canaries);
}

void
rollouts_set_tracks (rollouts_t *rollouts, backends_t *backends,
                     clock_ms_t now)
{
  uint32_t position = 0;

  rollouts->has_unordered = false;
  for (backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      backend_track_t track = find_track (rollouts, backend, now);

      if (track != backend->track)
        backends_set_track (backends, backend, track);
    }
  for (guint i = 0; i < rollouts->table->len; i++)
    {
      rollout_t *rollout = g_ptr_array_index (rollouts->table, i);

      if (rollout->step.phase == ROLLOUT_CANARY && rollout->step.active > 0)
        narrow_canaries (rollout, backends);
    }
}

/* Returns the record of a route.  If there are too many, the last one stands
   for all further ones.  */
static rollout_route_t *
get_route (rollout_t *rollout, uint64_t route)
{
  for (int i = 0; i < rollout->n_routes; i++)
    if (rollout->routes[i].route == route)
      return &rollout->routes[i];
  if (rollout->n_routes == ROLLOUT_ROUTES_MAX)
    return &rollout->routes[ROLLOUT_ROUTES_MAX - 1];
  rollout->routes[rollout->n_routes].route = route;
  return &rollout->routes[rollout->n_routes++];
}

bool
rollout_draw (rollout_t *rollout, uint64_t route, decide_rng_t *rng)
{
  rollout_route_t *record = get_route (rollout, route);
  double share = rollout->step.share;

  rollout->requests++;
  record->requests++;
  if (rollout->step.phase == ROLLOUT_CANARY)
    share = MIN (share * (double)rollout->requests
                     / ((double)rollout->n_routes * (double)record->requests),
                 MAX (ROUTE_SHARE_MAX, share));
  return decide_rng_below (rng, 1U << 20) < (uint32_t)(share * (1U << 20));
}

void
rollouts_suspend (rollouts_t *rollouts, bool suspended)
{
  rollouts->is_suspended = suspended;
}

rollout_t *
rollouts_find_dividing (rollouts_t *rollouts, const char *service)
{
  rollout_t *rollout;

  if (rollouts->table->len == 0 || rollouts->is_suspended)
    return NULL;
  rollout = rollouts_find (rollouts, service);
  return rollout != NULL && rollout->step.phase <= ROLLOUT_RAMP
                 && rollout->step.share > 0
             ? rollout
             : NULL;
}
