#include "view.h"

#include <string.h>
#include <xxhash.h>

#include "telemetry.h"

/* Time for which endpoints that are missing from the store are retained after
   an outage of the store.  According to the platform, live endpoints whose
   entries expired during the outage register again within about two
   seconds.  */
#define EXPIRED_RETENTION_MS 2200
/* Limit of the number of tombstones.  A tombstone prevents an outdated message
   of another instance from restoring a removed endpoint.  When the limit is
   reached, all tombstones are dropped.  */
#define TOMBSTONES_MAX 4096
/* Limit of the number of single endpoints that the reader logs between two
   summaries.  More lines could fill the ring buffer of the log.  */
#define LOGGED_CHANGES_MAX 32
/* Shortest time between two summaries of changed endpoints in the log.  */
#define CHANGES_LOG_INTERVAL_MS 200

static void log_version (const routes_t *routes);
static void put_back_into_service (view_t *view, clock_ms_t now);
static void enter_era (view_t *view, uint64_t era, clock_ms_t now);
static void change_free (view_change_t *change);
static void record_change (view_t *view, const backend_entry_t *entry,
                           store_revision_t revision, bool removed,
                           clock_ms_t now);
static void log_change (view_t *view, const char *id,
                        const backend_entry_t *entry,
                        store_revision_t revision);
static bool has_same_state (const backend_entry_t *a,
                            const backend_entry_t *b);
static bool is_lost_state (const view_t *view, const backend_entry_t *entry,
                           uint64_t born, uint64_t sequence, clock_ms_t now);
static bool is_outdated (const view_t *view, const backend_entry_t *entry,
                         clock_ms_t now);
static void remember_removal (view_t *view, const char *id,
                              const view_removal_t *removal);
static void remove_missing_backends (view_t *view, const GPtrArray *entries,
                                     store_revision_t revision,
                                     clock_ms_t now);
static uint64_t entry_digest (const backend_entry_t *entry);

view_t *
view_new (backends_t *backends, const view_hooks_t *hooks)
{
  view_t *view = g_new0 (view_t, 1);

  view->backends = backends;
  view->suspects = suspects_new ();
  view->rollouts = rollouts_new ();
  view->counts = counts_new ();
  view->allowances = allowances_new ();
  view->hooks = *hooks;
  view->out = g_ptr_array_new_with_free_func (g_free);
  view->stated_out = g_ptr_array_new_with_free_func (g_free);
  view->tombstones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&view->changes);
  config_history_init (&view->config_history);
  return view;
}

void
view_free (view_t *view)
{
  view_change_t *change;

  while ((change = g_queue_pop_head (&view->changes)) != NULL)
    change_free (change);
  g_ptr_array_free (view->out, TRUE);
  g_ptr_array_free (view->stated_out, TRUE);
  g_hash_table_destroy (view->tombstones);
  config_history_clear (&view->config_history);
  routes_free (view->routes);
  suspects_free (view->suspects);
  rollouts_free (view->rollouts);
  counts_free (view->counts);
  allowances_free (view->allowances);
  g_free (view);
}

/* Notes that something of an era of the store was learned.  */
static void
enter_era (view_t *view, uint64_t era, clock_ms_t now)
{
  if (era <= view->era)
    return;
  view->era = era;
  if (!view->has_all_backends)
    return;
  view_retain_missing (view, now);
  view->retain_out_until = now + EXPIRED_RETENTION_MS;
}

static void
change_free (view_change_t *change)
{
  g_free (change->entry.id);
  g_free (change->entry.service);
  g_free (change->entry.data_centre);
  g_free (change->entry.software);
  g_free (change);
}

/* Adds a change to @view->changes.  If that exceeds the limit, the oldest
   change is dropped.  */
static void
record_change (view_t *view, const backend_entry_t *entry,
               store_revision_t revision, bool removed, clock_ms_t now)
{
  view_change_t *change;

  /* The endpoints that make up the first complete set are not recorded as
     changes.  */
  if (!view->has_all_backends)
    return;
  change = g_new0 (view_change_t, 1);
  change->removed = removed;
  change->revision = revision;
  change->recorded_at = now;
  change->entry = *entry;
  change->entry.id = g_strdup (entry->id);
  change->entry.service = g_strdup (entry->service);
  change->entry.data_centre = g_strdup (entry->data_centre);
  change->entry.software = g_strdup (entry->software);
  g_queue_push_head (&view->changes, change);
  if (view->changes.length > VIEW_CHANGES_MAX)
    {
      change = g_queue_pop_tail (&view->changes);
      if (store_revision_compare (view->history_start, change->revision) < 0)
        view->history_start = change->revision;
      change_free (change);
    }
}

