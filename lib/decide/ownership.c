#include "ownership_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Delay before a read of the store is requested again: exponential backoff
   with jitter.  It keeps all instances that started during an outage of the
   store below its rate limit when it returns.  */
#define READ_RETRY_MIN_MS 200
#define READ_RETRY_MAX_MS 1000
#define FIRST_JITTER_MS 400
#define CONFLICT_JITTER_MS 100
#define BACKOFF_CONFLICTS_MAX 4
#define TICK_INTERVAL_MS 50
#define NEW_VERSION_HEARTBEAT_DELAY_MS 20

static bool are_settings_valid (const ownership_settings_t *settings);
static bool has_centre (const ownership_t *o, const char *name);
static void adopt_record (ownership_t *o, clock_ms_t now,
                          const decide_record_t *record);
static void schedule_contended_update (ownership_t *o, clock_ms_t now);
static bool is_centre_missing (const ownership_t *o);
static bool try_contended_update (ownership_t *o, clock_ms_t now);
static void perform_due_actions (ownership_t *o, clock_ms_t now);
static bool has_potential_successor (const ownership_t *o);

static bool
are_settings_valid (const ownership_settings_t *settings)
{
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
  ownership_t *o;
  bool listed = false;

  if (!are_settings_valid (settings))
    return NULL;
  o = calloc (1, sizeof *o);
  if (o == NULL)
    return NULL;
  memcpy (o->name, settings->instance, sizeof o->name);
  memcpy (o->data_centre, settings->data_centre, sizeof o->data_centre);
  o->self = decide_id (o->name);
  o->incarnation = settings->incarnation;
  o->callbacks = *callbacks;
  o->rng = rng;
  o->started_at = now;
  o->longest_grant_ms = OWNERSHIP_LONGEST_GRANT_DEFAULT_MS;
  o->read_sent_at = o->next_read_at = OWNERSHIP_NEVER;
  o->read_retry_ms = READ_RETRY_MIN_MS;
  o->contended_update_at = o->attempt.next_at = OWNERSHIP_NEVER;
  o->self_index = -1;
  o->next_heartbeat_at = now;
  /* Sequence numbers start at random, so that acknowledgements that were meant
     for an earlier process of the instance are not taken for this one's.  */
  o->sequence = decide_rng_next (rng) >> 1;

  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      const ownership_instance_t *instance = &settings->instances[i];
      ownership_peer_t *peer;

      o->instances[o->instance_count++] = *instance;
      listed = listed || strcmp (instance->name, o->name) == 0;
      peer = ownership_peer_add (o, decide_id (instance->name), now);
      if (peer != NULL)
        peer->configured = true;
    }
  if (!listed)
    {
      ownership_instance_t *self = &o->instances[o->instance_count++];

      memcpy (self->name, o->name, sizeof self->name);
      memcpy (self->data_centre, o->data_centre, sizeof self->data_centre);
    }
  memcpy (o->centres[o->centre_count++], DECIDE_KEY_CENTRE,
          sizeof DECIDE_KEY_CENTRE);
  for (uint32_t i = 0; i < settings->centre_count; i++)
    (void)ownership_add_centre (o, settings->centres[i]);
  return o;
}

void
ownership_free (ownership_t *o)
{
  free (o);
}

static bool
has_centre (const ownership_t *o, const char *name)
{
  for (uint32_t i = 0; i < o->centre_count; i++)
    if (strcmp (o->centres[i], name) == 0)
      return true;
  return false;
}

int
ownership_add_centre (ownership_t *o, const char *name)
{
  size_t length = strlen (name);

  if (has_centre (o, name))
    return -EEXIST;
  if (o->centre_count == DECIDE_DATA_CENTRES_MAX || length == 0
      || length >= DECIDE_NAME_MAX)
    return -ENOSPC;
  memcpy (o->centres[o->centre_count++], name, length + 1);
  return 0;
}

