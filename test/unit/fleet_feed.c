/* Tests of the feed, which reads the store, and of the view, which holds what
   was read.  The store is a mock: it records the feed's calls, and the tests
   pass the responses to the feed.  */

#include <errno.h>
#include <string.h>

#include "feed.h"
#include "wire.h"

/* The feed's call for one kind of object to which the test has not responded
   yet.  */
typedef struct pending_call
{
  bool list;          /* the pending call is list() */
  bool watch;         /* the pending call is watch(); if @list is false too, no
                         call is pending */
  uint64_t revision;  /* of watch(): changes after this revision are awaited */
  clock_ms_t wait;    /* of watch(): time for which the store waits, in ms */
  clock_ms_t timeout; /* of watch(): time after which it fails, in ms */
  char after[32];     /* of list(): names after this one are listed; "": all */
} pending_call_t;

typedef struct fixture
{
  struct ev_loop *loop;
  backends_t *backends;
  view_t *view;
  members_t *members;
  reader_t reader;
  feed_t *feed;
  pending_call_t pending_call[FEED_KIND_COUNT];
  uint64_t era;             /* era of the responses of the store */
  int store_calls;          /* number of calls of store_members() */
  uint64_t stored_revision; /* argument of the last of these calls */
} fixture_t;

static void
on_list (void *context, feed_kind_t kind, const char *after,
         clock_ms_t timeout)
{
  fixture_t *fixture = context;

  (void)timeout;
  g_assert_false (fixture->pending_call[kind].list
                  || fixture->pending_call[kind].watch);
  fixture->pending_call[kind] = (pending_call_t){ .list = true };
  g_strlcpy (fixture->pending_call[kind].after, after != NULL ? after : "",
             sizeof fixture->pending_call[kind].after);
}

static void
on_watch (void *context, feed_kind_t kind, store_revision_t revision,
          clock_ms_t wait, clock_ms_t timeout)
{
  fixture_t *fixture = context;

  g_assert_false (fixture->pending_call[kind].list
                  || fixture->pending_call[kind].watch);
  fixture->pending_call[kind] = (pending_call_t){ .watch = true,
                                                  .revision = revision.number,
                                                  .wait = wait,
                                                  .timeout = timeout };
}

static void
on_store (void *context, const members_t *members, store_revision_t revision)
{
  fixture_t *fixture = context;

  (void)members;
  fixture->store_calls++;
  fixture->stored_revision = revision.number;
}

static void
on_cancel (void *context, feed_kind_t kind)
{
  fixture_t *fixture = context;

  fixture->pending_call[kind] = (pending_call_t){ 0 };
}

static void
ignore_routes (void *context, const routes_t *routes)
{
  (void)context;
  (void)routes;
}

static void
ignore (void *context)
{
  (void)context;
}

