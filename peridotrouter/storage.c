#include "storage.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mailbox.h"
#include "request.h"
#include "store.h"
#include "telemetry.h"

/* Capacity of the job queue; a power of two.  */
#define JOB_QUEUE_CAPACITY 64
/* When the response to an update is lost, the record is read back to find out
   whether the update took effect.  This is the time limit of that read.  */
#define READ_BACK_TIMEOUT_MS 1000

typedef enum job_type
{
  JOB_SYNC,
  JOB_PUT,
  JOB_STOP
} job_type_t;

typedef struct job
{
  job_type_t type;
  uint64_t since;     /* JOB_SYNC: read changes after this revision */
  uint64_t operation; /* JOB_PUT: id of the update, passed to put_done() */
  uint64_t expected;  /* JOB_PUT: version that the store's record must have, 0:
                         no record */
  char *body;         /* JOB_PUT: the record as JSON text */
} job_t;

struct storage
{
  storage_callbacks_t callbacks;
  conf_settings_t settings;
  store_t *store;
  mailbox_t *jobs;
  pthread_t thread;
  bool last_read_failed;
  uint64_t update_count; /* record updates so far; makes change ids unique */
  /* Name of the ownership record in the store.  */
  char record_name[2 * DECIDE_NAME_MAX];
};

static void put_record (storage_t *storage, const job_t *job);
static void *run_store_thread (void *arg);
static void sync_objects (storage_t *storage, uint64_t since);
static void deliver_object (void *context, const store_object_t *object);

int
storage_start (storage_t **out, const conf_settings_t *settings,
               const storage_callbacks_t *callbacks)
{
  storage_t *storage = calloc (1, sizeof *storage);
  const char *separator = strstr (settings->store_url, "://");
  int error;

  if (storage == NULL)
    return -ENOMEM;
  storage->callbacks = *callbacks;
  storage->settings = *settings;
  snprintf (storage->record_name, sizeof storage->record_name, "%s%s",
            CONF_PREFIX_OWNERSHIP, settings->group);
  storage->store
      = store_new (separator == NULL ? settings->store_url : separator + 3);
  storage->jobs = mailbox_new (JOB_QUEUE_CAPACITY);
  if (storage->store == NULL || storage->jobs == NULL)
    {
      error = ENOMEM;
      goto fail;
    }
  error = pthread_create (&storage->thread, NULL, run_store_thread, storage);
  if (error != 0)
    goto fail;
  *out = storage;
  return 0;

fail:
  mailbox_free (storage->jobs);
  store_free (storage->store);
  free (storage);
  return -error;
}

static void
add_job (storage_t *storage, const job_t *template)
{
  job_t *job = malloc (sizeof *job);

  if (job == NULL)
    g_error ("out of memory for a store call");
  *job = *template;
  if (mailbox_put (storage->jobs, job) == 0)
    return;
  /* No callback reports the dropped job: the decision library has a time limit
     for each store call.  */
  g_warning ("store call dropped: the queue is full");
  free (job->body);
  free (job);
}

void
storage_get_bytes (storage_t *storage, uint64_t *sent, uint64_t *received)
{
  store_stats_t stats;

  store_get_stats (storage->store, &stats);
  *sent = stats.bytes_sent;
  *received = stats.bytes_received;
}

void
storage_stop (storage_t *storage)
{
  job_t job = { .type = JOB_STOP };
  job_t *remaining;

  if (storage == NULL)
    return;
  add_job (storage, &job);
  pthread_join (storage->thread, NULL);
  while ((remaining = mailbox_get (storage->jobs, 0)) != NULL)
    {
      free (remaining->body);
      free (remaining);
    }
  mailbox_free (storage->jobs);
  store_free (storage->store);
  free (storage);
}

void
storage_sync (storage_t *storage, uint64_t since)
{
  job_t job = { .type = JOB_SYNC, .since = since };

  add_job (storage, &job);
}

void
storage_put_record (storage_t *storage, uint64_t operation, uint64_t expected,
                    const decide_record_t *record)
{
  job_t job
      = { .type = JOB_PUT, .operation = operation, .expected = expected };

  job.body = conf_format_record (record);
  if (job.body == NULL)
    g_error ("out of memory for the ownership record");
  add_job (storage, &job);
}

static void *
run_store_thread (void *arg)
{
  storage_t *storage = arg;
  bool stop = false;

  while (!stop)
    {
      job_t *job = mailbox_get (storage->jobs, -1);

      if (job == NULL)
        continue;
      if (job->type == JOB_SYNC)
        sync_objects (storage, job->since);
      else if (job->type == JOB_PUT)
        put_record (storage, job);
      else
        stop = true;
      free (job->body);
      free (job);
    }
  return NULL;
}

/* Passes an object that was read from the store to the object callback.  An
   invalid object is counted and logged instead.  */
static void
deliver_object (void *context, const store_object_t *object)
{
  storage_t *storage = context;
  conf_object_t *parsed;
  conf_error_t error;

  if (conf_parse_object (object->name, object->body, object->version,
                         object->revision, object->deleted, &parsed, &error)
      == 0)
    {
      storage->callbacks.object (storage->callbacks.context, parsed);
      return;
    }
  telemetry_counter_increment (TELEMETRY_OBJECTS_REJECTED, 0);
  g_warning (
      "configuration object rejected, its last valid version stays in use: %s",
      error.text);
}

static void
sync_objects (storage_t *storage, uint64_t since)
{
  clock_ms_t sent = clock_now_ms ();
  int64_t start_us = clock_now_us ();
  uint64_t revision = 0;
  int error = store_read_since (storage->store, CONF_PREFIX, since,
                                storage->settings.store_timeout_ms,
                                deliver_object, storage, &revision);

  telemetry_histogram_observe (TELEMETRY_STORE_US, clock_now_us () - start_us);
  telemetry_counter_increment (TELEMETRY_STORE_CALLS, error == 0 ? 0 : 2);
  if ((error != 0) != storage->last_read_failed)
    {
      storage->last_read_failed = error != 0;
      if (error != 0)
        g_warning ("store read failed: %s", store_get_error (storage->store));
      else
        g_message ("store can be read again");
    }
  storage->callbacks.synced (storage->callbacks.context, sent, error == 0,
                             revision);
}

static void
put_record (storage_t *storage, const job_t *job)
{
  char change_id[3 * DECIDE_NAME_MAX];
  store_write_t write = {
    .name = storage->record_name,
    .body = job->body,
    .expected = job->expected,
    .change_id = change_id,
    .timeout_ms = storage->settings.store_timeout_ms,
    .read_back_ms = READ_BACK_TIMEOUT_MS,
  };
  store_write_details_t written = { 0 };
  decide_store_result_t result = DECIDE_STORE_UNKNOWN;
  store_result_t put_result;

  snprintf (change_id, sizeof change_id, "%s-%016" PRIx64 "-%" PRIu64,
            storage->settings.instance, (uint64_t)g_get_real_time (),
            ++storage->update_count);
  put_result = store_put (storage->store, &write, &written);
  if (put_result == STORE_OK)
    result = DECIDE_STORE_OK;
  else if (put_result == STORE_CONFLICT)
    result = DECIDE_STORE_CONFLICT;
  telemetry_counter_increment (TELEMETRY_STORE_CALLS,
                               put_result == STORE_OK         ? 0
                               : put_result == STORE_CONFLICT ? 1
                                                              : 2);
  storage->callbacks.put_done (storage->callbacks.context, job->operation,
                               result, written.version);
}
