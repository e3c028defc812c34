#include "check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Deeper nesting than any of the formats has, with room for additions.  */
#define NESTING_MAX 12

static int fail_syntax (reader_t *reader, const char *text, size_t offset,
                        const char *reason);
static int get_value (reader_t *reader, json_object *object, const char *key,
                      presence_t presence, json_type type,
                      json_object **value);

int
reader_open (reader_t *reader, const char *source, const char *text,
             size_t length, conf_error_t *error, json_object **root)
{
  enum json_tokener_error status;
  json_tokener *tokener;
  const char *nul = memchr (text, '\0', length);
  size_t end;
  int result = 0;

  *reader = (reader_t){ .source = source, .error = error };
  error->text[0] = '\0';
  *root = NULL;
  reader_leave (reader, 0);
  if (nul != NULL)
    return fail_syntax (reader, text, (size_t)(nul - text), "NUL byte");
  if (length > INT32_MAX)
    return reader_fail (reader, "text is too long");
  tokener = json_tokener_new_ex (NESTING_MAX);
  if (tokener == NULL)
    return -ENOMEM;
  /* Strict mode refuses comments.  */
  json_tokener_set_flags (tokener, JSON_TOKENER_VALIDATE_UTF8);
  *root = json_tokener_parse_ex (tokener, text, (int)length);
  status = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  if (status == json_tokener_continue)
    {
      /* Ends a comment on the last line.  */
      *root = json_tokener_parse_ex (tokener, "\n", 1);
      status = json_tokener_get_error (tokener);
      end = length;
    }
  if (status == json_tokener_continue)
    result = fail_syntax (reader, text, length, "unexpected end of text");
  else if (status != json_tokener_success)
    result = fail_syntax (reader, text, end, json_tokener_error_desc (status));
  else if (end < length)
    result = fail_syntax (reader, text, end, "text after the end");
  else if (!json_object_is_type (*root, json_type_object))
    result = reader_fail (reader, "must be an object");
  json_tokener_free (tokener);
  if (result != 0)
    {
      json_object_put (*root);
      *root = NULL;
    }
  return result;
}

static int
fail_syntax (reader_t *reader, const char *text, size_t offset,
             const char *reason)
{
  size_t line = 1;
  size_t column = 1;

  for (size_t i = 0; i < offset; i++)
    {
      column = text[i] == '\n' ? 1 : column + 1;
      line += text[i] == '\n';
    }
  (void)snprintf (reader->error->text, sizeof reader->error->text,
                  "%s:%zu:%zu: %s", reader->source, line, column, reason);
  return -EINVAL;
}

static int
fail_at (reader_t *reader, const char *key, const char *format, va_list args)
{
  char reason[320];

  (void)g_vsnprintf (reason, sizeof reason, format, args);
  (void)g_snprintf (reader->error->text, sizeof reader->error->text,
                    "%.160s: %s%s%s: %s", reader->source, reader->path,
                    key == NULL ? "" : ".", key == NULL ? "" : key, reason);
  return -EINVAL;
}

int
reader_fail (reader_t *reader, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fail_at (reader, NULL, format, args);
  va_end (args);
  return -EINVAL;
}

int
reader_fail_key (reader_t *reader, const char *key, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fail_at (reader, key, format, args);
  va_end (args);
  return -EINVAL;
}

size_t
reader_enter (reader_t *reader, const char *key)
{
  size_t depth = reader->depth;
  int n = snprintf (reader->path + depth, CONF_PATH_MAX - depth, ".%s", key);

  reader->depth = MIN (depth + (size_t)MAX (n, 0), CONF_PATH_MAX - 1);
  return depth;
}

size_t
reader_enter_index (reader_t *reader, size_t index)
{
  size_t depth = reader->depth;
  int n
      = snprintf (reader->path + depth, CONF_PATH_MAX - depth, "[%zu]", index);

  reader->depth = MIN (depth + (size_t)MAX (n, 0), CONF_PATH_MAX - 1);
  return depth;
}

