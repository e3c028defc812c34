#include "engine.h"

#include <errno.h>
#include <json.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>
#include <urcu.h>

#include "baseline.h"
#include "links.h"
#include "mailbox.h"
#include "probes.h"
#include "record.h"
#include "storage.h"

#define RING 65536
/* Events handled between two looks at the timers.  */
#define BATCH 64
#define ADDRESSES_INTERVAL_MS 100
#define GAUGES_INTERVAL_MS 1000

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
      decide_answer_t *answer;
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
  record_t *record; /* NULL: no recording */
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

static void handle_event (engine_t *engine, event_t *event);
static void handle_request (engine_t *engine, request_t *request);
static void *run (void *arg);

static event_t *
event_new (event_type_t type)
{
  event_t *event = calloc (1, sizeof *event);

  if (event == NULL)
    g_error ("out of memory for an event");
  event->type = type;
  return event;
}

static int
post (engine_t *engine, event_t *event)
{
  if (mailbox_put (engine->events, event) == 0)
    return 0;
  telemetry_count (TELEMETRY_EVENTS_DROPPED, 0);
  return -EAGAIN;
}

/* For events that must not be lost: waits for room.  */
static void
post_wait (engine_t *engine, event_t *event)
{
  while (mailbox_put (engine->events, event) != 0)
    g_usleep (1000);
}

/* ---- Events of other threads ---- */

int
engine_post_request (engine_t *engine, request_t *request)
{
  event_t *event = event_new (EVENT_REQUEST);

  event->u.request = request_ref (request);
  if (post (engine, event) == 0)
    return 0;
  request_unref (request);
  free (event);
  return -EAGAIN;
}

void
engine_post_gone (engine_t *engine, request_t *request)
{
  event_t *event = event_new (EVENT_GONE);

  event->u.request = request_ref (request);
  post_wait (engine, event);
}

void
engine_post_attempt (engine_t *engine, request_t *request, uint64_t attempt,
                     const decide_attempt_end_t *end,
                     const decide_answer_t *answer)
{
  event_t *event = event_new (EVENT_ATTEMPT);

  event->u.attempt.request = request_ref (request);
  event->u.attempt.attempt = attempt;
  event->u.attempt.end = *end;
  if (answer != NULL)
    event->u.attempt.answer = g_memdup2 (answer, sizeof *answer);
  post_wait (engine, event);
}

static void
on_message (void *context, decide_id_t from, decide_msg_t *msg)
{
  event_t *event = event_new (EVENT_MESSAGE);

  event->u.message.from = from;
  event->u.message.msg = msg;
  if (post (context, event) == 0)
    return;
  peer_msg_free (msg);
  free (event);
}

static void
post_object (engine_t *engine, uint64_t previous, conf_object_t *object)
{
  event_t *event = event_new (EVENT_OBJECT);

  event->u.object.previous = previous;
  event->u.object.object = object;
  post_wait (engine, event);
}

static void
on_pushed (void *context, uint64_t previous, conf_object_t *object)
{
  post_object (context, previous, object);
}

static void
on_object (void *context, conf_object_t *object)
{
  post_object (context, UINT64_MAX, object);
}

static void
on_synced (void *context, clock_ms_t sent, bool ok, uint64_t revision)
{
  event_t *event = event_new (EVENT_SYNCED);

  event->u.synced.sent = sent;
  event->u.synced.ok = ok;
  event->u.synced.revision = revision;
  post_wait (context, event);
}

static void
on_put_done (void *context, uint64_t operation, decide_store_result_t result,
             uint64_t version)
{
  event_t *event = event_new (EVENT_PUT_DONE);

  event->u.put.operation = operation;
  event->u.put.result = result;
  event->u.put.version = version;
  post_wait (context, event);
}

static void
on_probed (void *context, const probe_result_t *result)
{
  event_t *event = event_new (EVENT_PROBED);

  event->u.probe = *result;
  post_wait (context, event);
}

