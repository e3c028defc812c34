#include "ownership_model.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Searches for sequences of faults after which two instances may grant in the
   same slice: exhaustively for short sequences from several initial states,
   and by long random walks.  Sanitizer builds, which are slower, search less
   deep.  */

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
  ACTION_PAUSE,   /* pause the process, or resume it */
  ACTION_CRASH,   /* crash the process, or start one */
  ACTION_ISOLATE, /* isolate the instance from all others, or reconnect
                     it */
  /* Take down the instance's link to the store, or bring it up.  */
  ACTION_STORE_LINK_DOWN,
  /* Isolate the instance from all others and take down the others' links to
     the store, or undo both.  */
  ACTION_PARTITION,
  ACTION_RESTART, /* crash and start again at once */
  ACTION_REPLACE, /* start a new process beside the old one */
  ACTION_STOP,    /* begin the graceful shutdown */
  /* Number of the actions above, which are on one instance; the actions below
     are on the store.  */
  ACTION_INSTANCE_COUNT,
  /* Begin an outage of the store, or end it.  */
  ACTION_STORE_DOWN = ACTION_INSTANCE_COUNT,
  ACTION_SLOW_READS,      /* begin or end delaying read results */
  ACTION_LOSE_PUT_RESULT, /* lose the result of the next put */
  ACTION_DELAY_PUT,       /* delay the next put */
  ACTION_COUNT
} action_t;

typedef struct step
{
  action_t action;
  uint32_t instance;
  int64_t run_ms; /* time until the next step; 0: both at once */
} step_t;

typedef struct search
{
  uint32_t depth;                 /* number of steps in each sequence */
  uint32_t excluded_actions;      /* bitmap of action_t */
  uint32_t delay_count;           /* number of @delays_ms */
  const int64_t *delays_ms;       /* values of @run_ms to try in each step */
  model_t *models[DEPTH_MAX + 1]; /* state before each step of @path */
  step_t path[DEPTH_MAX];         /* steps of the current sequence */
  uint64_t step_count;            /* steps tried so far */
  uint64_t leaf_count;            /* sequences completed so far */
} search_t;

/* Names of the actions in the report of a violation.  */
static const char *const action_names[] = { "pause/resume",
                                            "crash/start",
                                            "cut/heal",
                                            "cut/heal store link",
                                            "partition/heal",
                                            "restart",
                                            "replace",
                                            "stop",
                                            "store outage/recovery",
                                            "slow/normal reads",
                                            "lose put result",
                                            "delay put" };
/* Times between two actions; 0: both happen at the same time.  */
static const int64_t long_delays_ms[] = { 0, 2300 };
static const int64_t all_delays_ms[] = { 0, 700, 2300 };
static const int64_t short_delays_ms[] = { 0, 700 };

/* Initializers of the delays in a search_t.  */
#define DELAYS(array) .delay_count = G_N_ELEMENTS (array), .delays_ms = (array)
/* Actions that an operator causes, not a fault.  */
#define OPERATOR_ACTIONS (1 << ACTION_REPLACE | 1 << ACTION_STOP)

static bool apply_action (model_t *model, action_t action, uint32_t i);
static bool can_replace (const model_t *model, uint32_t i);
static void report_violation (const search_t *search, uint32_t level,
                              const model_t *model);
static void try_step (search_t *search, uint32_t level, step_t step);
static void search_from (search_t *search, uint32_t level);
static void run_search (const char *name, model_t *start, search_t search);
static model_t *new_settled_model (uint32_t count);

static bool
can_replace (const model_t *model, uint32_t i)
{
  return model->instances[i].ownership != NULL
         && model->instance_count == model->configured_count;
}

/* Performs an action.  @i is the instance that it is on; actions on the store
   ignore @i.  Returns false if the action is not possible in the current
   state.  */
