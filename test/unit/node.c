/* Tests of a whole instance on a simulated clock: the conditions under which
   it must not send requests to an endpoint.  */

#include "decide.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* A new instance begins to forward requests within this time after its
   start.  */
#define STARTUP_MS 4000
/* Time after the move of a service to another group during which the new group
   must not issue grants: the sum of the time within which all instances learn
   of the move, the reuse time of grants, and the run_ms of the default
   profile.  */
#define MOVE_DELAY_MS (4000 + DECIDE_GRANT_REUSE_MS + 2000)
#define RETENTION_MS 600000 /* key_retention_ms of the default profile */

/* Instance under test, its store and what its callbacks recorded.  */
typedef struct fixture
{
  decide_t *node;
  clock_ms_t now;
  bool sync_requested;      /* the instance started a read of the store */
  bool store_down;          /* reads of the store fail */
  bool put_requested;       /* the instance started an update of the record */
  uint64_t put_operation;   /* operation number of this update */
  decide_record_t record;   /* ownership record in the store */
  uint64_t revision;        /* revision of the store */
  uint64_t forwarded;       /* number of forwarded attempts */
  uint64_t attempt;         /* id of the last forwarded attempt */
  uint64_t request;         /* id of the last request sent */
  uint64_t refused;         /* number of refused requests */
  decide_refusal_t refusal; /* last refusal */
  uint32_t pushes;          /* number of objects sent to "b" */
  uint64_t pushed_previous; /* of the last one; see decide_msg_object_t */
  uint64_t pushed_revision;
} fixture_t;

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  fixture_t *fixture = context;

  if (msg->type != DECIDE_MSG_OBJECT_PUSH || instance != decide_id ("b"))
    return;
  fixture->pushes++;
  fixture->pushed_previous = msg->u.object.previous;
  fixture->pushed_revision = msg->u.object.revision;
}

static void
on_forward (void *context, const decide_forward_t *forward)
{
  fixture_t *fixture = context;

  fixture->forwarded++;
  fixture->attempt = forward->attempt;
}

static void
on_cancel (void *context, uint64_t attempt)
{
  (void)context;
  (void)attempt;
}

static void
on_refuse (void *context, const decide_refusal_t *refusal)
{
  fixture_t *fixture = context;

  fixture->refused++;
  fixture->refusal = *refusal;
}

static void
on_replay (void *context, uint64_t request, const decide_response_t *answer)
{
  (void)context;
  (void)request;
  (void)answer;
}

static void
on_store_sync (void *context, uint64_t since)
{
  (void)since;
  ((fixture_t *)context)->sync_requested = true;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  fixture_t *fixture = context;

  (void)expected;
  fixture->put_requested = true;
  fixture->put_operation = operation;
  fixture->record = *record;
}

static void
on_probe (void *context, endpoint_handle_t endpoint,
          const decide_endpoint_t *target)
{
  (void)context;
  (void)endpoint;
  (void)target;
}

static void
deliver_record (fixture_t *fixture, const char *name)
{
  decide_object_t object = { .kind = DECIDE_OBJECT_RECORD,
                             .name = name,
                             .version = fixture->record.version,
                             .revision = fixture->revision,
                             .body = "",
                             .u.record = &fixture->record };

  decide_object (fixture->node, fixture->now, UINT64_MAX, &object);
}

/* Completes the store calls that the instance has started.  */
static void
complete_store_calls (fixture_t *fixture)
{
  if (fixture->put_requested)
    {
      fixture->put_requested = false;
      fixture->record.version++;
      fixture->revision++;
      decide_store_put_done (fixture->node, fixture->now,
                             fixture->put_operation, DECIDE_STORE_OK,
                             fixture->record.version);
    }
  if (!fixture->sync_requested)
    return;
  fixture->sync_requested = false;
  if (fixture->record.version > 0 && !fixture->store_down)
    deliver_record (fixture, "shared/ownership/g");
  decide_handle_store_read_result (fixture->node, fixture->now, fixture->now,
                                   !fixture->store_down, fixture->revision);
}

