#include "ownership_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Delay before a read of the store is requested again: exponential backoff
   with jitter.  When the store returns after an outage, this keeps the reads
   of all instances that started during the outage below the store's rate
   limit.  */
#define READ_RETRY_MIN_MS 200
#define READ_RETRY_MAX_MS 1000
/* Longest random delay of an update that other instances may try at the same
   time.  It is FIRST_JITTER_MS for the first try.  After failed updates it is
   FAILURE_JITTER_MS times the number of consecutive failures, of which at most
   UPDATE_FAILURES_MAX count.  */
#define FIRST_JITTER_MS 400
#define FAILURE_JITTER_MS 100
#define UPDATE_FAILURES_MAX 4
#define TICK_INTERVAL_MS 50
/* Longest time from the adoption of a new record version to the next
   heartbeat.  */
#define NEW_VERSION_HEARTBEAT_DELAY_MS 20

static bool are_settings_valid (const ownership_settings_t *settings);
static bool has_centre (const ownership_t *ownership, const char *name);
static void adopt_record (ownership_t *ownership, clock_ms_t now,
                          const decide_record_t *record);
static void schedule_contended_update (ownership_t *ownership, clock_ms_t now);
static bool is_centre_missing (const ownership_t *ownership);
static bool try_contended_update (ownership_t *ownership, clock_ms_t now);
static void perform_due_actions (ownership_t *ownership, clock_ms_t now);
static bool has_potential_successor (const ownership_t *ownership);

static bool
are_settings_valid (const ownership_settings_t *settings)
{
  /* Whether the list of instances includes this one or has room for it.  */
  bool self_fits = settings->instance_count < DECIDE_MEMBERS_MAX;

  if (settings->incarnation == 0 || settings->instance[0] == '\0'
      || settings->data_centre[0] == '\0'
      || settings->instance_count > DECIDE_MEMBERS_MAX
      || settings->centre_count > DECIDE_DATA_CENTRES_MAX - 1)
    return false;
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      const ownership_instance_t *instance = &settings->instances[i];

      if (instance->name[0] == '\0' || instance->data_centre[0] == '\0')
        return false;
      if (strcmp (instance->name, settings->instance) == 0)
        {
          if (strcmp (instance->data_centre, settings->data_centre) != 0)
            return false;
          self_fits = true;
        }
      for (uint32_t j = 0; j < i; j++)
        if (decide_id (instance->name)
            == decide_id (settings->instances[j].name))
          return false;
    }
  return self_fits;
}

ownership_t *
ownership_new (const ownership_settings_t *settings,
               const ownership_callbacks_t *callbacks, decide_rng_t *rng,
               clock_ms_t now)
{
  ownership_t *ownership;
  bool listed = false;

  if (!are_settings_valid (settings))
    return NULL;
  ownership = calloc (1, sizeof *ownership);
  if (ownership == NULL)
    return NULL;
  memcpy (ownership->name, settings->instance, sizeof ownership->name);
  memcpy (ownership->data_centre, settings->data_centre,
          sizeof ownership->data_centre);
  ownership->self = decide_id (ownership->name);
  ownership->incarnation = settings->incarnation;
  ownership->callbacks = *callbacks;
  ownership->rng = rng;
  ownership->started_at = now;
  ownership->longest_grant_ms = OWNERSHIP_LONGEST_GRANT_DEFAULT_MS;
  ownership->read_sent_at = ownership->next_read_at = OWNERSHIP_NEVER;
  ownership->read_retry_ms = READ_RETRY_MIN_MS;
  ownership->contended_update_at = ownership->attempt.next_attempt_at
      = OWNERSHIP_NEVER;
  ownership->self_index = -1;
  ownership->next_heartbeat_at = now;
  /* Sequence numbers start at a random value, so that acknowledgements of an
     earlier process's heartbeats are not taken as acknowledgements of this
     process's.  */
  ownership->sequence = decide_rng_next (rng) >> 1;

  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      const ownership_instance_t *instance = &settings->instances[i];
      ownership_peer_t *peer;

      ownership->instances[ownership->instance_count++] = *instance;
      listed = listed || strcmp (instance->name, ownership->name) == 0;
      peer = ownership_peer_add (ownership, decide_id (instance->name), now);
      if (peer != NULL)
        peer->configured = true;
    }
  if (!listed)
    {
      ownership_instance_t *self
          = &ownership->instances[ownership->instance_count++];

      memcpy (self->name, ownership->name, sizeof self->name);
      memcpy (self->data_centre, ownership->data_centre,
              sizeof self->data_centre);
    }
  memcpy (ownership->centres[ownership->centre_count++], DECIDE_KEY_CENTRE,
          sizeof DECIDE_KEY_CENTRE);
  for (uint32_t i = 0; i < settings->centre_count; i++)
    (void)ownership_add_centre (ownership, settings->centres[i]);
  return ownership;
}

