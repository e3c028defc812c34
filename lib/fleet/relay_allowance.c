/* Allowances of tenants: instances ask the keeper of a tenant, or its
   successors, for tokens (see allowance.h).  */

#include "relay_private.h"

#include <arpa/inet.h>

#include "telemetry.h"

/* Time after which the client of a tenant that the keeper does not know may
   come back: by then the keeper has the configuration, too.  */
#define UNKNOWN_TENANT_WAIT_MS 300
/* The same if neither the keeper nor a successor can be asked.  */
#define NO_REPLY_WAIT_MS 300
/* Number of tenants for which roles are updated at each tick.  */
#define TENANTS_PER_TICK 16

_Static_assert(FLEET_RANKS == ALLOWANCE_RANKS,
               "messages must hold the ranks of requests");

static const tenant_t *get_tenant (const relay_t *relay, uint64_t digest);
static allowance_reply_t grant (relay_t *relay, const tenant_t *tenant,
                                const allowance_ask_t *ask, clock_ms_t now);
static allowance_t *get_allowance (relay_t *relay, const char *tenant);
static allowance_keeper_t get_keeper (const relay_t *relay);
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
  allowance_keeper_t keeper = get_keeper (relay);
  allowance_reply_t reply
      = { .is_final = true, .wait = UNKNOWN_TENANT_WAIT_MS };

  if (tenant == NULL)
    return reply;
  if (!tenant_is_limited (tenant))
    for (int i = 0; i < ALLOWANCE_RANKS; i++)
      reply.granted[i] = ask->wanted[i];
  else
    reply = allowance_grant (get_allowance (relay, tenant->name), tenant,
                             &keeper, ask, now);
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      telemetry_counter_add (TELEMETRY_ALLOWANCE_TOKENS, 0, reply.granted[i]);
      telemetry_counter_add (TELEMETRY_ALLOWANCE_TOKENS, 1,
                             ask->wanted[i] - reply.granted[i]);
    }
  return reply;
}

/* Returns the state of a tenant's allowance, with the candidates by the set of
   ready instances as it is known now.  */
static allowance_t *
get_allowance (relay_t *relay, const char *tenant)
{
  allowance_t *allowance = allowances_get (relay->view->allowances, tenant);
  candidates_t candidates;

  if (allowance->members_version == relay->members_version)
    return allowance;
  candidates = relay_find_candidates (relay->members, tenant);
  for (int i = 0; i < candidates.count; i++)
    {
      const member_t *member = candidates.members[i];
      uint32_t ip = member == relay->members->own ? 0 : member->ip;

      if (i >= allowance->n_candidates || allowance->candidates[i] != ip)
        allowance->ask_from[i] = 0;
      allowance->candidates[i] = ip;
    }
  allowance->n_candidates = candidates.count;
  allowance->rank = candidates.own_rank;
  allowance->members_version = relay->members_version;
  return allowance;
}

/* Returns what this instance knows when it is asked.  */
static allowance_keeper_t
get_keeper (const relay_t *relay)
{
  return (allowance_keeper_t){ .bounds = &relay->allowance_bounds,
                               .contact = &relay->contact,
                               .members_changed_at
                               = relay->members_changed_at };
}

void
relay_allowance_tick (relay_t *relay, clock_ms_t now)
{
  const routes_t *routes = relay->view->routes;
  allowance_keeper_t keeper = get_keeper (relay);
  guint count = routes != NULL ? routes->tenants->len : 0;

  for (guint i = 0; i < MIN (count, TENANTS_PER_TICK); i++)
    {
      const tenant_t *tenant;

      relay->tenant_position = (relay->tenant_position + 1) % count;
      tenant = g_ptr_array_index (routes->tenants, relay->tenant_position);
      if (tenant_is_limited (tenant))
        allowance_update_role (get_allowance (relay, tenant->name), tenant,
                               &keeper, now);
    }
}

void
relay_ask_allowance (relay_t *relay, const char *tenant, allowance_ask_t *ask)
{
  clock_ms_t now = clock_now ();
  allowance_t *allowance = get_allowance (relay, tenant);
  int candidate = allowance_next_candidate (allowance, now);
  fleet_wire_message message = { .body.type = FLEET_ALLOWANCE_ASK };
  fleet_wire_allowance_ask *wire
      = &message.body.fleet_wire_body_u.allowance_ask;

  if (candidate < 0)
    {
      allowance_reply_t none = { .is_final = true,
                                 .acts_in = MAX (allowance->acts_at - now, 0),
                                 .is_unanswered = true,
                                 .wait = NO_REPLY_WAIT_MS };

      relay->hooks.allowance_replied (relay->hooks.context, tenant, &none);
      return;
    }
  allowance_begin_ask (allowance, candidate, ask, now);
  if (allowance->candidates[candidate] == 0)
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
  relay_send_message (relay, allowance->candidates[candidate], &message);
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
                                      .is_final = reply.is_final,
                                      .acts_in = (u_int)reply.acts_in,
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

  if (allowance_end_ask (allowance, asked_at, reply, now))
    relay->hooks.allowance_replied (relay->hooks.context, name, reply);
}

void
relay_handle_allowance_reply (relay_t *relay,
                              const fleet_wire_allowance_reply *wire,
                              clock_ms_t now)
{
  allowance_reply_t reply = { .is_final = wire->is_final != 0,
                              .acts_in = MIN (wire->acts_in, INT32_MAX),
                              .wait = MIN (wire->wait, INT32_MAX) };
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
  relay->members_changed_at = clock_now ();
}
