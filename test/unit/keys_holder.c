/* Tests of idempotency keys whose requester is the copy holder: loss of the
   owner, of the requester or of a later copy holder, and delayed replies.  */

#include "keys_world.h"

/* Time in which a few messages arrive.  It is shorter than the time after
   which a claim is sent again.  */
#define SHORT_WAIT_MS 10
/* Indices of instances.  */
#define OWNER 0     /* owner at the start */
#define REQUESTER 3 /* gets the first request with a key */
#define RETRIER 4   /* gets later requests with the same key */

static packet_t intercepted; /* by the last intercept_message() */

/* Takes the first message of a type to a receiver off the network and keeps it
   for deliver_intercepted().  */
static void
intercept_message (decide_msg_type_t type, uint32_t to)
{
  for (uint32_t i = 0; i < cluster.packets->len; i++)
    {
      intercepted = g_array_index (cluster.packets, packet_t, i);
      if (intercepted.msg.type != type || intercepted.to != to)
        continue;
      g_array_remove_index (cluster.packets, i);
      return;
    }
  g_assert_not_reached ();
}

/* Sends a request whose claim the owner accepts, and intercepts the owner's
   reply.  Return: the number of the request.  */
static uint64_t
intercept_claim_reply (void)
{
  uint64_t request = send_request (REQUESTER, 7);

  advance (2);
  intercept_message (DECIDE_MSG_KEY_CLAIM_REPLY, REQUESTER);
  return request;
}

static void
deliver_intercepted (void)
{
  intercepted.due = cluster.now;
  g_array_append_val (cluster.packets, intercepted);
  advance (1);
}

/* Sends a request that runs and ends with a response.  */
static void
complete_request (uint32_t instance, uint32_t key)
{
  uint64_t request = send_request (instance, key);

  advance (SHORT_WAIT_MS);
  end_request (request, DECIDE_KEY_STATE_DONE);
  advance (SHORT_WAIT_MS);
}

/* Stops the owner and lets the instance @to take over.  */
static void
fail_over (uint32_t to)
{
  stop_instance (cluster.owner);
  change_owner (to, KEYS_TAKEN_OVER);
  advance (SHORT_WAIT_MS);
}

/* Sends a new request with a key.  Return: whether it runs.  */
static bool
new_request_runs (uint32_t instance, uint32_t key)
{
  uint64_t request = send_request (instance, key);

  advance (SHORT_WAIT_MS);
  return find_request (request)->ran;
}

static void
assert_is_replayed (uint32_t key)
{
  uint64_t retry = send_request (RETRIER, key);

  advance (100);
  g_assert_true (find_request (retry)->replayed);
}

static uint32_t
count_key_messages (void)
{
  uint32_t sent = 0;

  for (int i = DECIDE_MSG_KEY_CLAIM; i < MSG_TYPES; i++)
    sent += cluster.sent[i];
  return sent;
}

/* Guards against a second round trip before the request runs, and against
   KEY_COPY messages although the claim reply carries the copy.  */
static void
test_single_round_trip (void)
{
  uint64_t request;

  start_cluster (1);
  cluster.delay_ms = 10;
  request = send_request (REQUESTER, 7);
  advance (21);
  g_assert_true (find_request (request)->ran);
  end_request (request, DECIDE_KEY_STATE_DONE);
  advance (100);
  g_assert_cmpuint (count_key_messages (), ==, 4);
  stop_cluster ();
}

/* Guards against an owner that runs its own request without a copy at another
   member, and against an entry whose only copy is at a requester that is
   leaving.  */
static void
test_second_member (void)
{
  start_cluster (1);
  send_request (OWNER, 7);
  advance (SHORT_WAIT_MS);
  g_assert_cmpuint (cluster.sent[DECIDE_MSG_KEY_COPY], ==, 1);
  cluster.leaving = 1U << REQUESTER;
  send_request (REQUESTER, 8);
  advance (SHORT_WAIT_MS);
  g_assert_true (find_request (2)->ran);
  g_assert_cmpuint (cluster.sent[DECIDE_MSG_KEY_COPY], ==, 2);
  stop_cluster ();
}

