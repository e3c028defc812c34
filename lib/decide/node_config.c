#include "node.h"

#include <errno.h>
#include <string.h>

/* Maximum number of objects in one push.  The queue of messages to a peer
   holds 1,024.  */
#define PUSH_OBJECTS_MAX 256
/* Minimum time between two pulls of objects from peers.  */
#define PULL_INTERVAL_MS 100
/* Delay between the end of a read of the store and a further read that was
   requested during it.  */
#define STORE_REREAD_DELAY_MS 50
/* Time after which a read is treated as lost when
   decide_handle_store_read_result() has not reported its end, so that a new
   one may start.  */
#define STORE_READ_TIMEOUT_MS 10000

/* Progress of a push to another instance.  */
typedef struct push
{
  decide_t *node;
  decide_id_t to;
  uint64_t last;  /* revision of the last object sent; at first, the one after
                     which the push starts */
  uint32_t count; /* number of objects sent */
} push_t;

static void push_object (void *context, const decide_msg_object_t *object);

void
node_update_load (decide_t *node, decide_id_t pool, uint16_t free,
                  uint16_t queued)
{
  node_load_t *load = g_hash_table_lookup (node->pool_loads, &pool);

  if (load == NULL)
    {
      load = g_new0 (node_load_t, 1);
      g_hash_table_insert (node->pool_loads, g_memdup2 (&pool, sizeof pool),
                           load);
    }
  load->free = free;
  load->queued = queued;
  load->received_at = node->now;
}

void
node_pull_objects (decide_t *node, decide_id_t from, uint64_t revision)
{
  decide_msg_t msg = { .type = DECIDE_MSG_OBJECT_PULL,
                       .incarnation = node->settings.incarnation };

  if (revision <= catalog_revision (node->catalog)
      || node->now - node->last_pull_at < PULL_INTERVAL_MS)
    return;
  node->last_pull_at = node->now;
  msg.u.pull_since = catalog_revision (node->catalog);
  node_send (node, from, &msg);
}

static void
push_object (void *context, const decide_msg_object_t *object)
{
  push_t *push = context;
  decide_msg_t msg = { .type = DECIDE_MSG_OBJECT_PUSH,
                       .incarnation = push->node->settings.incarnation };

  if (push->count >= PUSH_OBJECTS_MAX)
    return;
  push->count++;
  push->last = object->revision;
  msg.u.object = *object;
  push->node->callbacks.send (push->node->callbacks.context, push->to, &msg);
}

/* The last message of a push has no object name and says up to which revision
   the push is complete.  It is not sent when the push has reached
   PUSH_OBJECTS_MAX, so the peer pulls the remaining objects.  */
void
node_push_objects (decide_t *node, decide_id_t to, uint64_t since)
{
  push_t push = { .node = node, .to = to, .last = since };
  decide_msg_t msg = { .type = DECIDE_MSG_OBJECT_PUSH,
                       .incarnation = node->settings.incarnation };

  if (to == node->id || since >= catalog_revision (node->catalog))
    return;
  catalog_each_object_after (node->catalog, since, push_object, &push);
  if (push.count >= PUSH_OBJECTS_MAX)
    return;
  msg.u.object.previous = push.last;
  msg.u.object.revision = catalog_revision (node->catalog);
  msg.u.object.name = "";
  msg.u.object.body = "";
  node->callbacks.send (node->callbacks.context, to, &msg);
}

/* A data centre that has endpoints but no instances does not occur in the
   settings, so the ownership module learns of it only here.  */
void
node_add_pool_centres_to_record (decide_t *node)
{
  for (pool_handle_t i = 0; i < catalog_pool_count (node->catalog); i++)
    {
      const catalog_pool_t *pool = catalog_pool (node->catalog, i);

      if (pool->count > 0)
        ownership_add_centre (node->ownership, pool->centre_name);
    }
}

