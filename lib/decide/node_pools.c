#include "node.h"

/* Longest time between two checks of whether this instance may issue grants of
   a pool.  */
#define POOL_CHECK_INTERVAL_MS 50
/* Number of pool loads that an instance sends in one round of heartbeats, all
   peers taken together.  With 32 loads in each heartbeat, 12 members with
   2,600 endpoints would send 35 KB/s each, while the budget for all control
   traffic is 16 KB/s.  36 loads in a round add 2.3 KB/s for any size of the
   group.  */
#define LOADS_PER_HEARTBEAT_ROUND 36

static node_pool_t *create_pool (decide_t *node, pool_handle_t handle);
static void fill_settings (decide_t *node, const catalog_pool_t *pool,
                           const pool_t *current, pool_settings_t *settings);
static bool may_grant (const decide_t *node, const catalog_pool_t *pool);
static void send_granted (void *context, decide_id_t holder,
                          const decide_msg_grant_t *msg);
static void start_probe (void *context, decide_id_t pool,
                         decide_id_t endpoint);
static void send_queued (void *context, decide_id_t holder,
                         const decide_msg_grant_t *msg);
static void send_recall (void *context, decide_id_t holder,
                         const decide_msg_grant_t *msg);
static void send_refused (void *context, decide_id_t holder,
                          const decide_msg_grant_t *msg);

static void
send_granted (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  node_send_grant (context, holder, DECIDE_MSG_GRANT, msg);
}

static void
send_queued (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  node_send_grant (context, holder, DECIDE_MSG_QUEUED, msg);
}

static void
send_refused (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  node_send_grant (context, holder, DECIDE_MSG_REFUSED, msg);
}

static void
send_recall (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  node_send_grant (context, holder, DECIDE_MSG_RECALL, msg);
}

static void
start_probe (void *context, decide_id_t pool, decide_id_t endpoint)
{
  decide_t *node = context;
  endpoint_handle_t handle = catalog_find_endpoint (node->catalog, endpoint);

  (void)pool;
  if (handle != DECIDE_NO_HANDLE)
    node->callbacks.probe (
        node->callbacks.context, handle,
        &catalog_endpoint (node->catalog, handle)->endpoint);
}

void
node_free_pool (void *data)
{
  node_pool_t *entry = data;

  pool_free (entry->pool);
  g_free (entry);
}

uint32_t
node_find_pool_centre (const decide_t *node, const catalog_pool_t *pool)
{
  return ownership_centre_index (node->ownership, pool->centre_name);
}

/* Returns whether this instance may issue grants of a pool now: its group has
   served the pool for so long that another group's grants have ended, and it
   has a valid lease as owner or delegate of the pool's slice.  */
static bool
may_grant (const decide_t *node, const catalog_pool_t *pool)
{
  const catalog_service_t *service
      = catalog_find_service (node->catalog, pool->service);
  uint32_t centre = node_find_pool_centre (node, pool);

  return service != NULL && pool->count > 0 && !node_has_group_conflict (node)
         && node->now >= node_pool_served_since (node, pool)
                             + NODE_MOVE_PROPAGATION_MS + DECIDE_GRANT_REUSE_MS
                             + service->longest_run_ms
         && centre != DECIDE_NO_HANDLE
         && ownership_may_grant (
             node->ownership, node->now, centre, pool->slice,
             DECIDE_GRANT_REUSE_MS + service->longest_run_ms);
}

static bool
has_endpoint (const pool_t *pool, decide_id_t endpoint)
{
  pool_endpoint_view_t view;

  for (uint32_t i = 0; pool_get_endpoint (pool, i, &view) == 0; i++)
    if (view.id == endpoint)
      return true;
  return false;
}

/* Fills @settings from the catalog.  @current is the existing pool, or NULL
   when it is being created.  An endpoint that is added to an existing pool and
   was in another one before gets no grants until those of the other pool have
   ended.  */
static void
fill_settings (decide_t *node, const catalog_pool_t *pool,
               const pool_t *current, pool_settings_t *settings)
{
  const decide_profile_t *profile
      = catalog_get_profile (node->catalog, pool->service);
  clock_ms_t run_ms = profile == NULL ? 0 : profile->run_ms;

  *settings = (pool_settings_t){
    .id = pool->id,
    .run_ms = run_ms,
    .queue_max = profile == NULL ? 0 : profile->queue_max,
    .out = catalog_centre_is_out (node->catalog, pool->centre),
    .endpoint_count = pool->count,
  };
  for (uint32_t i = 0; i < pool->count; i++)
    {
      const catalog_endpoint_t *endpoint_entry
          = catalog_endpoint (node->catalog, pool->endpoints[i]);
      pool_endpoint_t *target = &settings->endpoints[i];

      target->id = endpoint_entry->id;
      target->slots = endpoint_entry->endpoint.slots;
      if (current != NULL && !has_endpoint (current, endpoint_entry->id)
          && endpoint_entry->moved)
        target->grants_blocked_until = node->now + NODE_MOVE_PROPAGATION_MS
                                       + DECIDE_GRANT_REUSE_MS + run_ms;
    }
}

