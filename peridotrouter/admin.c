#include "admin.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "admin_reply.h"
#include "conf.h"
#include "telemetry.h"

/* Largest request body for an object.  */
#define BODY_BYTES_MAX (1 << 20)
/* Number of parts of the longest path, /v1/COLLECTION/NAME/ACTION.  */
#define PATH_PARTS_MAX 4
/* An out mark is an object in the store that takes a data centre or instance
   out of service.  After this many tries to set or remove one, a conflict with
   concurrent changes is reported to the operator.  */
#define OUT_MARK_MAX_TRIES 3

/* Request to a path below /v1/.  */
typedef struct admin_request
{
  struct mg_connection *conn;
  const admin_callbacks_t *callbacks;
  const char *method;
  size_t part_count;
  char **path_parts; /* the path, split at the slashes */
} admin_request_t;

/* A kind of objects: profiles, services or groups.  The same handlers serve
   all three.  */
typedef struct collection
{
  const char *name;   /* in paths and JSON */
  const char *prefix; /* of the objects' names in the store */
} collection_t;

/* Context of find_profile_user(): the profile, and the service found that uses
   it.  */
typedef struct profile_user_search
{
  const char *profile;
  char service[DECIDE_NAME_MAX]; /* empty: none found */
} profile_user_search_t;

/* Context of find_group_conflict(): the new group, and the conflict found with
   a group that shares some of its data centres but not all.  */
typedef struct group_conflict_search
{
  const decide_group_t *group;
  conf_error_t error; /* empty text: no conflict found */
} group_conflict_search_t;

static const collection_t profiles = { "profiles", CONF_PREFIX_PROFILE };
static const collection_t groups = { "groups", CONF_PREFIX_GROUP };
static const collection_t services = { "services", CONF_PREFIX_SERVICE };

static int handle_v1 (struct mg_connection *conn, void *context);
static int handle_metrics (struct mg_connection *conn, void *context);
static int route (const admin_request_t *request);
static int route_collection (const admin_request_t *request,
                             const collection_t *collection);
static int route_action (const admin_request_t *request, const char *prefix,
                         bool can_forget);
static int list_objects (const admin_request_t *request,
                         const collection_t *collection);
static void append_object_json (void *arg, const char *name,
                                const admin_object_t *object);
static int get_object (const admin_request_t *request, const char *name);
static int check_group_conflicts (const admin_request_t *request,
                                  const decide_group_t *group);
static int check_service_groups (const admin_request_t *request,
                                 const char *name,
                                 const decide_service_t *service);
static int check_object (const admin_request_t *request, const char *name);
static int put_object (const admin_request_t *request, const char *name);
static int delete_object (const admin_request_t *request, const char *name);
static int set_out_mark (const admin_request_t *request, const char *name,
                         bool out);
static int forget_instance (const admin_request_t *request);
static int read_body (const admin_request_t *request, char **body);
static int read_and_parse_object (const admin_request_t *request,
                                  const char *name, char **body,
                                  conf_object_t **object);
static int get_expected_version (const admin_request_t *request,
                                 const char *name, uint64_t *expected);
static void find_group_conflict (void *arg, const char *name,
                                 const admin_object_t *object);
static void find_profile_user (void *arg, const char *name,
                               const admin_object_t *object);
static void generate_change_id (char change_id[33]);
static int reply_change (const admin_request_t *request, const char *name,
                         int result, const admin_change_t *change);

void
admin_install (struct mg_context *server, const admin_callbacks_t *callbacks)
{
  mg_set_request_handler (server, "/v1", handle_v1, (void *)callbacks);
  mg_set_request_handler (server, "/metrics", handle_metrics, NULL);
}

static int
handle_metrics (struct mg_connection *conn, void *context)
{
  g_autofree char *text = NULL;

  (void)context;
  if (strcmp (mg_get_request_info (conn)->request_method, "GET") != 0)
    return admin_reply_method_not_allowed (conn, "GET");
  text = telemetry_format_metrics ();
  return admin_reply_text (conn, "text/plain; version=0.0.4", text);
}

