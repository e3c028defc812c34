#include "ownership_model.h"

#include <errno.h>
#include <string.h>

/* Number of slices in the record: 16 of each data centre of the model, and 16
   of DECIDE_KEY_CENTRE.  */
#define SLICE_COUNT(model) (16 * (1 + (model)->data_centre_count))

static void assert_no_violation (const model_t *model);
static model_t *new_settled_model (uint32_t count, uint32_t data_centre_count,
                                   uint64_t seed);

static void
assert_no_violation (const model_t *model)
{
  g_assert_cmpstr (model->violation, ==, "");
}

/* Creates a model in a steady state: all instances run, all slices are
   served.  */
static model_t *
new_settled_model (uint32_t count, uint32_t data_centre_count, uint64_t seed)
{
  model_t *model = model_new (count, data_centre_count, seed);

  model->check_grants = true;
  for (uint32_t i = 0; i < count; i++)
    model_start (model, i);
  g_assert_cmpint (model_run_until_served (model, SLICE_COUNT (model), 20000),
                   >=, 0);
  model_run (model, 4000);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  assert_no_violation (model);
  return model;
}

/* Guards against instances that, when all start at once, keep each other from
   adding themselves to the record.  */
static void
test_start (void)
{
  int64_t longest_ms = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      model_t *model = model_new (12, 2, seed);
      int64_t elapsed_ms;

      model->check_grants = true;
      model->jitter_ms = 5;
      for (uint32_t i = 0; i < 12; i++)
        model_start (model, i);
      elapsed_ms = model_run_until_served (model, SLICE_COUNT (model), 10000);
      assert_no_violation (model);
      g_test_message ("seed %" G_GUINT64_FORMAT ": %" G_GINT64_FORMAT
                      " ms until all slices were served, %u updates, "
                      "%u conflicts",
                      seed, elapsed_ms, model->put_count,
                      model->conflict_count);
      g_assert_cmpint (elapsed_ms, >=, 0);
      longest_ms = MAX (longest_ms, elapsed_ms);
      model_free (model);
    }
  g_test_message (
      "longest time until all slices were served: %" G_GINT64_FORMAT " ms",
      longest_ms);
  g_assert_cmpint (longest_ms, <=, 3000);
}

/* Guards against slices that stay without an owner after a crash.  */
static void
test_crash (void)
{
  model_t *model = new_settled_model (5, 1, 1);
  int64_t elapsed_ms;

  model_crash (model, 2);
  model_run (model, 10);
  g_assert_cmpuint (model_count_served_slices (model), <, SLICE_COUNT (model));
  elapsed_ms = model_run_until_served (model, SLICE_COUNT (model), 20000);
  assert_no_violation (model);
  g_test_message ("all slices served again after %" G_GINT64_FORMAT " ms",
                  elapsed_ms);
  g_assert_cmpint (elapsed_ms, >, 2 * DECIDE_OWNERSHIP_LEASE_MS);
  g_assert_cmpint (elapsed_ms, <, 6500);
  model_free (model);
}

/* Guards against an owner that still grants after a pause in which its slices
   were taken over, and against one that is assigned no slices after that.  */
