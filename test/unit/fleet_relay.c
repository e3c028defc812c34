/* Tests of the replication of endpoints and configuration between instances,
   which all run in this process, each with its own loopback address.  The
   first instance is the reader, which would read the store on behalf of all;
   here the tests update its view.  */

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "relay_private.h"
#include "telemetry.h"

#define INSTANCES_MAX 48
#define PORT 18650
/* Interval between the calls of relay_tick().  */
#define TICK_S 0.05
/* Number of endpoints whose encoding, of some 2 MB, does not fit into the
   socket buffers of a connection.  */
#define LARGE_SITE_ENDPOINTS 16000

typedef struct instance
{
  char name[24];
  backends_t *backends;
  view_t *view;
  members_t *members;
  reader_t reader;
  relay_t *relay;
} instance_t;

typedef struct fixture
{
  struct ev_loop *loop;
  ev_timer tick;
  instance_t instances[INSTANCES_MAX];
  int count;                    /* number of @instances in use */
  uint64_t revision;            /* newest revision of the simulated store */
  uint64_t transfers_before[3]; /* values of TELEMETRY_STATE_TRANSFERS before
                                   the test, by label */
} fixture_t;

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
  fixture_t *fixture = watcher->data;

  (void)loop;
  (void)events;
  for (int i = 0; i < fixture->count; i++)
    relay_tick (fixture->instances[i].relay, clock_now ());
}

/* Returns the address of an instance in a loopback network that depends on the
   process id, so that concurrent runs do not interfere.  */
static uint32_t
address_of (int instance)
{
  return htonl ((127U << 24) + (1U + (uint32_t)getpid () % 250) * 65536U
                + (1U + (uint32_t)getpid () / 250 % 250) * 256U + 1U
                + (uint32_t)instance);
}

/* Returns the number of transfers in this test.  @kind: label of
   TELEMETRY_STATE_TRANSFERS; 0: with all endpoints, 1: with only the changed
   ones, 2: without endpoints.  */
static uint64_t
count_transfers (const fixture_t *fixture, unsigned int kind)
{
  return telemetry_counter_read (TELEMETRY_STATE_TRANSFERS, kind)
         - fixture->transfers_before[kind];
}

static void
fixture_start (fixture_t *fixture, int count)
{
  relay_seeds_t seeds = { .ip = { address_of (0) }, .count = 1 };
  relay_hooks_t hooks = { .members_changed = ignore };
  view_hooks_t view_hooks
      = { .routes_changed = ignore_routes, .backends_changed = ignore };

  *fixture = (fixture_t){ .count = count, .loop = ev_loop_new (EVFLAG_AUTO) };
  for (unsigned int i = 0; i < 3; i++)
    fixture->transfers_before[i]
        = telemetry_counter_read (TELEMETRY_STATE_TRANSFERS, i);
  for (int i = 0; i < count; i++)
    {
      instance_t *instance = &fixture->instances[i];
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
      instance->relay = relay_new (fixture->loop, &address, instance->view,
                                   instance->members, &instance->reader, NULL,
                                   &seeds, &hooks, &result);
      g_assert_cmpint (result, ==, 0);
    }
  ev_timer_init (&fixture->tick, on_tick, TICK_S, TICK_S);
  fixture->tick.data = fixture;
  ev_timer_start (fixture->loop, &fixture->tick);
}

static void
fixture_end (fixture_t *fixture)
{
  ev_timer_stop (fixture->loop, &fixture->tick);
  for (int i = 0; i < fixture->count; i++)
    {
      instance_t *instance = &fixture->instances[i];

      relay_free (instance->relay);
      members_free (instance->members);
      view_free (instance->view);
      backends_free (instance->backends);
    }
  ev_loop_destroy (fixture->loop);
}

static void
put_endpoint (view_t *view, int number, bool draining, uint64_t revision)
{
  char id[24];
  backend_entry_t entry = { .id = id,
                            .service = "slots",
                            .data_centre = "a",
                            .slots = 3,
                            .draining = draining,
                            .revision = { .number = revision } };

  (void)g_snprintf (id, sizeof id, "endpoint-%05d", number);
  entry.address.sin_family = AF_INET;
  entry.address.sin_addr.s_addr = htonl (0x0a000000U + (uint32_t)number);
  entry.address.sin_port = htons (80);
  view_put_backend (view, &entry, clock_now ());
}