/* Guards against an entry that is not copied to another member when its copy
   holder is lost (@how is 0), leaves (1) or restarts (2).  */
static void
test_holder_gone (const void *how)
{
  int kind = GPOINTER_TO_INT (how);

  start_cluster (1);
  complete_request (REQUESTER, 7);
  if (kind == 1)
    {
      cluster.leaving = 1U << REQUESTER;
      advance (1500);
    }
  stop_instance (REQUESTER);
  if (kind == 0)
    advance (1500);
  start_instance (REQUESTER);
  if (kind == 2)
    advance (1500);
  fail_over (2);
  assert_is_replayed (7);
  stop_cluster ();
}

/* Guards against a burst of messages when a member that holds the copies of
   many entries leaves.  */
static void
test_copies_sent_in_batches (void)
{
  enum
  {
    COUNT = 300,
    BATCH_MAX = 64
  };
  uint32_t before = 0;

  start_cluster (1);
  for (uint32_t i = 1; i <= COUNT; i++)
    send_request (REQUESTER, i);
  advance (SHORT_WAIT_MS);
  for (uint32_t i = 1; i <= COUNT; i++)
    end_request (i, DECIDE_KEY_STATE_DONE);
  advance (SHORT_WAIT_MS);
  cluster.leaving = 1U << REQUESTER;
  for (int i = 0; i < 1500; i++)
    {
      advance (1);
      g_assert_cmpuint (cluster.sent[DECIDE_MSG_KEY_COPY], <=,
                        before + BATCH_MAX);
      before = cluster.sent[DECIDE_MSG_KEY_COPY];
    }
  g_assert_cmpuint (before, ==, COUNT);
  stop_cluster ();
}

/* Guards against a second run when the owner is lost while its reply is in
   transit and the requester runs the request on this reply.  */
static void
test_owner_lost_on_reply (void)
{
  uint64_t first;
  uint64_t retry;

  start_cluster (1);
  cluster.delay_ms = SHORT_WAIT_MS;
  first = send_request (REQUESTER, 7);
  advance (SHORT_WAIT_MS + 5);
  stop_instance (OWNER);
  change_owner (2, KEYS_TAKEN_OVER);
  retry = send_request (RETRIER, 7);
  advance (400);
  g_assert_true (find_request (first)->ran);
  end_request (first, DECIDE_KEY_STATE_DONE);
  advance (100);
  g_assert_true (find_request (retry)->replayed);
  stop_cluster ();
}

/* Guards against a request that runs because of a stale owner's reply that
   arrives late, after a new owner has collected the entries and not found the
   claim.  If @how is 0, the new owner has a later record version; if it is 1,
   the new owner is a delegate at the same version; if it is 2, the requester
   itself is the new owner; if it is 3, the requester was the new owner and has
   handed the slice over.  */
static void
test_late_reply (const void *how)
{
  int kind = GPOINTER_TO_INT (how);
  uint64_t first;
  uint64_t second;

  start_cluster (1);
  first = intercept_claim_reply ();
  stop_instance (OWNER);
  if (kind == 1)
    cluster.version--;
  change_owner (kind >= 2 ? REQUESTER : 2, KEYS_TAKEN_OVER);
  advance (SHORT_WAIT_MS);
  second = send_request (RETRIER, 7);
  advance (SHORT_WAIT_MS);
  g_assert_true (find_request (second)->ran);
  if (kind == 3)
    change_owner (2, KEYS_HANDED_OVER);
  deliver_intercepted ();
  g_assert_false (find_request (first)->ran);

  /* The claim is sent again, and the new owner knows of the other run.  */
  end_request (second, DECIDE_KEY_STATE_DONE);
  advance (200);
  g_assert_true (find_request (first)->replayed);
  stop_cluster ();
}

/* Guards against a request that runs because of a late reply of a delegate,
   after another delegate has replaced it at the same record version.  The
   KEY_COLLECT message of the replaced delegate arrives at the requester
   twice.  */
