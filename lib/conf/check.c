#include "check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limit of the nesting depth of a text.  All formats need fewer levels; the
   rest is reserved for additions.  */
#define NESTING_MAX 12

static int fail_syntax (conf_parser_t *parser, const char *text, size_t offset,
                        const char *reason);
static int get_value (conf_parser_t *parser, json_object *object,
                      const char *key, conf_presence_t presence,
                      json_type type, json_object **value);

int
conf_parse_root_object (conf_parser_t *parser, const char *source,
                        const char *text, size_t length, conf_error_t *error,
                        json_object **root)
{
  enum json_tokener_error status;
  json_tokener *tokener;
  const char *nul = memchr (text, '\0', length);
  size_t end;
  int result = 0;

  *parser = (conf_parser_t){ .source = source, .error = error };
  error->text[0] = '\0';
  *root = NULL;
  conf_parser_leave (parser, 0);
  if (nul != NULL)
    return fail_syntax (parser, text, (size_t)(nul - text), "NUL byte");
  if (length > INT32_MAX)
    return conf_parser_fail (parser, "text is too long");
  tokener = json_tokener_new_ex (NESTING_MAX);
  if (tokener == NULL)
    return -ENOMEM;
  /* JSON_TOKENER_STRICT would reject comments.  */
  json_tokener_set_flags (tokener, JSON_TOKENER_VALIDATE_UTF8);
  *root = json_tokener_parse_ex (tokener, text, (int)length);
  status = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  if (status == json_tokener_continue)
    {
      /* A comment on the last line may lack the newline that ends it.  */
      *root = json_tokener_parse_ex (tokener, "\n", 1);
      status = json_tokener_get_error (tokener);
      end = length;
    }
  if (status == json_tokener_continue)
    result = fail_syntax (parser, text, length, "unexpected end of text");
  else if (status != json_tokener_success)
    result = fail_syntax (parser, text, end, json_tokener_error_desc (status));
  else if (end < length)
    result = fail_syntax (parser, text, end, "text after the end");
  else if (!json_object_is_type (*root, json_type_object))
    result = conf_parser_fail (parser, "must be an object");
  json_tokener_free (tokener);
  if (result != 0)
    {
      json_object_put (*root);
      *root = NULL;
    }
  return result;
}

static int
fail_syntax (conf_parser_t *parser, const char *text, size_t offset,
             const char *reason)
{
  size_t line = 1;
  size_t column = 1;

  for (size_t i = 0; i < offset; i++)
    {
      column = text[i] == '\n' ? 1 : column + 1;
      line += text[i] == '\n';
    }
  (void)snprintf (parser->error->text, sizeof parser->error->text,
                  "%s:%zu:%zu: %s", parser->source, line, column, reason);
  return -EINVAL;
}

static int
fail_at (conf_parser_t *parser, const char *key, const char *format,
         va_list args)
{
  char reason[320];

  (void)g_vsnprintf (reason, sizeof reason, format, args);
  (void)g_snprintf (parser->error->text, sizeof parser->error->text,
                    "%.160s: %s%s%s: %s", parser->source, parser->path,
                    key == NULL ? "" : ".", key == NULL ? "" : key, reason);
  return -EINVAL;
}

int
conf_parser_fail (conf_parser_t *parser, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fail_at (parser, NULL, format, args);
  va_end (args);
  return -EINVAL;
}

int
conf_parser_fail_key (conf_parser_t *parser, const char *key,
                      const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fail_at (parser, key, format, args);
  va_end (args);
  return -EINVAL;
}

size_t
conf_parser_enter_key (conf_parser_t *parser, const char *key)
{
  size_t saved_length = parser->path_length;
  int n = snprintf (parser->path + saved_length,
                    CONF_JSON_PATH_BYTES - saved_length, ".%s", key);

  parser->path_length
      = MIN (saved_length + (size_t)MAX (n, 0), CONF_JSON_PATH_BYTES - 1);
  return saved_length;
}

