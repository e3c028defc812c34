#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Size limit of a value in the store's object API.  */
#define BODY_BYTES_MAX (1 << 20)

typedef int (*parse_function_t) (conf_parser_t *parser, json_object *root,
                                 conf_object_t *object, const char *name);

static int parse_profile (conf_parser_t *parser, json_object *root,
                          conf_object_t *object, const char *name);
static int parse_service (conf_parser_t *parser, json_object *root,
                          conf_object_t *object, const char *name);
static int parse_out_mark (conf_parser_t *parser, json_object *root,
                           conf_object_t *object, const char *name);
static int parse_ownership (conf_parser_t *parser, json_object *root,
                            conf_object_t *object, const char *name);
static int parse_group_object (conf_parser_t *parser, json_object *root,
                               conf_object_t *object, const char *name);
static int check_key_region (conf_parser_t *parser,
                             const decide_service_t *service);
static int parse_service_groups (conf_parser_t *parser, json_object *root,
                                 decide_service_t *service);
static int parse_endpoint (conf_parser_t *parser, json_object *item,
                           decide_service_t *service);
static int parse_body (conf_object_t *object, parse_function_t parse,
                       const char *name, conf_error_t *error);
static int add_key (json_object *object, const char *key, json_object *value);

static const struct
{
  const char *prefix;
  decide_object_kind_t kind;
  parse_function_t parse;
} object_kinds[] = {
  { CONF_PREFIX_PROFILE, DECIDE_OBJECT_PROFILE, parse_profile },
  { CONF_PREFIX_SERVICE, DECIDE_OBJECT_SERVICE, parse_service },
  { CONF_PREFIX_OUT_DATA_CENTRE, DECIDE_OBJECT_OUT_CENTRE, parse_out_mark },
  { CONF_PREFIX_OUT_INSTANCE, DECIDE_OBJECT_OUT_INSTANCE, parse_out_mark },
  { CONF_PREFIX_GROUP, DECIDE_OBJECT_GROUP, parse_group_object },
  { CONF_PREFIX_OWNERSHIP, DECIDE_OBJECT_RECORD, parse_ownership },
};

int
conf_parse_object (const char *name, const char *body, uint64_t version,
                   uint64_t revision, bool deleted, conf_object_t **object,
                   conf_error_t *error)
{
  conf_object_t *new;
  const char *short_name;
  char buffer[64];
  size_t kind = 0;
  int result;

  *object = NULL;
  error->text[0] = '\0';
  while (kind < G_N_ELEMENTS (object_kinds)
         && !g_str_has_prefix (name, object_kinds[kind].prefix))
    kind++;
  if (kind == G_N_ELEMENTS (object_kinds))
    {
      (void)snprintf (error->text, sizeof error->text,
                      "%s: not a kind of object",
                      conf_make_printable (name, buffer));
      return -ENOENT;
    }
  short_name = name + strlen (object_kinds[kind].prefix);
  if (conf_check_name (short_name) != 0)
    {
      (void)snprintf (error->text, sizeof error->text,
                      "%s\"%s\" is not a name (letters, digits, '-', '_', "
                      "'.', at most 63 bytes)",
                      object_kinds[kind].prefix,
                      conf_make_printable (short_name, buffer));
      return -EINVAL;
    }
  new = calloc (1, sizeof *new);
  if (new == NULL)
    return -ENOMEM;
  new->name = strdup (name);
  new->body = strdup (deleted || body == NULL ? "" : body);
  new->object = (decide_object_t){ .kind = object_kinds[kind].kind,
                                   .name = new->name,
                                   .version = version,
                                   .revision = revision,
                                   .deleted = deleted,
                                   .body = new->body };
  if (new->name == NULL || new->body == NULL)
    result = -ENOMEM;
  else if (!deleted)
    result = parse_body (new, object_kinds[kind].parse, short_name, error);
  else
    result = object_kinds[kind].parse == parse_out_mark
                 ? parse_out_mark (NULL, NULL, new, short_name)
                 : 0;
  if (result != 0)
    {
      conf_object_free (new);
      return result;
    }
  *object = new;
  return 0;
}

