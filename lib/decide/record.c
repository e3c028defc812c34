#include "ownership_private.h"

#include <errno.h>
#include <string.h>

static bool is_valid_name (const char *name);
static void assign_slices (decide_record_t *record, uint32_t centre);
static bool is_eligible_owner (const ownership_t *ownership, clock_ms_t now,
                               const decide_member_t *member, decide_id_t id);

static bool
is_valid_name (const char *name)
{
  return name[0] != '\0' && memchr (name, '\0', DECIDE_NAME_MAX) != NULL;
}

int
ownership_record_validate (const decide_record_t *record)
{
  if (record->version == 0 || record->member_count > DECIDE_MEMBERS_MAX
      || record->centre_count > DECIDE_DATA_CENTRES_MAX)
    return -EINVAL;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *member = &record->members[i];

      if (!is_valid_name (member->name) || !is_valid_name (member->data_centre)
          || ownership_record_find_member (record, decide_id (member->name))
                 != (int)i)
        return -EINVAL;
    }
  for (uint32_t i = 0; i < record->centre_count; i++)
    {
      if (!is_valid_name (record->centres[i].name))
        return -EINVAL;
      for (uint32_t j = 0; j < i; j++)
        if (strcmp (record->centres[i].name, record->centres[j].name) == 0)
          return -EINVAL;
    }
  return 0;
}

int
ownership_record_find_member (const decide_record_t *record, decide_id_t id)
{
  for (uint32_t i = 0; i < record->member_count; i++)
    if (decide_id (record->members[i].name) == id)
      return (int)i;
  return -1;
}

uint32_t
ownership_record_count_slices (const decide_record_t *record, uint32_t centre,
                               decide_id_t owner, uint64_t incarnation)
{
  uint32_t count = 0;

  for (uint32_t s = 0; s < DECIDE_SLICES; s++)
    {
      const decide_slice_t *slice = &record->centres[centre].slices[s];

      if (slice->owner == owner && slice->incarnation == incarnation)
        count++;
    }
  return count;
}

bool
ownership_record_is_owner (const decide_record_t *record, decide_id_t owner,
                           uint64_t incarnation)
{
  for (uint32_t c = 0; c < record->centre_count; c++)
    if (ownership_record_count_slices (record, c, owner, incarnation) > 0)
      return true;
  return false;
}

/* Distributes the slices of a data centre that is new in the record over the
   members in that data centre, or over all members of the record if there are
   none there.  Sets @assigned of each slice to 0: it had no earlier owner, so
   no earlier grants have to end first.  */
static void
assign_slices (decide_record_t *record, uint32_t centre)
{
  decide_record_centre_t *recorded_centre = &record->centres[centre];
  uint32_t eligible[DECIDE_MEMBERS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < record->member_count; i++)
    if (strcmp (record->members[i].data_centre, recorded_centre->name) == 0)
      eligible[count++] = i;
  if (count == 0)
    for (uint32_t i = 0; i < record->member_count; i++)
      eligible[count++] = i;
  for (uint32_t s = 0; s < DECIDE_SLICES && count > 0; s++)
    {
      const decide_member_t *member
          = &record->members[eligible[(s + centre) % count]];

      recorded_centre->slices[s].owner = decide_id (member->name);
      recorded_centre->slices[s].incarnation = member->incarnation;
      recorded_centre->slices[s].assigned = 0;
    }
}

void
ownership_record_create (const ownership_t *ownership, decide_record_t *record)
{
  memset (record, 0, sizeof *record);
  for (uint32_t i = 0; i < ownership->instance_count; i++)
    {
      decide_member_t *member = &record->members[record->member_count++];

      memcpy (member->name, ownership->instances[i].name, sizeof member->name);
      memcpy (member->data_centre, ownership->instances[i].data_centre,
              sizeof member->data_centre);
      member->state = DECIDE_MEMBER_ACTIVE;
    }
  (void)ownership_record_add_centres (ownership, record);
}

