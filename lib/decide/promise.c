#include "ownership_private.h"

#include <string.h>

/* If the last promise to a peer is older than this, after a pause or lost
   messages, its lease may be about to expire, so the next promise is sent at
   once.  */
#define PROMISE_GAP_MS (2 * DECIDE_HEARTBEAT_INTERVAL_MS)

static bool is_heartbeat_recipient (const ownership_t *o,
                                    const ownership_peer_t *peer);
static bool is_acting_valid (const ownership_t *o,
                             const decide_delegated_slice_t *acting);
static bool can_promise (const ownership_t *o, decide_id_t from,
                         const decide_msg_t *msg);
static bool has_supported_takeover (const ownership_t *o, decide_id_t from,
                                    const decide_msg_t *msg);
static void update_peer_state (ownership_peer_t *peer,
                               const decide_msg_heartbeat_t *heartbeat);
static void record_promise (ownership_t *o, clock_ms_t now,
                            ownership_peer_t *peer, uint64_t incarnation,
                            uint64_t version, const decide_promise_t *promise);

ownership_peer_t *
ownership_peer_find (const ownership_t *o, decide_id_t id)
{
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    if (o->peers[i].id == id && id != 0)
      return (ownership_peer_t *)&o->peers[i];
  return NULL;
}

ownership_peer_t *
ownership_peer_add (ownership_t *o, decide_id_t id, clock_ms_t now)
{
  ownership_peer_t *peer = ownership_peer_find (o, id);

  if (peer != NULL || id == o->self || id == 0)
    return peer;
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    {
      ownership_peer_t *entry = &o->peers[i];

      /* An entry is reused only if it is neither configured nor a member, and
         its peer was silent for long.  */
      if (entry->id != 0
          && (entry->configured || ownership_member_index (o, entry->id) >= 0
              || ownership_age (now, entry->heard_at)
                     < 2 * OWNERSHIP_REMOVE_AFTER_MS
              || ownership_age (now, entry->other_process_heard_at)
                     < 2 * OWNERSHIP_REMOVE_AFTER_MS))
        continue;
      memset (entry, 0, sizeof *entry);
      entry->id = id;
      entry->heard_at = entry->other_process_heard_at = entry->last_message_at
          = OWNERSHIP_NEVER;
      entry->ack_heartbeat_sent_at = OWNERSHIP_NEVER;
      return entry;
    }
  return NULL;
}

bool
ownership_peer_mark_heard (ownership_t *o, clock_ms_t now, decide_id_t id,
                           uint64_t incarnation)
{
  ownership_peer_t *peer = ownership_peer_add (o, id, now);

  if (id == o->self)
    return true;
  if (peer == NULL)
    return false;
  if (peer->incarnation == 0)
    peer->incarnation = incarnation;
  if (peer->incarnation == incarnation)
    peer->heard_at = now;
  else
    peer->other_process_heard_at = now;
  return true;
}

bool
ownership_peer_is_silent (const ownership_t *o, clock_ms_t now, decide_id_t id,
                          uint64_t incarnation, clock_ms_t limit)
{
  const ownership_peer_t *peer = ownership_peer_find (o, id);

  if (ownership_age (now, o->started_at) <= limit)
    return false;
  if (id == o->self)
    return incarnation != o->incarnation;
  if (peer == NULL)
    return true;
  /* Incarnation 0 stands for an instance of which no process is in the record
     yet; any of its processes that is alive may be about to enter itself.  */
  if (incarnation == 0)
    return ownership_age (now, peer->heard_at) > limit
           && ownership_age (now, peer->other_process_heard_at) > limit;
  return ownership_age (now, peer->incarnation == incarnation
                                 ? peer->heard_at
                                 : peer->other_process_heard_at)
         > limit;
}

