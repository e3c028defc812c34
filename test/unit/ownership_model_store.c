#include "ownership_model.h"

/* Times after which an instance is told that its request has failed.  */
#define PUT_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 500

void
model_store_handle_read (model_t *m, model_event_t *event)
{
  model_instance_t *instance = &m->instances[event->to];

  event->kind = MODEL_EVENT_STORE_READ_RESULT;
  event->ok = !m->store_down && !instance->store_link_down;
  event->due_at = m->now
                  + (event->ok ? MODEL_STORE_DELAY_MS + m->read_delay_ms
                               : READ_TIMEOUT_MS);
  if (event->ok)
    {
      event->version = m->version;
      event->payload = model_payload_ref (m->record);
    }
  model_push_event (m, event);
}

void
model_store_handle_put (model_t *m, model_event_t *event)
{
  model_instance_t *instance = &m->instances[event->to];
  model_payload_t *payload = event->payload;
  bool has_arrived = !m->store_down && !instance->store_link_down;
  bool has_result = has_arrived && !event->delayed;

  if (m->put_delay_ms > 0 && !event->delayed)
    {
      /* The put arrives later; the instance is told of a timeout.  */
      model_event_t delayed_put = *event;

      delayed_put.due_at = m->now + m->put_delay_ms;
      delayed_put.delayed = true;
      model_payload_ref (payload);
      model_push_event (m, &delayed_put);
      m->put_delay_ms = 0;
      has_arrived = has_result = false;
    }
  event->result = DECIDE_STORE_UNKNOWN;
  event->payload = NULL;
  m->put_count += has_arrived;
  if (has_arrived && event->version == m->version)
    {
      model_payload_unref (m->record);
      m->record = model_payload_new (model_payload_record (payload),
                                     sizeof (decide_record_t));
      model_payload_record (m->record)->version = ++m->version;
      event->result = DECIDE_STORE_OK;
      event->version = m->version;
    }
  else if (has_arrived)
    {
      m->conflict_count++;
      event->result = DECIDE_STORE_CONFLICT;
      event->payload = model_payload_ref (m->record);
    }
  model_payload_unref (payload);
  if (event->delayed)
    {
      model_payload_unref (event->payload);
      return;
    }
  if (has_result && m->lose_put_result)
    {
      m->lose_put_result = has_result = false;
      model_payload_unref (event->payload);
      event->payload = NULL;
    }
  if (!has_result)
    event->result = DECIDE_STORE_UNKNOWN;
  event->kind = MODEL_EVENT_STORE_PUT_RESULT;
  event->due_at
      = m->now + (has_result ? MODEL_STORE_DELAY_MS : PUT_TIMEOUT_MS);
  model_push_event (m, event);
}
