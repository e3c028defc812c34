#include "ownership.h"

#include <glib.h>
#include <string.h>

/* Tests of each ownership rule on a single instance, "me", which gets
   constructed messages.  They guard against the loss of a rule that the search
   in ownership_search.c doesn't reach.  */

#define RECORD_VERSION 10
#define NOW_MS 10000
#define MY_INCARNATION 7
#define GRANT_MS 300

typedef struct fixture
{
  ownership_t *o;
  decide_rng_t rng;
  decide_msg_t last_message; /* last message sent, of any type */
  decide_msg_t heartbeat;
  decide_id_t
      heartbeat_sender; /* instance whose heartbeat shall be acknowledged */
  bool has_received_ack;
  decide_msg_heartbeat_ack_t received_ack;
  bool
      piggyback; /* acknowledge_heartbeat() sends the promise in a heartbeat */
  uint32_t sent[DECIDE_MSG_KEY_COLLECT_REPLY + 1]; /* count by type */
  uint32_t read_count;
  uint32_t put_count;
  uint64_t operation;
} fixture_t;

static void on_send (void *context, decide_id_t instance,
                     const decide_msg_t *msg);
static void on_fill (void *context, decide_msg_t *msg);
static void on_store_read (void *context);
static void on_store_put (void *context, uint64_t operation, uint64_t expected,
                          const decide_record_t *record);
static void on_slice_changed (void *context, uint32_t centre, uint32_t slice,
                              ownership_change_t change);
static uint32_t on_export (void *context, uint32_t centre, uint32_t slice,
                           decide_handover_grant_t *grants, uint32_t max);
static void on_import (void *context, const decide_msg_handover_t *handover);
static decide_record_t make_record (const char *owner, uint64_t incarnation);
static void set_up_process (fixture_t *f);
static void set_up (fixture_t *f, const char *owner, uint64_t incarnation);
static bool is_promised (fixture_t *f, clock_ms_t now, const char *from,
                         uint64_t incarnation, uint64_t version,
                         const char *acting_for);
static bool is_support_granted (fixture_t *f, clock_ms_t now, const char *from,
                                uint64_t incarnation, uint64_t version);
static void acknowledge_heartbeat (fixture_t *f, clock_ms_t now,
                                   const char *from, uint64_t incarnation,
                                   uint64_t version);
static void hand_over_slice (fixture_t *f, clock_ms_t now, uint64_t version);

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  fixture_t *f = context;

  f->last_message = *msg;
  f->sent[msg->type]++;
  if (msg->type == DECIDE_MSG_HEARTBEAT)
    f->heartbeat = *msg;
  if (instance != f->heartbeat_sender)
    return;
  if (msg->type == DECIDE_MSG_HEARTBEAT_ACK)
    f->received_ack = msg->u.ack;
  else if (msg->type == DECIDE_MSG_HEARTBEAT && msg->u.heartbeat.has_promise)
    f->received_ack = (decide_msg_heartbeat_ack_t){
      .sequence = msg->u.heartbeat.promise.sequence,
      .sent = msg->u.heartbeat.promise.sent,
      .record_version = msg->u.heartbeat.record_version,
      .promised = true,
    };
  else
    return;
  f->has_received_ack = true;
}

static void
on_fill (void *context, decide_msg_t *msg)
{
  (void)context;
  (void)msg;
}

static void
on_store_read (void *context)
{
  fixture_t *f = context;

  f->read_count++;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  fixture_t *f = context;

  (void)expected;
  (void)record;
  f->put_count++;
  f->operation = operation;
}

static void
on_slice_changed (void *context, uint32_t centre, uint32_t slice,
                  ownership_change_t change)
{
  (void)context;
  (void)centre;
  (void)slice;
  (void)change;
}

static uint32_t
on_export (void *context, uint32_t centre, uint32_t slice,
           decide_handover_grant_t *grants, uint32_t max)
{
  (void)context;
  (void)centre;
  (void)slice;
  (void)grants;
  (void)max;
  return 0;
}

