#include "wire.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Durations above 34 years are rejected, so that sums of them can't
   overflow.  */
#define DURATION_MAX_MS (INT64_C (1) << 40)
#define PRIORITY_MAX 7

static bool
is_valid_duration (int64_t ms)
{
  return ms >= -DURATION_MAX_MS && ms <= DURATION_MAX_MS;
}

static bool
is_valid_slice (uint32_t centre, uint32_t slice)
{
  return centre < DECIDE_DATA_CENTRES_MAX && slice < DECIDE_SLICES;
}

static bool
decode_heartbeat (const wire_heartbeat *from, decide_msg_heartbeat_t *to)
{
  if (from->state > DECIDE_MEMBER_LEAVING)
    return false;
  to->sequence = from->sequence;
  to->sent = from->sent;
  to->state = from->state;
  to->record_version = from->record_version;
  to->revision = from->revision;
  to->key_slices = from->key_slices;
  to->key_copies = from->key_copies;
  to->has_promise = from->promise != NULL;
  if (to->has_promise)
    to->promise = (decide_promise_t){ .sequence = from->promise->sequence,
                                      .sent = from->promise->sent };
  to->acting_count = from->acting.acting_len;
  for (uint32_t i = 0; i < to->acting_count; i++)
    {
      const wire_acting *acting = &from->acting.acting_val[i];

      if (!is_valid_slice (acting->centre, acting->slice))
        return false;
      to->acting[i] = (decide_delegated_slice_t){ .owner = acting->owner,
                                                  .owner_incarnation
                                                  = acting->owner_incarnation,
                                                  .centre = acting->centre,
                                                  .slice = acting->slice };
    }
  to->load_count = from->loads.loads_len;
  for (uint32_t i = 0; i < to->load_count; i++)
    {
      const wire_pool_load *load = &from->loads.loads_val[i];

      if (load->free > UINT16_MAX || load->queued > UINT16_MAX)
        return false;
      to->loads[i] = (decide_pool_load_t){ .pool = load->pool,
                                           .free = (uint16_t)load->free,
                                           .queued = (uint16_t)load->queued };
    }
  return true;
}

static bool
decode_handover (const wire_handover *from, decide_msg_handover_t *to)
{
  if (!is_valid_slice (from->centre, from->slice))
    return false;
  to->centre = from->centre;
  to->slice = from->slice;
  to->record_version = from->record_version;
  to->more = from->more != 0;
  to->grant_count = from->grants.grants_len;
  for (uint32_t i = 0; i < to->grant_count; i++)
    {
      const wire_handover_grant *grant = &from->grants.grants_val[i];

      if (!is_valid_duration (grant->left_ms))
        return false;
      to->grants[i] = (decide_handover_grant_t){ .grant = grant->grant,
                                                 .pool = grant->pool,
                                                 .endpoint = grant->endpoint,
                                                 .holder = grant->holder,
                                                 .left_ms = grant->left_ms };
    }
  to->limit_count = from->limits.limits_len;
  for (uint32_t i = 0; i < to->limit_count; i++)
    {
      const wire_handover_limit *limit = &from->limits.limits_val[i];

      to->limits[i]
          = (decide_handover_limit_t){ .pool = limit->pool,
                                       .endpoint = limit->endpoint,
                                       .identity = limit->identity,
                                       .limit = limit->limit,
                                       .latency_16 = limit->latency_16,
                                       .draining = limit->draining != 0 };
    }
  return true;
}

static int
decode_object (const wire_object *from, decide_msg_object_t *to)
{
  if (from->name[0] == '\0')
    return -EPROTO;
  to->previous = from->previous;
  to->version = from->object_version;
  to->revision = from->revision;
  to->deleted = from->deleted != 0;
  to->name = strdup (from->name);
  to->body = strdup (from->body);
  return to->name != NULL && to->body != NULL ? 0 : -ENOMEM;
}

