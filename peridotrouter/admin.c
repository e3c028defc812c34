#include "admin.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "admin_reply.h"
#include "conf.h"
#include "telemetry.h"

/* Largest value of the object API.  */
#define BODY_BYTES_MAX (1 << 20)
#define PARTS_MAX 4
/* An operator's out or in holds against a concurrent change of the same
   mark; more conflicts than this in a row are answered as a conflict.  */
#define MARK_ATTEMPTS 3

/* One request below /v1/, split at the slashes.  */
typedef struct call
{
  struct mg_connection *conn;
  const admin_callbacks_t *callbacks;
  const char *method;
  size_t parts;
  char **path;
} call_t;

/* Profiles, services and groups, which differ in their names only.  */
typedef struct collection
{
  const char *name;
  const char *prefix;
} collection_t;

typedef struct user
{
  const char *profile;
  char service[DECIDE_NAME_MAX];
} user_t;

typedef struct overlap
{
  const decide_group_t *group;
  conf_error_t error;
} overlap_t;

static const collection_t profiles = { "profiles", CONF_PREFIX_PROFILE };
static const collection_t groups = { "groups", CONF_PREFIX_GROUP };
static const collection_t services = { "services", CONF_PREFIX_SERVICE };

static int handle_v1 (struct mg_connection *conn, void *context);
static int handle_metrics (struct mg_connection *conn, void *context);
static int route (const call_t *call);
static int route_collection (const call_t *call, const collection_t *of);
static int route_mark (const call_t *call, const char *prefix,
                       bool can_forget);
static int list_objects (const call_t *call, const collection_t *of);
static void add_listed (void *arg, const char *name,
                        const admin_object_t *object);
static int get_object (const call_t *call, const char *name);
static int check_regions (const call_t *call, const decide_group_t *group);
static int check_groups (const call_t *call, const char *name,
                         const decide_service_t *service);
static int check_object (const call_t *call, const char *name);
static int put_object (const call_t *call, const char *name);
static int delete_object (const call_t *call, const char *name);
static int set_mark (const call_t *call, const char *name, bool out);
static int forget_instance (const call_t *call);
static int read_body (const call_t *call, char **body);
static int read_checked (const call_t *call, const char *name, char **body,
                         conf_object_t **object);
static int read_expected (const call_t *call, const char *name,
                          uint64_t *expected);
static void find_overlap (void *arg, const char *name,
                          const admin_object_t *object);
static void find_user (void *arg, const char *name,
                       const admin_object_t *object);
static void new_change_id (char id[33]);
static int reply_change (const call_t *call, const char *name, int result,
                         const admin_change_t *change);

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
    return admin_reply_method (conn, "GET");
  text = telemetry_format_metrics ();
  return admin_reply_text (conn, "text/plain; version=0.0.4", text);
}

static int
handle_v1 (struct mg_connection *conn, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  call_t call
      = { .conn = conn, .callbacks = context, .method = info->request_method };
  int status;

  call.path = g_strsplit (info->local_uri + 1, "/", PARTS_MAX + 1);
  call.parts = g_strv_length (call.path);
  status = route (&call);
  g_strfreev (call.path);
  return status;
}

static int
route (const call_t *call)
{
  const char *first = call->parts > 1 ? call->path[1] : "";

  if (call->parts > 2 && conf_check_name (call->path[2]) != 0)
    return admin_reply_problem (call->conn, 400,
                                "a name has 1 to 63 letters, digits, '-', "
                                "'_', '.'");
  if (strcmp (first, profiles.name) == 0 && call->parts <= PARTS_MAX)
    return route_collection (call, &profiles);
  if (strcmp (first, services.name) == 0 && call->parts <= PARTS_MAX)
    return route_collection (call, &services);
  if (strcmp (first, groups.name) == 0 && call->parts <= PARTS_MAX)
    return route_collection (call, &groups);
  if (strcmp (first, "data-centres") == 0 && call->parts == 4)
    return route_mark (call, CONF_PREFIX_OUT_CENTRE, false);
  if (strcmp (first, "instances") == 0 && call->parts == 4)
    return route_mark (call, CONF_PREFIX_OUT_INSTANCE, true);
  if (strcmp (first, "status") == 0 && call->parts == 2)
    return strcmp (call->method, "GET") == 0
               ? admin_get_status (call->conn, call->callbacks)
               : admin_reply_method (call->conn, "GET");
  return admin_reply_problem (call->conn, 404, "no such path");
}

