#include "limit.h"

/* Good answers before the limit rises by one.  */
#define RAMP_GOOD 8
#define RAISE_GOOD 4
/* A server that calls itself cold gets one request at a time for this long; a
   report that stays longer is taken as wrong.  */
#define COLD_REPORT_MS 60000
/* Shortest step of the ramp after a restart: many fast answers in a short
   time do not show that a server has warmed up.  */
#define RAMP_STEP_MS 250
/* Caches and pools of a server without work for this long are taken as gone.
 */
#define IDLE_COLD_MS 10000
/* Servers close idle connections after this time or more; without an identity
   in its reports, such a server would turn cold each time.  */
#define IDLE_CLOSE_MS 2000
/* An endpoint is slow when its recent average is this many times the pool's
   median, and SLOW_MIN_MS more: small differences of fast answers are noise.
 */
#define SLOW_FACTOR 3
#define SLOW_MIN_MS 4
/* Resets, broken or failing answers in a row that suspend the endpoint.  */
#define FAILURE_RUN 3
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
/* Probe budget of one endpoint.  */
#define PROBE_INTERVAL_MS 1000
/* Load endpoints lag, so a probe without the drain mark ends draining of the
   same process only this long after the last mark.  */
#define DRAIN_HOLD_MS 30000
/* Time in which a latency average loses its weight in the score.  */
#define SCORE_FADE_MS 200
#define STATUS_SERVER_ERROR 500
#define SIXTEENTHS 16
/* Weights of the newest sample in the averages are 1 / WEIGHT.  */
#define RECENT_WEIGHT 4
#define BASE_WEIGHT 16

static void restarted (limit_t *limit, clock_ms_t now);
static void turn_cold (limit_t *limit);
static void cut (limit_t *limit);
static void suspend (limit_t *limit, clock_ms_t now, clock_ms_t at_least_ms);
static void failed (limit_t *limit, clock_ms_t now);
static void good (limit_t *limit, clock_ms_t now);
static bool is_slow (int64_t latency_16, int64_t median_16);
static void average (int64_t *average_16, int64_t latency_16, int weight);
static void sample (limit_t *limit, clock_ms_t now, int64_t latency_16);
static void closed (limit_t *limit, clock_ms_t now, clock_ms_t idle_ms);
static void read_load (limit_t *limit, clock_ms_t now,
                       const decide_load_t *load);

static uint32_t
ceiling (const limit_t *limit)
{
  if (limit->reported_slots > 0 && limit->reported_slots < limit->slots)
    return limit->reported_slots;
  return limit->slots;
}

void
limit_init (limit_t *limit, uint32_t slots, clock_ms_t now)
{
  *limit = (limit_t){
    .slots = slots, .cold = true, .used_at = now, .limit = slots > 0 ? 1 : 0
  };
  limit->probed_at = now - PROBE_INTERVAL_MS;
  limit->step_ms = RAMP_STEP_MS;
  limit->step_from = now + RAMP_STEP_MS;
  limit->restarted_at = now;
}

void
limit_set_slots (limit_t *limit, uint32_t slots)
{
  limit->slots = slots;
  if (limit->limit > slots)
    limit->limit = slots;
  /* Slots of 0 take an endpoint out of use; it returns with one.  */
  if (limit->limit == 0 && slots > 0)
    limit->limit = 1;
}

static void
turn_cold (limit_t *limit)
{
  limit->cold = true;
  limit->limit = limit->slots > 0 ? 1 : 0;
  limit->good = 0;
}

/* The server may have lost its caches: the ramp takes some time.  */
static void
restarted (limit_t *limit, clock_ms_t now)
{
  turn_cold (limit);
  limit->step_ms = RAMP_STEP_MS;
  limit->step_from = now + RAMP_STEP_MS;
  limit->restarted_at = now;
  limit->before_close = 0;
}

void
limit_set_cold (limit_t *limit, clock_ms_t now)
{
  restarted (limit, now);
}

bool
limit_export (const limit_t *limit, decide_handover_limit_t *state)
{
  *state = (decide_handover_limit_t){ .identity = limit->identity,
                                      .limit = limit->limit,
                                      .latency_16 = (uint32_t)limit->base_16,
                                      .draining = limit->draining };
  return limit->draining || (!limit->cold && !limit->suspended);
}

