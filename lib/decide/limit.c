#include "limit.h"

/* Numbers of successful responses after which the limit rises by one:
   SLOW_START_SUCCESSES while cold, INCREASE_SUCCESSES otherwise.  */
#define SLOW_START_SUCCESSES 8
#define INCREASE_SUCCESSES 4
/* A server that reports itself as cold gets one request at a time for at most
   this long.  If it reports so for longer, the report is taken as wrong.  */
#define COLD_REPORT_MAX_MS 60000
/* Shortest time between two rises of the limit after a restart: many fast
   responses in a short time do not show that a server has warmed up.  */
#define SLOW_START_STEP_MS 250
/* A server without requests for this long is taken to have lost its caches and
   connection pools.  */
#define COLD_AFTER_IDLE_MS 10000
/* Servers may close connections that were idle for this time or longer.  A
   server without an identity in its reports would be taken as restarted at
   each such close, so the close is then ignored.  */
#define KEEPALIVE_TIMEOUT_MIN_MS 2000
/* An endpoint is slow when its latency exceeds SLOW_FACTOR times the pool's
   median and also exceeds the median by SLOW_MIN_EXCESS_MS.  Small differences
   between fast responses are noise.  */
#define SLOW_FACTOR 3
#define SLOW_MIN_EXCESS_MS 4
/* Number of consecutive connection resets and broken or failing responses that
   suspend the endpoint.  */
#define CONSECUTIVE_FAILURES_MAX 3
/* Delay before the next probe: exponential backoff.  */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
/* Shortest time between two probes of one endpoint.  */
#define PROBE_INTERVAL_MS 1000
/* The load report in the response to a probe may be outdated.  A successful
   probe that does not report draining therefore ends the draining state only
   if this time has passed since the last report of draining, or if the server
   process was replaced.  */
#define DRAIN_HOLD_DOWN_MS 30000
/* Time without samples after which limit_decayed_latency_sixteenths() has
   decayed to the median.  */
#define LATENCY_DECAY_MS 200
#define STATUS_SERVER_ERROR 500
/* Factor between ms and 1/16 ms, the unit of latency averages.  */
#define SIXTEENTHS 16
/* The newest sample has a weight of 1 / divisor in a moving average:
   RECENT_EWMA_DIVISOR for @latency_sixteenths, BASELINE_EWMA_DIVISOR for
   @baseline_latency_sixteenths.  */
#define RECENT_EWMA_DIVISOR 4
#define BASELINE_EWMA_DIVISOR 16

static void restart_slow_start (limit_t *limit, clock_ms_t now);
static void mark_cold (limit_t *limit);
static void halve_limit (limit_t *limit);
static void suspend (limit_t *limit, clock_ms_t now, clock_ms_t min_wait_ms);
static void count_failure (limit_t *limit, clock_ms_t now);
static void count_success (limit_t *limit, clock_ms_t now);
static bool is_slow (int64_t latency_sixteenths, int64_t median_sixteenths);
static void update_average (int64_t *average_sixteenths,
                            int64_t latency_sixteenths, int divisor);
static void add_latency_sample (limit_t *limit, clock_ms_t now,
                                int64_t latency_sixteenths);
static void handle_closed_connection (limit_t *limit, clock_ms_t now,
                                      clock_ms_t idle_ms);
static void update_from_load_report (limit_t *limit, clock_ms_t now,
                                     const decide_load_t *load);

/* Returns the configured slots, or the reported ones if these are fewer.  */
static uint32_t
highest_limit (const limit_t *limit)
{
  if (limit->reported_slots > 0 && limit->reported_slots < limit->slots)
    return limit->reported_slots;
  return limit->slots;
}

void
limit_init (limit_t *limit, uint32_t slots, clock_ms_t now)
{
  *limit = (limit_t){ .slots = slots,
                      .cold = true,
                      .last_used_at = now,
                      .limit = slots > 0 ? 1 : 0 };
  limit->last_probe_at = now - PROBE_INTERVAL_MS;
  limit->slow_start_step_ms = SLOW_START_STEP_MS;
  limit->next_step_at = now + SLOW_START_STEP_MS;
  limit->restarted_at = now;
}

