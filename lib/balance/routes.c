#include "routes.h"

#include <string.h>

/* Largest number of positions among which the start of a round-robin is
   selected.  In so many requests, the share of a part is off its weight by
   less than 1 / SPLIT_POSITIONS_MAX, so that a longer cycle needs no more.  */
#define SPLIT_POSITIONS_MAX 4096

static gint compare_prefix (gconstpointer a, gconstpointer b);
static int advance (route_split_t *split);
static int draw (const route_split_t *split, decide_rng_t *rng);
static uint64_t greatest_common_divisor (uint64_t a, uint64_t b);
static void start (route_split_t *split, const route_t *route,
                   decide_rng_t *rng);

routes_t *
routes_new (uint64_t version)
{
  routes_t *routes = g_new0 (routes_t, 1);

  routes->version = version;
  routes->routes = g_ptr_array_new_with_free_func (route_free);
  routes->services = g_ptr_array_new_with_free_func (service_rules_free);
  routes->tenants = g_ptr_array_new_with_free_func (tenant_free);
  routes->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  routes->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  routes->by_digest = g_hash_table_new (g_int64_hash, g_int64_equal);
  routes->by_service = g_hash_table_new (g_str_hash, g_str_equal);
  return routes;
}

void
routes_free (routes_t *routes)
{
  if (routes == NULL)
    return;
  g_ptr_array_free (routes->routes, TRUE);
  g_hash_table_destroy (routes->by_service);
  g_ptr_array_free (routes->services, TRUE);
  g_hash_table_destroy (routes->by_key);
  g_hash_table_destroy (routes->by_name);
  g_hash_table_destroy (routes->by_digest);
  g_ptr_array_free (routes->tenants, TRUE);
  g_free (routes);
}

void
route_remove_parts (route_t *route)
{
  for (int i = 0; i < route->n_parts; i++)
    g_free (route->parts[i].service);
  g_clear_pointer (&route->parts, g_free);
  route->n_parts = 0;
}

void
route_free (gpointer data)
{
  route_t *route = data;

  route_remove_parts (route);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route);
}

void
service_rules_free (gpointer data)
{
  service_rules_t *rules = data;

  g_free (rules->name);
  g_free (rules->health_path);
  g_free (rules);
}

void
route_add_part (route_t *route, const char *service, uint32_t weight)
{
  route->parts
      = g_renew (route_part_t, route->parts, (gsize)route->n_parts + 1);
  route->parts[route->n_parts++]
      = (route_part_t){ .service = g_strdup (service), .weight = weight };
}

route_t *
route_copy (const route_t *route)
{
  route_t *copy = g_new (route_t, 1);

  *copy = *route;
  copy->name = g_strdup (route->name);
  copy->host = g_strdup (route->host);
  copy->prefix = g_strdup (route->prefix);
  copy->parts = NULL;
  copy->n_parts = 0;
  for (int i = 0; i < route->n_parts; i++)
    route_add_part (copy, route->parts[i].service, route->parts[i].weight);
  return copy;
}

service_rules_t *
service_rules_copy (const service_rules_t *rules)
{
  service_rules_t *copy = g_new (service_rules_t, 1);

  *copy = *rules;
  copy->name = g_strdup (rules->name);
  copy->health_path = g_strdup (rules->health_path);
  return copy;
}

void
routes_add (routes_t *routes, route_t *route)
{
  g_ptr_array_add (routes->routes, route);
}

void
routes_add_service (routes_t *routes, service_rules_t *rules)
{
  g_ptr_array_add (routes->services, rules);
  g_hash_table_insert (routes->by_service, rules->name, rules);
}

void
routes_add_tenant (routes_t *routes, tenant_t *tenant)
{
  g_ptr_array_add (routes->tenants, tenant);
}

static gint
compare_prefix (gconstpointer a, gconstpointer b)
{
  const route_t *left = *(route_t *const *)a;
  const route_t *right = *(route_t *const *)b;
  size_t left_length = strlen (left->prefix);
  size_t right_length = strlen (right->prefix);

  return (left_length < right_length) - (left_length > right_length);
}

