#include "record.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "peer.h"

struct recording
{
  FILE *file;
};

static void write_load (FILE *file, const decide_load_t *load);
static void write_bytes (FILE *file, const void *bytes, size_t length);
static void write_object (const recording_t *recording,
                          const decide_object_t *object);

recording_t *
record_open_stream (FILE *file)
{
  recording_t *recording = calloc (1, sizeof *recording);

  if (recording != NULL)
    recording->file = file;
  return recording;
}

recording_t *
record_open (const char *path)
{
  FILE *file = fopen (path, "we");
  recording_t *recording = file == NULL ? NULL : record_open_stream (file);

  if (file != NULL && recording == NULL)
    fclose (file);
  return recording;
}

void
record_close (recording_t *recording)
{
  if (recording == NULL)
    return;
  if (fclose (recording->file) != 0)
    g_warning ("the recording is incomplete: %s", g_strerror (errno));
  free (recording);
}

/* Writes @bytes in base 64, or "-" when there are none.  */
static void
write_bytes (FILE *file, const void *bytes, size_t length)
{
  g_autofree char *text
      = length == 0 ? g_strdup ("-") : g_base64_encode (bytes, length);

  fprintf (file, " %s", text);
}

static void
write_load (FILE *file, const decide_load_t *load)
{
  fprintf (file, " %d %u %u %u %d %d %" PRIu64, load->present, load->in_flight,
           load->queued, load->slots, load->cold, load->draining,
           load->identity);
}

void
record_start (recording_t *recording, clock_ms_t now,
              const decide_settings_t *settings)
{
  if (recording == NULL)
    return;
  fprintf (recording->file,
           "%" PRId64 " start %s %s %s %" PRIu64 " %" PRIu64 " %" PRIu64, now,
           settings->instance, settings->data_centre, settings->group,
           settings->incarnation, settings->seed, settings->key_bytes_limit);
  for (uint32_t i = 0; i < settings->instance_count; i++)
    fprintf (recording->file, " %s %s", settings->instances[i].name,
             settings->instances[i].data_centre);
  fputc ('\n', recording->file);
}

void
record_tick (recording_t *recording, clock_ms_t now)
{
  if (recording != NULL)
    fprintf (recording->file, "%" PRId64 " tick\n", now);
}

void
record_shutdown_begun (recording_t *recording, clock_ms_t now)
{
  if (recording != NULL)
    fprintf (recording->file, "%" PRId64 " stop\n", now);
}

void
record_read_store (recording_t *recording, clock_ms_t now)
{
  if (recording != NULL)
    fprintf (recording->file, "%" PRId64 " read\n", now);
}

static void
write_object (const recording_t *recording, const decide_object_t *object)
{
  fprintf (recording->file, " %" PRIu64 " %" PRIu64 " %d %s", object->version,
           object->revision, object->deleted, object->name);
  write_bytes (recording->file, object->body,
               object->body == NULL ? 0 : strlen (object->body));
  fputc ('\n', recording->file);
}

void
record_object (recording_t *recording, clock_ms_t now, uint64_t previous,
               const decide_object_t *object)
{
  if (recording == NULL)
    return;
  fprintf (recording->file, "%" PRId64 " object %" PRIu64, now, previous);
  write_object (recording, object);
}

void
record_own_change (recording_t *recording, clock_ms_t now,
                   const decide_object_t *object)
{
  if (recording == NULL)
    return;
  fprintf (recording->file, "%" PRId64 " change", now);
  write_object (recording, object);
}

void
record_store_synced (recording_t *recording, clock_ms_t now, clock_ms_t sent,
                     bool ok, uint64_t revision)
{
  if (recording != NULL)
    fprintf (recording->file,
             "%" PRId64 " synced %" PRId64 " %d %" PRIu64 "\n", now, sent, ok,
             revision);
}

void
record_store_put_done (recording_t *recording, clock_ms_t now,
                       uint64_t operation, decide_store_result_t result,
                       uint64_t version)
{
  if (recording != NULL)
    fprintf (recording->file, "%" PRId64 " put %" PRIu64 " %d %" PRIu64 "\n",
             now, operation, (int)result, version);
}

void
record_message (recording_t *recording, clock_ms_t now, decide_id_t from,
                const decide_msg_t *msg)
{
  size_t length;
  uint8_t *bytes;

  if (recording == NULL)
    return;
  bytes = peer_msg_pack (msg, &length);
  if (bytes == NULL)
    return;
  fprintf (recording->file, "%" PRId64 " message %" PRIu64, now, from);
  write_bytes (recording->file, bytes, length);
  fputc ('\n', recording->file);
  free (bytes);
}