static void
fixture_start (fixture_t *fixture)
{
  view_hooks_t hooks = { .routes_changed = ignore_routes,
                         .backends_changed = ignore,
                         .rollouts_changed = ignore };
  feed_source_t source = { .list = on_list,
                           .watch = on_watch,
                           .store_members = on_store,
                           .cancel = on_cancel,
                           .context = fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->backends = backends_new ("front-1", "a");
  fixture->view = view_new (fixture->backends, &hooks);
  view_enable_rollouts (fixture->view);
  fixture->members = members_new ("front-1", "a", 1);
  reader_init (&fixture->reader, false, clock_now () - 10000);
  fixture->feed = feed_new (fixture->loop, &source, fixture->view,
                            fixture->members, &fixture->reader);
  feed_tick (fixture->feed, clock_now ());
}

static void
fixture_end (fixture_t *fixture)
{
  feed_stop (fixture->feed);
  feed_free (fixture->feed);
  view_free (fixture->view);
  members_free (fixture->members);
  backends_free (fixture->backends);
  ev_loop_destroy (fixture->loop);
}

static store_revision_t
in_era (uint64_t era, uint64_t number)
{
  return (store_revision_t){ .era = era, .number = number };
}

static void
remove_at (fixture_t *fixture, const char *id, store_revision_t revision,
           clock_ms_t now)
{
  view_removal_t removal = { .revision = revision };

  view_remove_backend (fixture->view, id, &removal, now);
}

/* Creates an item of FEED_BACKENDS, an endpoint of the service "slots".  */
static feed_item_t *
backend_item (const char *id, uint64_t revision, bool draining)
{
  feed_item_t *item = g_new0 (feed_item_t, 1);

  item->name = g_strdup (id);
  item->revision.number = revision;
  item->backend = g_new0 (backend_entry_t, 1);
  item->backend->id = g_strdup (id);
  item->backend->service = g_strdup ("slots");
  item->backend->data_centre = g_strdup ("a");
  item->backend->slots = 3;
  item->backend->draining = draining;
  item->backend->revision.number = revision;
  return item;
}

/* Passes to the feed the response to its pending call for a kind of object.
   @item: the only item in it, which is freed; NULL: none.  @more: it is a page
   of a list that another one follows.  */
static void
reply (fixture_t *fixture, feed_kind_t kind, int error, uint64_t revision,
       bool more, feed_item_t *item)
{
  feed_response_t reply
      = { .error = error,
          .revision = { .era = fixture->era, .number = revision },
          .more = more };

  reply.items = g_ptr_array_new_with_free_func (feed_item_free);
  if (item != NULL)
    {
      item->revision.era = fixture->era;
      if (item->backend != NULL)
        item->backend->revision.era = fixture->era;
      g_ptr_array_add (reply.items, item);
    }
  fixture->pending_call[kind] = (pending_call_t){ 0 };
  feed_handle_response (fixture->feed, kind, &reply);
  g_ptr_array_free (reply.items, TRUE);
}

/* Responds to the first list of each kind, after which watches begin.  */
static void
respond_to_first_lists (fixture_t *fixture)
{
  g_assert_true (fixture->pending_call[FEED_BACKENDS].list);
  reply (fixture, FEED_BACKENDS, 0, 50, false,
         backend_item ("i-1", 40, false));
  for (int i = FEED_CONFIG; i < FEED_KIND_COUNT; i++)
    reply (fixture, (feed_kind_t)i, 0, 50, false, NULL);
  g_assert_true (fixture->pending_call[FEED_CONFIG].watch);
  g_assert_cmpuint (fixture->pending_call[FEED_CONFIG].revision, ==, 50);
}

/* Guards against a change that is late because the response to a watch was
   lost: the watch must fail so early that a list can still bring the change
   into force in time, whatever the bounds, and must not become a busy loop. */
static void
lost_watch_fails_in_time (void)
{
  /* Bounds in ms, and the time that a watch may go without a response: 1 s
     before the change must be in force.  */
  static const struct
  {
    feed_bounds_t bounds;
    clock_ms_t config_max;
    clock_ms_t out_of_service_max;
  } cases[] = {
    { { 3000, 2000, 5000 }, 2000, 4000 },
    { { 4000, 3000, 5000 }, 3000, 4000 },
    { { 3000, 6000, 2000 }, 5000, 2000 },
    { { 60000, 60000, 60000 }, 6000, 6000 },
    { { 0, 0, 0 }, 1000, 1000 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      const pending_call_t *config;
      const pending_call_t *out_of_service;

      fixture_start (&fixture);
      feed_set_bounds (fixture.feed, &cases[i].bounds);
      respond_to_first_lists (&fixture);
      config = &fixture.pending_call[FEED_CONFIG];
      out_of_service = &fixture.pending_call[FEED_OUT_OF_SERVICE];
      g_assert_cmpint (config->timeout, <=, cases[i].config_max);
      g_assert_cmpint (out_of_service->timeout, <=,
                       cases[i].out_of_service_max);
      g_assert_cmpint (MIN (config->wait, out_of_service->wait), >=, 500);
      g_assert_cmpint (config->timeout - config->wait, >=, 500);
      fixture_end (&fixture);
    }
}

/* Guards against an instance that misses a change of the configuration: a
   watch receives nothing for a time, and when its connection breaks, the store
   has already dropped the changes of that time (seen in scenario scale-1 of
   the site kbl-gateway).  */
static void
failed_watch_is_followed_by_a_list (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  reply (&fixture, FEED_CONFIG, -ECONNRESET, 0, false, NULL);
  feed_tick (fixture.feed, clock_now () + 1);
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  reply (&fixture, FEED_CONFIG, 0, 60, false, NULL);
  reply (&fixture, FEED_CONFIG, -ESTALE, 0, false, NULL);
  feed_tick (fixture.feed, clock_now () + 1);
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  fixture_end (&fixture);
}

/* Guards against a watch that waits on a dead connection after an outage of
   the store has ended (seen in scenario trouble-3 of the grown sedel
   site).  */
static void
outage_ends_watches (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  feed_tick (fixture.feed, clock_now () + 700);
  g_assert_true (fixture.pending_call[FEED_BACKENDS].list);
  reply (&fixture, FEED_BACKENDS, -ETIMEDOUT, 0, false, NULL);
  g_assert_false (fixture.pending_call[FEED_CONFIG].watch);
  feed_tick (fixture.feed, clock_now () + 600);
  g_assert_true (fixture.pending_call[FEED_BACKENDS].list);
  g_assert_false (fixture.pending_call[FEED_CONFIG].list);
  reply (&fixture, FEED_BACKENDS, 0, 70, false,
         backend_item ("i-1", 40, false));
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  fixture_end (&fixture);
}

/* Guards against a configuration that is in force nowhere because the
   endpoints cannot be read, by any instance, while the configuration can.  */
static void
other_kinds_are_read_while_the_endpoints_cannot_be (void)
{
  fixture_t fixture;
  clock_ms_t now = clock_now ();

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  feed_tick (fixture.feed, now + 700);
  reply (&fixture, FEED_BACKENDS, -ETIMEDOUT, 0, false, NULL);
  feed_tick (fixture.feed, now + 1100);
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  g_assert_true (fixture.pending_call[FEED_OUT_OF_SERVICE].list);
  reply (&fixture, FEED_CONFIG, 0, 70, false, NULL);
  feed_tick (fixture.feed, now + 1101);
  g_assert_true (fixture.pending_call[FEED_CONFIG].watch);
  reply (&fixture, FEED_BACKENDS, -ETIMEDOUT, 0, false, NULL);
  g_assert_true (fixture.pending_call[FEED_CONFIG].watch);
  /* A call that has failed is not made again at once.  */
  reply (&fixture, FEED_OUT_OF_SERVICE, -ETIMEDOUT, 0, false, NULL);
  feed_tick (fixture.feed, clock_now () + 600);
  g_assert_false (fixture.pending_call[FEED_OUT_OF_SERVICE].list);
  g_assert_false (fixture.reader.is_partial);
  reply (&fixture, FEED_BACKENDS, 0, 80, false,
         backend_item ("i-1", 40, false));
  g_assert_true (fixture.pending_call[FEED_CONFIG].watch);
  g_assert_true (fixture.pending_call[FEED_OUT_OF_SERVICE].list);
  g_assert_false (fixture.reader.is_partial);
  fixture_end (&fixture);
}

/* Guards against an older configuration that is taken for the current one: a
   part of the store that lags behind answers the list.  */
static void
list_of_an_older_revision_counts_as_failed (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  reply (&fixture, FEED_CONFIG, -ECONNRESET, 0, false, NULL);
  feed_tick (fixture.feed, clock_now () + 1);
  reply (&fixture, FEED_CONFIG, 0, 49, false, NULL);
  g_assert_true (fixture.reader.is_partial);
  g_assert_false (fixture.pending_call[FEED_CONFIG].watch);
  feed_tick (fixture.feed, clock_now () + 600);
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  /* What was read after the list had begun does not count.  */
  reply (&fixture, FEED_BACKENDS, 0, 60, false,
         backend_item ("i-1", 40, false));
  reply (&fixture, FEED_CONFIG, 0, 50, false, NULL);
  g_assert_false (fixture.reader.is_partial);
  g_assert_true (fixture.pending_call[FEED_CONFIG].watch);
  /* Nor does a watch end without changes at an older revision.  */
  reply (&fixture, FEED_CONFIG, 0, 59, false, NULL);
  feed_tick (fixture.feed, clock_now () + 1);
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  fixture_end (&fixture);
}

/* Guards against a reader that hides that it cannot read the configuration or
   the data centres out of service, because its lists of the endpoints succeed
   (review case 12).  */
static void
reader_says_what_it_cannot_read (void)
{
  static const int errors[] = { -ECONNREFUSED, -ETIMEDOUT, -EREMOTEIO };

  for (size_t i = 0; i < G_N_ELEMENTS (errors); i++)
    for (int kind = FEED_CONFIG; kind < FEED_KIND_COUNT; kind++)
      {
        fixture_t fixture;

        fixture_start (&fixture);
        respond_to_first_lists (&fixture);
        /* The list of instances is not watched.  */
        if (kind == FEED_MEMBERS)
          feed_handle_store_result (fixture.feed, -EEXIST, in_era (0, 0));
        else
          reply (&fixture, (feed_kind_t)kind, -ECONNRESET, 0, false, NULL);
        g_assert_false (fixture.reader.is_partial);
        feed_tick (fixture.feed, clock_now () + 1);
        g_assert_true (fixture.pending_call[kind].list);
        reply (&fixture, (feed_kind_t)kind, errors[i], 0, false, NULL);
        g_assert_true (fixture.reader.is_partial);
        reply (&fixture, FEED_BACKENDS, 0, 60, false, NULL);
        g_assert_true (fixture.reader.is_partial);
        g_assert_true (reader_is_fresh (&fixture.reader, clock_now ()));
        feed_tick (fixture.feed, clock_now () + 600);
        reply (&fixture, (feed_kind_t)kind, 0, 60, false, NULL);
        g_assert_false (fixture.reader.is_partial);
        fixture_end (&fixture);
      }
}

/* Starts an instance that hears a reader that cannot read everything, and lets
   it try to take over and read the endpoints.  */
static void
start_beside_partial_reader (fixture_t *fixture)
{
  reader_announcement_t partial
      = { .name = "front-0", .fresh = true, .partial = true };

  fixture_start (fixture);
  reader_init (&fixture->reader, false, clock_now ());
  (void)reader_handle_announcement (&fixture->reader, "front-1", &partial,
                                    clock_now ());
  feed_tick (fixture->feed, clock_now () + 150);
  g_assert_true (fixture->pending_call[FEED_BACKENDS].list);
  reply (fixture, FEED_BACKENDS, 0, 50, false,
         backend_item ("i-1", 40, false));
  g_assert_false (fixture->reader.is_reader);
  for (int i = FEED_CONFIG; i < FEED_KIND_COUNT; i++)
    g_assert_true (fixture->pending_call[i].list);
}

/* Guards against readers that replace each other although none of them can
   read everything.  */
static void
partial_reader_is_replaced_by_one_that_reads_all (void)
{
  reader_announcement_t whole = { .name = "front-0", .fresh = true };

  for (int failing = FEED_CONFIG; failing <= FEED_KIND_COUNT; failing++)
    {
      fixture_t fixture;

      start_beside_partial_reader (&fixture);
      for (int i = FEED_CONFIG; i < FEED_KIND_COUNT; i++)
        if (i != failing)
          reply (&fixture, (feed_kind_t)i, 0, 50, false, NULL);
      if (failing < FEED_KIND_COUNT)
        {
          reply (&fixture, (feed_kind_t)failing, -ECONNREFUSED, 0, false,
                 NULL);
          feed_tick (fixture.feed, clock_now () + 150);
          g_assert_false (fixture.pending_call[FEED_BACKENDS].list);
        }
      g_assert_cmpint (fixture.reader.is_reader, ==,
                       failing == FEED_KIND_COUNT);
      g_assert_false (fixture.reader.is_partial);
      fixture_end (&fixture);
    }
  /* The reader can read everything again.  */
  {
    fixture_t fixture;

    start_beside_partial_reader (&fixture);
    (void)reader_handle_announcement (&fixture.reader, "front-1", &whole,
                                      clock_now ());
    feed_tick (fixture.feed, clock_now ());
    for (int i = FEED_CONFIG; i < FEED_KIND_COUNT; i++)
      g_assert_false (fixture.pending_call[i].list);
    fixture_end (&fixture);
  }
}

/* Guards against a process that ends because it starts a call of the store
   while one of the same kind is pending: the reader steps down while its
   watches wait, and its list of the endpoints succeeds before the next tick.
 */
static void
reader_that_steps_down_starts_no_second_call (void)
{
  static const reader_announcement_t others[]
      = { { .name = "front-0", .fresh = true, .weak = true },
          { .name = "front-0", .fresh = true, .partial = true } };

  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      fixture_t fixture;

      fixture_start (&fixture);
      respond_to_first_lists (&fixture);
      feed_tick (fixture.feed, clock_now () + 700);
      g_assert_true (fixture.pending_call[FEED_BACKENDS].list);
      fixture.reader.is_partial = true;
      g_assert_true (reader_handle_announcement (&fixture.reader, "front-1",
                                                 &others[i], clock_now ()));
      reply (&fixture, FEED_BACKENDS, 0, 60, false, NULL);
      feed_tick (fixture.feed, clock_now ());
      for (int kind = 0; kind < FEED_KIND_COUNT; kind++)
        g_assert_false (fixture.pending_call[kind].list
                        || fixture.pending_call[kind].watch);
      fixture_end (&fixture);
    }
}

/* Guards against endpoints that are lost because each page of a list replaces
   the page before it.  */
static void
pages_are_joined (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  reply (&fixture, FEED_BACKENDS, 0, 50, true,
         backend_item ("i-1", 40, false));
  g_assert_true (fixture.pending_call[FEED_BACKENDS].list);
  g_assert_cmpstr (fixture.pending_call[FEED_BACKENDS].after, ==, "i-1");
  g_assert_cmpint (backends_count (fixture.backends), ==, 0);
  reply (&fixture, FEED_BACKENDS, 0, 51, false,
         backend_item ("i-2", 41, false));
  g_assert_cmpint (backends_count (fixture.backends), ==, 2);
  fixture_end (&fixture);
}

/* Guards against a reader that overwrites a list of instances that another
   reader has stored.  */
static void
members_are_stored_under_a_condition (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  feed_tick (fixture.feed, clock_now ());
  feed_tick (fixture.feed, clock_now () + 1500);
  g_assert_cmpint (fixture.store_calls, ==, 1);
  g_assert_cmpuint (fixture.stored_revision, ==, 0);
  feed_handle_store_result (fixture.feed, -EEXIST, (store_revision_t){ 0 });
  feed_tick (fixture.feed, clock_now () + 4000);
  g_assert_true (fixture.pending_call[FEED_MEMBERS].list);
  g_assert_cmpint (fixture.store_calls, ==, 1);
  fixture_end (&fixture);
}

/* Guards against the loss of all endpoints after an outage of the store in
   which their entries expired, and against further requests to an endpoint
   that does not register again.  */
static void
expired_endpoints_are_retained_for_a_while (void)
{
  fixture_t fixture;
  GPtrArray *none = g_ptr_array_new ();
  clock_ms_t now = 100000;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  view_retain_missing (fixture.view, now);
  view_replace_backends (fixture.view, none, in_era (0, 80), now + 100);
  g_assert_cmpint (backends_count (fixture.backends), ==, 1);
  view_replace_backends (fixture.view, none, in_era (0, 90), now + 2300);
  g_assert_cmpint (backends_count (fixture.backends), ==, 0);
  g_ptr_array_free (none, TRUE);
  fixture_end (&fixture);
}

/* Guards against an outdated message of another instance that restores a
   removed endpoint.  */
static void
removed_endpoints_stay_removed (void)
{
  fixture_t fixture;
  feed_item_t *old = backend_item ("i-1", 40, false);

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  remove_at (&fixture, "i-1", in_era (0, 60), 1000);
  view_put_backend (fixture.view, old->backend, 1000);
  g_assert_cmpint (backends_count (fixture.backends), ==, 0);
  old->backend->revision.number = 61;
  view_put_backend (fixture.view, old->backend, 1000);
  g_assert_cmpint (backends_count (fixture.backends), ==, 1);
  feed_item_free (old);
  fixture_end (&fixture);
}

/* Guards against an endpoint that comes back because its removal arrives
   before an older message about it, while this instance does not know it.  */
static void
removal_of_unknown_endpoint_is_remembered (void)
{
  fixture_t fixture;
  feed_item_t *old = backend_item ("i-9", 55, false);

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  remove_at (&fixture, "i-9", in_era (0, 60), 1000);
  view_put_backend (fixture.view, old->backend, 1000);
  g_assert_null (backends_find (fixture.backends, "i-9"));
  /* An older removal does not weaken the newer one.  */
  remove_at (&fixture, "i-9", in_era (0, 50), 1000);
  view_put_backend (fixture.view, old->backend, 1000);
  g_assert_null (backends_find (fixture.backends, "i-9"));
  feed_item_free (old);
  fixture_end (&fixture);
}

/* Guards against the removal of live endpoints that the restored store lacks
   because they registered after the copy was made, also if the store was away
   only for a moment.  */
static void
endpoints_that_a_restored_store_lacks_are_retained (void)
{
  fixture_t fixture;
  GPtrArray *none = g_ptr_array_new ();
  clock_ms_t now = 100000;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  view_replace_backends (fixture.view, none, in_era (1, 20), now);
  remove_at (&fixture, "i-1", in_era (1, 21), now + 100);
  g_assert_cmpint (backends_count (fixture.backends), ==, 1);
  view_replace_backends (fixture.view, none, in_era (1, 22), now + 2300);
  g_assert_cmpint (backends_count (fixture.backends), ==, 0);
  g_ptr_array_free (none, TRUE);
  fixture_end (&fixture);
}

/* Puts an endpoint with the given heartbeat into the view.  */
static void
put_heartbeat (fixture_t *fixture, store_revision_t revision,
               uint64_t sequence, bool draining, clock_ms_t now)
{
  backend_entry_t entry = { .id = "i-1",
                            .service = "slots",
                            .data_centre = "a",
                            .draining = draining,
                            .born = 7000,
                            .sequence = sequence,
                            .revision = revision };

  view_put_backend (fixture->view, &entry, now);
}

/* Guards against requests to an endpoint that is draining or gone, because the
   restored store has the entry that it wrote before it began to leave.  */
static void
restored_entries_do_not_bring_back_endpoints (void)
{
  fixture_t fixture;
  clock_ms_t now = 100000;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  put_heartbeat (&fixture, in_era (0, 60), 12, true, now);
  put_heartbeat (&fixture, in_era (1, 30), 9, false, now + 100);
  g_assert_true (backends_find (fixture.backends, "i-1")->entry.draining);
  remove_at (&fixture, "i-1", in_era (1, 31), now + 200);
  g_assert_null (backends_find (fixture.backends, "i-1"));
  /* The same in the next restore, also long after it.  */
  put_heartbeat (&fixture, in_era (2, 29), 12, false, now + 300);
  put_heartbeat (&fixture, in_era (2, 29), 12, false, now + 9000);
  g_assert_null (backends_find (fixture.backends, "i-1"));
  /* The endpoint itself writes its entry again.  */
  put_heartbeat (&fixture, in_era (2, 33), 13, false, now + 9000);
  g_assert_nonnull (backends_find (fixture.backends, "i-1"));
  fixture_end (&fixture);
}

static feed_item_t *
data_centre_item (const char *name, bool removed)
{
  feed_item_t *item = g_new0 (feed_item_t, 1);

  item->name = g_strdup (name);
  item->removed = removed;
  return item;
}

/* Guards against requests to a data centre that an operator has taken out of
   service, because the restored store lacks the order until it is written
   again; and against a data centre that stays out for good, as the end of the
   order came meanwhile.  */
static void
data_centres_stay_out_after_a_restore (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  reply (&fixture, FEED_OUT_OF_SERVICE, 0, 52, false,
         data_centre_item ("a", false));
  g_assert_true (backends_is_data_centre_out (fixture.backends, "a"));
  fixture.era = 1;
  feed_tick (fixture.feed, clock_now () + 700);
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-1", 15, false));
  reply (&fixture, FEED_OUT_OF_SERVICE, 0, 20, false, NULL);
  view_tick (fixture.view, clock_now () + 2000);
  g_assert_true (backends_is_data_centre_out (fixture.backends, "a"));
  view_tick (fixture.view, clock_now () + 2300);
  g_assert_false (backends_is_data_centre_out (fixture.backends, "a"));
  /* Another one is taken out and back while the next restore is recent.  */
  reply (&fixture, FEED_OUT_OF_SERVICE, 0, 21, false,
         data_centre_item ("b", false));
  fixture.era = 2;
  feed_tick (fixture.feed, clock_now () + 700);
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-1", 15, false));
  reply (&fixture, FEED_OUT_OF_SERVICE, 0, 21, false,
         data_centre_item ("b", false));
  reply (&fixture, FEED_OUT_OF_SERVICE, 0, 22, false,
         data_centre_item ("b", true));
  g_assert_true (backends_is_data_centre_out (fixture.backends, "b"));
  view_tick (fixture.view, clock_now () + 2300);
  g_assert_false (backends_is_data_centre_out (fixture.backends, "b"));
  fixture_end (&fixture);
}

/* Guards against a watch that waits at a revision of before a restore of the
   store, and misses the changes that the store gives that revision and those
   below it again.  */
static void
restore_ends_watches (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  fixture.era = 1;
  feed_tick (fixture.feed, clock_now () + 700);
  g_assert_true (fixture.pending_call[FEED_BACKENDS].list);
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-1", 15, false));
  for (int i = FEED_CONFIG; i < FEED_KIND_COUNT; i++)
    g_assert_true (fixture.pending_call[i].list);
  reply (&fixture, FEED_CONFIG, 0, 20, false, NULL);
  g_assert_true (fixture.pending_call[FEED_CONFIG].watch);
  g_assert_cmpuint (fixture.pending_call[FEED_CONFIG].revision, ==, 20);
  /* The first response of an era may also be that of a watch.  */
  fixture.era = 2;
  reply (&fixture, FEED_CONFIG, 0, 19, false, NULL);
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  g_assert_true (fixture.pending_call[FEED_OUT_OF_SERVICE].list);
  fixture_end (&fixture);
}

/* Guards against a list that joins pages of before and after a restore of the
   store.  */
static void
pages_of_two_eras_are_not_joined (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  reply (&fixture, FEED_BACKENDS, 0, 50, true,
         backend_item ("i-1", 40, false));
  g_assert_cmpstr (fixture.pending_call[FEED_BACKENDS].after, ==, "i-1");
  fixture.era = 1;
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-2", 15, false));
  g_assert_true (fixture.pending_call[FEED_BACKENDS].list);
  g_assert_cmpstr (fixture.pending_call[FEED_BACKENDS].after, ==, "");
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-2", 15, false));
  g_assert_cmpint (backends_count (fixture.backends), ==, 1);
  /* A response of the older era is dropped, and the next call has to wait, so
     that a store whose era has gone back is not called again and again.  */
  feed_tick (fixture.feed, clock_now () + 700);
  fixture.era = 0;
  reply (&fixture, FEED_BACKENDS, 0, 51, false, NULL);
  g_assert_cmpint (backends_count (fixture.backends), ==, 1);
  g_assert_false (fixture.pending_call[FEED_BACKENDS].list);
  fixture.era = 1;
  feed_tick (fixture.feed, clock_now () + 700);
  reply (&fixture, FEED_BACKENDS, 0, 21, false,
         backend_item ("i-2", 15, false));
  g_assert_true (fixture.pending_call[FEED_CONFIG].list);
  fixture.era = 0;
  reply (&fixture, FEED_CONFIG, 0, 51, false, NULL);
  g_assert_false (fixture.pending_call[FEED_CONFIG].list);
  fixture_end (&fixture);
}

/* Guards against a list of instances that is never written again: the restored
   store has no such list, so that each write under the old revision fails.  */
static void
members_are_stored_again_after_a_restore (void)
{
  fixture_t fixture;

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  feed_tick (fixture.feed, clock_now ());
  feed_tick (fixture.feed, clock_now () + 1500);
  g_assert_cmpint (fixture.store_calls, ==, 1);
  feed_handle_store_result (fixture.feed, 0, in_era (0, 51));
  feed_tick (fixture.feed, clock_now () + 4000);
  g_assert_cmpint (fixture.store_calls, ==, 1);
  fixture.era = 1;
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-1", 15, false));
  g_assert_true (fixture.pending_call[FEED_MEMBERS].list);
  reply (&fixture, FEED_MEMBERS, 0, 20, false, NULL);
  feed_tick (fixture.feed, clock_now ());
  feed_tick (fixture.feed, clock_now () + 1500);
  g_assert_cmpint (fixture.store_calls, ==, 2);
  g_assert_cmpuint (fixture.stored_revision, ==, 0);
  /* What another era has acknowledged may be lost.  */
  feed_handle_store_result (fixture.feed, 0, in_era (0, 52));
  feed_tick (fixture.feed, clock_now () + 1);
  g_assert_true (fixture.pending_call[FEED_MEMBERS].list);
  fixture_end (&fixture);
}

/* Guards against an instance that takes what it is told after a restore of the
   store for old, because the store gives out lower revisions again.  */
static void
revisions_of_a_restored_store_are_newer (void)
{
  fixture_t fixture;
  feed_item_t *lost = backend_item ("i-1", 45, true);

  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  fixture.era = 1;
  feed_tick (fixture.feed, clock_now () + 700);
  reply (&fixture, FEED_BACKENDS, 0, 20, false,
         backend_item ("i-1", 15, false));
  g_assert_cmpint (
      store_revision_compare (fixture.view->revision, in_era (1, 20)), ==, 0);
  g_assert_false (view_has_changes_since (fixture.view, in_era (0, 49)));
  /* Messages from before the restore are outdated.  */
  view_put_backend (fixture.view, lost->backend, 1000);
  remove_at (&fixture, "i-1", in_era (0, 60), 1000);
  g_assert_false (backends_find (fixture.backends, "i-1")->entry.draining);
  remove_at (&fixture, "i-1", in_era (1, 21), clock_now () + 10000);
  g_assert_null (backends_find (fixture.backends, "i-1"));
  feed_item_free (lost);
  fixture_end (&fixture);
}

/* Guards against an instance that starts during an outage of the store and
   drops what the others have told it when the store returns with expired
   entries: the end of that outage is not its first contact with the store.  */
static void
start_during_outage_is_followed_by_retention (void)
{
  reader_t reader;
  reader_announcement_t stale = { .name = "front-2", .fresh = false };
  reader_announcement_t fresh = { .name = "front-2", .fresh = true };

  reader_init (&reader, false, 1000);
  g_assert_false (reader_is_after_outage (&reader, false, 1010));
  (void)reader_handle_announcement (&reader, "front-1", &stale, 1010);
  g_assert_true (reader_is_after_outage (&reader, true, 9000));
  (void)reader_handle_announcement (&reader, "front-1", &fresh, 9000);
  g_assert_false (reader_is_after_outage (&reader, true, 9250));
  g_assert_true (reader_is_after_outage (&reader, true, 10600));
  /* An instance that is told the state by a reader of the store that works
     has missed no read.  */
  reader_init (&reader, false, 1000);
  (void)reader_handle_announcement (&reader, "front-1", &fresh, 1010);
  g_assert_false (reader_is_after_outage (&reader, true, 1300));
}

/* Number of log lines about endpoints since the last reset.  */
static int endpoint_lines;

/* Counts the log lines about endpoints and writes none.  */
static GLogWriterOutput
count_endpoint_lines (GLogLevelFlags level, const GLogField *fields,
                      gsize n_fields, gpointer context)
{
  (void)level;
  (void)context;
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0
        && g_str_has_prefix (fields[i].value, "endpoint"))
      endpoint_lines++;
  return G_LOG_WRITER_HANDLED;
}