static int
parse_body (conf_object_t *object, parse_function_t parse, const char *name,
            conf_error_t *error)
{
  conf_parser_t parser;
  json_object *root;
  size_t length = strlen (object->body);
  int result;

  if (length > BODY_BYTES_MAX)
    {
      (void)snprintf (error->text, sizeof error->text,
                      "%s: longer than %d bytes", object->name,
                      BODY_BYTES_MAX);
      return -EINVAL;
    }
  result = conf_parse_root_object (&parser, object->name, object->body, length,
                                   error, &root);
  if (result != 0)
    return result;
  result = parse (&parser, root, object, name);
  json_object_put (root);
  return result;
}

void
conf_object_free (conf_object_t *object)
{
  if (object == NULL)
    return;
  if (object->object.kind == DECIDE_OBJECT_SERVICE)
    free (object->u.service.endpoints);
  free (object->name);
  free (object->body);
  free (object);
}

static int
parse_profile (conf_parser_t *parser, json_object *root, conf_object_t *object,
               const char *name)
{
  static const char *const keys[] = { "priority",
                                      "timeout_ms",
                                      "run_ms",
                                      "queue_max",
                                      "retry",
                                      "unknown_retries_per_mille",
                                      "hedge",
                                      "hedge_after_ms",
                                      "key_retention_ms",
                                      "idempotent_prefix",
                                      NULL };
  decide_profile_t *profile = &object->u.profile;
  int64_t priority = 3; /* default urgency of RFC 9218 */
  int64_t queue_max = 64;
  int64_t unknown_retries = DECIDE_RETRIES_PER_MILLE;
  int result;

  *profile = (decide_profile_t){ .timeout_ms = 3000,
                                 .run_ms = 2000,
                                 .retry = true,
                                 .hedge_after_ms = 100,
                                 .key_retention_ms = 600000 };
  (void)g_strlcpy (profile->name, name, sizeof profile->name);
  if ((result = conf_check_keys (parser, root, keys)) != 0
      || (result = conf_get_integer (parser, root, "priority", CONF_OPTIONAL,
                                     (conf_range_t){ 0, 7 }, &priority))
             != 0
      || (result = conf_get_integer (parser, root, "timeout_ms", CONF_OPTIONAL,
                                     (conf_range_t){ 10, 600000 },
                                     &profile->timeout_ms))
             != 0
      || (result
          = conf_get_integer (parser, root, "run_ms", CONF_OPTIONAL,
                              (conf_range_t){ 10, 60000 }, &profile->run_ms))
             != 0
      || (result = conf_get_integer (parser, root, "queue_max", CONF_OPTIONAL,
                                     (conf_range_t){ 0, 10000 }, &queue_max))
             != 0
      || (result = conf_get_bool (parser, root, "retry", &profile->retry)) != 0
      || (result = conf_get_integer (
              parser, root, "unknown_retries_per_mille", CONF_OPTIONAL,
              (conf_range_t){ 0, DECIDE_RETRIES_PER_MILLE }, &unknown_retries))
             != 0
      || (result = conf_get_bool (parser, root, "hedge", &profile->hedge)) != 0
      || (result = conf_get_integer (parser, root, "hedge_after_ms",
                                     CONF_OPTIONAL, (conf_range_t){ 1, 60000 },
                                     &profile->hedge_after_ms))
             != 0
      || (result = conf_get_integer (
              parser, root, "key_retention_ms", CONF_OPTIONAL,
              (conf_range_t){ 1000, 3600000 }, &profile->key_retention_ms))
             != 0
      || (result = conf_get_string (
              parser, root, "idempotent_prefix", CONF_OPTIONAL,
              sizeof profile->idempotent_prefix, profile->idempotent_prefix))
             != 0)
    return result;
  profile->priority = (uint32_t)priority;
  profile->queue_max = (uint32_t)queue_max;
  profile->unknown_retries_per_mille = (uint32_t)unknown_retries;
  if (profile->hedge && profile->hedge_after_ms >= profile->run_ms)
    return conf_parser_fail_key (parser, "hedge_after_ms",
                                 "must be less than run_ms (%" G_GINT64_FORMAT
                                 ") when hedge is true",
                                 profile->run_ms);
  /* A key must be kept for the whole time limit of its request: if it expired
     while the request runs, the request could be executed twice.  */
  if (profile->key_retention_ms < profile->timeout_ms)
    return conf_parser_fail_key (
        parser, "key_retention_ms",
        "must be at least timeout_ms (%" G_GINT64_FORMAT ")",
        profile->timeout_ms);
  if (profile->idempotent_prefix[0] != '\0'
      && profile->idempotent_prefix[0] != '/')
    return conf_parser_fail_key (parser, "idempotent_prefix",
                                 "must begin with '/'");
  object->object.u.profile = profile;
  return 0;
}

