#include "ownership.h"

#include <glib.h>
#include <string.h>

/* Tests of each ownership rule on a single instance, "me", which gets
   constructed messages.  They guard against the loss of a rule in states that
   the search in ownership_search.c doesn't reach.  */

#define RECORD_VERSION 10
#define NOW_MS 10000
#define MY_INCARNATION 7
#define GRANT_MS 300

typedef struct fixture
{
  ownership_t *ownership;
  decide_rng_t rng;
  decide_msg_t last_message;    /* last message that "me" sent, of any type */
  decide_msg_t heartbeat;       /* last heartbeat that "me" sent */
  decide_id_t heartbeat_sender; /* instance that sent the last heartbeat to
                                   "me" */
  bool has_received_ack;        /* "me" has replied to that heartbeat, with an
                                   acknowledgement or a piggybacked promise */
  /* That reply; a piggybacked promise is stored as an acknowledgement.  */
  decide_msg_heartbeat_ack_t received_ack;
  bool piggyback; /* acknowledge_heartbeat() sends the promise in a heartbeat,
                     not in an acknowledgement */
  /* Number of messages sent by "me", by type.  */
  uint32_t sent[DECIDE_MSG_KEY_COLLECT_REPLY + 1];
  uint32_t read_count; /* calls of store_read */
  uint32_t put_count;  /* calls of store_put */
  uint64_t operation;  /* argument of the last call of store_put */
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
static void set_up_process (fixture_t *fixture);
static void set_up (fixture_t *fixture, const char *owner,
                    uint64_t incarnation);
static bool request_promise (fixture_t *fixture, clock_ms_t now,
                             const char *from, uint64_t incarnation,
                             uint64_t version, const char *acting_for);
static bool request_support (fixture_t *fixture, clock_ms_t now,
                             const char *from, uint64_t incarnation,
                             uint64_t version);
static void acknowledge_heartbeat (fixture_t *fixture, clock_ms_t now,
                                   const char *from, uint64_t incarnation,
                                   uint64_t version);
static void hand_over_slice (fixture_t *fixture, clock_ms_t now,
                             uint64_t version);

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  fixture_t *fixture = context;

  fixture->last_message = *msg;
  fixture->sent[msg->type]++;
  if (msg->type == DECIDE_MSG_HEARTBEAT)
    fixture->heartbeat = *msg;
  if (instance != fixture->heartbeat_sender)
    return;
  if (msg->type == DECIDE_MSG_HEARTBEAT_ACK)
    fixture->received_ack = msg->u.ack;
  else if (msg->type == DECIDE_MSG_HEARTBEAT && msg->u.heartbeat.has_promise)
    fixture->received_ack = (decide_msg_heartbeat_ack_t){
      .sequence = msg->u.heartbeat.promise.sequence,
      .sent = msg->u.heartbeat.promise.sent,
      .record_version = msg->u.heartbeat.record_version,
      .promised = true,
    };
  else
    return;
  fixture->has_received_ack = true;
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
  fixture_t *fixture = context;

  fixture->read_count++;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  fixture_t *fixture = context;

  (void)expected;
  (void)record;
  fixture->put_count++;
  fixture->operation = operation;
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

/* Returns a record with four members: "me", and three others with incarnation
   1.  All slices belong to the process (@owner, @incarnation).  */
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

/* Creates the process "me", which starts at time 0 and has no record.  */
static void
set_up_process (fixture_t *fixture)
{
  ownership_settings_t settings = { .instance = "me",
                                    .data_centre = "a",
                                    .incarnation = MY_INCARNATION };
  ownership_callbacks_t callbacks = { .context = fixture,
                                      .send = on_send,
                                      .fill = on_fill,
                                      .store_read = on_store_read,
                                      .store_put = on_store_put,
                                      .slice_changed = on_slice_changed,
                                      .export_grants = on_export,
                                      .import_grants = on_import };

  memset (fixture, 0, sizeof *fixture);
  decide_rng_seed (&fixture->rng, 1);
  fixture->ownership = ownership_new (&settings, &callbacks, &fixture->rng, 0);
  g_assert_nonnull (fixture->ownership);
  ownership_set_longest_grant (fixture->ownership, GRANT_MS);
}

/* Creates the process "me", which gets the record of make_record() 5 s after
   its start, that is, 5 s before NOW_MS.  */
static void
set_up (fixture_t *fixture, const char *owner, uint64_t incarnation)
{
  decide_record_t record = make_record (owner, incarnation);

  set_up_process (fixture);
  g_assert_cmpint (
      ownership_adopt_record (fixture->ownership, NOW_MS - 5000, &record), ==,
      0);
}

/* Sends a heartbeat to "me", in which the sender says that it serves slice 0
   as a delegate of @acting_for, unless that is NULL.  Returns whether the
   heartbeat was acknowledged at once.  */
static bool
send_heartbeat (fixture_t *fixture, clock_ms_t now, const char *from,
                uint64_t incarnation, uint64_t version, const char *acting_for)
{
  static uint64_t sequence = 100;
  decide_msg_t msg
      = { .type = DECIDE_MSG_HEARTBEAT, .incarnation = incarnation };

  msg.u.heartbeat.sequence = ++sequence;
  /* A time that differs for each heartbeat; the reply has to contain it.  */
  msg.u.heartbeat.sent = -(clock_ms_t)sequence;
  msg.u.heartbeat.record_version = version;
  if (acting_for != NULL)
    {
      msg.u.heartbeat.acting_count = 1;
      msg.u.heartbeat.acting[0]
          = (decide_delegated_slice_t){ decide_id (acting_for), 1, 0, 0 };
    }
  fixture->heartbeat_sender = decide_id (from);
  fixture->has_received_ack = false;
  fixture->received_ack
      = (decide_msg_heartbeat_ack_t){ .sequence = sequence,
                                      .sent = -(clock_ms_t)sequence };
  ownership_handle_message (fixture->ownership, now, fixture->heartbeat_sender,
                            &msg);
  return fixture->has_received_ack;
}

/* Sends a heartbeat to "me" as send_heartbeat() does.  Returns whether "me"
   replies with a promise, at once or with its next heartbeat to the sender. */
static bool
request_promise (fixture_t *fixture, clock_ms_t now, const char *from,
                 uint64_t incarnation, uint64_t version,
                 const char *acting_for)
{
  uint64_t sequence;

  if (!send_heartbeat (fixture, now, from, incarnation, version, acting_for))
    (void)ownership_tick (fixture->ownership,
                          now + DECIDE_HEARTBEAT_INTERVAL_MS);
  sequence = fixture->received_ack.sequence;
  g_assert_cmpint (fixture->received_ack.sent, ==, -(clock_ms_t)sequence);
  g_assert_true (!fixture->received_ack.promised
                 || fixture->received_ack.record_version == version);
  return fixture->received_ack.promised;
}

/* Sends a request to "me" to support a takeover from "old".  Returns whether
   "me" gives its support.  */
static bool
request_support (fixture_t *fixture, clock_ms_t now, const char *from,
                 uint64_t incarnation, uint64_t version)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_SUPPORT_REQUEST, .incarnation = incarnation };

  msg.u.support.record_version = version;
  msg.u.support.owner = decide_id ("old");
  msg.u.support.owner_incarnation = 1;
  ownership_handle_message (fixture->ownership, now, decide_id (from), &msg);
  g_assert_cmpint (fixture->last_message.type, ==, DECIDE_MSG_SUPPORT_REPLY);
  return fixture->last_message.u.support.granted;
}

