#include "keys_state.h"

#define COLLECT_RESEND_MS 500
/* Entries in reply to one KEY_COLLECT.  A slice has thousands; without pages
   they overflowed the 1,024 messages that may wait for a peer, again at each
   try, and the collection never ended.  */
#define PAGE_ENTRIES 128
/* A previous owner that has not answered in this time is given up, and the
   entries are collected from the other members.  */
#define HANDOVER_MS 2000
/* Longer than any retention.  */
#define RUNNING_ALWAYS_MS INT64_C (1000000000)

static void note_collector (keys_slice_t *slice, const keys_member_t *from,
                            uint64_t record_version);
static void ask_source (keys_t *keys, const keys_slice_t *slice,
                        uint32_t index, keys_source_t *source);
static void serve_entries (keys_t *keys, uint32_t index, bool serving);
static uint64_t expected_copies (const keys_t *keys, const keys_slice_t *slice,
                                 const keys_member_t *others, uint32_t count);
static void set_sources (keys_t *keys, keys_slice_t *slice);
static void update_unknown_before (keys_slice_t *slice);

static void
note_collector (keys_slice_t *slice, const keys_member_t *from,
                uint64_t record_version)
{
  if (record_version > slice->barrier
      || (record_version == slice->barrier && slice->collector.id == 0))
    {
      slice->barrier = record_version;
      slice->collector = *from;
    }
  else if (record_version == slice->barrier
           && !keys_same_member (&slice->collector, from))
    /* Which of two came last is not known, so neither is believed.  */
    slice->collector.incarnation = 0;
}

void
keys_handle_collect (keys_t *keys, clock_ms_t now, const keys_member_t *from,
                     const decide_msg_key_t *msg)
{
  keys_slice_t *slice = &keys->slices[msg->slice];
  decide_msg_t end = { .type = DECIDE_MSG_KEY_COLLECT_REPLY,
                       .incarnation = keys->incarnation };
  uint32_t count = 0;
  const GList *link;

  note_collector (slice, from, msg->record_version);
  end.u.key.after = msg->after;
  for (link = slice->entries.head; link != NULL && count < PAGE_ENTRIES;
       link = link->next)
    {
      const keys_entry_t *entry = link->data;
      decide_msg_t part;

      if (entry->sequence <= msg->after || entry->expires <= now)
        continue;
      end.u.key.after = entry->sequence;
      part = keys_entry_message (keys, DECIDE_MSG_KEY_COLLECT_REPLY, entry);
      part.u.key.round = msg->round;
      part.u.key.request = entry->request;
      part.u.key.runner = entry->runner;
      part.u.key.more = true;
      part.u.key.retention_ms = entry->expires - now;
      part.u.key.left_ms = entry->run_until - now;
      keys->callbacks.send (keys->callbacks.context, from->id, &part);
      count++;
    }
  end.u.key.slice = msg->slice;
  end.u.key.round = msg->round;
  end.u.key.empty = true;
  end.u.key.more = link != NULL;
  /* The last reply states how many came before it.  */
  end.u.key.left_ms = count;
  end.u.key.running_ms = now - keys->started;
  end.u.key.copies = keys_stated (keys, msg->runner, msg->slice);
  /* The owner, or the last one, knows all entries but those that it could
     not collect itself.  */
  if (slice->serving || now - slice->lost < HANDED_MS)
    {
      end.u.key.authoritative = true;
      end.u.key.running_ms = slice->unknown_before < 0
                                 ? RUNNING_ALWAYS_MS
                                 : now - slice->unknown_before;
    }
  keys->callbacks.send (keys->callbacks.context, from->id, &end);
}

static void
update_unknown_before (keys_slice_t *slice)
{
  clock_ms_t latest = slice->kept ? -1 : slice->own_started;
  bool waiting = false;

  for (uint32_t i = 0; i < slice->source_count; i++)
    {
      const keys_source_t *source = &slice->sources[i];
      clock_ms_t before = source->answered ? source->started : slice->gained;

      if (slice->kept && source->answered && !source->restarted)
        before = -1;
      waiting |= !source->answered;
      if (before > latest)
        latest = before;
    }
  slice->unknown_before = latest;
  slice->collecting = waiting;
}

void
keys_collect_reply (keys_t *keys, clock_ms_t now, const keys_member_t *from,
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
  if (source == NULL || source->answered)
    return;
  if (msg->empty)
    {
      if (msg->left_ms != source->received)
        return;
      slice->progressed = now;
      if (msg->more)
        {
          source->after = msg->after;
          ask_source (keys, slice, msg->slice, source);
          return;
        }
      if (slice->origin == KEYS_HANDED_OVER && !msg->authoritative)
        {
          slice->origin = KEYS_TAKEN_OVER;
          set_sources (keys, slice);
          return;
        }
      source->answered = true;
      source->restarted = from->incarnation != source->member.incarnation;
      slice->kept |= msg->copies != 0 && msg->copies == slice->copies;
      source->started = now - msg->running_ms;
      update_unknown_before (slice);
      return;
    }
  source->received++;
  if (keys_slice (&msg->key) != msg->slice)
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
      /* One of the two is a claim of an owner that was replaced.  Which one
         may run is not known, so neither may that has not begun.  */
      entry->request = 0;
      entry->runner = 0;
    }
  else if (keys_state_rank (msg->state) >= keys_state_rank (entry->state))
    {
      keys_merge (keys, entry, msg->state, msg);
      entry->request = msg->request;
      entry->runner = msg->runner;
    }
  entry->serving = true;
  entry->confirmed = true;
  keys_activate (keys, entry);
}

