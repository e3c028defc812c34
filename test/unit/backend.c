#include "backend_fixture.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Guards against headers of the caller's connection that reach the backend
   server, headers that libcurl adds, and framing passed to the caller.  */
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
  answer_t answer;
  const char *left;
  backend_request_t request = make_request ("POST", "/echo", &answer);

  request.headers = headers;
  request.header_count = G_N_ELEMENTS (headers);
  request.idempotency_key = "k1";
  request.traceparent = "00-1-2-01";
  request.body = "x=1";
  request.body_length = 3;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (g_str_has_prefix (answer.body->str, "POST /echo HTTP/1.1"));
  g_assert_true (g_str_has_suffix (answer.body->str, "end"));
  g_assert_nonnull (strstr (answer.body->str, "\r\nX-One: 1\r\n"));
  g_assert_nonnull (strstr (answer.body->str, "\r\nx-empty:\r\n"));
  g_assert_nonnull (strstr (answer.body->str, "\r\nIdempotency-Key: k1\r\n"));
  g_assert_nonnull (strstr (answer.body->str, "\r\nContent-Length: 3\r\n"));
  left = strstr (answer.body->str, "\r\nRequest-Deadline-Ms: ");
  g_assert_nonnull (left);
  g_assert_cmpint (atoi (left + 23), >, 4000);
  g_assert_cmpint (atoi (left + 23), <=, 5000);
  g_assert_null (strstr (answer.body->str, "close"));
  g_assert_null (strstr (answer.body->str, "chunked"));
  g_assert_null (strstr (answer.body->str, "Timeout"));
  g_assert_null (strstr (answer.body->str, "Accept"));
  g_assert_null (strstr (answer.body->str, "Content-Type"));
  g_assert_cmpint (answer.length, ==, -1);
  g_assert_false (answer.framing_header);
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
  g_string_free (answer.body, TRUE);
}

/* Guards against an answer that was cut short, or whose end is not known,
   being taken as whole, and against using its connection again.  */
static void
test_broken (void)
{
  backend_result_t result;

  assert_end ("GET", "/truncated", DECIDE_ATTEMPT_BROKEN);
  assert_end ("GET", "/chunk-truncated", DECIDE_ATTEMPT_BROKEN);
  assert_end ("GET", "/unframed", DECIDE_ATTEMPT_BROKEN);
  assert_end ("GET", "/two-lengths", DECIDE_ATTEMPT_BROKEN);
  assert_end ("GET", "/large-header", DECIDE_ATTEMPT_BROKEN);
  assert_end ("GET", "/garbage", DECIDE_ATTEMPT_BROKEN);
  g_assert_cmpuint (get_idle (), ==, 0);
  assert_end ("HEAD", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_free (run ("GET", "/truncated", &result));
  g_assert_cmpuint (result.body_bytes, ==, 3);
}

/* Guards against a non-idempotent request that libcurl sends again when the
   backend server closes a reused connection.  */
static void
test_post_once (void)
{
  backend_result_t result;
  backend_stats_t stats;

  assert_end ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_free (run ("POST", "/close-reused", &result));
  g_assert_cmpint (httpserver_get_count (server, "/close-reused"), ==, 1);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_RESET);
  g_assert_true (result.reused);
  backend_pool_get_stats (pool, &stats);
  g_assert_cmpuint (stats.repeats_refused, ==, 1);
  g_assert_cmpuint (stats.idle, ==, 0);
}

/* Guards against a repeat of an idempotent request that is not counted.  */
static void
test_get_repeat (void)
{
  backend_result_t result;
  backend_stats_t stats;

  assert_end ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_free (run ("GET", "/close-reused", &result));
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (result.repeats, ==, 1);
  g_assert_false (result.reused);
  g_assert_cmpint (httpserver_get_count (server, "/close-reused"), ==, 2);
  backend_pool_get_stats (pool, &stats);
  g_assert_cmpuint (stats.repeats, ==, 1);
}

/* Guards against a request that goes on to a new connection, and so to a cold
   server, after a restart closed the pooled ones.  */
static void
test_no_repeat (void)
{
  backend_result_t result;
  answer_t answer;
  backend_request_t request;
  char *address;

  assert_end ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  request = make_request ("GET", "/close-reused", &answer);
  request.no_reconnect = true;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_RESET);
  g_assert_cmpint (httpserver_get_count (server, "/close-reused"), ==, 1);
  open_connections (2);
  address = g_strdup (request.address);
  request.address = address;
  request.idempotent = false;
  replace_server ();
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_CLOSED);
  g_assert_false (result.sent);
  g_assert_cmpuint (get_idle (), ==, 0);
  /* Reported once; then a new connection is tried.  */
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
  g_string_free (answer.body, TRUE);
  g_free (address);
}

