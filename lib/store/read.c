#include "http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Sends a GET request and parses the response.  Return: 0 for a JSON object
   with status 200, -ENOENT for status 404, or an error of
   store_read_since().  */
static int
get_json (store_t *store, const char *target, clock_ms_t timeout_ms,
          json_object **json)
{
  store_request_t request = { .method = "GET",
                              .target = target,
                              .timeout_ms = timeout_ms,
                              .can_resend = true };
  store_response_t response;
  int err = store_perform_request (store, &request, &response);

  if (err == 0 && response.status == 404)
    err = store_set_error (store, -ENOENT, "GET %s: not found", target);
  else if (err == 0 && response.status != 200)
    err = store_set_error (store, -EIO, "GET %s: HTTP status %ld", target,
                           response.status);
  if (err == 0)
    {
      *json = store_parse_response (&response);
      if (*json == NULL)
        err = store_set_error (store, -EPROTO, "GET %s: malformed response",
                               target);
    }
  store_response_clear (&response);
  return err;
}

/* Like get_json(), but the object must have an array as its member @member.
   @array is set to this array, which belongs to @json.  */
static int
get_json_array (store_t *store, const char *target, const char *member,
                clock_ms_t timeout_ms, json_object **json, json_object **array)
{
  int err = get_json (store, target, timeout_ms, json);

  if (err != 0)
    return err;
  if (json_object_object_get_ex (*json, member, array)
      && json_object_is_type (*array, json_type_array))
    return 0;
  json_object_put (*json);
  return store_set_error (store, -EPROTO, "GET %s: response without list %s",
                          target, member);
}

int
store_read_since (store_t *store, const char *prefix, uint64_t since,
                  clock_ms_t timeout_ms,
                  void (*visit) (void *context, const store_object_t *object),
                  void *context, uint64_t *revision)
{
  char *target = store_list_target (prefix, since);
  json_object *json = NULL;
  json_object *array = NULL;
  store_object_t object;
  uint64_t list_revision;
  size_t count;
  int err;

  if (target == NULL)
    return store_set_error (store, -ENOMEM, "out of memory");
  err = get_json_array (store, target, "objects", timeout_ms, &json, &array);
  free (target);
  if (err != 0)
    return err;
  if (!store_json_get_number (json, "revision", &list_revision))
    err = store_set_error (store, -EPROTO,
                           "list of objects without a revision");
  /* All objects are checked before the first one is passed to @visit.  */
  count = json_object_array_length (array);
  for (size_t i = 0; i < count && err == 0; i++)
    err = store_parse_object (store, json_object_array_get_idx (array, i),
                              &object);
  for (size_t i = 0; i < count && err == 0; i++)
    if (store_parse_object (store, json_object_array_get_idx (array, i),
                            &object)
        == 0)
      visit (context, &object);
  if (err == 0)
    *revision = list_revision;
  json_object_put (json);
  return err;
}

/* Replaces strings that belong to a JSON object with copies.  */
static int
copy_strings (store_object_t *object)
{
  object->name = strdup (object->name);
  object->change_id = strdup (object->change_id);
  object->body = strdup (object->body);
  if (object->name != NULL && object->change_id != NULL
      && object->body != NULL)
    return 0;
  store_object_clear (object);
  return -ENOMEM;
}

int
store_get (store_t *store, const char *name, clock_ms_t timeout_ms,
           store_object_t *object)
{
  char *target = store_object_target (name);
  json_object *json = NULL;
  store_object_t parsed;
  int err;

  *object = (store_object_t){ .name = NULL };
  if (target == NULL)
    return store_set_error (store, -ENOMEM, "out of memory");
  err = get_json (store, target, timeout_ms, &json);
  free (target);
  if (err != 0)
    return err;
  err = store_parse_object (store, json, &parsed);
  if (err == 0 && parsed.deleted)
    err = store_set_error (store, -ENOENT, "%s: object is deleted", name);
  if (err == 0)
    err = copy_strings (&parsed);
  if (err == 0)
    *object = parsed;
  json_object_put (json);
  return err;
}

void
store_object_clear (store_object_t *object)
{
  free (object->name);
  free (object->change_id);
  free (object->body);
  *object = (store_object_t){ .name = NULL };
}

int
store_read_instances (store_t *store, clock_ms_t timeout_ms,
                      void (*visit) (void *context,
                                     const store_instance_t *instance),
                      void *context)
{
  json_object *json = NULL;
  json_object *array = NULL;
  json_object *leaving;
  int err = get_json_array (store, "/instances", "instances", timeout_ms,
                            &json, &array);

  if (err != 0)
    return err;
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      json_object *entry = json_object_array_get_idx (array, i);
      store_instance_t instance;

      if (!json_object_is_type (entry, json_type_object))
        continue;
      instance = (store_instance_t){
        .name = store_json_get_text (entry, "name"),
        .data_centre = store_json_get_text (entry, "data_centre"),
        .address = store_json_get_text (entry, "address"),
        .leaving
        = strcmp (store_json_get_text (entry, "state"), "leaving") == 0,
      };
      if (json_object_object_get_ex (entry, "leaving", &leaving))
        instance.leaving |= json_object_get_boolean (leaving) != 0;
      if (instance.name[0] != '\0')
        visit (context, &instance);
    }
  json_object_put (json);
  return 0;
}
