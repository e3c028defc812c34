#include "keys.h"

#include <glib.h>
#include <string.h>

/* A copy that is not confirmed is sent again, then the claim is refused.  */
#define COPY_RESEND_MS 40
#define COPY_TRIES_MAX 8
#define COLLECT_RESEND_MS 500
/* A previous owner that has not answered in this time is given up, and the
   entries are collected from the other members.  */
#define HANDOVER_MS 2000
#define COLLECT_SHORT_MS 300
/* The entries of a slice that was handed over are complete for this long.  */
#define HANDED_MS 10000
/* Longer than any retention.  */
#define RUNNING_ALWAYS_MS INT64_C (1000000000)
/* Longer than any delay between a request's deadline and its outcome.  */
#define OUTCOME_GRACE_MS 2000
#define SCAN_MS 1000
/* Bounds the messages of one tick when a slice gets a new second member.  */
#define COPY_BATCH 64

typedef struct waiter
{
  decide_id_t instance;
  uint64_t request;
  clock_ms_t deadline;
} waiter_t;

typedef struct entry
{
  decide_key_t key;
  uint32_t slice;
  decide_key_state_t state;
  bool serving;   /* this instance answers for the key */
  bool confirmed; /* the second member has the claim */
  decide_id_t runner;
  uint64_t request;
  clock_ms_t run_until; /* deadline of the claim's request */
  clock_ms_t expires;
  keys_member_t copy; /* member that has or gets the copy */
  clock_ms_t copy_sent;
  uint32_t copy_tries;
  bool copy_due; /* the state has changed since the copy */
  bool listed;   /* in the active list */
  decide_answer_t *answer;
  GArray *waiters; /* waiter_t */
} entry_t;

typedef struct source
{
  keys_member_t member;
  bool answered;
  uint32_t received;
  clock_ms_t started; /* of the member's process, own clock */
} source_t;

typedef struct slice
{
  bool serving;
  bool collecting;
  keys_origin_t origin;
  clock_ms_t lost; /* end of serving; negative: never served */
  decide_id_t previous;
  uint64_t round;   /* identifies the replies to the last KEY_COLLECT */
  uint64_t barrier; /* copies with an older record version are refused */
  clock_ms_t gained;
  clock_ms_t asked;
  /* Claims made before this time may be unknown here; negative: none.  */
  clock_ms_t unknown_before;
  keys_member_t second;
  uint32_t source_count;
  source_t sources[DECIDE_MEMBERS_MAX];
} slice_t;

struct keys
{
  keys_callbacks_t callbacks;
  uint64_t incarnation;
  clock_ms_t started;
  clock_ms_t scanned;
  uint64_t rounds;
  GHashTable *entries; /* decide_key_t.hash -> entry_t */
  GPtrArray *active;   /* entries with something to send or to time */
  slice_t slices[DECIDE_SLICES];
};

static void activate (keys_t *keys, entry_t *entry);
static void collect_reply (keys_t *keys, clock_ms_t now, decide_id_t from,
                           const decide_msg_key_t *msg);
static void handle_claim (keys_t *keys, clock_ms_t now, decide_id_t from,
                          const decide_msg_key_t *msg);
static void handle_collect (keys_t *keys, clock_ms_t now, decide_id_t from,
                            const decide_msg_key_t *msg);
static void handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                         const decide_msg_key_t *msg);
static void handle_copy_ack (keys_t *keys, clock_ms_t now, decide_id_t from,
                             uint64_t incarnation,
                             const decide_msg_key_t *msg);
static void handle_outcome (keys_t *keys, clock_ms_t now, decide_id_t from,
                            const decide_msg_key_t *msg);
static void merge (entry_t *entry, decide_key_state_t state,
                   const decide_msg_key_t *msg);
static void reply (keys_t *keys, const entry_t *entry, decide_id_t to,
                   uint64_t request, decide_key_status_t status);
static void reply_state (keys_t *keys, clock_ms_t now, entry_t *entry,
                         decide_id_t from, const decide_msg_key_t *msg);