void
limit_set_slots (limit_t *limit, uint32_t slots)
{
  limit->slots = slots;
  if (limit->limit > slots)
    limit->limit = slots;
  /* An endpoint with 0 slots is not used.  When it gets slots again, it begins
     with a limit of 1.  */
  if (limit->limit == 0 && slots > 0)
    limit->limit = 1;
}

/* Marks the endpoint as cold, with a limit of 1; does not change
   slow_start_step_ms.  */
static void
mark_cold (limit_t *limit)
{
  limit->cold = true;
  limit->limit = limit->slots > 0 ? 1 : 0;
  limit->successes = 0;
}

/* Begins the slow start of a server that may have lost its caches: besides the
   number of successes, each rise of the limit needs SLOW_START_STEP_MS.  */
static void
restart_slow_start (limit_t *limit, clock_ms_t now)
{
  mark_cold (limit);
  limit->slow_start_step_ms = SLOW_START_STEP_MS;
  limit->next_step_at = now + SLOW_START_STEP_MS;
  limit->restarted_at = now;
  limit->limit_before_close = 0;
}

void
limit_set_cold (limit_t *limit, clock_ms_t now)
{
  restart_slow_start (limit, now);
}

bool
limit_export (const limit_t *limit, decide_handover_limit_t *state)
{
  *state = (decide_handover_limit_t){
    .identity = limit->identity,
    .limit = limit->limit,
    .latency_16 = (uint32_t)limit->baseline_latency_sixteenths,
    .draining = limit->draining
  };
  return limit->draining || (!limit->cold && !limit->suspended);
}

