/* Test double of the platform's HTTP API: a store of versioned objects, and a
   list of instances whose changes become visible after a delay.  */

#include "standin.h"

#include <err.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#define BODY_MAX_BYTES (1 << 20)
#define NAME_SIZE_BYTES 256

typedef struct object
{
  char *name;
  char *body;
  size_t length;    /* of body in bytes */
  char *change_id;  /* Change-Id of the request that made this version */
  int64_t version;  /* number of changes of this object */
  int64_t revision; /* revision of the store at the last change */
  bool deleted;     /* whether it is deleted; its version is kept */
} object_t;

typedef enum outage
{
  OUTAGE_NONE,
  OUTAGE_REFUSING,    /* requests get status 503 */
  OUTAGE_UNRESPONSIVE /* requests get no response */
} outage_t;

typedef struct faults
{
  outage_t outage;
  int64_t delay_ms;           /* delay of each request */
  int64_t lose_put_answers;   /* next N successful writes without a response */
  int64_t apply_put_after_ms; /* delay before a write takes effect */
  char *down_after_put; /* the next successful write of an object whose name
                           begins so is the last request before an outage;
                           NULL: none */
} faults_t;

typedef struct platform
{
  pthread_mutex_t lock;
  pthread_cond_t changed; /* an object has changed, or the server stops */
  object_t *objects;
  size_t object_count;
  int64_t revision;              /* number of changes of all objects */
  json_object *instance_changes; /* array of {"name", "entry", "at"}, oldest
                                    first; entry is null for a removal, at is
                                    in us of CLOCK_BOOTTIME */
  int64_t instance_lag_ms;       /* delay until a change is visible */
  faults_t faults;
  int64_t reads;   /* number of read requests */
  int64_t writes;  /* number of PUT and DELETE requests for objects */
  int64_t watches; /* number of GET /watch */
  int64_t bytes;   /* bytes of received object bodies and of responses */
  bool stopping;
} platform_t;

static int handle_request (struct mg_connection *conn, void *context);
static int handle_control (platform_t *platform, struct mg_connection *conn,
                           const char *uri);
static int read_object (platform_t *platform, struct mg_connection *conn,
                        const char *name);
static int read_changes (platform_t *platform, struct mg_connection *conn);
static int write_object (platform_t *platform, struct mg_connection *conn,
                         const char *name, bool delete);
static int handle_instances (platform_t *platform, struct mg_connection *conn,
                             const char *name);

/* Sends @value as the response, releases it and counts its bytes.  */
static int
respond (platform_t *platform, struct mg_connection *conn, int status,
         json_object *value)
{
  size_t length;

  json_object_to_json_string_length (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &length);
  pthread_mutex_lock (&platform->lock);
  platform->bytes += (int64_t)length;
  pthread_mutex_unlock (&platform->lock);
  return standin_send_json (conn, status, value);
}

static int
respond_with_problem (platform_t *platform, struct mg_connection *conn,
                      int status, const char *detail)
{
  json_object *problem = json_object_new_object ();

  standin_json_add_int (problem, "status", status);
  standin_json_add_string (problem, "detail", detail);
  return respond (platform, conn, status, problem);
}

static bool
is_method (const struct mg_connection *conn, const char *method)
{
  return strcmp (mg_get_request_info (conn)->request_method, method) == 0;
}

/* Finds an object, which may be deleted.  Called with the lock held.  */
static object_t *
find_object (platform_t *platform, const char *name)
{
  for (size_t i = 0; i < platform->object_count; i++)
    if (strcmp (platform->objects[i].name, name) == 0)
      return &platform->objects[i];
  return NULL;
}

/* Adds an object of version 0, marked as deleted.  Called with the lock
   held.  */
static object_t *
add_object (platform_t *platform, const char *name)
{
  size_t object_count = platform->object_count;
  object_t *objects
      = reallocarray (platform->objects, object_count + 1, sizeof *objects);

  if (objects == NULL)
    err (1, "can't allocate object %s", name);
  objects[object_count] = (object_t){ .name = strdup (name), .deleted = true };
  platform->objects = objects;
  platform->object_count = object_count + 1;
  return &objects[object_count];
}

