#include "tally.h"

#include <err.h>
#include <stdlib.h>

const char *
tally_outcome_name (tally_outcome_t outcome)
{
  static const char *const names[OUTCOME_COUNT]
      = { "whole",  "refused_no", "refused_unknown",
          "broken", "wrong",      "timeout" };

  return names[outcome];
}

void
tally_add (tally_t *tally, tally_outcome_t outcome, int64_t latency_us)
{
  tally->counts[outcome]++;
  if (outcome != OUTCOME_WHOLE)
    return;
  if (tally->latency_count == tally->capacity)
    {
      tally->capacity = tally->capacity * 2 + 1024;
      tally->latencies_us = reallocarray (tally->latencies_us, tally->capacity,
                                          sizeof *tally->latencies_us);
      if (tally->latencies_us == NULL)
        err (1, "can't allocate latencies");
    }
  tally->latencies_us[tally->latency_count++] = latency_us;
}

void
tally_merge (tally_t *tally, const tally_t *from)
{
  for (int i = 0; i < OUTCOME_COUNT; i++)
    if (i != OUTCOME_WHOLE)
      tally->counts[i] += from->counts[i];
  for (size_t i = 0; i < from->latency_count; i++)
    tally_add (tally, OUTCOME_WHOLE, from->latencies_us[i]);
}

static int
compare_latencies (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Returns a percentile of the sorted latencies by the nearest-rank method, 0
   if there are no latencies.  For example, @permille is 990 for the 99th
   percentile.  */
static int64_t
percentile (const tally_t *tally, size_t permille)
{
  size_t rank = (tally->latency_count * permille + 999) / 1000;

  return tally->latency_count == 0 ? 0 : tally->latencies_us[rank - 1];
}

void
tally_add_to_json (tally_t *tally, json_object *value)
{
  int64_t requests = 0;

  if (tally->latency_count > 0)
    qsort (tally->latencies_us, tally->latency_count,
           sizeof *tally->latencies_us, compare_latencies);
  for (int i = 0; i < OUTCOME_COUNT; i++)
    requests += tally->counts[i];
  standin_json_add_int (value, "requests", requests);
  for (int i = 0; i < OUTCOME_COUNT; i++)
    standin_json_add_int (value, tally_outcome_name ((tally_outcome_t)i),
                          tally->counts[i]);
  standin_json_add_int (value, "p50_us", percentile (tally, 500));
  standin_json_add_int (value, "p99_us", percentile (tally, 990));
  standin_json_add_int (value, "p999_us", percentile (tally, 999));
  standin_json_add_int (value, "max_us", percentile (tally, 1000));
}

void
tally_clear (tally_t *tally)
{
  free (tally->latencies_us);
  *tally = (tally_t){ 0 };
}