/* What the previous owner stated if the members that held copies then are
   those of today.  */
static uint64_t
expected_copies (const keys_t *keys, const keys_slice_t *slice,
                 const keys_member_t *others, uint32_t count)
{
  keys_member_t holders[DECIDE_MEMBERS_MAX];
  uint32_t held = 0;

  for (uint32_t i = 0; i < count; i++)
    if (others[i].id != slice->previous)
      holders[held++] = others[i];
  if (slice->previous != keys->callbacks.self && held < DECIDE_MEMBERS_MAX)
    holders[held++]
        = (keys_member_t){ keys->callbacks.self, keys->incarnation };
  return keys_hash_members (holders, held);
}

/* Sets the members that a collection waits for.  */
static void
set_sources (keys_t *keys, keys_slice_t *slice)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  uint32_t count = keys->callbacks.others (keys->callbacks.context, others,
                                           DECIDE_MEMBERS_MAX);
  bool handed = slice->origin == KEYS_HANDED_OVER;

  slice->kept = false;
  slice->source_count = 0;
  slice->unknown_before = slice->own_started = -1;
  if (slice->origin == KEYS_FIRST_OWNER)
    return;
  /* An earlier process of this instance may have held copies.  */
  if (!handed)
    {
      slice->own_started = keys->started;
      slice->copies = expected_copies (keys, slice, others, count);
      slice->kept = slice->copies
                    == keys_stated (keys, slice->previous,
                                    (uint32_t)(slice - keys->slices));
    }
  for (uint32_t i = 0; i < count; i++)
    if ((others[i].id == slice->previous) == handed)
      slice->sources[slice->source_count++]
          = (keys_source_t){ .member = others[i] };
  update_unknown_before (slice);
}

static void
serve_entries (keys_t *keys, uint32_t index, bool serving)
{
  for (GList *link = keys->slices[index].entries.head; link != NULL;
       link = link->next)
    {
      keys_entry_t *entry = link->data;

      entry->serving = serving;
      if (!serving)
        continue;
      entry->confirmed = true;
      entry->copy = (keys_member_t){ 0 };
      entry->copy_due = entry->copied = false;
      keys_activate (keys, entry);
    }
}

void
keys_start_serving (keys_t *keys, clock_ms_t now, uint32_t index,
                    keys_origin_t origin, decide_id_t previous)
{
  keys_slice_t *slice = &keys->slices[index];
  uint64_t version = keys->callbacks.record_version (keys->callbacks.context);

  slice->serving = true;
  slice->gained = slice->progressed = now;
  slice->asked = now - COLLECT_RESEND_MS;
  slice->origin = origin;
  slice->previous = previous;
  /* Replies of the previous owner are void, also after this one's time.  */
  if (slice->barrier <= version)
    {
      slice->barrier = version;
      slice->collector = (keys_member_t){ 0 };
    }
  serve_entries (keys, index, true);
  set_sources (keys, slice);
  keys_tick_collect (keys, now, index);
}

void
keys_stop_serving (keys_t *keys, clock_ms_t now, uint32_t index)
{
  keys_slice_t *slice = &keys->slices[index];

  if (slice->serving)
    slice->lost = now;
  slice->serving = false;
  slice->collecting = false;
  serve_entries (keys, index, false);
}

/* Asks for the next page.  */
static void
ask_source (keys_t *keys, const keys_slice_t *slice, uint32_t index,
            keys_source_t *source)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_KEY_COLLECT, .incarnation = keys->incarnation };

  source->received = 0;
  msg.u.key.slice = index;
  msg.u.key.round = slice->round;
  msg.u.key.after = source->after;
  msg.u.key.runner = slice->previous;
  msg.u.key.record_version
      = keys->callbacks.record_version (keys->callbacks.context);
  keys->callbacks.send (keys->callbacks.context, source->member.id, &msg);
}

void
keys_tick_collect (keys_t *keys, clock_ms_t now, uint32_t index)
{
  keys_slice_t *slice = &keys->slices[index];

  if (!slice->collecting || now - slice->asked < COLLECT_RESEND_MS)
    return;
  if (slice->origin == KEYS_HANDED_OVER
      && now - slice->progressed >= HANDOVER_MS)
    {
      slice->origin = KEYS_TAKEN_OVER;
      set_sources (keys, slice);
    }
  slice->asked = now;
  slice->round = ++keys->rounds;
  for (uint32_t i = 0; i < slice->source_count; i++)
    if (!slice->sources[i].answered)
      ask_source (keys, slice, index, &slice->sources[i]);
}