/* Changes each of 900 endpoints within a second.  Return: the number of log
   lines about endpoints.  */
static int
count_lines_of_a_release (view_t *view)
{
  endpoint_lines = 0;
  for (int i = 0; i < 900; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", i);
      feed_item_t *item = backend_item (id, 100 + (uint64_t)i, true);

      view_put_backend (view, item->backend, 1000 + i);
      if (i % 45 == 0)
        view_tick (view, 1000 + i);
      feed_item_free (item);
    }
  return endpoint_lines;
}

/* Guards against a log whose volume grows with the number of instances times
   that of endpoints: 466,000 lines in 28 s were seen with 473 instances and
   900 endpoints.  */
static void
log_volume_does_not_grow_with_endpoints (void)
{
  fixture_t fixture;

  g_log_set_writer_func (count_endpoint_lines, NULL, NULL);
  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  view_log_each_change (fixture.view, false);
  g_assert_cmpint (count_lines_of_a_release (fixture.view), <=, 20);
  fixture_end (&fixture);
  /* The reader logs single endpoints, of a bounded number.  */
  fixture_start (&fixture);
  respond_to_first_lists (&fixture);
  view_log_each_change (fixture.view, true);
  g_assert_cmpint (count_lines_of_a_release (fixture.view), >, 20);
  g_assert_cmpint (endpoint_lines, <=, 5 * 33 + 5);
  fixture_end (&fixture);
}

