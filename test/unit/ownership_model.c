#include "ownership_model.h"

#include <errno.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t message_size (const decide_msg_t *msg);
static int64_t network_delay (model_t *m);
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
static void deliver (model_t *m, model_event_t *event);
static void deliver_message (model_t *m, const model_event_t *event);
static void answer_read (model_instance_t *instance,
                         const model_event_t *event);
static void answer_put (model_instance_t *instance,
                        const model_event_t *event);
static int64_t next_due (const model_t *m);
static void release_held (model_t *m, uint32_t i, bool deliver_now);
static void instance_name (char name[DECIDE_NAME_MAX], uint32_t i);

/* Only the part of the union that a message uses is kept.  */
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

static int64_t
network_delay (model_t *m)
{
  if (m->late > 0 && decide_rng_below (&m->rng, 1000) < m->late)
    return 2 + decide_rng_below (&m->rng, 3000);
  return 2
         + (m->jitter_ms == 0 ? 0 : decide_rng_below (&m->rng, m->jitter_ms));
}

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  model_instance_t *from = context;
  model_t *m = from->model;
  model_event_t event
      = { .kind = MODEL_MESSAGE, .from = (uint32_t)(from - m->instances) };

  for (uint32_t to = 0; to < m->count; to++)
    if (m->instances[to].id == instance && !m->instances[to].zombie)
      {
        if (m->loss > 0 && decide_rng_below (&m->rng, 1000) < m->loss)
          return;
        event.to = to;
        event.at = m->now + network_delay (m);
        event.payload = model_payload_new (msg, message_size (msg));
        model_push (m, &event);
      }
}

static void
on_fill (void *context, decide_msg_t *msg)
{
  model_instance_t *instance = context;
  const decide_record_t *record = ownership_get_record (instance->o);
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
  model_t *m = instance->model;
  uint32_t i = (uint32_t)(instance - m->instances);
  model_event_t event = { .kind = MODEL_READ,
                          .at = m->now + MODEL_STORE_DELAY_MS,
                          .from = i,
                          .to = i,
                          .process = instance->process,
                          .sent = model_clock (m, i) };

  model_push (m, &event);
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  model_instance_t *instance = context;
  model_t *m = instance->model;
  uint32_t i = (uint32_t)(instance - m->instances);
  model_event_t event
      = { .kind = MODEL_PUT,
          .at = m->now + MODEL_STORE_DELAY_MS,
          .from = i,
          .to = i,
          .process = instance->process,
          .operation = operation,
          .version = expected,
          .payload = model_payload_new (record, sizeof *record) };

  model_push (m, &event);
}

static void
on_slice_changed (void *context, uint32_t centre, uint32_t slice,
                  ownership_change_t change)
{
  model_instance_t *instance = context;

  (void)centre;
  (void)slice;
  instance->changes[change]++;
}

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

  instance->imported[centre][slice]
      = instance->o->slices[centre][slice].from_incarnation;
  g_assert_cmpuint (handover->grant_count, ==, 1);
  g_assert_cmpuint (handover->grants[0].grant, ==, centre * 100 + slice);
}

static void
instance_name (char name[DECIDE_NAME_MAX], uint32_t i)
{
  snprintf (name, DECIDE_NAME_MAX, "entry-%u", i);
}

model_t *
model_new (uint32_t count, uint32_t data_centres, uint64_t seed)
{
  model_t *m = g_new0 (model_t, 1);

  decide_rng_seed (&m->rng, seed);
  m->watch_ms = 1;
  m->count = m->configured = count;
  m->data_centres = data_centres;
  for (uint32_t i = 0; i < MODEL_INSTANCES; i++)
    {
      char name[DECIDE_NAME_MAX];

      instance_name (name, i);
      m->instances[i].model = m;
      m->instances[i].id = decide_id (name);
      m->instances[i].rate = i % 2 == 0 ? 100 : -100;
    }
  return m;
}

void
model_free (model_t *m)
{
  for (uint32_t i = 0; i < MODEL_INSTANCES; i++)
    ownership_free (m->instances[i].o);
  for (uint32_t i = 0; i < m->event_count; i++)
    model_payload_put (m->events[i].payload);
  for (uint32_t i = 0; i < m->held_count; i++)
    model_payload_put (m->held[i].payload);
  model_payload_put (m->record);
  g_free (m);
}

void
model_copy (model_t *to, const model_t *from)
{
  ownership_t *spare[MODEL_INSTANCES];

  for (uint32_t i = 0; i < MODEL_INSTANCES; i++)
    spare[i] = to->instances[i].o;
  for (uint32_t i = 0; i < to->event_count; i++)
    model_payload_put (to->events[i].payload);
  model_payload_put (to->record);
  for (uint32_t i = 0; i < to->held_count; i++)
    model_payload_put (to->held[i].payload);
  memcpy (to, from, offsetof (model_t, held));
  memcpy (to->held, from->held, from->held_count * sizeof from->held[0]);
  to->event_count = from->event_count;
  for (uint32_t i = 0; i < to->held_count; i++)
    model_payload_get (to->held[i].payload);
  memcpy (to->events, from->events,
          from->event_count * sizeof from->events[0]);
  for (uint32_t i = 0; i < to->event_count; i++)
    model_payload_get (to->events[i].payload);
  model_payload_get (to->record);
  for (uint32_t i = 0; i < MODEL_INSTANCES; i++)
    {
      model_instance_t *instance = &to->instances[i];

      instance->model = to;
      if (instance->o == NULL)
        {
          free (spare[i]);
          continue;
        }
      instance->o = spare[i] != NULL ? spare[i] : malloc (sizeof *spare[i]);
      memcpy (instance->o, from->instances[i].o, sizeof *instance->o);
      instance->o->callbacks.context = instance;
      instance->o->rng = &instance->rng;
    }
}

