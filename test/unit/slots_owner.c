#include "pool.h"

#include <glib.h>

/* Rules of pools, step by step.  */

#define POOL 9
#define RUN_MS 1000
#define HOLDER 1
#define OTHER 2

static const decide_load_t plain = { .present = true, .identity = 5 };

static decide_attempt_end_t
answer (clock_ms_t latency_ms)
{
  return (decide_attempt_end_t){ .result = DECIDE_ATTEMPT_ANSWERED,
                                 .status = 200,
                                 .latency_ms = latency_ms,
                                 .load = plain };
}

static decide_attempt_end_t
ended (decide_attempt_result_t result)
{
  return (decide_attempt_end_t){ .result = result };
}

typedef struct
{
  decide_msg_type_t type;
  decide_id_t holder;
  decide_msg_grant_t msg;
} sent_t;

static GArray *sent;
static guint probes;

static void
record (decide_msg_type_t type, decide_id_t holder,
        const decide_msg_grant_t *msg)
{
  sent_t entry = { type, holder, *msg };

  g_array_append_val (sent, entry);
}

static void
on_granted (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record (DECIDE_MSG_GRANT, holder, msg);
}

static void
on_queued (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record (DECIDE_MSG_QUEUED, holder, msg);
}

static void
on_refused (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record (DECIDE_MSG_REFUSED, holder, msg);
}

static void
on_recall (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record (DECIDE_MSG_RECALL, holder, msg);
}

static void
on_probe (void *context, decide_id_t pool, decide_id_t endpoint)
{
  (void)context;
  (void)pool;
  (void)endpoint;
  probes++;
}

static pool_settings_t
settings (uint32_t endpoints, uint32_t slots)
{
  pool_settings_t wanted
      = { .id = POOL,
          .run_ms = RUN_MS,
          .queue_max = 5,
          /* above 2 for each slot */ .endpoint_count = endpoints };

  for (uint32_t i = 0; i < endpoints; i++)
    wanted.endpoints[i] = (pool_endpoint_t){ .id = i + 1, .slots = slots };
  return wanted;
}

static pool_t *
new_pool (uint32_t endpoints, uint32_t slots)
{
  pool_settings_t wanted = settings (endpoints, slots);
  pool_t *pool = pool_new (&wanted,
                           &(pool_callbacks_t){ .granted = on_granted,
                                                .queued = on_queued,
                                                .refused = on_refused,
                                                .recall = on_recall,
                                                .probe = on_probe },
                           100, 0);

  g_array_set_size (sent, 0);
  probes = 0;
  pool_resume (pool, 0);
  return pool;
}

/* Returns the last message.  */
static sent_t
ask (pool_t *pool, clock_ms_t now, decide_id_t holder, uint64_t request,
     uint32_t priority, clock_ms_t left_ms, bool lend)
{
  pool_request (pool, now, holder,
                &(decide_msg_grant_t){ .request = request,
                                       .priority = priority,
                                       .left_ms = left_ms,
                                       .lend_ms = lend ? 500 : 0 });
  return g_array_index (sent, sent_t, sent->len - 1);
}

static void
give (pool_t *pool, clock_ms_t now, decide_id_t holder, uint64_t grant,
      bool keep, decide_attempt_end_t end)
{
  pool_release (
      pool, now, holder,
      &(decide_msg_release_t){ .grant = grant, .keep = keep, .end = end });
}

static sent_t
last (void)
{
  return g_array_index (sent, sent_t, sent->len - 1);
}

/* Waiting requests are served by priority, then deadline.  */
static void
test_order (void)
{
  static const uint64_t wanted[] = { 14, 13, 12, 11 };
  pool_t *pool = new_pool (2, 1);
  sent_t grant = ask (pool, 0, HOLDER, 10, 3, 900, false);
  pool_settings_t few = settings (2, 1);

  g_assert_cmpint (grant.type, ==, DECIDE_MSG_GRANT);
  ask (pool, 0, OTHER, 9, 3, 900, false);
  ask (pool, 1, HOLDER, 11, 5, 300, false);
  ask (pool, 2, OTHER, 12, 3, 900, false);
  ask (pool, 3, HOLDER, 13, 3, 800, false);
  g_assert_cmpint (ask (pool, 4, OTHER, 14, 0, 1000, false).type, ==,
                   DECIDE_MSG_QUEUED);
  /* Full with 2 for each slot: a less urgent one is refused.  */
  g_assert_cmpint (ask (pool, 4, OTHER, 15, 6, 1000, false).msg.reason, ==,
                   DECIDE_REASON_QUEUE_FULL);
  for (guint i = 0; i < G_N_ELEMENTS (wanted); i++)
    {
      give (pool, 10 + 10 * i, grant.holder, grant.msg.grant, false,
            answer (9));
      grant = last ();
      g_assert_cmpint (grant.type, ==, DECIDE_MSG_GRANT);
      g_assert_cmpuint (grant.msg.request, ==, wanted[i]);
      /* While others wait, the holder may pass the grant on for a moment.  */
      g_assert_cmpint (grant.msg.lend_ms, ==, i < 3 ? 15 : 0);
      g_assert_cmpuint (grant.msg.queued, ==, 3 - i);
      g_assert_cmpuint (pool_grant_count (pool), ==, 2);
    }
  /* The profile may allow fewer.  */
  few.queue_max = 0;
  pool_configure (pool, 60, &few);
  g_assert_cmpint (ask (pool, 60, OTHER, 16, 0, 1000, false).msg.reason, ==,
                   DECIDE_REASON_QUEUE_FULL);
  few.queue_max = 1;
  pool_configure (pool, 60, &few);
  ask (pool, 60, OTHER, 17, 5, 1000, false);
  /* A more urgent one takes the place.  */
  g_assert_cmpint (ask (pool, 60, OTHER, 18, 0, 1000, false).type, ==,
                   DECIDE_MSG_QUEUED);
  g_assert_cmpuint (g_array_index (sent, sent_t, sent->len - 2).msg.request,
                    ==, 17);
  pool_free (pool);
}

