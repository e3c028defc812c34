#ifndef OWNERSHIP_MODEL_H
#define OWNERSHIP_MODEL_H

/* Discrete-event simulation of several instances with their ownership
   modules, the store, and the network between them, in virtual time.  */

#include "ownership_private.h"

#include <glib.h>

#define MODEL_INSTANCES_MAX 16
#define MODEL_EVENTS_MAX 4096
#define MODEL_BUFFERED_MAX 512
#define MODEL_GRANT_MS 300     /* duration of every grant */
#define MODEL_STORE_DELAY_MS 3 /* each way */

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
  bool replaced; /* a new process has its name: it receives no messages */
  bool store_link_down;
  int clock_drift;           /* parts per 10,000 that the clock is fast */
  int64_t started_at;        /* true time in ms */
  clock_ms_t clock_offset;   /* local time when the process started */
  int64_t next_tick_at;      /* true time in ms */
  int64_t next_sync_at;      /* true time in ms of the next store read */
  uint32_t change_counts[3]; /* slice_changed calls by kind */
  /* Incarnation that handed over the slice with its grants.  */
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
  uint32_t from; /* index of an instance */
  uint32_t to;
  uint64_t process_id; /* process that sent the request to the store */
  uint64_t operation;
  uint64_t version;   /* expected by a put; in results the store's */
  clock_ms_t sent_at; /* local time at which a read was sent */
  bool ok;
  decide_store_result_t result;
  bool delayed; /* a put whose sender has timed out: it gets no result */
  model_payload_t *payload;
} model_event_t;

struct model
{
  int64_t now;            /* true time in ms */
  uint64_t sequence;      /* of the next event */
  uint64_t process_count; /* processes started so far */
  decide_rng_t rng;
  uint32_t instance_count;
  uint32_t configured_count; /* instances in the settings of all instances */
  uint32_t data_centre_count;
  model_instance_t instances[MODEL_INSTANCES_MAX];
  bool link_down[MODEL_INSTANCES_MAX][MODEL_INSTANCES_MAX]; /* [from][to] */
  /* Store.  */
  bool store_down;
  uint64_t version;
  model_payload_t *record;
  bool lose_put_result;  /* the next put takes effect, its result is lost */
  int64_t read_delay_ms; /* of read results, besides the usual delay */
  int64_t put_delay_ms;  /* the next put arrives this much later */
  uint32_t put_count;
  uint32_t conflict_count;
  /* Network.  */
  uint32_t jitter_ms;
  uint32_t loss_per_1000; /* messages lost, per 1000 */
  uint32_t late_per_1000; /* messages up to 3 s late, per 1000 */
  /* Checks.  */
  int64_t check_interval_ms; /* while several instances hold a slice */
  bool check_grants;
  int64_t next_grant_check_at;             /* true time in ms */
  int64_t granted_until[3][DECIDE_SLICES]; /* true time in ms */
  uint64_t granted_by[3][DECIDE_SLICES];   /* incarnation */
  char violation[256];                     /* empty if none was found */
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
void model_free (model_t *m);
/* Replaces the contents of @to, which must be zeroed or a model, by a deep
   copy of @from.  */
void model_copy (model_t *to, const model_t *from);

void model_start (model_t *m, uint32_t i);
/* Starts an instance that the others do not have in their settings, and
   returns its index.  */
uint32_t model_join (model_t *m);
void model_crash (model_t *m, uint32_t i);
void model_pause (model_t *m, uint32_t i);
void model_resume (model_t *m, uint32_t i);
/* Starts a new process of the instance, while the old one runs on without
   receiving messages.  Returns the index of the old process, or UINT32_MAX if
   the model is full.  */
uint32_t model_replace (model_t *m, uint32_t i);
/* Takes the links to and from all other instances down, or up again.  */
void model_isolate (model_t *m, uint32_t i, bool isolated);
bool model_is_isolated (const model_t *m, uint32_t i);

/* Runs the model for @ms of true time, or until a check finds a violation; the
   time is advanced in full in either case.  */
void model_run (model_t *m, int64_t ms);

/* Records a violation if two instances may grant in the same slice.  Returns
   whether several instances hold a slice and have a lease, so that the next
   check must follow soon.  */
bool model_check_mutual_exclusion (model_t *m);
/* Records a violation if a process may grant in a slice while a grant by
   another process is outstanding that was not handed over to it.  */
void model_check_grants (model_t *m);
/* The instance's local time, which drifts from true time.  */
clock_ms_t model_local_time (const model_t *m, uint32_t i);
/* Number of pairs of an instance and a slice in which it may grant; without a
   violation this is the number of slices that are served.  */
uint32_t model_count_served_slices (const model_t *m);
uint32_t model_count_owned_slices (const model_t *m, uint32_t i);
bool model_is_running (const model_t *m, uint32_t i);
/* Runs until @slice_count slices are served.  Returns the time taken in ms, or
   -1 if it exceeds @limit_ms or a check fails.  */
int64_t model_run_until_served (model_t *m, uint32_t slice_count,
                                int64_t limit_ms);

/* ---- Event queue ---- */

/* Creates a payload with one reference: a message or a record, immutable and
   shared between copies of a model.  */
model_payload_t *model_payload_new (const void *content, size_t size);
model_payload_t *model_payload_ref (model_payload_t *payload);
void model_payload_unref (model_payload_t *payload);
decide_record_t *model_payload_record (model_payload_t *payload);
const decide_msg_t *model_payload_msg (const model_payload_t *payload);
void model_push_event (model_t *m, const model_event_t *event);
/* Removes the event that is due first; the queue must not be empty.  */
model_event_t model_pop_event (model_t *m);

/* ---- Store ---- */

/* Handle a request that arrives at the store and queue its result, for which
   they reuse @event.  */
void model_store_handle_read (model_t *m, model_event_t *event);
void model_store_handle_put (model_t *m, model_event_t *event);

#endif