static void *
run_held_once (void *data)
{
  g_free (run ("GET", "/held", data));
  return NULL;
}

/* Guards against several requests of one instance on new connections to a
   server that has restarted unseen, and so is cold: the instance had no
   connection whose end could tell it.  */
static void
test_first_connection (void)
{
  const uint64_t one = 1;
  backend_result_t held;
  backend_result_t result;
  answer_t answer;
  backend_request_t request;
  pthread_t thread;

  pthread_create (&thread, NULL, run_held_once, &held);
  g_assert_cmpint (httpserver_wait (server, "/held", 1), ==, 1);
  request = make_request ("GET", "/ok", &answer);
  request.no_reconnect = true;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_UNUSED);
  g_assert_false (result.sent);
  g_assert_cmpint (write (release_fd, &one, sizeof one), ==, sizeof one);
  pthread_join (thread, NULL);
  g_assert_cmpint (held.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_string_free (answer.body, TRUE);
}

/* Guards against a shed answer passed to the caller, or taken as one that may
   have run, and against losing what it says.  */
static void
test_shed (void)
{
  backend_result_t result;

  g_free (run ("POST", "/shed", &result));
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_SHED);
  g_assert_false (result.head_delivered);
  g_assert_cmpint (result.end.retry_after_ms, ==, 2000);
  g_assert_cmpuint (result.end.load.in_flight, ==, 2);
  g_assert_cmpuint (result.end.load.queued, ==, 1);
  g_assert_cmpuint (result.end.load.slots, ==, 3);
  g_assert_true (result.end.load.cold);
  g_assert_false (result.end.load.draining);
  g_assert_cmpuint (get_idle (), ==, 1);
}

/* Guards against a resumed download that asks for the wrong part.  */
static void
test_range (void)
{
  backend_header_t headers[] = { { "range", "bytes=0-" } };
  backend_result_t result;
  answer_t answer;
  backend_request_t request = make_request ("GET", "/range", &answer);

  request.headers = headers;
  request.header_count = 1;
  request.range = "bytes=4-5";
  request.if_range = "\"e\"";
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (answer.status, ==, 206);
  g_assert_cmpint (answer.length, ==, 2);
  g_assert_cmpstr (answer.body->str, ==, "ok");
  g_string_free (answer.body, TRUE);
}

/* Guards against bytes that follow an answer, at once or later, being taken as
   the answer to the next request on the connection.  */
static void
test_extra (void)
{
  static const char *const paths[] = { "/extra", "/extra-later" };
  backend_result_t result;
  uint64_t one = 1;

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      char *body = run ("GET", paths[i], &result);

      g_assert_cmpstr (body, ==, "ok");
      g_free (body);
      if (i == 1)
        {
          (void)!write (release_fd, &one, sizeof one);
          (void)!read (written_fd, &one, sizeof one);
        }
      for (int k = 0; k < 2; k++)
        {
          body = run (k == 0 ? "POST" : "GET", "/next", &result);
          g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
          g_assert_cmpstr (body, ==, "ok");
          g_free (body);
        }
    }
}

/* Guards against an interim answer taken as the answer or as a shed.  */
static void
test_interim (void)
{
  backend_result_t result;
  char *body = run ("POST", "/interim", &result);

  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (result.end.status, ==, 200);
  g_assert_cmpstr (body, ==, "ok");
  g_free (body);
}

/* Guards against a wrong load report, from a header or a probe, and a failed
   probe taken as a good one.  */
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

  g_assert_cmpint (backend_load_parse (LOAD "; later=x", &load), ==, 0);
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
run_many (void *arg)
{
  backend_result_t result;

  for (int i = 0; i < 100; i++)
    {
      char *body = run (i % 2 == 0 ? "GET" : "POST", "/ok", &result);

      g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
      g_assert_cmpstr (body, ==, "ok");
      g_free (body);
    }
  return arg;
}

/* Guards against two threads on one connection, and answers that reach the
   wrong request.  */
static void
test_threads (void)
{
  pthread_t threads[4];
  backend_stats_t stats;

  for (int i = 0; i < 4; i++)
    pthread_create (&threads[i], NULL, run_many, NULL);
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
