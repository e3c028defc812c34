#include "wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

static void from_routes (fleet_wire_config *wire, const routes_t *routes);
static routes_t *to_routes (const fleet_wire_config *wire);
static void apply (const fleet_wire_snapshot *wire, view_t *view,
                   members_t *members, clock_ms_t now);
static void free_snapshot (fleet_wire_snapshot *wire);

void
wire_from_backend (fleet_wire_backend *wire, const backend_entry_t *entry,
                   clock_ms_t cold)
{
  *wire = (fleet_wire_backend){
    .id = entry->id,
    .service = entry->service,
    .data_centre = entry->data_centre,
    .software = entry->software != NULL ? entry->software : "",
    .ip = ntohl (entry->address.sin_addr.s_addr),
    .port = ntohs (entry->address.sin_port),
    .slots = entry->slots,
    .draining = entry->draining,
    .cold = (u_int)MAX (cold, 0),
    .born = entry->born,
    .revision = entry->revision,
  };
}

void
wire_to_backend (const fleet_wire_backend *wire, backend_entry_t *entry)
{
  *entry = (backend_entry_t){
    .id = wire->id,
    .service = wire->service,
    .data_centre = wire->data_centre,
    .software = wire->software,
    .slots = wire->slots,
    .draining = wire->draining != 0,
    .cold = wire->cold,
    .born = wire->born,
    .revision = wire->revision,
  };
  entry->address.sin_family = AF_INET;
  entry->address.sin_addr.s_addr = htonl (wire->ip);
  entry->address.sin_port = htons ((uint16_t)wire->port);
}

static void
from_routes (fleet_wire_config *wire, const routes_t *routes)
{
  *wire = (fleet_wire_config){
    .number = routes->version,
    .header_bytes = routes->limits.header_bytes,
    .body_bytes = routes->limits.body_bytes,
    .header_timeout = routes->limits.header_timeout,
    .idle_timeout = routes->limits.idle_timeout,
  };
  wire->routes.routes_len = routes->routes->len;
  wire->routes.routes_val = g_new0 (fleet_wire_route, routes->routes->len);
  for (guint i = 0; i < routes->routes->len; i++)
    {
      const route_t *route = g_ptr_array_index (routes->routes, i);
      fleet_wire_route *to = &wire->routes.routes_val[i];

      *to = (fleet_wire_route){
        .name = route->name,
        .host = route->host,
        .prefix = route->prefix,
        .idempotent = route->idempotent,
        .bulk = route->bulk,
        .timeout = (u_int)route->timeout,
        .target = (u_int)route->target,
        .priority = route->priority,
        .endpoints_max = route->endpoints_max,
      };
      to->parts.parts_len = (u_int)route->n_parts;
      to->parts.parts_val = g_new0 (fleet_wire_part, (gsize)route->n_parts);
      for (int j = 0; j < route->n_parts; j++)
        to->parts.parts_val[j]
            = (fleet_wire_part){ .service = route->parts[j].service,
                                 .weight = route->parts[j].weight };
    }
  wire->services.services_len = routes->services->len;
  wire->services.services_val
      = g_new0 (fleet_wire_service, routes->services->len);
  for (guint i = 0; i < routes->services->len; i++)
    {
      const service_rules_t *rules = g_ptr_array_index (routes->services, i);

      wire->services.services_val[i]
          = (fleet_wire_service){ .name = rules->name,
                                  .health_path = rules->health_path,
                                  .connections_max = rules->connections_max,
                                  .cold_per_s = rules->cold_per_s };
    }
}

static routes_t *
to_routes (const fleet_wire_config *wire)
{
  routes_t *routes = routes_new (wire->number);

  routes->limits = (caller_limits_t){ .header_bytes = wire->header_bytes,
                                      .body_bytes = wire->body_bytes,
                                      .header_timeout = wire->header_timeout,
                                      .idle_timeout = wire->idle_timeout };
  for (u_int i = 0; i < wire->routes.routes_len; i++)
    {
      const fleet_wire_route *from = &wire->routes.routes_val[i];
      route_t *route = g_new0 (route_t, 1);

      route->name = g_strdup (from->name);
      route->host = g_strdup (from->host);
      route->prefix = g_strdup (from->prefix);
      route->idempotent = from->idempotent != 0;
      route->bulk = from->bulk != 0;
      route->timeout = from->timeout;
      route->target = from->target;
      route->priority = from->priority;
      route->endpoints_max = from->endpoints_max;
      route->n_parts = MIN ((int)from->parts.parts_len, ROUTE_PARTS_MAX);
      for (int j = 0; j < route->n_parts; j++)
        {
          route->parts[j].service
              = g_strdup (from->parts.parts_val[j].service);
          route->parts[j].weight = from->parts.parts_val[j].weight;
        }
      routes_add (routes, route);
    }
  for (u_int i = 0; i < wire->services.services_len; i++)
    {
      const fleet_wire_service *from = &wire->services.services_val[i];
      service_rules_t *rules = g_new0 (service_rules_t, 1);

      rules->name = g_strdup (from->name);
      rules->health_path = g_strdup (from->health_path);
      rules->connections_max = from->connections_max;
      rules->cold_per_s = from->cold_per_s;
      routes_add_service (routes, rules);
    }
  routes_finish (routes);
  return routes;
}

