#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest value of the object API.  */
#define BODY_BYTES_MAX (1 << 20)

typedef int (*parse_t) (reader_t *reader, json_object *root,
                        conf_object_t *object, const char *name);

static int parse_profile (reader_t *reader, json_object *root,
                          conf_object_t *object, const char *name);
static int parse_service (reader_t *reader, json_object *root,
                          conf_object_t *object, const char *name);
static int parse_out (reader_t *reader, json_object *root,
                      conf_object_t *object, const char *name);
static int parse_ownership (reader_t *reader, json_object *root,
                            conf_object_t *object, const char *name);
static int parse_group_object (reader_t *reader, json_object *root,
                               conf_object_t *object, const char *name);
static int check_key_region (reader_t *reader,
                             const decide_service_t *service);
static int parse_service_groups (reader_t *reader, json_object *root,
                                 decide_service_t *service);
static int parse_endpoint (reader_t *reader, json_object *item,
                           decide_service_t *service);
static int parse_body (conf_object_t *object, parse_t parse, const char *name,
                       conf_error_t *error);
static int add (json_object *object, const char *key, json_object *value);

static const struct
{
  const char *prefix;
  decide_object_kind_t kind;
  parse_t parse;
} kinds[] = {
  { CONF_PREFIX_PROFILE, DECIDE_OBJECT_PROFILE, parse_profile },
  { CONF_PREFIX_SERVICE, DECIDE_OBJECT_SERVICE, parse_service },
  { CONF_PREFIX_OUT_DATA_CENTRE, DECIDE_OBJECT_OUT_CENTRE, parse_out },
  { CONF_PREFIX_OUT_INSTANCE, DECIDE_OBJECT_OUT_INSTANCE, parse_out },
  { CONF_PREFIX_GROUP, DECIDE_OBJECT_GROUP, parse_group_object },
  { CONF_PREFIX_OWNERSHIP, DECIDE_OBJECT_RECORD, parse_ownership },
};

