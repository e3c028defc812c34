/* Tests of tenants' keys and names, and of their allowances: the token buckets
   of a keeper and its successors.  allowance_sum.c is a model of many
   instances that ask them.  */

#include "allowance.h"
#include "decide.h"

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

/* Makes the state of an instance with a rank since the time 1.  */
static void
start (allowance_t *allowance, contact_t *contact, int rank)
{
  const contact_news_t news
      = { .tells_listing = true, .is_listed = true, .share = 1.0 };

  allowance_init (allowance);
  allowance->rank = rank;
  *contact = (contact_t){ 0 };
  contact_handle_announcement (contact, &news, 1);
  contact_handle_announcement (contact, &news, 1 + KEEPER_HANDOVER_MS);
  contact_handle_announcement (contact, &news, 1 + 2 * KEEPER_HANDOVER_MS);
  contact->term_at = 1;
}

static allowance_reply_t
ask_with_bounds (allowance_t *allowance, contact_t *contact,
                 const tenant_t *tenant, const allowance_bounds_t *bounds,
                 const allowance_ask_t *question, clock_ms_t now)
{
  const allowance_keeper_t keeper = { .bounds = bounds, .contact = contact };

  contact->heard_at = now;
  return allowance_grant (allowance, tenant, &keeper, question, now);
}

static uint32_t
ask (allowance_t *allowance, contact_t *contact, const tenant_t *tenant,
     int rank, uint32_t wanted, clock_ms_t now)
{
  const allowance_bounds_t bounds = { 0 };
  allowance_ask_t question = { 0 };

  question.wanted[rank] = wanted;
  return ask_with_bounds (allowance, contact, tenant, &bounds, &question, now)
      .granted[rank];
}

/* Guards against more than the rate and the burst in any time, and against a
   smaller limit that takes effect late.  */
static void
bucket_keeps_the_limit (void)
{
  tenant_t *tenant = make_tenant (100, 50);
  allowance_t keeper;
  contact_t contact;
  uint32_t granted = 0;

  start (&keeper, &contact, 0);
  for (clock_ms_t now = 1; now <= 10000; now += STEP_MS)
    granted += ask (&keeper, &contact, tenant, 0, 10, now);
  g_assert_cmpuint (granted, <=, 1000 + 50);
  g_assert_cmpuint (granted, >=, 1000 - 50);
  tenant->rate_per_s = 10;
  tenant->burst = 5;
  granted = 0;
  for (clock_ms_t now = 10001; now <= 20000; now += STEP_MS)
    granted += ask (&keeper, &contact, tenant, 0, 10, now);
  g_assert_cmpuint (granted, <=, 100 + 5);
  tenant->rate_per_s = 200;
  granted = 0;
  for (clock_ms_t now = 20001; now <= 21000; now += STEP_MS)
    granted += ask (&keeper, &contact, tenant, 0, 10, now);
  g_assert_cmpuint (granted, >=, 190);
  tenant_free (tenant);
}

/* Load: a tenant that asks for four times its limit on two routes.  Guards
   against urgent requests that are refused for the tenant's other ones.  */
static void
urgent_requests_come_first (void)
{
  tenant_t *tenant = make_tenant (100, 100);
  allowance_t keeper;
  contact_t contact;
  uint32_t urgent = 0;
  uint32_t others = 0;

  start (&keeper, &contact, 0);
  /* It saves up its burst first.  */
  (void)ask (&keeper, &contact, tenant, 0, 0, 1);
  for (clock_ms_t now = 10001; now <= 20000; now += STEP_MS)
    {
      others += ask (&keeper, &contact, tenant, 2, 3, now);
      if (now % 20 == 1)
        urgent += ask (&keeper, &contact, tenant, 0, 1, now);
    }
  g_assert_cmpuint (urgent, ==, 500);
  g_assert_cmpuint (others, >=, 400);
  g_assert_cmpuint (urgent + others, <=, 1000 + 100);
  tenant_free (tenant);
}

/* A keeper that has just taken over does not know what the one before it has
   granted.  Guards against a second burst, of a new keeper or of one that was
   paused, and against one that acts before the one before it has stopped.  */
static void
new_keeper_has_few_tokens (void)
{
  tenant_t *tenant = make_tenant (100, 1000);
  const allowance_bounds_t bounds = { .overshoot = 0.1, .slack = 20 };
  const allowance_ask_t question = { .wanted = { 2000 } };
  const contact_news_t news
      = { .tells_listing = true, .is_listed = true, .share = 1.0 };
  double reserve = 0.05 * (100 * ALLOWANCE_WINDOW_S + 1000) + 10;
  allowance_t keeper;
  contact_t contact;
  allowance_reply_t reply;

  start (&keeper, &contact, 0);
  reply = ask_with_bounds (&keeper, &contact, tenant, &bounds, &question, 1);
  g_assert_false (reply.is_final);
  g_assert_cmpuint (reply.granted[0], ==, (uint32_t)(reserve / 4));
  reply = ask_with_bounds (&keeper, &contact, tenant, &bounds, &question,
                           KEEPER_HANDOVER_MS);
  g_assert_cmpuint (reply.granted[0], ==, 0);
  reply = ask_with_bounds (&keeper, &contact, tenant, &bounds, &question,
                           KEEPER_HANDOVER_MS + 1001);
  g_assert_true (reply.is_final);
  g_assert_cmpuint (reply.granted[0], ==, 105);
  /* The bucket fills, and then the process is paused.  */
  contact_lose (&contact);
  reply = ask_with_bounds (&keeper, &contact, tenant, &bounds, &question,
                           100000);
  g_assert_cmpuint (reply.granted[0], ==, 0);
  g_assert_false (reply.is_final);
  contact_lose (&contact);
  contact_handle_announcement (&contact, &news, 100000);
  reply = ask_with_bounds (&keeper, &contact, tenant, &bounds, &question,
                           100000);
  g_assert_cmpuint (reply.granted[0], <=, (uint32_t)(reserve / 3));
  tenant_free (tenant);
}

