#include "wire.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

_Static_assert((int)WIRE_HEARTBEAT == (int)DECIDE_MSG_HEARTBEAT
                   && (int)WIRE_OBJECT_PUSH == (int)DECIDE_MSG_OBJECT_PUSH
                   && (int)WIRE_RELEASE == (int)DECIDE_MSG_RELEASE
                   && (int)WIRE_KEY_CLAIM == (int)DECIDE_MSG_KEY_CLAIM
                   && (int)WIRE_KEY_COLLECT_REPLY
                          == (int)DECIDE_MSG_KEY_COLLECT_REPLY,
               "message types of peer.x and decide.h differ");
_Static_assert(WIRE_LIMITS_MAX == DECIDE_HANDOVER_LIMITS_MAX,
               "WIRE_LIMITS_MAX of peer.x differs from decide.h");
_Static_assert(WIRE_SLICES == DECIDE_SLICES
                   && WIRE_LOADS_MAX == DECIDE_LOADS_MAX
                   && WIRE_GRANTS_MAX == DECIDE_HANDOVER_GRANTS_MAX
                   && WIRE_ENDS_MAX == DECIDE_RELEASE_ENDS_MAX
                   && WIRE_ANSWER_MAX == DECIDE_RESPONSE_MAX_BYTES
                   && WIRE_TYPE_MAX + 1 == DECIDE_NAME_MAX
                   && WIRE_BATCH_MAX == PEER_BATCH_MAX_MESSAGES,
               "limits of peer.x and decide.h differ");

static int
encode_heartbeat (const decide_msg_heartbeat_t *from, wire_heartbeat *to)
{
  to->sequence = from->sequence;
  to->sent = from->sent;
  to->state = from->state;
  to->record_version = from->record_version;
  to->revision = from->revision;
  to->key_slices = from->key_slices;
  to->key_copies = from->key_copies;
  if (from->has_promise)
    {
      to->promise = malloc (sizeof *to->promise);
      if (to->promise == NULL)
        return -ENOMEM;
      *to->promise = (wire_promise){ .sequence = from->promise.sequence,
                                     .sent = from->promise.sent };
    }
  /* The arrays have one entry more than needed, because calloc() with a count
     of 0 may return NULL.  */
  to->acting.acting_val
      = calloc (from->acting_count + 1, sizeof *to->acting.acting_val);
  to->loads.loads_val
      = calloc (from->load_count + 1, sizeof *to->loads.loads_val);
  if (to->acting.acting_val == NULL || to->loads.loads_val == NULL)
    return -ENOMEM;
  to->acting.acting_len = from->acting_count;
  for (uint32_t i = 0; i < from->acting_count; i++)
    to->acting.acting_val[i] = (wire_acting){
      .owner = from->acting[i].owner,
      .owner_incarnation = from->acting[i].owner_incarnation,
      .centre = from->acting[i].centre,
      .slice = from->acting[i].slice,
    };
  to->loads.loads_len = from->load_count;
  for (uint32_t i = 0; i < from->load_count; i++)
    to->loads.loads_val[i] = (wire_pool_load){
      .pool = from->loads[i].pool,
      .free = from->loads[i].free,
      .queued = from->loads[i].queued,
    };
  return 0;
}

static int
encode_handover (const decide_msg_handover_t *from, wire_handover *to)
{
  to->centre = from->centre;
  to->slice = from->slice;
  to->record_version = from->record_version;
  to->more = from->more;
  to->grants.grants_val
      = calloc (from->grant_count + 1, sizeof *to->grants.grants_val);
  to->limits.limits_val
      = calloc (from->limit_count + 1, sizeof *to->limits.limits_val);
  if (to->grants.grants_val == NULL || to->limits.limits_val == NULL)
    return -ENOMEM;
  to->limits.limits_len = from->limit_count;
  for (uint32_t i = 0; i < from->limit_count; i++)
    to->limits.limits_val[i] = (wire_handover_limit){
      .pool = from->limits[i].pool,
      .endpoint = from->limits[i].endpoint,
      .identity = from->limits[i].identity,
      .limit = from->limits[i].limit,
      .latency_16 = from->limits[i].latency_16,
      .draining = from->limits[i].draining,
    };
  to->grants.grants_len = from->grant_count;
  for (uint32_t i = 0; i < from->grant_count; i++)
    to->grants.grants_val[i] = (wire_handover_grant){
      .grant = from->grants[i].grant,
      .pool = from->grants[i].pool,
      .endpoint = from->grants[i].endpoint,
      .holder = from->grants[i].holder,
      .left_ms = from->grants[i].left_ms,
    };
  return 0;
}