int
conf_parse_object (const char *name, const char *body, uint64_t version,
                   uint64_t revision, bool deleted, conf_object_t **object,
                   conf_error_t *error)
{
  conf_object_t *new;
  const char *last;
  char shown[64];
  size_t kind = 0;
  int result;

  *object = NULL;
  error->text[0] = '\0';
  while (kind < G_N_ELEMENTS (kinds)
         && !g_str_has_prefix (name, kinds[kind].prefix))
    kind++;
  if (kind == G_N_ELEMENTS (kinds))
    {
      (void)snprintf (error->text, sizeof error->text,
                      "%s: not a kind of object", printable (name, shown));
      return -ENOENT;
    }
  last = name + strlen (kinds[kind].prefix);
  if (conf_check_name (last) != 0)
    {
      (void)snprintf (error->text, sizeof error->text,
                      "%s\"%s\" is not a name (letters, digits, '-', '_', "
                      "'.', at most 63 bytes)",
                      kinds[kind].prefix, printable (last, shown));
      return -EINVAL;
    }
  new = calloc (1, sizeof *new);
  if (new == NULL)
    return -ENOMEM;
  new->name = strdup (name);
  new->body = strdup (deleted || body == NULL ? "" : body);
  new->object = (decide_object_t){ .kind = kinds[kind].kind,
                                   .name = new->name,
                                   .version = version,
                                   .revision = revision,
                                   .deleted = deleted,
                                   .body = new->body };
  if (new->name == NULL || new->body == NULL)
    result = -ENOMEM;
  else if (!deleted)
    result = parse_body (new, kinds[kind].parse, last, error);
  else
    result = kinds[kind].parse == parse_out ? parse_out (NULL, NULL, new, last)
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
parse_body (conf_object_t *object, parse_t parse, const char *name,
            conf_error_t *error)
{
  reader_t reader;
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
  result = reader_open (&reader, object->name, object->body, length, error,
                        &root);
  if (result != 0)
    return result;
  result = parse (&reader, root, object, name);
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
parse_profile (reader_t *reader, json_object *root, conf_object_t *object,
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
  if ((result = check_keys (reader, root, keys)) != 0
      || (result = read_integer (reader, root, "priority", OPTIONAL,
                                 (range_t){ 0, 7 }, &priority))
             != 0
      || (result
          = read_integer (reader, root, "timeout_ms", OPTIONAL,
                          (range_t){ 10, 600000 }, &profile->timeout_ms))
             != 0
      || (result = read_integer (reader, root, "run_ms", OPTIONAL,
                                 (range_t){ 10, 60000 }, &profile->run_ms))
             != 0
      || (result = read_integer (reader, root, "queue_max", OPTIONAL,
                                 (range_t){ 0, 10000 }, &queue_max))
             != 0
      || (result = read_bool (reader, root, "retry", &profile->retry)) != 0
      || (result = read_integer (
              reader, root, "unknown_retries_per_mille", OPTIONAL,
              (range_t){ 0, DECIDE_RETRIES_PER_MILLE }, &unknown_retries))
             != 0
      || (result = read_bool (reader, root, "hedge", &profile->hedge)) != 0
      || (result
          = read_integer (reader, root, "hedge_after_ms", OPTIONAL,
                          (range_t){ 1, 60000 }, &profile->hedge_after_ms))
             != 0
      || (result = read_integer (reader, root, "key_retention_ms", OPTIONAL,
                                 (range_t){ 1000, 3600000 },
                                 &profile->key_retention_ms))
             != 0
      || (result = read_string (reader, root, "idempotent_prefix", OPTIONAL,
                                sizeof profile->idempotent_prefix,
                                profile->idempotent_prefix))
             != 0)
    return result;
  profile->priority = (uint32_t)priority;
  profile->queue_max = (uint32_t)queue_max;
  profile->unknown_retries_per_mille = (uint32_t)unknown_retries;
  if (profile->hedge && profile->hedge_after_ms >= profile->run_ms)
    return reader_fail_key (reader, "hedge_after_ms",
                            "must be less than run_ms (%" G_GINT64_FORMAT
                            ") when hedge is true",
                            profile->run_ms);
  /* A key that is forgotten while its request runs could run twice.  */
  if (profile->key_retention_ms < profile->timeout_ms)
    return reader_fail_key (reader, "key_retention_ms",
                            "must be at least timeout_ms (%" G_GINT64_FORMAT
                            ")",
                            profile->timeout_ms);
  if (profile->idempotent_prefix[0] != '\0'
      && profile->idempotent_prefix[0] != '/')
    return reader_fail_key (reader, "idempotent_prefix",
                            "must begin with '/'");
  object->object.u.profile = profile;
  return 0;
}

static int
parse_service (reader_t *reader, json_object *root, conf_object_t *object,
               const char *name)
{
  static const char *const keys[]
      = { "profile", "endpoints", "groups", "key_region", NULL };
  decide_service_t *service = &object->u.service;
  json_object *list;
  size_t outer;
  size_t count;
  int result;

  (void)g_strlcpy (service->name, name, sizeof service->name);
  if ((result = check_keys (reader, root, keys)) != 0
      || (result
          = read_name (reader, root, "profile", REQUIRED, service->profile))
             != 0
      || (result
          = read_array (reader, root, "endpoints",
                        (range_t){ 1, DECIDE_SERVICE_ENDPOINTS_MAX }, &list))
             != 0
      || (result = read_name (reader, root, "key_region", OPTIONAL,
                              service->key_region))
             != 0
      || (result = parse_service_groups (reader, root, service)) != 0)
    return result;
  count = json_object_array_length (list);
  service->endpoints = calloc (count, sizeof *service->endpoints);
  if (service->endpoints == NULL)
    return -ENOMEM;
  outer = reader_enter (reader, "endpoints");
  for (size_t i = 0; i < count; i++)
    {
      size_t depth = reader_enter_index (reader, i);

      result = parse_endpoint (reader, json_object_array_get_idx (list, i),
                               service);
      if (result != 0)
        return result;
      reader_leave (reader, depth);
    }
  reader_leave (reader, outer);
  object->object.u.service = service;
  return check_key_region (reader, service);
}

static int
parse_service_groups (reader_t *reader, json_object *root,
                      decide_service_t *service)
{
  json_object *list;
  int result;

  if (!json_object_object_get_ex (root, "groups", NULL))
    return 0;
  result = read_array (reader, root, "groups",
                       (range_t){ 1, DECIDE_SERVICE_GROUPS_MAX }, &list);
  if (result == 0)
    result = read_names (reader, "groups", list, service->groups);
  if (result == 0)
    service->group_count = (uint32_t)json_object_array_length (list);
  return result;
}

/* Keyed requests run at the group that has the keys, so it needs
   endpoints.  */
static int
check_key_region (reader_t *reader, const decide_service_t *service)
{
  if (service->key_region[0] == '\0')
    return 0;
  for (uint32_t i = 0; i < service->endpoint_count; i++)
    if (strcmp (service->endpoints[i].data_centre, service->key_region) == 0)
      return 0;
  return reader_fail_key (reader, "key_region",
                          "no endpoint is in data centre \"%s\"",
                          service->key_region);
}

static int
parse_group_object (reader_t *reader, json_object *root, conf_object_t *object,
                    const char *name)
{
  int result = parse_group (reader, root, &object->u.group);

  (void)g_strlcpy (object->u.group.name, name, sizeof object->u.group.name);
  object->object.u.group = &object->u.group;
  return result;
}

static int
parse_endpoint (reader_t *reader, json_object *item, decide_service_t *service)
{
  static const char *const keys[]
      = { "id", "data_centre", "address", "slots", NULL };
  decide_endpoint_t *new = &service->endpoints[service->endpoint_count];
  int64_t slots = 0;
  int result;

  if (!json_object_is_type (item, json_type_object))
    return reader_fail (reader, "must be an object");
  if ((result = check_keys (reader, item, keys)) != 0
      || (result = read_name (reader, item, "id", REQUIRED, new->name)) != 0
      || (result = read_name (reader, item, "data_centre", REQUIRED,
                              new->data_centre))
             != 0
      || (result
          = read_address (reader, item, "address", REQUIRED, new->address))
             != 0
      || (result = read_integer (reader, item, "slots", REQUIRED,
                                 (range_t){ 1, 64 }, &slots))
             != 0)
    return result;
  new->slots = (uint32_t)slots;
  /* One backend server in two entries would get twice its slots.  */
  for (uint32_t i = 0; i < service->endpoint_count; i++)
    {
      const decide_endpoint_t *old = &service->endpoints[i];

      if (strcmp (old->name, new->name) == 0)
        return reader_fail_key (reader, "id", "duplicate endpoint \"%s\"",
                                new->name);
      if (strcmp (old->address, new->address) == 0)
        return reader_fail_key (reader, "address",
                                "same address as endpoint \"%s\"", old->name);
    }
  service->endpoint_count++;
  return 0;
}

/* The object's existence is the mark; its body is an empty object.  */
static int
parse_out (reader_t *reader, json_object *root, conf_object_t *object,
           const char *name)
{
  static const char *const keys[] = { NULL };
  int result = root == NULL ? 0 : check_keys (reader, root, keys);

  if (result != 0)
    return result;
  (void)g_strlcpy (object->u.out, name, sizeof object->u.out);
  object->object.u.out = object->u.out;
  return 0;
}

static int
parse_ownership (reader_t *reader, json_object *root, conf_object_t *object,
                 const char *name)
{
  int result = parse_record (reader, root, &object->u.record);

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

  if (add (root, "priority", json_object_new_int64 (profile->priority)) == 0
      && add (root, "timeout_ms", json_object_new_int64 (profile->timeout_ms))
             == 0
      && add (root, "run_ms", json_object_new_int64 (profile->run_ms)) == 0
      && add (root, "queue_max", json_object_new_int64 (profile->queue_max))
             == 0
      && add (root, "retry", json_object_new_boolean (profile->retry)) == 0
      && add (root, "unknown_retries_per_mille",
              json_object_new_int64 (profile->unknown_retries_per_mille))
             == 0
      && add (root, "hedge", json_object_new_boolean (profile->hedge)) == 0
      && add (root, "hedge_after_ms",
              json_object_new_int64 (profile->hedge_after_ms))
             == 0
      && add (root, "key_retention_ms",
              json_object_new_int64 (profile->key_retention_ms))
             == 0
      && add (root, "idempotent_prefix",
              json_object_new_string (profile->idempotent_prefix))
             == 0)
    text = strdup (json_object_to_json_string_ext (
        root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
  return text;
}

static int
add (json_object *object, const char *key, json_object *value)
{
  if (object != NULL && value != NULL
      && json_object_object_add (object, key, value) == 0)
    return 0;
  json_object_put (value);
  return -ENOMEM;
}
