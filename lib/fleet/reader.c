#include "reader.h"

#include <glib.h>
#include <string.h>

/* After this time without an announcement of a recent read, other instances
   begin to take over.  As the reader sends an announcement four times a
   second, at least two in a row must be lost before that happens.  */
#define READER_TIMEOUT_MS 600
/* The same after an announcement that says that the last read has failed.  The
   reader may succeed at its next attempt, which is no sooner.  */
#define READER_STALE_TIMEOUT_MS 100
/* Delay between the takeover attempts of instances of consecutive ranks.  It
   is longer than a read and the announcement that follows, so that the next
   instance learns of a successful attempt before it makes its own.  */
#define READER_RANK_DELAY_MS 60
/* The reader announces its last read as fresh up to this age.  */
#define READER_FRESH_MS 900
/* Average time between attempts to read the store during an outage, counting
   the attempts of all instances.  */
#define READER_RETRY_INTERVAL_MS 250
/* Longest time between the attempts of one instance that is not weak (see
   reader.h), so that such an instance becomes the reader soon after an
   outage.  */
#define READER_RETRY_MAX_MS 4000
/* Added to the takeover rank of a weak instance, so that others try first. The
   rank alone does not tell: when all start, an instance has heard the reader
   before it knows which others are live, and takes itself for the first.  */
#define WEAK_EXTRA_RANKS 10
/* An instance whose read has failed announces all the same if it has heard no
   announcement for this time, so that the instances know of each other during
   an outage of the store.  */
#define READER_SILENT_MS 700
/* An instance that is not weak takes over from a weak reader this long after
   it received the reader's first announcement, plus READER_RANK_DELAY_MS for
   each rank.  */
#define PREEMPT_DELAY_MS 500
/* Time that an instance waits for an announcement after its start before it
   reads the store itself.  It sends hellos to the seeds, which forward them to
   the reader; a live reader responds within a few ms.  */
#define READER_START_TIMEOUT_MS 60
/* Delay between the takeover attempts of instances of consecutive ranks that
   have received no announcement since their start.  It is only about as long
   as a read of the store and the announcement that follows, because clients
   are waiting.  */
#define READER_START_RANK_DELAY_MS 20

/* If no instance is known to have read the store for longer than this, the
   next successful read ends an outage.  */
#define OUTAGE_MIN_MS 1500

/* How much a reader can read.  Of two readers, the one that can read more
   remains.  */
typedef enum reach
{
  REACH_NOTHING,
  REACH_ENDPOINTS,
  REACH_ALL
} reach_t;

static reach_t get_reach (bool fresh, bool partial);
static bool can_preempt (const reader_t *reader, clock_ms_t now);

void
reader_init (reader_t *reader, bool weak, clock_ms_t now)
{
  *reader = (reader_t){ .started_at = now, .weak = weak };
}

static reach_t
get_reach (bool fresh, bool partial)
{
  if (!fresh)
    return REACH_NOTHING;
  return partial ? REACH_ENDPOINTS : REACH_ALL;
}

bool
reader_handle_announcement (reader_t *reader, const char *own,
                            const reader_announcement_t *other, clock_ms_t now)
{
  reach_t reach = get_reach (other->fresh, other->partial);
  reach_t own_reach
      = get_reach (reader_is_fresh (reader, now), reader->is_partial);
  bool steps_down;

  reader->last_announcement_at = now;
  reader->has_heard_reader = true;
  if (other->weak
      && (!reader->last_reader_weak
          || strcmp (reader->last_reader, other->name) != 0))
    {
      reader->weak_since = now;
      /* As the weak reader can read the store, this instance need not wait for
         the end of its retry delay before it takes over.  */
      if (other->fresh)
        reader->next_try_at = 0;
    }
  reader->last_reader_weak = other->weak;
  g_strlcpy (reader->last_reader, other->name, sizeof reader->last_reader);
  reader->last_reader_partial = other->partial;
  if (other->fresh)
    reader->last_fresh_at = now;
  if (reach == REACH_ALL)
    reader->stale_since = 0;
  else if (reader->stale_since == 0)
    reader->stale_since = now;
  if (!reader->is_reader)
    return false;
  if (reach != own_reach)
    steps_down = reach > own_reach;
  else if (reader->weak != other->weak)
    steps_down = reader->weak;
  else
    steps_down = strcmp (other->name, own) < 0;
  if (steps_down)
    {
      reader->is_reader = false;
      reader->is_partial = false;
    }
  return steps_down;
}