static int
route_collection (const call_t *call, const collection_t *of)
{
  g_autofree char *name = NULL;

  if (call->parts == 2)
    return strcmp (call->method, "GET") == 0
               ? list_objects (call, of)
               : admin_reply_method (call->conn, "GET");
  name = g_strconcat (of->prefix, call->path[2], NULL);
  if (call->parts == 4 && strcmp (call->path[3], "check") != 0)
    return admin_reply_problem (call->conn, 404, "no such path");
  if (call->parts == 4)
    return strcmp (call->method, "POST") == 0
               ? check_object (call, name)
               : admin_reply_method (call->conn, "POST");
  if (strcmp (call->method, "GET") == 0)
    return get_object (call, name);
  if (strcmp (call->method, "PUT") == 0)
    return put_object (call, name);
  if (strcmp (call->method, "DELETE") == 0)
    return delete_object (call, name);
  return admin_reply_method (call->conn, "GET, PUT, DELETE");
}

static int
route_mark (const call_t *call, const char *prefix, bool can_forget)
{
  g_autofree char *name = g_strconcat (prefix, call->path[2], NULL);
  bool out = strcmp (call->path[3], "out") == 0;
  bool forget = can_forget && strcmp (call->path[3], "forget") == 0;

  if (!out && !forget && strcmp (call->path[3], "in") != 0)
    return admin_reply_problem (call->conn, 404, "no such path");
  if (strcmp (call->method, "PUT") != 0)
    return admin_reply_method (call->conn, "PUT");
  return forget ? forget_instance (call) : set_mark (call, name, out);
}

static int
list_objects (const call_t *call, const collection_t *of)
{
  json_object *root = json_object_new_object ();
  json_object *list = json_object_new_array ();
  int result;

  json_object_object_add (root, of->name, list);
  result = call->callbacks->list (call->callbacks->context, of->prefix,
                                  add_listed, list);
  if (result == 0)
    return admin_reply_json (call->conn, root);
  json_object_put (root);
  return admin_reply_error (call->conn, result, of->name, NULL);
}

static void
add_listed (void *arg, const char *name, const admin_object_t *object)
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
get_object (const call_t *call, const char *name)
{
  admin_object_t object = { 0 };
  json_object *list;
  json_object *item;
  int result = call->callbacks->read (call->callbacks->context, name, &object);

  if (result != 0)
    return admin_reply_error (call->conn, result, name, NULL);
  list = json_object_new_array ();
  add_listed (list, name, &object);
  free (object.body);
  item = json_object_get (json_object_array_get_idx (list, 0));
  json_object_put (list);
  return admin_reply_json (call->conn, item);
}

/* Returns 0, or the status of the problem that was sent.  */
static int
read_body (const call_t *call, char **body)
{
  long long length = mg_get_request_info (call->conn)->content_length;
  size_t done = 0;
  int n;

  *body = NULL;
  if (length < 0)
    return admin_reply_problem (call->conn, 411, "Content-Length is missing");
  if (length > BODY_BYTES_MAX)
    return admin_reply_problem (
        call->conn, 413, "body is longer than %d bytes", BODY_BYTES_MAX);
  *body = malloc ((size_t)length + 1);
  if (*body == NULL)
    return admin_reply_problem (call->conn, 500, "out of memory");
  while (done < (size_t)length
         && (n = mg_read (call->conn, *body + done, (size_t)length - done))
                > 0)
    done += (size_t)n;
  (*body)[done] = '\0';
  if (done == (size_t)length && strlen (*body) == done)
    return 0;
  free (*body);
  *body = NULL;
  return admin_reply_problem (call->conn, 400,
                              done < (size_t)length ? "body is cut short"
                                                    : "body has a NUL byte");
}

