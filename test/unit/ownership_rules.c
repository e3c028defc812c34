#include "ownership.h"

#include <glib.h>
#include <string.h>

/* Each rule for one instance, "me", by messages made by hand.  They guard
   against the loss of a rule that the search does not reach.  */

#define VERSION 10
#define NOW 10000
#define MY_INCARNATION 7
#define GRANT_MS 300

typedef struct fixture
{
  ownership_t *o;
  decide_rng_t rng;
  decide_msg_t last; /* last message of any type */
  decide_msg_t heartbeat;
  decide_id_t asker; /* sent the heartbeat that is to be acknowledged */
  bool answered;
  decide_msg_heartbeat_ack_t answer;
  bool carry; /* give_ack() sends the promise in a heartbeat */
  uint32_t sent[DECIDE_MSG_KEY_COLLECT_REPLY + 1];
  uint32_t reads;
  uint32_t puts;
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
static bool promised (fixture_t *f, clock_ms_t now, const char *from,
                      uint64_t incarnation, uint64_t version,
                      const char *acting_for);
static bool granted (fixture_t *f, clock_ms_t now, const char *from,
                     uint64_t incarnation, uint64_t version);
static void give_ack (fixture_t *f, clock_ms_t now, const char *from,
                      uint64_t incarnation, uint64_t version);
static void offer (fixture_t *f, clock_ms_t now, uint64_t version);

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  fixture_t *f = context;

  f->last = *msg;
  f->sent[msg->type]++;
  if (msg->type == DECIDE_MSG_HEARTBEAT)
    f->heartbeat = *msg;
  if (instance != f->asker)
    return;
  if (msg->type == DECIDE_MSG_HEARTBEAT_ACK)
    f->answer = msg->u.ack;
  else if (msg->type == DECIDE_MSG_HEARTBEAT && msg->u.heartbeat.has_promise)
    f->answer = (decide_msg_heartbeat_ack_t){
      .sequence = msg->u.heartbeat.promise.sequence,
      .sent = msg->u.heartbeat.promise.sent,
      .record_version = msg->u.heartbeat.record_version,
      .promised = true,
    };
  else
    return;
  f->answered = true;
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

  f->reads++;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  fixture_t *f = context;

  (void)expected;
  (void)record;
  f->puts++;
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

/* Four members, "me" and three others under incarnation 1.  */
static decide_record_t
make_record (const char *owner, uint64_t incarnation)
{
  static const char *const names[] = { "me", "old", "new", "other" };
  decide_record_t record = { .version = VERSION, .member_count = 4 };

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

/* The process has run for 5 s when it learns the record.  */
static void
set_up (fixture_t *f, const char *owner, uint64_t incarnation)
{
  decide_record_t record = make_record (owner, incarnation);

  set_up_process (f);
  g_assert_cmpint (ownership_adopt_record (f->o, NOW - 5000, &record), ==, 0);
}

/* Return: whether a heartbeat was answered at once.  */
static bool
beat (fixture_t *f, clock_ms_t now, const char *from, uint64_t incarnation,
      uint64_t version, const char *acting_for)
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
          = (decide_acting_t){ decide_id (acting_for), 1, 0, 0 };
    }
  f->asker = decide_id (from);
  f->answered = false;
  f->answer = (decide_msg_heartbeat_ack_t){ .sequence = sequence,
                                            .sent = -(clock_ms_t)sequence };
  ownership_handle_message (f->o, now, f->asker, &msg);
  return f->answered;
}

/* Whether a heartbeat is promised, at once or with the next heartbeat to its
   sender.  */
static bool
promised (fixture_t *f, clock_ms_t now, const char *from, uint64_t incarnation,
          uint64_t version, const char *acting_for)
{
  uint64_t sequence;

  if (!beat (f, now, from, incarnation, version, acting_for))
    (void)ownership_tick (f->o, now + DECIDE_HEARTBEAT_INTERVAL_MS);
  sequence = f->answer.sequence;
  g_assert_cmpint (f->answer.sent, ==, -(clock_ms_t)sequence);
  g_assert_true (!f->answer.promised || f->answer.record_version == version);
  return f->answer.promised;
}

