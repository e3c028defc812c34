#include "engine_state.h"

#include <json.h>
#include <stdlib.h>
#include <string.h>

/* Addresses of the instances that serve a service.  If the own group serves
   it, they are those of the reachable instances; if another group does, they
   come from that group's configuration object.  */

/* Arguments and result of look_up_group_addresses(), which runs on the
   decision thread.  */
typedef struct lookup
{
  engine_t *engine;
  const char *service;
  const char *data_centre;
  char *text; /* result: JSON; NULL: use the list of this instance's group */
} lookup_t;

static void add_instance (void *context,
                          const decide_group_instance_t *instance);
static void look_up_group_addresses (void *context, decide_t *node,
                                     clock_ms_t now);

static void
add_instance (void *context, const decide_group_instance_t *instance)
{
  address_table_t *table = context;
  conf_instance_t *entry = &table->instances[table->count++];

  g_strlcpy (entry->name, instance->name, sizeof entry->name);
  g_strlcpy (entry->data_centre, instance->data_centre,
             sizeof entry->data_centre);
  g_strlcpy (entry->callers, instance->address, sizeof entry->callers);
}

static void
look_up_group_addresses (void *context, decide_t *node, clock_ms_t now)
{
  lookup_t *lookup = context;
  const char *group = decide_service_group (node, decide_id (lookup->service),
                                            lookup->data_centre, false);
  address_table_t table = { 0 };
  struct json_object *root;

  (void)now;
  if (group == NULL || strcmp (group, lookup->engine->settings.group) == 0)
    return;
  decide_each_group_instance (node, group, add_instance, &table);
  root = engine_new_address_response (&table, lookup->data_centre);
  lookup->text
      = strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}

char *
engine_format_service_addresses (engine_t *engine, const char *service,
                                 const char *data_centre)
{
  lookup_t lookup
      = { .engine = engine, .service = service, .data_centre = data_centre };

  if (engine_call_on_decision_thread (engine, look_up_group_addresses, &lookup)
      != 0)
    return NULL;
  return lookup.text != NULL
             ? lookup.text
             : engine_format_instance_addresses (engine, data_centre);
}

void
engine_set_request_addresses (engine_t *engine, request_t *request)
{
  const char *centre = engine->settings.data_centre;
  bool keyed = request->keyed && !request->idempotent;
  const char *group = decide_service_group (
      engine->node, decide_id (request->service), centre, keyed);
  address_table_t table = { 0 };
  struct json_object *root;
  struct json_object *list;

  if (group == NULL)
    return;
  decide_each_group_instance (engine->node, group, add_instance, &table);
  root = engine_new_address_response (&table, centre);
  if (json_object_object_get_ex (root, "addresses", &list))
    request->addresses = g_strdup (
        json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}
