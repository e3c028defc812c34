#include "control.h"

#include <civetweb.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "store.h"

/* When the response to a write is lost, the object is read back to find out
   whether the write took effect.  This is the time limit of that read.  */
#define READ_BACK_TIMEOUT_MS 2000
/* Number of times that the removal of a member is tried when other updates of
   the ownership record conflict with it.  */
#define FORGET_ATTEMPTS_MAX 5

struct control
{
  struct mg_context *context;
  admin_callbacks_t callbacks;
  conf_settings_t settings;
  engine_t *engine;
  pthread_mutex_t lock; /* guards the store client, which is not thread-safe */
  store_t *store;
};

static int
store_result_to_errno (store_result_t result)
{
  switch (result)
    {
    case STORE_OK:
      return 0;
    case STORE_CONFLICT:
      return -ESTALE;
    case STORE_UNKNOWN:
      return -ETIMEDOUT;
    case STORE_FAILED:
      break;
    }
  return -EAGAIN;
}

static int
read_error_to_errno (int error)
{
  return error == 0 || error == -ENOENT ? error : -EAGAIN;
}

static int
read_object (void *context, const char *name, admin_object_t *object)
{
  control_t *control = context;
  store_object_t found;
  int error;

  pthread_mutex_lock (&control->lock);
  error = store_get (control->store, name, control->settings.store_timeout_ms,
                     &found);
  pthread_mutex_unlock (&control->lock);
  if (error != 0)
    return read_error_to_errno (error);
  object->version = found.version;
  object->revision = found.revision;
  object->body = strdup (found.body);
  store_object_clear (&found);
  return object->body == NULL ? -ENOMEM : 0;
}

/* Context of visit_object(): the admin handler's function for each object, and
   its argument.  */
typedef struct list_context
{
  admin_visit_t visit;
  void *arg;
} list_context_t;

static void
visit_object (void *context, const store_object_t *object)
{
  const list_context_t *listing = context;
  admin_object_t out = { .version = object->version,
                         .revision = object->revision,
                         .body = object->body };

  if (!object->deleted)
    listing->visit (listing->arg, object->name, &out);
}

static int
list_objects (void *context, const char *prefix, admin_visit_t visit,
              void *arg)
{
  control_t *control = context;
  list_context_t listing = { .visit = visit, .arg = arg };
  uint64_t revision;
  int error;

  pthread_mutex_lock (&control->lock);
  error = store_read_since (control->store, prefix, 0,
                            control->settings.store_timeout_ms, visit_object,
                            &listing, &revision);
  pthread_mutex_unlock (&control->lock);
  return read_error_to_errno (error);
}

/* Applies a change that the store has acknowledged, at this instance and the
   others.  The store may fail before any of them has read it.  */
static void
apply_change (control_t *control, const char *name, const char *body,
              const admin_change_t *change)
{
  conf_object_t *object;
  conf_error_t problem;

  if (conf_parse_object (name, body, change->version, change->revision,
                         body == NULL, &object, &problem)
      == 0)
    engine_handle_own_change (control->engine, object);
}

/* Puts an object, or deletes it when @body is NULL.  */
static int
change_object (control_t *control, const char *name, const char *body,
               uint64_t expected, const char *change_id,
               admin_change_t *change)
{
  store_write_t write = {
    .name = name,
    .body = body,
    .expected = expected,
    .change_id = change_id,
    .timeout_ms = control->settings.store_timeout_ms,
    .read_back_ms = READ_BACK_TIMEOUT_MS,
  };
  store_write_details_t written = { 0 };
  store_result_t result;

  pthread_mutex_lock (&control->lock);
  result = body == NULL ? store_delete (control->store, &write, &written)
                        : store_put (control->store, &write, &written);
  pthread_mutex_unlock (&control->lock);
  change->version = written.version;
  change->revision = written.revision;
  if (result == STORE_OK && !written.was_read_back)
    apply_change (control, name, body, change);
  /* Read the store at once, so that this instance, and through it the others,
     have the change before the next periodic read.  */
  if (result == STORE_OK)
    engine_read_store (control->engine);
  return store_result_to_errno (result);
}