static void
on_import (void *context, const decide_msg_handover_t *handover)
{
  (void)context;
  (void)handover;
}

/* Record with four members: "me", and three others with incarnation 1.  All
   slices belong to one process.  */
static decide_record_t
make_record (const char *owner, uint64_t incarnation)
{
  static const char *const names[] = { "me", "old", "new", "other" };
  decide_record_t record = { .version = RECORD_VERSION, .member_count = 4 };

  for (int i = 0; i < 4; i++)
    {
      g_strlcpy (record.members[i].name, names[i], DECIDE_NAME_MAX);
      g_strlcpy (record.members[i].data_centre, "a", DECIDE_NAME_MAX);
      record.members[i].incarnation = i == 0 ? MY_INCARNATION : 1;
    }
  record.centre_count = 1;
  g_strlcpy (record.centres[0].name, DECIDE_KEY_CENTRE, DECIDE_NAME_MAX);
  for (uint32_t s = 0; s < DECIDE_SLICES; s++)
    record.centres[0].slices[s]
        = (decide_slice_t){ decide_id (owner), incarnation, 5 };
  return record;
}

static void
set_up_process (fixture_t *f)
{
  ownership_settings_t settings = { .instance = "me",
                                    .data_centre = "a",
                                    .incarnation = MY_INCARNATION };
  ownership_callbacks_t callbacks = { .context = f,
                                      .send = on_send,
                                      .fill = on_fill,
                                      .store_read = on_store_read,
                                      .store_put = on_store_put,
                                      .slice_changed = on_slice_changed,
                                      .export_grants = on_export,
                                      .import_grants = on_import };

  memset (f, 0, sizeof *f);
  decide_rng_seed (&f->rng, 1);
  f->o = ownership_new (&settings, &callbacks, &f->rng, 0);
  g_assert_nonnull (f->o);
  ownership_set_longest_grant (f->o, GRANT_MS);
}

/* The process has run for 5 s when it gets the record.  */
static void
set_up (fixture_t *f, const char *owner, uint64_t incarnation)
{
  decide_record_t record = make_record (owner, incarnation);

  set_up_process (f);
  g_assert_cmpint (ownership_adopt_record (f->o, NOW_MS - 5000, &record), ==,
                   0);
}

/* Sends a heartbeat to "me", in which the sender states that it serves slice 0
   as a delegate of @acting_for, unless that is NULL.  Returns whether it was
   acknowledged at once.  */
static bool
send_heartbeat (fixture_t *f, clock_ms_t now, const char *from,
                uint64_t incarnation, uint64_t version, const char *acting_for)
{
  static uint64_t sequence = 100;
  decide_msg_t msg
      = { .type = DECIDE_MSG_HEARTBEAT, .incarnation = incarnation };

  msg.u.heartbeat.sequence = ++sequence;
  msg.u.heartbeat.sent = -(clock_ms_t)sequence;
  msg.u.heartbeat.record_version = version;
  if (acting_for != NULL)
    {
      msg.u.heartbeat.acting_count = 1;
      msg.u.heartbeat.acting[0]
          = (decide_delegated_slice_t){ decide_id (acting_for), 1, 0, 0 };
    }
  f->heartbeat_sender = decide_id (from);
  f->has_received_ack = false;
  f->received_ack
      = (decide_msg_heartbeat_ack_t){ .sequence = sequence,
                                      .sent = -(clock_ms_t)sequence };
  ownership_handle_message (f->o, now, f->heartbeat_sender, &msg);
  return f->has_received_ack;
}

/* Whether a heartbeat is answered with a promise, at once or with the next
   heartbeat to its sender.  */
static bool
is_promised (fixture_t *f, clock_ms_t now, const char *from,
             uint64_t incarnation, uint64_t version, const char *acting_for)
{
  uint64_t sequence;

  if (!send_heartbeat (f, now, from, incarnation, version, acting_for))
    (void)ownership_tick (f->o, now + DECIDE_HEARTBEAT_INTERVAL_MS);
  sequence = f->received_ack.sequence;
  g_assert_cmpint (f->received_ack.sent, ==, -(clock_ms_t)sequence);
  g_assert_true (!f->received_ack.promised
                 || f->received_ack.record_version == version);
  return f->received_ack.promised;
}

