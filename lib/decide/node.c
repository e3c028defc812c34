#include "node.h"

#include <errno.h>
#include <string.h>

static void fill_message (void *context, decide_msg_t *msg);
static decide_id_t key_target (void *context, uint32_t slice);
static bool key_may_serve (void *context, uint32_t slice);
static uint32_t key_others (void *context, keys_member_t *members,
                            uint32_t max);
static bool key_second (void *context, uint32_t slice, keys_member_t *member);
static uint32_t key_holders (void *context, keys_member_t *members,
                             uint32_t max);
static decide_key_status_t key_hold (void *context, decide_id_t from,
                                     const decide_msg_t *reply);
static void key_ended (void *context, const decide_msg_key_t *outcome);
static void note_key_owners (decide_t *node);
static uint64_t record_version (void *context);
static void router_ask (void *context, decide_id_t owner,
                        const decide_msg_grant_t *msg);
static void router_cancel (void *context, uint64_t attempt);
static void router_cancel_ask (void *context, decide_id_t owner,
                               const decide_msg_grant_t *msg);
static void router_release (void *context, decide_id_t owner,
                            const decide_msg_release_t *msg);
static void send_claim (void *context, decide_id_t to,
                        const decide_msg_t *msg);
static void send_message (void *context, decide_id_t to,
                          const decide_msg_t *msg);
static void slice_changed (void *context, uint32_t centre, uint32_t slice,
                           ownership_change_t change);
static void store_put (void *context, uint64_t operation, uint64_t expected,
                       const decide_record_t *record);
static void store_read (void *context);

/* Others state the address of an instance that leaves until they hear of it:
   a heartbeat may be lost (250 ms), lists of addresses are published every
   100 ms, and the answer needs its way to the caller.  */
#define LEAVE_HEARD_MS (2 * DECIDE_HEARTBEAT_MS)
/* A claim of a key may be made at the owner for this long after its lease was
   checked; the collection of a new owner starts later.  */
#define KEY_HOLD_MS 500

static void
send_message (void *context, decide_id_t to, const decide_msg_t *msg)
{
  node_send (context, to, msg);
}

static void
fill_message (void *context, decide_msg_t *msg)
{
  decide_t *node = context;

  if (msg->type == DECIDE_MSG_HEARTBEAT_ACK)
    msg->u.ack.revision = catalog_revision (node->catalog);
  else if (msg->type == DECIDE_MSG_HEARTBEAT)
    {
      msg->u.heartbeat.revision = catalog_revision (node->catalog);
      msg->u.heartbeat.key_copies
          = keys_copies (node->keys, &msg->u.heartbeat.key_slices);
      node_fill_loads (node, &msg->u.heartbeat);
    }
  else if (msg->type == DECIDE_MSG_HANDOVER)
    node_fill_limits (node, &msg->u.handover);
}

static void
store_read (void *context)
{
  node_sync (context);
}

static void
store_put (void *context, uint64_t operation, uint64_t expected,
           const decide_record_t *record)
{
  decide_t *node = context;

  node->callbacks.store_put (node->callbacks.context, operation, expected,
                             record);
}

/* ---- Router ---- */

static void
router_ask (void *context, decide_id_t owner, const decide_msg_grant_t *msg)
{
  node_send_grant (context, owner, DECIDE_MSG_GRANT_REQUEST, msg);
}

static void
router_cancel_ask (void *context, decide_id_t owner,
                   const decide_msg_grant_t *msg)
{
  node_send_grant (context, owner, DECIDE_MSG_GRANT_CANCEL, msg);
}

static void
router_release (void *context, decide_id_t owner,
                const decide_msg_release_t *release)
{
  decide_t *node = context;
  decide_msg_t msg = { .type = DECIDE_MSG_RELEASE,
                       .incarnation = node->settings.incarnation };

  msg.u.release = *release;
  node_send (node, owner, &msg);
}

static void
router_cancel (void *context, uint64_t attempt)
{
  decide_t *node = context;

  node->callbacks.cancel (node->callbacks.context, attempt);
}

/* ---- Keys ---- */

static void
send_claim (void *context, decide_id_t to, const decide_msg_t *msg)
{
  decide_t *node = context;
  const node_keyed_t *keyed
      = g_hash_table_lookup (node->keyed, &msg->u.key.request);
  decide_msg_t claim = *msg;

  if (msg->type == DECIDE_MSG_KEY_CLAIM && keyed != NULL)
    {
      claim.u.key.service = keyed->request.service;
      claim.u.key.moved_ms = node_keys_moved_ms (node, keyed->request.service,
                                                 msg->u.key.retention_ms);
    }
  node_send (node, to, &claim);
}

static uint32_t
key_centre (const decide_t *node)
{
  return ownership_centre (node->ownership, DECIDE_KEY_CENTRE);
}

