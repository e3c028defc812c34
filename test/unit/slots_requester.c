#include "fake_owners.h"

/* Time after which a router reports an attempt under a reusable grant at the
   latest; must have the same value as in router_report.c.  */
#define REPORT_DELAY_MS 100

/* Tests of how a router handles owners and grants.  */

/* Guards against a wait of more than 40 ms for an owner that does not answer,
   and against a grant that arrives after that time and is used or kept.  */
static void
test_late_owner (void)
{
  router_t *router = fake_router_new ();
  fake_grant_request_t late_request;

  fake_submit_request (router, 0, 1, true, false);
  late_request = *fake_last_grant_request ();
  g_assert_cmpint (router_tick (router, 39), ==,
                   DECIDE_OWNER_REPLY_TIMEOUT_MS);
  g_assert_cmpuint (fake_grant_requests->len, ==, 1);
  router_tick (router, 40);
  g_assert_cmpuint (fake_grant_requests->len, ==, 2);
  g_assert_true (
      g_array_index (fake_grant_requests, fake_grant_request_t, 0).cancelled);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, !=,
                    late_request.msg.pool);
  fake_send_grant (router, 41, &late_request, 1, 500, 0);
  g_assert_cmpuint (fake_releases->len, ==, 1);
  g_assert_cmpint (fake_last_release ()->msg.end.result, ==,
                   DECIDE_ATTEMPT_UNUSED);
  g_assert_false (fake_last_release ()->msg.keep);
  g_assert_cmpuint (fake_forwards->len, ==, 0);
  fake_send_grant (router, 42, fake_last_grant_request (), 2, 0, 0);
  g_assert_cmpuint (fake_forwards->len, ==, 1);
  g_assert_true (fake_end_attempt (router, 50, fake_last_forward ()->attempt,
                                   DECIDE_ATTEMPT_ANSWERED));
  /* For 500 ms, no grants are requested from the owner that did not answer if
     another owner can be asked.  */
  for (uint64_t id = 2; id < 12; id++)
    {
      fake_submit_request (router, 60, id, true, false);
      g_assert_cmpuint (fake_last_grant_request ()->msg.pool, !=,
                        late_request.msg.pool);
    }
  router_free (router);
}

/* Guards against a holder that uses a grant after it has expired at the owner,
   with clock rates that differ by 1% or after a pause of the holder.  */
static void
test_grant_expiry (void)
{
  router_t *router = fake_router_new ();
  clock_ms_t granted_at = 30; /* at the owner, after a wait of 30 ms */

  fake_submit_request (router, 0, 1, true, false);
  fake_send_grant (router, 35, fake_last_grant_request (), 1,
                   DECIDE_GRANT_REUSE_MS, 30);
  g_assert_cmpint (fake_last_forward ()->start_by * 101 / 100, <=,
                   granted_at + DECIDE_GRANT_REUSE_MS);
  g_assert_cmpint (fake_last_forward ()->deadline * 101 / 100, <,
                   granted_at + DECIDE_GRANT_REUSE_MS + RUN_MS);
  g_assert_cmpint (fake_last_forward ()->deadline, <=, 800);
  /* The wait that the owner states in the grant is used only up to the age of
     the request.  */
  fake_submit_request (router, 100, 2, true, false);
  fake_send_grant (router, 102, fake_last_grant_request (), 1, 0, 5000);
  g_assert_cmpint (fake_last_forward ()->start_by, <, 102 + RUN_MS);
  fake_submit_request (router, 200, 3, true, false);
  fake_send_grant (router, 200 + RUN_MS, fake_last_grant_request (), 1, 0, 0);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  g_assert_cmpint (fake_last_release ()->msg.end.result, ==,
                   DECIDE_ATTEMPT_UNUSED);
  /* A grant isn't used if the configuration is stale or the data centre is out
     of service.  */
  fake_submit_request (router, 1300, 4, true, false);
  fake_usable = false;
  fake_send_grant (router, 1301, fake_last_grant_request (), 1, 0, 0);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  router_free (router);
}

/* A reusable grant serves later requests without a grant request, until it is
   recalled, an attempt times out or its reuse time ends.  */