/* Frees the arrays; the strings belong to what was encoded.  */
static void
free_snapshot (fleet_wire_snapshot *wire)
{
  if (wire->config.config_len > 0)
    {
      fleet_wire_config *config = wire->config.config_val;

      for (u_int i = 0; i < config->routes.routes_len; i++)
        g_free (config->routes.routes_val[i].parts.parts_val);
      g_free (config->routes.routes_val);
      g_free (config->services.services_val);
      g_free (config);
    }
  g_free (wire->backends.backends_val);
  g_free (wire->out.out_val);
  g_free (wire->members.members_val);
}

GByteArray *
wire_snapshot (const view_t *view, const members_t *members,
               unsigned int parts, clock_ms_t now)
{
  fleet_wire_snapshot wire = { .revision = view->revision, .included = parts };
  GArray *backends = g_array_new (FALSE, FALSE, sizeof (fleet_wire_backend));
  GByteArray *data;
  uint32_t position = 0;
  u_int size;
  XDR xdr;

  if (view->routes != NULL && (parts & FLEET_PART_CONFIG) != 0)
    {
      wire.config.config_len = 1;
      wire.config.config_val = g_new0 (fleet_wire_config, 1);
      from_routes (wire.config.config_val, view->routes);
    }
  for (const backend_t *b = backends_next (view->backends, &position);
       b != NULL && (parts & FLEET_PART_BACKENDS) != 0;
       b = backends_next (view->backends, &position))
    {
      fleet_wire_backend entry;

      wire_from_backend (&entry, &b->entry, b->cold_until - now);
      g_array_append_val (backends, entry);
    }
  wire.backends.backends_len = backends->len;
  wire.backends.backends_val
      = (fleet_wire_backend *)(void *)g_array_free (backends, FALSE);
  wire.out.out_len = view->out->len;
  wire.out.out_val = g_new0 (fleet_wire_name, view->out->len);
  for (guint i = 0; i < view->out->len; i++)
    wire.out.out_val[i] = g_ptr_array_index (view->out, i);
  if ((parts & FLEET_PART_MEMBERS) != 0)
    wire.members.members_len = members->table->len;
  wire.members.members_val = g_new0 (fleet_wire_member, members->table->len);
  for (guint i = 0; i < wire.members.members_len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      wire.members.members_val[i]
          = (fleet_wire_member){ .name = member->name,
                                 .data_centre = member->data_centre,
                                 .ip = member->ip };
    }
  size = (u_int)xdr_sizeof ((xdrproc_t)xdr_fleet_wire_snapshot, &wire);
  data = g_byte_array_sized_new (size);
  g_byte_array_set_size (data, size);
  xdrmem_create (&xdr, (char *)data->data, size, XDR_ENCODE);
  if (!xdr_fleet_wire_snapshot (&xdr, &wire))
    {
      g_warning ("state can't be encoded");
      g_byte_array_set_size (data, 0);
    }
  xdr_destroy (&xdr);
  free_snapshot (&wire);
  return data;
}

static void
apply (const fleet_wire_snapshot *wire, view_t *view, members_t *members,
       clock_ms_t now)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *out = g_ptr_array_new ();

  if (wire->config.config_len > 0
      && (view->routes == NULL
          || wire->config.config_val->number > view->routes->version))
    view_set_routes (view, to_routes (wire->config.config_val));
  for (u_int i = 0; i < wire->backends.backends_len; i++)
    {
      backend_entry_t *entry = g_new0 (backend_entry_t, 1);

      wire_to_backend (&wire->backends.backends_val[i], entry);
      g_ptr_array_add (entries, entry);
    }
  if ((wire->included & FLEET_PART_BACKENDS) != 0)
    view_replace (view, entries, wire->revision, now);
  for (u_int i = 0; i < wire->out.out_len; i++)
    g_ptr_array_add (out, wire->out.out_val[i]);
  view_set_out (view, out);
  if ((wire->included & FLEET_PART_MEMBERS) != 0)
    {
      members_begin_replace (members);
      for (u_int i = 0; i < wire->members.members_len; i++)
        {
          const fleet_wire_member *member = &wire->members.members_val[i];

          (void)members_put (members, member->name, member->data_centre,
                             member->ip, now);
        }
      members_end_replace (members);
    }
  g_ptr_array_free (entries, TRUE);
  g_ptr_array_free (out, TRUE);
}

int
wire_apply_snapshot (char *data, size_t length, view_t *view,
                     members_t *members, clock_ms_t now)
{
  fleet_wire_snapshot wire = { 0 };
  XDR xdr;
  bool whole;

  xdrmem_create (&xdr, data, (u_int)length, XDR_DECODE);
  whole = xdr_fleet_wire_snapshot (&xdr, &wire);
  xdr_destroy (&xdr);
  if (whole)
    apply (&wire, view, members, now);
  xdr_free ((xdrproc_t)xdr_fleet_wire_snapshot, (char *)&wire);
  return whole ? 0 : -EPROTO;
}