void
limit_import (limit_t *limit, clock_ms_t now,
              const decide_handover_limit_t *state)
{
  limit->identity = state->identity;
  limit->latency_sixteenths = limit->baseline_latency_sixteenths
      = state->latency_16;
  limit->last_sample_at = limit->last_used_at = now;
  if (state->draining)
    {
      limit->draining = true;
      limit->last_draining_at = now;
      return;
    }
  limit->cold = false;
  limit->slow_start_step_ms = 0;
  /* A connection that was last used under the previous owner and is found
     closed counts as a sign of a restart, too.  */
  limit->restarted_at = now - COLD_AFTER_IDLE_MS;
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
limit_record_grant (limit_t *limit, clock_ms_t now, uint32_t in_flight)
{
  if (in_flight == 0 && now - limit->last_used_at >= COLD_AFTER_IDLE_MS)
    restart_slow_start (limit, now);
  limit->last_used_at = now;
}

static void
halve_limit (limit_t *limit)
{
  limit->successes = 0;
  if (limit->limit > 1)
    limit->limit /= 2;
}

static void
suspend (limit_t *limit, clock_ms_t now, clock_ms_t min_wait_ms)
{
  clock_ms_t wait;

  /* Attempts that began before the suspension may end during it; their results
     do not prolong it.  */
  if (limit->suspended)
    return;
  limit->backoff_ms
      = limit->backoff_ms == 0 ? BACKOFF_MIN_MS : 2 * limit->backoff_ms;
  if (limit->backoff_ms > BACKOFF_MAX_MS)
    limit->backoff_ms = BACKOFF_MAX_MS;
  wait = limit->backoff_ms;
  if (wait < min_wait_ms)
    wait = min_wait_ms < BACKOFF_MAX_MS ? min_wait_ms : BACKOFF_MAX_MS;
  restart_slow_start (limit, now);
  limit->suspended = true;
  limit->next_probe_at = now + wait;
}

static void
count_failure (limit_t *limit, clock_ms_t now)
{
  limit->failures++;
  if (limit->failures >= CONSECUTIVE_FAILURES_MAX)
    suspend (limit, now, 0);
}

static void
count_success (limit_t *limit, clock_ms_t now)
{
  uint32_t needed = limit->cold ? SLOW_START_SUCCESSES : INCREASE_SUCCESSES;

  limit->failures = 0;
  limit->successes++;
  if (limit->successes < needed)
    return;
  if (limit->cold && now < limit->next_step_at)
    return;
  if (limit->reported_cold
      && now - limit->cold_reported_at < COLD_REPORT_MAX_MS)
    return;
  limit->successes = 0;
  limit->next_step_at = now + limit->slow_start_step_ms;
  limit->backoff_ms = 0;
  if (limit->limit < highest_limit (limit))
    limit->limit++;
  if (limit->limit >= highest_limit (limit))
    {
      limit->cold = false;
      limit->slow_start_step_ms = 0;
    }
}

static bool
is_slow (int64_t latency_sixteenths, int64_t median_sixteenths)
{
  return median_sixteenths > 0
         && latency_sixteenths > SLOW_FACTOR * median_sixteenths
         && latency_sixteenths
                > median_sixteenths + (int64_t)SLOW_MIN_EXCESS_MS * SIXTEENTHS;
}

static void
update_average (int64_t *average_sixteenths, int64_t latency_sixteenths,
                int divisor)
{
  if (*average_sixteenths == 0)
    *average_sixteenths = latency_sixteenths;
  else
    *average_sixteenths
        += (latency_sixteenths - *average_sixteenths) / divisor;
  if (*average_sixteenths < 1)
    *average_sixteenths = 1;
}

static void
add_latency_sample (limit_t *limit, clock_ms_t now, int64_t latency_sixteenths)
{
  update_average (&limit->latency_sixteenths, latency_sixteenths,
                  RECENT_EWMA_DIVISOR);
  update_average (&limit->baseline_latency_sixteenths, latency_sixteenths,
                  BASELINE_EWMA_DIVISOR);
  limit->last_sample_at = now;
}

static void
update_from_load_report (limit_t *limit, clock_ms_t now,
                         const decide_load_t *load)
{
  bool process_replaced;

  if (!load->present)
    return;
  process_replaced = load->identity != 0 && limit->identity != 0
                     && load->identity != limit->identity;
  if (load->identity != 0)
    limit->identity = load->identity;
  if (process_replaced || (load->cold && !limit->reported_cold))
    {
      restart_slow_start (limit, now);
      limit->cold_reported_at = now;
    }
  limit->reported_cold = load->cold;
  limit->reported_slots = load->slots;
  if (limit->limit > highest_limit (limit))
    limit->limit = highest_limit (limit);
  if (load->draining)
    {
      if (!limit->draining)
        limit->next_probe_at = now + PROBE_INTERVAL_MS;
      limit->draining = true;
      limit->last_draining_at = now;
    }
}

static void
handle_closed_connection (limit_t *limit, clock_ms_t now, clock_ms_t idle_ms)
{
  uint32_t before = limit->cold ? 0 : limit->limit;

  if (limit->identity == 0 && idle_ms >= KEEPALIVE_TIMEOUT_MIN_MS)
    return;
  restart_slow_start (limit, now);
  limit->limit_before_close = before;
}

void
limit_restore_if_same_process (limit_t *limit, clock_ms_t granted_at,
                               const decide_load_t *load)
{
  if (limit->limit_before_close == 0 || granted_at <= limit->restarted_at
      || !load->present || load->cold || load->identity == 0
      || load->identity != limit->identity)
    return;
  limit->limit = limit->limit_before_close;
  limit->limit_before_close = 0;
  limit->cold = false;
  limit->slow_start_step_ms = 0;
}

void
limit_record_attempt (limit_t *limit, clock_ms_t now,
                      const decide_attempt_end_t *end,
                      int64_t median_sixteenths)
{
  int64_t latency_sixteenths = (int64_t)end->latency_ms * SIXTEENTHS;
  bool slow = is_slow (latency_sixteenths, median_sixteenths);

  limit->last_used_at = now;
  update_from_load_report (limit, now, &end->load);
  switch (end->result)
    {
    case DECIDE_ATTEMPT_ANSWERED:
      if (end->status >= STATUS_SERVER_ERROR)
        {
          /* The latency of a failed response is not counted, since a server
             that fails fast must not appear fast.  */
          count_failure (limit, now);
          return;
        }
      add_latency_sample (limit, now, latency_sixteenths);
      break;
    case DECIDE_ATTEMPT_SHED:
      if (limit->limit <= 1)
        suspend (limit, now, end->retry_after_ms);
      else
        halve_limit (limit);
      return;
    case DECIDE_ATTEMPT_NOT_SENT:
      suspend (limit, now, 0);
      return;
    case DECIDE_ATTEMPT_RESET:
    case DECIDE_ATTEMPT_BROKEN:
      restart_slow_start (limit, now);
      count_failure (limit, now);
      return;
    case DECIDE_ATTEMPT_TIMEOUT:
    case DECIDE_ATTEMPT_CANCELLED:
      /* The attempt ended before the response, so the time that it took is
         only a lower bound of the latency and counts only if it is already
         slow.  A shorter time does not show a fast server: a client with
         little time left ends many attempts early.  */
      if (!slow)
        return;
      add_latency_sample (limit, now, latency_sixteenths);
      break;
    case DECIDE_ATTEMPT_CLOSED:
      /* For a closed connection, latency_ms is its idle time.  A connection
         that was last used before the last known restart gives no new
         information.  */
      if (now - end->latency_ms >= limit->restarted_at)
        handle_closed_connection (limit, now, end->latency_ms);
      return;
    case DECIDE_ATTEMPT_UNUSED:
    default:
      return;
    }
  if (is_slow (limit->latency_sixteenths, median_sixteenths))
    mark_cold (limit);
  else
    count_success (limit, now);
}

bool
limit_is_probe_due (const limit_t *limit, clock_ms_t now)
{
  return now >= limit_next_probe_at (limit);
}

clock_ms_t
limit_next_probe_at (const limit_t *limit)
{
  clock_ms_t earliest = limit->next_probe_at;

  if ((!limit->suspended && !limit->draining) || limit->probing
      || limit->slots == 0)
    return INT64_MAX;
  if (earliest < limit->last_probe_at + PROBE_INTERVAL_MS)
    earliest = limit->last_probe_at + PROBE_INTERVAL_MS;
  return earliest;
}

void
limit_record_probe_start (limit_t *limit, clock_ms_t now)
{
  limit->probing = true;
  limit->last_probe_at = now;
}

void
limit_handle_probe_result (limit_t *limit, clock_ms_t now, bool ok,
                           const decide_load_t *load)
{
  uint64_t previous_identity = limit->identity;
  bool process_replaced;

  limit->probing = false;
  limit->backoff_ms
      = limit->backoff_ms == 0 ? BACKOFF_MIN_MS : 2 * limit->backoff_ms;
  if (limit->backoff_ms > BACKOFF_MAX_MS)
    limit->backoff_ms = BACKOFF_MAX_MS;
  limit->next_probe_at = now + limit->backoff_ms;
  if (!ok)
    return;
  update_from_load_report (limit, now, load);
  process_replaced = load->present && load->identity != 0
                     && previous_identity != 0
                     && load->identity != previous_identity;
  if (load->present && load->draining)
    return;
  if (limit->draining && !process_replaced
      && now - limit->last_draining_at < DRAIN_HOLD_DOWN_MS)
    return;
  limit->draining = false;
  limit->suspended = false;
  limit->failures = 0;
  restart_slow_start (limit, now);
}

int64_t
limit_decayed_latency_sixteenths (const limit_t *limit, clock_ms_t now,
                                  int64_t median_sixteenths)
{
  clock_ms_t age = now - limit->last_sample_at;

  if (limit->latency_sixteenths == 0 || age >= LATENCY_DECAY_MS)
    return median_sixteenths;
  return median_sixteenths
         + (limit->latency_sixteenths - median_sixteenths)
               * (LATENCY_DECAY_MS - age) / LATENCY_DECAY_MS;
}
