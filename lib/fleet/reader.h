#ifndef PERIDOT_FLEET_READER_H
#define PERIDOT_FLEET_READER_H

/* Which instance reads the store for all of them.  There is no election: the
   store's revisions order what readers say, so that two readers at a time
   cost calls but do no harm.  An instance that hears no fresh reader reads by
   itself and tells the others; of two readers the one with the lower name
   goes on.  Needs no network; driven in virtual time by its test.  */

#include <stdbool.h>

#include "clock.h"

typedef struct reader
{
  bool reading; /* this instance reads for all */
  clock_ms_t started_at;
  clock_ms_t heard_fresh; /* last time another's fresh statement was heard */
  clock_ms_t heard_any;
  clock_ms_t read_ok;   /* last own successful read; 0: never */
  clock_ms_t try_after; /* no own try before, after a failed one */
  bool heard_once;
  bool last_weak;        /* the reader heard last is a small machine */
  clock_ms_t weak_since; /* since then */
  bool weak;             /* a small machine: others go before it */
  char last[128];        /* the reader heard last */
} reader_t;

void reader_init (reader_t *reader, bool weak, clock_ms_t now);

/* What another instance that reads says of itself.  */
typedef struct reader_statement
{
  const char *name;
  bool fresh; /* it reached the store a moment ago */
  bool weak;
} reader_statement_t;

/* Return: whether this instance was reading and gives up.  */
bool reader_heard (reader_t *reader, const char *own,
                   const reader_statement_t *other, clock_ms_t now);

/**
 * reader_should_try() - whether to read the store now, though another one
 * should
 * @distance: live instances that take over before this one
 */
bool reader_should_try (const reader_t *reader, int distance, clock_ms_t now);

/* A read of the store ended.  @instances: live ones; they share the pace of
   tries while the store is away.  Return: whether this instance begins to
   read for all.  */
bool reader_result (reader_t *reader, bool ok, int instances, clock_ms_t now);

/* Whether the last own read is recent enough to be told as fresh.  */
bool reader_is_fresh (const reader_t *reader, clock_ms_t now);

#endif