int
engine_call (engine_t *engine,
             void (*function) (void *context, decide_t *node, clock_ms_t now),
             void *context)
{
  call_t call = { .function = function, .context = context };
  event_t *event = event_new (EVENT_CALL);

  event->u.call = &call;
  pthread_mutex_init (&call.lock, NULL);
  pthread_cond_init (&call.done, NULL);
  if (post (engine, event) != 0)
    {
      free (event);
      return -EAGAIN;
    }
  pthread_mutex_lock (&call.lock);
  while (!call.finished)
    pthread_cond_wait (&call.done, &call.lock);
  pthread_mutex_unlock (&call.lock);
  pthread_mutex_destroy (&call.lock);
  pthread_cond_destroy (&call.done);
  return 0;
}

void
engine_read_store (engine_t *engine)
{
  post_wait (engine, event_new (EVENT_READ_STORE));
}

void
engine_stop (engine_t *engine)
{
  atomic_store (&engine->stopping, true);
  post_wait (engine, event_new (EVENT_STOP));
}

bool
engine_is_stopping (engine_t *engine)
{
  return atomic_load (&engine->stopping);
}

bool
engine_is_stopped (engine_t *engine)
{
  return atomic_load (&engine->stopped);
}

/* ---- Decisions ---- */

static request_t *
find_request (engine_t *engine, uint64_t id)
{
  return g_hash_table_lookup (engine->requests, &id);
}

static void
end_request (engine_t *engine, uint64_t id)
{
  g_hash_table_remove (engine->requests, &id);
}

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  engine_t *engine = context;

  record_send (engine->record, instance, msg);
  links_send (engine->links, instance, msg);
}

static void
on_forward (void *context, const decide_forward_t *decided)
{
  engine_t *engine = context;
  request_t *request = find_request (engine, decided->request);
  forward_t *forward = calloc (1, sizeof *forward);
  attempt_t *attempt = g_new (attempt_t, 1);

  record_forward (engine->record, decided);
  if (forward == NULL || request == NULL)
    g_error ("attempt for an unknown request, or out of memory");
  forward->attempt = decided->attempt;
  forward->hedge = decided->hedge;
  forward->start_by = decided->start_by;
  forward->deadline = decided->deadline;
  g_strlcpy (forward->name, decided->target->name, sizeof forward->name);
  g_strlcpy (forward->address, decided->target->address,
             sizeof forward->address);
  attempt->id = decided->attempt;
  attempt->request = decided->request;
  g_hash_table_replace (engine->attempts, &attempt->id, attempt);
  if (decided->hedge)
    engine->hedge (engine->hedge_context, request_ref (request), forward);
  else
    request_decide (request, DECISION_FORWARD, forward);
}

static void
on_cancel (void *context, uint64_t id)
{
  engine_t *engine = context;
  const attempt_t *attempt = g_hash_table_lookup (engine->attempts, &id);
  request_t *request
      = attempt == NULL ? NULL : find_request (engine, attempt->request);

  record_cancel (engine->record, id);
  if (request != NULL)
    atomic_store (&request->cancelled, id);
}

static void
on_refuse (void *context, const decide_refusal_t *refusal)
{
  engine_t *engine = context;
  request_t *request = find_request (engine, refusal->request);

  record_refuse (engine->record, refusal);
  if (request == NULL)
    return;
  request->refusal = *refusal;
  telemetry_count (TELEMETRY_REFUSED, refusal->reason);
  request_decide (request, DECISION_REFUSE, NULL);
  end_request (engine, refusal->request);
}

static void
on_replay (void *context, uint64_t id, const decide_answer_t *answer)
{
  engine_t *engine = context;
  request_t *request = find_request (engine, id);

  record_replay (engine->record, id, answer);
  if (request == NULL)
    return;
  request->replay = *answer;
  telemetry_count (TELEMETRY_REPLAYS, 0);
  request_decide (request, DECISION_REPLAY, NULL);
  end_request (engine, id);
}

static void
on_store_sync (void *context, uint64_t since)
{
  engine_t *engine = context;

  record_sync (engine->record, since);
  storage_sync (engine->storage, since);
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  engine_t *engine = context;

  record_put (engine->record, operation, expected, record);
  storage_put_record (engine->storage, operation, expected, record);
}

