#ifndef PERIDOT_DECIDE_BUDGET_H
#define PERIDOT_DECIDE_BUDGET_H

/* Retry budget: a token bucket that limits retries and hedges to a ratio of
   first attempts.  */

#include "decide.h"

/* Hedges allowed for each thousand first attempts.  */
#define BUDGET_HEDGE_PER_MILLE 50
/* Rate of retries that is allowed even without first attempts, for services
   with few requests.  */
#define BUDGET_MIN_RETRIES_PER_S 1
/* Capacity of the bucket in tokens, which limits the burst of retries after a
   period with few of them.  */
#define BUDGET_TOKENS_MAX 50

typedef struct budget
{
  uint32_t per_mille;     /* tokens added by 1,000 first attempts */
  uint32_t min_per_s;     /* tokens added each second */
  int64_t tokens_milli;   /* tokens in the bucket, in thousandths */
  clock_ms_t refilled_at; /* when tokens were last added for elapsed time */
} budget_t;

/**
 * budget_init() - initialize a budget
 * @per_mille: tokens added by 1,000 first attempts
 * @min_per_s: tokens added each second regardless of attempts, and number of
 *   tokens in the bucket at the start
 */
void budget_init (budget_t *budget, uint32_t per_mille, uint32_t min_per_s,
                  clock_ms_t now);
/* Adds the tokens for one first attempt.  */
void budget_deposit (budget_t *budget);
/* Removes a token for one retry or hedge.
   Return: whether there was one; without it, the retry or hedge is not
   allowed.  */
bool budget_withdraw (budget_t *budget, clock_ms_t now);

#endif
