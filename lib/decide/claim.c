#include "claim.h"

#include <glib.h>

#include "keys.h"

#define CLAIM_RESEND_MS 40
/* Time after which a request is refused when its claim got no reply.  It is
   longer than the time for which the owner tries to get a copy confirmed, that
   is, COPY_TRIES_MAX times COPY_RESEND_MS.  */
#define CLAIM_TIMEOUT_MS 500
#define OUTCOME_RESEND_MS 200
/* Time after which an unconfirmed outcome is no longer sent again: by then the
   owner has set the key's state to UNKNOWN by itself.  */
#define OUTCOME_TIMEOUT_MS 10000
/* Delay advised to a client whose request is refused.  A takeover of the slice
   takes seconds.  */
#define RETRY_AFTER_MS 1000

typedef enum phase
{
  PHASE_CLAIMING, /* waiting for the owner's reply to the claim */
  PHASE_RUNNING,  /* the request runs */
  PHASE_REPORTING /* waiting for the owner's confirmation of the outcome */
} phase_t;

typedef struct claim
{
  uint64_t request;
  decide_key_t key;
  uint32_t slice;
  phase_t phase;
  clock_ms_t phase_started_at;
  clock_ms_t deadline;
  clock_ms_t expires_at;      /* when the key's entry at the owner expires */
  clock_ms_t sent_at;         /* when the claim or outcome was last sent */
  decide_key_state_t outcome; /* valid in PHASE_REPORTING */
  decide_response_t *answer;  /* response to record; NULL: none */
} claim_t;

struct claims
{
  claims_callbacks_t callbacks;
  uint64_t incarnation;
  GHashTable *by_request; /* request -> claim_t */
};

static void send_claim (claims_t *claims, clock_ms_t now, claim_t *claim);
static void free_claim (gpointer data);
static void handle_reply (claims_t *claims, clock_ms_t now, claim_t *claim,
                          decide_id_t from, const decide_msg_t *msg);
static void refuse (claims_t *claims, claim_t *claim, decide_reason_t reason,
                    decide_ran_t ran, clock_ms_t retry_after_ms);
static void send_outcome (claims_t *claims, clock_ms_t now, claim_t *claim,
                          bool first);
static void start_reporting (claims_t *claims, clock_ms_t now, claim_t *claim,
                             decide_key_state_t outcome);
static bool tick_claim (claims_t *claims, clock_ms_t now, claim_t *claim);

claims_t *
claims_new (const claims_callbacks_t *callbacks, uint64_t incarnation)
{
  claims_t *claims = g_new0 (claims_t, 1);

  claims->callbacks = *callbacks;
  claims->incarnation = incarnation;
  claims->by_request
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_claim);
  return claims;
}

void
claims_free (claims_t *claims)
{
  if (claims == NULL)
    return;
  g_hash_table_destroy (claims->by_request);
  g_free (claims);
}

static void
free_claim (gpointer data)
{
  claim_t *claim = data;

  g_free (claim->answer);
  g_free (claim);
}

void
claims_start (claims_t *claims, clock_ms_t now, uint64_t request,
              const decide_key_t *key, clock_ms_t deadline,
              clock_ms_t retention_ms)
{
  claim_t *claim = g_new0 (claim_t, 1);

  claim->request = request;
  claim->key = *key;
  claim->slice = keys_slice_index (key);
  claim->phase_started_at = now;
  claim->deadline = deadline;
  claim->expires_at = now + retention_ms;
  g_hash_table_replace (claims->by_request, &claim->request, claim);
  send_claim (claims, now, claim);
}

static decide_msg_t
create_message (const claims_t *claims, clock_ms_t now, const claim_t *claim,
                decide_msg_type_t type)
{
  decide_msg_t msg = { .type = type, .incarnation = claims->incarnation };

  msg.u.key.request = claim->request;
  msg.u.key.slice = claim->slice;
  msg.u.key.key = claim->key;
  msg.u.key.left_ms = claim->deadline - now;
  msg.u.key.retention_ms = claim->expires_at - now;
  return msg;
}

