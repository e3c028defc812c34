#ifndef PERIDOT_ENGINE_STATE_H
#define PERIDOT_ENGINE_STATE_H

/* State and functions shared by the engine_*.c files.  */

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
  EVENT_CANCEL_REQUEST,
  EVENT_ATTEMPT_DONE,
  EVENT_MESSAGE,
  EVENT_OBJECT,
  EVENT_OWN_CHANGE,
  EVENT_STORE_SYNCED,
  EVENT_STORE_PUT_DONE,
  EVENT_PROBE_DONE,
  EVENT_CALL,
  EVENT_READ_STORE,
  EVENT_BEGIN_SHUTDOWN,
  EVENT_EXIT_THREAD
} event_type_t;

/* A function that another thread runs on the decision thread.  The other
   thread waits on @done until @finished is set.  */
typedef struct call
{
  void (*function) (void *context, decide_t *node, clock_ms_t now);
  void *context;
  pthread_mutex_t lock;
  pthread_cond_t done;
  bool finished;
} call_t;

/* Work for the decision thread; @type selects the member of @u.  */
typedef struct event
{
  event_type_t type;
  union
  {
    request_t *request;
    struct
    {
      request_t *request;
      uint64_t attempt; /* id */
      decide_attempt_end_t end;
      decide_response_t *response; /* to record, or NULL; owned by event */
    } attempt;
    struct
    {
      decide_id_t from;
      decide_msg_t *msg; /* owned by the event */
    } message;
    struct
    {
      /* EVENT_OBJECT: the sending peer has no change between this store
         revision and that of the object; UINT64_MAX if the object was read
         from the store.  */
      uint64_t previous;
      conf_object_t *object; /* owned by the event */
    } object;
    struct
    {
      clock_ms_t sent;   /* time in ms at which the read was sent */
      bool ok;           /* the read succeeded */
      uint64_t revision; /* of the store that was read, if @ok */
    } synced;
    struct
    {
      uint64_t operation; /* id that the decision library gave the update */
      decide_store_result_t result;
      uint64_t version; /* of the record after the update */
    } put;
    probe_result_t probe;
    call_t *call;
  } u;
} event_t;

/* Instances listed by GET /addresses.  Readers are protected by RCU; updates
   replace the whole table.  */
typedef struct address_table
{
  uint32_t count;
  conf_instance_t instances[CONF_INSTANCES_MAX];
} address_table_t;

struct engine
{
  conf_settings_t settings;
  decide_t *node;
  recording_t *recording; /* NULL: events are not recorded */
  baseline_t *baseline;   /* NULL: policy CONF_POLICY_OWNER */
  mailbox_t *events;
  pthread_t thread;
  bool started; /* @thread was created */
  links_t *peer_links;
  storage_t *storage;
  probes_t *probes;
  GHashTable *requests; /* not ended: id -> request_t */
  GHashTable *attempts; /* in progress: id -> attempt_t */
  address_table_t *addresses;
  clock_ms_t addresses_due_at; /* time in ms of the next address update */
  clock_ms_t gauges_due_at;    /* time in ms of the next metrics update */
  /* Whether it was logged that the store holds the ownership record of another
     group; this is logged only once.  */
  bool foreign_group_logged;
  atomic_bool stopping;          /* a graceful shutdown has begun */
  atomic_bool stopped;           /* the process may exit */
  engine_hedge_callback_t hedge; /* starts a hedge */
  void *hedge_context;           /* argument of @hedge */
};

/* Attempt in progress.  */
typedef struct attempt
{
  uint64_t id;
  uint64_t request; /* id of its request */
} attempt_t;

/* Returns a new zeroed event; ends the process when out of memory.  */
event_t *engine_event_new (event_type_t type);
/* Posts an event that must not be lost; waits while the queue is full.  */
void engine_post_blocking (engine_t *engine, event_t *event);

/* Callbacks of the peer connections, the store thread and the probe thread;
   each posts an event to the decision thread.  */
void engine_on_message (void *context, decide_id_t from, decide_msg_t *msg);
void engine_on_peer_object (void *context, uint64_t previous,
                            conf_object_t *object);
void engine_on_store_object (void *context, conf_object_t *object);
void engine_on_store_synced (void *context, clock_ms_t sent, bool ok,
                             uint64_t revision);
void engine_on_store_put_done (void *context, uint64_t operation,
                               decide_store_result_t result, uint64_t version);
void engine_on_probe_done (void *context, const probe_result_t *result);

/* Handles an event and frees what it owns, but not the event itself.  */
void engine_handle_event (engine_t *engine, event_t *event);
/* Returns the request, or NULL if it has ended.  */
request_t *engine_find_request (engine_t *engine, uint64_t id);
/* Removes a request from the table and drops the table's reference to it.  */
void engine_end_request (engine_t *engine, uint64_t id);

/* Callbacks of the decision library, which carry out its decisions.  */
void engine_on_send (void *context, decide_id_t instance,
                     const decide_msg_t *msg);
void engine_on_forward (void *context, const decide_forward_t *decided);
void engine_on_cancel_attempt (void *context, uint64_t id);
void engine_on_refuse (void *context, const decide_refusal_t *refusal);
void engine_on_replay (void *context, uint64_t id,
                       const decide_response_t *response);
void engine_on_store_sync (void *context, uint64_t since);
void engine_on_store_put (void *context, uint64_t operation, uint64_t expected,
                          const decide_record_t *record);
void engine_on_probe (void *context, endpoint_handle_t endpoint,
                      const decide_endpoint_t *target);

/* Replaces the list of instances for GET /addresses by those that are
   reachable and in service.  */
void engine_publish_addresses (engine_t *engine, clock_ms_t now);
/* Returns the body of the response to GET /addresses, to be released with
   json_object_put().  Instances in @data_centre are listed first.  */
struct json_object *engine_new_address_response (const address_table_t *table,
                                                 const char *data_centre);
/* Sets the addresses of a refused request to those of the group that serves
   it.  */
void engine_set_request_addresses (engine_t *engine, request_t *request);
void engine_publish_byte_counters (engine_t *engine);
void engine_publish_gauges (engine_t *engine, clock_ms_t now);

#endif
