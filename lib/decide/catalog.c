#include "catalog.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Size of a buffer for the full name of an endpoint or a pool, in bytes.  */
#define FULL_NAME_MAX (3 * DECIDE_NAME_MAX)

typedef struct object
{
  char *name;
  char *body;
  uint64_t version;
  uint64_t revision;
  bool deleted;
} object_t;

struct catalog
{
  uint64_t revision;         /* up to which every change is known */
  bool synced;               /* has ever had all objects up to some revision */
  GHashTable *objects;       /* full name -> object_t */
  GHashTable *names;         /* id -> service name, to detect collisions */
  GHashTable *profiles;      /* id of name -> decide_profile_t */
  GHashTable *out_centres;   /* id -> name of a data centre */
  GHashTable *out_instances; /* id -> name of an instance */
  groups_t *groups;
  GArray *services;        /* catalog_service_t */
  GArray *pools;           /* catalog_pool_t */
  GArray *endpoints;       /* catalog_endpoint_t */
  GHashTable *by_service;  /* id -> index in services + 1 */
  GHashTable *by_pool;     /* id -> index in pools + 1 */
  GHashTable *by_endpoint; /* id -> index in endpoints + 1 */
};

/* Used for a service if the profile that it names is not known.  */
static const decide_profile_t default_profile = {
  .name = "default",
  .priority = 3,
  .timeout_ms = 3000,
  .run_ms = 2000,
  .queue_max = 64,
  .retry = true,
  .unknown_retries_per_mille = DECIDE_RETRIES_PER_MILLE,
  .key_retention_ms = 600000,
};

static void advance_revision (catalog_t *catalog, uint64_t previous,
                              uint64_t revision);
static void update_out_of_service (GHashTable *set,
                                   const decide_object_t *object);
static void store_profile (catalog_t *catalog, const decide_object_t *object);
static int store_service (catalog_t *catalog, const decide_object_t *object);
static int reserve_name (catalog_t *catalog, const char *name);
static int compare_revision (const void *a, const void *b);
static void free_object (void *data);
static uint32_t find_index (GHashTable *table, decide_id_t id);
static uint32_t upsert_endpoint (catalog_t *catalog, decide_id_t service,
                                 const char *service_name,
                                 const decide_endpoint_t *endpoint);
static pool_handle_t upsert_pool (catalog_t *catalog, const char *service_name,
                                  const char *centre, uint32_t number);
static void collect_pools (catalog_t *catalog, catalog_service_t *service);
static void update_longest_runs (catalog_t *catalog);
static void rebuild_pools (catalog_t *catalog,
                           const decide_service_t *service);
static void insert_index (GHashTable *table, decide_id_t id, uint32_t index);
static void deactivate_service (catalog_t *catalog, decide_id_t service);

catalog_t *
catalog_new (void)
{
  catalog_t *catalog = g_new0 (catalog_t, 1);

  catalog->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_object);
  catalog->names
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  catalog->profiles
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  catalog->out_centres
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  catalog->out_instances
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  catalog->groups = groups_new ();
  catalog->services = g_array_new (FALSE, TRUE, sizeof (catalog_service_t));
  catalog->pools = g_array_new (FALSE, TRUE, sizeof (catalog_pool_t));
  catalog->endpoints = g_array_new (FALSE, TRUE, sizeof (catalog_endpoint_t));
  catalog->by_service
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  catalog->by_pool
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  catalog->by_endpoint
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return catalog;
}

void
catalog_free (catalog_t *catalog)
{
  if (catalog == NULL)
    return;
  g_hash_table_destroy (catalog->objects);
  g_hash_table_destroy (catalog->names);
  g_hash_table_destroy (catalog->profiles);
  g_hash_table_destroy (catalog->out_centres);
  g_hash_table_destroy (catalog->out_instances);
  groups_free (catalog->groups);
  g_hash_table_destroy (catalog->by_service);
  g_hash_table_destroy (catalog->by_pool);
  g_hash_table_destroy (catalog->by_endpoint);
  g_array_free (catalog->services, TRUE);
  g_array_free (catalog->pools, TRUE);
  g_array_free (catalog->endpoints, TRUE);
  g_free (catalog);
}