static json_object *
object_to_json (const object_t *object)
{
  json_object *value = json_object_new_object ();

  standin_json_add_string (value, "name", object->name);
  standin_json_add_int (value, "version", object->version);
  standin_json_add_int (value, "revision", object->revision);
  standin_json_add_bool (value, "deleted", object->deleted);
  standin_json_add_string (value, "change_id",
                           object->change_id ? object->change_id : "");
  json_object_object_add (
      value, "body",
      json_object_new_string_len (object->body ? object->body : "",
                                  (int)object->length));
  return value;
}

static int
read_object (platform_t *platform, struct mg_connection *conn,
             const char *name)
{
  const object_t *object;
  json_object *value = NULL;
  int status = 200;

  pthread_mutex_lock (&platform->lock);
  platform->reads++;
  object = find_object (platform, name);
  if (object != NULL)
    value = object_to_json (object);
  if (object == NULL || object->deleted)
    status = 404;
  pthread_mutex_unlock (&platform->lock);
  if (value == NULL)
    return respond_with_problem (platform, conn, 404, "no such object");
  return respond (platform, conn, status, value);
}

/* Returns the objects whose names begin with @prefix and that were changed
   after revision @since.  Called with the lock held.  */
static json_object *
list_changes (platform_t *platform, const char *prefix, int64_t since)
{
  json_object *list = json_object_new_array ();
  json_object *value = json_object_new_object ();

  for (size_t i = 0; i < platform->object_count; i++)
    {
      const object_t *object = &platform->objects[i];

      if (object->revision > since
          && strncmp (object->name, prefix, strlen (prefix)) == 0)
        json_object_array_add (list, object_to_json (object));
    }
  standin_json_add_int (value, "revision", platform->revision);
  json_object_object_add (value, "objects", list);
  return value;
}

static size_t
change_count (json_object *value)
{
  return json_object_array_length (json_object_object_get (value, "objects"));
}

static void
get_query_prefix (const struct mg_connection *conn, char *prefix, size_t size)
{
  const char *query = mg_get_request_info (conn)->query_string;

  if (query == NULL
      || mg_get_var (query, strlen (query), "prefix", prefix, size) < 0)
    prefix[0] = '\0';
}

/* Responds to GET /objects at once.  */
static int
read_changes (platform_t *platform, struct mg_connection *conn)
{
  char prefix[NAME_SIZE_BYTES];
  json_object *value;

  get_query_prefix (conn, prefix, sizeof prefix);
  pthread_mutex_lock (&platform->lock);
  platform->reads++;
  value = list_changes (platform, prefix,
                        standin_get_query_number (conn, "since", 0));
  pthread_mutex_unlock (&platform->lock);
  return respond (platform, conn, 200, value);
}

/* Responds to GET /watch when there are changes or the timeout has passed.  */
static int
wait_for_changes (platform_t *platform, struct mg_connection *conn)
{
  int64_t since = standin_get_query_number (conn, "since", 0);
  int64_t timeout_ms = standin_get_query_number (conn, "timeout_ms", 30000);
  char prefix[NAME_SIZE_BYTES];
  json_object *value;
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += timeout_ms / 1000;
  until.tv_nsec += timeout_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  get_query_prefix (conn, prefix, sizeof prefix);
  pthread_mutex_lock (&platform->lock);
  platform->watches++;
  value = list_changes (platform, prefix, since);
  while (
      change_count (value) == 0 && !platform->stopping
      && pthread_cond_timedwait (&platform->changed, &platform->lock, &until)
             == 0)
    {
      json_object_put (value);
      value = list_changes (platform, prefix, since);
    }
  pthread_mutex_unlock (&platform->lock);
  return respond (platform, conn, 200, value);
}

/* Returns whether the request's preconditions, If-Match and If-None-Match,
   hold for @object, which may be NULL.  */
