#include "pool.h"

#include <glib.h>

/* Tests of pools: grants, the queue, recalls, expiry and handover.  */

#define POOL 9
#define RUN_MS 1000
/* Instances that request grants.  */
#define HOLDER 1
#define OTHER 2

static const decide_load_t load_report = { .present = true, .identity = 5 };

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

typedef struct
{
  decide_msg_type_t type;
  decide_id_t holder;
  decide_msg_grant_t msg;
} sent_message_t;

static GArray *sent_messages; /* messages that the pools sent to holders */
static guint probes;          /* number of probes started */

static void
record_message (decide_msg_type_t type, decide_id_t holder,
                const decide_msg_grant_t *msg)
{
  sent_message_t entry = { type, holder, *msg };

  g_array_append_val (sent_messages, entry);
}

static void
on_granted (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record_message (DECIDE_MSG_GRANT, holder, msg);
}

static void
on_queued (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record_message (DECIDE_MSG_QUEUED, holder, msg);
}

static void
on_refused (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record_message (DECIDE_MSG_REFUSED, holder, msg);
}

static void
on_recall (void *context, decide_id_t holder, const decide_msg_grant_t *msg)
{
  (void)context;
  record_message (DECIDE_MSG_RECALL, holder, msg);
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
make_settings (uint32_t endpoints, uint32_t slots)
{
  pool_settings_t settings
      = { .id = POOL,
          .run_ms = RUN_MS,
          /* With 2 slots, only 4 requests may wait: 2 for each slot.  */
          .queue_max = 5,
          .endpoint_count = endpoints };

  for (uint32_t i = 0; i < endpoints; i++)
    settings.endpoints[i] = (pool_endpoint_t){ .id = i + 1, .slots = slots };
  return settings;
}

static pool_t *
new_pool (uint32_t endpoints, uint32_t slots)
{
  pool_settings_t settings = make_settings (endpoints, slots);
  pool_t *pool = pool_new (&settings,
                           &(pool_callbacks_t){ .granted = on_granted,
                                                .queued = on_queued,
                                                .refused = on_refused,
                                                .recall = on_recall,
                                                .probe = on_probe },
                           100, 0);

  g_array_set_size (sent_messages, 0);
  probes = 0;
  pool_resume (pool, 0);
  return pool;
}

/* Sends a grant request and returns the last message that the pool sent.  */
static sent_message_t
request_grant (pool_t *pool, clock_ms_t now, decide_id_t holder,
               uint64_t request, uint32_t priority, clock_ms_t left_ms,
               bool reusable)
{
  pool_handle_grant_request (
      pool, now, holder,
      &(decide_msg_grant_t){ .request = request,
                             .priority = priority,
                             .left_ms = left_ms,
                             .lend_ms = reusable ? 500 : 0 });
  return g_array_index (sent_messages, sent_message_t, sent_messages->len - 1);
}

static void
release_grant (pool_t *pool, clock_ms_t now, decide_id_t holder,
               uint64_t grant, bool keep, decide_attempt_end_t end)
{
  pool_handle_release (
      pool, now, holder,
      &(decide_msg_release_t){ .grant = grant, .keep = keep, .end = end });
}

static sent_message_t
last_message (void)
{
  return g_array_index (sent_messages, sent_message_t, sent_messages->len - 1);
}

/* Guards against waiting requests that are not served in the order of
   priority, then deadline, and against a queue that is longer than its
   maximum.  */
static void
test_order (void)
{
  static const uint64_t expected[] = { 14, 13, 12, 11 };
  pool_t *pool = new_pool (2, 1);
  sent_message_t grant = request_grant (pool, 0, HOLDER, 10, 3, 900, false);
  pool_settings_t short_queue = make_settings (2, 1);

  g_assert_cmpint (grant.type, ==, DECIDE_MSG_GRANT);
  request_grant (pool, 0, OTHER, 9, 3, 900, false);
  request_grant (pool, 1, HOLDER, 11, 5, 300, false);
  request_grant (pool, 2, OTHER, 12, 3, 900, false);
  request_grant (pool, 3, HOLDER, 13, 3, 800, false);
  g_assert_cmpint (request_grant (pool, 4, OTHER, 14, 0, 1000, false).type, ==,
                   DECIDE_MSG_QUEUED);
  /* The queue is full with 2 requests for each slot, so a less urgent request
     is refused.  */
  g_assert_cmpint (
      request_grant (pool, 4, OTHER, 15, 6, 1000, false).msg.reason, ==,
      DECIDE_REASON_QUEUE_FULL);
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      release_grant (pool, 10 + 10 * i, grant.holder, grant.msg.grant, false,
                     response_end (9));
      grant = last_message ();
      g_assert_cmpint (grant.type, ==, DECIDE_MSG_GRANT);
      g_assert_cmpuint (grant.msg.request, ==, expected[i]);
      /* While requests wait, the holder may reuse the grant for 15 ms.  */
      g_assert_cmpint (grant.msg.lend_ms, ==, i < 3 ? 15 : 0);
      g_assert_cmpuint (grant.msg.queued, ==, 3 - i);
      g_assert_cmpuint (pool_grant_count (pool), ==, 2);
    }
  /* The settings may allow fewer waiting requests than 2 for each slot.  */
  short_queue.queue_max = 0;
  pool_configure (pool, 60, &short_queue);
  g_assert_cmpint (
      request_grant (pool, 60, OTHER, 16, 0, 1000, false).msg.reason, ==,
      DECIDE_REASON_QUEUE_FULL);
  short_queue.queue_max = 1;
  pool_configure (pool, 60, &short_queue);
  request_grant (pool, 60, OTHER, 17, 5, 1000, false);
  /* A more urgent request evicts the waiting one.  */
  g_assert_cmpint (request_grant (pool, 60, OTHER, 18, 0, 1000, false).type,
                   ==, DECIDE_MSG_QUEUED);
  g_assert_cmpuint (
      g_array_index (sent_messages, sent_message_t, sent_messages->len - 2)
          .msg.request,
      ==, 17);
  pool_free (pool);
}