/* Sends a promise to "me", in reply to the last heartbeat of "me".  */
static void
acknowledge_heartbeat (fixture_t *fixture, clock_ms_t now, const char *from,
                       uint64_t incarnation, uint64_t version)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_HEARTBEAT_ACK, .incarnation = incarnation };

  msg.u.ack.sequence = fixture->heartbeat.u.heartbeat.sequence;
  msg.u.ack.sent = fixture->heartbeat.u.heartbeat.sent;
  msg.u.ack.record_version = version;
  msg.u.ack.promised = true;
  if (fixture->piggyback)
    {
      decide_promise_t promise = { msg.u.ack.sequence, msg.u.ack.sent };

      memset (&msg.u, 0, sizeof msg.u);
      msg.type = DECIDE_MSG_HEARTBEAT;
      msg.u.heartbeat.record_version = version;
      msg.u.heartbeat.has_promise = true;
      msg.u.heartbeat.promise = promise;
    }
  ownership_handle_message (fixture->ownership, now, decide_id (from), &msg);
}

/* Offers slice 0 to "me", as its owner "old" does in a handover.  */
static void
hand_over_slice (fixture_t *fixture, clock_ms_t now, uint64_t version)
{
  decide_msg_t msg = { .type = DECIDE_MSG_HANDOVER, .incarnation = 1 };

  msg.u.handover.record_version = version;
  ownership_handle_message (fixture->ownership, now, decide_id ("old"), &msg);
}

