/* Parsing of endpoints' responses, with callbacks of http_parser.  */

#include "proxy_private.h"

#include <limits.h>
#include <string.h>

#include "syntax.h"

/* Largest response body that is buffered whole, so that another endpoint can
   be tried if the response ends too early.  Larger bodies are streamed to the
   client.  */
#define RESPONSE_BUFFER_MAX_BYTES (192 << 10)
/* A response body up to this size is buffered even if the memory for such
   bodies is used up, so that a large one does not end others.  */
#define SMALL_BODY_BYTES 16384

/* Range of the statuses of HTTP.  A response with another one is none.  */
#define STATUS_MIN 100
#define STATUS_MAX 599

static int on_response_begin (http_parser *parser);
static int on_status (http_parser *parser, const char *data, size_t length);
static int on_field_name (http_parser *parser, const char *data,
                          size_t length);
static int on_field_value (http_parser *parser, const char *data,
                           size_t length);
static int on_response_headers (http_parser *parser);
static int on_body (http_parser *parser, const char *data, size_t length);
static int on_response_complete (http_parser *parser);
static bool can_stream (const uplink_t *uplink);
static void finish_field (uplink_t *uplink);
static void parse_field (uplink_t *uplink, const char *name,
                         const char *value);
static void record_rate_limit (uplink_t *uplink, rate_limit_source_t source);
static void record_leaving (uplink_t *uplink);
static void record_declined (uplink_t *uplink);
static void parse_keep_alive (uplink_t *uplink, const char *value);

const http_parser_settings uplink_parser_settings = {
  .on_message_begin = on_response_begin,
  .on_status = on_status,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_response_headers,
  .on_body = on_body,
  .on_message_complete = on_response_complete,
};

void
response_clear (response_t *response)
{
  if (response->reason != NULL)
    g_string_free (response->reason, TRUE);
  if (response->fields != NULL)
    g_string_free (response->fields, TRUE);
  if (response->body != NULL)
    g_byte_array_free (response->body, TRUE);
  *response = (response_t){ 0 };
}

void
response_release_buffer (uplink_t *uplink)
{
  uplink->proxy->buffered_bytes -= uplink->buffered_bytes;
  uplink->buffered_bytes = 0;
}

void
uplink_begin_response (uplink_t *uplink)
{
  http_parser_init (&uplink->parser, HTTP_RESPONSE);
  uplink->parser.data = uplink;
  uplink->response_complete = false;
  uplink->is_reusable = false;
  uplink->cold_left_ms = 0;
}

static int
on_response_begin (http_parser *parser)
{
  uplink_t *uplink = parser->data;

  response_clear (&uplink->response);
  response_release_buffer (uplink);
  uplink->response.reason = g_string_new (NULL);
  uplink->response.fields = g_string_new (NULL);
  uplink->response.body = g_byte_array_new ();
  g_string_truncate (uplink->field_name, 0);
  g_string_truncate (uplink->field_value, 0);
  uplink->in_field_value = false;
  uplink->has_request_id = false;
  uplink->request_id_matches = false;
  uplink->is_malformed = false;
  uplink->is_oversized = false;
  uplink->is_foreign = false;
  uplink->not_run = false;
  uplink->has_signature = false;
  uplink->has_endpoint_id = false;
  uplink->endpoint_matches = false;
  uplink->has_load = false;
  uplink->rate_limit = (rate_limit_statement_t){ 0 };
  uplink->is_limit_malformed = false;
  uplink->retry_after = -1;
  uplink->has_retry_after = false;
  uplink->is_retry_after_malformed = false;
  uplink->says_leaving = false;
  uplink->is_leaving_malformed = false;
  return 0;
}

static int
on_status (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;

  uplink->is_malformed = !syntax_is_text (data, length);
  if (uplink->is_malformed)
    return -1;
  g_string_append_len (uplink->response.reason, data, (gssize)length);
  return 0;
}

static int
on_field_name (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;

  uplink->is_malformed = !syntax_is_token (data, length);
  if (uplink->is_malformed)
    return -1;
  if (uplink->in_field_value)
    finish_field (uplink);
  g_string_append_len (uplink->field_name, data, (gssize)length);
  return 0;
}

static int
on_field_value (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;

  uplink->in_field_value = true;
  g_string_append_len (uplink->field_value, data, (gssize)length);
  return 0;
}

/* Processes a header field whose name and value have been read, and stores it
   for the client unless it is hop-by-hop.  */
