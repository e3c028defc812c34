#include "wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

static void config_from_routes (fleet_wire_config *wire,
                                const routes_t *routes);
static routes_t *routes_from_config (const fleet_wire_config *wire);
static void add_all_backends (fleet_wire_snapshot *wire, const view_t *view,
                              clock_ms_t now);
static void add_backend_changes (fleet_wire_snapshot *wire, const view_t *view,
                                 uint64_t since, clock_ms_t now);
static void apply_backends (const fleet_wire_snapshot *wire, view_t *view,
                            clock_ms_t now);
static void apply_snapshot (const fleet_wire_snapshot *wire, view_t *view,
                            members_t *members, clock_ms_t now);
static void free_snapshot_arrays (fleet_wire_snapshot *wire);

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
config_from_routes (fleet_wire_config *wire, const routes_t *routes)
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
routes_from_config (const fleet_wire_config *wire)
{
  routes_t *routes = routes_new (wire->number);

  routes->limits = (client_limits_t){ .header_bytes = wire->header_bytes,
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
  routes_sort (routes);
  return routes;
}

/* Frees the arrays of a snapshot that was encoded, but not its strings, which
   belong to the view and the members.  */
static void
free_snapshot_arrays (fleet_wire_snapshot *wire)
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
  g_free (wire->gone.gone_val);
  g_free (wire->out.out_val);
  g_free (wire->members.members_val);
}

void
wire_encode_request (const wire_request_t *request,
                     char data[WIRE_REQUEST_BYTES])
{
  fleet_wire_request wire = { .asker = ntohl (request->asker),
                              .parts = request->parts,
                              .since = request->since };
  XDR xdr;

  xdrmem_create (&xdr, data, WIRE_REQUEST_BYTES, XDR_ENCODE);
  (void)xdr_fleet_wire_request (&xdr, &wire);
  xdr_destroy (&xdr);
}

void
wire_decode_request (char data[WIRE_REQUEST_BYTES], wire_request_t *request)
{
  fleet_wire_request wire = { 0 };
  XDR xdr;

  /* Decoding cannot fail, as any bytes of this length are a valid request.  */
  xdrmem_create (&xdr, data, WIRE_REQUEST_BYTES, XDR_DECODE);
  (void)xdr_fleet_wire_request (&xdr, &wire);
  xdr_destroy (&xdr);
  *request = (wire_request_t){ .asker = htonl (wire.asker),
                               .parts = wire.parts,
                               .since = wire.since };
}

/* Adds all endpoints to a snapshot.  */
static void
add_all_backends (fleet_wire_snapshot *wire, const view_t *view,
                  clock_ms_t now)
{
  uint32_t position = 0;

  wire->backends.backends_val
      = g_new0 (fleet_wire_backend, (gsize)backends_count (view->backends));
  for (const backend_t *b = backends_next (view->backends, &position);
       b != NULL; b = backends_next (view->backends, &position))
    wire_from_backend (
        &wire->backends.backends_val[wire->backends.backends_len++], &b->entry,
        b->cold_until - now);
}

/* Adds the endpoints that have changed after the store revision @since, and
   the ids of those that were removed, to a snapshot.  */
static void
add_backend_changes (fleet_wire_snapshot *wire, const view_t *view,
                     uint64_t since, clock_ms_t now)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  wire->since = since;
  wire->backends.backends_val
      = g_new0 (fleet_wire_backend, view->changes.length);
  wire->gone.gone_val = g_new0 (fleet_wire_gone, view->changes.length);
  for (GList *link = view->changes.head; link != NULL; link = link->next)
    {
      const view_change_t *change = link->data;
      const backend_t *backend
          = backends_find (view->backends, change->entry.id);

      /* @view->changes has the newest changes first.  Older changes of an
         endpoint that was added already are skipped.  */
      if (change->revision <= since
          || !g_hash_table_add (seen, change->entry.id))
        continue;
      if (backend != NULL)
        wire_from_backend (
            &wire->backends.backends_val[wire->backends.backends_len++],
            &backend->entry, backend->cold_until - now);
      else
        wire->gone.gone_val[wire->gone.gone_len++]
            = (fleet_wire_gone){ .id = change->entry.id,
                                 .revision = change->revision };
    }
  g_hash_table_destroy (seen);
}

