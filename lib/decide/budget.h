#ifndef PERIDOT_DECIDE_BUDGET_H
#define PERIDOT_DECIDE_BUDGET_H

/* Token budgets that bound retries and hedges to a share of first attempts. */

#include "decide.h"

#define BUDGET_HEDGE_PER_MILLE 50
/* A service with few requests may still retry this often.  */
#define BUDGET_RETRY_FLOOR_PER_S 1
/* Unused tokens kept; bounds the burst of retries after a quiet time.  */
#define BUDGET_TOKENS_MAX 50

typedef struct budget
{
  uint32_t per_mille;
  uint32_t floor_per_s;
  int64_t tokens_milli;
  clock_ms_t refilled_at;
} budget_t;

/**
 * budget_init() - set up a budget
 * @per_mille: tokens earned by 1,000 first attempts
 * @floor_per_s: tokens earned each second without any attempt
 */
void budget_init (budget_t *budget, uint32_t per_mille, uint32_t floor_per_s,
                  clock_ms_t now);
/* Counts a first attempt.  */
void budget_earn (budget_t *budget);
/* Return: whether a token was left; it is spent.  */
bool budget_spend (budget_t *budget, clock_ms_t now);

#endif
