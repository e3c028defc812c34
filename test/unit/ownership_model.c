#include "ownership_model.h"

#include <errno.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t message_size (const decide_msg_t *msg);
static int64_t random_network_delay (model_t *model);
static void on_send (void *context, decide_id_t instance,
                     const decide_msg_t *msg);
static void on_fill (void *context, decide_msg_t *msg);
static void on_store_read (void *context);
static void on_store_put (void *context, uint64_t operation, uint64_t expected,
                          const decide_record_t *record);
static void on_slice_changed (void *context, uint32_t centre, uint32_t slice,
                              ownership_change_t change);
static uint32_t on_export (void *context, uint32_t centre, uint32_t slice,
                           decide_handover_grant_t *grants, uint32_t max);
static void on_import (void *context, const decide_msg_handover_t *handover);
static void handle_event (model_t *model, model_event_t *event);
static void handle_message (model_t *model, const model_event_t *event);
static void handle_read_result (model_instance_t *instance,
                                const model_event_t *event);
static void handle_put_result (model_instance_t *instance,
                               const model_event_t *event);
static int64_t next_due_time (const model_t *model);
static void release_buffered (model_t *model, uint32_t i, bool requeue);
static void format_instance_name (char name[DECIDE_NAME_MAX], uint32_t i);

/* Returns the number of bytes of a message to copy: up to the end of the union
   members that a message of its type may use.  */
static size_t
message_size (const decide_msg_t *msg)
{
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      return offsetof (decide_msg_t, u) + sizeof msg->u.heartbeat;
    case DECIDE_MSG_HANDOVER:
    case DECIDE_MSG_HANDOVER_ACK:
      return offsetof (decide_msg_t, u) + sizeof msg->u.handover;
    default:
      return offsetof (decide_msg_t, u) + sizeof msg->u.ack
             + sizeof msg->u.support;
    }
}

/* Returns the delay of a message in ms.  */
static int64_t
random_network_delay (model_t *model)
{
  if (model->late_per_1000 > 0
      && decide_rng_below (&model->rng, 1000) < model->late_per_1000)
    return 2 + decide_rng_below (&model->rng, 3000);
  return 2
         + (model->jitter_ms == 0
                ? 0
                : decide_rng_below (&model->rng, model->jitter_ms));
}

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  model_instance_t *from = context;
  model_t *model = from->model;
  model_event_t event = { .kind = MODEL_EVENT_MESSAGE,
                          .from = (uint32_t)(from - model->instances) };

  for (uint32_t to = 0; to < model->instance_count; to++)
    if (model->instances[to].id == instance && !model->instances[to].replaced)
      {
        if (model->loss_per_1000 > 0
            && decide_rng_below (&model->rng, 1000) < model->loss_per_1000)
          return;
        event.to = to;
        event.due_at = model->now + random_network_delay (model);
        event.payload = model_payload_new (msg, message_size (msg));
        model_push_event (model, &event);
      }
}

static void
on_fill (void *context, decide_msg_t *msg)
{
  model_instance_t *instance = context;
  const decide_record_t *record = ownership_get_record (instance->ownership);
  uint64_t revision = record == NULL ? 0 : record->version;

  if (msg->type == DECIDE_MSG_HEARTBEAT)
    msg->u.heartbeat.revision = revision;
  else if (msg->type == DECIDE_MSG_HEARTBEAT_ACK)
    msg->u.ack.revision = revision;
}