size_t
conf_parser_enter_index (conf_parser_t *parser, size_t index)
{
  size_t saved_length = parser->path_length;
  int n = snprintf (parser->path + saved_length,
                    CONF_JSON_PATH_BYTES - saved_length, "[%zu]", index);

  parser->path_length
      = MIN (saved_length + (size_t)MAX (n, 0), CONF_JSON_PATH_BYTES - 1);
  return saved_length;
}

void
conf_parser_leave (conf_parser_t *parser, size_t saved_length)
{
  if (saved_length == 0)
    {
      parser->path[0] = '$';
      saved_length = 1;
    }
  parser->path_length = saved_length;
  parser->path[saved_length] = '\0';
}

int
conf_check_keys (conf_parser_t *parser, json_object *object,
                 const char *const keys[])
{
  char buffer[64];

  json_object_object_foreach (object, key, value)
  {
    size_t i = 0;

    (void)value;
    while (keys[i] != NULL && strcmp (keys[i], key) != 0)
      i++;
    if (keys[i] == NULL)
      return conf_parser_fail (parser, "unknown key \"%s\"",
                               conf_make_printable (key, buffer));
  }
  return 0;
}

static int
get_value (conf_parser_t *parser, json_object *object, const char *key,
           conf_presence_t presence, json_type type, json_object **value)
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
      return presence == CONF_OPTIONAL
                 ? 0
                 : conf_parser_fail_key (parser, key, "missing");
    }
  if (type == json_type_double && json_object_is_type (*value, json_type_int))
    return 0;
  if (!json_object_is_type (*value, type))
    return conf_parser_fail_key (parser, key, "must be %s", names[type]);
  return 0;
}

int
conf_get_integer (conf_parser_t *parser, json_object *object, const char *key,
                  conf_presence_t presence, conf_range_t range, int64_t *value)
{
  json_object *found;
  int64_t number;
  int result
      = get_value (parser, object, key, presence, json_type_int, &found);

  if (result != 0 || found == NULL)
    return result;
  /* json-c clamps a number beyond 64 bits to the nearest 64-bit limit.  A
     clamped number lies outside every range in use and is refused, except by
     ranges that end at INT64_MAX.  */
  number = json_object_get_int64 (found);
  if (number < range.min || number > range.max)
    return conf_parser_fail_key (
        parser, key, "must be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
        range.min, range.max);
  *value = number;
  return 0;
}

int
conf_get_bool (conf_parser_t *parser, json_object *object, const char *key,
               bool *value)
{
  json_object *found;
  int result = get_value (parser, object, key, CONF_OPTIONAL,
                          json_type_boolean, &found);

  if (result == 0 && found != NULL)
    *value = json_object_get_boolean (found);
  return result;
}

int
conf_get_fraction (conf_parser_t *parser, json_object *object, const char *key,
                   double *value)
{
  json_object *found;
  double number;
  int result = get_value (parser, object, key, CONF_OPTIONAL, json_type_double,
                          &found);

  if (result != 0 || found == NULL)
    return result;
  number = json_object_get_double (found);
  if (!(number >= 0 && number <= 1))
    return conf_parser_fail_key (parser, key, "must be from 0 to 1");
  *value = number;
  return 0;
}

int
conf_get_string (conf_parser_t *parser, json_object *object, const char *key,
                 conf_presence_t presence, size_t size, char *value)
{
  json_object *found;
  size_t length;
  int result
      = get_value (parser, object, key, presence, json_type_string, &found);

  if (result != 0 || found == NULL)
    return result;
  length = (size_t)json_object_get_string_len (found);
  if (length >= size)
    return conf_parser_fail_key (parser, key, "longer than %zu bytes",
                                 size - 1);
  if (strlen (json_object_get_string (found)) != length)
    return conf_parser_fail_key (parser, key, "contains a NUL character");
  memcpy (value, json_object_get_string (found), length + 1);
  return 0;
}

