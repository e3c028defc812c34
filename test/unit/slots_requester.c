#include "budget.h"
#include "policy.h"
#include "pool.h"
#include "router.h"

#include <glib.h>

/* Rules of routers, budgets and baselines, step by step.  The test plays the
   owners: pool P belongs to owner 100 + P.  */

#define POOLS 3
#define SERVICE 4
#define RUN_MS 1000

typedef struct
{
  decide_id_t owner;
  decide_msg_grant_t msg;
  bool cancelled;
} ask_t;

typedef struct
{
  decide_id_t owner;
  decide_msg_release_t msg;
} given_t;

static GArray *asks;
static GArray *given;
static GArray *forwards;
static GArray *cancels;
static GArray *refusals;
static bool usable;
static uint16_t slots_free;
static uint32_t priority; /* of requests and grants */
static bool local[POOLS];
static bool out[POOLS];
static decide_rng_t rng;

static uint32_t
cb_candidates (void *context, decide_id_t service,
               router_candidate_t *candidates, uint32_t max)
{
  (void)context;
  (void)service;
  (void)max;
  for (uint32_t i = 0; i < POOLS; i++)
    candidates[i] = (router_candidate_t){ .pool = i + 1,
                                          .owner = i + 101,
                                          .local = local[i],
                                          .out = out[i],
                                          .free = slots_free };
  return POOLS;
}

static bool
cb_usable (void *context, decide_id_t service, decide_id_t pool,
           decide_id_t endpoint)
{
  (void)context;
  (void)service;
  (void)pool;
  (void)endpoint;
  return usable;
}

static void
cb_ask (void *context, decide_id_t owner, const decide_msg_grant_t *msg)
{
  ask_t ask = { owner, *msg, false };

  (void)context;
  g_array_append_val (asks, ask);
}

static void
cb_cancel_ask (void *context, decide_id_t owner, const decide_msg_grant_t *msg)
{
  (void)context;
  for (guint i = 0; i < asks->len; i++)
    {
      ask_t *ask = &g_array_index (asks, ask_t, i);

      if (ask->owner == owner && ask->msg.request == msg->request)
        ask->cancelled = true;
    }
}

static void
cb_release (void *context, decide_id_t owner, const decide_msg_release_t *msg)
{
  given_t entry = { owner, *msg };

  (void)context;
  g_array_append_val (given, entry);
}

static void
cb_forward (void *context, const router_forward_t *forward)
{
  (void)context;
  g_array_append_val (forwards, *forward);
}

static void
cb_cancel (void *context, uint64_t attempt)
{
  (void)context;
  g_array_append_val (cancels, attempt);
}

static void
cb_refuse (void *context, const decide_refusal_t *refusal)
{
  (void)context;
  g_assert_cmpint (refusal->retry_after_ms, >, 0);
  g_array_append_val (refusals, *refusal);
}

static router_t *
new_router (void)
{
  static const router_callbacks_t callbacks = {
    .candidates = cb_candidates,
    .usable = cb_usable,
    .ask = cb_ask,
    .cancel_ask = cb_cancel_ask,
    .release = cb_release,
    .forward = cb_forward,
    .cancel = cb_cancel,
    .refuse = cb_refuse,
  };
  GArray *all[] = { asks, given, forwards, cancels, refusals };

  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    g_array_set_size (all[i], 0);
  usable = true;
  slots_free = 10;
  priority = 0;
  for (int i = 0; i < POOLS; i++)
    {
      local[i] = true;
      out[i] = false;
    }
  decide_rng_seed (&rng, 3);
  return router_new (&callbacks, &rng, 0);
}

static void
request (router_t *router, clock_ms_t now, uint64_t id, bool idempotent,
         bool hedge)
{
  router_request (router, now,
                  &(router_request_t){ .id = id,
                                       .service = SERVICE,
                                       .idempotent = idempotent,
                                       .retry = true,
                                       .priority = priority,
                                       .hedge = hedge,
                                       .hedge_after_ms = 20,
                                       .run_ms = RUN_MS,
                                       .deadline = now + 800 });
}

