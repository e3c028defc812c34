#include "admin.h"

#include <string.h>

#include "memory.h"

#define VALID_PROFILE "{\"run_ms\":900 /* short */}"

/* Requests to one server, sent in this order, with the expected status and a
   text that the body of the response must contain.  */
static const struct
{
  const char *request; /* method, path and headers */
  const char *body;    /* body of the request, or NULL */
  int status;          /* expected status of the response */
  const char *text;    /* expected part of the response's body */
} cases[] = {
  { "GET /v1/profiles", NULL, 200, "{\"profiles\":[]}" },
  { "GET /v1/profiles/p", NULL, 404, "shared/profile/p does not exist" },
  /* An object is created; changes with wrong versions conflict, others
     succeed.  */
  { "PUT /v1/profiles/p", VALID_PROFILE, 200,
    "{\"version\":1,\"revision\":1}" },
  { "PUT /v1/profiles/p\nIf-None-Match: *", "{}", 409,
    "\"detail\":\"shared/profile/p has version 1\",\"version\":1}" },
  { "PUT /v1/profiles/p\nIf-Match: 2", "{}", 409, "\"version\":1}" },
  { "GET /v1/profiles/p", NULL, 200,
    "{\"name\":\"p\",\"version\":1,\"revision\":1,"
    "\"body\":\"{\\\"run_ms\\\":900 /* short */}\"}" },
  { "PUT /v1/profiles/p\nIf-Match: \"1\"", "{}", 200, "{\"version\":2," },
  { "PUT /v1/profiles/p", "{}", 200, "{\"version\":3," },
  { "PUT /v1/profiles/p\nIf-Match: x", "{}", 400, "If-Match must be" },
  { "PUT /v1/profiles/p\nIf-Match: 0", "{}", 400, "If-Match must be" },
  { "PUT /v1/profiles/p\nIf-Match: 1\nIf-None-Match: *", "{}", 400,
    "If-None-Match must be *" },
  { "PUT /v1/profiles/q\nIf-Match: 4", "{}", 409,
    "shared/profile/q does not exist\",\"version\":0}" },
  /* Invalid input is rejected before anything is stored.  */
  { "PUT /v1/profiles/p", "{\"run_ms\":1}", 400,
    "shared/profile/p: $.run_ms: must be from 10 to 60000" },
  { "PUT /v1/profiles/p", "{", 400,
    "shared/profile/p:1:2: unexpected end of text" },
  { "PUT /v1/profiles/p", "", 400, "unexpected end of text" },
  { "PUT /v1/profiles/a%20b", "{}", 400, "a name has 1 to 63" },
  { "PUT /v1/profiles/..%2Fservice%2Fs", "{}", 404, "no such path" },
  { "PUT /v1/services/s",
    "{\"profile\":\"none\",\"endpoints\":[{\"id\":"
    "\"e\",\"data_centre\":\"q\",\"address\":"
    "\"127.0.0.1:1\",\"slots\":1}]}",
    400, "$.profile: profile \\\"none\\\" does not exist" },
  { "POST /v1/profiles/p/check", "{\"run_ms\":1}", 400, "$.run_ms" },
  { "POST /v1/profiles/p/check", "{}", 200,
    "\"valid\":true,\"effective\":{\"priority\":3" },
  { "GET /v1/profiles/p", NULL, 200, "\"version\":3," },
  /* A profile that a service uses can't be deleted.  */
  { "PUT /v1/services/s",
    "{\"profile\":\"p\",\"endpoints\":[{\"id\":"
    "\"e\",\"data_centre\":\"q\",\"address\":"
    "\"127.0.0.1:1\",\"slots\":1}]}",
    200, "{\"version\":1," },
  { "DELETE /v1/profiles/p", NULL, 409,
    "shared/profile/p is used by service s" },
  { "DELETE /v1/services/s\nIf-Match: 9", NULL, 409, "\"version\":1}" },
  { "DELETE /v1/services/s\nIf-Match: 1", NULL, 200, "{\"version\":2," },
  { "DELETE /v1/profiles/p", NULL, 200, "{\"version\":4," },
  { "DELETE /v1/profiles/p", NULL, 404, "does not exist" },
  { "GET /v1/profiles", NULL, 200, "{\"profiles\":[]}" },
  /* Data centres and instances are taken out of service and back in, and
     instances are removed.  */
  { "PUT /v1/data-centres/q/in", "", 200, "{\"version\":0,\"revision\":0}" },
  { "PUT /v1/data-centres/q/out", "", 200, "{\"version\":1," },
  { "PUT /v1/data-centres/q/out", "", 200, "{\"version\":2," },
  { "PUT /v1/data-centres/q/in", "", 200, "{\"version\":3," },
  { "PUT /v1/data-centres/q/forget", "", 404, "no such path" },
  { "PUT /v1/instances/entry-3/forget", "", 200, "{\"version\":8," },
  { "PUT /v1/instances/entry-9/forget", "", 404, "entry-9 does not exist" },
  { "PUT /v1/instances/entry-1/out", "", 200, "\"version\":1" },
  /* An instance that has not received a change yet must not overwrite it:
     taking a data centre out or back in is retried with the version that the
     store reports, and changing a profile conflicts.  */
  { "PUT /v1/data-centres/q-stale/out", "", 200, "{\"version\":1," },
  { "PUT /v1/data-centres/q-stale/out", "", 200, "{\"version\":2," },
  { "PUT /v1/data-centres/q-stale/in", "", 200, "{\"version\":3," },
  { "PUT /v1/profiles/p-stale", "{}", 200, "{\"version\":1," },
  { "PUT /v1/profiles/p-stale", "{}", 409, "\"version\":1}" },
  /* The store fails.  */
  { "PUT /v1/profiles/x-unreached", "{}", 503, "nothing was changed" },
  { "PUT /v1/profiles/x-lost", "{}", 504, "may be in effect" },
  { "PUT /v1/profiles/x-broken", "{}", 500, "Input/output error" },
  /* Methods and paths are checked.  */
  { "POST /v1/profiles", "{}", 405, "one of: GET" },
  { "PATCH /v1/profiles/p", "{}", 405, "one of: GET, PUT, DELETE" },
  { "GET /v1/profiles/p/check", NULL, 405, "one of: POST" },
  { "GET /v1/instances/a/out", NULL, 405, "one of: PUT" },
  { "DELETE /v1/status", NULL, 405, "one of: GET" },
  { "PUT /metrics", "", 405, "one of: GET" },
  { "GET /v1", NULL, 404, "no such path" },
  { "GET /v1/other", NULL, 404, "no such path" },
  { "GET /v1/profiles/p/check/x", NULL, 404, "no such path" },
  { "GET /metrics", NULL, 200, "# TYPE peridot_requests_total counter" },
  { "GET /v1/status", NULL, 200,
    "{\"instance\":\"entry-1\",\"revision\":12,\"record_version\":7,"
    "\"instances\":[{\"name\":\"entry-1\",\"data_centre\":\"quezon\","
    "\"revision\":12,\"heard\":true,\"leaving\":false,\"out\":false}," },
  { "GET /v1/status", NULL, 200,
    "\"out\":{\"data_centres\":[\"caloocan\"],\"instances\":[\"entry-3\"]}}" },
};