/* Counts a change of an endpoint for view_tick() and, at the reader, logs it.
   The endpoints that make up the first complete set are not logged one by one;
   view_set_synced() logs their number.  @entry: NULL if the endpoint was
   removed.  */
static void
log_change (view_t *view, const char *id, const backend_entry_t *entry,
            store_revision_t revision)
{
  if (!view->has_all_backends)
    return;
  if (entry == NULL)
    view->unlogged_removals++;
  else
    view->unlogged_updates++;
  if (!view->log_each_change
      || view->unlogged_updates + view->unlogged_removals > LOGGED_CHANGES_MAX)
    return;
  if (entry == NULL)
    g_log_structured (
        "fleet", G_LOG_LEVEL_INFO, "ENDPOINT", id, "MESSAGE",
        "endpoint is gone, store revision " STORE_REVISION_FORMAT,
        STORE_REVISION_ARGS (revision));
  else
    g_log_structured ("fleet", G_LOG_LEVEL_INFO, "ENDPOINT", id, "SERVICE",
                      entry->service, "DATA_CENTRE", entry->data_centre,
                      "MESSAGE",
                      "endpoint %s, store revision " STORE_REVISION_FORMAT,
                      entry->draining ? "is leaving" : "is in service",
                      STORE_REVISION_ARGS (revision));
}

/* Whether two entries of an endpoint are equal apart from the revision and the
   remaining warm-up time, which change with each heartbeat of the endpoint,
   and from the software version.  */
static bool
has_same_state (const backend_entry_t *a, const backend_entry_t *b)
{
  return a->draining == b->draining && a->born == b->born
         && a->slots == b->slots
         && a->address.sin_addr.s_addr == b->address.sin_addr.s_addr
         && a->address.sin_port == b->address.sin_port
         && strcmp (a->service, b->service) == 0
         && strcmp (a->data_centre, b->data_centre) == 0;
}

/* Whether an entry of a newer era than what is known of its endpoint is older
   all the same, by what the endpoint says of itself.  @born, @sequence: of the
   oldest entry that is not.  */
static bool
is_lost_state (const view_t *view, const backend_entry_t *entry, uint64_t born,
               uint64_t sequence, clock_ms_t now)
{
  if (entry->born == born)
    return entry->sequence < sequence;
  /* Clocks are set back at times, so that an earlier start does not count for
     longer than it takes the endpoint to write its entry again.  */
  return entry->born < born && now < view->retain_until;
}

/* Whether the view knows something newer about the endpoint than an entry.  */
static bool
is_outdated (const view_t *view, const backend_entry_t *entry, clock_ms_t now)
{
  const backend_t *known = backends_find (view->backends, entry->id);
  const view_removal_t *removal
      = g_hash_table_lookup (view->tombstones, entry->id);

  if (removal != NULL
      && (store_revision_compare (entry->revision, removal->revision) <= 0
          || (entry->revision.era > removal->revision.era
              && removal->sequence != 0
              && is_lost_state (view, entry, removal->born,
                                removal->sequence + 1, now))))
    return true;
  return known != NULL
         && (store_revision_compare (entry->revision, known->entry.revision)
                 < 0
             || (entry->revision.era > known->entry.revision.era
                 && is_lost_state (view, entry, known->entry.born,
                                   known->entry.sequence, now)));
}

void
view_put_backend (view_t *view, const backend_entry_t *entry, clock_ms_t now)
{
  const backend_t *known = backends_find (view->backends, entry->id);
  bool changed;

  enter_era (view, entry->revision.era, now);
  if (is_outdated (view, entry, now))
    return;
  changed = known == NULL || !has_same_state (&known->entry, entry);
  if (changed && known != NULL)
    view->digest ^= entry_digest (&known->entry);
  backends_put (view->backends, entry, now);
  if (!changed)
    return;
  if (view->has_rollouts)
    {
      rollouts_set_track (view->rollouts, view->backends,
                          backends_find (view->backends, entry->id), now);
      view->are_tracks_due = true;
    }
  view->digest ^= entry_digest (entry);
  g_hash_table_remove (view->tombstones, entry->id);
  record_change (view, entry, entry->revision, false, now);
  log_change (view, entry->id, entry, entry->revision);
  view->hooks.backends_changed (view->hooks.context);
}