static void
test_two_delegates (void)
{
  packet_t collect;
  uint64_t first;

  start_cluster (1);
  cluster.version--;
  change_owner (2, KEYS_TAKEN_OVER);
  intercept_message (DECIDE_MSG_KEY_COLLECT, REQUESTER);
  collect = intercepted;
  deliver_intercepted ();
  advance (SHORT_WAIT_MS);
  first = intercept_claim_reply ();
  stop_instance (2);
  cluster.version--;
  change_owner (1, KEYS_TAKEN_OVER);
  advance (SHORT_WAIT_MS);
  g_assert_true (new_request_runs (1, 7));
  collect.due = cluster.now;
  g_array_append_val (cluster.packets, collect);
  advance (1);
  deliver_intercepted ();
  g_assert_false (find_request (first)->ran);
  stop_cluster ();
}

/* Guards against a claim at a stale owner that blocks the key at the new
   owner, because the stale owner had chosen the new owner to hold the copy of
   the claim.  */
static void
test_copy_to_owner (void)
{
  uint64_t second;

  start_cluster (1);
  cluster.delay_ms = SHORT_WAIT_MS;
  send_request (OWNER, 7);
  advance (1);
  cluster.version--;
  change_owner (1, KEYS_TAKEN_OVER);
  advance (SHORT_WAIT_MS);
  stop_instance (OWNER);
  advance (3 * SHORT_WAIT_MS);
  second = send_request (RETRIER, 7);
  advance (100);
  g_assert_true (find_request (second)->ran);
  stop_cluster ();
}

/* Guards against an outcome that remains without a copy after the copy holder
   was unreachable for a while.  */
static void
test_holder_unreachable (void)
{
  uint64_t first;

  start_cluster (1);
  first = send_request (OWNER, 7);
  advance (SHORT_WAIT_MS);
  cluster.blocked[OWNER] = 1U << 1;
  end_request (first, DECIDE_KEY_STATE_DONE);
  advance (500);
  cluster.blocked[OWNER] = 0;
  advance (1500);
  fail_over (2);
  assert_is_replayed (7);
  stop_cluster ();
}

/* Guards against an owner that, when its slice is handed back to it, treats
   the copies that it made before the first handover as current.  */
static void
test_handed_back (void)
{
  uint64_t first;

  start_cluster (1);
  first = send_request (OWNER, 7);
  advance (SHORT_WAIT_MS);
  change_owner (2, KEYS_HANDED_OVER);
  advance (SHORT_WAIT_MS);
  end_request (first, DECIDE_KEY_STATE_DONE);
  advance (SHORT_WAIT_MS);
  change_owner (OWNER, KEYS_HANDED_OVER);
  advance (1500);
  stop_instance (2);
  stop_instance (3);
  advance (1500);
  fail_over (RETRIER);
  assert_is_replayed (7);
  stop_cluster ();
}

/* Guards against a request that runs because a stale owner accepted its claim,
   although a request with a later claim of the same key has run.  If @how is
   0, the new owner gets no reply from the copy holder of the later claim; if
   it is 1, the new owner is that copy holder.  */
static void
test_earlier_claim (const void *how)
{
  uint64_t first;

  start_cluster (1);
  first = intercept_claim_reply ();
  change_owner (1, KEYS_TAKEN_OVER);
  advance (SHORT_WAIT_MS);
  g_assert_true (new_request_runs (1, 7));
  if (GPOINTER_TO_INT (how) == 0)
    {
      stop_instance (1);
      cluster.blocked[2] = 1U << RETRIER;
    }
  change_owner (GPOINTER_TO_INT (how) == 0 ? RETRIER : 2, KEYS_TAKEN_OVER);
  advance (1000);
  g_assert_false (find_request (first)->ran);
  stop_cluster ();
}

/* Guards against a key that stays blocked by the copy of a claim whose request
   did not run.  */
