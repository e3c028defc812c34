/* Tests of the pool loads that heartbeats carry.  They use only the public
   interface of the decision library.  */

#include <glib.h>

#include "decide.h"

#define MEMBERS 12
#define SERVICES 40
#define START_MS 100000
/* Number of heartbeat intervals in which every pool must be reported at least
   once, with 3 loads in each heartbeat.  */
#define HEARTBEAT_INTERVALS 20

typedef struct fixture
{
  GHashTable *reported_pools; /* set of pool ids in the heartbeats sent */
  uint32_t loads_max;         /* largest number of loads in a heartbeat */
  uint32_t heartbeat_count;   /* number of heartbeats sent, to any peer */
  bool sync_requested;        /* a read of the store has not ended */
} fixture_t;

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  fixture_t *fixture = context;
  const decide_msg_heartbeat_t *heartbeat = &msg->u.heartbeat;

  (void)instance;
  if (msg->type != DECIDE_MSG_HEARTBEAT)
    return;
  fixture->heartbeat_count++;
  fixture->loads_max = MAX (fixture->loads_max, heartbeat->load_count);
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    g_hash_table_add (fixture->reported_pools,
                      g_memdup2 (&heartbeat->loads[i].pool,
                                 sizeof heartbeat->loads[i].pool));
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
  (void)context;
  (void)operation;
  (void)expected;
  (void)record;
}

static void
on_probe (void *context, endpoint_handle_t endpoint,
          const decide_endpoint_t *target)
{
  (void)context;
  (void)endpoint;
  (void)target;
}

/* Adds an ownership record in which the instance under test owns all slices,
   and SERVICES services with one pool each.  */
static void
add_objects (decide_t *instance_under_test, const decide_instance_t *instances)
{
  decide_record_t record
      = { .version = 1, .member_count = MEMBERS, .centre_count = 2 };
  decide_object_t object = { .kind = DECIDE_OBJECT_RECORD,
                             .name = "shared/ownership/g",
                             .version = 1,
                             .revision = 1,
                             .body = "",
                             .u.record = &record };

  g_strlcpy (record.centres[0].name, DECIDE_KEY_CENTRE, DECIDE_NAME_MAX);
  g_strlcpy (record.centres[1].name, "d0", DECIDE_NAME_MAX);
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      g_strlcpy (record.members[i].name, instances[i].name, DECIDE_NAME_MAX);
      g_strlcpy (record.members[i].data_centre, instances[i].data_centre,
                 DECIDE_NAME_MAX);
      record.members[i].incarnation = i + 1;
    }
  for (uint32_t c = 0; c < 2; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      record.centres[c].slices[s]
          = (decide_slice_t){ .owner = decide_id ("m0"), .incarnation = 1 };
  g_assert_cmpint (
      decide_object (instance_under_test, START_MS, UINT64_MAX, &object), ==,
      0);
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      decide_endpoint_t endpoint = {
        .name = "e", .data_centre = "d0", .address = "127.0.0.1:1", .slots = 3
      };
      decide_service_t service
          = { .endpoint_count = 1, .endpoints = &endpoint };
      char name[2 * DECIDE_NAME_MAX];

      g_snprintf (service.name, sizeof service.name, "s%u", i);
      g_snprintf (name, sizeof name, "shared/service/s%u", i);
      object = (decide_object_t){ .kind = DECIDE_OBJECT_SERVICE,
                                  .name = name,
                                  .version = 1,
                                  .revision = i + 2,
                                  .body = "",
                                  .u.service = &service };
      g_assert_cmpint (
          decide_object (instance_under_test, START_MS, UINT64_MAX, &object),
          ==, 0);
    }
}

/* Guards against heartbeats that grow with the number of pools: with 32 loads
   in each heartbeat, 12 members send more than 16 KB/s.  Also guards against
   pools that are never reported.  */
static void
test_loads (void)
{
  fixture_t fixture = { .reported_pools = g_hash_table_new_full (
                            g_int64_hash, g_int64_equal, g_free, NULL) };
  decide_callbacks_t callbacks = { .context = &fixture,
                                   .send = on_send,
                                   .store_sync = on_store_sync,
                                   .store_put = on_store_put,
                                   .probe = on_probe };
  decide_instance_t instances[MEMBERS] = { 0 };
  decide_settings_t settings = { .instance = "m0",
                                 .data_centre = "d0",
                                 .group = "g",
                                 .incarnation = 1,
                                 .seed = 1,
                                 .instance_count = MEMBERS,
                                 .instances = instances };
  clock_ms_t now = START_MS;
  decide_t *instance_under_test;

  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      g_snprintf (instances[i].name, sizeof instances[i].name, "m%u", i);
      g_strlcpy (instances[i].data_centre, "d0", DECIDE_NAME_MAX);
    }
  instance_under_test = decide_new (&settings, &callbacks, now);
  g_assert_nonnull (instance_under_test);
  add_objects (instance_under_test, instances);
  for (; now < START_MS + HEARTBEAT_INTERVALS * DECIDE_HEARTBEAT_INTERVAL_MS;
       now += 10)
    {
      if (fixture.sync_requested)
        {
          fixture.sync_requested = false;
          decide_handle_store_read_result (instance_under_test, now, now, true,
                                           SERVICES + 1);
        }
      decide_tick (instance_under_test, now);
    }
  g_assert_cmpuint (fixture.heartbeat_count, >=,
                    (HEARTBEAT_INTERVALS - 1) * (MEMBERS - 1));
  g_assert_cmpuint (fixture.loads_max, ==, 3);
  g_assert_cmpuint (g_hash_table_size (fixture.reported_pools), ==, SERVICES);
  decide_free (instance_under_test);
  g_hash_table_destroy (fixture.reported_pools);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/heartbeat/loads", test_loads);
  return g_test_run ();
}
