#include "keys_state.h"

#include <string.h>

/* Maximum number of copies that one call of keys_renew_copies() sends.  It
   bounds the burst of messages when a copy holder is lost.  */
#define COPY_BATCH_MAX 64
/* Interval at which the members that may hold copies are listed again.  */
#define HOLDERS_CHECK_MS 20
/* Interval of the scan for entries without a copy: those that were collected
   or whose copy was never confirmed.  */
#define UNCOPIED_SCAN_MS 1000
/* Largest value of key_retention_ms that a profile may have.  */
#define RETENTION_MAX_MS 3600000

static uint32_t list_holders (const keys_t *keys, keys_member_t *holders);
static bool may_be_stale_owner (const keys_slice_t *slice,
                                const keys_member_t *owner,
                                uint64_t record_version);
static void scan_copies (keys_t *keys, clock_ms_t now,
                         const keys_member_t *holders, uint32_t count);
static uint32_t find_complete_slices (const keys_t *keys, clock_ms_t now);
static bool needs_copy (const keys_entry_t *entry,
                        const keys_member_t *holders, uint32_t count);
static bool has_member (const keys_member_t *members, uint32_t count,
                        const keys_member_t *member);

bool
keys_is_same_member (const keys_member_t *a, const keys_member_t *b)
{
  return a->id == b->id && a->incarnation == b->incarnation;
}

static bool
has_member (const keys_member_t *members, uint32_t count,
            const keys_member_t *member)
{
  for (uint32_t i = 0; i < count && member->id != 0; i++)
    if (keys_is_same_member (&members[i], member))
      return true;
  return false;
}

static uint32_t
list_holders (const keys_t *keys, keys_member_t *holders)
{
  return keys->callbacks.list_copy_holders (keys->callbacks.context, holders,
                                            DECIDE_MEMBERS_MAX);
}

bool
keys_can_hold_copies (const keys_t *keys, const keys_member_t *member)
{
  keys_member_t holders[DECIDE_MEMBERS_MAX];

  return has_member (holders, list_holders (keys, holders), member);
}

/* Allows the request of a claim to run, with the reply RUN_WITH_COPY: the
   requester stores the copy that it carries and becomes the copy holder.  */
void
keys_allow_run_with_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                          const keys_member_t *requester)
{
  entry->copy_holder = *requester;
  entry->claim_copied = true;
  entry->copy_pending = false;
  entry->run_allowed = true;
  keys_add_to_tick_list (keys, entry);
  keys_send_copy (keys, now, entry, DECIDE_MSG_KEY_CLAIM_REPLY);
}

/* Handles a claim that was sent again because the reply was late, lost or
   rejected.  The request may run if a member other than the requester has
   confirmed its copy, if the requester stores one, or if the group has no
   other member.  */
void
keys_handle_repeated_claim (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                            const keys_member_t *requester)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  bool copied_elsewhere
      = entry->copy_holder.id != 0 && entry->copy_holder.id != requester->id;

  if (!entry->run_allowed || entry->copy_pending)
    return;
  if (copied_elsewhere
      || keys->callbacks.list_other_members (keys->callbacks.context, others,
                                             DECIDE_MEMBERS_MAX)
             == 0)
    keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
  else if (keys_can_hold_copies (keys, requester))
    keys_allow_run_with_copy (keys, now, entry, requester);
  else
    keys_start_copy (keys, now, entry);
}

/* Whether a reply to a claim may come from a stale owner.  Such a reply must
   not lead to a run, because the new owner may have collected from this member
   before the claim was stored here.  The record version serves as fencing
   token.  A delegate collects at the same record version as the owner that it
   replaces, so if the versions are equal, only replies of the last collector
   are accepted.  */
static bool
may_be_stale_owner (const keys_slice_t *slice, const keys_member_t *owner,
                    uint64_t record_version)
{
  return record_version < slice->fence_version
         || (record_version == slice->fence_version
             && !keys_is_same_member (&slice->collector, owner));
}

