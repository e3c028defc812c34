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
/* Larger machines try again after this at the latest, so that one of them goes
   on when the store is back.  */
#define READER_TRY_MAX_MS 4000
/* Small machines take over later by so many steps.  */
#define WEAK_PLACES 10
/* A small machine that reads is relieved after it.  */
#define RELIEVE_MS 500
/* An instance that has just started listens before it reads: a reader that
   lives answers a seed in a few ms.  */
#define READER_LISTEN_MS 60
/* Time between the tries of instances that have not heard any reader: callers
   wait, and a read and its statement take about as long.  */
#define READER_START_STEP_MS 20

static bool may_relieve (const reader_t *reader, clock_ms_t now);

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
  if (other->weak
      && (!reader->last_weak || strcmp (reader->last, other->name) != 0))
    {
      reader->weak_since = now;
      /* What it has reached can be reached again.  */
      if (other->fresh)
        reader->try_after = 0;
    }
  reader->last_weak = other->weak;
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

/* A small machine's link is too narrow to tell all others what it reads.  */
static bool
may_relieve (const reader_t *reader, clock_ms_t now)
{
  return !reader->weak && reader->last_weak
         && now - reader->heard_fresh < READER_SILENT_MS;
}

bool
reader_should_try (const reader_t *reader, int distance, clock_ms_t now)
{
  clock_ms_t quiet_since = MAX (reader->heard_fresh, reader->started_at);
  clock_ms_t patience
      = reader->heard_once ? READER_SILENT_MS : READER_LISTEN_MS;
  clock_ms_t step = reader->heard_once ? READER_STEP_MS : READER_START_STEP_MS;

  if (reader->reading || now < reader->try_after)
    return false;
  if (may_relieve (reader, now))
    return now - reader->weak_since
           >= RELIEVE_MS + (clock_ms_t)distance * READER_STEP_MS;
  if (reader->weak)
    distance += WEAK_PLACES;
  return now - quiet_since >= patience + distance * step;
}

bool
reader_result (reader_t *reader, bool ok, int instances, clock_ms_t now)
{
  if (!ok)
    {
      clock_ms_t pause = (clock_ms_t)instances * READER_TRY_GAP_MS;

      reader->try_after
          = now + (reader->weak ? pause : MIN (pause, READER_TRY_MAX_MS));
      return false;
    }
  reader->read_ok = now;
  if (reader->reading
      || (now - reader->heard_fresh < READER_SILENT_MS
          && !may_relieve (reader, now)))
    return false;
  reader->reading = true;
  return true;
}

bool
reader_is_fresh (const reader_t *reader, clock_ms_t now)
{
  return reader->read_ok != 0 && now - reader->read_ok < READER_FRESH_MS;
}
