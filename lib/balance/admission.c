#include "admission.h"

/* Time allowed for the transfer of a response from the endpoint to the
   client.  */
#define RESPONSE_TRANSIT_MS 10
/* Highest reported slowdown, as a percentage of the normal duration, at which
   an endpoint gets a request that can no longer meet its target.  Such a
   request must not delay others, so the endpoint must also be running no
   request at all, unless the request has already waited for its longest
   allowed time.  */
#define LATE_SLOWDOWN_MAX_PERCENT 150
/* Longest time that a request which is not urgent waits for a free slot before
   it is refused, as a multiple of its target response time.  */
#define WAIT_MAX_FACTOR 1.0
/* Longest time that an urgent request waits for a free slot before it is
   refused, as a multiple of its target response time.  */
#define WAIT_MAX_FACTOR_URGENT 1.5
/* A request is refused when the time until its response deadline is less than
   this multiple of its service time.  */
#define TIME_LEFT_MIN_FACTOR 1.1

/* Longest time that a refused client is told to wait before it retries.  */
#define RETRY_AFTER_MAX_MS 1000
/* Lower limit of the mean of the time that a refused client is told to wait.
   A shorter mean would have no effect, because the client needs longer than
   that to reach another instance.  */
#define RETRY_AFTER_MIN_MS 20

static double wait_max_ms (const admission_request_t *request);

bool
admission_can_meet_target (const admission_request_t *request, clock_ms_t now)
{
  return (double)(now - request->first_requested_at) + request->service_time_ms
             + RESPONSE_TRANSIT_MS
         <= (double)request->target;
}

bool
admission_is_infeasible (const admission_request_t *request, clock_ms_t now)
{
  return (double)(request->response_deadline - now)
         < request->service_time_ms * TIME_LEFT_MIN_FACTOR;
}

/* Returns the longest time in ms that the request may wait for an endpoint,
   from the time at which it began to wait.  */
static double
wait_max_ms (const admission_request_t *request)
{
  return (double)request->target
         * (request->urgent ? WAIT_MAX_FACTOR_URGENT : WAIT_MAX_FACTOR);
}

clock_ms_t
admission_patience_ms (const admission_request_t *request, clock_ms_t now)
{
  double left = wait_max_ms (request) - (double)(now - request->waiting_since);
  double feasible = (double)(request->response_deadline - now)
                    - request->service_time_ms * TIME_LEFT_MIN_FACTOR;

  return (clock_ms_t)MAX (MIN (left, feasible), 0);
}

admission_decision_t
admission_decide (const admission_request_t *request,
                  const backend_load_t *load, double expected_response_ms,
                  clock_ms_t now)
{
  double elapsed = (double)(now - request->first_requested_at);
  double waiting_time = (double)(now - request->waiting_since);
  double time_left = (double)(request->response_deadline - now);
  double waiting_time_max = wait_max_ms (request);
  bool has_free_slot;

  if (admission_is_infeasible (request, now))
    return ADMISSION_REFUSE;
  if (load == NULL)
    return waiting_time < waiting_time_max ? ADMISSION_WAIT : ADMISSION_REFUSE;
  has_free_slot = load->running + load->waiting < load->slots;
  if (has_free_slot
      && elapsed + expected_response_ms + RESPONSE_TRANSIT_MS
             <= (double)request->target)
    return ADMISSION_SEND;
  if (admission_can_meet_target (request, now))
    return ADMISSION_WAIT;
  if (has_free_slot && expected_response_ms <= time_left
      && load->slowdown_percent <= LATE_SLOWDOWN_MAX_PERCENT
      && (load->running == 0 || waiting_time >= waiting_time_max))
    return ADMISSION_SEND;
  return waiting_time < waiting_time_max ? ADMISSION_WAIT : ADMISSION_REFUSE;
}

bool
admission_has_precedence (const admission_request_t *a,
                          const admission_request_t *b, clock_ms_t now)
{
  bool a_can_meet_target = admission_can_meet_target (a, now);
  bool b_can_meet_target = admission_can_meet_target (b, now);

  if (a_can_meet_target != b_can_meet_target)
    return a_can_meet_target;
  if (a->urgent != b->urgent)
    return a->urgent;
  return a->first_requested_at + a->target < b->first_requested_at + b->target;
}

clock_ms_t
admission_retry_after_ms (bool was_shed, double service_time_ms,
                          decide_rng_t *rng)
{
  clock_ms_t delay = RETRY_AFTER_MIN_MS;

  if (!was_shed)
    delay = MAX (delay, (clock_ms_t)service_time_ms);
  delay = delay / 2 + decide_rng_below (rng, (uint32_t)delay + 1);
  return MIN (delay, RETRY_AFTER_MAX_MS);
}
