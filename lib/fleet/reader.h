#ifndef PERIDOT_FLEET_READER_H
#define PERIDOT_FLEET_READER_H

/* Decides which instance is the reader, the one that reads the store on behalf
   of all and announces the result to them.  There is no election: an instance
   that receives no announcement of a recent read reads the store itself.  Of
   two readers, one steps down: the one whose last read is not recent, else the
   weak one, else the one with the higher name.  Two concurrent readers only
   make more calls to the store; they do no harm, as instances order the
   announced data by the store's revisions.  A weak instance, on a machine with
   little bandwidth or CPU time, is the reader only if no other instance takes
   over.  This module uses no network; its test runs in virtual time.  */

#include <stdbool.h>

#include "clock.h"

typedef struct reader
{
  bool is_reader;           /* this instance is the reader */
  clock_ms_t reader_since;  /* ms; when it became that */
  clock_ms_t started_at;    /* ms; when this instance started */
  clock_ms_t last_fresh_at; /* ms; when another instance's announcement of a
                               recent read was last received; 0: never */
  clock_ms_t last_announcement_at; /* ms; when any announcement was last
                                      received; 0: never */
  clock_ms_t last_read_at; /* ms; when this instance last read the store with
                              success; 0: never */
  clock_ms_t next_try_at;  /* ms; time before which this instance does not try
                              to take over, because its last read failed */
  bool has_failed;        /* this instance is the reader, and its last read has
                             failed */
  clock_ms_t stale_since; /* ms; when the first of the consecutive
                             announcements was received in which the reader
                             says that its last read is not recent or has
                             failed; 0: the last one says that it is fresh */
  bool has_heard_reader;  /* an announcement was received since this instance
                             started */
  bool last_reader_weak;  /* @last_reader is weak */
  clock_ms_t weak_since;  /* ms; if @last_reader is weak, when the first of its
                             consecutive announcements was received */
  bool weak;              /* this instance is weak */
  char last_reader[128];  /* name of the reader whose announcement was received
                             last */
} reader_t;

/* Sets @reader to the state of an instance that has just started.  @weak:
   whether this instance is weak.  */
void reader_init (reader_t *reader, bool weak, clock_ms_t now);

/* What a reader announces about itself.  */
typedef struct reader_announcement
{
  const char *name; /* name of the reader */
  bool fresh;       /* the reader's last read of the store is recent */
  bool weak;        /* the reader is a weak instance */
} reader_announcement_t;

/* Updates the state after an announcement of another reader was received.
   @own: name of this instance.  Return: whether this instance was the reader
   and steps down.  */
bool reader_handle_announcement (reader_t *reader, const char *own,
                                 const reader_announcement_t *other,
                                 clock_ms_t now);

/**
 * reader_should_take_over() - whether this instance, which is not the reader,
 * should read the store now to take over
 * @rank: number of live instances that take over before this one
 */
bool reader_should_take_over (const reader_t *reader, int rank,
                              clock_ms_t now);

/* Updates the state after this instance has tried to read the store.  If the
   read has failed and nobody announces, the instance becomes the reader all
   the same, and says that it cannot read.  @ok: whether the read succeeded.
   @instances: number of live instances; the delay to the next attempt after a
   failure is proportional to it.  Return: whether this instance becomes the
   reader.  */
bool reader_handle_read_result (reader_t *reader, bool ok, int instances,
                                clock_ms_t now);

/* Whether a read of the store that is fresh now, by this instance or another,
   ends an outage of the store in which the entries of live endpoints may have
   expired.  @has_backends: this instance knows the endpoints, also if only
   other instances have told it during the outage.  */
bool reader_is_after_outage (const reader_t *reader, bool has_backends,
                             clock_ms_t now);

/* Whether the last read by this instance was successful and recent enough to
   be announced as fresh.  */
bool reader_is_fresh (const reader_t *reader, clock_ms_t now);

#endif