/* Makes the first instance the reader and puts @count endpoints into its
   view.  */
static void
set_up_reader (fixture_t *fixture, int count)
{
  view_t *view = fixture->instances[0].view;

  fixture->instances[0].reader.is_reader = true;
  fixture->instances[0].reader.last_read_at = clock_now ();
  for (int i = 0; i < count; i++)
    put_endpoint (view, i, false, ++fixture->revision);
  view_set_synced (view, (store_revision_t){ .number = fixture->revision });
}

/* Returns the number of instances that have the reader's endpoints.  */
static int
count_synced (const fixture_t *fixture)
{
  uint64_t digest = view_digest (fixture->instances[0].view);
  int n = 0;

  for (int i = 0; i < fixture->count; i++)
    n += fixture->instances[i].view->has_all_backends
         && view_digest (fixture->instances[i].view) == digest;
  return n;
}

static void
on_deadline (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  *(bool *)watcher->data = true;
  ev_break (loop, EVBREAK_ONE);
}

/* Runs the event loop until all instances have the reader's endpoints, or for
   @timeout_s seconds.  Return: whether all have them.  */
static bool
run_until_synced (fixture_t *fixture, double timeout_s)
{
  bool timed_out = false;
  ev_timer deadline;

  ev_now_update (fixture->loop);
  ev_timer_init (&deadline, on_deadline, timeout_s, 0);
  deadline.data = &timed_out;
  ev_timer_start (fixture->loop, &deadline);
  while (!timed_out && count_synced (fixture) < fixture->count)
    {
      fixture->instances[0].reader.last_read_at = clock_now ();
      ev_run (fixture->loop, EVRUN_ONCE);
    }
  ev_timer_stop (fixture->loop, &deadline);
  return !timed_out;
}

/* Runs the event loop for a time, in which the reader announces its state as
   fresh.  */
static void
run_for (fixture_t *fixture, double seconds)
{
  bool timed_out = false;
  ev_timer deadline;

  ev_now_update (fixture->loop);
  ev_timer_init (&deadline, on_deadline, seconds, 0);
  deadline.data = &timed_out;
  ev_timer_start (fixture->loop, &deadline);
  while (!timed_out)
    {
      fixture->instances[0].reader.last_read_at = clock_now ();
      ev_run (fixture->loop, EVRUN_ONCE);
    }
}

/* Guards against instances that fetch state over TCP when more endpoints
   change at a time than fit into one datagram, as in a release, and against
   changes that are announced too often.  With many instances, either uses up
   the reader's bandwidth, so that nothing, not even the configuration, arrives
   in time.  */
static void
many_changes_cause_no_full_transfer (void)
{
  fixture_t fixture;
  /* Length of an encoded change, with its share of the datagram's header.  */
  const uint64_t bytes_per_change = 170;
  uint64_t full_transfers_before;
  uint64_t partial_transfers_before;
  uint64_t bytes_before;

  fixture_start (&fixture, 24);
  set_up_reader (&fixture, 1000);
  g_assert_true (run_until_synced (&fixture, 10));
  /* After these 2 s, the endpoints that were put first are no longer announced
     as changes.  */
  run_for (&fixture, 2.0);
  full_transfers_before = count_transfers (&fixture, 0);
  partial_transfers_before = count_transfers (&fixture, 1);
  bytes_before = telemetry_counter_read (TELEMETRY_PEER_BYTES, 0);
  for (int i = 0; i < 200; i++)
    put_endpoint (fixture.instances[0].view, i * 4, true, ++fixture.revision);
  for (int i = 0; i < 100; i++)
    {
      char id[24];

      (void)g_snprintf (id, sizeof id, "endpoint-%05d", i * 4 + 1);
      view_remove_backend (
          fixture.instances[0].view, id,
          &(view_removal_t){ .revision = { .number = ++fixture.revision } },
          clock_now ());
    }
  fixture.instances[0].view->revision.number = fixture.revision;
  relay_schedule_announcement (fixture.instances[0].relay);
  g_assert_true (run_until_synced (&fixture, 10));
  g_assert_cmpint (backends_count (fixture.instances[5].backends), ==, 900);
  run_for (&fixture, 2.0);
  g_assert_cmpuint (count_transfers (&fixture, 0), ==, full_transfers_before);
  g_assert_cmpuint (count_transfers (&fixture, 1), ==,
                    partial_transfers_before);
  /* Each change is sent at most three times to each instance; the limit allows
     twice that.  */
  g_assert_cmpuint (telemetry_counter_read (TELEMETRY_PEER_BYTES, 0)
                        - bytes_before,
                    <, 2 * 3 * 23 * 300 * bytes_per_change);
  fixture_end (&fixture);
}

