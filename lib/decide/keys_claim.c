#include "keys_state.h"

/* For this time after a collection starts, a claim of a key that the table may
   lack is answered with NOT_OWNER, and the requester sends it again.  Later
   the answer is UNCERTAIN.  */
#define COLLECT_GRACE_MS 300

static bool may_lack_claims (const keys_t *keys, clock_ms_t now,
                             uint32_t index, clock_ms_t retention_ms);
static void refuse_claim (keys_t *keys, decide_id_t to,
                          const decide_msg_key_t *claim,
                          decide_key_status_t status);
static void refuse_uncertain (keys_t *keys, clock_ms_t now, decide_id_t to,
                              const decide_msg_key_t *claim);
static void handle_known_key (keys_t *keys, clock_ms_t now,
                              keys_entry_t *entry, const keys_member_t *from,
                              const decide_msg_key_t *msg);
static void start_claim (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                         const keys_member_t *from,
                         const decide_msg_key_t *msg);
static void add_waiter (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                        const keys_member_t *from,
                        const decide_msg_key_t *msg);

void
keys_reply (keys_t *keys, const keys_entry_t *entry, decide_id_t to,
            uint64_t request, decide_key_status_t status)
{
  decide_msg_t msg
      = keys_create_message (keys, DECIDE_MSG_KEY_CLAIM_REPLY, entry);

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

/* Whether the table may lack claims that were made in the last @retention_ms,
   because a member has not sent its copies or has lost them in a
   restart.  */
static bool
may_lack_claims (const keys_t *keys, clock_ms_t now, uint32_t index,
                 clock_ms_t retention_ms)
{
  const keys_slice_t *slice = &keys->slices[index];

  return slice->unknown_before >= 0
         && now < slice->unknown_before + retention_ms;
}

/* Replies to a claim of a key that may be missing from the table: with
   NOT_OWNER at the start of a collection, after which the requester sends its
   claim again, later with UNCERTAIN.  */
static void
refuse_uncertain (keys_t *keys, clock_ms_t now, decide_id_t to,
                  const decide_msg_key_t *claim)
{
  const keys_slice_t *slice = &keys->slices[keys_slice_index (&claim->key)];
  bool collecting
      = slice->collecting && now - slice->serving_since < COLLECT_GRACE_MS;

  refuse_claim (keys, to, claim,
                collecting ? DECIDE_KEY_NOT_OWNER : DECIDE_KEY_UNCERTAIN);
}

void
keys_handle_claim (keys_t *keys, clock_ms_t now, const keys_member_t *from,
                   const decide_msg_key_t *msg)
{
  uint32_t index = keys_slice_index (&msg->key);
  keys_entry_t *entry;

  if (!keys->slices[index].serving
      || !keys->callbacks.has_valid_lease (keys->callbacks.context, index))
    {
      refuse_claim (keys, from->id, msg, DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry = keys_find_entry (keys, &msg->key);
  if (entry != NULL && entry->expires_at <= now)
    {
      keys_remove_entry (keys, entry);
      entry = NULL;
    }
  if (entry != NULL)
    {
      handle_known_key (keys, now, entry, from, msg);
      return;
    }
  /* The group that served the service before may have let a request with the
     key run.  */
  if (msg->moved_ms > 0)
    {
      refuse_claim (keys, from->id, msg, DECIDE_KEY_UNCERTAIN);
      return;
    }
  if (may_lack_claims (keys, now, index, msg->retention_ms))
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

/* Accepts a claim.  The lease is checked again, because the claim may have
   waited long for the outcome of another claim.  */
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
  entry->request_deadline = now + msg->left_ms;
  entry->run_allowed = false;
  if (keys_can_hold_copies (keys, from))
    keys_allow_run_with_copy (keys, now, entry, from);
  else
    keys_start_copy (keys, now, entry);
}

/* Adds a claim to those that wait for the outcome of the entry's request,
   unless it waits already.  */
static void
add_waiter (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
            const keys_member_t *from, const decide_msg_key_t *msg)
{
  keys_waiter_t waiter = { .instance = *from,
                           .request = msg->request,
                           .deadline = now + msg->left_ms };

  if (entry->waiters == NULL)
    entry->waiters = g_array_new (FALSE, FALSE, sizeof (keys_waiter_t));
  for (uint32_t i = 0; i < entry->waiters->len; i++)
    {
      const keys_waiter_t *existing
          = &g_array_index (entry->waiters, keys_waiter_t, i);

      if (keys_is_same_member (&existing->instance, from)
          && existing->request == msg->request)
        return;
    }
  g_array_append_val (entry->waiters, waiter);
  keys_add_to_tick_list (keys, entry);
}

/* Handles a claim whose key has an entry.  Depending on the state of the
   entry, it replies, accepts the claim, or adds it to the claims that wait for
   the outcome of the entry's request.  */
static void
handle_known_key (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
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
      /* Another group that served the key in the meantime may have let a
         request run.  */
      if (msg->moved_ms > 0)
        {
          refuse_claim (keys, from->id, msg, DECIDE_KEY_UNCERTAIN);
          break;
        }
      /* A previous owner may have let a later request run.  */
      if (may_lack_claims (keys, now, entry->slice, msg->retention_ms))
        {
          refuse_uncertain (keys, now, from->id, msg);
          break;
        }
      start_claim (keys, now, entry, from, msg);
      break;
    case DECIDE_KEY_STATE_CLAIMED:
      if (entry->runner != from->id || entry->request != msg->request)
        add_waiter (keys, now, entry, from, msg);
      /* A previous owner may have let another request run.  */
      else if (may_lack_claims (keys, now, entry->slice, msg->retention_ms))
        refuse_uncertain (keys, now, from->id, msg);
      else
        keys_handle_repeated_claim (keys, now, entry, from);
      break;
    }
}

void
keys_reply_to_waiters (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  GArray *waiters = entry->waiters;

  if (waiters == NULL)
    return;
  entry->waiters = NULL;
  for (uint32_t i = 0; i < waiters->len; i++)
    {
      const keys_waiter_t *waiter = &g_array_index (waiters, keys_waiter_t, i);
      decide_msg_key_t claim = { .request = waiter->request,
                                 .retention_ms = entry->expires_at - now,
                                 .slice = entry->slice,
                                 .key = entry->key,
                                 .left_ms = waiter->deadline - now };

      if (waiter->deadline <= now)
        keys_reply (keys, entry, waiter->instance.id, waiter->request,
                    DECIDE_KEY_IN_PROGRESS);
      else
        handle_known_key (keys, now, entry, &waiter->instance, &claim);
    }
  g_array_free (waiters, TRUE);
}

void
keys_end_claim (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  keys_start_copy (keys, now, entry);
  keys_reply_to_waiters (keys, now, entry);
}

/* Whether an outcome changes the state of the entry.  DONE and UNKNOWN apply
   even if the entry has the claim of another request, because a request with
   the key ran or may have run.  NOT_RUN applies only to the claim of the same
   request.  */
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

  if (!keys->slices[keys_slice_index (&msg->key)].serving)
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
      bool holder_has_outcome
          = entry->request == msg->request
            && keys_is_same_member (&entry->copy_holder, from);

      keys_set_state (keys, entry, msg->state, msg);
      /* The requester is the copy holder and has recorded the outcome in its
         copy.  */
      if (holder_has_outcome)
        keys_reply_to_waiters (keys, now, entry);
      else
        keys_end_claim (keys, now, entry);
    }
  ack.u.key.key = msg->key;
  ack.u.key.slice = msg->slice;
  ack.u.key.request = msg->request;
  ack.u.key.state = msg->state;
  keys->callbacks.send (keys->callbacks.context, from->id, &ack);
}