static void
on_probe (void *context, endpoint_handle_t endpoint,
          const decide_endpoint_t *target)
{
  engine_t *engine = context;

  record_probe (engine->record, endpoint);
  probes_start_probe (engine->probes, endpoint, target->address);
}

/* ---- Decision thread ---- */

static bool
may_repeat (const request_t *request, const decide_profile_t *profile)
{
  size_t length = strlen (profile->idempotent_prefix);

  if (strcmp (request->method, "POST") != 0
      && strcmp (request->method, "PATCH") != 0)
    return true;
  return length > 0
         && strncmp (request->path, profile->idempotent_prefix, length) == 0;
}

static void
handle_request (engine_t *engine, request_t *request)
{
  decide_id_t service = decide_id (request->service);
  const decide_profile_t *profile = decide_get_profile (engine->node, service);
  clock_ms_t now = clock_now_ms ();
  clock_ms_t timeout_ms = request->timeout_ms;
  decide_request_t out = { .id = request->id, .service = service };

  g_hash_table_insert (engine->requests, &request->id, request);
  if (profile != NULL)
    {
      request->idempotent = may_repeat (request, profile);
      request->keyed
          = !request->idempotent && request->idempotency_key != NULL;
      if (!request->idempotent && !request->keyed)
        {
          request_decide (request, DECISION_NEED_KEY, NULL);
          end_request (engine, request->id);
          return;
        }
      if (timeout_ms == 0)
        timeout_ms = profile->timeout_ms;
    }
  request->deadline = now + timeout_ms;
  out.idempotent = request->idempotent;
  out.keyed = request->keyed;
  out.key = request->key;
  out.deadline = request->deadline;
  if (engine->baseline != NULL)
    {
      baseline_request (engine->baseline, now, &out, profile);
      return;
    }
  record_request (engine->record, now, &out);
  decide_request (engine->node, now, &out);
}

static void
handle_attempt (engine_t *engine, event_t *event)
{
  request_t *request = event->u.attempt.request;
  uint64_t attempt = event->u.attempt.attempt;
  const decide_attempt_end_t *end = &event->u.attempt.end;
  clock_ms_t now = clock_now_ms ();
  bool answered;

  telemetry_count (TELEMETRY_ATTEMPTS, end->result);
  g_hash_table_remove (engine->attempts, &attempt);
  record_attempt (engine->record, now, request->id, attempt, end,
                  event->u.attempt.answer);
  if (engine->baseline != NULL)
    answered = baseline_attempt_done (engine->baseline, now, request->id,
                                      attempt, end);
  else
    answered = decide_attempt_done (engine->node, now, request->id, attempt,
                                    end, event->u.attempt.answer);
  if (answered)
    end_request (engine, request->id);
  g_free (event->u.attempt.answer);
  request_unref (request);
}

static void
finish_call (engine_t *engine, call_t *call)
{
  call->function (call->context, engine->node, clock_now_ms ());
  pthread_mutex_lock (&call->lock);
  call->finished = true;
  pthread_cond_signal (&call->done);
  pthread_mutex_unlock (&call->lock);
}

static void
handle_object (engine_t *engine, const event_t *event)
{
  conf_object_t *object = event->u.object.object;
  uint64_t previous = event->u.object.previous;
  clock_ms_t now = clock_now_ms ();
  int error;

  record_object (engine->record, now, previous, &object->object);
  error = decide_object (engine->node, now, previous, &object->object);
  if (error != 0 && error != -ESTALE)
    {
      telemetry_count (TELEMETRY_OBJECTS_REJECTED, 0);
      g_warning ("object %s ignored: %s", object->name, g_strerror (-error));
    }
  conf_object_free (object);
}

