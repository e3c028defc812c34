#include "budget.h"

#define TOKEN 1000 /* thousandths */
#define MS_PER_S 1000

static void
add (budget_t *budget, int64_t tokens_milli)
{
  budget->tokens_milli += tokens_milli;
  if (budget->tokens_milli > (int64_t)BUDGET_TOKENS_MAX * TOKEN)
    budget->tokens_milli = (int64_t)BUDGET_TOKENS_MAX * TOKEN;
}

void
budget_init (budget_t *budget, uint32_t per_mille, uint32_t floor_per_s,
             clock_ms_t now)
{
  *budget = (budget_t){ .per_mille = per_mille,
                        .floor_per_s = floor_per_s,
                        .tokens_milli = (int64_t)floor_per_s * TOKEN,
                        .refilled_at = now };
}

void
budget_earn (budget_t *budget)
{
  add (budget, budget->per_mille);
}

bool
budget_spend (budget_t *budget, clock_ms_t now)
{
  clock_ms_t passed = now - budget->refilled_at;

  /* Longer gaps fill the budget anyway; the bound avoids overflow.  */
  if (passed > (clock_ms_t)BUDGET_TOKENS_MAX * MS_PER_S)
    passed = (clock_ms_t)BUDGET_TOKENS_MAX * MS_PER_S;
  if (passed > 0)
    {
      add (budget, passed * budget->floor_per_s * TOKEN / MS_PER_S);
      budget->refilled_at = now;
    }
  if (budget->tokens_milli < TOKEN)
    return false;
  budget->tokens_milli -= TOKEN;
  return true;
}
