#include "drain_rate.h"

#include <math.h>

/* Time in which the weight of an observation falls to 1/e.  Short enough to
   follow endpoints whose speed changes.  */
#define DECAY_MS 1500.0
/* Time with waiting requests that has to be observed before the rate is
   used.  */
#define QUEUED_MIN_MS 400.0
/* Requests that are assumed to leave the queue in the observed time, in
   addition to those that did, so that a rate is never taken as 0.  */
#define SENT_PRIOR 0.5

void
drain_rate_observe (drain_rate_t *rate, int sent, int left, clock_ms_t now)
{
  clock_ms_t elapsed = rate->observed_at != 0 ? now - rate->observed_at : 0;
  double weight = exp (-(double)elapsed / DECAY_MS);

  rate->queued_ms *= weight;
  rate->sent *= weight;
  if (rate->left > 0)
    {
      rate->queued_ms += (double)elapsed;
      rate->sent += sent;
    }
  rate->left = left;
  rate->observed_at = now;
}

clock_ms_t
drain_rate_wait_ms (const drain_rate_t *rate, int ahead)
{
  if (rate->queued_ms < QUEUED_MIN_MS)
    return -1;
  return (clock_ms_t)((ahead + 1) * rate->queued_ms
                      / (rate->sent + SENT_PRIOR));
}
