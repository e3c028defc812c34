#include "ownership_private.h"

#include <string.h>

#define REPLY_TIMEOUT_MS 400
#define ATTEMPT_JITTER_MS 300
#define BACKOFF_FAILURES_MAX 4
#define CANDIDATES_MAX 16

typedef struct candidates
{
  uint32_t count;
  ownership_process_t entries[CANDIDATES_MAX];
} candidates_t;

static bool can_support (const ownership_t *o, clock_ms_t now,
                         decide_id_t from, uint64_t delegator_incarnation,
                         const decide_msg_support_t *request);
static bool add_support (ownership_t *o, decide_id_t owner,
                         uint64_t incarnation);
static bool is_delegate_of (const ownership_t *o, decide_id_t owner,
                            uint64_t incarnation);
static bool has_offer_to (const ownership_t *o, decide_id_t target,
                          uint64_t incarnation);
static bool would_support (const ownership_t *o, clock_ms_t now,
                           decide_id_t owner, uint64_t incarnation);
static void add_candidate (const ownership_t *o, clock_ms_t now,
                           candidates_t *list, decide_id_t owner,
                           uint64_t incarnation, clock_ms_t limit);
static bool find_candidate (const ownership_t *o, clock_ms_t now,
                            ownership_process_t *candidate);
static void start_attempt (ownership_t *o, clock_ms_t now, decide_id_t owner,
                           uint64_t incarnation);
static void complete_attempt (ownership_t *o, clock_ms_t now);
static void reassign_slices (const ownership_t *o, clock_ms_t now,
                             decide_record_t *record);
static void schedule_next_attempt (ownership_t *o, clock_ms_t now);

bool
ownership_has_supported_takeover (const ownership_t *o, decide_id_t owner,
                                  uint64_t incarnation)
{
  for (uint32_t i = 0; i < o->supported_takeover_count; i++)
    if (o->supports[i].owner == owner
        && o->supports[i].incarnation == incarnation)
      return true;
  return false;
}

static bool
add_support (ownership_t *o, decide_id_t owner, uint64_t incarnation)
{
  if (ownership_has_supported_takeover (o, owner, incarnation))
    return true;
  if (o->supported_takeover_count
      == sizeof o->supports / sizeof o->supports[0])
    return false;
  o->supports[o->supported_takeover_count++]
      = (ownership_process_t){ owner, incarnation };
  return true;
}

/* Whether this instance serves a slice as a delegate of the process.  */
static bool
is_delegate_of (const ownership_t *o, decide_id_t owner, uint64_t incarnation)
{
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (o->slices[c][s].delegate && o->slices[c][s].from == owner
          && o->slices[c][s].delegator_incarnation == incarnation)
        return true;
  return false;
}

static bool
has_offer_to (const ownership_t *o, decide_id_t target, uint64_t incarnation)
{
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (o->slices[c][s].owned && o->slices[c][s].offered
          && o->slices[c][s].target == target
          && o->slices[c][s].target_incarnation == incarnation)
        return true;
  return false;
}

/* Whether this instance may support the takeover, removal or join that @from
   requests.  It must not if the process may still rely on a promise.  */
static bool
can_support (const ownership_t *o, clock_ms_t now, decide_id_t from,
             uint64_t delegator_incarnation,
             const decide_msg_support_t *request)
{
  int index = ownership_member_index (o, from);

  if (!o->member || request->record_version != o->record.version
      || ownership_age (now, o->started_at) <= DECIDE_OWNERSHIP_LEASE_MS)
    return false;
  /* A process that asks for support against itself asks to join.  */
  if (request->owner == from
      && request->owner_incarnation == delegator_incarnation)
    return index < 0 && o->record.member_count < DECIDE_MEMBERS_MAX;
  if (index < 0
      || o->record.members[index].incarnation != delegator_incarnation)
    return false;
  if (request->owner == o->self
      && request->owner_incarnation == o->incarnation)
    return false;
  if (is_delegate_of (o, request->owner, request->owner_incarnation))
    return false;
  return ownership_peer_is_silent (o, now, request->owner,
                                   request->owner_incarnation,
                                   DECIDE_OWNERSHIP_LEASE_MS);
}

void
ownership_handle_support_request (ownership_t *o, clock_ms_t now,
                                  decide_id_t from, const decide_msg_t *msg)
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
      = can_support (o, now, from, msg->incarnation, request)
        && (join
            || add_support (o, request->owner, request->owner_incarnation));
  o->callbacks.send (o->callbacks.context, from, &reply);
}