/* Runs until the reader is sending all endpoints to @count instances at the
   same time, or for 10 s.  Return: the number of instances to which the reader
   is sending them.  */
static int
run_until_full_transfers (fixture_t *fixture, int count)
{
  const relay_t *relay = fixture->instances[0].relay;

  for (int i = 0; i < 500 && relay->bulk_transfers[0] != count; i++)
    run_for (fixture, 0.02);
  return relay->bulk_transfers[0];
}

/* Runs until data arrives on a socket, or for 10 s.  Return: the length of the
   data in bytes, or -1.  */
static ssize_t
run_until_received (fixture_t *fixture, int fd, char *data, size_t size)
{
  ssize_t n = -1;

  for (int i = 0; i < 500 && n < 0; i++)
    {
      run_for (fixture, 0.02);
      n = recv (fd, data, size, MSG_DONTWAIT);
    }
  return n;
}

/* Requests all endpoints from the reader on a socket with a small receive
   buffer.  The transfer does not end, because nothing reads the socket.
   Return: the socket.  */
static int
request_all_endpoints (const fixture_t *fixture)
{
  const wire_request_t request
      = { .asker = address_of (40), .parts = FLEET_PART_BACKENDS };
  const struct sockaddr_in *to = &fixture->instances[0].relay->address;
  const int receive_bytes = 4096;
  char data[WIRE_REQUEST_BYTES];
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                    sizeof receive_bytes);
  g_assert_cmpint (connect (fd, (const struct sockaddr *)to, sizeof *to), ==,
                   0);
  wire_encode_request (&request, data);
  g_assert_cmpint (send (fd, data, sizeof data, 0), ==, sizeof data);
  return fd;
}

/* Guards against a reader that, when many instances start at the same time,
   sends all endpoints to each of them itself, so that none receives them in
   time.  The reader has to redirect some of them to an instance that already
   has the endpoints.  */
static void
busy_reader_redirects_to_another_instance (void)
{
  fixture_t fixture;
  int slow_fds[8];
  int fd;
  char data[1024];
  ssize_t n;
  fleet_wire_snapshot snapshot = { 0 };
  XDR xdr;

  fixture_start (&fixture, 2);
  set_up_reader (&fixture, LARGE_SITE_ENDPOINTS);
  g_assert_true (run_until_synced (&fixture, 15));
  for (size_t i = 0; i < G_N_ELEMENTS (slow_fds); i++)
    slow_fds[i] = request_all_endpoints (&fixture);
  g_assert_cmpint (run_until_full_transfers (&fixture, 8), ==, 8);
  fd = request_all_endpoints (&fixture);
  n = run_until_received (&fixture, fd, data, sizeof data);
  g_assert_cmpint (n, >, 0);
  xdrmem_create (&xdr, data, (u_int)n, XDR_DECODE);
  g_assert_true (xdr_fleet_wire_snapshot (&xdr, &snapshot));
  g_assert_cmpuint (snapshot.included, ==, 0);
  g_assert_cmpuint (htonl (snapshot.elsewhere), ==, address_of (1));
  xdr_free ((xdrproc_t)xdr_fleet_wire_snapshot, (char *)&snapshot);
  close (fd);
  for (size_t i = 0; i < G_N_ELEMENTS (slow_fds); i++)
    close (slow_fds[i]);
  g_assert_cmpint (run_until_full_transfers (&fixture, 0), ==, 0);
  fixture_end (&fixture);
}

