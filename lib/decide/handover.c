#include "ownership_private.h"

#include <string.h>

/* Interval at which an offer is sent again until the successor replies.  */
#define RESEND_INTERVAL_MS DECIDE_HEARTBEAT_INTERVAL_MS
/* Time from the start of a graceful shutdown to the first offers.  By then,
   instances that stop at the same time have announced their shutdown, so they
   are not chosen as successors.  */
#define STOP_OFFER_DELAY_MS (DECIDE_HEARTBEAT_INTERVAL_MS + 100)
/* Time after an offer at which the owner assigns the slice to the successor in
   the record, even if the successor has not acknowledged the offer.  */
#define ACK_TIMEOUT_MS 1000
/* Time after a handover at which the delegate assigns the slice to itself in
   the record, if the owner has not reassigned it by then.  */
#define DELEGATE_UPDATE_DELAY_MS 1500
/* Longest random time added to the interval between updates that reassign
   slices.  */
#define UPDATE_JITTER_MS 200
/* Delay of rebalancing after a new record version, and interval between two
   rebalancing runs.  */
#define REBALANCE_DELAY_MS 1000
/* Longest random time added to the delay after a new record version.  */
#define REBALANCE_JITTER_MS 2000

static clock_ms_t max_drifted_duration (clock_ms_t ms);
static void adopt_slice (ownership_t *ownership, clock_ms_t now,
                         const decide_record_t *previous, uint32_t c,
                         uint32_t s);
static bool is_continued_from_handover (const ownership_slice_t *slice,
                                        const decide_record_t *previous,
                                        uint32_t c, uint32_t s,
                                        uint64_t assigned);
static void notify_slice_changed (const ownership_t *ownership, uint32_t c,
                                  uint32_t s, ownership_change_t kind);
static uint32_t count_delegated_slices (const ownership_t *ownership);
static void send_ack (const ownership_t *ownership, decide_id_t to,
                      const decide_msg_handover_t *handover, bool refused);
static void mark_slice_offered (ownership_slice_t *slice, clock_ms_t now,
                                const decide_member_t *successor);
static bool needs_successor (const ownership_t *ownership, uint32_t c,
                             uint32_t s);
static void offer_to_successors (ownership_t *ownership, clock_ms_t now);
static void rebalance (ownership_t *ownership, clock_ms_t now);
static void rebalance_centre (ownership_t *ownership, clock_ms_t now,
                              decide_record_t *plan, uint32_t c);
static bool is_target_in_record (const ownership_t *ownership,
                                 const ownership_slice_t *slice);
static void send_handover (ownership_t *ownership, clock_ms_t now, uint32_t c,
                           uint32_t s);
static bool is_reassignment_due (const ownership_t *ownership, clock_ms_t now,
                                 uint32_t c, uint32_t s);
static void reassign_slice (ownership_t *ownership, decide_record_t *record,
                            uint32_t c, uint32_t s);
static void update_record (ownership_t *ownership, clock_ms_t now);

/* Returns the longest time that this clock can measure while another clock
   measures @ms, if each of them drifts by up to 1%.  */
static clock_ms_t
max_drifted_duration (clock_ms_t ms)
{
  return (ms * 101 + 98) / 99 + 2;
}

bool
ownership_have_former_grants_ended (const ownership_slice_t *slice,
                                    clock_ms_t now, clock_ms_t grant_ms)
{
  return slice->no_earlier_grants
         || now - slice->owned_since
                > max_drifted_duration (DECIDE_OWNERSHIP_LEASE_MS + grant_ms);
}

static void
notify_slice_changed (const ownership_t *ownership, uint32_t c, uint32_t s,
                      ownership_change_t kind)
{
  ownership->callbacks.slice_changed (ownership->callbacks.context, c, s,
                                      kind);
}

/* Returns whether the record version @assigned, which assigns a slice to this
   process, directly follows the handover of the slice: this process was the
   delegate, and the version before still named the owner that made it
   delegate.  If not, there may have been another owner in between, whose
   grants have to end first.  */
static bool
is_continued_from_handover (const ownership_slice_t *slice,
                            const decide_record_t *previous, uint32_t c,
                            uint32_t s, uint64_t assigned)
{
  const decide_slice_t *old = &previous->centres[c].slices[s];

  return slice->delegate && previous->version + 1 == assigned
         && old->owner == slice->delegator
         && old->incarnation == slice->delegator_incarnation
         && old->assigned == slice->delegator_assigned;
}