void
ownership_set_longest_grant (ownership_t *o, clock_ms_t grant_ms)
{
  o->longest_grant_ms = grant_ms;
}

bool
ownership_is_store_fresh (const ownership_t *o, clock_ms_t now)
{
  return ownership_age (now, o->read_sent_at) < DECIDE_OWNERSHIP_LEASE_MS;
}

bool
ownership_ensure_read (ownership_t *o, clock_ms_t now, clock_ms_t since)
{
  if (o->read_sent_at != OWNERSHIP_NEVER && o->read_sent_at >= since)
    return true;
  if (o->handling_read || now < o->next_read_at)
    return false;
  o->next_read_at = now + o->read_retry_ms / 2
                    + decide_rng_below (o->rng, (uint32_t)o->read_retry_ms);
  o->read_retry_ms = 2 * o->read_retry_ms < READ_RETRY_MAX_MS
                         ? 2 * o->read_retry_ms
                         : READ_RETRY_MAX_MS;
  o->callbacks.store_read (o->callbacks.context);
  return false;
}

void
ownership_submit_record (ownership_t *o, const decide_record_t *record)
{
  o->pending_update.in_progress = true;
  o->pending_update.operation++;
  o->pending_update.record = *record;
  o->callbacks.store_put (o->callbacks.context, o->pending_update.operation,
                          record->version, &o->pending_update.record);
}

static void
schedule_contended_update (ownership_t *o, clock_ms_t now)
{
  uint32_t jitter_ms = o->conflicts == 0 ? FIRST_JITTER_MS
                                         : CONFLICT_JITTER_MS * o->conflicts;

  o->contended_update_at = now + decide_rng_below (o->rng, jitter_ms);
}

static void
adopt_record (ownership_t *o, clock_ms_t now, const decide_record_t *record)
{
  decide_record_t previous = o->record;

  o->record = *record;
  o->record_absent = false;
  o->supported_takeover_count = 0;
  o->rewrite_due = false;
  if (o->pending_update.unresolved
      && record->version > o->pending_update.record.version)
    o->pending_update.unresolved = false;
  for (uint32_t i = 0; i < record->member_count; i++)
    o->member_ids[i] = decide_id (record->members[i].name);
  o->self_index = ownership_member_index (o, o->self);
  o->member = o->self_index >= 0
              && record->members[o->self_index].incarnation == o->incarnation;
  o->was_member = o->was_member || o->member;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *member = &record->members[i];
      int old = ownership_record_find_member (&previous, o->member_ids[i]);
      const ownership_peer_t *peer;

      /* A process that has just entered itself in the record is alive.  */
      if (member->incarnation != 0
          && (old < 0
              || previous.members[old].incarnation != member->incarnation))
        (void)ownership_peer_mark_heard (o, now, o->member_ids[i],
                                         member->incarnation);
      peer = ownership_peer_add (o, o->member_ids[i], now);
      o->member_peers[i] = peer == NULL ? -1 : (int)(peer - o->peers);
    }
  ownership_adopt_slices (o, now, &previous);
  /* Promises count for one record version only; new ones are needed soon.  */
  if (o->next_heartbeat_at > now + NEW_VERSION_HEARTBEAT_DELAY_MS)
    o->next_heartbeat_at = now + NEW_VERSION_HEARTBEAT_DELAY_MS;
}

int
ownership_adopt_record (ownership_t *o, clock_ms_t now,
                        const decide_record_t *record)
{
  if (ownership_record_validate (record) != 0)
    return -EINVAL;
  if (record->version <= o->record.version)
    return -ESTALE;
  /* Instances refer to data centres by index in their messages, so the indices
     must not change.  */
  if (record->centre_count < o->record.centre_count)
    return -EINVAL;
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    if (strcmp (record->centres[c].name, o->record.centres[c].name) != 0)
      return -EINVAL;
  adopt_record (o, now, record);
  perform_due_actions (o, now);
  return 0;
}

