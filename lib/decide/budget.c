#include "budget.h"

#define MILLITOKENS_PER_TOKEN 1000
#define MS_PER_S 1000

static void
add_tokens (budget_t *budget, int64_t tokens_milli)
{
  budget->tokens_milli += tokens_milli;
  if (budget->tokens_milli
      > (int64_t)BUDGET_TOKENS_MAX * MILLITOKENS_PER_TOKEN)
    budget->tokens_milli = (int64_t)BUDGET_TOKENS_MAX * MILLITOKENS_PER_TOKEN;
}

void
budget_init (budget_t *budget, uint32_t per_mille, uint32_t min_per_s,
             clock_ms_t now)
{
  *budget
      = (budget_t){ .per_mille = per_mille,
                    .min_per_s = min_per_s,
                    .tokens_milli = (int64_t)min_per_s * MILLITOKENS_PER_TOKEN,
                    .refilled_at = now };
}

void
budget_deposit (budget_t *budget)
{
  add_tokens (budget, budget->per_mille);
}

bool
budget_withdraw (budget_t *budget, clock_ms_t now)
{
  clock_ms_t elapsed_ms = now - budget->refilled_at;

  /* At 1 token per second or more, this time fills the bucket.  The limit
     prevents an overflow of the product below.  */
  if (elapsed_ms > (clock_ms_t)BUDGET_TOKENS_MAX * MS_PER_S)
    elapsed_ms = (clock_ms_t)BUDGET_TOKENS_MAX * MS_PER_S;
  if (elapsed_ms > 0)
    {
      add_tokens (budget, elapsed_ms * budget->min_per_s
                              * MILLITOKENS_PER_TOKEN / MS_PER_S);
      budget->refilled_at = now;
    }
  if (budget->tokens_milli < MILLITOKENS_PER_TOKEN)
    return false;
  budget->tokens_milli -= MILLITOKENS_PER_TOKEN;
  return true;
}