static void
finish_field (uplink_t *uplink)
{
  if (uplink->field_name->len > 0)
    {
      parse_field (uplink, uplink->field_name->str, uplink->field_value->str);
      if (!fields_is_hop_by_hop (uplink->field_name->str))
        g_string_append_printf (uplink->response.fields, "%s: %s\r\n",
                                uplink->field_name->str,
                                uplink->field_value->str);
    }
  g_string_truncate (uplink->field_name, 0);
  g_string_truncate (uplink->field_value, 0);
  uplink->in_field_value = false;
}

/* Stores what a header field says about the response and the endpoint.  */
static void
parse_field (uplink_t *uplink, const char *name, const char *value)
{
  const proxy_header_names_t *names = &uplink->proxy->settings.names;

  if (g_ascii_strcasecmp (name, names->request_id) == 0)
    {
      uplink->has_request_id = true;
      uplink->request_id_matches = uplink->request != NULL
                                   && strcmp (value, uplink->request->id) == 0;
    }
  else if (g_ascii_strcasecmp (name, names->not_run) == 0)
    uplink->not_run = true;
  else if (g_ascii_strcasecmp (name, names->signature) == 0)
    uplink->has_signature = true;
  else if (g_ascii_strcasecmp (name, names->endpoint_id) == 0)
    {
      const backend_t *backend
          = backends_get (uplink->proxy->backends, uplink->backend);

      uplink->has_endpoint_id = true;
      uplink->endpoint_matches
          = backend != NULL && strcmp (backend->entry.id, value) == 0;
    }
  else if (g_ascii_strcasecmp (name, names->load) == 0)
    uplink->has_load = fields_parse_load (value, &uplink->load) == 0;
  else if (g_ascii_strcasecmp (name, names->cold_left) == 0)
    uplink->cold_left_ms = (clock_ms_t)g_ascii_strtod (value, NULL);
  else if (g_ascii_strcasecmp (name, "Retry-After") == 0)
    {
      uplink->is_retry_after_malformed
          |= uplink->has_retry_after
             || fields_parse_retry_after (value, &uplink->retry_after) != 0;
      uplink->has_retry_after = true;
    }
  else if (g_ascii_strcasecmp (name, names->leaving) == 0)
    {
      uplink->says_leaving = strcmp (value, "1") == 0;
      uplink->is_leaving_malformed |= !uplink->says_leaving;
    }
  else if (g_ascii_strcasecmp (name, names->rate_limit) == 0)
    uplink->is_limit_malformed
        = rate_limit_parse (value, &uplink->rate_limit) != 0;
  else if (g_ascii_strcasecmp (name, "Keep-Alive") == 0)
    parse_keep_alive (uplink, value);
}

static void
parse_keep_alive (uplink_t *uplink, const char *value)
{
  const char *timeout = strstr (value, "timeout=");
  guint64 seconds;

  if (timeout == NULL)
    return;
  seconds = g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10);
  uplink->keep_alive_ms = (clock_ms_t)MIN (seconds, 3600U) * 1000;
}

/* Records the limit that the endpoint states in the head of a response.  An
   interim or failed response without a limit says nothing: what answers in a
   failure may not know of the limit.  */
static void
record_rate_limit (uplink_t *uplink, rate_limit_source_t source)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  int status = uplink->response.status;

  if (backend == NULL || status == 421
      || (!uplink->rate_limit.is_limited && !uplink->is_limit_malformed
          && (status < 200 || status >= 300)))
    return;
  if (uplink->is_limit_malformed)
    limit_log_write (proxy, backend, source,
                     "endpoint states a malformed limit");
  else if (rate_limit_state (&backend->rate_limit, source, &uplink->rate_limit,
                             clock_now ()))
    {
      limit_log_write (proxy, backend, source,
                       uplink->rate_limit.is_limited
                           ? "endpoint states a limit"
                           : "endpoint states no limit any more");
      if (proxy->settings.limit_changed != NULL)
        proxy->settings.limit_changed (proxy->settings.context);
    }
}

/* Records that the endpoint states in the head of a response that it is
   leaving.  A malformed statement, or several that differ, say nothing.  */
static void
record_leaving (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);

  if (backend == NULL || uplink->response.status == 421)
    return;
  if (uplink->is_leaving_malformed)
    statement_log_write (proxy, backend,
                         "endpoint makes a malformed statement on leaving");
  else if (uplink->says_leaving
           && backend_record_leaving (backend, true, clock_now ()))
    {
      statement_log_write (proxy, backend, "endpoint says that it is leaving");
      if (proxy->settings.limit_changed != NULL)
        proxy->settings.limit_changed (proxy->settings.context);
    }
}

/* Records that the endpoint refuses in the head of a response and asks for no
   requests for a time.  A malformed time, or several, say nothing.  */
