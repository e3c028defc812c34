#include "estimate.h"

/* Weight of the newest answer.  */
#define WORK_WEIGHT 0.05
/* A cold endpoint takes about twice as long as a warm one.  */
#define COLD_FACTOR 2.0
/* Smoothed slowdown of a full endpoint stays within these.  */
#define CROWDED_MAX 3.0
/* Share of the slots above which an endpoint counts as nearly full.  */
#define CROWDED_FROM 0.8

static bool is_crowded (const backend_load_t *load);

/* Whether one more request fills the endpoint.  */
static bool
is_crowded (const backend_load_t *load)
{
  return load->slots > 0
         && load->running + load->waiting + 1 > CROWDED_FROM * load->slots;
}

void
estimate_learn (service_t *service, work_class_t class,
                const backend_load_t *load, clock_ms_t took)
{
  double work = (double)took * 100.0 / MAX (load->pace, 100U);

  if (load->waiting > 0 || load->running >= load->slots)
    return;
  if (is_crowded (load))
    {
      double ratio;

      if (service->work[class] <= 0)
        return;
      ratio = CLAMP (work / service->work[class], 0.5, CROWDED_MAX);
      service->crowded += WORK_WEIGHT * (ratio - service->crowded);
      service->crowded = MAX (service->crowded, 1.0);
      return;
    }
  if (service->work[class] <= 0)
    service->work[class] = work;
  else
    service->work[class] += WORK_WEIGHT * (work - service->work[class]);
}

double
estimate_work (const service_t *service, work_class_t class,
               const backend_load_t *load, bool cold, clock_ms_t fallback)
{
  double work = service->work[class];

  if (work <= 0)
    work = (double)fallback;
  work *= MAX (load->pace, 100U) / 100.0;
  if (is_crowded (load))
    work *= service->crowded;
  if (cold)
    work *= COLD_FACTOR;
  return work;
}
