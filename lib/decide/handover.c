#include "ownership_private.h"

#include <string.h>

#define RESEND_INTERVAL_MS DECIDE_HEARTBEAT_INTERVAL_MS
/* Delay of the first offers in a graceful shutdown.  By then other instances
   that stop at the same time have announced it and are not chosen.  */
#define STOP_OFFER_DELAY_MS (DECIDE_HEARTBEAT_INTERVAL_MS + 100)
/* The owner updates the record after this time even if the successor has not
   acknowledged the offer.  */
#define ACK_TIMEOUT_MS 1000
/* A delegate updates the record after this time if the old owner has not.  */
#define DELEGATE_UPDATE_DELAY_MS 1500
#define UPDATE_JITTER_MS 200
#define REBALANCE_DELAY_MS 1000
#define REBALANCE_JITTER_MS 2000

static clock_ms_t max_drifted_duration (clock_ms_t ms);
static void adopt_slice (ownership_t *o, clock_ms_t now,
                         const decide_record_t *previous, uint32_t c,
                         uint32_t s);
static bool is_continued_from_handover (const ownership_slice_t *slice,
                                        const decide_record_t *previous,
                                        uint32_t c, uint32_t s,
                                        uint64_t assigned);
static void notify_slice_changed (const ownership_t *o, uint32_t c, uint32_t s,
                                  ownership_change_t kind);
static uint32_t count_delegated_slices (const ownership_t *o);
static void send_ack (const ownership_t *o, decide_id_t to,
                      const decide_msg_handover_t *handover, bool refused);
static void mark_slice_offered (ownership_slice_t *slice, clock_ms_t now,
                                const decide_member_t *to);
static bool needs_successor (const ownership_t *o, uint32_t c, uint32_t s);
static void offer_to_successors (ownership_t *o, clock_ms_t now);
static void rebalance (ownership_t *o, clock_ms_t now);
static void rebalance_centre (ownership_t *o, clock_ms_t now,
                              decide_record_t *plan, uint32_t c);
static bool is_target_in_record (const ownership_t *o,
                                 const ownership_slice_t *slice);
static void send_handover (ownership_t *o, clock_ms_t now, uint32_t c,
                           uint32_t s);
static bool is_reassignment_due (const ownership_t *o, clock_ms_t now,
                                 uint32_t c, uint32_t s);
static void reassign_slice (ownership_t *o, decide_record_t *record,
                            uint32_t c, uint32_t s);
static void update_record (ownership_t *o, clock_ms_t now);

/* Longest duration on this clock of @ms on another one, if each clock drifts
   by up to 1%.  */
static clock_ms_t
max_drifted_duration (clock_ms_t ms)
{
  return (ms * 101 + 98) / 99 + 2;
}

bool
ownership_is_wait_over (const ownership_slice_t *slice, clock_ms_t now,
                        clock_ms_t grant_ms)
{
  return slice->wait_waived
         || now - slice->owned_since
                > max_drifted_duration (DECIDE_OWNERSHIP_LEASE_MS + grant_ms);
}

static void
notify_slice_changed (const ownership_t *o, uint32_t c, uint32_t s,
                      ownership_change_t kind)
{
  o->callbacks.slice_changed (o->callbacks.context, c, s, kind);
}

/* Whether the update that assigned the slice directly followed a version in
   which the delegating owner still owned it.  If not, there may have been
   another owner in between, whose grants have to end first.  */
static bool
is_continued_from_handover (const ownership_slice_t *slice,
                            const decide_record_t *previous, uint32_t c,
                            uint32_t s, uint64_t assigned)
{
  const decide_slice_t *old = &previous->centres[c].slices[s];

  return slice->delegate && previous->version + 1 == assigned
         && old->owner == slice->from
         && old->incarnation == slice->delegator_incarnation
         && old->assigned == slice->from_assigned;
}