/* Requests support against "old".  */
static bool
granted (fixture_t *f, clock_ms_t now, const char *from, uint64_t incarnation,
         uint64_t version)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_SUPPORT_REQUEST, .incarnation = incarnation };

  msg.u.support.record_version = version;
  msg.u.support.owner = decide_id ("old");
  msg.u.support.owner_incarnation = 1;
  ownership_handle_message (f->o, now, decide_id (from), &msg);
  g_assert_cmpint (f->last.type, ==, DECIDE_MSG_SUPPORT_REPLY);
  return f->last.u.support.granted;
}

/* Acknowledges the last heartbeat.  */
static void
give_ack (fixture_t *f, clock_ms_t now, const char *from, uint64_t incarnation,
          uint64_t version)
{
  decide_msg_t msg
      = { .type = DECIDE_MSG_HEARTBEAT_ACK, .incarnation = incarnation };

  msg.u.ack.sequence = f->heartbeat.u.heartbeat.sequence;
  msg.u.ack.sent = f->heartbeat.u.heartbeat.sent;
  msg.u.ack.record_version = version;
  msg.u.ack.promised = true;
  if (f->carry)
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

/* "old" hands slice 0 over.  */
static void
offer (fixture_t *f, clock_ms_t now, uint64_t version)
{
  decide_msg_t msg = { .type = DECIDE_MSG_HANDOVER, .incarnation = 1 };

  msg.u.handover.record_version = version;
  ownership_handle_message (f->o, now, decide_id ("old"), &msg);
}

/* Guards against a promise at another version, or to or by a process that the
   record does not name.  */
static void
test_promise (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  g_assert_true (promised (&f, NOW, "old", 1, VERSION, NULL));
  g_assert_true (promised (&f, NOW, "new", 1, VERSION, "old"));
  g_assert_false (promised (&f, NOW, "old", 1, VERSION - 1, NULL));
  g_assert_false (promised (&f, NOW, "old", 1, VERSION + 1, NULL));
  g_assert_false (promised (&f, NOW, "old", 2, VERSION, NULL));
  g_assert_false (promised (&f, NOW, "stranger", 1, VERSION, NULL));
  g_assert_false (promised (&f, NOW, "new", 1, VERSION, "other"));
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (f.o, NOW, &record);
  g_assert_false (promised (&f, NOW, "old", 1, VERSION + 1, NULL));
  ownership_free (f.o);
}

/* Guards against support without silence, at another version, soon after the
   start, or by or for a process that the record does not name.  */
static void
test_support (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  (void)promised (&f, NOW, "old", 1, VERSION, NULL);
  g_assert_false (granted (&f, NOW + 2000, "new", 1, VERSION));
  (void)promised (&f, NOW + 1000, "other", 1, VERSION, "old");
  g_assert_false (granted (&f, NOW + 3000, "new", 1, VERSION));
  g_assert_false (granted (&f, NOW + 3001, "new", 1, VERSION - 1));
  g_assert_false (granted (&f, NOW + 3001, "new", 2, VERSION));
  g_assert_true (granted (&f, NOW + 3001, "new", 1, VERSION));
  ownership_free (f.o);

  set_up (&f, "old", 1);
  g_assert_true (granted (&f, NOW, "new", 1, VERSION));
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (f.o, NOW, &record);
  g_assert_false (granted (&f, NOW, "new", 1, VERSION + 1));
  ownership_free (f.o);
}

/* Guards against support by a process that has just started, and may have
   acknowledged before.  The owner was forgotten, so learning the record does
   not count as hearing it.  */
static void
test_started (void)
{
  fixture_t f;
  decide_record_t record;

  set_up_process (&f);
  record = make_record ("old", 1);
  g_strlcpy (record.members[1].name, "another", DECIDE_NAME_MAX);
  g_assert_cmpint (ownership_adopt_record (f.o, 0, &record), ==, 0);
  g_assert_false (granted (&f, 2000, "new", 1, VERSION));
  g_assert_true (granted (&f, 2001, "new", 1, VERSION));
  ownership_free (f.o);
}

/* Guards against a supporter that still acknowledges the owner or its
   delegate, and against support that outlives its version.  */
static void
test_supported (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  g_assert_true (granted (&f, NOW, "new", 1, VERSION));
  g_assert_false (promised (&f, NOW + 1, "old", 1, VERSION, NULL));
  g_assert_true (f.answer.supported_against);
  g_assert_false (promised (&f, NOW + 1, "other", 1, VERSION, "old"));
  g_assert_true (f.answer.supported_against);
  g_assert_true (promised (&f, NOW + 1, "other", 1, VERSION, NULL));
  /* Nor does it become a delegate of the owner itself.  */
  offer (&f, NOW + 1, VERSION);
  g_assert_false (ownership_holds (f.o, 0, 0));
  record = *ownership_get_record (f.o);
  record.version++;
  (void)ownership_adopt_record (f.o, NOW + 2, &record);
  g_assert_true (promised (&f, NOW + 3, "old", 1, VERSION + 1, NULL));
  ownership_free (f.o);
}

/* Guards against evidence from half of the members, from another version,
   from another process, for another process's heartbeat, and against evidence
   that is measured from its arrival.  */
static void
test_majority (const void *carry)
{
  fixture_t f;
  uint64_t sequence;

  set_up (&f, "me", MY_INCARNATION);
  f.carry = carry != NULL;
  (void)ownership_tick (f.o, NOW);
  give_ack (&f, NOW + 10, "old", 1, VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW + 10), ==, 0);
  give_ack (&f, NOW + 10, "new", 1, VERSION - 1);
  give_ack (&f, NOW + 10, "new", 2, VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW + 10), ==, 0);
  sequence = f.heartbeat.u.heartbeat.sequence;
  f.heartbeat.u.heartbeat.sequence = 3;
  give_ack (&f, NOW + 10, "other", 1, VERSION);
  f.heartbeat.u.heartbeat.sequence = sequence + 1;
  give_ack (&f, NOW + 10, "other", 1, VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW + 10), ==, 0);
  f.heartbeat.u.heartbeat.sequence = sequence;
  give_ack (&f, NOW + 500, "other", 1, VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW + 500), ==, 1460);
  g_assert_true (ownership_may_grant (f.o, NOW + 1959, 0, 0, GRANT_MS));
  g_assert_false (ownership_may_grant (f.o, NOW + 1960, 0, 0, GRANT_MS));
  ownership_free (f.o);
}