void
limit_import (limit_t *limit, clock_ms_t now,
              const decide_handover_limit_t *state)
{
  limit->identity = state->identity;
  limit->latency_16 = limit->base_16 = state->latency_16;
  limit->latency_at = limit->used_at = now;
  if (state->draining)
    {
      limit->draining = true;
      limit->drained_at = now;
      return;
    }
  limit->cold = false;
  limit->step_ms = 0;
  /* Connections that were used under the previous owner tell of restarts.  */
  limit->restarted_at = now - IDLE_COLD_MS;
  limit->limit = state->limit > 0 ? state->limit : 1;
  if (limit->limit > limit->slots)
    limit->limit = limit->slots;
}

uint32_t
limit_current (const limit_t *limit)
{
  if (limit->draining || limit->suspended)
    return 0;
  return limit->limit;
}

void
limit_used (limit_t *limit, clock_ms_t now, uint32_t in_flight)
{
  if (in_flight == 0 && now - limit->used_at >= IDLE_COLD_MS)
    restarted (limit, now);
  limit->used_at = now;
}

static void
cut (limit_t *limit)
{
  limit->good = 0;
  if (limit->limit > 1)
    limit->limit /= 2;
}

static void
suspend (limit_t *limit, clock_ms_t now, clock_ms_t at_least_ms)
{
  clock_ms_t wait;

  /* Answers of attempts that ran before the suspension do not prolong it. */
  if (limit->suspended)
    return;
  limit->backoff_ms
      = limit->backoff_ms == 0 ? BACKOFF_MIN_MS : 2 * limit->backoff_ms;
  if (limit->backoff_ms > BACKOFF_MAX_MS)
    limit->backoff_ms = BACKOFF_MAX_MS;
  wait = limit->backoff_ms;
  if (wait < at_least_ms)
    wait = at_least_ms < BACKOFF_MAX_MS ? at_least_ms : BACKOFF_MAX_MS;
  restarted (limit, now);
  limit->suspended = true;
  limit->probe_from = now + wait;
}

static void
failed (limit_t *limit, clock_ms_t now)
{
  limit->failures++;
  if (limit->failures >= FAILURE_RUN)
    suspend (limit, now, 0);
}

static void
good (limit_t *limit, clock_ms_t now)
{
  uint32_t needed = limit->cold ? RAMP_GOOD : RAISE_GOOD;

  limit->failures = 0;
  limit->good++;
  if (limit->good < needed)
    return;
  if (limit->cold && now < limit->step_from)
    return;
  if (limit->reported_cold && now - limit->cold_since < COLD_REPORT_MS)
    return;
  limit->good = 0;
  limit->step_from = now + limit->step_ms;
  limit->backoff_ms = 0;
  if (limit->limit < ceiling (limit))
    limit->limit++;
  if (limit->limit >= ceiling (limit))
    {
      limit->cold = false;
      limit->step_ms = 0;
    }
}

static bool
is_slow (int64_t latency_16, int64_t median_16)
{
  return median_16 > 0 && latency_16 > SLOW_FACTOR * median_16
         && latency_16 > median_16 + (int64_t)SLOW_MIN_MS * SIXTEENTHS;
}

static void
average (int64_t *average_16, int64_t latency_16, int weight)
{
  if (*average_16 == 0)
    *average_16 = latency_16;
  else
    *average_16 += (latency_16 - *average_16) / weight;
  if (*average_16 < 1)
    *average_16 = 1;
}

static void
sample (limit_t *limit, clock_ms_t now, int64_t latency_16)
{
  average (&limit->latency_16, latency_16, RECENT_WEIGHT);
  average (&limit->base_16, latency_16, BASE_WEIGHT);
  limit->latency_at = now;
}

static void
read_load (limit_t *limit, clock_ms_t now, const decide_load_t *load)
{
  bool replaced;

  if (!load->present)
    return;
  replaced = load->identity != 0 && limit->identity != 0
             && load->identity != limit->identity;
  if (load->identity != 0)
    limit->identity = load->identity;
  if (replaced || (load->cold && !limit->reported_cold))
    {
      restarted (limit, now);
      limit->cold_since = now;
    }
  limit->reported_cold = load->cold;
  limit->reported_slots = load->slots;
  if (limit->limit > ceiling (limit))
    limit->limit = ceiling (limit);
  if (load->draining)
    {
      if (!limit->draining)
        limit->probe_from = now + PROBE_INTERVAL_MS;
      limit->draining = true;
      limit->drained_at = now;
    }
}

