#include "ownership_private.h"

#include <string.h>

/* Without a promise for this long the sender's evidence may be running out,
   after a pause or lost messages, so the next one is sent at once.  */
#define PROMISE_GAP_MS (2 * DECIDE_HEARTBEAT_INTERVAL_MS)

static bool gets_heartbeats (const ownership_t *o,
                             const ownership_peer_t *peer);
static bool acting_valid (const ownership_t *o, const decide_acting_t *acting);
static bool promise (const ownership_t *o, decide_id_t from,
                     const decide_msg_t *msg);
static bool told_support (const ownership_t *o, decide_id_t from,
                          const decide_msg_t *msg);
static void read_heartbeat (ownership_peer_t *peer,
                            const decide_msg_heartbeat_t *heartbeat);
static void note_promise (ownership_t *o, clock_ms_t now,
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

      /* An entry is reused only when its silence no longer matters.  */
      if (entry->id != 0
          && (entry->configured || ownership_member (o, entry->id) >= 0
              || ownership_age (now, entry->heard) < 2 * OWNERSHIP_REMOVE_MS
              || ownership_age (now, entry->heard_older)
                     < 2 * OWNERSHIP_REMOVE_MS))
        continue;
      memset (entry, 0, sizeof *entry);
      entry->id = id;
      entry->heard = entry->heard_older = entry->last_message_at
          = OWNERSHIP_NEVER;
      entry->ack_sent = OWNERSHIP_NEVER;
      return entry;
    }
  return NULL;
}

bool
ownership_peer_touch (ownership_t *o, clock_ms_t now, decide_id_t id,
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
    peer->heard = now;
  else
    peer->heard_older = now;
  return true;
}

bool
ownership_peer_silent (const ownership_t *o, clock_ms_t now, decide_id_t id,
                       uint64_t incarnation, clock_ms_t limit)
{
  const ownership_peer_t *peer = ownership_peer_find (o, id);

  if (ownership_age (now, o->started) <= limit)
    return false;
  if (id == o->self)
    return incarnation != o->incarnation;
  if (peer == NULL)
    return true;
  /* A process that has just started is about to claim incarnation 0.  */
  if (incarnation == 0)
    return ownership_age (now, peer->heard) > limit
           && ownership_age (now, peer->heard_older) > limit;
  return ownership_age (now, peer->incarnation == incarnation
                                 ? peer->heard
                                 : peer->heard_older)
         > limit;
}

clock_ms_t
ownership_majority_left (const ownership_t *o, clock_ms_t now, uint64_t first)
{
  clock_ms_t left[DECIDE_MEMBERS_MAX];
  uint32_t count = 0;
  uint32_t others = o->record.member_count / 2; /* needed besides itself */

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
      age = ownership_age (now, peer->ack_sent);
      if (age < 0 || age >= OWNERSHIP_EVIDENCE_MS)
        continue;
      /* Insertion keeps the longest first.  */
      for (j = count; j > 0 && left[j - 1] < OWNERSHIP_EVIDENCE_MS - age; j--)
        left[j] = left[j - 1];
      left[j] = OWNERSHIP_EVIDENCE_MS - age;
      count++;
    }
  if (count < others)
    return 0;
  return others == 0 ? OWNERSHIP_EVIDENCE_MS : left[others - 1];
}

/* Others hear of this instance by acknowledgements only.  */
static bool
gets_heartbeats (const ownership_t *o, const ownership_peer_t *peer)
{
  return peer->configured || ownership_member (o, peer->id) >= 0;
}

void
ownership_heartbeat_send (ownership_t *o, clock_ms_t now)
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
              = (decide_acting_t){ .owner = slice->from,
                                   .owner_incarnation
                                   = slice->from_incarnation,
                                   .centre = c,
                                   .slice = s };
      }
  o->callbacks.fill (o->callbacks.context, &msg);
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    {
      ownership_peer_t *peer = &o->peers[i];

      if (peer->id == 0 || !gets_heartbeats (o, peer))
        continue;
      /* A promise counts at the version at which it was made.  */
      heartbeat->has_promise
          = peer->promise_waits && peer->promised_version == o->record.version;
      heartbeat->promise = peer->promise;
      peer->promise_waits = false;
      o->callbacks.send (o->callbacks.context, peer->id, &msg);
    }
  o->next_heartbeat = now + DECIDE_HEARTBEAT_INTERVAL_MS;
}

