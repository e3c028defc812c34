#include "fake_owners.h"
#include "budget.h"
#include "policy.h"

/* Tests of retries, hedges and the baseline policies.  */

/* Guards against a second attempt of a request that is not idempotent, if the
   first attempt may have run.  */
static void
test_run_once (void)
{
  static const struct
  {
    decide_attempt_result_t result;
    bool can_run_again;
  } cases[] = {
    { DECIDE_ATTEMPT_SHED, true },       { DECIDE_ATTEMPT_NOT_SENT, true },
    { DECIDE_ATTEMPT_UNUSED, true },     { DECIDE_ATTEMPT_RESET, false },
    { DECIDE_ATTEMPT_TIMEOUT, false },   { DECIDE_ATTEMPT_BROKEN, false },
    { DECIDE_ATTEMPT_CANCELLED, false }, { DECIDE_ATTEMPT_CLOSED, true },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int idempotent = 0; idempotent < 2; idempotent++)
      {
        router_t *router = fake_router_new ();

        fake_submit_request (router, 0, 1, idempotent, true);
        fake_send_grant (router, 1, fake_last_grant_request (), 1, 0, 0);
        router_tick (router, 30);
        if (!idempotent)
          g_assert_cmpuint (fake_grant_requests->len, ==, 1);
        g_assert_false (fake_end_attempt (
            router, 31, fake_last_forward ()->attempt, cases[i].result));
        if (cases[i].can_run_again || idempotent)
          {
            g_assert_cmpuint (fake_grant_requests->len, ==, 2);
            g_assert_cmpuint (fake_refusals->len, ==, 0);
            router_tick (router, 800);
          }
        else
          g_assert_cmpuint (fake_grant_requests->len, ==, 1);
        g_assert_cmpuint (fake_refusals->len, ==, 1);
        g_assert_cmpint (fake_last_refusal ()->ran, ==,
                         cases[i].can_run_again ? DECIDE_RAN_NO
                                                : DECIDE_RAN_UNKNOWN);
        g_assert_cmpuint (router_count_pending (router), ==, 0);
        router_free (router);
      }
}

/* Runs 1,000 idempotent requests of which every attempt ends with @result.
   Return: the number of attempts.  */
static guint
count_attempts (decide_attempt_result_t result)
{
  router_t *router = fake_router_new ();

  for (uint64_t id = 1; id <= 1000; id++)
    {
      guint granted_count = fake_grant_requests->len;

      fake_submit_request (router, 10, id, true, false);
      while (granted_count < fake_grant_requests->len)
        {
          fake_send_grant (router, 10,
                           &g_array_index (fake_grant_requests,
                                           fake_grant_request_t,
                                           granted_count++),
                           1, 0, 0);
          fake_end_attempt (router, 10, fake_last_forward ()->attempt, result);
        }
    }
  g_assert_cmpuint (fake_refusals->len, ==, 1000);
  router_free (router);
  return fake_forwards->len;
}

/* The number of retries stays below a tenth of the number of requests, plus a
   small minimum rate.  */
static void
test_retry_budget (void)
{
  guint attempts = count_attempts (DECIDE_ATTEMPT_SHED);

  g_assert_cmpuint (attempts, >=, 1090);
  g_assert_cmpuint (attempts, <=, 1100 + BUDGET_MIN_RETRIES_PER_S);
}

/* Guards against too many retries after unknown outcomes, which multiply over
   the levels of nested calls.  The ratio in the profile limits them, without a
   minimum rate; it does not affect retries of requests that did not run.  */
static void
test_unknown_budget (void)
{
  guint attempts;

  fake_retries_after_unknown_per_mille = 4;
  attempts = count_attempts (DECIDE_ATTEMPT_RESET);
  g_assert_cmpuint (attempts, >=, 1003);
  g_assert_cmpuint (attempts, <=, 1004);
  g_assert_cmpuint (count_attempts (DECIDE_ATTEMPT_SHED), >=, 1090);
  fake_retries_after_unknown_per_mille = DECIDE_RETRIES_PER_MILLE;
  g_assert_cmpuint (count_attempts (DECIDE_ATTEMPT_RESET), >=, 1090);
}

