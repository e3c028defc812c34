#include "keys_state.h"

#include <xxhash.h>

/* The hashes of the members are summed, so that their order does not matter.
   The sum 0 is replaced by 1, because a reported hash of 0 means that there is
   no report.  */
uint64_t
keys_hash_members (const keys_member_t *members, uint32_t count)
{
  uint64_t hash = 0;

  for (uint32_t i = 0; i < count; i++)
    hash += XXH64 (&members[i], sizeof members[i], 0);
  return hash == 0 ? 1 : hash;
}

uint64_t
keys_get_copy_report (const keys_t *keys, uint32_t *slices)
{
  *slices = keys->copied_slices;
  return keys->holders_hash;
}

uint64_t
keys_get_reported_hash (const keys_t *keys, decide_id_t owner, uint32_t slice)
{
  for (uint32_t i = 0; i < DECIDE_MEMBERS_MAX; i++)
    if (keys->reports[i].owner == owner && owner != 0)
      return keys->reports[i].holders_hash[slice];
  return 0;
}

/* A slice that is not in the new report keeps the hash of an earlier one.  The
   earlier report stays valid until one of the members in its hash restarts,
   whichever instance owned the slice since: each entry was held by its owner
   and by one of these members.  */
void
keys_store_copy_report (keys_t *keys, decide_id_t from, uint64_t holders_hash,
                        uint32_t slices)
{
  keys_copy_report_t *report = NULL;

  if (slices == 0)
    return;
  for (uint32_t i = 0; i < DECIDE_MEMBERS_MAX && report == NULL; i++)
    if (keys->reports[i].owner == from)
      report = &keys->reports[i];
  if (report == NULL)
    {
      report
          = &keys->reports[keys->replace_report_index++ % DECIDE_MEMBERS_MAX];
      *report = (keys_copy_report_t){ .owner = from };
    }
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    if (slices & (1U << i))
      report->holders_hash[i] = holders_hash;
}
