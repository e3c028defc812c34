/* Idempotency keys whose requester holds the second copy: loss of the owner,
   of the requester and of later holders, and replies that come late.  */

#include "keys_world.h"

/* Shorter than a claim's first repeat.  */
#define SOON_MS 10
#define OWNER 0
#define REQUESTER 3
#define REPEATER 4

static packet_t held;

/* Takes a message off the network.  */
static void
hold_message (decide_msg_type_t type, uint32_t to)
{
  for (uint32_t i = 0; i < world.packets->len; i++)
    {
      held = g_array_index (world.packets, packet_t, i);
      if (held.msg.type != type || held.to != to)
        continue;
      g_array_remove_index (world.packets, i);
      return;
    }
  g_assert_not_reached ();
}

/* A claim whose reply has left the owner.  */
static uint64_t
hold_reply (void)
{
  uint64_t request = call (REQUESTER, 7);

  advance (2);
  hold_message (DECIDE_MSG_KEY_CLAIM_REPLY, REQUESTER);
  return request;
}

static void
release_reply (void)
{
  held.due = world.now;
  g_array_append_val (world.packets, held);
  advance (1);
}

/* A call whose request ends at once with an answer.  */
static void
run_whole (uint32_t node, uint32_t key)
{
  uint64_t request = call (node, key);

  advance (SOON_MS);
  finish (request, DECIDE_KEY_STATE_DONE);
  advance (SOON_MS);
}

static void
lose_owner (uint32_t to)
{
  stop_node (world.owner);
  change_owner (to, KEYS_TAKEN_OVER);
  advance (SOON_MS);
}

static bool
is_run (uint32_t node, uint32_t key)
{
  uint64_t request = call (node, key);

  advance (SOON_MS);
  return find_caller (request)->ran;
}

static void
assert_replayed (uint32_t key)
{
  uint64_t repeat = call (REPEATER, key);

  advance (100);
  g_assert_true (find_caller (repeat)->replayed);
}

static uint32_t
sent_keys (void)
{
  uint32_t sent = 0;

  for (int i = DECIDE_MSG_KEY_CLAIM; i < TYPES; i++)
    sent += world.sent[i];
  return sent;
}

/* Guards against a second exchange of messages before the request runs, and
   against copies that the owner does not need to send.  */
static void
test_one_exchange (void)
{
  uint64_t request;

  start_world (1);
  world.delay_ms = 10;
  request = call (REQUESTER, 7);
  advance (21);
  g_assert_true (find_caller (request)->ran);
  finish (request, DECIDE_KEY_STATE_DONE);
  advance (100);
  g_assert_cmpuint (sent_keys (), ==, 4);
  end_world ();
}

/* Guards against an owner that runs its own request with one copy, and against
   a copy that a leaving requester takes with it.  */
static void
test_second_member (void)
{
  start_world (1);
  call (OWNER, 7);
  advance (SOON_MS);
  g_assert_cmpuint (world.sent[DECIDE_MSG_KEY_COPY], ==, 1);
  world.leaving = 1U << REQUESTER;
  call (REQUESTER, 8);
  advance (SOON_MS);
  g_assert_true (find_caller (2)->ran);
  g_assert_cmpuint (world.sent[DECIDE_MSG_KEY_COPY], ==, 2);
  end_world ();
}

/* Guards against a copy that is not renewed when its holder is lost (0),
   leaves (1) or restarts (2).  */
static void
test_holder_gone (const void *how)
{
  int kind = GPOINTER_TO_INT (how);

  start_world (1);
  run_whole (REQUESTER, 7);
  if (kind == 1)
    {
      world.leaving = 1U << REQUESTER;
      advance (1500);
    }
  stop_node (REQUESTER);
  if (kind == 0)
    advance (1500);
  start_node (REQUESTER);
  if (kind == 2)
    advance (1500);
  lose_owner (2);
  assert_replayed (7);
  end_world ();
}

