/* Allowances of tenants: instances ask the keeper of a tenant for tokens (see
   allowance.h).  */

#include "relay_private.h"

#include <arpa/inet.h>

#include "telemetry.h"

/* Time after which the client of a tenant that the keeper does not know may
   come back: by then the keeper has the configuration, too.  */
#define UNKNOWN_TENANT_WAIT_MS 300

_Static_assert(FLEET_RANKS == ALLOWANCE_RANKS,
               "messages must hold the ranks of requests");

static const tenant_t *get_tenant (const relay_t *relay, uint64_t digest);
static allowance_reply_t grant (relay_t *relay, const tenant_t *tenant,
                                const allowance_ask_t *ask, clock_ms_t now);
static uint32_t find_keeper_ip (relay_t *relay, const char *tenant,
                                allowance_t *allowance);
static void handle_reply (relay_t *relay, const char *name,
                          const allowance_reply_t *reply, clock_ms_t asked_at,
                          clock_ms_t now);

/* Returns the tenant that a message names, or NULL: it is not in this
   instance's configuration.  */
static const tenant_t *
get_tenant (const relay_t *relay, uint64_t digest)
{
  return relay->view->routes != NULL
             ? routes_get_tenant_by_digest (relay->view->routes, digest)
             : NULL;
}

/* Decides on a question as the keeper.  @tenant: NULL: it is not in this
   instance's configuration any more and gets nothing.  */
static allowance_reply_t
grant (relay_t *relay, const tenant_t *tenant, const allowance_ask_t *ask,
       clock_ms_t now)
{
  allowance_reply_t reply = { .wait = UNKNOWN_TENANT_WAIT_MS };

  if (tenant == NULL)
    return reply;
  if (!tenant_is_limited (tenant))
    for (int i = 0; i < ALLOWANCE_RANKS; i++)
      reply.granted[i] = ask->wanted[i];
  else
    reply = allowance_grant (
        allowances_get (relay->view->allowances, tenant->name), tenant,
        &relay->allowance_bounds,
        (double)members_count_ready (relay->members)
            / (double)relay->members->table->len,
        ask, now);
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      telemetry_counter_add (TELEMETRY_ALLOWANCE_TOKENS, 0, reply.granted[i]);
      telemetry_counter_add (TELEMETRY_ALLOWANCE_TOKENS, 1,
                             ask->wanted[i] - reply.granted[i]);
    }
  return reply;
}

/* Returns the address of the tenant's keeper, or 0 if it is this instance.  */
static uint32_t
find_keeper_ip (relay_t *relay, const char *tenant, allowance_t *allowance)
{
  const member_t *keeper;

  if (allowance->keeper_version != relay->members_version)
    {
      keeper = relay_find_keeper (relay->members, tenant);
      allowance_set_keeper (
          allowance,
          keeper == NULL || keeper == relay->members->own ? 0 : keeper->ip,
          relay->members_version);
    }
  return allowance->keeper_ip;
}

void
relay_ask_allowance (relay_t *relay, const char *tenant, allowance_ask_t *ask)
{
  clock_ms_t now = clock_now ();
  allowance_t *allowance = allowances_get (relay->view->allowances, tenant);
  uint32_t keeper_ip = find_keeper_ip (relay, tenant, allowance);
  fleet_wire_message message = { .body.type = FLEET_ALLOWANCE_ASK };
  fleet_wire_allowance_ask *wire
      = &message.body.fleet_wire_body_u.allowance_ask;

  allowance_begin_ask (allowance, ask, now);
  if (keeper_ip == 0)
    {
      allowance_reply_t reply = grant (
          relay, get_tenant (relay, tenant_name_digest (tenant)), ask, now);

      handle_reply (relay, tenant, &reply, now, now);
      return;
    }
  wire->tenant = tenant_name_digest (tenant);
  wire->asked_at = now;
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    wire->wanted[i] = ask->wanted[i];
  wire->unused = ask->unused;
  wire->asker = ntohl (relay->members->own->ip);
  relay_send_message (relay, keeper_ip, &message);
}

void
relay_handle_allowance_ask (relay_t *relay,
                            const fleet_wire_allowance_ask *wire,
                            clock_ms_t now)
{
  fleet_wire_message message = { .body.type = FLEET_ALLOWANCE_REPLY };
  fleet_wire_allowance_reply *to
      = &message.body.fleet_wire_body_u.allowance_reply;
  allowance_ask_t ask = { .unused = wire->unused };
  allowance_reply_t reply;

  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    ask.wanted[i] = wire->wanted[i];
  reply = grant (relay, get_tenant (relay, wire->tenant), &ask, now);
  *to = (fleet_wire_allowance_reply){ .tenant = wire->tenant,
                                      .asked_at = wire->asked_at,
                                      .wait = (u_int)reply.wait };
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    to->granted[i] = reply.granted[i];
  relay_send_message (relay, htonl (wire->asker), &message);
}

static void
handle_reply (relay_t *relay, const char *name, const allowance_reply_t *reply,
              clock_ms_t asked_at, clock_ms_t now)
{
  allowance_t *allowance = allowances_get (relay->view->allowances, name);

  if (allowance_end_ask (allowance, asked_at, now))
    relay->hooks.allowance_replied (relay->hooks.context, name, reply);
}

void
relay_handle_allowance_reply (relay_t *relay,
                              const fleet_wire_allowance_reply *wire,
                              clock_ms_t now)
{
  allowance_reply_t reply = { .wait = MIN (wire->wait, INT32_MAX) };
  const tenant_t *tenant = get_tenant (relay, wire->tenant);

  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    reply.granted[i] = wire->granted[i];
  /* A message may name a tenant that this instance does not know.  */
  if (tenant != NULL)
    handle_reply (relay, tenant->name, &reply, wire->asked_at, now);
}

void
relay_set_allowance_bounds (relay_t *relay, const allowance_bounds_t *bounds)
{
  relay->allowance_bounds = *bounds;
}

void
relay_handle_members_change (relay_t *relay)
{
  relay->members_version++;
}