static void set_sources (keys_t *keys, slice_t *slice);
static void send_copy (keys_t *keys, clock_ms_t now, const entry_t *entry,
                       decide_id_t to);
static void settle (keys_t *keys, clock_ms_t now, entry_t *entry);
static bool slice_is_uncertain (const keys_t *keys, clock_ms_t now,
                                uint32_t slice, clock_ms_t retention_ms);
static void start_copy (keys_t *keys, clock_ms_t now, entry_t *entry);
static void tick_collect (keys_t *keys, clock_ms_t now, uint32_t index);
static bool tick_entry (keys_t *keys, clock_ms_t now, entry_t *entry);

static guint
hash_key (gconstpointer data)
{
  const uint64_t *hash = data;

  return (guint)hash[0];
}

static gboolean
equal_key (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof ((decide_key_t *)NULL)->hash) == 0;
}

static void
free_entry (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->answer);
  if (entry->waiters != NULL)
    g_array_free (entry->waiters, TRUE);
  g_free (entry);
}

keys_t *
keys_new (const keys_callbacks_t *callbacks, uint64_t incarnation,
          clock_ms_t now)
{
  keys_t *keys = g_new0 (keys_t, 1);

  keys->callbacks = *callbacks;
  keys->incarnation = incarnation;
  keys->started = now;
  keys->entries
      = g_hash_table_new_full (hash_key, equal_key, NULL, free_entry);
  keys->active = g_ptr_array_new ();
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    {
      keys->slices[i].unknown_before = -1;
      keys->slices[i].lost = -HANDED_MS;
    }
  return keys;
}

void
keys_free (keys_t *keys)
{
  if (keys == NULL)
    return;
  g_ptr_array_free (keys->active, TRUE);
  g_hash_table_destroy (keys->entries);
  g_free (keys);
}

uint32_t
keys_slice (const decide_key_t *key)
{
  return (uint32_t)(key->hash[0] % DECIDE_SLICES);
}

uint32_t
keys_count (const keys_t *keys)
{
  return g_hash_table_size (keys->entries);
}

static entry_t *
find_entry (const keys_t *keys, const decide_key_t *key)
{
  return g_hash_table_lookup (keys->entries, key->hash);
}

static entry_t *
add_entry (keys_t *keys, clock_ms_t now, const decide_msg_key_t *msg)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->key = msg->key;
  entry->slice = keys_slice (&msg->key);
  entry->expires = now + msg->retention_ms;
  entry->run_until = now + msg->left_ms;
  g_hash_table_insert (keys->entries, entry->key.hash, entry);
  return entry;
}

static void
remove_entry (keys_t *keys, entry_t *entry)
{
  if (entry->listed)
    g_ptr_array_remove_fast (keys->active, entry);
  g_hash_table_remove (keys->entries, entry->key.hash);
}

static void
activate (keys_t *keys, entry_t *entry)
{
  if (entry->listed)
    return;
  entry->listed = true;
  g_ptr_array_add (keys->active, entry);
}

static decide_msg_t
entry_message (const keys_t *keys, decide_msg_type_t type,
               const entry_t *entry)
{
  decide_msg_t msg = { .type = type, .incarnation = keys->incarnation };

  msg.u.key.key = entry->key;
  msg.u.key.slice = entry->slice;
  msg.u.key.state = entry->state;
  msg.u.key.record_version
      = keys->callbacks.record_version (keys->callbacks.context);
  if (entry->answer != NULL)
    {
      msg.u.key.has_answer = true;
      msg.u.key.answer = *entry->answer;
    }
  return msg;
}

static void
reply (keys_t *keys, const entry_t *entry, decide_id_t to, uint64_t request,
       decide_key_status_t status)
{
  decide_msg_t msg = entry_message (keys, DECIDE_MSG_KEY_CLAIM_REPLY, entry);

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
  const slice_t *slice = &keys->slices[index];

  return slice->unknown_before >= 0
         && now < slice->unknown_before + retention_ms;
}