/* Guards against a burst of copies when a holder of many entries leaves.  */
static void
test_batches (void)
{
  enum
  {
    COUNT = 300,
    MOST = 64
  };
  uint32_t before = 0;

  start_world (1);
  for (uint32_t i = 1; i <= COUNT; i++)
    call (REQUESTER, i);
  advance (SOON_MS);
  for (uint32_t i = 1; i <= COUNT; i++)
    finish (i, DECIDE_KEY_STATE_DONE);
  advance (SOON_MS);
  world.leaving = 1U << REQUESTER;
  for (int i = 0; i < 1500; i++)
    {
      advance (1);
      g_assert_cmpuint (world.sent[DECIDE_MSG_KEY_COPY], <=, before + MOST);
      before = world.sent[DECIDE_MSG_KEY_COPY];
    }
  g_assert_cmpuint (before, ==, COUNT);
  end_world ();
}

/* Guards against a second run when the owner is lost while its reply is on the
   way, and the requester runs the request.  */
static void
test_owner_lost_on_reply (void)
{
  uint64_t first;
  uint64_t repeat;

  start_world (1);
  world.delay_ms = SOON_MS;
  first = call (REQUESTER, 7);
  advance (SOON_MS + 5);
  stop_node (OWNER);
  change_owner (2, KEYS_TAKEN_OVER);
  repeat = call (REPEATER, 7);
  advance (400);
  g_assert_true (find_caller (first)->ran);
  finish (first, DECIDE_KEY_STATE_DONE);
  advance (100);
  g_assert_true (find_caller (repeat)->replayed);
  end_world ();
}

/* Guards against a reply that comes after the new owner's collection, which
   did not find the claim: from a later record version (0), from a delegate at
   the same one (1), or by the requester itself (2), also when it has lost the
   slice again (3).  */
static void
test_late_reply (const void *how)
{
  int kind = GPOINTER_TO_INT (how);
  uint64_t first;
  uint64_t second;

  start_world (1);
  first = hold_reply ();
  stop_node (OWNER);
  if (kind == 1)
    world.version--;
  change_owner (kind >= 2 ? REQUESTER : 2, KEYS_TAKEN_OVER);
  advance (SOON_MS);
  second = call (REPEATER, 7);
  advance (SOON_MS);
  g_assert_true (find_caller (second)->ran);
  if (kind == 3)
    change_owner (2, KEYS_HANDED_OVER);
  release_reply ();
  g_assert_false (find_caller (first)->ran);

  /* Asked again, the new owner knows of the other run.  */
  finish (second, DECIDE_KEY_STATE_DONE);
  advance (200);
  g_assert_true (find_caller (first)->replayed);
  end_world ();
}

/* Guards against the reply of a delegate that was replaced by another at the
   same record version, and whose request for entries comes once more.  */
static void
test_two_delegates (void)
{
  packet_t collect;
  uint64_t first;

  start_world (1);
  world.version--;
  change_owner (2, KEYS_TAKEN_OVER);
  hold_message (DECIDE_MSG_KEY_COLLECT, REQUESTER);
  collect = held;
  release_reply ();
  advance (SOON_MS);
  first = hold_reply ();
  stop_node (2);
  world.version--;
  change_owner (1, KEYS_TAKEN_OVER);
  advance (SOON_MS);
  g_assert_true (is_run (1, 7));
  collect.due = world.now;
  g_array_append_val (world.packets, collect);
  advance (1);
  release_reply ();
  g_assert_false (find_caller (first)->ran);
  end_world ();
}

/* Guards against a claim of a replaced owner that blocks the key at the new
   one, which was to hold its copy.  */
static void
test_copy_to_owner (void)
{
  uint64_t second;

  start_world (1);
  world.delay_ms = SOON_MS;
  call (OWNER, 7);
  advance (1);
  world.version--;
  change_owner (1, KEYS_TAKEN_OVER);
  advance (SOON_MS);
  stop_node (OWNER);
  advance (3 * SOON_MS);
  second = call (REPEATER, 7);
  advance (100);
  g_assert_true (find_caller (second)->ran);
  end_world ();
}

/* Guards against an outcome that stays without a copy when the holder was out
   of reach for a while.  */
static void
test_out_of_reach (void)
{
  uint64_t first;

  start_world (1);
  first = call (OWNER, 7);
  advance (SOON_MS);
  world.cut[OWNER] = 1U << 1;
  finish (first, DECIDE_KEY_STATE_DONE);
  advance (500);
  world.cut[OWNER] = 0;
  advance (1500);
  lose_owner (2);
  assert_replayed (7);
  end_world ();
}

