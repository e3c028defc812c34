#include "slots_sim.h"

#include <glib.h>

/* Checks invariants in long seeded runs with random faults.  */

#define RUN_MS 3000
#define LONG_MS 15000 /* with all faults together */
#define SEEDS 3

static const struct
{
  const char *name;
  uint32_t faults;
} cases[] = {
  { "none", 0 },          { "restart", SIM_RESTART },   { "drain", SIM_DRAIN },
  { "pause", SIM_PAUSE }, { "handover", SIM_HANDOVER }, { "out", SIM_OUT },
  { "loss", SIM_LOSS },   { "all", SIM_ALL },
};

/* Guards against a slot used twice, a second run of a non-idempotent request,
   a refusal that says `not run' although the request ran, a request that ends
   late, twice or never, retries above the budget, and attempts sent to
   endpoints that drain or data centres that are out of service.  */
static void
test_faults (gconstpointer data)
{
  guint index = GPOINTER_TO_UINT (data);
  const char *name = cases[index].name;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      sim_result_t result;
      uint32_t load = seed == 1 ? 50 : seed == 2 ? 90 : 150;

      sim_run (&(sim_options_t){ .policy = "slots",
                                 .seed = seed,
                                 .duration_ms = cases[index].faults == SIM_ALL
                                                    ? LONG_MS
                                                    : RUN_MS,
                                 .load_percent = load,
                                 .timeout_ms = 400,
                                 .service_ms = 8,
                                 .noise = true,
                                 .hedge = true,
                                 .hedge_after_ms = 30,
                                 .non_idempotent_percent = 30,
                                 .faults = cases[index].faults },
               &result);
      g_print (
          "# %s seed %u load %u%%: %u requests, %u answered, p99 %.1f ms, "
          "%u over slots, %u over cold, %u ran twice, %u false not run, "
          "%u ended twice, %u not ended, %u ended late, %u sent to out, "
          "%u sent to drained, %u retries over\n",
          name, seed, load, result.requests, result.answered, result.p99_ms,
          result.over_slots, result.over_cold, result.ran_twice,
          result.false_not_run, result.ended_twice, result.not_ended,
          result.ended_late, result.sent_to_out, result.sent_to_drained,
          result.retries_over);
      g_assert_cmpuint (result.over_slots, ==, 0);
      g_assert_cmpuint (result.ran_twice, ==, 0);
      g_assert_cmpuint (result.false_not_run, ==, 0);
      g_assert_cmpuint (result.ended_twice, ==, 0);
      g_assert_cmpuint (result.not_ended, ==, 0);
      g_assert_cmpuint (result.ended_late, ==, 0);
      g_assert_cmpuint (result.sent_to_out, ==, 0);
      g_assert_cmpuint (result.retries_over, ==, 0);
      if (cases[index].faults == SIM_DRAIN)
        g_assert_cmpuint (result.sent_to_drained, ==, 0);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strconcat ("/slots/faults/", cases[i].name, NULL);

      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_faults);
      g_free (path);
    }
  return g_test_run ();
}
