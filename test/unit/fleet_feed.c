/* The feed and the view against a source that a test answers by hand.  */

#include <errno.h>
#include <string.h>

#include "feed.h"
#include "wire.h"

typedef struct asked
{
  bool list;
  bool watch;
  uint64_t revision;
  char after[32];
} asked_t;

typedef struct world
{
  struct ev_loop *loop;
  backends_t *backends;
  view_t *view;
  members_t *members;
  reader_t reader;
  feed_t *feed;
  asked_t asked[FEED_KINDS];
  int stored;
  uint64_t stored_revision;
} world_t;

static void
on_list (void *context, feed_kind_t kind, const char *after,
         clock_ms_t timeout)
{
  world_t *world = context;

  (void)timeout;
  world->asked[kind] = (asked_t){ .list = true };
  g_strlcpy (world->asked[kind].after, after != NULL ? after : "",
             sizeof world->asked[kind].after);
}

static void
on_watch (void *context, feed_kind_t kind, uint64_t revision, clock_ms_t wait)
{
  world_t *world = context;

  (void)wait;
  world->asked[kind] = (asked_t){ .watch = true, .revision = revision };
}

static void
on_store (void *context, const members_t *members, uint64_t revision)
{
  world_t *world = context;

  (void)members;
  world->stored++;
  world->stored_revision = revision;
}