/* Guards against requests that cannot meet their deadline and are queued
   instead of refused at once with a retry-after time.  */
static void
test_early_refusal (void)
{
  pool_t *pool = new_pool (1, 1);
  sent_message_t grant = request_grant (pool, 0, HOLDER, 1, 3, 900, false);
  sent_message_t refused;

  release_grant (pool, 50, HOLDER, grant.msg.grant, false, response_end (50));
  request_grant (pool, 50, HOLDER, 2, 3, 900, false);
  g_assert_cmpint (request_grant (pool, 50, HOLDER, 3, 3, 120, false).type, ==,
                   DECIDE_MSG_QUEUED);
  refused = request_grant (pool, 50, HOLDER, 4, 3, 130, false);
  g_assert_cmpint (refused.type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpint (refused.msg.reason, ==, DECIDE_REASON_DEADLINE);
  g_assert_cmpint (refused.msg.wait_ms, ==, 100);
  /* The first request in the queue is refused as soon as it can no longer meet
     its deadline.  */
  g_assert_cmpint (pool_tick (pool, 100), ==, 120);
  pool_tick (pool, 120);
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpuint (last_message ().msg.request, ==, 3);
  pool_suspend (pool, 130);
  g_assert_cmpint (
      request_grant (pool, 130, HOLDER, 5, 3, 900, false).msg.reason, ==,
      DECIDE_REASON_NO_CAPACITY);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  pool_free (pool);
}

/* Guards against a reusable grant that occupies more than one slot when it is
   used several times, or is not recalled while other requests wait.  */
static void
test_reuse (void)
{
  pool_t *pool = new_pool (2, 1);
  sent_message_t reusable_grant
      = request_grant (pool, 0, HOLDER, 1, 3, 900, true);
  sent_message_t single_use_grant
      = request_grant (pool, 0, OTHER, 2, 3, 900, true);

  g_assert_cmpint (reusable_grant.msg.lend_ms, ==, DECIDE_GRANT_REUSE_MS);
  g_assert_cmpint (single_use_grant.msg.lend_ms, ==, 0);
  for (int i = 1; i <= 5; i++)
    release_grant (pool, 5 * i, HOLDER, reusable_grant.msg.grant, true,
                   response_end (5));
  g_assert_cmpuint (pool_grant_count (pool), ==, 2);
  request_grant (pool, 30, OTHER, 3, 3, 900, true);
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_RECALL);
  g_assert_cmpuint (last_message ().msg.grant, ==, reusable_grant.msg.grant);
  release_grant (pool, 32, HOLDER, reusable_grant.msg.grant, false,
                 end_with_result (DECIDE_ATTEMPT_UNUSED));
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_GRANT);
  g_assert_cmpuint (last_message ().msg.request, ==, 3);
  g_assert_cmpint (last_message ().msg.wait_ms, ==, 2);
  pool_free (pool);
}

