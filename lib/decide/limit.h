#ifndef PERIDOT_DECIDE_LIMIT_H
#define PERIDOT_DECIDE_LIMIT_H

/* Adaptive concurrency limit of one endpoint, from 1 to its slots.  The limit
   rises by one after a number of successes and is halved when the backend
   server sheds a request (AIMD).  A cold endpoint begins with a limit of 1
   (slow start).  A failing endpoint is suspended until a probe succeeds, as by
   a circuit breaker.  While the endpoint is suspended or draining,
   limit_current() is 0.  */

#include "decide.h"

/* Times are in ms.  */
typedef struct limit
{
  uint32_t slots;          /* configured maximum of the limit */
  uint32_t limit;          /* in slots; used when neither draining nor
                              suspended */
  uint32_t successes;      /* successes since the limit last changed */
  uint32_t failures;       /* consecutive failed attempts */
  uint32_t reported_slots; /* slots in the server's last report; 0: none */
  bool cold;               /* in slow start */
  bool reported_cold;      /* the server's last report says that it is cold */
  bool draining;
  bool suspended;              /* only a successful probe ends this state */
  bool probing;                /* a probe is under way */
  clock_ms_t cold_reported_at; /* when the server began to report cold */
  /* Shortest time between two rises of the limit while cold after a restart,
     else 0.  */
  clock_ms_t slow_start_step_ms;
  clock_ms_t next_step_at; /* earliest time of the next rise while cold */
  /* Limit before a closed connection was taken as a sign of a restart; 0 if
     the present slow start has another reason.  */
  uint32_t limit_before_close;
  clock_ms_t restarted_at;     /* when the last restart became known */
  clock_ms_t last_used_at;     /* when a grant was last issued or an attempt
                                  last ended */
  clock_ms_t last_draining_at; /* last report that the server drains */
  clock_ms_t next_probe_at;    /* earliest time of the next probe */
  clock_ms_t last_probe_at;    /* start of the last probe */
  /* Latest delay before a probe.  It doubles each time, until enough
     successes for a rise of the limit set it to 0.  */
  clock_ms_t backoff_ms;
  uint64_t identity; /* of the server process; 0 until reported */
  /* Moving averages of the latency in 1/16 ms; 0 without a sample.  The
     short-term average, @latency_sixteenths, shows a sudden change; the
     long-term one, @baseline_latency_sixteenths, is compared with that of
     other endpoints.  */
  int64_t latency_sixteenths;
  int64_t baseline_latency_sixteenths;
  clock_ms_t last_sample_at; /* last latency sample */
} limit_t;

/* Initializes the limit of an endpoint in the cold state.  */
void limit_init (limit_t *limit, uint32_t slots, clock_ms_t now);
/* Changes the configured maximum; lowers the limit to it if needed.  */
void limit_set_slots (limit_t *limit, uint32_t slots);
/* Restarts the slow start: the server may have lost its caches.  */
void limit_set_cold (limit_t *limit, clock_ms_t now);

/* Writes the state that is handed over to the next owner of the pool.
   Return: whether the next owner should adopt it, that is, whether the
   endpoint is draining, or is neither cold nor suspended.  */
bool limit_export (const limit_t *limit, decide_handover_limit_t *state);
/* Adopts the state that limit_export() wrote at the previous owner.  */
void limit_import (limit_t *limit, clock_ms_t now,
                   const decide_handover_limit_t *state);

/**
 * limit_current() - get the number of slots that may be in use now
 * Return: 0 while draining or suspended, else 1 to the endpoint's slots (0 if
 *   it has no slots).
 */
uint32_t limit_current (const limit_t *limit);

/**
 * limit_record_grant() - record that a grant is about to be issued
 * @in_flight: number of outstanding grants without the new one
 *
 * An endpoint that has no outstanding grants and was not used for 10 s is
 * marked as cold.
 */
void limit_record_grant (limit_t *limit, clock_ms_t now, uint32_t in_flight);

/**
 * limit_restore_if_same_process() - undo the slow start that a closed
 * connection caused
 * @granted_at: time in ms at which the grant of the attempt was issued
 * @load: load report that came with the attempt's response
 *
 * Must be called before limit_record_attempt() for the same attempt.  A
 * connection that was found closed is taken as a sign of a restart.  If the
 * same process reports its load for a grant that was issued later, the server
 * did not restart, and the old limit is restored.
 */
void limit_restore_if_same_process (limit_t *limit, clock_ms_t granted_at,
                                    const decide_load_t *load);

/**
 * limit_record_attempt() - adapt the limit to the end of an attempt
 * @end: result of the attempt
 * @median_sixteenths: median of the long-term latency averages of the pool's
 *   endpoints in 1/16 ms, or 0 when there is no other endpoint to compare
 *   with
 */
void limit_record_attempt (limit_t *limit, clock_ms_t now,
                           const decide_attempt_end_t *end,
                           int64_t median_sixteenths);

/* Returns whether a probe is due.  Only an endpoint that is suspended or
   draining is probed.  */
bool limit_is_probe_due (const limit_t *limit, clock_ms_t now);
/* Records that a probe of the endpoint begins now.  */
void limit_record_probe_start (limit_t *limit, clock_ms_t now);
/* Handles the end of a probe.  @ok says whether it succeeded; @load is used
   only then.  */
void limit_handle_probe_result (limit_t *limit, clock_ms_t now, bool ok,
                                const decide_load_t *load);

/* Returns the earliest time in ms of the next probe, or INT64_MAX if none is
   needed or one is under way.  */
clock_ms_t limit_next_probe_at (const limit_t *limit);

/**
 * limit_decayed_latency_sixteenths() - get the latency by which endpoints are
 * compared
 *
 * Return: the short-term average in 1/16 ms, which decays to
 *   @median_sixteenths while there are no new samples, so that an endpoint
 * that was slow is used again.
 */
int64_t limit_decayed_latency_sixteenths (const limit_t *limit, clock_ms_t now,
                                          int64_t median_sixteenths);

#endif
