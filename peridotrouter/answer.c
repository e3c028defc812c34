#include "answer.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <json.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char *find_header (const backend_response_head_t *head,
                                const char *name);

static const char *
find_header (const backend_response_head_t *head, const char *name)
{
  for (size_t i = 0; i < head->header_count; i++)
    if (strcasecmp (head->headers[i].name, name) == 0)
      return head->headers[i].value;
  return NULL;
}

static int
write_all (answer_t *answer, const void *data, size_t length)
{
  if (answer->failed)
    return -EPIPE;
  if (length == 0)
    return 0;
  /* The first part fits into the socket's buffer.  */
  if (answer->sent == 0)
    answer->failed
        = mg_write (answer->caller.conn, data, length) != (int)length;
  else
    answer->failed
        = caller_write (&answer->caller, data, length, answer->write_by)
          != length;
  return answer->failed ? -EPIPE : 0;
}

static void
append_status (GString *text, const answer_t *answer, uint32_t status)
{
  g_string_append_printf (
      text, "HTTP/1.1 %u %s\r\n", status,
      mg_get_response_code_text (answer->caller.conn, (int)status));
  if (answer->request_id != NULL)
    g_string_append_printf (text, "Request-Id: %s\r\n", answer->request_id);
  if (answer->closing)
    g_string_append (text, "Connection: close\r\n");
}

static void
note_head (answer_t *answer, const backend_response_head_t *head)
{
  const char *etag = find_header (head, "ETag");
  const char *type = find_header (head, "Content-Type");

  answer->status = head->status;
  answer->length = head->content_length;
  if (etag != NULL && etag[0] == '"' && strlen (etag) < sizeof answer->etag)
    g_strlcpy (answer->etag, etag, sizeof answer->etag);
  answer->kept.status = head->status;
  if (type != NULL)
    g_strlcpy (answer->kept.content_type, type,
               sizeof answer->kept.content_type);
}