clock_ms_t
ownership_majority_lease_left (const ownership_t *o, clock_ms_t now,
                               uint64_t first)
{
  clock_ms_t left[DECIDE_MEMBERS_MAX];
  uint32_t count = 0;
  uint32_t others
      = o->record.member_count / 2; /* needed besides this instance */

  if (!o->member)
    return 0;
  for (uint32_t i = 0; i < o->record.member_count; i++)
    {
      const ownership_peer_t *peer;
      clock_ms_t age;
      uint32_t j;

      if (o->member_peers[i] < 0)
        continue;
      peer = &o->peers[o->member_peers[i]];
      if (peer->ack_version != o->record.version
          || peer->ack_incarnation != o->record.members[i].incarnation
          || peer->ack_sequence < first)
        continue;
      age = ownership_age (now, peer->ack_heartbeat_sent_at);
      if (age < 0 || age >= OWNERSHIP_MAJORITY_LEASE_MS)
        continue;
      /* Insertion sort, longest time first.  */
      for (j = count; j > 0 && left[j - 1] < OWNERSHIP_MAJORITY_LEASE_MS - age;
           j--)
        left[j] = left[j - 1];
      left[j] = OWNERSHIP_MAJORITY_LEASE_MS - age;
      count++;
    }
  if (count < others)
    return 0;
  return others == 0 ? OWNERSHIP_MAJORITY_LEASE_MS : left[others - 1];
}

/* Whether heartbeats are sent to the peer: to configured instances and
   members.  All other peers get acknowledgements only.  */
static bool
is_heartbeat_recipient (const ownership_t *o, const ownership_peer_t *peer)
{
  return peer->configured || ownership_member_index (o, peer->id) >= 0;
}

void
ownership_send_heartbeats (ownership_t *o, clock_ms_t now)
{
  decide_msg_t msg;
  decide_msg_heartbeat_t *heartbeat = &msg.u.heartbeat;

  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_HEARTBEAT;
  msg.incarnation = o->incarnation;
  heartbeat->sequence = ++o->sequence;
  heartbeat->sent = now;
  heartbeat->state
      = o->stopping ? DECIDE_MEMBER_LEAVING : DECIDE_MEMBER_ACTIVE;
  heartbeat->record_version = o->record.version;
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const ownership_slice_t *slice = &o->slices[c][s];

        if (slice->delegate && heartbeat->acting_count < DECIDE_SLICES)
          heartbeat->acting[heartbeat->acting_count++]
              = (decide_delegated_slice_t){ .owner = slice->from,
                                            .owner_incarnation
                                            = slice->delegator_incarnation,
                                            .centre = c,
                                            .slice = s };
      }
  o->callbacks.fill (o->callbacks.context, &msg);
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    {
      ownership_peer_t *peer = &o->peers[i];

      if (peer->id == 0 || !is_heartbeat_recipient (o, peer))
        continue;
      /* A promise holds only for the record version at which it was made.  */
      heartbeat->has_promise = peer->promise_pending
                               && peer->promised_version == o->record.version;
      heartbeat->promise = peer->promise;
      peer->promise_pending = false;
      o->callbacks.send (o->callbacks.context, peer->id, &msg);
    }
  o->next_heartbeat_at = now + DECIDE_HEARTBEAT_INTERVAL_MS;
}

static bool
is_acting_valid (const ownership_t *o, const decide_delegated_slice_t *acting)
{
  const decide_slice_t *slice;

  if (acting->centre >= o->record.centre_count
      || acting->slice >= DECIDE_SLICES)
    return false;
  slice = &o->record.centres[acting->centre].slices[acting->slice];
  return slice->owner == acting->owner
         && slice->incarnation == acting->owner_incarnation;
}

/* Whether the heartbeat may be acknowledged with a promise, which counts for
   the sender's lease.  */
static bool
can_promise (const ownership_t *o, decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;
  int index = ownership_member_index (o, from);

  if (!o->member || heartbeat->record_version != o->record.version || index < 0
      || o->record.members[index].incarnation != msg->incarnation
      || ownership_has_supported_takeover (o, from, msg->incarnation))
    return false;
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    {
      const decide_delegated_slice_t *acting = &heartbeat->acting[i];

      if (!is_acting_valid (o, acting)
          || ownership_has_supported_takeover (o, acting->owner,
                                               acting->owner_incarnation))
        return false;
    }
  return true;
}

static bool
has_supported_takeover (const ownership_t *o, decide_id_t from,
                        const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;

  if (ownership_has_supported_takeover (o, from, msg->incarnation))
    return true;
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    if (ownership_has_supported_takeover (
            o, heartbeat->acting[i].owner,
            heartbeat->acting[i].owner_incarnation))
      return true;
  return false;
}