static void
advance (fixture_t *fixture, clock_ms_t ms)
{
  for (clock_ms_t end = fixture->now + ms; fixture->now < end; fixture->now++)
    {
      complete_store_calls (fixture);
      decide_tick (fixture->node, fixture->now);
    }
}

static void
set_centre_out (fixture_t *fixture, bool out)
{
  decide_object_t object = { .kind = DECIDE_OBJECT_OUT_CENTRE,
                             .name = "shared/out/data-centre/d0",
                             .revision = ++fixture->revision,
                             .deleted = !out,
                             .body = "{}",
                             .u.out = "d0" };

  g_assert_cmpint (
      decide_object (fixture->node, fixture->now, UINT64_MAX, &object), ==, 0);
}

/* Adds or changes the service object.  @group: the group that the object
   names, or NULL for none.  */
static void
put_service (fixture_t *fixture, const char *group)
{
  decide_endpoint_t endpoints[2];
  decide_service_t service = { .name = "booking",
                               .profile = "none",
                               .endpoint_count = 2,
                               .endpoints = endpoints };
  decide_object_t object = { .kind = DECIDE_OBJECT_SERVICE,
                             .name = "shared/service/booking",
                             .version = 1,
                             .revision = ++fixture->revision,
                             .body = "{}",
                             .u.service = &service };

  memset (endpoints, 0, sizeof endpoints);
  if (group != NULL)
    g_strlcpy (service.groups[service.group_count++], group, DECIDE_NAME_MAX);
  for (int i = 0; i < 2; i++)
    {
      g_snprintf (endpoints[i].name, sizeof endpoints[i].name, "e%d", i);
      g_strlcpy (endpoints[i].data_centre, "d0",
                 sizeof endpoints[i].data_centre);
      endpoints[i].slots = 3;
    }
  g_assert_cmpint (
      decide_object (fixture->node, fixture->now, UINT64_MAX, &object), ==, 0);
}

static void
put_group (fixture_t *fixture, const char *name, bool deleted)
{
  g_autofree char *full_name = g_strconcat ("shared/group/", name, NULL);
  decide_group_t group = { .centre_count = 1, .centres = { "d0" } };
  decide_object_t object = { .kind = DECIDE_OBJECT_GROUP,
                             .name = full_name,
                             .revision = ++fixture->revision,
                             .deleted = deleted,
                             .body = "{}",
                             .u.group = &group };

  g_strlcpy (group.name, name, sizeof group.name);
  g_assert_cmpint (
      decide_object (fixture->node, fixture->now, UINT64_MAX, &object), ==, 0);
}

/* Creates the instance under test.  @members: number of configured instances:
   1, or 2 to add an instance that never runs and is in another data centre, so
   that it owns no slice with an endpoint.  */
static void
create_instance (fixture_t *fixture, uint32_t members)
{
  static const decide_instance_t instances[]
      = { { "a", "d0" }, { "b", "d1" } };
  decide_settings_t settings = { .instance = "a",
                                 .data_centre = "d0",
                                 .group = "g",
                                 .incarnation = 1,
                                 .seed = 1,
                                 .instance_count = members,
                                 .instances = instances };
  decide_callbacks_t callbacks
      = { fixture,   on_send,       on_forward,   on_cancel, on_refuse,
          on_replay, on_store_sync, on_store_put, on_probe };

  *fixture = (fixture_t){ .now = 1000 };
  fixture->node = decide_new (&settings, &callbacks, fixture->now);
  g_assert_nonnull (fixture->node);
  put_service (fixture, NULL);
}

static void
start_instance (fixture_t *fixture, uint32_t members)
{
  create_instance (fixture, members);
  advance (fixture, STARTUP_MS);
}

/* Sends a request, and responds to it if it is forwarded.
   Return: whether it was forwarded.  */