/* Guards against a promise to a sender that has another record version, and
   against a promise to or by a process that the record doesn't list.  */
static void
test_promise_conditions (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up (&fixture, "old", 1);
  g_assert_true (
      request_promise (&fixture, NOW_MS, "old", 1, RECORD_VERSION, NULL));
  g_assert_true (
      request_promise (&fixture, NOW_MS, "new", 1, RECORD_VERSION, "old"));
  g_assert_false (
      request_promise (&fixture, NOW_MS, "old", 1, RECORD_VERSION - 1, NULL));
  g_assert_false (
      request_promise (&fixture, NOW_MS, "old", 1, RECORD_VERSION + 1, NULL));
  g_assert_false (
      request_promise (&fixture, NOW_MS, "old", 2, RECORD_VERSION, NULL));
  g_assert_false (
      request_promise (&fixture, NOW_MS, "stranger", 1, RECORD_VERSION, NULL));
  g_assert_false (
      request_promise (&fixture, NOW_MS, "new", 1, RECORD_VERSION, "other"));
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS, &record);
  g_assert_false (
      request_promise (&fixture, NOW_MS, "old", 1, RECORD_VERSION + 1, NULL));
  ownership_free (fixture.ownership);
}

/* Guards against support for a takeover when the owner isn't silent, when the
   requester has another record version, or when the record doesn't list the
   process of the requester or of "me".  */
static void
test_support_conditions (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up (&fixture, "old", 1);
  (void)request_promise (&fixture, NOW_MS, "old", 1, RECORD_VERSION, NULL);
  g_assert_false (
      request_support (&fixture, NOW_MS + 2000, "new", 1, RECORD_VERSION));
  (void)request_promise (&fixture, NOW_MS + 1000, "other", 1, RECORD_VERSION,
                         "old");
  g_assert_false (
      request_support (&fixture, NOW_MS + 3000, "new", 1, RECORD_VERSION));
  g_assert_false (
      request_support (&fixture, NOW_MS + 3001, "new", 1, RECORD_VERSION - 1));
  g_assert_false (
      request_support (&fixture, NOW_MS + 3001, "new", 2, RECORD_VERSION));
  g_assert_true (
      request_support (&fixture, NOW_MS + 3001, "new", 1, RECORD_VERSION));
  ownership_free (fixture.ownership);

  set_up (&fixture, "old", 1);
  g_assert_true (request_support (&fixture, NOW_MS, "new", 1, RECORD_VERSION));
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS, &record);
  g_assert_false (
      request_support (&fixture, NOW_MS, "new", 1, RECORD_VERSION + 1));
  ownership_free (fixture.ownership);
}

/* Guards against support by a process that has just started, since an earlier
   process of its instance may have made a promise to the owner.  The record
   does not list the owner, so adopting it does not count as a sign of
   life.  */
