/* Limits that endpoints state, and the permits for them.  */

#include "rate_limit.h"

#include <errno.h>
#include <glib.h>

#define INSTANCES 104

static const rate_limit_statement_t none = { 0 };
static const rate_limit_statement_t two = { .is_limited = true, .per_s = 2 };

/* Guards against a malformed value that sets or ends a limit.  */
static void
malformed_limit_says_nothing (void)
{
  static const char *const malformed[]
      = { "",
          "-1",
          "+2",
          "inf",
          "nan",
          "1e3",
          "0x10",
          "two",
          "1 2",
          "1.2.3",
          ".",
          "2;",
          "111111111111111111111111111111111" };
  rate_limit_statement_t statement;

  for (gsize i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_cmpint (rate_limit_parse (malformed[i], &statement), ==, -EINVAL);
  g_assert_cmpint (rate_limit_parse ("1.8", &statement), ==, 0);
  g_assert_cmpfloat (statement.per_s, ==, 1.8);
  g_assert_cmpint (rate_limit_parse ("0", &statement), ==, 0);
  g_assert_true (statement.is_limited);
  g_assert_cmpint (
      rate_limit_parse ("99999999999999999999999999999999", &statement), ==,
      0);
}

/* Guards against a limit that is ended by responses of a kind that never
   states it, and against one that outlasts what the endpoint says.  */
static void
limit_lasts_as_long_as_it_is_stated (void)
{
  rate_limit_t limit = { 0 };

  g_assert_true (rate_limit_state (&limit, RATE_LIMIT_REQUEST, &two, 1000));
  g_assert_false (rate_limit_state (&limit, RATE_LIMIT_PROBE, &none, 1100));
  g_assert_true (limit.statement.is_limited);
  g_assert_false (rate_limit_state (&limit, RATE_LIMIT_REQUEST, NULL, 1200));
  g_assert_true (limit.statement.is_limited);
  g_assert_true (rate_limit_state (&limit, RATE_LIMIT_REQUEST, &none, 1300));
  g_assert_true (rate_limit_allows (&limit, INSTANCES, 1300));
}

/* Guards against old news from another instance that replaces newer
   knowledge.  */
static void
newest_statement_counts (void)
{
  rate_limit_t limit = { 0 };

  g_assert_true (rate_limit_learn (&limit, &two, 1000, 1010));
  g_assert_false (rate_limit_learn (&limit, &none, 900, 1020));
  g_assert_true (limit.statement.is_limited);
  g_assert_true (rate_limit_learn (&limit, &none, 1100, 1120));
  g_assert_false (rate_limit_learn (&limit, &two, 1050, 1130));
  g_assert_false (limit.statement.is_limited);
  /* A limit that was only told may be ended by either kind of response.  */
  g_assert_true (rate_limit_learn (&limit, &two, 1200, 1210));
  g_assert_true (rate_limit_state (&limit, RATE_LIMIT_PROBE, &none, 1300));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rate_limit/malformed_limit_says_nothing",
                   malformed_limit_says_nothing);
  g_test_add_func ("/rate_limit/limit_lasts_as_long_as_it_is_stated",
                   limit_lasts_as_long_as_it_is_stated);
  g_test_add_func ("/rate_limit/newest_statement_counts",
                   newest_statement_counts);
  return g_test_run ();
}