/* Requests that cannot be served in time hear it at once, with a time.  */
static void
test_early_refusal (void)
{
  pool_t *pool = new_pool (1, 1);
  sent_t grant = ask (pool, 0, HOLDER, 1, 3, 900, false);
  sent_t refused;

  give (pool, 50, HOLDER, grant.msg.grant, false, answer (50));
  ask (pool, 50, HOLDER, 2, 3, 900, false);
  g_assert_cmpint (ask (pool, 50, HOLDER, 3, 3, 120, false).type, ==,
                   DECIDE_MSG_QUEUED);
  refused = ask (pool, 50, HOLDER, 4, 3, 130, false);
  g_assert_cmpint (refused.type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpint (refused.msg.reason, ==, DECIDE_REASON_DEADLINE);
  g_assert_cmpint (refused.msg.wait_ms, ==, 100);
  /* The first in the queue is refused when its time runs out.  */
  g_assert_cmpint (pool_tick (pool, 100), ==, 120);
  pool_tick (pool, 120);
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpuint (last ().msg.request, ==, 3);
  pool_suspend (pool, 130);
  g_assert_cmpint (ask (pool, 130, HOLDER, 5, 3, 900, false).msg.reason, ==,
                   DECIDE_REASON_NO_CAPACITY);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  pool_free (pool);
}

/* A lent grant takes one slot however often it is used; it is recalled when
   others wait.  */
static void
test_lending (void)
{
  pool_t *pool = new_pool (2, 1);
  sent_t lent = ask (pool, 0, HOLDER, 1, 3, 900, true);
  sent_t single = ask (pool, 0, OTHER, 2, 3, 900, true);

  g_assert_cmpint (lent.msg.lend_ms, ==, DECIDE_GRANT_REUSE_MS);
  g_assert_cmpint (single.msg.lend_ms, ==, 0);
  for (int i = 1; i <= 5; i++)
    give (pool, 5 * i, HOLDER, lent.msg.grant, true, answer (5));
  g_assert_cmpuint (pool_grant_count (pool), ==, 2);
  ask (pool, 30, OTHER, 3, 3, 900, true);
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_RECALL);
  g_assert_cmpuint (last ().msg.grant, ==, lent.msg.grant);
  give (pool, 32, HOLDER, lent.msg.grant, false,
        ended (DECIDE_ATTEMPT_UNUSED));
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_GRANT);
  g_assert_cmpuint (last ().msg.request, ==, 3);
  g_assert_cmpint (last ().msg.wait_ms, ==, 2);
  pool_free (pool);
}

/* Guards against ends of one report that are left out, counted as one, or
   taken in another order.  */
static void
test_report (void)
{
  pool_t *pool = new_pool (1, 3);
  sent_t lent = ask (pool, 0, HOLDER, 1, 3, 900, true);
  decide_msg_release_t report
      = { .grant = lent.msg.grant, .keep = true, .earlier_count = 7 };
  decide_attempt_end_t failed = answer (5);
  pool_endpoint_view_t view;

  report.end = answer (5);
  for (uint32_t i = 0; i < 7; i++)
    report.earlier[i] = answer (5);
  pool_release (pool, 300, HOLDER, &report);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 2);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  /* Two failures, an answer and two failures are no run of three.  */
  failed.status = 500;
  report.earlier_count = 4;
  report.earlier[0] = report.earlier[1] = report.earlier[3] = failed;
  report.end = failed;
  pool_release (pool, 301, HOLDER, &report);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 2);
  pool_free (pool);
}

/* A slot whose holder is silent stays taken until lend and run time are over;
   wrong or repeated releases free nothing.  */
