#include "config_change.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

/* Kinds of rows.  */
typedef enum row_kind_index
{
  ROW_ROUTE,
  ROW_SERVICE,
  ROW_TENANT,
  ROW_KIND_COUNT
} row_kind_index_t;

/* Names of the rows by which two consecutive versions differ.  */
typedef struct config_step
{
  uint64_t from;
  uint64_t to;
  GPtrArray *changed[ROW_KIND_COUNT]; /* char *, by kind */
} config_step_t;

/* The functions for one kind of row, so that all kinds share the code that
   compares and copies them.  */
typedef struct row_kind
{
  const char *(*name) (gconstpointer row);
  uint64_t (*digest) (gconstpointer row);
} row_kind_t;

static const char *route_name (gconstpointer row);
static uint64_t route_digest (gconstpointer row);
static const char *service_name (gconstpointer row);
static uint64_t service_digest (gconstpointer row);
static void step_free (gpointer data);
static GHashTable *index_rows (const row_kind_t *kind, const GPtrArray *rows);
static GPtrArray *list_changed (const row_kind_t *kind,
                                const GPtrArray *before,
                                const GPtrArray *after);
static GHashTable *names_since (const config_history_t *history,
                                uint64_t since, uint64_t version,
                                row_kind_index_t kind);
static void add_rows (const row_kind_t *kind, GHashTable *names,
                      const GPtrArray *rows, GPtrArray *changed,
                      GPtrArray *removed);
static GHashTable *replaced_names (const row_kind_t *kind,
                                   const GPtrArray *changed,
                                   const GPtrArray *removed);
static config_change_t *change_new (bool owns_rows);
static void add_unchanged (routes_t *next, const routes_t *routes,
                           const config_change_t *change);

static const char *tenant_name (gconstpointer row);
static uint64_t tenant_digest (gconstpointer row);
static GPtrArray *get_rows (const routes_t *routes, row_kind_index_t kind);

static const row_kind_t row_kinds[ROW_KIND_COUNT] = {
  [ROW_ROUTE] = { route_name, route_digest },
  [ROW_SERVICE] = { service_name, service_digest },
  [ROW_TENANT] = { tenant_name, tenant_digest },
};

static GPtrArray *
get_rows (const routes_t *routes, row_kind_index_t kind)
{
  return kind == ROW_ROUTE     ? routes->routes
         : kind == ROW_SERVICE ? routes->services
                               : routes->tenants;
}

static const char *
route_name (gconstpointer row)
{
  return ((const route_t *)row)->name;
}

static uint64_t
route_digest (gconstpointer row)
{
  const route_t *route = row;
  GString *text = g_string_sized_new (256);
  uint64_t digest;

  g_string_printf (
      text,
      "%s\n%s\n%s\n%d %d %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %d %d",
      route->name, route->host, route->prefix, route->idempotent, route->bulk,
      route->timeout, route->target, route->priority, route->endpoints_max);
  if (route->is_public)
    g_string_append (text, "\npublic");
  for (int i = 0; i < route->n_parts; i++)
    g_string_append_printf (text, "\n%s %u", route->parts[i].service,
                            route->parts[i].weight);
  digest = XXH64 (text->str, text->len, 1);
  g_string_free (text, TRUE);
  return digest;
}

static const char *
service_name (gconstpointer row)
{
  return ((const service_rules_t *)row)->name;
}

static uint64_t
service_digest (gconstpointer row)
{
  const service_rules_t *rules = row;
  g_autofree char *text
      = g_strdup_printf ("%s\n%s\n%d %.17g", rules->name, rules->health_path,
                         rules->connections_max, rules->cold_per_s);

  return XXH64 (text, strlen (text), 2);
}

static const char *
tenant_name (gconstpointer row)
{
  return ((const tenant_t *)row)->name;
}

static uint64_t
tenant_digest (gconstpointer row)
{
  const tenant_t *tenant = row;
  GString *text = g_string_new (NULL);
  uint64_t digest;

  g_string_printf (text, "%s\n%d %.17g %.17g", tenant->name, tenant->priority,
                   tenant->rate_per_s, tenant->burst);
  for (guint i = 0; i < tenant->keys->len; i++)
    g_string_append_printf (text, "\n%s",
                            (char *)g_ptr_array_index (tenant->keys, i));
  digest = XXH64 (text->str, text->len, 4);
  g_string_free (text, TRUE);
  return digest;
}