static void
free_object (void *data)
{
  object_t *object = data;

  g_free (object->name);
  g_free (object->body);
  g_free (object);
}

static uint32_t
find_index (GHashTable *table, decide_id_t id)
{
  uint32_t found = GPOINTER_TO_UINT (g_hash_table_lookup (table, &id));

  return found == 0 ? DECIDE_NO_HANDLE : found - 1;
}

static void
insert_index (GHashTable *table, decide_id_t id, uint32_t index)
{
  g_hash_table_replace (table, g_memdup2 (&id, sizeof id),
                        GUINT_TO_POINTER (index + 1));
}

/* Records that the id of @name, the name of a service, belongs to that name.
   Return: 0, or -EEXIST when the id belongs to another name.  */
static int
reserve_name (catalog_t *catalog, const char *name)
{
  decide_id_t id = decide_id (name);
  const char *known = g_hash_table_lookup (catalog->names, &id);

  if (known != NULL)
    return strcmp (known, name) == 0 ? 0 : -EEXIST;
  g_hash_table_insert (catalog->names, g_memdup2 (&id, sizeof id),
                       g_strdup (name));
  return 0;
}

int
catalog_store_object (catalog_t *catalog, uint64_t previous,
                      const decide_object_t *object)
{
  object_t *known = g_hash_table_lookup (catalog->objects, object->name);
  int changed = 0;
  int error = 0;

  if (known != NULL && known->revision >= object->revision)
    {
      advance_revision (catalog, previous, object->revision);
      return -ESTALE;
    }
  switch (object->kind)
    {
    case DECIDE_OBJECT_PROFILE:
      store_profile (catalog, object);
      changed = CATALOG_CHANGED_PROFILE;
      break;
    case DECIDE_OBJECT_SERVICE:
      error = store_service (catalog, object);
      changed = CATALOG_CHANGED_SERVICE;
      break;
    case DECIDE_OBJECT_OUT_CENTRE:
      update_out_of_service (catalog->out_centres, object);
      changed = CATALOG_CHANGED_OUT;
      break;
    case DECIDE_OBJECT_OUT_INSTANCE:
      update_out_of_service (catalog->out_instances, object);
      changed = CATALOG_CHANGED_OUT;
      break;
    case DECIDE_OBJECT_GROUP:
      groups_set_object (catalog->groups, strrchr (object->name, '/') + 1,
                         object->deleted ? NULL : object->u.group);
      changed = CATALOG_CHANGED_GROUP;
      break;
    case DECIDE_OBJECT_RECORD:
      changed = CATALOG_CHANGED_RECORD;
      break;
    }
  if (error != 0)
    return error;
  if (changed & (CATALOG_CHANGED_PROFILE | CATALOG_CHANGED_SERVICE))
    update_longest_runs (catalog);

  known = g_new0 (object_t, 1);
  known->name = g_strdup (object->name);
  known->body = g_strdup (object->body);
  known->version = object->version;
  known->revision = object->revision;
  known->deleted = object->deleted;
  g_hash_table_replace (catalog->objects, known->name, known);
  advance_revision (catalog, previous, object->revision);
  return changed;
}

static void
advance_revision (catalog_t *catalog, uint64_t previous, uint64_t revision)
{
  if (previous <= catalog->revision && revision > catalog->revision)
    catalog->revision = revision;
}

void
catalog_mark_synced (catalog_t *catalog, uint64_t previous, uint64_t revision)
{
  catalog->synced |= previous <= catalog->revision;
  advance_revision (catalog, previous, revision);
}

bool
catalog_has_synced (const catalog_t *catalog)
{
  return catalog->synced;
}

uint64_t
catalog_revision (const catalog_t *catalog)
{
  return catalog->revision;
}

static int
compare_revision (const void *a, const void *b)
{
  const object_t *x = *(object_t *const *)a;
  const object_t *y = *(object_t *const *)b;

  return (x->revision > y->revision) - (x->revision < y->revision);
}