static void
adopt_slice (ownership_t *o, clock_ms_t now, const decide_record_t *previous,
             uint32_t c, uint32_t s)
{
  const decide_slice_t *recorded = &o->record.centres[c].slices[s];
  ownership_slice_t *slice = &o->slices[c][s];
  bool mine
      = recorded->owner == o->self && recorded->incarnation == o->incarnation;
  bool served = slice->delegate || (slice->owned && !slice->acked);

  if (mine && slice->owned && slice->assigned == recorded->assigned)
    return;
  if (mine)
    {
      bool continued = is_continued_from_handover (slice, previous, c, s,
                                                   recorded->assigned);

      memset (slice, 0, sizeof *slice);
      slice->owned = true;
      slice->wait_waived = continued || recorded->assigned == 0;
      slice->assigned = recorded->assigned;
      slice->owned_since = now;
      if (served && !continued)
        notify_slice_changed (o, c, s, OWNERSHIP_LOST);
      notify_slice_changed (o, c, s, OWNERSHIP_GAINED);
      return;
    }
  if (slice->delegate && recorded->owner == slice->from
      && recorded->incarnation == slice->delegator_incarnation
      && recorded->assigned == slice->from_assigned)
    return;
  memset (slice, 0, sizeof *slice);
  if (served)
    notify_slice_changed (o, c, s, OWNERSHIP_LOST);
}

void
ownership_adopt_slices (ownership_t *o, clock_ms_t now,
                        const decide_record_t *previous)
{
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      adopt_slice (o, now, previous, c, s);
  o->next_rebalance_at = now + REBALANCE_DELAY_MS
                         + decide_rng_below (o->rng, REBALANCE_JITTER_MS);
}

static uint32_t
count_delegated_slices (const ownership_t *o)
{
  uint32_t count = 0;

  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      count += o->slices[c][s].delegate;
  return count;
}

/* Accepts or refuses an offer; the reply's field @more is set to refuse.  */
static void
send_ack (const ownership_t *o, decide_id_t to,
          const decide_msg_handover_t *handover, bool refused)
{
  decide_msg_t msg;

  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_HANDOVER_ACK;
  msg.incarnation = o->incarnation;
  msg.u.handover.centre = handover->centre;
  msg.u.handover.slice = handover->slice;
  msg.u.handover.record_version = handover->record_version;
  msg.u.handover.more = refused;
  o->callbacks.send (o->callbacks.context, to, &msg);
}

void
ownership_handle_handover (ownership_t *o, clock_ms_t now, decide_id_t from,
                           const decide_msg_t *msg)
{
  const decide_msg_handover_t *handover = &msg->u.handover;
  const decide_slice_t *recorded;
  ownership_slice_t *slice;

  if (!o->member || handover->record_version != o->record.version
      || handover->centre >= o->record.centre_count
      || handover->slice >= DECIDE_SLICES || handover->more
      || handover->grant_count > DECIDE_HANDOVER_GRANTS_MAX
      || handover->limit_count > DECIDE_HANDOVER_LIMITS_MAX)
    return;
  recorded = &o->record.centres[handover->centre].slices[handover->slice];
  slice = &o->slices[handover->centre][handover->slice];
  if (recorded->owner != from || recorded->incarnation != msg->incarnation)
    return;
  if (slice->delegate)
    {
      send_ack (o, from, handover, false);
      return;
    }
  /* A stopping instance never accepts an offer later, so the owner may choose
     another successor.  */
  if (o->stopping)
    {
      send_ack (o, from, handover, true);
      return;
    }
  if (ownership_has_supported_takeover (o, from, msg->incarnation)
      || count_delegated_slices (o) == DECIDE_SLICES)
    return;
  memset (slice, 0, sizeof *slice);
  slice->delegate = true;
  slice->from = from;
  slice->delegator_incarnation = msg->incarnation;
  slice->from_assigned = recorded->assigned;
  slice->first_sequence = o->sequence + 1;
  slice->delegated_at = now;
  notify_slice_changed (o, handover->centre, handover->slice,
                        OWNERSHIP_DELEGATED);
  o->callbacks.import_grants (o->callbacks.context, handover);
  send_ack (o, from, handover, false);
  o->next_heartbeat_at = now;
}