static bool
preconditions_hold (const struct mg_connection *conn, const object_t *object)
{
  const char *match = mg_get_header (conn, "If-Match");
  const char *none_match = mg_get_header (conn, "If-None-Match");
  bool exists = object != NULL && !object->deleted;

  if (none_match != NULL && exists)
    return false;
  if (match == NULL)
    return true;
  return exists
         && strtoll (match + (match[0] == '"'), NULL, 10) == object->version;
}

/* Stores *@body as the object's new version, or deletes the object if *@body
   is NULL.  Takes ownership of the body and sets *@body to NULL unless the
   update is refused.  Returns the status, and the response in *@value.  Called
   with the lock held.  */
static int
update_object (platform_t *platform, const struct mg_connection *conn,
               const char *name, char **body, size_t length,
               json_object **value)
{
  const char *change_id = mg_get_header (conn, "Change-Id");
  object_t *object = find_object (platform, name);

  if (!preconditions_hold (conn, object))
    {
      object_t missing = { .name = (char *)name, .deleted = true };

      *value = object_to_json (object != NULL ? object : &missing);
      return 409;
    }
  if (*body == NULL && (object == NULL || object->deleted))
    {
      *value = json_object_new_object ();
      return 404;
    }
  if (object == NULL)
    object = add_object (platform, name);
  free (object->body);
  free (object->change_id);
  object->body = *body;
  object->length = length;
  object->deleted = *body == NULL;
  object->change_id = strdup (change_id != NULL ? change_id : "");
  object->version++;
  object->revision = ++platform->revision;
  *body = NULL;
  pthread_cond_broadcast (&platform->changed);
  *value = json_object_new_object ();
  json_object_object_add (*value, "version",
                          json_object_new_int64 (object->version));
  json_object_object_add (*value, "revision",
                          json_object_new_int64 (object->revision));
  return 200;
}

/* Responds to PUT and DELETE of an object.  */
static int
write_object (platform_t *platform, struct mg_connection *conn,
              const char *name, bool delete)
{
  json_object *value = NULL;
  char *body = NULL;
  size_t length = 0;
  int64_t apply_after_ms;
  bool lose_response = false;
  int status;

  if (!delete &&(body = standin_read_body (conn, BODY_MAX_BYTES, &length))
      == NULL)
    return respond_with_problem (platform, conn, 413,
                                 "value too long or incomplete");
  pthread_mutex_lock (&platform->lock);
  platform->writes++;
  platform->bytes += (int64_t)length;
  apply_after_ms = platform->faults.apply_put_after_ms;
  pthread_mutex_unlock (&platform->lock);

  /* The update takes effect even if the client disconnects meanwhile.  */
  if (apply_after_ms > 0)
    {
      struct timespec wait
          = { apply_after_ms / 1000, apply_after_ms % 1000 * 1000000 };

      nanosleep (&wait, NULL);
    }
  pthread_mutex_lock (&platform->lock);
  status = update_object (platform, conn, name, &body, length, &value);
  if (status == 200 && platform->faults.lose_put_answers > 0)
    {
      platform->faults.lose_put_answers--;
      lose_response = true;
    }
  if (status == 200 && platform->faults.down_after_put != NULL
      && strncmp (name, platform->faults.down_after_put,
                  strlen (platform->faults.down_after_put))
             == 0)
    {
      platform->faults.outage = OUTAGE_REFUSING;
      free (platform->faults.down_after_put);
      platform->faults.down_after_put = NULL;
    }
  pthread_mutex_unlock (&platform->lock);
  free (body);
  if (!lose_response)
    return respond (platform, conn, status, value);
  json_object_put (value);
  standin_reset_connection (conn);
  return status;
}

/* Returns the list of instances as it was @instance_lag_ms ago.  Called with
   the lock held.  */