GByteArray *
wire_encode_snapshot (const view_t *view, const members_t *members,
                      const wire_request_t *request, uint32_t redirect_ip,
                      clock_ms_t now)
{
  fleet_wire_snapshot wire = { .revision = view->revision,
                               .included = request->parts,
                               .elsewhere = ntohl (redirect_ip),
                               .digest = view_digest (view) };
  GByteArray *data;
  u_int size;
  XDR xdr;

  if (view->routes != NULL && (request->parts & FLEET_PART_CONFIG) != 0)
    {
      wire.config.config_len = 1;
      wire.config.config_val = g_new0 (fleet_wire_config, 1);
      config_from_routes (wire.config.config_val, view->routes);
    }
  if ((request->parts & FLEET_PART_BACKENDS) != 0)
    {
      if (view_has_changes_since (view, request->since))
        add_backend_changes (&wire, view, request->since, now);
      else
        add_all_backends (&wire, view, now);
    }
  wire.out.out_len = view->out->len;
  wire.out.out_val = g_new0 (fleet_wire_name, view->out->len);
  for (guint i = 0; i < view->out->len; i++)
    wire.out.out_val[i] = g_ptr_array_index (view->out, i);
  if ((request->parts & FLEET_PART_MEMBERS) != 0)
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
      g_warning ("cannot encode the state that another instance requests");
      g_byte_array_set_size (data, 0);
    }
  xdr_destroy (&xdr);
  free_snapshot_arrays (&wire);
  return data;
}

/* Applies the endpoints in a snapshot, or the changes of endpoints if it has
   only these.  After changes, the view counts as up to date only if its digest
   equals the sender's.  */
static void
apply_backends (const fleet_wire_snapshot *wire, view_t *view, clock_ms_t now)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (g_free);

  for (u_int i = 0; i < wire->backends.backends_len; i++)
    {
      backend_entry_t *entry = g_new0 (backend_entry_t, 1);

      wire_to_backend (&wire->backends.backends_val[i], entry);
      g_ptr_array_add (entries, entry);
    }
  if (wire->since == 0)
    view_replace_backends (view, entries, wire->revision, now);
  else
    {
      view_begin_batch (view);
      for (guint i = 0; i < entries->len; i++)
        view_put_backend (view, g_ptr_array_index (entries, i), now);
      for (u_int i = 0; i < wire->gone.gone_len; i++)
        view_remove_backend (view, wire->gone.gone_val[i].id,
                             wire->gone.gone_val[i].revision, now);
      view_end_batch (view);
      if (wire->revision >= view->revision
          && wire->digest == view_digest (view))
        view_set_synced (view, wire->revision);
    }
  g_ptr_array_free (entries, TRUE);
}

static void
apply_snapshot (const fleet_wire_snapshot *wire, view_t *view,
                members_t *members, clock_ms_t now)
{
  GPtrArray *out = g_ptr_array_new ();

  if (wire->config.config_len > 0
      && (view->routes == NULL
          || wire->config.config_val->number > view->routes->version))
    view_set_routes (view, routes_from_config (wire->config.config_val));
  if ((wire->included & FLEET_PART_BACKENDS) != 0)
    apply_backends (wire, view, now);
  for (u_int i = 0; i < wire->out.out_len; i++)
    g_ptr_array_add (out, wire->out.out_val[i]);
  /* If the sender has an older revision than this instance, its set of data
     centres out of service may be outdated.  */
  if (wire->revision >= view->revision)
    view_set_out_of_service (view, out);
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
  g_ptr_array_free (out, TRUE);
}

int
wire_apply_snapshot (char *data, size_t length, view_t *view,
                     members_t *members, wire_received_t *received,
                     clock_ms_t now)
{
  bool valid = length > 0;
  XDR xdr;

  *received = (wire_received_t){ 0 };
  xdrmem_create (&xdr, data, (u_int)length, XDR_DECODE);
  while (valid && xdr_getpos (&xdr) < length)
    {
      fleet_wire_snapshot wire = { 0 };

      valid = xdr_fleet_wire_snapshot (&xdr, &wire);
      if (valid)
        {
          apply_snapshot (&wire, view, members, now);
          received->included |= wire.included;
          received->elsewhere = htonl (wire.elsewhere);
          received->digest_matches = wire.digest == view_digest (view);
        }
      xdr_free ((xdrproc_t)xdr_fleet_wire_snapshot, (char *)&wire);
    }
  xdr_destroy (&xdr);
  return valid ? 0 : -EPROTO;
}
