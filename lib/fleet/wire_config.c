/* Conversion between changes of the configuration and their messages.  */

#include "wire.h"

static void to_wire_route (fleet_wire_route *wire, const route_t *route);
static route_t *from_wire_route (const fleet_wire_route *wire);
static tenant_t *from_wire_tenant (const fleet_wire_tenant *wire);
static void add_names (GPtrArray *names, const fleet_wire_name *wire,
                       u_int count);

static void
to_wire_route (fleet_wire_route *wire, const route_t *route)
{
  *wire = (fleet_wire_route){
    .name = route->name,
    .host = route->host,
    .prefix = route->prefix,
    .idempotent = route->idempotent,
    .bulk = route->bulk,
    .timeout = route->timeout,
    .target = route->target,
    .priority = route->priority,
    .endpoints_max = route->endpoints_max,
    .is_public = route->is_public,
  };
  wire->parts.parts_len = (u_int)route->n_parts;
  wire->parts.parts_val = g_new0 (fleet_wire_part, (gsize)route->n_parts);
  for (int i = 0; i < route->n_parts; i++)
    wire->parts.parts_val[i]
        = (fleet_wire_part){ .service = route->parts[i].service,
                             .weight = route->parts[i].weight };
}

fleet_wire_config *
wire_config_new (const config_change_t *change)
{
  fleet_wire_config *wire = g_new0 (fleet_wire_config, 1);

  *wire = (fleet_wire_config){
    .number = change->version,
    .base = change->base,
    .digest = change->digest,
    .header_bytes = change->limits.header_bytes,
    .body_bytes = change->limits.body_bytes,
    .header_timeout = change->limits.header_timeout,
    .idle_timeout = change->limits.idle_timeout,
    .requires_key = change->requires_key,
    .rows_left_out = change->rows_left_out,
  };
  wire->routes.routes_len = change->routes->len;
  wire->routes.routes_val = g_new0 (fleet_wire_route, change->routes->len);
  for (guint i = 0; i < change->routes->len; i++)
    to_wire_route (&wire->routes.routes_val[i],
                   g_ptr_array_index (change->routes, i));
  wire->services.services_len = change->services->len;
  wire->services.services_val
      = g_new0 (fleet_wire_service, change->services->len);
  for (guint i = 0; i < change->services->len; i++)
    {
      const service_rules_t *rules = g_ptr_array_index (change->services, i);

      wire->services.services_val[i]
          = (fleet_wire_service){ .name = rules->name,
                                  .health_path = rules->health_path,
                                  .connections_max = rules->connections_max,
                                  .cold_per_s = rules->cold_per_s };
    }
  wire->removed_routes.removed_routes_len = change->removed_routes->len;
  wire->removed_routes.removed_routes_val
      = (fleet_wire_name *)(void *)change->removed_routes->pdata;
  wire->removed_services.removed_services_len = change->removed_services->len;
  wire->removed_services.removed_services_val
      = (fleet_wire_name *)(void *)change->removed_services->pdata;
  wire->removed_tenants.removed_tenants_len = change->removed_tenants->len;
  wire->removed_tenants.removed_tenants_val
      = (fleet_wire_name *)(void *)change->removed_tenants->pdata;
  wire->tenants.tenants_len = change->tenants->len;
  wire->tenants.tenants_val = g_new0 (fleet_wire_tenant, change->tenants->len);
  for (guint i = 0; i < change->tenants->len; i++)
    {
      const tenant_t *tenant = g_ptr_array_index (change->tenants, i);
      fleet_wire_tenant *to = &wire->tenants.tenants_val[i];

      *to = (fleet_wire_tenant){ .name = tenant->name,
                                 .priority = tenant->priority,
                                 .rate_per_s = tenant->rate_per_s,
                                 .burst = tenant->burst };
      to->keys.keys_len = tenant->keys->len;
      to->keys.keys_val = (fleet_wire_name *)(void *)tenant->keys->pdata;
    }
  return wire;
}