static json_object *
list_instances (platform_t *platform)
{
  int64_t cutoff_us = standin_now_us () - platform->instance_lag_ms * 1000;
  json_object *entries = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_object *value = json_object_new_object ();

  for (size_t i = 0; i < json_object_array_length (platform->instance_changes);
       i++)
    {
      json_object *change
          = json_object_array_get_idx (platform->instance_changes, i);
      const char *name
          = json_object_get_string (json_object_object_get (change, "name"));
      json_object *entry = json_object_object_get (change, "entry");

      if (json_object_get_int64 (json_object_object_get (change, "at"))
          > cutoff_us)
        break;
      if (entry == NULL)
        json_object_object_del (entries, name);
      else
        json_object_object_add (entries, name, json_object_get (entry));
    }
  json_object_object_foreach (entries, key, member)
  {
    (void)key;
    json_object_array_add (list, json_object_get (member));
  }
  json_object_put (entries);
  json_object_object_add (value, "instances", list);
  return value;
}

/* Lists the instances if @name is empty.  Otherwise PUT sets the entry of the
   instance, and any other method removes it.  */
static int
handle_instances (platform_t *platform, struct mg_connection *conn,
                  const char *name)
{
  json_object *entry = NULL;
  json_object *change;
  json_object *value;

  if (name[0] == '\0')
    {
      pthread_mutex_lock (&platform->lock);
      platform->reads++;
      value = list_instances (platform);
      pthread_mutex_unlock (&platform->lock);
      return respond (platform, conn, 200, value);
    }
  if (is_method (conn, "PUT"))
    {
      entry = standin_read_json (conn);
      if (entry == NULL)
        return respond_with_problem (platform, conn, 400, "not a JSON object");
      standin_json_add_string (entry, "name", name);
    }
  change = json_object_new_object ();
  standin_json_add_string (change, "name", name);
  json_object_object_add (change, "entry", entry);
  pthread_mutex_lock (&platform->lock);
  standin_json_add_int (change, "at", standin_now_us ());
  json_object_array_add (platform->instance_changes, change);
  pthread_mutex_unlock (&platform->lock);
  return respond (platform, conn, 200, json_object_new_object ());
}

static int
set_faults (platform_t *platform, struct mg_connection *conn)
{
  json_object *value = standin_read_json (conn);
  json_object *member;
  faults_t *faults = &platform->faults;

  if (value == NULL)
    return respond_with_problem (platform, conn, 400, "not a JSON object");
  pthread_mutex_lock (&platform->lock);
  if (json_object_object_get_ex (value, "down", &member))
    {
      faults->outage
          = json_object_get_boolean (member) ? OUTAGE_REFUSING : OUTAGE_NONE;
      if (json_object_is_type (member, json_type_string))
        faults->outage = OUTAGE_UNRESPONSIVE;
    }
  if (json_object_object_get_ex (value, "delay_ms", &member))
    faults->delay_ms = json_object_get_int64 (member);
  if (json_object_object_get_ex (value, "lose_put_answers", &member))
    faults->lose_put_answers = json_object_get_int64 (member);
  if (json_object_object_get_ex (value, "apply_put_after_ms", &member))
    faults->apply_put_after_ms = json_object_get_int64 (member);
  if (json_object_object_get_ex (value, "down_after_put", &member))
    {
      free (faults->down_after_put);
      faults->down_after_put = strdup (json_object_get_string (member));
    }
  pthread_mutex_unlock (&platform->lock);
  json_object_put (value);
  return standin_send_json (conn, 200, json_object_new_object ());
}

static int
handle_control (platform_t *platform, struct mg_connection *conn,
                const char *uri)
{
  json_object *value;

  if (strcmp (uri, "/control/faults") == 0 && is_method (conn, "PUT"))
    return set_faults (platform, conn);
  if (strcmp (uri, "/control/counters") != 0)
    return respond_with_problem (platform, conn, 404, "no such control");
  value = json_object_new_object ();
  pthread_mutex_lock (&platform->lock);
  standin_json_add_int (value, "reads", platform->reads);
  standin_json_add_int (value, "writes", platform->writes);
  standin_json_add_int (value, "watches", platform->watches);
  standin_json_add_int (value, "bytes", platform->bytes);
  pthread_mutex_unlock (&platform->lock);
  return standin_send_json (conn, 200, value);
}