static int
read_checked (const call_t *call, const char *name, char **body,
              conf_object_t **object)
{
  conf_error_t error;
  int result;
  int status = read_body (call, body);

  *object = NULL;
  if (status != 0)
    return status;
  result = conf_parse_object (name, *body, 0, 0, false, object, &error);
  if (result == 0)
    return 0;
  free (*body);
  *body = NULL;
  return result == -ENOMEM
             ? admin_reply_problem (call->conn, 500, "out of memory")
             : admin_reply_problem (call->conn, 400, "%s", error.text);
}

static int
check_object (const call_t *call, const char *name)
{
  conf_object_t *object;
  json_object *root;
  char *body;
  int status = read_checked (call, name, &body, &object);

  if (status != 0)
    return status;
  root = json_object_new_object ();
  json_object_object_add (root, "name",
                          json_object_new_string (call->path[2]));
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
  return admin_reply_json (call->conn, root);
}

/* Returns 0, or the status of the problem that was sent.  */
static int
check_regions (const call_t *call, const decide_group_t *group)
{
  overlap_t overlap = { .group = group };

  call->callbacks->list (call->callbacks->context, CONF_PREFIX_GROUP,
                         find_overlap, &overlap);
  return overlap.error.text[0] == '\0'
             ? 0
             : admin_reply_problem (call->conn, 409, "%s", overlap.error.text);
}

/* A group that does not exist would leave the service to the hash.  Returns 0,
   or the status of the problem that was sent.  */
static int
check_groups (const call_t *call, const char *name,
              const decide_service_t *service)
{
  for (uint32_t i = 0; i < service->group_count; i++)
    {
      g_autofree char *wanted
          = g_strconcat (CONF_PREFIX_GROUP, service->groups[i], NULL);
      admin_object_t found = { 0 };
      int result
          = call->callbacks->read (call->callbacks->context, wanted, &found);

      free (found.body);
      if (result == -ENOENT)
        return admin_reply_problem (
            call->conn, 400, "%s: $.groups[%u]: group \"%s\" does not exist",
            name, i, service->groups[i]);
    }
  return 0;
}

static void
find_overlap (void *arg, const char *name, const admin_object_t *object)
{
  overlap_t *overlap = arg;
  conf_object_t *parsed;
  conf_error_t error;

  if (overlap->error.text[0] != '\0'
      || conf_parse_object (name, object->body, 0, 0, false, &parsed, &error)
             != 0)
    return;
  if (strcmp (parsed->u.group.name, overlap->group->name) != 0)
    (void)conf_compare_groups (overlap->group, &parsed->u.group,
                               &overlap->error);
  conf_object_free (parsed);
}

static int
put_object (const call_t *call, const char *name)
{
  const admin_callbacks_t *callbacks = call->callbacks;
  admin_change_t change = { 0 };
  conf_object_t *object;
  uint64_t expected;
  char id[33];
  char *body;
  int status = read_checked (call, name, &body, &object);

  if (status != 0)
    return status;
  if (object->object.kind == DECIDE_OBJECT_SERVICE)
    {
      const char *profile = object->object.u.service->profile;
      g_autofree char *wanted
          = g_strconcat (CONF_PREFIX_PROFILE, profile, NULL);
      admin_object_t found = { 0 };

      /* A service without its profile would get no work at all.  */
      if (callbacks->read (callbacks->context, wanted, &found) == -ENOENT)
        status = admin_reply_problem (
            call->conn, 400, "%s: $.profile: profile \"%s\" does not exist",
            name, profile);
      free (found.body);
    }
  if (status == 0 && object->object.kind == DECIDE_OBJECT_SERVICE)
    status = check_groups (call, name, object->object.u.service);
  if (object->object.kind == DECIDE_OBJECT_GROUP)
    status = check_regions (call, object->object.u.group);
  if (status == 0)
    status = read_expected (call, name, &expected);
  if (status == 0)
    {
      new_change_id (id);
      status = reply_change (call, name,
                             callbacks->put (callbacks->context, name, body,
                                             expected, id, &change),
                             &change);
    }
  conf_object_free (object);
  free (body);
  return status;
}

