#include "store_fixture.h"

#include <errno.h>
#include <string.h>

/* Writes the object if its version is @expected, or creates it if @expected is
   0.  */
static store_result_t
put (uint64_t expected, const char *change_id, store_write_details_t *written)
{
  store_write_t write = { .name = "shared/a b",
                          .body = "{\"x\":1}",
                          .expected = expected,
                          .change_id = change_id,
                          .timeout_ms = 200,
                          .read_back_ms = 300 };

  return store_put (store, &write, written);
}

/* @context points to an int, the number of objects visited.  */
static void
assert_object_fields (void *context, const store_object_t *object)
{
  g_assert_cmpstr (object->name, ==, "shared/a b");
  g_assert_cmpuint (object->version, ==, 3);
  g_assert_cmpuint (object->revision, ==, 103);
  g_assert_true (object->deleted);
  g_assert_cmpstr (object->change_id, ==, "first");
  g_assert_cmpstr (object->body, ==, "{\"x\":1}");
  ++*(int *)context;
}

/* @context points to an int, the number of objects visited.  */
static void
count_object (void *context, const store_object_t *object)
{
  (void)object;
  ++*(int *)context;
}

/* Guards against mixed-up fields of listed objects, and against a new
   connection for each request.  */
static void
test_read (void)
{
  store_stats_t stats;
  uint64_t revision = 0;
  int count = 0;

  platform.deleted = true;
  for (int i = 0; i < 2; i++)
    g_assert_cmpint (store_read_since (store, "shared/a ", 7, 2000,
                                       assert_object_fields, &count,
                                       &revision),
                     ==, 0);
  g_assert_cmpstr (platform.list_target, ==,
                   "/objects?prefix=shared%2Fa%20&since=7");
  g_assert_cmpint (count, ==, 2);
  g_assert_cmpuint (revision, ==, 200);
  store_get_stats (store, &stats);
  g_assert_cmpuint (stats.calls, ==, 2);
  g_assert_cmpuint (stats.connections, ==, 1);
  g_assert_cmpuint (stats.bytes_received, >, 200);
  g_assert_cmpuint (stats.bytes_sent, >, 100);
}

/* Guards against passing on the objects of a malformed, truncated or failed
   response as if it contained all changes up to its revision, and against
   accepting a value or a response above its size limit.  */
