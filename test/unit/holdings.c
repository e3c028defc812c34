/* Tests of the choice of connections to close when clients make the servers
   hold too much.  */

#include "holdings.h"

#define COUNT 100

static holdings_t holdings;
static int n_closed;

static void
close_holding (holding_t *holding)
{
  holdings_remove (&holdings, holding);
  n_closed++;
}

static void
start (holdings_t limits)
{
  holdings = limits;
  holdings.close = close_holding;
  n_closed = 0;
}

/* Load: a hundred connections, of which some hold much.  Guards against memory
   beyond the limit, and against connections that are closed although their
   requests are being processed.  */
static void
largest_that_waits_is_closed (void)
{
  holding_t list[COUNT] = { 0 };

  start ((holdings_t){ .bytes_max = 1000000 });
  for (int i = 0; i < COUNT; i++)
    {
      holdings_add (&holdings, &list[i], i);
      holdings_set_bytes (&holdings, &list[i], i < 10 ? 90000 : 5000);
      holdings_set_waiting (&list[i], i != 3, i);
    }
  g_assert_true (holdings_are_exceeded (&holdings));
  g_assert_cmpint (holdings_shed (&holdings, 1000), ==, 4);
  g_assert_false (holdings_are_exceeded (&holdings));
  for (int i = 0; i < COUNT; i++)
    if (i == 3 || i >= 10)
      g_assert_cmpuint (list[i].bytes, >, 0);
}

/* Load: more connections than descriptors.  Guards against ordinary callers
   that are closed in place of those that have stopped half-way.  */
static void
oldest_of_equals_is_closed (void)
{
  holding_t list[COUNT] = { 0 };

  start ((holdings_t){ .count_max = 60 });
  for (int i = 0; i < COUNT; i++)
    {
      holdings_add (&holdings, &list[i], (clock_ms_t)i * 100);
      holdings_set_waiting (&list[i], true, (clock_ms_t)i * 100);
      (void)holdings_shed (&holdings, (clock_ms_t)i * 100);
    }
  g_assert_cmpint (n_closed, ==, COUNT - 60);
  g_assert_cmpuint (list[COUNT - 1].bytes, >, 0);
  g_assert_cmpuint (list[0].bytes, ==, 0);
}

/* If all requests are being processed, none is cut off.  */
static void
nothing_that_is_processed_is_closed (void)
{
  holding_t one = { 0 };

  start ((holdings_t){ .bytes_max = 1 });
  holdings_add (&holdings, &one, 0);
  g_assert_cmpint (holdings_shed (&holdings, 5000), ==, 0);
  g_assert_true (holdings_are_exceeded (&holdings));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/holdings/largest", largest_that_waits_is_closed);
  g_test_add_func ("/holdings/oldest", oldest_of_equals_is_closed);
  g_test_add_func ("/holdings/processed", nothing_that_is_processed_is_closed);
  return g_test_run ();
}
