#include "ownership_model.h"

#include <errno.h>
#include <string.h>

#define SERVED(m) (16 * (1 + (m)->data_centres))

static void assert_safe (const model_t *m);
static model_t *settled (uint32_t count, uint32_t data_centres, uint64_t seed);

static void
assert_safe (const model_t *m)
{
  g_assert_cmpstr (m->violation, ==, "");
}

static model_t *
settled (uint32_t count, uint32_t data_centres, uint64_t seed)
{
  model_t *m = model_new (count, data_centres, seed);

  m->check_grants = true;
  for (uint32_t i = 0; i < count; i++)
    model_start (m, i);
  g_assert_cmpint (model_settle (m, SERVED (m), 20000), >=, 0);
  model_run (m, 4000);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  assert_safe (m);
  return m;
}

/* Guards against instances that keep each other from claiming their entries
   when all start at once.  */
static void
test_start (void)
{
  int64_t longest = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      model_t *m = model_new (12, 2, seed);
      int64_t took;

      m->check_grants = true;
      m->jitter_ms = 5;
      for (uint32_t i = 0; i < 12; i++)
        model_start (m, i);
      took = model_settle (m, SERVED (m), 10000);
      assert_safe (m);
      g_test_message ("seed %" G_GUINT64_FORMAT ": %" G_GINT64_FORMAT
                      " ms, %u updates, %u conflicts",
                      seed, took, m->puts, m->conflicts);
      g_assert_cmpint (took, >=, 0);
      longest = MAX (longest, took);
      model_free (m);
    }
  g_test_message ("longest %" G_GINT64_FORMAT " ms", longest);
  g_assert_cmpint (longest, <=, 3000);
}

/* Guards against slices that stay without an owner after a crash.  */
static void
test_crash (void)
{
  model_t *m = settled (5, 1, 1);
  int64_t took;

  model_crash (m, 2);
  model_run (m, 10);
  g_assert_cmpuint (model_served (m), <, SERVED (m));
  took = model_settle (m, SERVED (m), 20000);
  assert_safe (m);
  g_test_message ("served again after %" G_GINT64_FORMAT " ms", took);
  g_assert_cmpint (took, >, 2 * DECIDE_OWNERSHIP_LEASE_MS);
  g_assert_cmpint (took, <, 6500);
  model_free (m);
}

/* Guards against an owner that grants after a pause in which its slices were
   taken over, or does not return to service.  */
static void
test_pause (void)
{
  model_t *m = settled (5, 1, 2);

  model_pause (m, 1);
  model_run (m, 10000);
  assert_safe (m);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  model_resume (m, 1);
  model_run (m, 20000);
  assert_safe (m);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  g_assert_cmpuint (model_owned (m, 1), >, 0);
  model_free (m);
}

/* Guards against a member that was removed during a long pause and does not
   join again.  */
static void
test_long_pause (void)
{
  model_t *m = settled (5, 1, 3);

  model_pause (m, 1);
  model_run (m, 60000);
  g_assert_cmpuint (ownership_get_record (m->instances[0].o)->member_count, ==,
                    4);
  model_resume (m, 1);
  model_run (m, 30000);
  assert_safe (m);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  g_assert_cmpuint (ownership_get_record (m->instances[0].o)->member_count, ==,
                    5);
  g_assert_cmpuint (model_owned (m, 1), >, 0);
  model_free (m);
}

/* Guards against a takeover from an owner that only some cannot hear, and
   against a lease that ends while the store confirms it.  */
static void
test_cut (void)
{
  model_t *m = settled (5, 1, 4);

  m->cut[0][1] = m->cut[1][0] = true;
  for (int i = 0; i < 100; i++)
    {
      model_run (m, 100);
      g_assert_cmpuint (model_served (m), ==, SERVED (m));
    }
  assert_safe (m);
  m->cut[0][1] = m->cut[1][0] = false;
  model_isolate (m, 3, true);
  model_run (m, 10000);
  assert_safe (m);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  /* It still reads the record, so it knows that it lost its slices.  */
  g_assert_cmpuint (model_owned (m, 3), ==, 0);
  model_isolate (m, 3, false);
  model_run (m, 20000);
  assert_safe (m);
  g_assert_cmpuint (model_owned (m, 3), >, 0);
  model_free (m);
}

/* Guards against owners that need the store to go on, and against a takeover
   without it.  */