static int
handle_v1 (struct mg_connection *conn, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  admin_request_t request
      = { .conn = conn, .callbacks = context, .method = info->request_method };
  int status;

  request.path_parts
      = g_strsplit (info->local_uri + 1, "/", PATH_PARTS_MAX + 1);
  request.part_count = g_strv_length (request.path_parts);
  status = route (&request);
  g_strfreev (request.path_parts);
  return status;
}

static int
route (const admin_request_t *request)
{
  const char *first = request->part_count > 1 ? request->path_parts[1] : "";

  if (request->part_count > 2 && conf_check_name (request->path_parts[2]) != 0)
    return admin_reply_problem (request->conn, 400,
                                "a name has 1 to 63 letters, digits, '-', "
                                "'_', '.'");
  if (strcmp (first, profiles.name) == 0
      && request->part_count <= PATH_PARTS_MAX)
    return route_collection (request, &profiles);
  if (strcmp (first, services.name) == 0
      && request->part_count <= PATH_PARTS_MAX)
    return route_collection (request, &services);
  if (strcmp (first, groups.name) == 0
      && request->part_count <= PATH_PARTS_MAX)
    return route_collection (request, &groups);
  if (strcmp (first, "data-centres") == 0 && request->part_count == 4)
    return route_action (request, CONF_PREFIX_OUT_DATA_CENTRE, false);
  if (strcmp (first, "instances") == 0 && request->part_count == 4)
    return route_action (request, CONF_PREFIX_OUT_INSTANCE, true);
  if (strcmp (first, "status") == 0 && request->part_count == 2)
    return strcmp (request->method, "GET") == 0
               ? admin_get_status (request->conn, request->callbacks)
               : admin_reply_method_not_allowed (request->conn, "GET");
  return admin_reply_problem (request->conn, 404, "no such path");
}

static int
route_collection (const admin_request_t *request,
                  const collection_t *collection)
{
  g_autofree char *name = NULL;

  if (request->part_count == 2)
    return strcmp (request->method, "GET") == 0
               ? list_objects (request, collection)
               : admin_reply_method_not_allowed (request->conn, "GET");
  name = g_strconcat (collection->prefix, request->path_parts[2], NULL);
  if (request->part_count == 4
      && strcmp (request->path_parts[3], "check") != 0)
    return admin_reply_problem (request->conn, 404, "no such path");
  if (request->part_count == 4)
    return strcmp (request->method, "POST") == 0
               ? check_object (request, name)
               : admin_reply_method_not_allowed (request->conn, "POST");
  if (strcmp (request->method, "GET") == 0)
    return get_object (request, name);
  if (strcmp (request->method, "PUT") == 0)
    return put_object (request, name);
  if (strcmp (request->method, "DELETE") == 0)
    return delete_object (request, name);
  return admin_reply_method_not_allowed (request->conn, "GET, PUT, DELETE");
}

/* Routes PUT requests for the actions out and in, and forget if @can_forget.
   @prefix is that of the out marks' names in the store.  */
static int
route_action (const admin_request_t *request, const char *prefix,
              bool can_forget)
{
  g_autofree char *name = g_strconcat (prefix, request->path_parts[2], NULL);
  bool out = strcmp (request->path_parts[3], "out") == 0;
  bool forget = can_forget && strcmp (request->path_parts[3], "forget") == 0;

  if (!out && !forget && strcmp (request->path_parts[3], "in") != 0)
    return admin_reply_problem (request->conn, 404, "no such path");
  if (strcmp (request->method, "PUT") != 0)
    return admin_reply_method_not_allowed (request->conn, "PUT");
  return forget ? forget_instance (request)
                : set_out_mark (request, name, out);
}

static int
list_objects (const admin_request_t *request, const collection_t *collection)
{
  json_object *root = json_object_new_object ();
  json_object *list = json_object_new_array ();
  int result;

  json_object_object_add (root, collection->name, list);
  result = request->callbacks->list (request->callbacks->context,
                                     collection->prefix, append_object_json,
                                     list);
  if (result == 0)
    return admin_reply_json (request->conn, root);
  json_object_put (root);
  return admin_reply_error (request->conn, result, collection->name, NULL);
}

