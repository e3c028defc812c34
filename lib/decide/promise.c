#include "ownership_private.h"

#include <string.h>

/* If the last promise to a peer is older than this, because of a pause or lost
   messages, the peer's lease may be about to expire.  The next promise is then
   sent at once in a HEARTBEAT_ACK, instead of with the next heartbeat.  */
#define PROMISE_GAP_MS (2 * DECIDE_HEARTBEAT_INTERVAL_MS)

static bool is_heartbeat_recipient (const ownership_t *ownership,
                                    const ownership_peer_t *peer);
static bool is_delegator_recorded (const ownership_t *ownership,
                                   const decide_delegated_slice_t *acting);
static bool can_promise (const ownership_t *ownership, decide_id_t from,
                         const decide_msg_t *msg);
static bool supports_takeover_from_sender (const ownership_t *ownership,
                                           decide_id_t from,
                                           const decide_msg_t *msg);
static void update_peer_state (ownership_peer_t *peer,
                               const decide_msg_heartbeat_t *heartbeat);
static void record_promise (ownership_t *ownership, clock_ms_t now,
                            ownership_peer_t *peer, uint64_t incarnation,
                            uint64_t version, const decide_promise_t *promise);

ownership_peer_t *
ownership_peer_find (const ownership_t *ownership, decide_id_t id)
{
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    if (ownership->peers[i].id == id && id != 0)
      return (ownership_peer_t *)&ownership->peers[i];
  return NULL;
}

