#include "backend_fixture.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Guards against forwarding hop-by-hop headers of the client to the backend
   server, against headers that libcurl adds, and against passing framing
   headers to the caller.  */
static void
test_headers (void)
{
  backend_header_t headers[] = { { "X-One", "1" },
                                 { "x-empty", "" },
                                 { "Connection", "close" },
                                 { "transfer-encoding", "chunked" },
                                 { "Request-Timeout-Ms", "9" } };
  backend_header_t bad[] = { { "X", "a\r\nb: c" } };
  backend_result_t result;
  response_t response;
  const char *deadline_header;
  backend_request_t request = make_request ("POST", "/echo", &response);

  request.headers = headers;
  request.header_count = G_N_ELEMENTS (headers);
  request.idempotency_key = "k1";
  request.traceparent = "00-1-2-01";
  request.body = "x=1";
  request.body_length = 3;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (g_str_has_prefix (response.body->str, "POST /echo HTTP/1.1"));
  g_assert_true (g_str_has_suffix (response.body->str, "end"));
  g_assert_nonnull (strstr (response.body->str, "\r\nX-One: 1\r\n"));
  g_assert_nonnull (strstr (response.body->str, "\r\nx-empty:\r\n"));
  g_assert_nonnull (
      strstr (response.body->str, "\r\nIdempotency-Key: k1\r\n"));
  g_assert_nonnull (strstr (response.body->str, "\r\nContent-Length: 3\r\n"));
  deadline_header = strstr (response.body->str, "\r\nRequest-Deadline-Ms: ");
  g_assert_nonnull (deadline_header);
  g_assert_cmpint (atoi (deadline_header + 23), >, 4000);
  g_assert_cmpint (atoi (deadline_header + 23), <=, 5000);
  g_assert_null (strstr (response.body->str, "close"));
  g_assert_null (strstr (response.body->str, "chunked"));
  g_assert_null (strstr (response.body->str, "Timeout"));
  g_assert_null (strstr (response.body->str, "Accept"));
  g_assert_null (strstr (response.body->str, "Content-Type"));
  g_assert_cmpint (response.stated_length, ==, -1);
  g_assert_false (response.has_framing_header);
  g_assert_true (result.end.load.present);
  g_assert_cmpuint (result.end.load.identity, ==, 0xfe);
  request.headers = bad;
  request.header_count = 1;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, -EINVAL);
  request.header_count = 0;
  request.path = "/a b";
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, -EINVAL);
  request.path = "/";
  request.address = "localhost:80";
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, -EINVAL);
  g_assert_false (result.sent);
  g_string_free (response.body, TRUE);
}

/* Guards against taking a truncated response, or one whose end can't be
   determined, for a complete one, and against reusing its connection.  */
static void
test_broken (void)
{
  backend_result_t result;

  assert_result ("GET", "/truncated", DECIDE_ATTEMPT_BROKEN);
  assert_result ("GET", "/chunk-truncated", DECIDE_ATTEMPT_BROKEN);
  assert_result ("GET", "/unframed", DECIDE_ATTEMPT_BROKEN);
  assert_result ("GET", "/two-lengths", DECIDE_ATTEMPT_BROKEN);
  assert_result ("GET", "/large-header", DECIDE_ATTEMPT_BROKEN);
  assert_result ("GET", "/garbage", DECIDE_ATTEMPT_BROKEN);
  g_assert_cmpuint (get_idle_count (), ==, 0);
  assert_result ("HEAD", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_free (run_request ("GET", "/truncated", &result));
  g_assert_cmpuint (result.body_bytes, ==, 3);
}

/* Guards against passing on a response with a status that does not exist, as
   an endpoint in trouble sent 000, and against reusing its connection.  */
static void
test_statuses (void)
{
  static const char *const odd[]
      = { "/status-000", "/status-001", "/status-099", "/status-600",
          "/status-999" };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      assert_result ("GET", odd[i], DECIDE_ATTEMPT_BROKEN);
      g_assert_cmpuint (get_idle_count (), ==, 0);
    }
  assert_result ("GET", "/status-599", DECIDE_ATTEMPT_ANSWERED);
}

/* Guards against passing on a field line that HTTP does not allow, which a
   client may take for the framing, and against reusing its connection.  */
