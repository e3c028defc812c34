#include "ownership_model.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Searches for sequences of faults after which two instances may grant in the
   same slice: exhaustively for short sequences from several initial states,
   and by long random walks.  Sanitizer builds search less deep.  */

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define DEPTH_REDUCTION 1
#define WALK_COUNT 2
#define WALK_EVENTS 500
#else
#define DEPTH_REDUCTION 0
#define WALK_COUNT 6
#define WALK_EVENTS 1500
#endif
#define DEPTH_MAX 6
/* Time to run after the last action of a sequence, long enough for a takeover
   and the wait that follows it.  */
#define FINAL_RUN_MS 5000

typedef enum action
{
  ACTION_PAUSE,           /* or resume */
  ACTION_CRASH,           /* or start again */
  ACTION_ISOLATE,         /* from all other instances, or heal */
  ACTION_STORE_LINK_DOWN, /* or up */
  ACTION_PARTITION, /* isolated with the store, the others lose it; or heal */
  ACTION_RESTART,
  ACTION_REPLACE,
  ACTION_STOP,
  ACTION_INSTANCE_COUNT,
  ACTION_STORE_DOWN = ACTION_INSTANCE_COUNT, /* or up */
  ACTION_SLOW_READS,                         /* or as usual */
  ACTION_LOSE_PUT_RESULT,
  ACTION_DELAY_PUT,
  ACTION_COUNT
} action_t;

typedef struct step
{
  action_t action;
  uint32_t instance;
  int64_t run_ms; /* time until the next step; 0: at the same time */
} step_t;

typedef struct search
{
  uint32_t depth;
  uint32_t excluded_actions; /* bitmap of action_t */
  uint32_t delay_count;
  const int64_t *delays_ms;       /* values of run_ms to try */
  model_t *models[DEPTH_MAX + 1]; /* state before each step of the path */
  step_t path[DEPTH_MAX];
  uint64_t step_count;
  uint64_t leaf_count;
} search_t;

static const char *const action_names[] = {
  "pause/resume",   "crash/start", "cut/heal",        "cut/heal store link",
  "partition/heal", "restart",     "replace",         "stop",
  "store",          "slow reads",  "lose put result", "delay put"
};
/* Times between two actions; 0: both happen at the same time.  */
static const int64_t long_delays_ms[] = { 0, 2300 };
static const int64_t all_delays_ms[] = { 0, 700, 2300 };
static const int64_t short_delays_ms[] = { 0, 700 };

#define DELAYS(array) .delay_count = G_N_ELEMENTS (array), .delays_ms = (array)
#define OPERATOR_ACTIONS (1 << ACTION_REPLACE | 1 << ACTION_STOP)

static bool apply_action (model_t *m, action_t action, uint32_t i);
static bool can_replace (const model_t *m, uint32_t i);
static void report_violation (const search_t *search, uint32_t level,
                              const model_t *m);
static void try_step (search_t *search, uint32_t level, step_t step);
static void search_from (search_t *search, uint32_t level);
static void run_search (const char *name, model_t *start, search_t search);
static model_t *new_settled_model (uint32_t count);

static bool
can_replace (const model_t *m, uint32_t i)
{
  return m->instances[i].ownership != NULL
         && m->instance_count == m->configured_count;
}

/* Returns false if the action is not possible in the current state.  */
static bool
apply_action (model_t *m, action_t action, uint32_t i)
{
  model_instance_t *instance = &m->instances[i];

  switch (action)
    {
    case ACTION_PAUSE:
      if (instance->ownership == NULL)
        return false;
      if (instance->paused)
        model_resume (m, i);
      else
        model_pause (m, i);
      return true;
    case ACTION_CRASH:
      if (instance->ownership == NULL)
        model_start (m, i);
      else
        model_crash (m, i);
      return true;
    case ACTION_ISOLATE:
      model_isolate (m, i, !model_is_isolated (m, i));
      return true;
    case ACTION_STORE_LINK_DOWN:
      instance->store_link_down = !instance->store_link_down;
      return true;
    case ACTION_PARTITION:
      {
        bool isolated = !model_is_isolated (m, i);

        model_isolate (m, i, isolated);
        for (uint32_t j = 0; j < m->configured_count; j++)
          if (j != i)
            m->instances[j].store_link_down = isolated;
        return true;
      }
    case ACTION_RESTART:
      if (instance->ownership == NULL)
        return false;
      model_crash (m, i);
      model_start (m, i);
      return true;
    case ACTION_REPLACE:
      return can_replace (m, i) && model_replace (m, i) != UINT32_MAX;
    case ACTION_STOP:
      if (!model_is_running (m, i) || instance->ownership->stopping)
        return false;
      ownership_stop (instance->ownership, model_local_time (m, i));
      return true;
    case ACTION_STORE_DOWN:
      m->store_down = !m->store_down;
      return true;
    case ACTION_SLOW_READS:
      m->read_delay_ms = m->read_delay_ms == 0 ? 1800 : 0;
      return true;
    case ACTION_LOSE_PUT_RESULT:
      if (m->lose_put_result)
        return false;
      m->lose_put_result = true;
      return true;
    default:
      if (m->put_delay_ms > 0)
        return false;
      m->put_delay_ms = 2500;
      return true;
    }
}