/* Guards against a copy from before a handover that is taken for a current one
   when the slice comes back.  */
static void
test_handed_back (void)
{
  uint64_t first;

  start_world (1);
  first = call (OWNER, 7);
  advance (SOON_MS);
  change_owner (2, KEYS_HANDED_OVER);
  advance (SOON_MS);
  finish (first, DECIDE_KEY_STATE_DONE);
  advance (SOON_MS);
  change_owner (OWNER, KEYS_HANDED_OVER);
  advance (1500);
  stop_node (2);
  stop_node (3);
  advance (1500);
  lose_owner (REPEATER);
  assert_replayed (7);
  end_world ();
}

/* Guards against a claim of a replaced owner that is let run although a later
   one ran: its holder has not answered (0), or is the new owner (1).  */
static void
test_earlier_claim (const void *how)
{
  uint64_t first;

  start_world (1);
  first = hold_reply ();
  change_owner (1, KEYS_TAKEN_OVER);
  advance (SOON_MS);
  g_assert_true (is_run (1, 7));
  if (GPOINTER_TO_INT (how) == 0)
    {
      stop_node (1);
      world.cut[2] = 1U << REPEATER;
    }
  change_owner (GPOINTER_TO_INT (how) == 0 ? REPEATER : 2, KEYS_TAKEN_OVER);
  advance (1000);
  g_assert_false (find_caller (first)->ran);
  end_world ();
}

/* Guards against a copy of a claim without a run that blocks its key.  */
static void
test_not_run_copied (void)
{
  uint64_t first;

  start_world (1);
  first = call (OWNER, 7);
  advance (SOON_MS);
  finish (first, DECIDE_KEY_STATE_NOT_RUN);
  advance (SOON_MS);
  world.leaving = 1U << 1;
  advance (1500);
  lose_owner (REQUESTER);
  g_assert_true (is_run (REPEATER, 7));
  end_world ();
}

/* Guards against a claim that stays blocked after a rejected reply.  */
static void
test_asked_again (void)
{
  uint64_t first;

  start_world (1);
  first = hold_reply ();
  lose_owner (2);
  release_reply ();
  g_assert_false (find_caller (first)->ran);
  advance (100);
  g_assert_true (find_caller (first)->ran);
  end_world ();
}

/* Guards against a run that only the owner knows of, when the first reply was
   lost, the requester has begun to leave and the next copy is not
   confirmed.  */
static void
test_lost_reply (void)
{
  uint64_t first;
  uint64_t repeat;

  start_world (1);
  first = hold_reply ();
  world.leaving = 1U << REQUESTER;
  world.cut[OWNER] = 1U << 1;
  advance (100);
  g_assert_false (find_caller (first)->ran);
  world.cut[OWNER] = 0;
  advance (100);
  g_assert_true (find_caller (first)->ran);
  lose_owner (2);
  repeat = call (REPEATER, 7);
  advance (100);
  g_assert_false (find_caller (repeat)->ran);
  end_world ();
}

/* Guards against an owner without a lease that lets a waiting request run.  */
static void
test_lapsed_lease (void)
{
  uint64_t first;
  uint64_t second;

  start_world (1);
  first = call (REQUESTER, 7);
  advance (SOON_MS);
  second = call (REPEATER, 7);
  advance (SOON_MS);
  world.lapsed = true;
  finish (first, DECIDE_KEY_STATE_NOT_RUN);
  advance (100);
  g_assert_false (find_caller (second)->ran);
  world.lapsed = false;
  advance (100);
  g_assert_true (find_caller (second)->ran);
  end_world ();
}

/* Guards against a run although the requester's own copy says that an earlier
   one ended.  */
static void
test_own_copy (void)
{
  uint64_t repeat;

  start_world (1);
  run_whole (REQUESTER, 7);
  stop_node (OWNER);
  /* A first owner collects nothing.  */
  change_owner (2, KEYS_FIRST_OWNER);
  repeat = call (REQUESTER, 7);
  advance (1000);
  g_assert_false (find_caller (repeat)->ran);
  g_assert_cmpint (find_caller (repeat)->refusal.ran, ==, DECIDE_RAN_UNKNOWN);
  end_world ();
}

