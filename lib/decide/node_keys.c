#include "node.h"

#include <string.h>

/* Callbacks that connect the modules for idempotency keys with the ownership
   of the key slices.  */

/* Longest time between the owner's check of its lease and the moment at which
   it has accepted the claim of a key.  A new owner starts to collect claims
   only after this time.  */
#define KEY_CLAIM_DURATION_MAX_MS 500

static uint64_t get_record_version (void *context);
static bool can_hold_copies (const decide_t *node,
                             const decide_member_t *member, decide_id_t id);
static keys_origin_t get_key_origin (const decide_t *node, uint32_t slice);
static void send_claim (void *context, decide_id_t to,
                        const decide_msg_t *msg);
static void send_message (void *context, decide_id_t to,
                          const decide_msg_t *msg);

static void
send_message (void *context, decide_id_t to, const decide_msg_t *msg)
{
  node_send (context, to, msg);
}

/* Sends a message of the claims module, and adds to KEY_CLAIM the fields that
   only the node knows: service and moved_ms.  */
static void
send_claim (void *context, decide_id_t to, const decide_msg_t *msg)
{
  decide_t *node = context;
  const node_keyed_request_t *keyed
      = g_hash_table_lookup (node->keyed_requests, &msg->u.key.request);
  decide_msg_t claim = *msg;

  if (msg->type == DECIDE_MSG_KEY_CLAIM && keyed != NULL)
    {
      claim.u.key.service = keyed->request.service;
      claim.u.key.moved_ms = node_other_group_claims_ms (
          node, keyed->request.service, msg->u.key.retention_ms);
    }
  node_send (node, to, &claim);
}

uint32_t
node_find_key_centre (const decide_t *node)
{
  return ownership_centre_index (node->ownership, DECIDE_KEY_CENTRE);
}

static decide_id_t
find_key_serving_instance (void *context, uint32_t slice)
{
  decide_t *node = context;
  uint32_t centre = node_find_key_centre (node);

  return centre == DECIDE_NO_HANDLE
             ? 0
             : ownership_grant_target (node->ownership, node->now, centre,
                                       slice);
}

static bool
can_serve_keys (void *context, uint32_t slice)
{
  decide_t *node = context;
  uint32_t centre = node_find_key_centre (node);

  return centre != DECIDE_NO_HANDLE && !node_has_group_conflict (node)
         && ownership_may_grant (node->ownership, node->now, centre, slice,
                                 KEY_CLAIM_DURATION_MAX_MS);
}

static uint64_t
get_record_version (void *context)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);

  return record == NULL ? 0 : record->version;
}

/* Skips members of which no process has run yet (incarnation 0), since they
   hold no copies.  */
static uint32_t
list_other_members (void *context, keys_member_t *members, uint32_t max)
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

/* A restarted member is given no copies until the record has the incarnation
   of its new process.  */
static bool
can_hold_copies (const decide_t *node, const decide_member_t *member,
                 decide_id_t id)
{
  return id != node->id && member->incarnation != 0
         && member->state == DECIDE_MEMBER_ACTIVE
         && ownership_is_reachable (node->ownership, node->now, id)
         && ownership_peer_incarnation (node->ownership, id)
                == member->incarnation
         && !ownership_is_leaving (node->ownership, id);
}

static uint32_t
list_copy_holders (void *context, keys_member_t *members, uint32_t max)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint32_t count = 0;

  if (record == NULL)
    return 0;
  for (uint32_t i = 0; i < record->member_count && count < max; i++)
    {
      const decide_member_t *record_member = &record->members[i];
      decide_id_t id = decide_id (record_member->name);

      if (can_hold_copies (node, record_member, id))
        members[count++] = (keys_member_t){ id, record_member->incarnation };
    }
  return count;
}

static decide_key_status_t
store_claim_copy (void *context, decide_id_t from, const decide_msg_t *reply)
{
  decide_t *node = context;

  return keys_store_claim_copy (node->keys, node->now, from,
                                reply->incarnation, &reply->u.key);
}

