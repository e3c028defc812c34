#include "repeats.h"

#include <string.h>

/* Share of the fixed slack that is used.  The rest is a margin, because the
   windows of the instances do not begin at the same time and an instance
   learns late of a change in the number of live instances.  */
#define SLACK_USED_SHARE 0.7
/* Share of the allowed ratio that is used.  The rest is a margin, for the same
   reasons as with SLACK_USED_SHARE.  */
#define RATIO_USED_SHARE 0.8

static void advance_window (retry_budget_t *budget,
                            const retry_budget_rules_t *rules, clock_ms_t now);

/* Makes the bucket for @now the current one, and clears that bucket and those
   skipped before it.  The ring has one more bucket than a window, so that a
   whole window is counted even while the current bucket is incomplete.  */
static void
advance_window (retry_budget_t *budget, const retry_budget_rules_t *rules,
                clock_ms_t now)
{
  clock_ms_t width = rules->window / RETRY_BUDGET_BUCKETS;

  if (now - budget->bucket_start > 2 * rules->window)
    {
      memset (budget, 0, sizeof *budget);
      budget->bucket_start = now;
      return;
    }
  while (now - budget->bucket_start >= width)
    {
      budget->bucket = (budget->bucket + 1) % (RETRY_BUDGET_BUCKETS + 1);
      budget->first_attempts[budget->bucket] = 0;
      budget->retries[budget->bucket] = 0;
      budget->bucket_start += width;
    }
}

void
retry_budget_add_first (retry_budget_t *budget,
                        const retry_budget_rules_t *rules, clock_ms_t now)
{
  advance_window (budget, rules, now);
  budget->first_attempts[budget->bucket]++;
}

bool
retry_budget_take (retry_budget_t *budget, const retry_budget_rules_t *rules,
                   int instances, clock_ms_t now)
{
  double first_attempts = 0;
  double retries = 0;

  advance_window (budget, rules, now);
  for (int i = 0; i <= RETRY_BUDGET_BUCKETS; i++)
    {
      first_attempts += budget->first_attempts[i];
      retries += budget->retries[i];
    }
  if (retries + 1 > first_attempts * rules->ratio * RATIO_USED_SHARE
                        + rules->slack * SLACK_USED_SHARE
                              / (instances > 0 ? instances : 1))
    return false;
  budget->retries[budget->bucket]++;
  return true;
}