ownership_peer_t *
ownership_peer_add (ownership_t *ownership, decide_id_t id, clock_ms_t now)
{
  ownership_peer_t *peer = ownership_peer_find (ownership, id);

  if (peer != NULL || id == ownership->self || id == 0)
    return peer;
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    {
      ownership_peer_t *entry = &ownership->peers[i];

      /* The entry of another peer is reused only if that peer is neither
         configured nor a member, and no process of it was heard for twice
         OWNERSHIP_REMOVE_AFTER_MS.  */
      if (entry->id != 0
          && (entry->configured
              || ownership_member_index (ownership, entry->id) >= 0
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
ownership_peer_mark_heard (ownership_t *ownership, clock_ms_t now,
                           decide_id_t id, uint64_t incarnation)
{
  ownership_peer_t *peer = ownership_peer_add (ownership, id, now);

  if (id == ownership->self)
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
ownership_peer_is_silent (const ownership_t *ownership, clock_ms_t now,
                          decide_id_t id, uint64_t incarnation,
                          clock_ms_t silence_ms)
{
  const ownership_peer_t *peer = ownership_peer_find (ownership, id);

  if (ownership_age (now, ownership->started_at) <= silence_ms)
    return false;
  if (id == ownership->self)
    return incarnation != ownership->incarnation;
  if (peer == NULL)
    return true;
  /* Incarnation 0 stands for an instance that has no process in the record.
     Any live process of it may be about to add itself to the record, so the
     instance is silent only if none of its processes was heard.  */
  if (incarnation == 0)
    return ownership_age (now, peer->heard_at) > silence_ms
           && ownership_age (now, peer->other_process_heard_at) > silence_ms;
  return ownership_age (now, peer->incarnation == incarnation
                                 ? peer->heard_at
                                 : peer->other_process_heard_at)
         > silence_ms;
}

clock_ms_t
ownership_majority_lease_left (const ownership_t *ownership, clock_ms_t now,
                               uint64_t first_sequence)
{
  clock_ms_t left[DECIDE_MEMBERS_MAX];
  uint32_t count = 0;
  /* Promises of other members that, together with this process itself, make a
     majority.  */
  uint32_t needed = ownership->record.member_count / 2;

  if (!ownership->member)
    return 0;
  for (uint32_t i = 0; i < ownership->record.member_count; i++)
    {
      const ownership_peer_t *peer;
      clock_ms_t age;
      uint32_t j;

      if (ownership->member_peers[i] < 0)
        continue;
      peer = &ownership->peers[ownership->member_peers[i]];
      if (peer->ack_version != ownership->record.version
          || peer->ack_incarnation != ownership->record.members[i].incarnation
          || peer->ack_sequence < first_sequence)
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
  if (count < needed)
    return 0;
  return needed == 0 ? OWNERSHIP_MAJORITY_LEASE_MS : left[needed - 1];
}

/* Returns whether heartbeats are sent to the peer, that is, whether it is a
   configured instance or a member.  Other peers get acknowledgements only.  */
static bool
is_heartbeat_recipient (const ownership_t *ownership,
                        const ownership_peer_t *peer)
{
  return peer->configured || ownership_member_index (ownership, peer->id) >= 0;
}

void
ownership_send_heartbeats (ownership_t *ownership, clock_ms_t now)
{
  decide_msg_t msg;
  decide_msg_heartbeat_t *heartbeat = &msg.u.heartbeat;

  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_HEARTBEAT;
  msg.incarnation = ownership->incarnation;
  heartbeat->sequence = ++ownership->sequence;
  heartbeat->sent = now;
  heartbeat->state
      = ownership->stopping ? DECIDE_MEMBER_LEAVING : DECIDE_MEMBER_ACTIVE;
  heartbeat->record_version = ownership->record.version;
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const ownership_slice_t *slice = &ownership->slices[c][s];

        if (slice->delegate && heartbeat->acting_count < DECIDE_SLICES)
          heartbeat->acting[heartbeat->acting_count++]
              = (decide_delegated_slice_t){ .owner = slice->delegator,
                                            .owner_incarnation
                                            = slice->delegator_incarnation,
                                            .centre = c,
                                            .slice = s };
      }
  ownership->callbacks.fill (ownership->callbacks.context, &msg);
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    {
      ownership_peer_t *peer = &ownership->peers[i];

      if (peer->id == 0 || !is_heartbeat_recipient (ownership, peer))
        continue;
      /* A promise counts only for the record version at which it was made.  */
      heartbeat->has_promise
          = peer->promise_pending
            && peer->promised_version == ownership->record.version;
      heartbeat->promise = peer->promise;
      peer->promise_pending = false;
      ownership->callbacks.send (ownership->callbacks.context, peer->id, &msg);
    }
  ownership->next_heartbeat_at = now + DECIDE_HEARTBEAT_INTERVAL_MS;
}

/* Returns whether the record names as owner of a slice the process from which
   a delegate says that it got the slice.  */
static bool
is_delegator_recorded (const ownership_t *ownership,
                       const decide_delegated_slice_t *acting)
{
  const decide_slice_t *slice;

  if (acting->centre >= ownership->record.centre_count
      || acting->slice >= DECIDE_SLICES)
    return false;
  slice = &ownership->record.centres[acting->centre].slices[acting->slice];
  return slice->owner == acting->owner
         && slice->incarnation == acting->owner_incarnation;
}

/* Returns whether a heartbeat may be acknowledged with a promise, which counts
   for the sender's lease: both processes are members at the same record
   version, and this process supports no takeover from the sender or from an
   owner that the sender is a delegate of.  */
static bool
can_promise (const ownership_t *ownership, decide_id_t from,
             const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;
  int index = ownership_member_index (ownership, from);

  if (!ownership->member
      || heartbeat->record_version != ownership->record.version || index < 0
      || ownership->record.members[index].incarnation != msg->incarnation
      || ownership_has_voted_against (ownership, from, msg->incarnation))
    return false;
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    {
      const decide_delegated_slice_t *acting = &heartbeat->acting[i];

      if (!is_delegator_recorded (ownership, acting)
          || ownership_has_voted_against (ownership, acting->owner,
                                          acting->owner_incarnation))
        return false;
    }
  return true;
}

/* Returns whether this process supports a takeover from the sender of a
   heartbeat, or from an owner that the sender is a delegate of.  */
static bool
supports_takeover_from_sender (const ownership_t *ownership, decide_id_t from,
                               const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;

  if (ownership_has_voted_against (ownership, from, msg->incarnation))
    return true;
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    if (ownership_has_voted_against (ownership, heartbeat->acting[i].owner,
                                     heartbeat->acting[i].owner_incarnation))
      return true;
  return false;
}

static void
update_peer_state (ownership_peer_t *peer,
                   const decide_msg_heartbeat_t *heartbeat)
{
  size_t size = heartbeat->acting_count * sizeof peer->acting[0];

  /* A delegate's lease on a slice begins with a promise for a heartbeat that
     announces the slice.  With @promised_version 0,
     ownership_handle_heartbeat() sends the next promise at once.  */
  if (peer->acting_count != heartbeat->acting_count
      || memcmp (peer->acting, heartbeat->acting, size) != 0)
    peer->promised_version = 0;
  peer->state = heartbeat->state;
  peer->revision = heartbeat->revision;
  peer->acting_count = heartbeat->acting_count;
  memcpy (peer->acting, heartbeat->acting, size);
}

void
ownership_handle_heartbeat (ownership_t *ownership, clock_ms_t now,
                            decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;
  ownership_peer_t *peer = ownership_peer_find (ownership, from);
  decide_msg_t ack;
  bool owners_recorded = true;
  bool promised;
  bool supports_takeover;
  bool deferred;

  if (peer == NULL || heartbeat->acting_count > DECIDE_SLICES)
    return;
  update_peer_state (peer, heartbeat);
  if (heartbeat->has_promise)
    record_promise (ownership, now, peer, msg->incarnation,
                    heartbeat->record_version, &heartbeat->promise);
  /* A delegate's heartbeat also shows that the owners of its slices must not
     be taken over from.  If there is no room to record this, no promise is
     made, since this process might otherwise support such a takeover.  */
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    owners_recorded = ownership_peer_mark_heard (
                          ownership, now, heartbeat->acting[i].owner,
                          heartbeat->acting[i].owner_incarnation)
                      && owners_recorded;
  promised = owners_recorded && can_promise (ownership, from, msg);
  supports_takeover = supports_takeover_from_sender (ownership, from, msg);
  deferred
      = is_heartbeat_recipient (ownership, peer) && !supports_takeover
        && (!promised
            || (peer->promised_version == ownership->record.version
                && ownership_age (now, peer->promised_at) <= PROMISE_GAP_MS));
  peer->promise_pending = promised && deferred;
  if (promised)
    {
      peer->promised_version = ownership->record.version;
      peer->promised_at = now;
      peer->promise = (decide_promise_t){ .sequence = heartbeat->sequence,
                                          .sent = heartbeat->sent };
    }
  if (deferred)
    return;

  memset (&ack, 0, sizeof ack);
  ack.type = DECIDE_MSG_HEARTBEAT_ACK;
  ack.incarnation = ownership->incarnation;
  ack.u.ack.sequence = heartbeat->sequence;
  ack.u.ack.sent = heartbeat->sent;
  ack.u.ack.record_version = ownership->record.version;
  ack.u.ack.promised = promised;
  ack.u.ack.supported_against = supports_takeover;
  ownership->callbacks.fill (ownership->callbacks.context, &ack);
  ownership->callbacks.send (ownership->callbacks.context, from, &ack);
}

/* Records a promise of a peer.  A promise is ignored if it was made for
   another record version, if it can't be one for a heartbeat of this process,
   or if it is no newer than the promise already recorded.
   @incarnation is the peer's, @version the record version of the message.  */
static void
record_promise (ownership_t *ownership, clock_ms_t now, ownership_peer_t *peer,
                uint64_t incarnation, uint64_t version,
                const decide_promise_t *promise)
{
  /* Sequence numbers start at a random value, so a promise for a heartbeat of
     an earlier process of this instance fails these comparisons.  */
  if (version != ownership->record.version || version == 0
      || promise->sequence > ownership->sequence || promise->sent > now
      || ownership->sequence - promise->sequence > UINT32_MAX
      || promise->sequence <= peer->ack_sequence)
    return;
  peer->ack_version = version;
  peer->ack_incarnation = incarnation;
  peer->ack_sequence = promise->sequence;
  peer->ack_heartbeat_sent_at = promise->sent;
}

void
ownership_handle_heartbeat_ack (ownership_t *ownership, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_ack_t *ack = &msg->u.ack;
  decide_promise_t promise = { .sequence = ack->sequence, .sent = ack->sent };
  ownership_peer_t *peer = ownership_peer_find (ownership, from);

  if (peer == NULL)
    return;
  peer->revision = ack->revision;
  if (ack->record_version != ownership->record.version
      || ownership->record.version == 0)
    return;
  if (ack->supported_against)
    ownership->rewrite_due = true;
  if (ack->promised)
    record_promise (ownership, now, peer, msg->incarnation,
                    ack->record_version, &promise);
}