static void
append_object_json (void *arg, const char *name, const admin_object_t *object)
{
  json_object *item = json_object_new_object ();

  json_object_object_add (item, "name",
                          json_object_new_string (strrchr (name, '/') + 1));
  json_object_object_add (item, "version",
                          json_object_new_uint64 (object->version));
  json_object_object_add (item, "revision",
                          json_object_new_uint64 (object->revision));
  json_object_object_add (item, "body", json_object_new_string (object->body));
  json_object_array_add (arg, item);
}

static int
get_object (const admin_request_t *request, const char *name)
{
  admin_object_t object = { 0 };
  json_object *list;
  json_object *item;
  int result
      = request->callbacks->read (request->callbacks->context, name, &object);

  if (result != 0)
    return admin_reply_error (request->conn, result, name, NULL);
  list = json_object_new_array ();
  append_object_json (list, name, &object);
  free (object.body);
  item = json_object_get (json_object_array_get_idx (list, 0));
  json_object_put (list);
  return admin_reply_json (request->conn, item);
}

/* Sets @body to the request's body, which the caller frees.  Returns 0, or the
   status of the error response that was sent.  */
static int
read_body (const admin_request_t *request, char **body)
{
  long long length = mg_get_request_info (request->conn)->content_length;
  size_t bytes_read = 0;
  int n;

  *body = NULL;
  if (length < 0)
    return admin_reply_problem (request->conn, 411,
                                "Content-Length is missing");
  if (length > BODY_BYTES_MAX)
    return admin_reply_problem (
        request->conn, 413, "body is longer than %d bytes", BODY_BYTES_MAX);
  *body = malloc ((size_t)length + 1);
  if (*body == NULL)
    return admin_reply_problem (request->conn, 500, "out of memory");
  while (bytes_read < (size_t)length
         && (n = mg_read (request->conn, *body + bytes_read,
                          (size_t)length - bytes_read))
                > 0)
    bytes_read += (size_t)n;
  (*body)[bytes_read] = '\0';
  if (bytes_read == (size_t)length && strlen (*body) == bytes_read)
    return 0;
  free (*body);
  *body = NULL;
  return admin_reply_problem (request->conn, 400,
                              bytes_read < (size_t)length
                                  ? "body is cut short"
                                  : "body has a NUL byte");
}

/* Reads the object in the request's body.  On success the caller frees @body
   and @object.  Returns 0, or the status of the error response that was
   sent.  */
static int
read_and_parse_object (const admin_request_t *request, const char *name,
                       char **body, conf_object_t **object)
{
  conf_error_t error;
  int result;
  int status = read_body (request, body);

  *object = NULL;
  if (status != 0)
    return status;
  result = conf_parse_object (name, *body, 0, 0, false, object, &error);
  if (result == 0)
    return 0;
  free (*body);
  *body = NULL;
  return result == -ENOMEM
             ? admin_reply_problem (request->conn, 500, "out of memory")
             : admin_reply_problem (request->conn, 400, "%s", error.text);
}

/* Validates the object in the request's body without storing it.  The response
   for a profile includes its values with the defaults filled in.  */
static int
check_object (const admin_request_t *request, const char *name)
{
  conf_object_t *object;
  json_object *root;
  char *body;
  int status = read_and_parse_object (request, name, &body, &object);

  if (status != 0)
    return status;
  root = json_object_new_object ();
  json_object_object_add (root, "name",
                          json_object_new_string (request->path_parts[2]));
  json_object_object_add (root, "valid", json_object_new_boolean (true));
  if (object->object.kind == DECIDE_OBJECT_PROFILE)
    {
      char *effective = conf_format_profile (object->object.u.profile);

      if (effective != NULL)
        json_object_object_add (root, "effective",
                                json_tokener_parse (effective));
      free (effective);
    }
  conf_object_free (object);
  free (body);
  return admin_reply_json (request->conn, root);
}

/* Checks that no other group shares some of the new group's data centres but
   not all.  Returns 0, or the status of the error response that was sent.  */
static int
check_group_conflicts (const admin_request_t *request,
                       const decide_group_t *group)
{
  group_conflict_search_t conflict = { .group = group };

  request->callbacks->list (request->callbacks->context, CONF_PREFIX_GROUP,
                            find_group_conflict, &conflict);
  return conflict.error.text[0] == '\0'
             ? 0
             : admin_reply_problem (request->conn, 409, "%s",
                                    conflict.error.text);
}