/* During a short collection the claim is asked again rather than refused.  */
static void
refuse_uncertain (keys_t *keys, clock_ms_t now, decide_id_t to,
                  const decide_msg_key_t *claim)
{
  const slice_t *slice = &keys->slices[keys_slice (&claim->key)];
  bool collecting
      = slice->collecting && now - slice->gained < COLLECT_SHORT_MS;

  refuse_claim (keys, to, claim,
                collecting ? DECIDE_KEY_NOT_OWNER : DECIDE_KEY_UNCERTAIN);
}

void
keys_message (keys_t *keys, clock_ms_t now, decide_id_t from,
              const decide_msg_t *msg)
{
  const decide_msg_key_t *key = &msg->u.key;

  if (key->slice >= DECIDE_SLICES)
    return;
  switch (msg->type)
    {
    case DECIDE_MSG_KEY_CLAIM:
      handle_claim (keys, now, from, key);
      break;
    case DECIDE_MSG_KEY_COPY:
      handle_copy (keys, now, from, key);
      break;
    case DECIDE_MSG_KEY_COPY_ACK:
      handle_copy_ack (keys, now, from, msg->incarnation, key);
      break;
    case DECIDE_MSG_KEY_OUTCOME:
      handle_outcome (keys, now, from, key);
      break;
    case DECIDE_MSG_KEY_COLLECT:
      handle_collect (keys, now, from, key);
      break;
    case DECIDE_MSG_KEY_COLLECT_REPLY:
      collect_reply (keys, now, from, key);
      break;
    default:
      break;
    }
}

static void
handle_claim (keys_t *keys, clock_ms_t now, decide_id_t from,
              const decide_msg_key_t *msg)
{
  uint32_t index = keys_slice (&msg->key);
  entry_t *entry;

  if (!keys->slices[index].serving
      || !keys->callbacks.may_serve (keys->callbacks.context, index))
    {
      refuse_claim (keys, from, msg, DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry = find_entry (keys, &msg->key);
  if (entry != NULL && entry->expires <= now)
    {
      remove_entry (keys, entry);
      entry = NULL;
    }
  if (entry != NULL)
    {
      reply_state (keys, now, entry, from, msg);
      return;
    }
  if (slice_is_uncertain (keys, now, index, msg->retention_ms))
    {
      refuse_uncertain (keys, now, from, msg);
      return;
    }
  entry = add_entry (keys, now, msg);
  entry->serving = true;
  entry->runner = from;
  entry->request = msg->request;
  start_copy (keys, now, entry);
}

static void
wait_for_outcome (keys_t *keys, clock_ms_t now, entry_t *entry,
                  decide_id_t from, const decide_msg_key_t *msg)
{
  waiter_t waiter = { .instance = from,
                      .request = msg->request,
                      .deadline = now + msg->left_ms };

  if (entry->waiters == NULL)
    entry->waiters = g_array_new (FALSE, FALSE, sizeof (waiter_t));
  for (uint32_t i = 0; i < entry->waiters->len; i++)
    {
      const waiter_t *known = &g_array_index (entry->waiters, waiter_t, i);

      if (known->instance == from && known->request == msg->request)
        return;
    }
  g_array_append_val (entry->waiters, waiter);
  activate (keys, entry);
}

static void
reply_state (keys_t *keys, clock_ms_t now, entry_t *entry, decide_id_t from,
             const decide_msg_key_t *msg)
{
  if (entry->key.body != msg->key.body)
    {
      reply (keys, entry, from, msg->request, DECIDE_KEY_CONFLICT);
      return;
    }
  entry->serving = true;
  switch (entry->state)
    {
    case DECIDE_KEY_STATE_DONE:
      reply (keys, entry, from, msg->request,
             entry->answer != NULL ? DECIDE_KEY_ANSWERED
                                   : DECIDE_KEY_UNCERTAIN);
      break;
    case DECIDE_KEY_STATE_UNKNOWN:
      reply (keys, entry, from, msg->request, DECIDE_KEY_UNCERTAIN);
      break;
    case DECIDE_KEY_STATE_NOT_RUN:
      /* An earlier owner may have let a later request run.  */
      if (slice_is_uncertain (keys, now, entry->slice, msg->retention_ms))
        {
          refuse_uncertain (keys, now, from, msg);
          break;
        }
      entry->state = DECIDE_KEY_STATE_CLAIMED;
      entry->runner = from;
      entry->request = msg->request;
      entry->run_until = now + msg->left_ms;
      entry->confirmed = false;
      start_copy (keys, now, entry);
      break;
    case DECIDE_KEY_STATE_CLAIMED:
      if (entry->runner == from && entry->request == msg->request)
        {
          /* The claim was sent again because the reply was late or lost.  */
          if (entry->confirmed)
            reply (keys, entry, from, msg->request, DECIDE_KEY_RUN);
        }
      else
        wait_for_outcome (keys, now, entry, from, msg);
      break;
    }
}

/* Sends the entry to the second member; a claim waits for its
   confirmation.  */
static void
start_copy (keys_t *keys, clock_ms_t now, entry_t *entry)
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
      activate (keys, entry);
      send_copy (keys, now, entry, entry->copy.id);
      return;
    }
  if (!claim)
    return;
  if (keys->callbacks.others (keys->callbacks.context, others,
                              DECIDE_MEMBERS_MAX)
      == 0)
    {
      entry->confirmed = true;
      activate (keys, entry);
      reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
      return;
    }
  entry->state = DECIDE_KEY_STATE_NOT_RUN;
  reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_NO_COPY);
}