static void
test_not_run_copied (void)
{
  uint64_t first;

  start_cluster (1);
  first = send_request (OWNER, 7);
  advance (SHORT_WAIT_MS);
  end_request (first, DECIDE_KEY_STATE_NOT_RUN);
  advance (SHORT_WAIT_MS);
  cluster.leaving = 1U << 1;
  advance (1500);
  fail_over (REQUESTER);
  g_assert_true (new_request_runs (RETRIER, 7));
  stop_cluster ();
}

/* Guards against a claim that stays undecided after its requester rejected a
   reply.  */
static void
test_claim_after_rejected_reply (void)
{
  uint64_t first;

  start_cluster (1);
  first = intercept_claim_reply ();
  fail_over (2);
  deliver_intercepted ();
  g_assert_false (find_request (first)->ran);
  advance (100);
  g_assert_true (find_request (first)->ran);
  stop_cluster ();
}

/* Guards against a request that runs while only the owner has its claim,
   because the first reply was lost, the requester is leaving and the next copy
   is not confirmed.  */
static void
test_lost_reply (void)
{
  uint64_t first;
  uint64_t retry;

  start_cluster (1);
  first = intercept_claim_reply ();
  cluster.leaving = 1U << REQUESTER;
  cluster.blocked[OWNER] = 1U << 1;
  advance (100);
  g_assert_false (find_request (first)->ran);
  cluster.blocked[OWNER] = 0;
  advance (100);
  g_assert_true (find_request (first)->ran);
  fail_over (2);
  retry = send_request (RETRIER, 7);
  advance (100);
  g_assert_false (find_request (retry)->ran);
  stop_cluster ();
}

/* Guards against an owner that allows a waiting request to run after the
   owner's lease has expired.  */
static void
test_expired_lease (void)
{
  uint64_t first;
  uint64_t second;

  start_cluster (1);
  first = send_request (REQUESTER, 7);
  advance (SHORT_WAIT_MS);
  second = send_request (RETRIER, 7);
  advance (SHORT_WAIT_MS);
  cluster.lease_expired = true;
  end_request (first, DECIDE_KEY_STATE_NOT_RUN);
  advance (100);
  g_assert_false (find_request (second)->ran);
  cluster.lease_expired = false;
  advance (100);
  g_assert_true (find_request (second)->ran);
  stop_cluster ();
}

/* Guards against a second run when the requester's own copy has the outcome of
   an earlier run.  */
static void
test_own_copy (void)
{
  uint64_t retry;

  start_cluster (1);
  complete_request (REQUESTER, 7);
  stop_instance (OWNER);
  /* With KEYS_FIRST_OWNER, the new owner collects no entries.  */
  change_owner (2, KEYS_FIRST_OWNER);
  retry = send_request (REQUESTER, 7);
  advance (1000);
  g_assert_false (find_request (retry)->ran);
  g_assert_cmpint (find_request (retry)->refusal.ran, ==, DECIDE_RAN_UNKNOWN);
  stop_cluster ();
}

static void
assert_refused_full (uint64_t request)
{
  g_assert_true (find_request (request)->refused);
  g_assert_cmpint (find_request (request)->refusal.reason, ==,
                   DECIDE_REASON_KEY_FULL);
  g_assert_cmpint (find_request (request)->refusal.ran, ==, DECIDE_RAN_NO);
  g_assert_cmpint (find_request (request)->refusal.retry_after_ms, >, 0);
}

/* Makes on_run() accept another run of each key, as is allowed after the
   retention time.  */
static void
expire_runs (void)
{
  for (uint32_t i = 1; i <= cluster.requests->len; i++)
    find_request (i)->other_run_allowed = -1;
}

/* Guards against memory that grows beyond its limit with the number of keys,
   against a limit that also refuses retries of known keys, and against entries
   whose memory is not released when they expire.  */
