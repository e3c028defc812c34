#ifndef OWNERSHIP_MODEL_H
#define OWNERSHIP_MODEL_H

/* Several ownership aggregates in virtual time, with a model of the store
   and of the network between them.  */

#include "ownership_private.h"

#include <glib.h>

#define MODEL_INSTANCES 16
#define MODEL_EVENTS 4096
#define MODEL_HELD 512
#define MODEL_GRANT_MS 300
#define MODEL_STORE_DELAY_MS 3 /* each way */

typedef struct model model_t;
typedef struct model_payload model_payload_t;

typedef struct model_instance
{
  model_t *model;
  decide_id_t id;
  ownership_t *o; /* NULL: not running */
  decide_rng_t rng;
  uint64_t process; /* distinguishes processes of the instance */
  bool paused;
  bool zombie; /* replaced while running: receives no messages */
  bool store_cut;
  int rate;      /* parts per 10,000 that the clock is fast */
  int64_t start; /* true time of the process's start */
  clock_ms_t offset;
  int64_t tick_at;
  int64_t sync_at;
  uint32_t changes[3]; /* slice_changed calls by kind */
  /* Incarnation that handed the slice over with its grants.  */
  uint64_t imported[3][DECIDE_SLICES];
} model_instance_t;

typedef enum model_event_kind
{
  MODEL_MESSAGE,
  MODEL_PULL,
  MODEL_PUSH,
  MODEL_READ,
  MODEL_READ_DONE,
  MODEL_PUT,
  MODEL_PUT_DONE
} model_event_kind_t;

typedef struct model_event
{
  int64_t at;
  uint64_t order;
  model_event_kind_t kind;
  uint32_t from;
  uint32_t to;
  uint64_t process; /* of the instance that a store answer belongs to */
  uint64_t operation;
  uint64_t version;
  clock_ms_t sent;
  bool ok;
  decide_store_result_t result;
  bool late; /* a put that was delayed: no answer follows */
  model_payload_t *payload;
} model_event_t;

struct model
{
  int64_t now; /* true time in ms */
  uint64_t order;
  uint64_t processes;
  decide_rng_t rng;
  uint32_t count;
  uint32_t configured; /* instances in everybody's settings */
  uint32_t data_centres;
  model_instance_t instances[MODEL_INSTANCES];
  bool cut[MODEL_INSTANCES][MODEL_INSTANCES];
  /* Store.  */
  bool store_down;
  uint64_t version;
  model_payload_t *record;
  bool lose_put;      /* the next put takes effect, its answer is lost */
  int64_t read_delay; /* of answers, besides the usual delay */
  int64_t delay_put;  /* the next put arrives this much later */
  uint32_t puts;
  uint32_t conflicts;
  /* Network.  */
  uint32_t jitter_ms;
  uint32_t loss; /* per 1000 */
  uint32_t late; /* per 1000: arrives up to 3 s later */
  /* Checks.  */
  int64_t watch_ms; /* interval while several hold a slice */
  bool check_grants;
  int64_t grants_at;
  int64_t granted_until[3][DECIDE_SLICES];
  uint64_t granted_by[3][DECIDE_SLICES]; /* incarnation */
  char violation[256];
  /* Messages and answers that wait in a paused process's sockets.  */
  uint32_t held_count;
  model_event_t held[MODEL_HELD];
  uint32_t event_count;
  model_event_t events[MODEL_EVENTS]; /* heap */
};

/* @count instances, all configured, all in data centre "a" unless
   @data_centres is 2; clocks alternate between 1% fast and 1% slow.  */
model_t *model_new (uint32_t count, uint32_t data_centres, uint64_t seed);
void model_free (model_t *m);
void model_copy (model_t *to, const model_t *from);

void model_start (model_t *m, uint32_t i);
/* Starts an instance that the others do not have in their settings.  */
uint32_t model_join (model_t *m);
void model_crash (model_t *m, uint32_t i);
void model_pause (model_t *m, uint32_t i);
void model_resume (model_t *m, uint32_t i);
/* The running process goes on without receiving messages, a new one starts
   in its place.  Returns the index of the old process, or UINT32_MAX.  */
uint32_t model_replace (model_t *m, uint32_t i);
void model_isolate (model_t *m, uint32_t i, bool cut);
bool model_isolated (const model_t *m, uint32_t i);

void model_run (model_t *m, int64_t ms);

/* Reports two instances that may grant in one slice.  Returns whether several
   hold one and have evidence, so that the next check must follow soon.  */
bool model_check (model_t *m);
/* Reports a grant that is given while one by another process is outstanding
   that was not handed over.  */
void model_check_grants (model_t *m);
clock_ms_t model_clock (const model_t *m, uint32_t i);
/* Slices with exactly one instance that may grant.  */
uint32_t model_served (const model_t *m);
uint32_t model_owned (const model_t *m, uint32_t i);
bool model_running (const model_t *m, uint32_t i);
/* Runs until @served slices are served; returns the time taken or -1.  */
int64_t model_settle (model_t *m, uint32_t served, int64_t limit);

/* ---- Event queue ---- */

/* Message or record; immutable and shared between copies of a model.  */
model_payload_t *model_payload_new (const void *content, size_t size);
model_payload_t *model_payload_get (model_payload_t *payload);
void model_payload_put (model_payload_t *payload);
decide_record_t *model_payload_record (model_payload_t *payload);
const decide_msg_t *model_payload_msg (const model_payload_t *payload);
void model_push (model_t *m, const model_event_t *event);
model_event_t model_pop (model_t *m);

/* ---- Store ---- */

/* A request arrives at the store; the event becomes its answer.  */
void model_store_read (model_t *m, model_event_t *event);
void model_store_put (model_t *m, model_event_t *event);

#endif