static bool
send_request (fixture_t *fixture)
{
  decide_attempt_end_t end
      = { .result = DECIDE_ATTEMPT_ANSWERED, .latency_ms = 5, .status = 200 };
  decide_request_t request = { .id = ++fixture->request,
                               .service = decide_id ("booking"),
                               .idempotent = true,
                               .deadline = fixture->now + 500 };
  uint64_t before = fixture->forwarded;

  decide_request (fixture->node, fixture->now, &request);
  for (int i = 0; i < 500 && fixture->forwarded == before; i++)
    advance (fixture, 1);
  if (fixture->forwarded == before)
    return false;
  g_assert_true (decide_attempt_done (fixture->node, fixture->now, request.id,
                                      fixture->attempt, &end, NULL));
  return true;
}

/* Guards against requests sent to a data centre that is out of service.  */
static void
test_centre_out (void)
{
  fixture_t fixture;

  start_instance (&fixture, 1);
  g_assert_true (send_request (&fixture));
  set_centre_out (&fixture, true);
  g_assert_false (send_request (&fixture));
  g_assert_cmpint (fixture.refusal.ran, ==, DECIDE_RAN_NO);
  set_centre_out (&fixture, false);
  advance (&fixture, DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (send_request (&fixture));
  decide_free (fixture.node);
}

/* Guards against a change that an operator has made through this instance, and
   that neither it nor the others know if the store then fails.  */
static void
test_own_change (void)
{
  fixture_t fixture;
  decide_object_t object = { .kind = DECIDE_OBJECT_OUT_CENTRE,
                             .name = "shared/out/data-centre/d0",
                             .version = 1,
                             .body = "{}",
                             .u.out = "d0" };

  start_instance (&fixture, 2);
  g_assert_true (send_request (&fixture));
  fixture.store_down = true;
  object.revision = ++fixture.revision;
  g_assert_cmpint (
      decide_handle_own_change (fixture.node, fixture.now, &object), ==, 0);
  g_assert_cmpuint (fixture.pushes, ==, 1);
  g_assert_cmpuint (fixture.pushed_previous, ==, object.revision - 1);
  g_assert_cmpuint (fixture.pushed_revision, ==, object.revision);
  g_assert_false (send_request (&fixture));
  /* A store read has brought it before: there is nothing to tell.  */
  g_assert_cmpint (
      decide_handle_own_change (fixture.node, fixture.now, &object), ==,
      -ESTALE);
  g_assert_cmpuint (fixture.pushes, ==, 1);
  decide_free (fixture.node);
}

/* Guards against two groups of one store that grant the same slots.  */
static void
test_second_group (void)
{
  fixture_t fixture;
  decide_object_t deleted_record = { .kind = DECIDE_OBJECT_RECORD,
                                     .name = "shared/ownership/other",
                                     .deleted = true };

  start_instance (&fixture, 1);
  g_assert_true (send_request (&fixture));
  deliver_record (&fixture, "shared/ownership/other");
  /* A reusable grant that was issued before the record arrived may be used
     until its reuse time ends.  */
  advance (&fixture, DECIDE_GRANT_REUSE_MS);
  g_assert_false (send_request (&fixture));
  deleted_record.revision = ++fixture.revision;
  decide_object (fixture.node, fixture.now, UINT64_MAX, &deleted_record);
  advance (&fixture, DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (send_request (&fixture));
  decide_free (fixture.node);
}

/* Sends requests until one is forwarded, for about 20 s at most.  Return: the
   time that this took in ms, at least 20000 if none was forwarded.  */
static clock_ms_t
measure_grant_wait (fixture_t *fixture)
{
  clock_ms_t since = fixture->now;

  while (!send_request (fixture) && fixture->now - since < 20000)
    ;
  return fixture->now - since;
}

static void
assert_move_delay (fixture_t *fixture)
{
  clock_ms_t wait_ms = measure_grant_wait (fixture);

  g_assert_cmpint (wait_ms, >=, MOVE_DELAY_MS);
  g_assert_cmpint (wait_ms, <, MOVE_DELAY_MS + STARTUP_MS);
}

/* Guards against a group that grants slots of a service's endpoints while the
   service's previous group may still do so, or after the granting group has
   learnt that the service moved to another group.  */
static void
test_move (void)
{
  fixture_t fixture;

  start_instance (&fixture, 1);
  put_service (&fixture, "g");
  put_group (&fixture, "g", false);
  put_group (&fixture, "h", false);
  g_assert_cmpint (measure_grant_wait (&fixture), <, DECIDE_GRANT_REUSE_MS);
  put_service (&fixture, "h");
  g_assert_false (send_request (&fixture));
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_OTHER_GROUP);
  g_assert_cmpint (fixture.refusal.ran, ==, DECIDE_RAN_NO);
  put_service (&fixture, "g");
  assert_move_delay (&fixture);
  put_service (&fixture, "h");
  /* The reusable grant that this group issued before the move expires.  */
  advance (&fixture, DECIDE_GRANT_REUSE_MS);
  put_group (&fixture, "h", true);
  put_group (&fixture, "g", true);
  assert_move_delay (&fixture);
  decide_free (fixture.node);
}

/* Guards against an instance that starts after a service moved to its group,
   doesn't know of the move, and so grants slots at once.  */
static void
test_start_after_move (void)
{
  fixture_t fixture;

  create_instance (&fixture, 1);
  put_group (&fixture, "g", false);
  assert_move_delay (&fixture);
  decide_free (fixture.node);
}

/* Guards against a group without a group object that grants slots which other
   groups serve, and against a group that still grants nothing after it got a
   group object and the service was assigned to it.  */
static void
test_group_conflict (void)
{
  fixture_t fixture;

  start_instance (&fixture, 1);
  deliver_record (&fixture, "shared/ownership/h");
  put_group (&fixture, "h", false);
  advance (&fixture, DECIDE_GRANT_REUSE_MS);
  g_assert_cmpint (measure_grant_wait (&fixture), >=, 20000);
  put_service (&fixture, "g");
  put_group (&fixture, "g", false);
  assert_move_delay (&fixture);
  put_group (&fixture, "g", true);
  advance (&fixture, DECIDE_GRANT_REUSE_MS);
  g_assert_false (send_request (&fixture));
  decide_free (fixture.node);
}

/* Sends a request with an idempotency key, and responds to it if it is
   forwarded.  Return: whether it was forwarded.  */
static bool
send_keyed_request (fixture_t *fixture, uint64_t key)
{
  decide_request_t request = { .id = ++fixture->request,
                               .service = decide_id ("booking"),
                               .keyed = true,
                               .key = { .hash = { key, key } },
                               .deadline = fixture->now + 1000 };
  decide_attempt_end_t end = { .result = DECIDE_ATTEMPT_ANSWERED };
  uint64_t before = fixture->forwarded;
  uint64_t refused = fixture->refused;

  decide_request (fixture->node, fixture->now, &request);
  while (fixture->forwarded == before && fixture->refused == refused)
    advance (fixture, 1);
  if (fixture->forwarded == before)
    return false;
  decide_attempt_done (fixture->node, fixture->now, request.id,
                       fixture->attempt, &end, NULL);
  return true;
}

/* Guards against a request that runs again after the idempotency keys of its
   service moved to this group from another one: the other group may have
   accepted a claim of the request's key.  */
static void
test_moved_keys (void)
{
  fixture_t fixture;

  start_instance (&fixture, 1);
  put_service (&fixture, "g");
  put_group (&fixture, "g", false);
  put_group (&fixture, "h", false);
  g_assert_true (send_keyed_request (&fixture, 1));
  put_service (&fixture, "h");
  g_assert_false (send_keyed_request (&fixture, 1));
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_OTHER_GROUP);
  put_service (&fixture, "g");
  advance (&fixture, 2 * MOVE_DELAY_MS);
  g_assert_false (send_keyed_request (&fixture, 2));
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_KEY_UNCERTAIN);
  g_assert_cmpint (fixture.refusal.ran, ==, DECIDE_RAN_UNKNOWN);
  advance (&fixture, RETENTION_MS);
  g_assert_true (send_keyed_request (&fixture, 2));
  decide_free (fixture.node);
}

