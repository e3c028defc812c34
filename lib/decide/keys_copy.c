#include "keys_state.h"

/* Sends the entry to the member that has its copy, or to a second member if
   that one is gone; a claim waits for its confirmation.  */
void
keys_start_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  bool claim = entry->state == DECIDE_KEY_STATE_CLAIMED && !entry->confirmed;

  entry->copy_due = false;
  entry->copy_tries = 0;
  if (!keys_may_hold (keys, &entry->copy))
    entry->copied = false;
  if (keys_may_hold (keys, &entry->copy)
      || keys->callbacks.second (keys->callbacks.context, entry->slice,
                                 &entry->copy))
    {
      entry->copy_due = true;
      entry->copy_tries = 1;
      entry->copy_sent = now;
      keys_activate (keys, entry);
      keys_send_copy (keys, now, entry, DECIDE_MSG_KEY_COPY);
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

/* Sends what a copy carries as KEY_COPY, or as reply to its requester.  */
void
keys_send_copy (keys_t *keys, clock_ms_t now, const keys_entry_t *entry,
                decide_msg_type_t type)
{
  decide_msg_t msg = keys_entry_message (keys, type, entry);

  msg.u.key.status = DECIDE_KEY_RUN_WITH_COPY;
  msg.u.key.request = entry->request;
  msg.u.key.runner = entry->runner;
  msg.u.key.retention_ms = entry->expires - now;
  msg.u.key.left_ms = entry->run_until - now;
  keys->callbacks.send (keys->callbacks.context, entry->copy.id, &msg);
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
keys_answer_size (const decide_response_t *answer)
{
  return offsetof (decide_response_t, body)
         + MIN (answer->length, DECIDE_RESPONSE_MAX_BYTES);
}

void
keys_merge (keys_t *keys, keys_entry_t *entry, decide_key_state_t state,
            const decide_msg_key_t *msg)
{
  entry->state = state;
  if (state == DECIDE_KEY_STATE_DONE && msg->has_answer
      && entry->answer == NULL)
    {
      entry->answer
          = g_memdup2 (&msg->answer, keys_answer_size (&msg->answer));
      keys->bytes += keys_answer_size (entry->answer);
    }
}

void
keys_handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                  const decide_msg_key_t *msg)
{
  keys_slice_t *slice = &keys->slices[keys_slice (&msg->key)];
  keys_entry_t *entry = keys_find_entry (keys, &msg->key);
  decide_msg_t ack;

  /* A copy of an owner that has been replaced would come after the
     collection of the new owner and be lost to it.  The owner itself takes no
     claim from another one.  */
  if (msg->record_version < slice->barrier
      || (slice->serving && msg->state == DECIDE_KEY_STATE_CLAIMED))
    return;
  if (entry == NULL)
    {
      entry = keys_add_entry (keys, now, msg);
      entry->state = msg->state;
    }
  /* A claim is withdrawn only by the request that made it; a claim that comes
     after its own outcome is a late message.  */
  if (keys_state_rank (msg->state) >= keys_state_rank (entry->state))
    {
      keys_merge (keys, entry, msg->state, msg);
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
keys_handle_copy_ack (keys_t *keys, clock_ms_t now, const keys_member_t *from,
                      const decide_msg_key_t *msg)
{
  keys_entry_t *entry = keys_find_entry (keys, &msg->key);

  (void)now;
  if (entry == NULL || !entry->serving
      || !keys_same_member (&entry->copy, from) || msg->state != entry->state
      || msg->request != entry->request)
    return;
  entry->copy_due = false;
  entry->copied = true;
  if (entry->state != DECIDE_KEY_STATE_CLAIMED || entry->confirmed)
    return;
  if (!keys->callbacks.has_valid_lease (keys->callbacks.context, entry->slice))
    {
      keys_reply (keys, entry, entry->runner, entry->request,
                  DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry->confirmed = true;
  keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
}
