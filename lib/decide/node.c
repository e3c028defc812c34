#include "node.h"

#include <errno.h>
#include <string.h>

static void add_catalog_and_pool_fields (void *context, decide_msg_t *msg);
static void send_grant_request (void *context, decide_id_t owner,
                                const decide_msg_grant_t *msg);
static void cancel_attempt (void *context, uint64_t attempt);
static void send_grant_cancel (void *context, decide_id_t owner,
                               const decide_msg_grant_t *msg);
static void send_release (void *context, decide_id_t owner,
                          const decide_msg_release_t *msg);
static void send_message (void *context, decide_id_t to,
                          const decide_msg_t *msg);
static void handle_slice_change (void *context, uint32_t centre,
                                 uint32_t slice, ownership_change_t change);
static void store_put (void *context, uint64_t operation, uint64_t expected,
                       const decide_record_t *record);
static void store_read (void *context);

/* Time after decide_stop() during which other instances may still publish this
   instance's address.  One heartbeat may be lost (250 ms), lists of addresses
   are published every 100 ms, and the response with the list takes time to
   reach the client.  */
#define LEAVE_PROPAGATION_MS (2 * DECIDE_HEARTBEAT_INTERVAL_MS)

static void
send_message (void *context, decide_id_t to, const decide_msg_t *msg)
{
  node_send (context, to, msg);
}

static void
add_catalog_and_pool_fields (void *context, decide_msg_t *msg)
{
  decide_t *node = context;

  if (msg->type == DECIDE_MSG_HEARTBEAT_ACK)
    msg->u.ack.revision = catalog_revision (node->catalog);
  else if (msg->type == DECIDE_MSG_HEARTBEAT)
    {
      msg->u.heartbeat.revision = catalog_revision (node->catalog);
      msg->u.heartbeat.key_copies
          = keys_get_copy_report (node->keys, &msg->u.heartbeat.key_slices);
      node_add_loads (node, &msg->u.heartbeat);
    }
  else if (msg->type == DECIDE_MSG_HANDOVER)
    node_add_limits (node, &msg->u.handover);
}

static void
store_read (void *context)
{
  node_read_store (context);
}

static void
store_put (void *context, uint64_t operation, uint64_t expected,
           const decide_record_t *record)
{
  decide_t *node = context;

  node->callbacks.store_put (node->callbacks.context, operation, expected,
                             record);
}

/* ---- Callbacks of the router and ownership modules ---- */

static void
send_grant_request (void *context, decide_id_t owner,
                    const decide_msg_grant_t *msg)
{
  node_send_grant (context, owner, DECIDE_MSG_GRANT_REQUEST, msg);
}

static void
send_grant_cancel (void *context, decide_id_t owner,
                   const decide_msg_grant_t *msg)
{
  node_send_grant (context, owner, DECIDE_MSG_GRANT_CANCEL, msg);
}

static void
send_release (void *context, decide_id_t owner,
              const decide_msg_release_t *release)
{
  decide_t *node = context;
  decide_msg_t msg = { .type = DECIDE_MSG_RELEASE,
                       .incarnation = node->settings.incarnation };

  msg.u.release = *release;
  node_send (node, owner, &msg);
}

static void
cancel_attempt (void *context, uint64_t attempt)
{
  decide_t *node = context;

  node->callbacks.cancel (node->callbacks.context, attempt);
}

static void
handle_slice_change (void *context, uint32_t centre, uint32_t slice,
                     ownership_change_t change)
{
  decide_t *node = context;

  node->pools_changed = true;
  if (centre == node_find_key_centre (node))
    node_handle_key_slice_change (node, slice, change);
}

/* ---- Creation, timers and shutdown ---- */

static void
create_components (decide_t *node, const decide_settings_t *settings)
{
  ownership_callbacks_t ownership = {
    .context = node,
    .send = send_message,
    .fill = add_catalog_and_pool_fields,
    .store_read = store_read,
    .store_put = store_put,
    .slice_changed = handle_slice_change,
    .export_grants = node_export_grants,
    .import_grants = node_import_grants,
  };
  router_callbacks_t router = {
    .context = node,
    .candidates = node_list_candidates,
    .usable = node_is_endpoint_usable,
    .request_grant_from_owner = send_grant_request,
    .cancel_grant_request = send_grant_cancel,
    .release = send_release,
    .forward = node_forward,
    .cancel = cancel_attempt,
    .refuse = node_refuse,
  };
  ownership_settings_t owner_settings = {
    .incarnation = settings->incarnation,
    .instance_count = settings->instance_count,
  };
  ownership_instance_t instances[DECIDE_MEMBERS_MAX];
  GPtrArray *centres = g_ptr_array_new ();

  g_strlcpy (owner_settings.instance, settings->instance,
             sizeof owner_settings.instance);
  g_strlcpy (owner_settings.data_centre, settings->data_centre,
             sizeof owner_settings.data_centre);
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      g_strlcpy (instances[i].name, settings->instances[i].name,
                 sizeof instances[i].name);
      g_strlcpy (instances[i].data_centre, settings->instances[i].data_centre,
                 sizeof instances[i].data_centre);
      if (!g_ptr_array_find_with_equal_func (centres, instances[i].data_centre,
                                             g_str_equal, NULL))
        g_ptr_array_add (centres, instances[i].data_centre);
    }
  owner_settings.instances = instances;
  owner_settings.centre_count = centres->len;
  owner_settings.centres = (const char *const *)centres->pdata;
  node->ownership
      = ownership_new (&owner_settings, &ownership, &node->rng, node->now);
  node->router = router_new (&router, &node->rng, node->now);
  node_create_key_modules (node, settings);
  g_ptr_array_free (centres, TRUE);
}