static void
test_expiry (void)
{
  pool_t *pool = new_pool (2, 1);
  sent_t lent = ask (pool, 0, HOLDER, 1, 3, 9000, true);
  sent_t single = ask (pool, 0, OTHER, 2, 3, 9000, true);

  give (pool, 1, OTHER, lent.msg.grant, false, answer (1));
  give (pool, 1, HOLDER, 77, false, answer (1));
  pool_tick (pool, RUN_MS - 1);
  g_assert_cmpuint (pool_grant_count (pool), ==, 2);
  pool_tick (pool, RUN_MS);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  pool_tick (pool, RUN_MS + DECIDE_GRANT_REUSE_MS - 1);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  pool_tick (pool, RUN_MS + DECIDE_GRANT_REUSE_MS);
  g_assert_cmpuint (pool_grant_count (pool), ==, 0);
  give (pool, RUN_MS, OTHER, single.msg.grant, false, answer (1));
  pool_cancel (pool, RUN_MS, OTHER, 2);
  g_assert_cmpuint (pool_grant_count (pool), ==, 0);
  pool_free (pool);
}

/* After a cut-off attempt the server may run on for a moment.  */
static void
test_settling (void)
{
  pool_t *pool = new_pool (1, 1);
  sent_t grant = ask (pool, 0, HOLDER, 1, 3, 900, false);

  ask (pool, 1, OTHER, 2, 3, 900, false);
  give (pool, 10, HOLDER, grant.msg.grant, false,
        ended (DECIDE_ATTEMPT_CANCELLED));
  give (pool, 11, HOLDER, grant.msg.grant, false, answer (1));
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_QUEUED);
  g_assert_cmpint (pool_tick (pool, 11), ==, 30);
  pool_tick (pool, 30);
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_GRANT);
  pool_free (pool);
}

/* Guards against a next owner that takes warm endpoints as cold, so that a
   planned stop costs capacity, or sends to one that drains.  */
static void
test_limits_move (void)
{
  pool_t *pool = new_pool (3, 3);
  pool_t *next = new_pool (3, 2);
  decide_handover_limit_t moved[4];
  decide_load_t draining
      = { .present = true, .identity = 5, .draining = true };
  decide_attempt_end_t end = answer (5);
  pool_endpoint_view_t view;
  decide_pool_load_t load;

  for (int i = 0; i < 2; i++)
    pool_import_limit (pool, 0,
                       &(decide_handover_limit_t){
                           .endpoint = i + 1U, .limit = 3, .identity = 5 });
  pool_get_load (pool, &load);
  g_assert_cmpuint (load.free, ==, 7);
  end.load = draining;
  ask (pool, 0, HOLDER, 1, 3, 900, false);
  while (last ().msg.endpoint != 1)
    ask (pool, 0, HOLDER, 1, 3, 900, false);
  give (pool, 1, HOLDER, last ().msg.grant, false, end);
  /* Endpoint 3 is cold and is left out.  */
  g_assert_cmpuint (pool_export_limits (pool, moved, 4), ==, 2);
  for (int i = 0; i < 2; i++)
    pool_import_limit (next, 2, &moved[i]);
  g_assert_cmpint (pool_get_endpoint (next, 0, &view), ==, 0);
  g_assert_true (view.draining);
  g_assert_cmpint (pool_get_endpoint (next, 1, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 2);
  g_assert_false (view.cold);
  g_assert_cmpint (pool_get_endpoint (next, 2, &view), ==, 0);
  g_assert_true (view.cold);
  pool_free (pool);
  pool_free (next);
}

/* Grants survive changes of the settings and of the owner.  */
static void
test_configure (void)
{
  pool_t *pool = new_pool (2, 1);
  pool_settings_t changed = settings (2, 1);
  decide_handover_grant_t moved[4];
  pool_t *next;

  ask (pool, 0, HOLDER, 1, 3, 900, true);
  ask (pool, 0, HOLDER, 2, 3, 900, false);
  changed.endpoint_count = 1;
  changed.endpoints[0].id = 2; /* endpoint 1 is lent */
  g_assert_cmpint (pool_configure (pool, 5, &changed), ==, 0);
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_RECALL);
  changed = settings (2, 1);
  g_assert_cmpint (pool_configure (pool, 6, &changed), ==, 0);
  g_assert_cmpuint (pool_grant_count (pool), ==, 2);
  g_assert_cmpint (ask (pool, 7, OTHER, 3, 3, 900, false).type, !=,
                   DECIDE_MSG_GRANT);
  g_assert_cmpuint (pool_export_grants (pool, 10, 0, moved, 4), ==, 2);
  next = new_pool (2, 1);
  for (int i = 0; i < 2; i++)
    {
      g_assert_cmpint (pool_import_grant (next, 12, &moved[i]), ==, 0);
      g_assert_cmpint (pool_import_grant (next, 12, &moved[i]), ==, 0);
    }
  g_assert_cmpuint (pool_grant_count (next), ==, 2);
  ask (next, 12, OTHER, 4, 3, 9000, false);
  g_assert_cmpint (last ().type, !=, DECIDE_MSG_GRANT);
  give (next, 14, HOLDER, moved[0].grant, false, answer (5));
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_GRANT);
  changed.out = true;
  ask (next, 15, OTHER, 5, 3, 9000, false);
  g_assert_cmpint (last ().type, !=, DECIDE_MSG_GRANT);
  pool_configure (next, 16, &changed);
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpint (ask (next, 17, OTHER, 6, 3, 900, false).msg.reason, ==,
                   DECIDE_REASON_NO_CAPACITY);
  pool_free (next);
  pool_free (pool);
}

