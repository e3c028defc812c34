#ifndef PERIDOT_DECIDE_LIMIT_H
#define PERIDOT_DECIDE_LIMIT_H

/* Concurrency limit of one endpoint: adaptive, from 1 to its slots, 0 while
   the endpoint drains or is suspended.  */

#include "decide.h"

typedef struct limit
{
  uint32_t slots;
  uint32_t limit;
  uint32_t good;           /* good answers since the last change */
  uint32_t failures;       /* failed attempts in a row */
  uint32_t reported_slots; /* 0 until reported */
  bool cold;
  bool reported_cold;
  bool draining;
  bool suspended; /* ended by a successful probe only */
  bool probing;
  clock_ms_t cold_since;   /* start of the report that it is cold */
  clock_ms_t step_ms;      /* shortest step of the ramp; 0 unless restarted */
  clock_ms_t step_from;    /* earliest time of the next rise while cold */
  uint32_t before_close;   /* limit before a connection was closed; 0: none */
  clock_ms_t restarted_at; /* when the last restart became known */
  clock_ms_t used_at;      /* last grant or answer */
  clock_ms_t drained_at;   /* last sign of draining */
  clock_ms_t probe_from;   /* earliest time of the next probe */
  clock_ms_t probed_at;    /* start of the last probe */
  clock_ms_t backoff_ms;
  uint64_t identity; /* 0 until reported */
  /* Moving averages of the latency in 1/16 ms; 0 without a sample.  The
     recent one shows a sudden change, the long one is the base to compare
     with.  */
  int64_t latency_16;
  int64_t base_16;
  clock_ms_t latency_at;
} limit_t;

/* Starts cold.  */
void limit_init (limit_t *limit, uint32_t slots, clock_ms_t now);
void limit_set_slots (limit_t *limit, uint32_t slots);
void limit_set_cold (limit_t *limit, clock_ms_t now);

/* Return: whether the next owner should go on with this state: the endpoint is
   warm and in use, or drains.  */
bool limit_export (const limit_t *limit, decide_handover_limit_t *state);
void limit_import (limit_t *limit, clock_ms_t now,
                   const decide_handover_limit_t *state);

/**
 * limit_current() - slots that may be in use now
 * Return: 0 while draining or suspended, else 1 to the endpoint's slots.
 */
uint32_t limit_current (const limit_t *limit);

/**
 * limit_used() - a grant is about to be made
 * @in_flight: outstanding grants without the new one; an endpoint that has
 *   none and was idle for long turns cold
 */
void limit_used (limit_t *limit, clock_ms_t now, uint32_t in_flight);

/**
 * limit_confirm() - a report of an attempt, before limit_ended()
 * @granted_at: when the owner granted the attempt
 *
 * When the same process reports after one of its connections was found
 * closed, it did not restart, and the limit is as it was before.
 */
void limit_confirm (limit_t *limit, clock_ms_t granted_at,
                    const decide_load_t *load);

/**
 * limit_ended() - an attempt ended
 * @median_16: median of the pool's long averages in 1/16 ms, or 0 when
 *   there is no other endpoint to compare with
 */
void limit_ended (limit_t *limit, clock_ms_t now,
                  const decide_attempt_end_t *end, int64_t median_16);

/* A probe is due when the endpoint is suspended or drains.  */
bool limit_probe_due (const limit_t *limit, clock_ms_t now);
void limit_probe_started (limit_t *limit, clock_ms_t now);
void limit_probed (limit_t *limit, clock_ms_t now, bool ok,
                   const decide_load_t *load);

/* Time of the next probe, or INT64_MAX.  */
clock_ms_t limit_due (const limit_t *limit);

/**
 * limit_score() - recent latency, for the choice among endpoints
 *
 * Return: latency in 1/16 ms; it fades to @median_16 without new samples, so
 * that an endpoint that was slow is tried again.
 */
int64_t limit_score (const limit_t *limit, clock_ms_t now, int64_t median_16);

#endif
