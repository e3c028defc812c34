#include "ownership_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Reads of the store that are asked for again.  The wait doubles, so that all
   instances that started in an outage stay below the store's rate when it
   returns.  */
#define READ_RETRY_MS 200
#define READ_RETRY_MAX_MS 1000
#define FIRST_SPREAD_MS 400
#define CONFLICT_SPREAD_MS 100
#define CONFLICTS_MAX 4
#define TICK_MS 50
#define NEW_VERSION_HEARTBEAT_MS 20

static bool settings_valid (const ownership_settings_t *settings);
static bool has_centre (const ownership_t *o, const char *name);
static void learn (ownership_t *o, clock_ms_t now,
                   const decide_record_t *record);
static void set_contend (ownership_t *o, clock_ms_t now);
static bool centre_missing (const ownership_t *o);
static bool contend (ownership_t *o, clock_ms_t now);
static void act (ownership_t *o, clock_ms_t now);
static bool has_company (const ownership_t *o);

static bool
settings_valid (const ownership_settings_t *settings)
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

  if (!settings_valid (settings))
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
  o->started = now;
  o->longest_grant = OWNERSHIP_LONGEST_GRANT_MS;
  o->read_sent = o->ask_at = OWNERSHIP_NEVER;
  o->read_retry_ms = READ_RETRY_MS;
  o->contend_at = o->attempt.next_at = OWNERSHIP_NEVER;
  o->self_index = -1;
  o->next_heartbeat = now;
  /* A random start tells acknowledgements of this process's heartbeats from
     those meant for an earlier process of the name.  */
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
  o->longest_grant = grant_ms;
}

bool
ownership_store_fresh (const ownership_t *o, clock_ms_t now)
{
  return ownership_age (now, o->read_sent) < DECIDE_OWNERSHIP_LEASE_MS;
}

bool
ownership_ensure_read (ownership_t *o, clock_ms_t now, clock_ms_t since)
{
  if (o->read_sent != OWNERSHIP_NEVER && o->read_sent >= since)
    return true;
  if (o->syncing || now < o->ask_at)
    return false;
  o->ask_at = now + o->read_retry_ms / 2
              + decide_rng_below (o->rng, (uint32_t)o->read_retry_ms);
  o->read_retry_ms = 2 * o->read_retry_ms < READ_RETRY_MAX_MS
                         ? 2 * o->read_retry_ms
                         : READ_RETRY_MAX_MS;
  o->callbacks.store_read (o->callbacks.context);
  return false;
}

void
ownership_put (ownership_t *o, const decide_record_t *record)
{
  o->put.busy = true;
  o->put.operation++;
  o->put.record = *record;
  o->callbacks.store_put (o->callbacks.context, o->put.operation,
                          record->version, &o->put.record);
}

static void
set_contend (ownership_t *o, clock_ms_t now)
{
  uint32_t spread = o->conflicts == 0 ? FIRST_SPREAD_MS
                                      : CONFLICT_SPREAD_MS * o->conflicts;

  o->contend_at = now + decide_rng_below (o->rng, spread);
}

static void
learn (ownership_t *o, clock_ms_t now, const decide_record_t *record)
{
  decide_record_t previous = o->record;

  o->record = *record;
  o->record_absent = false;
  o->support_count = 0;
  o->rewrite_due = false;
  if (o->put.unresolved && record->version > o->put.record.version)
    o->put.unresolved = false;
  for (uint32_t i = 0; i < record->member_count; i++)
    o->member_ids[i] = decide_id (record->members[i].name);
  o->self_index = ownership_member (o, o->self);
  o->member = o->self_index >= 0
              && record->members[o->self_index].incarnation == o->incarnation;
  o->was_member = o->was_member || o->member;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *member = &record->members[i];
      int old = ownership_record_find_member (&previous, o->member_ids[i]);
      const ownership_peer_t *peer;

      /* A process that has just claimed its entry has not been silent.  */
      if (member->incarnation != 0
          && (old < 0
              || previous.members[old].incarnation != member->incarnation))
        (void)ownership_peer_touch (o, now, o->member_ids[i],
                                    member->incarnation);
      peer = ownership_peer_add (o, o->member_ids[i], now);
      o->member_peers[i] = peer == NULL ? -1 : (int)(peer - o->peers);
    }
  ownership_slices_learn (o, now, &previous);
  /* Evidence by majority starts anew with each version.  */
  if (o->next_heartbeat > now + NEW_VERSION_HEARTBEAT_MS)
    o->next_heartbeat = now + NEW_VERSION_HEARTBEAT_MS;
}

int
ownership_adopt_record (ownership_t *o, clock_ms_t now,
                        const decide_record_t *record)
{
  if (ownership_record_validate (record) != 0)
    return -EINVAL;
  if (record->version <= o->record.version)
    return -ESTALE;
  /* Indices of centres are used between instances.  */
  if (record->centre_count < o->record.centre_count)
    return -EINVAL;
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    if (strcmp (record->centres[c].name, o->record.centres[c].name) != 0)
      return -EINVAL;
  learn (o, now, record);
  act (o, now);
  return 0;
}