void
reader_leave (reader_t *reader, size_t depth)
{
  if (depth == 0)
    {
      reader->path[0] = '$';
      depth = 1;
    }
  reader->depth = depth;
  reader->path[depth] = '\0';
}

int
check_keys (reader_t *reader, json_object *object, const char *const keys[])
{
  char shown[64];

  json_object_object_foreach (object, key, value)
  {
    size_t i = 0;

    (void)value;
    while (keys[i] != NULL && strcmp (keys[i], key) != 0)
      i++;
    if (keys[i] == NULL)
      return reader_fail (reader, "unknown key \"%s\"",
                          printable (key, shown));
  }
  return 0;
}

static int
get_value (reader_t *reader, json_object *object, const char *key,
           presence_t presence, json_type type, json_object **value)
{
  static const char *const names[] = {
    [json_type_null] = "null",        [json_type_boolean] = "true or false",
    [json_type_double] = "a number",  [json_type_int] = "a whole number",
    [json_type_object] = "an object", [json_type_array] = "an array",
    [json_type_string] = "a string",
  };

  if (!json_object_object_get_ex (object, key, value))
    {
      *value = NULL;
      return presence == OPTIONAL ? 0
                                  : reader_fail_key (reader, key, "missing");
    }
  if (type == json_type_double && json_object_is_type (*value, json_type_int))
    return 0;
  if (!json_object_is_type (*value, type))
    return reader_fail_key (reader, key, "must be %s", names[type]);
  return 0;
}

int
read_integer (reader_t *reader, json_object *object, const char *key,
              presence_t presence, range_t range, int64_t *value)
{
  json_object *found;
  int64_t number;
  int result
      = get_value (reader, object, key, presence, json_type_int, &found);

  if (result != 0 || found == NULL)
    return result;
  /* json-c replaces a number beyond 64 bits by the nearest limit, which is
     outside every range here but the one up to INT64_MAX.  */
  number = json_object_get_int64 (found);
  if (number < range.least || number > range.most)
    return reader_fail_key (
        reader, key, "must be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
        range.least, range.most);
  *value = number;
  return 0;
}

int
read_bool (reader_t *reader, json_object *object, const char *key, bool *value)
{
  json_object *found;
  int result
      = get_value (reader, object, key, OPTIONAL, json_type_boolean, &found);

  if (result == 0 && found != NULL)
    *value = json_object_get_boolean (found);
  return result;
}

int
read_share (reader_t *reader, json_object *object, const char *key,
            double *value)
{
  json_object *found;
  double number;
  int result
      = get_value (reader, object, key, OPTIONAL, json_type_double, &found);

  if (result != 0 || found == NULL)
    return result;
  number = json_object_get_double (found);
  if (!(number >= 0 && number <= 1))
    return reader_fail_key (reader, key, "must be from 0 to 1");
  *value = number;
  return 0;
}

int
read_string (reader_t *reader, json_object *object, const char *key,
             presence_t presence, size_t size, char *value)
{
  json_object *found;
  size_t length;
  int result
      = get_value (reader, object, key, presence, json_type_string, &found);

  if (result != 0 || found == NULL)
    return result;
  length = (size_t)json_object_get_string_len (found);
  if (length >= size)
    return reader_fail_key (reader, key, "longer than %zu bytes", size - 1);
  if (strlen (json_object_get_string (found)) != length)
    return reader_fail_key (reader, key, "contains a NUL character");
  memcpy (value, json_object_get_string (found), length + 1);
  return 0;
}

int
read_name (reader_t *reader, json_object *object, const char *key,
           presence_t presence, char value[DECIDE_NAME_MAX])
{
  char shown[64];
  int result
      = read_string (reader, object, key, presence, DECIDE_NAME_MAX, value);

  if (result != 0
      || (presence == OPTIONAL && !json_object_object_get (object, key)))
    return result;
  if (conf_check_name (value) != 0)
    return reader_fail_key (reader, key,
                            "\"%s\" is not a name (letters, digits, '-', "
                            "'_', '.')",
                            printable (value, shown));
  return 0;
}

