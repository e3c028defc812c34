#include "probing.h"

#include <glib.h>

/* Seconds of the rate that can be saved.  The users bound the mean of a day,
   and their troubles last 3 to 15 seconds.  */
#define SAVED_MAX_S 30.0
/* Seconds of the rate that an instance has when it starts.  */
#define SAVED_FIRST_S 1.0
/* Kept for new requests: a pause of waiting requests grows below it.  */
#define RESERVE_S 1.0
/* Part of the rate that waiting requests use while little is saved.  */
#define WAITING_SHARE 0.5
/* Shortest pause; endpoints' loads change many times a second.  */
#define PAUSE_MIN_MS 12
#define PAUSE_MAX_MS 200

int
probing_take (probing_t *probing, double rate, int wanted, clock_ms_t now)
{
  if (rate <= 0)
    return wanted;
  if (!probing->begun)
    probing->saved = rate * SAVED_FIRST_S;
  else
    probing->saved
        = MIN (probing->saved + rate * (double)(now - probing->at) / 1000.0,
               rate * SAVED_MAX_S);
  probing->begun = true;
  probing->at = now;
  wanted = MIN (wanted, (int)probing->saved);
  probing->saved -= wanted;
  return wanted;
}

clock_ms_t
probing_pause (const probing_t *probing, double rate, int count)
{
  if (rate <= 0 || probing->saved > rate * RESERVE_S)
    return PAUSE_MIN_MS;
  return CLAMP ((clock_ms_t)(count * 1000.0 / (rate * WAITING_SHARE)),
                PAUSE_MIN_MS, PAUSE_MAX_MS);
}