static bool
acting_valid (const ownership_t *o, const decide_acting_t *acting)
{
  const decide_slice_t *slice;

  if (acting->centre >= o->record.centre_count
      || acting->slice >= DECIDE_SLICES)
    return false;
  slice = &o->record.centres[acting->centre].slices[acting->slice];
  return slice->owner == acting->owner
         && slice->incarnation == acting->owner_incarnation;
}

/* Whether the sender may use this instance's acknowledgement as evidence.  */
static bool
promise (const ownership_t *o, decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;
  int index = ownership_member (o, from);

  if (!o->member || heartbeat->record_version != o->record.version || index < 0
      || o->record.members[index].incarnation != msg->incarnation
      || ownership_has_supported (o, from, msg->incarnation))
    return false;
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    {
      const decide_acting_t *acting = &heartbeat->acting[i];

      if (!acting_valid (o, acting)
          || ownership_has_supported (o, acting->owner,
                                      acting->owner_incarnation))
        return false;
    }
  return true;
}

static bool
told_support (const ownership_t *o, decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;

  if (ownership_has_supported (o, from, msg->incarnation))
    return true;
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    if (ownership_has_supported (o, heartbeat->acting[i].owner,
                                 heartbeat->acting[i].owner_incarnation))
      return true;
  return false;
}

static void
read_heartbeat (ownership_peer_t *peer,
                const decide_msg_heartbeat_t *heartbeat)
{
  size_t size = heartbeat->acting_count * sizeof peer->acting[0];

  /* Evidence of a delegate begins with the announcement of a slice.  */
  if (peer->acting_count != heartbeat->acting_count
      || memcmp (peer->acting, heartbeat->acting, size) != 0)
    peer->promised_version = 0;
  peer->state = heartbeat->state;
  peer->revision = heartbeat->revision;
  peer->acting_count = heartbeat->acting_count;
  memcpy (peer->acting, heartbeat->acting, size);
}

void
ownership_heartbeat (ownership_t *o, clock_ms_t now, decide_id_t from,
                     const decide_msg_t *msg)
{
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;
  ownership_peer_t *peer = ownership_peer_find (o, from);
  decide_msg_t ack;
  bool known = true;
  bool promised;
  bool supported;
  bool waits;

  if (peer == NULL || heartbeat->acting_count > DECIDE_SLICES)
    return;
  read_heartbeat (peer, heartbeat);
  if (heartbeat->has_promise)
    note_promise (o, now, peer, msg->incarnation, heartbeat->record_version,
                  &heartbeat->promise);
  /* A promise that could not be remembered is not given.  */
  for (uint32_t i = 0; i < heartbeat->acting_count; i++)
    known = ownership_peer_touch (o, now, heartbeat->acting[i].owner,
                                  heartbeat->acting[i].owner_incarnation)
            && known;
  promised = known && promise (o, from, msg);
  supported = told_support (o, from, msg);
  waits
      = gets_heartbeats (o, peer) && !supported
        && (!promised
            || (peer->promised_version == o->record.version
                && ownership_age (now, peer->promised_at) <= PROMISE_GAP_MS));
  peer->promise_waits = promised && waits;
  if (promised)
    {
      peer->promised_version = o->record.version;
      peer->promised_at = now;
      peer->promise = (decide_promise_t){ .sequence = heartbeat->sequence,
                                          .sent = heartbeat->sent };
    }
  if (waits)
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
note_promise (ownership_t *o, clock_ms_t now, ownership_peer_t *peer,
              uint64_t incarnation, uint64_t version,
              const decide_promise_t *promise)
{
  /* Sequences start at a random number, so a promise meant for an earlier
     process of this name fails the comparison.  */
  if (version != o->record.version || version == 0
      || promise->sequence > o->sequence || promise->sent > now
      || o->sequence - promise->sequence > UINT32_MAX
      || promise->sequence <= peer->ack_sequence)
    return;
  peer->ack_version = version;
  peer->ack_incarnation = incarnation;
  peer->ack_sequence = promise->sequence;
  peer->ack_sent = promise->sent;
}

void
ownership_heartbeat_ack (ownership_t *o, clock_ms_t now, decide_id_t from,
                         const decide_msg_t *msg)
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
    note_promise (o, now, peer, msg->incarnation, ack->record_version,
                  &promise);
}
