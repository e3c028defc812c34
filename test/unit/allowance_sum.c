/* Model, in virtual time, of instances that share a tenant's allowance while
   its keeper is lost, paused, cut off or restarted: the sum over all instances
   in any window must keep the users' bound.  The tenant saves up its burst and
   then asks for several times its limit, at all instances.  */

#include <stdio.h>
#include <string.h>

#include "allowance.h"
#include "decide.h"

#define INSTANCES_MAX 473
#define STEP_MS 10
#define STEPS 2200
#define WINDOW_MS 5000
#define ANNOUNCE_MS 250
#define HELLO_TIMEOUT_MS 1500
#define TAKEOVER_MS 700
#define DEMAND_FROM_MS 7000
#define TROUBLE_FROM_MS 8000
#define OVERSHOOT 0.1
#define SLACK 20.0

typedef struct instance
{
  bool is_down;
  bool is_paused;
  bool is_announcer;
  clock_ms_t announcer_since;
  int side;                  /* instances of other sides are not reached */
  bool ready[INSTANCES_MAX]; /* which ones it takes for ready */
  bool is_outdated;          /* @allowance has older candidates */
  clock_ms_t heard_from[INSTANCES_MAX];
  clock_ms_t changed_at; /* when @ready last changed */
  contact_t contact;
  allowance_t allowance;
} instance_t;

/* The instances are in the order of their weights for the tenant, so that the
   first ready one is the keeper.  */
typedef struct model
{
  instance_t instances[INSTANCES_MAX];
  int count;
  clock_ms_t now;
  clock_ms_t began_at; /* of the trouble */
  tenant_t *tenant;
  allowance_bounds_t bounds;
  bool odd_miss_keeper; /* instances of odd numbers do not reach the keeper */
  decide_rng_t rng;
  uint32_t admitted[STEPS];
} model_t;

typedef void (*trouble_t) (model_t *model, clock_ms_t since);

static bool
is_reached (const model_t *model, int from, int to)
{
  const instance_t *a = &model->instances[from];
  const instance_t *b = &model->instances[to];

  if (model->odd_miss_keeper
      && ((from == 0 && to % 2 == 1 && to != model->count - 1)
          || (to == 0 && from % 2 == 1 && from != model->count - 1)))
    return from == to;
  return !a->is_down && !b->is_down && !a->is_paused && !b->is_paused
         && (from == to || a->side == b->side);
}

static void
stop (model_t *model, int i)
{
  model->instances[i].is_down = true;
}

/* Starts an instance that knows nothing of before.  */
static void
start (model_t *model, int i)
{
  instance_t *instance = &model->instances[i];
  int side = instance->side;

  *instance = (instance_t){ .side = side, .is_outdated = true };
  allowance_init (&instance->allowance);
  instance->changed_at = model->now;
}

static void
pause_instance (model_t *model, int i, bool is_paused)
{
  instance_t *instance = &model->instances[i];

  if (instance->is_paused && !is_paused)
    contact_lose (&instance->contact);
  instance->is_paused = is_paused;
}

static double
own_share (const model_t *model, int i)
{
  const instance_t *instance = &model->instances[i];
  int heard = 0;

  for (int j = 0; j < model->count; j++)
    if (j == i
        || (instance->heard_from[j] != 0
            && model->now - instance->heard_from[j] < HELLO_TIMEOUT_MS))
      heard++;
  return (double)heard / model->count;
}

static void
set_ready (model_t *model, int i, int j, bool ready)
{
  instance_t *instance = &model->instances[i];

  if (instance->ready[j] == ready)
    return;
  instance->ready[j] = ready;
  instance->changed_at = model->now;
  instance->is_outdated = true;
}

/* One instance tells the others which ones are ready, and hears them.  Those
   that were ready when it began to do so have the full time to be heard.  */
static void
announce (model_t *model, int from)
{
  instance_t *announcer = &model->instances[from];
  double share;

  for (int j = 0; j < model->count; j++)
    if (j != from)
      set_ready (model, from, j,
                 (announcer->heard_from[j] != 0
                  && model->now - announcer->heard_from[j] < HELLO_TIMEOUT_MS)
                     || (announcer->ready[j]
                         && model->now - announcer->announcer_since
                                < HELLO_TIMEOUT_MS));
  set_ready (model, from, from, true);
  share = own_share (model, from);
  for (int i = 0; i < model->count; i++)
    {
      instance_t *instance = &model->instances[i];
      contact_news_t news = { .tells_listing = true, .share = share };

      if (!is_reached (model, from, i)
          || (i != from && decide_rng_below (&model->rng, 100) < 3))
        continue;
      if (i < from)
        instance->is_announcer = false;
      for (int j = 0; j < model->count; j++)
        if (j != i)
          set_ready (model, i, j, announcer->ready[j]);
      set_ready (model, i, i, true);
      news.is_listed = announcer->ready[i];
      contact_handle_announcement (&instance->contact, &news, model->now);
      instance->heard_from[from] = model->now;
      announcer->heard_from[i] = model->now;
    }
}