static void
test_store_down (void)
{
  model_t *m = settled (5, 1, 5);
  uint32_t lost;

  m->store_down = true;
  for (int i = 0; i < 600; i++)
    {
      model_run (m, 100);
      g_assert_cmpuint (model_served (m), ==, SERVED (m));
    }
  lost = model_owned (m, 4);
  model_crash (m, 4);
  model_run (m, 20000);
  g_assert_cmpuint (model_served (m), ==, SERVED (m) - lost);
  /* A new process serves nothing before the store returns.  */
  model_start (m, 4);
  model_run (m, 10000);
  g_assert_cmpuint (model_served (m), ==, SERVED (m) - lost);
  m->store_down = false;
  g_assert_cmpint (model_settle (m, SERVED (m), 10000), >=, 0);
  model_run (m, 20000);
  assert_safe (m);
  g_assert_cmpuint (model_owned (m, 4), >, 0);
  model_free (m);
}

/* Guards against a new process of a name that uses slices of the old one
   without a takeover, and against one that never gets slices.  */
static void
test_restart (void)
{
  model_t *m = settled (5, 1, 6);

  model_crash (m, 0);
  model_run (m, 100);
  model_start (m, 0);
  model_run (m, 1000);
  g_assert_cmpuint (model_owned (m, 0), ==, 0);
  g_assert_cmpint (model_settle (m, SERVED (m), 10000), >=, 0);
  model_run (m, 20000);
  assert_safe (m);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  g_assert_cmpuint (model_owned (m, 0), >, 0);
  model_free (m);
}

/* Guards against an old process that goes on while its replacement runs.  */
static void
test_replace (void)
{
  model_t *m = settled (5, 1, 7);
  uint32_t old = model_replace (m, 0);

  model_run (m, 10000);
  assert_safe (m);
  model_crash (m, old);
  g_assert_cmpint (model_settle (m, SERVED (m), 10000), >=, 0);
  assert_safe (m);
  model_free (m);
}

/* Guards against a planned stop that leaves slices unserved, takes long, or
   waits for the store.  */
static void
test_stop (gconstpointer store_down)
{
  model_t *m = settled (5, 1, 8);
  int64_t start;
  uint32_t least = SERVED (m);

  m->store_down = GPOINTER_TO_INT (store_down);
  model_run (m, 5000);
  ownership_stop (m->instances[0].o, model_clock (m, 0));
  start = m->now;
  while (!ownership_has_stopped (m->instances[0].o, model_clock (m, 0)))
    {
      model_run (m, 1);
      least = MIN (least, model_served (m));
      g_assert_cmpint (m->now - start, <, 3000);
    }
  g_test_message ("stopped after %" G_GINT64_FORMAT
                  " ms, at least %u slices served",
                  m->now - start, least);
  model_crash (m, 0);
  for (int i = 0; i < 1000; i++)
    {
      model_run (m, 10);
      g_assert_cmpuint (model_served (m), ==, SERVED (m));
    }
  assert_safe (m);
  m->store_down = false;
  model_run (m, 10000);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  g_assert_cmpuint (m->instances[0].changes[OWNERSHIP_LOST], >, 0);
  assert_safe (m);
  /* The delegates end up in the record.  */
  for (uint32_t i = 1; i < 5; i++)
    for (uint32_t c = 0; c < 2; c++)
      for (uint32_t s = 0; s < DECIDE_SLICES; s++)
        g_assert_false (m->instances[i].o->slices[c][s].delegate);
  model_free (m);
}

/* Guards against instances that stop at the same time and hand over to each
   other.  */
static void
test_stop_several (void)
{
  model_t *m = settled (6, 2, 9);

  m->store_down = true;
  model_run (m, 5000);
  for (uint32_t i = 0; i < 6; i += 2)
    {
      ownership_stop (m->instances[i].o, model_clock (m, i));
      model_run (m, 60);
    }
  model_run (m, 2000);
  for (uint32_t i = 0; i < 6; i += 2)
    {
      g_assert_true (
          ownership_has_stopped (m->instances[i].o, model_clock (m, i)));
    }
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  assert_safe (m);
  model_free (m);
}