static void
send_copy (keys_t *keys, clock_ms_t now, const entry_t *entry, decide_id_t to)
{
  decide_msg_t msg = entry_message (keys, DECIDE_MSG_KEY_COPY, entry);

  msg.u.key.request = entry->request;
  msg.u.key.runner = entry->runner;
  msg.u.key.retention_ms = entry->expires - now;
  msg.u.key.left_ms = entry->run_until - now;
  keys->callbacks.send (keys->callbacks.context, to, &msg);
}

/* Order in which a later state replaces an earlier one.  */
static int
state_rank (decide_key_state_t state)
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

static void
merge (entry_t *entry, decide_key_state_t state, const decide_msg_key_t *msg)
{
  entry->state = state;
  if (state == DECIDE_KEY_STATE_DONE && msg->has_answer
      && entry->answer == NULL)
    entry->answer = g_memdup2 (&msg->answer, sizeof msg->answer);
}

static void
handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
             const decide_msg_key_t *msg)
{
  slice_t *slice = &keys->slices[keys_slice (&msg->key)];
  entry_t *entry = find_entry (keys, &msg->key);
  decide_msg_t ack;

  /* A copy of an owner that has been replaced would come after the
     collection of the new owner and be lost to it.  */
  if (msg->record_version < slice->barrier)
    return;
  if (entry == NULL)
    entry = add_entry (keys, now, msg);
  /* A claim is withdrawn only by the request that made it; a claim that comes
     after its own outcome is a late message.  */
  if (state_rank (msg->state) >= state_rank (entry->state))
    {
      merge (entry, msg->state, msg);
      entry->request = msg->request;
      entry->runner = msg->runner;
      entry->run_until = now + msg->left_ms;
    }
  else if (msg->state == DECIDE_KEY_STATE_NOT_RUN
           && entry->state == DECIDE_KEY_STATE_CLAIMED
           && entry->request == msg->request)
    entry->state = DECIDE_KEY_STATE_NOT_RUN;
  ack = entry_message (keys, DECIDE_MSG_KEY_COPY_ACK, entry);
  ack.u.key.state = msg->state;
  ack.u.key.request = msg->request;
  ack.u.key.has_answer = false;
  keys->callbacks.send (keys->callbacks.context, from, &ack);
}

static void
handle_copy_ack (keys_t *keys, clock_ms_t now, decide_id_t from,
                 uint64_t incarnation, const decide_msg_key_t *msg)
{
  entry_t *entry = find_entry (keys, &msg->key);

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
      reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_NOT_OWNER);
      return;
    }
  entry->confirmed = true;
  reply (keys, entry, entry->runner, entry->request, DECIDE_KEY_RUN);
}

