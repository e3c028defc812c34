#include "limit.h"

#include <glib.h>

/* Tests of the adaptive concurrency limit of one endpoint.  The median latency
   that they pass to limit_record_attempt() is 80, which is 5 ms.  */

static const decide_load_t load_report = { .present = true, .identity = 5 };
static const decide_load_t draining
    = { .present = true, .identity = 5, .draining = true };

static decide_attempt_end_t
response_end (clock_ms_t latency_ms)
{
  return (decide_attempt_end_t){ .result = DECIDE_ATTEMPT_ANSWERED,
                                 .status = 200,
                                 .latency_ms = latency_ms,
                                 .load = load_report };
}

static decide_attempt_end_t
end_with_result (decide_attempt_result_t result)
{
  return (decide_attempt_end_t){ .result = result };
}

/* Records a successful response every 5 ms during the second before @now.  */
static void
warm_up (limit_t *limit, clock_ms_t now)
{
  decide_attempt_end_t end = response_end (5);

  for (int i = 200; i >= 0; i--)
    limit_record_attempt (limit, now - 5 * i, &end, 80);
}

/* Guards against a limit that rises before a cold server has sent 8 successful
   responses and 250 ms have passed: fast responses alone do not show that the
   server has warmed up.  Also tests what makes an endpoint cold again: idle
   time, and another identity in its load report.  */