/* Slices that an instance would still hand over or serve for another one.  */
static uint32_t
unfinished (const ownership_t *o)
{
  uint32_t count = 0;

  for (uint32_t c = 0; c < o->record.centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      count += o->slices[c][s].delegate
               || (o->slices[c][s].offered && !o->slices[c][s].acked);
  return count;
}

/* Guards against instances that wait for a successor when all others have
   announced that they leave, and against one that takes slices away while
   the last of them still serves callers.  */
static void
test_stop_all (gconstpointer gap)
{
  model_t *m = settled (6, 2, 11);
  uint32_t held = 0;
  int64_t last;

  m->store_down = true;
  model_run (m, 5000);
  for (uint32_t i = 0; i < 6; i++)
    {
      if (i > 0)
        model_run (m, GPOINTER_TO_INT (gap));
      ownership_stop (m->instances[i].o, model_clock (m, i));
    }
  last = m->now;
  while (m->now < last + DECIDE_ADDRESS_TTL_MS)
    {
      for (uint32_t i = 0; i < 6; i++)
        {
          const ownership_t *o = m->instances[i].o;

          held += unfinished (o);
          g_assert_true (unfinished (o) == 0
                         || !ownership_has_stopped (o, model_clock (m, i)));
        }
      model_run (m, 20);
    }
  g_assert_cmpuint (held, >, 0);
  model_run (m, 1000);
  for (uint32_t i = 0; i < 6; i++)
    g_assert_true (
        ownership_has_stopped (m->instances[i].o, model_clock (m, i)));
  assert_safe (m);
  model_free (m);
}

/* Guards against an instance that leaves before a member that was paused can
   take its slices.  */
static void
test_stop_paused (void)
{
  model_t *m = settled (3, 1, 12);

  m->store_down = true;
  model_run (m, 5000);
  for (uint32_t i = 0; i < 2; i++)
    {
      ownership_stop (m->instances[i].o, model_clock (m, i));
      model_run (m, 400);
    }
  m->instances[2].paused = true;
  model_run (m, 6000);
  g_assert_cmpuint (
      unfinished (m->instances[0].o) + unfinished (m->instances[1].o), >, 0);
  for (uint32_t i = 0; i < 2; i++)
    g_assert_true (
        unfinished (m->instances[i].o) == 0
        || !ownership_has_stopped (m->instances[i].o, model_clock (m, i)));
  model_free (m);
}

/* Guards against a slice without a successor when the one that it was offered
   to stops before the offer arrives.  */
static void
test_refused (void)
{
  model_t *m = settled (5, 1, 10);
  uint32_t unanswered = 0;

  m->store_down = true;
  model_run (m, 5000);
  ownership_stop (m->instances[0].o, model_clock (m, 0));
  for (int i = 0; i < 1000 && unanswered == 0; i++)
    {
      model_run (m, 1);
      for (uint32_t s = 0; s < 2 * DECIDE_SLICES; s++)
        {
          const ownership_slice_t *slice
              = &m->instances[0]
                     .o->slices[s / DECIDE_SLICES][s % DECIDE_SLICES];

          unanswered += slice->offered && !slice->acked
                        && slice->target == m->instances[1].id;
        }
    }
  g_assert_cmpuint (unanswered, >, 0);
  ownership_stop (m->instances[1].o, model_clock (m, 1));
  model_run (m, 3000);
  g_assert_true (
      ownership_has_stopped (m->instances[0].o, model_clock (m, 0)));
  g_assert_true (
      ownership_has_stopped (m->instances[1].o, model_clock (m, 1)));
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  assert_safe (m);
  model_free (m);
}

/* Guards against a joined member that gets no slices.  */
static void
test_join (void)
{
  model_t *m = settled (4, 1, 11);
  uint32_t i = model_join (m);

  model_run (m, 30000);
  assert_safe (m);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  g_assert_cmpuint (ownership_get_record (m->instances[0].o)->member_count, ==,
                    5);
  g_assert_cmpuint (model_owned (m, i), >=, 4);
  model_free (m);
}

/* Guards against members that stay in the record when they are gone, which
   would make the majority unreachable after further failures.  */
static void
test_remove (void)
{
  model_t *m = settled (5, 1, 12);

  model_crash (m, 4);
  model_run (m, 45000);
  model_crash (m, 3);
  model_run (m, 45000);
  g_assert_cmpuint (ownership_get_record (m->instances[0].o)->member_count, ==,
                    3);
  model_crash (m, 2);
  model_run (m, 10000);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  assert_safe (m);
  model_free (m);
}

/* Guards against an update that is repeated or given up when its answer is
   lost or it takes effect late.  */
static void
test_lost_answers (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      model_t *m = model_new (4, 1, seed);

      m->check_grants = true;
      for (uint32_t i = 0; i < 4; i++)
        model_start (m, i);
      for (int i = 0; i < 200; i++)
        {
          m->lose_put = i % 4 != 0;
          m->delay_put = i % 7 == 0 ? 2500 : 0;
          model_run (m, 50);
        }
      m->lose_put = false;
      g_assert_cmpint (model_settle (m, SERVED (m), 10000), >=, 0);
      model_crash (m, 1);
      m->lose_put = true;
      g_assert_cmpint (model_settle (m, SERVED (m), 15000), >=, 0);
      assert_safe (m);
      model_free (m);
    }
}

/* Guards against contenders for the same takeover that block each other.  */
static void
test_contenders (void)
{
  int64_t longest = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      model_t *m = settled (9, 2, seed);
      int64_t took;

      model_crash (m, 0);
      model_crash (m, 1);
      model_run (m, 10);
      took = model_settle (m, SERVED (m), 20000);
      g_assert_cmpint (took, >=, 0);
      longest = MAX (longest, took);
      assert_safe (m);
      model_free (m);
    }
  g_test_message ("longest %" G_GINT64_FORMAT " ms", longest);
  g_assert_cmpint (longest, <, 8000);
}

