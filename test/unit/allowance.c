/* Tests of tenants' keys and names, and of their allowances: the token bucket
   of a keeper, and a model of many instances that ask it.  */

#include "allowance.h"
#include "decide.h"

#define INSTANCES 300
#define WINDOW_MS 5000
#define STEP_MS 10

static tenant_t *
make_tenant (double rate, double burst)
{
  tenant_t *tenant = tenant_new ("t-1");

  tenant->rate_per_s = rate;
  tenant->burst = burst;
  return tenant;
}

/* Guards against a key that is found where there is none, or a part of one. */
static void
keys_are_parsed (void)
{
  static const struct
  {
    const char *text;
    const char *key;
  } rows[] = {
    { "Bearer abc", "abc" },
    { "bearer abc", "abc" },
    { "BEARER   abc", "abc" },
    { "Bearer ABC", "ABC" },
    { "Bearer", NULL },
    { "Bearer ", NULL },
    { "Bearerabc", NULL },
    { "Basic abc", NULL },
    { "abc", NULL },
    { "", NULL },
    { "Bearer abc def", NULL },
    { "Bearer abc\t", NULL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    g_assert_cmpstr (tenant_parse_key (rows[i].text), ==, rows[i].key);
}

/* Guards against a header field that a tenant's name splits in two.  */
static void
names_are_checked (void)
{
  g_assert_true (tenant_is_valid_name ("Mwakasege & sons"));
  g_assert_false (tenant_is_valid_name (""));
  g_assert_false (tenant_is_valid_name ("a\r\nX-Other: b"));
  g_assert_false (tenant_is_valid_name ("a\x7f"));
}

/* A rate of 0 and a huge one are no limit.  */
static void
rates_without_limit (void)
{
  tenant_t *tenant = make_tenant (0, 5);

  g_assert_false (tenant_is_limited (tenant));
  tenant->rate_per_s = 0.25;
  g_assert_true (tenant_is_limited (tenant));
  tenant->rate_per_s = 1e30;
  g_assert_false (tenant_is_limited (tenant));
  tenant_free (tenant);
}

static uint32_t
ask (allowance_t *keeper, const tenant_t *tenant, int rank, uint32_t wanted,
     clock_ms_t now)
{
  allowance_bounds_t bounds = { 0 };
  allowance_ask_t question = { 0 };

  question.wanted[rank] = wanted;
  return allowance_grant (keeper, tenant, &bounds, 1.0, &question, now)
      .granted[rank];
}

/* Guards against more than the rate and the burst in any time, and against a
   smaller limit that takes effect late.  */
static void
bucket_keeps_the_limit (void)
{
  tenant_t *tenant = make_tenant (100, 50);
  allowance_t keeper = { 0 };
  uint32_t granted = 0;

  for (clock_ms_t now = 1; now <= 10000; now += STEP_MS)
    granted += ask (&keeper, tenant, 0, 10, now);
  g_assert_cmpuint (granted, <=, 1000 + 50);
  g_assert_cmpuint (granted, >=, 1000 - 50);
  tenant->rate_per_s = 10;
  tenant->burst = 5;
  granted = 0;
  for (clock_ms_t now = 10001; now <= 20000; now += STEP_MS)
    granted += ask (&keeper, tenant, 0, 10, now);
  g_assert_cmpuint (granted, <=, 100 + 5);
  tenant->rate_per_s = 200;
  granted = 0;
  for (clock_ms_t now = 20001; now <= 21000; now += STEP_MS)
    granted += ask (&keeper, tenant, 0, 10, now);
  g_assert_cmpuint (granted, >=, 190);
  tenant_free (tenant);
}

/* Load: a tenant that asks for four times its limit on two routes.  Guards
   against urgent requests that are refused for the tenant's other ones.  */
static void
urgent_requests_come_first (void)
{
  tenant_t *tenant = make_tenant (100, 100);
  allowance_t keeper = { 0 };
  uint32_t urgent = 0;
  uint32_t others = 0;

  for (clock_ms_t now = 1; now <= 10000; now += STEP_MS)
    {
      others += ask (&keeper, tenant, 2, 3, now);
      if (now % 20 == 1)
        urgent += ask (&keeper, tenant, 0, 1, now);
    }
  g_assert_cmpuint (urgent, ==, 500);
  g_assert_cmpuint (others, >=, 400);
  g_assert_cmpuint (urgent + others, <=, 1000 + 100);
  tenant_free (tenant);
}

/* A keeper that has just taken over does not know what the one before it has
   granted.  Guards against a second burst.  */
static void
new_keeper_has_few_tokens (void)
{
  tenant_t *tenant = make_tenant (100, 1000);
  allowance_t keeper = { 0 };

  keeper.bucket = (token_bucket_t){ .level = 1000, .filled_at = 1 };
  allowance_set_keeper (&keeper, 77, 1);
  allowance_set_keeper (&keeper, 0, 2);
  g_assert_cmpuint (ask (&keeper, tenant, 0, 1000, 60000), <=, 20);
  /* It stays the keeper when others come and go.  */
  allowance_set_keeper (&keeper, 0, 3);
  g_assert_cmpuint (ask (&keeper, tenant, 0, 1000, 64000), >=, 390);
  tenant_free (tenant);
}

static void
late_replies_are_ignored (void)
{
  allowance_t allowance = { 0 };
  allowance_ask_t question = { .wanted = { 1 } };

  allowance_put_back (&allowance);
  allowance_begin_ask (&allowance, &question, 1000);
  g_assert_cmpuint (question.unused, ==, 1);
  g_assert_false (allowance_end_ask (&allowance, 900, 1010));
  g_assert_false (allowance_end_ask (&allowance, 1000, 1500));
  g_assert_true (allowance_end_ask (&allowance, 1000, 1020));
  g_assert_false (allowance_end_ask (&allowance, 1000, 1030));
}

/* Returns the largest number of admissions in a window.  @admitted: number in
   each step.  */
static uint32_t
most_in_window (const uint32_t *admitted, int steps)
{
  uint32_t most = 0;
  uint32_t sum = 0;

  for (int i = 0; i < steps; i++)
    {
      sum += admitted[i];
      if (i >= WINDOW_MS / STEP_MS)
        sum -= admitted[i - WINDOW_MS / STEP_MS];
      most = MAX (most, sum);
    }
  return most;
}

/* Model: 300 instances ask a keeper for a tenant at seven times its limit;
   later the keeper ends, and nobody replies for 1.5 s until another one takes
   over; then a third of the instances is cut off for the rest.  The users'
   bound is (rate x window + burst) x 1.1 + 20.  */
static void
limit_holds_over_instances (void)
{
  enum
  {
    STEPS = 2000
  };
  static uint32_t admitted[STEPS];
  static allowance_t instances[INSTANCES];
  tenant_t *tenant = make_tenant (300, 300);
  allowance_bounds_t bounds = { .overshoot = 0.1, .slack = 20 };
  allowance_t keepers[2] = { 0 };
  double limit = (tenant->rate_per_s * WINDOW_MS / 1000.0 + tenant->burst)
                     * (1.0 + bounds.overshoot)
                 + bounds.slack;
  decide_rng_t rng;

  decide_rng_seed (&rng, 1);
  allowance_set_keeper (&keepers[1], 77, 1);
  allowance_set_keeper (&keepers[1], 0, 2);
  for (int step = 0; step < STEPS; step++)
    {
      clock_ms_t now = 1 + (clock_ms_t)step * STEP_MS;
      bool has_keeper = step < 700 || step >= 850;
      allowance_t *keeper = &keepers[step < 700 ? 0 : 1];

      for (int i = 0; i < INSTANCES; i++)
        {
          /* 2100 requests a second in all.  */
          bool has_request = decide_rng_below (&rng, 1000) < 70;
          bool is_cut = step >= 1300 && i % 3 == 0;
          allowance_ask_t question = { .wanted = { 1 } };

          if (!has_request)
            continue;
          if (!has_keeper || is_cut)
            admitted[step]
                += allowance_take_alone (&instances[i], tenant, INSTANCES, now)
                       ? 1
                       : 0;
          else
            admitted[step] += allowance_grant (keeper, tenant, &bounds,
                                               step >= 1300 ? 2.0 / 3.0 : 1.0,
                                               &question, now)
                                  .granted[0];
        }
    }
  g_assert_cmpfloat (most_in_window (admitted, STEPS), <=, limit);
  tenant_free (tenant);
}

/* Load: a tenant at 0.6 of its limit, once with callers at all instances and
   once with all of them at one.  Guards against requests within the limit that
   are refused: at most one in a hundred, by chance.  */
static void
nothing_is_lost_below_the_limit (void)
{
  for (int is_uneven = 0; is_uneven <= 1; is_uneven++)
    for (int i_rate = 0; i_rate < 3; i_rate++)
      {
        static const double rates[] = { 5, 50, 500 };
        double rate = rates[i_rate];
        tenant_t *tenant = make_tenant (rate, rate);
        allowance_bounds_t bounds = { .overshoot = 0.1, .slack = 20 };
        allowance_t keeper = { 0 };
        uint32_t asked = 0;
        uint32_t granted = 0;
        decide_rng_t rng;

        decide_rng_seed (&rng, 5);
        for (clock_ms_t now = 1; now < 60000; now += STEP_MS)
          {
            allowance_ask_t question = { 0 };
            double expected = rate * 0.6 * STEP_MS / 1000.0;

            /* Requests that arrive at one instance share a question.  */
            for (int i = 0; i < 10; i++)
              question.wanted[1]
                  += decide_rng_below (&rng, 1U << 20)
                             < (uint32_t)(expected / 10.0 * (1U << 20))
                         ? 1
                         : 0;
            asked += question.wanted[1];
            for (uint32_t i = 0; is_uneven == 0 && i < question.wanted[1]; i++)
              {
                allowance_ask_t one = { .wanted = { 0, 1 } };

                granted += allowance_grant (&keeper, tenant, &bounds, 1.0,
                                            &one, now)
                               .granted[1];
              }
            if (is_uneven != 0)
              granted += allowance_grant (&keeper, tenant, &bounds, 1.0,
                                          &question, now)
                             .granted[1];
          }
        g_assert_cmpuint (granted * 100, >=, asked * 99);
        tenant_free (tenant);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tenants/keys", keys_are_parsed);
  g_test_add_func ("/tenants/names", names_are_checked);
  g_test_add_func ("/tenants/rates", rates_without_limit);
  g_test_add_func ("/allowance/bucket", bucket_keeps_the_limit);
  g_test_add_func ("/allowance/urgent", urgent_requests_come_first);
  g_test_add_func ("/allowance/new_keeper", new_keeper_has_few_tokens);
  g_test_add_func ("/allowance/late_replies", late_replies_are_ignored);
  g_test_add_func ("/allowance/model", limit_holds_over_instances);
  g_test_add_func ("/allowance/below", nothing_is_lost_below_the_limit);
  return g_test_run ();
}