/* Only idempotent requests are hedged.  Hedges use only free slots, and are
   limited to one in twenty requests.  The slower attempt is cancelled, and its
   answer is ignored.  */
static void
test_hedge (void)
{
  router_t *router = fake_router_new ();
  uint64_t first;
  uint64_t second;

  for (uint64_t id = 1; id <= 20; id++)
    {
      fake_submit_request (router, 0, id, true, false);
      fake_send_grant (router, 1, fake_last_grant_request (), 1, 0, 0);
      fake_end_attempt (router, 2, fake_last_forward ()->attempt,
                        DECIDE_ATTEMPT_ANSWERED);
    }
  fake_submit_request (router, 100, 50, true, true);
  fake_send_grant (router, 101, fake_last_grant_request (), 1, 0, 0);
  first = fake_last_forward ()->attempt;
  router_tick (router, 121);
  g_assert_cmpuint (fake_grant_requests->len, ==, 22);
  g_assert_cmpint (fake_last_grant_request ()->msg.lend_ms, ==, 0);
  fake_send_grant (router, 122, fake_last_grant_request (), 2, 0, 0);
  second = fake_last_forward ()->attempt;
  g_assert_true (fake_last_forward ()->hedge);
  g_assert_true (
      fake_end_attempt (router, 125, second, DECIDE_ATTEMPT_ANSWERED));
  g_assert_cmpuint (fake_cancels->len, ==, 1);
  g_assert_false (
      fake_end_attempt (router, 126, first, DECIDE_ATTEMPT_ANSWERED));
  /* The hedge budget is now exhausted.  */
  fake_submit_request (router, 200, 51, true, true);
  fake_send_grant (router, 201, fake_last_grant_request (), 1, 0, 0);
  router_tick (router, 230);
  g_assert_cmpuint (fake_grant_requests->len, ==, 23);
  /* A hedge does not wait in a queue.  */
  for (uint64_t id = 60; id <= 80; id++)
    fake_submit_request (router, 230, id, true, false);
  fake_submit_request (router, 300, 90, true, true);
  fake_send_grant (router, 301, fake_last_grant_request (), 1, 0, 0);
  router_tick (router, 330);
  router_handle_queued (router, 331, fake_last_grant_request ()->owner,
                        &fake_last_grant_request ()->msg);
  g_assert_true (fake_last_grant_request ()->cancelled);
  router_free (router);
}

/* Each baseline load-balancing policy chooses endpoints as its name says.  */
static void
test_policies (void)
{
  policy_endpoint_t endpoints[3] = { { .local = 2, .reported = true },
                                     { .local = 0, .reported = true },
                                     { .local = 1, .reported = true } };
  decide_rng_t rng;
  policy_state_t state = { .rng = &rng };
  guint chosen_bits = 0; /* indices that `random' has chosen */

  decide_rng_seed (&rng, 1);
  endpoints[0].in_flight = 9;
  for (int i = 0; i < 50; i++)
    {
      chosen_bits
          |= 1U << policy_find ("random")->choose (&state, endpoints, 3);
      g_assert_cmpuint (
          policy_find ("round-robin")->choose (&state, endpoints, 3), ==,
          i % 3);
      g_assert_cmpuint (
          policy_find ("least-outstanding")->choose (&state, endpoints, 3), ==,
          1);
      g_assert_cmpuint (
          policy_find ("power-of-two")->choose (&state, endpoints, 3), !=, 0);
    }
  g_assert_cmpuint (chosen_bits, ==, 7);
  g_assert_null (policy_find ("slots")->choose);
  g_assert_null (policy_find ("none"));
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  fake_set_up ();
  g_test_add_func ("/router/run-once", test_run_once);
  g_test_add_func ("/router/retry-budget", test_retry_budget);
  g_test_add_func ("/router/unknown-budget", test_unknown_budget);
  g_test_add_func ("/router/hedge", test_hedge);
  g_test_add_func ("/policy", test_policies);
  status = g_test_run ();
  fake_tear_down ();
  return status;
}
