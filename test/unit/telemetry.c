#include "telemetry.h"

#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "decide.h"

#undef G_LOG_DOMAIN
#define G_LOG_DOMAIN "test"

/* Number of threads of test_threads().  */
#define THREADS 4
/* Number of operations of each kind in each of these threads.  */
#define ITERATIONS 500
/* Number of additions to one counter in each of these threads.  */
#define ADDITIONS 100000

/* Standard error or standard output, redirected into a pipe.  */
typedef struct capture
{
  int target;  /* the descriptor that is redirected */
  int saved;   /* duplicate of the original descriptor */
  int pipe[2]; /* read end and write end */
} capture_t;

static void
capture_begin (capture_t *capture, int target)
{
  capture->target = target;
  capture->saved = dup (target);
  g_assert_cmpint (pipe (capture->pipe), ==, 0);
  g_assert_cmpint (dup2 (capture->pipe[1], target), ==, target);
}

/* Restores the descriptor and returns what was written to it.  */
static char *
capture_end (capture_t *capture)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t n;

  dup2 (capture->saved, capture->target);
  close (capture->saved);
  close (capture->pipe[1]);
  while ((n = read (capture->pipe[0], buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, n);
  close (capture->pipe[0]);
  return g_string_free (text, FALSE);
}

/* Starts the telemetry and checks that a second start fails.  */
static void
start_telemetry (unsigned int ring_lines, double sampling_ratio)
{
  telemetry_settings_t settings = { .instance = "entry-1",
                                    .log_level = G_LOG_LEVEL_INFO,
                                    .trace_sampling_ratio = sampling_ratio,
                                    .ring_lines = ring_lines };

  g_assert_cmpint (telemetry_start (&settings), ==, 0);
  g_assert_cmpint (telemetry_start (&settings), ==, -EALREADY);
}

/* Returns the value of a member of a JSON object as text, or NULL if there is
   no such member.  */
static const char *
get_member (json_object *line, const char *key)
{
  json_object *value = NULL;

  json_object_object_get_ex (line, key, &value);
  return value == NULL ? NULL : json_object_get_string (value);
}

/* Guards against log lines that are invalid JSON or lack fields, and against
   messages below the log level that are written.  */
static void
test_log_lines (void)
{
  capture_t capture;
  g_auto (GStrv) lines = NULL;
  g_autofree char *text = NULL;
  json_object *line;

  capture_begin (&capture, STDERR_FILENO);
  start_telemetry (64, 0);
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SERVICE", "booking",
                    "MESSAGE", "quote \" slash \\ line\n tab\t bad \xff %d",
                    7);
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_DEBUG, "MESSAGE", "hidden");
  telemetry_set_log_level (G_LOG_LEVEL_DEBUG);
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_DEBUG, "MESSAGE", "shown");
  telemetry_stop ();
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "MESSAGE", "late");
  text = capture_end (&capture);
  lines = g_strsplit (text, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), ==, 4);
  line = json_tokener_parse (lines[0]);
  g_assert_nonnull (line);
  g_assert_cmpuint (strlen (get_member (line, "time")), ==,
                    strlen ("2026-12-04T02:52:48.000000Z"));
  g_assert_cmpstr (get_member (line, "level"), ==, "info");
  g_assert_cmpstr (get_member (line, "instance"), ==, "entry-1");
  g_assert_cmpstr (get_member (line, "service"), ==, "booking");
  g_assert_cmpstr (get_member (line, "domain"), ==, "test");
  g_assert_cmpstr (get_member (line, "message"), ==,
                   "quote \" slash \\ line\n tab\t bad \xef\xbf\xbd 7");
  g_assert_null (get_member (line, "code_file"));
  json_object_put (line);
  g_assert_nonnull (strstr (lines[1], "\"level\":\"debug\""));
  g_assert_nonnull (strstr (lines[2], "\"late\""));
}

/* Redirects standard error into a pipe, starts the telemetry and logs more
   lines than the ring buffer and the pipe hold, while nothing reads the pipe.
   Return: the number of dropped lines.  */
static int
overflow_ring (capture_t *capture)
{
  uint64_t before = telemetry_dropped_lines ();
  g_autofree char *large = g_strnfill (4000, 'x');

  capture_begin (capture, STDERR_FILENO);
  g_assert_cmpint (fcntl (capture->pipe[1], F_SETPIPE_SZ, 4096), >=, 4096);
  start_telemetry (128, 0);
  for (int i = 0; i < 300; i++)
    g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE", "%s", large);
  return (int)(telemetry_dropped_lines () - before);
}

/* Guards against logging that, when nothing reads standard error, blocks the
   calling thread or drops lines without reporting their number.  */