static void
handle_event (engine_t *engine, event_t *event)
{
  clock_ms_t now = clock_now_ms ();

  switch (event->type)
    {
    case EVENT_REQUEST:
      handle_request (engine, event->u.request);
      break;
    case EVENT_GONE:
      if (find_request (engine, event->u.request->id) != NULL)
        {
          record_gone (engine->record, now, event->u.request->id);
          if (engine->baseline != NULL)
            baseline_request_gone (engine->baseline, event->u.request->id);
          else
            decide_request_gone (engine->node, now, event->u.request->id);
          end_request (engine, event->u.request->id);
        }
      request_unref (event->u.request);
      break;
    case EVENT_ATTEMPT:
      handle_attempt (engine, event);
      break;
    case EVENT_MESSAGE:
      telemetry_count (TELEMETRY_PEER_RECEIVED, event->u.message.msg->type);
      record_message (engine->record, now, event->u.message.from,
                      event->u.message.msg);
      decide_message (engine->node, now, event->u.message.from,
                      event->u.message.msg);
      peer_msg_free (event->u.message.msg);
      break;
    case EVENT_OBJECT:
      handle_object (engine, event);
      break;
    case EVENT_SYNCED:
      record_synced (engine->record, now, event->u.synced.sent,
                     event->u.synced.ok, event->u.synced.revision);
      decide_store_synced (engine->node, now, event->u.synced.sent,
                           event->u.synced.ok, event->u.synced.revision);
      break;
    case EVENT_PUT_DONE:
      record_put_done (engine->record, now, event->u.put.operation,
                       event->u.put.result, event->u.put.version);
      decide_store_put_done (engine->node, now, event->u.put.operation,
                             event->u.put.result, event->u.put.version);
      break;
    case EVENT_PROBED:
      telemetry_count (TELEMETRY_PROBES, event->u.probe.ok ? 0 : 1);
      record_probed (engine->record, now, event->u.probe.endpoint,
                     event->u.probe.ok, event->u.probe.latency_ms,
                     &event->u.probe.load);
      decide_probed (engine->node, now, event->u.probe.endpoint,
                     event->u.probe.ok, event->u.probe.latency_ms,
                     &event->u.probe.load);
      break;
    case EVENT_CALL:
      finish_call (engine, event->u.call);
      break;
    case EVENT_READ_STORE:
      record_read_store (engine->record, now);
      decide_read_store (engine->node, now);
      break;
    case EVENT_STOP:
      record_stop (engine->record, now);
      decide_stop (engine->node, now);
      break;
    case EVENT_END:
      break;
    }
}

static void
add_address (void *context, const decide_peer_view_t *view)
{
  address_table_t *table = ((void **)context)[0];
  const engine_t *engine = ((void **)context)[1];

  if (!view->heard || view->leaving || view->out)
    return;
  for (uint32_t i = 0; i < engine->settings.instance_count; i++)
    if (strcmp (engine->settings.instances[i].name, view->name) == 0)
      {
        conf_instance_t *entry = &table->instances[table->count++];

        *entry = engine->settings.instances[i];
        if (i == engine->settings.own)
          g_strlcpy (entry->callers, engine->settings.advertise,
                     sizeof entry->callers);
      }
}

static void
publish_addresses (engine_t *engine, clock_ms_t now)
{
  address_table_t *old = engine->addresses;
  address_table_t *table = calloc (1, sizeof *table);
  void *context[2] = { table, engine };

  if (table == NULL)
    g_error ("out of memory for the address table");
  decide_each_instance (engine->node, now, add_address, context);
  rcu_assign_pointer (engine->addresses, table);
  synchronize_rcu ();
  free (old);
}

/* The counters of the links and the store are totals; the metrics take what
   was added.  */
static void
publish_bytes (engine_t *engine)
{
  uint64_t peers[2];
  uint64_t all[2];

  links_get_bytes (engine->links, &peers[0], &peers[1]);
  storage_get_bytes (engine->storage, &all[0], &all[1]);
  for (unsigned int i = 0; i < 2; i++)
    {
      all[i] += peers[i];
      telemetry_add (TELEMETRY_PEER_BYTES, i,
                     peers[i] - telemetry_read (TELEMETRY_PEER_BYTES, i));
      telemetry_add (TELEMETRY_CONTROL_BYTES, i,
                     all[i] - telemetry_read (TELEMETRY_CONTROL_BYTES, i));
    }
}