void
ownership_handle_handover_ack (ownership_t *o, clock_ms_t now,
                               decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_handover_t *ack = &msg->u.handover;
  ownership_slice_t *slice;

  (void)now;
  if (ack->centre >= o->record.centre_count || ack->slice >= DECIDE_SLICES)
    return;
  slice = &o->slices[ack->centre][ack->slice];
  if (!slice->owned || !slice->offered || slice->acked || slice->target != from
      || slice->target_incarnation != msg->incarnation)
    return;
  if (ack->more)
    {
      /* An update that assigns the slice to this successor may still take
         effect unless the record has a newer version than it expects.  */
      if (slice->put_version < o->record.version)
        slice->target = 0;
      return;
    }
  slice->acked = true;
  notify_slice_changed (o, ack->centre, ack->slice, OWNERSHIP_LOST);
}

static void
mark_slice_offered (ownership_slice_t *slice, clock_ms_t now,
                    const decide_member_t *to)
{
  slice->offered = true;
  slice->target = decide_id (to->name);
  slice->target_incarnation = to->incarnation;
  slice->offered_at = now;
  slice->resend_at = now;
}

/* Whether a slice has to be offered to a member: when its successor refused
   it, and in a graceful shutdown.  */
static bool
needs_successor (const ownership_t *o, uint32_t c, uint32_t s)
{
  const ownership_slice_t *slice = &o->slices[c][s];

  if (!slice->owned)
    return false;
  return slice->offered ? slice->target == 0 : o->stopping;
}

static void
offer_to_successors (ownership_t *o, clock_ms_t now)
{
  decide_record_t plan;
  bool planned = false;

  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        ownership_slice_t *slice = &o->slices[c][s];
        int to;

        if (!needs_successor (o, c, s))
          continue;
        if (!planned)
          plan = o->record;
        planned = true;
        to = ownership_record_find_successor (o, now, &plan, c, true);
        if (to < 0)
          continue;
        mark_slice_offered (slice, now, &plan.members[to]);
        ownership_record_assign_slice (&plan, c, s, slice->target,
                                       slice->target_incarnation);
      }
}

/* Offers slices of one data centre to the least loaded member while that one
   has at least 2 fewer.  If it is in the data centre and this instance is not,
   all slices are offered.  */
static void
rebalance_centre (ownership_t *o, clock_ms_t now, decide_record_t *plan,
                  uint32_t c)
{
  const char *centre = plan->centres[c].name;
  bool local = strcmp (o->data_centre, centre) == 0;

  for (uint32_t s = 0; s < DECIDE_SLICES; s++)
    {
      ownership_slice_t *slice = &o->slices[c][s];
      const decide_member_t *member;
      bool displaced;
      int to;

      if (!slice->owned || slice->offered
          || !ownership_is_wait_over (slice, now, o->longest_grant_ms))
        continue;
      to = ownership_record_find_successor (o, now, plan, c, true);
      if (to < 0)
        return;
      member = &plan->members[to];
      displaced = !local && strcmp (member->data_centre, centre) == 0;
      if (local && strcmp (member->data_centre, centre) != 0)
        return;
      if (!displaced
          && ownership_record_count_slices (plan, c, o->self, o->incarnation)
                 < 2
                       + ownership_record_count_slices (
                           plan, c, decide_id (member->name),
                           member->incarnation))
        return;
      mark_slice_offered (slice, now, member);
      ownership_record_assign_slice (plan, c, s, slice->target,
                                     slice->target_incarnation);
    }
}

static void
rebalance (ownership_t *o, clock_ms_t now)
{
  decide_record_t plan = o->record;

  o->next_rebalance_at = now + REBALANCE_DELAY_MS;
  for (uint32_t c = 0; c < plan.centre_count; c++)
    rebalance_centre (o, now, &plan, c);
}

/* Whether the record lists the process that the slice was offered to.  A later
   process of that instance accepts a HANDOVER only at a record version that
   lists it.  So it can't accept an offer that was made to the earlier process,
   whose grants may still be outstanding.  */
