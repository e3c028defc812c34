/* Tests of the table of requests that may crash endpoints.  */

#include "suspects.h"

#include <glib.h>

#define REQUEST 7
#define NOW 1000000

static bool
add (suspects_t *suspects, uint64_t digest, uint64_t endpoint, clock_ms_t at)
{
  suspect_ending_t ending = { .endpoint = endpoint, .at = at };

  return suspects_add_ending (suspects, digest, &ending, NOW) != NULL;
}

/* Guards against a request that is sent to endpoint after endpoint although
   they end under it, and against one that is refused because a single endpoint
   ended, whatever the number of reports of that.  */
static void
two_endpoints_are_needed (void)
{
  suspects_t *suspects = suspects_new ();

  g_assert_null (suspects_find (suspects, REQUEST, NOW));
  g_assert_true (add (suspects, REQUEST, 1, NOW - 50));
  g_assert_nonnull (suspects_find (suspects, REQUEST, NOW));
  g_assert_false (add (suspects, REQUEST, 1, NOW - 20));
  g_assert_false (suspects_is_refused (suspects, REQUEST, NOW));
  g_assert_true (add (suspects, REQUEST, 2, NOW));
  g_assert_true (suspects_is_refused (suspects, REQUEST, NOW));
  g_assert_false (suspects_is_refused (suspects, REQUEST + 1, NOW));
  suspects_free (suspects);
}

/* Guards against a suspicion that outlives a response to the request, and
   against old news that brings it back.  */
static void
response_ends_suspicion (void)
{
  suspects_t *suspects = suspects_new ();

  g_assert_null (suspects_set_served (suspects, REQUEST, NOW, NOW));
  g_assert_true (add (suspects, REQUEST, 1, NOW - 500));
  g_assert_true (add (suspects, REQUEST, 2, NOW - 400));
  g_assert_nonnull (suspects_set_served (suspects, REQUEST, NOW - 300, NOW));
  g_assert_false (suspects_is_refused (suspects, REQUEST, NOW));
  g_assert_false (add (suspects, REQUEST, 3, NOW - 350));
  g_assert_null (suspects_find (suspects, REQUEST, NOW));
  g_assert_true (add (suspects, REQUEST, 4, NOW - 200));
  g_assert_false (suspects_is_refused (suspects, REQUEST, NOW));
  g_assert_true (add (suspects, REQUEST, 5, NOW - 100));
  g_assert_true (suspects_is_refused (suspects, REQUEST, NOW));
  suspects_free (suspects);
}

/* Guards against a request that is refused for ever, and against entries that
   are kept for ever.  */
static void
suspicion_expires (void)
{
  suspects_t *suspects = suspects_new ();
  clock_ms_t end = NOW - 1000 + SUSPECT_MEMORY_MS;

  g_assert_true (add (suspects, REQUEST, 1, NOW - 1000));
  g_assert_true (add (suspects, REQUEST, 2, NOW));
  g_assert_true (suspects_is_refused (suspects, REQUEST, end - 1));
  g_assert_false (suspects_is_refused (suspects, REQUEST, end));
  g_assert_nonnull (suspects_find (suspects, REQUEST, end));
  g_assert_null (suspects_find (suspects, REQUEST, NOW + SUSPECT_MEMORY_MS));
  suspects_expire (suspects, end);
  g_assert_cmpint (suspects_count (suspects), ==, 1);
  suspects_expire (suspects, NOW + SUSPECT_MEMORY_MS);
  g_assert_cmpint (suspects_count (suspects), ==, 0);
  g_assert_false (add (suspects, REQUEST, 3, NOW - SUSPECT_MEMORY_MS));
  g_assert_cmpint (suspects_count (suspects), ==, 0);
  suspects_free (suspects);
}

/* Guards against memory that grows with the number of requests whose endpoints
   end, and against a refused request that is forgotten because of them.  */
static void
table_is_bounded (void)
{
  suspects_t *suspects = suspects_new ();

  g_assert_true (add (suspects, REQUEST, 1, NOW - 30000));
  g_assert_true (add (suspects, REQUEST, 2, NOW - 30000));
  for (uint64_t i = 0; i < 1000000; i++)
    (void)add (suspects, 1000 + i, i, NOW - 20000 + (clock_ms_t)(i / 100));
  g_assert_cmpint (suspects_count (suspects), <=, 256);
  g_assert_true (suspects_is_refused (suspects, REQUEST, NOW));
  g_assert_nonnull (suspects_find (suspects, 1000 + 999999, NOW));
  suspects_free (suspects);
}

/* Guards against instances that disagree because messages reached them in
   another order, or more than once.  */
static void
order_does_not_matter (void)
{
  for (uint32_t seed = 0; seed < 2000; seed++)
    {
      GRand *rng = g_rand_new_with_seed (seed);
      suspects_t *tables[2] = { suspects_new (), suspects_new () };
      clock_ms_t times[8]; /* of an ending, or of a response: the last two */
      const suspect_t *found[2];

      for (int i = 0; i < 8; i++)
        times[i] = NOW - 1000 + 10 * g_rand_int_range (rng, 0, 50) + i;
      for (int table = 0; table < 2; table++)
        {
          /* The entry exists when a response arrives.  */
          (void)add (tables[table], REQUEST, 99, NOW - 2000);
          for (int step = 0; step < 200; step++)
            {
              int event = step < 184 ? g_rand_int_range (rng, 0, 8) : step % 8;

              if (event < 6)
                (void)add (tables[table], REQUEST, (uint64_t)event,
                           times[event]);
              else
                (void)suspects_set_served (tables[table], REQUEST,
                                           times[event], NOW);
            }
          found[table] = suspects_find (tables[table], REQUEST, NOW);
        }
      g_assert_cmpint (found[0] != NULL ? found[0]->n_endings : 0, ==,
                       found[1] != NULL ? found[1]->n_endings : 0);
      suspects_free (tables[0]);
      suspects_free (tables[1]);
      g_rand_free (rng);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/suspects/two_endpoints_are_needed",
                   two_endpoints_are_needed);
  g_test_add_func ("/suspects/response_ends_suspicion",
                   response_ends_suspicion);
  g_test_add_func ("/suspects/suspicion_expires", suspicion_expires);
  g_test_add_func ("/suspects/table_is_bounded", table_is_bounded);
  g_test_add_func ("/suspects/order_does_not_matter", order_does_not_matter);
  return g_test_run ();
}