static void
test_support_after_start (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up_process (&fixture);
  record = make_record ("old", 1);
  g_strlcpy (record.members[1].name, "another", DECIDE_NAME_MAX);
  g_assert_cmpint (ownership_adopt_record (fixture.ownership, 0, &record), ==,
                   0);
  g_assert_false (request_support (&fixture, 2000, "new", 1, RECORD_VERSION));
  g_assert_true (request_support (&fixture, 2001, "new", 1, RECORD_VERSION));
  ownership_free (fixture.ownership);
}

/* Guards against promises to an owner or its delegate by a process that
   supports a takeover from that owner, and against support that outlives the
   record version at which it was given.  */
static void
test_supporter (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up (&fixture, "old", 1);
  g_assert_true (request_support (&fixture, NOW_MS, "new", 1, RECORD_VERSION));
  g_assert_false (
      request_promise (&fixture, NOW_MS + 1, "old", 1, RECORD_VERSION, NULL));
  g_assert_true (fixture.received_ack.supported_against);
  g_assert_false (request_promise (&fixture, NOW_MS + 1, "other", 1,
                                   RECORD_VERSION, "old"));
  g_assert_true (fixture.received_ack.supported_against);
  g_assert_true (request_promise (&fixture, NOW_MS + 1, "other", 1,
                                  RECORD_VERSION, NULL));
  /* A supporter must not become a delegate of the owner either.  */
  hand_over_slice (&fixture, NOW_MS + 1, RECORD_VERSION);
  g_assert_false (ownership_is_owner_or_delegate (fixture.ownership, 0, 0));
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS + 2, &record);
  g_assert_true (request_promise (&fixture, NOW_MS + 3, "old", 1,
                                  RECORD_VERSION + 1, NULL));
  ownership_free (fixture.ownership);
}

/* Guards against a lease that is given by promises of only half of the
   members, by promises for another record version or for a heartbeat that this
   process didn't send, or by a promise of a process that the record doesn't
   list.  Guards also against a lease that is counted from the arrival of the
   promise instead of the sending of the heartbeat.  */
static void
test_majority_lease (const void *piggyback)
{
  fixture_t fixture;
  uint64_t sequence;

  set_up (&fixture, "me", MY_INCARNATION);
  fixture.piggyback = piggyback != NULL;
  (void)ownership_tick (fixture.ownership, NOW_MS);
  acknowledge_heartbeat (&fixture, NOW_MS + 10, "old", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, NOW_MS + 10), ==,
                   0);
  acknowledge_heartbeat (&fixture, NOW_MS + 10, "new", 1, RECORD_VERSION - 1);
  acknowledge_heartbeat (&fixture, NOW_MS + 10, "new", 2, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, NOW_MS + 10), ==,
                   0);
  sequence = fixture.heartbeat.u.heartbeat.sequence;
  fixture.heartbeat.u.heartbeat.sequence = 3;
  acknowledge_heartbeat (&fixture, NOW_MS + 10, "other", 1, RECORD_VERSION);
  fixture.heartbeat.u.heartbeat.sequence = sequence + 1;
  acknowledge_heartbeat (&fixture, NOW_MS + 10, "other", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, NOW_MS + 10), ==,
                   0);
  fixture.heartbeat.u.heartbeat.sequence = sequence;
  acknowledge_heartbeat (&fixture, NOW_MS + 500, "other", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, NOW_MS + 500), ==,
                   1460);
  g_assert_true (
      ownership_may_grant (fixture.ownership, NOW_MS + 1959, 0, 0, GRANT_MS));
  g_assert_false (
      ownership_may_grant (fixture.ownership, NOW_MS + 1960, 0, 0, GRANT_MS));
  ownership_free (fixture.ownership);
}

/* A promise that isn't urgent is piggybacked on the next heartbeat.  Guards
   against a separate message for such a promise, against a delayed promise
   when the lease of the heartbeat's sender begins or may be about to expire,
   and against a delayed promise that is sent to another instance, sent twice,
   or sent after the record version or the receiving process has changed.  */