static bool
decode_grant_request (const wire_request *from, decide_msg_grant_t *to)
{
  if (from->priority > PRIORITY_MAX)
    return false;
  *to = (decide_msg_grant_t){
    .request = from->request,
    .pool = from->pool,
    .priority = from->priority,
    .left_ms = from->left_ms,
    .run_ms = from->run_ms,
    .lend_ms = from->lend_ms,
  };
  return true;
}

static bool
decode_grant (const wire_grant *from, decide_msg_grant_t *to)
{
  if (from->priority > PRIORITY_MAX || from->free > UINT16_MAX
      || from->queued > UINT16_MAX)
    return false;
  *to = (decide_msg_grant_t){
    .request = from->request,
    .grant = from->grant,
    .pool = from->pool,
    .endpoint = from->endpoint,
    .priority = from->priority,
    .run_ms = from->run_ms,
    .lend_ms = from->lend_ms,
    .wait_ms = from->wait_ms,
    .free = (uint16_t)from->free,
    .queued = (uint16_t)from->queued,
  };
  return true;
}

static bool
decode_refusal (const wire_refusal *from, decide_msg_grant_t *to)
{
  if (from->reason > DECIDE_REASON_STOPPING || from->free > UINT16_MAX
      || from->queued > UINT16_MAX)
    return false;
  *to = (decide_msg_grant_t){
    .request = from->request,
    .pool = from->pool,
    .wait_ms = from->wait_ms,
    .reason = from->reason,
    .free = (uint16_t)from->free,
    .queued = (uint16_t)from->queued,
  };
  return true;
}

static bool
decode_attempt_end (const wire_end *from, decide_attempt_end_t *to)
{
  if (from->result > DECIDE_ATTEMPT_CLOSED)
    return false;
  to->result = from->result;
  to->latency_ms = from->latency_ms;
  to->status = from->status;
  to->retry_after_ms = from->retry_after_ms;
  if (from->load != NULL)
    to->load = (decide_load_t){
      .present = true,
      .in_flight = from->load->in_flight,
      .queued = from->load->queued,
      .slots = from->load->slots,
      .cold = from->load->cold != 0,
      .draining = from->load->draining != 0,
      .identity = from->load->identity,
    };
  return true;
}

static bool
decode_release (const wire_release *from, decide_msg_release_t *to)
{
  u_int count = from->ends.ends_len;

  if (count == 0)
    return false;
  to->grant = from->grant;
  to->pool = from->pool;
  to->keep = from->keep != 0;
  to->earlier_count = count - 1;
  for (u_int i = 0; i < count - 1; i++)
    if (!decode_attempt_end (&from->ends.ends_val[i], &to->earlier[i]))
      return false;
  return decode_attempt_end (&from->ends.ends_val[count - 1], &to->end);
}

/* The lengths need no check, because the XDR routines have refused those above
   the limits in peer.x.  */
static void
decode_response (const wire_answer *from, decide_response_t *to)
{
  to->status = from->status;
  memcpy (to->content_type, from->content_type,
          strlen (from->content_type) + 1);
  to->length = from->body.body_len;
  if (to->length > 0)
    memcpy (to->body, from->body.body_val, to->length);
}

static bool
decode_key (const wire_key *from, decide_msg_key_t *to)
{
  if (!is_valid_slice (from->centre, from->slice)
      || from->status > DECIDE_KEY_FULL
      || from->state > DECIDE_KEY_STATE_NOT_RUN
      || !is_valid_duration (from->left_ms)
      || !is_valid_duration (from->retention_ms)
      || !is_valid_duration (from->running_ms)
      || !is_valid_duration (from->moved_ms))
    return false;
  to->request = from->request;
  to->centre = from->centre;
  to->slice = from->slice;
  to->record_version = from->record_version;
  to->key.hash[0] = from->hash[0];
  to->key.hash[1] = from->hash[1];
  to->key.body = from->body;
  to->left_ms = from->left_ms;
  to->retention_ms = from->retention_ms;
  to->status = from->status;
  to->state = from->state;
  to->more = from->more != 0;
  to->empty = from->empty != 0;
  to->runner = from->runner;
  to->round = from->round;
  to->after = from->after;
  to->copies = from->copies;
  to->authoritative = from->authoritative;
  to->running_ms = from->running_ms;
  to->service = from->service;
  to->moved_ms = from->moved_ms;
  to->has_answer = from->answer != NULL;
  if (to->has_answer)
    decode_response (from->answer, &to->answer);
  return true;
}