decide_key_status_t
keys_store_claim_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                       uint64_t incarnation, const decide_msg_key_t *reply)
{
  keys_member_t owner = { from, incarnation };
  keys_entry_t *entry = keys_find_entry (keys, &reply->key);

  if (may_be_stale_owner (&keys->slices[keys_slice_index (&reply->key)],
                          &owner, reply->record_version))
    return DECIDE_KEY_NOT_OWNER;
  if (entry != NULL && entry->expires_at > now
      && keys_state_rank (entry->state)
             > keys_state_rank (DECIDE_KEY_STATE_CLAIMED))
    return DECIDE_KEY_NOT_OWNER;
  if (keys_is_full (keys))
    return DECIDE_KEY_FULL;
  if (entry != NULL)
    keys_remove_entry (keys, entry);
  entry = keys_add_entry (keys, now, reply);
  entry->state = DECIDE_KEY_STATE_CLAIMED;
  entry->request = reply->request;
  entry->runner = reply->runner;
  return DECIDE_KEY_RUN;
}

void
keys_record_outcome (keys_t *keys, const decide_msg_key_t *outcome)
{
  keys_entry_t *entry = keys_find_entry (keys, &outcome->key);

  if (entry != NULL && !keys->slices[entry->slice].serving
      && keys_outcome_applies (entry, outcome))
    keys_set_state (keys, entry, outcome->state, outcome);
}

/* Whether the entry lacks a copy that is needed if this instance is lost.  An
   entry whose request was not allowed to run, or did not run, needs no copy:
   its key may be claimed again.  */
static bool
needs_copy (const keys_entry_t *entry, const keys_member_t *holders,
            uint32_t count)
{
  return entry->serving && entry->run_allowed
         && entry->state != DECIDE_KEY_STATE_NOT_RUN
         && !(entry->claim_copied
              && has_member (holders, count, &entry->copy_holder));
}

/* Return: bit mask of the served slices of which this instance has all
   entries.  */
static uint32_t
find_complete_slices (const keys_t *keys, clock_ms_t now)
{
  uint32_t slices = 0;

  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    {
      const keys_slice_t *slice = &keys->slices[i];

      if (slice->serving && !slice->collecting
          && (slice->unknown_before < 0
              || now - slice->unknown_before > RETENTION_MAX_MS))
        slices |= 1U << i;
    }
  return slices;
}

/* Updates the list of entries that have no copy at a current copy holder, and
   the report that keys_get_copy_report() returns.  */
static void
scan_copies (keys_t *keys, clock_ms_t now, const keys_member_t *holders,
             uint32_t count)
{
  GHashTableIter iter;
  void *value;

  g_array_set_size (keys->uncopied, 0);
  keys->copied_slices = 0;
  if (count == 0)
    return;
  keys->holders_hash = keys_hash_members (holders, count);
  keys->copied_slices = find_complete_slices (keys, now);
  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const keys_entry_t *entry = value;

      if (needs_copy (entry, holders, count))
        keys->copied_slices &= ~(1U << entry->slice);
      if (entry->serving && !entry->copy_pending
          && !has_member (holders, count, &entry->copy_holder))
        g_array_append_val (keys->uncopied, entry->key);
    }
}

/* Sends a new copy of each entry whose copy holder is lost or may no longer
   hold copies, COPY_BATCH_MAX entries at most in one call.  */
void
keys_renew_copies (keys_t *keys, clock_ms_t now)
{
  keys_member_t holders[DECIDE_MEMBERS_MAX] = { 0 };
  uint32_t sent = 0;

  if (now - keys->holders_checked_at >= HOLDERS_CHECK_MS)
    {
      uint32_t count = list_holders (keys, holders);

      keys->holders_checked_at = now;
      if (memcmp (holders, keys->holders, sizeof holders) != 0
          || now - keys->uncopied_scanned_at >= UNCOPIED_SCAN_MS)
        {
          memcpy (keys->holders, holders, sizeof holders);
          keys->uncopied_scanned_at = now;
          scan_copies (keys, now, holders, count);
        }
    }
  while (keys->uncopied->len > 0 && sent < COPY_BATCH_MAX)
    {
      uint32_t last = keys->uncopied->len - 1;
      keys_entry_t *entry = keys_find_entry (
          keys, &g_array_index (keys->uncopied, decide_key_t, last));

      g_array_set_size (keys->uncopied, last);
      if (entry == NULL || !entry->serving || entry->copy_pending
          || has_member (keys->holders, DECIDE_MEMBERS_MAX,
                         &entry->copy_holder))
        continue;
      keys_start_copy (keys, now, entry);
      sent++;
    }
}
