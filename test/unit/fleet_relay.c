/* Messages between instances, all in one process, each on a loopback address
   of its own.  The reader of the store is played by the test.  */

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "relay_private.h"
#include "telemetry.h"

#define INSTANCES_MAX 48
#define PORT 18650
#define TICK_S 0.05
/* Their table, some 2 MB, does not fit the buffers of a connection.  */
#define SLOW_ENDPOINTS 16000

typedef struct instance
{
  char name[24];
  backends_t *backends;
  view_t *view;
  members_t *members;
  reader_t reader;
  relay_t *relay;
} instance_t;

typedef struct world
{
  struct ev_loop *loop;
  ev_timer tick;
  instance_t instances[INSTANCES_MAX];
  int count;
  uint64_t revision; /* of the store, played */
  uint64_t from[3];  /* transfers of each kind before the test */
} world_t;

static void
ignore (void *context)
{
  (void)context;
}

static void
ignore_routes (void *context, const routes_t *routes)
{
  (void)context;
  (void)routes;
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  world_t *world = watcher->data;

  (void)loop;
  (void)events;
  for (int i = 0; i < world->count; i++)
    relay_tick (world->instances[i].relay, clock_now ());
}

/* A network of the test's own, so that two runs at a time don't meet.  */
static uint32_t
address_of (int instance)
{
  return htonl ((127U << 24) + (1U + (uint32_t)getpid () % 250) * 65536U
                + (1U + (uint32_t)getpid () / 250 % 250) * 256U + 1U
                + (uint32_t)instance);
}

static uint64_t
transfers (const world_t *world, unsigned int kind)
{
  return telemetry_read (TELEMETRY_STATE_TRANSFERS, kind) - world->from[kind];
}

static void
start (world_t *world, int count)
{
  relay_seeds_t seeds = { .ip = { address_of (0) }, .count = 1 };
  relay_hooks_t hooks = { .members_changed = ignore };
  view_hooks_t view_hooks
      = { .routes_changed = ignore_routes, .backends_changed = ignore };

  *world = (world_t){ .count = count, .loop = ev_loop_new (EVFLAG_AUTO) };
  for (unsigned int i = 0; i < 3; i++)
    world->from[i] = telemetry_read (TELEMETRY_STATE_TRANSFERS, i);
  for (int i = 0; i < count; i++)
    {
      instance_t *instance = &world->instances[i];
      struct sockaddr_in address = { .sin_family = AF_INET,
                                     .sin_port = htons (PORT),
                                     .sin_addr.s_addr = address_of (i) };
      int result;

      (void)g_snprintf (instance->name, sizeof instance->name, "front-%02d",
                        i);
      instance->backends = backends_new (instance->name, "a");
      instance->view = view_new (instance->backends, &view_hooks);
      instance->members
          = members_new (instance->name, "a", address.sin_addr.s_addr);
      reader_init (&instance->reader, false, clock_now ());
      instance->relay = relay_new (world->loop, &address, instance->view,
                                   instance->members, &instance->reader, NULL,
                                   &seeds, &hooks, &result);
      g_assert_cmpint (result, ==, 0);
    }
  ev_timer_init (&world->tick, on_tick, TICK_S, TICK_S);
  world->tick.data = world;
  ev_timer_start (world->loop, &world->tick);
}

static void
end (world_t *world)
{
  ev_timer_stop (world->loop, &world->tick);
  for (int i = 0; i < world->count; i++)
    {
      instance_t *instance = &world->instances[i];

      relay_free (instance->relay);
      members_free (instance->members);
      view_free (instance->view);
      backends_free (instance->backends);
    }
  ev_loop_destroy (world->loop);
}

static void
put (view_t *view, int number, bool draining, uint64_t revision)
{
  char id[24];
  backend_entry_t entry = { .id = id,
                            .service = "slots",
                            .data_centre = "a",
                            .slots = 3,
                            .draining = draining,
                            .revision = revision };

  (void)g_snprintf (id, sizeof id, "endpoint-%05d", number);
  entry.address.sin_family = AF_INET;
  entry.address.sin_addr.s_addr = htonl (0x0a000000U + (uint32_t)number);
  entry.address.sin_port = htons (80);
  view_put (view, &entry, clock_now ());
}

/* The reader lists @count endpoints.  */
static void
list (world_t *world, int count)
{
  view_t *view = world->instances[0].view;

  world->instances[0].reader.reading = true;
  world->instances[0].reader.read_ok = clock_now ();
  for (int i = 0; i < count; i++)
    put (view, i, false, ++world->revision);
  view_agrees (view, world->revision);
}

