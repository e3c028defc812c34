#include "engine_state.h"

#include <json.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

/* Adds an instance to the address table if it is reachable and in service.
   @context is an array of the address table and the engine.  */
static void
add_address (void *context, const decide_peer_view_t *view)
{
  address_table_t *table = ((void **)context)[0];
  const engine_t *engine = ((void **)context)[1];

  if (!view->heard || view->leaving || view->out)
    return;
  for (uint32_t i = 0; i < engine->settings.instance_count; i++)
    if (strcmp (engine->settings.instances[i].name, view->name) == 0)
      {
        conf_instance_t *entry = &table->instances[table->count++];

        *entry = engine->settings.instances[i];
        if (i == engine->settings.own)
          g_strlcpy (entry->callers, engine->settings.advertised_address,
                     sizeof entry->callers);
      }
}

void
engine_publish_addresses (engine_t *engine, clock_ms_t now)
{
  address_table_t *old = engine->addresses;
  address_table_t *table = calloc (1, sizeof *table);
  void *context[2] = { table, engine };

  if (table == NULL)
    g_error ("out of memory for the address table");
  decide_each_instance (engine->node, now, add_address, context);
  rcu_assign_pointer (engine->addresses, table);
  synchronize_rcu ();
  free (old);
}

/* The peer connections and the store client return totals since the start, so
   each metric is increased by the difference between the total and the
   metric's present value.  */
void
engine_publish_byte_counters (engine_t *engine)
{
  uint64_t peer_bytes[2];    /* sent, received */
  uint64_t control_bytes[2]; /* sent, received */

  links_get_bytes (engine->peer_links, &peer_bytes[0], &peer_bytes[1]);
  storage_get_bytes (engine->storage, &control_bytes[0], &control_bytes[1]);
  for (unsigned int i = 0; i < 2; i++)
    {
      control_bytes[i] += peer_bytes[i];
      telemetry_counter_add (
          TELEMETRY_PEER_BYTES, i,
          peer_bytes[i] - telemetry_counter_read (TELEMETRY_PEER_BYTES, i));
      telemetry_counter_add (
          TELEMETRY_CONTROL_BYTES, i,
          control_bytes[i]
              - telemetry_counter_read (TELEMETRY_CONTROL_BYTES, i));
    }
}

void
engine_publish_gauges (engine_t *engine, clock_ms_t now)
{
  decide_status_t status;

  decide_get_status (engine->node, now, &status);
  if (status.has_group_conflict && !engine->foreign_group_logged)
    {
      engine->foreign_group_logged = true;
      g_critical ("no slots are granted: the store holds the ownership "
                  "record of a group other than %s",
                  engine->settings.group);
    }
  telemetry_gauge_set (TELEMETRY_REVISION, (int64_t)status.revision);
  telemetry_gauge_set (TELEMETRY_RECORD_VERSION,
                       (int64_t)status.record_version);
  telemetry_gauge_set (TELEMETRY_SLICES_OWNED, status.slices_owned);
  telemetry_gauge_set (TELEMETRY_SLICES_SERVING, status.slices_serving);
  telemetry_gauge_set (TELEMETRY_MEMBERS_HEARD, status.members_heard);
  telemetry_gauge_set (TELEMETRY_STORE_FRESH, status.store_fresh);
  telemetry_gauge_set (TELEMETRY_MAJORITY_FRESH, status.majority_fresh);
  telemetry_gauge_set (TELEMETRY_STOPPING, status.stopping);
  telemetry_gauge_set (TELEMETRY_IN_FLIGHT, status.pending);
}

static void
append_instance (struct json_object *list, const conf_instance_t *instance)
{
  struct json_object *entry = json_object_new_object ();

  json_object_object_add (entry, "instance",
                          json_object_new_string (instance->name));
  json_object_object_add (entry, "data_centre",
                          json_object_new_string (instance->data_centre));
  json_object_object_add (entry, "address",
                          json_object_new_string (instance->callers));
  json_object_array_add (list, entry);
}

struct json_object *
engine_new_address_response (const address_table_t *table,
                             const char *data_centre)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  /* The list starts at a random instance, so that clients that use the first
     address are spread over all instances.  */
  uint32_t first
      = table->count == 0
            ? 0
            : (uint32_t)g_random_int_range (0, (gint32)table->count);

  for (int local = 1; local >= 0; local--)
    for (uint32_t i = 0; i < table->count; i++)
      {
        const conf_instance_t *instance
            = &table->instances[(first + i) % table->count];

        if ((strcmp (instance->data_centre, data_centre) == 0) == local)
          append_instance (list, instance);
      }
  json_object_object_add (root, "lifetime_ms",
                          json_object_new_int (DECIDE_ADDRESS_TTL_MS));
  json_object_object_add (root, "addresses", list);
  return root;
}

char *
engine_format_instance_addresses (engine_t *engine, const char *data_centre)
{
  struct json_object *root;
  char *text;

  rcu_read_lock ();
  root = engine_new_address_response (rcu_dereference (engine->addresses),
                                      data_centre);
  rcu_read_unlock ();
  text
      = strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}
