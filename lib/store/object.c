#include "http.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *
store_target (const char *name)
{
  char *escaped = curl_easy_escape (NULL, name, 0);
  char *target = NULL;
  char *slash;

  if (escaped == NULL)
    return NULL;
  /* Names have parts; the slashes between them stay.  */
  while ((slash = strstr (escaped, "%2F")) != NULL)
    {
      *slash = '/';
      memmove (slash + 1, slash + 3, strlen (slash + 3) + 1);
    }
  if (asprintf (&target, "/objects/%s", escaped) < 0)
    target = NULL;
  curl_free (escaped);
  return target;
}

char *
store_list_target (const char *prefix, uint64_t since)
{
  char *escaped = curl_easy_escape (NULL, prefix, 0);
  char *target = NULL;

  if (escaped == NULL)
    return NULL;
  if (asprintf (&target, "/objects?prefix=%s&since=%" PRIu64, escaped, since)
      < 0)
    target = NULL;
  curl_free (escaped);
  return target;
}

json_object *
store_parse (const answer_t *answer)
{
  json_tokener *tokener;
  json_object *json;

  if (answer->text == NULL)
    return NULL;
  tokener = json_tokener_new ();
  if (tokener == NULL)
    return NULL;
  json = json_tokener_parse_ex (tokener, answer->text, (int)answer->length);
  if (json_tokener_get_error (tokener) != json_tokener_success
      || !json_object_is_type (json, json_type_object))
    {
      json_object_put (json);
      json = NULL;
    }
  json_tokener_free (tokener);
  return json;
}

bool
store_read_number (json_object *json, const char *name, uint64_t *number)
{
  json_object *value;
  int64_t read;

  if (!json_object_object_get_ex (json, name, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  read = json_object_get_int64 (value);
  if (read < 0)
    return false;
  *number = (uint64_t)read;
  return true;
}

const char *
store_read_text (json_object *json, const char *name)
{
  json_object *value;

  if (!json_object_object_get_ex (json, name, &value) || value == NULL)
    return "";
  if (json_object_is_type (value, json_type_string))
    return json_object_get_string (value);
  return json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
}

int
store_read_object (store_t *store, json_object *json, store_object_t *object)
{
  json_object *value;

  *object = (store_object_t){ .name = NULL };
  if (!json_object_is_type (json, json_type_object)
      || !json_object_object_get_ex (json, "name", &value)
      || !json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) == 0
      || !store_read_number (json, "version", &object->version)
      || !store_read_number (json, "revision", &object->revision))
    return store_fail (store, -EPROTO,
                       "object without name, version or revision");
  object->name = (char *)json_object_get_string (value);
  if (json_object_object_get_ex (json, "deleted", &value))
    object->deleted = json_object_get_boolean (value) != 0;
  object->change_id = (char *)store_read_text (json, "change_id");
  object->body = (char *)store_read_text (json, "body");
  if (strlen (object->body) > STORE_VALUE_MAX)
    return store_fail (store, -EMSGSIZE, "%.100s: value above %d bytes",
                       object->name, STORE_VALUE_MAX);
  return 0;
}
