#include "wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "feed.h"

_Static_assert(FEED_ID_MAX_BYTES <= FLEET_ID_MAX,
               "ids of the store must fit into messages");
_Static_assert(FEED_OBJECT_MAX_BYTES <= FLEET_OBJECT_MAX,
               "texts of the store must fit into messages");

static void add_all_backends (fleet_wire_snapshot *wire, const view_t *view,
                              clock_ms_t now);
static void add_backend_changes (fleet_wire_snapshot *wire, const view_t *view,
                                 store_revision_t since, clock_ms_t now);
static void apply_backends (const fleet_wire_snapshot *wire, view_t *view,
                            clock_ms_t now);
static int apply_snapshot (const fleet_wire_snapshot *wire, view_t *view,
                           members_t *members, clock_ms_t now);
static void add_limits (fleet_wire_snapshot *wire, const view_t *view,
                        clock_ms_t now);
static void free_snapshot_arrays (fleet_wire_snapshot *wire);

fleet_wire_revision
wire_from_revision (store_revision_t revision)
{
  return (fleet_wire_revision){ .era = revision.era,
                                .number = revision.number };
}

store_revision_t
wire_to_revision (fleet_wire_revision wire)
{
  return (store_revision_t){ .era = wire.era, .number = wire.number };
}

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
    .sequence = entry->sequence,
    .revision = wire_from_revision (entry->revision),
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
    .sequence = wire->sequence,
    .revision = wire_to_revision (wire->revision),
  };
  entry->address.sin_family = AF_INET;
  entry->address.sin_addr.s_addr = htonl (wire->ip);
  entry->address.sin_port = htons ((uint16_t)wire->port);
}

void
wire_from_limit (fleet_wire_limit *wire, const backend_t *backend,
                 clock_ms_t now)
{
  const rate_limit_t *limit = &backend->rate_limit;

  *wire = (fleet_wire_limit){
    .id = backend->entry.id,
    .is_limited = limit->statement.is_limited,
    .per_s = limit->statement.per_s,
    .sources = limit->sources,
    .age = (u_int)CLAMP (now - rate_limit_stated_at (limit), 0, INT32_MAX),
    .leaving = backend->says_leaving,
    .born = backend->entry.born,
  };
}

bool
wire_apply_limit (const fleet_wire_limit *wire, backends_t *backends,
                  clock_ms_t now)
{
  rate_limit_statement_t statement
      = { .is_limited = wire->is_limited != 0,
          .per_s = wire->is_limited != 0 ? wire->per_s : 0 };
  backend_t *backend = backends_find (backends, wire->id);
  bool is_leaving_new = backend != NULL && wire->leaving != 0
                        && wire->born == backend->entry.born
                        && backend_record_leaving (backend, false, now);

  /* This also excludes a value that is not a number.  */
  if (backend == NULL || !(statement.per_s >= 0))
    return is_leaving_new;
  return rate_limit_learn (&backend->rate_limit, &statement, wire->sources,
                           now - (clock_ms_t)wire->age, now)
         || is_leaving_new;
}

void
wire_from_rollout (fleet_wire_rollout *wire, const rollout_t *rollout,
                   clock_ms_t now)
{
  *wire = (fleet_wire_rollout){
    .service = rollout->service,
    .software = rollout->version,
    .duration = rollout->duration,
    .created = wire_from_revision (rollout->created),
    .ordered = wire_from_revision (rollout->ordered),
    .id = rollout->id,
    .phase = (u_int)rollout->step.phase,
    .number = rollout->step.number,
    .share = rollout->step.share,
    .active = rollout->step.active,
    .first = rollout->step.first,
    .age = (u_int)CLAMP (now - rollout->started_at, 0, INT32_MAX),
  };
}

void
wire_apply_rollout (const fleet_wire_rollout *wire, view_t *view,
                    clock_ms_t now)
{
  rollout_order_t order = { .service = wire->service,
                            .version = wire->software,
                            .duration = wire->duration,
                            .created = wire_to_revision (wire->created),
                            .revision = wire_to_revision (wire->ordered) };
  rollout_step_t step = { .phase = (rollout_phase_t)wire->phase,
                          .number = wire->number,
                          .share = wire->share,
                          .active = wire->active,
                          .first = wire->first };

  /* This also excludes a value that is not a number.  */
  if (!(wire->share >= 0 && wire->share <= 1))
    return;
  view_learn_rollout (view, &order, wire->id, &step, (clock_ms_t)wire->age,
                      now);
}

