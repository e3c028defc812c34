#include "admin_reply.h"

#include <errno.h>
#include <string.h>

static int send_reply (struct mg_connection *conn, int status,
                       const char *type, const char *header_name,
                       const char *header_value, const char *body);
static json_object *new_problem (struct mg_connection *conn, int status,
                                 const char *detail);
static int send_json (struct mg_connection *conn, int status,
                      const char *header_name, const char *header_value,
                      json_object *root);

/* Sends a complete response and returns its status.  @header_name and
   @header_value are an additional header field; @header_name may be NULL.  */
static int
send_reply (struct mg_connection *conn, int status, const char *type,
            const char *header_name, const char *header_value,
            const char *body)
{
  char length[24];

  (void)g_snprintf (length, sizeof length, "%zu", strlen (body));
  mg_response_header_start (conn, status);
  mg_response_header_add (conn, "Content-Type", type, -1);
  mg_response_header_add (conn, "Content-Length", length, -1);
  mg_response_header_add (conn, "Cache-Control", "no-store", -1);
  if (header_name != NULL)
    mg_response_header_add (conn, header_name, header_value, -1);
  mg_response_header_send (conn);
  mg_write (conn, body, strlen (body));
  return status;
}

/* Sends @root and frees it.  If its text cannot be allocated, status 500 is
   sent.  */
static int
send_json (struct mg_connection *conn, int status, const char *header_name,
           const char *header_value, json_object *root)
{
  static const char out_of_memory[]
      = "{\"type\":\"about:blank\",\"title\":\"Internal Server Error\","
        "\"status\":500,\"detail\":\"out of memory\"}\n";
  const char *text
      = root == NULL
            ? NULL
            : json_object_to_json_string_ext (
                root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

  if (text == NULL)
    status = send_reply (conn, 500, "application/problem+json", NULL, NULL,
                         out_of_memory);
  else
    send_reply (conn, status,
                status == 200 ? "application/json"
                              : "application/problem+json",
                header_name, header_value, text);
  json_object_put (root);
  return status;
}

int
admin_reply_json (struct mg_connection *conn, json_object *root)
{
  return send_json (conn, 200, NULL, NULL, root);
}

int
admin_reply_text (struct mg_connection *conn, const char *type,
                  const char *text)
{
  return send_reply (conn, 200, type, NULL, NULL, text);
}

static json_object *
new_problem (struct mg_connection *conn, int status, const char *detail)
{
  json_object *root = json_object_new_object ();

  json_object_object_add (root, "type",
                          json_object_new_string ("about:blank"));
  json_object_object_add (
      root, "title",
      json_object_new_string (mg_get_response_code_text (conn, status)));
  json_object_object_add (root, "status", json_object_new_int (status));
  json_object_object_add (root, "detail", json_object_new_string (detail));
  return root;
}

int
admin_reply_problem (struct mg_connection *conn, int status,
                     const char *format, ...)
{
  g_autofree char *detail = NULL;
  va_list args;

  va_start (args, format);
  detail = g_strdup_vprintf (format, args);
  va_end (args);
  return send_json (conn, status, NULL, NULL,
                    new_problem (conn, status, detail));
}

int
admin_reply_method_not_allowed (struct mg_connection *conn, const char *allow)
{
  g_autofree char *detail
      = g_strdup_printf ("method is not one of: %s", allow);

  return send_json (conn, 405, "Allow", allow,
                    new_problem (conn, 405, detail));
}

int
admin_reply_error (struct mg_connection *conn, int result, const char *name,
                   const admin_change_t *change)
{
  g_autofree char *detail = NULL;
  json_object *root;

  switch (result)
    {
    case -ENOENT:
      return admin_reply_problem (conn, 404, "%s does not exist", name);
    case -ESTALE:
      detail = change->version == 0
                   ? g_strdup_printf ("%s does not exist", name)
                   : g_strdup_printf ("%s has version %" G_GUINT64_FORMAT,
                                      name, change->version);
      root = new_problem (conn, 409, detail);
      json_object_object_add (root, "version",
                              json_object_new_uint64 (change->version));
      return send_json (conn, 409, NULL, NULL, root);
    case -EAGAIN:
      return send_json (
          conn, 503, "Retry-After", "1",
          new_problem (conn, 503,
                       "the store can't be reached; nothing was changed"));
    case -ETIMEDOUT:
      return admin_reply_problem (conn, 504,
                                  "no answer from the store; the change of %s "
                                  "may be in effect: read it back",
                                  name);
    default:
      return admin_reply_problem (conn, 500, "%s: %s", name,
                                  g_strerror (-result));
    }
}