void
ownership_handle_read_result (ownership_t *o, clock_ms_t now, clock_ms_t sent,
                              bool ok, bool record_seen)
{
  /* When a record that existed is missing, the read says nothing about who
     owns which slice.  */
  if (!ok || sent > now || (!record_seen && o->record.version != 0))
    return;
  if (sent > o->read_sent_at)
    o->read_sent_at = sent;
  o->read_retry_ms = READ_RETRY_MIN_MS;
  if (o->next_read_at > now + READ_RETRY_MIN_MS)
    o->next_read_at = now + READ_RETRY_MIN_MS;
  o->record_absent = !record_seen;
  if (o->pending_update.unresolved && sent >= o->pending_update.unresolved_at)
    o->pending_update.unresolved = false;
  o->handling_read = true;
  perform_due_actions (o, now);
  o->handling_read = false;
}

void
ownership_handle_put_result (ownership_t *o, clock_ms_t now,
                             uint64_t operation, decide_store_result_t result,
                             uint64_t version)
{
  if (!o->pending_update.in_progress
      || operation != o->pending_update.operation)
    return;
  o->pending_update.in_progress = false;
  if (result == DECIDE_STORE_OK)
    {
      o->conflicts = 0;
      o->contended_update_at = OWNERSHIP_NEVER;
      if (version > o->record.version)
        {
          decide_record_t record = o->pending_update.record;

          record.version = version;
          adopt_record (o, now, &record);
        }
      perform_due_actions (o, now);
      return;
    }
  if (result == DECIDE_STORE_UNKNOWN
      && o->record.version <= o->pending_update.record.version)
    {
      o->pending_update.unresolved = true;
      o->pending_update.unresolved_at = now;
    }
  if (o->conflicts < BACKOFF_CONFLICTS_MAX)
    o->conflicts++;
  schedule_contended_update (o, now);
  o->next_update_at = o->contended_update_at;
  perform_due_actions (o, now);
}

static bool
is_centre_missing (const ownership_t *o)
{
  for (uint32_t i = 0; i < o->centre_count; i++)
    {
      uint32_t c = 0;

      while (c < o->record.centre_count
             && strcmp (o->record.centres[c].name, o->centres[i]) != 0)
        c++;
      if (c == o->record.centre_count && c < DECIDE_DATA_CENTRES_MAX)
        return true;
    }
  return false;
}

/* Creates the record, enters this process in it, or adds data centres.  All
   instances want these updates at the same time after a start, so each waits a
   random time, reads the record and then updates it.  Returns whether there is
   such an update to make.  */
static bool
try_contended_update (ownership_t *o, clock_ms_t now)
{
  bool create = o->record.version == 0;
  bool claim = o->self_index >= 0 && !o->member && !o->was_member;
  decide_record_t record;

  if (!create && !claim && !(o->member && is_centre_missing (o)))
    {
      o->contended_update_at = OWNERSHIP_NEVER;
      return false;
    }
  if (o->contended_update_at == OWNERSHIP_NEVER)
    schedule_contended_update (o, now);
  if (now < o->contended_update_at
      || !ownership_ensure_read (o, now, o->contended_update_at)
      || !ownership_is_store_fresh (o, now))
    return true;
  record = o->record;
  if (create)
    {
      if (!o->record_absent)
        return true;
      ownership_record_create (o, &record);
    }
  else if (claim)
    ownership_record_claim_entry (o, &record);
  else
    (void)ownership_record_add_centres (o, &record);
  ownership_submit_record (o, &record);
  return true;
}

/* Starts the reads, updates, handovers and takeovers that are due.  */
static void
perform_due_actions (ownership_t *o, clock_ms_t now)
{
  if (!o->pending_update.in_progress && o->pending_update.unresolved)
    (void)ownership_ensure_read (o, now, o->pending_update.unresolved_at);
  if (!o->pending_update.in_progress && !o->pending_update.unresolved
      && !o->stopping && try_contended_update (o, now))
    return;
  if (o->record.version == 0)
    return;
  ownership_handover_tick (o, now);
  if (!o->pending_update.in_progress && !o->pending_update.unresolved)
    ownership_takeover_tick (o, now);
}

