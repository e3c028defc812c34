#include "ownership_model.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Searches for two instances that may grant in one slice: all short
   interleavings of faults from several start states, and long random walks.
   Sanitizer builds search less deep.  */

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define REDUCED 1
#define WALKS 2
#define WALK_EVENTS 500
#else
#define REDUCED 0
#define WALKS 6
#define WALK_EVENTS 1500
#endif
#define DEPTH_MAX 6
/* Long enough for a takeover and the wait that follows it.  */
#define TAIL_MS 5000

typedef enum action
{
  ACTION_PAUSE, /* or resume */
  ACTION_CRASH, /* or start again */
  ACTION_CUT,   /* from all other instances, or heal */
  ACTION_CUT_STORE,
  ACTION_PARTITION, /* alone with the store, the others without it, or heal */
  ACTION_RESTART,
  ACTION_REPLACE,
  ACTION_STOP,
  ACTION_INSTANCE_KINDS,
  ACTION_STORE_DOWN = ACTION_INSTANCE_KINDS, /* or up */
  ACTION_SLOW_READS,                         /* or as usual */
  ACTION_LOSE_PUT,
  ACTION_DELAY_PUT,
  ACTION_KINDS
} action_t;

typedef struct step
{
  action_t action;
  uint32_t instance;
  int64_t run_ms;
} step_t;

typedef struct search
{
  uint32_t depth;
  uint32_t skip; /* bit per action that is left out */
  uint32_t time_count;
  const int64_t *times;
  model_t *models[DEPTH_MAX + 1];
  step_t path[DEPTH_MAX];
  uint64_t steps;
  uint64_t leaves;
} search_t;

static const char *const action_names[]
    = { "pause/resume",   "crash/start", "cut/heal",    "cut/heal store",
        "partition/heal", "restart",     "replace",     "stop",
        "store",          "slow reads",  "lose answer", "delay put" };
/* 0: the next action follows at once.  */
static const int64_t long_times[] = { 0, 2300 };
static const int64_t all_times[] = { 0, 700, 2300 };
static const int64_t short_times[] = { 0, 700 };

#define TIMES(array) .time_count = G_N_ELEMENTS (array), .times = (array)
#define NO_PLANS (1 << ACTION_REPLACE | 1 << ACTION_STOP)

static bool apply (model_t *m, action_t action, uint32_t i);
static bool can_replace (const model_t *m, uint32_t i);
static void report (const search_t *search, uint32_t level, const model_t *m);
static void try_step (search_t *search, uint32_t level, step_t step);
static void explore (search_t *search, uint32_t level);
static void run_search (const char *name, model_t *start, search_t search);
static model_t *settled (uint32_t count);

static bool
can_replace (const model_t *m, uint32_t i)
{
  return m->instances[i].o != NULL && m->count == m->configured;
}

/* Returns false when the action is not possible in this state.  */
static bool
apply (model_t *m, action_t action, uint32_t i)
{
  model_instance_t *instance = &m->instances[i];

  switch (action)
    {
    case ACTION_PAUSE:
      if (instance->o == NULL)
        return false;
      if (instance->paused)
        model_resume (m, i);
      else
        model_pause (m, i);
      return true;
    case ACTION_CRASH:
      if (instance->o == NULL)
        model_start (m, i);
      else
        model_crash (m, i);
      return true;
    case ACTION_CUT:
      model_isolate (m, i, !model_isolated (m, i));
      return true;
    case ACTION_CUT_STORE:
      instance->store_cut = !instance->store_cut;
      return true;
    case ACTION_PARTITION:
      {
        bool cut = !model_isolated (m, i);

        model_isolate (m, i, cut);
        for (uint32_t j = 0; j < m->configured; j++)
          if (j != i)
            m->instances[j].store_cut = cut;
        return true;
      }
    case ACTION_RESTART:
      if (instance->o == NULL)
        return false;
      model_crash (m, i);
      model_start (m, i);
      return true;
    case ACTION_REPLACE:
      return can_replace (m, i) && model_replace (m, i) != UINT32_MAX;
    case ACTION_STOP:
      if (!model_running (m, i) || instance->o->stopping)
        return false;
      ownership_stop (instance->o, model_clock (m, i));
      return true;
    case ACTION_STORE_DOWN:
      m->store_down = !m->store_down;
      return true;
    case ACTION_SLOW_READS:
      m->read_delay = m->read_delay == 0 ? 1800 : 0;
      return true;
    case ACTION_LOSE_PUT:
      if (m->lose_put)
        return false;
      m->lose_put = true;
      return true;
    default:
      if (m->delay_put > 0)
        return false;
      m->delay_put = 2500;
      return true;
    }
}

static void
report (const search_t *search, uint32_t level, const model_t *m)
{
  for (uint32_t i = 0; i <= level; i++)
    g_printerr ("# step %u: %s entry-%u, then %" G_GINT64_FORMAT " ms\n", i,
                action_names[search->path[i].action], search->path[i].instance,
                search->path[i].run_ms);
  g_error ("%s", m->violation);
}