/* Whether this instance may take over from a live reader.  It may if it is not
   weak but the reader is, because a weak reader has too little bandwidth to
   announce what it reads to all other instances.  */
static bool
can_preempt (const reader_t *reader, clock_ms_t now)
{
  return !reader->weak && reader->last_reader_weak
         && now - reader->last_fresh_at < READER_TIMEOUT_MS;
}

bool
reader_should_take_over (const reader_t *reader, int rank, clock_ms_t now)
{
  clock_ms_t silent_since = MAX (reader->last_fresh_at, reader->started_at);
  clock_ms_t timeout
      = reader->has_heard_reader ? READER_TIMEOUT_MS : READER_START_TIMEOUT_MS;
  clock_ms_t rank_delay = reader->has_heard_reader
                              ? READER_RANK_DELAY_MS
                              : READER_START_RANK_DELAY_MS;

  if (reader->is_reader || now < reader->next_try_at)
    return false;
  if (can_preempt (reader, now))
    return now - reader->weak_since
           >= PREEMPT_DELAY_MS + (clock_ms_t)rank * READER_RANK_DELAY_MS;
  if (reader->weak)
    rank += WEAK_EXTRA_RANKS;
  if (reader->stale_since != 0
      && now - reader->stale_since
             >= READER_STALE_TIMEOUT_MS + rank * rank_delay)
    return true;
  return now - silent_since >= timeout + rank * rank_delay;
}

void
reader_delay_takeover (reader_t *reader, int instances, clock_ms_t now)
{
  clock_ms_t delay = (clock_ms_t)instances * READER_RETRY_INTERVAL_MS;

  reader->next_try_at
      = now + (reader->weak ? delay : MIN (delay, READER_RETRY_MAX_MS));
}

bool
reader_must_read_all (const reader_t *reader, clock_ms_t now)
{
  if (reader->is_reader)
    return false;
  return can_preempt (reader, now)
         || (reader->last_reader_partial
             && now - reader->last_fresh_at < READER_TIMEOUT_MS);
}

const char *
reader_get_takeover_reason (const reader_t *reader, clock_ms_t now)
{
  if (!reader->has_heard_reader)
    return "no announcement since the start";
  if (now - reader->last_announcement_at >= READER_TIMEOUT_MS)
    return "the reader is silent";
  if (can_preempt (reader, now))
    return "the reader is a weak instance";
  return reader->last_reader_partial ? "the reader cannot read all objects"
                                     : "the reader cannot read the endpoints";
}

bool
reader_handle_read_result (reader_t *reader, reader_result_t result,
                           int instances, clock_ms_t now)
{
  reader->has_failed = result == READER_FAILED && reader->is_reader;
  if (result == READER_FAILED)
    {
      reader_delay_takeover (reader, instances, now);
      if (reader->is_reader || !reader->has_heard_reader
          || now - reader->last_announcement_at < READER_SILENT_MS)
        return false;
      reader->is_reader = true;
      reader->has_failed = true;
      reader->reader_since = now;
      return true;
    }
  reader->last_read_at = now;
  if (reader->is_reader
      || (result != READER_READ_ALL && reader_must_read_all (reader, now))
      || (now - reader->last_fresh_at < READER_TIMEOUT_MS
          && reader->stale_since == 0 && !can_preempt (reader, now)))
    return false;
  reader->is_reader = true;
  reader->reader_since = now;
  reader->stale_since = 0;
  return true;
}

bool
reader_is_fresh (const reader_t *reader, clock_ms_t now)
{
  return reader->last_read_at != 0 && !reader->has_failed
         && now - reader->last_read_at < READER_FRESH_MS;
}

bool
reader_is_after_outage (const reader_t *reader, bool has_backends,
                        clock_ms_t now)
{
  clock_ms_t last_store_read_at
      = MAX (reader->last_read_at, reader->last_fresh_at);

  /* An instance that started during the outage has seen no fresh read.  */
  if (last_store_read_at == 0)
    return has_backends;
  return now - last_store_read_at > OUTAGE_MIN_MS;
}