/* Guards against requests that are sent with a configuration that may be
   stale: an instance that reaches neither the store nor a peer does not learn
   of changes.  */
static void
test_no_contact (void)
{
  fixture_t fixture;

  start_instance (&fixture, 2);
  g_assert_true (send_request (&fixture));
  fixture.store_down = true;
  advance (&fixture, DECIDE_PEER_TIMEOUT_MS + DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_false (send_request (&fixture));
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_NO_CONTACT);
  fixture.store_down = false;
  advance (&fixture, 2 * DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (send_request (&fixture));
  decide_free (fixture.node);
}

/* Guards against requests that are handled with the default profile, or
   refused because their service is unknown, while an instance that has just
   started receives the configuration from another one.  The service may arrive
   before its profile.  */
static void
test_first_configuration (void)
{
  decide_id_t booking = decide_id ("booking");
  decide_request_t request = { .id = 1, .service = booking, .deadline = 500 };
  /* The last message of a push has no object name.  It says that the sender
     has sent all changes up to the message's revision.  */
  decide_msg_t last_push = { .type = DECIDE_MSG_OBJECT_PUSH };
  fixture_t fixture;

  create_instance (&fixture, 1);
  g_assert_null (decide_get_profile (fixture.node, booking));
  decide_request (fixture.node, fixture.now, &request);
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_NO_CONTACT);
  request.id = 2;
  request.service = decide_id ("records");
  decide_request (fixture.node, fixture.now, &request);
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_NO_CONTACT);

  last_push.u.object.revision = fixture.revision;
  decide_handle_message (fixture.node, fixture.now, decide_id ("b"),
                         &last_push);
  g_assert_nonnull (decide_get_profile (fixture.node, booking));
  request.id = 3;
  decide_request (fixture.node, fixture.now, &request);
  g_assert_cmpint (fixture.refusal.reason, ==, DECIDE_REASON_UNKNOWN_SERVICE);
  decide_free (fixture.node);
}