void
catalog_each_object_after (const catalog_t *catalog, uint64_t since,
                           void (*visit) (void *context,
                                          const decide_msg_object_t *object),
                           void *context)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  uint64_t previous = since;
  void *value;

  g_hash_table_iter_init (&iter, catalog->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((object_t *)value)->revision > since)
      g_ptr_array_add (list, value);
  g_ptr_array_sort (list, compare_revision);
  for (uint32_t i = 0; i < list->len; i++)
    {
      const object_t *known_object = g_ptr_array_index (list, i);
      decide_msg_object_t object = {
        .previous = previous,
        .version = known_object->version,
        .revision = known_object->revision,
        .deleted = known_object->deleted,
        .name = known_object->name,
        .body = known_object->body,
      };

      /* Beyond this revision, objects between the known ones may be
         missing.  */
      if (known_object->revision > catalog->revision)
        break;
      visit (context, &object);
      previous = known_object->revision;
    }
  g_ptr_array_free (list, TRUE);
}

/* Adds the name in the object to @set, or removes it if the object was
   deleted.  */
static void
update_out_of_service (GHashTable *set, const decide_object_t *object)
{
  decide_id_t id = decide_id (object->u.out);

  if (object->deleted)
    g_hash_table_remove (set, &id);
  else
    g_hash_table_replace (set, g_memdup2 (&id, sizeof id),
                          g_strdup (object->u.out));
}

static void
store_profile (catalog_t *catalog, const decide_object_t *object)
{
  const char *name = strrchr (object->name, '/');
  decide_id_t id = decide_id (name == NULL ? object->name : name + 1);

  if (object->deleted)
    g_hash_table_remove (catalog->profiles, &id);
  else
    g_hash_table_replace (
        catalog->profiles, g_memdup2 (&id, sizeof id),
        g_memdup2 (object->u.profile, sizeof *object->u.profile));
}

/* Marks the service's pools and endpoints as unused.  Their handles stay
   valid.  */
static void
deactivate_service (catalog_t *catalog, decide_id_t service)
{
  for (uint32_t i = 0; i < catalog->pools->len; i++)
    {
      catalog_pool_t *pool
          = &g_array_index (catalog->pools, catalog_pool_t, i);

      if (pool->service == service)
        pool->count = 0;
    }
  for (uint32_t i = 0; i < catalog->endpoints->len; i++)
    {
      catalog_endpoint_t *e
          = &g_array_index (catalog->endpoints, catalog_endpoint_t, i);

      if (e->service == service)
        e->live = false;
    }
}

/* Stores or deletes a service, and rebuilds its pools.  Return: 0, or -EEXIST
   when the id of its name belongs to another name.  */
static int
store_service (catalog_t *catalog, const decide_object_t *object)
{
  const char *slash = strrchr (object->name, '/');
  const char *name = slash == NULL ? object->name : slash + 1;
  decide_id_t id = decide_id (name);
  uint32_t index = find_index (catalog->by_service, id);
  catalog_service_t *service;
  int error = reserve_name (catalog, name);

  if (error != 0)
    return error;
  if (index == DECIDE_NO_HANDLE)
    {
      index = catalog->services->len;
      g_array_set_size (catalog->services, index + 1);
      insert_index (catalog->by_service, id, index);
    }
  service = &g_array_index (catalog->services, catalog_service_t, index);
  service->id = id;
  g_strlcpy (service->name, name, sizeof service->name);
  service->live = !object->deleted;
  service->pool_count = 0;
  deactivate_service (catalog, id);
  if (object->deleted)
    return 0;
  g_strlcpy (service->profile_name, object->u.service->profile,
             sizeof service->profile_name);
  g_strlcpy (service->key_centre,
             object->u.service->key_region[0] != '\0'
                 ? object->u.service->key_region
                 : object->u.service->endpoints[0].data_centre,
             sizeof service->key_centre);
  service->group_count = object->u.service->group_count;
  memcpy (service->groups, object->u.service->groups, sizeof service->groups);
  rebuild_pools (catalog, object->u.service);
  collect_pools (catalog, service);
  return 0;
}

static void
update_longest_runs (catalog_t *catalog)
{
  for (uint32_t i = 0; i < catalog->services->len; i++)
    {
      catalog_service_t *service
          = &g_array_index (catalog->services, catalog_service_t, i);
      const decide_profile_t *profile
          = catalog_get_profile (catalog, service->id);

      if (profile != NULL && profile->run_ms > service->longest_run_ms)
        service->longest_run_ms = profile->run_ms;
    }
}