static void
answer_waiters (keys_t *keys, clock_ms_t now, entry_t *entry)
{
  GArray *waiters = entry->waiters;

  if (waiters == NULL)
    return;
  entry->waiters = NULL;
  for (uint32_t i = 0; i < waiters->len; i++)
    {
      const waiter_t *waiter = &g_array_index (waiters, waiter_t, i);
      decide_msg_key_t claim = { .request = waiter->request,
                                 .retention_ms = entry->expires - now,
                                 .slice = entry->slice,
                                 .key = entry->key,
                                 .left_ms = waiter->deadline - now };

      if (waiter->deadline <= now)
        reply (keys, entry, waiter->instance, waiter->request,
               DECIDE_KEY_IN_PROGRESS);
      else
        reply_state (keys, now, entry, waiter->instance, &claim);
    }
  g_array_free (waiters, TRUE);
}

/* The request of the claim has ended.  */
static void
settle (keys_t *keys, clock_ms_t now, entry_t *entry)
{
  start_copy (keys, now, entry);
  answer_waiters (keys, now, entry);
}

/* That a request ran, or may have run, is true whatever is recorded; that it
   did not run says nothing about the claim of another request.  */
static bool
outcome_applies (const entry_t *entry, const decide_msg_key_t *msg)
{
  if (msg->state == DECIDE_KEY_STATE_NOT_RUN)
    return entry->state == DECIDE_KEY_STATE_CLAIMED
           && entry->request == msg->request;
  return state_rank (msg->state) > state_rank (entry->state);
}

static void
handle_outcome (keys_t *keys, clock_ms_t now, decide_id_t from,
                const decide_msg_key_t *msg)
{
  entry_t *entry = find_entry (keys, &msg->key);
  decide_msg_t ack
      = { .type = DECIDE_MSG_KEY_COPY_ACK, .incarnation = keys->incarnation };

  if (!keys->slices[keys_slice (&msg->key)].serving)
    return;
  if (entry == NULL)
    {
      entry = add_entry (keys, now, msg);
      entry->serving = true;
      entry->runner = from;
      entry->request = msg->request;
    }
  if (outcome_applies (entry, msg))
    {
      merge (entry, msg->state, msg);
      settle (keys, now, entry);
    }
  ack.u.key.key = msg->key;
  ack.u.key.slice = msg->slice;
  ack.u.key.request = msg->request;
  ack.u.key.state = msg->state;
  keys->callbacks.send (keys->callbacks.context, from, &ack);
}

static void
handle_collect (keys_t *keys, clock_ms_t now, decide_id_t from,
                const decide_msg_key_t *msg)
{
  slice_t *slice = &keys->slices[msg->slice];
  decide_msg_t end = { .type = DECIDE_MSG_KEY_COLLECT_REPLY,
                       .incarnation = keys->incarnation };
  uint32_t count = 0;
  GHashTableIter iter;
  void *value;

  if (msg->record_version > slice->barrier)
    slice->barrier = msg->record_version;
  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const entry_t *entry = value;
      decide_msg_t part;

      if (entry->slice != msg->slice || entry->expires <= now)
        continue;
      part = entry_message (keys, DECIDE_MSG_KEY_COLLECT_REPLY, entry);
      part.u.key.round = msg->round;
      part.u.key.request = entry->request;
      part.u.key.runner = entry->runner;
      part.u.key.more = true;
      part.u.key.retention_ms = entry->expires - now;
      part.u.key.left_ms = entry->run_until - now;
      keys->callbacks.send (keys->callbacks.context, from, &part);
      count++;
    }
  end.u.key.slice = msg->slice;
  end.u.key.round = msg->round;
  end.u.key.empty = true;
  /* The last reply states how many came before it.  */
  end.u.key.left_ms = count;
  end.u.key.running_ms = now - keys->started;
  /* The owner, or the last one, knows all entries but those that it could
     not collect itself.  */
  if (slice->serving || now - slice->lost < HANDED_MS)
    {
      end.u.key.authoritative = true;
      end.u.key.running_ms = slice->unknown_before < 0
                                 ? RUNNING_ALWAYS_MS
                                 : now - slice->unknown_before;
    }
  keys->callbacks.send (keys->callbacks.context, from, &end);
}