/* Checks that the groups that a service names exist: otherwise the service
   would be assigned to a group by the hash of its name.  Returns 0, or the
   status of the error response that was sent.  */
static int
check_service_groups (const admin_request_t *request, const char *name,
                      const decide_service_t *service)
{
  for (uint32_t i = 0; i < service->group_count; i++)
    {
      g_autofree char *full_name
          = g_strconcat (CONF_PREFIX_GROUP, service->groups[i], NULL);
      admin_object_t found = { 0 };
      int result = request->callbacks->read (request->callbacks->context,
                                             full_name, &found);

      free (found.body);
      if (result == -ENOENT)
        return admin_reply_problem (
            request->conn, 400,
            "%s: $.groups[%u]: group \"%s\" does not exist", name, i,
            service->groups[i]);
    }
  return 0;
}

static void
find_group_conflict (void *arg, const char *name, const admin_object_t *object)
{
  group_conflict_search_t *conflict = arg;
  conf_object_t *parsed;
  conf_error_t error;

  if (conflict->error.text[0] != '\0'
      || conf_parse_object (name, object->body, 0, 0, false, &parsed, &error)
             != 0)
    return;
  if (strcmp (parsed->u.group.name, conflict->group->name) != 0)
    (void)conf_check_group_overlap (conflict->group, &parsed->u.group,
                                    &conflict->error);
  conf_object_free (parsed);
}

static int
put_object (const admin_request_t *request, const char *name)
{
  const admin_callbacks_t *callbacks = request->callbacks;
  admin_change_t change = { 0 };
  conf_object_t *object;
  uint64_t expected;
  char change_id[33];
  char *body;
  int status = read_and_parse_object (request, name, &body, &object);

  if (status != 0)
    return status;
  if (object->object.kind == DECIDE_OBJECT_SERVICE)
    {
      const char *profile = object->object.u.service->profile;
      g_autofree char *full_name
          = g_strconcat (CONF_PREFIX_PROFILE, profile, NULL);
      admin_object_t found = { 0 };

      /* A service without its profile would receive no requests.  */
      if (callbacks->read (callbacks->context, full_name, &found) == -ENOENT)
        status = admin_reply_problem (
            request->conn, 400, "%s: $.profile: profile \"%s\" does not exist",
            name, profile);
      free (found.body);
    }
  if (status == 0 && object->object.kind == DECIDE_OBJECT_SERVICE)
    status = check_service_groups (request, name, object->object.u.service);
  if (object->object.kind == DECIDE_OBJECT_GROUP)
    status = check_group_conflicts (request, object->object.u.group);
  if (status == 0)
    status = get_expected_version (request, name, &expected);
  if (status == 0)
    {
      generate_change_id (change_id);
      status = reply_change (request, name,
                             callbacks->put (callbacks->context, name, body,
                                             expected, change_id, &change),
                             &change);
    }
  conf_object_free (object);
  free (body);
  return status;
}

static int
delete_object (const admin_request_t *request, const char *name)
{
  const admin_callbacks_t *callbacks = request->callbacks;
  admin_change_t change = { 0 };
  uint64_t expected;
  char change_id[33];
  int status;

  if (g_str_has_prefix (name, CONF_PREFIX_PROFILE))
    {
      profile_user_search_t user = { .profile = request->path_parts[2] };

      callbacks->list (callbacks->context, CONF_PREFIX_SERVICE,
                       find_profile_user, &user);
      if (user.service[0] != '\0')
        return admin_reply_problem (request->conn, 409,
                                    "%s is used by service %s", name,
                                    user.service);
    }
  status = get_expected_version (request, name, &expected);
  if (status != 0)
    return status;
  generate_change_id (change_id);
  return reply_change (request, name,
                       callbacks->remove (callbacks->context, name, expected,
                                          change_id, &change),
                       &change);
}