/* Guards against an RPC for each acknowledgement where none is urgent, against
   an acknowledgement that waits where evidence begins or may be running out,
   and against a waiting one that is sent to another instance, twice, at a
   later version or to a later process.  */
static void
test_carried (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "old", 1);
  g_assert_true (beat (&f, NOW, "old", 1, VERSION, NULL));
  g_assert_false (beat (&f, NOW + 250, "old", 1, VERSION, NULL));
  f.asker = decide_id ("new");
  (void)ownership_tick (f.o, NOW + 300);
  g_assert_false (f.answered);
  f.asker = decide_id ("old");
  (void)ownership_tick (f.o, NOW + 550);
  g_assert_false (f.answered);

  g_assert_false (beat (&f, NOW + 600, "old", 1, VERSION, NULL));
  g_assert_false (f.answer.promised);
  (void)ownership_tick (f.o, NOW + 800);
  g_assert_true (f.answered && f.answer.promised);

  g_assert_true (beat (&f, NOW + 1101, "old", 1, VERSION, NULL));
  g_assert_true (beat (&f, NOW + 1110, "new", 1, VERSION, NULL));
  g_assert_true (beat (&f, NOW + 1120, "new", 1, VERSION, "old"));
  g_assert_false (beat (&f, NOW + 1130, "new", 1, VERSION, "old"));
  g_assert_true (beat (&f, NOW + 1140, "stranger", 1, VERSION, NULL));

  /* Neither a promise to the process before nor one of the version before.  */
  g_assert_false (beat (&f, NOW + 1200, "old", 1, VERSION, NULL));
  (void)granted (&f, NOW + 1210, "old", 2, VERSION);
  (void)ownership_tick (f.o, NOW + 1250);
  g_assert_false (f.answered);
  g_assert_false (beat (&f, NOW + 1260, "new", 1, VERSION, "old"));
  record = *ownership_get_record (f.o);
  record.version++;
  (void)ownership_adopt_record (f.o, NOW + 1270, &record);
  (void)ownership_tick (f.o, NOW + 1500);
  g_assert_false (f.answered);
  g_assert_true (beat (&f, NOW + 1510, "new", 1, VERSION + 1, NULL));
  ownership_free (f.o);
}