/* Delays the request, or responds with an error or not at all, as the faults
   are configured.  Returns false if the request is thereby finished or the
   client has disconnected.  */
static bool
inject_faults (platform_t *platform, struct mg_connection *conn)
{
  faults_t faults;

  pthread_mutex_lock (&platform->lock);
  faults = platform->faults;
  pthread_mutex_unlock (&platform->lock);
  if (faults.outage == OUTAGE_REFUSING)
    {
      respond_with_problem (platform, conn, 503, "the platform is down");
      return false;
    }
  if (faults.outage == OUTAGE_UNRESPONSIVE)
    {
      /* The wait ends when the client disconnects or the server stops.  */
      (void)standin_wait_while_connected (conn, (int64_t)86400 * 1000000);
      standin_reset_connection (conn);
      return false;
    }
  return faults.delay_ms == 0
         || standin_wait_while_connected (conn, faults.delay_ms * 1000);
}

static int
handle_request (struct mg_connection *conn, void *context)
{
  platform_t *platform = context;
  const char *uri = mg_get_request_info (conn)->local_uri;

  if (strncmp (uri, "/control/", 9) == 0)
    return handle_control (platform, conn, uri);
  if (!inject_faults (platform, conn))
    return 503;
  if (strncmp (uri, "/objects/", 9) == 0 && uri[9] != '\0')
    {
      if (strlen (uri + 9) >= NAME_SIZE_BYTES)
        return respond_with_problem (platform, conn, 400, "name too long");
      if (is_method (conn, "GET"))
        return read_object (platform, conn, uri + 9);
      if (is_method (conn, "PUT"))
        return write_object (platform, conn, uri + 9, false);
      if (is_method (conn, "DELETE"))
        return write_object (platform, conn, uri + 9, true);
      return respond_with_problem (platform, conn, 405, "method not allowed");
    }
  if (strcmp (uri, "/objects") == 0)
    return read_changes (platform, conn);
  if (strcmp (uri, "/watch") == 0)
    return wait_for_changes (platform, conn);
  if (strncmp (uri, "/instances", 10) == 0
      && (uri[10] == '\0' || uri[10] == '/'))
    return handle_instances (platform, conn, uri + 10 + (uri[10] == '/'));
  return respond_with_problem (platform, conn, 404, "no such path");
}

int
main (int argc, const char **argv)
{
  platform_t platform = { .lock = PTHREAD_MUTEX_INITIALIZER };
  int port = 0;
  int threads = 128;
  int lag_ms = 0;
  struct poptOption options[]
      = { { "port", 0, POPT_ARG_INT, &port, 0, "port, 0 for a free one", "N" },
          { "threads", 0, POPT_ARG_INT, &threads, 0, "connections at a time",
            "N" },
          { "instance-lag-ms", 0, POPT_ARG_INT, &lag_ms, 0,
            "delay of instance list changes", "MS" },
          POPT_AUTOHELP POPT_TABLEEND };
  pthread_condattr_t attributes;
  struct mg_context *server;
  char ports[16];

  standin_parse_options (argc, argv, options);
  standin_block_signals ();
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&platform.changed, &attributes);
  platform.instance_changes = json_object_new_array ();
  platform.instance_lag_ms = lag_ms;
  snprintf (ports, sizeof ports, "%d", port);
  server = standin_start_server (ports, threads);
  standin_set_handler (server, handle_request, &platform);
  standin_print_ready (standin_get_port (server, 0));
  standin_wait_for_stop ();

  pthread_mutex_lock (&platform.lock);
  platform.stopping = true;
  pthread_cond_broadcast (&platform.changed);
  pthread_mutex_unlock (&platform.lock);
  standin_stop_server (server);
  for (size_t i = 0; i < platform.object_count; i++)
    {
      free (platform.objects[i].name);
      free (platform.objects[i].body);
      free (platform.objects[i].change_id);
    }
  free (platform.objects);
  free (platform.faults.down_after_put);
  json_object_put (platform.instance_changes);
  return 0;
}