static void
record_claim_outcome (void *context, const decide_msg_key_t *outcome)
{
  decide_t *node = context;

  keys_record_outcome (node->keys, outcome);
}

/* Chooses the member with the lowest hash of member and slice (rendezvous
   hashing), preferring members of this instance's data centre.  The choice
   changes only when a member joins or leaves.  */
static bool
choose_copy_holder (void *context, uint32_t slice, keys_member_t *member)
{
  decide_t *node = context;
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint64_t best = UINT64_MAX;

  if (record == NULL)
    return false;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *record_member = &record->members[i];
      decide_id_t id = decide_id (record_member->name);
      uint64_t rank = (id ^ (slice * 0x9e3779b97f4a7c15)) >> 1;

      if (!can_hold_copies (node, record_member, id))
        continue;
      if (strcmp (record_member->data_centre, node->settings.data_centre) != 0)
        rank |= (uint64_t)1 << 63;
      if (rank >= best)
        continue;
      best = rank;
      member->id = id;
      member->incarnation = record_member->incarnation;
    }
  return best != UINT64_MAX;
}

void
node_update_previous_key_owners (decide_t *node)
{
  const decide_record_t *record = ownership_get_record (node->ownership);
  uint32_t centre = node_find_key_centre (node);

  if (record == NULL || centre == DECIDE_NO_HANDLE)
    return;
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    {
      const decide_slice_t *slice = &record->centres[centre].slices[i];

      if (slice->owner == node->id
          && slice->incarnation == node->settings.incarnation)
        continue;
      node->previous_key_owner[i] = slice->owner;
      node->previous_key_incarnation[i] = slice->incarnation;
    }
}

/* Returns how this instance became the owner of a slice.  A previous owner
   that is reachable has all entries of the slice.  A previous owner with
   incarnation 0 has never served it.  */
static keys_origin_t
get_key_origin (const decide_t *node, uint32_t slice)
{
  decide_id_t previous = node->previous_key_owner[slice];

  if (previous == 0 || node->previous_key_incarnation[slice] == 0)
    return KEYS_FIRST_OWNER;
  return ownership_is_reachable (node->ownership, node->now, previous)
             ? KEYS_HANDED_OVER
             : KEYS_TAKEN_OVER;
}

void
node_handle_key_slice_change (decide_t *node, uint32_t slice,
                              ownership_change_t change)
{
  decide_id_t previous = node->previous_key_owner[slice];

  switch (change)
    {
    case OWNERSHIP_LOST:
      keys_stop_serving (node->keys, node->now, slice);
      node->key_delegated[slice] = false;
      break;
    case OWNERSHIP_DELEGATED:
      node->key_delegated[slice] = true;
      keys_start_serving (node->keys, node->now, slice, KEYS_HANDED_OVER,
                          previous);
      break;
    case OWNERSHIP_GAINED:
      /* A delegate that becomes the owner serves the slice already.  */
      if (node->key_delegated[slice])
        node->key_delegated[slice] = false;
      else
        keys_start_serving (node->keys, node->now, slice,
                            get_key_origin (node, slice), previous);
      break;
    }
}

void
node_create_key_modules (decide_t *node, const decide_settings_t *settings)
{
  keys_callbacks_t keys = {
    .context = node,
    .self = decide_id (settings->instance),
    .send = send_message,
    .has_valid_lease = can_serve_keys,
    .choose_copy_holder = choose_copy_holder,
    .list_copy_holders = list_copy_holders,
    .list_other_members = list_other_members,
    .record_version = get_record_version,
  };
  claims_callbacks_t claims = {
    .context = node,
    .find_serving_instance = find_key_serving_instance,
    .send = send_claim,
    .store_copy = store_claim_copy,
    .record_outcome = record_claim_outcome,
    .run = node_claim_run,
    .replay = node_claim_replay,
    .refuse = node_claim_refuse,
  };

  node->keys = keys_new (&keys, settings->incarnation,
                         settings->key_bytes_limit, node->now);
  node->claims = claims_new (&claims, settings->incarnation);
}