/* Guards against support that stays in force against an owner that is heard
   again: it tells the owner, which makes it void by a rewrite.  */
static void
test_rewrite (void)
{
  model_t *m = settled (3, 1, 13);
  const ownership_t *o = m->instances[1].o;
  uint64_t version;

  model_pause (m, 0);
  while (!ownership_has_supported (o, m->instances[0].id,
                                   m->instances[0].o->incarnation))
    model_run (m, 1);
  /* The update fails, the owner returns.  */
  m->store_down = true;
  version = m->version;
  model_run (m, 1500);
  model_resume (m, 0);
  m->store_down = false;
  model_run (m, 4000);
  assert_safe (m);
  g_assert_cmpuint (m->version, >, version);
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  g_assert_cmpuint (o->support_count, ==, 0);
  model_free (m);
}

/* Guards against requests for grants that go to the recorded owner while a
   delegate serves.  */
static void
test_target (void)
{
  model_t *m = settled (4, 1, 14);

  m->store_down = true;
  model_run (m, 5000);
  ownership_stop (m->instances[0].o, model_clock (m, 0));
  model_run (m, 1500);
  model_crash (m, 0);
  for (uint32_t s = 0; s < DECIDE_SLICES; s++)
    {
      decide_id_t target = ownership_grant_target (m->instances[1].o,
                                                   model_clock (m, 1), 1, s);

      g_assert_cmpuint (target, !=, m->instances[0].id);
      for (uint32_t i = 1; i < 4; i++)
        g_assert_cmpint (ownership_may_grant (m->instances[i].o,
                                              model_clock (m, i), 1, s, 300),
                         ==, target == m->instances[i].id);
    }
  model_free (m);
}

/* Guards against a data centre that is configured later and never gets into
   the record.  */
static void
test_add_centre (void)
{
  model_t *m = settled (4, 1, 15);
  uint32_t centre;

  for (uint32_t i = 0; i < 4; i++)
    g_assert_cmpint (ownership_add_centre (m->instances[i].o, "b"), ==, 0);
  g_assert_cmpint (ownership_add_centre (m->instances[0].o, "b"), ==, -EEXIST);
  model_run (m, 3000);
  centre = ownership_centre_index (m->instances[0].o, "b");
  g_assert_cmpuint (centre, ==, 2);
  m->data_centres = 2;
  g_assert_cmpuint (model_served (m), ==, SERVED (m));
  assert_safe (m);
  model_free (m);
}

/* Guards against malformed records, which would be used as indices.  */
static void
test_malformed (void)
{
  model_t *m = settled (3, 1, 16);
  ownership_t *o = m->instances[0].o;
  decide_record_t record = *ownership_get_record (o);
  clock_ms_t now = model_clock (m, 0);

  g_assert_cmpint (ownership_adopt_record (o, now, &record), ==, -ESTALE);
  record.version++;
  record.member_count = DECIDE_MEMBERS_MAX + 1;
  g_assert_cmpint (ownership_adopt_record (o, now, &record), ==, -EINVAL);
  record.member_count = 3;
  record.centre_count = 1;
  g_assert_cmpint (ownership_adopt_record (o, now, &record), ==, -EINVAL);
  record.centre_count = 2;
  memset (record.members[1].name, 'x', sizeof record.members[1].name);
  g_assert_cmpint (ownership_adopt_record (o, now, &record), ==, -EINVAL);
  record.members[1] = record.members[0];
  g_assert_cmpint (ownership_adopt_record (o, now, &record), ==, -EINVAL);
  model_free (m);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership/start", test_start);
  g_test_add_func ("/ownership/crash", test_crash);
  g_test_add_func ("/ownership/pause", test_pause);
  g_test_add_func ("/ownership/long-pause", test_long_pause);
  g_test_add_func ("/ownership/cut", test_cut);
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
  g_test_add_func ("/ownership/refused", test_refused);
  g_test_add_func ("/ownership/join", test_join);
  g_test_add_func ("/ownership/remove", test_remove);
  g_test_add_func ("/ownership/lost-answers", test_lost_answers);
  g_test_add_func ("/ownership/contenders", test_contenders);
  g_test_add_func ("/ownership/rewrite", test_rewrite);
  g_test_add_func ("/ownership/target", test_target);
  g_test_add_func ("/ownership/add-centre", test_add_centre);
  g_test_add_func ("/ownership/malformed", test_malformed);
  return g_test_run ();
}