static void
test_log_overflow (void)
{
  static const char key[] = "\"dropped\":";
  int64_t begin = g_get_monotonic_time ();
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *rest = NULL;
  capture_t capture;
  char buffer[4096];
  struct pollfd pfd = { .events = POLLIN };
  ssize_t n = 0;
  int dropped = overflow_ring (&capture);
  int reported = 0;

  /* The lines in the ring buffer, the line being written and those in the pipe
     are not dropped.  */
  g_assert_cmpint (dropped, >=, 300 - 127 - 3);
  g_assert_cmpint (dropped, <, 300);
  g_assert_cmpint (g_get_monotonic_time () - begin, <, 5 * G_USEC_PER_SEC);
  pfd.fd = capture.pipe[0];
  while (strstr (text->str, key) == NULL && poll (&pfd, 1, 5000) > 0
         && (n = read (capture.pipe[0], buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, n);
  telemetry_stop ();
  rest = capture_end (&capture);
  g_string_append (text, rest);
  for (const char *p = text->str; (p = strstr (p, key)) != NULL; p++)
    reported += atoi (p + strlen (key));
  g_assert_cmpint (reported, ==, dropped);
}

/* Guards against a telemetry_stop() that takes long, or never returns, when
   nothing reads standard error.  */
static void
test_stalled_stop (void)
{
  int64_t begin = g_get_monotonic_time ();
  capture_t capture;

  overflow_ring (&capture);
  telemetry_stop ();
  g_assert_cmpint (g_get_monotonic_time () - begin, <, 5 * G_USEC_PER_SEC);
  g_free (capture_end (&capture));
}

/* Guards against a fatal message that is lost because the process aborts
   before the writer thread writes it.  */
static void
test_fatal_message (void)
{
  if (g_test_subprocess ())
    {
      start_telemetry (64, 0);
      g_error ("last words");
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_failed ();
  g_test_trap_assert_stderr (
      "*\"level\":\"error\"*\"message\":\"last words\",\"domain\":\"test\"}*");
}

static void *
run_telemetry_calls (void *arg)
{
  telemetry_trace_t trace;
  telemetry_span_t span = { .trace = &trace,
                            .name = "attempt",
                            .service = "booking",
                            .outcome = "answered",
                            .start_us = 1,
                            .duration_us = 2 };

  (void)arg;
  for (int i = 0; i < ADDITIONS; i++)
    telemetry_counter_increment (TELEMETRY_PROBES, 1);
  for (int i = 0; i < ITERATIONS; i++)
    {
      telemetry_new_trace (&trace);
      telemetry_counter_increment (TELEMETRY_REQUESTS, 0);
      telemetry_histogram_observe (TELEMETRY_ADDED_US, i);
      telemetry_gauge_add (TELEMETRY_IN_FLIGHT, 1);
      telemetry_write_span (&span);
      g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MESSAGE", "m");
      if (i % 100 == 0)
        g_free (telemetry_format_metrics ());
      telemetry_gauge_add (TELEMETRY_IN_FLIGHT, -1);
    }
  return NULL;
}

/* Guards against data races and lost updates between threads.  */
static void
test_threads (void)
{
  pthread_t threads[THREADS];
  uint64_t before = telemetry_counter_read (TELEMETRY_REQUESTS, 0);
  capture_t out;
  capture_t err;
  int null_fd;

  capture_begin (&out, STDOUT_FILENO);
  capture_begin (&err, STDERR_FILENO);
  /* The output is discarded, because nothing reads the pipes while the threads
     run.  */
  null_fd = open ("/dev/null", O_WRONLY);
  dup2 (null_fd, STDOUT_FILENO);
  dup2 (null_fd, STDERR_FILENO);
  start_telemetry (8192, 1);
  for (int i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, run_telemetry_calls, NULL);
  for (int i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  telemetry_stop ();
  close (null_fd);
  g_free (capture_end (&err));
  g_free (capture_end (&out));
  g_assert_cmpuint (telemetry_counter_read (TELEMETRY_REQUESTS, 0) - before,
                    ==, THREADS * ITERATIONS);
  g_assert_cmpuint (telemetry_counter_read (TELEMETRY_PROBES, 1), ==,
                    THREADS * ADDITIONS);
}

/* Guards against label values that do not match the enumerations in decide.h
   or are out of range, and against output that Prometheus rejects.  */
static void
test_metrics (void)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  telemetry_counter_add (TELEMETRY_REFUSED, DECIDE_REASON_STOPPING, 11);
  telemetry_counter_add (TELEMETRY_REFUSED, DECIDE_REASON_KEY_FULL, 10);
  telemetry_counter_increment (TELEMETRY_REFUSED, DECIDE_REASON_STOPPING + 1);
  telemetry_counter_add (TELEMETRY_ATTEMPTS, DECIDE_ATTEMPT_UNUSED, 8);
  telemetry_counter_increment (TELEMETRY_PEER_SENT, 0);
  telemetry_counter_increment (TELEMETRY_PEER_SENT, 5000);
  telemetry_counter_add (TELEMETRY_PEER_SENT, DECIDE_MSG_HEARTBEAT, 3);
  telemetry_counter_add (TELEMETRY_PEER_SENT, DECIDE_MSG_KEY_COLLECT_REPLY,
                         22);
  telemetry_gauge_set (TELEMETRY_REVISION, -5);
  telemetry_histogram_observe (TELEMETRY_STORE_US, -1);
  telemetry_histogram_observe (TELEMETRY_STORE_US, 1300);
  telemetry_histogram_observe (TELEMETRY_STORE_US, 1301);
  telemetry_histogram_observe (TELEMETRY_STORE_US, INT64_C (20000000));
  text = telemetry_format_metrics ();
  lines = g_strsplit (text, "\n", -1);
#define ASSERT_HAS_LINE(line)                                                 \
  g_assert_true (g_strv_contains ((const char *const *)lines, line))
  ASSERT_HAS_LINE ("# TYPE peridot_requests_refused_total counter");
  ASSERT_HAS_LINE ("peridot_requests_refused_total{reason=\"stopping\"} 11");
  ASSERT_HAS_LINE ("peridot_requests_refused_total{reason=\"key_full\"} 10");
  ASSERT_HAS_LINE ("peridot_requests_refused_total{reason=\"other\"} 1");
  ASSERT_HAS_LINE ("peridot_attempts_total{result=\"unused\"} 8");
  ASSERT_HAS_LINE ("peridot_peer_messages_sent_total{type=\"heartbeat\"} 3");
  ASSERT_HAS_LINE (
      "peridot_peer_messages_sent_total{type=\"key_collect_reply\"} 22");
  ASSERT_HAS_LINE ("peridot_peer_messages_sent_total{type=\"other\"} 2");
  ASSERT_HAS_LINE ("peridot_revision -5");
  ASSERT_HAS_LINE ("# TYPE peridot_store_seconds histogram");
  ASSERT_HAS_LINE ("peridot_store_seconds_bucket{le=\"5e-05\"} 1");
  ASSERT_HAS_LINE ("peridot_store_seconds_bucket{le=\"0.0013\"} 2");
  ASSERT_HAS_LINE ("peridot_store_seconds_bucket{le=\"0.002\"} 3");
  ASSERT_HAS_LINE ("peridot_store_seconds_bucket{le=\"10\"} 3");
  ASSERT_HAS_LINE ("peridot_store_seconds_bucket{le=\"+Inf\"} 4");
  ASSERT_HAS_LINE ("peridot_store_seconds_sum 20.002601");
  ASSERT_HAS_LINE ("peridot_store_seconds_count 4");
#undef ASSERT_HAS_LINE
  /* Each HELP line is followed by a TYPE line, and each sample ends with a
     number.  */
  for (int i = 0; lines[i][0] != '\0'; i++)
    if (g_str_has_prefix (lines[i], "# HELP "))
      g_assert_true (g_str_has_prefix (lines[i + 1], "# TYPE "));
    else if (lines[i][0] != '#')
      g_assert_true (g_ascii_isdigit (lines[i][strlen (lines[i]) - 1]));
  g_assert_true (g_str_has_suffix (text, "\n"));
}

#define TRACE_ID "0af7651916cd43dd8448eb211c80319c"
#define VALID_TRACEPARENT "00-" TRACE_ID "-b7ad6b7169203331-01"

/* Guards against malformed traceparent headers that are accepted, and against
   reads beyond their end.  */
static void
test_malformed_traceparent (void)
{
  static const char *const malformed[] = {
    "",
    "00",
    "00-" TRACE_ID "-b7ad6b7169203331-0",
    "00-" TRACE_ID "-b7ad6b7169203331-01-x",
    "00-" TRACE_ID "-b7ad6b7169203331-01 ",
    "01-" TRACE_ID "-b7ad6b7169203331-01x",
    "ff-" TRACE_ID "-b7ad6b7169203331-01",
    "0g-" TRACE_ID "-b7ad6b7169203331-01",
    "00_" TRACE_ID "-b7ad6b7169203331-01",
    "00-" TRACE_ID "_b7ad6b7169203331-01",
    "00-" TRACE_ID "-b7ad6b7169203331_01",
    "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    "00-00000000000000000000000000000000-b7ad6b7169203331-01",
    "00-" TRACE_ID "-0000000000000000-01",
    "00-" TRACE_ID "-b7ad6b716920333\xff-01",
  };
  telemetry_trace_t trace = { .flags = 0x77 };
  g_autofree char *large = g_strnfill (1 << 20, '0');

  g_assert_cmpint (telemetry_parse_traceparent (NULL, &trace), ==, -EINVAL);
  g_assert_cmpint (telemetry_parse_traceparent (large, &trace), ==, -EINVAL);
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      /* The copy has no bytes after its end, so that AddressSanitizer detects
         a read beyond it.  */
      g_autofree char *copy = g_strdup (malformed[i]);

      g_assert_cmpint (telemetry_parse_traceparent (copy, &trace), ==,
                       -EINVAL);
    }
  g_assert_cmpint (trace.flags, ==, 0x77);
}

/* Guards against a trace id or flag that is lost or changed when the header is
   passed on.  */
static void
test_traceparent (void)
{
  telemetry_trace_t trace;
  telemetry_trace_t child;
  char text[TELEMETRY_TRACEPARENT_BYTES];

  g_assert_cmpint (telemetry_parse_traceparent (VALID_TRACEPARENT, &trace), ==,
                   0);
  telemetry_format_traceparent (&trace, text);
  g_assert_cmpstr (text, ==, VALID_TRACEPARENT);
  g_assert_cmpint (telemetry_parse_traceparent (
                       "42-" TRACE_ID "-b7ad6b7169203331-ff-more", &trace),
                   ==, 0);
  telemetry_format_traceparent (&trace, text);
  g_assert_cmpstr (text, ==, VALID_TRACEPARENT);
  telemetry_new_child (&trace, &child);
  g_assert_cmpmem (child.trace_id, 16, trace.trace_id, 16);
  g_assert_cmpmem (child.parent_id, 8, trace.span_id, 8);
  g_assert_cmpint (memcmp (child.span_id, trace.span_id, 8), !=, 0);
  telemetry_new_trace (&trace);
  telemetry_format_traceparent (&trace, text);
  g_assert_cmpint (telemetry_parse_traceparent (text, &child), ==, 0);
}

/* Guards against spans that lack fields, and against a wrong sampling
   ratio.  */
static void
test_spans (void)
{
  capture_t capture;
  telemetry_trace_t parent;
  telemetry_trace_t trace;
  telemetry_span_t span = { .trace = &trace,
                            .name = "request",
                            .service = "booking",
                            .start_us = 1500000,
                            .duration_us = 42,
                            .outcome = "answered" };
  g_autofree char *text = NULL;
  int sampled = 0;

  telemetry_parse_traceparent (VALID_TRACEPARENT, &parent);
  capture_begin (&capture, STDOUT_FILENO);
  start_telemetry (64, 1);
  telemetry_new_child (&parent, &trace);
  memcpy (trace.span_id, "\0\1\2\3\4\5\6\7", 8);
  telemetry_write_span (&span);
  telemetry_stop ();
  text = capture_end (&capture);
  g_assert_cmpstr (text, ==,
                   "{\"trace_id\":\"" TRACE_ID
                   "\",\"span_id\":\"0001020304050607\","
                   "\"parent_id\":\"b7ad6b7169203331\",\"name\":\"request\","
                   "\"service\":\"booking\",\"instance\":\"entry-1\","
                   "\"start\":\"1970-01-01T00:00:01.500000Z\","
                   "\"duration_us\":42,\"outcome\":\"answered\"}\n");
  start_telemetry (64, 0.25);
  for (int i = 0; i < 4000; i++)
    {
      telemetry_new_trace (&trace);
      sampled += telemetry_is_sampled (&trace);
      g_assert_cmpint (telemetry_is_sampled (&trace), ==,
                       trace.flags & TELEMETRY_SAMPLED);
    }
  telemetry_stop ();
  /* The expected number is 1,000; the standard deviation is 27.  */
  g_assert_cmpint (sampled, >, 800);
  g_assert_cmpint (sampled, <, 1200);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/telemetry/log/lines", test_log_lines);
  g_test_add_func ("/telemetry/log/overflow", test_log_overflow);
  g_test_add_func ("/telemetry/log/stalled-stop", test_stalled_stop);
  g_test_add_func ("/telemetry/log/fatal", test_fatal_message);
  g_test_add_func ("/telemetry/threads", test_threads);
  g_test_add_func ("/telemetry/metrics", test_metrics);
  g_test_add_func ("/telemetry/trace/bad", test_malformed_traceparent);
  g_test_add_func ("/telemetry/trace/good", test_traceparent);
  g_test_add_func ("/telemetry/spans", test_spans);
  return g_test_run ();
}
