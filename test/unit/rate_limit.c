/* Limits that endpoints state, and the permits for them.  */

#include "rate_limit.h"

#include <errno.h>
#include <glib.h>

#include "decide.h"

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
  const unsigned int both = RATE_LIMIT_PROBE | RATE_LIMIT_REQUEST;
  rate_limit_t limit = { 0 };

  g_assert_true (rate_limit_learn (&limit, &two, both, 1000, 1010));
  g_assert_false (rate_limit_learn (&limit, &none, both, 900, 1020));
  g_assert_true (limit.statement.is_limited);
  g_assert_true (rate_limit_learn (&limit, &none, both, 1100, 1120));
  g_assert_false (rate_limit_learn (&limit, &two, both, 1050, 1130));
  g_assert_false (limit.statement.is_limited);
  g_assert_cmpint (rate_limit_stated_at (&limit), ==, 1100);
  g_assert_false (rate_limit_learn (&limit, &two, 0, 1200, 1210));
}

/* Guards against a limit that is stated only in responses to requests and that
   other instances do not take over, or end, because their probes say nothing
   of it.  */
static void
silent_probes_say_nothing (void)
{
  rate_limit_t limit = { 0 };

  for (clock_ms_t now = 1000; now <= 1200; now += 10)
    g_assert_false (rate_limit_state (&limit, RATE_LIMIT_PROBE, &none, now));
  g_assert_true (
      rate_limit_learn (&limit, &two, RATE_LIMIT_REQUEST, 1100, 1210));
  g_assert_false (rate_limit_state (&limit, RATE_LIMIT_PROBE, &none, 1300));
  g_assert_false (
      rate_limit_learn (&limit, &none, RATE_LIMIT_PROBE, 1400, 1410));
  g_assert_true (limit.statement.is_limited);
  g_assert_true (
      rate_limit_learn (&limit, &none, RATE_LIMIT_REQUEST, 1400, 1410));
  g_assert_false (limit.statement.is_limited);
}

/* One instance in a simulation of many that ask the keeper for permits.  */
typedef struct instance
{
  rate_limit_t limit;
  int waiting; /* requests that wait */
  clock_ms_t paused_until;
  /* A reply that is on its way.  */
  rate_limit_reply_t reply;
  clock_ms_t reply_asked_at;
  clock_ms_t reply_at; /* 0: none */
} instance_t;

typedef struct simulation
{
  instance_t instances[INSTANCES];
  rate_limit_t keepers[2]; /* the keeper changes between them */
  GArray *sent_at;         /* int, ms */
  decide_rng_t rng;
} simulation_t;

static void
ask (instance_t *instance, rate_limit_t *keeper, decide_rng_t *rng,
     clock_ms_t now)
{
  rate_limit_ask (&instance->limit, now);
  instance->reply = rate_limit_issue (keeper, 300, now);
  instance->reply_asked_at = now;
  /* Now and then a reply is lost, or so late that it must be ignored.  */
  instance->reply_at = now + 1 + decide_rng_below (rng, 4)
                       + (decide_rng_below (rng, 50) == 0 ? 400 : 0);
}

static void
run_instance (simulation_t *simulation, instance_t *instance,
              rate_limit_t *keeper, clock_ms_t now)
{
  if (now < instance->paused_until)
    return;
  if (instance->reply_at != 0 && now >= instance->reply_at)
    {
      rate_limit_handle_reply (&instance->limit, &instance->reply,
                               instance->reply_asked_at, now);
      instance->reply_at = 0;
    }
  if (instance->waiting == 0)
    return;
  if (rate_limit_allows (&instance->limit, INSTANCES, now))
    {
      int at = (int)now;

      rate_limit_take (&instance->limit, INSTANCES, now);
      instance->waiting--;
      g_array_append_val (simulation->sent_at, at);
    }
  else if (rate_limit_should_ask (&instance->limit, INSTANCES, now))
    ask (instance, keeper, &simulation->rng, now);
}

/* Returns the largest number of requests in 4 s.  */
static int
most_in_window (const GArray *sent_at)
{
  int most = 0;

  for (guint last = 0, first = 0; last < sent_at->len; last++)
    {
      while (g_array_index (sent_at, int, last)
                 - g_array_index (sent_at, int, first)
             > 4000)
        first++;
      most = MAX (most, (int)(last - first + 1));
    }
  return most;
}

/* Guards against an endpoint that gets more than it has stated from many
   instances that each may send less than one request per second: in bursts and
   lulls, with lost and late replies, pauses, and a keeper that changes.  Also
   guards against a limit of which little is used.  */
