#include "ownership_private.h"

#include <string.h>

#define REPLY_TIMEOUT_MS 400
#define SPREAD_MS 300
#define FAILURES_MAX 4
#define CANDIDATES_MAX 16

typedef struct candidates
{
  uint32_t count;
  ownership_support_t entries[CANDIDATES_MAX];
} candidates_t;

static bool may_support (const ownership_t *o, clock_ms_t now,
                         decide_id_t from, uint64_t from_incarnation,
                         const decide_msg_support_t *request);
static bool record_support (ownership_t *o, decide_id_t owner,
                            uint64_t incarnation);
static bool acts_for (const ownership_t *o, decide_id_t owner,
                      uint64_t incarnation);
static bool offered_to (const ownership_t *o, decide_id_t target,
                        uint64_t incarnation);
static bool self_would_support (const ownership_t *o, clock_ms_t now,
                                decide_id_t owner, uint64_t incarnation);
static void add_candidate (const ownership_t *o, clock_ms_t now,
                           candidates_t *list, decide_id_t owner,
                           uint64_t incarnation, clock_ms_t limit);
static bool find_candidate (const ownership_t *o, clock_ms_t now,
                            ownership_support_t *candidate);
static void begin (ownership_t *o, clock_ms_t now, decide_id_t owner,
                   uint64_t incarnation);
static void finish (ownership_t *o, clock_ms_t now);
static void distribute (const ownership_t *o, clock_ms_t now,
                        decide_record_t *record);
static void postpone (ownership_t *o, clock_ms_t now);

bool
ownership_has_supported (const ownership_t *o, decide_id_t owner,
                         uint64_t incarnation)
{
  for (uint32_t i = 0; i < o->support_count; i++)
    if (o->supports[i].owner == owner
        && o->supports[i].incarnation == incarnation)
      return true;
  return false;
}

static bool
record_support (ownership_t *o, decide_id_t owner, uint64_t incarnation)
{
  if (ownership_has_supported (o, owner, incarnation))
    return true;
  if (o->support_count == sizeof o->supports / sizeof o->supports[0])
    return false;
  o->supports[o->support_count++]
      = (ownership_support_t){ owner, incarnation };
  return true;
}

/* Whether this instance is a delegate of the process.  */
static bool
acts_for (const ownership_t *o, decide_id_t owner, uint64_t incarnation)
{
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (o->slices[c][s].delegate && o->slices[c][s].from == owner
          && o->slices[c][s].from_incarnation == incarnation)
        return true;
  return false;
}

static bool
offered_to (const ownership_t *o, decide_id_t target, uint64_t incarnation)
{
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (o->slices[c][s].owned && o->slices[c][s].offered
          && o->slices[c][s].target == target
          && o->slices[c][s].target_incarnation == incarnation)
        return true;
  return false;
}

static bool
may_support (const ownership_t *o, clock_ms_t now, decide_id_t from,
             uint64_t from_incarnation, const decide_msg_support_t *request)
{
  int index = ownership_member (o, from);

  if (!o->member || request->record_version != o->record.version
      || ownership_age (now, o->started) <= DECIDE_OWNERSHIP_LEASE_MS)
    return false;
  /* A request for itself is a request to join.  */
  if (request->owner == from && request->owner_incarnation == from_incarnation)
    return index < 0 && o->record.member_count < DECIDE_MEMBERS_MAX;
  if (index < 0 || o->record.members[index].incarnation != from_incarnation)
    return false;
  if (request->owner == o->self
      && request->owner_incarnation == o->incarnation)
    return false;
  if (acts_for (o, request->owner, request->owner_incarnation))
    return false;
  return ownership_peer_silent (o, now, request->owner,
                                request->owner_incarnation,
                                DECIDE_OWNERSHIP_LEASE_MS);
}