/* Guards against a snapshot (the encoded view and list of instances, which one
   instance sends to another) that is not decoded as it was encoded, and
   against a crash caused by a truncated or corrupted snapshot.  */
static void
snapshot_survives_encoding (void)
{
  fixture_t sender;
  fixture_t receiver;
  /* All parts of the state: the sum of all FLEET_PART_.  */
  const wire_request_t request = { .parts = 7 };
  wire_received_t received;
  GByteArray *data;
  routes_t *routes = routes_new (7);
  route_t *route = g_new0 (route_t, 1);

  route->name = g_strdup ("look");
  route->host = g_strdup ("here.example");
  route->prefix = g_strdup ("/look/");
  route->idempotent = true;
  route->timeout = 800;
  route_add_part (route, "slots", 3);
  routes_add (routes, route);
  fixture_start (&sender);
  fixture_start (&receiver);
  respond_to_first_lists (&sender);
  view_set_routes (sender.view, routes);
  (void)members_put (sender.members, "front-2", "b", 2, 0);
  data = wire_encode_snapshot (sender.view, sender.members, &request, 0, 1000);
  for (guint length = 0; length < data->len; length += 4)
    g_assert_cmpint (wire_apply_snapshot ((char *)data->data, length,
                                          receiver.view, receiver.members,
                                          &received, 1000),
                     ==, -EPROTO);
  g_assert_cmpint (wire_apply_snapshot ((char *)data->data, data->len,
                                        receiver.view, receiver.members,
                                        &received, 1000),
                   ==, 0);
  g_assert_cmpuint (view_digest (sender.view), ==,
                    view_digest (receiver.view));
  g_assert_cmpuint (members_digest (sender.members), ==,
                    members_digest (receiver.members));
  g_assert_cmpuint (receiver.view->routes->version, ==, 7);
  g_assert_cmpint (
      ((const route_t *)g_ptr_array_index (receiver.view->routes->routes, 0))
          ->timeout,
      ==, 800);
  for (int seed = 0; seed < 2000; seed++)
    {
      GByteArray *corrupted = g_byte_array_new ();
      GRand *rand = g_rand_new_with_seed ((guint32)seed);

      g_byte_array_append (corrupted, data->data, data->len);
      for (int i = 0; i < 4; i++)
        corrupted->data[g_rand_int_range (rand, 0, (gint32)corrupted->len)]
            = (guint8)g_rand_int (rand);
      (void)wire_apply_snapshot ((char *)corrupted->data, corrupted->len,
                                 receiver.view, receiver.members, &received,
                                 1000);
      g_rand_free (rand);
      g_byte_array_free (corrupted, TRUE);
    }
  g_byte_array_free (data, TRUE);
  fixture_end (&sender);
  fixture_end (&receiver);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Several of these tests cause warnings, which must not abort them.  */
  g_log_set_always_fatal (G_LOG_FATAL_MASK);
  g_test_add_func ("/feed/cut_watch_is_followed_by_a_list",
                   failed_watch_is_followed_by_a_list);
  g_test_add_func ("/feed/lost_watch_fails_in_time", lost_watch_fails_in_time);
  g_test_add_func ("/feed/outage_ends_watches", outage_ends_watches);
  g_test_add_func ("/feed/other_kinds_are_read_while_the_endpoints_cannot_be",
                   other_kinds_are_read_while_the_endpoints_cannot_be);
  g_test_add_func ("/feed/list_of_an_older_revision_counts_as_failed",
                   list_of_an_older_revision_counts_as_failed);
  g_test_add_func ("/feed/reader_says_what_it_cannot_read",
                   reader_says_what_it_cannot_read);
  g_test_add_func ("/feed/partial_reader_is_replaced_by_one_that_reads_all",
                   partial_reader_is_replaced_by_one_that_reads_all);
  g_test_add_func ("/feed/reader_that_steps_down_starts_no_second_call",
                   reader_that_steps_down_starts_no_second_call);
  g_test_add_func ("/feed/pages_are_joined", pages_are_joined);
  g_test_add_func ("/feed/members_are_stored_under_a_condition",
                   members_are_stored_under_a_condition);
  g_test_add_func ("/feed/lapsed_endpoints_are_kept_for_a_while",
                   expired_endpoints_are_retained_for_a_while);
  g_test_add_func ("/feed/removed_endpoints_stay_removed",
                   removed_endpoints_stay_removed);
  g_test_add_func ("/feed/removal_of_unknown_endpoint_is_remembered",
                   removal_of_unknown_endpoint_is_remembered);
  g_test_add_func ("/feed/endpoints_that_a_restored_store_lacks_are_retained",
                   endpoints_that_a_restored_store_lacks_are_retained);
  g_test_add_func ("/feed/restored_entries_do_not_bring_back_endpoints",
                   restored_entries_do_not_bring_back_endpoints);
  g_test_add_func ("/feed/data_centres_stay_out_after_a_restore",
                   data_centres_stay_out_after_a_restore);
  g_test_add_func ("/feed/restore_ends_watches", restore_ends_watches);
  g_test_add_func ("/feed/pages_of_two_eras_are_not_joined",
                   pages_of_two_eras_are_not_joined);
  g_test_add_func ("/feed/members_are_stored_again_after_a_restore",
                   members_are_stored_again_after_a_restore);
  g_test_add_func ("/feed/revisions_of_a_restored_store_are_newer",
                   revisions_of_a_restored_store_are_newer);
  g_test_add_func ("/feed/start_during_outage_is_followed_by_retention",
                   start_during_outage_is_followed_by_retention);
  g_test_add_func ("/feed/state_crosses_whole_or_not",
                   snapshot_survives_encoding);
  /* The last test, as it replaces the log writer.  */
  g_test_add_func ("/feed/log_volume_does_not_grow_with_endpoints",
                   log_volume_does_not_grow_with_endpoints);
  return g_test_run ();
}