static int
agreeing (const world_t *world)
{
  uint64_t digest = view_digest (world->instances[0].view);
  int n = 0;

  for (int i = 0; i < world->count; i++)
    n += world->instances[i].view->listed
         && view_digest (world->instances[i].view) == digest;
  return n;
}

static void
on_deadline (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  *(bool *)watcher->data = true;
  ev_break (loop, EVBREAK_ONE);
}

/* Runs until all agree with the reader.  Return: whether they do in time.  */
static bool
settle (world_t *world, double within_s)
{
  bool late = false;
  ev_timer deadline;

  ev_now_update (world->loop);
  ev_timer_init (&deadline, on_deadline, within_s, 0);
  deadline.data = &late;
  ev_timer_start (world->loop, &deadline);
  while (!late && agreeing (world) < world->count)
    {
      world->instances[0].reader.read_ok = clock_now ();
      ev_run (world->loop, EVRUN_ONCE);
    }
  ev_timer_stop (world->loop, &deadline);
  return !late;
}

static void
run_for (world_t *world, double seconds)
{
  bool late = false;
  ev_timer deadline;

  ev_now_update (world->loop);
  ev_timer_init (&deadline, on_deadline, seconds, 0);
  deadline.data = &late;
  ev_timer_start (world->loop, &deadline);
  while (!late)
    {
      world->instances[0].reader.read_ok = clock_now ();
      ev_run (world->loop, EVRUN_ONCE);
    }
}

/* Guards against instances that fetch when more endpoints change at a time
   than one datagram holds (a release), and against changes that are repeated
   for long: with many instances the reader's link is then full and nothing,
   not even the configuration, arrives in time.  */
static void
many_changes_cost_no_whole_table (void)
{
  world_t world;
  const uint64_t change_bytes = 170; /* one change, encoded, and its share of
                                        the datagram */
  uint64_t before;
  uint64_t parts;
  uint64_t bytes;

  start (&world, 24);
  list (&world, 1000);
  g_assert_true (settle (&world, 10));
  /* The table's own entries are no changes any more.  */
  run_for (&world, 2.0);
  before = transfers (&world, 0);
  parts = transfers (&world, 1);
  bytes = telemetry_read (TELEMETRY_PEER_BYTES, 0);
  for (int i = 0; i < 200; i++)
    put (world.instances[0].view, i * 4, true, ++world.revision);
  for (int i = 0; i < 100; i++)
    {
      char id[24];

      (void)g_snprintf (id, sizeof id, "endpoint-%05d", i * 4 + 1);
      view_remove (world.instances[0].view, id, ++world.revision,
                   clock_now ());
    }
  world.instances[0].view->revision = world.revision;
  relay_changed (world.instances[0].relay);
  g_assert_true (settle (&world, 10));
  g_assert_cmpint (backends_count (world.instances[5].backends), ==, 900);
  run_for (&world, 2.0);
  g_assert_cmpuint (transfers (&world, 0), ==, before);
  g_assert_cmpuint (transfers (&world, 1), ==, parts);
  /* Each change at most three times to each; twice as much in all.  */
  g_assert_cmpuint (telemetry_read (TELEMETRY_PEER_BYTES, 0) - bytes, <,
                    2 * 3 * 23 * 300 * change_bytes);
  end (&world);
}

/* Runs until the reader sends all endpoints to so many, or for 10 s.
   Return: to how many it sends them.  */
static int
run_until_sending (world_t *world, int count)
{
  const relay_t *relay = world->instances[0].relay;

  for (int i = 0; i < 500 && relay->sending_all != count; i++)
    run_for (world, 0.02);
  return relay->sending_all;
}

/* Runs until something arrives, or for 10 s.  Return: its length.  */
static ssize_t
run_until_received (world_t *world, int fd, char *data, size_t size)
{
  ssize_t n = -1;

  for (int i = 0; i < 500 && n < 0; i++)
    {
      run_for (world, 0.02);
      n = recv (fd, data, size, MSG_DONTWAIT);
    }
  return n;
}

/* Asks the reader for all endpoints.  Return: a descriptor.  */
static int
ask (const world_t *world)
{
  const wire_request_t request
      = { .asker = address_of (40), .parts = FLEET_PART_BACKENDS };
  const struct sockaddr_in *to = &world->instances[0].relay->address;
  const int small = 4096;
  char data[WIRE_REQUEST_SIZE];
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  g_assert_cmpint (connect (fd, (const struct sockaddr *)to, sizeof *to), ==,
                   0);
  wire_encode_request (&request, data);
  g_assert_cmpint (send (fd, data, sizeof data, 0), ==, sizeof data);
  return fd;
}