/* Guards against an instance that stops serving in a store outage although it
   is the only instance.  */
static void
test_single_instance (void)
{
  fixture_t fixture;

  start_instance (&fixture, 1);
  fixture.store_down = true;
  advance (&fixture, 10 * DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (send_request (&fixture));
  decide_free (fixture.node);
}

/* Guards against an instance that exits while a client may still use its
   address.  Other instances publish the address until they have received a
   heartbeat which says that the instance is leaving (the first such heartbeat
   may be lost), and have then published the next list of addresses.  Clients
   may cache an address for DECIDE_ADDRESS_TTL_MS after that.  */
static void
test_stop (void)
{
  fixture_t fixture;

  start_instance (&fixture, 1);
  decide_stop (fixture.node, fixture.now);
  advance (&fixture,
           DECIDE_ADDRESS_TTL_MS + DECIDE_HEARTBEAT_INTERVAL_MS + 100);
  g_assert_false (decide_is_stopped (fixture.node, fixture.now));
  advance (&fixture, DECIDE_HEARTBEAT_INTERVAL_MS);
  g_assert_true (decide_is_stopped (fixture.node, fixture.now));
  decide_free (fixture.node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node/centre-out", test_centre_out);
  g_test_add_func ("/node/own-change", test_own_change);
  g_test_add_func ("/node/second-group", test_second_group);
  g_test_add_func ("/node/move", test_move);
  g_test_add_func ("/node/start-after-move", test_start_after_move);
  g_test_add_func ("/node/guard", test_group_conflict);
  g_test_add_func ("/node/moved-keys", test_moved_keys);
  g_test_add_func ("/node/no-contact", test_no_contact);
  g_test_add_func ("/node/first-configuration", test_first_configuration);
  g_test_add_func ("/node/alone", test_single_instance);
  g_test_add_func ("/node/stop", test_stop);
  return g_test_run ();
}
