#include "keys_state.h"

/* During a collection of this length, claims are asked again rather than
   refused.  */
#define COLLECT_SHORT_MS 300

static bool slice_is_uncertain (const keys_t *keys, clock_ms_t now,
                                uint32_t index, clock_ms_t retention_ms);
static void refuse_claim (keys_t *keys, decide_id_t to,
                          const decide_msg_key_t *claim,
                          decide_key_status_t status);
static void refuse_uncertain (keys_t *keys, clock_ms_t now, decide_id_t to,
                              const decide_msg_key_t *claim);
static void reply_state (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                         const keys_member_t *from,
                         const decide_msg_key_t *msg);
static void start_claim (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                         const keys_member_t *from,
                         const decide_msg_key_t *msg);
static void wait_for_outcome (keys_t *keys, clock_ms_t now,
                              keys_entry_t *entry, const keys_member_t *from,
                              const decide_msg_key_t *msg);

void
keys_reply (keys_t *keys, const keys_entry_t *entry, decide_id_t to,
            uint64_t request, decide_key_status_t status)
{
  decide_msg_t msg
      = keys_entry_message (keys, DECIDE_MSG_KEY_CLAIM_REPLY, entry);

  msg.u.key.request = request;
  msg.u.key.status = status;
  if (status != DECIDE_KEY_ANSWERED)
    msg.u.key.has_answer = false;
  keys->callbacks.send (keys->callbacks.context, to, &msg);
}

static void
refuse_claim (keys_t *keys, decide_id_t to, const decide_msg_key_t *claim,
              decide_key_status_t status)
{
  decide_msg_t msg = { .type = DECIDE_MSG_KEY_CLAIM_REPLY,
                       .incarnation = keys->incarnation };

  msg.u.key.key = claim->key;
  msg.u.key.slice = claim->slice;
  msg.u.key.request = claim->request;
  msg.u.key.status = status;
  keys->callbacks.send (keys->callbacks.context, to, &msg);
}

/* Claims that the previous owner accepted may be missing here when a member
   has not answered, or has lost its copies by a restart.  */
static bool
slice_is_uncertain (const keys_t *keys, clock_ms_t now, uint32_t index,
                    clock_ms_t retention_ms)
{
  const keys_slice_t *slice = &keys->slices[index];

  return slice->unknown_before >= 0
         && now < slice->unknown_before + retention_ms;
}

/* During a short collection the claim is asked again rather than refused.  */
static void
refuse_uncertain (keys_t *keys, clock_ms_t now, decide_id_t to,
                  const decide_msg_key_t *claim)
{
  const keys_slice_t *slice = &keys->slices[keys_slice (&claim->key)];
  bool collecting
      = slice->collecting && now - slice->gained < COLLECT_SHORT_MS;

  refuse_claim (keys, to, claim,
                collecting ? DECIDE_KEY_NOT_OWNER : DECIDE_KEY_UNCERTAIN);
}

