#include "members.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

/* A member that has sent no hello for this time is marked as not ready.
   Members send hellos four times a second; the platform allows six seconds for
   this detection.  */
#define MEMBER_TIMEOUT_MS 1500
/* A member that is not ready and has sent no hello for this time is removed
   from the table, as a machine that was replaced does not return under its old
   name.  */
#define MEMBER_RETENTION_MS (10 * 60 * 1000)

/* Takeover ranks (see members_takeover_rank()) of instances that know no other
   member.  The seeds, which are the configured contact addresses, have the
   ranks below SEED_RANKS.  Any other instance has one of the HASHED_RANKS
   ranks from SEED_RANKS on, which the hash of its name selects.  */
#define HASHED_RANKS 12
#define SEED_RANKS 3

static void member_free (gpointer data);
static guint lower_bound (const members_t *members, const char *name);
static void remove_at (members_t *members, guint index);

members_t *
members_new (const char *own_name, const char *own_data_centre,
             uint32_t own_ip)
{
  members_t *members = g_new0 (members_t, 1);

  members->table = g_ptr_array_new_with_free_func (member_free);
  members->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  (void)members_put (members, own_name, own_data_centre, own_ip, 0);
  members->own = members_find (members, own_name);
  members->initial_rank
      = SEED_RANKS + (int)(members->own->hash % HASHED_RANKS);
  return members;
}

void
members_free (members_t *members)
{
  g_hash_table_destroy (members->by_name);
  g_ptr_array_free (members->table, TRUE);
  g_free (members);
}

static void
member_free (gpointer data)
{
  member_t *member = data;

  g_free (member->name);
  g_free (member->data_centre);
  g_free (member);
}

/* Returns the index of the first member whose name is equal to or greater than
   @name, or the length of the table.  */
static guint
lower_bound (const members_t *members, const char *name)
{
  guint from = 0;
  guint to = members->table->len;

  while (from < to)
    {
      guint middle = from + (to - from) / 2;
      const member_t *member = g_ptr_array_index (members->table, middle);

      if (strcmp (member->name, name) < 0)
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

static void
remove_at (members_t *members, guint index)
{
  const member_t *member = g_ptr_array_index (members->table, index);

  members->digest
      ^= members_entry_digest (member->name, member->ip, member->weak);
  g_hash_table_remove (members->by_name, member->name);
  g_ptr_array_remove_index (members->table, index);
}

bool
members_put (members_t *members, const char *name, const char *data_centre,
             uint32_t ip, clock_ms_t now)
{
  member_t *member = members_find (members, name);

  if (member != NULL)
    {
      bool changed
          = member->ip != ip || strcmp (member->data_centre, data_centre) != 0;

      members->digest ^= members_entry_digest (name, member->ip, member->weak);
      members->digest ^= members_entry_digest (name, ip, member->weak);
      member->ip = ip;
      member->is_retained = true;
      if (changed)
        {
          g_free (member->data_centre);
          member->data_centre = g_strdup (data_centre);
        }
      return changed;
    }
  member = g_new0 (member_t, 1);
  member->name = g_strdup (name);
  member->data_centre = g_strdup (data_centre);
  member->ip = ip;
  member->hash = (uint32_t)XXH64 (name, strlen (name), 0);
  member->added_at = now;
  member->is_retained = true;
  g_ptr_array_insert (members->table, (gint)lower_bound (members, name),
                      member);
  g_hash_table_insert (members->by_name, member->name, member);
  members->digest ^= members_entry_digest (name, ip, false);
  return true;
}

bool
members_set_weak (members_t *members, const char *name, bool weak)
{
  member_t *member = members_find (members, name);

  if (member == NULL || member->weak == weak)
    return false;
  members->digest ^= members_entry_digest (name, member->ip, member->weak);
  members->digest ^= members_entry_digest (name, member->ip, weak);
  member->weak = weak;
  return true;
}

void
members_begin_replace (members_t *members)
{
  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);

      member->is_retained = member == members->own;
    }
}