static void
send_claim (claims_t *claims, clock_ms_t now, claim_t *claim)
{
  decide_id_t target = claims->callbacks.find_serving_instance (
      claims->callbacks.context, claim->slice);
  decide_msg_t msg = create_message (claims, now, claim, DECIDE_MSG_KEY_CLAIM);

  claim->sent_at = now;
  if (target != 0)
    claims->callbacks.send (claims->callbacks.context, target, &msg);
}

static void
refuse (claims_t *claims, claim_t *claim, decide_reason_t reason,
        decide_ran_t ran, clock_ms_t retry_after_ms)
{
  decide_refusal_t refusal = {
    .request = claim->request,
    .reason = reason,
    .ran = ran,
    .retry_after_ms = retry_after_ms,
  };

  claims->callbacks.refuse (claims->callbacks.context, &refusal);
}

/* Sends the outcome of a claim to the owner.  With @first, it is the first
   send, before which this instance records the outcome in its own copy of the
   claim.  */
static void
send_outcome (claims_t *claims, clock_ms_t now, claim_t *claim, bool first)
{
  decide_id_t target = claims->callbacks.find_serving_instance (
      claims->callbacks.context, claim->slice);
  decide_msg_t msg
      = create_message (claims, now, claim, DECIDE_MSG_KEY_OUTCOME);

  claim->sent_at = now;
  msg.u.key.state = claim->outcome;
  if (claim->answer != NULL)
    {
      msg.u.key.has_answer = true;
      msg.u.key.answer = *claim->answer;
    }
  if (first)
    claims->callbacks.record_outcome (claims->callbacks.context, &msg.u.key);
  if (target != 0)
    claims->callbacks.send (claims->callbacks.context, target, &msg);
}

static void
start_reporting (claims_t *claims, clock_ms_t now, claim_t *claim,
                 decide_key_state_t outcome)
{
  claim->phase = PHASE_REPORTING;
  claim->outcome = outcome;
  claim->phase_started_at = now;
  send_outcome (claims, now, claim, true);
}

void
claims_handle_message (claims_t *claims, clock_ms_t now, decide_id_t from,
                       const decide_msg_t *msg)
{
  const decide_msg_key_t *key = &msg->u.key;
  claim_t *claim = g_hash_table_lookup (claims->by_request, &key->request);

  /* A reply to an unknown request is ignored.  NOT_RUN must not be reported
     for it, because the reply may be a duplicate and the request may have
     run.  */
  if (claim == NULL || claim->key.hash[0] != key->key.hash[0]
      || claim->key.hash[1] != key->key.hash[1])
    return;
  if (msg->type == DECIDE_MSG_KEY_CLAIM_REPLY
      && claim->phase == PHASE_CLAIMING)
    handle_reply (claims, now, claim, from, msg);
  else if (msg->type == DECIDE_MSG_KEY_COPY_ACK
           && claim->phase == PHASE_REPORTING && key->state == claim->outcome)
    g_hash_table_remove (claims->by_request, &claim->request);
}

