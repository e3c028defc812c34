#include "backend_fixture.h"

#include <glib/gprintf.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Guards against sending a non-idempotent request on a connection that has
   been idle for 250 ms and so may no longer respond, and against never or
   always reusing a connection.  */
static void
test_post_idle_limit (void)
{
  backend_result_t result;
  backend_request_t request;
  response_t response;

  g_free (run_request ("POST", "/ok", &result));
  g_free (run_request ("POST", "/ok", &result));
  g_assert_true (result.reused);
  g_usleep (260000);
  g_free (run_request ("POST", "/ok", &result));
  g_assert_false (result.reused);
  g_usleep (260000);
  g_free (run_request ("GET", "/ok", &result));
  g_assert_true (result.reused);
  request = make_request ("GET", "/ok", &response);
  request.new_connection = true;
  backend_attempt (pool, &request, &result);
  g_assert_false (result.reused);
  g_string_free (response.body, TRUE);
}

/* Guards against waiting until the deadline for a connection that doesn't
   respond, and against keeping other idle connections that may not respond
   either.  */
static void
test_unresponsive (void)
{
  backend_result_t result;
  backend_stats_t stats;
  response_t response;
  backend_request_t request;

  open_connections (2);
  g_assert_cmpuint (get_idle_count (), ==, 2);
  request = make_request ("GET", "/silent", &response);
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
  g_string_free (response.body, TRUE);
}

static void *
cancel_when_received (void *arg)
{
  uint64_t one = 1;

  httpserver_wait_requests (server, "/silent", 1);
  (void)!write (*(int *)arg, &one, sizeof one);
  return NULL;
}

static bool
has_second_request_arrived (void *context)
{
  (void)context;
  return httpserver_get_request_count (server, "/silent") == 2;
}

/* Guards against a cancellation that takes effect only at the deadline, and
   against one that leaves the connection open, so that the backend server
   continues with the request.  */
static void
test_cancel (void)
{
  backend_result_t result;
  response_t response;
  backend_request_t request = make_request ("GET", "/silent", &response);
  int fd = eventfd (0, 0);
  pthread_t thread;

  request.cancel_fd = fd;
  pthread_create (&thread, NULL, cancel_when_received, &fd);
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  pthread_join (thread, NULL);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_CANCELLED);
  g_assert_true (result.sent);
  g_assert_cmpint (httpserver_wait_closed (server, 1), ==, 1);
  request.cancel_fd = -1;
  request.cancelled = has_second_request_arrived;
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_CANCELLED);
  g_assert_cmpint (now_ms (), <, request.deadline - 1000);
  g_assert_cmpint (httpserver_wait_closed (server, 2), ==, 2);
  g_assert_cmpuint (get_idle_count (), ==, 0);
  close (fd);
  g_string_free (response.body, TRUE);
}

/* Guards against sending a request after its start_by time or its deadline, on
   a new or a pooled connection, and against a result other than
   DECIDE_ATTEMPT_NOT_SENT in these cases and for a refused connection.  */
static void
test_not_sent (void)
{
  backend_result_t result;
  response_t response;
  backend_request_t request = make_request ("POST", "/late", &response);

  for (int i = 0; i < 2; i++)
    {
      request.start_by = now_ms () - 1;
      g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
      g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
      g_assert_false (result.sent);
      assert_result ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
    }
  request.start_by = now_ms () + 1000;
  request.deadline = now_ms ();
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
  g_assert_cmpint (httpserver_get_request_count (server, "/late"), ==, 0);
  request.deadline = now_ms () + 1000;
  request.address = "127.0.0.1:1";
  g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
  g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_NOT_SENT);
  g_string_free (response.body, TRUE);
}

/* Guards against an attempt that exceeds its deadline before the first byte or
   during the body, and against a result that omits the part of the body
   already delivered.  */
static void
test_deadline (void)
{
  static const char *const paths[] = { "/held", "/slow-body" };
  uint64_t one = 1;

  for (int i = 0; i < 2; i++)
    {
      backend_result_t result;
      response_t response;
      backend_request_t request = make_request ("GET", paths[i], &response);

      request.deadline = now_ms () + 60;
      g_assert_cmpint (backend_attempt (pool, &request, &result), ==, 0);
      g_assert_cmpint (now_ms (), >=, request.deadline);
      g_assert_cmpint (now_ms (), <, request.deadline + 1000);
      g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_TIMEOUT);
      g_assert_cmpint (result.head_delivered, ==, i);
      g_assert_cmpuint (result.body_bytes, ==, i == 0 ? 0 : 3);
      g_assert_cmpuint (get_idle_count (), ==, 0);
      g_string_free (response.body, TRUE);
    }
  (void)!write (release_fd, &one, sizeof one);
}

/* Guards against an unbounded number of idle connections, and against idle
   connections that are never closed.  */
static void
test_idle (void)
{
  backend_options_t options = { .idle_timeout_ms = 1 };
  backend_pool_t *saved_pool = pool;

  open_connections (3);
  g_assert_cmpuint (get_idle_count (), ==, 2);
  pool = backend_pool_new (&options);
  assert_result ("GET", "/ok", DECIDE_ATTEMPT_ANSWERED);
  g_usleep (2000);
  backend_pool_close_idle (pool);
  g_assert_cmpuint (get_idle_count (), ==, 0);
  backend_pool_free (pool);
  pool = saved_pool;
}

static int
compare_int64 (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

/* Measures the duration of an attempt; runs only with -m perf.  */
static void
test_perf (void)
{
  static int64_t durations_us[10000];
  backend_result_t result;

  for (int new_connection = 0; new_connection < 2; new_connection++)
    {
      int count = new_connection != 0 ? 2000 : 10000;

      for (int i = 0; i < count; i++)
        {
          response_t response;
          backend_request_t request = make_request ("GET", "/ok", &response);
          gint64 begin_us = g_get_monotonic_time ();

          request.new_connection = new_connection != 0;
          backend_attempt (pool, &request, &result);
          durations_us[i] = g_get_monotonic_time () - begin_us;
          g_assert_cmpint (result.end.result, ==, DECIDE_ATTEMPT_ANSWERED);
          g_string_free (response.body, TRUE);
        }
      qsort (durations_us, (size_t)count, sizeof durations_us[0],
             compare_int64);
      g_printf ("%s: p50 %" G_GINT64_FORMAT " us, p99 %" G_GINT64_FORMAT
                " us, %d attempts\n",
                new_connection != 0 ? "new connection" : "pooled",
                durations_us[count / 2], durations_us[count * 99 / 100],
                count);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/backend/post-proof", test_post_idle_limit,
                        with_server);
  g_test_add_data_func ("/backend/silent", test_unresponsive, with_server);
  g_test_add_data_func ("/backend/cancel", test_cancel, with_server);
  g_test_add_data_func ("/backend/not-sent", test_not_sent, with_server);
  g_test_add_data_func ("/backend/deadline", test_deadline, with_server);
  g_test_add_data_func ("/backend/idle", test_idle, with_server);
  if (g_test_perf ())
    g_test_add_data_func ("/backend/perf", test_perf, with_server);
  return g_test_run ();
}
