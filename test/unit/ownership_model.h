#ifndef OWNERSHIP_MODEL_H
#define OWNERSHIP_MODEL_H

/* Discrete-event simulation of several instances with their ownership
   modules, the store, and the network between them, in virtual time.  "True
   time" is that virtual time; the clock of each instance drifts from it.  A
   parameter @i is the index of an instance.  */

#include "ownership_private.h"

#include <glib.h>

#define MODEL_INSTANCES_MAX 16
/* Largest number of pending events.  */
#define MODEL_EVENTS_MAX 4096
/* Largest number of events in all socket buffers together; further events for
   paused processes are dropped.  */
#define MODEL_BUFFERED_MAX 512
/* Duration of every grant.  */
#define MODEL_GRANT_MS 300
/* Delay of a request to the store, and also of its result.  */
#define MODEL_STORE_DELAY_MS 3

typedef struct model model_t;
typedef struct model_payload model_payload_t;

/* One process of an instance.  */
typedef struct model_instance
{
  model_t *model;
  decide_id_t id;
  ownership_t *ownership; /* NULL: the process isn't running */
  decide_rng_t rng;
  uint64_t process_id; /* unique among all processes of the model */
  bool paused;
  bool replaced; /* a new process has the instance's name, so that this one
                    receives no messages */
  bool store_link_down;    /* its requests to the store fail */
  int clock_drift;         /* parts per 10,000 that the clock is fast */
  int64_t started_at;      /* true time in ms */
  clock_ms_t clock_offset; /* local time when the process started */
  int64_t next_tick_at;    /* true time in ms */
  int64_t next_sync_at;    /* true time in ms of the next store read */
  /* Number of calls of slice_changed, by ownership_change_t.  */
  uint32_t change_counts[3];
  /* Incarnation of the process that last handed the slice over to this one, by
     data centre and slice; 0: none.  */
  uint64_t imported_from[3][DECIDE_SLICES];
} model_instance_t;

/* Kinds before MODEL_EVENT_STORE_READ are messages between instances, the
   others are requests to the store and their results.  */
typedef enum model_event_kind
{
  MODEL_EVENT_MESSAGE,
  MODEL_EVENT_RECORD_REQUEST,
  MODEL_EVENT_RECORD_RESPONSE,
  MODEL_EVENT_STORE_READ,
  MODEL_EVENT_STORE_READ_RESULT,
  MODEL_EVENT_STORE_PUT,
  MODEL_EVENT_STORE_PUT_RESULT
} model_event_kind_t;

typedef struct model_event
{
  int64_t due_at;    /* true time in ms */
  uint64_t sequence; /* order of events that are due at the same time */
  model_event_kind_t kind;
  /* Indices of the sender and the receiver of a message.  For the store's
     events, both are the instance that sends the request.  */
  uint32_t from;
  uint32_t to;
  uint64_t process_id; /* process that sent the request to the store */
  uint64_t operation;  /* number of a put, from the store_put callback */
  uint64_t version;    /* in a put, the record version that it expects; in
                          results, the one in the store */
  clock_ms_t sent_at;  /* local time at which a read was sent */
  bool ok;             /* in the result of a read: the read succeeded */
  decide_store_result_t result; /* of a put */
  bool delayed; /* a put that arrives after its sender was told that the result
                   is unknown, so that it gets no result */
  model_payload_t *payload; /* message or record; NULL: none */
} model_event_t;

struct model
{
  int64_t now;            /* true time in ms */
  uint64_t sequence;      /* @sequence of the next event */
  uint64_t process_count; /* processes started so far */
  decide_rng_t rng;
  uint32_t instance_count;
  uint32_t configured_count; /* number of instances that the settings of all
                                instances list: those with the lowest
                                indices */
  uint32_t data_centre_count;
  model_instance_t instances[MODEL_INSTANCES_MAX];
  /* Whether all messages are lost, by sender and receiver.  */
  bool link_down[MODEL_INSTANCES_MAX][MODEL_INSTANCES_MAX];
  /* Store.  */
  bool store_down;
  uint64_t version;        /* of the record; 0: there is none */
  model_payload_t *record; /* NULL: there is none */
  bool lose_put_result;    /* the next put takes effect, but its result is
                              lost */
  int64_t read_delay_ms;   /* of read results, besides the usual delay */
  int64_t put_delay_ms;    /* the next put arrives this much later */
  uint32_t put_count;      /* puts that have arrived */
  uint32_t conflict_count; /* puts that expected another version */
  /* Network.  */
  uint32_t jitter_ms;     /* upper limit of the random part of the delay of
                             messages */
  uint32_t loss_per_1000; /* messages lost, per 1000 */
  uint32_t late_per_1000; /* messages up to 3 s late, per 1000 */
  /* Checks.  */
  int64_t check_interval_ms;   /* time between checks of mutual exclusion while
                                  several instances hold a slice */
  bool check_grants;           /* model_run() calls model_check_grants() */
  int64_t next_grant_check_at; /* true time in ms */
  /* End of the last grant in each slice, true time in ms, and incarnation of
     the process that issued it, by data centre and slice.  */
  int64_t granted_until[3][DECIDE_SLICES];
  uint64_t granted_by[3][DECIDE_SLICES];
  char violation[256]; /* violation that a check found; empty: none */
  /* Messages and store results in the socket buffers of paused processes.
     model_copy() copies the members before this one as a block.  */
  uint32_t buffered_count;
  model_event_t buffered[MODEL_BUFFERED_MAX];
  uint32_t event_count;
  model_event_t events[MODEL_EVENTS_MAX]; /* binary heap */
};