static void
test_piggybacked (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up (&fixture, "old", 1);
  g_assert_true (
      send_heartbeat (&fixture, NOW_MS, "old", 1, RECORD_VERSION, NULL));
  g_assert_false (
      send_heartbeat (&fixture, NOW_MS + 250, "old", 1, RECORD_VERSION, NULL));
  fixture.heartbeat_sender = decide_id ("new");
  (void)ownership_tick (fixture.ownership, NOW_MS + 300);
  g_assert_false (fixture.has_received_ack);
  fixture.heartbeat_sender = decide_id ("old");
  (void)ownership_tick (fixture.ownership, NOW_MS + 550);
  g_assert_false (fixture.has_received_ack);

  g_assert_false (
      send_heartbeat (&fixture, NOW_MS + 600, "old", 1, RECORD_VERSION, NULL));
  g_assert_false (fixture.received_ack.promised);
  (void)ownership_tick (fixture.ownership, NOW_MS + 800);
  g_assert_true (fixture.has_received_ack && fixture.received_ack.promised);

  g_assert_true (send_heartbeat (&fixture, NOW_MS + 1101, "old", 1,
                                 RECORD_VERSION, NULL));
  g_assert_true (send_heartbeat (&fixture, NOW_MS + 1110, "new", 1,
                                 RECORD_VERSION, NULL));
  g_assert_true (send_heartbeat (&fixture, NOW_MS + 1120, "new", 1,
                                 RECORD_VERSION, "old"));
  g_assert_false (send_heartbeat (&fixture, NOW_MS + 1130, "new", 1,
                                  RECORD_VERSION, "old"));
  g_assert_true (send_heartbeat (&fixture, NOW_MS + 1140, "stranger", 1,
                                 RECORD_VERSION, NULL));

  /* A pending promise is dropped when its receiver is replaced by a later
     process or the record gets a new version.  */
  g_assert_false (send_heartbeat (&fixture, NOW_MS + 1200, "old", 1,
                                  RECORD_VERSION, NULL));
  (void)request_support (&fixture, NOW_MS + 1210, "old", 2, RECORD_VERSION);
  (void)ownership_tick (fixture.ownership, NOW_MS + 1250);
  g_assert_false (fixture.has_received_ack);
  g_assert_false (send_heartbeat (&fixture, NOW_MS + 1260, "new", 1,
                                  RECORD_VERSION, "old"));
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS + 1270, &record);
  (void)ownership_tick (fixture.ownership, NOW_MS + 1500);
  g_assert_false (fixture.has_received_ack);
  g_assert_true (send_heartbeat (&fixture, NOW_MS + 1510, "new", 1,
                                 RECORD_VERSION + 1, NULL));
  ownership_free (fixture.ownership);
}

/* Guards against a lease that outlives the record version at which its
   promises were made.  */
static void
test_new_version (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up (&fixture, "me", MY_INCARNATION);
  (void)ownership_tick (fixture.ownership, NOW_MS);
  acknowledge_heartbeat (&fixture, NOW_MS, "old", 1, RECORD_VERSION);
  acknowledge_heartbeat (&fixture, NOW_MS, "new", 1, RECORD_VERSION);
  g_assert_true (
      ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS));
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS, &record);
  g_assert_false (
      ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS));
  ownership_free (fixture.ownership);
}

/* Guards against a lease that is counted from the end of a read of the store
   instead of its start, against a lease that a failed read gives, and against
   an owner that grants before the grants of former owners have ended.  */
