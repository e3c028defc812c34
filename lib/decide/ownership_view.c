#include "ownership_private.h"

#include <string.h>

static clock_ms_t store_lease_left (const ownership_t *ownership,
                                    clock_ms_t now);

/* Returns how long, in ms, the lease that the last successful read of the
   store gave is still valid; 0 if there is none.  */
static clock_ms_t
store_lease_left (const ownership_t *ownership, clock_ms_t now)
{
  clock_ms_t age = ownership_age (now, ownership->read_sent_at);

  return ownership->member && age < DECIDE_OWNERSHIP_LEASE_MS
             ? DECIDE_OWNERSHIP_LEASE_MS - age
             : 0;
}

clock_ms_t
ownership_lease_left (const ownership_t *ownership, clock_ms_t now)
{
  clock_ms_t read = store_lease_left (ownership, now);
  clock_ms_t majority = ownership_majority_lease_left (ownership, now, 0);

  return read > majority ? read : majority;
}

bool
ownership_may_grant (const ownership_t *ownership, clock_ms_t now,
                     uint32_t centre, uint32_t slice, clock_ms_t grant_ms)
{
  const ownership_slice_t *own;

  if (centre >= ownership->record.centre_count || slice >= DECIDE_SLICES)
    return false;
  own = &ownership->slices[centre][slice];
  if (own->owned)
    return !own->offered
           && ownership_have_former_grants_ended (own, now, grant_ms)
           && ownership_lease_left (ownership, now) > 0;
  return own->delegate
         && !ownership_has_voted_against (ownership, own->delegator,
                                          own->delegator_incarnation)
         && ownership_majority_lease_left (ownership, now, own->first_sequence)
                > 0;
}

decide_id_t
ownership_grant_target (const ownership_t *ownership, clock_ms_t now,
                        uint32_t centre, uint32_t slice)
{
  const decide_slice_t *recorded;
  const ownership_slice_t *own;

  if (centre >= ownership->record.centre_count || slice >= DECIDE_SLICES)
    return 0;
  recorded = &ownership->record.centres[centre].slices[slice];
  own = &ownership->slices[centre][slice];
  if (own->delegate)
    return ownership->self;
  if (own->owned && own->offer_accepted)
    return own->target;
  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    {
      const ownership_peer_t *peer = &ownership->peers[i];

      if (peer->id == 0
          || ownership_age (now, peer->last_message_at)
                 >= DECIDE_PEER_TIMEOUT_MS)
        continue;
      for (uint32_t j = 0; j < peer->acting_count; j++)
        if (peer->acting[j].owner == recorded->owner
            && peer->acting[j].owner_incarnation == recorded->incarnation
            && peer->acting[j].centre == centre
            && peer->acting[j].slice == slice)
          return peer->id;
    }
  return recorded->owner;
}

bool
ownership_is_owner_or_delegate (const ownership_t *ownership, uint32_t centre,
                                uint32_t slice)
{
  return centre < ownership->record.centre_count && slice < DECIDE_SLICES
         && (ownership->slices[centre][slice].owned
             || ownership->slices[centre][slice].delegate);
}

uint32_t
ownership_centre_index (const ownership_t *ownership, const char *name)
{
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    if (strcmp (ownership->record.centres[c].name, name) == 0)
      return c;
  return DECIDE_NO_HANDLE;
}

const decide_record_t *
ownership_get_record (const ownership_t *ownership)
{
  return ownership->record.version == 0 ? NULL : &ownership->record;
}

bool
ownership_is_reachable (const ownership_t *ownership, clock_ms_t now,
                        decide_id_t instance)
{
  const ownership_peer_t *peer = ownership_peer_find (ownership, instance);

  return peer != NULL
         && ownership_age (now, peer->last_message_at)
                < DECIDE_PEER_TIMEOUT_MS;
}

uint64_t
ownership_peer_incarnation (const ownership_t *ownership, decide_id_t instance)
{
  const ownership_peer_t *peer = ownership_peer_find (ownership, instance);

  return peer == NULL ? 0 : peer->incarnation;
}

bool
ownership_is_leaving (const ownership_t *ownership, decide_id_t instance)
{
  const ownership_peer_t *peer = ownership_peer_find (ownership, instance);

  return peer != NULL && peer->state == DECIDE_MEMBER_LEAVING;
}

uint64_t
ownership_peer_revision (const ownership_t *ownership, decide_id_t instance)
{
  const ownership_peer_t *peer = ownership_peer_find (ownership, instance);

  return peer == NULL ? 0 : peer->revision;
}

clock_ms_t
ownership_last_contact (const ownership_t *ownership)
{
  clock_ms_t last = OWNERSHIP_NEVER;

  for (uint32_t i = 0; i < OWNERSHIP_PEERS_MAX; i++)
    if (ownership->peers[i].id != 0
        && ownership->peers[i].last_message_at > last)
      last = ownership->peers[i].last_message_at;
  return last;
}

void
ownership_get_status (const ownership_t *ownership, clock_ms_t now,
                      ownership_status_t *status)
{
  memset (status, 0, sizeof *status);
  status->record_version = ownership->record.version;
  status->member = ownership->member;
  status->store_fresh = store_lease_left (ownership, now) > 0;
  status->majority_fresh
      = ownership_majority_lease_left (ownership, now, 0) > 0;
  status->stopping = ownership->stopping;
  for (uint32_t i = 0; i < ownership->record.member_count; i++)
    status->members_heard
        += ownership_is_reachable (ownership, now, ownership->member_ids[i]);
  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        status->slices_owned += ownership->slices[c][s].owned;
        status->slices_serving
            += ownership_may_grant (ownership, now, c, s, 0);
      }
}