static void
test_slow_start (void)
{
  decide_attempt_end_t end = response_end (5);
  limit_t limit;
  uint32_t before;
  clock_ms_t now = 0;

  limit_init (&limit, 3, 0);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
  for (; limit_current (&limit) < 3; now++)
    {
      before = limit_current (&limit);
      limit_record_attempt (&limit, now, &end, 80);
      g_assert_cmpuint (limit_current (&limit), <=, before + 1);
    }
  g_assert_cmpint (now, >=, 500);
  g_assert_cmpint (now, <=, 550);

  limit_init (&limit, 3, 0);
  for (int i = 0; i < 15; i++)
    limit_record_attempt (&limit, 300 * (i + 1), &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 2);
  limit_record_attempt (&limit, 4800, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 3);

  limit_record_grant (&limit, 14799, 0);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  /* An endpoint with a long request in flight is not idle.  */
  limit_record_grant (&limit, 30000, 1);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  limit_record_grant (&limit, 60000, 0);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
  warm_up (&limit, 62000);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  end.load.identity = 6;
  limit_record_attempt (&limit, 62000, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
}

/* Guards against a second concurrent request to a server that reports itself
   as cold, and against a limit that stays at 1 if the server never stops
   reporting that it is cold.  */
static void
test_reported_cold (void)
{
  decide_attempt_end_t end = response_end (5);
  limit_t limit;
  clock_ms_t now = 0;

  limit_init (&limit, 3, 0);
  warm_up (&limit, 1000);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  end.load.cold = true;
  for (now = 1000; now < 61000; now += 5)
    {
      limit_record_attempt (&limit, now, &end, 80);
      g_assert_cmpuint (limit_current (&limit), ==, 1);
    }
  for (; now < 63000; now += 5)
    limit_record_attempt (&limit, now, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
}

/* Guards against a server that sheds, refuses or fails requests and keeps its
   limit.  The limit must fall until it is 0 and only probes are sent.  */
static void
test_failing (void)
{
  static const struct
  {
    decide_attempt_result_t result;
    uint32_t status;
    int attempts_until_zero;    /* attempts after which the limit is 0 */
    uint32_t limit_after_first; /* limit after the first of them */
  } cases[] = { { DECIDE_ATTEMPT_SHED, 0, 2, 1 },
                { DECIDE_ATTEMPT_NOT_SENT, 0, 1, 0 },
                { DECIDE_ATTEMPT_RESET, 0, 3, 1 },
                { DECIDE_ATTEMPT_BROKEN, 0, 3, 1 },
                { DECIDE_ATTEMPT_ANSWERED, 500, 3, 3 } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      decide_attempt_end_t end = end_with_result (cases[i].result);
      clock_ms_t now = 1000;
      clock_ms_t last_probe = 0;
      limit_t limit;

      end.status = cases[i].status;
      limit_init (&limit, 3, 0);
      warm_up (&limit, now);
      limit_record_attempt (&limit, now, &end, 80);
      g_assert_cmpuint (limit_current (&limit), ==,
                        cases[i].limit_after_first);
      for (int j = 1; j < cases[i].attempts_until_zero; j++)
        limit_record_attempt (&limit, now, &end, 80);
      g_assert_cmpuint (limit_current (&limit), ==, 0);
      g_assert_false (limit_is_probe_due (&limit, now));
      for (int probe = 0; probe < 6; probe++)
        {
          now = limit_next_probe_at (&limit);
          if (probe > 0)
            g_assert_cmpint (now - last_probe, >=, 1000);
          last_probe = now;
          limit_record_probe_start (&limit, now);
          limit_handle_probe_result (&limit, now, false, &load_report);
        }
      g_assert_cmpint (limit_next_probe_at (&limit) - now, >=, 3000);
      limit_record_probe_start (&limit, now);
      limit_handle_probe_result (&limit, now, true, &load_report);
      g_assert_cmpuint (limit_current (&limit), ==, 1);
    }
}

/* Guards against requests to a server that has reported that it is draining,
   and against an outdated load report, in the response to a probe, that ends
   the draining state.  */
static void
test_drain (void)
{
  decide_attempt_end_t end = response_end (5);
  decide_load_t new_process_load = load_report;
  limit_t limit;

  limit_init (&limit, 3, 0);
  warm_up (&limit, 0);
  end.load = draining;
  limit_record_attempt (&limit, 10, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 0);
  limit_record_probe_start (&limit, 1010);
  limit_handle_probe_result (&limit, 1010, true, &load_report);
  g_assert_cmpuint (limit_current (&limit), ==, 0);
  new_process_load.identity = 7;
  limit_record_probe_start (&limit, 3010);
  limit_handle_probe_result (&limit, 3010, true, &new_process_load);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
}

/* A connection that is found closed is a sign of a restart and must begin a
   slow start, unless the connection was last used before the last known
   restart.  Closed connections must not suspend the endpoint.  */
static void
test_closed (void)
{
  decide_attempt_end_t end = end_with_result (DECIDE_ATTEMPT_CLOSED);
  decide_attempt_end_t success = response_end (5);
  limit_t limit;

  limit_init (&limit, 3, -2000);
  warm_up (&limit, 0);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  end.latency_ms = 20;
  limit_record_attempt (&limit, 10, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
  for (int i = 0; i < 8; i++)
    limit_record_attempt (&limit, 250 + i, &success, 80);
  limit_record_attempt (&limit, 260, &success, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 2);
  end.latency_ms = 270;
  for (int i = 0; i < 5; i++)
    limit_record_attempt (&limit, 270, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 2);
  end.latency_ms = 10;
  limit_record_attempt (&limit, 280, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
}

/* Guards against a slow start of a server that only closed an idle connection:
   its next load report shows that the process is the same.  A report for a
   grant that was issued before the connection was found closed does not show
   this.  */
static void
test_idle_close (void)
{
  decide_attempt_end_t end = end_with_result (DECIDE_ATTEMPT_CLOSED);
  limit_t limit;

  limit_init (&limit, 3, -2000);
  warm_up (&limit, 0);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  end.latency_ms = 100;
  limit_record_attempt (&limit, 1000, &end, 80);
  limit_restore_if_same_process (&limit, 1000, &load_report);
  g_assert_cmpuint (limit_current (&limit), ==, 1);
  limit_restore_if_same_process (&limit, 1001, &load_report);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
  limit_record_attempt (&limit, 3600, &end, 80);
  limit_restore_if_same_process (
      &limit, 3601, &(decide_load_t){ .present = true, .identity = 6 });
  g_assert_cmpuint (limit_current (&limit), ==, 1);
  /* Without an identity, a close after a long idle time does not count as a
     restart.  */
  limit.identity = 0;
  limit.limit = 3;
  end.latency_ms = 2500;
  limit_record_attempt (&limit, 7000, &end, 80);
  g_assert_cmpuint (limit_current (&limit), ==, 3);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limit/ramp", test_slow_start);
  g_test_add_func ("/limit/closed", test_closed);
  g_test_add_func ("/limit/idle-close", test_idle_close);
  g_test_add_func ("/limit/reported-cold", test_reported_cold);
  g_test_add_func ("/limit/failing", test_failing);
  g_test_add_func ("/limit/drain", test_drain);
  return g_test_run ();
}
