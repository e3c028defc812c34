#include "probing.h"

#include <glib.h>

/* Capacity of the bucket, in seconds of the rate.  The sites limit the mean
   rate of a day, and their disturbances last 3 to 15 seconds.  */
#define TOKENS_MAX_S 30.0
/* Tokens of an instance when it starts, in seconds of the rate.  */
#define TOKENS_INITIAL_S 1.0
/* Tokens reserved for new requests, in seconds of the rate.  With fewer
   tokens, the pause between rounds for waiting requests is longer.  */
#define TOKENS_RESERVE_S 1.0
/* Share of the rate that waiting requests may use below the reserve.  */
#define WAITING_RATE_SHARE 0.5
/* Limits of the pause.  The shortest is this short because the loads of
   endpoints change many times a second.  */
#define PAUSE_MIN_MS 12
#define PAUSE_MAX_MS 200

int
probing_take (probing_t *probing, double rate, int wanted, clock_ms_t now)
{
  if (rate <= 0)
    return wanted;
  if (!probing->is_started)
    probing->tokens = rate * TOKENS_INITIAL_S;
  else
    probing->tokens = MIN (
        probing->tokens + rate * (double)(now - probing->refilled_at) / 1000.0,
        rate * TOKENS_MAX_S);
  probing->is_started = true;
  probing->refilled_at = now;
  wanted = MIN (wanted, (int)probing->tokens);
  probing->tokens -= wanted;
  return wanted;
}

clock_ms_t
probing_pause (const probing_t *probing, double rate, int count)
{
  if (rate <= 0 || probing->tokens > rate * TOKENS_RESERVE_S)
    return PAUSE_MIN_MS;
  return CLAMP ((clock_ms_t)(count * 1000.0 / (rate * WAITING_RATE_SHARE)),
                PAUSE_MIN_MS, PAUSE_MAX_MS);
}