static void
test_malformed_fields (void)
{
  static const char *const bad[]
      = { "X Note: a", "X-Note : a", "Transfer-Encoding : chunked",
          "X-Note\t: a", "X-Note: a\001b" };
  static const char *const good[] = { "X-Note:", "X-Note: a\tb", "!#$~: a" };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      response_field = bad[i];
      assert_result ("GET", "/field", DECIDE_ATTEMPT_BROKEN);
      g_assert_cmpuint (get_idle_count (), ==, 0);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (good); i++)
    {
      response_field = good[i];
      assert_result ("GET", "/field", DECIDE_ATTEMPT_ANSWERED);
    }
}

/* Guards against a non-idempotent request being sent again by libcurl when the
   backend server closes a reused connection.  */
static void
test_post_once (void)
{
  backend_result_t result;
  backend_stats_t stats;

  assert_result ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_free (run_request ("POST", "/close-reused", &result));
  g_assert_cmpint (httpserver_get_request_count (server, "/close-reused"), ==,
                   1);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_RESET);
  g_assert_true (result.reused);
  backend_pool_get_stats (pool, &stats);
  g_assert_cmpuint (stats.resends_refused, ==, 1);
  g_assert_cmpuint (stats.idle, ==, 0);
}

/* Guards against an idempotent request being sent again without being
   counted.  */
static void
test_get_repeat (void)
{
  backend_result_t result;
  backend_stats_t stats;

  assert_result ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_free (run_request ("GET", "/close-reused", &result));
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (result.resends, ==, 1);
  g_assert_false (result.reused);
  g_assert_cmpint (httpserver_get_request_count (server, "/close-reused"), ==,
                   2);
  backend_pool_get_stats (pool, &stats);
  g_assert_cmpuint (stats.resends, ==, 1);
}

/* Guards against sending a request on a new connection after a restart of the
   backend server has closed the pooled connections, because the restarted
   server is cold.  */
static void
test_no_repeat (void)
{
  backend_result_t result;
  response_t response;
  backend_request_t request;
  char *address;

  assert_result ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  request = make_request ("GET", "/close-reused", &response);
  request.no_reconnect = true;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_RESET);
  g_assert_cmpint (httpserver_get_request_count (server, "/close-reused"), ==,
                   1);
  open_connections (2);
  address = g_strdup (request.address);
  request.address = address;
  request.idempotent = false;
  replace_server ();
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_CLOSED);
  g_assert_false (result.sent);
  g_assert_cmpuint (get_idle_count (), ==, 0);
  /* The closed connections are reported only once.  The next attempt opens a
     new connection, which is refused.  */
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
  g_string_free (response.body, TRUE);
  g_free (address);
}

static void *
run_held_request (void *data)
{
  g_free (run_request ("GET", "/held", data));
  return NULL;
}

/* Guards against one instance sending several requests at a time on new
   connections to a server that has restarted unnoticed and is cold.  An
   instance without an open connection can't detect the restart.  */
static void
test_first_connection (void)
{
  const uint64_t one = 1;
  backend_result_t held;
  backend_result_t result;
  response_t response;
  backend_request_t request;
  pthread_t thread;

  pthread_create (&thread, NULL, run_held_request, &held);
  g_assert_cmpint (httpserver_wait_requests (server, "/held", 1), ==, 1);
  request = make_request ("GET", "/ok", &response);
  request.no_reconnect = true;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_UNUSED);
  g_assert_false (result.sent);
  g_assert_cmpint (write (release_fd, &one, sizeof one), ==, sizeof one);
  pthread_join (thread, NULL);
  g_assert_cmpint (held.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_string_free (response.body, TRUE);
}

/* Guards against passing the response of a shed request to the caller, against
   assuming that the request may have run, and against losing the load and the
   retry time that the response reports.  */
static void
test_shed (void)
{
  backend_result_t result;

  g_free (run_request ("POST", "/shed", &result));
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_SHED);
  g_assert_false (result.head_delivered);
  g_assert_cmpint (result.end.retry_after_ms, ==, 2000);
  g_assert_cmpuint (result.end.load.in_flight, ==, 2);
  g_assert_cmpuint (result.end.load.queued, ==, 1);
  g_assert_cmpuint (result.end.load.slots, ==, 3);
  g_assert_true (result.end.load.cold);
  g_assert_false (result.end.load.draining);
  g_assert_cmpuint (get_idle_count (), ==, 1);
}

/* Guards against a resumed download that requests the wrong byte range.  */
static void
test_range (void)
{
  backend_header_t headers[] = { { "range", "bytes=0-" } };
  backend_result_t result;
  response_t response;
  backend_request_t request = make_request ("GET", "/range", &response);

  request.headers = headers;
  request.header_count = 1;
  request.range = "bytes=4-5";
  request.if_range = "\"e\"";
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (response.status, ==, 206);
  g_assert_cmpint (response.stated_length, ==, 2);
  g_assert_cmpstr (response.body->str, ==, "ok");
  g_string_free (response.body, TRUE);
}

