#include "ownership_private.h"

#include <string.h>

/* An attempt fails if no majority has replied after this time.  */
#define REPLY_TIMEOUT_MS 400
/* Longest random delay before an attempt; it doubles with each consecutive
   failure, BACKOFF_FAILURES_MAX times at most.  */
#define ATTEMPT_JITTER_MS 300
#define BACKOFF_FAILURES_MAX 4
#define CANDIDATES_MAX 16

/* Processes that the next attempt may take slices over from, or remove.  */
typedef struct candidates
{
  uint32_t count;
  ownership_process_t entries[CANDIDATES_MAX];
} candidates_t;

static bool can_support (const ownership_t *ownership, clock_ms_t now,
                         decide_id_t from, uint64_t requester_incarnation,
                         const decide_msg_support_t *request);
static bool add_support (ownership_t *ownership, decide_id_t owner,
                         uint64_t incarnation);
static bool is_delegate_of (const ownership_t *ownership, decide_id_t owner,
                            uint64_t incarnation);
static bool has_offer_to (const ownership_t *ownership, decide_id_t target,
                          uint64_t incarnation);
static bool would_support (const ownership_t *ownership, clock_ms_t now,
                           decide_id_t owner, uint64_t incarnation);
static void add_candidate (const ownership_t *ownership, clock_ms_t now,
                           candidates_t *list, decide_id_t instance,
                           uint64_t incarnation, clock_ms_t silence_ms);
static bool find_candidate (const ownership_t *ownership, clock_ms_t now,
                            ownership_process_t *candidate);
static void start_attempt (ownership_t *ownership, clock_ms_t now,
                           decide_id_t owner, uint64_t incarnation);
static void complete_attempt (ownership_t *ownership, clock_ms_t now);
static void reassign_slices (const ownership_t *ownership, clock_ms_t now,
                             decide_record_t *record);
static void schedule_next_attempt (ownership_t *ownership, clock_ms_t now);

bool
ownership_has_voted_against (const ownership_t *ownership,
                             decide_id_t instance, uint64_t incarnation)
{
  for (uint32_t i = 0; i < ownership->voted_against_count; i++)
    if (ownership->voted_against[i].instance == instance
        && ownership->voted_against[i].incarnation == incarnation)
      return true;
  return false;
}

/* Records that this process supports the takeover from a process, or its
   removal.  Returns false when there is no room for it.  */
static bool
add_support (ownership_t *ownership, decide_id_t owner, uint64_t incarnation)
{
  if (ownership_has_voted_against (ownership, owner, incarnation))
    return true;
  if (ownership->voted_against_count
      == sizeof ownership->voted_against / sizeof ownership->voted_against[0])
    return false;
  ownership->voted_against[ownership->voted_against_count++]
      = (ownership_process_t){ owner, incarnation };
  return true;
}

/* Returns whether this process serves a slice as a delegate of the process
   (@owner, @incarnation).  */
static bool
is_delegate_of (const ownership_t *ownership, decide_id_t owner,
                uint64_t incarnation)
{
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (ownership->slices[c][s].delegate
          && ownership->slices[c][s].delegator == owner
          && ownership->slices[c][s].delegator_incarnation == incarnation)
        return true;
  return false;
}

/* Returns whether this process has offered one of its slices to the process
   (@target, @incarnation).  */
static bool
has_offer_to (const ownership_t *ownership, decide_id_t target,
              uint64_t incarnation)
{
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (ownership->slices[c][s].owned && ownership->slices[c][s].offered
          && ownership->slices[c][s].target == target
          && ownership->slices[c][s].target_incarnation == incarnation)
        return true;
  return false;
}

/* Returns whether this process may support the takeover, removal or join that
   @from requests.  It must not support a takeover while the process to take
   over from may still have a lease that a promise of this instance gave.  */
static bool
can_support (const ownership_t *ownership, clock_ms_t now, decide_id_t from,
             uint64_t requester_incarnation,
             const decide_msg_support_t *request)
{
  int index = ownership_member_index (ownership, from);

  if (!ownership->member
      || request->record_version != ownership->record.version
      || ownership_age (now, ownership->started_at)
             <= DECIDE_OWNERSHIP_LEASE_MS)
    return false;
  /* A request in which a process names itself is a request to join.  */
  if (request->owner == from
      && request->owner_incarnation == requester_incarnation)
    return index < 0 && ownership->record.member_count < DECIDE_MEMBERS_MAX;
  if (index < 0
      || ownership->record.members[index].incarnation != requester_incarnation)
    return false;
  if (request->owner == ownership->self
      && request->owner_incarnation == ownership->incarnation)
    return false;
  if (is_delegate_of (ownership, request->owner, request->owner_incarnation))
    return false;
  return ownership_peer_is_silent (ownership, now, request->owner,
                                   request->owner_incarnation,
                                   DECIDE_OWNERSHIP_LEASE_MS);
}