/* Adds the limits that endpoints have stated to a snapshot.  */
static void
add_limits (fleet_wire_snapshot *wire, const view_t *view, clock_ms_t now)
{
  uint32_t position = 0;

  wire->limits.limits_val
      = g_new0 (fleet_wire_limit, (gsize)backends_count (view->backends));
  for (const backend_t *b = backends_next (view->backends, &position);
       b != NULL; b = backends_next (view->backends, &position))
    if (b->rate_limit.statement.is_limited || b->says_leaving)
      wire_from_limit (&wire->limits.limits_val[wire->limits.limits_len++], b,
                       now);
}

/* Frees the arrays of a snapshot that was encoded, but not its strings, which
   belong to the view and the members.  */
static void
free_snapshot_arrays (fleet_wire_snapshot *wire)
{
  if (wire->config.config_len > 0)
    wire_config_free (wire->config.config_val);
  g_free (wire->backends.backends_val);
  g_free (wire->gone.gone_val);
  g_free (wire->out.out_val);
  g_free (wire->members.members_val);
  g_free (wire->limits.limits_val);
  g_free (wire->rollouts.rollouts_val);
}

void
wire_encode_request (const wire_request_t *request,
                     char data[WIRE_REQUEST_BYTES])
{
  fleet_wire_request wire = { .asker = ntohl (request->asker),
                              .parts = request->parts,
                              .since = wire_from_revision (request->since),
                              .config_version = request->config_version };
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
                               .since = wire_to_revision (wire.since),
                               .config_version = wire.config_version };
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
                     store_revision_t since, clock_ms_t now)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  wire->since = wire_from_revision (since);
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
      if (store_revision_compare (change->revision, since) <= 0
          || !g_hash_table_add (seen, change->entry.id))
        continue;
      if (backend != NULL)
        wire_from_backend (
            &wire->backends.backends_val[wire->backends.backends_len++],
            &backend->entry, backend->cold_until - now);
      else
        wire->gone.gone_val[wire->gone.gone_len++] = (fleet_wire_gone){
          .id = change->entry.id,
          .born = change->entry.born,
          .sequence = change->entry.sequence,
          .revision = wire_from_revision (change->revision),
        };
    }
  g_hash_table_destroy (seen);
}

GByteArray *
wire_encode_snapshot (const view_t *view, const members_t *members,
                      const wire_request_t *request, uint32_t redirect_ip,
                      clock_ms_t now)
{
  fleet_wire_snapshot wire = { .revision = wire_from_revision (view->revision),
                               .included = request->parts,
                               .elsewhere = ntohl (redirect_ip),
                               .digest = view_digest (view) };
  config_change_t *change = NULL;
  GByteArray *data;
  u_int size;
  XDR xdr;

  if (view->routes != NULL && (request->parts & FLEET_PART_CONFIG) != 0)
    {
      change
          = config_change_since (&view->config_history, view->routes,
                                 view->config_digest, request->config_version);
      wire.config.config_len = 1;
      wire.config.config_val = wire_config_new (change);
    }
  if ((request->parts & FLEET_PART_BACKENDS) != 0)
    {
      if (view_has_changes_since (view, request->since))
        add_backend_changes (&wire, view, request->since, now);
      else
        add_all_backends (&wire, view, now);
      add_limits (&wire, view, now);
    }
  wire.out_revision = wire_from_revision (view->out_revision);
  wire.out.out_len = view->out->len;
  wire.out.out_val = g_new0 (fleet_wire_name, view->out->len);
  for (guint i = 0; i < view->out->len; i++)
    wire.out.out_val[i] = g_ptr_array_index (view->out, i);
  wire.rollouts.rollouts_len = (u_int)rollouts_count (view->rollouts);
  wire.rollouts.rollouts_val
      = g_new0 (fleet_wire_rollout, wire.rollouts.rollouts_len);
  for (u_int i = 0; i < wire.rollouts.rollouts_len; i++)
    wire_from_rollout (&wire.rollouts.rollouts_val[i],
                       rollouts_get (view->rollouts, (int)i), now);
  if ((request->parts & FLEET_PART_MEMBERS) != 0)
    wire.members.members_len = members->table->len;
  wire.members.members_val = g_new0 (fleet_wire_member, members->table->len);
  for (guint i = 0; i < wire.members.members_len; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, i);

      wire.members.members_val[i]
          = (fleet_wire_member){ .name = member->name,
                                 .data_centre = member->data_centre,
                                 .ip = member->ip,
                                 .weak = member->weak };
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
  if (change != NULL)
    config_change_free (change);
  return data;
}

