#ifndef PERIDOT_BALANCE_PROBING_H
#define PERIDOT_BALANCE_PROBING_H

/* This instance's share of the probes that endpoints may be asked for.  What
   a quiet time leaves is saved for a busy one.  Rounds for requests that wait
   are paced, so that a crowd of them does not use up what new requests need:
   an instance without probes is blind.  */

#include <stdbool.h>

#include "clock.h"

typedef struct probing
{
  double saved; /* probes that may be started now */
  clock_ms_t at;
  bool begun;
} probing_t;

/**
 * probing_take() - start up to @wanted probes
 * @rate: probes a second of this instance; 0: not bounded
 *
 * Return: how many may be started; they are counted.
 */
int probing_take (probing_t *probing, double rate, int wanted, clock_ms_t now);

/**
 * probing_pause() - pause between rounds of probes for requests that wait
 * @count: probes of a round
 */
clock_ms_t probing_pause (const probing_t *probing, double rate, int count);

#endif
