#include "node.h"

/* Delay that is advised to a client whose request is refused with
   DECIDE_REASON_NO_CONTACT.  */
#define NO_CONTACT_RETRY_AFTER_MS 1000

static void refuse (decide_t *node, uint64_t request, decide_reason_t reason,
                    clock_ms_t retry_after_ms);

uint32_t
node_list_candidates (void *context, decide_id_t service,
                      router_candidate_t *candidates, uint32_t max)
{
  decide_t *node = context;
  const catalog_service_t *found
      = catalog_find_service (node->catalog, service);
  decide_id_t own_centre = decide_id (node->settings.data_centre);
  uint32_t count = 0;

  if (found == NULL)
    return 0;
  for (uint32_t i = 0; i < found->pool_count && count < max; i++)
    {
      const catalog_pool_t *pool
          = catalog_pool (node->catalog, found->pools[i]);
      uint32_t centre = node_find_pool_centre (node, pool);
      router_candidate_t *candidate = &candidates[count];
      const node_load_t *load
          = g_hash_table_lookup (node->pool_loads, &pool->id);
      decide_id_t owner;

      if (centre == DECIDE_NO_HANDLE || !node_serves_pool (node, pool))
        continue;
      owner = ownership_grant_target (node->ownership, node->now, centre,
                                      pool->slice);
      if (owner == 0
          || (owner != node->id
              && !ownership_is_reachable (node->ownership, node->now, owner)))
        continue;
      candidate->pool = pool->id;
      candidate->owner = owner;
      candidate->local = pool->centre == own_centre;
      candidate->out = catalog_centre_is_out (node->catalog, pool->centre);
      candidate->free = load == NULL ? 0 : load->free;
      candidate->queued = load == NULL ? 0 : load->queued;
      candidate->seen = load == NULL ? 0 : load->received_at;
      count++;
    }
  return count;
}

bool
node_is_endpoint_usable (void *context, decide_id_t service, decide_id_t pool,
                         decide_id_t endpoint)
{
  decide_t *node = context;
  endpoint_handle_t handle = catalog_find_endpoint (node->catalog, endpoint);
  const catalog_endpoint_t *found;

  (void)pool;
  if (handle == DECIDE_NO_HANDLE || !node_is_config_fresh (node))
    return false;
  found = catalog_endpoint (node->catalog, handle);
  return found->live && found->service == service
         && node_serves_pool (node, catalog_pool (node->catalog, found->pool))
         && !catalog_centre_is_out (node->catalog,
                                    decide_id (found->endpoint.data_centre));
}

void
node_forward (void *context, const router_forward_t *forward)
{
  decide_t *node = context;
  endpoint_handle_t handle
      = catalog_find_endpoint (node->catalog, forward->endpoint);
  decide_forward_t resolved_forward = {
    .request = forward->request,
    .attempt = forward->attempt,
    .endpoint = handle,
    .target = &catalog_endpoint (node->catalog, handle)->endpoint,
    .start_by = forward->start_by,
    .deadline = forward->deadline,
    .hedge = forward->hedge,
  };

  node->callbacks.forward (node->callbacks.context, &resolved_forward);
}

void
node_refuse (void *context, const decide_refusal_t *refusal)
{
  decide_t *node = context;

  if (g_hash_table_contains (node->keyed_requests, &refusal->request))
    {
      claims_finish (node->claims, node->now, refusal->request,
                     refusal->ran == DECIDE_RAN_NO ? DECIDE_KEY_STATE_NOT_RUN
                                                   : DECIDE_KEY_STATE_UNKNOWN,
                     NULL);
      g_hash_table_remove (node->keyed_requests, &refusal->request);
    }
  node->callbacks.refuse (node->callbacks.context, refusal);
}

static void
refuse (decide_t *node, uint64_t request, decide_reason_t reason,
        clock_ms_t retry_after_ms)
{
  decide_refusal_t refusal = { .request = request,
                               .reason = reason,
                               .ran = DECIDE_RAN_NO,
                               .retry_after_ms = retry_after_ms };

  node->callbacks.refuse (node->callbacks.context, &refusal);
}

void
node_claim_run (void *context, uint64_t request)
{
  decide_t *node = context;
  const node_keyed_request_t *keyed
      = g_hash_table_lookup (node->keyed_requests, &request);

  if (keyed != NULL)
    router_request (node->router, node->now, &keyed->request);
}

void
node_claim_replay (void *context, uint64_t request,
                   const decide_response_t *answer)
{
  decide_t *node = context;

  g_hash_table_remove (node->keyed_requests, &request);
  node->callbacks.replay (node->callbacks.context, request, answer);
}

