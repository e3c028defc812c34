/* Replays a recording that a daemon made with the option --record: feeds
   the recorded events to the decision library and compares its decisions after
   each event with the recorded ones.  Prints a summary of the outcomes; exits
   with 1 at the first difference.  */

#include <err.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "decide.h"
#include "peer.h"
#include "record.h"

#define FIELDS_MAX 64

typedef struct replay
{
  decide_t *node;         /* NULL before the start event */
  recording_t *recording; /* writes the decisions to file */
  char *text; /* decisions of the current event, in the recording's format */
  size_t length;
  FILE *file; /* stream in memory whose buffer is text */
  uint64_t events;
  uint64_t decisions;
  uint64_t requests;
  uint64_t forwarded;
  uint64_t refused_not_run;
  uint64_t refused_unknown; /* refused requests that may have run */
  uint64_t replayed; /* requests that got the response stored for their key */
  uint32_t slices_serving_max; /* most slices served at a time */
} replay_t;

static clock_ms_t
parse_int (const char *text)
{
  return strtoll (text, NULL, 10);
}

static uint64_t
parse_id (const char *text)
{
  return strtoull (text, NULL, 10);
}

/* ---- Decisions: callbacks of the library ---- */

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  record_send (((replay_t *)context)->recording, instance, msg);
}

static void
on_forward (void *context, const decide_forward_t *forward)
{
  replay_t *replay = context;

  replay->forwarded++;
  record_forward (replay->recording, forward);
}

static void
on_cancel (void *context, uint64_t attempt)
{
  record_cancel_attempt (((replay_t *)context)->recording, attempt);
}

static void
on_refuse (void *context, const decide_refusal_t *refusal)
{
  replay_t *replay = context;

  if (refusal->ran == DECIDE_RAN_NO)
    replay->refused_not_run++;
  else
    replay->refused_unknown++;
  record_refusal (replay->recording, refusal);
}

static void
on_replay (void *context, uint64_t request, const decide_response_t *response)
{
  replay_t *replay = context;

  replay->replayed++;
  record_replay (replay->recording, request, response);
}

static void
on_store_sync (void *context, uint64_t since)
{
  record_store_sync (((replay_t *)context)->recording, since);
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *ownership)
{
  record_store_put (((replay_t *)context)->recording, operation, expected,
                    ownership);
}

static void
on_probe (void *context, endpoint_handle_t endpoint,
          const decide_endpoint_t *target)
{
  (void)target;
  record_probe (((replay_t *)context)->recording, endpoint);
}

/* ---- Events: calls to the library ---- */

static void
feed_start (replay_t *replay, clock_ms_t now, char **fields, guint count)
{
  decide_callbacks_t callbacks
      = { replay,    on_send,       on_forward,   on_cancel, on_refuse,
          on_replay, on_store_sync, on_store_put, on_probe };
  decide_instance_t instances[DECIDE_MEMBERS_MAX];
  decide_settings_t settings = { .instances = instances };

  g_strlcpy (settings.instance, fields[0], sizeof settings.instance);
  g_strlcpy (settings.data_centre, fields[1], sizeof settings.data_centre);
  g_strlcpy (settings.group, fields[2], sizeof settings.group);
  settings.incarnation = parse_id (fields[3]);
  settings.seed = parse_id (fields[4]);
  settings.key_bytes_limit = parse_id (fields[5]);
  for (guint i = 6; i + 1 < count; i += 2)
    {
      decide_instance_t *instance = &instances[settings.instance_count++];

      g_strlcpy (instance->name, fields[i], sizeof instance->name);
      g_strlcpy (instance->data_centre, fields[i + 1],
                 sizeof instance->data_centre);
    }
  replay->node = decide_new (&settings, &callbacks, now);
  if (replay->node == NULL)
    errx (1, "the recorded settings are contradictory");
}

/* Returns the object in the five last fields of its line.  */
static conf_object_t *
parse_object (char **fields)
{
  g_autofree char *body = NULL;
  conf_object_t *parsed;
  conf_error_t error;
  size_t length = 0;

  if (strcmp (fields[4], "-") != 0)
    {
      guchar *bytes = g_base64_decode (fields[4], &length);

      body = g_strndup ((char *)bytes, length);
      g_free (bytes);
    }
  if (conf_parse_object (fields[3], body, parse_id (fields[0]),
                         parse_id (fields[1]), parse_int (fields[2]) != 0,
                         &parsed, &error)
      != 0)
    errx (1, "%s", error.text);
  return parsed;
}

