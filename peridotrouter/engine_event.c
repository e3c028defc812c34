#include "engine_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

event_t *
engine_event_new (event_type_t type)
{
  event_t *event = calloc (1, sizeof *event);

  if (event == NULL)
    g_error ("out of memory for an event");
  event->type = type;
  return event;
}

/* Posts an event without waiting.
   Return: 0, or -EAGAIN when the queue is full; the caller then still owns
   @event.  */
static int
try_post (engine_t *engine, event_t *event)
{
  if (mailbox_put (engine->events, event) == 0)
    return 0;
  telemetry_counter_increment (TELEMETRY_EVENTS_DROPPED, 0);
  return -EAGAIN;
}

void
engine_post_blocking (engine_t *engine, event_t *event)
{
  while (mailbox_put (engine->events, event) != 0)
    g_usleep (1000);
}

int
engine_post_request (engine_t *engine, request_t *request)
{
  event_t *event = engine_event_new (EVENT_REQUEST);

  event->u.request = request_ref (request);
  if (try_post (engine, event) == 0)
    return 0;
  request_unref (request);
  free (event);
  return -EAGAIN;
}

void
engine_post_cancel_request (engine_t *engine, request_t *request)
{
  event_t *event = engine_event_new (EVENT_CANCEL_REQUEST);

  event->u.request = request_ref (request);
  engine_post_blocking (engine, event);
}

void
engine_post_attempt_end (engine_t *engine, request_t *request,
                         uint64_t attempt, const decide_attempt_end_t *end,
                         const decide_response_t *response)
{
  event_t *event = engine_event_new (EVENT_ATTEMPT_DONE);

  event->u.attempt.request = request_ref (request);
  event->u.attempt.attempt = attempt;
  event->u.attempt.end = *end;
  if (response != NULL)
    event->u.attempt.response = g_memdup2 (response, sizeof *response);
  engine_post_blocking (engine, event);
}

void
engine_on_message (void *context, decide_id_t from, decide_msg_t *msg)
{
  event_t *event = engine_event_new (EVENT_MESSAGE);

  event->u.message.from = from;
  event->u.message.msg = msg;
  if (try_post (context, event) == 0)
    return;
  peer_msg_free (msg);
  free (event);
}

static void
post_object (engine_t *engine, uint64_t previous, conf_object_t *object)
{
  event_t *event = engine_event_new (EVENT_OBJECT);

  event->u.object.previous = previous;
  event->u.object.object = object;
  engine_post_blocking (engine, event);
}

void
engine_on_peer_object (void *context, uint64_t previous, conf_object_t *object)
{
  post_object (context, previous, object);
}

void
engine_on_store_object (void *context, conf_object_t *object)
{
  post_object (context, UINT64_MAX, object);
}

void
engine_on_store_synced (void *context, clock_ms_t sent, bool ok,
                        uint64_t revision)
{
  event_t *event = engine_event_new (EVENT_STORE_SYNCED);

  event->u.synced.sent = sent;
  event->u.synced.ok = ok;
  event->u.synced.revision = revision;
  engine_post_blocking (context, event);
}

void
engine_on_store_put_done (void *context, uint64_t operation,
                          decide_store_result_t result, uint64_t version)
{
  event_t *event = engine_event_new (EVENT_STORE_PUT_DONE);

  event->u.put.operation = operation;
  event->u.put.result = result;
  event->u.put.version = version;
  engine_post_blocking (context, event);
}

void
engine_on_probe_done (void *context, const probe_result_t *result)
{
  event_t *event = engine_event_new (EVENT_PROBE_DONE);

  event->u.probe = *result;
  engine_post_blocking (context, event);
}

