/* Limits that endpoints state: instances tell each other of them, and ask the
   keeper of an endpoint, one of the instances, for permits to send requests to
   it.  */

#include "relay_private.h"

#include <arpa/inet.h>
#include <string.h>

#include "telemetry.h"

/* Time for which a change of a limit is told to others with precedence.  It is
   repeated in that time, because datagrams may be lost.  */
#define CHANGE_TOLD_MS 1500
/* A keeper that is asked although, as far as it knows, it is not the keeper
   lets the other instance ask again after this time, in which both should have
   learnt of the same instances.  */
#define NOT_KEEPER_RETRY_MS 100

static bool append_limit (GArray *limits, const backend_t *backend,
                          size_t *bytes_left, clock_ms_t now);
static bool is_recent (const backend_t *backend, bool only_own,
                       clock_ms_t now);

/* Appends a limit unless it takes more than @bytes_left, and subtracts its
   length.  Return: whether there was room.  */
static bool
append_limit (GArray *limits, const backend_t *backend, size_t *bytes_left,
              clock_ms_t now)
{
  fleet_wire_limit wire;
  size_t size;

  wire_from_limit (&wire, backend, now);
  size = xdr_sizeof ((xdrproc_t)xdr_fleet_wire_limit, &wire);
  if (limits->len == FLEET_LIMITS_MAX || size > *bytes_left)
    return false;
  *bytes_left -= size;
  g_array_append_val (limits, wire);
  return true;
}

/* Whether an endpoint has stated something new lately.  @only_own: in
   responses to this instance.  */
static bool
is_recent (const backend_t *backend, bool only_own, clock_ms_t now)
{
  const rate_limit_t *limit = &backend->rate_limit;

  if (limit->changed_at != 0 && now - limit->changed_at <= CHANGE_TOLD_MS
      && (!only_own || limit->is_own))
    return true;
  return backend->says_leaving
         && now - backend->leaving_learnt_at <= CHANGE_TOLD_MS
         && (!only_own || backend->leaving_is_own);
}

GArray *
relay_collect_limits (relay_t *relay, bool only_own, size_t bytes_max,
                      clock_ms_t now)
{
  backends_t *backends = relay->view->backends;
  GArray *limits = g_array_new (FALSE, FALSE, sizeof (fleet_wire_limit));
  uint32_t position = 0;
  bool has_room = true;

  for (const backend_t *backend = backends_next (backends, &position);
       backend != NULL && has_room;
       backend = backends_next (backends, &position))
    if (is_recent (backend, only_own, now))
      has_room = append_limit (limits, backend, &bytes_max, now);
  if (only_own)
    return limits;
  /* The others follow in turn, for instances that have missed them.  */
  position = relay->limits_position;
  for (const backend_t *backend = backends_next (backends, &position);
       has_room && backend != NULL;
       backend = backends_next (backends, &position))
    {
      if ((backend->rate_limit.statement.is_limited || backend->says_leaving)
          && !is_recent (backend, false, now))
        has_room = append_limit (limits, backend, &bytes_max, now);
      if (has_room)
        relay->limits_position = position;
    }
  if (has_room)
    relay->limits_position = 0;
  return limits;
}

void
relay_handle_limits (relay_t *relay, const fleet_wire_limit *limits,
                     u_int count, clock_ms_t now)
{
  bool changed = false;

  for (u_int i = 0; i < count; i++)
    changed |= wire_apply_limit (&limits[i], relay->view->backends, now);
  if (changed)
    {
      relay_serve_drop_cached (relay);
      relay_schedule_announcement (relay);
    }
}

void
relay_tell_limits (relay_t *relay)
{
  clock_ms_t now = clock_now ();
  const member_t *reader = NULL;

  relay_serve_drop_cached (relay);
  relay_schedule_announcement (relay);
  if (relay->reader->has_heard_reader)
    reader = members_find (relay->members, relay->reader->last_reader);
  if (relay->reader->is_reader || reader == NULL
      || now - relay->hello_sent_at < RELAY_HELLO_MIN_INTERVAL_MS)
    return;
  relay->hello_sent_at = now;
  relay_send_hello (relay, reader->ip);
}

void
relay_send_message (relay_t *relay, uint32_t ip, fleet_wire_message *message)
{
  char data[RELAY_DATAGRAM_MAX_BYTES];
  size_t length = relay_encode_message (relay, message, data, sizeof data);

  if (length > 0)
    relay_send_to (relay, ip, data, length);
}

void
relay_ask_permit (relay_t *relay, backend_t *backend, clock_ms_t wait_max)
{
  clock_ms_t now = clock_now ();
  clock_ms_t asked_at = backend->rate_limit.asked_at;
  const member_t *keeper
      = relay_find_keeper (relay->members, backend->entry.id);
  fleet_wire_message message = { .body.type = FLEET_PERMIT_ASK };
  fleet_wire_permit_ask *wire = &message.body.fleet_wire_body_u.permit_ask;

  if (keeper == NULL)
    return;
  telemetry_counter_increment (TELEMETRY_PERMITS, 0);
  if (keeper == relay->members->own)
    {
      rate_limit_reply_t reply
          = rate_limit_issue (&backend->rate_limit, wait_max, now);

      telemetry_counter_increment (TELEMETRY_PERMITS, reply.is_issued ? 1 : 2);
      rate_limit_handle_reply (&backend->rate_limit, &reply, asked_at, now);
      return;
    }
  wire_from_limit (&wire->limit, backend, now);
  wire->asked_at = asked_at;
  wire->wait_max = (u_int)MAX (wait_max, 0);
  wire->asker = ntohl (relay->members->own->ip);
  relay_send_message (relay, keeper->ip, &message);
}

void
relay_handle_permit_ask (relay_t *relay, const fleet_wire_permit_ask *wire,
                         clock_ms_t now)
{
  backend_t *backend = backends_find (relay->view->backends, wire->limit.id);
  fleet_wire_message message = { .body.type = FLEET_PERMIT_REPLY };
  fleet_wire_permit_reply *reply
      = &message.body.fleet_wire_body_u.permit_reply;

  reply->id = wire->limit.id;
  reply->asked_at = wire->asked_at;
  reply->wait = NOT_KEEPER_RETRY_MS;
  relay_handle_limits (relay, &wire->limit, 1, now);
  if (backend != NULL
      && relay_find_keeper (relay->members, wire->limit.id)
             == relay->members->own)
    {
      rate_limit_reply_t issued = rate_limit_issue (
          &backend->rate_limit, MIN (wire->wait_max, INT32_MAX), now);

      reply->is_issued = issued.is_issued;
      reply->wait = (u_int)MIN (issued.wait, INT32_MAX);
    }
  relay_send_message (relay, htonl (wire->asker), &message);
}

void
relay_handle_permit_reply (relay_t *relay, const fleet_wire_permit_reply *wire,
                           clock_ms_t now)
{
  backend_t *backend = backends_find (relay->view->backends, wire->id);
  rate_limit_reply_t reply = { .is_issued = wire->is_issued != 0,
                               .wait = MIN (wire->wait, INT32_MAX) };

  telemetry_counter_increment (TELEMETRY_PERMITS, reply.is_issued ? 1 : 2);
  if (backend != NULL)
    rate_limit_handle_reply (&backend->rate_limit, &reply, wire->asked_at,
                             now);
}