static int
parse_service (conf_parser_t *parser, json_object *root, conf_object_t *object,
               const char *name)
{
  static const char *const keys[]
      = { "profile", "endpoints", "groups", "key_region", NULL };
  decide_service_t *service = &object->u.service;
  json_object *list;
  size_t list_saved_length;
  size_t count;
  int result;

  (void)g_strlcpy (service->name, name, sizeof service->name);
  if ((result = conf_check_keys (parser, root, keys)) != 0
      || (result = conf_get_name (parser, root, "profile", CONF_REQUIRED,
                                  service->profile))
             != 0
      || (result = conf_get_array (
              parser, root, "endpoints",
              (conf_range_t){ 1, DECIDE_SERVICE_ENDPOINTS_MAX }, &list))
             != 0
      || (result = conf_get_name (parser, root, "key_region", CONF_OPTIONAL,
                                  service->key_region))
             != 0
      || (result = parse_service_groups (parser, root, service)) != 0)
    return result;
  count = json_object_array_length (list);
  service->endpoints = calloc (count, sizeof *service->endpoints);
  if (service->endpoints == NULL)
    return -ENOMEM;
  list_saved_length = conf_parser_enter_key (parser, "endpoints");
  for (size_t i = 0; i < count; i++)
    {
      size_t saved_length = conf_parser_enter_index (parser, i);

      result = parse_endpoint (parser, json_object_array_get_idx (list, i),
                               service);
      if (result != 0)
        return result;
      conf_parser_leave (parser, saved_length);
    }
  conf_parser_leave (parser, list_saved_length);
  object->object.u.service = service;
  return check_key_region (parser, service);
}

static int
parse_service_groups (conf_parser_t *parser, json_object *root,
                      decide_service_t *service)
{
  json_object *list;
  int result;

  if (!json_object_object_get_ex (root, "groups", NULL))
    return 0;
  result
      = conf_get_array (parser, root, "groups",
                        (conf_range_t){ 1, DECIDE_SERVICE_GROUPS_MAX }, &list);
  if (result == 0)
    result = conf_parse_names (parser, "groups", list, service->groups);
  if (result == 0)
    service->group_count = (uint32_t)json_object_array_length (list);
  return result;
}

/* Checks that the data centre key_region has an endpoint, because requests
   with an idempotency key are executed at the group that stores the keys.  */
static int
check_key_region (conf_parser_t *parser, const decide_service_t *service)
{
  if (service->key_region[0] == '\0')
    return 0;
  for (uint32_t i = 0; i < service->endpoint_count; i++)
    if (strcmp (service->endpoints[i].data_centre, service->key_region) == 0)
      return 0;
  return conf_parser_fail_key (parser, "key_region",
                               "no endpoint is in data centre \"%s\"",
                               service->key_region);
}

static int
parse_group_object (conf_parser_t *parser, json_object *root,
                    conf_object_t *object, const char *name)
{
  int result = conf_parse_group (parser, root, &object->u.group);

  (void)g_strlcpy (object->u.group.name, name, sizeof object->u.group.name);
  object->object.u.group = &object->u.group;
  return result;
}

