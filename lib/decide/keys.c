#include "keys_state.h"

#include <string.h>

/* A copy that its holder has not confirmed is sent again at this interval, up
   to COPY_TRIES_MAX times in all.  After that, a claim whose request was not
   yet allowed to run is refused.  */
#define COPY_RESEND_MS 40
#define COPY_TRIES_MAX 8
/* If no outcome has arrived this long after a request's deadline, the owner
   sets the outcome to UNKNOWN.  It is longer than any delay of the message
   with the outcome.  */
#define OUTCOME_GRACE_MS 2000
/* Interval of the scan for expired entries.  */
#define EXPIRY_SCAN_MS 1000
/* Memory in bytes that an entry takes, with the overhead of the hash table and
   the allocator.  */
#define ENTRY_BYTES (sizeof (keys_entry_t) + 64)

static bool tick_entry (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
static gboolean equal_key (gconstpointer a, gconstpointer b);
static guint hash_key (gconstpointer data);
static void remove_expired (keys_t *keys, clock_ms_t now);
static void free_entry (gpointer data);

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
  keys_entry_t *entry = data;

  g_free (entry->answer);
  if (entry->waiters != NULL)
    g_array_free (entry->waiters, TRUE);
  g_free (entry);
}

keys_t *
keys_new (const keys_callbacks_t *callbacks, uint64_t incarnation,
          uint64_t bytes_max, clock_ms_t now)
{
  keys_t *keys = g_new0 (keys_t, 1);

  keys->callbacks = *callbacks;
  keys->incarnation = incarnation;
  keys->bytes_max = bytes_max;
  keys->started_at = now;
  keys->entries
      = g_hash_table_new_full (hash_key, equal_key, NULL, free_entry);
  keys->tick_list = g_ptr_array_new ();
  keys->uncopied = g_array_new (FALSE, FALSE, sizeof (decide_key_t));
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    {
      keys->slices[i].unknown_before = -1;
      keys->slices[i].serving_ended_at = -AUTHORITATIVE_MS;
    }
  return keys;
}

void
keys_free (keys_t *keys)
{
  if (keys == NULL)
    return;
  g_ptr_array_free (keys->tick_list, TRUE);
  g_array_free (keys->uncopied, TRUE);
  g_hash_table_destroy (keys->entries);
  g_free (keys);
}

uint32_t
keys_slice_index (const decide_key_t *key)
{
  return (uint32_t)(key->hash[0] % DECIDE_SLICES);
}

uint32_t
keys_count (const keys_t *keys)
{
  return g_hash_table_size (keys->entries);
}

bool
keys_is_full (const keys_t *keys)
{
  return keys->bytes_max > 0 && keys->bytes_used >= keys->bytes_max;
}

keys_entry_t *
keys_find_entry (const keys_t *keys, const decide_key_t *key)
{
  return g_hash_table_lookup (keys->entries, key->hash);
}

keys_entry_t *
keys_add_entry (keys_t *keys, clock_ms_t now, const decide_msg_key_t *msg)
{
  keys_entry_t *entry = g_new0 (keys_entry_t, 1);

  entry->key = msg->key;
  entry->slice = keys_slice_index (&msg->key);
  entry->expires_at = now + msg->retention_ms;
  entry->request_deadline = now + msg->left_ms;
  entry->sequence = ++keys->last_sequence;
  entry->link.data = entry;
  g_queue_push_tail_link (&keys->slices[entry->slice].entries, &entry->link);
  g_hash_table_insert (keys->entries, entry->key.hash, entry);
  keys->bytes_used += ENTRY_BYTES;
  return entry;
}

void
keys_remove_entry (keys_t *keys, keys_entry_t *entry)
{
  if (entry->in_tick_list)
    g_ptr_array_remove_fast (keys->tick_list, entry);
  g_queue_unlink (&keys->slices[entry->slice].entries, &entry->link);
  keys->bytes_used -= ENTRY_BYTES;
  if (entry->answer != NULL)
    keys->bytes_used -= keys_response_size (entry->answer);
  g_hash_table_remove (keys->entries, entry->key.hash);
}

void
keys_add_to_tick_list (keys_t *keys, keys_entry_t *entry)
{
  if (entry->in_tick_list)
    return;
  entry->in_tick_list = true;
  g_ptr_array_add (keys->tick_list, entry);
}

decide_msg_t
keys_create_message (const keys_t *keys, decide_msg_type_t type,
                     const keys_entry_t *entry)
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
      memcpy (&msg.u.key.answer, entry->answer,
              keys_response_size (entry->answer));
    }
  return msg;
}