int
conf_get_name (conf_parser_t *parser, json_object *object, const char *key,
               conf_presence_t presence, char value[DECIDE_NAME_MAX])
{
  char buffer[64];
  int result = conf_get_string (parser, object, key, presence, DECIDE_NAME_MAX,
                                value);

  if (result != 0
      || (presence == CONF_OPTIONAL && !json_object_object_get (object, key)))
    return result;
  if (conf_check_name (value) != 0)
    return conf_parser_fail_key (parser, key,
                                 "\"%s\" is not a name (letters, digits, '-', "
                                 "'_', '.')",
                                 conf_make_printable (value, buffer));
  return 0;
}

int
conf_get_address (conf_parser_t *parser, json_object *object, const char *key,
                  conf_presence_t presence, char value[DECIDE_ADDRESS_MAX])
{
  char buffer[64];
  int result = conf_get_string (parser, object, key, presence,
                                DECIDE_ADDRESS_MAX, value);

  if (result != 0
      || (presence == CONF_OPTIONAL && !json_object_object_get (object, key)))
    return result;
  if (conf_check_address (value) != 0)
    return conf_parser_fail_key (parser, key, "\"%s\" is not IP:PORT",
                                 conf_make_printable (value, buffer));
  return 0;
}

int
conf_get_object (conf_parser_t *parser, json_object *object, const char *key,
                 conf_presence_t presence, json_object **value)
{
  return get_value (parser, object, key, presence, json_type_object, value);
}

int
conf_get_array (conf_parser_t *parser, json_object *object, const char *key,
                conf_range_t length, json_object **value)
{
  int64_t count;
  int result
      = get_value (parser, object, key, CONF_REQUIRED, json_type_array, value);

  if (result != 0)
    return result;
  count = (int64_t)json_object_array_length (*value);
  if (count < length.min || count > length.max)
    return conf_parser_fail_key (parser, key,
                                 "must have %" G_GINT64_FORMAT
                                 " to %" G_GINT64_FORMAT " items",
                                 length.min, length.max);
  return 0;
}

const char *
conf_make_printable (const char *text, char buffer[64])
{
  size_t i;

  for (i = 0; text[i] != '\0' && i < 60; i++)
    buffer[i] = (char)(text[i] >= ' ' && text[i] <= '~' ? text[i] : '?');
  memcpy (buffer + i, text[i] == '\0' ? "" : "...", text[i] == '\0' ? 1 : 4);
  return buffer;
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
   strings and duplicate endpoints are found.  */
int
conf_check_address (const char *address)
{
  char host[INET6_ADDRSTRLEN + 2];
  char formatted[DECIDE_ADDRESS_MAX];
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
  (void)snprintf (formatted, sizeof formatted, v6 ? "[%s]:%u" : "%s:%u",
                  canonical, (unsigned int)port);
  return strcmp (formatted, address) == 0 ? 0 : -EINVAL;
}

int
conf_parse_names (conf_parser_t *parser, const char *key, json_object *list,
                  char names[][DECIDE_NAME_MAX])
{
  size_t list_saved_length = conf_parser_enter_key (parser, key);
  char buffer[64];

  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      const char *text = json_object_is_type (item, json_type_string)
                             ? json_object_get_string (item)
                             : "";
      size_t saved_length = conf_parser_enter_index (parser, i);

      if (conf_check_name (text) != 0)
        return conf_parser_fail (parser,
                                 "\"%s\" is not a name (letters, digits, '-', "
                                 "'_', '.')",
                                 conf_make_printable (text, buffer));
      for (size_t j = 0; j < i; j++)
        if (strcmp (names[j], text) == 0)
          return conf_parser_fail (parser, "duplicate name \"%s\"", text);
      (void)g_strlcpy (names[i], text, DECIDE_NAME_MAX);
      conf_parser_leave (parser, saved_length);
    }
  conf_parser_leave (parser, list_saved_length);
  return 0;
}
