#include "ownership_model.h"

#include <errno.h>
#include <inttypes.h>
#include <stdalign.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STORE_DELAY_MS 3
#define STORE_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 500

/* Immutable and shared between copies of a model.  */
struct model_payload
{
  uint32_t references;
  alignas (max_align_t) unsigned char content[];
};

static model_payload_t *payload_new (const void *content, size_t size);
static decide_record_t *payload_record (model_payload_t *payload);
static model_payload_t *payload_get (model_payload_t *payload);
static void payload_put (model_payload_t *payload);
static size_t message_size (const decide_msg_t *msg);
static bool before (const model_event_t *a, const model_event_t *b);
static void push (model_t *m, const model_event_t *event);
static model_event_t pop (model_t *m);
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
static void on_import (void *context, uint32_t centre, uint32_t slice,
                       decide_id_t from, const decide_handover_grant_t *grants,
                       uint32_t count);
static void store_read (model_t *m, model_event_t *event);
static void store_put (model_t *m, model_event_t *event);
static void deliver (model_t *m, model_event_t *event);
static void deliver_message (model_t *m, const model_event_t *event);
static void answer_read (model_instance_t *instance,
                         const model_event_t *event);
static void answer_put (model_instance_t *instance,
                        const model_event_t *event);
static int64_t next_due (const model_t *m);
static bool check (model_t *m);
static void check_grants (model_t *m);
static void release_held (model_t *m, uint32_t i, bool deliver_now);
static void instance_name (char name[DECIDE_NAME_MAX], uint32_t i);

static model_payload_t *
payload_new (const void *content, size_t size)
{
  model_payload_t *payload = g_malloc0 (sizeof (model_payload_t) + size);

  payload->references = 1;
  memcpy (payload->content, content, size);
  return payload;
}

static decide_record_t *
payload_record (model_payload_t *payload)
{
  return (decide_record_t *)payload->content;
}

static model_payload_t *
payload_get (model_payload_t *payload)
{
  if (payload != NULL)
    payload->references++;
  return payload;
}

static void
payload_put (model_payload_t *payload)
{
  if (payload != NULL && --payload->references == 0)
    g_free (payload);
}

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