static void
on_store_read (void *context)
{
  model_instance_t *instance = context;
  model_t *model = instance->model;
  uint32_t i = (uint32_t)(instance - model->instances);
  model_event_t event = { .kind = MODEL_EVENT_STORE_READ,
                          .due_at = model->now + MODEL_STORE_DELAY_MS,
                          .from = i,
                          .to = i,
                          .process_id = instance->process_id,
                          .sent_at = model_local_time (model, i) };

  model_push_event (model, &event);
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  model_instance_t *instance = context;
  model_t *model = instance->model;
  uint32_t i = (uint32_t)(instance - model->instances);
  model_event_t event
      = { .kind = MODEL_EVENT_STORE_PUT,
          .due_at = model->now + MODEL_STORE_DELAY_MS,
          .from = i,
          .to = i,
          .process_id = instance->process_id,
          .operation = operation,
          .version = expected,
          .payload = model_payload_new (record, sizeof *record) };

  model_push_event (model, &event);
}

static void
on_slice_changed (void *context, uint32_t centre, uint32_t slice,
                  ownership_change_t change)
{
  model_instance_t *instance = context;

  (void)centre;
  (void)slice;
  instance->change_counts[change]++;
}

/* Exports one grant, with an id that on_import() can check.  */
static uint32_t
on_export (void *context, uint32_t centre, uint32_t slice,
           decide_handover_grant_t *grants, uint32_t max)
{
  (void)context;
  g_assert_cmpuint (max, >, 0);
  grants[0] = (decide_handover_grant_t){ .grant = centre * 100 + slice };
  return 1;
}

static void
on_import (void *context, const decide_msg_handover_t *handover)
{
  model_instance_t *instance = context;
  uint32_t centre = handover->centre;
  uint32_t slice = handover->slice;

  instance->imported_from[centre][slice]
      = instance->ownership->slices[centre][slice].delegator_incarnation;
  g_assert_cmpuint (handover->grant_count, ==, 1);
  g_assert_cmpuint (handover->grants[0].grant, ==, centre * 100 + slice);
}

static void
format_instance_name (char name[DECIDE_NAME_MAX], uint32_t i)
{
  snprintf (name, DECIDE_NAME_MAX, "entry-%u", i);
}

model_t *
model_new (uint32_t instance_count, uint32_t data_centre_count, uint64_t seed)
{
  model_t *model = g_new0 (model_t, 1);

  decide_rng_seed (&model->rng, seed);
  model->check_interval_ms = 1;
  model->instance_count = model->configured_count = instance_count;
  model->data_centre_count = data_centre_count;
  for (uint32_t i = 0; i < MODEL_INSTANCES_MAX; i++)
    {
      char name[DECIDE_NAME_MAX];

      format_instance_name (name, i);
      model->instances[i].model = model;
      model->instances[i].id = decide_id (name);
      model->instances[i].clock_drift = i % 2 == 0 ? 100 : -100;
    }
  return model;
}

void
model_free (model_t *model)
{
  for (uint32_t i = 0; i < MODEL_INSTANCES_MAX; i++)
    ownership_free (model->instances[i].ownership);
  for (uint32_t i = 0; i < model->event_count; i++)
    model_payload_unref (model->events[i].payload);
  for (uint32_t i = 0; i < model->buffered_count; i++)
    model_payload_unref (model->buffered[i].payload);
  model_payload_unref (model->record);
  g_free (model);
}

void
model_copy (model_t *to, const model_t *from)
{
  ownership_t *reusable[MODEL_INSTANCES_MAX];

  for (uint32_t i = 0; i < MODEL_INSTANCES_MAX; i++)
    reusable[i] = to->instances[i].ownership;
  for (uint32_t i = 0; i < to->event_count; i++)
    model_payload_unref (to->events[i].payload);
  model_payload_unref (to->record);
  for (uint32_t i = 0; i < to->buffered_count; i++)
    model_payload_unref (to->buffered[i].payload);
  memcpy (to, from, offsetof (model_t, buffered));
  memcpy (to->buffered, from->buffered,
          from->buffered_count * sizeof from->buffered[0]);
  to->event_count = from->event_count;
  for (uint32_t i = 0; i < to->buffered_count; i++)
    model_payload_ref (to->buffered[i].payload);
  memcpy (to->events, from->events,
          from->event_count * sizeof from->events[0]);
  for (uint32_t i = 0; i < to->event_count; i++)
    model_payload_ref (to->events[i].payload);
  model_payload_ref (to->record);
  for (uint32_t i = 0; i < MODEL_INSTANCES_MAX; i++)
    {
      model_instance_t *instance = &to->instances[i];

      instance->model = to;
      if (instance->ownership == NULL)
        {
          free (reusable[i]);
          continue;
        }
      instance->ownership
          = reusable[i] != NULL ? reusable[i] : malloc (sizeof *reusable[i]);
      memcpy (instance->ownership, from->instances[i].ownership,
              sizeof *instance->ownership);
      instance->ownership->callbacks.context = instance;
      instance->ownership->rng = &instance->rng;
    }
}

