#include "holders.h"

#include <string.h>

static const member_t *find_member (const members_t *members, uint32_t ip);

void
holders_add (holders_t *holders, uint64_t version, uint32_t ip)
{
  if (holders->version != version)
    *holders = (holders_t){ .version = version };
  holders->ip[holders->added++ % HOLDERS_MAX] = ip;
}

static const member_t *
find_member (const members_t *members, uint32_t ip)
{
  for (guint i = 0; i < members->table->len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      if (member->ip == ip)
        return member;
    }
  return NULL;
}

uint32_t
holders_choose_local (holders_t *holders, const members_t *members,
                      uint32_t asker)
{
  const member_t *requester = find_member (members, asker);
  unsigned int count = MIN (holders->added, HOLDERS_MAX);

  if (requester == NULL
      || strcmp (requester->data_centre, members->own->data_centre) == 0)
    return 0;
  for (unsigned int i = 0; i < count; i++)
    {
      uint32_t ip = holders->ip[holders->position++ % count];
      const member_t *holder = find_member (members, ip);

      /* A holder that has been restarted is not ready until it has the data
         again.  */
      if (ip != asker && holder != NULL && holder->ready
          && strcmp (holder->data_centre, requester->data_centre) == 0)
        return ip;
    }
  return 0;
}

uint32_t
holders_choose (holders_t *holders, uint32_t asker)
{
  unsigned int count = MIN (holders->added, HOLDERS_MAX);

  for (unsigned int i = 0; i < count; i++)
    {
      uint32_t ip = holders->ip[holders->position++ % count];

      if (ip != asker)
        return ip;
    }
  return 0;
}