void
ownership_handle_support_reply (ownership_t *o, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_support_t *reply = &msg->u.support;
  ownership_attempt_t *attempt = &o->attempt;
  int index = ownership_member_index (o, from);

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
would_support (const ownership_t *o, clock_ms_t now, decide_id_t owner,
               uint64_t incarnation)
{
  decide_msg_support_t request = { .record_version = o->record.version,
                                   .owner = owner,
                                   .owner_incarnation = incarnation };

  return can_support (o, now, o->self, o->incarnation, &request);
}

static void
add_candidate (const ownership_t *o, clock_ms_t now, candidates_t *list,
               decide_id_t owner, uint64_t incarnation, clock_ms_t limit)
{
  /* Most owners are alive; checking this first keeps the common case cheap. */
  if (owner == 0 || list->count == CANDIDATES_MAX
      || !ownership_peer_is_silent (o, now, owner, incarnation, limit))
    return;
  for (uint32_t i = 0; i < list->count; i++)
    if (list->entries[i].owner == owner
        && list->entries[i].incarnation == incarnation)
      return;
  if (would_support (o, now, owner, incarnation))
    list->entries[list->count++] = (ownership_process_t){ owner, incarnation };
}

/* Chooses the process for the next attempt: a silent owner, a silent successor
   that a slice was offered to, or a silent member to remove; for a process
   that isn't a member, itself.  Candidates are chosen in rotation, since other
   members may refuse support for one of them for long.  */
static bool
find_candidate (const ownership_t *o, clock_ms_t now,
                ownership_process_t *candidate)
{
  const decide_record_t *record = &o->record;
  candidates_t list = { .count = 0 };

  if (!o->member)
    {
      *candidate = (ownership_process_t){ o->self, o->incarnation };
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
                   record->members[i].incarnation, OWNERSHIP_REMOVE_AFTER_MS);
  if (list.count == 0)
    return false;
  *candidate = list.entries[o->attempt.term % list.count];
  return true;
}

static void
start_attempt (ownership_t *o, clock_ms_t now, decide_id_t owner,
               uint64_t incarnation)
{
  ownership_attempt_t *attempt = &o->attempt;
  decide_msg_t msg;

  if (o->member && !add_support (o, owner, incarnation))
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

/* Reassigns the slices of the silent process, and this instance's slices that
   were offered to it.  */
static void
reassign_slices (const ownership_t *o, clock_ms_t now, decide_record_t *record)
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
complete_attempt (ownership_t *o, clock_ms_t now)
{
  ownership_attempt_t *attempt = &o->attempt;
  decide_record_t record = o->record;

  attempt->active = false;
  attempt->failures = 0;
  schedule_next_attempt (o, now);
  if (!o->member)
    ownership_record_add_self (o, &record);
  else if (ownership_record_is_owner (&record, attempt->owner,
                                      attempt->incarnation)
           || has_offer_to (o, attempt->owner, attempt->incarnation))
    reassign_slices (o, now, &record);
  else
    {
      int index = ownership_record_find_member (&record, attempt->owner);

      if (index < 0
          || record.members[index].incarnation != attempt->incarnation)
        return;
      ownership_record_remove_member (&record, attempt->owner);
    }
  ownership_submit_record (o, &record);
}

static void
schedule_next_attempt (ownership_t *o, clock_ms_t now)
{
  o->attempt.next_at
      = now + 100
        + decide_rng_below (o->rng, ATTEMPT_JITTER_MS << o->attempt.failures);
}

void
ownership_takeover_tick (ownership_t *o, clock_ms_t now)
{
  ownership_attempt_t *attempt = &o->attempt;
  ownership_process_t candidate;

  if (attempt->active && attempt->version != o->record.version)
    attempt->active = false;
  if (attempt->active)
    {
      uint32_t votes = (uint32_t)__builtin_popcount (attempt->votes);

      if (votes > o->record.member_count / 2)
        complete_attempt (o, now);
      else if (now > attempt->deadline)
        {
          attempt->active = false;
          if (attempt->failures < BACKOFF_FAILURES_MAX)
            attempt->failures++;
          schedule_next_attempt (o, now);
        }
      return;
    }
  /* While the store is down, the update would fail, and members that support
     it would needlessly withhold promises from an owner that may come back. */
  if (o->stopping || !ownership_is_store_fresh (o, now)
      || !find_candidate (o, now, &candidate))
    {
      attempt->next_at = OWNERSHIP_NEVER;
      return;
    }
  if (attempt->next_at == OWNERSHIP_NEVER)
    attempt->next_at = now + decide_rng_below (o->rng, ATTEMPT_JITTER_MS);
  if (now >= attempt->next_at)
    start_attempt (o, now, candidate.owner, candidate.incarnation);
}