void
record_request (recording_t *recording, clock_ms_t now,
                const decide_request_t *request)
{
  if (recording != NULL)
    fprintf (recording->file,
             "%" PRId64 " request %" PRIu64 " %" PRIu64 " %d %d %" PRIu64
             " %" PRIu64 " %" PRIu64 " %" PRId64 "\n",
             now, request->id, request->service, request->idempotent,
             request->keyed, request->key.hash[0], request->key.hash[1],
             request->key.body, request->deadline);
}

void
record_request_cancelled (recording_t *recording, clock_ms_t now,
                          uint64_t request)
{
  if (recording != NULL)
    fprintf (recording->file, "%" PRId64 " gone %" PRIu64 "\n", now, request);
}

void
record_attempt_done (recording_t *recording, clock_ms_t now, uint64_t request,
                     uint64_t attempt, const decide_attempt_end_t *end,
                     const decide_response_t *response)
{
  if (recording == NULL)
    return;
  fprintf (recording->file,
           "%" PRId64 " attempt %" PRIu64 " %" PRIu64 " %d %" PRId64
           " %u %" PRId64,
           now, request, attempt, (int)end->result, end->latency_ms,
           end->status, end->retry_after_ms);
  write_load (recording->file, &end->load);
  write_bytes (recording->file, response,
               response == NULL ? 0 : sizeof *response);
  fputc ('\n', recording->file);
}

void
record_probe_done (recording_t *recording, clock_ms_t now,
                   endpoint_handle_t endpoint, bool ok, clock_ms_t latency_ms,
                   const decide_load_t *load)
{
  if (recording == NULL)
    return;
  fprintf (recording->file, "%" PRId64 " probed %u %d %" PRId64, now, endpoint,
           ok, latency_ms);
  write_load (recording->file, load);
  fputc ('\n', recording->file);
}

/* ---- Decisions ---- */

/* Writes a hash of the message instead of its content: the hash is enough to
   compare two recordings.  */
void
record_send (recording_t *recording, decide_id_t instance,
             const decide_msg_t *msg)
{
  size_t length;
  uint8_t *bytes;

  if (recording == NULL)
    return;
  bytes = peer_msg_pack (msg, &length);
  fprintf (recording->file, "> send %" PRIu64 " %d %016" PRIx64 "\n", instance,
           (int)msg->type,
           bytes == NULL ? 0 : (uint64_t)XXH64 (bytes, length, 0));
  free (bytes);
}

void
record_forward (recording_t *recording, const decide_forward_t *forward)
{
  if (recording != NULL)
    fprintf (recording->file,
             "> forward %" PRIu64 " %" PRIu64 " %s %" PRId64 " %" PRId64
             " %d\n",
             forward->request, forward->attempt, forward->target->name,
             forward->start_by, forward->deadline, forward->hedge);
}

void
record_cancel_attempt (recording_t *recording, uint64_t attempt)
{
  if (recording != NULL)
    fprintf (recording->file, "> cancel %" PRIu64 "\n", attempt);
}

void
record_refusal (recording_t *recording, const decide_refusal_t *refusal)
{
  if (recording != NULL)
    fprintf (recording->file, "> refuse %" PRIu64 " %d %d %" PRId64 "\n",
             refusal->request, (int)refusal->reason, (int)refusal->ran,
             refusal->retry_after_ms);
}

void
record_replay (recording_t *recording, uint64_t request,
               const decide_response_t *response)
{
  if (recording != NULL)
    fprintf (recording->file, "> replay %" PRIu64 " %u\n", request,
             response->status);
}

void
record_store_sync (recording_t *recording, uint64_t since)
{
  if (recording != NULL)
    fprintf (recording->file, "> sync %" PRIu64 "\n", since);
}

void
record_store_put (recording_t *recording, uint64_t operation,
                  uint64_t expected, const decide_record_t *ownership)
{
  if (recording != NULL)
    fprintf (recording->file, "> put %" PRIu64 " %" PRIu64 " %u\n", operation,
             expected, ownership->member_count);
}

void
record_probe (recording_t *recording, endpoint_handle_t endpoint)
{
  if (recording != NULL)
    fprintf (recording->file, "> probe %u\n", endpoint);
}