static void
test_pause (void)
{
  model_t *model = new_settled_model (5, 1, 2);

  model_pause (model, 1);
  model_run (model, 10000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  model_resume (model, 1);
  model_run (model, 20000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  g_assert_cmpuint (model_count_owned_slices (model, 1), >, 0);
  model_free (model);
}

/* Guards against a member that was removed during a long pause and does not
   join again.  */
static void
test_long_pause (void)
{
  model_t *model = new_settled_model (5, 1, 3);

  model_pause (model, 1);
  model_run (model, 60000);
  g_assert_cmpuint (
      ownership_get_record (model->instances[0].ownership)->member_count, ==,
      4);
  model_resume (model, 1);
  model_run (model, 30000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  g_assert_cmpuint (
      ownership_get_record (model->instances[0].ownership)->member_count, ==,
      5);
  g_assert_cmpuint (model_count_owned_slices (model, 1), >, 0);
  model_free (model);
}

/* Guards against a takeover from an owner that only some members cannot reach,
   and against a lease that expires although its holder can still renew it by
   reading the store.  */
static void
test_partition (void)
{
  model_t *model = new_settled_model (5, 1, 4);

  model->link_down[0][1] = model->link_down[1][0] = true;
  for (int i = 0; i < 100; i++)
    {
      model_run (model, 100);
      g_assert_cmpuint (model_count_served_slices (model), ==,
                        SLICE_COUNT (model));
    }
  assert_no_violation (model);
  model->link_down[0][1] = model->link_down[1][0] = false;
  model_isolate (model, 3, true);
  model_run (model, 10000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  /* Instance 3 still reads the record, so it knows that it lost its
     slices.  */
  g_assert_cmpuint (model_count_owned_slices (model, 3), ==, 0);
  model_isolate (model, 3, false);
  model_run (model, 20000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_owned_slices (model, 3), >, 0);
  model_free (model);
}

/* Guards against owners that stop granting during an outage of the store, and
   against a takeover without the store.  */
static void
test_store_down (void)
{
  model_t *model = new_settled_model (5, 1, 5);
  uint32_t crashed_slices;

  model->store_down = true;
  for (int i = 0; i < 600; i++)
    {
      model_run (model, 100);
      g_assert_cmpuint (model_count_served_slices (model), ==,
                        SLICE_COUNT (model));
    }
  crashed_slices = model_count_owned_slices (model, 4);
  model_crash (model, 4);
  model_run (model, 20000);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model) - crashed_slices);
  /* A restarted instance serves nothing until the outage ends.  */
  model_start (model, 4);
  model_run (model, 10000);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model) - crashed_slices);
  model->store_down = false;
  g_assert_cmpint (model_run_until_served (model, SLICE_COUNT (model), 10000),
                   >=, 0);
  model_run (model, 20000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_owned_slices (model, 4), >, 0);
  model_free (model);
}

/* Guards against a restarted instance that uses the slices of its previous
   process without a takeover, and against one that is never assigned any.  */