static void
test_grant_reuse (void)
{
  router_t *router = fake_router_new ();
  uint64_t attempt;

  fake_submit_request (router, 0, 1, true, false);
  fake_send_grant (router, 1, fake_last_grant_request (), 1,
                   DECIDE_GRANT_REUSE_MS, 0);
  attempt = fake_last_forward ()->attempt;
  fake_end_attempt (router, 6, attempt, DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (fake_last_release ()->msg.keep);
  fake_submit_request (router, 10, 2, true, false);
  g_assert_cmpuint (fake_grant_requests->len, ==, 1);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  /* The grant is in use, so a second request needs its own.  */
  fake_submit_request (router, 11, 3, true, false);
  g_assert_cmpuint (fake_grant_requests->len, ==, 2);
  router_handle_recall (
      router, 12, fake_last_release ()->owner,
      &(decide_msg_grant_t){ .grant = fake_last_release ()->msg.grant });
  fake_end_attempt (router, 15, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (fake_last_release ()->msg.keep);
  fake_send_grant (router, 20, fake_last_grant_request (), 1,
                   DECIDE_GRANT_REUSE_MS, 0);
  fake_end_attempt (router, 25, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (fake_last_release ()->msg.keep);
  fake_submit_request (router, 30, 4, true, false);
  fake_end_attempt (router, 40, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_TIMEOUT);
  g_assert_false (fake_last_release ()->msg.keep);
  fake_send_grant (router, 41, fake_last_grant_request (), 1,
                   DECIDE_GRANT_REUSE_MS, 0);
  fake_end_attempt (router, 45, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  g_assert_cmpuint (router_count_grants (router), ==, 1);
  /* An endpoint that is out of service or unknown is not used.  */
  fake_usable = false;
  fake_submit_request (router, 46, 5, true, false);
  g_assert_cmpuint (router_count_grants (router), ==, 0);
  fake_usable = true;
  fake_send_grant (router, 47, fake_last_grant_request (), 1,
                   DECIDE_GRANT_REUSE_MS, 0);
  fake_end_attempt (router, 50, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  router_tick (router, 600);
  g_assert_cmpuint (router_count_grants (router), ==, 0);
  g_assert_cmpint (fake_last_release ()->msg.end.result, ==,
                   DECIDE_ATTEMPT_UNUSED);
  router_free (router);
}

/* Runs a request under an idle reusable grant.  Its latency in ms is @id, so
   that the order of the reported results can be checked.  */
static void
complete_request (router_t *router, clock_ms_t now, uint64_t id,
                  decide_load_t load)
{
  decide_attempt_end_t end
      = { .status = 200, .latency_ms = (clock_ms_t)id, .load = load };

  fake_submit_request (router, now, id, true, false);
  router_attempt_done (router, now, fake_last_forward ()->attempt, &end);
}

/* Guards against a message to the owner for each use of a reusable grant, and
   against reports of uses that are lost, out of order, or delayed although the
   endpoint's state has changed.  */
static void
test_reports (void)
{
  router_t *router = fake_router_new ();
  const decide_load_t warm = { .present = true, .identity = 7 };
  const decide_load_t cold = { true, .cold = true, .identity = 7 };
  const decide_load_t other_process = { true, .identity = 8 };
  uint64_t id = 2;

  fake_submit_request (router, 0, 1, true, false);
  fake_send_grant (router, 0, fake_last_grant_request (), 1,
                   DECIDE_GRANT_REUSE_MS, 0);
  router_attempt_done (router, 1, fake_last_forward ()->attempt,
                       &(decide_attempt_end_t){ .load = warm });
  g_assert_cmpuint (fake_releases->len, ==, 1);
  while (id < 10)
    complete_request (router, 2, id++, warm);
  g_assert_cmpuint (fake_releases->len, ==, 2);
  g_assert_true (fake_last_release ()->msg.keep);
  g_assert_cmpuint (fake_last_release ()->msg.earlier_count, ==, 7);
  for (uint32_t i = 0; i < 7; i++)
    g_assert_cmpint (fake_last_release ()->msg.earlier[i].latency_ms, ==,
                     i + 2);
  g_assert_cmpint (fake_last_release ()->msg.end.latency_ms, ==, 9);

  complete_request (router, 10, id++, warm);
  complete_request (router, 20, id++, warm);
  g_assert_cmpint (router_tick (router, 10 + REPORT_DELAY_MS - 1), ==,
                   10 + REPORT_DELAY_MS);
  g_assert_cmpuint (fake_releases->len, ==, 2);
  router_tick (router, 10 + REPORT_DELAY_MS);
  g_assert_cmpuint (fake_releases->len, ==, 3);
  g_assert_true (fake_last_release ()->msg.keep);
  g_assert_cmpuint (fake_last_release ()->msg.earlier_count, ==, 1);

  complete_request (router, 200, id++, warm);
  complete_request (router, 200, id++, cold);
  g_assert_cmpuint (fake_releases->len, ==, 4);
  complete_request (router, 201, id++, other_process);
  g_assert_cmpuint (fake_releases->len, ==, 5);
  g_assert_cmpuint (fake_last_release ()->msg.earlier_count, ==, 0);
  complete_request (router, 202, id++, other_process);
  router_stop_grant_reuse (router, 203);
  g_assert_cmpuint (fake_releases->len, ==, 6);
  g_assert_false (fake_last_release ()->msg.keep);
  g_assert_cmpuint (fake_last_release ()->msg.earlier_count, ==, 1);
  g_assert_cmpint (fake_last_release ()->msg.earlier[0].latency_ms, ==,
                   id - 1);
  router_tick (router, 1000);
  g_assert_cmpuint (fake_releases->len, ==, 6);
  router_free (router);
}

/* When a backend server has closed a connection, it may have restarted: the
   idle grants on the endpoint are returned, and the request is tried again
   without a token of the retry budget.  */
static void
test_closed_connection (void)
{
  router_t *router = fake_router_new ();

  for (uint64_t id = 1; id <= 40; id++)
    {
      clock_ms_t now = 10 * (clock_ms_t)id;
      uint64_t closed_attempt;

      fake_submit_request (router, now, id, true, false);
      fake_send_grant (router, now, fake_last_grant_request (), 1,
                       DECIDE_GRANT_REUSE_MS, 0);
      closed_attempt = fake_last_forward ()->attempt;
      fake_submit_request (router, now, id + 100, true, false);
      fake_send_grant (router, now, fake_last_grant_request (), 1,
                       DECIDE_GRANT_REUSE_MS, 0);
      fake_end_attempt (router, now + 1, fake_last_forward ()->attempt,
                        DECIDE_ATTEMPT_ANSWERED);
      fake_end_attempt (router, now + 2, closed_attempt,
                        DECIDE_ATTEMPT_CLOSED);
      g_assert_cmpint (fake_last_release ()->msg.end.result, ==,
                       DECIDE_ATTEMPT_CLOSED);
      g_assert_cmpuint (router_count_grants (router), ==, 0);
      fake_send_grant (router, now + 3, fake_last_grant_request (), 2, 0, 0);
      g_assert_true (fake_end_attempt (router, now + 4,
                                       fake_last_forward ()->attempt,
                                       DECIDE_ATTEMPT_ANSWERED));
    }
  g_assert_cmpuint (fake_refusals->len, ==, 0);
  router_free (router);
}

/* A reusable grant from a pool in which requests wait may be reused only for a
   request of the same holder that waits there too and is at least as urgent as
   the grant's priority.  If there is none, the grant is returned.  */
static void
test_chain (void)
{
  router_t *router = fake_router_new ();

  fake_out_of_service[1] = fake_out_of_service[2] = true;
  fake_free_slots = 0;
  fake_priority = 2;
  fake_submit_request (router, 0, 1, true, false);
  fake_send_grant (router, 1, fake_last_grant_request (), 1, 15, 0);
  fake_priority = 5;
  fake_submit_request (router, 1, 2, true, false);
  router_handle_queued (router, 2, fake_last_grant_request ()->owner,
                        &fake_last_grant_request ()->msg);
  fake_priority = 2;
  fake_submit_request (router, 3, 3, true, false);
  router_handle_queued (router, 4, fake_last_grant_request ()->owner,
                        &fake_last_grant_request ()->msg);
  fake_end_attempt (router, 8, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  g_assert_true (fake_last_release ()->msg.keep);
  g_assert_true (fake_last_grant_request ()->cancelled);
  g_assert_cmpuint (fake_last_forward ()->request, ==, 3);
  fake_end_attempt (router, 12, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (fake_last_release ()->msg.keep);
  g_assert_cmpuint (fake_forwards->len, ==, 2);
  /* After its reuse time, the grant is returned even if requests wait.  */
  fake_priority = 5;
  fake_submit_request (router, 20, 4, true, false);
  fake_send_grant (router, 20, fake_last_grant_request (), 1, 15, 0);
  fake_end_attempt (router, 36, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_ANSWERED);
  g_assert_false (fake_last_release ()->msg.keep);
  router_free (router);
}

/* Guards against a request that waits in a local queue although a pool in
   another data centre has free slots and is reached sooner.  Guards also
   against a request that leaves the queue because of a short wait, for the
   last free slot of the other pool, or for a second time.  */
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
      router_t *router = fake_router_new ();
      decide_msg_grant_t queued;

      fake_local[1] = fake_local[2] = false;
      fake_out_of_service[2] = true;
      fake_free_slots = cases[i].free;
      fake_submit_request (router, 0, 1, true, false);
      g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 1);
      queued = fake_last_grant_request ()->msg;
      queued.wait_ms = cases[i].wait_ms;
      router_handle_queued (router, 1, fake_last_grant_request ()->owner,
                            &queued);
      g_assert_cmpint (
          g_array_index (fake_grant_requests, fake_grant_request_t, 0)
              .cancelled,
          ==, cases[i].leaves);
      g_assert_cmpuint (fake_grant_requests->len, ==, cases[i].leaves ? 2 : 1);
      if (cases[i].leaves)
        {
          g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 2);
          /* The other pool's slots were taken in the meantime.  */
          queued = fake_last_grant_request ()->msg;
          queued.wait_ms = 50;
          router_handle_queued (router, 5, fake_last_grant_request ()->owner,
                                &queued);
          g_assert_cmpuint (fake_grant_requests->len, ==, 2);
        }
      router_free (router);
    }
}

/* A request that all owners refuse is refused at once, with the shortest of
   their retry-after times.  No grants are requested from a pool that is out of
   service.  */
static void
test_refusal (void)
{
  router_t *router = fake_router_new ();

  fake_out_of_service[1] = true;
  fake_local[2] = false;
  fake_submit_request (router, 0, 1, true, false);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 1);
  fake_send_refusal (router, 1, fake_last_grant_request (),
                     DECIDE_REASON_QUEUE_FULL, 70);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 3);
  fake_send_refusal (router, 3, fake_last_grant_request (),
                     DECIDE_REASON_QUEUE_FULL, 30);
  g_assert_cmpuint (fake_refusals->len, ==, 1);
  g_assert_cmpint (fake_last_refusal ()->reason, ==, DECIDE_REASON_QUEUE_FULL);
  g_assert_cmpint (fake_last_refusal ()->ran, ==, DECIDE_RAN_NO);
  g_assert_cmpint (fake_last_refusal ()->retry_after_ms, ==, 30);
  fake_submit_request (router, 10, 2, true, false);
  router_cancel_request (router, 11, 2);
  g_assert_true (fake_last_grant_request ()->cancelled);
  router_tick (router, 5000);
  g_assert_cmpuint (fake_refusals->len, ==, 1);
  /* A request that is running at its deadline has an unknown outcome.  */
  fake_submit_request (router, 6000, 3, true, false);
  fake_send_grant (router, 6001, fake_last_grant_request (), 1, 0, 0);
  router_tick (router, 6800);
  g_assert_cmpint (fake_last_refusal ()->ran, ==, DECIDE_RAN_UNKNOWN);
  g_assert_cmpint (fake_last_refusal ()->reason, ==, DECIDE_REASON_DEADLINE);
  g_assert_cmpuint (fake_cancels->len, ==, 1);
  fake_end_attempt (router, 6801, fake_last_forward ()->attempt,
                    DECIDE_ATTEMPT_CANCELLED);
  g_assert_cmpuint (fake_refusals->len, ==, 2);
  g_assert_cmpuint (router_count_grants (router), ==, 0);
  /* When the local queue is full, a grant is requested from the pool in
     another data centre only if fewer than 6 requests wait there.  When the
     local pool has no usable slot at all, the grant is always requested from
     the other pool, and for the retry-after time, here 100 ms, the local pool
     is only used as a fallback.  */
  fake_free_slots = 0;
  fake_queued = 5;
  fake_heartbeat_at = 6980;
  fake_submit_request (router, 6990, 8, true, false);
  fake_send_refusal (router, 6991, fake_last_grant_request (),
                     DECIDE_REASON_QUEUE_FULL, 20);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 3);
  router_cancel_request (router, 6992, 8);
  fake_queued = 6;
  fake_submit_request (router, 7000, 4, true, false);
  fake_send_refusal (router, 7001, fake_last_grant_request (),
                     DECIDE_REASON_QUEUE_FULL, 20);
  g_assert_cmpuint (fake_refusals->len, ==, 3);
  fake_submit_request (router, 7010, 5, true, false);
  fake_send_refusal (router, 7011, fake_last_grant_request (),
                     DECIDE_REASON_NO_CAPACITY, 100);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 3);
  fake_submit_request (router, 7020, 6, true, false);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 3);
  fake_submit_request (router, 7120, 7, true, false);
  g_assert_cmpuint (fake_last_grant_request ()->msg.pool, ==, 1);
  router_free (router);
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  fake_set_up ();
  g_test_add_func ("/router/late-owner", test_late_owner);
  g_test_add_func ("/router/validity", test_grant_expiry);
  g_test_add_func ("/router/lent", test_grant_reuse);
  g_test_add_func ("/router/reports", test_reports);
  g_test_add_func ("/router/closed", test_closed_connection);
  g_test_add_func ("/router/chain", test_chain);
  g_test_add_func ("/router/leave-queue", test_leave_queue);
  g_test_add_func ("/router/refusal", test_refusal);
  status = g_test_run ();
  fake_tear_down ();
  return status;
}