int
decide_object (decide_t *node, clock_ms_t now, uint64_t previous,
               const decide_object_t *object)
{
  int changed;
  int error;

  node->now = now;
  if (object->kind == DECIDE_OBJECT_RECORD)
    {
      const char *slash = strrchr (object->name, '/');

      if (slash == NULL || strcmp (slash + 1, node->settings.group) != 0)
        {
          if (slash != NULL)
            {
              bool had_conflict = node_has_group_conflict (node);

              groups_set_record (catalog_groups (node->catalog), slash + 1,
                                 object->deleted ? NULL : object->u.record);
              if (node_has_group_conflict (node) != had_conflict)
                node_update_group_assignments (node, 0);
            }
          return 0;
        }
      if (!object->deleted)
        {
          error = ownership_adopt_record (node->ownership, now,
                                          object->u.record);
          if (error == -EINVAL)
            {
              node->record_malformed = true;
              return error;
            }
          node->record_seen = true;
          node->pools_changed = true;
        }
    }
  changed = catalog_store_object (node->catalog, previous, object);
  if (changed < 0)
    return changed;
  if (changed & CATALOG_CHANGED_SERVICE)
    {
      node_add_pool_centres_to_record (node);
      node_update_group_assignments (
          node, decide_id (strrchr (object->name, '/') + 1));
    }
  if (changed & CATALOG_CHANGED_GROUP)
    node_update_group_assignments (node, 0);
  if (changed != 0)
    node->pools_changed = true;
  node_deliver_loopback (node);
  return 0;
}

int
decide_handle_own_change (decide_t *node, clock_ms_t now,
                          const decide_object_t *object)
{
  decide_msg_t msg = { .type = DECIDE_MSG_OBJECT_PUSH,
                       .incarnation = node->settings.incarnation };
  const decide_record_t *record;
  int error = decide_object (node, now, object->revision - 1, object);

  if (error != 0)
    return error;
  msg.u.object = (decide_msg_object_t){ .previous = object->revision - 1,
                                        .version = object->version,
                                        .revision = object->revision,
                                        .deleted = object->deleted,
                                        .name = object->name,
                                        .body = object->body };
  record = ownership_get_record (node->ownership);
  for (uint32_t i = 0; record != NULL && i < record->member_count; i++)
    {
      decide_id_t member = decide_id (record->members[i].name);

      if (member != node->id)
        node_send (node, member, &msg);
    }
  return 0;
}

void
node_read_store (decide_t *node)
{
  if (node->store_read_in_progress
      && node->now - node->store_read_started_at < STORE_READ_TIMEOUT_MS)
    {
      node->store_reread_requested = true;
      return;
    }
  node->store_read_in_progress = true;
  node->store_reread_requested = false;
  node->record_malformed = false;
  node->store_read_started_at = node->now;
  node->next_store_read_at = node->now + DECIDE_STORE_SYNC_INTERVAL_MS;
  node->callbacks.store_sync (node->callbacks.context,
                              catalog_revision (node->catalog));
}

void
decide_handle_store_read_result (decide_t *node, clock_ms_t now,
                                 clock_ms_t sent, bool ok, uint64_t revision)
{
  node->now = now;
  node->store_read_in_progress = false;
  if (ok)
    {
      catalog_mark_synced (node->catalog, 0, revision);
      node->store_contact_at = sent;
      if (!node->has_read_store)
        node_update_group_assignments (node, 0);
      node->has_read_store = true;
    }
  ownership_handle_read_result (node->ownership, now, sent,
                                ok && !node->record_malformed,
                                node->record_seen);
  if (node->store_reread_requested
      && node->next_store_read_at > now + STORE_REREAD_DELAY_MS)
    node->next_store_read_at = now + STORE_REREAD_DELAY_MS;
  node_deliver_loopback (node);
}

void
decide_store_put_done (decide_t *node, clock_ms_t now, uint64_t operation,
                       decide_store_result_t result, uint64_t version)
{
  node->now = now;
  ownership_handle_put_result (node->ownership, now, operation, result,
                               version);
  node->pools_changed = true;
  node_read_store (node);
  node_deliver_loopback (node);
}

void
decide_request_store_read (decide_t *node, clock_ms_t now)
{
  node->now = now;
  node_read_store (node);
}