clock_ms_t
model_local_time (const model_t *model, uint32_t i)
{
  const model_instance_t *instance = &model->instances[i];
  int64_t elapsed = model->now - instance->started_at;

  return instance->clock_offset + elapsed
         + elapsed * instance->clock_drift / 10000;
}

void
model_start (model_t *model, uint32_t i)
{
  static const char *const centres[] = { "a", "b" };
  model_instance_t *instance = &model->instances[i];
  ownership_instance_t others[MODEL_INSTANCES_MAX];
  ownership_settings_t settings = { .instance_count = model->configured_count,
                                    .instances = others,
                                    .centre_count = model->data_centre_count,
                                    .centres = centres };
  ownership_callbacks_t callbacks = { .context = instance,
                                      .send = on_send,
                                      .fill = on_fill,
                                      .store_read = on_store_read,
                                      .store_put = on_store_put,
                                      .slice_changed = on_slice_changed,
                                      .export_grants = on_export,
                                      .import_grants = on_import };

  g_assert_null (instance->ownership);
  for (uint32_t j = 0; j < model->configured_count; j++)
    {
      format_instance_name (others[j].name, j);
      g_strlcpy (others[j].data_centre, centres[j % model->data_centre_count],
                 sizeof others[j].data_centre);
    }
  format_instance_name (settings.instance, i);
  g_strlcpy (settings.data_centre, centres[i % model->data_centre_count],
             sizeof settings.data_centre);
  settings.incarnation = 1000 + ++model->process_count;
  decide_rng_seed (&instance->rng, decide_rng_next (&model->rng));
  instance->process_id = model->process_count;
  instance->started_at = model->now;
  instance->clock_offset = decide_rng_below (&model->rng, 1000000);
  instance->paused = instance->replaced = false;
  memset (instance->imported_from, 0, sizeof instance->imported_from);
  instance->next_tick_at = instance->next_sync_at = model->now;
  instance->ownership = ownership_new (&settings, &callbacks, &instance->rng,
                                       instance->clock_offset);
  g_assert_nonnull (instance->ownership);
  ownership_set_longest_grant (instance->ownership, MODEL_GRANT_MS);
}

uint32_t
model_join (model_t *model)
{
  uint32_t i = model->instance_count++;

  g_assert_cmpuint (i, <, MODEL_INSTANCES_MAX);
  model_start (model, i);
  return i;
}

void
model_crash (model_t *model, uint32_t i)
{
  model_instance_t *instance = &model->instances[i];

  ownership_free (instance->ownership);
  instance->ownership = NULL;
  instance->paused = false;
  release_buffered (model, i, false);
}

void
model_pause (model_t *model, uint32_t i)
{
  model->instances[i].paused = true;
}

void
model_resume (model_t *model, uint32_t i)
{
  model->instances[i].paused = false;
  model->instances[i].next_tick_at = model->now;
  /* A process whose lease expired during the pause is checked against the
     others before it handles any event.  */
  if (model->violation[0] == '\0')
    (void)model_check_mutual_exclusion (model);
  release_buffered (model, i, true);
}

/* Empties the socket buffers of an instance: requeues the events, to be
   handled now, or drops them.  */