static void
permits_keep_to_limit (void)
{
  static const double rates[] = { 0, 0.5, 1, 1.8, 3, 40, 1039, 2000, 1e9 };
  enum
  {
    DURATION_MS = 60000
  };

  for (gsize r = 0; r < G_N_ELEMENTS (rates); r++)
    {
      const rate_limit_statement_t statement
          = { .is_limited = true, .per_s = rates[r] };
      simulation_t *simulation = g_new0 (simulation_t, 1);
      double rate = rates[r];

      decide_rng_seed (&simulation->rng, r + 1);
      simulation->sent_at = g_array_new (FALSE, FALSE, sizeof (int));
      for (int i = 0; i < INSTANCES; i++)
        (void)rate_limit_state (&simulation->instances[i].limit,
                                RATE_LIMIT_PROBE, &statement, 1);
      for (int i = 0; i < 2; i++)
        (void)rate_limit_state (&simulation->keepers[i], RATE_LIMIT_PROBE,
                                &statement, 1);
      for (clock_ms_t now = 1; now < DURATION_MS; now++)
        for (int i = 0; i < INSTANCES; i++)
          {
            instance_t *instance = &simulation->instances[i];
            bool burst = now / 5000 % 2 == 1;

            /* In a burst, all instances together ask for 4 times the limit,
               at most about 20,000 requests per second.  */
            if (burst
                && decide_rng_below (&simulation->rng, 1000000)
                       < MIN (4.0 * MAX (rate, 1) / INSTANCES, 200.0) * 1000.0)
              instance->waiting = MIN (instance->waiting + 1, 3);
            if (decide_rng_below (&simulation->rng, 200000) == 0)
              instance->paused_until = now + 3000;
            run_instance (simulation, instance,
                          &simulation->keepers[now / 7000 % 2], now);
          }
      if (rate < 1e6)
        g_assert_cmpfloat (most_in_window (simulation->sent_at), <=,
                           1.5 * 4 * rate + 5);
      if (rate >= 1 && rate < 1e6)
        g_assert_cmpfloat (simulation->sent_at->len, >,
                           0.8 * rate * DURATION_MS / 2000.0);
      g_array_free (simulation->sent_at, TRUE);
      g_free (simulation);
    }
}

/* Guards against an instance that, after a pause, uses a permit that has run
   out, or one in a reply that waited at its socket.  */
static void
permit_runs_out_in_a_pause (void)
{
  const rate_limit_reply_t reply = { .is_issued = true };
  rate_limit_t limit = { 0 };

  (void)rate_limit_state (&limit, RATE_LIMIT_PROBE, &two, 1000);
  rate_limit_ask (&limit, 1000);
  rate_limit_handle_reply (&limit, &reply, 1000, 1002);
  g_assert_true (rate_limit_allows (&limit, INSTANCES, 1002));
  g_assert_false (rate_limit_allows (&limit, INSTANCES, 4000));
  rate_limit_ask (&limit, 4000);
  rate_limit_handle_reply (&limit, &reply, 4000, 7000);
  g_assert_false (rate_limit_allows (&limit, INSTANCES, 7000));
  /* A reply to an earlier request than the last one.  */
  rate_limit_ask (&limit, 7000);
  rate_limit_handle_reply (&limit, &reply, 4000, 7001);
  g_assert_false (rate_limit_allows (&limit, INSTANCES, 7001));
}

/* Guards against an instance that goes on asking, or waiting, when the limit
   has ended, and against a rise of the limit that takes effect only at the
   time that a much lower one had set.  */
static void
limit_changes_take_effect_at_once (void)
{
  const rate_limit_statement_t zero = { .is_limited = true };
  rate_limit_t keeper = { 0 };

  (void)rate_limit_state (&keeper, RATE_LIMIT_REQUEST, &zero, 1000);
  g_assert_false (rate_limit_issue (&keeper, 1000, 1000).is_issued);
  (void)rate_limit_state (&keeper, RATE_LIMIT_REQUEST, &two, 1100);
  g_assert_true (rate_limit_issue (&keeper, 1000, 1100).is_issued);
  (void)rate_limit_state (&keeper, RATE_LIMIT_REQUEST, &none, 1200);
  g_assert_true (rate_limit_allows (&keeper, INSTANCES, 1200));
  g_assert_false (rate_limit_should_ask (&keeper, INSTANCES, 1200));
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
  g_test_add_func ("/rate_limit/silent_probes_say_nothing",
                   silent_probes_say_nothing);
  g_test_add_func ("/rate_limit/permits_keep_to_limit", permits_keep_to_limit);
  g_test_add_func ("/rate_limit/permit_runs_out_in_a_pause",
                   permit_runs_out_in_a_pause);
  g_test_add_func ("/rate_limit/limit_changes_take_effect_at_once",
                   limit_changes_take_effect_at_once);
  return g_test_run ();
}