/* Requests support for a takeover from "old"; returns whether it was given. */
static bool
is_support_granted (fixture_t *f, clock_ms_t now, const char *from,
                    uint64_t incarnation, uint64_t version)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_SUPPORT_REQUEST, .incarnation = incarnation };

  msg.u.support.record_version = version;
  msg.u.support.owner = decide_id ("old");
  msg.u.support.owner_incarnation = 1;
  ownership_handle_message (f->o, now, decide_id (from), &msg);
  g_assert_cmpint (f->last_message.type, ==, DECIDE_MSG_SUPPORT_REPLY);
  return f->last_message.u.support.granted;
}

/* Acknowledges the last heartbeat of "me" with a promise.  */
static void
acknowledge_heartbeat (fixture_t *f, clock_ms_t now, const char *from,
                       uint64_t incarnation, uint64_t version)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_HEARTBEAT_ACK, .incarnation = incarnation };

  msg.u.ack.sequence = f->heartbeat.u.heartbeat.sequence;
  msg.u.ack.sent = f->heartbeat.u.heartbeat.sent;
  msg.u.ack.record_version = version;
  msg.u.ack.promised = true;
  if (f->piggyback)
    {
      decide_promise_t promise = { msg.u.ack.sequence, msg.u.ack.sent };

      memset (&msg.u, 0, sizeof msg.u);
      msg.type = DECIDE_MSG_HEARTBEAT;
      msg.u.heartbeat.record_version = version;
      msg.u.heartbeat.has_promise = true;
      msg.u.heartbeat.promise = promise;
    }
  ownership_handle_message (f->o, now, decide_id (from), &msg);
}

/* "old" hands slice 0 over to "me".  */
static void
hand_over_slice (fixture_t *f, clock_ms_t now, uint64_t version)
{
  decide_msg_t msg = { .type = DECIDE_MSG_HANDOVER, .incarnation = 1 };

  msg.u.handover.record_version = version;
  ownership_handle_message (f->o, now, decide_id ("old"), &msg);
}

/* Guards against a promise at another record version than the sender's, and
   against one to or by a process that the record doesn't list.  */
static void
test_promise_conditions (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  g_assert_true (is_promised (&f, NOW_MS, "old", 1, RECORD_VERSION, NULL));
  g_assert_true (is_promised (&f, NOW_MS, "new", 1, RECORD_VERSION, "old"));
  g_assert_false (
      is_promised (&f, NOW_MS, "old", 1, RECORD_VERSION - 1, NULL));
  g_assert_false (
      is_promised (&f, NOW_MS, "old", 1, RECORD_VERSION + 1, NULL));
  g_assert_false (is_promised (&f, NOW_MS, "old", 2, RECORD_VERSION, NULL));
  g_assert_false (
      is_promised (&f, NOW_MS, "stranger", 1, RECORD_VERSION, NULL));
  g_assert_false (is_promised (&f, NOW_MS, "new", 1, RECORD_VERSION, "other"));
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (f.o, NOW_MS, &record);
  g_assert_false (
      is_promised (&f, NOW_MS, "old", 1, RECORD_VERSION + 1, NULL));
  ownership_free (f.o);
}

/* Guards against support for a takeover from an owner that isn't silent, at
   another record version, soon after the start, or by or for a process that
   the record doesn't list.  */