void
ownership_handle_support_request (ownership_t *ownership, clock_ms_t now,
                                  decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_support_t *request = &msg->u.support;
  decide_msg_t reply;
  bool join = request->owner == from
              && request->owner_incarnation == msg->incarnation;

  memset (&reply, 0, sizeof reply);
  reply.type = DECIDE_MSG_SUPPORT_REPLY;
  reply.incarnation = ownership->incarnation;
  reply.u.support = *request;
  reply.u.support.granted
      = can_support (ownership, now, from, msg->incarnation, request)
        && (join
            || add_support (ownership, request->owner,
                            request->owner_incarnation));
  ownership->callbacks.send (ownership->callbacks.context, from, &reply);
}

void
ownership_handle_support_reply (ownership_t *ownership, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_support_t *reply = &msg->u.support;
  ownership_attempt_t *attempt = &ownership->attempt;
  int index = ownership_member_index (ownership, from);

  (void)now;
  if (!attempt->active || !reply->granted || reply->term != attempt->term
      || reply->record_version != attempt->version
      || attempt->version != ownership->record.version
      || reply->owner != attempt->owner
      || reply->owner_incarnation != attempt->incarnation || index < 0
      || ownership->record.members[index].incarnation != msg->incarnation)
    return;
  attempt->voters |= 1U << index;
}

/* Returns whether this process may support an attempt of its own about the
   process (@owner, @incarnation).  */
static bool
would_support (const ownership_t *ownership, clock_ms_t now, decide_id_t owner,
               uint64_t incarnation)
{
  decide_msg_support_t request = { .record_version = ownership->record.version,
                                   .owner = owner,
                                   .owner_incarnation = incarnation };

  return can_support (ownership, now, ownership->self, ownership->incarnation,
                      &request);
}

/* Adds the process (@instance, @incarnation) to @list if nothing was heard
   from it for more than @silence_ms and the calling process may support an
   attempt about it.  */
static void
add_candidate (const ownership_t *ownership, clock_ms_t now,
               candidates_t *list, decide_id_t instance, uint64_t incarnation,
               clock_ms_t silence_ms)
{
  /* Most owners are alive, so this check comes first to keep the call
     cheap.  */
  if (instance == 0 || list->count == CANDIDATES_MAX
      || !ownership_peer_is_silent (ownership, now, instance, incarnation,
                                    silence_ms))
    return;
  for (uint32_t i = 0; i < list->count; i++)
    if (list->entries[i].instance == instance
        && list->entries[i].incarnation == incarnation)
      return;
  if (would_support (ownership, now, instance, incarnation))
    list->entries[list->count++]
        = (ownership_process_t){ instance, incarnation };
}

/* Chooses the process that the next attempt is about: a silent owner, a silent
   successor to which a slice was offered, or a silent member to remove.  A
   process that isn't a member chooses itself, to join.  Candidates are chosen
   in rotation, since members may refuse support for one of them for a long
   time.  Returns false when there is none.  */
static bool
find_candidate (const ownership_t *ownership, clock_ms_t now,
                ownership_process_t *candidate)
{
  const decide_record_t *record = &ownership->record;
  candidates_t list = { .count = 0 };

  if (!ownership->member)
    {
      *candidate
          = (ownership_process_t){ ownership->self, ownership->incarnation };
      return ownership->self_index < 0
             && record->member_count < DECIDE_MEMBERS_MAX;
    }
  for (uint32_t c = 0; c < record->centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const decide_slice_t *slice = &record->centres[c].slices[s];
        const ownership_slice_t *own = &ownership->slices[c][s];

        if (own->owned && own->offered)
          add_candidate (ownership, now, &list, own->target,
                         own->target_incarnation, DECIDE_OWNERSHIP_LEASE_MS);
        else if (!own->owned)
          add_candidate (ownership, now, &list, slice->owner,
                         slice->incarnation, DECIDE_OWNERSHIP_LEASE_MS);
      }
  for (uint32_t i = 0; i < record->member_count; i++)
    add_candidate (ownership, now, &list, ownership->member_ids[i],
                   record->members[i].incarnation, OWNERSHIP_REMOVE_AFTER_MS);
  if (list.count == 0)
    return false;
  *candidate = list.entries[ownership->attempt.term % list.count];
  return true;
}