static void
release_buffered (model_t *model, uint32_t i, bool requeue)
{
  uint32_t kept_count = 0;

  for (uint32_t e = 0; e < model->buffered_count; e++)
    {
      model_event_t *event = &model->buffered[e];

      if (event->to != i)
        model->buffered[kept_count++] = *event;
      else if (requeue)
        {
          event->due_at = model->now;
          model_push_event (model, event);
        }
      else
        model_payload_unref (event->payload);
    }
  model->buffered_count = kept_count;
}

uint32_t
model_replace (model_t *model, uint32_t i)
{
  uint32_t old_index = model->instance_count;

  if (old_index == MODEL_INSTANCES_MAX)
    return UINT32_MAX;
  model->instance_count++;
  model->instances[old_index] = model->instances[i];
  model->instances[old_index].replaced = true;
  model->instances[old_index].ownership->callbacks.context
      = &model->instances[old_index];
  model->instances[old_index].ownership->rng
      = &model->instances[old_index].rng;
  model->instances[i].ownership = NULL;
  release_buffered (model, i, false);
  for (uint32_t j = 0; j < MODEL_INSTANCES_MAX; j++)
    {
      model->link_down[old_index][j] = model->link_down[i][j];
      model->link_down[j][old_index] = model->link_down[j][i];
    }
  /* Results from the store still reach the process that sent the request.  */
  for (uint32_t e = 0; e < model->event_count; e++)
    if (model->events[e].kind >= MODEL_EVENT_STORE_READ
        && model->events[e].to == i)
      model->events[e].to = model->events[e].from = old_index;
  model_start (model, i);
  return old_index;
}

void
model_isolate (model_t *model, uint32_t i, bool isolated)
{
  for (uint32_t j = 0; j < MODEL_INSTANCES_MAX; j++)
    model->link_down[i][j] = model->link_down[j][i] = isolated;
}

/* It is enough to check one link, since model_isolate() changes all of them.
 */
bool
model_is_isolated (const model_t *model, uint32_t i)
{
  return model->link_down[i][(i + 1) % MODEL_INSTANCES_MAX];
}

bool
model_is_running (const model_t *model, uint32_t i)
{
  return model->instances[i].ownership != NULL && !model->instances[i].paused;
}

static void
handle_read_result (model_instance_t *instance, const model_event_t *event)
{
  const model_t *model = instance->model;
  clock_ms_t now = model_local_time (model, event->to);

  if (event->payload != NULL)
    g_assert_cmpint (
        ownership_adopt_record (instance->ownership, now,
                                model_payload_record (event->payload)),
        !=, -EINVAL);
  ownership_handle_read_result (instance->ownership, now, event->sent_at,
                                event->ok, event->version > 0);
}

static void
handle_put_result (model_instance_t *instance, const model_event_t *event)
{
  clock_ms_t now = model_local_time (instance->model, event->to);

  if (event->payload != NULL)
    (void)ownership_adopt_record (instance->ownership, now,
                                  model_payload_record (event->payload));
  ownership_handle_put_result (instance->ownership, now, event->operation,
                               event->result, event->version);
}

/* Passes a message to the receiver's ownership module.  On a heartbeat that
   announces a newer record, the receiver also requests that record from the
   sender.  */
static void
handle_message (model_t *model, const model_event_t *event)
{
  model_instance_t *to = &model->instances[event->to];
  const decide_msg_t *msg = model_payload_msg (event->payload);
  const decide_record_t *record = ownership_get_record (to->ownership);
  model_event_t record_request = { .kind = MODEL_EVENT_RECORD_REQUEST,
                                   .due_at = model->now + 2,
                                   .from = event->to,
                                   .to = event->from };

  ownership_handle_message (to->ownership, model_local_time (model, event->to),
                            model->instances[event->from].id, msg);
  if (msg->type == DECIDE_MSG_HEARTBEAT
      && msg->u.heartbeat.revision > (record == NULL ? 0 : record->version)
      && !model->instances[event->from].replaced)
    model_push_event (model, &record_request);
}