static const ask_t *
last_ask (void)
{
  return &g_array_index (asks, ask_t, asks->len - 1);
}

static const router_forward_t *
last_forward (void)
{
  return &g_array_index (forwards, router_forward_t, forwards->len - 1);
}

static const decide_refusal_t *
last_refusal (void)
{
  return &g_array_index (refusals, decide_refusal_t, refusals->len - 1);
}

static const given_t *
last_given (void)
{
  return &g_array_index (given, given_t, given->len - 1);
}

static void
grant (router_t *router, clock_ms_t now, const ask_t *ask,
       decide_id_t endpoint, clock_ms_t lend_ms, clock_ms_t wait_ms)
{
  static uint64_t number = 5000;

  router_granted (router, now, ask->owner,
                  &(decide_msg_grant_t){ .request = ask->msg.request,
                                         .grant = ++number,
                                         .pool = ask->msg.pool,
                                         .endpoint = endpoint,
                                         .run_ms = RUN_MS,
                                         .lend_ms = lend_ms,
                                         .wait_ms = wait_ms,
                                         .priority = priority,
                                         .queued = slots_free == 0 });
}

static void
refuse (router_t *router, clock_ms_t now, const ask_t *ask,
        decide_reason_t reason, clock_ms_t wait_ms)
{
  router_refused (router, now, ask->owner,
                  &(decide_msg_grant_t){ .request = ask->msg.request,
                                         .pool = ask->msg.pool,
                                         .reason = reason,
                                         .wait_ms = wait_ms });
}

static bool
done (router_t *router, clock_ms_t now, uint64_t attempt,
      decide_attempt_result_t result)
{
  return router_attempt_done (router, now, attempt,
                              &(decide_attempt_end_t){ .result = result,
                                                       .status = 200,
                                                       .latency_ms = 5 });
}

/* A silent owner costs 40 ms; its late grant goes back at once.  */
static void
test_late_owner (void)
{
  router_t *router = new_router ();
  ask_t late;

  request (router, 0, 1, true, false);
  late = *last_ask ();
  g_assert_cmpint (router_tick (router, 39), ==, DECIDE_OWNER_REPLY_MS);
  g_assert_cmpuint (asks->len, ==, 1);
  router_tick (router, 40);
  g_assert_cmpuint (asks->len, ==, 2);
  g_assert_true (g_array_index (asks, ask_t, 0).cancelled);
  g_assert_cmpuint (last_ask ()->msg.pool, !=, late.msg.pool);
  grant (router, 41, &late, 1, 500, 0);
  g_assert_cmpuint (given->len, ==, 1);
  g_assert_cmpint (last_given ()->msg.end.result, ==, DECIDE_ATTEMPT_UNUSED);
  g_assert_false (last_given ()->msg.keep);
  g_assert_cmpuint (forwards->len, ==, 0);
  grant (router, 42, last_ask (), 2, 0, 0);
  g_assert_cmpuint (forwards->len, ==, 1);
  g_assert_true (
      done (router, 50, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED));
  /* The silent one is asked last for a while.  */
  for (uint64_t id = 2; id < 12; id++)
    {
      request (router, 60, id, true, false);
      g_assert_cmpuint (last_ask ()->msg.pool, !=, late.msg.pool);
    }
  router_free (router);
}

/* The holder's grant ends before the owner's, also with clocks that differ by
   1%; a paused holder does not use it.  */
