#include "admission.h"

/* Part of the target that a request waits for a free slot before it is sent
   to a queue or refused.  */
#define HOLD_SHARE 0.30
#define HOLD_SHARE_URGENT 0.45
/* Part of the target that a request waits for an endpoint that would answer
   within the target, while slower ones are free.  */
#define BETTER_SHARE 0.25
/* Waiting longer than this for an answer of any endpoint is no use.  */
#define SILENT_SHARE 0.6
#define RETRY_AFTER_DEFAULT_MS 100

admission_t
admission_decide (const admission_request_t *request,
                  const backend_load_t *load, double estimate, clock_ms_t now)
{
  clock_ms_t waited = now - request->arrived;
  double target = (double)request->target;
  double hold = target * (request->urgent ? HOLD_SHARE_URGENT : HOLD_SHARE);

  if (load == NULL)
    return (double)waited < target * SILENT_SHARE ? ADMISSION_WAIT
                                                  : ADMISSION_REFUSE;
  if (load->running + load->waiting < load->slots)
    {
      if ((double)waited + estimate <= target
          || (double)waited >= target * BETTER_SHARE)
        return ADMISSION_SEND;
      return ADMISSION_WAIT;
    }
  if ((double)waited < hold)
    return ADMISSION_WAIT;
  return request->urgent ? ADMISSION_SEND : ADMISSION_REFUSE;
}

bool
admission_before (const admission_request_t *a, const admission_request_t *b,
                  double work_a, double work_b, clock_ms_t now)
{
  bool in_time_a = (double)(now - a->arrived) + work_a <= (double)a->target;
  bool in_time_b = (double)(now - b->arrived) + work_b <= (double)b->target;

  if (in_time_a != in_time_b)
    return in_time_a;
  if (a->urgent != b->urgent)
    return a->urgent;
  return a->arrived + a->target < b->arrived + b->target;
}

clock_ms_t
admission_retry_after (const service_t *service)
{
  double work = 0;
  int known = 0;

  for (int i = 0; i < WORK_CLASSES; i++)
    if (service->work[i] > 0)
      {
        work += service->work[i];
        known++;
      }
  return known == 0 ? RETRY_AFTER_DEFAULT_MS : (clock_ms_t)(work / known);
}