void
members_end_replace (members_t *members)
{
  for (guint i = members->table->len; i > 0; i--)
    {
      const member_t *member = g_ptr_array_index (members->table, i - 1);

      if (!member->is_retained)
        remove_at (members, i - 1);
    }
}

member_t *
members_find (const members_t *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

uint64_t
members_entry_digest (const char *name, uint32_t ip, bool weak)
{
  return XXH64 (name, strlen (name), ip | (uint64_t)weak << 32);
}

uint64_t
members_digest (const members_t *members)
{
  return members->digest;
}

void
members_set_initial_rank (members_t *members, int initial_rank)
{
  members->initial_rank = initial_rank;
}

bool
members_expire (members_t *members, clock_ms_t now)
{
  bool changed = false;

  for (guint i = members->table->len; i > 0; i--)
    {
      member_t *member = g_ptr_array_index (members->table, i - 1);
      clock_ms_t silent_ms
          = now - MAX (member->last_hello_at, member->added_at);

      if (member == members->own)
        continue;
      if (!member->ready && silent_ms > MEMBER_RETENTION_MS)
        {
          g_message ("instance %s is forgotten", member->name);
          remove_at (members, i - 1);
          changed = true;
          continue;
        }
      if (!member->ready || now - member->last_hello_at < MEMBER_TIMEOUT_MS)
        continue;
      g_log_structured ("fleet", G_LOG_LEVEL_MESSAGE, "PEER", member->name,
                        "MESSAGE",
                        "instance has sent no heartbeat for %" G_GINT64_FORMAT
                        " ms, taken as gone",
                        now - member->last_hello_at);
      member->ready = false;
      changed = true;
    }
  return changed;
}

GByteArray *
members_ready_bits (const members_t *members)
{
  GByteArray *bits = g_byte_array_new ();

  g_byte_array_set_size (bits, (members->table->len + 7) / 8);
  memset (bits->data, 0, bits->len);
  for (guint i = 0; i < members->table->len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      if (member->ready)
        bits->data[i / 8] |= (guint8)(1U << (i % 8));
    }
  return bits;
}

int
members_set_ready (members_t *members, const uint8_t *bits, unsigned int bytes,
                   bool *is_listed)
{
  int changed = 0;

  if (bytes < (members->table->len + 7) / 8)
    return -EINVAL;
  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);
      bool ready = (bits[i / 8] >> (i % 8) & 1U) != 0;

      if (member == members->own)
        *is_listed = ready;
      if (member == members->own || member->ready == ready)
        continue;
      member->ready = ready;
      changed = 1;
    }
  return changed;
}

int
members_count_ready (const members_t *members)
{
  int ready = 0;

  for (guint i = 0; i < members->table->len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      if (member->ready || member == members->own)
        ready++;
    }
  return ready;
}

int
members_count_heard (const members_t *members, clock_ms_t now)
{
  int heard = 0;

  for (guint i = 0; i < members->table->len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      if (member == members->own
          || (member->heard_at != 0
              && now - member->heard_at < MEMBER_TIMEOUT_MS))
        heard++;
    }
  return heard;
}

int
members_takeover_rank (const members_t *members, const char *from)
{
  bool is_before = true;
  int rank = 0;
  guint own = 0;

  /* While this instance knows no other member, as on the first start, its rank
     depends on its position among the seeds or on the hash of its name.  */
  if (members->table->len == 1)
    return members->initial_rank;

  (void)g_ptr_array_find (members->table, members->own, &own);
  /* Counts the ready members between @from and this instance, backwards in the
     cyclic order of names.  */
  for (guint i = 1; i <= members->table->len; i++)
    {
      guint at = (own + members->table->len - i) % members->table->len;
      const member_t *member = g_ptr_array_index (members->table, at);

      if (from != NULL && strcmp (member->name, from) == 0)
        is_before = false;
      if (from == NULL && at > own)
        is_before = false;
      if (!member->ready || member == members->own)
        continue;
      if (member->weak == members->own->weak)
        rank += is_before ? 1 : 0;
      else
        rank += members->own->weak ? 1 : 0;
    }
  return rank;
}
