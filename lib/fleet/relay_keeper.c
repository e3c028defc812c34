/* Which instances are asked about a tenant or an endpoint, and this instance's
   contact with the others; see keeper.h.  */

#include "relay_private.h"

/* The members send their hellos to a new reader after its first announcement.
   Until they have done so it hears as many as the one before it.  */
#define FIRST_HELLOS_MS 500

static void insert (candidates_t *candidates,
                    uint32_t weights[KEEPER_CANDIDATES],
                    const member_t *member, uint32_t weight);

/* Inserts a member by its weight, the highest first.  */
static void
insert (candidates_t *candidates, uint32_t weights[KEEPER_CANDIDATES],
        const member_t *member, uint32_t weight)
{
  int at = candidates->count;

  while (at > 0 && weight > weights[at - 1])
    at--;
  if (at == KEEPER_CANDIDATES)
    return;
  if (candidates->count < KEEPER_CANDIDATES)
    candidates->count++;
  for (int i = candidates->count - 1; i > at; i--)
    {
      candidates->members[i] = candidates->members[i - 1];
      weights[i] = weights[i - 1];
    }
  candidates->members[at] = member;
  weights[at] = weight;
}

candidates_t
relay_find_candidates (const members_t *members, const char *name)
{
  candidates_t candidates = { .own_rank = KEEPER_NO_RANK };
  uint32_t weights[KEEPER_CANDIDATES] = { 0 };

  for (guint i = 0; i < members->table->len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      if (member->ready)
        insert (&candidates, weights, member,
                backends_rendezvous_weight (member->name, name));
    }
  for (int i = 0; i < candidates.count; i++)
    if (candidates.members[i] == members->own)
      candidates.own_rank = i;
  return candidates;
}

const member_t *
relay_find_keeper (const members_t *members, const char *name)
{
  candidates_t candidates = relay_find_candidates (members, name);

  return candidates.count > 0 ? candidates.members[0] : NULL;
}

void
relay_update_contact (relay_t *relay, unsigned int heard, bool tells_listing,
                      bool is_listed, clock_ms_t now)
{
  contact_news_t news
      = { .tells_listing = tells_listing,
          .is_listed = is_listed,
          .share = (double)heard / (double)relay->members->table->len };

  contact_handle_announcement (&relay->contact, &news, now);
}

unsigned int
relay_count_heard (const relay_t *relay, clock_ms_t now)
{
  int heard = members_count_heard (relay->members, now);

  if (relay->reader->is_reader
      && now - relay->reader->reader_since < FIRST_HELLOS_MS)
    heard = MAX (heard, (int)(relay->contact.announced_share.value
                              * (double)relay->members->table->len));
  return (unsigned int)heard;
}

void
relay_contact_tick (relay_t *relay, clock_ms_t now)
{
  int heard = members_count_heard (relay->members, now);

  contact_set_own_share (&relay->contact,
                         (double)heard / (double)relay->members->table->len,
                         now);
  if (relay->reader->is_reader)
    relay_update_contact (relay, relay_count_heard (relay, now), true,
                          relay->members->own->ready, now);
}