void
node_claim_refuse (void *context, const decide_refusal_t *refusal)
{
  decide_t *node = context;

  g_hash_table_remove (node->keyed_requests, &refusal->request);
  node->callbacks.refuse (node->callbacks.context, refusal);
}

void
decide_request (decide_t *node, clock_ms_t now,
                const decide_request_t *request)
{
  const decide_profile_t *profile
      = catalog_get_profile (node->catalog, request->service);
  router_request_t routed_request = {
    .id = request->id,
    .service = request->service,
    .idempotent = request->idempotent,
    .deadline = request->deadline,
  };

  node->now = now;
  if (profile == NULL)
    {
      bool synced = catalog_has_synced (node->catalog);

      refuse (node, request->id,
              synced ? DECIDE_REASON_UNKNOWN_SERVICE
                     : DECIDE_REASON_NO_CONTACT,
              synced ? 0 : NO_CONTACT_RETRY_AFTER_MS);
      return;
    }
  if (!catalog_is_profile_known (node->catalog, request->service)
      || !node_is_config_fresh (node))
    {
      refuse (node, request->id, DECIDE_REASON_NO_CONTACT,
              NO_CONTACT_RETRY_AFTER_MS);
      return;
    }
  /* The key of an idempotent request is not claimed, since such a request may
     run more than once.  */
  if (!node_serves_request (node, request->service,
                            request->keyed && !request->idempotent))
    {
      refuse (node, request->id, DECIDE_REASON_OTHER_GROUP, 0);
      return;
    }
  if (now >= request->deadline)
    {
      refuse (node, request->id, DECIDE_REASON_DEADLINE, 0);
      return;
    }
  routed_request.retry = profile->retry;
  routed_request.retries_after_unknown_per_mille
      = profile->unknown_retries_per_mille;
  routed_request.hedge = profile->hedge && request->idempotent;
  routed_request.hedge_after_ms = profile->hedge_after_ms;
  routed_request.priority = profile->priority;
  routed_request.run_ms = profile->run_ms;
  if (request->keyed && !request->idempotent)
    {
      node_keyed_request_t *keyed = g_new0 (node_keyed_request_t, 1);

      keyed->id = request->id;
      keyed->request = routed_request;
      g_hash_table_replace (node->keyed_requests, &keyed->id, keyed);
      claims_start (node->claims, now, request->id, &request->key,
                    request->deadline, profile->key_retention_ms);
    }
  else
    router_request (node->router, now, &routed_request);
  node_deliver_loopback (node);
}

bool
decide_withdraw_request (decide_t *node, clock_ms_t now, uint64_t request)
{
  bool ended = true;

  node->now = now;
  if (!g_hash_table_contains (node->keyed_requests, &request))
    router_cancel_request (node->router, now, request);
  else if (!claims_cancel (node->claims, now, request))
    g_hash_table_remove (node->keyed_requests, &request);
  else if (router_withdraw_if_not_run (node->router, now, request))
    {
      claims_finish (node->claims, now, request, DECIDE_KEY_STATE_NOT_RUN,
                     NULL);
      g_hash_table_remove (node->keyed_requests, &request);
    }
  else
    ended = false;
  node_deliver_loopback (node);
  return ended;
}

bool
decide_attempt_done (decide_t *node, clock_ms_t now, uint64_t request,
                     uint64_t attempt, const decide_attempt_end_t *end,
                     const decide_response_t *answer)
{
  bool answered;

  node->now = now;
  answered = router_attempt_done (node->router, now, attempt, end);
  if (answered && g_hash_table_contains (node->keyed_requests, &request))
    {
      claims_finish (node->claims, now, request, DECIDE_KEY_STATE_DONE,
                     answer);
      g_hash_table_remove (node->keyed_requests, &request);
    }
  node_deliver_loopback (node);
  return answered;
}

void
decide_probe_done (decide_t *node, clock_ms_t now, endpoint_handle_t endpoint,
                   bool ok, clock_ms_t latency_ms, const decide_load_t *load)
{
  const catalog_endpoint_t *found;
  const catalog_pool_t *configured_pool;
  pool_t *pool;

  node->now = now;
  if (endpoint >= catalog_endpoint_count (node->catalog))
    return;
  found = catalog_endpoint (node->catalog, endpoint);
  configured_pool = catalog_pool (node->catalog, found->pool);
  pool = node_get_pool_for_update (node, configured_pool->id);
  if (pool != NULL)
    pool_handle_probe_result (pool, now, found->id, ok, latency_ms, load);
  node_deliver_loopback (node);
}