void
ownership_free (ownership_t *ownership)
{
  free (ownership);
}

static bool
has_centre (const ownership_t *ownership, const char *name)
{
  for (uint32_t i = 0; i < ownership->centre_count; i++)
    if (strcmp (ownership->centres[i], name) == 0)
      return true;
  return false;
}

int
ownership_add_centre (ownership_t *ownership, const char *name)
{
  size_t length = strlen (name);

  if (has_centre (ownership, name))
    return -EEXIST;
  if (ownership->centre_count == DECIDE_DATA_CENTRES_MAX || length == 0
      || length >= DECIDE_NAME_MAX)
    return -ENOSPC;
  memcpy (ownership->centres[ownership->centre_count++], name, length + 1);
  return 0;
}

void
ownership_set_longest_grant (ownership_t *ownership, clock_ms_t grant_ms)
{
  ownership->longest_grant_ms = grant_ms;
}

bool
ownership_is_store_fresh (const ownership_t *ownership, clock_ms_t now)
{
  return ownership_age (now, ownership->read_sent_at)
         < DECIDE_OWNERSHIP_LEASE_MS;
}

bool
ownership_ensure_read (ownership_t *ownership, clock_ms_t now,
                       clock_ms_t since)
{
  if (ownership->read_sent_at != OWNERSHIP_NEVER
      && ownership->read_sent_at >= since)
    return true;
  if (ownership->handling_read || now < ownership->next_read_at)
    return false;
  ownership->next_read_at
      = now + ownership->read_retry_ms / 2
        + decide_rng_below (ownership->rng,
                            (uint32_t)ownership->read_retry_ms);
  ownership->read_retry_ms = 2 * ownership->read_retry_ms < READ_RETRY_MAX_MS
                                 ? 2 * ownership->read_retry_ms
                                 : READ_RETRY_MAX_MS;
  ownership->callbacks.store_read (ownership->callbacks.context);
  return false;
}

void
ownership_submit_record (ownership_t *ownership, const decide_record_t *record)
{
  ownership->pending_update.in_progress = true;
  ownership->pending_update.operation++;
  ownership->pending_update.record = *record;
  ownership->callbacks.store_put (
      ownership->callbacks.context, ownership->pending_update.operation,
      record->version, &ownership->pending_update.record);
}

static void
schedule_contended_update (ownership_t *ownership, clock_ms_t now)
{
  uint32_t jitter_ms = ownership->update_failures == 0
                           ? FIRST_JITTER_MS
                           : FAILURE_JITTER_MS * ownership->update_failures;

  ownership->contended_update_at
      = now + decide_rng_below (ownership->rng, jitter_ms);
}

static void
adopt_record (ownership_t *ownership, clock_ms_t now,
              const decide_record_t *record)
{
  decide_record_t previous = ownership->record;

  ownership->record = *record;
  ownership->record_absent = false;
  ownership->voted_against_count = 0;
  ownership->rewrite_due = false;
  if (ownership->pending_update.unresolved
      && record->version > ownership->pending_update.record.version)
    ownership->pending_update.unresolved = false;
  for (uint32_t i = 0; i < record->member_count; i++)
    ownership->member_ids[i] = decide_id (record->members[i].name);
  ownership->self_index = ownership_member_index (ownership, ownership->self);
  ownership->member = ownership->self_index >= 0
                      && record->members[ownership->self_index].incarnation
                             == ownership->incarnation;
  ownership->was_member = ownership->was_member || ownership->member;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *member = &record->members[i];
      int old
          = ownership_record_find_member (&previous, ownership->member_ids[i]);
      const ownership_peer_t *peer;

      /* A process that is new in the record has just added itself, so it is
         alive.  */
      if (member->incarnation != 0
          && (old < 0
              || previous.members[old].incarnation != member->incarnation))
        (void)ownership_peer_mark_heard (
            ownership, now, ownership->member_ids[i], member->incarnation);
      peer = ownership_peer_add (ownership, ownership->member_ids[i], now);
      ownership->member_peers[i]
          = peer == NULL ? -1 : (int)(peer - ownership->peers);
    }
  ownership_adopt_slices (ownership, now, &previous);
  /* A promise counts for one record version only, so heartbeats for the new
     version are sent soon.  */
  if (ownership->next_heartbeat_at > now + NEW_VERSION_HEARTBEAT_DELAY_MS)
    ownership->next_heartbeat_at = now + NEW_VERSION_HEARTBEAT_DELAY_MS;
}