static void
adopt_slice (ownership_t *ownership, clock_ms_t now,
             const decide_record_t *previous, uint32_t c, uint32_t s)
{
  const decide_slice_t *recorded = &ownership->record.centres[c].slices[s];
  ownership_slice_t *slice = &ownership->slices[c][s];
  bool assigned_to_self = recorded->owner == ownership->self
                          && recorded->incarnation == ownership->incarnation;
  bool was_served
      = slice->delegate || (slice->owned && !slice->offer_accepted);

  if (assigned_to_self && slice->owned
      && slice->assigned == recorded->assigned)
    return;
  if (assigned_to_self)
    {
      bool continued = is_continued_from_handover (slice, previous, c, s,
                                                   recorded->assigned);

      memset (slice, 0, sizeof *slice);
      slice->owned = true;
      slice->no_earlier_grants = continued || recorded->assigned == 0;
      slice->assigned = recorded->assigned;
      slice->owned_since = now;
      if (was_served && !continued)
        notify_slice_changed (ownership, c, s, OWNERSHIP_LOST);
      notify_slice_changed (ownership, c, s, OWNERSHIP_GAINED);
      return;
    }
  if (slice->delegate && recorded->owner == slice->delegator
      && recorded->incarnation == slice->delegator_incarnation
      && recorded->assigned == slice->delegator_assigned)
    return;
  memset (slice, 0, sizeof *slice);
  if (was_served)
    notify_slice_changed (ownership, c, s, OWNERSHIP_LOST);
}

void
ownership_adopt_slices (ownership_t *ownership, clock_ms_t now,
                        const decide_record_t *previous)
{
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      adopt_slice (ownership, now, previous, c, s);
  ownership->next_rebalance_at
      = now + REBALANCE_DELAY_MS
        + decide_rng_below (ownership->rng, REBALANCE_JITTER_MS);
}

static uint32_t
count_delegated_slices (const ownership_t *ownership)
{
  uint32_t count = 0;

  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      count += ownership->slices[c][s].delegate;
  return count;
}

/* Replies to an offer.  The member @more of the HANDOVER_ACK means that the
   offer is refused.  */
static void
send_ack (const ownership_t *ownership, decide_id_t to,
          const decide_msg_handover_t *handover, bool refused)
{
  decide_msg_t msg;

  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_HANDOVER_ACK;
  msg.incarnation = ownership->incarnation;
  msg.u.handover.centre = handover->centre;
  msg.u.handover.slice = handover->slice;
  msg.u.handover.record_version = handover->record_version;
  msg.u.handover.more = refused;
  ownership->callbacks.send (ownership->callbacks.context, to, &msg);
}

void
ownership_handle_handover (ownership_t *ownership, clock_ms_t now,
                           decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_handover_t *handover = &msg->u.handover;
  const decide_slice_t *recorded;
  ownership_slice_t *slice;

  if (!ownership->member
      || handover->record_version != ownership->record.version
      || handover->centre >= ownership->record.centre_count
      || handover->slice >= DECIDE_SLICES || handover->more
      || handover->grant_count > DECIDE_HANDOVER_GRANTS_MAX
      || handover->limit_count > DECIDE_HANDOVER_LIMITS_MAX)
    return;
  recorded
      = &ownership->record.centres[handover->centre].slices[handover->slice];
  slice = &ownership->slices[handover->centre][handover->slice];
  if (recorded->owner != from || recorded->incarnation != msg->incarnation)
    return;
  if (slice->delegate)
    {
      send_ack (ownership, from, handover, false);
      return;
    }
  /* An instance in its graceful shutdown will not accept the offer later
     either, so a refusal lets the owner choose another successor.  */
  if (ownership->stopping)
    {
      send_ack (ownership, from, handover, true);
      return;
    }
  if (ownership_has_voted_against (ownership, from, msg->incarnation)
      || count_delegated_slices (ownership) == DECIDE_SLICES)
    return;
  memset (slice, 0, sizeof *slice);
  slice->delegate = true;
  slice->delegator = from;
  slice->delegator_incarnation = msg->incarnation;
  slice->delegator_assigned = recorded->assigned;
  slice->first_sequence = ownership->sequence + 1;
  slice->delegated_at = now;
  notify_slice_changed (ownership, handover->centre, handover->slice,
                        OWNERSHIP_DELEGATED);
  ownership->callbacks.import_grants (ownership->callbacks.context, handover);
  send_ack (ownership, from, handover, false);
  ownership->next_heartbeat_at = now;
}