void
keys_handle_message (keys_t *keys, clock_ms_t now, decide_id_t from,
                     const decide_msg_t *msg)
{
  const decide_msg_key_t *key = &msg->u.key;
  keys_member_t sender = { from, msg->incarnation };

  if (key->slice >= DECIDE_SLICES)
    return;
  switch (msg->type)
    {
    case DECIDE_MSG_KEY_CLAIM:
      keys_handle_claim (keys, now, &sender, key);
      break;
    case DECIDE_MSG_KEY_COPY:
      keys_handle_copy (keys, now, from, key);
      break;
    case DECIDE_MSG_KEY_COPY_ACK:
      keys_handle_copy_ack (keys, now, &sender, key);
      break;
    case DECIDE_MSG_KEY_OUTCOME:
      keys_handle_outcome (keys, now, &sender, key);
      break;
    case DECIDE_MSG_KEY_COLLECT:
      keys_handle_collect (keys, now, &sender, key);
      break;
    case DECIDE_MSG_KEY_COLLECT_REPLY:
      keys_handle_collect_reply (keys, now, &sender, key);
      break;
    default:
      break;
    }
}

static void
remove_expired (keys_t *keys, clock_ms_t now)
{
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, keys->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((keys_entry_t *)value)->expires_at <= now)
      g_ptr_array_add (expired, value);
  for (uint32_t i = 0; i < expired->len; i++)
    keys_remove_entry (keys, g_ptr_array_index (expired, i));
  g_ptr_array_free (expired, TRUE);
}

/* Ends a claim that has no outcome in time, sends an unconfirmed copy again
   and replies to waiting requests whose deadline has passed.
   Return: whether the entry stays in the tick list.  */
static bool
tick_entry (keys_t *keys, clock_ms_t now, keys_entry_t *entry)
{
  if (!entry->serving)
    return false;
  if (entry->state == DECIDE_KEY_STATE_CLAIMED
      && now >= entry->request_deadline + OUTCOME_GRACE_MS)
    {
      entry->state = DECIDE_KEY_STATE_UNKNOWN;
      keys_end_claim (keys, now, entry);
    }
  if (entry->copy_pending && now - entry->copy_sent_at >= COPY_RESEND_MS)
    {
      if (entry->copy_tries < COPY_TRIES_MAX)
        {
          entry->copy_tries++;
          entry->copy_sent_at = now;
          keys_send_copy (keys, now, entry, DECIDE_MSG_KEY_COPY);
        }
      else if (entry->state == DECIDE_KEY_STATE_CLAIMED && !entry->run_allowed)
        {
          entry->state = DECIDE_KEY_STATE_NOT_RUN;
          keys_reply (keys, entry, entry->runner, entry->request,
                      DECIDE_KEY_NO_COPY);
          keys_end_claim (keys, now, entry);
        }
      else
        {
          /* scan_copies() finds this entry next time, and a new copy is
             sent.  */
          entry->copy_pending = entry->claim_copied = false;
          entry->copy_holder = (keys_member_t){ 0 };
        }
    }
  if (entry->waiters != NULL)
    {
      bool timed_out = false;

      for (uint32_t i = 0; i < entry->waiters->len; i++)
        timed_out |= g_array_index (entry->waiters, keys_waiter_t, i).deadline
                     <= now;
      if (timed_out)
        keys_reply_to_waiters (keys, now, entry);
    }
  return entry->copy_pending || entry->waiters != NULL
         || entry->state == DECIDE_KEY_STATE_CLAIMED;
}

clock_ms_t
keys_tick (keys_t *keys, clock_ms_t now)
{
  for (uint32_t i = keys->tick_list->len; i-- > 0;)
    {
      keys_entry_t *entry;

      if (i >= keys->tick_list->len)
        continue;
      entry = g_ptr_array_index (keys->tick_list, i);
      if (tick_entry (keys, now, entry))
        continue;
      entry->in_tick_list = false;
      g_ptr_array_remove_fast (keys->tick_list, entry);
    }
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    keys_tick_collect (keys, now, i);
  keys_renew_copies (keys, now);
  if (now - keys->expiry_scanned_at >= EXPIRY_SCAN_MS)
    {
      keys->expiry_scanned_at = now;
      remove_expired (keys, now);
    }
  return now
         + (keys->tick_list->len > 0 ? COPY_RESEND_MS / 2
                                     : EXPIRY_SCAN_MS / 4);
}