static void
try_step (search_t *search, uint32_t level, step_t step)
{
  model_t *m = search->models[level + 1];
  bool leaf = level + 1 == search->depth;

  model_copy (m, search->models[level]);
  if (!apply (m, step.action, step.instance))
    return;
  search->path[level] = step;
  search->steps++;
  search->leaves += leaf;
  model_run (m, leaf ? TAIL_MS : step.run_ms);
  if (m->violation[0] != '\0')
    report (search, level, m);
  if (!leaf)
    explore (search, level + 1);
}

static void
explore (search_t *search, uint32_t level)
{
  const model_t *m = search->models[level];
  const step_t *last = level > 0 ? &search->path[level - 1] : NULL;

  for (uint32_t a = 0; a < ACTION_KINDS; a++)
    {
      uint32_t targets = a < ACTION_INSTANCE_KINDS ? m->configured : 1;

      if ((search->skip >> a & 1) != 0)
        continue;

      for (uint32_t i = 0; i < targets; i++)
        {
          /* Actions at the same time are tried in one order only.  */
          if (last != NULL && last->run_ms == 0
              && (a < last->action
                  || (a == last->action && i <= last->instance)))
            continue;
          for (uint32_t t = 0; t < search->time_count; t++)
            {
              try_step (search, level, (step_t){ a, i, search->times[t] });
              if (level + 1 == search->depth)
                break;
            }
        }
    }
}

/* Takes over @start.  */
static void
run_search (const char *name, model_t *start, search_t search)
{
  clock_t begin = clock ();

  g_assert_cmpstr (start->violation, ==, "");
  search.depth -= REDUCED;
  search.models[0] = start;
  for (uint32_t i = 1; i <= search.depth; i++)
    search.models[i] = g_new0 (model_t, 1);
  explore (&search, 0);
  g_test_message ("%s: depth %u, %" G_GUINT64_FORMAT
                  " steps, %" G_GUINT64_FORMAT " ends, %.1f s of CPU time",
                  name, search.depth, search.steps, search.leaves,
                  (double)(clock () - begin) / CLOCKS_PER_SEC);
  for (uint32_t i = 0; i <= search.depth; i++)
    model_free (search.models[i]);
}

static model_t *
settled (uint32_t count)
{
  model_t *m = model_new (count, 1, count);

  m->watch_ms = 4;
  for (uint32_t i = 0; i < count; i++)
    model_start (m, i);
  g_assert_cmpint (model_settle (m, 32, 20000), >=, 0);
  model_run (m, 3000);
  return m;
}

/* Guards against a sequence of faults after which two instances may grant in
   one slice.  */
static void
test_settled (void)
{
  run_search ("3 instances", settled (3),
              (search_t){ .depth = 3,
                          .skip = 1 << ACTION_RESTART | 1 << ACTION_SLOW_READS,
                          TIMES (long_times) });
}

/* As above with more members, so that majorities differ more.  */
static void
test_more (void)
{
  run_search ("4 instances", settled (4),
              (search_t){ .depth = 2, TIMES (all_times) });
  run_search ("5 instances", settled (5),
              (search_t){ .depth = 2, TIMES (long_times) });
}

/* As above, beginning with contenders that are about to take over from an
   owner that is paused or cut off.  */
static void
test_takeover (void)
{
  model_t *m = settled (3);

  model_pause (m, 0);
  model_run (m, 2100);
  run_search ("paused owner", m, (search_t){ .depth = 2, TIMES (all_times) });
  m = settled (3);
  model_isolate (m, 0, true);
  m->instances[0].store_cut = true;
  model_run (m, 2300);
  run_search ("cut owner", m, (search_t){ .depth = 2, TIMES (all_times) });
}

/* As above, beginning with an owner that was paused before it read the answers
   to a heartbeat.  */
static void
test_unread (void)
{
  model_t *m = settled (3);
  uint64_t sequence = m->instances[0].o->sequence;

  while (m->instances[0].o->sequence == sequence)
    model_run (m, 1);
  model_pause (m, 0);
  model_run (m, 2400);
  run_search ("unread answers", m,
              (search_t){ .depth = 2, TIMES (all_times) });
}

/* As above, beginning when a takeover has its support, but the update is
   delayed, so that what binds the supporters is still needed.  */
static void
test_supported (void)
{
  model_t *m = settled (3);

  /* Without the store, the other member supports and does not contend.  */
  model_pause (m, 0);
  m->instances[2].store_cut = true;
  m->delay_put = 2500;
  while (m->delay_put > 0)
    model_run (m, 10);
  g_assert_cmpuint (m->instances[2].o->support_count, ==, 1);
  run_search ("supported", m,
              (search_t){ .depth = 3,
                          .skip = NO_PLANS | 1 << ACTION_SLOW_READS,
                          TIMES (short_times) });
}