/* Guards against evidence that outlives the version it was given at.  */
static void
test_new_version (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "me", MY_INCARNATION);
  (void)ownership_tick (f.o, NOW);
  give_ack (&f, NOW, "old", 1, VERSION);
  give_ack (&f, NOW, "new", 1, VERSION);
  g_assert_true (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS));
  record = *ownership_get_record (f.o);
  record.version++;
  (void)ownership_adopt_record (f.o, NOW, &record);
  g_assert_false (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS));
  ownership_free (f.o);
}

/* Guards against a read that counts from its answer, a failed read that
   counts, and a wait that ends early.  */
static void
test_read (void)
{
  fixture_t f;
  clock_ms_t learned = NOW - 5000;
  clock_ms_t wait = (DECIDE_OWNERSHIP_LEASE_MS + GRANT_MS) * 101 / 99 + 2;

  set_up (&f, "me", MY_INCARNATION);
  ownership_handle_read_result (f.o, learned, learned - 100, false, true);
  g_assert_cmpint (ownership_lease_left (f.o, learned), ==, 0);
  ownership_handle_read_result (f.o, learned + 1500, learned + 500, true,
                                true);
  g_assert_cmpint (ownership_lease_left (f.o, learned + 1500), ==, 1000);
  g_assert_false (ownership_may_grant (f.o, learned + wait, 0, 0, GRANT_MS));
  g_assert_true (
      ownership_may_grant (f.o, learned + wait + 2, 0, 0, GRANT_MS));
  g_assert_cmpint (ownership_lease_left (f.o, learned + 2500), ==, 0);
  ownership_free (f.o);
}

/* Guards against instances that start in an outage of the store and ask it so
   often that all together exceed its rate when it returns: 420 instances, each
   with one regular read a second besides, and 2,000 reads/s.  */
static void
test_read_again (void)
{
  fixture_t f;

  set_up_process (&f);
  for (clock_ms_t now = 0; now < 20000; now += 50)
    {
      uint32_t reads = f.reads;

      (void)ownership_tick (f.o, now);
      if (f.reads > reads)
        ownership_handle_read_result (f.o, now, now, false, false);
    }
  g_test_message ("%u reads", f.reads);
  g_assert_cmpuint (f.reads, >, 10);
  g_assert_cmpuint (f.reads, <=, 20 * (2000 - 420) / 420);
  ownership_handle_read_result (f.o, 20000, 20000, true, false);
  g_assert_cmpuint (f.puts, ==, 1);
  ownership_free (f.o);
}

/* Guards against a delegate that counts acknowledgements of heartbeats without
   its announcement, or that supports a takeover from the owner.  */
static void
test_delegate (void)
{
  fixture_t f;

  set_up (&f, "old", 1);
  (void)ownership_tick (f.o, NOW);
  give_ack (&f, NOW, "new", 1, VERSION);
  give_ack (&f, NOW, "other", 1, VERSION);
  g_assert_cmpint (ownership_lease_left (f.o, NOW), >, 0);
  offer (&f, NOW, VERSION - 1);
  g_assert_false (ownership_holds (f.o, 0, 0));
  offer (&f, NOW, VERSION);
  g_assert_true (ownership_holds (f.o, 0, 0));
  g_assert_cmpint (f.last.type, ==, DECIDE_MSG_HANDOVER_ACK);
  g_assert_false (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS));
  (void)ownership_tick (f.o, NOW);
  g_assert_cmpuint (f.heartbeat.u.heartbeat.acting_count, ==, 1);
  g_assert_false (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS));
  give_ack (&f, NOW, "new", 1, VERSION);
  give_ack (&f, NOW, "other", 1, VERSION);
  g_assert_true (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS));
  g_assert_false (granted (&f, NOW + 5000, "new", 1, VERSION));
  ownership_free (f.o);
}

/* Guards against a successor that skips the wait although versions that it
   has not seen may hide another owner.  */