static int
parse_endpoint (conf_parser_t *parser, json_object *item,
                decide_service_t *service)
{
  static const char *const keys[]
      = { "id", "data_centre", "address", "slots", NULL };
  decide_endpoint_t *new = &service->endpoints[service->endpoint_count];
  int64_t slots = 0;
  int result;

  if (!json_object_is_type (item, json_type_object))
    return conf_parser_fail (parser, "must be an object");
  if ((result = conf_check_keys (parser, item, keys)) != 0
      || (result
          = conf_get_name (parser, item, "id", CONF_REQUIRED, new->name))
             != 0
      || (result = conf_get_name (parser, item, "data_centre", CONF_REQUIRED,
                                  new->data_centre))
             != 0
      || (result = conf_get_address (parser, item, "address", CONF_REQUIRED,
                                     new->address))
             != 0
      || (result = conf_get_integer (parser, item, "slots", CONF_REQUIRED,
                                     (conf_range_t){ 1, 64 }, &slots))
             != 0)
    return result;
  new->slots = (uint32_t)slots;
  /* Duplicates are refused, because a backend server that is listed twice
     would get twice its slots.  */
  for (uint32_t i = 0; i < service->endpoint_count; i++)
    {
      const decide_endpoint_t *old = &service->endpoints[i];

      if (strcmp (old->name, new->name) == 0)
        return conf_parser_fail_key (parser, "id", "duplicate endpoint \"%s\"",
                                     new->name);
      if (strcmp (old->address, new->address) == 0)
        return conf_parser_fail_key (
            parser, "address", "same address as endpoint \"%s\"", old->name);
    }
  service->endpoint_count++;
  return 0;
}

/* Parses an out mark, an object whose existence takes a data centre or
   instance out of service.  Its body is an empty JSON object; @root is NULL
   for a tombstone.  */
static int
parse_out_mark (conf_parser_t *parser, json_object *root,
                conf_object_t *object, const char *name)
{
  static const char *const keys[] = { NULL };
  int result = root == NULL ? 0 : conf_check_keys (parser, root, keys);

  if (result != 0)
    return result;
  (void)g_strlcpy (object->u.out, name, sizeof object->u.out);
  object->object.u.out = object->u.out;
  return 0;
}

static int
parse_ownership (conf_parser_t *parser, json_object *root,
                 conf_object_t *object, const char *name)
{
  int result = conf_parse_record (parser, root, &object->u.record);

  (void)name;
  if (result != 0)
    return result;
  object->u.record.version = object->object.version;
  object->object.u.record = &object->u.record;
  return 0;
}

char *
conf_format_profile (const decide_profile_t *profile)
{
  json_object *root = json_object_new_object ();
  char *text = NULL;

  if (add_key (root, "priority", json_object_new_int64 (profile->priority))
          == 0
      && add_key (root, "timeout_ms",
                  json_object_new_int64 (profile->timeout_ms))
             == 0
      && add_key (root, "run_ms", json_object_new_int64 (profile->run_ms)) == 0
      && add_key (root, "queue_max",
                  json_object_new_int64 (profile->queue_max))
             == 0
      && add_key (root, "retry", json_object_new_boolean (profile->retry)) == 0
      && add_key (root, "unknown_retries_per_mille",
                  json_object_new_int64 (profile->unknown_retries_per_mille))
             == 0
      && add_key (root, "hedge", json_object_new_boolean (profile->hedge)) == 0
      && add_key (root, "hedge_after_ms",
                  json_object_new_int64 (profile->hedge_after_ms))
             == 0
      && add_key (root, "key_retention_ms",
                  json_object_new_int64 (profile->key_retention_ms))
             == 0
      && add_key (root, "idempotent_prefix",
                  json_object_new_string (profile->idempotent_prefix))
             == 0)
    text = strdup (json_object_to_json_string_ext (
        root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
  return text;
}

static int
add_key (json_object *object, const char *key, json_object *value)
{
  if (object != NULL && value != NULL
      && json_object_object_add (object, key, value) == 0)
    return 0;
  json_object_put (value);
  return -ENOMEM;
}