static void
test_support_conditions (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  (void)is_promised (&f, NOW_MS, "old", 1, RECORD_VERSION, NULL);
  g_assert_false (
      is_support_granted (&f, NOW_MS + 2000, "new", 1, RECORD_VERSION));
  (void)is_promised (&f, NOW_MS + 1000, "other", 1, RECORD_VERSION, "old");
  g_assert_false (
      is_support_granted (&f, NOW_MS + 3000, "new", 1, RECORD_VERSION));
  g_assert_false (
      is_support_granted (&f, NOW_MS + 3001, "new", 1, RECORD_VERSION - 1));
  g_assert_false (
      is_support_granted (&f, NOW_MS + 3001, "new", 2, RECORD_VERSION));
  g_assert_true (
      is_support_granted (&f, NOW_MS + 3001, "new", 1, RECORD_VERSION));
  ownership_free (f.o);

  set_up (&f, "old", 1);
  g_assert_true (is_support_granted (&f, NOW_MS, "new", 1, RECORD_VERSION));
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (f.o, NOW_MS, &record);
  g_assert_false (
      is_support_granted (&f, NOW_MS, "new", 1, RECORD_VERSION + 1));
  ownership_free (f.o);
}

/* Guards against support by a process that has just started, since an earlier
   process of its instance may have made a promise to the owner.  The record
   does not list the owner, so adopting it does not count as a sign of life. */
static void
test_support_after_start (void)
{
  fixture_t f;
  decide_record_t record;

  set_up_process (&f);
  record = make_record ("old", 1);
  g_strlcpy (record.members[1].name, "another", DECIDE_NAME_MAX);
  g_assert_cmpint (ownership_adopt_record (f.o, 0, &record), ==, 0);
  g_assert_false (is_support_granted (&f, 2000, "new", 1, RECORD_VERSION));
  g_assert_true (is_support_granted (&f, 2001, "new", 1, RECORD_VERSION));
  ownership_free (f.o);
}

/* Guards against a supporter of a takeover that still makes promises to the
   owner or its delegate, and against support that outlives the record version
   at which it was given.  */
static void
test_supporter (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  g_assert_true (is_support_granted (&f, NOW_MS, "new", 1, RECORD_VERSION));
  g_assert_false (
      is_promised (&f, NOW_MS + 1, "old", 1, RECORD_VERSION, NULL));
  g_assert_true (f.received_ack.supported_against);
  g_assert_false (
      is_promised (&f, NOW_MS + 1, "other", 1, RECORD_VERSION, "old"));
  g_assert_true (f.received_ack.supported_against);
  g_assert_true (
      is_promised (&f, NOW_MS + 1, "other", 1, RECORD_VERSION, NULL));
  /* A supporter must not become a delegate of the owner either.  */
  hand_over_slice (&f, NOW_MS + 1, RECORD_VERSION);
  g_assert_false (ownership_is_owner_or_delegate (f.o, 0, 0));
  record = *ownership_get_record (f.o);
  record.version++;
  (void)ownership_adopt_record (f.o, NOW_MS + 2, &record);
  g_assert_true (
      is_promised (&f, NOW_MS + 3, "old", 1, RECORD_VERSION + 1, NULL));
  ownership_free (f.o);
}

/* Guards against a lease by promises of only half of the members, and by
   promises for another record version, by another process or for another
   process's heartbeat.  Guards also against a lease that is counted from the
   arrival of the promise instead of the sending of the heartbeat.  */
static void
test_majority_lease (const void *piggyback)
{
  fixture_t f;
  uint64_t sequence;

  set_up (&f, "me", MY_INCARNATION);
  f.piggyback = piggyback != NULL;
  (void)ownership_tick (f.o, NOW_MS);
  acknowledge_heartbeat (&f, NOW_MS + 10, "old", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW_MS + 10), ==, 0);
  acknowledge_heartbeat (&f, NOW_MS + 10, "new", 1, RECORD_VERSION - 1);
  acknowledge_heartbeat (&f, NOW_MS + 10, "new", 2, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW_MS + 10), ==, 0);
  sequence = f.heartbeat.u.heartbeat.sequence;
  f.heartbeat.u.heartbeat.sequence = 3;
  acknowledge_heartbeat (&f, NOW_MS + 10, "other", 1, RECORD_VERSION);
  f.heartbeat.u.heartbeat.sequence = sequence + 1;
  acknowledge_heartbeat (&f, NOW_MS + 10, "other", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW_MS + 10), ==, 0);
  f.heartbeat.u.heartbeat.sequence = sequence;
  acknowledge_heartbeat (&f, NOW_MS + 500, "other", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW_MS + 500), ==, 1460);
  g_assert_true (ownership_may_grant (f.o, NOW_MS + 1959, 0, 0, GRANT_MS));
  g_assert_false (ownership_may_grant (f.o, NOW_MS + 1960, 0, 0, GRANT_MS));
  ownership_free (f.o);
}