static void
update_unknown_before (slice_t *slice)
{
  clock_ms_t latest = -1;
  bool waiting = false;

  for (uint32_t i = 0; i < slice->source_count; i++)
    {
      const source_t *source = &slice->sources[i];
      clock_ms_t before = source->answered ? source->started : slice->gained;

      waiting |= !source->answered;
      if (before > latest)
        latest = before;
    }
  slice->unknown_before = latest;
  slice->collecting = waiting;
}

static void
collect_reply (keys_t *keys, clock_ms_t now, decide_id_t from,
               const decide_msg_key_t *msg)
{
  slice_t *slice = &keys->slices[msg->slice];
  source_t *source = NULL;
  entry_t *entry;

  if (!slice->collecting || msg->round != slice->round)
    return;
  for (uint32_t i = 0; i < slice->source_count; i++)
    if (slice->sources[i].member.id == from)
      source = &slice->sources[i];
  if (source == NULL || source->answered)
    return;
  if (msg->empty)
    {
      if (msg->left_ms != source->received)
        return;
      if (slice->origin == KEYS_HANDED_OVER && !msg->authoritative)
        {
          slice->origin = KEYS_TAKEN_OVER;
          set_sources (keys, slice);
          return;
        }
      source->answered = true;
      source->started = now - msg->running_ms;
      update_unknown_before (slice);
      return;
    }
  source->received++;
  if (keys_slice (&msg->key) != msg->slice)
    return;
  entry = find_entry (keys, &msg->key);
  if (entry == NULL)
    {
      entry = add_entry (keys, now, msg);
      entry->state = msg->state;
    }
  if (state_rank (msg->state) >= state_rank (entry->state))
    {
      merge (entry, msg->state, msg);
      entry->request = msg->request;
      entry->runner = msg->runner;
    }
  entry->serving = true;
  entry->confirmed = true;
  activate (keys, entry);
}

/* Sets the members that a collection waits for.  */
static void
set_sources (keys_t *keys, slice_t *slice)
{
  keys_member_t others[DECIDE_MEMBERS_MAX];
  uint32_t count = keys->callbacks.others (keys->callbacks.context, others,
                                           DECIDE_MEMBERS_MAX);
  bool handed = slice->origin == KEYS_HANDED_OVER;

  slice->source_count = 0;
  slice->unknown_before = -1;
  if (slice->origin == KEYS_FIRST_OWNER)
    return;
  for (uint32_t i = 0; i < count; i++)
    if ((others[i].id == slice->previous) == handed)
      slice->sources[slice->source_count++]
          = (source_t){ .member = others[i] };
  update_unknown_before (slice);
  /* This process may itself have held copies before a restart.  */
  if (!handed && keys->started > slice->unknown_before)
    slice->unknown_before = keys->started;
}

static void
serve_entries (keys_t *keys, uint32_t index, bool serving)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      if (entry->slice != index)
        continue;
      entry->serving = serving;
      if (!serving)
        continue;
      entry->confirmed = true;
      activate (keys, entry);
    }
}

void
keys_slice_gained (keys_t *keys, clock_ms_t now, uint32_t index,
                   keys_origin_t origin, decide_id_t previous)
{
  slice_t *slice = &keys->slices[index];

  slice->serving = true;
  slice->gained = now;
  slice->asked = now - COLLECT_RESEND_MS;
  slice->origin = origin;
  slice->previous = previous;
  slice->second = (keys_member_t){ 0 };
  serve_entries (keys, index, true);
  set_sources (keys, slice);
  tick_collect (keys, now, index);
}

void
keys_slice_lost (keys_t *keys, clock_ms_t now, uint32_t index)
{
  slice_t *slice = &keys->slices[index];

  if (slice->serving)
    slice->lost = now;
  slice->serving = false;
  slice->collecting = false;
  serve_entries (keys, index, false);
}