typedef struct fixture
{
  memory_store_t *memory;
  struct mg_context *server;
  int port;
} fixture_t;

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  static const char *options[]
      = { "listening_ports",    "127.0.0.1:0", "num_threads", "2",
          "request_timeout_ms", "500",         NULL };
  struct mg_server_port port;

  (void)data;
  fixture->memory = memory_store_new ();
  fixture->server = mg_start (NULL, NULL, options);
  g_assert_nonnull (fixture->server);
  admin_install (fixture->server, memory_store_callbacks (fixture->memory));
  g_assert_cmpint (mg_get_server_ports (fixture->server, 1, &port), ==, 1);
  fixture->port = port.port;
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  mg_stop (fixture->server);
  memory_store_free (fixture->memory);
}

/* Sends a request unchanged, returns the status and sets @body to the body of
   the response.  */
static int
send_request (const fixture_t *fixture, const char *request, char **body)
{
  char error[128];
  char buffer[4096];
  GString *text = g_string_new (NULL);
  struct mg_connection *conn = mg_download (
      "127.0.0.1", fixture->port, 0, error, sizeof error, "%s", request);
  int status;
  int n;

  g_assert_nonnull (conn);
  status = mg_get_response_info (conn)->status_code;
  while ((n = mg_read (conn, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, n);
  mg_close_connection (conn);
  *body = g_string_free (text, FALSE);
  return status;
}

/* Guards against handlers that store invalid objects, lose an operator's
   change without reporting a conflict, or respond with a wrong status.  */
static void
test_calls (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_auto (GStrv) lines = g_strsplit (cases[i].request, "\n", -1);
      g_autoptr (GString) request = g_string_new (lines[0]);
      g_autofree char *body = NULL;
      int status;

      g_string_append (request, " HTTP/1.0\r\n");
      for (int j = 1; lines[j] != NULL; j++)
        g_string_append_printf (request, "%s\r\n", lines[j]);
      if (cases[i].body != NULL)
        g_string_append_printf (request, "Content-Length: %zu\r\n",
                                strlen (cases[i].body));
      g_string_append_printf (request, "\r\n%s",
                              cases[i].body == NULL ? "" : cases[i].body);
      status = send_request (fixture, request->str, &body);
      if (status != cases[i].status || strstr (body, cases[i].text) == NULL)
        g_error ("%s: status %d, body %s", cases[i].request, status, body);
    }
}

/* Guards against bodies that are read without a size limit or accepted when
   truncated.  */
static void
test_bodies (fixture_t *fixture, gconstpointer data)
{
  g_autofree char *body = NULL;

  (void)data;
  g_assert_cmpint (send_request (fixture,
                                 "PUT /v1/profiles/p HTTP/1.0\r\n"
                                 "Content-Length: 1048577\r\n\r\n",
                                 &body),
                   ==, 413);
  g_assert_nonnull (strstr (body, "longer than 1048576 bytes"));
  g_free (body);
  /* The server ends the read after its request timeout.  */
  g_assert_cmpint (send_request (fixture,
                                 "PUT /v1/profiles/p HTTP/1.0\r\n"
                                 "Content-Length: 3\r\n\r\n{}",
                                 &body),
                   ==, 400);
  g_assert_nonnull (strstr (body, "body is cut short"));
  g_free (body);
  g_assert_cmpint (
      send_request (fixture,
                    "PUT /v1/profiles/p HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
                    &body),
      ==, 411);
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  mg_init_library (0);
  g_test_add ("/admin/calls", fixture_t, NULL, set_up, test_calls, tear_down);
  g_test_add ("/admin/bodies", fixture_t, NULL, set_up, test_bodies,
              tear_down);
  status = g_test_run ();
  mg_exit_library ();
  return status;
}