void
routes_index (routes_t *routes)
{
  g_ptr_array_sort (routes->routes, compare_prefix);
  for (guint i = 0; i < routes->tenants->len; i++)
    {
      tenant_t *tenant = g_ptr_array_index (routes->tenants, i);

      g_hash_table_insert (routes->by_name, tenant->name, tenant);
      g_hash_table_insert (routes->by_digest, &tenant->digest, tenant);
      for (guint j = 0; j < tenant->keys->len; j++)
        {
          char *key = g_ptr_array_index (tenant->keys, j);
          gpointer holder = NULL;
          bool is_held = g_hash_table_lookup_extended (routes->by_key, key,
                                                       NULL, &holder);

          g_hash_table_insert (routes->by_key, key,
                               is_held && holder != tenant ? NULL : tenant);
        }
    }
}

const tenant_t *
routes_get_tenant (const routes_t *routes, const char *name)
{
  return g_hash_table_lookup (routes->by_name, name);
}

const tenant_t *
routes_get_tenant_by_digest (const routes_t *routes, uint64_t digest)
{
  return g_hash_table_lookup (routes->by_digest, &digest);
}

const tenant_t *
routes_find_tenant (const routes_t *routes, const char *key)
{
  return g_hash_table_lookup (routes->by_key, key);
}

const route_t *
routes_find (const routes_t *routes, const char *host, const char *path)
{
  size_t path_length = strcspn (path, "?");

  for (guint i = 0; i < routes->routes->len; i++)
    {
      const route_t *route = g_ptr_array_index (routes->routes, i);
      size_t prefix_length = strlen (route->prefix);

      if (prefix_length <= path_length
          && memcmp (path, route->prefix, prefix_length) == 0
          && g_ascii_strcasecmp (host, route->host) == 0)
        return route;
    }
  return NULL;
}

const service_rules_t *
routes_find_service (const routes_t *routes, const char *name)
{
  return g_hash_table_lookup (routes->by_service, name);
}

void
route_split_clear (route_split_t *split)
{
  g_free (split->parts);
  *split = (route_split_t){ 0 };
}

bool
route_split_has_changed (const route_split_t *split, const route_t *route)
{
  if (split->n_parts != route->n_parts)
    return true;
  for (int i = 0; i < route->n_parts; i++)
    if (split->parts[i].weight != route->parts[i].weight)
      return true;
  return false;
}

/* Returns the index of the part that gets the next request.  */
static int
advance (route_split_t *split)
{
  int64_t total = 0;
  int best = 0;

  for (int i = 0; i < split->n_parts; i++)
    {
      split_part_t *part = &split->parts[i];

      part->current_weight += part->weight;
      total += part->weight;
      if (part->current_weight > split->parts[best].current_weight)
        best = i;
    }
  split->parts[best].current_weight -= total;
  return best;
}

/* Returns the index of a random part, with the probability that its weight
   says.  */
static int
draw (const route_split_t *split, decide_rng_t *rng)
{
  uint64_t total = 0;
  uint64_t position;
  int part = 0;

  for (int i = 0; i < split->n_parts; i++)
    total += split->parts[i].weight;
  if (total == 0)
    return 0;
  position = decide_rng_next (rng) % total;
  while (position >= split->parts[part].weight)
    position -= split->parts[part++].weight;
  return part;
}

static uint64_t
greatest_common_divisor (uint64_t a, uint64_t b)
{
  while (b != 0)
    {
      uint64_t rest = a % b;

      a = b;
      b = rest;
    }
  return a;
}

/* Starts at a random position of the cycle for the present weights.  */
static void
start (route_split_t *split, const route_t *route, decide_rng_t *rng)
{
  uint64_t total = 0;
  uint64_t divisor = 0;
  uint32_t position;

  route_split_clear (split);
  split->starts = 1;
  split->n_parts = route->n_parts;
  split->parts = g_new0 (split_part_t, (gsize)route->n_parts);
  for (int i = 0; i < route->n_parts; i++)
    {
      split->parts[i].weight = route->parts[i].weight;
      total += route->parts[i].weight;
      divisor = greatest_common_divisor (divisor, route->parts[i].weight);
    }
  if (total == 0 || route->n_parts > ROUTE_ROUND_ROBIN_PARTS_MAX)
    return;
  position = decide_rng_below (
      rng, (uint32_t)MIN (total / divisor, SPLIT_POSITIONS_MAX));
  while (position-- > 0)
    (void)advance (split);
}

int
route_split_next (route_split_t *split, const route_t *route,
                  decide_rng_t *rng)
{
  int part;

  if (route_split_has_changed (split, route))
    start (split, route, rng);
  part = route->n_parts > ROUTE_ROUND_ROBIN_PARTS_MAX ? draw (split, rng)
                                                      : advance (split);
  split->parts[part].requests++;
  return part;
}