void
ownership_handle_message (ownership_t *o, clock_ms_t now, decide_id_t from,
                          const decide_msg_t *msg)
{
  ownership_peer_t *peer;

  if (msg->type < DECIDE_MSG_HEARTBEAT || msg->type > DECIDE_MSG_HANDOVER_ACK
      || from == o->self)
    return;
  peer = ownership_peer_add (o, from, now);
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
      ownership_handle_heartbeat (o, now, from, msg);
      break;
    case DECIDE_MSG_HEARTBEAT_ACK:
      ownership_handle_heartbeat_ack (o, now, from, msg);
      break;
    case DECIDE_MSG_SUPPORT_REQUEST:
      ownership_handle_support_request (o, now, from, msg);
      break;
    case DECIDE_MSG_SUPPORT_REPLY:
      ownership_handle_support_reply (o, now, from, msg);
      break;
    case DECIDE_MSG_HANDOVER:
      ownership_handle_handover (o, now, from, msg);
      break;
    case DECIDE_MSG_HANDOVER_ACK:
      ownership_handle_handover_ack (o, now, from, msg);
      break;
    default:
      break;
    }
  if (o->attempt.active || msg->type == DECIDE_MSG_HANDOVER_ACK)
    perform_due_actions (o, now);
}

clock_ms_t
ownership_tick (ownership_t *o, clock_ms_t now)
{
  clock_ms_t next = now + TICK_INTERVAL_MS;

  perform_due_actions (o, now);
  if (o->stopping && has_potential_successor (o))
    o->potential_successor_at = now;
  if (now >= o->next_heartbeat_at)
    ownership_send_heartbeats (o, now);
  return o->next_heartbeat_at < next ? o->next_heartbeat_at : next;
}

void
ownership_stop (ownership_t *o, clock_ms_t now)
{
  if (o->stopping)
    return;
  o->stopping = true;
  o->stopping_since = now;
  o->potential_successor_at = now;
  o->attempt.active = false;
  ownership_send_heartbeats (o, now);
}

/* Whether there is another member that has not announced its shutdown.  A
   silent one counts, since it may be paused and take slices over later.  */
static bool
has_potential_successor (const ownership_t *o)
{
  for (uint32_t i = 0; i < o->record.member_count; i++)
    {
      const decide_member_t *member = &o->record.members[i];
      const ownership_peer_t *peer = ownership_peer_find (o, o->member_ids[i]);

      if (o->member_ids[i] != o->self && member->incarnation != 0
          && (peer == NULL || peer->incarnation != member->incarnation
              || peer->state != DECIDE_MEMBER_LEAVING))
        return true;
    }
  return false;
}

bool
ownership_has_stopped (const ownership_t *o, clock_ms_t now)
{
  bool store = ownership_is_store_fresh (o, now);

  if (!o->stopping)
    return false;
  if (o->record.version == 0 || !o->member)
    return true;
  if (now < o->stopping_since + 2 * DECIDE_HEARTBEAT_INTERVAL_MS
      || (o->pending_update.in_progress && store))
    return false;
  /* Without the store and without a successor the slices can't be handed over.
     But the other members, which are all stopping, may need grants in them
     until their callers use other instances.  */
  if (!store
      && now - o->potential_successor_at
             > DECIDE_ADDRESS_TTL_MS + DECIDE_HEARTBEAT_INTERVAL_MS)
    return true;
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const ownership_slice_t *slice = &o->slices[c][s];

        if (slice->delegate)
          return false;
        if (!slice->owned || (slice->acked && !store))
          continue;
        if (slice->offered
            || ownership_record_find_successor (o, now, &o->record, c, true)
                   >= 0)
          return false;
      }
  return true;
}