static void
publish_gauges (engine_t *engine, clock_ms_t now)
{
  decide_status_t status;

  decide_get_status (engine->node, now, &status);
  telemetry_gauge_set (TELEMETRY_REVISION, (int64_t)status.revision);
  telemetry_gauge_set (TELEMETRY_RECORD_VERSION,
                       (int64_t)status.record_version);
  telemetry_gauge_set (TELEMETRY_SLICES_OWNED, status.slices_owned);
  telemetry_gauge_set (TELEMETRY_SLICES_SERVING, status.slices_serving);
  telemetry_gauge_set (TELEMETRY_MEMBERS_HEARD, status.members_heard);
  telemetry_gauge_set (TELEMETRY_STORE_FRESH, status.store_fresh);
  telemetry_gauge_set (TELEMETRY_MAJORITY_FRESH, status.majority_fresh);
  telemetry_gauge_set (TELEMETRY_STOPPING, status.stopping);
  telemetry_gauge_set (TELEMETRY_IN_FLIGHT, status.pending);
}

static void
do_periodic (engine_t *engine, clock_ms_t now)
{
  if (now >= engine->addresses_at)
    {
      engine->addresses_at = now + ADDRESSES_INTERVAL_MS;
      publish_addresses (engine, now);
      if (engine->baseline != NULL)
        baseline_update (engine->baseline, engine->node, now);
    }
  if (now >= engine->gauges_at)
    {
      engine->gauges_at = now + GAUGES_INTERVAL_MS;
      publish_gauges (engine, now);
      publish_bytes (engine);
    }
  if (decide_stopped (engine->node, now))
    atomic_store (&engine->stopped, true);
}

static void *
run (void *arg)
{
  engine_t *engine = arg;
  bool end = false;

  rcu_register_thread ();
  while (!end)
    {
      clock_ms_t now = clock_now_ms ();
      clock_ms_t due;
      event_t *event;

      record_tick (engine->record, now);
      due = decide_tick (engine->node, now);
      do_periodic (engine, now);
      if (due > engine->addresses_at)
        due = engine->addresses_at;
      event = mailbox_get (engine->events, due > now ? due - now : 0);
      for (int i = 0; event != NULL; i++)
        {
          handle_event (engine, event);
          end |= event->type == EVENT_END;
          free (event);
          event = i < BATCH ? mailbox_get (engine->events, 0) : NULL;
        }
    }
  rcu_unregister_thread ();
  return NULL;
}

/* ---- Start and end ---- */

static int
random_u64 (uint64_t *value)
{
  return getrandom (value, sizeof *value, 0) == sizeof *value ? 0 : -errno;
}

static int
create_node (engine_t *engine)
{
  const conf_settings_t *settings = &engine->settings;
  decide_instance_t instances[CONF_INSTANCES_MAX];
  decide_settings_t own
      = { .instance_count = settings->instance_count, .instances = instances };
  decide_callbacks_t callbacks = {
    .context = engine,
    .send = on_send,
    .forward = on_forward,
    .cancel = on_cancel,
    .refuse = on_refuse,
    .replay = on_replay,
    .store_sync = on_store_sync,
    .store_put = on_store_put,
    .probe = on_probe,
  };
  clock_ms_t now;
  int error = random_u64 (&own.incarnation);

  if (error == 0)
    error = random_u64 (&own.seed);
  if (error != 0)
    return error;
  own.incarnation |= 1;
  if (settings->has_seed)
    own.seed = settings->seed;
  g_strlcpy (own.instance, settings->instance, sizeof own.instance);
  g_strlcpy (own.data_centre, settings->data_centre, sizeof own.data_centre);
  g_strlcpy (own.group, settings->group, sizeof own.group);
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      g_strlcpy (instances[i].name, settings->instances[i].name,
                 sizeof instances[i].name);
      g_strlcpy (instances[i].data_centre, settings->instances[i].data_centre,
                 sizeof instances[i].data_centre);
    }
  now = clock_now_ms ();
  record_start (engine->record, now, &own);
  engine->node = decide_new (&own, &callbacks, now);
  if (engine->node == NULL)
    return -EINVAL;
  if (settings->policy == CONF_POLICY_OWNER)
    return 0;
  engine->baseline
      = baseline_new (conf_policy_name (settings->policy),
                      settings->data_centre, own.seed, &callbacks);
  return engine->baseline == NULL ? -EINVAL : 0;
}