static int
put_object (void *context, const char *name, const char *body,
            uint64_t expected, const char *change_id, admin_change_t *change)
{
  return change_object (context, name, body, expected, change_id, change);
}

static int
remove_object (void *context, const char *name, uint64_t expected,
               const char *change_id, admin_change_t *change)
{
  return change_object (context, name, NULL, expected, change_id, change);
}

/* Removes a member from @record.
   Return: 0, or -ENOENT when the record has no such member.  */
static int
remove_member (decide_record_t *record, const char *name)
{
  for (uint32_t i = 0; i < record->member_count; i++)
    if (strcmp (record->members[i].name, name) == 0)
      {
        record->member_count--;
        memmove (&record->members[i], &record->members[i + 1],
                 (record->member_count - i) * sizeof record->members[0]);
        return 0;
      }
  return -ENOENT;
}

/* Removes a member with one conditional update of the ownership record.
   @name is the record's name in the store.
   Return: 0 or a negative error number, -ESTALE when another update came
   first.  */
static int
try_forget_member (control_t *control, const char *name, const char *instance,
                   admin_change_t *change)
{
  admin_object_t found;
  conf_object_t *object = NULL;
  conf_error_t problem;
  decide_record_t record;
  char change_id[3 * DECIDE_NAME_MAX];
  char *body = NULL;
  int error = read_object (control, name, &found);

  if (error != 0)
    return error;
  error = conf_parse_object (name, found.body, found.version, found.revision,
                             false, &object, &problem);
  if (error == 0)
    {
      record = *object->object.u.record;
      error = remove_member (&record, instance);
    }
  if (error == 0)
    {
      body = conf_format_record (&record);
      snprintf (change_id, sizeof change_id, "forget-%s-%" G_GINT64_FORMAT,
                instance, g_get_real_time ());
      error = body == NULL ? -ENOMEM
                           : change_object (control, name, body, found.version,
                                            change_id, change);
    }
  free (body);
  conf_object_free (object);
  free (found.body);
  return error;
}

/* Removes an instance from the ownership record.  Its slices are then taken
   over like those of any unreachable owner.  */
static int
forget_member (void *context, const char *instance, admin_change_t *change)
{
  control_t *control = context;
  char name[2 * DECIDE_NAME_MAX];
  int error = -ESTALE;

  snprintf (name, sizeof name, "%s%s", CONF_PREFIX_OWNERSHIP,
            control->settings.group);
  for (int i = 0; i < FORGET_ATTEMPTS_MAX && error == -ESTALE; i++)
    error = try_forget_member (control, name, instance, change);
  return error;
}

/* ---- Status ---- */

/* Context of the callbacks that fill in the status.  */
typedef struct status_context
{
  const control_t *control;
  admin_status_t *status;
} status_context_t;

/* Sets @name to the instance's name, or to "" when it is not configured.  */
static void
get_instance_name (const control_t *control, decide_id_t id,
                   char name[DECIDE_NAME_MAX])
{
  name[0] = '\0';
  for (uint32_t i = 0; i < control->settings.instance_count; i++)
    if (decide_id (control->settings.instances[i].name) == id)
      g_strlcpy (name, control->settings.instances[i].name, DECIDE_NAME_MAX);
}

static void
add_instance (void *context, const decide_peer_view_t *view)
{
  const status_context_t *status_context = context;
  admin_instance_t instance = { .revision = view->revision,
                                .heard = view->heard,
                                .leaving = view->leaving,
                                .out = view->out };

  g_strlcpy (instance.name, view->name, sizeof instance.name);
  g_strlcpy (instance.data_centre, view->data_centre,
             sizeof instance.data_centre);
  g_array_append_val (status_context->status->instances, instance);
}