static int
delete_object (const call_t *call, const char *name)
{
  const admin_callbacks_t *callbacks = call->callbacks;
  admin_change_t change = { 0 };
  uint64_t expected;
  char id[33];
  int status;

  if (g_str_has_prefix (name, CONF_PREFIX_PROFILE))
    {
      user_t user = { .profile = call->path[2] };

      callbacks->list (callbacks->context, CONF_PREFIX_SERVICE, find_user,
                       &user);
      if (user.service[0] != '\0')
        return admin_reply_problem (
            call->conn, 409, "%s is used by service %s", name, user.service);
    }
  status = read_expected (call, name, &expected);
  if (status != 0)
    return status;
  new_change_id (id);
  return reply_change (
      call, name,
      callbacks->remove (callbacks->context, name, expected, id, &change),
      &change);
}

static void
find_user (void *arg, const char *name, const admin_object_t *object)
{
  user_t *user = arg;
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

/* The version of If-Match, 0 for If-None-Match: *, and without either the
   version known here, so that a change made elsewhere in the meantime is
   still a conflict.  Returns 0, or the status of the problem that was
   sent.  */
static int
read_expected (const call_t *call, const char *name, uint64_t *expected)
{
  const char *match = mg_get_header (call->conn, "If-Match");
  const char *none = mg_get_header (call->conn, "If-None-Match");
  admin_object_t object = { 0 };
  g_autofree char *digits = NULL;
  guint64 number;
  int result;

  *expected = 0;
  if (none != NULL)
    return match == NULL && strcmp (none, "*") == 0
               ? 0
               : admin_reply_problem (call->conn, 400,
                                      "If-None-Match must be *, without "
                                      "If-Match");
  if (match != NULL)
    {
      size_t length = strlen (match);
      bool quoted = length > 2 && match[0] == '"' && match[length - 1] == '"';

      digits = g_strndup (match + quoted, length - 2 * (size_t)quoted);
      if (!g_ascii_string_to_unsigned (digits, 10, 1, UINT64_MAX, &number,
                                       NULL))
        return admin_reply_problem (call->conn, 400,
                                    "If-Match must be a version from 1");
      *expected = number;
      return 0;
    }
  result = call->callbacks->read (call->callbacks->context, name, &object);
  *expected = object.version;
  free (object.body);
  return result == 0 || result == -ENOENT
             ? 0
             : admin_reply_error (call->conn, result, name, NULL);
}

/* The operator's intent does not depend on the version, so a conflict is
   tried again with the version that it states.  A mark that is not known here
   may still be in the store; removing it with version 0 tells.  */
static int
set_mark (const call_t *call, const char *name, bool out)
{
  const admin_callbacks_t *callbacks = call->callbacks;
  admin_object_t object = { 0 };
  admin_change_t change = { 0 };
  uint64_t expected;
  int result = callbacks->read (callbacks->context, name, &object);

  if (result != 0 && result != -ENOENT)
    return admin_reply_error (call->conn, result, name, NULL);
  expected = result == 0 ? object.version : 0;
  free (object.body);
  for (int i = 0; i < MARK_ATTEMPTS; i++)
    {
      char id[33];

      new_change_id (id);
      result = out ? callbacks->put (callbacks->context, name, "{}", expected,
                                     id, &change)
                   : callbacks->remove (callbacks->context, name, expected, id,
                                        &change);
      if (result != -ESTALE)
        break;
      expected = change.version;
    }
  if (!out && result == -ENOENT)
    result = 0;
  return reply_change (call, name, result, &change);
}

static int
forget_instance (const call_t *call)
{
  const admin_callbacks_t *callbacks = call->callbacks;
  admin_change_t change = { 0 };
  int result = callbacks->forget (callbacks->context, call->path[2], &change);

  return reply_change (call, call->path[2], result, &change);
}

static void
new_change_id (char id[33])
{
  unsigned char random[16];

  arc4random_buf (random, sizeof random);
  for (size_t i = 0; i < sizeof random; i++)
    (void)g_snprintf (id + 2 * i, 3, "%02x", random[i]);
}

static int
reply_change (const call_t *call, const char *name, int result,
              const admin_change_t *change)
{
  json_object *root;

  if (result != 0)
    return admin_reply_error (call->conn, result, name, change);
  root = json_object_new_object ();
  json_object_object_add (root, "version",
                          json_object_new_uint64 (change->version));
  json_object_object_add (root, "revision",
                          json_object_new_uint64 (change->revision));
  return admin_reply_json (call->conn, root);
}