static void
feed_object (replay_t *replay, clock_ms_t now, char **fields)
{
  conf_object_t *parsed = parse_object (fields + 1);

  decide_object (replay->node, now, parse_id (fields[0]), &parsed->object);
  conf_object_free (parsed);
}

static void
feed_own_change (replay_t *replay, clock_ms_t now, char **fields)
{
  conf_object_t *parsed = parse_object (fields);

  decide_handle_own_change (replay->node, now, &parsed->object);
  conf_object_free (parsed);
}

static void
feed_message (replay_t *replay, clock_ms_t now, char **fields)
{
  size_t length;
  guchar *bytes = g_base64_decode (fields[1], &length);
  decide_msg_t *msg;

  if (peer_msg_unpack (bytes, length, &msg) != 0)
    errx (1, "a recorded message cannot be decoded");
  decide_handle_message (replay->node, now, parse_id (fields[0]), msg);
  peer_msg_free (msg);
  g_free (bytes);
}

static void
feed_request (replay_t *replay, clock_ms_t now, char **fields)
{
  decide_request_t request = { .id = parse_id (fields[0]),
                               .service = parse_id (fields[1]),
                               .idempotent = parse_int (fields[2]) != 0,
                               .keyed = parse_int (fields[3]) != 0,
                               .deadline = parse_int (fields[7]) };

  request.key.hash[0] = parse_id (fields[4]);
  request.key.hash[1] = parse_id (fields[5]);
  request.key.body = parse_id (fields[6]);
  replay->requests++;
  decide_request (replay->node, now, &request);
}

static decide_load_t
parse_load (char **fields)
{
  return (decide_load_t){ .present = parse_int (fields[0]) != 0,
                          .in_flight = (uint32_t)parse_int (fields[1]),
                          .queued = (uint32_t)parse_int (fields[2]),
                          .slots = (uint32_t)parse_int (fields[3]),
                          .cold = parse_int (fields[4]) != 0,
                          .draining = parse_int (fields[5]) != 0,
                          .identity = parse_id (fields[6]) };
}

static void
feed_attempt_end (replay_t *replay, clock_ms_t now, char **fields)
{
  decide_attempt_end_t end
      = { .result = (decide_attempt_result_t)parse_int (fields[2]),
          .latency_ms = parse_int (fields[3]),
          .status = (uint32_t)parse_int (fields[4]),
          .retry_after_ms = parse_int (fields[5]),
          .load = parse_load (fields + 6) };
  decide_response_t response;
  bool has_response = strcmp (fields[13], "-") != 0;
  size_t length;
  guchar *bytes;

  if (has_response)
    {
      bytes = g_base64_decode (fields[13], &length);
      if (length != sizeof response)
        errx (1, "a recorded response has the wrong size");
      memcpy (&response, bytes, sizeof response);
      g_free (bytes);
    }
  decide_attempt_done (replay->node, now, parse_id (fields[0]),
                       parse_id (fields[1]), &end,
                       has_response ? &response : NULL);
}