static void
test_restart (void)
{
  model_t *model = new_settled_model (5, 1, 6);

  model_crash (model, 0);
  model_run (model, 100);
  model_start (model, 0);
  model_run (model, 1000);
  g_assert_cmpuint (model_count_owned_slices (model, 0), ==, 0);
  g_assert_cmpint (model_run_until_served (model, SLICE_COUNT (model), 10000),
                   >=, 0);
  model_run (model, 20000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  g_assert_cmpuint (model_count_owned_slices (model, 0), >, 0);
  model_free (model);
}

/* Guards against an old process that still grants while a new process of the
   same instance runs.  */
static void
test_replace (void)
{
  model_t *model = new_settled_model (5, 1, 7);
  uint32_t old_process = model_replace (model, 0);

  model_run (model, 10000);
  assert_no_violation (model);
  model_crash (model, old_process);
  g_assert_cmpint (model_run_until_served (model, SLICE_COUNT (model), 10000),
                   >=, 0);
  assert_no_violation (model);
  model_free (model);
}

/* Guards against a graceful shutdown that leaves slices unserved, takes long,
   or waits for the store.  */
static void
test_stop (gconstpointer store_down)
{
  model_t *model = new_settled_model (5, 1, 8);
  int64_t start;
  uint32_t min_served = SLICE_COUNT (model);

  model->store_down = GPOINTER_TO_INT (store_down);
  model_run (model, 5000);
  ownership_stop (model->instances[0].ownership, model_local_time (model, 0));
  start = model->now;
  while (!ownership_has_stopped (model->instances[0].ownership,
                                 model_local_time (model, 0)))
    {
      model_run (model, 1);
      min_served = MIN (min_served, model_count_served_slices (model));
      g_assert_cmpint (model->now - start, <, 3000);
    }
  g_test_message ("stopped after %" G_GINT64_FORMAT
                  " ms, at least %u slices served",
                  model->now - start, min_served);
  model_crash (model, 0);
  for (int i = 0; i < 1000; i++)
    {
      model_run (model, 10);
      g_assert_cmpuint (model_count_served_slices (model), ==,
                        SLICE_COUNT (model));
    }
  assert_no_violation (model);
  model->store_down = false;
  model_run (model, 10000);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  g_assert_cmpuint (model->instances[0].change_counts[OWNERSHIP_LOST], >, 0);
  assert_no_violation (model);
  /* By now the record names the former delegates as owners.  */
  for (uint32_t i = 1; i < 5; i++)
    for (uint32_t c = 0; c < 2; c++)
      for (uint32_t s = 0; s < DECIDE_SLICES; s++)
        g_assert_false (model->instances[i].ownership->slices[c][s].delegate);
  model_free (model);
}

/* Guards against instances that shut down at the same time and hand over
   slices to each other.  */
static void
test_stop_several (void)
{
  model_t *model = new_settled_model (6, 2, 9);

  model->store_down = true;
  model_run (model, 5000);
  for (uint32_t i = 0; i < 6; i += 2)
    {
      ownership_stop (model->instances[i].ownership,
                      model_local_time (model, i));
      model_run (model, 60);
    }
  model_run (model, 2000);
  for (uint32_t i = 0; i < 6; i += 2)
    {
      g_assert_true (ownership_has_stopped (model->instances[i].ownership,
                                            model_local_time (model, i)));
    }
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  assert_no_violation (model);
  model_free (model);
}

/* Returns the number of slices that the instance serves as a delegate, or has
   offered to another one that has not acknowledged the handover.  */
static uint32_t
count_unfinished_handovers (const ownership_t *ownership)
{
  uint32_t count = 0;

  for (uint32_t c = 0; c < ownership->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      count += ownership->slices[c][s].delegate
               || (ownership->slices[c][s].offered
                   && !ownership->slices[c][s].offer_accepted);
  return count;
}

/* Guards against instances that wait for a successor when all others have
   announced their shutdown, and against one that exits with unfinished
   handovers while the last instance still serves clients.  */
static void
test_stop_all (gconstpointer interval_ms)
{
  model_t *model = new_settled_model (6, 2, 11);
  uint32_t unfinished = 0;
  int64_t last_stop;

  model->store_down = true;
  model_run (model, 5000);
  for (uint32_t i = 0; i < 6; i++)
    {
      if (i > 0)
        model_run (model, GPOINTER_TO_INT (interval_ms));
      ownership_stop (model->instances[i].ownership,
                      model_local_time (model, i));
    }
  last_stop = model->now;
  while (model->now < last_stop + DECIDE_ADDRESS_TTL_MS)
    {
      for (uint32_t i = 0; i < 6; i++)
        {
          const ownership_t *ownership = model->instances[i].ownership;

          unfinished += count_unfinished_handovers (ownership);
          g_assert_true (count_unfinished_handovers (ownership) == 0
                         || !ownership_has_stopped (
                             ownership, model_local_time (model, i)));
        }
      model_run (model, 20);
    }
  g_assert_cmpuint (unfinished, >, 0);
  model_run (model, 1000);
  for (uint32_t i = 0; i < 6; i++)
    g_assert_true (ownership_has_stopped (model->instances[i].ownership,
                                          model_local_time (model, i)));
  assert_no_violation (model);
  model_free (model);
}

/* Guards against an instance that exits before a paused member can accept its
   slices.  */
static void
test_stop_paused (void)
{
  model_t *model = new_settled_model (3, 1, 12);

  model->store_down = true;
  model_run (model, 5000);
  for (uint32_t i = 0; i < 2; i++)
    {
      ownership_stop (model->instances[i].ownership,
                      model_local_time (model, i));
      model_run (model, 400);
    }
  model->instances[2].paused = true;
  model_run (model, 6000);
  g_assert_cmpuint (
      count_unfinished_handovers (model->instances[0].ownership)
          + count_unfinished_handovers (model->instances[1].ownership),
      >, 0);
  for (uint32_t i = 0; i < 2; i++)
    g_assert_true (count_unfinished_handovers (model->instances[i].ownership)
                       == 0
                   || !ownership_has_stopped (model->instances[i].ownership,
                                              model_local_time (model, i)));
  model_free (model);
}

/* Guards against a slice without a successor when the instance that it was
   offered to begins to shut down before the offer arrives.  */
static void
test_refused_offer (void)
{
  model_t *model = new_settled_model (5, 1, 10);
  uint32_t unanswered_offers = 0;

  model->store_down = true;
  model_run (model, 5000);
  ownership_stop (model->instances[0].ownership, model_local_time (model, 0));
  for (int i = 0; i < 1000 && unanswered_offers == 0; i++)
    {
      model_run (model, 1);
      for (uint32_t s = 0; s < 2 * DECIDE_SLICES; s++)
        {
          const ownership_slice_t *slice
              = &model->instances[0]
                     .ownership->slices[s / DECIDE_SLICES][s % DECIDE_SLICES];

          unanswered_offers += slice->offered && !slice->offer_accepted
                               && slice->target == model->instances[1].id;
        }
    }
  g_assert_cmpuint (unanswered_offers, >, 0);
  ownership_stop (model->instances[1].ownership, model_local_time (model, 1));
  model_run (model, 3000);
  g_assert_true (ownership_has_stopped (model->instances[0].ownership,
                                        model_local_time (model, 0)));
  g_assert_true (ownership_has_stopped (model->instances[1].ownership,
                                        model_local_time (model, 1)));
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  assert_no_violation (model);
  model_free (model);
}

/* Guards against a joined member that is assigned no slices.  */
static void
test_join (void)
{
  model_t *model = new_settled_model (4, 1, 11);
  uint32_t i = model_join (model);

  model_run (model, 30000);
  assert_no_violation (model);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  g_assert_cmpuint (
      ownership_get_record (model->instances[0].ownership)->member_count, ==,
      5);
  g_assert_cmpuint (model_count_owned_slices (model, i), >=, 4);
  model_free (model);
}

/* Guards against crashed members that stay in the record, which would make a
   majority impossible after further failures.  */
static void
test_remove (void)
{
  model_t *model = new_settled_model (5, 1, 12);

  model_crash (model, 4);
  model_run (model, 45000);
  model_crash (model, 3);
  model_run (model, 45000);
  g_assert_cmpuint (
      ownership_get_record (model->instances[0].ownership)->member_count, ==,
      3);
  model_crash (model, 2);
  model_run (model, 10000);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  assert_no_violation (model);
  model_free (model);
}

/* Guards against an update of the record that is repeated or abandoned because
   the result of the update is lost or the update takes effect late.  */
static void
test_lost_put_results (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      model_t *model = model_new (4, 1, seed);

      model->check_grants = true;
      for (uint32_t i = 0; i < 4; i++)
        model_start (model, i);
      for (int i = 0; i < 200; i++)
        {
          model->lose_put_result = i % 4 != 0;
          model->put_delay_ms = i % 7 == 0 ? 2500 : 0;
          model_run (model, 50);
        }
      model->lose_put_result = false;
      g_assert_cmpint (
          model_run_until_served (model, SLICE_COUNT (model), 10000), >=, 0);
      model_crash (model, 1);
      model->lose_put_result = true;
      g_assert_cmpint (
          model_run_until_served (model, SLICE_COUNT (model), 15000), >=, 0);
      assert_no_violation (model);
      model_free (model);
    }
}

/* Guards against instances that block each other by attempting the same
   takeover.  */
static void
test_competing_takeovers (void)
{
  int64_t longest_ms = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      model_t *model = new_settled_model (9, 2, seed);
      int64_t elapsed_ms;

      model_crash (model, 0);
      model_crash (model, 1);
      model_run (model, 10);
      elapsed_ms = model_run_until_served (model, SLICE_COUNT (model), 20000);
      g_assert_cmpint (elapsed_ms, >=, 0);
      longest_ms = MAX (longest_ms, elapsed_ms);
      assert_no_violation (model);
      model_free (model);
    }
  g_test_message (
      "longest time until all slices were served: %" G_GINT64_FORMAT " ms",
      longest_ms);
  g_assert_cmpint (longest_ms, <, 8000);
}

