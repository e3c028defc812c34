#include "rollout_judge.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Part of the requests that a bad version may get, which the new version gets
   in the canary phase.  The rest is left for the ramp, which a bad version may
   reach too.  */
#define CANARY_BUDGET_PART 0.35
/* Largest share in the canary phase, where few requests arrive.  */
#define CANARY_SHARE_MAX 0.15
/* Shares of the ramp.  */
static const double ramp_shares[] = { 0.25, 0.5 };
/* Part of the duration for which each of them is kept, and its limits.  */
#define RAMP_STEP_PART 0.04
#define RAMP_STEP_MIN_MS 400
#define RAMP_STEP_MAX_MS 5000
/* Part of the duration before which no version is promoted, as some show their
   faults only after a time.  */
#define CANARY_PART 0.55
/* Answers of the new version that a promotion needs, in all and on each route
   that has a tenth of the requests.  */
#define PROMOTE_ANSWERS_MIN 40
#define PROMOTE_ROUTE_ANSWERS_MIN 8
#define PROMOTE_ROUTE_SHARE 0.1
/* The new endpoints must have this part of the old ones' slots.  */
#define PROMOTE_SLOTS_PART 0.6
/* A rollback needs so many bad answers that a version with the rate of the old
   one, plus a margin, has with at most this probability.  A good rollout is
   judged about a thousand times: every 250 ms, in two spans, on each route. */
#define ROLLBACK_PROBABILITY 1e-5
#define PROMOTE_PROBABILITY 1e-2
#define RATE_MARGIN 0.02
#define RATE_FACTOR 1.5
#define BAD_ANSWERS_MIN 4
/* Part of the endpoints that may be in trouble by themselves, and the answers
   after which an endpoint is known.  */
#define TROUBLED_ENDPOINTS 0.25
#define ENDPOINT_ANSWERS_MIN 4
/* A version is bad only if so many of its endpoints show bad answers as single
   ones in trouble do with at most this probability.  Fewer endpoints than that
   must all be known.  */
#define SPREAD_PROBABILITY 0.01
#define SPREAD_ENDPOINTS_MIN 5
/* It is not to blame for bad answers if of so many known endpoints as many
   show them as single ones in trouble do with at least this probability.  */
#define CONFINED_ENDPOINTS_MIN 8
#define CONFINED_PROBABILITY 0.2
/* Requests at the same time that each active endpoint of the canary phase is
   to have, as a part of its slots.  Some versions fail only with several.  */
#define CANARY_LOAD_PART 0.5
#define CANARY_ENDPOINTS_MIN 3
/* Other endpoints become active after this time and so many answers of each,
   so that trouble of single ones is told from that of the version.  */
#define WINDOW_MS 1500
#define WINDOW_ANSWERS (2 * ENDPOINT_ANSWERS_MIN)
/* Time from the start of judging after which the counts of all live instances
   have arrived.  */
#define COUNTS_ARRIVE_MS 800
/* Instances that have not confirmed a promotion by then are taken for cut
   off.  */
#define CONFIRM_MAX_MS 2500
/* Requests at old endpoints have ended by then, in most cases.  */
#define CONFIRM_MIN_MS 300

typedef enum verdict
{
  VERDICT_GOOD, /* so far */
  VERDICT_OPEN, /* more answers are needed */
  VERDICT_BAD
} verdict_t;

static uint64_t bad_answers (const rollout_tally_t *tally);
static void subtract (rollout_tally_t *from, const rollout_tally_t *before);
static rollout_evidence_t evidence_since (const rollout_evidence_t *evidence,
                                          const rollout_evidence_t *before);
static double tail_probability (uint64_t n, uint64_t k, double p);
static double surprise (const rollout_tally_t *canary,
                        const rollout_tally_t *stable);
static double estimate_rate (const rollout_tally_t *stable);
static double find_spread (const rollout_evidence_t *evidence, int *n_known);
static bool is_confined (const rollout_evidence_t *evidence);
static bool is_spread (const rollout_evidence_t *evidence,
                       const rollout_room_t *room);
static double find_surprise (const rollout_evidence_t *evidence, char *reason);
static void remember (rollout_judge_t *judge,
                      const rollout_evidence_t *evidence, clock_ms_t now);