static void
handle_reply (claims_t *claims, clock_ms_t now, claim_t *claim,
              decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_key_t *key = &msg->u.key;
  decide_key_status_t copy_status;

  switch (key->status)
    {
    case DECIDE_KEY_RUN_WITH_COPY:
      copy_status = claims->callbacks.store_copy (claims->callbacks.context,
                                                  from, msg);
      if (copy_status == DECIDE_KEY_NOT_OWNER)
        return; /* claims_tick() sends the claim again */
      if (copy_status == DECIDE_KEY_FULL)
        {
          refuse (claims, claim, DECIDE_REASON_KEY_FULL, DECIDE_RAN_NO,
                  RETRY_AFTER_MS);
          start_reporting (claims, now, claim, DECIDE_KEY_STATE_NOT_RUN);
          return;
        }
      G_GNUC_FALLTHROUGH;
    case DECIDE_KEY_RUN:
      claim->phase = PHASE_RUNNING;
      claims->callbacks.run (claims->callbacks.context, claim->request);
      return;
    case DECIDE_KEY_NOT_OWNER:
      return; /* claims_tick() sends the claim to the owner known then */
    case DECIDE_KEY_ANSWERED:
      claims->callbacks.replay (claims->callbacks.context, claim->request,
                                &key->answer);
      break;
    case DECIDE_KEY_IN_PROGRESS:
      refuse (claims, claim, DECIDE_REASON_KEY_IN_PROGRESS, DECIDE_RAN_UNKNOWN,
              RETRY_AFTER_MS);
      break;
    case DECIDE_KEY_CONFLICT:
      refuse (claims, claim, DECIDE_REASON_KEY_CONFLICT, DECIDE_RAN_NO, 0);
      break;
    case DECIDE_KEY_UNCERTAIN:
      refuse (claims, claim, DECIDE_REASON_KEY_UNCERTAIN, DECIDE_RAN_UNKNOWN,
              RETRY_AFTER_MS);
      break;
    case DECIDE_KEY_FULL:
      refuse (claims, claim, DECIDE_REASON_KEY_FULL, DECIDE_RAN_NO,
              RETRY_AFTER_MS);
      break;
    case DECIDE_KEY_NO_COPY:
      refuse (claims, claim, DECIDE_REASON_KEY_NO_COPY, DECIDE_RAN_NO,
              RETRY_AFTER_MS);
      break;
    }
  g_hash_table_remove (claims->by_request, &claim->request);
}

void
claims_finish (claims_t *claims, clock_ms_t now, uint64_t request,
               decide_key_state_t outcome, const decide_response_t *answer)
{
  claim_t *claim = g_hash_table_lookup (claims->by_request, &request);

  if (claim == NULL || claim->phase != PHASE_RUNNING)
    return;
  if (answer != NULL)
    claim->answer = g_memdup2 (answer, sizeof *answer);
  start_reporting (claims, now, claim, outcome);
}

bool
claims_cancel (claims_t *claims, clock_ms_t now, uint64_t request)
{
  claim_t *claim = g_hash_table_lookup (claims->by_request, &request);

  if (claim == NULL)
    return false;
  if (claim->phase != PHASE_CLAIMING)
    return true;
  start_reporting (claims, now, claim, DECIDE_KEY_STATE_NOT_RUN);
  return false;
}

/* Sends a claim or outcome again when that is due, and ends a claim that has
   timed out.
   Return: false when the claim is to be removed.  */
static bool
tick_claim (claims_t *claims, clock_ms_t now, claim_t *claim)
{
  switch (claim->phase)
    {
    case PHASE_RUNNING:
      return true;
    case PHASE_REPORTING:
      if (now - claim->phase_started_at >= OUTCOME_TIMEOUT_MS)
        return false;
      if (now - claim->sent_at >= OUTCOME_RESEND_MS)
        send_outcome (claims, now, claim, false);
      return true;
    case PHASE_CLAIMING:
      break;
    }
  if (now >= claim->deadline
      || now - claim->phase_started_at >= CLAIM_TIMEOUT_MS)
    {
      /* Without a reply from the owner it is not known whether an earlier
         request with this key ran.  */
      refuse (claims, claim, DECIDE_REASON_KEY_UNCERTAIN, DECIDE_RAN_UNKNOWN,
              RETRY_AFTER_MS);
      start_reporting (claims, now, claim, DECIDE_KEY_STATE_NOT_RUN);
    }
  else if (now - claim->sent_at >= CLAIM_RESEND_MS)
    send_claim (claims, now, claim);
  return true;
}

clock_ms_t
claims_tick (claims_t *claims, clock_ms_t now)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, claims->by_request);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!tick_claim (claims, now, value))
      g_hash_table_iter_remove (&iter);
  return g_hash_table_size (claims->by_request) > 0 ? now + CLAIM_RESEND_MS / 2
                                                    : INT64_MAX;
}

uint32_t
claims_count (const claims_t *claims)
{
  return g_hash_table_size (claims->by_request);
}
