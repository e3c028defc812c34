#include "keys_state.h"

/* Bounds the messages of one tick when a slice gets a new second member.  */
#define COPY_BATCH 64

/* Sends the entry to the second member; a claim waits for its
   confirmation.  */
void
keys_start_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  bool claim = entry->state == DECIDE_KEY_STATE_CLAIMED && !entry->confirmed;

  entry->copy_due = false;
  entry->copy_tries = 0;
  if (keys->callbacks.second (keys->callbacks.context, entry->slice,
                              &entry->copy))
    {
      entry->copy_due = true;
      entry->copy_tries = 1;
      entry->copy_sent = now;
      keys_activate (keys, entry);
      keys_send_copy (keys, now, entry, entry->copy.id);
      return;
    }
  if (!claim)
    return;
  if (keys->callbacks.others (keys->callbacks.context, others,
                              DECIDE_MEMBERS_MAX)
      == 0)
    {
      entry->confirmed = true;
      keys_activate (keys, entry);
      keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
      return;
    }
  entry->state = DECIDE_KEY_STATE_NOT_RUN;
  keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_NO_COPY);
}

void
keys_send_copy (keys_t *keys, clock_ms_t now, const keys_entry_t *entry,
                decide_id_t to)
{
  decide_msg_t msg = keys_entry_message (keys, DECIDE_MSG_KEY_COPY, entry);

  msg.u.key.request = entry->request;
  msg.u.key.runner = entry->runner;
  msg.u.key.retention_ms = entry->expires - now;
  msg.u.key.left_ms = entry->run_until - now;
  keys->callbacks.send (keys->callbacks.context, to, &msg);
}

/* Order in which a later state replaces an earlier one.  */
int
keys_state_rank (decide_key_state_t state)
{
  switch (state)
    {
    case DECIDE_KEY_STATE_DONE:
      return 3;
    case DECIDE_KEY_STATE_UNKNOWN:
      return 2;
    case DECIDE_KEY_STATE_CLAIMED:
      return 1;
    case DECIDE_KEY_STATE_NOT_RUN:
      break;
    }
  return 0;
}

/* Entries are kept for minutes and most answers are short, so the unused part
   of the body is left out: it would be 4 KiB for each key.  */
size_t
keys_answer_size (const decide_answer_t *answer)
{
  return offsetof (decide_answer_t, body)
         + MIN (answer->length, DECIDE_ANSWER_MAX);
}

void
keys_merge (keys_entry_t *entry, decide_key_state_t state,
            const decide_msg_key_t *msg)
{
  entry->state = state;
  if (state == DECIDE_KEY_STATE_DONE && msg->has_answer
      && entry->answer == NULL)
    entry->answer = g_memdup2 (&msg->answer, keys_answer_size (&msg->answer));
}

void
keys_handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                  const decide_msg_key_t *msg)
{
  keys_slice_t *slice = &keys->slices[keys_slice (&msg->key)];
  keys_entry_t *entry = keys_find_entry (keys, &msg->key);
  decide_msg_t ack;

  /* A copy of an owner that has been replaced would come after the
     collection of the new owner and be lost to it.  */
  if (msg->record_version < slice->barrier)
    return;
  if (entry == NULL)
    entry = keys_add_entry (keys, now, msg);
  /* A claim is withdrawn only by the request that made it; a claim that comes
     after its own outcome is a late message.  */
  if (keys_state_rank (msg->state) >= keys_state_rank (entry->state))
    {
      keys_merge (entry, msg->state, msg);
      entry->request = msg->request;
      entry->runner = msg->runner;
      entry->run_until = now + msg->left_ms;
    }
  else if (msg->state == DECIDE_KEY_STATE_NOT_RUN
           && entry->state == DECIDE_KEY_STATE_CLAIMED
           && entry->request == msg->request)
    entry->state = DECIDE_KEY_STATE_NOT_RUN;
  ack = keys_entry_message (keys, DECIDE_MSG_KEY_COPY_ACK, entry);
  ack.u.key.state = msg->state;
  ack.u.key.request = msg->request;
  ack.u.key.has_answer = false;
  keys->callbacks.send (keys->callbacks.context, from, &ack);
}

void
keys_handle_copy_ack (keys_t *keys, clock_ms_t now, decide_id_t from,
                      uint64_t incarnation, const decide_msg_key_t *msg)
{
  keys_entry_t *entry = keys_find_entry (keys, &msg->key);

  (void)now;
  if (entry == NULL || !entry->serving || entry->copy.id != from
      || entry->copy.incarnation != incarnation || msg->state != entry->state
      || msg->request != entry->request)
    return;
  entry->copy_due = false;
  if (entry->state != DECIDE_KEY_STATE_CLAIMED || entry->confirmed)
    return;
  if (!keys->callbacks.may_serve (keys->callbacks.context, entry->slice))
    {
      keys_reply (keys, entry, entry->runner, entry->request,
                  DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry->confirmed = true;
  keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
}

/* A slice whose second member has changed gets its copies renewed.  */
void
keys_renew_copies (keys_t *keys, clock_ms_t now, uint32_t index)
{
  keys_slice_t *slice = &keys->slices[index];
  keys_member_t second = { 0 };
  uint32_t sent = 0;
  GHashTableIter iter;
  void *value;

  if (!slice->serving
      || !keys->callbacks.second (keys->callbacks.context, index, &second))
    return;
  if (second.id == slice->second.id
      && second.incarnation == slice->second.incarnation)
    return;
  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value) && sent < COPY_BATCH)
    {
      keys_entry_t *entry = value;

      if (entry->slice != index || entry->copy_due
          || (entry->copy.id == second.id
              && entry->copy.incarnation == second.incarnation))
        continue;
      keys_start_copy (keys, now, entry);
      sent++;
    }
  if (sent < COPY_BATCH)
    slice->second = second;
}