int
engine_call_on_decision_thread (engine_t *engine,
                                void (*function) (void *context,
                                                  decide_t *node,
                                                  clock_ms_t now),
                                void *context)
{
  call_t call = { .function = function, .context = context };
  event_t *event = engine_event_new (EVENT_CALL);

  event->u.call = &call;
  pthread_mutex_init (&call.lock, NULL);
  pthread_cond_init (&call.done, NULL);
  if (try_post (engine, event) != 0)
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
engine_handle_own_change (engine_t *engine, conf_object_t *object)
{
  event_t *event = engine_event_new (EVENT_OWN_CHANGE);

  event->u.object.object = object;
  engine_post_blocking (engine, event);
}

void
engine_read_store (engine_t *engine)
{
  engine_post_blocking (engine, engine_event_new (EVENT_READ_STORE));
}

void
engine_begin_shutdown (engine_t *engine)
{
  atomic_store (&engine->stopping, true);
  engine_post_blocking (engine, engine_event_new (EVENT_BEGIN_SHUTDOWN));
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

/* Returns whether the request may be run more than once: by its method, or by
   the path prefix for idempotent requests in the service's profile.  */
static bool
is_idempotent (const request_t *request, const decide_profile_t *profile)
{
  size_t length = strlen (profile->idempotent_prefix);

  if (strcmp (request->method, "POST") != 0
      && strcmp (request->method, "PATCH") != 0)
    return true;
  return length > 0
         && strncmp (request->path, profile->idempotent_prefix, length) == 0;
}

/* Adds a request to the table and passes it to the decision library or the
   baseline policy, unless it lacks an idempotency key that it needs.  */
static void
admit_request (engine_t *engine, request_t *request)
{
  decide_id_t service = decide_id (request->service);
  const decide_profile_t *profile = decide_get_profile (engine->node, service);
  clock_ms_t now = clock_now_ms ();
  clock_ms_t timeout_ms = request->timeout_ms;
  decide_request_t out = { .id = request->id, .service = service };

  g_hash_table_insert (engine->requests, &request->id, request);
  if (profile != NULL)
    {
      request->idempotent = is_idempotent (request, profile);
      request->keyed
          = !request->idempotent && request->idempotency_key != NULL;
      if (!request->idempotent && !request->keyed)
        {
          request_post_decision (request, DECISION_NEED_KEY, NULL);
          engine_end_request (engine, request->id);
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
  record_request (engine->recording, now, &out);
  decide_request (engine->node, now, &out);
}

/* Reports the end of an attempt to the decision library or the baseline
   policy, and removes the request if it has ended with this attempt.  */
static void
handle_attempt_end (engine_t *engine, event_t *event)
{
  request_t *request = event->u.attempt.request;
  uint64_t attempt = event->u.attempt.attempt;
  const decide_attempt_end_t *end = &event->u.attempt.end;
  clock_ms_t now = clock_now_ms ();
  bool request_ended;

  telemetry_counter_increment (TELEMETRY_ATTEMPTS, end->result);
  g_hash_table_remove (engine->attempts, &attempt);
  record_attempt_done (engine->recording, now, request->id, attempt, end,
                       event->u.attempt.response);
  if (engine->baseline != NULL)
    request_ended = baseline_attempt_done (engine->baseline, now, request->id,
                                           attempt, end);
  else
    request_ended
        = decide_attempt_done (engine->node, now, request->id, attempt, end,
                               event->u.attempt.response);
  if (request_ended)
    engine_end_request (engine, request->id);
  g_free (event->u.attempt.response);
  request_unref (request);
}

static void
run_call (engine_t *engine, call_t *call)
{
  call->function (call->context, engine->node, clock_now_ms ());
  pthread_mutex_lock (&call->lock);
  call->finished = true;
  pthread_cond_signal (&call->done);
  pthread_mutex_unlock (&call->lock);
}

static void
update_configuration (engine_t *engine, const event_t *event)
{
  conf_object_t *object = event->u.object.object;
  uint64_t previous = event->u.object.previous;
  clock_ms_t now = clock_now_ms ();
  int error;

  if (event->type == EVENT_OWN_CHANGE)
    {
      record_own_change (engine->recording, now, &object->object);
      error = decide_handle_own_change (engine->node, now, &object->object);
    }
  else
    {
      record_object (engine->recording, now, previous, &object->object);
      error = decide_object (engine->node, now, previous, &object->object);
    }
  if (error != 0 && error != -ESTALE)
    {
      telemetry_counter_increment (TELEMETRY_OBJECTS_REJECTED, 0);
      g_warning ("configuration object %s rejected: %s", object->name,
                 g_strerror (-error));
    }
  conf_object_free (object);
}

void
engine_handle_event (engine_t *engine, event_t *event)
{
  clock_ms_t now = clock_now_ms ();

  switch (event->type)
    {
    case EVENT_REQUEST:
      admit_request (engine, event->u.request);
      break;
    case EVENT_CANCEL_REQUEST:
      if (engine_find_request (engine, event->u.request->id) != NULL)
        {
          record_request_cancelled (engine->recording, now,
                                    event->u.request->id);
          if (engine->baseline != NULL)
            baseline_cancel_request (engine->baseline, event->u.request->id);
          if (engine->baseline != NULL
              || decide_withdraw_request (engine->node, now,
                                          event->u.request->id))
            {
              request_post_decision (event->u.request, DECISION_CANCELLED,
                                     NULL);
              engine_end_request (engine, event->u.request->id);
            }
        }
      request_unref (event->u.request);
      break;
    case EVENT_ATTEMPT_DONE:
      handle_attempt_end (engine, event);
      break;
    case EVENT_MESSAGE:
      telemetry_counter_increment (TELEMETRY_PEER_RECEIVED,
                                   event->u.message.msg->type);
      record_message (engine->recording, now, event->u.message.from,
                      event->u.message.msg);
      decide_handle_message (engine->node, now, event->u.message.from,
                             event->u.message.msg);
      peer_msg_free (event->u.message.msg);
      break;
    case EVENT_OBJECT:
    case EVENT_OWN_CHANGE:
      update_configuration (engine, event);
      break;
    case EVENT_STORE_SYNCED:
      record_store_synced (engine->recording, now, event->u.synced.sent,
                           event->u.synced.ok, event->u.synced.revision);
      decide_handle_store_read_result (engine->node, now, event->u.synced.sent,
                                       event->u.synced.ok,
                                       event->u.synced.revision);
      break;
    case EVENT_STORE_PUT_DONE:
      record_store_put_done (engine->recording, now, event->u.put.operation,
                             event->u.put.result, event->u.put.version);
      decide_store_put_done (engine->node, now, event->u.put.operation,
                             event->u.put.result, event->u.put.version);
      break;
    case EVENT_PROBE_DONE:
      telemetry_counter_increment (TELEMETRY_PROBES,
                                   event->u.probe.ok ? 0 : 1);
      record_probe_done (engine->recording, now, event->u.probe.endpoint,
                         event->u.probe.ok, event->u.probe.latency_ms,
                         &event->u.probe.load);
      decide_probe_done (engine->node, now, event->u.probe.endpoint,
                         event->u.probe.ok, event->u.probe.latency_ms,
                         &event->u.probe.load);
      break;
    case EVENT_CALL:
      run_call (engine, event->u.call);
      break;
    case EVENT_READ_STORE:
      record_read_store (engine->recording, now);
      decide_request_store_read (engine->node, now);
      break;
    case EVENT_BEGIN_SHUTDOWN:
      record_shutdown_begun (engine->recording, now);
      decide_stop (engine->node, now);
      break;
    case EVENT_EXIT_THREAD:
      break;
    }
}