/* Guards against a reader that serves all that start at the same time by
   itself, so that none has the table in time.  */
static void
busy_reader_names_another_instance (void)
{
  world_t world;
  int slow[8];
  int fd;
  char data[1024];
  ssize_t n;
  fleet_wire_snapshot answer = { 0 };
  XDR xdr;

  start (&world, 2);
  list (&world, SLOW_ENDPOINTS);
  g_assert_true (settle (&world, 15));
  for (size_t i = 0; i < G_N_ELEMENTS (slow); i++)
    slow[i] = ask (&world);
  g_assert_cmpint (run_until_sending (&world, 8), ==, 8);
  fd = ask (&world);
  n = run_until_received (&world, fd, data, sizeof data);
  g_assert_cmpint (n, >, 0);
  xdrmem_create (&xdr, data, (u_int)n, XDR_DECODE);
  g_assert_true (xdr_fleet_wire_snapshot (&xdr, &answer));
  g_assert_cmpuint (answer.included, ==, 0);
  g_assert_cmpuint (htonl (answer.elsewhere), ==, address_of (1));
  xdr_free ((xdrproc_t)xdr_fleet_wire_snapshot, (char *)&answer);
  close (fd);
  for (size_t i = 0; i < G_N_ELEMENTS (slow); i++)
    close (slow[i]);
  g_assert_cmpint (run_until_sending (&world, 0), ==, 0);
  end (&world);
}

/* Guards against transfers that go on with a relay that is gone; seen by the
   address sanitizer in CI.  */
static void
transfers_end_with_the_relay (void)
{
  world_t world;
  int slow[2];

  start (&world, 1);
  list (&world, SLOW_ENDPOINTS);
  for (size_t i = 0; i < G_N_ELEMENTS (slow); i++)
    slow[i] = ask (&world);
  g_assert_cmpint (run_until_sending (&world, 2), ==, 2);
  end (&world);
  for (size_t i = 0; i < G_N_ELEMENTS (slow); i++)
    close (slow[i]);
}

/* Guards against instances that start together and don't all get the table. */
static void
all_that_start_get_the_table (void)
{
  world_t world;

  start (&world, INSTANCES_MAX);
  list (&world, 3000);
  g_assert_true (settle (&world, 15));
  end (&world);
}

/* Guards against an instance that stays apart when the changes that it asks
   for do not bring it into line.  */
static void
wrong_table_is_replaced (void)
{
  world_t world;
  backend_entry_t none = { .id = "endpoint-00007" };

  start (&world, 4);
  list (&world, 100);
  g_assert_true (settle (&world, 10));
  view_remove (world.instances[2].view, none.id, 8, clock_now ());
  g_assert_cmpint (agreeing (&world), ==, 3);
  /* The removal is newer than what the reader tells; it has to state the
     endpoint anew, as a heartbeat does.  */
  put (world.instances[0].view, 7, false, ++world.revision);
  world.instances[0].view->revision = world.revision;
  g_assert_true (settle (&world, 10));
  end (&world);
}

/* Guards against a change of the configuration that waits behind the table of
   endpoints.  */
static void
configuration_arrives_while_tables_are_sent (void)
{
  world_t world;
  bool all = true;

  start (&world, 24);
  list (&world, 3000);
  g_assert_true (settle (&world, 15));
  for (int i = 0; i < 2000; i++)
    put (world.instances[0].view, i, true, ++world.revision);
  world.instances[0].view->revision = world.revision;
  view_set_routes (world.instances[0].view, routes_new (5));
  relay_changed (world.instances[0].relay);
  run_for (&world, 1.0);
  for (int i = 0; i < world.count; i++)
    all = all && world.instances[i].view->routes != NULL;
  g_assert_true (all);
  end (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_FATAL_MASK);
  g_test_add_func ("/relay/many_changes_cost_no_whole_table",
                   many_changes_cost_no_whole_table);
  g_test_add_func ("/relay/busy_reader_names_another_instance",
                   busy_reader_names_another_instance);
  g_test_add_func ("/relay/transfers_end_with_the_relay",
                   transfers_end_with_the_relay);
  g_test_add_func ("/relay/all_that_start_get_the_table",
                   all_that_start_get_the_table);
  g_test_add_func ("/relay/wrong_table_is_replaced", wrong_table_is_replaced);
  g_test_add_func ("/relay/configuration_arrives_while_tables_are_sent",
                   configuration_arrives_while_tables_are_sent);
  return g_test_run ();
}