static void
update_candidates (model_t *model, int i)
{
  instance_t *instance = &model->instances[i];
  allowance_t *allowance = &instance->allowance;

  if (!instance->is_outdated)
    return;
  instance->is_outdated = false;
  allowance->n_candidates = 0;
  allowance->rank = KEEPER_NO_RANK;
  for (int j = 0;
       j < model->count && allowance->n_candidates < KEEPER_CANDIDATES; j++)
    if (instance->ready[j])
      {
        int at = allowance->n_candidates++;

        if (allowance->candidates[at] != (uint32_t)j)
          allowance->ask_from[at] = 0;
        allowance->candidates[at] = (uint32_t)j;
        if (j == i)
          allowance->rank = at;
      }
}

/* Each instance that hears no announcement makes its own; of several on a side
   the one with the highest number goes on.  */
static void
tick_members (model_t *model)
{
  for (int i = model->count - 1; i >= 0; i--)
    {
      instance_t *instance = &model->instances[i];
      allowance_keeper_t keeper
          = { .bounds = &model->bounds,
              .contact = &instance->contact,
              .members_changed_at = instance->changed_at };

      if (instance->is_down || instance->is_paused)
        continue;
      if (instance->contact.heard_at == 0
              ? model->now - instance->changed_at > ANNOUNCE_MS
              : model->now - instance->contact.heard_at > TAKEOVER_MS)
        {
          instance->is_announcer = true;
          instance->announcer_since = model->now;
        }
      if (instance->is_announcer)
        announce (model, i);
      contact_set_own_share (&instance->contact, own_share (model, i),
                             model->now);
      update_candidates (model, i);
      allowance_update_role (&instance->allowance, model->tenant, &keeper,
                             model->now);
    }
}

/* Returns whether a request at an instance gets a token.  */
static bool
admit (model_t *model, int i)
{
  instance_t *instance = &model->instances[i];
  allowance_t *allowance = &instance->allowance;

  update_candidates (model, i);
  for (;;)
    {
      allowance_ask_t question = { .wanted = { 1 } };
      int candidate = allowance_next_candidate (allowance, model->now);
      instance_t *asked;
      allowance_keeper_t keeper;
      allowance_reply_t reply;

      if (candidate < 0)
        return false;
      allowance_begin_ask (allowance, candidate, &question, model->now);
      if (!is_reached (model, i, (int)allowance->candidates[candidate]))
        {
          allowance_handle_timeout (allowance, model->now);
          continue;
        }
      asked = &model->instances[allowance->candidates[candidate]];
      asked->heard_from[i] = model->now;
      update_candidates (model, (int)allowance->candidates[candidate]);
      keeper = (allowance_keeper_t){ .bounds = &model->bounds,
                                     .contact = &asked->contact,
                                     .members_changed_at = asked->changed_at };
      reply = allowance_grant (&asked->allowance, model->tenant, &keeper,
                               &question, model->now);
      (void)allowance_end_ask (allowance, model->now, &reply, model->now);
      if (reply.granted[0] > 0 || reply.is_final)
        return reply.granted[0] > 0;
    }
}

static void
make_requests (model_t *model, int step, double asked_per_s)
{
  double expected = asked_per_s * STEP_MS / 1000.0;
  int count = (int)expected;

  if (decide_rng_below (&model->rng, 1000)
      < (uint32_t)((expected - count) * 1000))
    count++;
  for (int n = 0; n < count; n++)
    {
      int i = (int)decide_rng_below (&model->rng, (uint32_t)model->count);

      if (!model->instances[i].is_down && !model->instances[i].is_paused
          && admit (model, i))
        model->admitted[step]++;
    }
}

static void
lost (model_t *model, clock_ms_t since)
{
  if (since == 0)
    stop (model, 0);
}

static void
lost_with_successor (model_t *model, clock_ms_t since)
{
  if (since == 0)
    stop (model, 0);
  if (since == 0 && model->count > 2)
    stop (model, 1);
}

static void
lost_one_after_the_other (model_t *model, clock_ms_t since)
{
  if (since % 900 == 0 && since < 4 * 900 && since / 900 < model->count - 1)
    stop (model, (int)(since / 900));
}

static void
lost_as_announcer (model_t *model, clock_ms_t since)
{
  if (since == 0)
    {
      stop (model, model->count - 1);
      stop (model, 0);
    }
  if (since == 500)
    start (model, 0);
}

static void
paused (model_t *model, clock_ms_t since)
{
  pause_instance (model, 0, since < 3000 || (since >= 5000 && since < 7000));
}

static void
paused_shortly (model_t *model, clock_ms_t since)
{
  pause_instance (model, 0, since % 2000 < 1200 && since < 8000);
}

static void
cut_off_from_some (model_t *model, clock_ms_t since)
{
  model->odd_miss_keeper = since < 7000;
}

