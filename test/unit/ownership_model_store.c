#include "ownership_model.h"

/* Time after which an instance is told that the result of its put is
   unknown.  */
#define PUT_TIMEOUT_MS 1000
/* Time after which an instance is told that its read has failed.  */
#define READ_TIMEOUT_MS 500

void
model_store_handle_read (model_t *model, model_event_t *event)
{
  model_instance_t *instance = &model->instances[event->to];

  event->kind = MODEL_EVENT_STORE_READ_RESULT;
  event->ok = !model->store_down && !instance->store_link_down;
  event->due_at = model->now
                  + (event->ok ? MODEL_STORE_DELAY_MS + model->read_delay_ms
                               : READ_TIMEOUT_MS);
  if (event->ok)
    {
      event->version = model->version;
      event->payload = model_payload_ref (model->record);
    }
  model_push_event (model, event);
}

void
model_store_handle_put (model_t *model, model_event_t *event)
{
  model_instance_t *instance = &model->instances[event->to];
  model_payload_t *payload = event->payload;
  bool has_arrived = !model->store_down && !instance->store_link_down;
  bool has_result = has_arrived && !event->delayed;

  if (model->put_delay_ms > 0 && !event->delayed)
    {
      /* The put arrives later than PUT_TIMEOUT_MS, after which the instance is
         told that the result is unknown.  */
      model_event_t delayed_put = *event;

      delayed_put.due_at = model->now + model->put_delay_ms;
      delayed_put.delayed = true;
      model_payload_ref (payload);
      model_push_event (model, &delayed_put);
      model->put_delay_ms = 0;
      has_arrived = has_result = false;
    }
  event->result = DECIDE_STORE_UNKNOWN;
  event->payload = NULL;
  model->put_count += has_arrived;
  if (has_arrived && event->version == model->version)
    {
      model_payload_unref (model->record);
      model->record = model_payload_new (model_payload_record (payload),
                                         sizeof (decide_record_t));
      model_payload_record (model->record)->version = ++model->version;
      event->result = DECIDE_STORE_OK;
      event->version = model->version;
    }
  else if (has_arrived)
    {
      model->conflict_count++;
      event->result = DECIDE_STORE_CONFLICT;
      event->payload = model_payload_ref (model->record);
    }
  model_payload_unref (payload);
  if (event->delayed)
    {
      model_payload_unref (event->payload);
      return;
    }
  if (has_result && model->lose_put_result)
    {
      model->lose_put_result = has_result = false;
      model_payload_unref (event->payload);
      event->payload = NULL;
    }
  if (!has_result)
    event->result = DECIDE_STORE_UNKNOWN;
  event->kind = MODEL_EVENT_STORE_PUT_RESULT;
  event->due_at
      = model->now + (has_result ? MODEL_STORE_DELAY_MS : PUT_TIMEOUT_MS);
  model_push_event (model, event);
}