static int
encode_object (const decide_msg_object_t *from, wire_object *to)
{
  to->previous = from->previous;
  to->object_version = from->version;
  to->revision = from->revision;
  to->deleted = from->deleted;
  to->name = strdup (from->name);
  to->body = strdup (from->body != NULL ? from->body : "");
  return to->name != NULL && to->body != NULL ? 0 : -ENOMEM;
}

/* Clamps a duration to the 32 bits of its field in the message.  Shortening is
   safe: a grant ends earlier or a request is refused sooner, never later.  */
static int
clamp_ms (clock_ms_t ms)
{
  if (ms > INT32_MAX)
    return INT32_MAX;
  return ms < -INT32_MAX ? -INT32_MAX : (int)ms;
}

static void
encode_grant (decide_msg_type_t type, const decide_msg_grant_t *from,
              wire_body *to)
{
  switch (type)
    {
    case DECIDE_MSG_GRANT_REQUEST:
      to->wire_body_u.request = (wire_request){
        .request = from->request,
        .pool = from->pool,
        .priority = from->priority,
        .left_ms = clamp_ms (from->left_ms),
        .run_ms = clamp_ms (from->run_ms),
        .lend_ms = clamp_ms (from->lend_ms),
      };
      break;
    case DECIDE_MSG_GRANT:
      to->wire_body_u.grant = (wire_grant){
        .request = from->request,
        .grant = from->grant,
        .pool = from->pool,
        .endpoint = from->endpoint,
        .priority = from->priority,
        .run_ms = clamp_ms (from->run_ms),
        .lend_ms = clamp_ms (from->lend_ms),
        .wait_ms = clamp_ms (from->wait_ms),
        .free = from->free,
        .queued = from->queued,
      };
      break;
    case DECIDE_MSG_QUEUED:
    case DECIDE_MSG_REFUSED:
      to->wire_body_u.refusal = (wire_refusal){
        .request = from->request,
        .pool = from->pool,
        .wait_ms = clamp_ms (from->wait_ms),
        .reason = from->reason,
        .free = from->free,
        .queued = from->queued,
      };
      break;
    default:
      to->wire_body_u.reference = (wire_reference){
        .request = from->request,
        .grant = from->grant,
        .pool = from->pool,
      };
      break;
    }
}

static int
encode_attempt_end (const decide_attempt_end_t *from, wire_end *to)
{
  const decide_load_t *load = &from->load;

  *to = (wire_end){
    .result = from->result,
    .latency_ms = clamp_ms (from->latency_ms),
    .status = from->status,
    .retry_after_ms = clamp_ms (from->retry_after_ms),
  };
  if (!load->present)
    return 0;
  to->load = malloc (sizeof *to->load);
  if (to->load == NULL)
    return -ENOMEM;
  *to->load = (wire_load){
    .in_flight = load->in_flight,
    .queued = load->queued,
    .slots = load->slots,
    .cold = load->cold,
    .draining = load->draining,
    .identity = load->identity,
  };
  return 0;
}

/* Encodes the results of all uses of the grant in the order in which they
   ended; the latest is the last.  */
static int
encode_release (const decide_msg_release_t *from, wire_release *to)
{
  u_int count = from->earlier_count;

  to->grant = from->grant;
  to->pool = from->pool;
  to->keep = from->keep;
  to->ends.ends_val = calloc (count + 1, sizeof *to->ends.ends_val);
  if (to->ends.ends_val == NULL)
    return -ENOMEM;
  to->ends.ends_len = count + 1;
  for (u_int i = 0; i < count; i++)
    if (encode_attempt_end (&from->earlier[i], &to->ends.ends_val[i]) != 0)
      return -ENOMEM;
  return encode_attempt_end (&from->end, &to->ends.ends_val[count]);
}

