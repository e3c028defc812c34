#include "fake_owners.h"

/* As in router_report.c.  */
#define REPORT_MS 100

/* Rules of routers about owners and grants, step by step.  */

/* A silent owner costs 40 ms; its late grant goes back at once.  */
static void
test_late_owner (void)
{
  router_t *router = fake_router ();
  fake_ask_t late;

  fake_request (router, 0, 1, true, false);
  late = *fake_ask ();
  g_assert_cmpint (router_tick (router, 39), ==, DECIDE_OWNER_REPLY_MS);
  g_assert_cmpuint (fake_asks->len, ==, 1);
  router_tick (router, 40);
  g_assert_cmpuint (fake_asks->len, ==, 2);
  g_assert_true (g_array_index (fake_asks, fake_ask_t, 0).cancelled);
  g_assert_cmpuint (fake_ask ()->msg.pool, !=, late.msg.pool);
  fake_grant (router, 41, &late, 1, 500, 0);
  g_assert_cmpuint (fake_given->len, ==, 1);
  g_assert_cmpint (fake_last_given ()->msg.end.result, ==,
                   DECIDE_ATTEMPT_UNUSED);
  g_assert_false (fake_last_given ()->msg.keep);
  g_assert_cmpuint (fake_forwards->len, ==, 0);
  fake_grant (router, 42, fake_ask (), 2, 0, 0);
  g_assert_cmpuint (fake_forwards->len, ==, 1);
  g_assert_true (fake_done (router, 50, fake_forward ()->attempt,
                            DECIDE_ATTEMPT_ANSWERED));
  /* The silent one is asked last for a while.  */
  for (uint64_t id = 2; id < 12; id++)
    {
      fake_request (router, 60, id, true, false);
      g_assert_cmpuint (fake_ask ()->msg.pool, !=, late.msg.pool);
    }
  router_free (router);
}

/* The holder's grant ends before the owner's, also with clocks that differ by
   1%; a paused holder does not use it.  */
static void
test_validity (void)
{
  router_t *router = fake_router ();
  clock_ms_t owner_from = 30; /* the owner granted after a wait of 30 ms */

  fake_request (router, 0, 1, true, false);
  fake_grant (router, 35, fake_ask (), 1, DECIDE_LEND_MS, 30);
  g_assert_cmpint (fake_forward ()->start_by * 101 / 100, <=,
                   owner_from + DECIDE_LEND_MS);
  g_assert_cmpint (fake_forward ()->deadline * 101 / 100, <,
                   owner_from + DECIDE_LEND_MS + RUN_MS);
  g_assert_cmpint (fake_forward ()->deadline, <=, 800);
  /* An owner cannot have waited longer than the request is old.  */
  fake_request (router, 100, 2, true, false);
  fake_grant (router, 102, fake_ask (), 1, 0, 5000);
  g_assert_cmpint (fake_forward ()->start_by, <, 102 + RUN_MS);
  fake_request (router, 200, 3, true, false);
  fake_grant (router, 200 + RUN_MS, fake_ask (), 1, 0, 0);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  g_assert_cmpint (fake_last_given ()->msg.end.result, ==,
                   DECIDE_ATTEMPT_UNUSED);
  /* Configuration that is stale or a data centre that is out.  */
  fake_request (router, 1300, 4, true, false);
  fake_usable = false;
  fake_grant (router, 1301, fake_ask (), 1, 0, 0);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  router_free (router);
}

/* Lent grants serve the next requests without a message, until a recall, a
   cut-off attempt or the end of the lend time.  */