static bool
is_target_in_record (const ownership_t *o, const ownership_slice_t *slice)
{
  int index = ownership_member_index (o, slice->target);

  return index >= 0
         && o->record.members[index].incarnation == slice->target_incarnation;
}

static void
send_handover (ownership_t *o, clock_ms_t now, uint32_t c, uint32_t s)
{
  ownership_slice_t *slice = &o->slices[c][s];
  decide_msg_handover_t *handover;
  decide_msg_t msg;
  uint32_t count;

  if (!slice->owned || !slice->offered || slice->acked || slice->target == 0
      || now < slice->resend_at || !is_target_in_record (o, slice)
      || !ownership_is_wait_over (slice, now, o->longest_grant_ms))
    return;
  slice->resend_at = now + RESEND_INTERVAL_MS;
  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_HANDOVER;
  msg.incarnation = o->incarnation;
  handover = &msg.u.handover;
  handover->centre = c;
  handover->slice = s;
  handover->record_version = o->record.version;
  count = o->callbacks.export_grants (o->callbacks.context, c, s,
                                      handover->grants,
                                      DECIDE_HANDOVER_GRANTS_MAX);
  /* The slice gets no new grants, so the remaining ones fit later.  */
  if (count > DECIDE_HANDOVER_GRANTS_MAX)
    return;
  handover->grant_count = count;
  o->callbacks.fill (o->callbacks.context, &msg);
  o->callbacks.send (o->callbacks.context, slice->target, &msg);
}

/* Whether this instance has to update the record to reassign a slice: one that
   it hands over, to the successor, or one that it serves as a delegate, to
   itself.  */
static bool
is_reassignment_due (const ownership_t *o, clock_ms_t now, uint32_t c,
                     uint32_t s)
{
  const ownership_slice_t *slice = &o->slices[c][s];

  if (slice->delegate)
    return now - slice->delegated_at >= DELEGATE_UPDATE_DELAY_MS;
  return slice->owned && slice->offered && slice->target != 0
         && (slice->acked || now - slice->offered_at >= ACK_TIMEOUT_MS)
         && is_target_in_record (o, slice);
}

static void
reassign_slice (ownership_t *o, decide_record_t *record, uint32_t c,
                uint32_t s)
{
  ownership_slice_t *slice = &o->slices[c][s];

  if (slice->delegate)
    {
      ownership_record_assign_slice (record, c, s, o->self, o->incarnation);
      return;
    }
  slice->put_version = record->version;
  ownership_record_assign_slice (record, c, s, slice->target,
                                 slice->target_incarnation);
}

/* Updates the record once for all slices that are due to be reassigned, or
   without a change, to void support for a takeover from this instance.  */
static void
update_record (ownership_t *o, clock_ms_t now)
{
  decide_record_t record;
  bool due = o->rewrite_due;

  if (now < o->next_update_at || !ownership_is_store_fresh (o, now))
    return;
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      due = due || is_reassignment_due (o, now, c, s);
  if (!due)
    return;
  record = o->record;
  for (uint32_t c = 0; c < record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (is_reassignment_due (o, now, c, s))
        reassign_slice (o, &record, c, s);
  o->rewrite_due = false;
  o->next_update_at = now + DECIDE_STORE_SYNC_INTERVAL_MS
                      + decide_rng_below (o->rng, UPDATE_JITTER_MS);
  ownership_submit_record (o, &record);
}

void
ownership_handover_tick (ownership_t *o, clock_ms_t now)
{
  if (!o->member)
    return;
  if (o->stopping && now < o->stopping_since + STOP_OFFER_DELAY_MS)
    return;
  offer_to_successors (o, now);
  if (!o->stopping && now >= o->next_rebalance_at
      && ownership_is_store_fresh (o, now))
    rebalance (o, now);
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      send_handover (o, now, c, s);
  if (!o->pending_update.in_progress && !o->pending_update.unresolved)
    update_record (o, now);
}
