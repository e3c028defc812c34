#include "routes.h"

#include <errno.h>
#include <string.h>

/* Largest number of positions among which the start of a round-robin is
   selected.  In so many requests, the share of a part is off its weight by
   less than 1 / SPLIT_POSITIONS_MAX, so that a longer cycle needs no more.  */
#define SPLIT_POSITIONS_MAX 4096

static gint compare_prefix (gconstpointer a, gconstpointer b);
static int advance (route_split_t *split);
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
  return routes;
}

void
routes_free (routes_t *routes)
{
  if (routes == NULL)
    return;
  g_ptr_array_free (routes->routes, TRUE);
  g_ptr_array_free (routes->services, TRUE);
  g_hash_table_destroy (routes->by_key);
  g_hash_table_destroy (routes->by_name);
  g_ptr_array_free (routes->tenants, TRUE);
  g_free (routes);
}

void
route_free (gpointer data)
{
  route_t *route = data;

  for (int i = 0; i < route->n_parts; i++)
    g_free (route->parts[i].service);
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

route_t *
route_copy (const route_t *route)
{
  route_t *copy = g_new (route_t, 1);

  *copy = *route;
  copy->name = g_strdup (route->name);
  copy->host = g_strdup (route->host);
  copy->prefix = g_strdup (route->prefix);
  for (int i = 0; i < route->n_parts; i++)
    copy->parts[i].service = g_strdup (route->parts[i].service);
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

int
routes_index (routes_t *routes)
{
  int result = 0;

  g_ptr_array_sort (routes->routes, compare_prefix);
  for (guint i = 0; i < routes->tenants->len; i++)
    {
      tenant_t *tenant = g_ptr_array_index (routes->tenants, i);

      g_hash_table_insert (routes->by_name, tenant->name, tenant);
      for (guint j = 0; j < tenant->keys->len; j++)
        {
          char *key = g_ptr_array_index (tenant->keys, j);
          const tenant_t *other = g_hash_table_lookup (routes->by_key, key);

          if (other == NULL)
            g_hash_table_insert (routes->by_key, key, tenant);
          else if (other != tenant)
            result = -EEXIST;
        }
    }
  return result;
}

const tenant_t *
routes_get_tenant (const routes_t *routes, const char *name)
{
  return g_hash_table_lookup (routes->by_name, name);
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
  for (guint i = 0; i < routes->services->len; i++)
    {
      const service_rules_t *rules = g_ptr_array_index (routes->services, i);

      if (strcmp (rules->name, name) == 0)
        return rules;
    }
  return NULL;
}

bool
route_split_has_changed (const route_split_t *split, const route_t *route)
{
  for (int i = 0; i < ROUTE_PARTS_MAX; i++)
    if (split->weights[i] != (i < route->n_parts ? route->parts[i].weight : 0))
      return true;
  return false;
}

/* Returns the index of the part that gets the next request.  */
static int
advance (route_split_t *split)
{
  int64_t total = 0;
  int best = 0;

  for (int i = 0; i < ROUTE_PARTS_MAX; i++)
    {
      split->current_weight[i] += split->weights[i];
      total += split->weights[i];
      if (split->current_weight[i] > split->current_weight[best])
        best = i;
    }
  split->current_weight[best] -= total;
  return best;
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

  *split = (route_split_t){ .starts = 1 };
  for (int i = 0; i < route->n_parts; i++)
    {
      split->weights[i] = route->parts[i].weight;
      total += split->weights[i];
      divisor = greatest_common_divisor (divisor, split->weights[i]);
    }
  if (total == 0)
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
  part = advance (split);
  split->requests[part]++;
  return part;
}