/* Promises that aren't urgent are piggybacked on the next heartbeat.  Guards
   against a separate RPC for these, against a delay when the sender's lease
   begins or may be about to expire, and against a delayed promise that is sent
   to another instance, twice, at a later version or to a later process.  */
static void
test_piggybacked (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  g_assert_true (send_heartbeat (&f, NOW_MS, "old", 1, RECORD_VERSION, NULL));
  g_assert_false (
      send_heartbeat (&f, NOW_MS + 250, "old", 1, RECORD_VERSION, NULL));
  f.heartbeat_sender = decide_id ("new");
  (void)ownership_tick (f.o, NOW_MS + 300);
  g_assert_false (f.has_received_ack);
  f.heartbeat_sender = decide_id ("old");
  (void)ownership_tick (f.o, NOW_MS + 550);
  g_assert_false (f.has_received_ack);

  g_assert_false (
      send_heartbeat (&f, NOW_MS + 600, "old", 1, RECORD_VERSION, NULL));
  g_assert_false (f.received_ack.promised);
  (void)ownership_tick (f.o, NOW_MS + 800);
  g_assert_true (f.has_received_ack && f.received_ack.promised);

  g_assert_true (
      send_heartbeat (&f, NOW_MS + 1101, "old", 1, RECORD_VERSION, NULL));
  g_assert_true (
      send_heartbeat (&f, NOW_MS + 1110, "new", 1, RECORD_VERSION, NULL));
  g_assert_true (
      send_heartbeat (&f, NOW_MS + 1120, "new", 1, RECORD_VERSION, "old"));
  g_assert_false (
      send_heartbeat (&f, NOW_MS + 1130, "new", 1, RECORD_VERSION, "old"));
  g_assert_true (
      send_heartbeat (&f, NOW_MS + 1140, "stranger", 1, RECORD_VERSION, NULL));

  /* A pending promise is dropped when its receiver is replaced by a later
     process or the record gets a new version.  */
  g_assert_false (
      send_heartbeat (&f, NOW_MS + 1200, "old", 1, RECORD_VERSION, NULL));
  (void)is_support_granted (&f, NOW_MS + 1210, "old", 2, RECORD_VERSION);
  (void)ownership_tick (f.o, NOW_MS + 1250);
  g_assert_false (f.has_received_ack);
  g_assert_false (
      send_heartbeat (&f, NOW_MS + 1260, "new", 1, RECORD_VERSION, "old"));
  record = *ownership_get_record (f.o);
  record.version++;
  (void)ownership_adopt_record (f.o, NOW_MS + 1270, &record);
  (void)ownership_tick (f.o, NOW_MS + 1500);
  g_assert_false (f.has_received_ack);
  g_assert_true (
      send_heartbeat (&f, NOW_MS + 1510, "new", 1, RECORD_VERSION + 1, NULL));
  ownership_free (f.o);
}

/* Guards against a lease that outlives the record version of its promises.  */
static void
test_new_version (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "me", MY_INCARNATION);
  (void)ownership_tick (f.o, NOW_MS);
  acknowledge_heartbeat (&f, NOW_MS, "old", 1, RECORD_VERSION);
  acknowledge_heartbeat (&f, NOW_MS, "new", 1, RECORD_VERSION);
  g_assert_true (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS));
  record = *ownership_get_record (f.o);
  record.version++;
  (void)ownership_adopt_record (f.o, NOW_MS, &record);
  g_assert_false (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS));
  ownership_free (f.o);
}

/* Guards against a lease by a read that is counted from the read's end instead
   of its start, a lease by a failed read, and a wait after the assignment that
   ends too early.  */
