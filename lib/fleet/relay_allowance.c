/* Allowances of tenants: instances ask the keeper of a tenant for tokens (see
   allowance.h).  */

#include "relay_private.h"

#include <arpa/inet.h>

#include "telemetry.h"

static allowance_reply_t grant (relay_t *relay, const char *name,
                                const allowance_ask_t *ask, clock_ms_t now);
static void handle_reply (relay_t *relay, const char *name,
                          const allowance_reply_t *reply, clock_ms_t asked_at,
                          clock_ms_t now);

/* Decides on a question as the keeper.  A tenant that is not in this
   instance's configuration any more gets nothing.  */
static allowance_reply_t
grant (relay_t *relay, const char *name, const allowance_ask_t *ask,
       clock_ms_t now)
{
  const tenant_t *tenant = relay->view->routes != NULL
                               ? routes_get_tenant (relay->view->routes, name)
                               : NULL;
  allowance_reply_t reply = { .wait = ALLOWANCE_TOKEN_MS };

  if (tenant == NULL)
    return reply;
  if (!tenant_is_limited (tenant))
    {
      reply.granted = ask->wanted;
      return reply;
    }
  reply = allowance_grant (allowances_get (relay->view->allowances, name),
                           tenant, ask, now);
  telemetry_counter_add (TELEMETRY_ALLOWANCE_TOKENS, 0, reply.granted);
  telemetry_counter_add (TELEMETRY_ALLOWANCE_TOKENS, 1,
                         ask->wanted - reply.granted);
  return reply;
}

void
relay_ask_allowance (relay_t *relay, const tenant_t *tenant,
                     uint32_t n_waiting)
{
  clock_ms_t now = clock_now ();
  allowance_t *allowance
      = allowances_get (relay->view->allowances, tenant->name);
  const member_t *keeper = relay_find_keeper (relay->members, tenant->name);
  fleet_wire_message message = { .body.type = FLEET_ALLOWANCE_ASK };
  fleet_wire_allowance_ask *wire
      = &message.body.fleet_wire_body_u.allowance_ask;
  allowance_ask_t ask = allowance_begin_ask (allowance, n_waiting, now);

  if (keeper == NULL || keeper == relay->members->own)
    {
      allowance_reply_t reply = grant (relay, tenant->name, &ask, now);

      handle_reply (relay, tenant->name, &reply, now, now);
      return;
    }
  wire->tenant = tenant->name;
  wire->asked_at = now;
  wire->wanted = ask.wanted;
  wire->unused = ask.unused;
  wire->asker = ntohl (relay->members->own->ip);
  relay_send_message (relay, keeper->ip, &message);
}

void
relay_handle_allowance_ask (relay_t *relay,
                            const fleet_wire_allowance_ask *wire,
                            clock_ms_t now)
{
  allowance_ask_t ask = { .wanted = wire->wanted, .unused = wire->unused };
  allowance_reply_t reply = grant (relay, wire->tenant, &ask, now);
  fleet_wire_message message = { .body.type = FLEET_ALLOWANCE_REPLY };

  message.body.fleet_wire_body_u.allowance_reply
      = (fleet_wire_allowance_reply){ .tenant = wire->tenant,
                                      .asked_at = wire->asked_at,
                                      .granted = reply.granted,
                                      .wait = (u_int)reply.wait };
  relay_send_message (relay, htonl (wire->asker), &message);
}

static void
handle_reply (relay_t *relay, const char *name, const allowance_reply_t *reply,
              clock_ms_t asked_at, clock_ms_t now)
{
  allowance_t *allowance = allowances_get (relay->view->allowances, name);

  if (allowance_handle_reply (allowance, reply, asked_at, now))
    relay->hooks.allowance_replied (relay->hooks.context, name, reply->wait);
}

void
relay_handle_allowance_reply (relay_t *relay,
                              const fleet_wire_allowance_reply *wire,
                              clock_ms_t now)
{
  allowance_reply_t reply
      = { .granted = wire->granted, .wait = MIN (wire->wait, INT32_MAX) };

  /* A message may name a tenant that this instance does not know.  */
  if (relay->view->routes != NULL
      && routes_get_tenant (relay->view->routes, wire->tenant) != NULL)
    handle_reply (relay, wire->tenant, &reply, wire->asked_at, now);
}