/* Guards against a member that remains bound by its support for a takeover
   when the takeover has failed and the owner of the slices is reachable again.
   This owner learns of the support and ends it by writing a new version of the
   record.  */
static void
test_rewrite (void)
{
  model_t *model = new_settled_model (3, 1, 13);
  const ownership_t *ownership = model->instances[1].ownership;
  uint64_t version;

  model_pause (model, 0);
  while (!ownership_has_voted_against (
      ownership, model->instances[0].id,
      model->instances[0].ownership->incarnation))
    model_run (model, 1);
  /* The update of the takeover fails, and the owner resumes.  */
  model->store_down = true;
  version = model->version;
  model_run (model, 1500);
  model_resume (model, 0);
  model->store_down = false;
  model_run (model, 4000);
  assert_no_violation (model);
  g_assert_cmpuint (model->version, >, version);
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  g_assert_cmpuint (ownership->voted_against_count, ==, 0);
  model_free (model);
}

/* Guards against grant requests that go to the recorded owner while a delegate
   serves the slice.  */
static void
test_grant_target (void)
{
  model_t *model = new_settled_model (4, 1, 14);

  model->store_down = true;
  model_run (model, 5000);
  ownership_stop (model->instances[0].ownership, model_local_time (model, 0));
  model_run (model, 1500);
  model_crash (model, 0);
  for (uint32_t s = 0; s < DECIDE_SLICES; s++)
    {
      decide_id_t target = ownership_grant_target (
          model->instances[1].ownership, model_local_time (model, 1), 1, s);

      g_assert_cmpuint (target, !=, model->instances[0].id);
      for (uint32_t i = 1; i < 4; i++)
        g_assert_cmpint (ownership_may_grant (model->instances[i].ownership,
                                              model_local_time (model, i), 1,
                                              s, 300),
                         ==, target == model->instances[i].id);
    }
  model_free (model);
}