void
wire_config_free (fleet_wire_config *wire)
{
  for (u_int i = 0; i < wire->routes.routes_len; i++)
    g_free (wire->routes.routes_val[i].parts.parts_val);
  g_free (wire->routes.routes_val);
  g_free (wire->services.services_val);
  g_free (wire->tenants.tenants_val);
  g_free (wire);
}

static route_t *
from_wire_route (const fleet_wire_route *wire)
{
  route_t *route = g_new0 (route_t, 1);

  route->name = g_strdup (wire->name);
  route->host = g_strdup (wire->host);
  route->prefix = g_strdup (wire->prefix);
  route->idempotent = wire->idempotent != 0;
  route->bulk = wire->bulk != 0;
  route->timeout = wire->timeout;
  route->target = wire->target;
  route->priority = wire->priority;
  route->endpoints_max = wire->endpoints_max;
  route->is_public = wire->is_public != 0;
  for (u_int i = 0; i < wire->parts.parts_len; i++)
    route_add_part (route, wire->parts.parts_val[i].service,
                    wire->parts.parts_val[i].weight);
  return route;
}

static tenant_t *
from_wire_tenant (const fleet_wire_tenant *wire)
{
  tenant_t *tenant = tenant_new (wire->name);

  tenant->priority = wire->priority;
  tenant->rate_per_s = wire->rate_per_s;
  tenant->burst = wire->burst;
  for (u_int i = 0; i < wire->keys.keys_len; i++)
    g_ptr_array_add (tenant->keys, g_strdup (wire->keys.keys_val[i]));
  return tenant;
}

static void
add_names (GPtrArray *names, const fleet_wire_name *wire, u_int count)
{
  for (u_int i = 0; i < count; i++)
    g_ptr_array_add (names, g_strdup (wire[i]));
}

config_change_t *
wire_config_read (const fleet_wire_config *wire)
{
  config_change_t *change = config_change_new ();

  change->version = wire->number;
  change->base = wire->base;
  change->digest = wire->digest;
  change->requires_key = wire->requires_key != 0;
  change->rows_left_out = wire->rows_left_out;
  change->limits = (client_limits_t){ .header_bytes = wire->header_bytes,
                                      .body_bytes = wire->body_bytes,
                                      .header_timeout = wire->header_timeout,
                                      .idle_timeout = wire->idle_timeout };
  for (u_int i = 0; i < wire->routes.routes_len; i++)
    g_ptr_array_add (change->routes,
                     from_wire_route (&wire->routes.routes_val[i]));
  for (u_int i = 0; i < wire->services.services_len; i++)
    {
      const fleet_wire_service *from = &wire->services.services_val[i];
      service_rules_t *rules = g_new0 (service_rules_t, 1);

      rules->name = g_strdup (from->name);
      rules->health_path = g_strdup (from->health_path);
      rules->connections_max = from->connections_max;
      rules->cold_per_s = from->cold_per_s;
      g_ptr_array_add (change->services, rules);
    }
  add_names (change->removed_routes, wire->removed_routes.removed_routes_val,
             wire->removed_routes.removed_routes_len);
  add_names (change->removed_services,
             wire->removed_services.removed_services_val,
             wire->removed_services.removed_services_len);
  for (u_int i = 0; i < wire->tenants.tenants_len; i++)
    g_ptr_array_add (change->tenants,
                     from_wire_tenant (&wire->tenants.tenants_val[i]));
  add_names (change->removed_tenants,
             wire->removed_tenants.removed_tenants_val,
             wire->removed_tenants.removed_tenants_len);
  return change;
}

int
wire_apply_config (const fleet_wire_config *wire, view_t *view)
{
  config_change_t *change;
  routes_t *routes = NULL;
  int result;

  if (view->routes != NULL && wire->number <= view->routes->version)
    return 0;
  change = wire_config_read (wire);
  result = config_change_apply (view->routes, change, &routes);
  if (result == 0)
    view_set_routes (view, routes);
  config_change_free (change);
  return result;
}