clock_ms_t
model_clock (const model_t *m, uint32_t i)
{
  const model_instance_t *instance = &m->instances[i];
  int64_t run = m->now - instance->start;

  return instance->offset + run + run * instance->rate / 10000;
}

void
model_start (model_t *m, uint32_t i)
{
  static const char *const centres[] = { "a", "b" };
  model_instance_t *instance = &m->instances[i];
  ownership_instance_t others[MODEL_INSTANCES];
  ownership_settings_t settings = { .instance_count = m->configured,
                                    .instances = others,
                                    .centre_count = m->data_centres,
                                    .centres = centres };
  ownership_callbacks_t callbacks = { .context = instance,
                                      .send = on_send,
                                      .fill = on_fill,
                                      .store_read = on_store_read,
                                      .store_put = on_store_put,
                                      .slice_changed = on_slice_changed,
                                      .export_grants = on_export,
                                      .import_grants = on_import };

  g_assert_null (instance->o);
  for (uint32_t j = 0; j < m->configured; j++)
    {
      instance_name (others[j].name, j);
      g_strlcpy (others[j].data_centre, centres[j % m->data_centres],
                 sizeof others[j].data_centre);
    }
  instance_name (settings.instance, i);
  g_strlcpy (settings.data_centre, centres[i % m->data_centres],
             sizeof settings.data_centre);
  settings.incarnation = 1000 + ++m->processes;
  decide_rng_seed (&instance->rng, decide_rng_next (&m->rng));
  instance->process = m->processes;
  instance->start = m->now;
  instance->offset = decide_rng_below (&m->rng, 1000000);
  instance->paused = instance->zombie = false;
  memset (instance->imported, 0, sizeof instance->imported);
  instance->tick_at = instance->sync_at = m->now;
  instance->o = ownership_new (&settings, &callbacks, &instance->rng,
                               instance->offset);
  g_assert_nonnull (instance->o);
  ownership_set_longest_grant (instance->o, MODEL_GRANT_MS);
}

uint32_t
model_join (model_t *m)
{
  uint32_t i = m->count++;

  g_assert_cmpuint (i, <, MODEL_INSTANCES);
  model_start (m, i);
  return i;
}

void
model_crash (model_t *m, uint32_t i)
{
  model_instance_t *instance = &m->instances[i];

  ownership_free (instance->o);
  instance->o = NULL;
  instance->paused = false;
  release_held (m, i, false);
}

void
model_pause (model_t *m, uint32_t i)
{
  m->instances[i].paused = true;
}

void
model_resume (model_t *m, uint32_t i)
{
  m->instances[i].paused = false;
  m->instances[i].tick_at = m->now;
  /* A process that was paused past its evidence is compared with the others
     before it handles anything.  */
  if (m->violation[0] == '\0')
    (void)model_check (m);
  release_held (m, i, true);
}

static void
release_held (model_t *m, uint32_t i, bool deliver_now)
{
  uint32_t kept = 0;

  for (uint32_t e = 0; e < m->held_count; e++)
    {
      model_event_t *event = &m->held[e];

      if (event->to != i)
        m->held[kept++] = *event;
      else if (deliver_now)
        {
          event->at = m->now;
          model_push (m, event);
        }
      else
        model_payload_put (event->payload);
    }
  m->held_count = kept;
}

uint32_t
model_replace (model_t *m, uint32_t i)
{
  uint32_t old = m->count;

  if (old == MODEL_INSTANCES)
    return UINT32_MAX;
  m->count++;
  m->instances[old] = m->instances[i];
  m->instances[old].zombie = true;
  m->instances[old].o->callbacks.context = &m->instances[old];
  m->instances[old].o->rng = &m->instances[old].rng;
  m->instances[i].o = NULL;
  release_held (m, i, false);
  for (uint32_t j = 0; j < MODEL_INSTANCES; j++)
    {
      m->cut[old][j] = m->cut[i][j];
      m->cut[j][old] = m->cut[j][i];
    }
  /* Answers of the store still reach the process that asked.  */
  for (uint32_t e = 0; e < m->event_count; e++)
    if (m->events[e].kind >= MODEL_READ && m->events[e].to == i)
      m->events[e].to = m->events[e].from = old;
  model_start (m, i);
  return old;
}