void
ownership_handle_handover_ack (ownership_t *ownership, clock_ms_t now,
                               decide_id_t from, const decide_msg_t *msg)
{
  const decide_msg_handover_t *ack = &msg->u.handover;
  ownership_slice_t *slice;

  (void)now;
  if (ack->centre >= ownership->record.centre_count
      || ack->slice >= DECIDE_SLICES)
    return;
  slice = &ownership->slices[ack->centre][ack->slice];
  if (!slice->owned || !slice->offered || slice->offer_accepted
      || slice->target != from
      || slice->target_incarnation != msg->incarnation)
    return;
  if (ack->more)
    {
      /* If an update that assigns the slice to this successor was sent, it may
         still take effect until the record has a newer version than the update
         expects.  */
      if (slice->reassign_expected_version < ownership->record.version)
        slice->target = 0;
      return;
    }
  slice->offer_accepted = true;
  notify_slice_changed (ownership, ack->centre, ack->slice, OWNERSHIP_LOST);
}

static void
mark_slice_offered (ownership_slice_t *slice, clock_ms_t now,
                    const decide_member_t *successor)
{
  slice->offered = true;
  slice->target = decide_id (successor->name);
  slice->target_incarnation = successor->incarnation;
  slice->offered_at = now;
  slice->resend_at = now;
}

/* Returns whether a successor has to be chosen for a slice: its successor has
   refused it, or it was not offered yet and this process shuts down.  */
static bool
needs_successor (const ownership_t *ownership, uint32_t c, uint32_t s)
{
  const ownership_slice_t *slice = &ownership->slices[c][s];

  if (!slice->owned)
    return false;
  return slice->offered ? slice->target == 0 : ownership->stopping;
}

/* Offers each slice that needs a successor to one.  The record with these
   offers applied is kept in @plan, so that they are spread over the members.
 */
static void
offer_to_successors (ownership_t *ownership, clock_ms_t now)
{
  decide_record_t plan;
  bool planned = false;

  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        ownership_slice_t *slice = &ownership->slices[c][s];
        int successor_index;

        if (!needs_successor (ownership, c, s))
          continue;
        if (!planned)
          plan = ownership->record;
        planned = true;
        successor_index
            = ownership_record_find_successor (ownership, now, &plan, c, true);
        if (successor_index < 0)
          continue;
        mark_slice_offered (slice, now, &plan.members[successor_index]);
        ownership_record_assign_slice (&plan, c, s, slice->target,
                                       slice->target_incarnation);
      }
}

/* Offers slices of one data centre to the member with the fewest of them, as
   long as that member has at least 2 fewer than this instance.  If the member
   is in the data centre and this instance is not, all slices are offered; in
   the opposite case none.  */
