#include "node.h"

static void handle_grant_request (decide_t *node, decide_id_t from,
                                  const decide_msg_t *msg);
static void pass_to_router (decide_t *node, decide_id_t from,
                            const decide_msg_t *msg);
static void handle_heartbeat (decide_t *node, decide_id_t from,
                              const decide_msg_t *msg);

/* Messages of this instance to itself are delivered after the current call,
   because the modules are not reentrant: a callback must not call the module
   that called it.  */
void
node_send (decide_t *node, decide_id_t to, const decide_msg_t *msg)
{
  node_loopback_t *entry;

  if (to != node->id)
    {
      node->callbacks.send (node->callbacks.context, to, msg);
      return;
    }
  entry = g_new (node_loopback_t, 1);
  entry->msg = *msg;
  g_queue_push_tail (&node->loopback, entry);
}

void
node_send_grant (decide_t *node, decide_id_t to, decide_msg_type_t type,
                 const decide_msg_grant_t *grant)
{
  decide_msg_t msg
      = { .type = type, .incarnation = node->settings.incarnation };

  msg.u.grant = *grant;
  node_send (node, to, &msg);
}

void
node_deliver_loopback (decide_t *node)
{
  node_loopback_t *entry;

  if (node->delivering_loopback)
    return;
  node->delivering_loopback = true;
  while ((entry = g_queue_pop_head (&node->loopback)) != NULL)
    {
      decide_handle_message (node, node->now, node->id, &entry->msg);
      g_free (entry);
    }
  node->delivering_loopback = false;
}

/* Without contact the configuration may be stale, for example when a data
   centre has been taken out of service.  */
bool
node_is_config_fresh (const decide_t *node)
{
  const decide_record_t *record = ownership_get_record (node->ownership);
  clock_ms_t oldest = node->now - DECIDE_PEER_TIMEOUT_MS;

  return node->store_contact_at > oldest
         || ownership_last_contact (node->ownership) > oldest
         || (record != NULL && record->member_count == 1);
}

static void
handle_grant_request (decide_t *node, decide_id_t from,
                      const decide_msg_t *msg)
{
  const decide_msg_grant_t *grant = &msg->u.grant;
  pool_t *pool = node_get_pool_for_update (node, grant->pool);
  decide_msg_t refused = { .type = DECIDE_MSG_REFUSED,
                           .incarnation = node->settings.incarnation };

  if (pool != NULL && !pool_is_suspended (pool))
    {
      pool_handle_grant_request (pool, node->now, from, grant);
      return;
    }
  refused.u.grant.request = grant->request;
  refused.u.grant.pool = grant->pool;
  refused.u.grant.reason = DECIDE_REASON_NO_CAPACITY;
  node_send (node, from, &refused);
}

static void
pass_to_router (decide_t *node, decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_grant_t *grant = &msg->u.grant;

  switch (msg->type)
    {
    case DECIDE_MSG_GRANT:
      router_handle_grant (node->router, node->now, from, grant);
      break;
    case DECIDE_MSG_QUEUED:
      router_handle_queued (node->router, node->now, from, grant);
      break;
    case DECIDE_MSG_REFUSED:
      router_handle_refused (node->router, node->now, from, grant);
      break;
    default: /* DECIDE_MSG_RECALL */
      router_handle_recall (node->router, node->now, from, grant);
      break;
    }
}

/* Limits @moved_ms, the remaining time in which the group that served the
   service before may have claims of its keys.  Each instance counts this time
   from the moment at which it learned that the keys belong to this group.  An
   instance that was started after the keys moved learned it late, so that its
   remaining time is too long.  If the requester or this instance was running
   when they moved, the shorter of the two times is the right one.  */
static void
handle_claim (decide_t *node, decide_id_t from, const decide_msg_t *msg)
{
  decide_msg_t claim = *msg;
  clock_ms_t own_ms = node_other_group_claims_ms (node, msg->u.key.service,
                                                  msg->u.key.retention_ms);

  claim.u.key.moved_ms = MIN (msg->u.key.moved_ms, own_ms);
  keys_handle_message (node->keys, node->now, from, &claim);
}

static void
handle_heartbeat (decide_t *node, decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;

  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    node_update_load (node, heartbeat->loads[i].pool, heartbeat->loads[i].free,
                      heartbeat->loads[i].queued);
  keys_store_copy_report (node->keys, from, heartbeat->key_copies,
                          heartbeat->key_slices);
  node_pull_objects (node, from, heartbeat->revision);
}

void
decide_handle_message (decide_t *node, clock_ms_t now, decide_id_t from,
                       const decide_msg_t *msg)
{
  pool_t *pool;

  node->now = now;
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      ownership_handle_message (node->ownership, now, from, msg);
      handle_heartbeat (node, from, msg);
      break;
    case DECIDE_MSG_HEARTBEAT_ACK:
      ownership_handle_message (node->ownership, now, from, msg);
      node_pull_objects (node, from, msg->u.ack.revision);
      break;
    case DECIDE_MSG_SUPPORT_REQUEST:
    case DECIDE_MSG_SUPPORT_REPLY:
    case DECIDE_MSG_HANDOVER:
    case DECIDE_MSG_HANDOVER_ACK:
      ownership_handle_message (node->ownership, now, from, msg);
      break;
    case DECIDE_MSG_OBJECT_PULL:
      node_push_objects (node, from, msg->u.pull_since);
      break;
    case DECIDE_MSG_OBJECT_PUSH:
      /* The caller passes objects to decide_object().  Only the last message
         of a push, which has no object name, is passed to this function.  */
      catalog_mark_synced (node->catalog, msg->u.object.previous,
                           msg->u.object.revision);
      break;
    case DECIDE_MSG_GRANT_REQUEST:
      handle_grant_request (node, from, msg);
      break;
    case DECIDE_MSG_GRANT_CANCEL:
      pool = node_get_pool_for_update (node, msg->u.grant.pool);
      if (pool != NULL)
        pool_handle_grant_cancel (pool, now, from, msg->u.grant.request);
      break;
    case DECIDE_MSG_RELEASE:
      pool = node_get_pool_for_update (node, msg->u.release.pool);
      if (pool != NULL)
        pool_handle_release (pool, now, from, &msg->u.release);
      break;
    case DECIDE_MSG_GRANT:
    case DECIDE_MSG_QUEUED:
    case DECIDE_MSG_REFUSED:
    case DECIDE_MSG_RECALL:
      pass_to_router (node, from, msg);
      break;
    case DECIDE_MSG_KEY_CLAIM_REPLY:
      claims_handle_message (node->claims, now, from, msg);
      break;
    case DECIDE_MSG_KEY_COPY_ACK:
      claims_handle_message (node->claims, now, from, msg);
      keys_handle_message (node->keys, now, from, msg);
      break;
    case DECIDE_MSG_KEY_CLAIM:
      handle_claim (node, from, msg);
      break;
    case DECIDE_MSG_KEY_COPY:
    case DECIDE_MSG_KEY_OUTCOME:
    case DECIDE_MSG_KEY_COLLECT:
    case DECIDE_MSG_KEY_COLLECT_REPLY:
      keys_handle_message (node->keys, now, from, msg);
      break;
    }
  node_deliver_loopback (node);
}