static int
encode_response (const decide_response_t *from, wire_key *to)
{
  wire_answer *answer = calloc (1, sizeof *answer);

  to->answer = answer;
  if (answer == NULL)
    return -ENOMEM;
  answer->status = from->status;
  answer->content_type = strdup (from->content_type);
  answer->body.body_val = malloc (from->length + 1);
  if (answer->content_type == NULL || answer->body.body_val == NULL)
    return -ENOMEM;
  memcpy (answer->body.body_val, from->body, from->length);
  answer->body.body_len = from->length;
  return 0;
}

static int
encode_key (const decide_msg_key_t *from, wire_key *to)
{
  *to = (wire_key){
    .request = from->request,
    .centre = from->centre,
    .slice = from->slice,
    .record_version = from->record_version,
    .hash = { from->key.hash[0], from->key.hash[1] },
    .body = from->key.body,
    .left_ms = from->left_ms,
    .retention_ms = from->retention_ms,
    .status = from->status,
    .state = from->state,
    .more = from->more,
    .empty = from->empty,
    .runner = from->runner,
    .round = from->round,
    .after = from->after,
    .copies = from->copies,
    .authoritative = from->authoritative,
    .running_ms = from->running_ms,
    .service = from->service,
    .moved_ms = from->moved_ms,
  };
  return from->has_answer ? encode_response (&from->answer, to) : 0;
}

static int
encode_body (const decide_msg_t *msg, wire_body *body)
{
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      return encode_heartbeat (&msg->u.heartbeat,
                               &body->wire_body_u.heartbeat);
    case DECIDE_MSG_HEARTBEAT_ACK:
      body->wire_body_u.ack = (wire_heartbeat_ack){
        .sequence = msg->u.ack.sequence,
        .sent = msg->u.ack.sent,
        .record_version = msg->u.ack.record_version,
        .revision = msg->u.ack.revision,
        .promised = msg->u.ack.promised,
        .supported_against = msg->u.ack.supported_against,
      };
      return 0;
    case DECIDE_MSG_SUPPORT_REQUEST:
    case DECIDE_MSG_SUPPORT_REPLY:
      body->wire_body_u.support = (wire_support){
        .record_version = msg->u.support.record_version,
        .owner = msg->u.support.owner,
        .owner_incarnation = msg->u.support.owner_incarnation,
        .term = msg->u.support.term,
        .granted = msg->u.support.granted,
      };
      return 0;
    case DECIDE_MSG_HANDOVER:
    case DECIDE_MSG_HANDOVER_ACK:
      return encode_handover (&msg->u.handover, &body->wire_body_u.handover);
    case DECIDE_MSG_OBJECT_PULL:
      body->wire_body_u.pull_since = msg->u.pull_since;
      return 0;
    case DECIDE_MSG_OBJECT_PUSH:
      return encode_object (&msg->u.object, &body->wire_body_u.object);
    case DECIDE_MSG_GRANT_REQUEST:
    case DECIDE_MSG_GRANT:
    case DECIDE_MSG_QUEUED:
    case DECIDE_MSG_REFUSED:
    case DECIDE_MSG_RECALL:
    case DECIDE_MSG_GRANT_CANCEL:
      encode_grant (msg->type, &msg->u.grant, body);
      return 0;
    case DECIDE_MSG_RELEASE:
      return encode_release (&msg->u.release, &body->wire_body_u.release);
    default:
      return encode_key (&msg->u.key, &body->wire_body_u.key);
    }
}

int
peer_encode (const decide_msg_t *msg, wire_message *wire)
{
  int err;

  memset (wire, 0, sizeof *wire);
  wire->incarnation = msg->incarnation;
  wire->body.type = msg->type;
  err = encode_body (msg, &wire->body);
  if (err != 0)
    xdr_free ((xdrproc_t)xdr_wire_message, wire);
  return err;
}
