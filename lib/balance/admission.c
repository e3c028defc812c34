#include "admission.h"

/* Time in which a response reaches the client.  */
#define RESPONSE_TRANSIT_MS 10
/* A request that has missed its target is sent only to endpoints that others
   do not need: to those that report at most this slowdown, and while it has
   not waited for long, to those without any running request.  */
#define LATE_SLOWDOWN_MAX_PERCENT 150
/* Longest wait for a slot before a request is refused, in multiples of its
   target.  */
#define WAIT_MAX_TARGETS 1.0
#define WAIT_MAX_TARGETS_URGENT 1.5
/* A request is refused when the time left is less than this multiple of its
   service time.  */
#define TIME_LEFT_MIN_FACTOR 1.1

/* Longest delay, and shortest mean delay, after which a refused client is told
   to retry.  With a delay below the shortest, the client would need longer
   than that to reach another instance.  */
#define RETRY_AFTER_MAX_MS 1000
#define RETRY_AFTER_MIN_MS 20

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

admission_decision_t
admission_decide (const admission_request_t *request,
                  const backend_load_t *load, double estimate, clock_ms_t now)
{
  double elapsed = (double)(now - request->first_requested_at);
  double waiting_time = (double)(now - request->waiting_since);
  double left = (double)(request->response_deadline - now);
  double waiting_time_max
      = (double)request->target
        * (request->urgent ? WAIT_MAX_TARGETS_URGENT : WAIT_MAX_TARGETS);
  bool has_room;

  if (admission_is_infeasible (request, now))
    return ADMISSION_REFUSE;
  if (load == NULL)
    return waiting_time < waiting_time_max ? ADMISSION_WAIT : ADMISSION_REFUSE;
  has_room = load->running + load->waiting < load->slots;
  if (has_room
      && elapsed + estimate + RESPONSE_TRANSIT_MS <= (double)request->target)
    return ADMISSION_SEND;
  if (admission_can_meet_target (request, now))
    return ADMISSION_WAIT;
  if (has_room && estimate <= left
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
admission_retry_after_ms (bool shed, double service_time_ms, decide_rng_t *rng)
{
  clock_ms_t retry_after = RETRY_AFTER_MIN_MS;

  if (!shed)
    retry_after = MAX (retry_after, (clock_ms_t)service_time_ms);
  retry_after
      = retry_after / 2 + decide_rng_below (rng, (uint32_t)retry_after + 1);
  return MIN (retry_after, RETRY_AFTER_MAX_MS);
}