static void
closed (limit_t *limit, clock_ms_t now, clock_ms_t idle_ms)
{
  uint32_t before = limit->cold ? 0 : limit->limit;

  if (limit->identity == 0 && idle_ms >= IDLE_CLOSE_MS)
    return;
  restarted (limit, now);
  limit->before_close = before;
}

void
limit_confirm (limit_t *limit, clock_ms_t granted_at,
               const decide_load_t *load)
{
  if (limit->before_close == 0 || granted_at <= limit->restarted_at
      || !load->present || load->cold || load->identity == 0
      || load->identity != limit->identity)
    return;
  limit->limit = limit->before_close;
  limit->before_close = 0;
  limit->cold = false;
  limit->step_ms = 0;
}

void
limit_ended (limit_t *limit, clock_ms_t now, const decide_attempt_end_t *end,
             int64_t median_16)
{
  int64_t latency_16 = (int64_t)end->latency_ms * SIXTEENTHS;
  bool slow = is_slow (latency_16, median_16);

  limit->used_at = now;
  read_load (limit, now, &end->load);
  switch (end->result)
    {
    case DECIDE_ATTEMPT_ANSWERED:
      if (end->status >= STATUS_SERVER_ERROR)
        {
          /* The latency is left out: failing fast is not being fast.  */
          failed (limit, now);
          return;
        }
      sample (limit, now, latency_16);
      break;
    case DECIDE_ATTEMPT_SHED:
      if (limit->limit <= 1)
        suspend (limit, now, end->retry_after_ms);
      else
        cut (limit);
      return;
    case DECIDE_ATTEMPT_NOT_SENT:
      suspend (limit, now, 0);
      return;
    case DECIDE_ATTEMPT_RESET:
    case DECIDE_ATTEMPT_BROKEN:
      restarted (limit, now);
      failed (limit, now);
      return;
    case DECIDE_ATTEMPT_TIMEOUT:
    case DECIDE_ATTEMPT_CANCELLED:
      /* The latency is a lower bound: it tells something only if it is
         slow.  A caller with little time left ends many attempts early.  */
      if (!slow)
        return;
      sample (limit, now, latency_16);
      break;
    case DECIDE_ATTEMPT_CLOSED:
      /* A connection that was last used before the restart that is known
         tells nothing new.  */
      if (now - end->latency_ms >= limit->restarted_at)
        closed (limit, now, end->latency_ms);
      return;
    case DECIDE_ATTEMPT_UNUSED:
    default:
      return;
    }
  if (is_slow (limit->latency_16, median_16))
    turn_cold (limit);
  else
    good (limit, now);
}

bool
limit_probe_due (const limit_t *limit, clock_ms_t now)
{
  return now >= limit_due (limit);
}

clock_ms_t
limit_due (const limit_t *limit)
{
  clock_ms_t from = limit->probe_from;

  if ((!limit->suspended && !limit->draining) || limit->probing
      || limit->slots == 0)
    return INT64_MAX;
  if (from < limit->probed_at + PROBE_INTERVAL_MS)
    from = limit->probed_at + PROBE_INTERVAL_MS;
  return from;
}

void
limit_probe_started (limit_t *limit, clock_ms_t now)
{
  limit->probing = true;
  limit->probed_at = now;
}

void
limit_probed (limit_t *limit, clock_ms_t now, bool ok,
              const decide_load_t *load)
{
  uint64_t identity = limit->identity;
  bool replaced;

  limit->probing = false;
  limit->backoff_ms
      = limit->backoff_ms == 0 ? BACKOFF_MIN_MS : 2 * limit->backoff_ms;
  if (limit->backoff_ms > BACKOFF_MAX_MS)
    limit->backoff_ms = BACKOFF_MAX_MS;
  limit->probe_from = now + limit->backoff_ms;
  if (!ok)
    return;
  read_load (limit, now, load);
  replaced = load->present && load->identity != 0 && identity != 0
             && load->identity != identity;
  if (load->present && load->draining)
    return;
  if (limit->draining && !replaced && now - limit->drained_at < DRAIN_HOLD_MS)
    return;
  limit->draining = false;
  limit->suspended = false;
  limit->failures = 0;
  restarted (limit, now);
}

int64_t
limit_score (const limit_t *limit, clock_ms_t now, int64_t median_16)
{
  clock_ms_t age = now - limit->latency_at;

  if (limit->latency_16 == 0 || age >= SCORE_FADE_MS)
    return median_16;
  return median_16
         + (limit->latency_16 - median_16) * (SCORE_FADE_MS - age)
               / SCORE_FADE_MS;
}
