#include "http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Makes a GET call.  Return: 0 with the JSON object of an answer with status
   200, or an error; -ENOENT for status 404.  */
static int
get (store_t *store, const char *target, clock_ms_t timeout_ms,
     json_object **json)
{
  call_t call = { .method = "GET",
                  .target = target,
                  .timeout_ms = timeout_ms,
                  .repeatable = true };
  answer_t answer;
  int err = store_call (store, &call, &answer);

  if (err == 0 && answer.status == 404)
    err = store_fail (store, -ENOENT, "GET %s: not found", target);
  else if (err == 0 && answer.status != 200)
    err = store_fail (store, -EIO, "GET %s: status %ld", target,
                      answer.status);
  if (err == 0)
    {
      *json = store_parse (&answer);
      if (*json == NULL)
        err = store_fail (store, -EPROTO, "GET %s: malformed answer", target);
    }
  store_answer_clear (&answer);
  return err;
}

static int
get_list (store_t *store, const char *target, const char *member,
          clock_ms_t timeout_ms, json_object **json, json_object **list)
{
  int err = get (store, target, timeout_ms, json);

  if (err != 0)
    return err;
  if (json_object_object_get_ex (*json, member, list)
      && json_object_is_type (*list, json_type_array))
    return 0;
  json_object_put (*json);
  return store_fail (store, -EPROTO, "GET %s: answer without %s", target,
                     member);
}

int
store_read_since (store_t *store, const char *prefix, uint64_t since,
                  clock_ms_t timeout_ms,
                  void (*visit) (void *context, const store_object_t *object),
                  void *context, uint64_t *revision)
{
  char *target = store_list_target (prefix, since);
  json_object *json = NULL;
  json_object *list = NULL;
  store_object_t object;
  uint64_t read;
  size_t count;
  int err;

  if (target == NULL)
    return store_fail (store, -ENOMEM, "out of memory");
  err = get_list (store, target, "objects", timeout_ms, &json, &list);
  free (target);
  if (err != 0)
    return err;
  if (!store_read_number (json, "revision", &read))
    err = store_fail (store, -EPROTO, "list without revision");
  /* All are checked before the first is passed on.  */
  count = json_object_array_length (list);
  for (size_t i = 0; i < count && err == 0; i++)
    err = store_read_object (store, json_object_array_get_idx (list, i),
                             &object);
  for (size_t i = 0; i < count && err == 0; i++)
    if (store_read_object (store, json_object_array_get_idx (list, i), &object)
        == 0)
      visit (context, &object);
  if (err == 0)
    *revision = read;
  json_object_put (json);
  return err;
}

/* Replaces texts that belong to a JSON object by copies.  */
static int
own (store_object_t *object)
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
  char *target = store_target (name);
  json_object *json = NULL;
  store_object_t read;
  int err;

  *object = (store_object_t){ .name = NULL };
  if (target == NULL)
    return store_fail (store, -ENOMEM, "out of memory");
  err = get (store, target, timeout_ms, &json);
  free (target);
  if (err != 0)
    return err;
  err = store_read_object (store, json, &read);
  if (err == 0 && read.deleted)
    err = store_fail (store, -ENOENT, "%s: deleted", name);
  if (err == 0)
    err = own (&read);
  if (err == 0)
    *object = read;
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
store_instances (store_t *store, clock_ms_t timeout_ms,
                 void (*visit) (void *context,
                                const store_instance_t *instance),
                 void *context)
{
  json_object *json = NULL;
  json_object *list = NULL;
  json_object *leaving;
  int err
      = get_list (store, "/instances", "instances", timeout_ms, &json, &list);

  if (err != 0)
    return err;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *entry = json_object_array_get_idx (list, i);
      store_instance_t instance;

      if (!json_object_is_type (entry, json_type_object))
        continue;
      instance = (store_instance_t){
        .name = store_read_text (entry, "name"),
        .data_centre = store_read_text (entry, "data_centre"),
        .address = store_read_text (entry, "address"),
        .leaving = strcmp (store_read_text (entry, "state"), "leaving") == 0,
      };
      if (json_object_object_get_ex (entry, "leaving", &leaving))
        instance.leaving |= json_object_get_boolean (leaving) != 0;
      if (instance.name[0] != '\0')
        visit (context, &instance);
    }
  json_object_put (json);
  return 0;
}