void
model_isolate (model_t *m, uint32_t i, bool cut)
{
  for (uint32_t j = 0; j < MODEL_INSTANCES; j++)
    m->cut[i][j] = m->cut[j][i] = cut;
}

bool
model_isolated (const model_t *m, uint32_t i)
{
  return m->cut[i][(i + 1) % MODEL_INSTANCES];
}

bool
model_running (const model_t *m, uint32_t i)
{
  return m->instances[i].o != NULL && !m->instances[i].paused;
}

static void
answer_read (model_instance_t *instance, const model_event_t *event)
{
  const model_t *m = instance->model;
  clock_ms_t now = model_clock (m, event->to);

  if (event->payload != NULL)
    g_assert_cmpint (
        ownership_adopt_record (instance->o, now,
                                model_payload_record (event->payload)),
        !=, -EINVAL);
  ownership_handle_read_result (instance->o, now, event->sent, event->ok,
                                event->version > 0);
}

static void
answer_put (model_instance_t *instance, const model_event_t *event)
{
  clock_ms_t now = model_clock (instance->model, event->to);

  if (event->payload != NULL)
    (void)ownership_adopt_record (instance->o, now,
                                  model_payload_record (event->payload));
  ownership_handle_put_result (instance->o, now, event->operation,
                               event->result, event->version);
}

static void
deliver_message (model_t *m, const model_event_t *event)
{
  model_instance_t *to = &m->instances[event->to];
  const decide_msg_t *msg = model_payload_msg (event->payload);
  const decide_record_t *record = ownership_get_record (to->o);
  model_event_t pull = {
    .kind = MODEL_PULL, .at = m->now + 2, .from = event->to, .to = event->from
  };

  ownership_handle_message (to->o, model_clock (m, event->to),
                            m->instances[event->from].id, msg);
  if (msg->type == DECIDE_MSG_HEARTBEAT
      && msg->u.heartbeat.revision > (record == NULL ? 0 : record->version)
      && !m->instances[event->from].zombie)
    model_push (m, &pull);
}

static void
deliver (model_t *m, model_event_t *event)
{
  model_instance_t *to = &m->instances[event->to];
  model_event_t answer = {
    .kind = MODEL_PUSH, .at = m->now + 2, .from = event->to, .to = event->from
  };

  if (event->kind == MODEL_READ)
    {
      model_store_read (m, event);
      return;
    }
  if (event->kind == MODEL_PUT)
    {
      model_store_put (m, event);
      return;
    }
  if (to->paused && m->held_count < MODEL_HELD)
    {
      m->held[m->held_count++] = *event;
      return;
    }
  if (to->o == NULL || to->paused
      || (event->kind < MODEL_READ && m->cut[event->from][event->to])
      || (event->kind > MODEL_READ && event->process != to->process))
    {
      model_payload_put (event->payload);
      return;
    }
  switch (event->kind)
    {
    case MODEL_MESSAGE:
      deliver_message (m, event);
      break;
    case MODEL_PULL:
      if (ownership_get_record (to->o) == NULL)
        break;
      answer.payload = model_payload_new (ownership_get_record (to->o),
                                          sizeof (decide_record_t));
      model_push (m, &answer);
      break;
    case MODEL_PUSH:
      (void)ownership_adopt_record (to->o, model_clock (m, event->to),
                                    model_payload_record (event->payload));
      break;
    case MODEL_READ_DONE:
      answer_read (to, event);
      break;
    default:
      answer_put (to, event);
      break;
    }
  model_payload_put (event->payload);
}

static int64_t
next_due (const model_t *m)
{
  int64_t due = m->event_count > 0 ? m->events[0].at : INT64_MAX;

  for (uint32_t i = 0; i < m->count; i++)
    {
      const model_instance_t *instance = &m->instances[i];

      if (!model_running (m, i))
        continue;
      due = MIN (due, MIN (instance->tick_at, instance->sync_at));
    }
  return due;
}

void
model_run (model_t *m, int64_t ms)
{
  int64_t end = m->now + ms;
  bool several = model_check (m);

  while (m->violation[0] == '\0')
    {
      int64_t due = next_due (m);

      if (several && due > m->now + m->watch_ms)
        due = m->now + m->watch_ms;
      if (due > end)
        break;
      if (due > m->now)
        m->now = due;
      while (m->event_count > 0 && m->events[0].at <= m->now)
        {
          model_event_t event = model_pop (m);

          deliver (m, &event);
        }
      for (uint32_t i = 0; i < m->count; i++)
        {
          model_instance_t *instance = &m->instances[i];

          if (!model_running (m, i))
            continue;
          if (instance->sync_at <= m->now)
            {
              instance->sync_at = m->now + DECIDE_STORE_SYNC_INTERVAL_MS;
              on_store_read (instance);
            }
          if (instance->tick_at <= m->now)
            {
              clock_ms_t now = model_clock (m, i);
              clock_ms_t next = ownership_tick (instance->o, now);

              instance->tick_at = m->now + MAX (next - now, 1);
            }
        }
      several = model_check (m);
      if (m->check_grants && m->now >= m->grants_at)
        model_check_grants (m);
    }
  if (m->now < end)
    m->now = end;
}