/* Guards against results of several attempts in one report that are left out,
   counted as one, or processed in the wrong order.  */
static void
test_report (void)
{
  pool_t *pool = new_pool (1, 3);
  sent_message_t reusable_grant
      = request_grant (pool, 0, HOLDER, 1, 3, 900, true);
  decide_msg_release_t report = { .grant = reusable_grant.msg.grant,
                                  .keep = true,
                                  .earlier_count = 7 };
  decide_attempt_end_t failed = response_end (5);
  pool_endpoint_view_t view;

  report.end = response_end (5);
  for (uint32_t i = 0; i < 7; i++)
    report.earlier[i] = response_end (5);
  pool_handle_release (pool, 300, HOLDER, &report);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 2);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  /* Two failures, a success and two failures are not three consecutive
     failures.  */
  failed.status = 500;
  report.earlier_count = 4;
  report.earlier[0] = report.earlier[1] = report.earlier[3] = failed;
  report.end = failed;
  pool_handle_release (pool, 301, HOLDER, &report);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 2);
  pool_free (pool);
}

/* A grant whose holder sends no release occupies its slot until its reuse time
   and run time have passed.  Guards against a slot that is freed earlier, or
   by the release of another holder, of an unknown grant, or of a grant that
   has ended.  */
static void
test_expiry (void)
{
  pool_t *pool = new_pool (2, 1);
  sent_message_t reusable_grant
      = request_grant (pool, 0, HOLDER, 1, 3, 9000, true);
  sent_message_t single_use_grant
      = request_grant (pool, 0, OTHER, 2, 3, 9000, true);

  release_grant (pool, 1, OTHER, reusable_grant.msg.grant, false,
                 response_end (1));
  release_grant (pool, 1, HOLDER, 77, false, response_end (1));
  pool_tick (pool, RUN_MS - 1);
  g_assert_cmpuint (pool_grant_count (pool), ==, 2);
  pool_tick (pool, RUN_MS);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  pool_tick (pool, RUN_MS + DECIDE_GRANT_REUSE_MS - 1);
  g_assert_cmpuint (pool_grant_count (pool), ==, 1);
  pool_tick (pool, RUN_MS + DECIDE_GRANT_REUSE_MS);
  g_assert_cmpuint (pool_grant_count (pool), ==, 0);
  release_grant (pool, RUN_MS, OTHER, single_use_grant.msg.grant, false,
                 response_end (1));
  pool_handle_grant_cancel (pool, RUN_MS, OTHER, 2);
  g_assert_cmpuint (pool_grant_count (pool), ==, 0);
  pool_free (pool);
}

/* Guards against a slot that is freed at once after an aborted attempt, while
   the backend server may still run the attempt.  */
static void
test_lingering (void)
{
  pool_t *pool = new_pool (1, 1);
  sent_message_t grant = request_grant (pool, 0, HOLDER, 1, 3, 900, false);

  request_grant (pool, 1, OTHER, 2, 3, 900, false);
  release_grant (pool, 10, HOLDER, grant.msg.grant, false,
                 end_with_result (DECIDE_ATTEMPT_CANCELLED));
  release_grant (pool, 11, HOLDER, grant.msg.grant, false, response_end (1));
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_QUEUED);
  g_assert_cmpint (pool_tick (pool, 11), ==, 30);
  pool_tick (pool, 30);
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_GRANT);
  pool_free (pool);
}

/* Guards against a new owner that starts with cold limits for warm endpoints,
   so that a graceful shutdown of the old owner costs capacity, and against one
   that uses a draining endpoint.  */