static bool
apply_action (model_t *model, action_t action, uint32_t i)
{
  model_instance_t *instance = &model->instances[i];

  switch (action)
    {
    case ACTION_PAUSE:
      if (instance->ownership == NULL)
        return false;
      if (instance->paused)
        model_resume (model, i);
      else
        model_pause (model, i);
      return true;
    case ACTION_CRASH:
      if (instance->ownership == NULL)
        model_start (model, i);
      else
        model_crash (model, i);
      return true;
    case ACTION_ISOLATE:
      model_isolate (model, i, !model_is_isolated (model, i));
      return true;
    case ACTION_STORE_LINK_DOWN:
      instance->store_link_down = !instance->store_link_down;
      return true;
    case ACTION_PARTITION:
      {
        bool isolated = !model_is_isolated (model, i);

        model_isolate (model, i, isolated);
        for (uint32_t j = 0; j < model->configured_count; j++)
          if (j != i)
            model->instances[j].store_link_down = isolated;
        return true;
      }
    case ACTION_RESTART:
      if (instance->ownership == NULL)
        return false;
      model_crash (model, i);
      model_start (model, i);
      return true;
    case ACTION_REPLACE:
      return can_replace (model, i) && model_replace (model, i) != UINT32_MAX;
    case ACTION_STOP:
      if (!model_is_running (model, i) || instance->ownership->stopping)
        return false;
      ownership_stop (instance->ownership, model_local_time (model, i));
      return true;
    case ACTION_STORE_DOWN:
      model->store_down = !model->store_down;
      return true;
    case ACTION_SLOW_READS:
      model->read_delay_ms = model->read_delay_ms == 0 ? 1800 : 0;
      return true;
    case ACTION_LOSE_PUT_RESULT:
      if (model->lose_put_result)
        return false;
      model->lose_put_result = true;
      return true;
    default:
      if (model->put_delay_ms > 0)
        return false;
      model->put_delay_ms = 2500;
      return true;
    }
}

/* Prints the steps up to the one at @level, and aborts.  */
static void
report_violation (const search_t *search, uint32_t level, const model_t *model)
{
  for (uint32_t i = 0; i <= level; i++)
    g_printerr ("# step %u: %s entry-%u, then %" G_GINT64_FORMAT " ms\n", i,
                action_names[search->path[i].action], search->path[i].instance,
                search->path[i].run_ms);
  g_error ("%s", model->violation);
}

static void
try_step (search_t *search, uint32_t level, step_t step)
{
  model_t *model = search->models[level + 1];
  bool is_leaf = level + 1 == search->depth;

  model_copy (model, search->models[level]);
  if (!apply_action (model, step.action, step.instance))
    return;
  search->path[level] = step;
  search->step_count++;
  search->leaf_count += is_leaf;
  model_run (model, is_leaf ? FINAL_RUN_MS : step.run_ms);
  if (model->violation[0] != '\0')
    report_violation (search, level, model);
  if (!is_leaf)
    search_from (search, level + 1);
}