void
ownership_handle_read_result (ownership_t *o, clock_ms_t now, clock_ms_t sent,
                              bool ok, bool record_seen)
{
  /* A record that vanished proves nothing about who owns what.  */
  if (!ok || sent > now || (!record_seen && o->record.version != 0))
    return;
  if (sent > o->read_sent)
    o->read_sent = sent;
  o->read_retry_ms = READ_RETRY_MS;
  if (o->ask_at > now + READ_RETRY_MS)
    o->ask_at = now + READ_RETRY_MS;
  o->record_absent = !record_seen;
  if (o->put.unresolved && sent >= o->put.unresolved_at)
    o->put.unresolved = false;
  o->syncing = true;
  act (o, now);
  o->syncing = false;
}

void
ownership_handle_put_result (ownership_t *o, clock_ms_t now,
                             uint64_t operation, decide_store_result_t result,
                             uint64_t version)
{
  if (!o->put.busy || operation != o->put.operation)
    return;
  o->put.busy = false;
  if (result == DECIDE_STORE_OK)
    {
      o->conflicts = 0;
      o->contend_at = OWNERSHIP_NEVER;
      if (version > o->record.version)
        {
          decide_record_t record = o->put.record;

          record.version = version;
          learn (o, now, &record);
        }
      act (o, now);
      return;
    }
  if (result == DECIDE_STORE_UNKNOWN
      && o->record.version <= o->put.record.version)
    {
      o->put.unresolved = true;
      o->put.unresolved_at = now;
    }
  if (o->conflicts < CONFLICTS_MAX)
    o->conflicts++;
  set_contend (o, now);
  o->change_at = o->contend_at;
  act (o, now);
}

static bool
centre_missing (const ownership_t *o)
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

/* Creation, the own entry and new centres: updates that all instances want at
   the same time after a start.  Each waits a random time, reads the record
   and then updates it.  Returns whether there is such an update to make.  */
static bool
contend (ownership_t *o, clock_ms_t now)
{
  bool create = o->record.version == 0;
  bool claim = o->self_index >= 0 && !o->member && !o->was_member;
  decide_record_t record;

  if (!create && !claim && !(o->member && centre_missing (o)))
    {
      o->contend_at = OWNERSHIP_NEVER;
      return false;
    }
  if (o->contend_at == OWNERSHIP_NEVER)
    set_contend (o, now);
  if (now < o->contend_at || !ownership_ensure_read (o, now, o->contend_at)
      || !ownership_store_fresh (o, now))
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
  ownership_put (o, &record);
  return true;
}

/* Does what the known state asks for.  */
static void
act (ownership_t *o, clock_ms_t now)
{
  if (!o->put.busy && o->put.unresolved)
    (void)ownership_ensure_read (o, now, o->put.unresolved_at);
  if (!o->put.busy && !o->put.unresolved && !o->stopping && contend (o, now))
    return;
  if (o->record.version == 0)
    return;
  ownership_handover_tick (o, now);
  if (!o->put.busy && !o->put.unresolved)
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
      if (peer->heard > peer->heard_older)
        peer->heard_older = peer->heard;
      peer->incarnation = msg->incarnation;
      peer->acting_count = 0;
      peer->promised_version = 0;
    }
  peer->heard = peer->last_message_at = now;
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      ownership_heartbeat (o, now, from, msg);
      break;
    case DECIDE_MSG_HEARTBEAT_ACK:
      ownership_heartbeat_ack (o, now, from, msg);
      break;
    case DECIDE_MSG_SUPPORT_REQUEST:
      ownership_support_request (o, now, from, msg);
      break;
    case DECIDE_MSG_SUPPORT_REPLY:
      ownership_support_reply (o, now, from, msg);
      break;
    case DECIDE_MSG_HANDOVER:
      ownership_handover (o, now, from, msg);
      break;
    case DECIDE_MSG_HANDOVER_ACK:
      ownership_handover_ack (o, now, from, msg);
      break;
    default:
      break;
    }
  if (o->attempt.active || msg->type == DECIDE_MSG_HANDOVER_ACK)
    act (o, now);
}

clock_ms_t
ownership_tick (ownership_t *o, clock_ms_t now)
{
  clock_ms_t next = now + TICK_MS;

  act (o, now);
  if (o->stopping && has_company (o))
    o->company_at = now;
  if (now >= o->next_heartbeat)
    ownership_heartbeat_send (o, now);
  return o->next_heartbeat < next ? o->next_heartbeat : next;
}

void
ownership_stop (ownership_t *o, clock_ms_t now)
{
  if (o->stopping)
    return;
  o->stopping = true;
  o->stop_at = now;
  o->company_at = now;
  o->attempt.active = false;
  ownership_heartbeat_send (o, now);
}

/* Whether another member has not announced that it leaves.  A silent one may
   be paused and take slices later.  */
static bool
has_company (const ownership_t *o)
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
  bool store = ownership_store_fresh (o, now);

  if (!o->stopping)
    return false;
  if (o->record.version == 0 || !o->member)
    return true;
  if (now < o->stop_at + 2 * DECIDE_HEARTBEAT_INTERVAL_MS
      || (o->put.busy && store))
    return false;
  /* Without the store and a successor the slices are lost in any case.  Until
     callers have left the others, these may need them.  */
  if (!store
      && now - o->company_at
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
