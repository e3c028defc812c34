#ifndef PERIDOT_BALANCE_REPEATS_H
#define PERIDOT_BALANCE_REPEATS_H

/* This instance's share of a service's retry budget.  The budget limits the
   retries and hedged requests in a sliding window to a ratio of the first
   attempts, plus a fixed slack that is divided among the live instances.  In
   this module, "retry" means both retries and hedged requests.  */

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/* Number of buckets into which a window is divided.  */
#define RETRY_BUDGET_BUCKETS 10

/* Limits of a service's retry budget.  */
typedef struct retry_budget_rules
{
  double ratio; /* allowed retries per first attempt */
  double slack; /* allowed retries in a window in addition to @ratio, for all
                   instances together */
  clock_ms_t window; /* length of the sliding window, ms */
} retry_budget_rules_t;

/* Attempts that count for a retry budget.  They are counted in a ring of
   buckets, which together cover the sliding window.  */
typedef struct retry_budget
{
  clock_ms_t bucket_start; /* time at which the current bucket began */
  int bucket;              /* index of the current bucket */
  /* Number of first attempts in each bucket.  */
  uint32_t first_attempts[RETRY_BUDGET_BUCKETS + 1];
  /* Number of retries in each bucket.  */
  uint32_t retries[RETRY_BUDGET_BUCKETS + 1];
} retry_budget_t;

/* Counts a first attempt, which enlarges the budget.  */
void retry_budget_add_first (retry_budget_t *budget,
                             const retry_budget_rules_t *rules,
                             clock_ms_t now);

/**
 * retry_budget_take() - take one retry from the budget
 * @instances: number of live instances that share the slack, at least 1
 *
 * Return: true if the retry may be sent; it is then counted.
 */
bool retry_budget_take (retry_budget_t *budget,
                        const retry_budget_rules_t *rules, int instances,
                        clock_ms_t now);

#endif