static void
update_peer_state (ownership_peer_t *peer,
                   const decide_msg_heartbeat_t *heartbeat)
{
  size_t size = heartbeat->acting_count * sizeof peer->acting[0];

  /* A delegate's lease begins with a promise for a heartbeat that announces
     the slice, so the next promise is sent at once.  */
  if (peer->acting_count != heartbeat->acting_count
      || memcmp (peer->acting, heartbeat->acting, size) != 0)
    peer->promised_version = 0;
  peer->state = heartbeat->state;
  peer->revision = heartbeat->revision;
  peer->acting_count = heartbeat->acting_count;
  memcpy (peer->acting, heartbeat->acting, size);
}

void
ownership_handle_heartbeat (ownership_t *o, clock_ms_t now, decide_id_t from,
                            const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;
  ownership_peer_t *peer = ownership_peer_find (o, from);
  decide_msg_t ack;
  bool owners_recorded = true;
  bool promised;
  bool supported;
  bool deferred;

  if (peer == NULL || heartbeat->acting_count > DECIDE_SLICES)
    return;
  update_peer_state (peer, heartbeat);
  if (heartbeat->has_promise)
    record_promise (o, now, peer, msg->incarnation, heartbeat->record_version,
                    &heartbeat->promise);
  /* No promise is made unless the signs of life of the owners are recorded,
     since support is refused on the grounds of these.  */
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    owners_recorded
        = ownership_peer_mark_heard (o, now, heartbeat->acting[i].owner,
                                     heartbeat->acting[i].owner_incarnation)
          && owners_recorded;
  promised = owners_recorded && can_promise (o, from, msg);
  supported = has_supported_takeover (o, from, msg);
  deferred
      = is_heartbeat_recipient (o, peer) && !supported
        && (!promised
            || (peer->promised_version == o->record.version
                && ownership_age (now, peer->promised_at) <= PROMISE_GAP_MS));
  peer->promise_pending = promised && deferred;
  if (promised)
    {
      peer->promised_version = o->record.version;
      peer->promised_at = now;
      peer->promise = (decide_promise_t){ .sequence = heartbeat->sequence,
                                          .sent = heartbeat->sent };
    }
  if (deferred)
    return;

  memset (&ack, 0, sizeof ack);
  ack.type = DECIDE_MSG_HEARTBEAT_ACK;
  ack.incarnation = o->incarnation;
  ack.u.ack.sequence = heartbeat->sequence;
  ack.u.ack.sent = heartbeat->sent;
  ack.u.ack.record_version = o->record.version;
  ack.u.ack.promised = promised;
  ack.u.ack.supported_against = supported;
  o->callbacks.fill (o->callbacks.context, &ack);
  o->callbacks.send (o->callbacks.context, from, &ack);
}

static void
record_promise (ownership_t *o, clock_ms_t now, ownership_peer_t *peer,
                uint64_t incarnation, uint64_t version,
                const decide_promise_t *promise)
{
  /* Sequence numbers start at random, so a promise that was meant for an
     earlier process of this instance fails the comparison.  */
  if (version != o->record.version || version == 0
      || promise->sequence > o->sequence || promise->sent > now
      || o->sequence - promise->sequence > UINT32_MAX
      || promise->sequence <= peer->ack_sequence)
    return;
  peer->ack_version = version;
  peer->ack_incarnation = incarnation;
  peer->ack_sequence = promise->sequence;
  peer->ack_heartbeat_sent_at = promise->sent;
}

void
ownership_handle_heartbeat_ack (ownership_t *o, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_ack_t *ack = &msg->u.ack;
  decide_promise_t promise = { .sequence = ack->sequence, .sent = ack->sent };
  ownership_peer_t *peer = ownership_peer_find (o, from);

  if (peer == NULL)
    return;
  peer->revision = ack->revision;
  if (ack->record_version != o->record.version || o->record.version == 0)
    return;
  if (ack->supported_against)
    o->rewrite_due = true;
  if (ack->promised)
    record_promise (o, now, peer, msg->incarnation, ack->record_version,
                    &promise);
}