int
read_address (reader_t *reader, json_object *object, const char *key,
              presence_t presence, char value[DECIDE_ADDRESS_MAX])
{
  char shown[64];
  int result
      = read_string (reader, object, key, presence, DECIDE_ADDRESS_MAX, value);

  if (result != 0
      || (presence == OPTIONAL && !json_object_object_get (object, key)))
    return result;
  if (conf_check_address (value) != 0)
    return reader_fail_key (reader, key, "\"%s\" is not IP:PORT",
                            printable (value, shown));
  return 0;
}

int
read_object (reader_t *reader, json_object *object, const char *key,
             presence_t presence, json_object **value)
{
  return get_value (reader, object, key, presence, json_type_object, value);
}

int
read_array (reader_t *reader, json_object *object, const char *key,
            range_t length, json_object **value)
{
  int64_t count;
  int result
      = get_value (reader, object, key, REQUIRED, json_type_array, value);

  if (result != 0)
    return result;
  count = (int64_t)json_object_array_length (*value);
  if (count < length.least || count > length.most)
    return reader_fail_key (reader, key,
                            "must have %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT " items",
                            length.least, length.most);
  return 0;
}

const char *
printable (const char *text, char shown[64])
{
  size_t i;

  for (i = 0; text[i] != '\0' && i < 60; i++)
    shown[i] = (char)(text[i] >= ' ' && text[i] <= '~' ? text[i] : '?');
  memcpy (shown + i, text[i] == '\0' ? "" : "...", text[i] == '\0' ? 1 : 4);
  return shown;
}

int
conf_check_name (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length >= DECIDE_NAME_MAX)
    return -EINVAL;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (name[i]) && strchr ("-_.", name[i]) == NULL)
      return -EINVAL;
  return 0;
}

/* Only the canonical spelling is accepted, so that equal addresses are equal
   strings and an endpoint can't be listed twice.  */
int
conf_check_address (const char *address)
{
  char host[INET6_ADDRSTRLEN + 2];
  char again[DECIDE_ADDRESS_MAX];
  char canonical[INET6_ADDRSTRLEN];
  unsigned char binary[sizeof (struct in6_addr)];
  const char *colon = strrchr (address, ':');
  guint64 port;
  size_t length;
  bool v6 = address[0] == '[';

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return -EINVAL;
  length = (size_t)(colon - address);
  if (length < 2 || length >= sizeof host
      || (v6 && address[length - 1] != ']'))
    return -EINVAL;
  memcpy (host, address + v6, length - 2 * (size_t)v6);
  host[length - 2 * (size_t)v6] = '\0';
  if (inet_pton (v6 ? AF_INET6 : AF_INET, host, binary) != 1)
    return -EINVAL;
  inet_ntop (v6 ? AF_INET6 : AF_INET, binary, canonical, sizeof canonical);
  (void)snprintf (again, sizeof again, v6 ? "[%s]:%u" : "%s:%u", canonical,
                  (unsigned int)port);
  return strcmp (again, address) == 0 ? 0 : -EINVAL;
}

int
read_names (reader_t *reader, const char *key, json_object *list,
            char names[][DECIDE_NAME_MAX])
{
  size_t outer = reader_enter (reader, key);
  char shown[64];

  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      const char *text = json_object_is_type (item, json_type_string)
                             ? json_object_get_string (item)
                             : "";
      size_t depth = reader_enter_index (reader, i);

      if (conf_check_name (text) != 0)
        return reader_fail (reader,
                            "\"%s\" is not a name (letters, digits, '-', "
                            "'_', '.')",
                            printable (text, shown));
      for (size_t j = 0; j < i; j++)
        if (strcmp (names[j], text) == 0)
          return reader_fail (reader, "duplicate name \"%s\"", text);
      (void)g_strlcpy (names[i], text, DECIDE_NAME_MAX);
      reader_leave (reader, depth);
    }
  reader_leave (reader, outer);
  return 0;
}