static void
test_lent (void)
{
  router_t *router = fake_router ();
  uint64_t held;

  fake_request (router, 0, 1, true, false);
  fake_grant (router, 1, fake_ask (), 1, DECIDE_LEND_MS, 0);
  held = fake_forward ()->attempt;
  fake_done (router, 6, held, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (fake_last_given ()->msg.keep);
  fake_request (router, 10, 2, true, false);
  g_assert_cmpuint (fake_asks->len, ==, 1);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  /* In use: a second request needs its own grant.  */
  fake_request (router, 11, 3, true, false);
  g_assert_cmpuint (fake_asks->len, ==, 2);
  router_recall (
      router, 12, fake_last_given ()->owner,
      &(decide_msg_grant_t){ .grant = fake_last_given ()->msg.grant });
  fake_done (router, 15, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (fake_last_given ()->msg.keep);
  fake_grant (router, 20, fake_ask (), 1, DECIDE_LEND_MS, 0);
  fake_done (router, 25, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (fake_last_given ()->msg.keep);
  fake_request (router, 30, 4, true, false);
  fake_done (router, 40, fake_forward ()->attempt, DECIDE_ATTEMPT_TIMEOUT);
  g_assert_false (fake_last_given ()->msg.keep);
  fake_grant (router, 41, fake_ask (), 1, DECIDE_LEND_MS, 0);
  fake_done (router, 45, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (router_held (router), ==, 1);
  /* An endpoint that is out or unknown is not used.  */
  fake_usable = false;
  fake_request (router, 46, 5, true, false);
  g_assert_cmpuint (router_held (router), ==, 0);
  fake_usable = true;
  fake_grant (router, 47, fake_ask (), 1, DECIDE_LEND_MS, 0);
  fake_done (router, 50, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  router_tick (router, 600);
  g_assert_cmpuint (router_held (router), ==, 0);
  g_assert_cmpint (fake_last_given ()->msg.end.result, ==,
                   DECIDE_ATTEMPT_UNUSED);
  router_free (router);
}

static void
use (router_t *router, clock_ms_t now, uint64_t id, decide_load_t load)
{
  decide_attempt_end_t end
      = { .status = 200, .latency_ms = (clock_ms_t)id, .load = load };

  fake_request (router, now, id, true, false);
  router_attempt_done (router, now, fake_forward ()->attempt, &end);
}

/* Guards against a message for each use of a lent grant, and against ends that
   are lost, out of order, or late when they say something new.  */
static void
test_reports (void)
{
  router_t *router = fake_router ();
  const decide_load_t fine = { .present = true, .identity = 7 };
  const decide_load_t cold = { true, .cold = true, .identity = 7 };
  const decide_load_t other = { true, .identity = 8 };
  uint64_t id = 2;

  fake_request (router, 0, 1, true, false);
  fake_grant (router, 0, fake_ask (), 1, DECIDE_LEND_MS, 0);
  router_attempt_done (router, 1, fake_forward ()->attempt,
                       &(decide_attempt_end_t){ .load = fine });
  g_assert_cmpuint (fake_given->len, ==, 1);
  while (id < 10)
    use (router, 2, id++, fine);
  g_assert_cmpuint (fake_given->len, ==, 2);
  g_assert_true (fake_last_given ()->msg.keep);
  g_assert_cmpuint (fake_last_given ()->msg.earlier_count, ==, 7);
  for (uint32_t i = 0; i < 7; i++)
    g_assert_cmpint (fake_last_given ()->msg.earlier[i].latency_ms, ==, i + 2);
  g_assert_cmpint (fake_last_given ()->msg.end.latency_ms, ==, 9);

  use (router, 10, id++, fine);
  use (router, 20, id++, fine);
  g_assert_cmpint (router_tick (router, 10 + REPORT_MS - 1), ==,
                   10 + REPORT_MS);
  g_assert_cmpuint (fake_given->len, ==, 2);
  router_tick (router, 10 + REPORT_MS);
  g_assert_cmpuint (fake_given->len, ==, 3);
  g_assert_true (fake_last_given ()->msg.keep);
  g_assert_cmpuint (fake_last_given ()->msg.earlier_count, ==, 1);

  use (router, 200, id++, fine);
  use (router, 200, id++, cold);
  g_assert_cmpuint (fake_given->len, ==, 4);
  use (router, 201, id++, other);
  g_assert_cmpuint (fake_given->len, ==, 5);
  g_assert_cmpuint (fake_last_given ()->msg.earlier_count, ==, 0);
  use (router, 202, id++, other);
  router_stop_lending (router, 203);
  g_assert_cmpuint (fake_given->len, ==, 6);
  g_assert_false (fake_last_given ()->msg.keep);
  g_assert_cmpuint (fake_last_given ()->msg.earlier_count, ==, 1);
  g_assert_cmpint (fake_last_given ()->msg.earlier[0].latency_ms, ==, id - 1);
  router_tick (router, 1000);
  g_assert_cmpuint (fake_given->len, ==, 6);
  router_free (router);
}

/* Idle grants on an endpoint that may have restarted go back, and the request
   is asked for again without the retry budget.  */
static void
test_closed (void)
{
  router_t *router = fake_router ();

  for (uint64_t id = 1; id <= 40; id++)
    {
      clock_ms_t now = 10 * (clock_ms_t)id;
      uint64_t closed;

      fake_request (router, now, id, true, false);
      fake_grant (router, now, fake_ask (), 1, DECIDE_LEND_MS, 0);
      closed = fake_forward ()->attempt;
      fake_request (router, now, id + 100, true, false);
      fake_grant (router, now, fake_ask (), 1, DECIDE_LEND_MS, 0);
      fake_done (router, now + 1, fake_forward ()->attempt,
                 DECIDE_ATTEMPT_ANSWERED);
      fake_done (router, now + 2, closed, DECIDE_ATTEMPT_CLOSED);
      g_assert_cmpint (fake_last_given ()->msg.end.result, ==,
                       DECIDE_ATTEMPT_CLOSED);
      g_assert_cmpuint (router_held (router), ==, 0);
      fake_grant (router, now + 3, fake_ask (), 2, 0, 0);
      g_assert_true (fake_done (router, now + 4, fake_forward ()->attempt,
                                DECIDE_ATTEMPT_ANSWERED));
    }
  g_assert_cmpuint (fake_refusals->len, ==, 0);
  router_free (router);
}

/* A grant from a queue is passed on to requests that wait in the same queue
   with enough priority, else it goes back.  */
static void
test_chain (void)
{
  router_t *router = fake_router ();

  fake_out[1] = fake_out[2] = true;
  fake_slots_free = 0;
  fake_priority = 2;
  fake_request (router, 0, 1, true, false);
  fake_grant (router, 1, fake_ask (), 1, 15, 0);
  fake_priority = 5;
  fake_request (router, 1, 2, true, false);
  router_queued (router, 2, fake_ask ()->owner, &fake_ask ()->msg);
  fake_priority = 2;
  fake_request (router, 3, 3, true, false);
  router_queued (router, 4, fake_ask ()->owner, &fake_ask ()->msg);
  fake_done (router, 8, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (fake_last_given ()->msg.keep);
  g_assert_true (fake_ask ()->cancelled);
  g_assert_cmpuint (fake_forward ()->request, ==, 3);
  fake_done (router, 12, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (fake_last_given ()->msg.keep);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  /* After the time it goes back though others wait.  */
  fake_priority = 5;
  fake_request (router, 20, 4, true, false);
  fake_grant (router, 20, fake_ask (), 1, 15, 0);
  fake_done (router, 36, fake_forward ()->attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (fake_last_given ()->msg.keep);
  router_free (router);
}

/* Guards against a request that waits longer in a queue than the way to free
   slots of another data centre takes, and against one that goes there for a
   short wait, for its last slot, or twice.  */
static void
test_leave_queue (void)
{
  static const struct
  {
    clock_ms_t wait_ms;
    uint16_t free;
    bool leaves;
  } cases[]
      = { { 3, 10, false }, { 4, 1, false }, { 4, 2, true }, { 50, 2, true } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      router_t *router = fake_router ();
      decide_msg_grant_t queued;

      fake_local[1] = fake_local[2] = false;
      fake_out[2] = true;
      fake_slots_free = cases[i].free;
      fake_request (router, 0, 1, true, false);
      g_assert_cmpuint (fake_ask ()->msg.pool, ==, 1);
      queued = fake_ask ()->msg;
      queued.wait_ms = cases[i].wait_ms;
      router_queued (router, 1, fake_ask ()->owner, &queued);
      g_assert_cmpint (g_array_index (fake_asks, fake_ask_t, 0).cancelled, ==,
                       cases[i].leaves);
      g_assert_cmpuint (fake_asks->len, ==, cases[i].leaves ? 2 : 1);
      if (cases[i].leaves)
        {
          g_assert_cmpuint (fake_ask ()->msg.pool, ==, 2);
          /* Its slots were taken meanwhile.  */
          queued = fake_ask ()->msg;
          queued.wait_ms = 50;
          router_queued (router, 5, fake_ask ()->owner, &queued);
          g_assert_cmpuint (fake_asks->len, ==, 2);
        }
      router_free (router);
    }
}

/* A request that nobody takes is refused at once with the earliest time, and
   no data centre that is out is asked.  */
static void
test_refusal (void)
{
  router_t *router = fake_router ();

  fake_out[1] = true;
  fake_local[2] = false;
  fake_request (router, 0, 1, true, false);
  g_assert_cmpuint (fake_ask ()->msg.pool, ==, 1);
  fake_refuse (router, 1, fake_ask (), DECIDE_REASON_QUEUE_FULL, 70);
  g_assert_cmpuint (fake_ask ()->msg.pool, ==, 3);
  fake_refuse (router, 3, fake_ask (), DECIDE_REASON_QUEUE_FULL, 30);
  g_assert_cmpuint (fake_refusals->len, ==, 1);
  g_assert_cmpint (fake_refusal ()->reason, ==, DECIDE_REASON_QUEUE_FULL);
  g_assert_cmpint (fake_refusal ()->ran, ==, DECIDE_RAN_NO);
  g_assert_cmpint (fake_refusal ()->retry_after_ms, ==, 30);
  fake_request (router, 10, 2, true, false);
  router_gone (router, 11, 2);
  g_assert_true (fake_ask ()->cancelled);
  router_tick (router, 5000);
  g_assert_cmpuint (fake_refusals->len, ==, 1);
  /* Running at its deadline.  */
  fake_request (router, 6000, 3, true, false);
  fake_grant (router, 6001, fake_ask (), 1, 0, 0);
  router_tick (router, 6800);
  g_assert_cmpint (fake_refusal ()->ran, ==, DECIDE_RAN_UNKNOWN);
  g_assert_cmpint (fake_refusal ()->reason, ==, DECIDE_REASON_DEADLINE);
  g_assert_cmpuint (fake_cancels->len, ==, 1);
  fake_done (router, 6801, fake_forward ()->attempt, DECIDE_ATTEMPT_CANCELLED);
  g_assert_cmpuint (fake_refusals->len, ==, 2);
  g_assert_cmpuint (router_held (router), ==, 0);
  /* Other data centres: not when 6 wait there as well, but always when the
     pools here have no slot at all, which are then left alone for a while.  */
  fake_slots_free = 0;
  fake_queued = 5;
  fake_seen = 6980;
  fake_request (router, 6990, 8, true, false);
  fake_refuse (router, 6991, fake_ask (), DECIDE_REASON_QUEUE_FULL, 20);
  g_assert_cmpuint (fake_ask ()->msg.pool, ==, 3);
  router_gone (router, 6992, 8);
  fake_queued = 6;
  fake_request (router, 7000, 4, true, false);
  fake_refuse (router, 7001, fake_ask (), DECIDE_REASON_QUEUE_FULL, 20);
  g_assert_cmpuint (fake_refusals->len, ==, 3);
  fake_request (router, 7010, 5, true, false);
  fake_refuse (router, 7011, fake_ask (), DECIDE_REASON_NO_CAPACITY, 100);
  g_assert_cmpuint (fake_ask ()->msg.pool, ==, 3);
  fake_request (router, 7020, 6, true, false);
  g_assert_cmpuint (fake_ask ()->msg.pool, ==, 3);
  fake_request (router, 7120, 7, true, false);
  g_assert_cmpuint (fake_ask ()->msg.pool, ==, 1);
  router_free (router);
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  fake_set_up ();
  g_test_add_func ("/router/late-owner", test_late_owner);
  g_test_add_func ("/router/validity", test_validity);
  g_test_add_func ("/router/lent", test_lent);
  g_test_add_func ("/router/reports", test_reports);
  g_test_add_func ("/router/closed", test_closed);
  g_test_add_func ("/router/chain", test_chain);
  g_test_add_func ("/router/leave-queue", test_leave_queue);
  g_test_add_func ("/router/refusal", test_refusal);
  status = g_test_run ();
  fake_tear_down ();
  return status;
}