int
ownership_adopt_record (ownership_t *ownership, clock_ms_t now,
                        const decide_record_t *record)
{
  if (ownership_record_validate (record) != 0)
    return -EINVAL;
  if (record->version <= ownership->record.version)
    return -ESTALE;
  /* Instances refer to data centres by index in their messages, so the indices
     must not change.  */
  if (record->centre_count < ownership->record.centre_count)
    return -EINVAL;
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    if (strcmp (record->centres[c].name, ownership->record.centres[c].name)
        != 0)
      return -EINVAL;
  adopt_record (ownership, now, record);
  perform_due_actions (ownership, now);
  return 0;
}

void
ownership_handle_read_result (ownership_t *ownership, clock_ms_t now,
                              clock_ms_t sent, bool ok, bool record_seen)
{
  /* If a record that existed is missing in the store, the read doesn't show
     which process owns a slice and is ignored.  */
  if (!ok || sent > now || (!record_seen && ownership->record.version != 0))
    return;
  if (sent > ownership->read_sent_at)
    ownership->read_sent_at = sent;
  ownership->read_retry_ms = READ_RETRY_MIN_MS;
  if (ownership->next_read_at > now + READ_RETRY_MIN_MS)
    ownership->next_read_at = now + READ_RETRY_MIN_MS;
  ownership->record_absent = !record_seen;
  if (ownership->pending_update.unresolved
      && sent >= ownership->pending_update.unresolved_at)
    ownership->pending_update.unresolved = false;
  ownership->handling_read = true;
  perform_due_actions (ownership, now);
  ownership->handling_read = false;
}

void
ownership_handle_put_result (ownership_t *ownership, clock_ms_t now,
                             uint64_t operation, decide_store_result_t result,
                             uint64_t version)
{
  if (!ownership->pending_update.in_progress
      || operation != ownership->pending_update.operation)
    return;
  ownership->pending_update.in_progress = false;
  if (result == DECIDE_STORE_OK)
    {
      ownership->update_failures = 0;
      ownership->contended_update_at = OWNERSHIP_NEVER;
      if (version > ownership->record.version)
        {
          decide_record_t record = ownership->pending_update.record;

          record.version = version;
          adopt_record (ownership, now, &record);
        }
      perform_due_actions (ownership, now);
      return;
    }
  if (result == DECIDE_STORE_UNKNOWN
      && ownership->record.version <= ownership->pending_update.record.version)
    {
      ownership->pending_update.unresolved = true;
      ownership->pending_update.unresolved_at = now;
    }
  if (ownership->update_failures < UPDATE_FAILURES_MAX)
    ownership->update_failures++;
  schedule_contended_update (ownership, now);
  ownership->next_update_at = ownership->contended_update_at;
  perform_due_actions (ownership, now);
}

static bool
is_centre_missing (const ownership_t *ownership)
{
  for (uint32_t i = 0; i < ownership->centre_count; i++)
    {
      uint32_t c = 0;

      while (
          c < ownership->record.centre_count
          && strcmp (ownership->record.centres[c].name, ownership->centres[i])
                 != 0)
        c++;
      if (c == ownership->record.centre_count && c < DECIDE_DATA_CENTRES_MAX)
        return true;
    }
  return false;
}

/* Creates the record, enters this process in it, or adds data centres to it.
   After a common start, all instances need these updates at the same time, so
   each instance waits for a random time, reads the record and then updates it.
   Returns whether such an update is needed.  */
static bool
try_contended_update (ownership_t *ownership, clock_ms_t now)
{
  bool create = ownership->record.version == 0;
  bool claim = ownership->self_index >= 0 && !ownership->member
               && !ownership->was_member;
  decide_record_t record;

  if (!create && !claim
      && !(ownership->member && is_centre_missing (ownership)))
    {
      ownership->contended_update_at = OWNERSHIP_NEVER;
      return false;
    }
  if (ownership->contended_update_at == OWNERSHIP_NEVER)
    schedule_contended_update (ownership, now);
  if (now < ownership->contended_update_at
      || !ownership_ensure_read (ownership, now,
                                 ownership->contended_update_at)
      || !ownership_is_store_fresh (ownership, now))
    return true;
  record = ownership->record;
  if (create)
    {
      if (!ownership->record_absent)
        return true;
      ownership_record_create (ownership, &record);
    }
  else if (claim)
    ownership_record_claim_entry (ownership, &record);
  else
    (void)ownership_record_add_centres (ownership, &record);
  ownership_submit_record (ownership, &record);
  return true;
}

/* Starts the reads, updates, handovers and takeovers that are due.  */
static void
perform_due_actions (ownership_t *ownership, clock_ms_t now)
{
  if (!ownership->pending_update.in_progress
      && ownership->pending_update.unresolved)
    (void)ownership_ensure_read (ownership, now,
                                 ownership->pending_update.unresolved_at);
  if (!ownership->pending_update.in_progress
      && !ownership->pending_update.unresolved && !ownership->stopping
      && try_contended_update (ownership, now))
    return;
  if (ownership->record.version == 0)
    return;
  ownership_handover_tick (ownership, now);
  if (!ownership->pending_update.in_progress
      && !ownership->pending_update.unresolved)
    ownership_takeover_tick (ownership, now);
}