static verdict_t find_verdict (const rollout_judge_t *judge,
                               const rollout_t *rollout,
                               const rollout_evidence_t *evidence,
                               const rollout_room_t *room, char *reason);
static const char *find_promotion_obstacle (const rollout_t *rollout,
                                            const rollout_evidence_t *evidence,
                                            const rollout_room_t *room,
                                            clock_ms_t now);
static bool ramp_up (const rollout_t *rollout, clock_ms_t now,
                     rollout_step_t *step, char *reason);
static double compute_canary_share (const rollout_t *rollout,
                                    const rollout_route_tally_t *total,
                                    const rollout_bounds_t *bounds,
                                    double elapsed);
static bool adjust_canaries (rollout_judge_t *judge, const rollout_t *rollout,
                             const rollout_evidence_t *evidence,
                             const rollout_room_t *room,
                             const rollout_bounds_t *bounds, clock_ms_t now,
                             rollout_step_t *step, char *reason);

rollout_route_tally_t *
rollout_evidence_route (rollout_evidence_t *evidence, uint64_t route)
{
  for (int i = 0; i < evidence->n_routes; i++)
    if (evidence->routes[i].route == route)
      return &evidence->routes[i];
  if (evidence->n_routes == ROLLOUT_ROUTES_MAX)
    return NULL;
  evidence->routes[evidence->n_routes].route = route;
  return &evidence->routes[evidence->n_routes++];
}

rollout_tally_t *
rollout_evidence_endpoint (rollout_evidence_t *evidence, uint64_t endpoint)
{
  for (int i = 0; i < evidence->n_endpoints; i++)
    if (evidence->endpoints[i].endpoint == endpoint)
      return &evidence->endpoints[i].tally;
  if (evidence->n_endpoints == ROLLOUT_ENDPOINTS_MAX)
    return NULL;
  evidence->endpoints[evidence->n_endpoints].endpoint = endpoint;
  return &evidence->endpoints[evidence->n_endpoints++].tally;
}

static void
add_tally (rollout_tally_t *to, const rollout_tally_t *from)
{
  to->answers += from->answers;
  to->failures += from->failures;
  to->slow += from->slow;
  to->busy_ms += from->busy_ms;
}

rollout_route_tally_t
rollout_evidence_total (const rollout_evidence_t *evidence)
{
  rollout_route_tally_t total = { 0 };

  for (int i = 0; i < evidence->n_routes; i++)
    {
      add_tally (&total.stable, &evidence->routes[i].stable);
      add_tally (&total.canary, &evidence->routes[i].canary);
    }
  return total;
}

static uint64_t
bad_answers (const rollout_tally_t *tally)
{
  return MIN (tally->failures + tally->slow, tally->answers);
}

static void
subtract (rollout_tally_t *from, const rollout_tally_t *before)
{
  from->answers -= MIN (from->answers, before->answers);
  from->failures -= MIN (from->failures, before->failures);
  from->slow -= MIN (from->slow, before->slow);
  from->busy_ms -= MIN (from->busy_ms, before->busy_ms);
}

/* Returns what has been added since an earlier time.  */
static rollout_evidence_t
evidence_since (const rollout_evidence_t *evidence,
                const rollout_evidence_t *before)
{
  rollout_evidence_t since = *evidence;

  for (int i = 0; i < before->n_routes; i++)
    {
      rollout_route_tally_t *route
          = rollout_evidence_route (&since, before->routes[i].route);

      if (route == NULL)
        continue;
      subtract (&route->stable, &before->routes[i].stable);
      subtract (&route->canary, &before->routes[i].canary);
    }
  for (int i = 0; i < before->n_endpoints; i++)
    {
      rollout_tally_t *tally
          = rollout_evidence_endpoint (&since, before->endpoints[i].endpoint);

      if (tally != NULL)
        subtract (tally, &before->endpoints[i].tally);
    }
  return since;
}

/* Returns the probability of at least @k successes in @n trials (binomial
   distribution).  */
