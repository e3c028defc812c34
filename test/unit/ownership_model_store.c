#include "ownership_model.h"

#define STORE_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 500

void
model_store_read (model_t *m, model_event_t *event)
{
  model_instance_t *instance = &m->instances[event->to];

  event->kind = MODEL_READ_DONE;
  event->ok = !m->store_down && !instance->store_cut;
  event->at
      = m->now
        + (event->ok ? MODEL_STORE_DELAY_MS + m->read_delay : READ_TIMEOUT_MS);
  if (event->ok)
    {
      event->version = m->version;
      event->payload = model_payload_get (m->record);
    }
  model_push (m, event);
}

void
model_store_put (model_t *m, model_event_t *event)
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
      model_payload_get (payload);
      model_push (m, &late);
      m->delay_put = 0;
      reached = answered = false;
    }
  event->result = DECIDE_STORE_UNKNOWN;
  event->payload = NULL;
  m->puts += reached;
  if (reached && event->version == m->version)
    {
      model_payload_put (m->record);
      m->record = model_payload_new (model_payload_record (payload),
                                     sizeof (decide_record_t));
      model_payload_record (m->record)->version = ++m->version;
      event->result = DECIDE_STORE_OK;
      event->version = m->version;
    }
  else if (reached)
    {
      m->conflicts++;
      event->result = DECIDE_STORE_CONFLICT;
      event->payload = model_payload_get (m->record);
    }
  model_payload_put (payload);
  if (event->late)
    {
      model_payload_put (event->payload);
      return;
    }
  if (answered && m->lose_put)
    {
      m->lose_put = answered = false;
      model_payload_put (event->payload);
      event->payload = NULL;
    }
  if (!answered)
    event->result = DECIDE_STORE_UNKNOWN;
  event->kind = MODEL_PUT_DONE;
  event->at = m->now + (answered ? MODEL_STORE_DELAY_MS : STORE_TIMEOUT_MS);
  model_push (m, event);
}