int
answer_start (answer_t *answer, const backend_response_head_t *head)
{
  g_autoptr (GString) text = g_string_new (NULL);

  note_head (answer, head);
  if (head->status == 204 || head->status == 304)
    {
      /* These have no body, whatever their headers say.  */
      answer->is_head = true;
      answer->length = 0;
    }
  answer->chunked = head->content_length < 0 && !answer->is_head;
  answer->head_sent = true;
  append_status (text, answer, head->status);
  for (size_t i = 0; i < head->header_count; i++)
    g_string_append_printf (text, "%s: %s\r\n", head->headers[i].name,
                            head->headers[i].value);
  if (answer->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (head->content_length >= 0 && head->status != 204)
    g_string_append_printf (text, "Content-Length: %" PRId64 "\r\n",
                            head->content_length);
  g_string_append (text, "\r\n");
  return write_all (answer, text->str, text->len);
}

bool
answer_can_resume (const answer_t *answer)
{
  return answer->head_sent && answer->status == 200 && answer->length > 0
         && answer->etag[0] != '\0' && !answer->failed;
}

int
answer_resume (const answer_t *answer, const backend_response_head_t *head)
{
  const char *range = find_header (head, "Content-Range");
  const char *etag = find_header (head, "ETag");
  int64_t first;
  int64_t last;
  int64_t total;

  if (head->status != 206 || range == NULL || etag == NULL
      || strcmp (etag, answer->etag) != 0)
    return -EPROTO;
  if (sscanf (range, "bytes %" SCNd64 "-%" SCNd64 "/%" SCNd64, &first, &last,
              &total)
          != 3
      || first != answer->sent || last != answer->length - 1
      || total != answer->length)
    return -EPROTO;
  return 0;
}

static void
keep_part (answer_t *answer, const void *data, size_t length)
{
  if (!answer->keep || answer->too_large)
    return;
  if (answer->kept.length + length > DECIDE_RESPONSE_MAX_BYTES)
    {
      answer->too_large = true;
      return;
    }
  memcpy (answer->kept.body + answer->kept.length, data, length);
  answer->kept.length += (uint32_t)length;
}

int
answer_write (answer_t *answer, const void *data, size_t length)
{
  char size[32];
  int error;

  keep_part (answer, data, length);
  if (answer->is_head || length == 0)
    return 0;
  if (!answer->chunked)
    {
      error = write_all (answer, data, length);
      if (error == 0)
        answer->sent += (int64_t)length;
      return error;
    }
  error = write_all (
      answer, size, (size_t)g_snprintf (size, sizeof size, "%zx\r\n", length));
  if (error == 0)
    error = write_all (answer, data, length);
  if (error == 0)
    error = write_all (answer, "\r\n", 2);
  if (error == 0)
    answer->sent += (int64_t)length;
  return error;
}

bool
answer_finish (answer_t *answer)
{
  if (answer->chunked && !answer->is_head)
    return write_all (answer, "0\r\n\r\n", 5) == 0;
  return !answer->failed
         && (answer->is_head || answer->sent == answer->length);
}

static void
write_whole (answer_t *answer, uint32_t status, const char *headers,
             const void *body, size_t length)
{
  g_autoptr (GString) text = g_string_new (NULL);

  answer->status = status;
  answer->head_sent = true;
  append_status (text, answer, status);
  g_string_append_printf (text, "%sContent-Length: %zu\r\n\r\n", headers,
                          length);
  if (!answer->is_head)
    g_string_append_len (text, body, (gssize)length);
  write_all (answer, text->str, text->len);
}

void
answer_replay (answer_t *answer, const decide_response_t *recorded)
{
  g_autofree char *headers
      = recorded->content_type[0] == '\0'
            ? g_strdup ("Idempotency-Replayed: true\r\n")
            : g_strdup_printf (
                "Idempotency-Replayed: true\r\nContent-Type: %s\r\n",
                recorded->content_type);

  write_whole (answer, recorded->status, headers, recorded->body,
               recorded->length);
}

void
answer_problem (answer_t *answer, uint32_t status, const char *type,
                const char *detail, const char *ran, clock_ms_t retry_after_ms)
{
  struct json_object *root = json_object_new_object ();
  g_autoptr (GString) headers
      = g_string_new ("Content-Type: application/problem+json\r\n");
  const char *text;

  json_object_object_add (root, "type", json_object_new_string (type));
  json_object_object_add (root, "title",
                          json_object_new_string (mg_get_response_code_text (
                              answer->caller.conn, (int)status)));
  json_object_object_add (root, "status",
                          json_object_new_int ((int32_t)status));
  json_object_object_add (root, "detail", json_object_new_string (detail));
  json_object_object_add (root, "ran", json_object_new_string (ran));
  json_object_object_add (root, "retry_after_ms",
                          json_object_new_int64 (retry_after_ms));
  if (answer->addresses != NULL)
    json_object_object_add (root, "addresses",
                            json_tokener_parse (answer->addresses));
  if (retry_after_ms > 0)
    g_string_append_printf (headers, "Retry-After: %" PRId64 "\r\n",
                            (retry_after_ms + 999) / 1000);
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  write_whole (answer, status, headers->str, text, strlen (text));
  json_object_put (root);
}

typedef struct refusal_text
{
  uint32_t status;
  const char *type;
  const char *detail;
} refusal_text_t;

static const refusal_text_t refusal_texts[] = {
  [DECIDE_REASON_UNKNOWN_SERVICE]
  = { 404, "/problems/unknown-service", "there is no service of this name" },
  [DECIDE_REASON_QUEUE_FULL]
  = { 503, "/problems/overload", "too many requests wait for this service" },
  [DECIDE_REASON_DEADLINE]
  = { 504, "/problems/deadline",
      "the request cannot be answered within its deadline" },
  [DECIDE_REASON_NO_CAPACITY]
  = { 503, "/problems/no-capacity", "no endpoint can take the request now" },
  [DECIDE_REASON_NO_CONTACT]
  = { 503, "/problems/no-contact",
      "this instance hears neither the store nor another instance" },
  [DECIDE_REASON_FAILED]
  = { 502, "/problems/failed", "the attempts at the endpoints failed" },
  [DECIDE_REASON_KEY_CONFLICT]
  = { 422, "/problems/key-conflict",
      "the idempotency key was used for another request" },
  [DECIDE_REASON_KEY_IN_PROGRESS]
  = { 409, "/problems/key-in-progress",
      "a request with this idempotency key is still running" },
  [DECIDE_REASON_KEY_UNCERTAIN]
  = { 503, "/problems/key-uncertain",
      "this request was not run, but it is not known whether an earlier one "
      "with this idempotency key was" },
  [DECIDE_REASON_KEY_NO_COPY]
  = { 503, "/problems/key-no-copy",
      "no second instance can record the idempotency key now" },
  [DECIDE_REASON_KEY_FULL]
  = { 503, "/problems/key-full",
      "there is no room to record the idempotency key now" },
  [DECIDE_REASON_OTHER_GROUP]
  = { 421, "/problems/other-group",
      "another group of instances serves this request" },
  [DECIDE_REASON_STOPPING]
  = { 503, "/problems/stopping", "this instance is leaving service" },
};

void
answer_refuse (answer_t *answer, const decide_refusal_t *refusal)
{
  const refusal_text_t *text = &refusal_texts[refusal->reason];

  answer_problem (answer, text->status, text->type, text->detail,
                  refusal->ran == DECIDE_RAN_NO ? "no" : "unknown",
                  refusal->retry_after_ms);
}