static void
report_violation (const search_t *search, uint32_t level, const model_t *m)
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
  bool is_leaf = level + 1 == search->depth;

  model_copy (m, search->models[level]);
  if (!apply_action (m, step.action, step.instance))
    return;
  search->path[level] = step;
  search->step_count++;
  search->leaf_count += is_leaf;
  model_run (m, is_leaf ? FINAL_RUN_MS : step.run_ms);
  if (m->violation[0] != '\0')
    report_violation (search, level, m);
  if (!is_leaf)
    search_from (search, level + 1);
}

/* Depth-first search over all steps from the state models[level].  */
static void
search_from (search_t *search, uint32_t level)
{
  const model_t *m = search->models[level];
  const step_t *previous = level > 0 ? &search->path[level - 1] : NULL;

  for (uint32_t a = 0; a < ACTION_COUNT; a++)
    {
      uint32_t targets = a < ACTION_INSTANCE_COUNT ? m->configured_count : 1;

      if ((search->excluded_actions >> a & 1) != 0)
        continue;

      for (uint32_t i = 0; i < targets; i++)
        {
          /* Actions at the same time are tried in one order only.  */
          if (previous != NULL && previous->run_ms == 0
              && (a < previous->action
                  || (a == previous->action && i <= previous->instance)))
            continue;
          for (uint32_t t = 0; t < search->delay_count; t++)
            {
              try_step (search, level, (step_t){ a, i, search->delays_ms[t] });
              if (level + 1 == search->depth)
                break;
            }
        }
    }
}

/* Searches exhaustively from the state @start, which it frees.  */
static void
run_search (const char *name, model_t *start, search_t search)
{
  clock_t cpu_start = clock ();

  g_assert_cmpstr (start->violation, ==, "");
  search.depth -= DEPTH_REDUCTION;
  search.models[0] = start;
  for (uint32_t i = 1; i <= search.depth; i++)
    search.models[i] = g_new0 (model_t, 1);
  search_from (&search, 0);
  g_test_message ("%s: depth %u, %" G_GUINT64_FORMAT
                  " steps, %" G_GUINT64_FORMAT
                  " sequences, %.1f s of CPU time",
                  name, search.depth, search.step_count, search.leaf_count,
                  (double)(clock () - cpu_start) / CLOCKS_PER_SEC);
  for (uint32_t i = 0; i <= search.depth; i++)
    model_free (search.models[i]);
}

/* Creates a model in a steady state: all instances run, all 32 slices are
   served.  */
static model_t *
new_settled_model (uint32_t count)
{
  model_t *m = model_new (count, 1, count);

  m->check_interval_ms = 4;
  for (uint32_t i = 0; i < count; i++)
    model_start (m, i);
  g_assert_cmpint (model_run_until_served (m, 32, 20000), >=, 0);
  model_run (m, 3000);
  return m;
}

/* Guards against a sequence of faults after which two instances may grant in
   the same slice, starting from a steady state.  */
static void
test_settled (void)
{
  run_search ("3 instances", new_settled_model (3),
              (search_t){ .depth = 3,
                          .excluded_actions
                          = 1 << ACTION_RESTART | 1 << ACTION_SLOW_READS,
                          DELAYS (long_delays_ms) });
}

/* The same with more members, so that two majorities can differ in more
   members.  */
