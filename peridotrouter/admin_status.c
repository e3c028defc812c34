#include "admin_reply.h"

static json_object *names_to_json (const GPtrArray *names);
static json_object *instances_to_json (const GArray *list);
static json_object *slices_to_json (const GArray *list);
static json_object *endpoints_to_json (const GArray *list);
static void add_string (json_object *object, const char *key,
                        const char *text);
static void add_number (json_object *object, const char *key, uint64_t number);
static void add_bool (json_object *object, const char *key, bool value);

int
admin_get_status (struct mg_connection *conn,
                  const admin_callbacks_t *callbacks)
{
  admin_status_t status = {
    .instances = g_array_new (FALSE, TRUE, sizeof (admin_instance_t)),
    .slices = g_array_new (FALSE, TRUE, sizeof (admin_slice_t)),
    .endpoints = g_array_new (FALSE, TRUE, sizeof (admin_endpoint_t)),
    .out_centres = g_ptr_array_new_with_free_func (g_free),
    .out_instances = g_ptr_array_new_with_free_func (g_free),
  };
  int result = callbacks->collect_status (callbacks->context, &status);

  if (result == 0)
    {
      json_object *root = json_object_new_object ();
      json_object *out = json_object_new_object ();

      add_string (root, "instance", callbacks->instance);
      add_number (root, "revision", status.revision);
      add_number (root, "record_version", status.record_version);
      json_object_object_add (root, "instances",
                              instances_to_json (status.instances));
      json_object_object_add (root, "slices", slices_to_json (status.slices));
      json_object_object_add (root, "endpoints",
                              endpoints_to_json (status.endpoints));
      json_object_object_add (out, "data_centres",
                              names_to_json (status.out_centres));
      json_object_object_add (out, "instances",
                              names_to_json (status.out_instances));
      json_object_object_add (root, "out", out);
      result = admin_reply_json (conn, root);
    }
  else
    result = admin_reply_error (conn, result, "status", NULL);
  g_array_unref (status.instances);
  g_array_unref (status.slices);
  g_array_unref (status.endpoints);
  g_ptr_array_unref (status.out_centres);
  g_ptr_array_unref (status.out_instances);
  return result;
}

static json_object *
names_to_json (const GPtrArray *names)
{
  json_object *list = json_object_new_array ();

  for (guint i = 0; i < names->len; i++)
    json_object_array_add (list, json_object_new_string (names->pdata[i]));
  return list;
}

static json_object *
instances_to_json (const GArray *list)
{
  json_object *array = json_object_new_array ();

  for (guint i = 0; i < list->len; i++)
    {
      const admin_instance_t *from
          = &g_array_index (list, admin_instance_t, i);
      json_object *item = json_object_new_object ();

      add_string (item, "name", from->name);
      add_string (item, "data_centre", from->data_centre);
      add_number (item, "revision", from->revision);
      add_bool (item, "heard", from->heard);
      add_bool (item, "leaving", from->leaving);
      add_bool (item, "out", from->out);
      json_object_array_add (array, item);
    }
  return array;
}

static json_object *
slices_to_json (const GArray *list)
{
  json_object *array = json_object_new_array ();

  for (guint i = 0; i < list->len; i++)
    {
      const admin_slice_t *from = &g_array_index (list, admin_slice_t, i);
      json_object *item = json_object_new_object ();

      add_string (item, "data_centre", from->data_centre);
      add_number (item, "slice", from->slice);
      add_string (item, "owner", from->owner);
      json_object_array_add (array, item);
    }
  return array;
}

static json_object *
endpoints_to_json (const GArray *list)
{
  json_object *array = json_object_new_array ();

  for (guint i = 0; i < list->len; i++)
    {
      const admin_endpoint_t *from
          = &g_array_index (list, admin_endpoint_t, i);
      json_object *item = json_object_new_object ();

      add_string (item, "service", from->service);
      add_string (item, "endpoint", from->endpoint);
      add_string (item, "data_centre", from->data_centre);
      add_string (item, "group", from->group);
      add_string (item, "owner", from->owner);
      add_number (item, "limit", from->limit);
      add_number (item, "in_flight", from->in_flight);
      add_bool (item, "cold", from->cold);
      add_bool (item, "draining", from->draining);
      add_bool (item, "suspended", from->suspended);
      add_bool (item, "out", from->out);
      json_object_array_add (array, item);
    }
  return array;
}

static void
add_string (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_number (json_object *object, const char *key, uint64_t number)
{
  json_object_object_add (object, key, json_object_new_uint64 (number));
}

static void
add_bool (json_object *object, const char *key, bool value)
{
  json_object_object_add (object, key, json_object_new_boolean (value));
}