static node_pool_t *
create_pool (decide_t *node, pool_handle_t handle)
{
  static const pool_callbacks_t template = {
    .granted = send_granted,
    .queued = send_queued,
    .refused = send_refused,
    .recall = send_recall,
    .probe = start_probe,
  };
  const catalog_pool_t *configured_pool = catalog_pool (node->catalog, handle);
  pool_callbacks_t callbacks = template;
  pool_settings_t settings;
  node_pool_t *entry = g_new0 (node_pool_t, 1);

  callbacks.context = node;
  fill_settings (node, configured_pool, NULL, &settings);
  entry->id = configured_pool->id;
  entry->handle = handle;
  entry->pool = pool_new (&settings, &callbacks, decide_rng_next (&node->rng),
                          node->now);
  if (entry->pool == NULL)
    g_error ("out of memory while creating a pool");
  g_hash_table_insert (node->pools, &entry->id, entry);
  return entry;
}

/* Called for each event of a pool, because the process may have been paused
   and its ownership lease may have expired since the last event.  */
pool_t *
node_update_pool_suspension (decide_t *node, decide_id_t id)
{
  node_pool_t *entry = g_hash_table_lookup (node->pools, &id);

  if (entry == NULL)
    return NULL;
  if (!may_grant (node, catalog_pool (node->catalog, entry->handle)))
    {
      if (!pool_is_suspended (entry->pool))
        pool_suspend (entry->pool, node->now);
      return NULL;
    }
  if (pool_is_suspended (entry->pool))
    pool_resume (entry->pool, node->now);
  return entry->pool;
}

void
node_update_pools (decide_t *node)
{
  GHashTableIter iter;
  void *value;

  node->pools_changed = false;
  ownership_set_longest_grant (node->ownership,
                               DECIDE_GRANT_REUSE_MS
                                   + catalog_longest_run_ms (node->catalog));
  node->next_pool_tick_at = node->now;
  for (uint32_t i = 0; i < node->tick_pending->len; i++)
    ((node_pool_t *)g_ptr_array_index (node->tick_pending, i))->tick_pending
        = false;
  g_ptr_array_set_size (node->tick_pending, 0);
  for (pool_handle_t i = 0; i < catalog_pool_count (node->catalog); i++)
    {
      const catalog_pool_t *pool = catalog_pool (node->catalog, i);
      uint32_t centre = node_find_pool_centre (node, pool);
      node_pool_t *entry = g_hash_table_lookup (node->pools, &pool->id);
      bool needed = pool->count > 0 && node_serves_pool (node, pool)
                    && centre != DECIDE_NO_HANDLE
                    && ownership_is_owner_or_delegate (node->ownership, centre,
                                                       pool->slice);
      pool_settings_t settings;

      if (entry == NULL)
        {
          if (needed)
            create_pool (node, i);
          continue;
        }
      fill_settings (node, pool, entry->pool, &settings);
      entry->next_tick_at = node->now;
      if (pool_configure (entry->pool, node->now, &settings) != 0)
        g_error ("out of memory while applying the settings of a pool");
    }
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      node_pool_t *entry = value;
      const catalog_pool_t *pool = catalog_pool (node->catalog, entry->handle);
      uint32_t centre = node_find_pool_centre (node, pool);
      bool needed = pool->count > 0 && node_serves_pool (node, pool)
                    && centre != DECIDE_NO_HANDLE
                    && ownership_is_owner_or_delegate (node->ownership, centre,
                                                       pool->slice);

      node_update_pool_suspension (node, entry->id);
      if (!needed && pool_grant_count (entry->pool) == 0)
        g_hash_table_iter_remove (&iter);
    }
}

pool_t *
node_get_pool_for_update (decide_t *node, decide_id_t id)
{
  node_pool_t *entry = g_hash_table_lookup (node->pools, &id);

  if (entry == NULL)
    return NULL;
  node_update_pool_suspension (node, id);
  if (!entry->tick_pending)
    {
      entry->tick_pending = true;
      g_ptr_array_add (node->tick_pending, entry);
    }
  return entry->pool;
}