void
ownership_support_request (ownership_t *o, clock_ms_t now, decide_id_t from,
                           const decide_msg_t *msg)
{
  const decide_msg_support_t *request = &msg->u.support;
  decide_msg_t reply;
  bool join = request->owner == from
              && request->owner_incarnation == msg->incarnation;

  memset (&reply, 0, sizeof reply);
  reply.type = DECIDE_MSG_SUPPORT_REPLY;
  reply.incarnation = o->incarnation;
  reply.u.support = *request;
  reply.u.support.granted
      = may_support (o, now, from, msg->incarnation, request)
        && (join
            || record_support (o, request->owner, request->owner_incarnation));
  o->callbacks.send (o->callbacks.context, from, &reply);
}

void
ownership_support_reply (ownership_t *o, clock_ms_t now, decide_id_t from,
                         const decide_msg_t *msg)
{
  const decide_msg_support_t *reply = &msg->u.support;
  ownership_attempt_t *attempt = &o->attempt;
  int index = ownership_member (o, from);

  (void)now;
  if (!attempt->active || !reply->granted || reply->term != attempt->term
      || reply->record_version != attempt->version
      || attempt->version != o->record.version
      || reply->owner != attempt->owner
      || reply->owner_incarnation != attempt->incarnation || index < 0
      || o->record.members[index].incarnation != msg->incarnation)
    return;
  attempt->votes |= 1U << index;
}

static bool
self_would_support (const ownership_t *o, clock_ms_t now, decide_id_t owner,
                    uint64_t incarnation)
{
  decide_msg_support_t request = { .record_version = o->record.version,
                                   .owner = owner,
                                   .owner_incarnation = incarnation };

  return may_support (o, now, o->self, o->incarnation, &request);
}

static void
add_candidate (const ownership_t *o, clock_ms_t now, candidates_t *list,
               decide_id_t owner, uint64_t incarnation, clock_ms_t limit)
{
  /* Most owners are heard; this keeps the common case cheap.  */
  if (owner == 0 || list->count == CANDIDATES_MAX
      || !ownership_peer_silent (o, now, owner, incarnation, limit))
    return;
  for (uint32_t i = 0; i < list->count; i++)
    if (list->entries[i].owner == owner
        && list->entries[i].incarnation == incarnation)
      return;
  if (self_would_support (o, now, owner, incarnation))
    list->entries[list->count++] = (ownership_support_t){ owner, incarnation };
}

/* Silent owners, successors that took no offer, members to remove.  They take
   turns, since the support for one may be refused by others for long.  */
static bool
find_candidate (const ownership_t *o, clock_ms_t now,
                ownership_support_t *candidate)
{
  const decide_record_t *record = &o->record;
  candidates_t list = { .count = 0 };

  if (!o->member)
    {
      *candidate = (ownership_support_t){ o->self, o->incarnation };
      return o->self_index < 0 && record->member_count < DECIDE_MEMBERS_MAX;
    }
  for (uint32_t c = 0; c < record->centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const decide_slice_t *slice = &record->centres[c].slices[s];
        const ownership_slice_t *own = &o->slices[c][s];

        if (own->owned && own->offered)
          add_candidate (o, now, &list, own->target, own->target_incarnation,
                         DECIDE_OWNERSHIP_LEASE_MS);
        else if (!own->owned)
          add_candidate (o, now, &list, slice->owner, slice->incarnation,
                         DECIDE_OWNERSHIP_LEASE_MS);
      }
  for (uint32_t i = 0; i < record->member_count; i++)
    add_candidate (o, now, &list, o->member_ids[i],
                   record->members[i].incarnation, OWNERSHIP_REMOVE_MS);
  if (list.count == 0)
    return false;
  *candidate = list.entries[o->attempt.term % list.count];
  return true;
}