static void
test_validity (void)
{
  router_t *router = new_router ();
  clock_ms_t owner_from = 30; /* the owner granted after a wait of 30 ms */

  request (router, 0, 1, true, false);
  grant (router, 35, last_ask (), 1, DECIDE_LEND_MS, 30);
  g_assert_cmpint (last_forward ()->start_by * 101 / 100, <=,
                   owner_from + DECIDE_LEND_MS);
  g_assert_cmpint (last_forward ()->deadline * 101 / 100, <,
                   owner_from + DECIDE_LEND_MS + RUN_MS);
  g_assert_cmpint (last_forward ()->deadline, <=, 800);
  /* An owner cannot have waited longer than the request is old.  */
  request (router, 100, 2, true, false);
  grant (router, 102, last_ask (), 1, 0, 5000);
  g_assert_cmpint (last_forward ()->start_by, <, 102 + RUN_MS);
  request (router, 200, 3, true, false);
  grant (router, 200 + RUN_MS, last_ask (), 1, 0, 0);
  g_assert_cmpuint (forwards->len, ==, 2);
  g_assert_cmpint (last_given ()->msg.end.result, ==, DECIDE_ATTEMPT_UNUSED);
  /* Configuration that is stale or a data centre that is out.  */
  request (router, 1300, 4, true, false);
  usable = false;
  grant (router, 1301, last_ask (), 1, 0, 0);
  g_assert_cmpuint (forwards->len, ==, 2);
  router_free (router);
}

/* Lent grants serve the next requests without a message, until a recall, a
   cut-off attempt or the end of the lend time.  */