static void
test_bad_read (void)
{
  static const struct
  {
    const char *prefix;
    int err;
    int count;
  } cases[] = { { "bad", -EPROTO, 0 },    { "cut", -EIO, 0 },
                { "error", -EIO, 0 },     { "large", -EMSGSIZE, 0 },
                { "huge", -EMSGSIZE, 0 }, { "full", 0, 1 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint64_t revision = 77;
      int count = 0;

      g_assert_cmpint (store_read_since (store, cases[i].prefix, 0, 3000,
                                         count_object, &count, &revision),
                       ==, cases[i].err);
      g_assert_cmpint (count, ==, cases[i].count);
      g_assert_cmpuint (revision, ==, cases[i].err == 0 ? 1 : 77);
      g_assert_cmpstr (store_get_error (store), !=, "");
    }
}

/* Guards against a client that waits without a time limit or reuses a
   connection on which a request timed out.  */
static void
test_silent (void)
{
  store_stats_t stats;
  uint64_t revision;
  int count = 0;
  gint64 begin = g_get_monotonic_time ();

  g_assert_cmpint (store_read_since (store, "silent", 0, 100, count_object,
                                     &count, &revision),
                   ==, -ETIMEDOUT);
  g_assert_cmpint (g_get_monotonic_time () - begin, <, 2000000);
  g_assert_cmpint (httpserver_wait_closed (server, 1), ==, 1);
  g_assert_cmpint (
      store_read_since (store, "a", 0, 2000, count_object, &count, &revision),
      ==, 0);
  store_get_stats (store, &stats);
  g_assert_cmpuint (stats.connections, ==, 2);
  g_assert_cmpuint (stats.timeouts, ==, 1);
  g_assert_cmpuint (stats.failures, ==, 1);
}

/* Guards against bytes that follow a response being taken as the next
   response.  */
static void
test_extra_response (void)
{
  uint64_t revision = 0;
  int count = 0;

  g_assert_cmpint (store_read_since (store, "twice", 0, 2000, count_object,
                                     &count, &revision),
                   ==, 0);
  sem_post (&platform.first_response_read);
  sem_wait (&platform.second_response_sent);
  g_assert_cmpint (
      store_read_since (store, "a", 0, 2000, count_object, &count, &revision),
      ==, 0);
  g_assert_cmpuint (revision, ==, 200);
  g_assert_cmpint (count, ==, 2);
}

/* Guards against an update that ignores the expected version, and against a
   conflict that does not report the current version.  */
static void
test_put (void)
{
  store_write_details_t written;
  store_object_t object;

  g_assert_cmpint (put (3, "c1", &written), ==, STORE_OK);
  g_assert_cmpuint (written.version, ==, 4);
  g_assert_cmpuint (written.revision, ==, 104);
  g_assert_cmpint (written.error, ==, 0);
  g_assert_cmpint (put (3, "c2", &written), ==, STORE_CONFLICT);
  g_assert_cmpuint (written.version, ==, 4);
  g_assert_cmpint (written.error, ==, -EEXIST);
  g_assert_cmpint (put (0, "c3", &written), ==, STORE_CONFLICT);
  /* This change is sent again, as if its first response had been lost.  */
  g_assert_cmpint (put (3, "c1", &written), ==, STORE_OK);
  g_assert_cmpuint (written.version, ==, 4);
  g_assert_cmpint (store_get (store, "shared/a b", 2000, &object), ==, 0);
  g_assert_cmpstr (object.change_id, ==, "c1");
  g_assert_cmpstr (object.body, ==, "{\"x\":1}");
  store_object_clear (&object);
  platform.version = 0;
  g_assert_cmpint (put (0, "c4", &written), ==, STORE_OK);
  g_assert_cmpuint (written.version, ==, 1);
}

/* Guards against reporting a write whose response was lost as made, or as not
   made, without proof, and against libcurl sending the write again because it
   failed on a reused connection.  */
static void
test_lost_response (void)
{
  static const struct
  {
    write_behaviour_t write_behaviour;
    store_result_t result;
    int version;
    bool was_read_back;
  } cases[] = {
    { WRITE_LOSE_RESPONSE, STORE_OK, 4, true },
    { WRITE_SILENT, STORE_OK, 4, true },
    { WRITE_MALFORMED, STORE_OK, 4, true },
    { WRITE_LOSE_REQUEST, STORE_UNKNOWN, 0, false },
    { WRITE_UNAVAILABLE, STORE_UNKNOWN, 0, false },
    { WRITE_INVALID, STORE_FAILED, 0, false },
    { WRITE_OTHER_CHANGE_FIRST, STORE_CONFLICT, 4, true },
    { WRITE_OTHER_CHANGE_AFTER, STORE_UNKNOWN, 5, true },
  };
  store_write_details_t written;
  store_object_t object;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      gint64 begin = g_get_monotonic_time ();

      platform.version = 3;
      platform.write_behaviour = cases[i].write_behaviour;
      platform.writes = 0;
      g_strlcpy (platform.change_id, "first", sizeof platform.change_id);
      g_assert_cmpint (store_get (store, "shared/a b", 2000, &object), ==, 0);
      store_object_clear (&object);
      g_assert_cmpint (put (3, "lost", &written), ==, cases[i].result);
      g_assert_cmpuint (written.version, ==, cases[i].version);
      g_assert_cmpint (written.was_read_back, ==, cases[i].was_read_back);
      g_assert_cmpint (written.error == 0, ==, cases[i].result == STORE_OK);
      g_assert_cmpint (platform.writes, ==, 1);
      g_assert_cmpint (g_get_monotonic_time () - begin, <, 2000000);
    }
}

