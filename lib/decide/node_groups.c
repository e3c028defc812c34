#include "node.h"

#include <string.h>

/* Which services this instance's group serves, and since when.  */

typedef struct division_id
{
  decide_id_t service;
  decide_id_t centre; /* id of DECIDE_KEY_CENTRE for the keys */
} division_id_t;

/* A service in a data centre, or the keys of a service.  */
typedef struct division
{
  division_id_t id;
  bool own;
  clock_ms_t since; /* when this instance learned that it is its group's */
  uint64_t round;   /* of the last update */
} division_t;

static guint hash_id (const void *key);
static gboolean equal_ids (const void *a, const void *b);
static const division_t *find (const decide_t *node, decide_id_t service,
                               decide_id_t centre);
static bool is_own (const decide_t *node, decide_id_t service,
                    const char *centre);
static void update (decide_t *node, decide_id_t service, const char *centre,
                    decide_id_t division_centre);

static guint
hash_id (const void *key)
{
  const division_id_t *id = key;
  guint64 mixed = id->service ^ (id->centre << 1);

  return g_int64_hash (&mixed);
}

static gboolean
equal_ids (const void *a, const void *b)
{
  const division_id_t *x = a;
  const division_id_t *y = b;

  return x->service == y->service && x->centre == y->centre;
}

GHashTable *
node_new_divisions (void)
{
  return g_hash_table_new_full (hash_id, equal_ids, NULL, g_free);
}

static const division_t *
find (const decide_t *node, decide_id_t service, decide_id_t centre)
{
  division_id_t id = { service, centre };

  return g_hash_table_lookup (node->divisions, &id);
}

bool
node_is_guarded (const decide_t *node)
{
  const groups_t *groups = catalog_groups (node->catalog);

  return groups_have_foreign_record (groups)
         && groups_find (groups, node->settings.group) == NULL;
}

static bool
is_own (const decide_t *node, decide_id_t service, const char *centre)
{
  const char *group;

  if (node_is_guarded (node)
      || catalog_find_service (node->catalog, service) == NULL)
    return false;
  if (!groups_are_configured (catalog_groups (node->catalog)))
    return true;
  group = catalog_group (node->catalog, service, centre);
  return group != NULL && strcmp (group, node->settings.group) == 0;
}

/* Before the first complete read of the store it is not known for how long
   the group has had the service, so it is taken as new.  */
static void
update (decide_t *node, decide_id_t service, const char *centre,
        decide_id_t division_centre)
{
  division_id_t id = { service, division_centre };
  division_t *division = g_hash_table_lookup (node->divisions, &id);
  bool own;

  if (division == NULL)
    {
      division = g_new0 (division_t, 1);
      division->id = id;
      g_hash_table_insert (node->divisions, &division->id, division);
    }
  else if (division->round == node->division_round)
    return;
  division->round = node->division_round;
  own = is_own (node, service, centre);
  if (own && (!division->own || !node->synced))
    division->since = groups_have_seen_object (catalog_groups (node->catalog))
                          ? node->now
                          : INT64_MIN / 2;
  division->own = own;
}

void
node_update_groups (decide_t *node, decide_id_t service)
{
  decide_id_t keys = decide_id (DECIDE_KEY_CENTRE);

  node->division_round++;
  node->pools_changed = true;
  for (pool_handle_t i = 0; i < catalog_pool_count (node->catalog); i++)
    {
      const catalog_pool_t *pool = catalog_pool (node->catalog, i);
      const catalog_service_t *found
          = catalog_find_service (node->catalog, pool->service);

      if (service != 0 && pool->service != service)
        continue;
      update (node, pool->service, pool->centre_name, pool->centre);
      update (node, pool->service, found == NULL ? "" : found->key_centre,
              keys);
    }
}

bool
node_serves_pool (const decide_t *node, const catalog_pool_t *pool)
{
  const division_t *division;

  if (!groups_are_configured (catalog_groups (node->catalog)))
    return true;
  division = find (node, pool->service, pool->centre);
  return division != NULL && division->own;
}

clock_ms_t
node_served_since (const decide_t *node, const catalog_pool_t *pool)
{
  const division_t *division = find (node, pool->service, pool->centre);

  return division == NULL || !division->own ? INT64_MAX / 2 : division->since;
}

bool
node_takes_request (const decide_t *node, decide_id_t service, bool keyed)
{
  const catalog_service_t *found
      = catalog_find_service (node->catalog, service);
  const division_t *keys;

  if (found == NULL || !groups_are_configured (catalog_groups (node->catalog)))
    return true;
  if (keyed)
    {
      keys = find (node, service, decide_id (DECIDE_KEY_CENTRE));
      return keys != NULL && keys->own;
    }
  for (uint32_t i = 0; i < found->pool_count; i++)
    if (node_serves_pool (node, catalog_pool (node->catalog, found->pools[i])))
      return true;
  return false;
}

clock_ms_t
node_keys_moved_ms (const decide_t *node, decide_id_t service,
                    clock_ms_t retention_ms)
{
  const division_t *keys = find (node, service, decide_id (DECIDE_KEY_CENTRE));
  clock_ms_t hold = NODE_MOVE_HOLD_MS + retention_ms;

  return keys == NULL || !keys->own ? hold
                                    : MAX (keys->since + hold - node->now, 0);
}

const char *
decide_service_group (const decide_t *node, decide_id_t service,
                      const char *centre, bool keyed)
{
  const groups_t *groups = catalog_groups (node->catalog);
  const catalog_service_t *found
      = catalog_find_service (node->catalog, service);
  const char *group = NULL;

  if (found == NULL || !groups_are_configured (groups))
    return NULL;
  for (uint32_t i = 0; !keyed && i < found->pool_count && group == NULL; i++)
    {
      const catalog_pool_t *pool
          = catalog_pool (node->catalog, found->pools[i]);
      const char *other
          = catalog_group (node->catalog, service, pool->centre_name);

      if (other != NULL && groups_have_centre (groups, other, centre))
        group = other;
    }
  if (group == NULL)
    group = catalog_group (node->catalog, service, found->key_centre);
  return group == NULL ? "" : group;
}

void
decide_each_group_instance (
    const decide_t *node, const char *group,
    void (*visit) (void *context, const decide_group_instance_t *instance),
    void *context)
{
  const groups_t *groups = catalog_groups (node->catalog);
  const decide_group_t *found = groups_find (groups, group);

  for (uint32_t i = 0; found != NULL && i < found->instance_count; i++)
    {
      const decide_group_instance_t *instance = &found->instances[i];

      if (!catalog_instance_is_out (node->catalog, decide_id (instance->name))
          && !catalog_centre_is_out (node->catalog,
                                     decide_id (instance->data_centre))
          && groups_is_presumed_active (groups, group, instance->name))
        visit (context, instance);
    }
}