static void
test_store_lease (void)
{
  fixture_t f;
  clock_ms_t learned = NOW_MS - 5000;
  clock_ms_t wait_ms = (DECIDE_OWNERSHIP_LEASE_MS + GRANT_MS) * 101 / 99 + 2;

  set_up (&f, "me", MY_INCARNATION);
  ownership_handle_read_result (f.o, learned, learned - 100, false, true);
  g_assert_cmpint (ownership_lease_left (f.o, learned), ==, 0);
  ownership_handle_read_result (f.o, learned + 1500, learned + 500, true,
                                true);
  g_assert_cmpint (ownership_lease_left (f.o, learned + 1500), ==, 1000);
  g_assert_false (
      ownership_may_grant (f.o, learned + wait_ms, 0, 0, GRANT_MS));
  g_assert_true (
      ownership_may_grant (f.o, learned + wait_ms + 2, 0, 0, GRANT_MS));
  g_assert_cmpint (ownership_lease_left (f.o, learned + 2500), ==, 0);
  ownership_free (f.o);
}

/* Guards against instances that start during an outage of the store and retry
   so often that together they exceed its rate limit when it returns: 420
   instances, each of which also sends one periodic read a second, at a limit
   of 2,000 reads/s.  */
static void
test_read_retry (void)
{
  fixture_t f;

  set_up_process (&f);
  for (clock_ms_t now = 0; now < 20000; now += 50)
    {
      uint32_t read_count = f.read_count;

      (void)ownership_tick (f.o, now);
      if (f.read_count > read_count)
        ownership_handle_read_result (f.o, now, now, false, false);
    }
  g_test_message ("%u reads", f.read_count);
  g_assert_cmpuint (f.read_count, >, 10);
  g_assert_cmpuint (f.read_count, <=, 20 * (2000 - 420) / 420);
  ownership_handle_read_result (f.o, 20000, 20000, true, false);
  g_assert_cmpuint (f.put_count, ==, 1);
  ownership_free (f.o);
}

/* Guards against a delegate that counts promises for heartbeats that didn't
   announce the delegation, or that supports a takeover from the owner.  */
static void
test_delegate (void)
{
  fixture_t f;

  set_up (&f, "old", 1);
  (void)ownership_tick (f.o, NOW_MS);
  acknowledge_heartbeat (&f, NOW_MS, "new", 1, RECORD_VERSION);
  acknowledge_heartbeat (&f, NOW_MS, "other", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW_MS), >, 0);
  hand_over_slice (&f, NOW_MS, RECORD_VERSION - 1);
  g_assert_false (ownership_is_owner_or_delegate (f.o, 0, 0));
  hand_over_slice (&f, NOW_MS, RECORD_VERSION);
  g_assert_true (ownership_is_owner_or_delegate (f.o, 0, 0));
  g_assert_cmpint (f.last_message.type, ==, DECIDE_MSG_HANDOVER_ACK);
  g_assert_false (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS));
  (void)ownership_tick (f.o, NOW_MS);
  g_assert_cmpuint (f.heartbeat.u.heartbeat.acting_count, ==, 1);
  g_assert_false (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS));
  acknowledge_heartbeat (&f, NOW_MS, "new", 1, RECORD_VERSION);
  acknowledge_heartbeat (&f, NOW_MS, "other", 1, RECORD_VERSION);
  g_assert_true (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS));
  g_assert_false (
      is_support_granted (&f, NOW_MS + 5000, "new", 1, RECORD_VERSION));
  ownership_free (f.o);
}

/* Guards against a successor that skips the wait although there may have been
   another owner in a record version that it has not seen.  */
static void
test_continued_service (void)
{
  for (uint64_t skipped = 0; skipped < 2; skipped++)
    {
      fixture_t f;
      decide_record_t record;

      set_up (&f, "old", 1);
      hand_over_slice (&f, NOW_MS, RECORD_VERSION);
      record = make_record ("me", MY_INCARNATION);
      record.version = RECORD_VERSION + 1 + skipped;
      record.centres[0].slices[0].assigned = record.version;
      (void)ownership_adopt_record (f.o, NOW_MS, &record);
      ownership_handle_read_result (f.o, NOW_MS, NOW_MS, true, true);
      g_assert_cmpint (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS), ==,
                       skipped == 0);
      ownership_free (f.o);
    }
}

