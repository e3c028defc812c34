#ifndef PERIDOT_BALANCE_REPEATS_H
#define PERIDOT_BALANCE_REPEATS_H

/* This instance's share of a service's budget for repeats: sends to a second
   endpoint in a sliding window, bounded by a ratio of the first sends and a
   fixed part that is divided among the live instances.  */

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

#define REPEATS_CELLS 10

typedef struct repeats_rules
{
  double ratio; /* repeats for one first send */
  double fixed; /* repeats in a window that all instances share */
  clock_ms_t window;
} repeats_rules_t;

typedef struct repeats
{
  clock_ms_t cell_start;
  int cell;
  uint32_t firsts[REPEATS_CELLS + 1];
  uint32_t sent[REPEATS_CELLS + 1];
} repeats_t;

void repeats_first (repeats_t *repeats, const repeats_rules_t *rules,
                    clock_ms_t now);

/**
 * repeats_take() - ask for one repeat
 * @instances: live instances that share the fixed part, at least 1
 *
 * Return: whether the repeat may be sent; it is counted.
 */
bool repeats_take (repeats_t *repeats, const repeats_rules_t *rules,
                   int instances, clock_ms_t now);

#endif
