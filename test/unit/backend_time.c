#include "backend_fixture.h"

#include <glib/gprintf.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Guards against a non-idempotent request on a connection that has been quiet
   for 250 ms and may be silent, and against never, or always, reusing one.  */
static void
test_post_proof (void)
{
  backend_result_t result;
  backend_request_t request;
  answer_t answer;

  g_free (run ("POST", "/ok", &result));
  g_free (run ("POST", "/ok", &result));
  g_assert_true (result.reused);
  g_usleep (260000);
  g_free (run ("POST", "/ok", &result));
  g_assert_false (result.reused);
  g_usleep (260000);
  g_free (run ("GET", "/ok", &result));
  g_assert_true (result.reused);
  request = make_request ("GET", "/ok", &answer);
  request.new_connection = true;
  backend_attempt (pool, &request, &result);
  g_assert_false (result.reused);
  g_string_free (answer.body, TRUE);
}

/* Guards against waiting for a silent connection until the deadline, and
   against using others that may be silent too.  */
static void
test_silent (void)
{
  backend_result_t result;
  backend_stats_t stats;
  answer_t answer;
  backend_request_t request;

  open_connections (2);
  g_assert_cmpuint (get_idle (), ==, 2);
  request = make_request ("GET", "/silent", &answer);
  request.first_byte_deadline = now_ms () + 50;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_TIMEOUT);
  g_assert_true (result.reused);
  g_assert_true (result.sent);
  g_assert_false (result.first_byte);
  g_assert_cmpint (now_ms (), <, request.deadline - 1000);
  backend_pool_get_stats (pool, &stats);
  g_assert_cmpuint (stats.idle, ==, 0);
  g_assert_cmpuint (stats.dropped_after_timeout, ==, 1);
  g_assert_cmpint (httpserver_wait_closed (server, 2), ==, 2);
  g_string_free (answer.body, TRUE);
}

static void *
cancel_when_sent (void *arg)
{
  uint64_t one = 1;

  httpserver_wait (server, "/silent", 1);
  (void)!write (*(int *)arg, &one, sizeof one);
  return NULL;
}

static bool
is_sent (void *context)
{
  (void)context;
  return httpserver_get_count (server, "/silent") == 2;
}

/* Guards against a cancellation that waits for the deadline, and one that
   leaves the connection open, so that the backend server goes on.  */
static void
test_cancel (void)
{
  backend_result_t result;
  answer_t answer;
  backend_request_t request = make_request ("GET", "/silent", &answer);
  int fd = eventfd (0, 0);
  pthread_t thread;

  request.cancel_fd = fd;
  pthread_create (&thread, NULL, cancel_when_sent, &fd);
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  pthread_join (thread, NULL);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_CANCELLED);
  g_assert_true (result.sent);
  g_assert_cmpint (httpserver_wait_closed (server, 1), ==, 1);
  request.cancel_fd = -1;
  request.cancelled = is_sent;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_CANCELLED);
  g_assert_cmpint (now_ms (), <, request.deadline - 1000);
  g_assert_cmpint (httpserver_wait_closed (server, 2), ==, 2);
  g_assert_cmpuint (get_idle (), ==, 0);
  close (fd);
  g_string_free (answer.body, TRUE);
}

/* Guards against a request sent after its grant or deadline ended, on a new
   and on a pooled connection, and against "not sent" without cause.  */
static void
test_not_sent (void)
{
  backend_result_t result;
  answer_t answer;
  backend_request_t request = make_request ("POST", "/late", &answer);

  for (int i = 0; i < 2; i++)
    {
      request.start_by = now_ms () - 1;
      g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
      g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
      g_assert_false (result.sent);
      assert_end ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
    }
  request.start_by = now_ms () + 1000;
  request.deadline = now_ms ();
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
  g_assert_cmpint (httpserver_get_count (server, "/late"), ==, 0);
  request.deadline = now_ms () + 1000;
  request.address = "127.0.0.1:1";
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
  g_string_free (answer.body, TRUE);
}

/* Guards against an attempt that outlives its deadline before the first byte
   or in the body, and against losing what was already passed on.  */
static void
test_deadline (void)
{
  static const char *const paths[] = { "/held", "/slow-body" };
  uint64_t one = 1;

  for (int i = 0; i < 2; i++)
    {
      backend_result_t result;
      answer_t answer;
      backend_request_t request = make_request ("GET", paths[i], &answer);

      request.deadline = now_ms () + 60;
      g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
      g_assert_cmpint (now_ms (), >=, request.deadline);
      g_assert_cmpint (now_ms (), <, request.deadline + 1000);
      g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_TIMEOUT);
      g_assert_cmpint (result.head_delivered, ==, i);
      g_assert_cmpuint (result.body_bytes, ==, i == 0 ? 0 : 3);
      g_assert_cmpuint (get_idle (), ==, 0);
      g_string_free (answer.body, TRUE);
    }
  (void)!write (release_fd, &one, sizeof one);
}

/* Guards against connections without bound, and ones that stay for ever.  */
static void
test_idle (void)
{
  backend_options_t options = { .idle_timeout_ms = 1 };
  backend_pool_t *kept = pool;

  open_connections (3);
  g_assert_cmpuint (get_idle (), ==, 2);
  pool = backend_pool_new (&options);
  assert_end ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_usleep (2000);
  backend_pool_expire (pool);
  g_assert_cmpuint (get_idle (), ==, 0);
  backend_pool_free (pool);
  pool = kept;
}

static int
compare (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

/* Added latency of an attempt; run with -m perf.  */
static void
test_perf (void)
{
  static int64_t spent[10000];
  backend_result_t result;

  for (int new_connection = 0; new_connection < 2; new_connection++)
    {
      int count = new_connection != 0 ? 2000 : 10000;

      for (int i = 0; i < count; i++)
        {
          answer_t answer;
          backend_request_t request = make_request ("GET", "/ok", &answer);
          gint64 begin = g_get_monotonic_time ();

          request.new_connection = new_connection != 0;
          backend_attempt (pool, &request, &result);
          spent[i] = g_get_monotonic_time () - begin;
          g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
          g_string_free (answer.body, TRUE);
        }
      qsort (spent, (size_t)count, sizeof spent[0], compare);
      g_printf ("%s: p50 %" G_GINT64_FORMAT " us, p99 %" G_GINT64_FORMAT
                " us, %d attempts\n",
                new_connection != 0 ? "new connection" : "pooled",
                spent[count / 2], spent[count * 99 / 100], count);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/backend/post-proof", test_post_proof, with_server);
  g_test_add_data_func ("/backend/silent", test_silent, with_server);
  g_test_add_data_func ("/backend/cancel", test_cancel, with_server);
  g_test_add_data_func ("/backend/not-sent", test_not_sent, with_server);
  g_test_add_data_func ("/backend/deadline", test_deadline, with_server);
  g_test_add_data_func ("/backend/idle", test_idle, with_server);
  if (g_test_perf ())
    g_test_add_data_func ("/backend/perf", test_perf, with_server);
  return g_test_run ();
}