/* Guards against transfers that continue after relay_free() and use freed
   memory, as AddressSanitizer has reported in CI.  */
static void
transfers_end_with_the_relay (void)
{
  fixture_t fixture;
  int slow_fds[2];

  fixture_start (&fixture, 1);
  set_up_reader (&fixture, LARGE_SITE_ENDPOINTS);
  for (size_t i = 0; i < G_N_ELEMENTS (slow_fds); i++)
    slow_fds[i] = request_all_endpoints (&fixture);
  g_assert_cmpint (run_until_full_transfers (&fixture, 2), ==, 2);
  fixture_end (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (slow_fds); i++)
    close (slow_fds[i]);
}

/* Guards against instances that never receive the endpoints because many start
   at the same time.  */
static void
starting_instances_receive_all_endpoints (void)
{
  fixture_t fixture;

  fixture_start (&fixture, INSTANCES_MAX);
  set_up_reader (&fixture, 3000);
  g_assert_true (run_until_synced (&fixture, 15));
  fixture_end (&fixture);
}

/* Guards against an instance whose endpoints stay wrong because the changes
   that it fetches do not correct them.  */
static void
wrong_endpoints_are_replaced (void)
{
  fixture_t fixture;
  backend_entry_t removed = { .id = "endpoint-00007" };

  fixture_start (&fixture, 4);
  set_up_reader (&fixture, 100);
  g_assert_true (run_until_synced (&fixture, 10));
  view_remove_backend (fixture.instances[2].view, removed.id,
                       &(view_removal_t){ .revision = { .number = 8 } },
                       clock_now ());
  g_assert_cmpint (count_synced (&fixture), ==, 3);
  /* Instance 2 now has a tombstone that is newer than the reader's entry of
     the endpoint, so that it would ignore that entry.  The reader therefore
     puts the endpoint at a newer revision, as after the endpoint's
     heartbeat.  */
  put_endpoint (fixture.instances[0].view, 7, false, ++fixture.revision);
  fixture.instances[0].view->revision.number = fixture.revision;
  g_assert_true (run_until_synced (&fixture, 10));
  fixture_end (&fixture);
}

/* Guards against a change of the configuration that is delayed by transfers of
   endpoints.  */
static void
configuration_arrives_during_transfers (void)
{
  fixture_t fixture;
  bool all_have_config = true;

  fixture_start (&fixture, 24);
  set_up_reader (&fixture, 3000);
  g_assert_true (run_until_synced (&fixture, 15));
  for (int i = 0; i < 2000; i++)
    put_endpoint (fixture.instances[0].view, i, true, ++fixture.revision);
  fixture.instances[0].view->revision.number = fixture.revision;
  view_set_routes (fixture.instances[0].view, routes_new (5));
  relay_schedule_announcement (fixture.instances[0].relay);
  run_for (&fixture, 1.0);
  for (int i = 0; i < fixture.count; i++)
    all_have_config
        = all_have_config && fixture.instances[i].view->routes != NULL;
  g_assert_true (all_have_config);
  fixture_end (&fixture);
}

/* Guards against instances that ignore what the reader has learnt from a
   restored store, because its revisions are lower than the last ones before:
   changes of endpoints, data centres out of service and the configuration.  */
static void
restored_store_is_followed (void)
{
  fixture_t fixture;
  GPtrArray *restored = g_ptr_array_new ();
  GPtrArray *out = g_ptr_array_new ();
  backend_entry_t entry = { .id = "endpoint-00000",
                            .service = "slots",
                            .data_centre = "a",
                            .slots = 1,
                            .revision = { .era = 1, .number = 5 } };
  view_t *view;

  fixture_start (&fixture, 4);
  set_up_reader (&fixture, 100);
  g_assert_true (run_until_synced (&fixture, 10));
  view = fixture.instances[0].view;
  g_ptr_array_add (restored, &entry);
  g_ptr_array_add (out, "a");
  view_replace_backends (view, restored, (store_revision_t){ 1, 20 },
                         clock_now ());
  view_remove_backend (view, "endpoint-00001",
                       &(view_removal_t){ .revision = { 1, 21 } },
                       clock_now () + 10000);
  view_set_synced (view, (store_revision_t){ 1, 21 });
  view_set_out_of_service (view, out, (store_revision_t){ 1, 21 },
                           clock_now ());
  view_set_routes (view, routes_new (7));
  g_assert_true (run_until_synced (&fixture, 5));
  run_for (&fixture, 1.0);
  for (int i = 0; i < fixture.count; i++)
    {
      const instance_t *instance = &fixture.instances[i];

      g_assert_null (backends_find (instance->backends, "endpoint-00001"));
      g_assert_cmpint (
          backends_find (instance->backends, "endpoint-00000")->entry.slots,
          ==, 1);
      g_assert_true (backends_is_data_centre_out (instance->backends, "a"));
      g_assert_nonnull (instance->view->routes);
    }
  g_ptr_array_free (restored, TRUE);
  g_ptr_array_free (out, TRUE);
  fixture_end (&fixture);
}

