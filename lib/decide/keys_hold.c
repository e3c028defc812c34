#include "keys_state.h"

#include <string.h>

/* Bounds the messages of one tick when a member that holds copies goes.  */
#define COPY_BATCH 64
#define CHECK_MS 20
/* Finds entries that were collected, or whose copy was never confirmed.  */
#define FIND_MS 1000
/* Upper bound of key_retention_ms in a profile.  */
#define RETENTION_MAX_MS 3600000

static uint32_t list_holders (const keys_t *keys, keys_member_t *holders);
static bool may_be_replaced (const keys_slice_t *slice,
                             const keys_member_t *owner,
                             uint64_t record_version);
static void find_uncopied (keys_t *keys, clock_ms_t now,
                           const keys_member_t *holders, uint32_t count);
static uint32_t list_certain (const keys_t *keys, clock_ms_t now);
static bool needs_copy (const keys_entry_t *entry,
                        const keys_member_t *holders, uint32_t count);
static bool is_listed (const keys_member_t *members, uint32_t count,
                       const keys_member_t *member);

bool
keys_same_member (const keys_member_t *a, const keys_member_t *b)
{
  return a->id == b->id && a->incarnation == b->incarnation;
}

static bool
is_listed (const keys_member_t *members, uint32_t count,
           const keys_member_t *member)
{
  for (uint32_t i = 0; i < count && member->id != 0; i++)
    if (keys_same_member (&members[i], member))
      return true;
  return false;
}

static uint32_t
list_holders (const keys_t *keys, keys_member_t *holders)
{
  return keys->callbacks.holders (keys->callbacks.context, holders,
                                  DECIDE_MEMBERS_MAX);
}

bool
keys_may_hold (const keys_t *keys, const keys_member_t *member)
{
  keys_member_t holders[DECIDE_MEMBERS_MAX];

  return is_listed (holders, list_holders (keys, holders), member);
}

/* Lets the request of a claim run, with its requester as holder of the
   copy.  */
void
keys_run_with_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                    const keys_member_t *requester)
{
  entry->copy = *requester;
  entry->copied = true;
  entry->copy_due = false;
  entry->confirmed = true;
  keys_activate (keys, entry);
  keys_send_copy (keys, now, entry, DECIDE_MSG_KEY_CLAIM_REPLY);
}

/* The requester has sent its claim again because the reply was late, lost or
   rejected.  A run needs a copy that is confirmed, or the requester's.  */
void
keys_repeat_run (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                 const keys_member_t *requester)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  bool confirmed = entry->copy.id != 0 && entry->copy.id != requester->id;

  if (!entry->confirmed || entry->copy_due)
    return;
  if (confirmed
      || keys->callbacks.others (keys->callbacks.context, others,
                                 DECIDE_MEMBERS_MAX)
             == 0)
    keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
  else if (keys_may_hold (keys, requester))
    keys_run_with_copy (keys, now, entry, requester);
  else
    keys_start_copy (keys, now, entry);
}

/* A reply of an owner that has been replaced must not lead to a run: the new
   owner's collection did not find the claim here.  A delegate collects at the
   record version of the owner that it replaces, so that at the version of the
   last collection only its sender is believed.  */
static bool
may_be_replaced (const keys_slice_t *slice, const keys_member_t *owner,
                 uint64_t record_version)
{
  return record_version < slice->barrier
         || (record_version == slice->barrier
             && !keys_same_member (&slice->collector, owner));
}

decide_key_status_t
keys_store_claim_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                       uint64_t incarnation, const decide_msg_key_t *reply)
{
  keys_member_t owner = { from, incarnation };
  keys_entry_t *entry = keys_find_entry (keys, &reply->key);

  if (may_be_replaced (&keys->slices[keys_slice (&reply->key)], &owner,
                       reply->record_version))
    return DECIDE_KEY_NOT_OWNER;
  if (entry != NULL && entry->expires > now
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
    keys_merge (keys, entry, outcome->state, outcome);
}

/* Whether the loss of this instance would lose the entry.  A request that has
   not begun, or did not run, may be claimed anew.  */
static bool
needs_copy (const keys_entry_t *entry, const keys_member_t *holders,
            uint32_t count)
{
  return entry->serving && entry->confirmed
         && entry->state != DECIDE_KEY_STATE_NOT_RUN
         && !(entry->copied && is_listed (holders, count, &entry->copy));
}

/* Slices whose previous owners' entries are all known here.  */
static uint32_t
list_certain (const keys_t *keys, clock_ms_t now)
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

static void
find_uncopied (keys_t *keys, clock_ms_t now, const keys_member_t *holders,
               uint32_t count)
{
  GHashTableIter iter;
  void *value;

  g_array_set_size (keys->uncopied, 0);
  keys->copied_slices = 0;
  if (count == 0)
    return;
  keys->copies = keys_hash_members (holders, count);
  keys->copied_slices = list_certain (keys, now);
  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const keys_entry_t *entry = value;

      if (needs_copy (entry, holders, count))
        keys->copied_slices &= ~(1U << entry->slice);
      if (entry->serving && !entry->copy_due
          && !is_listed (holders, count, &entry->copy))
        g_array_append_val (keys->uncopied, entry->key);
    }
}

/* Entries without a copy at a member that may hold one are copied again.  */
void
keys_renew_copies (keys_t *keys, clock_ms_t now)
{
  keys_member_t holders[DECIDE_MEMBERS_MAX] = { 0 };
  uint32_t sent = 0;

  if (now - keys->checked >= CHECK_MS)
    {
      uint32_t count = list_holders (keys, holders);

      keys->checked = now;
      if (memcmp (holders, keys->holders, sizeof holders) != 0
          || now - keys->found >= FIND_MS)
        {
          memcpy (keys->holders, holders, sizeof holders);
          keys->found = now;
          find_uncopied (keys, now, holders, count);
        }
    }
  while (keys->uncopied->len > 0 && sent < COPY_BATCH)
    {
      uint32_t last = keys->uncopied->len - 1;
      keys_entry_t *entry = keys_find_entry (
          keys, &g_array_index (keys->uncopied, decide_key_t, last));

      g_array_set_size (keys->uncopied, last);
      if (entry == NULL || !entry->serving || entry->copy_due
          || is_listed (keys->holders, DECIDE_MEMBERS_MAX, &entry->copy))
        continue;
      keys_start_copy (keys, now, entry);
      sent++;
    }
}