static void
tick_collect (keys_t *keys, clock_ms_t now, uint32_t index)
{
  slice_t *slice = &keys->slices[index];
  decide_msg_t msg
      = { .type = DECIDE_MSG_KEY_COLLECT, .incarnation = keys->incarnation };

  if (!slice->collecting || now - slice->asked < COLLECT_RESEND_MS)
    return;
  if (slice->origin == KEYS_HANDED_OVER && now - slice->gained >= HANDOVER_MS)
    {
      slice->origin = KEYS_TAKEN_OVER;
      set_sources (keys, slice);
    }
  slice->asked = now;
  slice->round = ++keys->rounds;
  msg.u.key.slice = index;
  msg.u.key.round = slice->round;
  msg.u.key.record_version
      = keys->callbacks.record_version (keys->callbacks.context);
  for (uint32_t i = 0; i < slice->source_count; i++)
    {
      slice->sources[i].received = 0;
      if (!slice->sources[i].answered)
        keys->callbacks.send (keys->callbacks.context,
                              slice->sources[i].member.id, &msg);
    }
}

/* Return: whether the entry needs further attention.  */
static bool
tick_entry (keys_t *keys, clock_ms_t now, entry_t *entry)
{
  if (!entry->serving)
    return false;
  if (entry->state == DECIDE_KEY_STATE_CLAIMED
      && now >= entry->run_until + OUTCOME_GRACE_MS)
    {
      entry->state = DECIDE_KEY_STATE_UNKNOWN;
      settle (keys, now, entry);
    }
  if (entry->copy_due && now - entry->copy_sent >= COPY_RESEND_MS)
    {
      if (entry->copy_tries < COPY_TRIES_MAX)
        {
          entry->copy_tries++;
          entry->copy_sent = now;
          send_copy (keys, now, entry, entry->copy.id);
        }
      else if (entry->state == DECIDE_KEY_STATE_CLAIMED && !entry->confirmed)
        {
          entry->state = DECIDE_KEY_STATE_NOT_RUN;
          reply (keys, entry, entry->runner, entry->request,
                 DECIDE_KEY_NO_COPY);
          settle (keys, now, entry);
        }
      else
        entry->copy_due = false;
    }
  if (entry->waiters != NULL)
    {
      bool due = false;

      for (uint32_t i = 0; i < entry->waiters->len; i++)
        due |= g_array_index (entry->waiters, waiter_t, i).deadline <= now;
      if (due)
        answer_waiters (keys, now, entry);
    }
  return entry->copy_due || entry->waiters != NULL
         || entry->state == DECIDE_KEY_STATE_CLAIMED;
}

/* A slice whose second member has changed gets its copies renewed.  */
static void
renew_copies (keys_t *keys, clock_ms_t now, uint32_t index)
{
  slice_t *slice = &keys->slices[index];
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
      entry_t *entry = value;

      if (entry->slice != index || entry->copy_due
          || (entry->copy.id == second.id
              && entry->copy.incarnation == second.incarnation))
        continue;
      start_copy (keys, now, entry);
      sent++;
    }
  if (sent < COPY_BATCH)
    slice->second = second;
}

static void
expire (keys_t *keys, clock_ms_t now)
{
  GPtrArray *old = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((entry_t *)value)->expires <= now)
      g_ptr_array_add (old, value);
  for (uint32_t i = 0; i < old->len; i++)
    remove_entry (keys, g_ptr_array_index (old, i));
  g_ptr_array_free (old, TRUE);
}

clock_ms_t
keys_tick (keys_t *keys, clock_ms_t now)
{
  for (uint32_t i = keys->active->len; i-- > 0;)
    {
      entry_t *entry;

      if (i >= keys->active->len)
        continue;
      entry = g_ptr_array_index (keys->active, i);
      if (tick_entry (keys, now, entry))
        continue;
      entry->listed = false;
      g_ptr_array_remove_fast (keys->active, entry);
    }
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    {
      tick_collect (keys, now, i);
      renew_copies (keys, now, i);
    }
  if (now - keys->scanned >= SCAN_MS)
    {
      keys->scanned = now;
      expire (keys, now);
    }
  return now + (keys->active->len > 0 ? COPY_RESEND_MS / 2 : SCAN_MS / 4);
}