/* Creates a model with @instance_count instances, all of them configured.
   Instances are in data centre "a", or alternate between "a" and "b" if
   @data_centre_count is 2; clocks alternate between 1% fast and 1% slow.  */
model_t *model_new (uint32_t instance_count, uint32_t data_centre_count,
                    uint64_t seed);
void model_free (model_t *model);
/* Replaces the contents of @to, which must be zeroed or a model, by a deep
   copy of @from.  */
void model_copy (model_t *to, const model_t *from);

/* Starts a process of an instance that has none.  */
void model_start (model_t *model, uint32_t i);
/* Starts an instance that the others do not have in their settings, and
   returns its index.  */
uint32_t model_join (model_t *model);
/* Ends the process of an instance without a graceful shutdown.  */
void model_crash (model_t *model, uint32_t i);
/* Suspends a process.  Until it is resumed, messages and store results for it
   are kept in its socket buffers.  */
void model_pause (model_t *model, uint32_t i);
void model_resume (model_t *model, uint32_t i);
/* Starts a new process of the instance, while the old one runs on without
   receiving messages.  Returns the index of the old process, or UINT32_MAX if
   the model is full.  */
uint32_t model_replace (model_t *model, uint32_t i);
/* Takes the links to and from all other instances down, or up again.  */
void model_isolate (model_t *model, uint32_t i, bool isolated);
bool model_is_isolated (const model_t *model, uint32_t i);

/* Runs the model for @ms of true time, or until a check finds a violation; the
   time is advanced in full in either case.  */
void model_run (model_t *model, int64_t ms);

/* Records a violation if two instances may grant in the same slice.  Returns
   whether several instances hold a slice and have a lease, so that the next
   check must follow soon.  */
bool model_check_mutual_exclusion (model_t *model);
/* Records a violation if a process may grant in a slice while a grant by
   another process is outstanding, unless that process has handed the slice
   over to it.  Assumes that each process that may grant does so at each
   check.  */
void model_check_grants (model_t *model);
/* The instance's local time, which drifts from true time.  */
clock_ms_t model_local_time (const model_t *model, uint32_t i);
/* Number of pairs of an instance and a slice in which it may grant; without a
   violation this is the number of slices that are served.  */
uint32_t model_count_served_slices (const model_t *model);
/* Number of slices that the record known to the instance assigns to its
   process.  */
uint32_t model_count_owned_slices (const model_t *model, uint32_t i);
/* Whether the instance has a process that is not paused.  */
bool model_is_running (const model_t *model, uint32_t i);
/* Runs until @slice_count slices are served.  Returns the time taken in ms, or
   -1 if it exceeds @limit_ms or a check fails.  */
int64_t model_run_until_served (model_t *model, uint32_t slice_count,
                                int64_t limit_ms);

/* ---- Event queue ---- */

/* Creates a payload, a message or a record, with one reference.  Payloads are
   immutable and shared between copies of a model.  */
model_payload_t *model_payload_new (const void *content, size_t size);
model_payload_t *model_payload_ref (model_payload_t *payload);
void model_payload_unref (model_payload_t *payload);
decide_record_t *model_payload_record (model_payload_t *payload);
const decide_msg_t *model_payload_msg (const model_payload_t *payload);
void model_push_event (model_t *model, const model_event_t *event);
/* Removes the event that is due first; the queue must not be empty.  */
model_event_t model_pop_event (model_t *model);

/* ---- Store ---- */

/* These functions execute a request that arrives at the store and queue its
   result, for which they reuse @event.  */
void model_store_handle_read (model_t *model, model_event_t *event);
void model_store_handle_put (model_t *model, model_event_t *event);

#endif