static double
tail_probability (uint64_t n, uint64_t k, double p)
{
  double sum = 0;

  for (uint64_t i = k; i <= n; i++)
    {
      double term = exp (lgamma ((double)n + 1) - lgamma ((double)i + 1)
                         - lgamma ((double)(n - i) + 1) + (double)i * log (p)
                         + (double)(n - i) * log1p (-p));

      sum += term;
      /* Behind the mode the terms shrink, so that the rest is negligible.  */
      if ((double)i > (double)n * p && term < sum * 1e-9)
        break;
    }
  return MIN (sum, 1.0);
}

/* Returns the rate of the old version's bad answers.  With few answers it is
   not known to be 0.  */
static double
estimate_rate (const rollout_tally_t *stable)
{
  return ((double)bad_answers (stable) + 0.5)
         / ((double)stable->answers + 25.0);
}

/* Returns the probability that a version no worse than the old one has as many
   bad answers as the new one.  */
static double
surprise (const rollout_tally_t *canary, const rollout_tally_t *stable)
{
  uint64_t bad = bad_answers (canary);
  double rate = estimate_rate (stable);

  if (bad < BAD_ANSWERS_MIN)
    return 1.0;
  return tail_probability (canary->answers, bad,
                           MIN (rate * RATE_FACTOR + RATE_MARGIN, 0.95));
}

/* Returns the probability that as many endpoints of the new version show a bad
   answer if only single ones are in trouble, and the others no more than those
   of the old version.  @n_known: out: number of endpoints with enough
   answers.  */
static double
find_spread (const rollout_evidence_t *evidence, int *n_known)
{
  rollout_route_tally_t total = rollout_evidence_total (evidence);
  double rate = estimate_rate (&total.stable);
  uint64_t answers = 0;
  int n_bad = 0;
  double lucky; /* probability that an endpoint shows none */

  *n_known = 0;
  for (int i = 0; i < evidence->n_endpoints; i++)
    {
      const rollout_tally_t *tally = &evidence->endpoints[i].tally;

      if (tally->answers < ENDPOINT_ANSWERS_MIN)
        continue;
      ++*n_known;
      answers += tally->answers;
      n_bad += bad_answers (tally) > 0 ? 1 : 0;
    }
  if (*n_known == 0)
    return 1.0;
  lucky = pow (1.0 - rate, (double)answers / (double)*n_known);
  return tail_probability ((uint64_t)*n_known, (uint64_t)n_bad,
                           1.0 - (1.0 - TROUBLED_ENDPOINTS) * lucky);
}

/* Whether bad answers come from most endpoints of the new version.  */
static bool
is_spread (const rollout_evidence_t *evidence, const rollout_room_t *room)
{
  int n_known;
  double probability = find_spread (evidence, &n_known);

  /* Few endpoints cannot tell it.  */
  if (room->canary_endpoints < SPREAD_ENDPOINTS_MIN)
    return n_known >= room->canary_endpoints;
  return probability <= SPREAD_PROBABILITY;
}

/* Whether bad answers come from few endpoints of the new version, of enough
   that are known.  */
static bool
is_confined (const rollout_evidence_t *evidence)
{
  int n_known;
  double probability = find_spread (evidence, &n_known);

  return n_known >= CONFINED_ENDPOINTS_MIN
         && probability >= CONFINED_PROBABILITY;
}

/* Returns the smallest probability in a span of time, over all routes together
   and over each.  @reason: out: what shows it.  */
static double
find_surprise (const rollout_evidence_t *evidence, char *reason)
{
  rollout_route_tally_t worst = rollout_evidence_total (evidence);
  double lowest = surprise (&worst.canary, &worst.stable);

  for (int i = 0; i < evidence->n_routes; i++)
    {
      const rollout_route_tally_t *route = &evidence->routes[i];
      double probability = surprise (&route->canary, &route->stable);

      if (probability >= lowest)
        continue;
      lowest = probability;
      worst = *route;
    }
  (void)g_snprintf (
      reason, ROLLOUT_REASON_BYTES,
      "%" G_GUINT64_FORMAT " failed and %" G_GUINT64_FORMAT
      " slow of %" G_GUINT64_FORMAT "; old version %" G_GUINT64_FORMAT
      " of %" G_GUINT64_FORMAT,
      worst.canary.failures, worst.canary.slow, worst.canary.answers,
      bad_answers (&worst.stable), worst.stable.answers);
  return lowest;
}

