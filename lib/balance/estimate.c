#include "estimate.h"

/* Step of a median towards the newest answer, as a share of it; the first
   answers move it faster.  */
#define MEDIAN_STEP 0.03
#define MEDIAN_FIRST_STEP 0.5
/* A cold endpoint takes about twice as long as a warm one.  */
#define COLD_FACTOR 2.0
/* Smoothed slowdown of a full endpoint stays below.  */
#define CROWDED_MAX 3.0
/* Share of the slots above which an endpoint counts as nearly full.  */
#define CROWDED_FROM 0.8
/* Share of its target that a request of an unknown route is taken to need. */
#define UNKNOWN_SHARE 0.4
#define PACE_USUAL 100U

static bool is_crowded (const backend_load_t *load);
static double median_after (double median, double answer, double step);

/* Whether one more request fills the endpoint.  */
static bool
is_crowded (const backend_load_t *load)
{
  return load->slots > 0
         && load->running + load->waiting + 1 > CROWDED_FROM * load->slots;
}

void
estimate_learn (service_t *service, work_t *work, const backend_load_t *load,
                clock_ms_t took)
{
  double ms = (double)took * PACE_USUAL / MAX (load->pace, PACE_USUAL);

  if (load->waiting > 0 || load->running >= load->slots)
    return;
  if (is_crowded (load))
    {
      if (work->ms > 0)
        service->crowded = CLAMP (
            median_after (service->crowded, ms / work->ms, MEDIAN_STEP), 1.0,
            CROWDED_MAX);
      return;
    }
  if (work->ms <= 0)
    work->ms = ms;
  else
    work->ms = median_after (
        work->ms, ms,
        MAX (MEDIAN_STEP, MEDIAN_FIRST_STEP / (work->known + 1)));
  work->known++;
}

/* A median moves by the same step however far away the answer is, so that slow
   endpoints don't spoil it.  */
static double
median_after (double median, double answer, double step)
{
  return answer > median ? MIN (median * (1.0 + step), answer)
                         : MAX (median * (1.0 - step), answer);
}

double
estimate_base (const work_t *work, clock_ms_t target)
{
  return work->ms > 0 ? work->ms : (double)target * UNKNOWN_SHARE;
}

double
estimate_at (const service_t *service, double base, const backend_load_t *load,
             bool cold)
{
  uint32_t busy = load->running + load->waiting;
  double ms = base * MAX (load->pace, PACE_USUAL) / PACE_USUAL;

  if (is_crowded (load))
    ms *= service->crowded;
  if (cold)
    ms *= COLD_FACTOR;
  /* What is ahead in the endpoint's queue is worked off slot by slot.  */
  if (load->slots > 0 && busy >= load->slots)
    ms *= 1.0 + (double)(busy - load->slots + 1) / load->slots;
  return ms;
}