/* Guards against a successor that has nothing saved up when it is first asked,
   or that grants more than its part.  */
static void
successors_have_a_part (void)
{
  tenant_t *tenant = make_tenant (100, 100);
  const allowance_bounds_t bounds = { .overshoot = 0.1, .slack = 20 };
  const allowance_ask_t question = { .wanted = { 2000 } };
  double reserve = 0.05 * (100 * ALLOWANCE_WINDOW_S + 100) + 10;

  for (int rank = 1; rank < KEEPER_CANDIDATES; rank++)
    {
      double part = reserve / (3.0 * rank);
      allowance_t successor;
      contact_t contact;
      allowance_reply_t reply;

      start (&successor, &contact, rank);
      reply = ask_with_bounds (&successor, &contact, tenant, &bounds,
                               &question, 20001);
      g_assert_false (reply.is_final);
      g_assert_cmpuint (reply.granted[0], ==, (uint32_t)part);
      reply = ask_with_bounds (&successor, &contact, tenant, &bounds,
                               &question, 25001);
      g_assert_cmpuint (reply.granted[0], <=, (uint32_t)(part / 2) + 1);
    }
  tenant_free (tenant);
}

/* Guards against a candidate that is asked again and again though it does not
   reply, and against one that is never asked again.  */
static void
next_candidate_is_asked (void)
{
  allowance_t allowance;
  allowance_ask_t question = { .wanted = { 1 } };
  allowance_reply_t reply = { 0 };

  allowance_init (&allowance);
  g_assert_cmpint (allowance_next_candidate (&allowance, 1), ==, -1);
  allowance.n_candidates = 2;
  allowance_begin_ask (&allowance, 0, &question, 1000);
  allowance_handle_timeout (&allowance, 1060);
  g_assert_cmpint (allowance_next_candidate (&allowance, 1060), ==, 1);
  allowance_begin_ask (&allowance, 1, &question, 1060);
  g_assert_true (allowance_end_ask (&allowance, 1060, &reply, 1062));
  g_assert_cmpint (allowance_next_candidate (&allowance, 1062), ==, -1);
  g_assert_cmpint (allowance_next_candidate (&allowance, 1200), ==, 1);
  g_assert_cmpint (allowance_next_candidate (&allowance, 2000), ==, 0);
}

/* Guards against tokens of a late reply that are lost, or used twice.  */
static void
late_replies_are_given_back (void)
{
  allowance_t allowance;
  allowance_ask_t question = { .wanted = { 1 } };
  const allowance_reply_t reply = { .granted = { 1 }, .is_final = true };

  allowance_init (&allowance);
  allowance.n_candidates = 1;
  allowance_put_back (&allowance);
  allowance_begin_ask (&allowance, 0, &question, 1000);
  g_assert_cmpuint (question.unused, ==, 1);
  g_assert_false (allowance_end_ask (&allowance, 900, &reply, 1010));
  g_assert_false (allowance_end_ask (&allowance, 1000, &reply, 1500));
  g_assert_true (allowance_end_ask (&allowance, 1000, &reply, 1020));
  g_assert_false (allowance_end_ask (&allowance, 1000, &reply, 1030));
  allowance_begin_ask (&allowance, 0, &question, 2000);
  g_assert_cmpuint (question.unused, ==, 0);
  allowance_handle_timeout (&allowance, 2060);
  g_assert_false (allowance_end_ask (&allowance, 2000, &reply, 2070));
  g_assert_false (allowance_end_ask (&allowance, 2000, &reply, 2071));
  allowance_begin_ask (&allowance, 1, &question, 2900);
  g_assert_cmpuint (question.unused, ==, 0);
  allowance_begin_ask (&allowance, 0, &question, 3000);
  g_assert_cmpuint (question.unused, ==, 1);
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
        allowance_t keeper;
        contact_t contact;
        uint32_t asked = 0;
        uint32_t granted = 0;
        decide_rng_t rng;

        decide_rng_seed (&rng, 5);
        start (&keeper, &contact, 0);
        (void)ask (&keeper, &contact, tenant, 0, 0, 1);
        /* The bucket has filled before.  */
        for (clock_ms_t now = 10001; now < 70000; now += STEP_MS)
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

                granted += ask_with_bounds (&keeper, &contact, tenant, &bounds,
                                            &one, now)
                               .granted[1];
              }
            if (is_uneven != 0)
              granted += ask_with_bounds (&keeper, &contact, tenant, &bounds,
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
  g_test_add_func ("/allowance/successors_have_a_part",
                   successors_have_a_part);
  g_test_add_func ("/allowance/next_candidate_is_asked",
                   next_candidate_is_asked);
  g_test_add_func ("/allowance/late_replies", late_replies_are_given_back);
  g_test_add_func ("/allowance/below", nothing_is_lost_below_the_limit);
  return g_test_run ();
}