static void
test_continue (void)
{
  for (uint64_t skipped = 0; skipped < 2; skipped++)
    {
      fixture_t f;
      decide_record_t record;

      set_up (&f, "old", 1);
      offer (&f, NOW, VERSION);
      record = make_record ("me", MY_INCARNATION);
      record.version = VERSION + 1 + skipped;
      record.centres[0].slices[0].assigned = record.version;
      (void)ownership_adopt_record (f.o, NOW, &record);
      ownership_handle_read_result (f.o, NOW, NOW, true, true);
      g_assert_cmpint (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS), ==,
                       skipped == 0);
      ownership_free (f.o);
    }
}

/* Guards against an offer that a later process of the successor could accept,
   one that is made before the owner's own wait has passed, and one that is
   moved while an update may still apply.  */
static void
test_offer (void)
{
  fixture_t f;
  decide_record_t record;
  decide_msg_t refusal = { .type = DECIDE_MSG_HANDOVER_ACK, .incarnation = 1 };
  uint32_t offers;

  set_up (&f, "me", MY_INCARNATION);
  (void)promised (&f, NOW - 3000, "new", 1, VERSION, NULL);
  ownership_stop (f.o, NOW - 4000);
  (void)ownership_tick (f.o, NOW - 3000);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, 0);
  g_assert_false (ownership_may_grant (f.o, NOW, 0, 0, GRANT_MS));
  (void)ownership_tick (f.o, NOW);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, DECIDE_SLICES);
  /* An update that gives the slices away is under way.  */
  ownership_handle_read_result (f.o, NOW, NOW, true, true);
  g_assert_cmpuint (f.puts, ==, 1);
  ownership_handle_put_result (f.o, NOW, f.operation, DECIDE_STORE_UNKNOWN, 0);
  (void)promised (&f, NOW, "other", 1, VERSION, NULL);
  refusal.u.handover.more = true;
  refusal.u.handover.record_version = VERSION;
  offers = f.sent[DECIDE_MSG_HANDOVER];
  ownership_handle_message (f.o, NOW, decide_id ("new"), &refusal);
  (void)ownership_tick (f.o, NOW + 1);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, offers);
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[2].incarnation = 2;
  (void)ownership_adopt_record (f.o, NOW + 300, &record);
  (void)ownership_tick (f.o, NOW + 300);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, offers);
  /* The update cannot apply any more.  */
  ownership_handle_message (f.o, NOW + 300, decide_id ("new"), &refusal);
  (void)ownership_tick (f.o, NOW + 300);
  g_assert_cmpuint (f.sent[DECIDE_MSG_HANDOVER], ==, offers + 1);
  ownership_free (f.o);
}

/* Guards against a process that claims its entry back from a later process of
   its name.  */
static void
test_superseded (void)
{
  fixture_t f;
  decide_record_t record;

  set_up (&f, "me", MY_INCARNATION);
  record = *ownership_get_record (f.o);
  record.version++;
  record.members[0].incarnation = MY_INCARNATION + 1;
  (void)ownership_adopt_record (f.o, NOW, &record);
  for (clock_ms_t now = NOW; now < NOW + 3000; now += 50)
    {
      ownership_handle_read_result (f.o, now, now, true, true);
      (void)ownership_tick (f.o, now);
      g_assert_false (ownership_may_grant (f.o, now, 0, 0, GRANT_MS));
    }
  g_assert_cmpuint (f.puts, ==, 0);
  ownership_free (f.o);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership-rules/promise", test_promise);
  g_test_add_func ("/ownership-rules/support", test_support);
  g_test_add_func ("/ownership-rules/started", test_started);
  g_test_add_func ("/ownership-rules/supported", test_supported);
  g_test_add_data_func ("/ownership-rules/majority", NULL, test_majority);
  g_test_add_data_func ("/ownership-rules/majority-carried", "carried",
                        test_majority);
  g_test_add_func ("/ownership-rules/carried", test_carried);
  g_test_add_func ("/ownership-rules/new-version", test_new_version);
  g_test_add_func ("/ownership-rules/read", test_read);
  g_test_add_func ("/ownership-rules/read-again", test_read_again);
  g_test_add_func ("/ownership-rules/delegate", test_delegate);
  g_test_add_func ("/ownership-rules/continue", test_continue);
  g_test_add_func ("/ownership-rules/offer", test_offer);
  g_test_add_func ("/ownership-rules/superseded", test_superseded);
  return g_test_run ();
}
