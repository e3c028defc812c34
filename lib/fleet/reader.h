#ifndef PERIDOT_FLEET_READER_H
#define PERIDOT_FLEET_READER_H

/* Decides which instance is the reader, the one that reads the store on behalf
   of all and announces the result to them.  There is no election: an instance
   that receives no announcement of a recent read reads the store itself.  Of
   two readers, one steps down: the one that can read less, else the weak one,
   else the one with the higher name.  A reader that can read the endpoints but
   not all other objects says so; another instance takes over from it once that
   has read everything, so that the readers do not alternate while none can.
   Two concurrent readers only make more calls to the store; they do no harm,
   as instances order the announced data by the store's revisions.  A weak
   instance, on a machine with little bandwidth or CPU time, is the reader only
   if no other instance takes over.  This module uses no network; its test runs
   in virtual time.  */

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
  bool has_failed; /* this instance is the reader, and its last read has
                      failed */
  bool is_partial; /* this instance is the reader, and cannot read the
                      objects of some kind other than the endpoints */
  bool last_reader_partial; /* @last_reader has said that of itself in the last
                               announcement */
  clock_ms_t stale_since;   /* ms; when the first of the consecutive
                               announcements was received in which the reader
                               says that its last read is not recent or has
                               failed, or that it is partial; 0: the last one
                               says that it can read everything */
  bool has_heard_reader;    /* an announcement was received since this instance
                               started */
  bool last_reader_weak;    /* @last_reader is weak */
  clock_ms_t weak_since; /* ms; if @last_reader is weak, when the first of its
                            consecutive announcements was received */
  bool weak;             /* this instance is weak */
  char last_reader[128]; /* name of the reader whose announcement was received
                            last */
} reader_t;

/* Sets @reader to the state of an instance that has just started.  @weak:
   whether this instance is weak.  */
void reader_init (reader_t *reader, bool weak, clock_ms_t now);

/* What a reader announces about itself.  */
typedef struct reader_announcement
{
  const char *name; /* name of the reader */
  bool fresh;       /* the reader's last read of the endpoints is recent */
  bool partial;     /* it cannot read the objects of some other kind */
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

/* What an attempt to read the store has brought.  */
typedef enum reader_result
{
  READER_FAILED,         /* nothing: the endpoints could not be read */
  READER_READ_ENDPOINTS, /* the endpoints */
  READER_READ_ALL        /* the objects of each kind */
} reader_result_t;

/* Updates the state after this instance has tried to read the store.  If the
   read has failed and nobody announces, the instance becomes the reader all
   the same, and says that it cannot read.  @instances: number of live
   instances; the delay to the next attempt after a failure is proportional to
   it.  Return: whether this instance becomes the reader.  */
bool reader_handle_read_result (reader_t *reader, reader_result_t result,
                                int instances, clock_ms_t now);

/* Returns why this instance, which is not the reader, would take over now; a
   constant string.  */
const char *reader_get_takeover_reason (const reader_t *reader,
                                        clock_ms_t now);

/* Whether this instance, which is not the reader and has read the endpoints,
   has to read the objects of each other kind before it may take over.  It has
   to while the reader can read the endpoints at least; it would otherwise be
   replaced in turn.  */
bool reader_must_read_all (const reader_t *reader, clock_ms_t now);

/* Records that an attempt to take over from a partial reader has ended because
   not everything could be read.  The next attempt is as much later as after a
   failed read.  @instances: as for reader_handle_read_result().  */
void reader_delay_takeover (reader_t *reader, int instances, clock_ms_t now);

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
