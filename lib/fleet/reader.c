#include "reader.h"

#include <glib.h>
#include <string.h>

/* Statements come four times a second; after two missing ones others begin to
   take over.  */
#define READER_SILENT_MS 600
/* Time between the tries of instances in their order of taking over; a read
   and the statement that follows take less.  */
#define READER_STEP_MS 60
/* A reader whose last read is older says so.  */
#define READER_FRESH_MS 900
/* While the store is away all instances together try this often.  */
#define READER_TRY_GAP_MS 250
/* Small machines take over later by so many steps.  */
#define WEAK_PLACES 3
/* An instance that has just started listens before it reads.  */
#define READER_LISTEN_MS 120

void
reader_init (reader_t *reader, bool weak, clock_ms_t now)
{
  *reader = (reader_t){ .started_at = now, .weak = weak };
}

bool
reader_heard (reader_t *reader, const char *own,
              const reader_statement_t *other, clock_ms_t now)
{
  bool gives_up;

  reader->heard_any = now;
  reader->heard_once = true;
  g_strlcpy (reader->last, other->name, sizeof reader->last);
  if (other->fresh)
    reader->heard_fresh = now;
  if (!reader->reading)
    return false;
  if (reader_is_fresh (reader, now) != other->fresh)
    gives_up = other->fresh;
  else if (reader->weak != other->weak)
    gives_up = reader->weak;
  else
    gives_up = strcmp (other->name, own) < 0;
  if (gives_up)
    reader->reading = false;
  return gives_up;
}

bool
reader_should_try (const reader_t *reader, int distance, clock_ms_t now)
{
  clock_ms_t quiet_since = MAX (reader->heard_fresh, reader->started_at);
  clock_ms_t patience
      = reader->heard_once ? READER_SILENT_MS : READER_LISTEN_MS;

  if (reader->reading || now < reader->try_after)
    return false;
  if (reader->weak)
    distance += WEAK_PLACES;
  return now - quiet_since >= patience + distance * READER_STEP_MS;
}

bool
reader_result (reader_t *reader, bool ok, int instances, clock_ms_t now)
{
  if (!ok)
    {
      reader->try_after = now + (clock_ms_t)instances * READER_TRY_GAP_MS;
      return false;
    }
  reader->read_ok = now;
  if (reader->reading || now - reader->heard_fresh < READER_SILENT_MS)
    return false;
  reader->reading = true;
  return true;
}

bool
reader_is_fresh (const reader_t *reader, clock_ms_t now)
{
  return reader->read_ok != 0 && now - reader->read_ok < READER_FRESH_MS;
}