static void
on_cancel (void *context, feed_kind_t kind)
{
  world_t *world = context;

  world->asked[kind] = (asked_t){ 0 };
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
world_start (world_t *world)
{
  view_hooks_t hooks
      = { .routes_changed = ignore_routes, .backends_changed = ignore };
  feed_source_t source = { .list = on_list,
                           .watch = on_watch,
                           .store_members = on_store,
                           .cancel = on_cancel,
                           .context = world };

  memset (world, 0, sizeof *world);
  world->loop = ev_loop_new (EVFLAG_AUTO);
  world->backends = backends_new ("front-1", "a");
  world->view = view_new (world->backends, &hooks);
  world->members = members_new ("front-1", "a", 1);
  reader_init (&world->reader, false, clock_now () - 10000);
  world->feed = feed_new (world->loop, &source, world->view, world->members,
                          &world->reader);
  feed_tick (world->feed, clock_now ());
}

static void
world_end (world_t *world)
{
  feed_stop (world->feed);
  feed_free (world->feed);
  view_free (world->view);
  members_free (world->members);
  backends_free (world->backends);
  ev_loop_destroy (world->loop);
}

static feed_item_t *
backend_item (const char *id, uint64_t revision, bool draining)
{
  feed_item_t *item = g_new0 (feed_item_t, 1);

  item->name = g_strdup (id);
  item->revision = revision;
  item->backend = g_new0 (backend_entry_t, 1);
  item->backend->id = g_strdup (id);
  item->backend->service = g_strdup ("slots");
  item->backend->data_centre = g_strdup ("a");
  item->backend->slots = 3;
  item->backend->draining = draining;
  item->backend->revision = revision;
  return item;
}

static void
answer (world_t *world, feed_kind_t kind, int error, uint64_t revision,
        bool more, feed_item_t *item)
{
  feed_answer_t answer
      = { .error = error, .revision = revision, .more = more };

  answer.items = g_ptr_array_new_with_free_func (feed_item_free);
  if (item != NULL)
    g_ptr_array_add (answer.items, item);
  world->asked[kind] = (asked_t){ 0 };
  feed_answered (world->feed, kind, &answer);
  g_ptr_array_free (answer.items, TRUE);
}

/* Answers the first lists, so that watches begin.  */
static void
settle (world_t *world)
{
  g_assert_true (world->asked[FEED_BACKENDS].list);
  answer (world, FEED_BACKENDS, 0, 50, false, backend_item ("i-1", 40, false));
  for (int i = FEED_CONFIG; i < FEED_KINDS; i++)
    answer (world, (feed_kind_t)i, 0, 50, false, NULL);
  g_assert_true (world->asked[FEED_CONFIG].watch);
  g_assert_cmpuint (world->asked[FEED_CONFIG].revision, ==, 50);
}

/* Guards against a configuration that is missed: the history of a watch's deaf
   time is dropped before the watch is cut (seen on scale-1 of kbl-gateway). */
static void
cut_watch_is_followed_by_a_list (void)
{
  world_t world;

  world_start (&world);
  settle (&world);
  answer (&world, FEED_CONFIG, -ECONNRESET, 0, false, NULL);
  feed_tick (world.feed, clock_now () + 1);
  g_assert_true (world.asked[FEED_CONFIG].list);
  answer (&world, FEED_CONFIG, 0, 60, false, NULL);
  answer (&world, FEED_CONFIG, -ESTALE, 0, false, NULL);
  feed_tick (world.feed, clock_now () + 1);
  g_assert_true (world.asked[FEED_CONFIG].list);
  world_end (&world);
}

/* Guards against a watch that hangs on a silent connection while the store is
   back (seen on trouble-3 of the grown sedel site).  */
static void
outage_ends_watches (void)
{
  world_t world;

  world_start (&world);
  settle (&world);
  feed_tick (world.feed, clock_now () + 700);
  g_assert_true (world.asked[FEED_BACKENDS].list);
  answer (&world, FEED_BACKENDS, -ETIMEDOUT, 0, false, NULL);
  g_assert_false (world.asked[FEED_CONFIG].watch);
  feed_tick (world.feed, clock_now () + 600);
  g_assert_true (world.asked[FEED_BACKENDS].list);
  g_assert_false (world.asked[FEED_CONFIG].list);
  answer (&world, FEED_BACKENDS, 0, 70, false,
          backend_item ("i-1", 40, false));
  g_assert_true (world.asked[FEED_CONFIG].list);
  world_end (&world);
}

/* Guards against endpoints that are lost between the pages of a list.  */
static void
pages_are_joined (void)
{
  world_t world;

  world_start (&world);
  answer (&world, FEED_BACKENDS, 0, 50, true, backend_item ("i-1", 40, false));
  g_assert_true (world.asked[FEED_BACKENDS].list);
  g_assert_cmpstr (world.asked[FEED_BACKENDS].after, ==, "i-1");
  g_assert_cmpint (backends_count (world.backends), ==, 0);
  answer (&world, FEED_BACKENDS, 0, 51, false,
          backend_item ("i-2", 41, false));
  g_assert_cmpint (backends_count (world.backends), ==, 2);
  world_end (&world);
}

/* Guards against a list of instances that overwrites another reader's.  */
static void
members_are_stored_under_a_condition (void)
{
  world_t world;

  world_start (&world);
  settle (&world);
  feed_tick (world.feed, clock_now ());
  feed_tick (world.feed, clock_now () + 1500);
  g_assert_cmpint (world.stored, ==, 1);
  g_assert_cmpuint (world.stored_revision, ==, 0);
  feed_stored (world.feed, -EEXIST, 0);
  feed_tick (world.feed, clock_now () + 4000);
  g_assert_true (world.asked[FEED_MEMBERS].list);
  g_assert_cmpint (world.stored, ==, 1);
  world_end (&world);
}

/* Guards against the loss of all endpoints after an outage in which their
   entries lapsed, and against work for one that is still missing later.  */
static void
lapsed_endpoints_are_kept_for_a_while (void)
{
  world_t world;
  GPtrArray *none = g_ptr_array_new ();
  clock_ms_t now = 100000;

  world_start (&world);
  settle (&world);
  view_outage_ended (world.view, now);
  view_replace (world.view, none, 80, now + 100);
  g_assert_cmpint (backends_count (world.backends), ==, 1);
  view_replace (world.view, none, 90, now + 2300);
  g_assert_cmpint (backends_count (world.backends), ==, 0);
  g_ptr_array_free (none, TRUE);
  world_end (&world);
}

/* Guards against an older statement of another instance that brings an
   endpoint back.  */
static void
removed_endpoints_stay_removed (void)
{
  world_t world;
  feed_item_t *old = backend_item ("i-1", 40, false);

  world_start (&world);
  settle (&world);
  view_remove (world.view, "i-1", 60, 1000);
  view_put (world.view, old->backend, 1000);
  g_assert_cmpint (backends_count (world.backends), ==, 0);
  old->backend->revision = 61;
  view_put (world.view, old->backend, 1000);
  g_assert_cmpint (backends_count (world.backends), ==, 1);
  feed_item_free (old);
  world_end (&world);
}

/* Guards against a state that arrives changed, and against a crash by one that
   arrives cut or spoilt.  */
static void
state_crosses_whole_or_not (void)
{
  world_t one;
  world_t two;
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
  route->n_parts = 1;
  route->parts[0]
      = (route_part_t){ .service = g_strdup ("slots"), .weight = 3 };
  routes_add (routes, route);
  world_start (&one);
  world_start (&two);
  settle (&one);
  view_set_routes (one.view, routes);
  (void)members_put (one.members, "front-2", "b", 2, 0);
  data = wire_snapshot (one.view, one.members, &request, 0, 1000);
  for (guint cut = 0; cut < data->len; cut += 4)
    g_assert_cmpint (wire_apply_snapshot ((char *)data->data, cut, two.view,
                                          two.members, &received, 1000),
                     ==, -EPROTO);
  g_assert_cmpint (wire_apply_snapshot ((char *)data->data, data->len,
                                        two.view, two.members, &received,
                                        1000),
                   ==, 0);
  g_assert_cmpuint (view_digest (one.view), ==, view_digest (two.view));
  g_assert_cmpuint (members_digest (one.members), ==,
                    members_digest (two.members));
  g_assert_cmpuint (two.view->routes->version, ==, 7);
  g_assert_cmpint (
      ((const route_t *)g_ptr_array_index (two.view->routes->routes, 0))
          ->timeout,
      ==, 800);
  for (int seed = 0; seed < 2000; seed++)
    {
      GByteArray *spoilt = g_byte_array_new ();
      GRand *rand = g_rand_new_with_seed ((guint32)seed);

      g_byte_array_append (spoilt, data->data, data->len);
      for (int i = 0; i < 4; i++)
        spoilt->data[g_rand_int_range (rand, 0, (gint32)spoilt->len)]
            = (guint8)g_rand_int (rand);
      (void)wire_apply_snapshot ((char *)spoilt->data, spoilt->len, two.view,
                                 two.members, &received, 1000);
      g_rand_free (rand);
      g_byte_array_free (spoilt, TRUE);
    }
  g_byte_array_free (data, TRUE);
  world_end (&one);
  world_end (&two);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Warnings are what several of these tests bring about.  */
  g_log_set_always_fatal (G_LOG_FATAL_MASK);
  g_test_add_func ("/feed/cut_watch_is_followed_by_a_list",
                   cut_watch_is_followed_by_a_list);
  g_test_add_func ("/feed/outage_ends_watches", outage_ends_watches);
  g_test_add_func ("/feed/pages_are_joined", pages_are_joined);
  g_test_add_func ("/feed/members_are_stored_under_a_condition",
                   members_are_stored_under_a_condition);
  g_test_add_func ("/feed/lapsed_endpoints_are_kept_for_a_while",
                   lapsed_endpoints_are_kept_for_a_while);
  g_test_add_func ("/feed/removed_endpoints_stay_removed",
                   removed_endpoints_stay_removed);
  g_test_add_func ("/feed/state_crosses_whole_or_not",
                   state_crosses_whole_or_not);
  return g_test_run ();
}
