#include "keys_state.h"

/* Sends the entry to its copy holder, or to a newly chosen one if that member
   may no longer hold copies.  The request of a new claim may run when the copy
   holder confirms, or at once if the group has no other member.  If no other
   member may hold copies, a new claim is refused.  */
void
keys_start_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  bool is_new_claim
      = entry->state == DECIDE_KEY_STATE_CLAIMED && !entry->run_allowed;

  entry->copy_pending = false;
  entry->copy_tries = 0;
  if (!keys_can_hold_copies (keys, &entry->copy_holder))
    entry->claim_copied = false;
  if (keys_can_hold_copies (keys, &entry->copy_holder)
      || keys->callbacks.choose_copy_holder (
          keys->callbacks.context, entry->slice, &entry->copy_holder))
    {
      entry->copy_pending = true;
      entry->copy_tries = 1;
      entry->copy_sent_at = now;
      keys_add_to_tick_list (keys, entry);
      keys_send_copy (keys, now, entry, DECIDE_MSG_KEY_COPY);
      return;
    }
  if (!is_new_claim)
    return;
  if (keys->callbacks.list_other_members (keys->callbacks.context, others,
                                          DECIDE_MEMBERS_MAX)
      == 0)
    {
      entry->run_allowed = true;
      keys_add_to_tick_list (keys, entry);
      keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
      return;
    }
  entry->state = DECIDE_KEY_STATE_NOT_RUN;
  keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_NO_COPY);
}

/* Sends the copy of an entry to its holder, as KEY_COPY or as KEY_CLAIM_REPLY
   to the requester.  */
void
keys_send_copy (keys_t *keys, clock_ms_t now, const keys_entry_t *entry,
                decide_msg_type_t type)
{
  decide_msg_t msg = keys_create_message (keys, type, entry);

  msg.u.key.status = DECIDE_KEY_RUN_WITH_COPY;
  msg.u.key.request = entry->request;
  msg.u.key.runner = entry->runner;
  msg.u.key.retention_ms = entry->expires_at - now;
  msg.u.key.left_ms = entry->request_deadline - now;
  keys->callbacks.send (keys->callbacks.context, entry->copy_holder.id, &msg);
}

/* Rank of a state: a state from a message replaces one of lower rank.  */
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

/* Only the used part of the body is stored, because entries are kept for
   minutes, most responses are short, and a whole body takes 4 KiB for each
   key.  */
size_t
keys_response_size (const decide_response_t *response)
{
  return offsetof (decide_response_t, body)
         + MIN (response->length, DECIDE_RESPONSE_MAX_BYTES);
}

/* Sets the state of an entry.  With DONE, stores the response in the message,
   unless the entry has one already.  */
void
keys_set_state (keys_t *keys, keys_entry_t *entry, decide_key_state_t state,
                const decide_msg_key_t *msg)
{
  entry->state = state;
  if (state == DECIDE_KEY_STATE_DONE && msg->has_answer
      && entry->answer == NULL)
    {
      entry->answer
          = g_memdup2 (&msg->answer, keys_response_size (&msg->answer));
      keys->bytes_used += keys_response_size (entry->answer);
    }
}

void
keys_handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                  const decide_msg_key_t *msg)
{
  keys_slice_t *slice = &keys->slices[keys_slice_index (&msg->key)];
  keys_entry_t *entry = keys_find_entry (keys, &msg->key);
  decide_msg_t ack;

  /* A copy from a former owner is ignored: the new owner has already collected
     this member's entries and would not learn of this one.  If this instance
     serves the slice itself, it also ignores copies of claims that another
     instance accepted.  */
  if (msg->record_version < slice->fence_version
      || (slice->serving && msg->state == DECIDE_KEY_STATE_CLAIMED))
    return;
  if (entry == NULL)
    {
      entry = keys_add_entry (keys, now, msg);
      entry->state = msg->state;
    }
  /* A claim that arrives after its outcome is a delayed message and changes
     nothing.  NOT_RUN withdraws a claim, but only that of the same
     request.  */
  if (keys_state_rank (msg->state) >= keys_state_rank (entry->state))
    {
      keys_set_state (keys, entry, msg->state, msg);
      entry->request = msg->request;
      entry->runner = msg->runner;
      entry->request_deadline = now + msg->left_ms;
    }
  else if (msg->state == DECIDE_KEY_STATE_NOT_RUN
           && entry->state == DECIDE_KEY_STATE_CLAIMED
           && entry->request == msg->request)
    entry->state = DECIDE_KEY_STATE_NOT_RUN;
  ack = keys_create_message (keys, DECIDE_MSG_KEY_COPY_ACK, entry);
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
      || !keys_is_same_member (&entry->copy_holder, from)
      || msg->state != entry->state || msg->request != entry->request)
    return;
  entry->copy_pending = false;
  entry->claim_copied = true;
  if (entry->state != DECIDE_KEY_STATE_CLAIMED || entry->run_allowed)
    return;
  if (!keys->callbacks.has_valid_lease (keys->callbacks.context, entry->slice))
    {
      keys_reply (keys, entry, entry->runner, entry->request,
                  DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry->run_allowed = true;
  keys_reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
}
