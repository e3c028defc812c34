/* One instance as a whole, in virtual time: what stops it from sending work
   to an endpoint.  */

#include "decide.h"

#include <glib.h>
#include <string.h>

#define WARM_MS 4000
/* Learning of a change, lend time, and run time of the default profile.  */
#define MOVE_MS (4000 + DECIDE_GRANT_REUSE_MS + 2000)
#define RETENTION_MS 600000

typedef struct world
{
  decide_t *node;
  clock_ms_t now;
  bool sync_asked;
  bool store_down;
  bool put_asked;
  uint64_t put_operation;
  decide_record_t record;
  uint64_t revision;
  uint64_t forwarded;
  uint64_t attempt;
  uint64_t request;
  uint64_t refused;
  decide_refusal_t refusal;
} world_t;

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  (void)context;
  (void)instance;
  (void)msg;
}

static void
on_forward (void *context, const decide_forward_t *forward)
{
  world_t *world = context;

  world->forwarded++;
  world->attempt = forward->attempt;
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
  world_t *world = context;

  world->refused++;
  world->refusal = *refusal;
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
  ((world_t *)context)->sync_asked = true;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  world_t *world = context;

  (void)expected;
  world->put_asked = true;
  world->put_operation = operation;
  world->record = *record;
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
give_record (world_t *world, const char *name)
{
  decide_object_t object = { .kind = DECIDE_OBJECT_RECORD,
                             .name = name,
                             .version = world->record.version,
                             .revision = world->revision,
                             .body = "",
                             .u.record = &world->record };

  decide_object (world->node, world->now, UINT64_MAX, &object);
}

static void
answer_store (world_t *world)
{
  if (world->put_asked)
    {
      world->put_asked = false;
      world->record.version++;
      world->revision++;
      decide_store_put_done (world->node, world->now, world->put_operation,
                             DECIDE_STORE_OK, world->record.version);
    }
  if (!world->sync_asked)
    return;
  world->sync_asked = false;
  if (world->record.version > 0 && !world->store_down)
    give_record (world, "shared/ownership/g");
  decide_store_synced (world->node, world->now, world->now, !world->store_down,
                       world->revision);
}

static void
advance (world_t *world, clock_ms_t ms)
{
  for (clock_ms_t end = world->now + ms; world->now < end; world->now++)
    {
      answer_store (world);
      decide_tick (world->node, world->now);
    }
}

static void
put_out (world_t *world, bool out)
{
  decide_object_t object = { .kind = DECIDE_OBJECT_OUT_CENTRE,
                             .name = "shared/out/data-centre/d0",
                             .revision = ++world->revision,
                             .deleted = !out,
                             .body = "{}",
                             .u.out = "d0" };

  g_assert_cmpint (
      decide_object (world->node, world->now, UINT64_MAX, &object), ==, 0);
}

/* @group: the group that the service names, or NULL.  */
static void
put_service (world_t *world, const char *group)
{
  decide_endpoint_t endpoints[2];
  decide_service_t service = { .name = "booking",
                               .profile = "none",
                               .endpoint_count = 2,
                               .endpoints = endpoints };
  decide_object_t object = { .kind = DECIDE_OBJECT_SERVICE,
                             .name = "shared/service/booking",
                             .version = 1,
                             .revision = ++world->revision,
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
      decide_object (world->node, world->now, UINT64_MAX, &object), ==, 0);
}

static void
put_group (world_t *world, const char *name, bool deleted)
{
  g_autofree char *full = g_strconcat ("shared/group/", name, NULL);
  decide_group_t group = { .centre_count = 1, .centres = { "d0" } };
  decide_object_t object = { .kind = DECIDE_OBJECT_GROUP,
                             .name = full,
                             .revision = ++world->revision,
                             .deleted = deleted,
                             .body = "{}",
                             .u.group = &group };

  g_strlcpy (group.name, name, sizeof group.name);
  g_assert_cmpint (
      decide_object (world->node, world->now, UINT64_MAX, &object), ==, 0);
}

/* @members: 1, or 2 with a second instance that never runs and is in another
   data centre, so that it owns no endpoint's slice.  */
static void
create (world_t *world, uint32_t members)
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
      = { world,     on_send,       on_forward,   on_cancel, on_refuse,
          on_replay, on_store_sync, on_store_put, on_probe };

  *world = (world_t){ .now = 1000 };
  world->node = decide_new (&settings, &callbacks, world->now);
  g_assert_nonnull (world->node);
  put_service (world, NULL);
}

static void
start (world_t *world, uint32_t members)
{
  create (world, members);
  advance (world, WARM_MS);
}