static void
unref_request (gpointer request)
{
  request_unref (request);
}

int
engine_start (engine_t **out, const conf_settings_t *settings,
              const char *recording)
{
  storage_callbacks_t storage
      = { .object = on_object, .synced = on_synced, .put_done = on_put_done };
  links_callbacks_t links = { .message = on_message, .object = on_pushed };
  engine_t *engine = calloc (1, sizeof *engine);
  int error;

  if (engine == NULL)
    return -ENOMEM;
  engine->settings = *settings;
  engine->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            unref_request);
  engine->attempts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  storage.context = engine;
  links.context = engine;
  engine->addresses = calloc (1, sizeof *engine->addresses);
  engine->events = mailbox_new (RING);
  if (recording != NULL)
    {
      engine->record = record_open (recording);
      if (engine->record == NULL)
        g_warning ("cannot record to %s: %s", recording, g_strerror (errno));
    }
  error = engine->events == NULL || engine->addresses == NULL
              ? -ENOMEM
              : create_node (engine);
  if (error == 0)
    error = storage_start (&engine->storage, settings, &storage);
  if (error == 0)
    error = probes_start (&engine->probes, on_probed, engine);
  if (error == 0)
    error = links_start (&engine->links, settings, &links);
  if (error == 0)
    error = -pthread_create (&engine->thread, NULL, run, engine);
  if (error != 0)
    {
      g_critical ("cannot start: %s", g_strerror (-error));
      engine_free (engine);
      return error;
    }
  engine->started = true;
  *out = engine;
  return 0;
}

void
engine_free (engine_t *engine)
{
  event_t *event;

  if (engine == NULL)
    return;
  links_stop_server (engine->links);
  if (engine->started)
    {
      post_wait (engine, event_new (EVENT_END));
      pthread_join (engine->thread, NULL);
    }
  links_free (engine->links);
  probes_stop (engine->probes);
  storage_stop (engine->storage);
  while (engine->events != NULL
         && (event = mailbox_get (engine->events, 0)) != NULL)
    {
      if (event->type == EVENT_MESSAGE)
        peer_msg_free (event->u.message.msg);
      else if (event->type == EVENT_OBJECT)
        conf_object_free (event->u.object.object);
      free (event);
    }
  mailbox_free (engine->events);
  record_close (engine->record);
  baseline_free (engine->baseline);
  decide_free (engine->node);
  g_hash_table_destroy (engine->requests);
  g_hash_table_destroy (engine->attempts);
  free (engine->addresses);
  free (engine);
}

void
engine_set_hedge (engine_t *engine, engine_hedge_t hedge, void *context)
{
  engine->hedge = hedge;
  engine->hedge_context = context;
}

static void
append_instance (struct json_object *list, const conf_instance_t *instance)
{
  struct json_object *entry = json_object_new_object ();

  json_object_object_add (entry, "instance",
                          json_object_new_string (instance->name));
  json_object_object_add (entry, "data_centre",
                          json_object_new_string (instance->data_centre));
  json_object_object_add (entry, "address",
                          json_object_new_string (instance->callers));
  json_object_array_add (list, entry);
}

char *
engine_format_addresses (engine_t *engine, const char *data_centre)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  const address_table_t *table;
  uint32_t first;
  char *text;

  rcu_read_lock ();
  table = rcu_dereference (engine->addresses);
  /* The order differs from answer to answer, so that callers that take the
     first address spread over all.  */
  first = table->count == 0
              ? 0
              : (uint32_t)g_random_int_range (0, (gint32)table->count);
  for (int local = 1; local >= 0; local--)
    for (uint32_t i = 0; i < table->count; i++)
      {
        const conf_instance_t *instance
            = &table->instances[(first + i) % table->count];

        if ((strcmp (instance->data_centre, data_centre) == 0) == local)
          append_instance (list, instance);
      }
  rcu_read_unlock ();
  json_object_object_add (root, "lifetime_ms",
                          json_object_new_int (DECIDE_ADDRESS_LIFETIME_MS));
  json_object_object_add (root, "addresses", list);
  text
      = strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}