static void
test_more_instances (void)
{
  run_search ("4 instances", new_settled_model (4),
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
  run_search ("5 instances", new_settled_model (5),
              (search_t){ .depth = 2, DELAYS (long_delays_ms) });
}

/* The same, starting when several members are about to take over from an owner
   that is paused or isolated.  */
static void
test_takeover (void)
{
  model_t *m = new_settled_model (3);

  model_pause (m, 0);
  model_run (m, 2100);
  run_search ("paused owner", m,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
  m = new_settled_model (3);
  model_isolate (m, 0, true);
  m->instances[0].store_link_down = true;
  model_run (m, 2300);
  run_search ("isolated owner", m,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* The same, starting with an owner that was paused before it read the
   acknowledgements of a heartbeat.  */
static void
test_unread_responses (void)
{
  model_t *m = new_settled_model (3);
  uint64_t sequence = m->instances[0].ownership->sequence;

  while (m->instances[0].ownership->sequence == sequence)
    model_run (m, 1);
  model_pause (m, 0);
  model_run (m, 2400);
  run_search ("unread responses", m,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* The same, starting when a majority supports a takeover, but its update is
   delayed, so that the supporters must still be bound by their support.  */
static void
test_supported_takeover (void)
{
  model_t *m = new_settled_model (3);

  /* Instance 2 has no access to the store, so it supports the takeover and
     attempts none itself.  */
  model_pause (m, 0);
  m->instances[2].store_link_down = true;
  m->put_delay_ms = 2500;
  while (m->put_delay_ms > 0)
    model_run (m, 10);
  g_assert_cmpuint (m->instances[2].ownership->voted_against_count, ==, 1);
  run_search ("supported", m,
              (search_t){ .depth = 3,
                          .excluded_actions
                          = OPERATOR_ACTIONS | 1 << ACTION_SLOW_READS,
                          DELAYS (short_delays_ms) });
}

/* The same, starting with a member that has not received the latest version of
   the record.  */
static void
test_member_behind (void)
{
  model_t *m = new_settled_model (3);

  model_isolate (m, 2, true);
  m->instances[2].store_link_down = true;
  m->instances[1].ownership->rewrite_due = true;
  model_run (m, 1500);
  g_assert_cmpuint (ownership_get_record (m->instances[2].ownership)->version,
                    <, m->version);
  run_search ("member behind", m,
              (search_t){ .depth = 3,
                          .excluded_actions = OPERATOR_ACTIONS
                                              | 1 << ACTION_LOSE_PUT_RESULT
                                              | 1 << ACTION_SLOW_READS,
                          DELAYS (long_delays_ms) });
}

/* The same, starting with a handover during an outage of the store.  */
static void
test_handover (void)
{
  model_t *m = new_settled_model (3);

  m->store_down = true;
  model_run (m, 2500);
  ownership_stop (m->instances[0].ownership, model_local_time (m, 0));
  model_run (m, 360);
  run_search ("handover", m, (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* The same, starting with handovers that were accepted, but whose
   acknowledgements are lost.  */
static void
test_unanswered_offer (void)
{
  model_t *m = new_settled_model (3);

  ownership_stop (m->instances[0].ownership, model_local_time (m, 0));
  m->link_down[1][0] = m->link_down[2][0] = true;
  model_run (m, 400);
  run_search ("unanswered offer", m,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* The same, starting with an old process that runs on beside a new process of
   its instance.  */
static void
test_replaced_process (void)
{
  model_t *m = new_settled_model (3);

  (void)model_replace (m, 0);
  model_run (m, 300);
  run_search ("replaced", m, (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* Applies WALK_EVENTS random actions, with message loss and late messages.  */
static void
random_walk (uint64_t seed)
{
  uint32_t count = 3 + seed % 3;
  uint32_t repair_odds = 2 + seed / 3 % 2;
  model_t *m = model_new (count, 2, seed);
  decide_rng_t rng;

  decide_rng_seed (&rng, ~seed);
  m->check_grants = true;
  m->jitter_ms = 10;
  m->loss_per_1000 = decide_rng_below (&rng, 100);
  m->late_per_1000 = decide_rng_below (&rng, 20);
  for (uint32_t i = 0; i < MODEL_INSTANCES_MAX; i++)
    m->instances[i].clock_drift = (int)decide_rng_below (&rng, 201) - 100;
  for (uint32_t i = 0; i < count; i++)
    model_start (m, i);
  for (int e = 0; e < WALK_EVENTS; e++)
    {
      action_t action = decide_rng_below (&rng, ACTION_COUNT);
      uint32_t i = decide_rng_below (&rng, count);

      /* Often restarts and reconnects failed instances, since little happens
         without a majority.  */
      for (uint32_t j = 0;
           j < count && decide_rng_below (&rng, repair_odds) > 0; j++)
        if (m->instances[j].ownership == NULL)
          model_start (m, j);
        else if (m->instances[j].paused)
          model_resume (m, j);
        else if (m->instances[j].ownership->stopping)
          model_crash (m, j);
        else if (model_is_isolated (m, j))
          model_isolate (m, j, false);
        else
          m->instances[j].store_link_down = false;
      if (decide_rng_below (&rng, 2) == 0)
        m->store_down = false;
      if (m->instance_count > m->configured_count
          && decide_rng_below (&rng, 4) == 0)
        model_crash (m, --m->instance_count);
      (void)apply_action (m, action, i);
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
   late messages.  Half of the seeds differ between runs.  */
static void
test_random_walks (void)
{
  clock_t cpu_start = clock ();

  for (uint64_t i = 0; i < WALK_COUNT; i++)
    random_walk (i);
  for (uint64_t i = 0; i < WALK_COUNT; i++)
    {
      uint64_t seed = (uint32_t)g_test_rand_int ();

      g_test_message ("seed %" G_GUINT64_FORMAT, seed);
      random_walk (seed);
    }
  g_test_message ("%d walks of %d events, %.1f s of CPU time", 2 * WALK_COUNT,
                  WALK_EVENTS,
                  (double)(clock () - cpu_start) / CLOCKS_PER_SEC);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership-search/settled", test_settled);
  g_test_add_func ("/ownership-search/more", test_more_instances);
  g_test_add_func ("/ownership-search/takeover", test_takeover);
  g_test_add_func ("/ownership-search/unread", test_unread_responses);
  g_test_add_func ("/ownership-search/supported", test_supported_takeover);
  g_test_add_func ("/ownership-search/behind", test_member_behind);
  g_test_add_func ("/ownership-search/handover", test_handover);
  g_test_add_func ("/ownership-search/unanswered", test_unanswered_offer);
  g_test_add_func ("/ownership-search/replaced", test_replaced_process);
  g_test_add_func ("/ownership-search/walk", test_random_walks);
  return g_test_run ();
}