/* Makes an instance know that the data centre "a" is out of service, or that
   none is.  */
static void
set_out_of_service (instance_t *instance, bool is_out, uint64_t revision)
{
  GPtrArray *out = g_ptr_array_new ();

  if (is_out)
    g_ptr_array_add (out, "a");
  view_set_out_of_service (instance->view, out,
                           (store_revision_t){ .number = revision },
                           clock_now ());
  g_ptr_array_free (out, TRUE);
}

/* Guards against a data centre that is put back into service by a reader that
   has not read the operator's orders, or has read them before they were given,
   but has read the endpoints later than others (review case 11).  */
static void
orders_that_the_reader_has_not_read_hold (void)
{
  fixture_t fixture;
  const instance_t *other = &fixture.instances[2];

  fixture_start (&fixture, 3);
  set_up_reader (&fixture, 100);
  set_out_of_service (&fixture.instances[2], true, 30);
  g_assert_true (run_until_synced (&fixture, 10));
  run_for (&fixture, 0.5);
  g_assert_true (backends_is_data_centre_out (other->backends, "a"));
  set_out_of_service (&fixture.instances[0], false, 29);
  run_for (&fixture, 0.5);
  g_assert_true (backends_is_data_centre_out (other->backends, "a"));
  set_out_of_service (&fixture.instances[0], false, 31);
  run_for (&fixture, 0.5);
  g_assert_false (backends_is_data_centre_out (other->backends, "a"));
  /* An order counts also if the reader has read the endpoints before.  */
  fixture.instances[2].view->revision.number = 1000;
  set_out_of_service (&fixture.instances[0], true, 32);
  run_for (&fixture, 0.5);
  g_assert_true (backends_is_data_centre_out (other->backends, "a"));
  fixture_end (&fixture);
}

/* Guards against an instance that stays with an older configuration because
   the instance that announces the newer one has an older store revision.  */
static void
configuration_of_an_older_revision_is_fetched (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 3);
  set_up_reader (&fixture, 20);
  g_assert_true (run_until_synced (&fixture, 10));
  fixture.instances[2].view->revision.number = 1000;
  view_set_routes (fixture.instances[0].view, routes_new (7));
  run_for (&fixture, 1.0);
  g_assert_nonnull (fixture.instances[2].view->routes);
  fixture_end (&fixture);
}

/* Guards against an older configuration at a reader that was restarted after
   the store was restored, and at all that start and learn it from that reader,
   while others have the newer one.  */
static void
reader_gets_a_newer_configuration_from_others (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 4);
  set_up_reader (&fixture, 20);
  view_set_routes (fixture.instances[0].view, routes_new (5));
  g_assert_true (run_until_synced (&fixture, 10));
  view_set_routes (fixture.instances[2].view, routes_new (9));
  run_for (&fixture, 1.0);
  for (int i = 0; i < fixture.count; i++)
    g_assert_cmpuint (fixture.instances[i].view->routes->version, ==, 9);
  fixture_end (&fixture);
}

/* Guards against an instance that starts while nobody reads the store and
   learns nothing for a second: the others replied to each other's hellos, and
   a reply that an instance has got kept it from replying to the newcomer.  */
