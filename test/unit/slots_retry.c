#include "fake_owners.h"
#include "budget.h"
#include "policy.h"

/* Rules of retries, hedges and the baselines, step by step.  */

/* A request that may have run is not run again unless it may repeat.  */
static void
test_run_once (void)
{
  static const struct
  {
    decide_attempt_result_t result;
    bool again;
  } cases[] = {
    { DECIDE_ATTEMPT_SHED, true },       { DECIDE_ATTEMPT_NOT_SENT, true },
    { DECIDE_ATTEMPT_UNUSED, true },     { DECIDE_ATTEMPT_RESET, false },
    { DECIDE_ATTEMPT_TIMEOUT, false },   { DECIDE_ATTEMPT_BROKEN, false },
    { DECIDE_ATTEMPT_CANCELLED, false }, { DECIDE_ATTEMPT_CLOSED, true },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int idempotent = 0; idempotent < 2; idempotent++)
      {
        router_t *router = fake_router ();

        fake_request (router, 0, 1, idempotent, true);
        fake_grant (router, 1, fake_ask (), 1, 0, 0);
        router_tick (router, 30);
        if (!idempotent)
          g_assert_cmpuint (fake_asks->len, ==, 1);
        g_assert_false (
            fake_done (router, 31, fake_forward ()->attempt, cases[i].result));
        if (cases[i].again || idempotent)
          {
            g_assert_cmpuint (fake_asks->len, ==, 2);
            g_assert_cmpuint (fake_refusals->len, ==, 0);
            router_tick (router, 800);
          }
        else
          g_assert_cmpuint (fake_asks->len, ==, 1);
        g_assert_cmpuint (fake_refusals->len, ==, 1);
        g_assert_cmpint (fake_refusal ()->ran, ==,
                         cases[i].again ? DECIDE_RAN_NO : DECIDE_RAN_UNKNOWN);
        g_assert_cmpuint (router_pending (router), ==, 0);
        router_free (router);
      }
}

/* Return: attempts of 1,000 idempotent requests that all end with @result. */
static guint
count_attempts (decide_attempt_result_t result)
{
  router_t *router = fake_router ();

  for (uint64_t id = 1; id <= 1000; id++)
    {
      guint answered = fake_asks->len;

      fake_request (router, 10, id, true, false);
      while (answered < fake_asks->len)
        {
          fake_grant (router, 10,
                      &g_array_index (fake_asks, fake_ask_t, answered++), 1, 0,
                      0);
          fake_done (router, 10, fake_forward ()->attempt, result);
        }
    }
  g_assert_cmpuint (fake_refusals->len, ==, 1000);
  router_free (router);
  return fake_forwards->len;
}

/* Retries stay below a tenth of the requests, and a small floor.  */
static void
test_retry_budget (void)
{
  guint attempts = count_attempts (DECIDE_ATTEMPT_SHED);

  g_assert_cmpuint (attempts, >=, 1090);
  g_assert_cmpuint (attempts, <=, 1100 + BUDGET_RETRY_FLOOR_PER_S);
}

/* Guards against retries after unknown outcomes that multiply over the levels
   of nested calls: the profile's share bounds them, without a floor, and
   leaves the retries of requests that did not run as they are.  */
static void
test_unknown_budget (void)
{
  guint attempts;

  fake_unknown_per_mille = 4;
  attempts = count_attempts (DECIDE_ATTEMPT_RESET);
  g_assert_cmpuint (attempts, >=, 1003);
  g_assert_cmpuint (attempts, <=, 1004);
  g_assert_cmpuint (count_attempts (DECIDE_ATTEMPT_SHED), >=, 1090);
  fake_unknown_per_mille = DECIDE_RETRIES_PER_MILLE;
  g_assert_cmpuint (count_attempts (DECIDE_ATTEMPT_RESET), >=, 1090);
}

/* Hedges: only for requests that may repeat, into free slots, one in twenty;
   the loser is cancelled and its answer is not the request's.  */
static void
test_hedge (void)
{
  router_t *router = fake_router ();
  uint64_t first;
  uint64_t second;

  for (uint64_t id = 1; id <= 20; id++)
    {
      fake_request (router, 0, id, true, false);
      fake_grant (router, 1, fake_ask (), 1, 0, 0);
      fake_done (router, 2, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
    }
  fake_request (router, 100, 50, true, true);
  fake_grant (router, 101, fake_ask (), 1, 0, 0);
  first = fake_forward ()->attempt;
  router_tick (router, 121);
  g_assert_cmpuint (fake_asks->len, ==, 22);
  g_assert_cmpint (fake_ask ()->msg.lend_ms, ==, 0);
  fake_grant (router, 122, fake_ask (), 2, 0, 0);
  second = fake_forward ()->attempt;
  g_assert_true (fake_forward ()->hedge);
  g_assert_true (fake_done (router, 125, second, DECIDE_ATTEMPT_ANSWERED));
  g_assert_cmpuint (fake_cancels->len, ==, 1);
  g_assert_false (fake_done (router, 126, first, DECIDE_ATTEMPT_ANSWERED));
  /* The budget is empty now.  */
  fake_request (router, 200, 51, true, true);
  fake_grant (router, 201, fake_ask (), 1, 0, 0);
  router_tick (router, 230);
  g_assert_cmpuint (fake_asks->len, ==, 23);
  /* A hedge does not wait in a queue.  */
  for (uint64_t id = 60; id <= 80; id++)
    fake_request (router, 230, id, true, false);
  fake_request (router, 300, 90, true, true);
  fake_grant (router, 301, fake_ask (), 1, 0, 0);
  router_tick (router, 330);
  router_queued (router, 331, fake_ask ()->owner, &fake_ask ()->msg);
  g_assert_true (fake_ask ()->cancelled);
  router_free (router);
}

/* Each baseline follows its name.  */
static void
test_policies (void)
{
  policy_endpoint_t endpoints[3] = { { .local = 2, .reported = true },
                                     { .local = 0, .reported = true },
                                     { .local = 1, .reported = true } };
  decide_rng_t rng;
  policy_state_t state = { .rng = &rng };
  guint seen = 0;

  decide_rng_seed (&rng, 1);
  endpoints[0].in_flight = 9;
  for (int i = 0; i < 50; i++)
    {
      seen |= 1U << policy_find ("random")->choose (&state, endpoints, 3);
      g_assert_cmpuint (
          policy_find ("round-robin")->choose (&state, endpoints, 3), ==,
          i % 3);
      g_assert_cmpuint (
          policy_find ("least-outstanding")->choose (&state, endpoints, 3), ==,
          1);
      g_assert_cmpuint (
          policy_find ("power-of-two")->choose (&state, endpoints, 3), !=, 0);
    }
  g_assert_cmpuint (seen, ==, 7);
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