static void
remember (rollout_judge_t *judge, const rollout_evidence_t *evidence,
          clock_ms_t now)
{
  unsigned int last
      = (judge->n_history + ROLLOUT_HISTORY - 1) % ROLLOUT_HISTORY;
  unsigned int next = judge->n_history % ROLLOUT_HISTORY;

  if (judge->n_history > 0
      && now - judge->history_at[last] < ROLLOUT_HISTORY_STEP_MS)
    return;
  judge->history[next] = *evidence;
  judge->history_at[next] = now;
  judge->n_history++;
}

/* Judges the new version by its answers since the order and by those of the
   last seconds.  */
static verdict_t
find_verdict (const rollout_judge_t *judge, const rollout_t *rollout,
              const rollout_evidence_t *evidence, const rollout_room_t *room,
              char *reason)
{
  rollout_evidence_t recent;
  double probability;

  /* All endpoints get requests now, so that bad ones are as many among those
     of the old version.  */
  if (rollout->step.phase != ROLLOUT_CANARY)
    {
      recent = evidence_since (evidence, &judge->before_ramp);
      return find_surprise (&recent, reason) <= ROLLBACK_PROBABILITY
                 ? VERDICT_BAD
                 : VERDICT_GOOD;
    }
  probability = find_surprise (evidence, reason);
  if (probability <= ROLLBACK_PROBABILITY && is_spread (evidence, room))
    return VERDICT_BAD;
  if (judge->n_history >= ROLLOUT_HISTORY)
    {
      recent = evidence_since (
          evidence, &judge->history[judge->n_history % ROLLOUT_HISTORY]);
      probability = MIN (probability, find_surprise (&recent, reason));
      if (probability <= ROLLBACK_PROBABILITY && is_spread (&recent, room))
        return VERDICT_BAD;
    }
  return probability > PROMOTE_PROBABILITY || is_confined (evidence)
             ? VERDICT_GOOD
             : VERDICT_OPEN;
}

/* Returns why a version that shows no fault is not promoted yet, or NULL.  */
static const char *
find_promotion_obstacle (const rollout_t *rollout,
                         const rollout_evidence_t *evidence,
                         const rollout_room_t *room, clock_ms_t now)
{
  rollout_route_tally_t total = rollout_evidence_total (evidence);

  if (room->canary_endpoints == 0)
    return "no endpoint of the version is in service";
  if (now - rollout->started_at
      < (clock_ms_t)((double)rollout->duration * CANARY_PART))
    return "it is too early";
  if (total.canary.answers < PROMOTE_ANSWERS_MIN)
    return "it has answered too few requests";
  for (int i = 0; i < evidence->n_routes; i++)
    {
      const rollout_route_tally_t *route = &evidence->routes[i];

      if ((double)route->stable.answers
              >= (double)total.stable.answers * PROMOTE_ROUTE_SHARE
          && route->canary.answers < PROMOTE_ROUTE_ANSWERS_MIN)
        return "it has answered too few requests of a route";
    }
  if ((double)room->canary_slots
      < (double)room->stable_slots * PROMOTE_SLOTS_PART)
    return "its endpoints have too few slots";
  return NULL;
}

static bool
ramp_up (const rollout_t *rollout, clock_ms_t now, rollout_step_t *step,
         char *reason)
{
  clock_ms_t kept
      = CLAMP ((clock_ms_t)((double)rollout->duration * RAMP_STEP_PART),
               RAMP_STEP_MIN_MS, RAMP_STEP_MAX_MS);

  if (rollout->step.phase == ROLLOUT_RAMP && now - rollout->stepped_at < kept)
    return false;
  g_strlcpy (reason, "the new version shows no fault", ROLLOUT_REASON_BYTES);
  *step = (rollout_step_t){ .phase = ROLLOUT_RAMP };
  for (size_t i = 0; i < G_N_ELEMENTS (ramp_shares); i++)
    if (rollout->step.phase == ROLLOUT_CANARY
        || rollout->step.share < ramp_shares[i])
      {
        step->share = ramp_shares[i];
        return true;
      }
  *step = (rollout_step_t){ .phase = ROLLOUT_PROMOTED, .share = 1.0 };
  return true;
}