static void
start_attempt (ownership_t *ownership, clock_ms_t now, decide_id_t owner,
               uint64_t incarnation)
{
  ownership_attempt_t *attempt = &ownership->attempt;
  decide_msg_t msg;

  if (ownership->member && !add_support (ownership, owner, incarnation))
    return;
  attempt->active = true;
  attempt->deadline = now + REPLY_TIMEOUT_MS;
  attempt->term++;
  attempt->version = ownership->record.version;
  attempt->owner = owner;
  attempt->incarnation = incarnation;
  attempt->voters = ownership->member ? 1U << ownership->self_index : 0;

  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_SUPPORT_REQUEST;
  msg.incarnation = ownership->incarnation;
  msg.u.support.record_version = attempt->version;
  msg.u.support.owner = owner;
  msg.u.support.owner_incarnation = incarnation;
  msg.u.support.term = attempt->term;
  for (uint32_t i = 0; i < ownership->record.member_count; i++)
    if (ownership->member_ids[i] != ownership->self)
      ownership->callbacks.send (ownership->callbacks.context,
                                 ownership->member_ids[i], &msg);
}

/* Reassigns the slices of the silent process, and those of this process that
   were offered to it.  */
static void
reassign_slices (const ownership_t *ownership, clock_ms_t now,
                 decide_record_t *record)
{
  for (uint32_t c = 0; c < record->centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        const decide_slice_t *slice = &record->centres[c].slices[s];
        const ownership_slice_t *own = &ownership->slices[c][s];
        bool owned_by_silent
            = slice->owner == ownership->attempt.owner
              && slice->incarnation == ownership->attempt.incarnation;
        bool offered_to_silent
            = own->owned && own->offered
              && own->target == ownership->attempt.owner
              && own->target_incarnation == ownership->attempt.incarnation;
        int successor_index = -1;

        if (owned_by_silent || offered_to_silent)
          successor_index = ownership_record_find_successor (ownership, now,
                                                             record, c, false);
        if (successor_index >= 0)
          ownership_record_assign_slice (
              record, c, s, ownership->member_ids[successor_index],
              record->members[successor_index].incarnation);
      }
}

/* Updates the record after a majority has given its support.  */
static void
complete_attempt (ownership_t *ownership, clock_ms_t now)
{
  ownership_attempt_t *attempt = &ownership->attempt;
  decide_record_t record = ownership->record;

  attempt->active = false;
  attempt->failures = 0;
  schedule_next_attempt (ownership, now);
  if (!ownership->member)
    ownership_record_add_self (ownership, &record);
  else if (ownership_record_is_owner (&record, attempt->owner,
                                      attempt->incarnation)
           || has_offer_to (ownership, attempt->owner, attempt->incarnation))
    reassign_slices (ownership, now, &record);
  else
    {
      int index = ownership_record_find_member (&record, attempt->owner);

      if (index < 0
          || record.members[index].incarnation != attempt->incarnation)
        return;
      ownership_record_remove_member (&record, attempt->owner);
    }
  ownership_submit_record (ownership, &record);
}

static void
schedule_next_attempt (ownership_t *ownership, clock_ms_t now)
{
  ownership->attempt.next_attempt_at
      = now + 100
        + decide_rng_below (ownership->rng,
                            ATTEMPT_JITTER_MS << ownership->attempt.failures);
}

void
ownership_takeover_tick (ownership_t *ownership, clock_ms_t now)
{
  ownership_attempt_t *attempt = &ownership->attempt;
  ownership_process_t candidate;

  if (attempt->active && attempt->version != ownership->record.version)
    attempt->active = false;
  if (attempt->active)
    {
      uint32_t supporter_count
          = (uint32_t)__builtin_popcount (attempt->voters);

      if (supporter_count > ownership->record.member_count / 2)
        complete_attempt (ownership, now);
      else if (now > attempt->deadline)
        {
          attempt->active = false;
          if (attempt->failures < BACKOFF_FAILURES_MAX)
            attempt->failures++;
          schedule_next_attempt (ownership, now);
        }
      return;
    }
  /* While the store is unreachable, an attempt could not update the record,
     and members that support it would needlessly withhold promises from an
     owner that may come back.  */
  if (ownership->stopping || !ownership_is_store_fresh (ownership, now)
      || !find_candidate (ownership, now, &candidate))
    {
      attempt->next_attempt_at = OWNERSHIP_NEVER;
      return;
    }
  if (attempt->next_attempt_at == OWNERSHIP_NEVER)
    attempt->next_attempt_at
        = now + decide_rng_below (ownership->rng, ATTEMPT_JITTER_MS);
  if (now >= attempt->next_attempt_at)
    start_attempt (ownership, now, candidate.instance, candidate.incarnation);
}