/* Guards against a data centre that is configured later and is never added to
   the record.  */
static void
test_add_centre (void)
{
  model_t *model = new_settled_model (4, 1, 15);
  uint32_t centre;

  for (uint32_t i = 0; i < 4; i++)
    g_assert_cmpint (ownership_add_centre (model->instances[i].ownership, "b"),
                     ==, 0);
  g_assert_cmpint (ownership_add_centre (model->instances[0].ownership, "b"),
                   ==, -EEXIST);
  model_run (model, 3000);
  centre = ownership_centre_index (model->instances[0].ownership, "b");
  g_assert_cmpuint (centre, ==, 2);
  model->data_centre_count = 2;
  g_assert_cmpuint (model_count_served_slices (model), ==,
                    SLICE_COUNT (model));
  assert_no_violation (model);
  model_free (model);
}

/* Guards against malformed records, whose values would be used as array
   indices.  */
static void
test_malformed_record (void)
{
  model_t *model = new_settled_model (3, 1, 16);
  ownership_t *ownership = model->instances[0].ownership;
  decide_record_t record = *ownership_get_record (ownership);
  clock_ms_t now = model_local_time (model, 0);

  g_assert_cmpint (ownership_adopt_record (ownership, now, &record), ==,
                   -ESTALE);
  record.version++;
  record.member_count = DECIDE_MEMBERS_MAX + 1;
  g_assert_cmpint (ownership_adopt_record (ownership, now, &record), ==,
                   -EINVAL);
  record.member_count = 3;
  record.centre_count = 1;
  g_assert_cmpint (ownership_adopt_record (ownership, now, &record), ==,
                   -EINVAL);
  record.centre_count = 2;
  memset (record.members[1].name, 'x', sizeof record.members[1].name);
  g_assert_cmpint (ownership_adopt_record (ownership, now, &record), ==,
                   -EINVAL);
  record.members[1] = record.members[0];
  g_assert_cmpint (ownership_adopt_record (ownership, now, &record), ==,
                   -EINVAL);
  model_free (model);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership/start", test_start);
  g_test_add_func ("/ownership/crash", test_crash);
  g_test_add_func ("/ownership/pause", test_pause);
  g_test_add_func ("/ownership/long-pause", test_long_pause);
  g_test_add_func ("/ownership/cut", test_partition);
  g_test_add_func ("/ownership/store-down", test_store_down);
  g_test_add_func ("/ownership/restart", test_restart);
  g_test_add_func ("/ownership/replace", test_replace);
  g_test_add_data_func ("/ownership/stop", GINT_TO_POINTER (FALSE), test_stop);
  g_test_add_data_func ("/ownership/stop-store-down", GINT_TO_POINTER (TRUE),
                        test_stop);
  g_test_add_func ("/ownership/stop-several", test_stop_several);
  g_test_add_data_func ("/ownership/stop-all", GINT_TO_POINTER (100),
                        test_stop_all);
  g_test_add_data_func ("/ownership/stop-all-slowly", GINT_TO_POINTER (400),
                        test_stop_all);
  g_test_add_func ("/ownership/stop-paused", test_stop_paused);
  g_test_add_func ("/ownership/refused", test_refused_offer);
  g_test_add_func ("/ownership/join", test_join);
  g_test_add_func ("/ownership/remove", test_remove);
  g_test_add_func ("/ownership/lost-answers", test_lost_put_results);
  g_test_add_func ("/ownership/contenders", test_competing_takeovers);
  g_test_add_func ("/ownership/rewrite", test_rewrite);
  g_test_add_func ("/ownership/target", test_grant_target);
  g_test_add_func ("/ownership/add-centre", test_add_centre);
  g_test_add_func ("/ownership/malformed", test_malformed_record);
  return g_test_run ();
}