/* Return: whether the request was forwarded; it is answered then.  */
static bool
try_request (world_t *world)
{
  decide_attempt_end_t end
      = { .result = DECIDE_ATTEMPT_ANSWERED, .latency_ms = 5, .status = 200 };
  decide_request_t request = { .id = ++world->request,
                               .service = decide_id ("booking"),
                               .idempotent = true,
                               .deadline = world->now + 500 };
  uint64_t before = world->forwarded;

  decide_request (world->node, world->now, &request);
  for (int i = 0; i < 500 && world->forwarded == before; i++)
    advance (world, 1);
  if (world->forwarded == before)
    return false;
  g_assert_true (decide_attempt_done (world->node, world->now, request.id,
                                      world->attempt, &end, NULL));
  return true;
}

/* Guards against work sent to a data centre that is out.  */
static void
test_centre_out (void)
{
  world_t world;

  start (&world, 1);
  g_assert_true (try_request (&world));
  put_out (&world, true);
  g_assert_false (try_request (&world));
  g_assert_cmpint (world.refusal.ran, ==, DECIDE_RAN_NO);
  put_out (&world, false);
  advance (&world, DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (try_request (&world));
  decide_free (world.node);
}

/* Guards against two groups on one store that grant the same slots.  */
static void
test_second_group (void)
{
  world_t world;
  decide_object_t gone = { .kind = DECIDE_OBJECT_RECORD,
                           .name = "shared/ownership/other",
                           .deleted = true };

  start (&world, 1);
  g_assert_true (try_request (&world));
  give_record (&world, "shared/ownership/other");
  /* A grant that was lent before may be used until it ends.  */
  advance (&world, DECIDE_GRANT_REUSE_MS);
  g_assert_false (try_request (&world));
  gone.revision = ++world.revision;
  decide_object (world.node, world.now, UINT64_MAX, &gone);
  advance (&world, DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (try_request (&world));
  decide_free (world.node);
}

/* Return: how long in ms no request was forwarded.  */
static clock_ms_t
wait_for_grant (world_t *world)
{
  clock_ms_t since = world->now;

  while (!try_request (world) && world->now - since < 20000)
    ;
  return world->now - since;
}

static void
check_hold (world_t *world)
{
  clock_ms_t hold = wait_for_grant (world);

  g_assert_cmpint (hold, >=, MOVE_MS);
  g_assert_cmpint (hold, <, MOVE_MS + WARM_MS);
}

/* Guards against a group that grants on endpoints while the group that had
   them before may still do so, or after it has learnt of the move.  */
static void
test_move (void)
{
  world_t world;

  start (&world, 1);
  put_service (&world, "g");
  put_group (&world, "g", false);
  put_group (&world, "h", false);
  g_assert_cmpint (wait_for_grant (&world), <, DECIDE_GRANT_REUSE_MS);
  put_service (&world, "h");
  g_assert_false (try_request (&world));
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_OTHER_GROUP);
  g_assert_cmpint (world.refusal.ran, ==, DECIDE_RAN_NO);
  put_service (&world, "g");
  check_hold (&world);
  put_service (&world, "h");
  /* A grant of this group that was lent before the move ends.  */
  advance (&world, DECIDE_GRANT_REUSE_MS);
  put_group (&world, "h", true);
  put_group (&world, "g", true);
  check_hold (&world);
  decide_free (world.node);
}

/* Guards against an instance that starts after a move and does not hold the
   endpoints back, since it did not see the move.  */
static void
test_start_after_move (void)
{
  world_t world;

  create (&world, 1);
  put_group (&world, "g", false);
  check_hold (&world);
  decide_free (world.node);
}

/* Guards against a group without an object that grants what the groups with
   objects serve, and against a guard that stays when the objects divide the
   services.  */
static void
test_guard (void)
{
  world_t world;

  start (&world, 1);
  give_record (&world, "shared/ownership/h");
  put_group (&world, "h", false);
  advance (&world, DECIDE_GRANT_REUSE_MS);
  g_assert_cmpint (wait_for_grant (&world), >=, 20000);
  put_service (&world, "g");
  put_group (&world, "g", false);
  check_hold (&world);
  put_group (&world, "g", true);
  advance (&world, DECIDE_GRANT_REUSE_MS);
  g_assert_false (try_request (&world));
  decide_free (world.node);
}

static bool
try_key (world_t *world, uint64_t key)
{
  decide_request_t request = { .id = ++world->request,
                               .service = decide_id ("booking"),
                               .keyed = true,
                               .key = { .hash = { key, key } },
                               .deadline = world->now + 1000 };
  decide_attempt_end_t end = { .result = DECIDE_ATTEMPT_ANSWERED };
  uint64_t before = world->forwarded;
  uint64_t refused = world->refused;

  decide_request (world->node, world->now, &request);
  while (world->forwarded == before && world->refused == refused)
    advance (world, 1);
  if (world->forwarded == before)
    return false;
  decide_attempt_done (world->node, world->now, request.id, world->attempt,
                       &end, NULL);
  return true;
}

/* Guards against a key that runs again because its service's keys came from
   another group, which may have the claim.  */
static void
test_moved_keys (void)
{
  world_t world;

  start (&world, 1);
  put_service (&world, "g");
  put_group (&world, "g", false);
  put_group (&world, "h", false);
  g_assert_true (try_key (&world, 1));
  put_service (&world, "h");
  g_assert_false (try_key (&world, 1));
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_OTHER_GROUP);
  put_service (&world, "g");
  advance (&world, 2 * MOVE_MS);
  g_assert_false (try_key (&world, 2));
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_KEY_UNCERTAIN);
  g_assert_cmpint (world.refusal.ran, ==, DECIDE_RAN_UNKNOWN);
  advance (&world, RETENTION_MS);
  g_assert_true (try_key (&world, 2));
  decide_free (world.node);
}