/* Fills the service's list of pools with those that have endpoints.  */
static void
collect_pools (catalog_t *catalog, catalog_service_t *service)
{
  for (uint32_t i = 0; i < catalog->pools->len; i++)
    {
      const catalog_pool_t *pool = catalog_pool (catalog, i);

      if (pool->service == service->id && pool->count > 0
          && service->pool_count < CATALOG_SERVICE_POOLS_MAX)
        service->pools[service->pool_count++] = i;
    }
}

static uint32_t
upsert_endpoint (catalog_t *catalog, decide_id_t service,
                 const char *service_name, const decide_endpoint_t *endpoint)
{
  char full_name[FULL_NAME_MAX];
  catalog_endpoint_t *entry;
  decide_id_t id;
  uint32_t index;

  snprintf (full_name, sizeof full_name, "%s/%s", service_name,
            endpoint->name);
  id = decide_id (full_name);
  index = find_index (catalog->by_endpoint, id);
  if (index == DECIDE_NO_HANDLE)
    {
      index = catalog->endpoints->len;
      g_array_set_size (catalog->endpoints, index + 1);
      insert_index (catalog->by_endpoint, id, index);
    }
  entry = &g_array_index (catalog->endpoints, catalog_endpoint_t, index);
  entry->endpoint = *endpoint;
  entry->id = id;
  entry->service = service;
  entry->live = true;
  return index;
}

static pool_handle_t
upsert_pool (catalog_t *catalog, const char *service_name, const char *centre,
             uint32_t number)
{
  char full_name[FULL_NAME_MAX];
  catalog_pool_t *pool;
  decide_id_t id;
  uint32_t index;

  snprintf (full_name, sizeof full_name, "%s/%s/%u", service_name, centre,
            number);
  id = decide_id (full_name);
  index = find_index (catalog->by_pool, id);
  if (index == DECIDE_NO_HANDLE)
    {
      index = catalog->pools->len;
      g_array_set_size (catalog->pools, index + 1);
      insert_index (catalog->by_pool, id, index);
    }
  pool = &g_array_index (catalog->pools, catalog_pool_t, index);
  pool->id = id;
  pool->service = decide_id (service_name);
  pool->centre = decide_id (centre);
  g_strlcpy (pool->centre_name, centre, sizeof pool->centre_name);
  pool->slice = (uint32_t)(id % DECIDE_SLICES);
  return index;
}

/* Distributes the endpoints of each data centre evenly, in the order of their
   ids, over the smallest number of pools that can hold them.  */
static void
rebuild_pools (catalog_t *catalog, const decide_service_t *service)
{
  decide_id_t id = decide_id (service->name);
  uint32_t count = service->endpoint_count;
  uint32_t *handles = g_new (uint32_t, count + 1);

  for (uint32_t i = 0; i < count; i++)
    handles[i]
        = upsert_endpoint (catalog, id, service->name, &service->endpoints[i]);
  for (uint32_t i = 1; i < count; i++)
    for (uint32_t j = i; j > 0; j--)
      {
        decide_id_t a = catalog_endpoint (catalog, handles[j - 1])->id;
        decide_id_t b = catalog_endpoint (catalog, handles[j])->id;
        uint32_t swap = handles[j];

        if (a <= b)
          break;
        handles[j] = handles[j - 1];
        handles[j - 1] = swap;
      }

  for (uint32_t i = 0; i < count; i++)
    {
      const char *centre
          = catalog_endpoint (catalog, handles[i])->endpoint.data_centre;
      uint32_t endpoints_in_centre = 0;
      uint32_t preceding = 0;
      uint32_t pool_count;
      pool_handle_t handle;
      catalog_pool_t *pool;
      catalog_endpoint_t *entry;

      for (uint32_t j = 0; j < count; j++)
        if (strcmp (
                catalog_endpoint (catalog, handles[j])->endpoint.data_centre,
                centre)
            == 0)
          {
            endpoints_in_centre++;
            preceding += j < i;
          }
      pool_count = (endpoints_in_centre + DECIDE_POOL_ENDPOINTS_MAX - 1)
                   / DECIDE_POOL_ENDPOINTS_MAX;
      handle = upsert_pool (catalog, service->name, centre,
                            preceding % pool_count);
      pool = &g_array_index (catalog->pools, catalog_pool_t, handle);
      pool->endpoints[pool->count++] = handles[i];
      entry = &g_array_index (catalog->endpoints, catalog_endpoint_t,
                              handles[i]);
      entry->moved |= entry->was_assigned && entry->pool != handle;
      entry->was_assigned = true;
      entry->pool = handle;
    }
  g_free (handles);
}