static void
record_declined (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  clock_ms_t now = clock_now ();

  if (backend == NULL || uplink->response.status != 503
      || !uplink->has_retry_after)
    return;
  if (uplink->is_retry_after_malformed)
    {
      statement_log_write (proxy, backend,
                           "endpoint asks for a malformed time");
      return;
    }
  if (now >= backend->declined_until && uplink->retry_after > 0)
    statement_log_write (proxy, backend,
                         "endpoint asks for no requests for a time");
  backend->declined_until
      = MAX (backend->declined_until, now + uplink->retry_after);
}

static int
on_response_headers (http_parser *parser)
{
  uplink_t *uplink = parser->data;
  request_t *request = uplink->request;

  finish_field (uplink);
  uplink->response.status = (int)parser->status_code;
  /* The parser takes any number of up to three digits.  */
  if (uplink->response.status < STATUS_MIN
      || uplink->response.status > STATUS_MAX)
    return -1;
  /* The proxy never asks for an upgrade, so the parser must not act on
     one.  */
  parser->upgrade = 0;
  if (uplink->state == UPLINK_PROBING)
    {
      /* Probes have no request ID, so a response with one must be a second,
         late response to an earlier request.  */
      if (uplink->has_request_id)
        return -1;
      if (uplink->endpoint_matches)
        {
          record_rate_limit (uplink, RATE_LIMIT_PROBE);
          record_leaving (uplink);
          record_declined (uplink);
        }
      return 0;
    }
  if (request == NULL)
    return -1;
  /* An interim response has no body, whatever its header states.  */
  if (uplink->response.status < 200)
    return 1;
  uplink->is_foreign = uplink->has_request_id && !uplink->request_id_matches;
  if (uplink->request_id_matches)
    {
      record_rate_limit (uplink, RATE_LIMIT_REQUEST);
      record_leaving (uplink);
      record_declined (uplink);
    }
  /* If the length of the body is known, its buffer is allocated at once.  */
  if (parser->content_length != ULLONG_MAX
      && parser->content_length <= RESPONSE_BUFFER_MAX_BYTES)
    {
      g_byte_array_free (uplink->response.body, TRUE);
      uplink->response.body
          = g_byte_array_sized_new ((guint)parser->content_length);
    }
  /* 1 tells the parser that the response has no body, whatever its header
     states.  */
  return request->exchange->no_body ? 1 : 0;
}

bool
uplink_has_unconfirmed_refusal (const uplink_t *uplink)
{
  int status = uplink->response.status;

  if (uplink->request == NULL || uplink->request->idempotent
      || !uplink->request_id_matches || uplink->not_run)
    return false;
  return status == 408 || status == 429 || status == 503;
}

/* Whether the response that is being read is one for the client, so that a
   part of it may be sent before its end.  A failure may be followed by a
   retry.  */
static bool
can_stream (const uplink_t *uplink)
{
  int status = uplink->response.status;

  if (!uplink->request_id_matches || uplink->not_run || status == 421
      || uplink_has_unconfirmed_refusal (uplink))
    return false;
  return status < 300 ? uplink->has_signature : status < 500;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;
  proxy_t *proxy = uplink->proxy;
  request_t *request = uplink->request;
  response_t *response = &uplink->response;
  bool is_memory_short;

  if (uplink->is_foreign || uplink->state == UPLINK_PROBING)
    return 0;
  if (request == NULL)
    return -1;
  if (request->state == REQUEST_STREAMING)
    {
      request_stream_data (request, uplink, data, length);
      return 0;
    }
  g_byte_array_append (response->body, (const guint8 *)data, (guint)length);
  uplink->buffered_bytes += length;
  proxy->buffered_bytes += length;
  is_memory_short = proxy->buffered_bytes > proxy->settings.buffer_bytes_max
                    && response->body->len > SMALL_BODY_BYTES;
  if (can_stream (uplink)
      && (is_memory_short || response->body->len > RESPONSE_BUFFER_MAX_BYTES))
    {
      response_release_buffer (uplink);
      request_stream_data (request, uplink, NULL, 0);
      return 0;
    }
  uplink->is_oversized = is_memory_short;
  return is_memory_short ? -1 : 0;
}

static int
on_response_complete (http_parser *parser)
{
  uplink_t *uplink = parser->data;

  /* Interim (1xx) responses and responses to other requests are skipped.  */
  if (uplink->response.status < 200 || uplink->is_foreign)
    {
      if (uplink->is_foreign)
        {
          telemetry_counter_increment (TELEMETRY_FOREIGN_ANSWERS, 0);
          uplink->had_foreign_response = true;
        }
      return 0;
    }
  uplink->response_complete = true;
  response_release_buffer (uplink);
  uplink->is_reusable
      = http_should_keep_alive (parser) != 0 && !uplink->had_foreign_response;
  http_parser_pause (parser, 1);
  return 0;
}
