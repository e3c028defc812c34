#include "ownership_private.h"

#include <string.h>

#define RESEND_MS DECIDE_HEARTBEAT_INTERVAL_MS
/* Other instances that stop at the same time have announced it by then.  */
#define STOP_SETTLE_MS (DECIDE_HEARTBEAT_INTERVAL_MS + 100)
/* The record is updated without the successor's answer after this time.  */
#define ACK_WAIT_MS 1000
/* A delegate leaves the update of the record to the old owner first.  */
#define DELEGATE_WAIT_MS 1500
#define CHANGE_SPREAD_MS 200
#define BALANCE_WAIT_MS 1000
#define BALANCE_SPREAD_MS 2000

static clock_ms_t stretch (clock_ms_t ms);
static void learn_slice (ownership_t *o, clock_ms_t now,
                         const decide_record_t *previous, uint32_t c,
                         uint32_t s);
static bool was_handed_over (const ownership_slice_t *slice,
                             const decide_record_t *previous, uint32_t c,
                             uint32_t s, uint64_t assigned);
static void change (const ownership_t *o, uint32_t c, uint32_t s,
                    ownership_change_t kind);
static uint32_t delegated (const ownership_t *o);
static void send_ack (const ownership_t *o, decide_id_t to,
                      const decide_msg_handover_t *handover, bool refused);
static void offer (ownership_slice_t *slice, clock_ms_t now,
                   const decide_member_t *to);
static bool wants_successor (const ownership_t *o, uint32_t c, uint32_t s);
static void offer_all (ownership_t *o, clock_ms_t now);
static void offer_surplus (ownership_t *o, clock_ms_t now);
static void balance_centre (ownership_t *o, clock_ms_t now,
                            decide_record_t *plan, uint32_t c);
static bool target_listed (const ownership_t *o,
                           const ownership_slice_t *slice);
static void send_offer (ownership_t *o, clock_ms_t now, uint32_t c,
                        uint32_t s);
static bool change_due (const ownership_t *o, clock_ms_t now, uint32_t c,
                        uint32_t s);
static void change_slice (ownership_t *o, decide_record_t *record, uint32_t c,
                          uint32_t s);
static void update_record (ownership_t *o, clock_ms_t now);

/* Longest time that @ms on another clock can take on this one.  */
static clock_ms_t
stretch (clock_ms_t ms)
{
  return (ms * 101 + 98) / 99 + 2;
}

bool
ownership_waited (const ownership_slice_t *slice, clock_ms_t now,
                  clock_ms_t grant_ms)
{
  return slice->direct
         || now - slice->since
                > stretch (DECIDE_OWNERSHIP_LEASE_MS + grant_ms);
}

static void
change (const ownership_t *o, uint32_t c, uint32_t s, ownership_change_t kind)
{
  o->callbacks.slice_changed (o->callbacks.context, c, s, kind);
}

/* Whether the update that assigned the slice expected a version in which the
   owner that had handed over still held it.  Later versions may hide another
   owner in between, whose grants would have to end first.  */
static bool
was_handed_over (const ownership_slice_t *slice,
                 const decide_record_t *previous, uint32_t c, uint32_t s,
                 uint64_t assigned)
{
  const decide_slice_t *old = &previous->centres[c].slices[s];

  return slice->delegate && previous->version + 1 == assigned
         && old->owner == slice->from
         && old->incarnation == slice->from_incarnation
         && old->assigned == slice->from_assigned;
}

static void
learn_slice (ownership_t *o, clock_ms_t now, const decide_record_t *previous,
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
      bool continued
          = was_handed_over (slice, previous, c, s, recorded->assigned);

      memset (slice, 0, sizeof *slice);
      slice->owned = true;
      slice->direct = continued || recorded->assigned == 0;
      slice->assigned = recorded->assigned;
      slice->since = now;
      if (served && !continued)
        change (o, c, s, OWNERSHIP_LOST);
      change (o, c, s, OWNERSHIP_GAINED);
      return;
    }
  if (slice->delegate && recorded->owner == slice->from
      && recorded->incarnation == slice->from_incarnation
      && recorded->assigned == slice->from_assigned)
    return;
  memset (slice, 0, sizeof *slice);
  if (served)
    change (o, c, s, OWNERSHIP_LOST);
}

void
ownership_slices_learn (ownership_t *o, clock_ms_t now,
                        const decide_record_t *previous)
{
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      learn_slice (o, now, previous, c, s);
  o->balance_at
      = now + BALANCE_WAIT_MS + decide_rng_below (o->rng, BALANCE_SPREAD_MS);
}

static uint32_t
delegated (const ownership_t *o)
{
  uint32_t count = 0;

  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      count += o->slices[c][s].delegate;
  return count;
}

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
ownership_handover (ownership_t *o, clock_ms_t now, decide_id_t from,
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
  /* A stopping instance never accepts, so the owner may choose another.  */
  if (o->stopping)
    {
      send_ack (o, from, handover, true);
      return;
    }
  if (ownership_has_supported (o, from, msg->incarnation)
      || delegated (o) == DECIDE_SLICES)
    return;
  memset (slice, 0, sizeof *slice);
  slice->delegate = true;
  slice->from = from;
  slice->from_incarnation = msg->incarnation;
  slice->from_assigned = recorded->assigned;
  slice->first_sequence = o->sequence + 1;
  slice->delegated_at = now;
  change (o, handover->centre, handover->slice, OWNERSHIP_DELEGATED);
  o->callbacks.import_grants (o->callbacks.context, handover);
  send_ack (o, from, handover, false);
  o->next_heartbeat = now;
}

