#include "keys_state.h"

/* Interval at which the next page is requested again from each source that has
   not sent all its pages.  */
#define COLLECT_RESEND_MS 500
/* Maximum number of entries sent in reply to one KEY_COLLECT.  A slice has
   thousands of entries.  Without pages, each try overflowed the queue of 1,024
   messages to a peer, so that the collection never ended.  */
#define PAGE_ENTRIES_MAX 128
/* When the previous owner has sent no page for this time, the entries are
   collected from the other members instead.  */
#define HANDOVER_TIMEOUT_MS 2000
/* decide_msg_key_t.running_ms of an owner whose table never lacked an entry of
   the slice; longer than any retention time.  */
#define COMPLETE_ALWAYS_MS INT64_C (1000000000)

static void update_fence (keys_slice_t *slice, const keys_member_t *from,
                          uint64_t record_version);
static void request_page (keys_t *keys, const keys_slice_t *slice,
                          uint32_t index, keys_source_t *source);
static void set_entries_serving (keys_t *keys, uint32_t index, bool serving);
static uint64_t hash_expected_holders (const keys_t *keys,
                                       const keys_slice_t *slice,
                                       const keys_member_t *others,
                                       uint32_t count);
static void set_sources (keys_t *keys, keys_slice_t *slice);
static void update_unknown_before (keys_slice_t *slice);

/* Makes this instance refuse copies from owners before the one that collects
   the slice's entries.  The record version is the fencing token.  */
static void
update_fence (keys_slice_t *slice, const keys_member_t *from,
              uint64_t record_version)
{
  if (record_version > slice->fence_version
      || (record_version == slice->fence_version && slice->collector.id == 0))
    {
      slice->fence_version = record_version;
      slice->collector = *from;
    }
  else if (record_version == slice->fence_version
           && !keys_is_same_member (&slice->collector, from))
    /* Two instances collected at the same version.  The order in which they
       became owners is not known, so keys_store_claim_copy() accepts replies
       of neither.  */
    slice->collector.incarnation = 0;
}

void
keys_handle_collect (keys_t *keys, clock_ms_t now, const keys_member_t *from,
                     const decide_msg_key_t *msg)
{
  keys_slice_t *slice = &keys->slices[msg->slice];
  decide_msg_t end_reply = { .type = DECIDE_MSG_KEY_COLLECT_REPLY,
                             .incarnation = keys->incarnation };
  uint32_t count = 0;
  const GList *link;

  update_fence (slice, from, msg->record_version);
  end_reply.u.key.after = msg->after;
  for (link = slice->entries.head; link != NULL && count < PAGE_ENTRIES_MAX;
       link = link->next)
    {
      const keys_entry_t *entry = link->data;
      decide_msg_t entry_reply;

      if (entry->sequence <= msg->after || entry->expires_at <= now)
        continue;
      end_reply.u.key.after = entry->sequence;
      entry_reply
          = keys_create_message (keys, DECIDE_MSG_KEY_COLLECT_REPLY, entry);
      entry_reply.u.key.round = msg->round;
      entry_reply.u.key.request = entry->request;
      entry_reply.u.key.runner = entry->runner;
      entry_reply.u.key.more = true;
      entry_reply.u.key.retention_ms = entry->expires_at - now;
      entry_reply.u.key.left_ms = entry->request_deadline - now;
      keys->callbacks.send (keys->callbacks.context, from->id, &entry_reply);
      count++;
    }
  end_reply.u.key.slice = msg->slice;
  end_reply.u.key.round = msg->round;
  end_reply.u.key.empty = true;
  end_reply.u.key.more = link != NULL;
  /* In the last reply of a page, left_ms holds the number of entries before
     it, by which the collector detects lost messages.  */
  end_reply.u.key.left_ms = count;
  end_reply.u.key.running_ms = now - keys->started_at;
  end_reply.u.key.copies
      = keys_get_reported_hash (keys, msg->runner, msg->slice);
  /* The owner, or a former owner that stopped serving less than
     AUTHORITATIVE_MS ago, has all entries except those that it could not
     collect itself.  */
  if (slice->serving || now - slice->serving_ended_at < AUTHORITATIVE_MS)
    {
      end_reply.u.key.authoritative = true;
      end_reply.u.key.running_ms = slice->unknown_before < 0
                                       ? COMPLETE_ALWAYS_MS
                                       : now - slice->unknown_before;
    }
  keys->callbacks.send (keys->callbacks.context, from->id, &end_reply);
}