static void
test_store_lease (void)
{
  fixture_t fixture;
  clock_ms_t adopted_at = NOW_MS - 5000;
  clock_ms_t wait_ms = (DECIDE_OWNERSHIP_LEASE_MS + GRANT_MS) * 101 / 99 + 2;

  set_up (&fixture, "me", MY_INCARNATION);
  ownership_handle_read_result (fixture.ownership, adopted_at,
                                adopted_at - 100, false, true);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, adopted_at), ==,
                   0);
  ownership_handle_read_result (fixture.ownership, adopted_at + 1500,
                                adopted_at + 500, true, true);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, adopted_at + 1500),
                   ==, 1000);
  g_assert_false (ownership_may_grant (fixture.ownership, adopted_at + wait_ms,
                                       0, 0, GRANT_MS));
  g_assert_true (ownership_may_grant (
      fixture.ownership, adopted_at + wait_ms + 2, 0, 0, GRANT_MS));
  g_assert_cmpint (ownership_lease_left (fixture.ownership, adopted_at + 2500),
                   ==, 0);
  ownership_free (fixture.ownership);
}

/* Guards against instances that start during an outage of the store and retry
   their reads so often that, when the store returns, they together exceed its
   rate limit.  The test assumes 420 instances, each of which also sends one
   periodic read a second, and a limit of 2,000 reads a second.  */
static void
test_read_retry (void)
{
  fixture_t fixture;

  set_up_process (&fixture);
  for (clock_ms_t now = 0; now < 20000; now += 50)
    {
      uint32_t read_count = fixture.read_count;

      (void)ownership_tick (fixture.ownership, now);
      if (fixture.read_count > read_count)
        ownership_handle_read_result (fixture.ownership, now, now, false,
                                      false);
    }
  g_test_message ("%u reads", fixture.read_count);
  g_assert_cmpuint (fixture.read_count, >, 10);
  g_assert_cmpuint (fixture.read_count, <=, 20 * (2000 - 420) / 420);
  ownership_handle_read_result (fixture.ownership, 20000, 20000, true, false);
  g_assert_cmpuint (fixture.put_count, ==, 1);
  ownership_free (fixture.ownership);
}

/* Guards against a delegate that counts promises for heartbeats in which it
   did not announce the slice, or that supports a takeover from the slice's
   owner.  */
static void
test_delegate (void)
{
  fixture_t fixture;

  set_up (&fixture, "old", 1);
  (void)ownership_tick (fixture.ownership, NOW_MS);
  acknowledge_heartbeat (&fixture, NOW_MS, "new", 1, RECORD_VERSION);
  acknowledge_heartbeat (&fixture, NOW_MS, "other", 1, RECORD_VERSION);
  g_assert_cmpint (ownership_lease_left (fixture.ownership, NOW_MS), >, 0);
  hand_over_slice (&fixture, NOW_MS, RECORD_VERSION - 1);
  g_assert_false (ownership_is_owner_or_delegate (fixture.ownership, 0, 0));
  hand_over_slice (&fixture, NOW_MS, RECORD_VERSION);
  g_assert_true (ownership_is_owner_or_delegate (fixture.ownership, 0, 0));
  g_assert_cmpint (fixture.last_message.type, ==, DECIDE_MSG_HANDOVER_ACK);
  g_assert_false (
      ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS));
  (void)ownership_tick (fixture.ownership, NOW_MS);
  g_assert_cmpuint (fixture.heartbeat.u.heartbeat.acting_count, ==, 1);
  g_assert_false (
      ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS));
  acknowledge_heartbeat (&fixture, NOW_MS, "new", 1, RECORD_VERSION);
  acknowledge_heartbeat (&fixture, NOW_MS, "other", 1, RECORD_VERSION);
  g_assert_true (
      ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS));
  g_assert_false (
      request_support (&fixture, NOW_MS + 5000, "new", 1, RECORD_VERSION));
  ownership_free (fixture.ownership);
}

/* A delegate that becomes the owner in the next record version grants at once.
   Guards against a delegate that grants at once although it has missed a
   record version, in which there may have been another owner whose grants have
   not ended.  */
static void
test_continued_service (void)
{
  for (uint64_t skipped = 0; skipped < 2; skipped++)
    {
      fixture_t fixture;
      decide_record_t record;

      set_up (&fixture, "old", 1);
      hand_over_slice (&fixture, NOW_MS, RECORD_VERSION);
      record = make_record ("me", MY_INCARNATION);
      record.version = RECORD_VERSION + 1 + skipped;
      record.centres[0].slices[0].assigned = record.version;
      (void)ownership_adopt_record (fixture.ownership, NOW_MS, &record);
      ownership_handle_read_result (fixture.ownership, NOW_MS, NOW_MS, true,
                                    true);
      g_assert_cmpint (
          ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS), ==,
          skipped == 0);
      ownership_free (fixture.ownership);
    }
}