static void
instance_that_starts_without_a_reader_is_told (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 5);
  /* The last instance sends nothing before it is counted.  */
  fixture.count = 4;
  set_up_reader (&fixture, 20);
  g_assert_true (run_until_synced (&fixture, 10));
  for (int i = 0; i < fixture.count; i++)
    relay_set_ready (fixture.instances[i].relay, true);
  run_for (&fixture, 0.5);
  /* The reader falls silent.  */
  fixture.instances[0].reader.is_reader = false;
  fixture.instances[0].relay->seeds.count = 0;
  for (int i = 1; i < 5; i++)
    fixture.instances[i].relay->seeds
        = (relay_seeds_t){ .ip = { address_of (1), address_of (2) },
                           .count = 2 };
  run_for (&fixture, 0.9);
  fixture.count = 5;
  g_assert_true (run_until_synced (&fixture, 0.4));
  fixture_end (&fixture);
}

/* Guards against an instance that starts while nobody reads the store and
   drops the only announcement that it gets, because it has just fetched the
   configuration and may not fetch again yet.  */
static void
only_announcement_is_not_dropped (void)
{
  fixture_t fixture;
  relay_t *starting;

  fixture_start (&fixture, 3);
  fixture.count = 2;
  set_up_reader (&fixture, 20);
  g_assert_true (run_until_synced (&fixture, 10));
  fixture.instances[0].reader.is_reader = false;
  run_for (&fixture, 0.8);
  starting = fixture.instances[2].relay;
  starting->next_fetch_at = clock_now () + 300;
  fixture.count = 3;
  g_assert_true (run_until_synced (&fixture, 0.6));
  fixture_end (&fixture);
}

/* Guards against an instance that is stopping, and is not told by an instance
   other than the reader that an endpoint has ended under a request (soak-2).
   The members send their hellos to the reader only.  */
static void
stopping_instance_is_told_of_a_suspect (void)
{
  fixture_t fixture;
  suspects_t *suspects;
  suspect_ending_t ending = { .endpoint = 1 };
  member_t *stopping;

  fixture_start (&fixture, 3);
  set_up_reader (&fixture, 20);
  g_assert_true (run_until_synced (&fixture, 10));
  run_for (&fixture, 1.5);
  stopping
      = members_find (fixture.instances[1].members, fixture.instances[2].name);
  g_assert_false (stopping->ready);
  stopping->last_hello_at = 0;
  stopping->added_at = clock_now () - 60000;
  fixture.instances[1].relay->sequence_number = 1;
  suspects = fixture.instances[1].view->suspects;
  ending.at = clock_now ();
  relay_tell_suspect (
      fixture.instances[1].relay,
      suspects_add_ending (suspects, 7, &ending, clock_now ()));
  run_for (&fixture, 0.3);
  g_assert_nonnull (
      suspects_find (fixture.instances[2].view->suspects, 7, clock_now ()));
  fixture_end (&fixture);
}

/* Guards against requests of other instances to an endpoint that has told one
   of them that it leaves, while the store says nothing; and against a
   statement of another start of the endpoint that is believed.  */
static void
leaving_endpoint_is_told_to_all (void)
{
  fixture_t fixture;

  fixture_start (&fixture, 4);
  set_up_reader (&fixture, 20);
  g_assert_true (run_until_synced (&fixture, 10));
  run_for (&fixture, 0.5);
  g_assert_true (backend_record_leaving (
      backends_find (fixture.instances[2].backends, "endpoint-00003"), true,
      clock_now ()));
  relay_tell_limits (fixture.instances[2].relay);
  backends_find (fixture.instances[1].backends, "endpoint-00003")->entry.born
      = 77;
  run_for (&fixture, 1.0);
  for (int i = 0; i < fixture.count; i++)
    {
      g_assert_cmpint (
          backends_find (fixture.instances[i].backends, "endpoint-00003")
              ->says_leaving,
          ==, i != 1);
      g_assert_false (
          backends_find (fixture.instances[i].backends, "endpoint-00004")
              ->says_leaving);
    }
  fixture_end (&fixture);
}

/* Returns a configuration with many routes, of which the first has the given
   timeout.  */