const catalog_service_t *
catalog_find_service (const catalog_t *catalog, decide_id_t service)
{
  uint32_t index = find_index (catalog->by_service, service);
  const catalog_service_t *found;

  if (index == DECIDE_NO_HANDLE)
    return NULL;
  found = &g_array_index (catalog->services, catalog_service_t, index);
  return found->live ? found : NULL;
}

const decide_profile_t *
catalog_get_profile (const catalog_t *catalog, decide_id_t service)
{
  const catalog_service_t *found = catalog_find_service (catalog, service);
  const decide_profile_t *profile;
  decide_id_t id;

  if (found == NULL)
    return NULL;
  id = decide_id (found->profile_name);
  profile = g_hash_table_lookup (catalog->profiles, &id);
  return profile == NULL ? &default_profile : profile;
}

bool
catalog_is_profile_known (const catalog_t *catalog, decide_id_t service)
{
  const catalog_service_t *found = catalog_find_service (catalog, service);
  decide_id_t id;

  if (found == NULL)
    return false;
  id = decide_id (found->profile_name);
  return catalog->synced || g_hash_table_contains (catalog->profiles, &id);
}

groups_t *
catalog_groups (const catalog_t *catalog)
{
  return catalog->groups;
}

const char *
catalog_choose_group (const catalog_t *catalog, decide_id_t service,
                      const char *centre)
{
  const catalog_service_t *found = catalog_find_service (catalog, service);

  return found == NULL
             ? NULL
             : groups_choose (catalog->groups, found->name, found->group_count,
                              found->groups, centre);
}

clock_ms_t
catalog_longest_run_ms (const catalog_t *catalog)
{
  clock_ms_t longest = 0;

  for (uint32_t i = 0; i < catalog->services->len; i++)
    longest
        = MAX (longest, g_array_index (catalog->services, catalog_service_t, i)
                            .longest_run_ms);
  return longest;
}

uint32_t
catalog_pool_count (const catalog_t *catalog)
{
  return catalog->pools->len;
}

const catalog_pool_t *
catalog_pool (const catalog_t *catalog, pool_handle_t pool)
{
  return &g_array_index (catalog->pools, catalog_pool_t, pool);
}

pool_handle_t
catalog_find_pool (const catalog_t *catalog, decide_id_t pool)
{
  return find_index (catalog->by_pool, pool);
}

uint32_t
catalog_endpoint_count (const catalog_t *catalog)
{
  return catalog->endpoints->len;
}

const catalog_endpoint_t *
catalog_endpoint (const catalog_t *catalog, endpoint_handle_t endpoint)
{
  return &g_array_index (catalog->endpoints, catalog_endpoint_t, endpoint);
}

endpoint_handle_t
catalog_find_endpoint (const catalog_t *catalog, decide_id_t endpoint)
{
  return find_index (catalog->by_endpoint, endpoint);
}

bool
catalog_centre_is_out (const catalog_t *catalog, decide_id_t centre)
{
  return g_hash_table_contains (catalog->out_centres, &centre);
}

bool
catalog_instance_is_out (const catalog_t *catalog, decide_id_t instance)
{
  return g_hash_table_contains (catalog->out_instances, &instance);
}

void
catalog_each_out_of_service (const catalog_t *catalog, bool instances,
                             void (*visit) (void *context, const char *name),
                             void *context)
{
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, instances ? catalog->out_instances
                                           : catalog->out_centres);
  while (g_hash_table_iter_next (&iter, NULL, &name))
    visit (context, name);
}