static void
find_profile_user (void *arg, const char *name, const admin_object_t *object)
{
  profile_user_search_t *user = arg;
  conf_object_t *parsed;
  conf_error_t error;

  if (conf_parse_object (name, object->body, 0, 0, false, &parsed, &error)
      != 0)
    return;
  if (strcmp (parsed->object.u.service->profile, user->profile) == 0)
    (void)g_strlcpy (user->service, parsed->object.u.service->name,
                     sizeof user->service);
  conf_object_free (parsed);
}

/* Sets @expected to the version in If-Match, or to 0 for If-None-Match: *.
   Without either it is the version read from the store now, so that a change
   made between this read and the write is a conflict.  Returns 0, or the
   status of the error response that was sent.  */
static int
get_expected_version (const admin_request_t *request, const char *name,
                      uint64_t *expected)
{
  const char *if_match = mg_get_header (request->conn, "If-Match");
  const char *if_none_match = mg_get_header (request->conn, "If-None-Match");
  admin_object_t object = { 0 };
  g_autofree char *digits = NULL;
  guint64 number;
  int result;

  *expected = 0;
  if (if_none_match != NULL)
    return if_match == NULL && strcmp (if_none_match, "*") == 0
               ? 0
               : admin_reply_problem (request->conn, 400,
                                      "If-None-Match must be *, without "
                                      "If-Match");
  if (if_match != NULL)
    {
      size_t length = strlen (if_match);
      bool quoted
          = length > 2 && if_match[0] == '"' && if_match[length - 1] == '"';

      digits = g_strndup (if_match + quoted, length - 2 * (size_t)quoted);
      if (!g_ascii_string_to_unsigned (digits, 10, 1, UINT64_MAX, &number,
                                       NULL))
        return admin_reply_problem (request->conn, 400,
                                    "If-Match must be a version from 1");
      *expected = number;
      return 0;
    }
  result
      = request->callbacks->read (request->callbacks->context, name, &object);
  *expected = object.version;
  free (object.body);
  return result == 0 || result == -ENOENT
             ? 0
             : admin_reply_error (request->conn, result, name, NULL);
}

/* Takes a data centre or instance out of service or back in.  The operator
   does not state a version of the out mark, so after a conflict the change is
   retried with the current version.  A mark that was not found is removed with
   expected version 0: if it exists by then, the result is -ESTALE with its
   version, and the removal is retried.  */
static int
set_out_mark (const admin_request_t *request, const char *name, bool out)
{
  const admin_callbacks_t *callbacks = request->callbacks;
  admin_object_t object = { 0 };
  admin_change_t change = { 0 };
  uint64_t expected;
  int result = callbacks->read (callbacks->context, name, &object);

  if (result != 0 && result != -ENOENT)
    return admin_reply_error (request->conn, result, name, NULL);
  expected = result == 0 ? object.version : 0;
  free (object.body);
  for (int i = 0; i < OUT_MARK_MAX_TRIES; i++)
    {
      char change_id[33];

      generate_change_id (change_id);
      result = out ? callbacks->put (callbacks->context, name, "{}", expected,
                                     change_id, &change)
                   : callbacks->remove (callbacks->context, name, expected,
                                        change_id, &change);
      if (result != -ESTALE)
        break;
      expected = change.version;
    }
  if (!out && result == -ENOENT)
    result = 0;
  return reply_change (request, name, result, &change);
}

static int
forget_instance (const admin_request_t *request)
{
  const admin_callbacks_t *callbacks = request->callbacks;
  admin_change_t change = { 0 };
  int result = callbacks->forget (callbacks->context, request->path_parts[2],
                                  &change);

  return reply_change (request, request->path_parts[2], result, &change);
}

static void
generate_change_id (char change_id[33])
{
  unsigned char random[16];

  arc4random_buf (random, sizeof random);
  for (size_t i = 0; i < sizeof random; i++)
    (void)g_snprintf (change_id + 2 * i, 3, "%02x", random[i]);
}

static int
reply_change (const admin_request_t *request, const char *name, int result,
              const admin_change_t *change)
{
  json_object *root;

  if (result != 0)
    return admin_reply_error (request->conn, result, name, change);
  root = json_object_new_object ();
  json_object_object_add (root, "version",
                          json_object_new_uint64 (change->version));
  json_object_object_add (root, "revision",
                          json_object_new_uint64 (change->revision));
  return admin_reply_json (request->conn, root);
}