static void
add_endpoint (void *context, const decide_endpoint_view_t *view)
{
  const status_context_t *status_context = context;
  admin_endpoint_t endpoint = { .limit = view->limit,
                                .in_flight = view->in_flight,
                                .cold = view->cold,
                                .draining = view->draining,
                                .suspended = view->suspended,
                                .out = view->out };

  g_strlcpy (endpoint.group, view->group, sizeof endpoint.group);
  g_strlcpy (endpoint.service, view->service, sizeof endpoint.service);
  g_strlcpy (endpoint.endpoint, view->endpoint->name,
             sizeof endpoint.endpoint);
  g_strlcpy (endpoint.data_centre, view->endpoint->data_centre,
             sizeof endpoint.data_centre);
  get_instance_name (status_context->control, view->owner, endpoint.owner);
  g_array_append_val (status_context->status->endpoints, endpoint);
}

static void
append_name (void *context, const char *name)
{
  g_ptr_array_add (context, g_strdup (name));
}

static void
add_slices (const status_context_t *status_context,
            const decide_record_t *record)
{
  for (uint32_t i = 0; record != NULL && i < record->centre_count; i++)
    for (uint32_t j = 0; j < DECIDE_SLICES; j++)
      {
        admin_slice_t slice = { .slice = j };

        g_strlcpy (slice.data_centre, record->centres[i].name,
                   sizeof slice.data_centre);
        get_instance_name (status_context->control,
                           record->centres[i].slices[j].owner, slice.owner);
        g_array_append_val (status_context->status->slices, slice);
      }
}

static void
fill_in_status (void *context, decide_t *node, clock_ms_t now)
{
  status_context_t *status_context = context;
  admin_status_t *status = status_context->status;
  decide_status_t own;

  decide_get_status (node, now, &own);
  status->revision = own.revision;
  status->record_version = own.record_version;
  decide_each_instance (node, now, add_instance, status_context);
  decide_each_endpoint (node, now, add_endpoint, status_context);
  decide_each_out_of_service (node, false, append_name, status->out_centres);
  decide_each_out_of_service (node, true, append_name, status->out_instances);
  add_slices (status_context, decide_get_record (node));
}

static int
collect_status (void *context, admin_status_t *status)
{
  control_t *control = context;
  status_context_t status_context = { .control = control, .status = status };

  return engine_call_on_decision_thread (control->engine, fill_in_status,
                                         &status_context);
}

static int
log_message (const struct mg_connection *conn, const char *message)
{
  (void)conn;
  g_info ("admin listener: %s", message);
  return 1;
}

int
control_start (control_t **out, const conf_settings_t *settings,
               engine_t *engine)
{
  struct mg_callbacks callbacks = { .log_message = log_message };
  const char *options[] = { "listening_ports",
                            settings->listen_admin,
                            "num_threads",
                            "4",
                            "request_timeout_ms",
                            "5000",
                            NULL };
  const char *address = strstr (settings->store_url, "://");
  control_t *control = calloc (1, sizeof *control);

  if (control == NULL)
    return -ENOMEM;
  control->settings = *settings;
  control->engine = engine;
  pthread_mutex_init (&control->lock, NULL);
  control->store
      = store_new (address == NULL ? settings->store_url : address + 3);
  if (control->store == NULL)
    {
      control_stop (control);
      return -ENOMEM;
    }
  control->context = mg_start (&callbacks, control, options);
  if (control->context == NULL)
    {
      g_critical ("cannot listen for operators on %s", settings->listen_admin);
      control_stop (control);
      return -EADDRINUSE;
    }
  control->callbacks = (admin_callbacks_t){
    .context = control,
    .instance = control->settings.instance,
    .read = read_object,
    .list = list_objects,
    .put = put_object,
    .remove = remove_object,
    .forget = forget_member,
    .collect_status = collect_status,
  };
  admin_install (control->context, &control->callbacks);
  *out = control;
  return 0;
}

void
control_stop (control_t *control)
{
  if (control == NULL)
    return;
  if (control->context != NULL)
    mg_stop (control->context);
  store_free (control->store);
  pthread_mutex_destroy (&control->lock);
  free (control);
}