static routes_t *
make_configuration (uint64_t version, int routes_count, clock_ms_t timeout)
{
  routes_t *routes = routes_new (version);

  for (int i = 0; i < routes_count; i++)
    {
      route_t *route = g_new0 (route_t, 1);

      route->name = g_strdup_printf ("route-%04d", i);
      route->host = g_strdup_printf ("host-%04d.example", i);
      route->prefix = g_strdup_printf ("/prefix-%04d/", i);
      route->timeout = i == 0 ? timeout : 800;
      route_add_part (route, "slots", 1);
      routes_add (routes, route);
    }
  routes_index (routes);
  return routes;
}

static void
change_configuration (fixture_t *fixture, uint64_t version, int routes_count,
                      clock_ms_t timeout)
{
  view_set_routes (fixture->instances[0].view,
                   make_configuration (version, routes_count, timeout));
  relay_schedule_announcement (fixture->instances[0].relay);
}

/* Returns the number of instances that have the reader's configuration.  */
static int
count_configured (const fixture_t *fixture)
{
  uint64_t digest = fixture->instances[0].view->config_digest;
  int n = 0;

  for (int i = 0; i < fixture->count; i++)
    n += fixture->instances[i].view->routes != NULL
         && fixture->instances[i].view->config_digest == digest;
  return n;
}

/* Guards against a change of one route that makes every instance fetch the
   whole configuration from the reader.  */
static void
small_change_of_the_configuration_is_not_fetched (void)
{
  fixture_t fixture;
  uint64_t transfers_before;
  uint64_t bytes_before;

  fixture_start (&fixture, 24);
  set_up_reader (&fixture, 100);
  change_configuration (&fixture, 5, 1000, 800);
  g_assert_true (run_until_synced (&fixture, 10));
  run_for (&fixture, 2.0);
  g_assert_cmpint (count_configured (&fixture), ==, fixture.count);
  transfers_before = count_transfers (&fixture, 1);
  bytes_before = telemetry_counter_read (TELEMETRY_PEER_BYTES, 0);
  change_configuration (&fixture, 6, 1000, 900);
  run_for (&fixture, 1.0);
  g_assert_cmpint (count_configured (&fixture), ==, fixture.count);
  g_assert_cmpuint (count_transfers (&fixture, 1), ==, transfers_before);
  /* Announcements and hellos of a second at rest take about 60 KB.  */
  g_assert_cmpuint (telemetry_counter_read (TELEMETRY_PEER_BYTES, 0)
                        - bytes_before,
                    <, 150000);
  fixture_end (&fixture);
}

/* Guards against a configuration that grows by many routes and is sent to all
   instances by the reader alone and at the same time, so that none gets it in
   time, and against the versions that follow it being delayed.  */
static void
large_change_of_the_configuration_is_passed_on (void)
{
  fixture_t fixture;
  int concurrent_max = 0;

  fixture_start (&fixture, INSTANCES_MAX);
  set_up_reader (&fixture, 100);
  change_configuration (&fixture, 5, 20, 800);
  g_assert_true (run_until_synced (&fixture, 10));
  run_for (&fixture, 1.0);
  g_assert_cmpint (count_configured (&fixture), ==, fixture.count);
  change_configuration (&fixture, 6, 1400, 800);
  for (int i = 0; i < 150; i++)
    {
      run_for (&fixture, 0.01);
      if (i == 50)
        change_configuration (&fixture, 7, 1400, 900);
      if (i == 100)
        change_configuration (&fixture, 9, 1401, 900);
      for (int j = 0; j < fixture.count; j++)
        concurrent_max = MAX (concurrent_max,
                              fixture.instances[j].relay->bulk_transfers[1]);
    }
  /* The last version is in force everywhere 500 ms after it was read.  */
  g_assert_cmpint (count_configured (&fixture), ==, fixture.count);
  g_assert_cmpint (concurrent_max, >, 0);
  g_assert_cmpint (concurrent_max, <=, 8);
  fixture_end (&fixture);
}

/* Guards against a malformed message of another program or a damaged one that
   ends the process, as an exception on one message has done elsewhere.  Valid
   announcements and hellos are changed at random and sent again.  */