static void
test_full (void)
{
  uint64_t request;

  key_bytes_max = 6000; /* key 8 has a response of 4 KiB */
  start_cluster (1);
  key_bytes_max = 0;
  for (int round = 0; round < 3; round++)
    {
      request = send_request (REQUESTER, 8);
      advance (SHORT_WAIT_MS);
      end_request (request, DECIDE_KEY_STATE_DONE);
      for (uint32_t i = 11; i < 41; i += 2)
        request = send_request (RETRIER, i);
      advance (SHORT_WAIT_MS);
      assert_refused_full (request);
      g_assert_cmpuint (keys_count (cluster.instances[OWNER].keys), >, 4);
      g_assert_cmpuint (keys_count (cluster.instances[OWNER].keys), <, 12);
      request = send_request (RETRIER, 8);
      advance (SHORT_WAIT_MS);
      g_assert_true (find_request (request)->replayed);
      expire_runs ();
      cluster.now += RETENTION_MS;
      advance (2000);
    }
  stop_cluster ();
}

/* Guards against a requester at its memory limit that runs a request without
   storing the copy of its claim, or that blocks the key for others.  */
static void
test_requester_full (void)
{
  uint64_t request;

  start_cluster (1);
  stop_instance (REQUESTER);
  key_bytes_max = 1;
  start_instance (REQUESTER);
  key_bytes_max = 0;
  cluster.leaving = ~(1U << REQUESTER);
  send_request (OWNER, 7); /* REQUESTER stores its copy despite the limit */
  advance (SHORT_WAIT_MS);
  g_assert_true (find_request (1)->ran);
  cluster.leaving = 0;
  request = send_request (REQUESTER, 8);
  advance (SHORT_WAIT_MS);
  assert_refused_full (request);
  g_assert_true (new_request_runs (RETRIER, 8));
  stop_cluster ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/keys-holder/one-exchange", test_single_round_trip);
  g_test_add_func ("/keys-holder/second-member", test_second_member);
  g_test_add_data_func ("/keys-holder/holder-lost", GINT_TO_POINTER (0),
                        test_holder_gone);
  g_test_add_data_func ("/keys-holder/holder-leaves", GINT_TO_POINTER (1),
                        test_holder_gone);
  g_test_add_data_func ("/keys-holder/holder-restarts", GINT_TO_POINTER (2),
                        test_holder_gone);
  g_test_add_func ("/keys-holder/batches", test_copies_sent_in_batches);
  g_test_add_func ("/keys-holder/owner-lost-on-reply",
                   test_owner_lost_on_reply);
  g_test_add_data_func ("/keys-holder/late-reply/later-version",
                        GINT_TO_POINTER (0), test_late_reply);
  g_test_add_data_func ("/keys-holder/late-reply/same-version",
                        GINT_TO_POINTER (1), test_late_reply);
  g_test_add_data_func ("/keys-holder/late-reply/to-owner",
                        GINT_TO_POINTER (2), test_late_reply);
  g_test_add_data_func ("/keys-holder/late-reply/to-former-owner",
                        GINT_TO_POINTER (3), test_late_reply);
  g_test_add_func ("/keys-holder/two-delegates", test_two_delegates);
  g_test_add_func ("/keys-holder/copy-to-owner", test_copy_to_owner);
  g_test_add_func ("/keys-holder/out-of-reach", test_holder_unreachable);
  g_test_add_func ("/keys-holder/handed-back", test_handed_back);
  g_test_add_data_func ("/keys-holder/earlier-claim/no-answer",
                        GINT_TO_POINTER (0), test_earlier_claim);
  g_test_add_data_func ("/keys-holder/earlier-claim/known",
                        GINT_TO_POINTER (1), test_earlier_claim);
  g_test_add_func ("/keys-holder/not-run-copied", test_not_run_copied);
  g_test_add_func ("/keys-holder/asked-again",
                   test_claim_after_rejected_reply);
  g_test_add_func ("/keys-holder/lost-reply", test_lost_reply);
  g_test_add_func ("/keys-holder/lapsed-lease", test_expired_lease);
  g_test_add_func ("/keys-holder/own-copy", test_own_copy);
  g_test_add_func ("/keys-holder/full", test_full);
  g_test_add_func ("/keys-holder/requester-full", test_requester_full);
  return g_test_run ();
}