/* Records a removal, so that older entries of the endpoint are ignored.  */
static void
remember_removal (view_t *view, const char *id, const view_removal_t *removal)
{
  view_removal_t *tombstone = g_hash_table_lookup (view->tombstones, id);

  if (tombstone != NULL)
    {
      if (store_revision_compare (tombstone->revision, removal->revision) < 0)
        *tombstone = *removal;
      return;
    }
  if (g_hash_table_size (view->tombstones) >= TOMBSTONES_MAX)
    g_hash_table_remove_all (view->tombstones);
  g_hash_table_insert (view->tombstones, g_strdup (id),
                       g_memdup2 (removal, sizeof *removal));
}

void
view_remove_backend (view_t *view, const char *id,
                     const view_removal_t *removal, clock_ms_t now)
{
  const backend_t *known = backends_find (view->backends, id);
  view_removal_t remembered = *removal;

  enter_era (view, removal->revision.era, now);
  if (known == NULL)
    {
      /* An older message about the endpoint may still arrive.  */
      remember_removal (view, id, removal);
      return;
    }
  if (store_revision_compare (removal->revision, known->entry.revision) < 0)
    return;
  if (now < view->retain_until && !known->entry.draining)
    return;
  if (removal->sequence == 0)
    {
      remembered.born = known->entry.born;
      remembered.sequence = known->entry.sequence;
    }
  remember_removal (view, id, &remembered);
  record_change (view, &known->entry, removal->revision, true, now);
  log_change (view, id, NULL, removal->revision);
  view->digest ^= entry_digest (&known->entry);
  (void)backends_remove (view->backends, id);
  view->hooks.backends_changed (view->hooks.context);
}

/* Removes the endpoints that are not among @entries.  */
static void
remove_missing_backends (view_t *view, const GPtrArray *entries,
                         store_revision_t revision, clock_ms_t now)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  view_removal_t removal = { .revision = revision };
  uint32_t position = 0;

  for (guint i = 0; i < entries->len; i++)
    {
      const backend_entry_t *entry = g_ptr_array_index (entries, i);

      g_hash_table_add (present, entry->id);
    }
  for (const backend_t *b = backends_next (view->backends, &position);
       b != NULL; b = backends_next (view->backends, &position))
    if (!g_hash_table_contains (present, b->entry.id))
      g_ptr_array_add (missing, g_strdup (b->entry.id));
  for (guint i = 0; i < missing->len; i++)
    view_remove_backend (view, g_ptr_array_index (missing, i), &removal, now);
  g_ptr_array_free (missing, TRUE);
  g_hash_table_destroy (present);
}

void
view_replace_backends (view_t *view, const GPtrArray *entries,
                       store_revision_t revision, clock_ms_t now)
{
  if (store_revision_compare (revision, view->revision) < 0)
    return;
  enter_era (view, revision.era, now);
  for (guint i = 0; i < entries->len; i++)
    {
      backend_entry_t entry
          = *(const backend_entry_t *)g_ptr_array_index (entries, i);

      if (entry.revision.era < revision.era)
        entry.revision = (store_revision_t){ .era = revision.era };
      view_put_backend (view, &entry, now);
    }
  remove_missing_backends (view, entries, revision, now);
  view_set_synced (view, revision);
}

void
view_log_each_change (view_t *view, bool each)
{
  view->log_each_change = each;
}

void
view_tick (view_t *view, clock_ms_t now)
{
  put_back_into_service (view, now);
  if (view->are_tracks_due || rollouts_has_unordered (view->rollouts))
    {
      view->are_tracks_due = false;
      rollouts_set_tracks (view->rollouts, view->backends, now);
    }
  if (view->unlogged_updates + view->unlogged_removals == 0
      || now - view->changes_logged_at < CHANGES_LOG_INTERVAL_MS)
    return;
  g_log_structured ("fleet", G_LOG_LEVEL_INFO, "MESSAGE",
                    "endpoints have changed: %u added or changed, %u gone, "
                    "%d known, store revision " STORE_REVISION_FORMAT,
                    view->unlogged_updates, view->unlogged_removals,
                    backends_count (view->backends),
                    STORE_REVISION_ARGS (view->revision));
  view->unlogged_updates = 0;
  view->unlogged_removals = 0;
  view->changes_logged_at = now;
}

