#include "admission.h"

/* Time of the answer's way to the caller.  */
#define TRAVEL_MS 10
/* Requests that are late already take only what others leave: endpoints whose
   pace is above this, and those without any work.  */
#define SLOW_PACE 150
/* Targets for which a request waits for a slot before it is refused.  */
#define PATIENCE 1.0
#define PATIENCE_URGENT 1.5
/* A request is given up when less than this many times its work is left.  */
#define HOPELESS_FACTOR 1.1

/* Longest and shortest mean time that a refused caller is told to wait; below
   the shortest its way to another instance takes longer.  */
#define RETURN_MAX_MS 1000
#define RETURN_MIN_MS 20

bool
admission_can_be_in_time (const admission_request_t *request, clock_ms_t now)
{
  return (double)(now - request->asked_at) + request->base + TRAVEL_MS
         <= (double)request->target;
}

bool
admission_is_hopeless (const admission_request_t *request, clock_ms_t now)
{
  return (double)(request->give_up_at - now) < request->base * HOPELESS_FACTOR;
}

admission_t
admission_decide (const admission_request_t *request,
                  const backend_load_t *load, double estimate, clock_ms_t now)
{
  double waited = (double)(now - request->asked_at);
  double waits = (double)(now - request->waits_since);
  double left = (double)(request->give_up_at - now);
  double patience = (double)request->target
                    * (request->urgent ? PATIENCE_URGENT : PATIENCE);
  bool has_room;

  if (admission_is_hopeless (request, now))
    return ADMISSION_REFUSE;
  if (load == NULL)
    return waits < patience ? ADMISSION_WAIT : ADMISSION_REFUSE;
  has_room = load->running + load->waiting < load->slots;
  if (has_room && waited + estimate + TRAVEL_MS <= (double)request->target)
    return ADMISSION_SEND;
  if (admission_can_be_in_time (request, now))
    return ADMISSION_WAIT;
  if (has_room && estimate <= left && load->pace <= SLOW_PACE
      && (load->running == 0 || waits >= patience))
    return ADMISSION_SEND;
  return waits < patience ? ADMISSION_WAIT : ADMISSION_REFUSE;
}

bool
admission_before (const admission_request_t *a, const admission_request_t *b,
                  clock_ms_t now)
{
  bool in_time_a = admission_can_be_in_time (a, now);
  bool in_time_b = admission_can_be_in_time (b, now);

  if (in_time_a != in_time_b)
    return in_time_a;
  if (a->urgent != b->urgent)
    return a->urgent;
  return a->asked_at + a->target < b->asked_at + b->target;
}

clock_ms_t
admission_return_after (bool shed, double base, decide_rng_t *rng)
{
  clock_ms_t time = RETURN_MIN_MS;

  if (!shed)
    time = MAX (time, (clock_ms_t)base);
  time = time / 2 + decide_rng_below (rng, (uint32_t)time + 1);
  return MIN (time, RETURN_MAX_MS);
}
