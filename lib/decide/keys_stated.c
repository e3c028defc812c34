#include "keys_state.h"

#include <xxhash.h>

/* The order of the members does not matter.  Never 0, which says nothing.  */
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
  return keys->copies;
}

uint64_t
keys_stated (const keys_t *keys, decide_id_t owner, uint32_t slice)
{
  for (uint32_t i = 0; i < DECIDE_MEMBERS_MAX; i++)
    if (keys->stated[i].owner == owner && owner != 0)
      return keys->stated[i].copies[slice];
  return 0;
}

/* An earlier statement about a slice stays true as long as none of the members
   that it names has restarted, whoever owned the slice since: each entry was
   held by its owner and one of them.  */
void
keys_store_copy_report (keys_t *keys, decide_id_t from, uint64_t copies,
                        uint32_t slices)
{
  keys_stated_t *stated = NULL;

  if (slices == 0)
    return;
  for (uint32_t i = 0; i < DECIDE_MEMBERS_MAX && stated == NULL; i++)
    if (keys->stated[i].owner == from)
      stated = &keys->stated[i];
  if (stated == NULL)
    {
      stated = &keys->stated[keys->stated_turn++ % DECIDE_MEMBERS_MAX];
      *stated = (keys_stated_t){ .owner = from };
    }
  for (uint32_t i = 0; i < DECIDE_SLICES; i++)
    if (slices & (1U << i))
      stated->copies[i] = copies;
}
