#include "node.h"

#include <string.h>

/* Computes which services this instance's group serves, and since when.  */

typedef struct group_assignment_id
{
  decide_id_t service;
  decide_id_t centre; /* id of DECIDE_KEY_CENTRE for idempotency keys */
} group_assignment_id_t;

/* Whether this group serves a service in a data centre, or the idempotency
   keys of a service.  */
typedef struct group_assignment
{
  group_assignment_id_t id;
  bool is_own_group;
  /* When this instance learned that @is_own_group is true; far in the past if
     it had not received any group object by then.  */
  clock_ms_t since;
  uint64_t generation; /* decide_t.assignment_generation at the last update */
} group_assignment_t;

static guint hash_assignment_id (const void *key);
static gboolean assignment_ids_equal (const void *a, const void *b);
static const group_assignment_t *find_group_assignment (const decide_t *node,
                                                        decide_id_t service,
                                                        decide_id_t centre);
static bool is_served_by_own_group (const decide_t *node, decide_id_t service,
                                    const char *centre);
static void update_assignment (decide_t *node, decide_id_t service,
                               const char *centre,
                               decide_id_t assignment_centre);

static guint
hash_assignment_id (const void *key)
{
  const group_assignment_id_t *id = key;
  guint64 mixed = id->service ^ (id->centre << 1);

  return g_int64_hash (&mixed);
}

static gboolean
assignment_ids_equal (const void *a, const void *b)
{
  const group_assignment_id_t *x = a;
  const group_assignment_id_t *y = b;

  return x->service == y->service && x->centre == y->centre;
}

GHashTable *
node_new_group_assignments (void)
{
  return g_hash_table_new_full (hash_assignment_id, assignment_ids_equal, NULL,
                                g_free);
}

static const group_assignment_t *
find_group_assignment (const decide_t *node, decide_id_t service,
                       decide_id_t centre)
{
  group_assignment_id_t id = { service, centre };

  return g_hash_table_lookup (node->group_assignments, &id);
}

bool
node_has_group_conflict (const decide_t *node)
{
  const groups_t *groups = catalog_groups (node->catalog);

  return groups_have_foreign_record (groups)
         && groups_find (groups, node->settings.group) == NULL;
}

static bool
is_served_by_own_group (const decide_t *node, decide_id_t service,
                        const char *centre)
{
  const char *group;

  if (node_has_group_conflict (node)
      || catalog_find_service (node->catalog, service) == NULL)
    return false;
  if (!groups_are_configured (catalog_groups (node->catalog)))
    return true;
  group = catalog_choose_group (node->catalog, service, centre);
  return group != NULL && strcmp (group, node->settings.group) == 0;
}

/* Updates one assignment: whether the group of this instance serves the
   service in the data centre @centre.  The result is stored under the id
   @assignment_centre, which is that of @centre, or for idempotency keys that
   of DECIDE_KEY_CENTRE.  Before the first successful read of the store, it is
   not known since when the group has had the service, so the assignment is
   treated as new.  */
static void
update_assignment (decide_t *node, decide_id_t service, const char *centre,
                   decide_id_t assignment_centre)
{
  group_assignment_id_t id = { service, assignment_centre };
  group_assignment_t *assignment
      = g_hash_table_lookup (node->group_assignments, &id);
  bool own;

  if (assignment == NULL)
    {
      assignment = g_new0 (group_assignment_t, 1);
      assignment->id = id;
      g_hash_table_insert (node->group_assignments, &assignment->id,
                           assignment);
    }
  else if (assignment->generation == node->assignment_generation)
    return;
  assignment->generation = node->assignment_generation;
  own = is_served_by_own_group (node, service, centre);
  if (own && (!assignment->is_own_group || !node->has_read_store))
    assignment->since
        = groups_have_seen_object (catalog_groups (node->catalog))
              ? node->now
              : INT64_MIN / 2;
  assignment->is_own_group = own;
}

void
node_update_group_assignments (decide_t *node, decide_id_t service)
{
  decide_id_t key_centre_id = decide_id (DECIDE_KEY_CENTRE);

  node->assignment_generation++;
  node->pools_changed = true;
  for (pool_handle_t i = 0; i < catalog_pool_count (node->catalog); i++)
    {
      const catalog_pool_t *pool = catalog_pool (node->catalog, i);
      const catalog_service_t *found
          = catalog_find_service (node->catalog, pool->service);

      if (service != 0 && pool->service != service)
        continue;
      update_assignment (node, pool->service, pool->centre_name, pool->centre);
      update_assignment (node, pool->service,
                         found == NULL ? "" : found->key_centre,
                         key_centre_id);
    }
}

bool
node_serves_pool (const decide_t *node, const catalog_pool_t *pool)
{
  const group_assignment_t *assignment;

  if (!groups_are_configured (catalog_groups (node->catalog)))
    return true;
  assignment = find_group_assignment (node, pool->service, pool->centre);
  return assignment != NULL && assignment->is_own_group;
}

clock_ms_t
node_pool_served_since (const decide_t *node, const catalog_pool_t *pool)
{
  const group_assignment_t *assignment
      = find_group_assignment (node, pool->service, pool->centre);

  return assignment == NULL || !assignment->is_own_group ? INT64_MAX / 2
                                                         : assignment->since;
}

bool
node_serves_request (const decide_t *node, decide_id_t service, bool keyed)
{
  const catalog_service_t *found
      = catalog_find_service (node->catalog, service);
  const group_assignment_t *key_assignment;

  if (found == NULL || !groups_are_configured (catalog_groups (node->catalog)))
    return true;
  if (keyed)
    {
      key_assignment = find_group_assignment (node, service,
                                              decide_id (DECIDE_KEY_CENTRE));
      return key_assignment != NULL && key_assignment->is_own_group;
    }
  for (uint32_t i = 0; i < found->pool_count; i++)
    if (node_serves_pool (node, catalog_pool (node->catalog, found->pools[i])))
      return true;
  return false;
}

clock_ms_t
node_other_group_claims_ms (const decide_t *node, decide_id_t service,
                            clock_ms_t retention_ms)
{
  const group_assignment_t *key_assignment
      = find_group_assignment (node, service, decide_id (DECIDE_KEY_CENTRE));
  clock_ms_t duration_ms = NODE_MOVE_PROPAGATION_MS + retention_ms;

  return key_assignment == NULL || !key_assignment->is_own_group
             ? duration_ms
             : MAX (key_assignment->since + duration_ms - node->now, 0);
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
  /* A request without a key goes to the group that has the client's data
     centre, if that group serves a pool of the service.  All other requests go
     to the group that holds the service's keys.  */
  for (uint32_t i = 0; !keyed && i < found->pool_count && group == NULL; i++)
    {
      const catalog_pool_t *pool
          = catalog_pool (node->catalog, found->pools[i]);
      const char *pool_group
          = catalog_choose_group (node->catalog, service, pool->centre_name);

      if (pool_group != NULL
          && groups_have_centre (groups, pool_group, centre))
        group = pool_group;
    }
  if (group == NULL)
    group = catalog_choose_group (node->catalog, service, found->key_centre);
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
