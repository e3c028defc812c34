#include "http.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *
store_object_target (const char *name)
{
  char *escaped = curl_easy_escape (NULL, name, 0);
  char *target = NULL;
  char *slash;

  if (escaped == NULL)
    return NULL;
  /* The slashes between the parts of a name are not encoded.  */
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
store_parse_response (const store_response_t *response)
{
  json_tokener *tokener;
  json_object *json;

  if (response->text == NULL)
    return NULL;
  tokener = json_tokener_new ();
  if (tokener == NULL)
    return NULL;
  json
      = json_tokener_parse_ex (tokener, response->text, (int)response->length);
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
store_json_get_number (json_object *json, const char *name, uint64_t *number)
{
  json_object *value;
  int64_t integer;

  if (!json_object_object_get_ex (json, name, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  integer = json_object_get_int64 (value);
  if (integer < 0)
    return false;
  *number = (uint64_t)integer;
  return true;
}

const char *
store_json_get_text (json_object *json, const char *name)
{
  json_object *value;

  if (!json_object_object_get_ex (json, name, &value) || value == NULL)
    return "";
  if (json_object_is_type (value, json_type_string))
    return json_object_get_string (value);
  return json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
}

int
store_parse_object (store_t *store, json_object *json, store_object_t *object)
{
  json_object *value;

  *object = (store_object_t){ .name = NULL };
  if (!json_object_is_type (json, json_type_object)
      || !json_object_object_get_ex (json, "name", &value)
      || !json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) == 0
      || !store_json_get_number (json, "version", &object->version)
      || !store_json_get_number (json, "revision", &object->revision))
    return store_set_error (
        store, -EPROTO, "object without a valid name, version or revision");
  object->name = (char *)json_object_get_string (value);
  if (json_object_object_get_ex (json, "deleted", &value))
    object->deleted = json_object_get_boolean (value) != 0;
  object->change_id = (char *)store_json_get_text (json, "change_id");
  object->body = (char *)store_json_get_text (json, "body");
  if (strlen (object->body) > STORE_VALUE_MAX_BYTES)
    return store_set_error (store, -EMSGSIZE,
                            "%.100s: value larger than %d bytes", object->name,
                            STORE_VALUE_MAX_BYTES);
  return 0;
}