/* Runs requests through the pool; @slow is the latency of endpoint 1.  */
static void
run_pool (pool_t *pool, clock_ms_t from, clock_ms_t fast, clock_ms_t slow)
{
  for (clock_ms_t now = from; now < from + 1000; now++)
    {
      sent_t grant = ask (pool, now, HOLDER, (uint64_t)now, 3, 900, false);
      clock_ms_t latency = grant.msg.endpoint == 1 ? slow : fast;

      g_assert_cmpint (grant.type, ==, DECIDE_MSG_GRANT);
      give (pool, now, HOLDER, grant.msg.grant, false, answer (latency));
    }
}

/* A slow endpoint is cut; a slow pool is not taken for slow endpoints.  */
static void
test_slow (void)
{
  pool_t *pool = new_pool (4, 3);
  pool_endpoint_view_t view;

  run_pool (pool, 0, 5, 5);
  run_pool (pool, 1000, 50, 50);
  for (uint32_t i = 0; pool_get_endpoint (pool, i, &view) == 0; i++)
    g_assert_cmpuint (view.limit, ==, 3);
  run_pool (pool, 2000, 50, 500);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 1);
  for (uint32_t i = 1; pool_get_endpoint (pool, i, &view) == 0; i++)
    g_assert_cmpuint (view.limit, ==, 3);
  pool_free (pool);
}

/* Guards against full load on servers that were restarted while their data
   centre was out.  */
static void
test_return (void)
{
  pool_t *pool = new_pool (2, 3);
  pool_settings_t changed = settings (2, 3);
  pool_endpoint_view_t view;

  run_pool (pool, 0, 5, 5);
  run_pool (pool, 1000, 5, 5);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 3);
  changed.out = true;
  g_assert_cmpint (pool_configure (pool, 2100, &changed), ==, 0);
  changed.out = false;
  g_assert_cmpint (pool_configure (pool, 3000, &changed), ==, 0);
  for (uint32_t i = 0; pool_get_endpoint (pool, i, &view) == 0; i++)
    g_assert_cmpuint (view.limit, ==, 1);
  pool_free (pool);
}

/* One probe at a time in a pool; without a result it fails in time.  Nobody
   waits for endpoints that must be probed first.  */
static void
test_probes (void)
{
  pool_t *pool = new_pool (2, 1);

  for (uint64_t i = 1; i <= 2; i++)
    {
      sent_t grant = ask (pool, 0, HOLDER, i, 3, 900, false);

      if (i == 2)
        ask (pool, 0, OTHER, 3, 3, 900, false);
      give (pool, 1, HOLDER, grant.msg.grant, false,
            ended (DECIDE_ATTEMPT_NOT_SENT));
    }
  g_assert_cmpint (last ().type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpuint (last ().msg.request, ==, 3);
  g_assert_cmpint (pool_tick (pool, 1), ==, 101);
  pool_tick (pool, 101);
  g_assert_cmpuint (probes, ==, 1);
  pool_tick (pool, 2100);
  g_assert_cmpuint (probes, ==, 1);
  pool_tick (pool, 2101);
  g_assert_cmpuint (probes, ==, 2);
  pool_free (pool);
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  sent = g_array_new (FALSE, FALSE, sizeof (sent_t));
  g_test_add_func ("/pool/order", test_order);
  g_test_add_func ("/pool/early-refusal", test_early_refusal);
  g_test_add_func ("/pool/lending", test_lending);
  g_test_add_func ("/pool/report", test_report);
  g_test_add_func ("/pool/expiry", test_expiry);
  g_test_add_func ("/pool/settling", test_settling);
  g_test_add_func ("/pool/configure", test_configure);
  g_test_add_func ("/pool/limits-move", test_limits_move);
  g_test_add_func ("/pool/return", test_return);
  g_test_add_func ("/pool/slow", test_slow);
  g_test_add_func ("/pool/probes", test_probes);
  status = g_test_run ();
  g_array_free (sent, TRUE);
  return status;
}
