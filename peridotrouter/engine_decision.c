#include "engine_state.h"

#include <stdlib.h>

request_t *
engine_find_request (engine_t *engine, uint64_t id)
{
  return g_hash_table_lookup (engine->requests, &id);
}

void
engine_end_request (engine_t *engine, uint64_t id)
{
  g_hash_table_remove (engine->requests, &id);
}

void
engine_on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  engine_t *engine = context;

  record_send (engine->record, instance, msg);
  links_send (engine->links, instance, msg);
}

void
engine_on_forward (void *context, const decide_forward_t *decided)
{
  engine_t *engine = context;
  request_t *request = engine_find_request (engine, decided->request);
  forward_t *forward = calloc (1, sizeof *forward);
  attempt_t *attempt = g_new (attempt_t, 1);

  record_forward (engine->record, decided);
  if (forward == NULL || request == NULL)
    g_error ("cannot start an attempt: unknown request or out of memory");
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
    request_post_decision (request, DECISION_FORWARD, forward);
}

void
engine_on_cancel_attempt (void *context, uint64_t id)
{
  engine_t *engine = context;
  const attempt_t *attempt = g_hash_table_lookup (engine->attempts, &id);
  request_t *request = attempt == NULL
                           ? NULL
                           : engine_find_request (engine, attempt->request);

  record_cancel_attempt (engine->record, id);
  if (request != NULL)
    atomic_store (&request->cancelled, id);
}

void
engine_on_refuse (void *context, const decide_refusal_t *refusal)
{
  engine_t *engine = context;
  request_t *request = engine_find_request (engine, refusal->request);

  record_refusal (engine->record, refusal);
  if (request == NULL)
    return;
  request->refusal = *refusal;
  if (refusal->reason == DECIDE_REASON_OTHER_GROUP)
    engine_set_request_addresses (engine, request);
  telemetry_counter_increment (TELEMETRY_REFUSED, refusal->reason);
  request_post_decision (request, DECISION_REFUSE, NULL);
  engine_end_request (engine, refusal->request);
}

void
engine_on_replay (void *context, uint64_t id,
                  const decide_response_t *response)
{
  engine_t *engine = context;
  request_t *request = engine_find_request (engine, id);

  record_replay (engine->record, id, response);
  if (request == NULL)
    return;
  request->replay = *response;
  telemetry_counter_increment (TELEMETRY_REPLAYS, 0);
  request_post_decision (request, DECISION_REPLAY, NULL);
  engine_end_request (engine, id);
}

void
engine_on_store_sync (void *context, uint64_t since)
{
  engine_t *engine = context;

  record_store_sync (engine->record, since);
  storage_sync (engine->storage, since);
}

void
engine_on_store_put (void *context, uint64_t operation, uint64_t expected,
                     const decide_record_t *record)
{
  engine_t *engine = context;

  record_store_put (engine->record, operation, expected, record);
  storage_put_record (engine->storage, operation, expected, record);
}

void
engine_on_probe (void *context, endpoint_handle_t endpoint,
                 const decide_endpoint_t *target)
{
  engine_t *engine = context;

  record_probe (engine->record, endpoint);
  probes_enqueue (engine->probes, endpoint, target->address);
}