static void
cut_off_from_all (model_t *model, clock_ms_t since)
{
  model->instances[0].side = since < 5000 ? 1 : 0;
}

static void
divided (model_t *model, clock_ms_t since)
{
  for (int i = 0; i < model->count; i++)
    model->instances[i].side = since < 8000 ? i % 2 : 0;
}

static void
isolated_each (model_t *model, clock_ms_t since)
{
  for (int i = 0; i < model->count; i++)
    model->instances[i].side = i % 3 == 1 && since < 8000 ? i : 0;
}

static void
restarted (model_t *model, clock_ms_t since)
{
  if (since == 0 || since == 1300 || since == 2600)
    stop (model, 0);
  if (since == 500 || since == 1800 || since == 3100)
    start (model, 0);
}

static void
all_restarted (model_t *model, clock_ms_t since)
{
  for (int i = 0; i < model->count && since == 0; i++)
    stop (model, i);
  for (int i = 0; i < model->count && since == 600; i++)
    start (model, i);
}

static void
joins_and_leaves (model_t *model, clock_ms_t since)
{
  if (since % 2500 == 0)
    stop (model, 0);
  if (since % 2500 == 1900)
    start (model, 0);
}

static void
calm (model_t *model, clock_ms_t since)
{
  (void)model;
  (void)since;
}

static const struct
{
  const char *name;
  trouble_t trouble;
} troubles[] = {
  { "calm", calm },
  { "lost", lost },
  { "lost with its successor", lost_with_successor },
  { "lost one after the other", lost_one_after_the_other },
  { "lost with the announcing instance", lost_as_announcer },
  { "paused", paused },
  { "paused shortly", paused_shortly },
  { "cut off from some", cut_off_from_some },
  { "cut off from all", cut_off_from_all },
  { "divided", divided },
  { "a third isolated", isolated_each },
  { "restarted", restarted },
  { "all restarted", all_restarted },
  { "joins and leaves", joins_and_leaves },
};

/* Returns the largest number of admissions in a window.  */
static uint32_t
most_in_window (const model_t *model)
{
  uint32_t most = 0;
  uint32_t sum = 0;

  for (int i = 0; i < STEPS; i++)
    {
      sum += model->admitted[i];
      if (i >= WINDOW_MS / STEP_MS)
        sum -= model->admitted[i - WINDOW_MS / STEP_MS];
      most = MAX (most, sum);
    }
  return most;
}

/* Plays one trouble.  @asked: what the tenant asks for, in times its rate.
   Returns the share of the bound that was used.  */
static double
play (trouble_t trouble, int count, double rate, double asked,
      uint32_t *admitted)
{
  static model_t model;
  double limit;
  double share;

  memset (&model, 0, sizeof model);
  model.count = count;
  model.tenant = tenant_new ("t-1");
  model.tenant->rate_per_s = rate;
  model.tenant->burst = rate;
  model.bounds = (allowance_bounds_t){ .overshoot = OVERSHOOT,
                                       .slack = SLACK,
                                       .window_s = WINDOW_MS / 1000.0 };
  decide_rng_seed (&model.rng, (uint64_t)count);
  limit = (rate * WINDOW_MS / 1000.0 + rate) * (1 + OVERSHOOT) + SLACK;
  model.now = 1;
  for (int i = 0; i < count; i++)
    start (&model, i);
  for (int step = 0; step < STEPS; step++)
    {
      model.now = 1 + (clock_ms_t)step * STEP_MS;
      if (model.now > TROUBLE_FROM_MS)
        trouble (&model, model.now - TROUBLE_FROM_MS - 1);
      if (step % (ANNOUNCE_MS / STEP_MS) == 0)
        tick_members (&model);
      if (model.now > DEMAND_FROM_MS)
        make_requests (&model, step, rate * asked);
    }
  share = most_in_window (&model) / limit;
  *admitted = 0;
  for (int i = 0; i < STEPS; i++)
    *admitted += model.admitted[i];
  tenant_free (model.tenant);
  return share;
}

/* Guards against a tenant that gets more than its allowance because the keeper
   cannot be asked, or because two instances act as the keeper.  */
static void
sum_keeps_the_bound (void)
{
  static const int counts[] = { 2, 13, 135, 473 };
  static const double rates[] = { 0.5, 10, 300, 2000 };

  for (size_t i = 0; i < G_N_ELEMENTS (troubles); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (counts); j++)
      for (size_t k = 0; k < G_N_ELEMENTS (rates); k++)
        {
          double asked = MAX (5, 100 / rates[k]);
          uint32_t admitted;
          double share = play (troubles[i].trouble, counts[j], rates[k], asked,
                               &admitted);

          g_test_message ("%s, %d instances, %.1f/s: %.2f of the bound",
                          troubles[i].name, counts[j], rates[k], share);
          if (share > 1.0)
            {
              g_test_message ("%s: bound exceeded", troubles[i].name);
              g_test_fail ();
            }
        }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/allowance/sum_keeps_the_bound", sum_keeps_the_bound);
  return g_test_run ();
}
