#ifndef PERIDOT_BALANCE_PROBING_H
#define PERIDOT_BALANCE_PROBING_H

/* Token bucket that limits the probes of this instance to its share of the
   allowed rate.  Tokens that are not used at low load are available for a
   later burst.  In a round of probes, a few endpoints are probed at the same
   time.  Rounds of probes for waiting requests are spaced out so that tokens
   are left for new requests, because an instance that cannot probe does not
   know the load of any endpoint.  */

#include <stdbool.h>

#include "clock.h"

typedef struct probing
{
  double tokens;           /* probes that may be sent now */
  clock_ms_t refilled_at;  /* ms; time up to which tokens have been added */
  bool has_initial_tokens; /* the initial tokens have been added */
} probing_t;

/**
 * probing_take_tokens() - take tokens for up to @wanted probes
 * @rate: probes per second of this instance; 0: unlimited
 *
 * Return: number of probes that may be sent; their tokens are taken.
 */
int probing_take_tokens (probing_t *probing, double rate, int wanted,
                         clock_ms_t now);

/**
 * probing_round_pause_ms() - compute the pause between rounds of probes for
 * waiting requests
 * @rate: probes per second of this instance; 0: unlimited
 * @count: number of probes in a round of probes
 *
 * Return: ms.
 */
clock_ms_t probing_round_pause_ms (const probing_t *probing, double rate,
                                   int count);

#endif