/* Applies the endpoints in a snapshot, or the changes of endpoints if it has
   only these.  After changes, the view counts as up to date only if its digest
   equals the sender's.  */
static void
apply_backends (const fleet_wire_snapshot *wire, view_t *view, clock_ms_t now)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (g_free);
  store_revision_t revision = wire_to_revision (wire->revision);

  for (u_int i = 0; i < wire->backends.backends_len; i++)
    {
      backend_entry_t *entry = g_new0 (backend_entry_t, 1);

      wire_to_backend (&wire->backends.backends_val[i], entry);
      g_ptr_array_add (entries, entry);
    }
  if (store_revision_is_zero (wire_to_revision (wire->since)))
    view_replace_backends (view, entries, revision, now);
  else
    {
      for (guint i = 0; i < entries->len; i++)
        view_put_backend (view, g_ptr_array_index (entries, i), now);
      for (u_int i = 0; i < wire->gone.gone_len; i++)
        {
          const fleet_wire_gone *gone = &wire->gone.gone_val[i];
          view_removal_t removal
              = { .revision = wire_to_revision (gone->revision),
                  .born = gone->born,
                  .sequence = gone->sequence };

          view_remove_backend (view, gone->id, &removal, now);
        }
      if (store_revision_compare (revision, view->revision) >= 0
          && wire->digest == view_digest (view))
        view_set_synced (view, revision);
    }
  g_ptr_array_free (entries, TRUE);
}

/* Return: 0, or the error of wire_apply_config(); the other parts are applied
   in any case.  */
static int
apply_snapshot (const fleet_wire_snapshot *wire, view_t *view,
                members_t *members, clock_ms_t now)
{
  GPtrArray *out = g_ptr_array_new ();
  int config_error = 0;

  if (wire->config.config_len > 0)
    config_error = wire_apply_config (wire->config.config_val, view);
  /* Before the endpoints, which get requests according to their version.  */
  for (u_int i = 0; i < wire->rollouts.rollouts_len; i++)
    wire_apply_rollout (&wire->rollouts.rollouts_val[i], view, now);
  if ((wire->included & FLEET_PART_BACKENDS) != 0)
    apply_backends (wire, view, now);
  for (u_int i = 0; i < wire->limits.limits_len; i++)
    (void)wire_apply_limit (&wire->limits.limits_val[i], view->backends, now);
  for (u_int i = 0; i < wire->out.out_len; i++)
    g_ptr_array_add (out, wire->out.out_val[i]);
  view_set_out_of_service (view, out, wire_to_revision (wire->out_revision),
                           now);
  if ((wire->included & FLEET_PART_MEMBERS) != 0)
    {
      members_begin_replace (members);
      for (u_int i = 0; i < wire->members.members_len; i++)
        {
          const fleet_wire_member *member = &wire->members.members_val[i];

          (void)members_put (members, member->name, member->data_centre,
                             member->ip, now);
          (void)members_set_weak (members, member->name, member->weak != 0);
        }
      members_end_replace (members);
    }
  g_ptr_array_free (out, TRUE);
  return config_error;
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
          int config_error = apply_snapshot (&wire, view, members, now);

          if (config_error != 0)
            received->config_error = config_error;
          received->included |= wire.included;
          if (wire.elsewhere != 0)
            received->elsewhere = htonl (wire.elsewhere);
          received->digest_matches = wire.digest == view_digest (view);
        }
      xdr_free ((xdrproc_t)xdr_fleet_wire_snapshot, (char *)&wire);
    }
  xdr_destroy (&xdr);
  return valid ? 0 : -EPROTO;
}
