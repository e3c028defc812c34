/* Choice of endpoints that have stated a limit, and the expected wait of
   requests for them.  The limits themselves are tested in rate_limit.c.  */

#include <string.h>

#include "admission.h"
#include "choose.h"
#include "drain_rate.h"

#define ENDPOINTS 4
#define INSTANCES 13
#define NOW 10000

/* Returns a table with ENDPOINTS endpoints of a service, the first @n_limited
   of which have stated a limit of 2 requests per second.  */
static backends_t *
new_table (int n_limited)
{
  const rate_limit_statement_t two = { .is_limited = true, .per_s = 2 };
  backends_t *backends = backends_new ("front-0", "a");
  char names[INSTANCES][16];
  const char *instances[INSTANCES];

  for (int i = 0; i < INSTANCES; i++)
    {
      (void)g_snprintf (names[i], sizeof names[i], "front-%d", i);
      instances[i] = names[i];
    }
  backends_set_instances (backends, instances, INSTANCES);
  for (int i = 0; i < ENDPOINTS; i++)
    {
      char id[16];
      backend_entry_t entry = { .id = id,
                                .service = (char *)"slots",
                                .data_centre = (char *)"a",
                                .slots = 3,
                                .revision = { .number = 1 } };

      (void)g_snprintf (id, sizeof id, "i-%d", i);
      backends_put (backends, &entry, NOW);
      if (i < n_limited)
        (void)rate_limit_state (&backends_find (backends, id)->rate_limit,
                                RATE_LIMIT_PROBE, &two, NOW);
    }
  return backends;
}

/* Gives this instance a permit that can be used @wait ms after NOW.  */
static void
issue_permit (backends_t *backends, const char *id, clock_ms_t wait)
{
  const rate_limit_reply_t reply = { .is_issued = true, .wait = wait };
  rate_limit_t *limit = &backends_find (backends, id)->rate_limit;

  rate_limit_ask (limit, NOW);
  rate_limit_handle_reply (limit, &reply, NOW, NOW);
}

/* Guards against a request that is sent to an endpoint with a limit without a
   permit, and against a permit that runs out because the endpoint is not among
   those that are probed.  */
static void
limited_endpoint_needs_permit (void)
{
  const choose_criteria_t criteria = { .service = 0, .count = 1 };
  backends_t *backends = new_table (3);
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  decide_rng_t rng;

  decide_rng_seed (&rng, 1);
  for (int i = 0; i < 100; i++)
    {
      g_assert_cmpint (
          choose_candidates (backends, &criteria, &rng, NOW, chosen), ==, 1);
      g_assert_cmpstr (backends_get (backends, chosen[0])->entry.id, ==,
                       "i-3");
    }
  issue_permit (backends, "i-1", 0);
  for (int i = 0; i < 100; i++)
    {
      g_assert_cmpint (
          choose_candidates (backends, &criteria, &rng, NOW, chosen), ==, 1);
      g_assert_cmpstr (backends_get (backends, chosen[0])->entry.id, ==,
                       "i-1");
    }
  rate_limit_take (&backends_find (backends, "i-1")->rate_limit, INSTANCES,
                   NOW);
  g_assert_false (
      choose_is_eligible (backends, backends_find (backends, "i-1"), NOW));
  backends_free (backends);
}

/* Guards against a permit for an endpoint that may get nothing anyway, because
   it is draining or its data centre is out of service.  */
static void
unusable_endpoint_gets_no_permit (void)
{
  const choose_criteria_t criteria = { .service = 0, .count = ENDPOINTS };
  backends_t *backends = new_table (ENDPOINTS);
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  decide_rng_t rng;

  decide_rng_seed (&rng, 1);
  backends_find (backends, "i-0")->entry.draining = true;
  backends_find (backends, "i-1")->backoff_until = NOW + 100;
  g_assert_cmpint (choose_permits (backends, &criteria, &rng, NOW, chosen), ==,
                   2);
  issue_permit (backends, "i-0", 0);
  g_assert_false (
      choose_is_eligible (backends, backends_find (backends, "i-0"), NOW));
  backends_set_data_centre_out (backends, "a", true);
  g_assert_cmpint (choose_permits (backends, &criteria, &rng, NOW, chosen), ==,
                   0);
  g_assert_cmpint (choose_get_limits (backends, 0, NOW).n_limited, ==, 0);
  backends_free (backends);
}