bool
ownership_record_add_centres (const ownership_t *ownership,
                              decide_record_t *record)
{
  bool added = false;

  for (uint32_t i = 0; i < ownership->centre_count; i++)
    {
      uint32_t c = 0;

      while (c < record->centre_count
             && strcmp (record->centres[c].name, ownership->centres[i]) != 0)
        c++;
      if (c < record->centre_count || c == DECIDE_DATA_CENTRES_MAX)
        continue;
      record->centre_count++;
      memcpy (record->centres[c].name, ownership->centres[i],
              sizeof record->centres[c].name);
      assign_slices (record, c);
      added = true;
    }
  return added;
}

void
ownership_record_claim_entry (const ownership_t *ownership,
                              decide_record_t *record)
{
  decide_member_t *member = &record->members[ownership->self_index];

  member->incarnation = ownership->incarnation;
  member->state = DECIDE_MEMBER_ACTIVE;
  memcpy (member->data_centre, ownership->data_centre,
          sizeof member->data_centre);
  for (uint32_t c = 0; c < record->centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        decide_slice_t *slice = &record->centres[c].slices[s];

        if (slice->owner == ownership->self && slice->incarnation == 0)
          slice->incarnation = ownership->incarnation;
      }
}

void
ownership_record_add_self (const ownership_t *ownership,
                           decide_record_t *record)
{
  decide_member_t *member = &record->members[record->member_count++];

  memset (member, 0, sizeof *member);
  memcpy (member->name, ownership->name, sizeof member->name);
  memcpy (member->data_centre, ownership->data_centre,
          sizeof member->data_centre);
  member->incarnation = ownership->incarnation;
  member->state = DECIDE_MEMBER_ACTIVE;
}

void
ownership_record_remove_member (decide_record_t *record, decide_id_t id)
{
  int index = ownership_record_find_member (record, id);

  if (index < 0)
    return;
  record->member_count--;
  memmove (&record->members[index], &record->members[index + 1],
           (record->member_count - (uint32_t)index)
               * sizeof record->members[0]);
  memset (&record->members[record->member_count], 0,
          sizeof record->members[0]);
}

static bool
is_eligible_owner (const ownership_t *ownership, clock_ms_t now,
                   const decide_member_t *member, decide_id_t id)
{
  const ownership_peer_t *peer;

  if (member->incarnation == 0)
    return false;
  if (id == ownership->self)
    return member->incarnation == ownership->incarnation
           && !ownership->stopping;
  peer = ownership_peer_find (ownership, id);
  return peer != NULL && peer->incarnation == member->incarnation
         && peer->state == DECIDE_MEMBER_ACTIVE
         && ownership_age (now, peer->last_message_at)
                < DECIDE_PEER_TIMEOUT_MS;
}

int
ownership_record_find_successor (const ownership_t *ownership, clock_ms_t now,
                                 const decide_record_t *record,
                                 uint32_t centre, bool exclude_self)
{
  int best = -1;
  bool best_local = false;
  uint32_t best_count = 0;

  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *member = &record->members[i];
      decide_id_t id = decide_id (member->name);
      bool local;
      uint32_t count;

      if ((exclude_self && id == ownership->self)
          || !is_eligible_owner (ownership, now, member, id))
        continue;
      local = strcmp (member->data_centre, record->centres[centre].name) == 0;
      count = ownership_record_count_slices (record, centre, id,
                                             member->incarnation);
      if (best >= 0
          && (local != best_local ? best_local : count >= best_count))
        continue;
      best = (int)i;
      best_local = local;
      best_count = count;
    }
  return best;
}

void
ownership_record_assign_slice (decide_record_t *record, uint32_t centre,
                               uint32_t slice, decide_id_t owner,
                               uint64_t incarnation)
{
  decide_slice_t *recorded_slice = &record->centres[centre].slices[slice];

  /* An owner with incarnation 0 has not started yet, so it has issued no
     grants that would have to end first.  */
  recorded_slice->assigned
      = recorded_slice->incarnation == 0 ? 0 : record->version + 1;
  recorded_slice->owner = owner;
  recorded_slice->incarnation = incarnation;
}
