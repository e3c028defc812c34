#include "ownership_model.h"

#include <stdalign.h>
#include <stddef.h>
#include <string.h>

/* A message or a record, see model_payload_new().  */
struct model_payload
{
  uint32_t references; /* number of references */
  alignas (max_align_t) unsigned char content[];
};

static bool is_before (const model_event_t *a, const model_event_t *b);

model_payload_t *
model_payload_new (const void *content, size_t size)
{
  model_payload_t *payload = g_malloc0 (sizeof (model_payload_t) + size);

  payload->references = 1;
  memcpy (payload->content, content, size);
  return payload;
}

decide_record_t *
model_payload_record (model_payload_t *payload)
{
  return (decide_record_t *)payload->content;
}

model_payload_t *
model_payload_ref (model_payload_t *payload)
{
  if (payload != NULL)
    payload->references++;
  return payload;
}

void
model_payload_unref (model_payload_t *payload)
{
  if (payload != NULL && --payload->references == 0)
    g_free (payload);
}

static bool
is_before (const model_event_t *a, const model_event_t *b)
{
  return a->due_at < b->due_at
         || (a->due_at == b->due_at && a->sequence < b->sequence);
}

void
model_push_event (model_t *model, const model_event_t *event)
{
  uint32_t i = model->event_count++;

  g_assert_cmpuint (model->event_count, <, MODEL_EVENTS_MAX);
  model->events[i] = *event;
  model->events[i].sequence = model->sequence++;
  while (i > 0 && is_before (&model->events[i], &model->events[(i - 1) / 2]))
    {
      model_event_t swap = model->events[i];

      model->events[i] = model->events[(i - 1) / 2];
      i = (i - 1) / 2;
      model->events[i] = swap;
    }
}

model_event_t
model_pop_event (model_t *model)
{
  model_event_t top = model->events[0];
  uint32_t i = 0;

  model->events[0] = model->events[--model->event_count];
  for (;;)
    {
      uint32_t earliest = i;

      for (uint32_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < model->event_count
            && is_before (&model->events[child], &model->events[earliest]))
          earliest = child;
      if (earliest == i)
        return top;
      model_event_t swap = model->events[i];
      model->events[i] = model->events[earliest];
      model->events[earliest] = swap;
      i = earliest;
    }
}

const decide_msg_t *
model_payload_msg (const model_payload_t *payload)
{
  return (const decide_msg_t *)payload->content;
}
