/* Reading of endpoints' answers.  */

#include "proxy_private.h"

#include <limits.h>
#include <string.h>

/* Larger answers are passed on while they are read; smaller ones are read
   whole first, so that a broken one can be replaced by another endpoint's.  */
#define ANSWER_BUFFER_MAX (192 << 10)

static int on_begin (http_parser *parser);
static int on_status (http_parser *parser, const char *data, size_t length);
static int on_name (http_parser *parser, const char *data, size_t length);
static int on_value (http_parser *parser, const char *data, size_t length);
static int on_headers (http_parser *parser);
static int on_body (http_parser *parser, const char *data, size_t length);
static int on_complete (http_parser *parser);
static void end_field (uplink_t *uplink);
static void read_field (uplink_t *uplink, const char *name, const char *value);
static void read_keep_alive (uplink_t *uplink, const char *value);

const http_parser_settings uplink_parser = {
  .on_message_begin = on_begin,
  .on_status = on_status,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
answer_clear (answer_t *answer)
{
  if (answer->reason != NULL)
    g_string_free (answer->reason, TRUE);
  if (answer->fields != NULL)
    g_string_free (answer->fields, TRUE);
  if (answer->body != NULL)
    g_byte_array_free (answer->body, TRUE);
  *answer = (answer_t){ 0 };
}

void
uplink_begin_answer (uplink_t *uplink)
{
  http_parser_init (&uplink->parser, HTTP_RESPONSE);
  uplink->parser.data = uplink;
  uplink->complete = false;
  uplink->keep = false;
  uplink->cold = 0;
}

static int
on_begin (http_parser *parser)
{
  uplink_t *uplink = parser->data;

  answer_clear (&uplink->answer);
  uplink->answer.reason = g_string_new (NULL);
  uplink->answer.fields = g_string_new (NULL);
  uplink->answer.body = g_byte_array_new ();
  g_string_truncate (uplink->name, 0);
  g_string_truncate (uplink->value, 0);
  uplink->in_value = false;
  uplink->has_id = false;
  uplink->id_matches = false;
  uplink->foreign = false;
  uplink->not_run = false;
  uplink->has_signature = false;
  uplink->has_endpoint_id = false;
  uplink->endpoint_matches = false;
  uplink->has_load = false;
  uplink->retry_after = -1;
  return 0;
}

static int
on_status (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;

  g_string_append_len (uplink->answer.reason, data, (gssize)length);
  return 0;
}

static int
on_name (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;

  if (uplink->in_value)
    end_field (uplink);
  g_string_append_len (uplink->name, data, (gssize)length);
  return 0;
}

static int
on_value (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;

  uplink->in_value = true;
  g_string_append_len (uplink->value, data, (gssize)length);
  return 0;
}

static void
end_field (uplink_t *uplink)
{
  if (uplink->name->len > 0)
    {
      read_field (uplink, uplink->name->str, uplink->value->str);
      if (!fields_is_hop (uplink->name->str))
        g_string_append_printf (uplink->answer.fields, "%s: %s\r\n",
                                uplink->name->str, uplink->value->str);
    }
  g_string_truncate (uplink->name, 0);
  g_string_truncate (uplink->value, 0);
  uplink->in_value = false;
}

static void
read_field (uplink_t *uplink, const char *name, const char *value)
{
  const proxy_names_t *names = &uplink->proxy->settings.names;

  if (g_ascii_strcasecmp (name, names->request_id) == 0)
    {
      uplink->has_id = true;
      uplink->id_matches = uplink->request != NULL
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
    uplink->cold = (clock_ms_t)g_ascii_strtod (value, NULL);
  else if (g_ascii_strcasecmp (name, "Keep-Alive") == 0)
    read_keep_alive (uplink, value);
}

static void
read_keep_alive (uplink_t *uplink, const char *value)
{
  const char *timeout = strstr (value, "timeout=");
  guint64 seconds;

  if (timeout == NULL)
    return;
  seconds = g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10);
  uplink->keep_alive = (clock_ms_t)MIN (seconds, 3600U) * 1000;
}

static int
on_headers (http_parser *parser)
{
  uplink_t *uplink = parser->data;
  request_t *request = uplink->request;

  end_field (uplink);
  uplink->answer.status = (int)parser->status_code;
  /* No upgrade was asked for.  */
  parser->upgrade = 0;
  if (uplink->state == UPLINK_PROBING)
    {
      /* A late second answer to an earlier request.  */
      if (uplink->has_id)
        return -1;
      return 0;
    }
  if (request == NULL)
    return -1;
  uplink->foreign = uplink->has_id && !uplink->id_matches;
  /* One allocation for a body of known length.  */
  if (parser->content_length != ULLONG_MAX
      && parser->content_length <= ANSWER_BUFFER_MAX)
    {
      g_byte_array_free (uplink->answer.body, TRUE);
      uplink->answer.body
          = g_byte_array_sized_new ((guint)parser->content_length);
    }
  return request->exchange->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  uplink_t *uplink = parser->data;
  request_t *request = uplink->request;
  answer_t *answer = &uplink->answer;

  if (uplink->foreign || uplink->state == UPLINK_PROBING)
    return 0;
  if (request == NULL)
    return -1;
  if (request->state == REQUEST_STREAMING)
    {
      request_streamed (request, uplink, data, length);
      return 0;
    }
  g_byte_array_append (answer->body, (const guint8 *)data, (guint)length);
  if (answer->body->len > ANSWER_BUFFER_MAX && answer->status < 500
      && uplink->id_matches && uplink->has_signature && !uplink->not_run)
    request_streamed (request, uplink, NULL, 0);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  uplink_t *uplink = parser->data;

  /* Interim answers, and those of other requests, are skipped.  */
  if (uplink->answer.status < 200 || uplink->foreign)
    {
      if (uplink->foreign)
        {
          telemetry_count (TELEMETRY_FOREIGN_ANSWERS, 0);
          uplink->tainted = true;
        }
      return 0;
    }
  uplink->complete = true;
  uplink->keep = http_should_keep_alive (parser) != 0 && !uplink->tainted;
  http_parser_pause (parser, 1);
  return 0;
}