static bool
before (const model_event_t *a, const model_event_t *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static void
push (model_t *m, const model_event_t *event)
{
  uint32_t i = m->event_count++;

  g_assert_cmpuint (m->event_count, <, MODEL_EVENTS);
  m->events[i] = *event;
  m->events[i].order = m->order++;
  while (i > 0 && before (&m->events[i], &m->events[(i - 1) / 2]))
    {
      model_event_t swap = m->events[i];

      m->events[i] = m->events[(i - 1) / 2];
      i = (i - 1) / 2;
      m->events[i] = swap;
    }
}

static model_event_t
pop (model_t *m)
{
  model_event_t top = m->events[0];
  uint32_t i = 0;

  m->events[0] = m->events[--m->event_count];
  for (;;)
    {
      uint32_t least = i;

      for (uint32_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < m->event_count
            && before (&m->events[child], &m->events[least]))
          least = child;
      if (least == i)
        return top;
      model_event_t swap = m->events[i];
      m->events[i] = m->events[least];
      m->events[least] = swap;
      i = least;
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
        event.payload = payload_new (msg, message_size (msg));
        push (m, &event);
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
  else
    msg->u.ack.revision = revision;
}

static void
on_store_read (void *context)
{
  model_instance_t *instance = context;
  model_t *m = instance->model;
  uint32_t i = (uint32_t)(instance - m->instances);
  model_event_t event = { .kind = MODEL_READ,
                          .at = m->now + STORE_DELAY_MS,
                          .from = i,
                          .to = i,
                          .process = instance->process,
                          .sent = model_clock (m, i) };

  push (m, &event);
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  model_instance_t *instance = context;
  model_t *m = instance->model;
  uint32_t i = (uint32_t)(instance - m->instances);
  model_event_t event = { .kind = MODEL_PUT,
                          .at = m->now + STORE_DELAY_MS,
                          .from = i,
                          .to = i,
                          .process = instance->process,
                          .operation = operation,
                          .version = expected,
                          .payload = payload_new (record, sizeof *record) };

  push (m, &event);
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
on_import (void *context, uint32_t centre, uint32_t slice, decide_id_t from,
           const decide_handover_grant_t *grants, uint32_t count)
{
  model_instance_t *instance = context;

  (void)from;
  instance->imported[centre][slice]
      = instance->o->slices[centre][slice].from_incarnation;
  g_assert_cmpuint (count, ==, 1);
  g_assert_cmpuint (grants[0].grant, ==, centre * 100 + slice);
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
    payload_put (m->events[i].payload);
  for (uint32_t i = 0; i < m->held_count; i++)
    payload_put (m->held[i].payload);
  payload_put (m->record);
  g_free (m);
}

void
model_copy (model_t *to, const model_t *from)
{
  ownership_t *spare[MODEL_INSTANCES];

  for (uint32_t i = 0; i < MODEL_INSTANCES; i++)
    spare[i] = to->instances[i].o;
  for (uint32_t i = 0; i < to->event_count; i++)
    payload_put (to->events[i].payload);
  payload_put (to->record);
  for (uint32_t i = 0; i < to->held_count; i++)
    payload_put (to->held[i].payload);
  memcpy (to, from, offsetof (model_t, held));
  memcpy (to->held, from->held, from->held_count * sizeof from->held[0]);
  to->event_count = from->event_count;
  for (uint32_t i = 0; i < to->held_count; i++)
    payload_get (to->held[i].payload);
  memcpy (to->events, from->events,
          from->event_count * sizeof from->events[0]);
  for (uint32_t i = 0; i < to->event_count; i++)
    payload_get (to->events[i].payload);
  payload_get (to->record);
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
    (void)check (m);
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
          push (m, event);
        }
      else
        payload_put (event->payload);
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
store_read (model_t *m, model_event_t *event)
{
  model_instance_t *instance = &m->instances[event->to];

  event->kind = MODEL_READ_DONE;
  event->ok = !m->store_down && !instance->store_cut;
  event->at = m->now + (event->ok ? STORE_DELAY_MS : READ_TIMEOUT_MS);
  if (event->ok)
    {
      event->version = m->version;
      event->payload = payload_get (m->record);
    }
  push (m, event);
}

static void
store_put (model_t *m, model_event_t *event)
{
  model_instance_t *instance = &m->instances[event->to];
  model_payload_t *payload = event->payload;
  bool reached = !m->store_down && !instance->store_cut;
  bool answered = reached && !event->late;

  if (m->delay_put > 0 && !event->late)
    {
      model_event_t late = *event;

      late.at = m->now + m->delay_put;
      late.late = true;
      payload_get (payload);
      push (m, &late);
      m->delay_put = 0;
      reached = answered = false;
    }
  event->result = DECIDE_STORE_UNKNOWN;
  event->payload = NULL;
  m->puts += reached;
  if (reached && event->version == m->version)
    {
      payload_put (m->record);
      m->record = payload_get (payload);
      /* The payload belongs to this put alone until now.  */
      payload_record (m->record)->version = ++m->version;
      event->result = DECIDE_STORE_OK;
      event->version = m->version;
    }
  else if (reached)
    {
      m->conflicts++;
      event->result = DECIDE_STORE_CONFLICT;
      event->payload = payload_get (m->record);
    }
  payload_put (payload);
  if (event->late)
    {
      payload_put (event->payload);
      return;
    }
  if (answered && m->lose_put)
    {
      m->lose_put = answered = false;
      payload_put (event->payload);
      event->payload = NULL;
    }
  if (!answered)
    event->result = DECIDE_STORE_UNKNOWN;
  event->kind = MODEL_PUT_DONE;
  event->at = m->now + (answered ? STORE_DELAY_MS : STORE_TIMEOUT_MS);
  push (m, event);
}

static void
answer_read (model_instance_t *instance, const model_event_t *event)
{
  const model_t *m = instance->model;
  clock_ms_t now = model_clock (m, event->to);

  if (event->payload != NULL)
    g_assert_cmpint (
        ownership_record (instance->o, now, payload_record (event->payload)),
        !=, -EINVAL);
  ownership_store_synced (instance->o, now, event->sent, event->ok,
                          event->version > 0);
}

static void
answer_put (model_instance_t *instance, const model_event_t *event)
{
  clock_ms_t now = model_clock (instance->model, event->to);

  if (event->payload != NULL)
    (void)ownership_record (instance->o, now, payload_record (event->payload));
  ownership_put_done (instance->o, now, event->operation, event->result,
                      event->version);
}

static void
deliver_message (model_t *m, const model_event_t *event)
{
  model_instance_t *to = &m->instances[event->to];
  const decide_msg_t *msg = (const decide_msg_t *)event->payload->content;
  const decide_record_t *record = ownership_get_record (to->o);
  model_event_t pull = {
    .kind = MODEL_PULL, .at = m->now + 2, .from = event->to, .to = event->from
  };

  ownership_message (to->o, model_clock (m, event->to),
                     m->instances[event->from].id, msg);
  if (msg->type == DECIDE_MSG_HEARTBEAT
      && msg->u.heartbeat.revision > (record == NULL ? 0 : record->version)
      && !m->instances[event->from].zombie)
    push (m, &pull);
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
      store_read (m, event);
      return;
    }
  if (event->kind == MODEL_PUT)
    {
      store_put (m, event);
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
      payload_put (event->payload);
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
      answer.payload = payload_new (ownership_get_record (to->o),
                                    sizeof (decide_record_t));
      push (m, &answer);
      break;
    case MODEL_PUSH:
      (void)ownership_record (to->o, model_clock (m, event->to),
                              payload_record (event->payload));
      break;
    case MODEL_READ_DONE:
      answer_read (to, event);
      break;
    default:
      answer_put (to, event);
      break;
    }
  payload_put (event->payload);
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

/* Reports two instances that may grant in one slice; returns whether several
   with evidence hold one, so that the next millisecond is checked as well.  */
static bool
check (model_t *m)
{
  bool lease[MODEL_INSTANCES];
  bool several = false;

  for (uint32_t i = 0; i < m->count; i++)
    lease[i]
        = model_running (m, i)
          && ownership_lease_left (m->instances[i].o, model_clock (m, i)) > 0;
  for (uint32_t c = 0; c <= m->data_centres; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      {
        uint32_t holders[MODEL_INSTANCES];
        uint32_t count = 0;
        uint32_t granting = 0;

        for (uint32_t i = 0; i < m->count; i++)
          if (lease[i] && ownership_holds (m->instances[i].o, c, s))
            holders[count++] = i;
        if (count < 2)
          continue;
        several = true;
        for (uint32_t h = 0; h < count; h++)
          granting
              += ownership_may_grant (m->instances[holders[h]].o,
                                      model_clock (m, holders[h]), c, s, 0);
        if (granting < 2)
          continue;
        snprintf (m->violation, sizeof m->violation,
                  "%u instances may grant in slice %u of centre %u at %" PRId64
                  " ms, entry-%u and entry-%u among the holders",
                  granting, s, c, m->now, holders[0], holders[1]);
        return several;
      }
  return several;
}

/* A grant that another instance gave must have ended, unless it was handed
   over with the slice.  */
static void
check_grants (model_t *m)
{
  for (uint32_t c = 0; c <= m->data_centres; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      for (uint32_t i = 0; i < m->count; i++)
        {
          const model_instance_t *instance = &m->instances[i];
          uint64_t incarnation;

          if (!model_running (m, i)
              || !ownership_may_grant (instance->o, model_clock (m, i), c, s,
                                       MODEL_GRANT_MS))
            continue;
          incarnation = instance->o->incarnation;
          if (m->granted_until[c][s] > m->now
              && m->granted_by[c][s] != incarnation
              && m->granted_by[c][s] != instance->imported[c][s])
            snprintf (m->violation, sizeof m->violation,
                      "entry-%u may grant in slice %u of centre %u at %" PRId64
                      " ms, a grant by incarnation %" PRIu64 " is outstanding",
                      i, s, c, m->now, m->granted_by[c][s]);
          m->granted_by[c][s] = incarnation;
          m->granted_until[c][s]
              = m->now + MODEL_GRANT_MS * 10000 / (10000 + instance->rate);
        }
}

void
model_run (model_t *m, int64_t ms)
{
  int64_t end = m->now + ms;
  bool several = check (m);

  while (m->violation[0] == '\0')
    {
      int64_t due = next_due (m);

      if (several && due > m->now + 1)
        due = m->now + 1;
      if (due > end)
        break;
      if (due > m->now)
        m->now = due;
      while (m->event_count > 0 && m->events[0].at <= m->now)
        {
          model_event_t event = pop (m);

          deliver (m, &event);
        }
      for (uint32_t i = 0; i < m->count; i++)
        {
          model_instance_t *instance = &m->instances[i];

          if (!model_running (m, i))
            continue;
          if (instance->sync_at <= m->now)
            {
              instance->sync_at = m->now + DECIDE_STORE_SYNC_MS;
              on_store_read (instance);
            }
          if (instance->tick_at <= m->now)
            {
              clock_ms_t now = model_clock (m, i);
              clock_ms_t next = ownership_tick (instance->o, now);

              instance->tick_at = m->now + MAX (next - now, 1);
            }
        }
      several = check (m);
      if (m->check_grants)
        check_grants (m);
    }
  if (m->now < end)
    m->now = end;
}

uint32_t
model_served (const model_t *m)
{
  uint32_t served = 0;

  for (uint32_t c = 0; c <= m->data_centres; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      for (uint32_t i = 0; i < m->count; i++)
        served
            += model_running (m, i)
               && ownership_may_grant (m->instances[i].o, model_clock (m, i),
                                       c, s, MODEL_GRANT_MS);
  return served;
}

uint32_t
model_owned (const model_t *m, uint32_t i)
{
  ownership_status_t status;

  if (m->instances[i].o == NULL)
    return 0;
  ownership_get_status (m->instances[i].o, model_clock (m, i), &status);
  return status.slices_owned;
}

int64_t
model_settle (model_t *m, uint32_t served, int64_t limit)
{
  int64_t start = m->now;

  while (m->now - start <= limit && m->violation[0] == '\0')
    {
      if (model_served (m) == served)
        return m->now - start;
      model_run (m, 10);
    }
  return -1;
}