static void
test_limit_handover (void)
{
  pool_t *pool = new_pool (3, 3);
  pool_t *new_owner = new_pool (3, 2);
  decide_handover_limit_t exported[4];
  decide_load_t draining
      = { .present = true, .identity = 5, .draining = true };
  decide_attempt_end_t end = response_end (5);
  pool_endpoint_view_t view;
  decide_pool_load_t load;

  for (int i = 0; i < 2; i++)
    pool_import_limit (pool, 0,
                       &(decide_handover_limit_t){
                           .endpoint = i + 1U, .limit = 3, .identity = 5 });
  pool_get_load (pool, &load);
  g_assert_cmpuint (load.free, ==, 7);
  end.load = draining;
  request_grant (pool, 0, HOLDER, 1, 3, 900, false);
  while (last_message ().msg.endpoint != 1)
    request_grant (pool, 0, HOLDER, 1, 3, 900, false);
  release_grant (pool, 1, HOLDER, last_message ().msg.grant, false, end);
  /* Endpoint 3 is cold and is not exported.  */
  g_assert_cmpuint (pool_export_limits (pool, exported, 4), ==, 2);
  for (int i = 0; i < 2; i++)
    pool_import_limit (new_owner, 2, &exported[i]);
  g_assert_cmpint (pool_get_endpoint (new_owner, 0, &view), ==, 0);
  g_assert_true (view.draining);
  g_assert_cmpint (pool_get_endpoint (new_owner, 1, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 2);
  g_assert_false (view.cold);
  g_assert_cmpint (pool_get_endpoint (new_owner, 2, &view), ==, 0);
  g_assert_true (view.cold);
  pool_free (pool);
  pool_free (new_owner);
}

/* Guards against cold endpoints that a new owner takes as warm: the old owner
   has not yet heard that the data centre is back in service and hands over the
   limits from before it was out.  */
static void
test_limit_handover_while_out (void)
{
  pool_t *pool = new_pool (2, 3);
  pool_t *new_owner = new_pool (2, 3);
  pool_settings_t out = make_settings (2, 3);
  decide_handover_limit_t exported[4];
  pool_endpoint_view_t view;

  for (int i = 0; i < 2; i++)
    pool_import_limit (pool, 0,
                       &(decide_handover_limit_t){ .endpoint = i + 1U,
                                                   .limit = 3,
                                                   .identity = 5,
                                                   .draining = i == 1 });
  out.out = true;
  g_assert_cmpint (pool_configure (pool, 1, &out), ==, 0);
  /* That an endpoint is draining is still handed over.  */
  g_assert_cmpuint (pool_export_limits (pool, exported, 4), ==, 1);
  pool_import_limit (new_owner, 2, &exported[0]);
  g_assert_cmpint (pool_get_endpoint (new_owner, 0, &view), ==, 0);
  g_assert_true (view.cold);
  g_assert_cmpint (pool_get_endpoint (new_owner, 1, &view), ==, 0);
  g_assert_true (view.draining);
  pool_free (pool);
  pool_free (new_owner);
}

/* Guards against grants that are lost when the settings change or the pool
   gets a new owner.  */
static void
test_configure (void)
{
  pool_t *pool = new_pool (2, 1);
  pool_settings_t changed = make_settings (2, 1);
  decide_handover_grant_t exported[4];
  pool_t *new_owner;

  request_grant (pool, 0, HOLDER, 1, 3, 900, true);
  request_grant (pool, 0, HOLDER, 2, 3, 900, false);
  changed.endpoint_count = 1;
  changed.endpoints[0].id = 2; /* endpoint 1 has the reusable grant */
  g_assert_cmpint (pool_configure (pool, 5, &changed), ==, 0);
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_RECALL);
  changed = make_settings (2, 1);
  g_assert_cmpint (pool_configure (pool, 6, &changed), ==, 0);
  g_assert_cmpuint (pool_grant_count (pool), ==, 2);
  g_assert_cmpint (request_grant (pool, 7, OTHER, 3, 3, 900, false).type, !=,
                   DECIDE_MSG_GRANT);
  g_assert_cmpuint (pool_export_grants (pool, 10, 0, exported, 4), ==, 2);
  new_owner = new_pool (2, 1);
  for (int i = 0; i < 2; i++)
    {
      g_assert_cmpint (pool_import_grant (new_owner, 12, &exported[i]), ==, 0);
      g_assert_cmpint (pool_import_grant (new_owner, 12, &exported[i]), ==, 0);
    }
  g_assert_cmpuint (pool_grant_count (new_owner), ==, 2);
  request_grant (new_owner, 12, OTHER, 4, 3, 9000, false);
  g_assert_cmpint (last_message ().type, !=, DECIDE_MSG_GRANT);
  release_grant (new_owner, 14, HOLDER, exported[0].grant, false,
                 response_end (5));
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_GRANT);
  changed.out = true;
  request_grant (new_owner, 15, OTHER, 5, 3, 9000, false);
  g_assert_cmpint (last_message ().type, !=, DECIDE_MSG_GRANT);
  pool_configure (new_owner, 16, &changed);
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpint (
      request_grant (new_owner, 17, OTHER, 6, 3, 900, false).msg.reason, ==,
      DECIDE_REASON_NO_CAPACITY);
  pool_free (new_owner);
  pool_free (pool);
}