uint64_t
config_digest (const routes_t *routes)
{
  const client_limits_t *limits = &routes->limits;
  const int64_t fixed[]
      = { (int64_t)routes->version, limits->header_bytes, limits->body_bytes,
          limits->header_timeout,   limits->idle_timeout, routes->requires_key,
          routes->rows_left_out };
  uint64_t digest = XXH64 (fixed, sizeof fixed, 3);

  for (int kind = 0; kind < ROW_KIND_COUNT; kind++)
    {
      const GPtrArray *rows = get_rows (routes, (row_kind_index_t)kind);

      for (guint i = 0; i < rows->len; i++)
        digest ^= row_kinds[kind].digest (g_ptr_array_index (rows, i));
    }
  return digest;
}

void
config_history_init (config_history_t *history)
{
  g_queue_init (&history->steps);
}

void
config_history_clear (config_history_t *history)
{
  g_queue_clear_full (&history->steps, step_free);
}

static void
step_free (gpointer data)
{
  config_step_t *step = data;

  for (int kind = 0; kind < ROW_KIND_COUNT; kind++)
    g_ptr_array_free (step->changed[kind], TRUE);
  g_free (step);
}

/* Returns a table from the names of rows to the rows.  */
static GHashTable *
index_rows (const row_kind_t *kind, const GPtrArray *rows)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < rows->len; i++)
    {
      gpointer row = g_ptr_array_index (rows, i);

      g_hash_table_insert (index, (gpointer)kind->name (row), row);
    }
  return index;
}

/* Returns the names of the rows that were added, changed or removed.  */
static GPtrArray *
list_changed (const row_kind_t *kind, const GPtrArray *before,
              const GPtrArray *after)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GHashTable *old = index_rows (kind, before);
  GHashTableIter iter;
  gpointer name;

  for (guint i = 0; i < after->len; i++)
    {
      gconstpointer row = g_ptr_array_index (after, i);
      gconstpointer previous = g_hash_table_lookup (old, kind->name (row));

      if (previous == NULL || kind->digest (previous) != kind->digest (row))
        g_ptr_array_add (names, g_strdup (kind->name (row)));
      if (previous != NULL)
        g_hash_table_remove (old, kind->name (row));
    }
  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  g_hash_table_destroy (old);
  return names;
}

void
config_history_record (config_history_t *history, const routes_t *before,
                       const routes_t *after)
{
  config_step_t *step = g_new0 (config_step_t, 1);

  step->from = before->version;
  step->to = after->version;
  for (int kind = 0; kind < ROW_KIND_COUNT; kind++)
    step->changed[kind] = list_changed (
        &row_kinds[kind], get_rows (before, (row_kind_index_t)kind),
        get_rows (after, (row_kind_index_t)kind));
  g_queue_push_head (&history->steps, step);
  if (history->steps.length > CONFIG_HISTORY_STEPS_MAX)
    step_free (g_queue_pop_tail (&history->steps));
}

uint64_t
config_history_previous_version (const config_history_t *history)
{
  const config_step_t *newest = g_queue_peek_head ((GQueue *)&history->steps);

  return newest != NULL ? newest->from : 0;
}

/* Returns the names of the rows of a kind that have changed after version
   @since; NULL if the history does not reach back to it.  */
static GHashTable *
names_since (const config_history_t *history, uint64_t since, uint64_t version,
             row_kind_index_t kind)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (GList *link = history->steps.head; version != since && link != NULL;
       link = link->next)
    {
      const config_step_t *step = link->data;
      const GPtrArray *changed = step->changed[kind];

      for (guint i = 0; i < changed->len; i++)
        g_hash_table_add (names, g_ptr_array_index (changed, i));
      version = step->from;
    }
  if (version == since)
    return names;
  g_hash_table_destroy (names);
  return NULL;
}

/* Divides the rows with the given names into those that exist, which are added
   to @changed, and the names of the others, which are added to @removed.
   @names: NULL: all rows are added to @changed.  */
