#ifndef PERIDOT_FLEET_READER_H
#define PERIDOT_FLEET_READER_H

/* Decides which instance is the reader, which reads the store on behalf of
   all.  There is no election: the store's revisions order the announcements of
   readers, so that two concurrent readers cost calls but do no harm.  An
   instance that receives no announcement of a recent read reads the store
   itself and announces the result; of two readers the one with the lower name
   continues.  This module uses no network; its test runs in virtual time.  */

#include <stdbool.h>

#include "clock.h"

typedef struct reader
{
  bool reading;             /* this instance is the reader */
  clock_ms_t started_at;    /* ms */
  clock_ms_t last_fresh_at; /* ms; last announcement of a recent read by
                               another instance; 0: none */
  clock_ms_t
      last_announcement_at; /* ms; last announcement of any kind; 0: none */
  clock_ms_t last_read_at;  /* ms; last successful own read; 0: never */
  clock_ms_t next_try_at;   /* ms; no own read before, after a failed one */
  bool has_heard_reader;    /* an announcement was received */
  bool last_reader_weak;    /* @last_reader is weak */
  clock_ms_t weak_since; /* ms; when the first announcement of that weak reader
                            was received */
  bool weak;             /* a small machine, which other instances precede */
  char last_reader[128]; /* name of the reader that announced last */
} reader_t;

/* @weak: this instance runs on a small machine.  */
void reader_init (reader_t *reader, bool weak, clock_ms_t now);

/* What a reader announces about itself.  */
typedef struct reader_announcement
{
  const char *name; /* of the instance */
  bool fresh;       /* its last read of the store is recent */
  bool weak;        /* it runs on a small machine */
} reader_announcement_t;

/* Handles another reader's announcement.  @own: name of this instance.
   Return: whether this instance was the reader and steps down.  */
bool reader_handle_announcement (reader_t *reader, const char *own,
                                 const reader_announcement_t *other,
                                 clock_ms_t now);

/**
 * reader_should_try() - whether this instance, which is not the reader, should
 * read the store now to take over
 * @rank: number of live instances that take over before this one
 */
bool reader_should_try (const reader_t *reader, int rank, clock_ms_t now);

/* Handles the end of an own read of the store.  @instances: number of live
   instances, by which the retry interval grows while the store is unreachable.
   Return: whether this instance becomes the reader.  */
bool reader_handle_read_result (reader_t *reader, bool ok, int instances,
                                clock_ms_t now);

/* Whether the last own read is recent enough to be announced as fresh.  */
bool reader_is_fresh (const reader_t *reader, clock_ms_t now);

#endif