/* Runs one request in each ms for 1000 ms from @from.  @endpoint_1_latency is
   the latency of endpoint 1 and @other_latency that of the others, in ms.  */
static void
run_requests (pool_t *pool, clock_ms_t from, clock_ms_t other_latency,
              clock_ms_t endpoint_1_latency)
{
  for (clock_ms_t now = from; now < from + 1000; now++)
    {
      sent_message_t grant
          = request_grant (pool, now, HOLDER, (uint64_t)now, 3, 900, false);
      clock_ms_t latency
          = grant.msg.endpoint == 1 ? endpoint_1_latency : other_latency;

      g_assert_cmpint (grant.type, ==, DECIDE_MSG_GRANT);
      release_grant (pool, now, HOLDER, grant.msg.grant, false,
                     response_end (latency));
    }
}

/* Guards against an endpoint that is slower than the others and keeps its
   limit, and against lower limits when all endpoints of a pool become
   slow.  */
static void
test_slow (void)
{
  pool_t *pool = new_pool (4, 3);
  pool_endpoint_view_t view;

  run_requests (pool, 0, 5, 5);
  run_requests (pool, 1000, 50, 50);
  for (uint32_t i = 0; pool_get_endpoint (pool, i, &view) == 0; i++)
    g_assert_cmpuint (view.limit, ==, 3);
  run_requests (pool, 2000, 50, 500);
  g_assert_cmpint (pool_get_endpoint (pool, 0, &view), ==, 0);
  g_assert_cmpuint (view.limit, ==, 1);
  for (uint32_t i = 1; pool_get_endpoint (pool, i, &view) == 0; i++)
    g_assert_cmpuint (view.limit, ==, 3);
  pool_free (pool);
}

/* Guards against full load on servers that were restarted while their data
   centre was out of service.  */
static void
test_data_centre_return (void)
{
  pool_t *pool = new_pool (2, 3);
  pool_settings_t changed = make_settings (2, 3);
  pool_endpoint_view_t view;

  run_requests (pool, 0, 5, 5);
  run_requests (pool, 1000, 5, 5);
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

/* Guards against more than one probe at a time in a pool, against a probe
   without a result that never times out, and against requests that stay in the
   queue while all endpoints have to be probed first.  */
static void
test_probes (void)
{
  pool_t *pool = new_pool (2, 1);

  for (uint64_t i = 1; i <= 2; i++)
    {
      sent_message_t grant = request_grant (pool, 0, HOLDER, i, 3, 900, false);

      if (i == 2)
        request_grant (pool, 0, OTHER, 3, 3, 900, false);
      release_grant (pool, 1, HOLDER, grant.msg.grant, false,
                     end_with_result (DECIDE_ATTEMPT_NOT_SENT));
    }
  g_assert_cmpint (last_message ().type, ==, DECIDE_MSG_REFUSED);
  g_assert_cmpuint (last_message ().msg.request, ==, 3);
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
  sent_messages = g_array_new (FALSE, FALSE, sizeof (sent_message_t));
  g_test_add_func ("/pool/order", test_order);
  g_test_add_func ("/pool/early-refusal", test_early_refusal);
  g_test_add_func ("/pool/lending", test_reuse);
  g_test_add_func ("/pool/report", test_report);
  g_test_add_func ("/pool/expiry", test_expiry);
  g_test_add_func ("/pool/settling", test_lingering);
  g_test_add_func ("/pool/configure", test_configure);
  g_test_add_func ("/pool/limits-move", test_limit_handover);
  g_test_add_func ("/pool/limits-move_while_out",
                   test_limit_handover_while_out);
  g_test_add_func ("/pool/return", test_data_centre_return);
  g_test_add_func ("/pool/slow", test_slow);
  g_test_add_func ("/pool/probes", test_probes);
  status = g_test_run ();
  g_array_free (sent_messages, TRUE);
  return status;
}