/* Returns the share of the requests that uses up the budget of the canary
   phase until its end.  @elapsed: ms since the order.  */
static double
compute_canary_share (const rollout_t *rollout,
                      const rollout_route_tally_t *total,
                      const rollout_bounds_t *bounds, double elapsed)
{
  double requests = (double)(total->stable.answers + total->canary.answers)
                    / elapsed * (double)rollout->duration;
  double budget = bounds->share_max * requests + bounds->slack;

  return MIN (budget * CANARY_BUDGET_PART / MAX (requests * CANARY_PART, 1.0),
              MAX (CANARY_SHARE_MAX, bounds->share_max));
}

/* Sets the share of the canary phase and the number of active endpoints, and
   now and then makes others active.  */
static bool
adjust_canaries (rollout_judge_t *judge, const rollout_t *rollout,
                 const rollout_evidence_t *evidence,
                 const rollout_room_t *room, const rollout_bounds_t *bounds,
                 clock_ms_t now, rollout_step_t *step, char *reason)
{
  rollout_route_tally_t total = rollout_evidence_total (evidence);
  double elapsed = (double)MAX (now - rollout->started_at, 1);
  double share = compute_canary_share (rollout, &total, bounds, elapsed);
  double mean_slots
      = room->canary_endpoints > 0
            ? (double)room->canary_slots / (double)room->canary_endpoints
            : 1.0;
  /* Requests at the same time for the new version, by the time that those of
     the old one have taken.  */
  double concurrency = (double)(total.stable.busy_ms + total.canary.busy_ms)
                       / elapsed * share;
  double active
      = ceil (concurrency / MAX (mean_slots * CANARY_LOAD_PART, 0.5));

  if (room->canary_endpoints == 0
      || (rollout->step.share > 0
          && (now - judge->window_moved_at < WINDOW_MS
              || total.canary.answers - judge->window_answers
                     < (uint64_t)rollout->step.active * WINDOW_ANSWERS)))
    return false;
  judge->window_moved_at = now;
  judge->window_answers = total.canary.answers;
  *step = (rollout_step_t){
    .phase = ROLLOUT_CANARY,
    .share = share,
    .active = (uint32_t)CLAMP (active, CANARY_ENDPOINTS_MIN, 10000.0),
    .first = rollout->step.first + rollout->step.active,
  };
  g_strlcpy (reason, "the new version is tried", ROLLOUT_REASON_BYTES);
  return true;
}

bool
rollout_judge (rollout_judge_t *judge, const rollout_t *rollout,
               const rollout_evidence_t *evidence, const rollout_room_t *room,
               const rollout_bounds_t *bounds, clock_ms_t now,
               rollout_step_t *step, char *reason)
{
  verdict_t verdict;

  if (judge->id != rollout->id)
    *judge = (rollout_judge_t){ .id = rollout->id, .began_at = now };
  remember (judge, evidence, now);
  if (rollout->step.phase == ROLLOUT_CANARY)
    judge->before_ramp = *evidence;
  if (!rollout_is_running (rollout))
    return false;
  verdict = find_verdict (judge, rollout, evidence, room, reason);
  if (verdict == VERDICT_BAD)
    {
      *step = (rollout_step_t){ .phase = ROLLOUT_ROLLED_BACK };
      return true;
    }
  if (rollout->step.phase == ROLLOUT_PROMOTED
      || now - judge->began_at < COUNTS_ARRIVE_MS)
    return false;
  if (rollout->step.phase == ROLLOUT_RAMP
      || (verdict == VERDICT_GOOD
          && find_promotion_obstacle (rollout, evidence, room, now) == NULL))
    return ramp_up (rollout, now, step, reason);
  return adjust_canaries (judge, rollout, evidence, room, bounds, now, step,
                          reason);
}

bool
rollout_can_complete (const rollout_t *rollout, const rollout_room_t *room,
                      clock_ms_t now)
{
  clock_ms_t since = now - rollout->stepped_at;

  return rollout->step.phase == ROLLOUT_PROMOTED && since >= CONFIRM_MIN_MS
         && (room->instances_behind == 0 || since >= CONFIRM_MAX_MS);
}