void
keys_handle_claim (keys_t *keys, clock_ms_t now, const keys_member_t *from,
                   const decide_msg_key_t *msg)
{
  uint32_t index = keys_slice (&msg->key);
  keys_entry_t *entry;

  if (!keys->slices[index].serving
      || !keys->callbacks.has_valid_lease (keys->callbacks.context, index))
    {
      refuse_claim (keys, from->id, msg, DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry = keys_find_entry (keys, &msg->key);
  if (entry != NULL && entry->expires <= now)
    {
      keys_remove_entry (keys, entry);
      entry = NULL;
    }
  if (entry != NULL)
    {
      reply_state (keys, now, entry, from, msg);
      return;
    }
  if (msg->moved_ms > 0)
    {
      refuse_claim (keys, from->id, msg, DECIDE_KEY_UNCERTAIN);
      return;
    }
  if (slice_is_uncertain (keys, now, index, msg->retention_ms))
    {
      refuse_uncertain (keys, now, from->id, msg);
      return;
    }
  if (keys_is_full (keys))
    {
      refuse_claim (keys, from->id, msg, DECIDE_KEY_FULL);
      return;
    }
  entry = keys_add_entry (keys, now, msg);
  entry->state = DECIDE_KEY_STATE_NOT_RUN;
  entry->serving = true;
  start_claim (keys, now, entry, from, msg);
}

/* A waiting claim may come here long after it was received, so the lease is
   checked again.  */
static void
start_claim (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
             const keys_member_t *from, const decide_msg_key_t *msg)
{
  if (!keys->callbacks.has_valid_lease (keys->callbacks.context, entry->slice))
    {
      refuse_claim (keys, from->id, msg, DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry->state = DECIDE_KEY_STATE_CLAIMED;
  entry->runner = from->id;
  entry->request = msg->request;
  entry->run_until = now + msg->left_ms;
  entry->confirmed = false;
  if (keys_may_hold (keys, from))
    keys_run_with_copy (keys, now, entry, from);
  else
    keys_start_copy (keys, now, entry);
}

static void
wait_for_outcome (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                  const keys_member_t *from, const decide_msg_key_t *msg)
{
  keys_waiter_t waiter = { .instance = *from,
                           .request = msg->request,
                           .deadline = now + msg->left_ms };

  if (entry->waiters == NULL)
    entry->waiters = g_array_new (FALSE, FALSE, sizeof (keys_waiter_t));
  for (uint32_t i = 0; i < entry->waiters->len; i++)
    {
      const keys_waiter_t *known
          = &g_array_index (entry->waiters, keys_waiter_t, i);

      if (keys_same_member (&known->instance, from)
          && known->request == msg->request)
        return;
    }
  g_array_append_val (entry->waiters, waiter);
  keys_activate (keys, entry);
}

static void
reply_state (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
             const keys_member_t *from, const decide_msg_key_t *msg)
{
  if (entry->key.body != msg->key.body)
    {
      keys_reply (keys, entry, from->id, msg->request, DECIDE_KEY_CONFLICT);
      return;
    }
  entry->serving = true;
  switch (entry->state)
    {
    case DECIDE_KEY_STATE_DONE:
      keys_reply (keys, entry, from->id, msg->request,
                  entry->answer != NULL ? DECIDE_KEY_ANSWERED
                                        : DECIDE_KEY_UNCERTAIN);
      break;
    case DECIDE_KEY_STATE_UNKNOWN:
      keys_reply (keys, entry, from->id, msg->request, DECIDE_KEY_UNCERTAIN);
      break;
    case DECIDE_KEY_STATE_NOT_RUN:
      /* The group that had the keys in between may have let it run.  */
      if (msg->moved_ms > 0)
        {
          refuse_claim (keys, from->id, msg, DECIDE_KEY_UNCERTAIN);
          break;
        }
      /* An earlier owner may have let a later request run.  */
      if (slice_is_uncertain (keys, now, entry->slice, msg->retention_ms))
        {
          refuse_uncertain (keys, now, from->id, msg);
          break;
        }
      start_claim (keys, now, entry, from, msg);
      break;
    case DECIDE_KEY_STATE_CLAIMED:
      if (entry->runner != from->id || entry->request != msg->request)
        wait_for_outcome (keys, now, entry, from, msg);
      /* An earlier owner may have let another request run.  */
      else if (slice_is_uncertain (keys, now, entry->slice, msg->retention_ms))
        refuse_uncertain (keys, now, from->id, msg);
      else
        keys_repeat_run (keys, now, entry, from);
      break;
    }
}

void
keys_answer_waiters (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  GArray *waiters = entry->waiters;

  if (waiters == NULL)
    return;
  entry->waiters = NULL;
  for (uint32_t i = 0; i < waiters->len; i++)
    {
      const keys_waiter_t *waiter = &g_array_index (waiters, keys_waiter_t, i);
      decide_msg_key_t claim = { .request = waiter->request,
                                 .retention_ms = entry->expires - now,
                                 .slice = entry->slice,
                                 .key = entry->key,
                                 .left_ms = waiter->deadline - now };

      if (waiter->deadline <= now)
        keys_reply (keys, entry, waiter->instance.id, waiter->request,
                    DECIDE_KEY_IN_PROGRESS);
      else
        reply_state (keys, now, entry, &waiter->instance, &claim);
    }
  g_array_free (waiters, TRUE);
}

/* The request of the claim has ended.  */
void
keys_settle (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  keys_start_copy (keys, now, entry);
  keys_answer_waiters (keys, now, entry);
}

/* That a request ran, or may have run, is true whatever is recorded; that it
   did not run says nothing about the claim of another request.  */
bool
keys_outcome_applies (const keys_entry_t *entry, const decide_msg_key_t *msg)
{
  if (msg->state == DECIDE_KEY_STATE_NOT_RUN)
    return entry->state == DECIDE_KEY_STATE_CLAIMED
           && entry->request == msg->request;
  return keys_state_rank (msg->state) > keys_state_rank (entry->state);
}

void
keys_handle_outcome (keys_t *keys, clock_ms_t now, const keys_member_t *from,
                     const decide_msg_key_t *msg)
{
  keys_entry_t *entry = keys_find_entry (keys, &msg->key);
  decide_msg_t ack
      = { .type = DECIDE_MSG_KEY_COPY_ACK, .incarnation = keys->incarnation };

  if (!keys->slices[keys_slice (&msg->key)].serving)
    return;
  if (entry == NULL)
    {
      entry = keys_add_entry (keys, now, msg);
      entry->serving = true;
      entry->runner = from->id;
      entry->request = msg->request;
    }
  if (keys_outcome_applies (entry, msg))
    {
      bool kept = entry->request == msg->request
                  && keys_same_member (&entry->copy, from);

      keys_merge (keys, entry, msg->state, msg);
      /* The requester has recorded the outcome in its copy.  */
      if (kept)
        keys_answer_waiters (keys, now, entry);
      else
        keys_settle (keys, now, entry);
    }
  ack.u.key.key = msg->key;
  ack.u.key.slice = msg->slice;
  ack.u.key.request = msg->request;
  ack.u.key.state = msg->state;
  keys->callbacks.send (keys->callbacks.context, from->id, &ack);
}