/* Guards against taking bytes that follow a response, immediately or later,
   for the response to the next request on the connection.  */
static void
test_extra (void)
{
  static const char *const paths[] = { "/extra", "/extra-later" };
  backend_result_t result;
  uint64_t one = 1;

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      char *body = run_request ("GET", paths[i], &result);

      g_assert_cmpstr (body, ==, "ok");
      g_free (body);
      if (i == 1)
        {
          (void)!write (release_fd, &one, sizeof one);
          (void)!read (written_fd, &one, sizeof one);
        }
      for (int k = 0; k < 2; k++)
        {
          body = run_request (k == 0 ? "POST" : "GET", "/next", &result);
          g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
          g_assert_cmpstr (body, ==, "ok");
          g_free (body);
        }
    }
}

/* Guards against taking an interim response (1xx) for the final response or
   for a shed.  */
static void
test_interim (void)
{
  backend_result_t result;
  char *body = run_request ("POST", "/interim", &result);

  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (result.end.status, ==, 200);
  g_assert_cmpstr (body, ==, "ok");
  g_free (body);
}

/* Guards against accepting a malformed load report in a header, reading a load
   report wrongly, and taking a failed probe for a successful one.  */
static void
test_load (void)
{
  static const char *const bad[]
      = { "", "in_flight=1",
          "in_flight=2; queued=1; slots=3; cold=1; draining=0; identity=-1",
          "in_flight=2; queued=1; slots=3; cold=2; draining=0; identity=fe",
          "in_flight=2; queued=1; slots=3; cold=1; draining=0; identity=x" };
  const char *address = httpserver_get_address (server);
  decide_load_t load;

  g_assert_cmpint (backend_load_parse (SERVER_LOAD_VALUE "; later=x", &load),
                   ==, 0);
  g_assert_true (load.present);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_assert_cmpint (backend_load_parse (bad[i], &load), ==, -EPROTO);
      g_assert_false (load.present);
    }
  g_assert_cmpint (backend_probe (pool, address, 2000, &load, NULL), ==, 0);
  g_assert_true (load.cold);
  g_assert_false (load.draining);
  g_assert_cmpuint (load.identity, ==, 0xfe);
  g_assert_cmpint (backend_probe (pool, "127.0.0.1:1", 100, &load, NULL), ==,
                   -ECONNREFUSED);
  g_assert_false (load.present);
}

static void *
run_100_requests (void *arg)
{
  backend_result_t result;

  for (int i = 0; i < 100; i++)
    {
      char *body = run_request (i % 2 == 0 ? "GET" : "POST", "/ok", &result);

      g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
      g_assert_cmpstr (body, ==, "ok");
      g_free (body);
    }
  return arg;
}

/* Guards against two threads using one connection at the same time, and
   against responses delivered to the wrong request.  */
static void
test_threads (void)
{
  pthread_t threads[4];
  backend_stats_t stats;

  for (int i = 0; i < 4; i++)
    pthread_create (&threads[i], NULL, run_100_requests, NULL);
  for (int i = 0; i < 4; i++)
    pthread_join (threads[i], NULL);
  backend_pool_get_stats (pool, &stats);
  g_assert_cmpuint (stats.attempts, ==, 400);
  g_assert_cmpuint (stats.reused + stats.connections, ==, 400);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/backend/headers", test_headers, with_server);
  g_test_add_data_func ("/backend/broken", test_broken, with_server);
  g_test_add_data_func ("/backend/statuses", test_statuses, with_server);
  g_test_add_data_func ("/backend/malformed-fields", test_malformed_fields,
                        with_server);
  g_test_add_data_func ("/backend/post-once", test_post_once, with_server);
  g_test_add_data_func ("/backend/get-repeat", test_get_repeat, with_server);
  g_test_add_data_func ("/backend/no-repeat", test_no_repeat, with_server);
  g_test_add_data_func ("/backend/shed", test_shed, with_server);
  g_test_add_data_func ("/backend/range", test_range, with_server);
  g_test_add_data_func ("/backend/extra", test_extra, with_server);
  g_test_add_data_func ("/backend/interim", test_interim, with_server);
  g_test_add_data_func ("/backend/load", test_load, with_server);
  g_test_add_data_func ("/backend/first-connection", test_first_connection,
                        with_server);
  g_test_add_data_func ("/backend/threads", test_threads, with_server);
  return g_test_run ();
}