/* Guards against an offer that a later process of the successor's instance
   could accept, one that is made before the owner's own wait is over, and one
   that goes to another successor while an update for the first may still take
   effect.  */
static void
test_offer (void)
{
  fixture_t f;
  decide_record_t record;
  decide_msg_t refusal = { .type = DECIDE_MSG_HANDOVER_ACK, .incarnation = 1 };
  uint32_t offers;

  set_up (&f, "me", MY_INCARNATION);
  (void)is_promised (&f, NOW_MS - 3000, "new", 1, RECORD_VERSION, NULL);
  ownership_stop (f.o, NOW_MS - 4000);
  (void)ownership_tick (f.o, NOW_MS - 3000);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, 0);
  g_assert_false (ownership_may_grant (f.o, NOW_MS, 0, 0, GRANT_MS));
  (void)ownership_tick (f.o, NOW_MS);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, DECIDE_SLICES);
  /* An update that reassigns the slices is under way.  */
  ownership_handle_read_result (f.o, NOW_MS, NOW_MS, true, true);
  g_assert_cmpuint (f.put_count, ==, 1);
  ownership_handle_put_result (f.o, NOW_MS, f.operation, DECIDE_STORE_UNKNOWN,
                               0);
  (void)is_promised (&f, NOW_MS, "other", 1, RECORD_VERSION, NULL);
  refusal.u.handover.more = true;
  refusal.u.handover.record_version = RECORD_VERSION;
  offers = f.sent[DECIDE_MSG_HANDOVER];
  ownership_handle_message (f.o, NOW_MS, decide_id ("new"), &refusal);
  (void)ownership_tick (f.o, NOW_MS + 1);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, offers);
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[2].incarnation = 2;
  (void)ownership_adopt_record (f.o, NOW_MS + 300, &record);
  (void)ownership_tick (f.o, NOW_MS + 300);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, offers);
  /* The update can't take effect any more.  */
  ownership_handle_message (f.o, NOW_MS + 300, decide_id ("new"), &refusal);
  (void)ownership_tick (f.o, NOW_MS + 300);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, offers + 1);
  ownership_free (f.o);
}

/* Guards against a process that overwrites the member entry of a later process
   of the same instance.  */
static void
test_superseded (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "me", MY_INCARNATION);
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (f.o, NOW_MS, &record);
  for (clock_ms_t now = NOW_MS; now < NOW_MS + 3000; now += 50)
    {
      ownership_handle_read_result (f.o, now, now, true, true);
      (void)ownership_tick (f.o, now);
      g_assert_false (ownership_may_grant (f.o, now, 0, 0, GRANT_MS));
    }
  g_assert_cmpuint (f.put_count, ==, 0);
  ownership_free (f.o);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership-rules/promise", test_promise_conditions);
  g_test_add_func ("/ownership-rules/support", test_support_conditions);
  g_test_add_func ("/ownership-rules/started", test_support_after_start);
  g_test_add_func ("/ownership-rules/supported", test_supporter);
  g_test_add_data_func ("/ownership-rules/majority", NULL,
                        test_majority_lease);
  g_test_add_data_func ("/ownership-rules/majority-carried", "carried",
                        test_majority_lease);
  g_test_add_func ("/ownership-rules/carried", test_piggybacked);
  g_test_add_func ("/ownership-rules/new-version", test_new_version);
  g_test_add_func ("/ownership-rules/read", test_store_lease);
  g_test_add_func ("/ownership-rules/read-again", test_read_retry);
  g_test_add_func ("/ownership-rules/delegate", test_delegate);
  g_test_add_func ("/ownership-rules/continue", test_continued_service);
  g_test_add_func ("/ownership-rules/offer", test_offer);
  g_test_add_func ("/ownership-rules/superseded", test_superseded);
  return g_test_run ();
}