/* Depth-first search over all sequences from the state models[@level].  */
static void
search_from (search_t *search, uint32_t level)
{
  const model_t *model = search->models[level];
  const step_t *previous = level > 0 ? &search->path[level - 1] : NULL;

  for (uint32_t a = 0; a < ACTION_COUNT; a++)
    {
      uint32_t targets
          = a < ACTION_INSTANCE_COUNT ? model->configured_count : 1;

      if ((search->excluded_actions >> a & 1) != 0)
        continue;

      for (uint32_t i = 0; i < targets; i++)
        {
          /* Actions that happen at the same time are tried in one order
             only.  */
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

/* Creates a model in a steady state: all instances run, all 32 slices (16 of
   the data centre and 16 of DECIDE_KEY_CENTRE) are served.  */
static model_t *
new_settled_model (uint32_t count)
{
  model_t *model = model_new (count, 1, count);

  model->check_interval_ms = 4;
  for (uint32_t i = 0; i < count; i++)
    model_start (model, i);
  g_assert_cmpint (model_run_until_served (model, 32, 20000), >=, 0);
  model_run (model, 3000);
  return model;
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

/* Like test_settled(), with more members, so that two majorities can differ in
   more members.  */
static void
test_more_instances (void)
{
  run_search ("4 instances", new_settled_model (4),
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
  run_search ("5 instances", new_settled_model (5),
              (search_t){ .depth = 2, DELAYS (long_delays_ms) });
}

/* Like test_settled(), starting when several members are about to take over
   from an owner that is paused or isolated.  */
static void
test_takeover (void)
{
  model_t *model = new_settled_model (3);

  model_pause (model, 0);
  model_run (model, 2100);
  run_search ("paused owner", model,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
  model = new_settled_model (3);
  model_isolate (model, 0, true);
  model->instances[0].store_link_down = true;
  model_run (model, 2300);
  run_search ("isolated owner", model,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* Like test_settled(), starting with an owner that was paused before it read
   the acknowledgements of a heartbeat.  */
static void
test_unread_responses (void)
{
  model_t *model = new_settled_model (3);
  uint64_t sequence = model->instances[0].ownership->sequence;

  while (model->instances[0].ownership->sequence == sequence)
    model_run (model, 1);
  model_pause (model, 0);
  model_run (model, 2400);
  run_search ("unread responses", model,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* Like test_settled(), starting when a majority supports a takeover, but the
   update of the record for it is delayed, so that the supporters must still be
   bound by their support.  */
static void
test_supported_takeover (void)
{
  model_t *model = new_settled_model (3);

  /* Instance 2 has no access to the store, so it supports the takeover and
     attempts none itself.  */
  model_pause (model, 0);
  model->instances[2].store_link_down = true;
  model->put_delay_ms = 2500;
  while (model->put_delay_ms > 0)
    model_run (model, 10);
  g_assert_cmpuint (model->instances[2].ownership->voted_against_count, ==, 1);
  run_search ("supported", model,
              (search_t){ .depth = 3,
                          .excluded_actions
                          = OPERATOR_ACTIONS | 1 << ACTION_SLOW_READS,
                          DELAYS (short_delays_ms) });
}

/* Like test_settled(), starting with a member that has not received the latest
   version of the record.  */
static void
test_member_behind (void)
{
  model_t *model = new_settled_model (3);

  model_isolate (model, 2, true);
  model->instances[2].store_link_down = true;
  model->instances[1].ownership->rewrite_due = true;
  model_run (model, 1500);
  g_assert_cmpuint (
      ownership_get_record (model->instances[2].ownership)->version, <,
      model->version);
  run_search ("member behind", model,
              (search_t){ .depth = 3,
                          .excluded_actions = OPERATOR_ACTIONS
                                              | 1 << ACTION_LOSE_PUT_RESULT
                                              | 1 << ACTION_SLOW_READS,
                          DELAYS (long_delays_ms) });
}

/* Like test_settled(), starting with a handover during an outage of the
   store.  */
static void
test_handover (void)
{
  model_t *model = new_settled_model (3);

  model->store_down = true;
  model_run (model, 2500);
  ownership_stop (model->instances[0].ownership, model_local_time (model, 0));
  model_run (model, 360);
  run_search ("handover", model,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* Like test_settled(), starting with handovers that were accepted, but whose
   acknowledgements are lost.  */
static void
test_unanswered_offer (void)
{
  model_t *model = new_settled_model (3);

  ownership_stop (model->instances[0].ownership, model_local_time (model, 0));
  model->link_down[1][0] = model->link_down[2][0] = true;
  model_run (model, 400);
  run_search ("unanswered offer", model,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* Like test_settled(), starting with an old process that runs on beside a new
   process of its instance.  */
static void
test_replaced_process (void)
{
  model_t *model = new_settled_model (3);

  (void)model_replace (model, 0);
  model_run (model, 300);
  run_search ("replaced", model,
              (search_t){ .depth = 2, DELAYS (all_delays_ms) });
}

/* Performs WALK_EVENTS random actions, with message loss and late
   messages.  */
static void
random_walk (uint64_t seed)
{
  uint32_t count = 3 + seed % 3;
  uint32_t repair_odds = 2 + seed / 3 % 2;
  model_t *model = model_new (count, 2, seed);
  decide_rng_t rng;

  decide_rng_seed (&rng, ~seed);
  model->check_grants = true;
  model->jitter_ms = 10;
  model->loss_per_1000 = decide_rng_below (&rng, 100);
  model->late_per_1000 = decide_rng_below (&rng, 20);
  for (uint32_t i = 0; i < MODEL_INSTANCES_MAX; i++)
    model->instances[i].clock_drift = (int)decide_rng_below (&rng, 201) - 100;
  for (uint32_t i = 0; i < count; i++)
    model_start (model, i);
  for (int n = 0; n < WALK_EVENTS; n++)
    {
      action_t action = decide_rng_below (&rng, ACTION_COUNT);
      uint32_t i = decide_rng_below (&rng, count);

      /* Often restarts, resumes or reconnects instances, since little happens
         without a majority.  */
      for (uint32_t j = 0;
           j < count && decide_rng_below (&rng, repair_odds) > 0; j++)
        if (model->instances[j].ownership == NULL)
          model_start (model, j);
        else if (model->instances[j].paused)
          model_resume (model, j);
        else if (model->instances[j].ownership->stopping)
          model_crash (model, j);
        else if (model_is_isolated (model, j))
          model_isolate (model, j, false);
        else
          model->instances[j].store_link_down = false;
      if (decide_rng_below (&rng, 2) == 0)
        model->store_down = false;
      if (model->instance_count > model->configured_count
          && decide_rng_below (&rng, 4) == 0)
        model_crash (model, --model->instance_count);
      (void)apply_action (model, action, i);
      model_run (model, decide_rng_below (&rng, 4) == 0
                            ? decide_rng_below (&rng, 6000)
                            : decide_rng_below (&rng, 800));
      if (model->violation[0] != '\0')
        g_error ("seed %" G_GUINT64_FORMAT ", event %d: %s", seed, n,
                 model->violation);
    }
  model_free (model);
}

/* Guards against violations that need longer sequences, message loss, or late
   messages.  Half of the seeds are chosen at random in each run.  */
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