static decide_id_t
key_target (void *context, uint32_t slice)
{
  decide_t *node = context;
  uint32_t centre = key_centre (node);

  return centre == DECIDE_NO_HANDLE
             ? 0
             : ownership_target (node->ownership, node->now, centre, slice);
}

static bool
key_may_serve (void *context, uint32_t slice)
{
  decide_t *node = context;
  uint32_t centre = key_centre (node);

  return centre != DECIDE_NO_HANDLE && !node_is_guarded (node)
         && ownership_may_grant (node->ownership, node->now, centre, slice,
                                 KEY_HOLD_MS);
}

static uint64_t
record_version (void *context)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);

  return record == NULL ? 0 : record->version;
}

/* Members that have never run (incarnation 0) hold no copies.  */
static uint32_t
key_others (void *context, keys_member_t *members, uint32_t max)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint32_t count = 0;

  if (record == NULL)
    return 0;
  for (uint32_t i = 0; i < record->member_count && count < max; i++)
    {
      decide_id_t id = decide_id (record->members[i].name);

      if (id == node->id || record->members[i].incarnation == 0)
        continue;
      members[count].id = id;
      members[count].incarnation = record->members[i].incarnation;
      count++;
    }
  return count;
}

/* A process that was started again holds nothing until the record names it. */
static bool
may_hold_copies (const decide_t *node, const decide_member_t *member,
                 decide_id_t id)
{
  return id != node->id && member->incarnation != 0
         && member->state == DECIDE_MEMBER_ACTIVE
         && ownership_heard (node->ownership, node->now, id)
         && ownership_incarnation (node->ownership, id) == member->incarnation
         && !ownership_leaving (node->ownership, id);
}

static uint32_t
key_holders (void *context, keys_member_t *members, uint32_t max)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint32_t count = 0;

  if (record == NULL)
    return 0;
  for (uint32_t i = 0; i < record->member_count && count < max; i++)
    {
      const decide_member_t *m = &record->members[i];
      decide_id_t id = decide_id (m->name);

      if (may_hold_copies (node, m, id))
        members[count++] = (keys_member_t){ id, m->incarnation };
    }
  return count;
}

static decide_key_status_t
key_hold (void *context, decide_id_t from, const decide_msg_t *reply)
{
  decide_t *node = context;

  return keys_hold_claim (node->keys, node->now, from, reply->incarnation,
                          &reply->u.key);
}

static void
key_ended (void *context, const decide_msg_key_t *outcome)
{
  decide_t *node = context;

  keys_note_outcome (node->keys, outcome);
}

/* Prefers a member of the own data centre, then the lowest hash with the
   slice, so that the choice changes only when a member comes or goes.  */
static bool
key_second (void *context, uint32_t slice, keys_member_t *member)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint64_t best = UINT64_MAX;

  if (record == NULL)
    return false;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *m = &record->members[i];
      decide_id_t id = decide_id (m->name);
      uint64_t rank = (id ^ (slice * 0x9e3779b97f4a7c15)) >> 1;

      if (!may_hold_copies (node, m, id))
        continue;
      if (strcmp (m->data_centre, node->settings.data_centre) != 0)
        rank |= (uint64_t)1 << 63;
      if (rank >= best)
        continue;
      best = rank;
      member->id = id;
      member->incarnation = m->incarnation;
    }
  return best != UINT64_MAX;
}

static void
note_key_owners (decide_t *node)
{
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint32_t centre = key_centre (node);

  if (record == NULL || centre == DECIDE_NO_HANDLE)
    return;
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    {
      const decide_slice_t *slice = &record->centres[centre].slices[i];

      if (slice->owner == node->id
          && slice->incarnation == node->settings.incarnation)
        continue;
      node->key_owner[i] = slice->owner;
      node->key_incarnation[i] = slice->incarnation;
    }
}

/* A previous owner that is heard has all entries; incarnation 0 has never
   served.  */
static keys_origin_t
key_origin (const decide_t *node, uint32_t slice)
{
  decide_id_t previous = node->key_owner[slice];

  if (previous == 0 || node->key_incarnation[slice] == 0)
    return KEYS_FIRST_OWNER;
  return ownership_heard (node->ownership, node->now, previous)
             ? KEYS_HANDED_OVER
             : KEYS_TAKEN_OVER;
}