static void
begin (ownership_t *o, clock_ms_t now, decide_id_t owner, uint64_t incarnation)
{
  ownership_attempt_t *attempt = &o->attempt;
  decide_msg_t msg;

  if (o->member && !record_support (o, owner, incarnation))
    return;
  attempt->active = true;
  attempt->deadline = now + REPLY_TIMEOUT_MS;
  attempt->term++;
  attempt->version = o->record.version;
  attempt->owner = owner;
  attempt->incarnation = incarnation;
  attempt->votes = o->member ? 1U << o->self_index : 0;

  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_SUPPORT_REQUEST;
  msg.incarnation = o->incarnation;
  msg.u.support.record_version = attempt->version;
  msg.u.support.owner = owner;
  msg.u.support.owner_incarnation = incarnation;
  msg.u.support.term = attempt->term;
  for (uint32_t i = 0; i < o->record.member_count; i++)
    if (o->member_ids[i] != o->self)
      o->callbacks.send (o->callbacks.context, o->member_ids[i], &msg);
}

/* Gives away the slices of the silent process, and the own ones that were
   offered to it.  */
static void
distribute (const ownership_t *o, clock_ms_t now, decide_record_t *record)
{
  for (uint32_t c = 0; c < record->centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const decide_slice_t *slice = &record->centres[c].slices[s];
        const ownership_slice_t *own = &o->slices[c][s];
        bool silent = slice->owner == o->attempt.owner
                      && slice->incarnation == o->attempt.incarnation;
        bool stuck = own->owned && own->offered
                     && own->target == o->attempt.owner
                     && own->target_incarnation == o->attempt.incarnation;
        int to = -1;

        if (silent || stuck)
          to = ownership_record_find_successor (o, now, record, c, false);
        if (to >= 0)
          ownership_record_assign_slice (record, c, s, o->member_ids[to],
                                         record->members[to].incarnation);
      }
}

static void
finish (ownership_t *o, clock_ms_t now)
{
  ownership_attempt_t *attempt = &o->attempt;
  decide_record_t record = o->record;

  attempt->active = false;
  attempt->failures = 0;
  postpone (o, now);
  if (!o->member)
    ownership_record_add_self (o, &record);
  else if (ownership_record_is_owner (&record, attempt->owner,
                                      attempt->incarnation)
           || offered_to (o, attempt->owner, attempt->incarnation))
    distribute (o, now, &record);
  else
    {
      int index = ownership_record_find_member (&record, attempt->owner);

      if (index < 0
          || record.members[index].incarnation != attempt->incarnation)
        return;
      ownership_record_remove_member (&record, attempt->owner);
    }
  ownership_put (o, &record);
}

static void
postpone (ownership_t *o, clock_ms_t now)
{
  o->attempt.next_at
      = now + 100
        + decide_rng_below (o->rng, SPREAD_MS << o->attempt.failures);
}

void
ownership_takeover_tick (ownership_t *o, clock_ms_t now)
{
  ownership_attempt_t *attempt = &o->attempt;
  ownership_support_t candidate;

  if (attempt->active && attempt->version != o->record.version)
    attempt->active = false;
  if (attempt->active)
    {
      uint32_t votes = (uint32_t)__builtin_popcount (attempt->votes);

      if (votes > o->record.member_count / 2)
        finish (o, now);
      else if (now > attempt->deadline)
        {
          attempt->active = false;
          if (attempt->failures < FAILURES_MAX)
            attempt->failures++;
          postpone (o, now);
        }
      return;
    }
  /* With the store down the update would fail, and support given for it
     would only take acknowledgements from an owner that may return.  */
  if (o->stopping || !ownership_store_fresh (o, now)
      || !find_candidate (o, now, &candidate))
    {
      attempt->next_at = OWNERSHIP_NEVER;
      return;
    }
  if (attempt->next_at == OWNERSHIP_NEVER)
    attempt->next_at = now + decide_rng_below (o->rng, SPREAD_MS);
  if (now >= attempt->next_at)
    begin (o, now, candidate.owner, candidate.incarnation);
}
