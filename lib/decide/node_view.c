#include "node.h"

static void visit_pool_endpoints (
    const decide_t *node, pool_handle_t handle,
    void (*visit) (void *context, const decide_endpoint_view_t *view),
    void *context);

void
decide_get_status (const decide_t *node, clock_ms_t now,
                   decide_status_t *status)
{
  ownership_status_t owner_status;

  ownership_get_status (node->ownership, now, &owner_status);
  *status = (decide_status_t){
    .revision = catalog_revision (node->catalog),
    .record_version = owner_status.record_version,
    .slices_owned = owner_status.slices_owned,
    .slices_serving = owner_status.slices_serving,
    .pending = router_count_pending (node->router),
    .members_heard = owner_status.members_heard,
    .store_fresh = owner_status.store_fresh,
    .majority_fresh = owner_status.majority_fresh,
    .stopping = node->stopping,
    .has_group_conflict = node_has_group_conflict (node),
  };
}

const decide_record_t *
decide_get_record (const decide_t *node)
{
  return ownership_get_record (node->ownership);
}

const decide_profile_t *
decide_get_profile (const decide_t *node, decide_id_t service)
{
  return catalog_is_profile_known (node->catalog, service)
             ? catalog_get_profile (node->catalog, service)
             : NULL;
}

void
decide_each_instance (const decide_t *node, clock_ms_t now,
                      void (*visit) (void *context,
                                     const decide_peer_view_t *view),
                      void *context)
{
  decide_peer_view_t view = { .heard = true,
                              .leaving = node->stopping,
                              .revision = catalog_revision (node->catalog) };

  g_strlcpy (view.name, node->settings.instance, sizeof view.name);
  g_strlcpy (view.data_centre, node->settings.data_centre,
             sizeof view.data_centre);
  view.out
      = catalog_instance_is_out (node->catalog, node->id)
        || catalog_centre_is_out (node->catalog, decide_id (view.data_centre));
  visit (context, &view);
  for (uint32_t i = 0; i < node->peers->len; i++)
    {
      const node_peer_t *peer = &g_array_index (node->peers, node_peer_t, i);

      g_strlcpy (view.name, peer->name, sizeof view.name);
      g_strlcpy (view.data_centre, peer->data_centre, sizeof view.data_centre);
      view.heard = ownership_is_reachable (node->ownership, now, peer->id);
      view.leaving = ownership_is_leaving (node->ownership, peer->id);
      view.revision = ownership_peer_revision (node->ownership, peer->id);
      view.out = catalog_instance_is_out (node->catalog, peer->id)
                 || catalog_centre_is_out (node->catalog,
                                           decide_id (peer->data_centre));
      visit (context, &view);
    }
}

static void
visit_pool_endpoints (const decide_t *node, pool_handle_t handle,
                      void (*visit) (void *context,
                                     const decide_endpoint_view_t *view),
                      void *context)
{
  const catalog_pool_t *pool = catalog_pool (node->catalog, handle);
  const node_pool_t *entry = g_hash_table_lookup (node->pools, &pool->id);
  uint32_t centre = node_find_pool_centre (node, pool);
  const catalog_service_t *service
      = catalog_find_service (node->catalog, pool->service);
  const char *group
      = catalog_choose_group (node->catalog, pool->service, pool->centre_name);

  for (uint32_t i = 0; i < pool->count; i++)
    {
      const catalog_endpoint_t *endpoint_entry
          = catalog_endpoint (node->catalog, pool->endpoints[i]);
      decide_endpoint_view_t view = {
        .endpoint = &endpoint_entry->endpoint,
        .service = service == NULL ? "" : service->name,
        .group = group == NULL ? "" : group,
        .out = catalog_centre_is_out (node->catalog, pool->centre),
      };
      pool_endpoint_view_t state;

      if (centre != DECIDE_NO_HANDLE && node_serves_pool (node, pool))
        view.owner = ownership_grant_target (node->ownership, node->now,
                                             centre, pool->slice);
      for (uint32_t j = 0;
           entry != NULL && pool_get_endpoint (entry->pool, j, &state) == 0;
           j++)
        if (state.id == endpoint_entry->id)
          {
            view.limit = state.limit;
            view.in_flight = state.in_flight;
            view.cold = state.cold;
            view.draining = state.draining;
            view.suspended = state.suspended;
          }
      visit (context, &view);
    }
}

void
decide_each_endpoint (const decide_t *node, clock_ms_t now,
                      void (*visit) (void *context,
                                     const decide_endpoint_view_t *view),
                      void *context)
{
  (void)now;
  for (pool_handle_t i = 0; i < catalog_pool_count (node->catalog); i++)
    visit_pool_endpoints (node, i, visit, context);
}

void
decide_each_out_of_service (const decide_t *node, bool instances,
                            void (*visit) (void *context, const char *name),
                            void *context)
{
  catalog_each_out_of_service (node->catalog, instances, visit, context);
}