static void
feed_event (replay_t *replay, clock_ms_t now, const char *type, char **fields,
            guint count)
{
  decide_load_t probed;

  if (strcmp (type, "start") == 0 && count >= 7)
    feed_start (replay, now, fields, count);
  else if (replay->node == NULL)
    errx (1, "the recording does not begin with a start event");
  else if (strcmp (type, "tick") == 0)
    decide_tick (replay->node, now);
  else if (strcmp (type, "stop") == 0)
    decide_stop (replay->node, now);
  else if (strcmp (type, "read") == 0)
    decide_request_store_read (replay->node, now);
  else if (strcmp (type, "object") == 0 && count == 6)
    feed_object (replay, now, fields);
  else if (strcmp (type, "change") == 0 && count == 5)
    feed_own_change (replay, now, fields);
  else if (strcmp (type, "synced") == 0 && count == 3)
    decide_handle_store_read_result (replay->node, now, parse_int (fields[0]),
                                     parse_int (fields[1]) != 0,
                                     parse_id (fields[2]));
  else if (strcmp (type, "put") == 0 && count == 3)
    decide_store_put_done (replay->node, now, parse_id (fields[0]),
                           (decide_store_result_t)parse_int (fields[1]),
                           parse_id (fields[2]));
  else if (strcmp (type, "message") == 0 && count == 2)
    feed_message (replay, now, fields);
  else if (strcmp (type, "request") == 0 && count == 8)
    feed_request (replay, now, fields);
  else if (strcmp (type, "gone") == 0 && count == 1)
    decide_withdraw_request (replay->node, now, parse_id (fields[0]));
  else if (strcmp (type, "attempt") == 0 && count == 14)
    feed_attempt_end (replay, now, fields);
  else if (strcmp (type, "probed") == 0 && count == 10)
    {
      probed = parse_load (fields + 3);
      decide_probe_done (
          replay->node, now, (endpoint_handle_t)parse_int (fields[0]),
          parse_int (fields[1]) != 0, parse_int (fields[2]), &probed);
    }
  else
    errx (1, "unknown event '%s' with %u fields", type, count);
}

static void
feed_line (replay_t *replay, const char *line)
{
  g_auto (GStrv) fields = g_strsplit (line, " ", FIELDS_MAX);
  guint count = g_strv_length (fields);
  decide_status_t status;
  clock_ms_t now;

  if (count < 2)
    errx (1, "malformed line: %s", line);
  now = parse_int (fields[0]);
  replay->events++;
  feed_event (replay, now, fields[1], fields + 2, count - 2);
  decide_get_status (replay->node, now, &status);
  if (status.slices_serving > replay->slices_serving_max)
    replay->slices_serving_max = status.slices_serving;
}

/* Compares the decisions of the last event with the recorded ones, which are
   @expected; @line is the number of the line after these.  */
static void
compare_decisions (replay_t *replay, const GString *expected, uint64_t line)
{
  fflush (replay->file);
  /* rewind() leaves the text of earlier events in the buffer, so only length
     bytes of it belong to the current event.  */
  if (replay->length != expected->len
      || memcmp (replay->text, expected->str, expected->len) != 0)
    errx (1,
          "decisions before line %" PRIu64
          " differ\nrecorded:\n%s\nnow:\n%.*s",
          line, expected->str, (int)replay->length, replay->text);
  rewind (replay->file);
}

int
main (int argc, char **argv)
{
  replay_t replay = { 0 };
  GString *expected = g_string_new (NULL);
  char *line = NULL;
  size_t size = 0;
  ssize_t length;
  uint64_t line_number = 0;
  FILE *input;

  if (argc != 2)
    errx (2, "usage: replay FILE");
  input = fopen (argv[1], "r");
  if (input == NULL)
    err (1, "%s", argv[1]);
  replay.file = open_memstream (&replay.text, &replay.length);
  replay.recording
      = replay.file == NULL ? NULL : record_open_stream (replay.file);
  if (replay.recording == NULL)
    err (1, "cannot open a stream in memory");
  while ((length = getline (&line, &size, input)) > 0)
    {
      line_number++;
      /* The last line may be incomplete, if the process was killed while it
         wrote that line.  */
      if (line[length - 1] != '\n')
        break;
      if (line[0] == '>')
        {
          g_string_append (expected, line);
          replay.decisions++;
          continue;
        }
      compare_decisions (&replay, expected, line_number);
      g_string_truncate (expected, 0);
      line[length - 1] = '\0';
      feed_line (&replay, line);
    }
  printf ("events=%" PRIu64 " decisions=%" PRIu64 " requests=%" PRIu64
          " forwarded=%" PRIu64 " refused-not-run=%" PRIu64
          " refused-unknown=%" PRIu64 " replayed=%" PRIu64
          " most-slices-served=%u\n",
          replay.events, replay.decisions, replay.requests, replay.forwarded,
          replay.refused_not_run, replay.refused_unknown, replay.replayed,
          replay.slices_serving_max);
  free (line);
  fclose (input);
  g_string_free (expected, TRUE);
  decide_free (replay.node);
  record_close (replay.recording);
  free (replay.text);
  return 0;
}