/* Sets slice->unknown_before to the latest time before which claims may be
   missing, from this instance's own copies and from those of all sources, and
   slice->collecting to whether a source has not sent all its pages.  */
static void
update_unknown_before (keys_slice_t *slice)
{
  clock_ms_t latest = slice->copies_intact ? -1 : slice->own_complete_since;
  bool waiting = false;

  for (uint32_t i = 0; i < slice->source_count; i++)
    {
      const keys_source_t *source = &slice->sources[i];
      clock_ms_t missing_before
          = source->finished ? source->complete_since : slice->serving_since;

      if (slice->copies_intact && source->finished && !source->restarted)
        missing_before = -1;
      waiting |= !source->finished;
      if (missing_before > latest)
        latest = missing_before;
    }
  slice->unknown_before = latest;
  slice->collecting = waiting;
}

void
keys_handle_collect_reply (keys_t *keys, clock_ms_t now,
                           const keys_member_t *from,
                           const decide_msg_key_t *msg)
{
  keys_slice_t *slice = &keys->slices[msg->slice];
  keys_source_t *source = NULL;
  keys_entry_t *entry;

  if (!slice->collecting || msg->round != slice->round)
    return;
  for (uint32_t i = 0; i < slice->source_count; i++)
    if (slice->sources[i].member.id == from->id)
      source = &slice->sources[i];
  if (source == NULL || source->finished)
    return;
  if (msg->empty)
    {
      /* Entries of the page were lost; keys_tick_collect() requests it
         again.  */
      if (msg->left_ms != source->page_entries)
        return;
      slice->last_page_at = now;
      if (msg->more)
        {
          source->after = msg->after;
          request_page (keys, slice, msg->slice, source);
          return;
        }
      if (slice->origin == KEYS_HANDED_OVER && !msg->authoritative)
        {
          slice->origin = KEYS_TAKEN_OVER;
          set_sources (keys, slice);
          return;
        }
      source->finished = true;
      source->restarted = from->incarnation != source->member.incarnation;
      slice->copies_intact
          |= msg->copies != 0 && msg->copies == slice->expected_holders_hash;
      source->complete_since = now - msg->running_ms;
      update_unknown_before (slice);
      return;
    }
  source->page_entries++;
  if (keys_slice_index (&msg->key) != msg->slice)
    return;
  entry = keys_find_entry (keys, &msg->key);
  if (entry == NULL)
    {
      entry = keys_add_entry (keys, now, msg);
      entry->state = msg->state;
      entry->request = msg->request;
    }
  if (entry->state == DECIDE_KEY_STATE_CLAIMED
      && msg->state == DECIDE_KEY_STATE_CLAIMED
      && entry->request != msg->request)
    {
      /* One of the two claims was accepted by a stale owner.  It is not known
         which one, so neither request may start to run from now on.  */
      entry->request = 0;
      entry->runner = 0;
    }
  else if (keys_state_rank (msg->state) >= keys_state_rank (entry->state))
    {
      keys_set_state (keys, entry, msg->state, msg);
      entry->request = msg->request;
      entry->runner = msg->runner;
    }
  entry->serving = true;
  entry->run_allowed = true;
  keys_add_to_tick_list (keys, entry);
}

/* Returns the hash of all current members except the previous owner.  It
   equals the hash that the previous owner reported last if the members that
   held the copies of its entries at that time are the current ones.  */
static uint64_t
hash_expected_holders (const keys_t *keys, const keys_slice_t *slice,
                       const keys_member_t *others, uint32_t count)
{
  keys_member_t holders[DECIDE_MEMBERS_MAX];
  uint32_t holder_count = 0;

  for (uint32_t i = 0; i < count; i++)
    if (others[i].id != slice->previous_owner)
      holders[holder_count++] = others[i];
  if (slice->previous_owner != keys->callbacks.self
      && holder_count < DECIDE_MEMBERS_MAX)
    holders[holder_count++]
        = (keys_member_t){ keys->callbacks.self, keys->incarnation };
  return keys_hash_members (holders, holder_count);
}

/* Chooses the members to collect from: the previous owner after a handover,
   otherwise all other members except the previous owner.  */