void
ownership_handle_message (ownership_t *ownership, clock_ms_t now,
                          decide_id_t from, const decide_msg_t *msg)
{
  ownership_peer_t *peer;

  if (msg->type < DECIDE_MSG_HEARTBEAT || msg->type > DECIDE_MSG_HANDOVER_ACK
      || from == ownership->self)
    return;
  peer = ownership_peer_add (ownership, from, now);
  if (peer == NULL)
    return;
  if (peer->incarnation != msg->incarnation)
    {
      if (peer->heard_at > peer->other_process_heard_at)
        peer->other_process_heard_at = peer->heard_at;
      peer->incarnation = msg->incarnation;
      peer->acting_count = 0;
      peer->promised_version = 0;
    }
  peer->heard_at = peer->last_message_at = now;
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      ownership_handle_heartbeat (ownership, now, from, msg);
      break;
    case DECIDE_MSG_HEARTBEAT_ACK:
      ownership_handle_heartbeat_ack (ownership, now, from, msg);
      break;
    case DECIDE_MSG_SUPPORT_REQUEST:
      ownership_handle_support_request (ownership, now, from, msg);
      break;
    case DECIDE_MSG_SUPPORT_REPLY:
      ownership_handle_support_reply (ownership, now, from, msg);
      break;
    case DECIDE_MSG_HANDOVER:
      ownership_handle_handover (ownership, now, from, msg);
      break;
    case DECIDE_MSG_HANDOVER_ACK:
      ownership_handle_handover_ack (ownership, now, from, msg);
      break;
    default:
      break;
    }
  if (ownership->attempt.active || msg->type == DECIDE_MSG_HANDOVER_ACK)
    perform_due_actions (ownership, now);
}

clock_ms_t
ownership_tick (ownership_t *ownership, clock_ms_t now)
{
  clock_ms_t next = now + TICK_INTERVAL_MS;

  perform_due_actions (ownership, now);
  if (ownership->stopping && has_potential_successor (ownership))
    ownership->potential_successor_at = now;
  if (now >= ownership->next_heartbeat_at)
    ownership_send_heartbeats (ownership, now);
  return ownership->next_heartbeat_at < next ? ownership->next_heartbeat_at
                                             : next;
}

void
ownership_stop (ownership_t *ownership, clock_ms_t now)
{
  if (ownership->stopping)
    return;
  ownership->stopping = true;
  ownership->stopping_since = now;
  ownership->potential_successor_at = now;
  ownership->attempt.active = false;
  ownership_send_heartbeats (ownership, now);
}

/* Returns whether another member has not announced its shutdown.  A silent
   member counts too: it may be paused and take slices over later.  */
static bool
has_potential_successor (const ownership_t *ownership)
{
  for (uint32_t i = 0; i < ownership->record.member_count; i++)
    {
      const decide_member_t *member = &ownership->record.members[i];
      const ownership_peer_t *peer
          = ownership_peer_find (ownership, ownership->member_ids[i]);

      if (ownership->member_ids[i] != ownership->self
          && member->incarnation != 0
          && (peer == NULL || peer->incarnation != member->incarnation
              || peer->state != DECIDE_MEMBER_LEAVING))
        return true;
    }
  return false;
}

bool
ownership_has_stopped (const ownership_t *ownership, clock_ms_t now)
{
  bool store_fresh = ownership_is_store_fresh (ownership, now);

  if (!ownership->stopping)
    return false;
  if (ownership->record.version == 0 || !ownership->member)
    return true;
  if (now < ownership->stopping_since + 2 * DECIDE_HEARTBEAT_INTERVAL_MS
      || (ownership->pending_update.in_progress && store_fresh))
    return false;
  /* If the store is unreachable and there is no successor, the slices can't be
     handed over.  The other members are then all stopping, but they may need
     grants in these slices until their clients use other instances.  */
  if (!store_fresh
      && now - ownership->potential_successor_at
             > DECIDE_ADDRESS_TTL_MS + DECIDE_HEARTBEAT_INTERVAL_MS)
    return true;
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const ownership_slice_t *slice = &ownership->slices[c][s];

        if (slice->delegate)
          return false;
        if (!slice->owned || (slice->offer_accepted && !store_fresh))
          continue;
        if (slice->offered
            || ownership_record_find_successor (ownership, now,
                                                &ownership->record, c, true)
                   >= 0)
          return false;
      }
  return true;
}
