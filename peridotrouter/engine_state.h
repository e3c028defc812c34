#ifndef PERIDOT_ENGINE_STATE_H
#define PERIDOT_ENGINE_STATE_H

/* State shared by the files of the decision thread.  */

#include "engine.h"

#include <pthread.h>

#include "baseline.h"
#include "links.h"
#include "mailbox.h"
#include "probes.h"
#include "record.h"
#include "storage.h"

typedef enum event_type
{
  EVENT_REQUEST,
  EVENT_GONE,
  EVENT_ATTEMPT,
  EVENT_MESSAGE,
  EVENT_OBJECT,
  EVENT_SYNCED,
  EVENT_PUT_DONE,
  EVENT_PROBED,
  EVENT_CALL,
  EVENT_READ_STORE,
  EVENT_STOP,
  EVENT_END
} event_type_t;

typedef struct call
{
  void (*function) (void *context, decide_t *node, clock_ms_t now);
  void *context;
  pthread_mutex_t lock;
  pthread_cond_t done;
  bool finished;
} call_t;

typedef struct event
{
  event_type_t type;
  union
  {
    request_t *request;
    struct
    {
      request_t *request;
      uint64_t attempt;
      decide_attempt_end_t end;
      decide_response_t *answer;
    } attempt;
    struct
    {
      decide_id_t from;
      decide_msg_t *msg;
    } message;
    struct
    {
      uint64_t previous;
      conf_object_t *object;
    } object;
    struct
    {
      clock_ms_t sent;
      bool ok;
      uint64_t revision;
    } synced;
    struct
    {
      uint64_t operation;
      decide_store_result_t result;
      uint64_t version;
    } put;
    probe_result_t probe;
    call_t *call;
  } u;
} event_t;

/* Instances for GET /addresses; replaced as a whole.  */
typedef struct address_table
{
  uint32_t count;
  conf_instance_t instances[CONF_INSTANCES_MAX];
} address_table_t;

struct engine
{
  conf_settings_t settings;
  decide_t *node;
  recording_t *record;  /* NULL: no recording */
  baseline_t *baseline; /* NULL: owners grant slots */
  mailbox_t *events;
  pthread_t thread;
  bool started;
  links_t *links;
  storage_t *storage;
  probes_t *probes;
  GHashTable *requests; /* id -> request_t */
  GHashTable *attempts; /* attempt -> attempt_t */
  address_table_t *addresses;
  clock_ms_t addresses_at;
  clock_ms_t gauges_at;
  bool warned; /* of a second ownership group */
  atomic_bool stopping;
  atomic_bool stopped;
  engine_hedge_t hedge;
  void *hedge_context;
};

/* Attempt that has not ended.  */
typedef struct attempt
{
  uint64_t id;
  uint64_t request;
} attempt_t;

event_t *engine_event_new (event_type_t type);
void engine_post_wait (engine_t *engine, event_t *event);
void engine_on_message (void *context, decide_id_t from, decide_msg_t *msg);
void engine_on_pushed (void *context, uint64_t previous,
                       conf_object_t *object);
void engine_on_object (void *context, conf_object_t *object);
void engine_on_synced (void *context, clock_ms_t sent, bool ok,
                       uint64_t revision);
void engine_on_put_done (void *context, uint64_t operation,
                         decide_store_result_t result, uint64_t version);
void engine_on_probed (void *context, const probe_result_t *result);
void engine_handle_event (engine_t *engine, event_t *event);
request_t *engine_find_request (engine_t *engine, uint64_t id);
void engine_end_request (engine_t *engine, uint64_t id);
void engine_on_send (void *context, decide_id_t instance,
                     const decide_msg_t *msg);
void engine_on_forward (void *context, const decide_forward_t *decided);
void engine_on_cancel (void *context, uint64_t id);
void engine_on_refuse (void *context, const decide_refusal_t *refusal);
void engine_on_replay (void *context, uint64_t id,
                       const decide_response_t *answer);
void engine_on_store_sync (void *context, uint64_t since);
void engine_on_store_put (void *context, uint64_t operation, uint64_t expected,
                          const decide_record_t *record);
void engine_on_probe (void *context, endpoint_handle_t endpoint,
                      const decide_endpoint_t *target);
void engine_publish_addresses (engine_t *engine, clock_ms_t now);
/* The answer to GET /addresses, to be put with json_object_put().  */
struct json_object *engine_new_answer (const address_table_t *table,
                                       const char *data_centre);
/* Sets the addresses to use for a request of another group.  */
void engine_add_addresses (engine_t *engine, request_t *request);
void engine_publish_bytes (engine_t *engine);
void engine_publish_gauges (engine_t *engine, clock_ms_t now);

#endif