/* Guards against a wrong account of what the limits allow, from which requests
   are refused.  */
static void
limits_are_summed_up (void)
{
  const rate_limit_reply_t refusal = { .wait = 700 };
  backends_t *backends = new_table (3);
  rate_limit_t *limit = &backends_find (backends, "i-2")->rate_limit;
  choose_limits_t limits;

  issue_permit (backends, "i-0", 40);
  issue_permit (backends, "i-1", 20);
  rate_limit_ask (limit, NOW);
  limits = choose_get_limits (backends, 0, NOW);
  g_assert_cmpint (limits.n_unlimited, ==, 1);
  g_assert_cmpint (limits.n_limited, ==, 3);
  g_assert_cmpint (limits.n_asked, ==, 1);
  g_assert_cmpint (limits.n_permits, ==, 2);
  g_assert_cmpint (limits.permit_from[0], ==, NOW + 20);
  g_assert_cmpint (limits.permit_from[1], ==, NOW + 40);
  rate_limit_handle_reply (limit, &refusal, NOW, NOW + 1);
  limits = choose_get_limits (backends, 0, NOW + 1);
  g_assert_cmpint (limits.n_asked + limits.n_unknown, ==, 0);
  g_assert_cmpint (limits.next_at, ==, NOW + 701);
  backends_free (backends);
}

/* Guards against requests that are refused because few arrived before, and
   against an expected wait that is far off.  */
static void
wait_follows_drained_queue (void)
{
  drain_rate_t rate = { 0 };
  clock_ms_t wait;

  /* A few requests, none of which has to wait.  */
  for (clock_ms_t now = 1000; now < 20000; now += 1000)
    drain_rate_observe (&rate, 1, 0, now);
  g_assert_cmpint (drain_rate_wait_ms (&rate, 5), ==, -1);
  /* A burst: 10 requests wait, 5 per second are sent.  */
  for (clock_ms_t now = 20000; now < 30000; now += 20)
    drain_rate_observe (&rate, now % 200 == 0 ? 1 : 0, 10, now);
  wait = drain_rate_wait_ms (&rate, 0);
  g_assert_cmpint (wait, >, 130);
  g_assert_cmpint (wait, <, 270);
  wait = drain_rate_wait_ms (&rate, 9);
  g_assert_cmpint (wait, >, 1300);
  g_assert_cmpint (wait, <, 2700);
  /* Nothing is sent any more.  */
  for (clock_ms_t now = 30000; now < 40000; now += 20)
    drain_rate_observe (&rate, 0, 10, now);
  g_assert_cmpint (drain_rate_wait_ms (&rate, 0), >, 2000);
}

/* Guards against a request that may wait longer than its deadline, or shorter
   than its target allows.  */
static void
patience_follows_target_and_deadline (void)
{
  admission_request_t request = { .first_requested_at = NOW,
                                  .waiting_since = NOW,
                                  .target = 300,
                                  .response_deadline = NOW + 1000,
                                  .service_time_ms = 100 };

  g_assert_cmpint (admission_patience_ms (&request, NOW), ==, 300);
  g_assert_cmpint (admission_patience_ms (&request, NOW + 299), ==, 1);
  g_assert_cmpint (admission_patience_ms (&request, NOW + 400), ==, 0);
  request.response_deadline = NOW + 200;
  /* Less the time that the request takes, rounded down.  */
  g_assert_cmpint (admission_patience_ms (&request, NOW), <=, 90);
  g_assert_cmpint (admission_patience_ms (&request, NOW), >=, 89);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limits/limited_endpoint_needs_permit",
                   limited_endpoint_needs_permit);
  g_test_add_func ("/limits/unusable_endpoint_gets_no_permit",
                   unusable_endpoint_gets_no_permit);
  g_test_add_func ("/limits/limits_are_summed_up", limits_are_summed_up);
  g_test_add_func ("/limits/wait_follows_drained_queue",
                   wait_follows_drained_queue);
  g_test_add_func ("/limits/patience_follows_target_and_deadline",
                   patience_follows_target_and_deadline);
  return g_test_run ();
}