static void
assert_full (uint64_t request)
{
  g_assert_true (find_caller (request)->refused);
  g_assert_cmpint (find_caller (request)->refusal.reason, ==,
                   DECIDE_REASON_KEY_FULL);
  g_assert_cmpint (find_caller (request)->refusal.ran, ==, DECIDE_RAN_NO);
  g_assert_cmpint (find_caller (request)->refusal.retry_after_ms, >, 0);
}

/* Keys may run again after the retention time.  */
static void
forget_runs (void)
{
  for (uint32_t i = 1; i <= world.callers->len; i++)
    find_caller (i)->run_ends = -1;
}

/* Guards against memory that grows with the keys, a limit that also stops
   repeats of known keys, and room that does not come back.  */
static void
test_full (void)
{
  uint64_t request;

  key_bytes = 6000; /* key 8 has an answer of 4 KiB */
  start_world (1);
  key_bytes = 0;
  for (int round = 0; round < 3; round++)
    {
      request = call (REQUESTER, 8);
      advance (SOON_MS);
      finish (request, DECIDE_KEY_STATE_DONE);
      for (uint32_t i = 11; i < 41; i += 2)
        request = call (REPEATER, i);
      advance (SOON_MS);
      assert_full (request);
      g_assert_cmpuint (keys_count (world.nodes[OWNER].keys), >, 4);
      g_assert_cmpuint (keys_count (world.nodes[OWNER].keys), <, 12);
      request = call (REPEATER, 8);
      advance (SOON_MS);
      g_assert_true (find_caller (request)->replayed);
      forget_runs ();
      world.now += RETENTION_MS;
      advance (2000);
    }
  end_world ();
}

/* Guards against a full requester that runs a request without its copy, or
   blocks the key for others.  */
static void
test_requester_full (void)
{
  uint64_t request;

  start_world (1);
  stop_node (REQUESTER);
  key_bytes = 1;
  start_node (REQUESTER);
  key_bytes = 0;
  world.leaving = ~(1U << REQUESTER);
  call (OWNER, 7); /* its copy is taken above the limit */
  advance (SOON_MS);
  g_assert_true (find_caller (1)->ran);
  world.leaving = 0;
  request = call (REQUESTER, 8);
  advance (SOON_MS);
  assert_full (request);
  g_assert_true (is_run (REPEATER, 8));
  end_world ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/keys-holder/one-exchange", test_one_exchange);
  g_test_add_func ("/keys-holder/second-member", test_second_member);
  g_test_add_data_func ("/keys-holder/holder-lost", GINT_TO_POINTER (0),
                        test_holder_gone);
  g_test_add_data_func ("/keys-holder/holder-leaves", GINT_TO_POINTER (1),
                        test_holder_gone);
  g_test_add_data_func ("/keys-holder/holder-restarts", GINT_TO_POINTER (2),
                        test_holder_gone);
  g_test_add_func ("/keys-holder/batches", test_batches);
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
  g_test_add_func ("/keys-holder/out-of-reach", test_out_of_reach);
  g_test_add_func ("/keys-holder/handed-back", test_handed_back);
  g_test_add_data_func ("/keys-holder/earlier-claim/no-answer",
                        GINT_TO_POINTER (0), test_earlier_claim);
  g_test_add_data_func ("/keys-holder/earlier-claim/known",
                        GINT_TO_POINTER (1), test_earlier_claim);
  g_test_add_func ("/keys-holder/not-run-copied", test_not_run_copied);
  g_test_add_func ("/keys-holder/asked-again", test_asked_again);
  g_test_add_func ("/keys-holder/lost-reply", test_lost_reply);
  g_test_add_func ("/keys-holder/lapsed-lease", test_lapsed_lease);
  g_test_add_func ("/keys-holder/own-copy", test_own_copy);
  g_test_add_func ("/keys-holder/full", test_full);
  g_test_add_func ("/keys-holder/requester-full", test_requester_full);
  return g_test_run ();
}