static void
malformed_messages_do_no_harm (void)
{
  fixture_t fixture;
  const int fd = socket (AF_INET, SOCK_DGRAM, 0);
  struct sockaddr_in own = { .sin_family = AF_INET,
                             .sin_port = htons (PORT),
                             .sin_addr.s_addr = address_of (40) };
  GRand *rand = g_rand_new_with_seed (20262);
  char valid[2048];
  ssize_t length = -1;

  fixture_start (&fixture, 2);
  set_up_reader (&fixture, 20);
  g_assert_cmpint (bind (fd, (const struct sockaddr *)&own, sizeof own), ==,
                   0);
  (void)members_put (fixture.instances[0].members, "observer", "a",
                     own.sin_addr.s_addr, clock_now ());
  g_assert_true (run_until_synced (&fixture, 10));
  change_configuration (&fixture, 5, 3, 800);
  run_for (&fixture, 0.5);
  for (int i = 0; i < 4000; i++)
    {
      struct sockaddr_in to = own;
      char changed[sizeof valid];
      ssize_t n = recv (fd, valid, sizeof valid, MSG_DONTWAIT);

      if (n > 0)
        length = n;
      g_assert_cmpint (length, >, 0);
      memcpy (changed, valid, (size_t)length);
      for (int j = g_rand_int_range (rand, 1, 6); j > 0; j--)
        changed[g_rand_int_range (rand, 0, (gint32)length)]
            = (char)g_rand_int (rand);
      to.sin_addr.s_addr = address_of (g_rand_int_range (rand, 0, 2));
      (void)sendto (fd, changed,
                    (size_t)g_rand_int_range (rand, 1, (gint32)length + 1), 0,
                    (const struct sockaddr *)&to, sizeof to);
      if (i % 40 == 0)
        {
          change_configuration (&fixture, 6 + (uint64_t)i, 3, 800 + i);
          run_for (&fixture, 0.02);
        }
    }
  run_for (&fixture, 0.5);
  g_rand_free (rand);
  close (fd);
  fixture_end (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_FATAL_MASK);
  g_test_add_func ("/relay/many_changes_cost_no_whole_table",
                   many_changes_cause_no_full_transfer);
  g_test_add_func ("/relay/busy_reader_names_another_instance",
                   busy_reader_redirects_to_another_instance);
  g_test_add_func ("/relay/transfers_end_with_the_relay",
                   transfers_end_with_the_relay);
  g_test_add_func ("/relay/all_that_start_get_the_table",
                   starting_instances_receive_all_endpoints);
  g_test_add_func ("/relay/wrong_table_is_replaced",
                   wrong_endpoints_are_replaced);
  g_test_add_func ("/relay/restored_store_is_followed",
                   restored_store_is_followed);
  g_test_add_func ("/relay/orders_that_the_reader_has_not_read_hold",
                   orders_that_the_reader_has_not_read_hold);
  g_test_add_func ("/relay/configuration_of_an_older_revision_is_fetched",
                   configuration_of_an_older_revision_is_fetched);
  g_test_add_func ("/relay/reader_gets_a_newer_configuration_from_others",
                   reader_gets_a_newer_configuration_from_others);
  g_test_add_func ("/relay/instance_that_starts_without_a_reader_is_told",
                   instance_that_starts_without_a_reader_is_told);
  g_test_add_func ("/relay/only_announcement_is_not_dropped",
                   only_announcement_is_not_dropped);
  g_test_add_func ("/relay/stopping_instance_is_told_of_a_suspect",
                   stopping_instance_is_told_of_a_suspect);
  g_test_add_func ("/relay/leaving_endpoint_is_told_to_all",
                   leaving_endpoint_is_told_to_all);
  g_test_add_func ("/relay/configuration_arrives_while_tables_are_sent",
                   configuration_arrives_during_transfers);
  g_test_add_func ("/relay/small_change_of_the_configuration_is_not_fetched",
                   small_change_of_the_configuration_is_not_fetched);
  g_test_add_func ("/relay/large_change_of_the_configuration_is_passed_on",
                   large_change_of_the_configuration_is_passed_on);
  g_test_add_func ("/relay/malformed_messages_do_no_harm",
                   malformed_messages_do_no_harm);
  return g_test_run ();
}