static void
handle_event (model_t *model, model_event_t *event)
{
  model_instance_t *to = &model->instances[event->to];
  model_event_t record_response = { .kind = MODEL_EVENT_RECORD_RESPONSE,
                                    .due_at = model->now + 2,
                                    .from = event->to,
                                    .to = event->from };

  if (event->kind == MODEL_EVENT_STORE_READ)
    {
      model_store_handle_read (model, event);
      return;
    }
  if (event->kind == MODEL_EVENT_STORE_PUT)
    {
      model_store_handle_put (model, event);
      return;
    }
  if (to->paused && model->buffered_count < MODEL_BUFFERED_MAX)
    {
      model->buffered[model->buffered_count++] = *event;
      return;
    }
  if (to->ownership == NULL || to->paused
      || (event->kind < MODEL_EVENT_STORE_READ
          && model->link_down[event->from][event->to])
      || (event->kind > MODEL_EVENT_STORE_READ
          && event->process_id != to->process_id))
    {
      model_payload_unref (event->payload);
      return;
    }
  switch (event->kind)
    {
    case MODEL_EVENT_MESSAGE:
      handle_message (model, event);
      break;
    case MODEL_EVENT_RECORD_REQUEST:
      if (ownership_get_record (to->ownership) == NULL)
        break;
      record_response.payload = model_payload_new (
          ownership_get_record (to->ownership), sizeof (decide_record_t));
      model_push_event (model, &record_response);
      break;
    case MODEL_EVENT_RECORD_RESPONSE:
      (void)ownership_adopt_record (to->ownership,
                                    model_local_time (model, event->to),
                                    model_payload_record (event->payload));
      break;
    case MODEL_EVENT_STORE_READ_RESULT:
      handle_read_result (to, event);
      break;
    default:
      handle_put_result (to, event);
      break;
    }
  model_payload_unref (event->payload);
}

/* Returns the true time in ms of the next event, tick or periodic read of the
   store.  */
static int64_t
next_due_time (const model_t *model)
{
  int64_t due = model->event_count > 0 ? model->events[0].due_at : INT64_MAX;

  for (uint32_t i = 0; i < model->instance_count; i++)
    {
      const model_instance_t *instance = &model->instances[i];

      if (!model_is_running (model, i))
        continue;
      due = MIN (due, MIN (instance->next_tick_at, instance->next_sync_at));
    }
  return due;
}

void
model_run (model_t *model, int64_t ms)
{
  int64_t end = model->now + ms;
  bool overlap = model_check_mutual_exclusion (model);

  while (model->violation[0] == '\0')
    {
      int64_t due = next_due_time (model);

      if (overlap && due > model->now + model->check_interval_ms)
        due = model->now + model->check_interval_ms;
      if (due > end)
        break;
      if (due > model->now)
        model->now = due;
      while (model->event_count > 0 && model->events[0].due_at <= model->now)
        {
          model_event_t event = model_pop_event (model);

          handle_event (model, &event);
        }
      for (uint32_t i = 0; i < model->instance_count; i++)
        {
          model_instance_t *instance = &model->instances[i];

          if (!model_is_running (model, i))
            continue;
          if (instance->next_sync_at <= model->now)
            {
              instance->next_sync_at
                  = model->now + DECIDE_STORE_SYNC_INTERVAL_MS;
              on_store_read (instance);
            }
          if (instance->next_tick_at <= model->now)
            {
              clock_ms_t now = model_local_time (model, i);
              clock_ms_t next = ownership_tick (instance->ownership, now);

              instance->next_tick_at = model->now + MAX (next - now, 1);
            }
        }
      overlap = model_check_mutual_exclusion (model);
      if (model->check_grants && model->now >= model->next_grant_check_at)
        model_check_grants (model);
    }
  if (model->now < end)
    model->now = end;
}