static void
tick_pool (decide_t *node, node_pool_t *entry)
{
  node_update_pool_suspension (node, entry->id);
  entry->next_tick_at = pool_tick (entry->pool, node->now);
  if (entry->next_tick_at < node->next_pool_tick_at)
    node->next_pool_tick_at = entry->next_tick_at;
}

/* Calls pool_tick() for the pools that were used since the last call.  It
   visits all pools only when the timer of one has expired, because most calls
   follow an event of a single pool.  */
clock_ms_t
node_tick_pools (decide_t *node)
{
  GHashTableIter iter;
  void *value;

  if (node->pools_changed)
    node_update_pools (node);
  for (uint32_t i = 0; i < node->tick_pending->len; i++)
    {
      node_pool_t *entry = g_ptr_array_index (node->tick_pending, i);

      entry->tick_pending = false;
      tick_pool (node, entry);
    }
  g_ptr_array_set_size (node->tick_pending, 0);
  if (node->now < node->next_pool_tick_at)
    return node->next_pool_tick_at;
  node->next_pool_tick_at = node->now + POOL_CHECK_INTERVAL_MS;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      node_pool_t *entry = value;

      if (entry->next_tick_at <= node->now || pool_is_suspended (entry->pool))
        tick_pool (node, entry);
      else if (entry->next_tick_at < node->next_pool_tick_at)
        node->next_pool_tick_at = entry->next_tick_at;
    }
  return node->next_pool_tick_at;
}

static uint32_t
max_loads_per_heartbeat (const decide_t *node)
{
  uint32_t peers = node->peers->len > 0 ? node->peers->len : 1;
  uint32_t share = LOADS_PER_HEARTBEAT_ROUND / peers;

  return share < DECIDE_LOADS_MAX ? share : DECIDE_LOADS_MAX;
}

/* If there are more pools than a heartbeat has room for, each heartbeat
   continues where the last one ended (round robin).  */
void
node_add_loads (decide_t *node, decide_msg_heartbeat_t *heartbeat)
{
  uint32_t max = max_loads_per_heartbeat (node);
  uint32_t count = g_hash_table_size (node->pools);
  uint32_t first = count > max ? node->next_load_index % count : 0;
  uint32_t index = 0;
  GHashTableIter iter;
  void *value;

  heartbeat->load_count = 0;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const node_pool_t *entry = value;
      uint32_t position = (index++ + count - first) % count;

      if (position >= max || pool_is_suspended (entry->pool))
        continue;
      pool_get_load (entry->pool, &heartbeat->loads[heartbeat->load_count++]);
    }
  node->next_load_index = first + max;
}

uint32_t
node_export_grants (void *context, uint32_t centre, uint32_t slice,
                    decide_handover_grant_t *grants, uint32_t max)
{
  decide_t *node = context;
  uint32_t count = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      node_pool_t *entry = value;
      const catalog_pool_t *pool = catalog_pool (node->catalog, entry->handle);

      if (pool->slice != slice || node_find_pool_centre (node, pool) != centre)
        continue;
      if (!pool_is_suspended (entry->pool))
        pool_suspend (entry->pool, node->now);
      if (count < max)
        pool_export_grants (entry->pool, node->now, 0, grants + count,
                            max - count);
      count += pool_grant_count (entry->pool);
    }
  return count;
}

void
node_add_limits (decide_t *node, decide_msg_handover_t *handover)
{
  GHashTableIter iter;
  void *value;

  handover->limit_count = 0;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const node_pool_t *entry = value;
      const catalog_pool_t *pool = catalog_pool (node->catalog, entry->handle);

      if (pool->slice == handover->slice
          && node_find_pool_centre (node, pool) == handover->centre)
        handover->limit_count += pool_export_limits (
            entry->pool, handover->limits + handover->limit_count,
            DECIDE_HANDOVER_LIMITS_MAX - handover->limit_count);
    }
}

void
node_import_grants (void *context, const decide_msg_handover_t *handover)
{
  decide_t *node = context;

  node_update_pools (node);
  for (uint32_t i = 0; i < handover->limit_count; i++)
    {
      const decide_handover_limit_t *limit = &handover->limits[i];
      node_pool_t *entry = g_hash_table_lookup (node->pools, &limit->pool);

      if (entry != NULL)
        pool_import_limit (entry->pool, node->now, limit);
    }
  for (uint32_t i = 0; i < handover->grant_count; i++)
    {
      const decide_handover_grant_t *grant = &handover->grants[i];
      node_pool_t *entry = g_hash_table_lookup (node->pools, &grant->pool);

      if (entry != NULL
          && pool_import_grant (entry->pool, node->now, grant) != 0)
        g_error ("out of memory while taking over a grant from the previous "
                 "owner of a pool");
    }
}
