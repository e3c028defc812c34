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

/* Return: 0, or -EPIPE when this or an earlier write failed.  */
static int
write_all (response_t *response, const void *data, size_t length)
{
  if (response->write_failed)
    return -EPIPE;
  if (length == 0)
    return 0;
  /* The head and the first part of the body fit into the socket's buffer, so
     they need no deadline.  */
  if (response->bytes_sent == 0)
    response->write_failed
        = mg_write (response->client.conn, data, length) != (int)length;
  else
    response->write_failed = client_write (&response->client, data, length,
                                           response->write_deadline)
                             != length;
  return response->write_failed ? -EPIPE : 0;
}

static void
append_common_head (GString *text, const response_t *response, uint32_t status)
{
  g_string_append_printf (
      text, "HTTP/1.1 %u %s\r\n", status,
      mg_get_response_code_text (response->client.conn, (int)status));
  if (response->request_id != NULL)
    g_string_append_printf (text, "Request-Id: %s\r\n", response->request_id);
  if (response->close_connection)
    g_string_append (text, "Connection: close\r\n");
}

static void
save_head (response_t *response, const backend_response_head_t *head)
{
  const char *etag = find_header (head, "ETag");
  const char *type = find_header (head, "Content-Type");

  response->status = head->status;
  response->body_length = head->content_length;
  if (etag != NULL && etag[0] == '"' && strlen (etag) < sizeof response->etag)
    g_strlcpy (response->etag, etag, sizeof response->etag);
  response->response_to_record.status = head->status;
  if (type != NULL)
    g_strlcpy (response->response_to_record.content_type, type,
               sizeof response->response_to_record.content_type);
}

int
response_start (response_t *response, const backend_response_head_t *head)
{
  g_autoptr (GString) text = g_string_new (NULL);

  save_head (response, head);
  if (head->status == 204 || head->status == 304)
    {
      /* Responses with these statuses have no body, whatever their header
         fields say.  */
      response->no_body = true;
      response->body_length = 0;
    }
  response->chunked = head->content_length < 0 && !response->no_body;
  response->head_sent = true;
  append_common_head (text, response, head->status);
  for (size_t i = 0; i < head->header_count; i++)
    g_string_append_printf (text, "%s: %s\r\n", head->headers[i].name,
                            head->headers[i].value);
  if (response->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (head->content_length >= 0 && head->status != 204)
    g_string_append_printf (text, "Content-Length: %" PRId64 "\r\n",
                            head->content_length);
  g_string_append (text, "\r\n");
  return write_all (response, text->str, text->len);
}

bool
response_can_resume (const response_t *response)
{
  return response->head_sent && response->status == 200
         && response->body_length > 0 && response->etag[0] != '\0'
         && !response->write_failed;
}

int
response_check_continuation (const response_t *response,
                             const backend_response_head_t *head)
{
  const char *content_range = find_header (head, "Content-Range");
  const char *etag = find_header (head, "ETag");
  int64_t first;
  int64_t last;
  int64_t total;

  if (head->status != 206 || content_range == NULL || etag == NULL
      || strcmp (etag, response->etag) != 0)
    return -EPROTO;
  if (sscanf (content_range, "bytes %" SCNd64 "-%" SCNd64 "/%" SCNd64, &first,
              &last, &total)
          != 3
      || first != response->bytes_sent || last != response->body_length - 1
      || total != response->body_length)
    return -EPROTO;
  return 0;
}

/* Appends a part of the body to the copy that is recorded for the request's
   idempotency key, as long as the copy is not too large.  */
static void
record_body_part (response_t *response, const void *data, size_t length)
{
  if (!response->record_body || response->too_large_to_record)
    return;
  if (response->response_to_record.length + length > DECIDE_RESPONSE_MAX_BYTES)
    {
      response->too_large_to_record = true;
      return;
    }
  memcpy (response->response_to_record.body
              + response->response_to_record.length,
          data, length);
  response->response_to_record.length += (uint32_t)length;
}

int
response_write_body (response_t *response, const void *data, size_t length)
{
  char size[32];
  int error;

  record_body_part (response, data, length);
  if (response->no_body || length == 0)
    return 0;
  if (!response->chunked)
    {
      error = write_all (response, data, length);
      if (error == 0)
        response->bytes_sent += (int64_t)length;
      return error;
    }
  error
      = write_all (response, size,
                   (size_t)g_snprintf (size, sizeof size, "%zx\r\n", length));
  if (error == 0)
    error = write_all (response, data, length);
  if (error == 0)
    error = write_all (response, "\r\n", 2);
  if (error == 0)
    response->bytes_sent += (int64_t)length;
  return error;
}

bool
response_finish (response_t *response)
{
  if (response->chunked && !response->no_body)
    return write_all (response, "0\r\n\r\n", 5) == 0;
  return !response->write_failed
         && (response->no_body
             || response->bytes_sent == response->body_length);
}

static void
write_complete_response (response_t *response, uint32_t status,
                         const char *headers, const void *body, size_t length)
{
  g_autoptr (GString) text = g_string_new (NULL);

  response->status = status;
  response->head_sent = true;
  append_common_head (text, response, status);
  g_string_append_printf (text, "%sContent-Length: %zu\r\n\r\n", headers,
                          length);
  if (!response->no_body)
    g_string_append_len (text, body, (gssize)length);
  write_all (response, text->str, text->len);
}

void
response_write_recorded (response_t *response,
                         const decide_response_t *recorded_response)
{
  g_autofree char *headers
      = recorded_response->content_type[0] == '\0'
            ? g_strdup ("Idempotency-Replayed: true\r\n")
            : g_strdup_printf (
                "Idempotency-Replayed: true\r\nContent-Type: %s\r\n",
                recorded_response->content_type);

  write_complete_response (response, recorded_response->status, headers,
                           recorded_response->body, recorded_response->length);
}

void
response_write_problem (response_t *response, uint32_t status,
                        const char *type, const char *detail, const char *ran,
                        clock_ms_t retry_after_ms)
{
  struct json_object *root = json_object_new_object ();
  g_autoptr (GString) headers
      = g_string_new ("Content-Type: application/problem+json\r\n");
  const char *text;

  json_object_object_add (root, "type", json_object_new_string (type));
  json_object_object_add (root, "title",
                          json_object_new_string (mg_get_response_code_text (
                              response->client.conn, (int)status)));
  json_object_object_add (root, "status",
                          json_object_new_int ((int32_t)status));
  json_object_object_add (root, "detail", json_object_new_string (detail));
  json_object_object_add (root, "ran", json_object_new_string (ran));
  json_object_object_add (root, "retry_after_ms",
                          json_object_new_int64 (retry_after_ms));
  if (response->addresses != NULL)
    json_object_object_add (root, "addresses",
                            json_tokener_parse (response->addresses));
  if (retry_after_ms > 0)
    g_string_append_printf (headers, "Retry-After: %" PRId64 "\r\n",
                            (retry_after_ms + 999) / 1000);
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  write_complete_response (response, status, headers->str, text,
                           strlen (text));
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
response_write_refusal (response_t *response, const decide_refusal_t *refusal)
{
  const refusal_text_t *text = &refusal_texts[refusal->reason];

  response_write_problem (response, text->status, text->type, text->detail,
                          refusal->ran == DECIDE_RAN_NO ? "no" : "unknown",
                          refusal->retry_after_ms);
}