/* Guards against an offer that a later process of the successor's instance
   could accept, against an offer before the grants of former owners have
   ended, and against an offer to another successor while an update that
   assigns the slice to the first one may still take effect.  */
static void
test_offer (void)
{
  fixture_t fixture;
  decide_record_t record;
  decide_msg_t refusal = { .type = DECIDE_MSG_HANDOVER_ACK, .incarnation = 1 };
  uint32_t offers;

  set_up (&fixture, "me", MY_INCARNATION);
  (void)request_promise (&fixture, NOW_MS - 3000, "new", 1, RECORD_VERSION,
                         NULL);
  ownership_stop (fixture.ownership, NOW_MS - 4000);
  (void)ownership_tick (fixture.ownership, NOW_MS - 3000);
  g_assert_cmpuint (fixture.sent[DECIDE_MSG_HANDOVER], ==, 0);
  g_assert_false (
      ownership_may_grant (fixture.ownership, NOW_MS, 0, 0, GRANT_MS));
  (void)ownership_tick (fixture.ownership, NOW_MS);
  g_assert_cmpuint (fixture.sent[DECIDE_MSG_HANDOVER], ==, DECIDE_SLICES);
  /* The result of an update that reassigns the slices is unknown, so that the
     update may still take effect.  */
  ownership_handle_read_result (fixture.ownership, NOW_MS, NOW_MS, true, true);
  g_assert_cmpuint (fixture.put_count, ==, 1);
  ownership_handle_put_result (fixture.ownership, NOW_MS, fixture.operation,
                               DECIDE_STORE_UNKNOWN, 0);
  (void)request_promise (&fixture, NOW_MS, "other", 1, RECORD_VERSION, NULL);
  refusal.u.handover.more = true;
  refusal.u.handover.record_version = RECORD_VERSION;
  offers = fixture.sent[DECIDE_MSG_HANDOVER];
  ownership_handle_message (fixture.ownership, NOW_MS, decide_id ("new"),
                            &refusal);
  (void)ownership_tick (fixture.ownership, NOW_MS + 1);
  g_assert_cmpuint (fixture.sent[DECIDE_MSG_HANDOVER], ==, offers);
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  record.members[2].incarnation = 2;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS + 300, &record);
  (void)ownership_tick (fixture.ownership, NOW_MS + 300);
  g_assert_cmpuint (fixture.sent[DECIDE_MSG_HANDOVER], ==, offers);
  /* At the new record version the update can't take effect any more.  */
  ownership_handle_message (fixture.ownership, NOW_MS + 300, decide_id ("new"),
                            &refusal);
  (void)ownership_tick (fixture.ownership, NOW_MS + 300);
  g_assert_cmpuint (fixture.sent[DECIDE_MSG_HANDOVER], ==, offers + 1);
  ownership_free (fixture.ownership);
}

/* Guards against a process that overwrites the member entry of a later process
   of the same instance.  */
static void
test_superseded (void)
{
  fixture_t fixture;
  decide_record_t record;

  set_up (&fixture, "me", MY_INCARNATION);
  record = *ownership_get_record (fixture.ownership);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (fixture.ownership, NOW_MS, &record);
  for (clock_ms_t now = NOW_MS; now < NOW_MS + 3000; now += 50)
    {
      ownership_handle_read_result (fixture.ownership, now, now, true, true);
      (void)ownership_tick (fixture.ownership, now);
      g_assert_false (
          ownership_may_grant (fixture.ownership, now, 0, 0, GRANT_MS));
    }
  g_assert_cmpuint (fixture.put_count, ==, 0);
  ownership_free (fixture.ownership);
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
