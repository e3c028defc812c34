#include "probing.h"

#include <glib.h>

/* Capacity of the token bucket, as the number of seconds in which the rate
   fills it.  A large bucket is possible because the sites limit only the mean
   rate over a day.  It lets an instance probe more often during a disturbance
   at a site, which lasts 3 to 15 seconds.  */
#define BUCKET_CAPACITY_S 30.0
/* Tokens of an instance that has just started, as the number of seconds in
   which the rate adds them.  */
#define INITIAL_TOKENS_S 1.0
/* Tokens reserved for new requests, as the number of seconds in which the rate
   adds them.  When no more than these are left, the pause between rounds of
   probes for waiting requests is longer.  */
#define RESERVED_TOKENS_S 1.0
/* Share of the rate that rounds of probes for waiting requests may use while
   only reserved tokens are left.  */
#define WAITING_RATE_SHARE 0.5
/* Shortest pause between rounds of probes for waiting requests.  It is this
   short because the load of an endpoint changes many times a second.  */
#define PAUSE_MIN_MS 12
/* Longest pause between rounds of probes for waiting requests.  */
#define PAUSE_MAX_MS 200

int
probing_take_tokens (probing_t *probing, double rate, int wanted,
                     clock_ms_t now)
{
  if (rate <= 0)
    return wanted;
  if (!probing->has_initial_tokens)
    probing->tokens = rate * INITIAL_TOKENS_S;
  else
    probing->tokens = MIN (
        probing->tokens + rate * (double)(now - probing->refilled_at) / 1000.0,
        rate * BUCKET_CAPACITY_S);
  probing->has_initial_tokens = true;
  probing->refilled_at = now;
  wanted = MIN (wanted, (int)probing->tokens);
  probing->tokens -= wanted;
  return wanted;
}

clock_ms_t
probing_round_pause_ms (const probing_t *probing, double rate, int count)
{
  if (rate <= 0 || probing->tokens > rate * RESERVED_TOKENS_S)
    return PAUSE_MIN_MS;
  return CLAMP ((clock_ms_t)(count * 1000.0 / (rate * WAITING_RATE_SHARE)),
                PAUSE_MIN_MS, PAUSE_MAX_MS);
}