void
ownership_handover_ack (ownership_t *o, clock_ms_t now, decide_id_t from,
                        const decide_msg_t *msg)
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
      /* An update that gives the slice to this successor may still apply.  */
      if (slice->put_version < o->record.version)
        slice->target = 0;
      return;
    }
  slice->acked = true;
  change (o, ack->centre, ack->slice, OWNERSHIP_LOST);
}

static void
offer (ownership_slice_t *slice, clock_ms_t now, const decide_member_t *to)
{
  slice->offered = true;
  slice->target = decide_id (to->name);
  slice->target_incarnation = to->incarnation;
  slice->offered_at = now;
  slice->resend_at = now;
}

/* Whether a slice needs a successor: in a planned stop, and whenever the one
   that it was offered to refused.  */
static bool
wants_successor (const ownership_t *o, uint32_t c, uint32_t s)
{
  const ownership_slice_t *slice = &o->slices[c][s];

  if (!slice->owned)
    return false;
  return slice->offered ? slice->target == 0 : o->stopping;
}

static void
offer_all (ownership_t *o, clock_ms_t now)
{
  decide_record_t plan;
  bool planned = false;

  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        ownership_slice_t *slice = &o->slices[c][s];
        int to;

        if (!wants_successor (o, c, s))
          continue;
        if (!planned)
          plan = o->record;
        planned = true;
        to = ownership_record_find_successor (o, now, &plan, c, true);
        if (to < 0)
          continue;
        offer (slice, now, &plan.members[to]);
        ownership_record_assign_slice (&plan, c, s, slice->target,
                                       slice->target_incarnation);
      }
}

/* Offers slices of one centre while another member has at least 2 fewer, or
   all when this instance should own none there.  */
static void
balance_centre (ownership_t *o, clock_ms_t now, decide_record_t *plan,
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
          || !ownership_waited (slice, now, o->longest_grant))
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
      offer (slice, now, member);
      ownership_record_assign_slice (plan, c, s, slice->target,
                                     slice->target_incarnation);
    }
}

static void
offer_surplus (ownership_t *o, clock_ms_t now)
{
  decide_record_t plan = o->record;

  o->balance_at = now + BALANCE_WAIT_MS;
  for (uint32_t c = 0; c < plan.centre_count; c++)
    balance_centre (o, now, &plan, c);
}

/* Whether the record names the process that the slice was offered to.  A
   later process of the name accepts only a HANDOVER of a version that names
   it, so it cannot accept an offer to the earlier one, whose grants may still
   be outstanding.  */
static bool
target_listed (const ownership_t *o, const ownership_slice_t *slice)
{
  int index = ownership_member (o, slice->target);

  return index >= 0
         && o->record.members[index].incarnation == slice->target_incarnation;
}

static void
send_offer (ownership_t *o, clock_ms_t now, uint32_t c, uint32_t s)
{
  ownership_slice_t *slice = &o->slices[c][s];
  decide_msg_handover_t *handover;
  decide_msg_t msg;
  uint32_t count;

  if (!slice->owned || !slice->offered || slice->acked || slice->target == 0
      || now < slice->resend_at || !target_listed (o, slice)
      || !ownership_waited (slice, now, o->longest_grant))
    return;
  slice->resend_at = now + RESEND_MS;
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
  /* No new grants are given, so the rest fits later.  */
  if (count > DECIDE_HANDOVER_GRANTS_MAX)
    return;
  handover->grant_count = count;
  o->callbacks.fill (o->callbacks.context, &msg);
  o->callbacks.send (o->callbacks.context, slice->target, &msg);
}

/* Whether the record should name another owner of a slice that this instance
   gives away or has taken over by handover.  */
static bool
change_due (const ownership_t *o, clock_ms_t now, uint32_t c, uint32_t s)
{
  const ownership_slice_t *slice = &o->slices[c][s];

  if (slice->delegate)
    return now - slice->delegated_at >= DELEGATE_WAIT_MS;
  return slice->owned && slice->offered && slice->target != 0
         && (slice->acked || now - slice->offered_at >= ACK_WAIT_MS)
         && target_listed (o, slice);
}

static void
change_slice (ownership_t *o, decide_record_t *record, uint32_t c, uint32_t s)
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

/* One update for all own slices that go to others, for delegated slices, or
   to invalidate support against this instance.  */
static void
update_record (ownership_t *o, clock_ms_t now)
{
  decide_record_t record;
  bool due = o->rewrite_due;

  if (now < o->change_at || !ownership_store_fresh (o, now))
    return;
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      due = due || change_due (o, now, c, s);
  if (!due)
    return;
  record = o->record;
  for (uint32_t c = 0; c < record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      if (change_due (o, now, c, s))
        change_slice (o, &record, c, s);
  o->rewrite_due = false;
  o->change_at = now + DECIDE_STORE_SYNC_INTERVAL_MS
                 + decide_rng_below (o->rng, CHANGE_SPREAD_MS);
  ownership_put (o, &record);
}

void
ownership_handover_tick (ownership_t *o, clock_ms_t now)
{
  if (!o->member)
    return;
  if (o->stopping && now < o->stop_at + STOP_SETTLE_MS)
    return;
  offer_all (o, now);
  if (!o->stopping && now >= o->balance_at && ownership_store_fresh (o, now))
    offer_surplus (o, now);
  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      send_offer (o, now, c, s);
  if (!o->put.busy && !o->put.unresolved)
    update_record (o, now);
}