static int
decode_body (const wire_body *body, decide_msg_t *msg)
{
  switch (body->type)
    {
    case WIRE_HEARTBEAT:
      return decode_heartbeat (&body->wire_body_u.heartbeat, &msg->u.heartbeat)
                 ? 0
                 : -EPROTO;
    case WIRE_HEARTBEAT_ACK:
      msg->u.ack = (decide_msg_heartbeat_ack_t){
        .sequence = body->wire_body_u.ack.sequence,
        .sent = body->wire_body_u.ack.sent,
        .record_version = body->wire_body_u.ack.record_version,
        .revision = body->wire_body_u.ack.revision,
        .promised = body->wire_body_u.ack.promised != 0,
        .supported_against = body->wire_body_u.ack.supported_against != 0,
      };
      return 0;
    case WIRE_SUPPORT_REQUEST:
    case WIRE_SUPPORT_REPLY:
      msg->u.support = (decide_msg_support_t){
        .record_version = body->wire_body_u.support.record_version,
        .owner = body->wire_body_u.support.owner,
        .owner_incarnation = body->wire_body_u.support.owner_incarnation,
        .term = body->wire_body_u.support.term,
        .granted = body->wire_body_u.support.granted != 0,
      };
      return 0;
    case WIRE_HANDOVER:
    case WIRE_HANDOVER_ACK:
      return decode_handover (&body->wire_body_u.handover, &msg->u.handover)
                 ? 0
                 : -EPROTO;
    case WIRE_OBJECT_PULL:
      msg->u.pull_since = body->wire_body_u.pull_since;
      return 0;
    case WIRE_OBJECT_PUSH:
      return decode_object (&body->wire_body_u.object, &msg->u.object);
    case WIRE_GRANT_REQUEST:
      return decode_grant_request (&body->wire_body_u.request, &msg->u.grant)
                 ? 0
                 : -EPROTO;
    case WIRE_GRANT:
      return decode_grant (&body->wire_body_u.grant, &msg->u.grant) ? 0
                                                                    : -EPROTO;
    case WIRE_QUEUED:
    case WIRE_REFUSED:
      return decode_refusal (&body->wire_body_u.refusal, &msg->u.grant)
                 ? 0
                 : -EPROTO;
    case WIRE_RECALL:
    case WIRE_GRANT_CANCEL:
      msg->u.grant = (decide_msg_grant_t){
        .request = body->wire_body_u.reference.request,
        .grant = body->wire_body_u.reference.grant,
        .pool = body->wire_body_u.reference.pool,
      };
      return 0;
    case WIRE_RELEASE:
      return decode_release (&body->wire_body_u.release, &msg->u.release)
                 ? 0
                 : -EPROTO;
    case WIRE_KEY_CLAIM:
    case WIRE_KEY_CLAIM_REPLY:
    case WIRE_KEY_COPY:
    case WIRE_KEY_COPY_ACK:
    case WIRE_KEY_OUTCOME:
    case WIRE_KEY_COLLECT:
    case WIRE_KEY_COLLECT_REPLY:
      return decode_key (&body->wire_body_u.key, &msg->u.key) ? 0 : -EPROTO;
    default:
      return -EPROTO;
    }
}

int
peer_decode (const wire_message *wire, decide_msg_t **msg)
{
  decide_msg_t *decoded = calloc (1, sizeof *decoded);
  int err;

  if (decoded == NULL)
    return -ENOMEM;
  decoded->type = wire->body.type;
  decoded->incarnation = wire->incarnation;
  err = decode_body (&wire->body, decoded);
  if (err != 0)
    {
      peer_msg_free (decoded);
      return err;
    }
  *msg = decoded;
  return 0;
}