static void
rebalance_centre (ownership_t *ownership, clock_ms_t now,
                  decide_record_t *plan, uint32_t c)
{
  const char *centre = plan->centres[c].name;
  bool local = strcmp (ownership->data_centre, centre) == 0;

  for (uint32_t s = 0; s < DECIDE_SLICES; s++)
    {
      ownership_slice_t *slice = &ownership->slices[c][s];
      const decide_member_t *member;
      bool moves_into_centre;
      int successor_index;

      if (!slice->owned || slice->offered
          || !ownership_have_former_grants_ended (slice, now,
                                                  ownership->longest_grant_ms))
        continue;
      successor_index
          = ownership_record_find_successor (ownership, now, plan, c, true);
      if (successor_index < 0)
        return;
      member = &plan->members[successor_index];
      moves_into_centre = !local && strcmp (member->data_centre, centre) == 0;
      if (local && strcmp (member->data_centre, centre) != 0)
        return;
      if (!moves_into_centre
          && ownership_record_count_slices (plan, c, ownership->self,
                                            ownership->incarnation)
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
rebalance (ownership_t *ownership, clock_ms_t now)
{
  decide_record_t plan = ownership->record;

  ownership->next_rebalance_at = now + REBALANCE_DELAY_MS;
  for (uint32_t c = 0; c < plan.centre_count; c++)
    rebalance_centre (ownership, now, &plan, c);
}

/* Returns whether the record lists the process to which the slice was offered.
   A later process of that instance accepts a HANDOVER only at a record version
   that lists the later process.  So it can't accept an offer that was made to
   the earlier process, whose grants may still be outstanding.  */
static bool
is_target_in_record (const ownership_t *ownership,
                     const ownership_slice_t *slice)
{
  int index = ownership_member_index (ownership, slice->target);

  return index >= 0
         && ownership->record.members[index].incarnation
                == slice->target_incarnation;
}

static void
send_handover (ownership_t *ownership, clock_ms_t now, uint32_t c, uint32_t s)
{
  ownership_slice_t *slice = &ownership->slices[c][s];
  decide_msg_handover_t *handover;
  decide_msg_t msg;
  uint32_t count;

  if (!slice->owned || !slice->offered || slice->offer_accepted
      || slice->target == 0 || now < slice->resend_at
      || !is_target_in_record (ownership, slice)
      || !ownership_have_former_grants_ended (slice, now,
                                              ownership->longest_grant_ms))
    return;
  slice->resend_at = now + RESEND_INTERVAL_MS;
  memset (&msg, 0, sizeof msg);
  msg.type = DECIDE_MSG_HANDOVER;
  msg.incarnation = ownership->incarnation;
  handover = &msg.u.handover;
  handover->centre = c;
  handover->slice = s;
  handover->record_version = ownership->record.version;
  count = ownership->callbacks.export_grants (ownership->callbacks.context, c,
                                              s, handover->grants,
                                              DECIDE_HANDOVER_GRANTS_MAX);
  /* No new grants are given in the slice, so the number of outstanding ones
     falls until they fit in one message.  */
  if (count > DECIDE_HANDOVER_GRANTS_MAX)
    return;
  handover->grant_count = count;
  ownership->callbacks.fill (ownership->callbacks.context, &msg);
  ownership->callbacks.send (ownership->callbacks.context, slice->target,
                             &msg);
}

/* Returns whether this instance has to reassign a slice in the record now: to
   the successor if the slice is being handed over, or to itself if it serves
   the slice as a delegate.  */
static bool
is_reassignment_due (const ownership_t *ownership, clock_ms_t now, uint32_t c,
                     uint32_t s)
{
  const ownership_slice_t *slice = &ownership->slices[c][s];

  if (slice->delegate)
    return now - slice->delegated_at >= DELEGATE_UPDATE_DELAY_MS;
  return slice->owned && slice->offered && slice->target != 0
         && (slice->offer_accepted
             || now - slice->offered_at >= ACK_TIMEOUT_MS)
         && is_target_in_record (ownership, slice);
}

static void
reassign_slice (ownership_t *ownership, decide_record_t *record, uint32_t c,
                uint32_t s)
{
  ownership_slice_t *slice = &ownership->slices[c][s];

  if (slice->delegate)
    {
      ownership_record_assign_slice (record, c, s, ownership->self,
                                     ownership->incarnation);
      return;
    }
  slice->reassign_expected_version = record->version;
  ownership_record_assign_slice (record, c, s, slice->target,
                                 slice->target_incarnation);
}

/* Reassigns all slices that are due, in one update of the record.  If
   ownership->rewrite_due is set, the record is written even without a change:
   its new version makes support for a takeover from this process void.  */
static void
update_record (ownership_t *ownership, clock_ms_t now)
{
  decide_record_t record;
  bool due = ownership->rewrite_due;

  if (now < ownership->next_update_at
      || !ownership_is_store_fresh (ownership, now))
    return;
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      due = due || is_reassignment_due (ownership, now, c, s);
  if (!due)
    return;
  record = ownership->record;
  for (uint32_t c = 0; c < record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (is_reassignment_due (ownership, now, c, s))
        reassign_slice (ownership, &record, c, s);
  ownership->rewrite_due = false;
  ownership->next_update_at
      = now + DECIDE_STORE_SYNC_INTERVAL_MS
        + decide_rng_below (ownership->rng, UPDATE_JITTER_MS);
  ownership_submit_record (ownership, &record);
}

void
ownership_handover_tick (ownership_t *ownership, clock_ms_t now)
{
  if (!ownership->member)
    return;
  if (ownership->stopping
      && now < ownership->stopping_since + STOP_OFFER_DELAY_MS)
    return;
  offer_to_successors (ownership, now);
  if (!ownership->stopping && now >= ownership->next_rebalance_at
      && ownership_is_store_fresh (ownership, now))
    rebalance (ownership, now);
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      send_handover (ownership, now, c, s);
  if (!ownership->pending_update.in_progress
      && !ownership->pending_update.unresolved)
    update_record (ownership, now);
}