static void
set_sources (keys_t *keys, keys_slice_t *slice)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  uint32_t count = keys->callbacks.list_other_members (
      keys->callbacks.context, others, DECIDE_MEMBERS_MAX);
  bool handed_over = slice->origin == KEYS_HANDED_OVER;

  slice->copies_intact = false;
  slice->source_count = 0;
  slice->unknown_before = slice->own_complete_since = -1;
  if (slice->origin == KEYS_FIRST_OWNER)
    return;
  if (!handed_over)
    {
      /* Copies that an earlier process of this instance may have held are
         lost.  */
      slice->own_complete_since = keys->started_at;
      slice->expected_holders_hash
          = hash_expected_holders (keys, slice, others, count);
      slice->copies_intact
          = slice->expected_holders_hash
            == keys_get_reported_hash (keys, slice->previous_owner,
                                       (uint32_t)(slice - keys->slices));
    }
  for (uint32_t i = 0; i < count; i++)
    if ((others[i].id == slice->previous_owner) == handed_over)
      slice->sources[slice->source_count++]
          = (keys_source_t){ .member = others[i] };
  update_unknown_before (slice);
}

/* Sets @serving of a slice's entries.  At the start of serving, their requests
   may have run already, and no member is known to have copies of them.  */
static void
set_entries_serving (keys_t *keys, uint32_t index, bool serving)
{
  for (GList *link = keys->slices[index].entries.head; link != NULL;
       link = link->next)
    {
      keys_entry_t *entry = link->data;

      entry->serving = serving;
      if (!serving)
        continue;
      entry->run_allowed = true;
      entry->copy_holder = (keys_member_t){ 0 };
      entry->copy_pending = entry->claim_copied = false;
      keys_add_to_tick_list (keys, entry);
    }
}

void
keys_start_serving (keys_t *keys, clock_ms_t now, uint32_t index,
                    keys_origin_t origin, decide_id_t previous_owner)
{
  keys_slice_t *slice = &keys->slices[index];
  uint64_t version = keys->callbacks.record_version (keys->callbacks.context);

  slice->serving = true;
  slice->serving_since = slice->last_page_at = now;
  slice->collect_sent_at = now - COLLECT_RESEND_MS;
  slice->origin = origin;
  slice->previous_owner = previous_owner;
  /* The previous owner's replies to claims are refused from now on, also after
     this instance stops serving the slice.  */
  if (slice->fence_version <= version)
    {
      slice->fence_version = version;
      slice->collector = (keys_member_t){ 0 };
    }
  set_entries_serving (keys, index, true);
  set_sources (keys, slice);
  keys_tick_collect (keys, now, index);
}

void
keys_stop_serving (keys_t *keys, clock_ms_t now, uint32_t index)
{
  keys_slice_t *slice = &keys->slices[index];

  if (slice->serving)
    slice->serving_ended_at = now;
  slice->serving = false;
  slice->collecting = false;
  set_entries_serving (keys, index, false);
}

/* Requests the page that follows the entry with sequence number
   source->after.  */
static void
request_page (keys_t *keys, const keys_slice_t *slice, uint32_t index,
              keys_source_t *source)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_KEY_COLLECT, .incarnation = keys->incarnation };

  source->page_entries = 0;
  msg.u.key.slice = index;
  msg.u.key.round = slice->round;
  msg.u.key.after = source->after;
  msg.u.key.runner = slice->previous_owner;
  msg.u.key.record_version
      = keys->callbacks.record_version (keys->callbacks.context);
  keys->callbacks.send (keys->callbacks.context, source->member.id, &msg);
}

void
keys_tick_collect (keys_t *keys, clock_ms_t now, uint32_t index)
{
  keys_slice_t *slice = &keys->slices[index];

  if (!slice->collecting || now - slice->collect_sent_at < COLLECT_RESEND_MS)
    return;
  if (slice->origin == KEYS_HANDED_OVER
      && now - slice->last_page_at >= HANDOVER_TIMEOUT_MS)
    {
      slice->origin = KEYS_TAKEN_OVER;
      set_sources (keys, slice);
    }
  slice->collect_sent_at = now;
  slice->round = ++keys->last_round;
  for (uint32_t i = 0; i < slice->source_count; i++)
    if (!slice->sources[i].finished)
      request_page (keys, slice, index, &slice->sources[i]);
}