static void
test_lent (void)
{
  router_t *router = new_router ();
  uint64_t held;

  request (router, 0, 1, true, false);
  grant (router, 1, last_ask (), 1, DECIDE_LEND_MS, 0);
  held = last_forward ()->attempt;
  done (router, 6, held, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (last_given ()->msg.keep);
  request (router, 10, 2, true, false);
  g_assert_cmpuint (asks->len, ==, 1);
  g_assert_cmpuint (forwards->len, ==, 2);
  /* In use: a second request needs its own grant.  */
  request (router, 11, 3, true, false);
  g_assert_cmpuint (asks->len, ==, 2);
  router_recall (router, 12, last_given ()->owner,
                 &(decide_msg_grant_t){ .grant = last_given ()->msg.grant });
  done (router, 15, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (last_given ()->msg.keep);
  grant (router, 20, last_ask (), 1, DECIDE_LEND_MS, 0);
  done (router, 25, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (last_given ()->msg.keep);
  request (router, 30, 4, true, false);
  done (router, 40, last_forward ()->attempt, DECIDE_ATTEMPT_TIMEOUT);
  g_assert_false (last_given ()->msg.keep);
  grant (router, 41, last_ask (), 1, DECIDE_LEND_MS, 0);
  done (router, 45, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (router_held (router), ==, 1);
  /* An endpoint that is out or unknown is not used.  */
  usable = false;
  request (router, 46, 5, true, false);
  g_assert_cmpuint (router_held (router), ==, 0);
  usable = true;
  grant (router, 47, last_ask (), 1, DECIDE_LEND_MS, 0);
  done (router, 50, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  router_tick (router, 600);
  g_assert_cmpuint (router_held (router), ==, 0);
  g_assert_cmpint (last_given ()->msg.end.result, ==, DECIDE_ATTEMPT_UNUSED);
  router_free (router);
}

/* A grant from a queue is passed on to requests that wait in the same queue
   with enough priority, else it goes back.  */
static void
test_chain (void)
{
  router_t *router = new_router ();

  out[1] = out[2] = true;
  slots_free = 0;
  priority = 2;
  request (router, 0, 1, true, false);
  grant (router, 1, last_ask (), 1, 15, 0);
  priority = 5;
  request (router, 1, 2, true, false);
  router_queued (router, 2, last_ask ()->owner, &last_ask ()->msg);
  priority = 2;
  request (router, 3, 3, true, false);
  router_queued (router, 4, last_ask ()->owner, &last_ask ()->msg);
  done (router, 8, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (last_given ()->msg.keep);
  g_assert_true (last_ask ()->cancelled);
  g_assert_cmpuint (last_forward ()->request, ==, 3);
  done (router, 12, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (last_given ()->msg.keep);
  g_assert_cmpuint (forwards->len, ==, 2);
  /* After the time it goes back though others wait.  */
  priority = 5;
  request (router, 20, 4, true, false);
  grant (router, 20, last_ask (), 1, 15, 0);
  done (router, 36, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (last_given ()->msg.keep);
  router_free (router);
}

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
    { DECIDE_ATTEMPT_CANCELLED, false },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int idempotent = 0; idempotent < 2; idempotent++)
      {
        router_t *router = new_router ();

        request (router, 0, 1, idempotent, true);
        grant (router, 1, last_ask (), 1, 0, 0);
        router_tick (router, 30);
        if (!idempotent)
          g_assert_cmpuint (asks->len, ==, 1);
        g_assert_false (
            done (router, 31, last_forward ()->attempt, cases[i].result));
        if (cases[i].again || idempotent)
          {
            g_assert_cmpuint (asks->len, ==, 2);
            g_assert_cmpuint (refusals->len, ==, 0);
            router_tick (router, 800);
          }
        else
          g_assert_cmpuint (asks->len, ==, 1);
        g_assert_cmpuint (refusals->len, ==, 1);
        g_assert_cmpint (last_refusal ()->ran, ==,
                         cases[i].again ? DECIDE_RAN_NO : DECIDE_RAN_UNKNOWN);
        g_assert_cmpuint (router_pending (router), ==, 0);
        router_free (router);
      }
}

/* Retries stay below a tenth of the requests, and a small floor.  */
static void
test_retry_budget (void)
{
  router_t *router = new_router ();

  for (uint64_t id = 1; id <= 1000; id++)
    {
      guint answered = asks->len;

      request (router, 10, id, true, false);
      while (answered < asks->len)
        {
          grant (router, 10, &g_array_index (asks, ask_t, answered++), 1, 0,
                 0);
          done (router, 10, last_forward ()->attempt, DECIDE_ATTEMPT_SHED);
        }
    }
  g_assert_cmpuint (refusals->len, ==, 1000);
  g_assert_cmpuint (forwards->len, >=, 1090);
  g_assert_cmpuint (forwards->len, <=, 1100 + BUDGET_RETRY_FLOOR_PER_S);
  router_free (router);
}

/* Hedges: only for requests that may repeat, into free slots, one in twenty;
   the loser is cancelled and its answer is not the request's.  */
static void
test_hedge (void)
{
  router_t *router = new_router ();
  uint64_t first;
  uint64_t second;

  for (uint64_t id = 1; id <= 20; id++)
    {
      request (router, 0, id, true, false);
      grant (router, 1, last_ask (), 1, 0, 0);
      done (router, 2, last_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
    }
  request (router, 100, 50, true, true);
  grant (router, 101, last_ask (), 1, 0, 0);
  first = last_forward ()->attempt;
  router_tick (router, 121);
  g_assert_cmpuint (asks->len, ==, 22);
  g_assert_cmpint (last_ask ()->msg.lend_ms, ==, 0);
  grant (router, 122, last_ask (), 2, 0, 0);
  second = last_forward ()->attempt;
  g_assert_true (last_forward ()->hedge);
  g_assert_true (done (router, 125, second, DECIDE_ATTEMPT_ANSWERED));
  g_assert_cmpuint (cancels->len, ==, 1);
  g_assert_false (done (router, 126, first, DECIDE_ATTEMPT_ANSWERED));
  /* The budget is empty now.  */
  request (router, 200, 51, true, true);
  grant (router, 201, last_ask (), 1, 0, 0);
  router_tick (router, 230);
  g_assert_cmpuint (asks->len, ==, 23);
  /* A hedge does not wait in a queue.  */
  for (uint64_t id = 60; id <= 80; id++)
    request (router, 230, id, true, false);
  request (router, 300, 90, true, true);
  grant (router, 301, last_ask (), 1, 0, 0);
  router_tick (router, 330);
  router_queued (router, 331, last_ask ()->owner, &last_ask ()->msg);
  g_assert_true (last_ask ()->cancelled);
  router_free (router);
}

/* A request that nobody takes is refused at once with the earliest time, and
   no data centre that is out is asked.  */
static void
test_refusal (void)
{
  router_t *router = new_router ();

  out[1] = true;
  local[2] = false;
  request (router, 0, 1, true, false);
  g_assert_cmpuint (last_ask ()->msg.pool, ==, 1);
  refuse (router, 1, last_ask (), DECIDE_REASON_QUEUE_FULL, 70);
  g_assert_cmpuint (last_ask ()->msg.pool, ==, 3);
  refuse (router, 3, last_ask (), DECIDE_REASON_QUEUE_FULL, 30);
  g_assert_cmpuint (refusals->len, ==, 1);
  g_assert_cmpint (last_refusal ()->reason, ==, DECIDE_REASON_QUEUE_FULL);
  g_assert_cmpint (last_refusal ()->ran, ==, DECIDE_RAN_NO);
  g_assert_cmpint (last_refusal ()->retry_after_ms, ==, 30);
  request (router, 10, 2, true, false);
  router_gone (router, 11, 2);
  g_assert_true (last_ask ()->cancelled);
  router_tick (router, 5000);
  g_assert_cmpuint (refusals->len, ==, 1);
  /* Running at its deadline.  */
  request (router, 6000, 3, true, false);
  grant (router, 6001, last_ask (), 1, 0, 0);
  router_tick (router, 6800);
  g_assert_cmpint (last_refusal ()->ran, ==, DECIDE_RAN_UNKNOWN);
  g_assert_cmpint (last_refusal ()->reason, ==, DECIDE_REASON_DEADLINE);
  g_assert_cmpuint (cancels->len, ==, 1);
  done (router, 6801, last_forward ()->attempt, DECIDE_ATTEMPT_CANCELLED);
  g_assert_cmpuint (refusals->len, ==, 2);
  g_assert_cmpuint (router_held (router), ==, 0);
  /* Other data centres: not when both are full, but always when the pools
     here have no slot at all, which are then left alone for a while.  */
  slots_free = 0;
  request (router, 7000, 4, true, false);
  refuse (router, 7001, last_ask (), DECIDE_REASON_QUEUE_FULL, 20);
  g_assert_cmpuint (refusals->len, ==, 3);
  request (router, 7010, 5, true, false);
  refuse (router, 7011, last_ask (), DECIDE_REASON_NO_CAPACITY, 100);
  g_assert_cmpuint (last_ask ()->msg.pool, ==, 3);
  request (router, 7020, 6, true, false);
  g_assert_cmpuint (last_ask ()->msg.pool, ==, 3);
  request (router, 7120, 7, true, false);
  g_assert_cmpuint (last_ask ()->msg.pool, ==, 1);
  router_free (router);
}

/* Each baseline follows its name.  */
static void
test_policies (void)
{
  policy_endpoint_t endpoints[3] = { { .local = 2, .reported = true },
                                     { .local = 0, .reported = true },
                                     { .local = 1, .reported = true } };
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
  asks = g_array_new (FALSE, FALSE, sizeof (ask_t));
  given = g_array_new (FALSE, FALSE, sizeof (given_t));
  forwards = g_array_new (FALSE, FALSE, sizeof (router_forward_t));
  cancels = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  refusals = g_array_new (FALSE, FALSE, sizeof (decide_refusal_t));
  g_test_add_func ("/router/late-owner", test_late_owner);
  g_test_add_func ("/router/validity", test_validity);
  g_test_add_func ("/router/lent", test_lent);
  g_test_add_func ("/router/chain", test_chain);
  g_test_add_func ("/router/run-once", test_run_once);
  g_test_add_func ("/router/retry-budget", test_retry_budget);
  g_test_add_func ("/router/hedge", test_hedge);
  g_test_add_func ("/router/refusal", test_refusal);
  g_test_add_func ("/policy", test_policies);
  status = g_test_run ();
  g_array_free (asks, TRUE);
  g_array_free (given, TRUE);
  g_array_free (forwards, TRUE);
  g_array_free (cancels, TRUE);
  g_array_free (refusals, TRUE);
  return status;
}