static void
add_rows (const row_kind_t *kind, GHashTable *names, const GPtrArray *rows,
          GPtrArray *changed, GPtrArray *removed)
{
  GHashTableIter iter;
  gpointer name;

  for (guint i = 0; i < rows->len; i++)
    {
      gpointer row = g_ptr_array_index (rows, i);

      if (names == NULL
          || g_hash_table_remove (names, (gpointer)kind->name (row)))
        g_ptr_array_add (changed, row);
    }
  if (names == NULL)
    return;
  g_hash_table_iter_init (&iter, names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (removed, g_strdup (name));
  g_hash_table_destroy (names);
}

config_change_t *
config_change_since (const config_history_t *history, const routes_t *routes,
                     uint64_t digest, uint64_t since)
{
  config_change_t *change = change_new (false);
  GHashTable *names = names_since (history, since, routes->version, ROW_ROUTE);

  change->base = names != NULL ? since : 0;
  change->version = routes->version;
  change->digest = digest;
  change->limits = routes->limits;
  change->requires_key = routes->requires_key;
  change->rows_left_out = routes->rows_left_out;
  add_rows (&row_kinds[ROW_ROUTE], names, routes->routes, change->routes,
            change->removed_routes);
  names = change->base != 0
              ? names_since (history, since, routes->version, ROW_SERVICE)
              : NULL;
  add_rows (&row_kinds[ROW_SERVICE], names, routes->services, change->services,
            change->removed_services);
  names = change->base != 0
              ? names_since (history, since, routes->version, ROW_TENANT)
              : NULL;
  add_rows (&row_kinds[ROW_TENANT], names, routes->tenants, change->tenants,
            change->removed_tenants);
  return change;
}

static config_change_t *
change_new (bool owns_rows)
{
  config_change_t *change = g_new0 (config_change_t, 1);

  change->routes
      = g_ptr_array_new_with_free_func (owns_rows ? route_free : NULL);
  change->services
      = g_ptr_array_new_with_free_func (owns_rows ? service_rules_free : NULL);
  change->tenants
      = g_ptr_array_new_with_free_func (owns_rows ? tenant_free : NULL);
  change->removed_routes = g_ptr_array_new_with_free_func (g_free);
  change->removed_services = g_ptr_array_new_with_free_func (g_free);
  change->removed_tenants = g_ptr_array_new_with_free_func (g_free);
  return change;
}

config_change_t *
config_change_new (void)
{
  return change_new (true);
}

void
config_change_free (config_change_t *change)
{
  g_ptr_array_free (change->routes, TRUE);
  g_ptr_array_free (change->services, TRUE);
  g_ptr_array_free (change->tenants, TRUE);
  g_ptr_array_free (change->removed_routes, TRUE);
  g_ptr_array_free (change->removed_services, TRUE);
  g_ptr_array_free (change->removed_tenants, TRUE);
  g_free (change);
}

/* Returns the names of the rows that a change replaces or removes.  */
static GHashTable *
replaced_names (const row_kind_t *kind, const GPtrArray *changed,
                const GPtrArray *removed)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < changed->len; i++)
    g_hash_table_add (names,
                      (gpointer)kind->name (g_ptr_array_index (changed, i)));
  for (guint i = 0; i < removed->len; i++)
    g_hash_table_add (names, g_ptr_array_index (removed, i));
  return names;
}

/* Adds the rows of an older version that a change leaves as they are.  */
static void
add_unchanged (routes_t *next, const routes_t *routes,
               const config_change_t *change)
{
  GHashTable *names = replaced_names (&row_kinds[ROW_ROUTE], change->routes,
                                      change->removed_routes);

  for (guint i = 0; i < routes->routes->len; i++)
    {
      const route_t *route = g_ptr_array_index (routes->routes, i);

      if (!g_hash_table_contains (names, route->name))
        routes_add (next, route_copy (route));
    }
  g_hash_table_destroy (names);
  names = replaced_names (&row_kinds[ROW_SERVICE], change->services,
                          change->removed_services);
  for (guint i = 0; i < routes->services->len; i++)
    {
      const service_rules_t *rules = g_ptr_array_index (routes->services, i);

      if (!g_hash_table_contains (names, rules->name))
        routes_add_service (next, service_rules_copy (rules));
    }
  g_hash_table_destroy (names);
  names = replaced_names (&row_kinds[ROW_TENANT], change->tenants,
                          change->removed_tenants);
  for (guint i = 0; i < routes->tenants->len; i++)
    {
      const tenant_t *tenant = g_ptr_array_index (routes->tenants, i);

      if (!g_hash_table_contains (names, tenant->name))
        routes_add_tenant (next, tenant_copy (tenant));
    }
  g_hash_table_destroy (names);
}

int
config_change_apply (const routes_t *routes, const config_change_t *change,
                     routes_t **result)
{
  routes_t *next;

  if (change->base != 0 && (routes == NULL || routes->version != change->base))
    return -ESTALE;
  next = routes_new (change->version);
  next->limits = change->limits;
  next->requires_key = change->requires_key;
  next->rows_left_out = change->rows_left_out;
  for (guint i = 0; i < change->routes->len; i++)
    routes_add (next, route_copy (g_ptr_array_index (change->routes, i)));
  for (guint i = 0; i < change->services->len; i++)
    routes_add_service (
        next, service_rules_copy (g_ptr_array_index (change->services, i)));
  for (guint i = 0; i < change->tenants->len; i++)
    routes_add_tenant (next,
                       tenant_copy (g_ptr_array_index (change->tenants, i)));
  if (change->base != 0)
    add_unchanged (next, routes, change);
  routes_index (next);
  if (config_digest (next) != change->digest)
    {
      routes_free (next);
      return -EBADMSG;
    }
  *result = next;
  return 0;
}