static void
slice_changed (void *context, uint32_t centre, uint32_t slice,
               ownership_change_t change)
{
  decide_t *node = context;
  decide_id_t previous;

  node->pools_changed = true;
  if (centre != key_centre (node))
    return;
  previous = node->key_owner[slice];
  switch (change)
    {
    case OWNERSHIP_LOST:
      keys_slice_lost (node->keys, node->now, slice);
      node->key_delegated[slice] = false;
      break;
    case OWNERSHIP_DELEGATED:
      node->key_delegated[slice] = true;
      keys_slice_gained (node->keys, node->now, slice, KEYS_HANDED_OVER,
                         previous);
      break;
    case OWNERSHIP_GAINED:
      if (node->key_delegated[slice])
        node->key_delegated[slice] = false;
      else
        keys_slice_gained (node->keys, node->now, slice,
                           key_origin (node, slice), previous);
      break;
    }
}

/* ---- Life of the node ---- */

static void
create_aggregates (decide_t *node, const decide_settings_t *settings)
{
  ownership_callbacks_t ownership = {
    .context = node,
    .send = send_message,
    .fill = fill_message,
    .store_read = store_read,
    .store_put = store_put,
    .slice_changed = slice_changed,
    .export_grants = node_export_grants,
    .import_grants = node_import_grants,
  };
  router_callbacks_t router = {
    .context = node,
    .candidates = node_list_candidates,
    .usable = node_is_usable,
    .ask = router_ask,
    .cancel_ask = router_cancel_ask,
    .release = router_release,
    .forward = node_forward,
    .cancel = router_cancel,
    .refuse = node_refuse,
  };
  keys_callbacks_t keys = {
    .context = node,
    .self = decide_id (settings->instance),
    .send = send_message,
    .may_serve = key_may_serve,
    .second = key_second,
    .holders = key_holders,
    .others = key_others,
    .record_version = record_version,
  };
  claims_callbacks_t claims = {
    .context = node,
    .target = key_target,
    .send = send_claim,
    .hold = key_hold,
    .ended = key_ended,
    .run = node_claim_run,
    .replay = node_claim_replay,
    .refuse = node_claim_refuse,
  };
  ownership_settings_t own = {
    .incarnation = settings->incarnation,
    .instance_count = settings->instance_count,
  };
  ownership_instance_t instances[DECIDE_MEMBERS_MAX];
  GPtrArray *centres = g_ptr_array_new ();

  g_strlcpy (own.instance, settings->instance, sizeof own.instance);
  g_strlcpy (own.data_centre, settings->data_centre, sizeof own.data_centre);
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
  own.instances = instances;
  own.centre_count = centres->len;
  own.centres = (const char *const *)centres->pdata;
  node->ownership = ownership_new (&own, &ownership, &node->rng, node->now);
  node->router = router_new (&router, &node->rng, node->now);
  node->keys = keys_new (&keys, settings->incarnation, settings->key_bytes,
                         node->now);
  node->claims = claims_new (&claims, settings->incarnation);
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
  node->sync_at = now;
  node->store_contact = INT64_MIN / 2;
  node->pulled_at = INT64_MIN / 2;
  decide_rng_seed (&node->rng, settings->seed);
  g_queue_init (&node->loop);
  node->catalog = catalog_new ();
  node->divisions = node_new_divisions ();
  node->touched = g_ptr_array_new ();
  node->peers = g_array_new (FALSE, TRUE, sizeof (node_peer_t));
  node->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       node_free_pool);
  node->loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  node->keyed
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
  create_aggregates (node, settings);
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
  g_queue_clear_full (&node->loop, g_free);
  claims_free (node->claims);
  keys_free (node->keys);
  if (node->router != NULL)
    router_free (node->router);
  if (node->ownership != NULL)
    ownership_free (node->ownership);
  g_hash_table_destroy (node->divisions);
  g_hash_table_destroy (node->pools);
  g_hash_table_destroy (node->loads);
  g_hash_table_destroy (node->keyed);
  g_ptr_array_free (node->touched, TRUE);
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
  clock_ms_t due;

  node->now = now;
  note_key_owners (node);
  if (now >= node->sync_at)
    node_sync (node);
  due = ownership_tick (node->ownership, now);
  due = earlier (due, node_tick_pools (node));
  due = earlier (due, router_tick (node->router, now));
  due = earlier (due, keys_tick (node->keys, now));
  due = earlier (due, claims_tick (node->claims, now));
  if (!node->syncing)
    due = earlier (due, node->sync_at);
  node_run_loop (node);
  return due;
}

void
decide_stop (decide_t *node, clock_ms_t now)
{
  node->now = now;
  if (node->stopping)
    return;
  node->stopping = true;
  node->stopping_at = now;
  router_stop_lending (node->router, now);
  ownership_stop (node->ownership, now);
  node_run_loop (node);
}

bool
decide_stopped (const decide_t *node, clock_ms_t now)
{
  return node->stopping
         && now - node->stopping_at
                >= DECIDE_ADDRESS_LIFETIME_MS + LEAVE_HEARD_MS
         && router_pending (node->router) == 0
         && claims_unreported (node->claims) == 0
         && ownership_stopped (node->ownership, now);
}