/* Guards against work sent with a configuration that may be stale: without
   the store and without any peer nothing is known of changes.  */
static void
test_no_contact (void)
{
  world_t world;

  start (&world, 2);
  g_assert_true (try_request (&world));
  world.store_down = true;
  advance (&world, DECIDE_PEER_TIMEOUT_MS + DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_false (try_request (&world));
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_NO_CONTACT);
  world.store_down = false;
  advance (&world, 2 * DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (try_request (&world));
  decide_free (world.node);
}

/* Guards against requests handled by the defaults, or refused as to an unknown
   service, while an instance that has just started gets the configuration
   from another one: the service may come before its profile.  */
static void
test_first_configuration (void)
{
  decide_id_t booking = decide_id ("booking");
  decide_request_t request = { .id = 1, .service = booking, .deadline = 500 };
  decide_msg_t end = { .type = DECIDE_MSG_OBJECT_PUSH };
  world_t world;

  create (&world, 1);
  g_assert_null (decide_get_profile (world.node, booking));
  decide_request (world.node, world.now, &request);
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_NO_CONTACT);
  request.id = 2;
  request.service = decide_id ("records");
  decide_request (world.node, world.now, &request);
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_NO_CONTACT);

  end.u.object.revision = world.revision;
  decide_handle_message (world.node, world.now, decide_id ("b"), &end);
  g_assert_nonnull (decide_get_profile (world.node, booking));
  request.id = 3;
  decide_request (world.node, world.now, &request);
  g_assert_cmpint (world.refusal.reason, ==, DECIDE_REASON_UNKNOWN_SERVICE);
  decide_free (world.node);
}

/* Guards against a single instance that stops serving in a store outage.  */
static void
test_alone (void)
{
  world_t world;

  start (&world, 1);
  world.store_down = true;
  advance (&world, 10 * DECIDE_STORE_SYNC_INTERVAL_MS);
  g_assert_true (try_request (&world));
  decide_free (world.node);
}

/* Guards against an instance that stops while a caller may still use its
   address: others state it until they hear a heartbeat, of which one may be
   lost, and publish the next list.  */
static void
test_stop (void)
{
  world_t world;

  start (&world, 1);
  decide_stop (world.node, world.now);
  advance (&world, DECIDE_ADDRESS_TTL_MS + DECIDE_HEARTBEAT_INTERVAL_MS + 100);
  g_assert_false (decide_is_stopped (world.node, world.now));
  advance (&world, DECIDE_HEARTBEAT_INTERVAL_MS);
  g_assert_true (decide_is_stopped (world.node, world.now));
  decide_free (world.node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node/centre-out", test_centre_out);
  g_test_add_func ("/node/second-group", test_second_group);
  g_test_add_func ("/node/move", test_move);
  g_test_add_func ("/node/start-after-move", test_start_after_move);
  g_test_add_func ("/node/guard", test_guard);
  g_test_add_func ("/node/moved-keys", test_moved_keys);
  g_test_add_func ("/node/no-contact", test_no_contact);
  g_test_add_func ("/node/first-configuration", test_first_configuration);
  g_test_add_func ("/node/alone", test_alone);
  g_test_add_func ("/node/stop", test_stop);
  return g_test_run ();
}