decide_t *
decide_new (const decide_settings_t *settings,
            const decide_callbacks_t *callbacks, clock_ms_t now)
{
  decide_t *node;

  if (settings->instance_count > DECIDE_MEMBERS_MAX)
    return NULL;
  node = g_new0 (decide_t, 1);
  node->settings = *settings;
  node->settings.instances = NULL;
  node->id = decide_id (settings->instance);
  node->callbacks = *callbacks;
  node->now = now;
  node->next_store_read_at = now;
  node->store_contact_at = INT64_MIN / 2;
  node->last_pull_at = INT64_MIN / 2;
  decide_rng_seed (&node->rng, settings->seed);
  g_queue_init (&node->loopback);
  node->catalog = catalog_new ();
  node->group_assignments = node_new_group_assignments ();
  node->tick_pending = g_ptr_array_new ();
  node->peers = g_array_new (FALSE, TRUE, sizeof (node_peer_t));
  node->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       node_free_pool);
  node->pool_loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  node->keyed_requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      node_peer_t peer = { .id = decide_id (settings->instances[i].name) };

      if (peer.id == node->id)
        continue;
      g_strlcpy (peer.name, settings->instances[i].name, sizeof peer.name);
      g_strlcpy (peer.data_centre, settings->instances[i].data_centre,
                 sizeof peer.data_centre);
      g_array_append_val (node->peers, peer);
    }
  create_components (node, settings);
  if (node->ownership == NULL || node->router == NULL)
    {
      decide_free (node);
      return NULL;
    }
  return node;
}

void
decide_free (decide_t *node)
{
  if (node == NULL)
    return;
  g_queue_clear_full (&node->loopback, g_free);
  claims_free (node->claims);
  keys_free (node->keys);
  if (node->router != NULL)
    router_free (node->router);
  if (node->ownership != NULL)
    ownership_free (node->ownership);
  g_hash_table_destroy (node->group_assignments);
  g_hash_table_destroy (node->pools);
  g_hash_table_destroy (node->pool_loads);
  g_hash_table_destroy (node->keyed_requests);
  g_ptr_array_free (node->tick_pending, TRUE);
  g_array_free (node->peers, TRUE);
  catalog_free (node->catalog);
  g_free (node);
}

static clock_ms_t
earlier (clock_ms_t a, clock_ms_t b)
{
  return a < b ? a : b;
}

clock_ms_t
decide_tick (decide_t *node, clock_ms_t now)
{
  clock_ms_t next_timer_at;

  node->now = now;
  node_update_previous_key_owners (node);
  if (now >= node->next_store_read_at)
    node_read_store (node);
  next_timer_at = ownership_tick (node->ownership, now);
  next_timer_at = earlier (next_timer_at, node_tick_pools (node));
  next_timer_at = earlier (next_timer_at, router_tick (node->router, now));
  next_timer_at = earlier (next_timer_at, keys_tick (node->keys, now));
  next_timer_at = earlier (next_timer_at, claims_tick (node->claims, now));
  if (!node->store_read_in_progress)
    next_timer_at = earlier (next_timer_at, node->next_store_read_at);
  node_deliver_loopback (node);
  return next_timer_at;
}

void
decide_stop (decide_t *node, clock_ms_t now)
{
  node->now = now;
  if (node->stopping)
    return;
  node->stopping = true;
  node->stopping_at = now;
  router_stop_grant_reuse (node->router, now);
  ownership_stop (node->ownership, now);
  node_deliver_loopback (node);
}

bool
decide_is_stopped (const decide_t *node, clock_ms_t now)
{
  return node->stopping
         && now - node->stopping_at
                >= DECIDE_ADDRESS_TTL_MS + LEAVE_PROPAGATION_MS
         && router_count_pending (node->router) == 0
         && claims_count (node->claims) == 0
         && ownership_has_stopped (node->ownership, now);
}
