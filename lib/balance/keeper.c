#include "keeper.h"

#include <glib.h>

static void set_share (late_share_t *late, double share, clock_ms_t now);
static void reset_share (late_share_t *late, double share, clock_ms_t now);

/* Sets a share that may rise at once.  */
static void
reset_share (late_share_t *late, double share, clock_ms_t now)
{
  share = CLAMP (share, 0.0, 1.0);
  *late = (late_share_t){ .value = share, .next = share, .next_since = now };
}

static void
set_share (late_share_t *late, double share, clock_ms_t now)
{
  share = CLAMP (share, 0.0, 1.0);
  late->value = MIN (late->value, share);
  late->next = MIN (late->next, share);
  if (now - late->next_since < KEEPER_HANDOVER_MS)
    return;
  late->value = late->next;
  late->next = share;
  late->next_since = now;
}

void
contact_handle_announcement (contact_t *contact, const contact_news_t *news,
                             clock_ms_t now)
{
  bool is_regained
      = contact->heard_at == 0 || now - contact->heard_at > KEEPER_CONTACT_MS;
  bool is_starting
      = contact->term == 0
        || (contact->term == 1 && now - contact->term_at < KEEPER_START_MS);

  if (is_regained || is_starting)
    reset_share (&contact->announced_share, news->share, now);
  else
    set_share (&contact->announced_share, news->share, now);
  contact->heard_at = now;
  if (!news->tells_listing)
    {
      /* While it is in contact, an instance keeps its place until it is told
         otherwise.  */
      contact->is_listed = contact->is_listed && !is_regained;
      return;
    }
  if (news->is_listed && (!contact->is_listed || is_regained))
    {
      contact->term++;
      contact->term_at = now;
    }
  contact->is_listed = news->is_listed;
}

void
contact_set_own_share (contact_t *contact, double share, clock_ms_t now)
{
  set_share (&contact->own_share, share, now);
}

void
contact_lose (contact_t *contact)
{
  contact->heard_at = 0;
  contact->is_listed = false;
}

double
contact_share (const contact_t *contact, clock_ms_t now)
{
  if (!contact->is_listed)
    return 0;
  return now - contact->heard_at <= KEEPER_CONTACT_MS
             ? contact->announced_share.value
             : contact->own_share.value;
}

bool
keeper_role_set (keeper_role_t *role, int rank, const contact_t *contact,
                 clock_ms_t changed_at, clock_ms_t now)
{
  if (!contact->is_listed)
    rank = KEEPER_NO_RANK;
  if (role->rank == rank && role->term == contact->term)
    return false;
  role->since = role->rank == rank
                    ? contact->term_at
                    : MIN (MAX (changed_at, contact->term_at), now);
  role->rank = rank;
  role->term = contact->term;
  return true;
}

bool
keeper_role_is_acting (const keeper_role_t *role, clock_ms_t now)
{
  return role->rank == 0 && now - role->since >= KEEPER_HANDOVER_MS;
}
