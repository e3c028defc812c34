#include "suspects.h"

#include <glib.h>
#include <string.h>

/* Greatest number of entries.  Each takes less than 100 bytes, and a request
   is entered only when an endpoint has ended under it.  */
#define SUSPECTS_MAX 256

struct suspects
{
  suspect_t entries[SUSPECTS_MAX];
  int count;
};

static suspect_t *find_entry (suspects_t *suspects, uint64_t digest);
static clock_ms_t last_change (const suspect_t *suspect);
static suspect_t *add_entry (suspects_t *suspects, uint64_t digest);
static int count_recent (const suspect_t *suspect, clock_ms_t now);
static void remove_entry (suspects_t *suspects, int position);

suspects_t *
suspects_new (void)
{
  return g_new0 (suspects_t, 1);
}

void
suspects_free (suspects_t *suspects)
{
  g_free (suspects);
}

static suspect_t *
find_entry (suspects_t *suspects, uint64_t digest)
{
  for (int i = 0; i < suspects->count; i++)
    if (suspects->entries[i].digest == digest)
      return &suspects->entries[i];
  return NULL;
}

static clock_ms_t
last_change (const suspect_t *suspect)
{
  clock_ms_t last = suspect->served_at;

  for (int i = 0; i < suspect->n_endings; i++)
    last = MAX (last, suspect->endings[i].at);
  return last;
}

/* Adds an entry.  If the table is full, it replaces the oldest one, preferably
   one that is not refused.  */
static suspect_t *
add_entry (suspects_t *suspects, uint64_t digest)
{
  suspect_t *entry = &suspects->entries[0];

  if (suspects->count < SUSPECTS_MAX)
    entry = &suspects->entries[suspects->count++];
  else
    for (int i = 1; i < suspects->count; i++)
      {
        suspect_t *other = &suspects->entries[i];
        bool is_refused = entry->n_endings == SUSPECT_ENDINGS_MAX;
        bool is_other_refused = other->n_endings == SUSPECT_ENDINGS_MAX;

        if (is_refused != is_other_refused
                ? is_refused
                : last_change (other) < last_change (entry))
          entry = other;
      }
  *entry = (suspect_t){ .digest = digest };
  return entry;
}

static void
remove_entry (suspects_t *suspects, int position)
{
  suspects->entries[position] = suspects->entries[--suspects->count];
}

static int
count_recent (const suspect_t *suspect, clock_ms_t now)
{
  int count = 0;

  for (int i = 0; i < suspect->n_endings; i++)
    if (now - suspect->endings[i].at < SUSPECT_MEMORY_MS)
      count++;
  return count;
}

const suspect_t *
suspects_find (const suspects_t *suspects, uint64_t digest, clock_ms_t now)
{
  for (int i = 0; i < suspects->count; i++)
    if (suspects->entries[i].digest == digest)
      return count_recent (&suspects->entries[i], now) > 0
                 ? &suspects->entries[i]
                 : NULL;
  return NULL;
}

bool
suspects_is_refused (const suspects_t *suspects, uint64_t digest,
                     clock_ms_t now)
{
  const suspect_t *suspect = suspects_find (suspects, digest, now);

  return suspect != NULL && count_recent (suspect, now) == SUSPECT_ENDINGS_MAX;
}

suspect_t *
suspects_add_ending (suspects_t *suspects, uint64_t digest,
                     const suspect_ending_t *ending, clock_ms_t now)
{
  suspect_t *entry = find_entry (suspects, digest);
  int position;

  if (now - ending->at >= SUSPECT_MEMORY_MS)
    return NULL;
  if (entry == NULL)
    entry = add_entry (suspects, digest);
  else if (entry->served_at != 0 && ending->at <= entry->served_at)
    return NULL;
  for (position = 0; position < entry->n_endings; position++)
    if (entry->endings[position].endpoint == ending->endpoint)
      return NULL;
  if (entry->n_endings == SUSPECT_ENDINGS_MAX)
    {
      position = 0;
      for (int i = 1; i < SUSPECT_ENDINGS_MAX; i++)
        if (entry->endings[i].at < entry->endings[position].at)
          position = i;
      if (entry->endings[position].at >= ending->at)
        return NULL;
    }
  else
    entry->n_endings++;
  entry->endings[position] = *ending;
  return entry;
}

suspect_t *
suspects_set_served (suspects_t *suspects, uint64_t digest, clock_ms_t at,
                     clock_ms_t now)
{
  suspect_t *entry = find_entry (suspects, digest);
  int kept = 0;

  if (entry == NULL || at <= entry->served_at || now - at >= SUSPECT_MEMORY_MS)
    return NULL;
  entry->served_at = at;
  for (int i = 0; i < entry->n_endings; i++)
    if (entry->endings[i].at > at)
      entry->endings[kept++] = entry->endings[i];
  if (kept == entry->n_endings)
    return NULL;
  entry->n_endings = kept;
  return entry;
}

uint64_t
suspects_refused_digest (const suspects_t *suspects)
{
  uint64_t digest = 0;

  for (int i = 0; i < suspects->count; i++)
    if (suspects->entries[i].n_endings == SUSPECT_ENDINGS_MAX)
      digest ^= suspects->entries[i].digest;
  return digest;
}

int
suspects_count (const suspects_t *suspects)
{
  return suspects->count;
}

suspect_t *
suspects_get (suspects_t *suspects, int position)
{
  return &suspects->entries[position];
}

void
suspects_expire (suspects_t *suspects, clock_ms_t now)
{
  for (int i = suspects->count - 1; i >= 0; i--)
    if (now - last_change (&suspects->entries[i]) >= SUSPECT_MEMORY_MS)
      remove_entry (suspects, i);
}