/* Guards against a deleted object being reported as existing, and against a
   delete that ignores the expected version.  */
static void
test_delete (void)
{
  store_write_t write = { .name = "shared/a b",
                          .expected = 2,
                          .change_id = "d",
                          .timeout_ms = 200,
                          .read_back_ms = 300 };
  store_write_details_t written;
  store_object_t object;

  g_assert_cmpint (store_delete (store, &write, &written), ==, STORE_CONFLICT);
  write.expected = 3;
  platform.write_behaviour = WRITE_LOSE_RESPONSE;
  g_assert_cmpint (store_delete (store, &write, &written), ==, STORE_OK);
  g_assert_cmpuint (written.version, ==, 4);
  g_assert_cmpint (store_get (store, "shared/a b", 2000, &object), ==,
                   -ENOENT);
  platform.version = 0;
  g_assert_cmpint (store_get (store, "shared/a b", 2000, &object), ==,
                   -ENOENT);
}

/* Guards against STORE_UNKNOWN for a write that was certainly not made, and
   against waiting for a store that refuses connections.  */
static void
test_down (void)
{
  char *body = g_strnfill (STORE_VALUE_MAX_BYTES + 1, 'x');
  store_write_t write = { .name = "a",
                          .body = body,
                          .change_id = "c",
                          .timeout_ms = 2000,
                          .read_back_ms = 2000 };
  gint64 begin = g_get_monotonic_time ();
  store_write_details_t written;
  uint64_t revision;
  int count = 0;

  g_assert_cmpint (store_put (store, &write, &written), ==, STORE_FAILED);
  g_assert_cmpint (written.error, ==, -EMSGSIZE);
  g_assert_cmpint (platform.writes, ==, 0);
  store_free (store);
  store = store_new ("127.0.0.1:1");
  g_assert_cmpint (put (3, "c", &written), ==, STORE_FAILED);
  g_assert_cmpint (written.error, ==, -ECONNREFUSED);
  g_assert_cmpint (
      store_read_since (store, "a", 0, 2000, count_object, &count, &revision),
      ==, -ECONNREFUSED);
  g_assert_cmpint (g_get_monotonic_time () - begin, <, 1000000);
  g_free (body);
}

/* @context points to an int, the number of instances visited.  */
static void
assert_instance_fields (void *context, const store_instance_t *instance)
{
  int *count = context;

  g_assert_cmpstr (instance->name, ==, *count == 0 ? "i1" : "i2");
  g_assert_cmpstr (instance->data_centre, ==, *count == 0 ? "d" : "");
  g_assert_cmpstr (instance->address, ==, *count == 0 ? "127.0.0.1:1" : "");
  g_assert_cmpint (instance->leaving, ==, *count == 1);
  ++*count;
}

/* Guards against an instance that is leaving being treated as live.  */
static void
test_instances (void)
{
  int count = 0;

  g_assert_cmpint (
      store_read_instances (store, 2000, assert_instance_fields, &count), ==,
      0);
  g_assert_cmpint (count, ==, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/store/read", test_read, store_fixture_run);
  g_test_add_data_func ("/store/bad-read", test_bad_read, store_fixture_run);
  g_test_add_data_func ("/store/silent", test_silent, store_fixture_run);
  g_test_add_data_func ("/store/twice", test_extra_response,
                        store_fixture_run);
  g_test_add_data_func ("/store/put", test_put, store_fixture_run);
  g_test_add_data_func ("/store/lost-answer", test_lost_response,
                        store_fixture_run);
  g_test_add_data_func ("/store/delete", test_delete, store_fixture_run);
  g_test_add_data_func ("/store/down", test_down, store_fixture_run);
  g_test_add_data_func ("/store/instances", test_instances, store_fixture_run);
  return g_test_run ();
}