void
view_set_synced (view_t *view, store_revision_t revision)
{
  view->revision = revision;
  view->synced_at = clock_now ();
  if (view->has_all_backends || store_revision_is_zero (revision))
    return;
  view->has_all_backends = true;
  rollouts_set_established (view->rollouts);
  view->history_start = revision;
  g_log_structured (
      "fleet", G_LOG_LEVEL_INFO, "MESSAGE",
      "%d endpoints are known, store revision " STORE_REVISION_FORMAT,
      backends_count (view->backends), STORE_REVISION_ARGS (revision));
}

bool
view_has_changes_since (const view_t *view, store_revision_t since)
{
  return view->has_all_backends && !store_revision_is_zero (since)
         && store_revision_compare (since, view->history_start) >= 0;
}

void
view_retain_missing (view_t *view, clock_ms_t now)
{
  view->retain_until = now + EXPIRED_RETENTION_MS;
}

static void
log_version (const routes_t *routes)
{
  g_autofree char *version
      = g_strdup_printf ("%" G_GUINT64_FORMAT, routes->version);
  g_autofree char *left_out = g_strdup_printf ("%u", routes->rows_left_out);

  g_log_structured (
      "fleet",
      routes->rows_left_out > 0 ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE,
      "CONFIG_IN_FORCE", version, "ROWS_LEFT_OUT", left_out, "MESSAGE",
      "configuration %s is in force: %u routes, %u services, "
      "%u tenants, %s rows left out",
      version, routes->routes->len, routes->services->len,
      routes->tenants->len, left_out);
}

void
view_set_routes (view_t *view, routes_t *routes)
{
  routes_t *old = view->routes;

  if (old != NULL && routes->version <= old->version)
    {
      routes_free (routes);
      return;
    }
  if (old != NULL)
    config_history_record (&view->config_history, old, routes);
  view->routes = routes;
  view->config_digest = config_digest (routes);
  view->routes_changed_at = clock_now ();
  telemetry_gauge_set (TELEMETRY_CONFIG_ROWS_LEFT_OUT, routes->rows_left_out);
  log_version (routes);
  view->hooks.routes_changed (view->hooks.context, routes);
  routes_free (old);
}

/* Puts the data centres back into service that are out according to no recent
   statement.  */
static void
put_back_into_service (view_t *view, clock_ms_t now)
{
  if (now < view->retain_out_until)
    return;
  for (guint i = view->out->len; i > 0; i--)
    {
      char *name = g_ptr_array_index (view->out, i - 1);

      if (g_ptr_array_find_with_equal_func (view->stated_out, name,
                                            g_str_equal, NULL))
        continue;
      g_message ("data centre %s is back in service", name);
      backends_set_data_centre_out (view->backends, name, false);
      g_ptr_array_remove_index (view->out, i - 1);
    }
}

void
view_set_out_of_service (view_t *view, const GPtrArray *names,
                         store_revision_t revision, clock_ms_t now)
{
  if (revision.era < view->era
      || store_revision_compare (revision, view->out_revision) < 0)
    return;
  view->out_revision = revision;
  enter_era (view, revision.era, now);
  g_ptr_array_set_size (view->stated_out, 0);
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      g_ptr_array_add (view->stated_out, g_strdup (name));
      if (backends_is_data_centre_out (view->backends, name))
        continue;
      g_message ("data centre %s is taken out of service", name);
      backends_set_data_centre_out (view->backends, name, true);
      g_ptr_array_add (view->out, g_strdup (name));
    }
  put_back_into_service (view, now);
}

/* Digest of an entry without the parts that change with each heartbeat of the
   endpoint, and without its software version.  */
static uint64_t
entry_digest (const backend_entry_t *entry)
{
  char text[512];
  int n = g_snprintf (
      text, sizeof text, "%s %s %s %u %u %u %d %" G_GUINT64_FORMAT, entry->id,
      entry->service, entry->data_centre, entry->address.sin_addr.s_addr,
      entry->address.sin_port, entry->slots, entry->draining, entry->born);

  return XXH64 (text, (size_t)MIN (n, (int)sizeof text - 1), 0);
}

uint64_t
view_digest (const view_t *view)
{
  return view->digest;
}