/* As above, beginning with a member that missed the last version.  */
static void
test_behind (void)
{
  model_t *m = settled (3);

  model_isolate (m, 2, true);
  m->instances[2].store_cut = true;
  m->instances[1].o->rewrite_due = true;
  model_run (m, 1500);
  g_assert_cmpuint (ownership_get_record (m->instances[2].o)->version, <,
                    m->version);
  run_search ("member behind", m,
              (search_t){ .depth = 3,
                          .skip = NO_PLANS | 1 << ACTION_LOSE_PUT
                                  | 1 << ACTION_SLOW_READS,
                          TIMES (long_times) });
}

/* As above, beginning with a handover without the store.  */
static void
test_handover (void)
{
  model_t *m = settled (3);

  m->store_down = true;
  model_run (m, 2500);
  ownership_stop (m->instances[0].o, model_clock (m, 0));
  model_run (m, 360);
  run_search ("handover", m, (search_t){ .depth = 2, TIMES (all_times) });
}

/* As above, beginning with an offer that was accepted, but whose answers are
   lost.  */
static void
test_unanswered (void)
{
  model_t *m = settled (3);

  ownership_stop (m->instances[0].o, model_clock (m, 0));
  m->cut[1][0] = m->cut[2][0] = true;
  model_run (m, 400);
  run_search ("unanswered offer", m,
              (search_t){ .depth = 2, TIMES (all_times) });
}

/* As above, beginning with an old process that goes on while its replacement
   runs.  */
static void
test_replaced (void)
{
  model_t *m = settled (3);

  (void)model_replace (m, 0);
  model_run (m, 300);
  run_search ("replaced", m, (search_t){ .depth = 2, TIMES (all_times) });
}

static void
walk (uint64_t seed)
{
  uint32_t count = 3 + seed % 3;
  uint32_t heal = 2 + seed / 3 % 2;
  model_t *m = model_new (count, 2, seed);
  decide_rng_t rng;

  decide_rng_seed (&rng, ~seed);
  m->check_grants = true;
  m->jitter_ms = 10;
  m->loss = decide_rng_below (&rng, 100);
  m->late = decide_rng_below (&rng, 20);
  for (uint32_t i = 0; i < MODEL_INSTANCES; i++)
    m->instances[i].rate = (int)decide_rng_below (&rng, 201) - 100;
  for (uint32_t i = 0; i < count; i++)
    model_start (m, i);
  for (int e = 0; e < WALK_EVENTS; e++)
    {
      action_t action = decide_rng_below (&rng, ACTION_KINDS);
      uint32_t i = decide_rng_below (&rng, count);

      /* Heals and starts what has failed often, since little happens without a
         majority.  */
      for (uint32_t j = 0; j < count && decide_rng_below (&rng, heal) > 0; j++)
        if (m->instances[j].o == NULL)
          model_start (m, j);
        else if (m->instances[j].paused)
          model_resume (m, j);
        else if (m->instances[j].o->stopping)
          model_crash (m, j);
        else if (model_isolated (m, j))
          model_isolate (m, j, false);
        else
          m->instances[j].store_cut = false;
      if (decide_rng_below (&rng, 2) == 0)
        m->store_down = false;
      if (m->count > m->configured && decide_rng_below (&rng, 4) == 0)
        model_crash (m, --m->count);
      (void)apply (m, action, i);
      model_run (m, decide_rng_below (&rng, 4) == 0
                        ? decide_rng_below (&rng, 6000)
                        : decide_rng_below (&rng, 800));
      if (m->violation[0] != '\0')
        g_error ("seed %" G_GUINT64_FORMAT ", event %d: %s", seed, e,
                 m->violation);
    }
  model_free (m);
}

/* Guards against violations that need longer sequences, message loss, or
   late messages.  The last seed differs between runs.  */
static void
test_walk (void)
{
  clock_t begin = clock ();

  for (uint64_t i = 0; i < WALKS; i++)
    walk (i);
  for (uint64_t i = 0; i < WALKS; i++)
    {
      uint64_t seed = (uint32_t)g_test_rand_int ();

      g_test_message ("seed %" G_GUINT64_FORMAT, seed);
      walk (seed);
    }
  g_test_message ("%d walks of %d events, %.1f s of CPU time", 2 * WALKS,
                  WALK_EVENTS, (double)(clock () - begin) / CLOCKS_PER_SEC);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership-search/settled", test_settled);
  g_test_add_func ("/ownership-search/more", test_more);
  g_test_add_func ("/ownership-search/takeover", test_takeover);
  g_test_add_func ("/ownership-search/unread", test_unread);
  g_test_add_func ("/ownership-search/supported", test_supported);
  g_test_add_func ("/ownership-search/behind", test_behind);
  g_test_add_func ("/ownership-search/handover", test_handover);
  g_test_add_func ("/ownership-search/unanswered", test_unanswered);
  g_test_add_func ("/ownership-search/replaced", test_replaced);
  g_test_add_func ("/ownership-search/walk", test_walk);
  return g_test_run ();
}
