#include "ownership_model.h"

#include <inttypes.h>
#include <stdio.h>

static uint64_t held_slices (const model_t *model, uint32_t i);

/* Returns a bitmap of the slices that the instance owns or is the delegate of.
   The bit of a slice is DECIDE_SLICES times the index of its data centre, plus
   the index of the slice.  */
static uint64_t
held_slices (const model_t *model, uint32_t i)
{
  const ownership_t *ownership = model->instances[i].ownership;
  uint64_t held = 0;

  if (!model_is_running (model, i))
    return 0;
  for (uint32_t c = 0; c <= model->data_centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      held |= (uint64_t)(ownership->slices[c][s].owned
                         || ownership->slices[c][s].delegate)
              << (c * DECIDE_SLICES + s);
  return held;
}

/* Finds the slices that several instances with a lease hold, and calls
   ownership_may_grant() only for these.  */
bool
model_check_mutual_exclusion (model_t *model)
{
  uint64_t held[MODEL_INSTANCES_MAX];
  uint64_t seen = 0;
  uint64_t shared = 0;
  bool overlap = false;

  for (uint32_t i = 0; i < model->instance_count; i++)
    {
      held[i] = held_slices (model, i);
      shared |= seen & held[i];
      seen |= held[i];
    }
  if (shared == 0)
    return false;
  seen = 0;
  for (uint32_t i = 0; i < model->instance_count; i++)
    {
      held[i] &= shared;
      if (held[i] == 0
          || ownership_lease_left (model->instances[i].ownership,
                                   model_local_time (model, i))
                 <= 0)
        {
          held[i] = 0;
          continue;
        }
      overlap = overlap || (seen & held[i]) != 0;
      seen |= held[i];
    }
  if (!overlap)
    return false;
  seen = 0;
  for (uint32_t i = 0; i < model->instance_count; i++)
    for (uint32_t bit = 0; bit < 64 && held[i] != 0; bit++)
      {
        uint32_t c = bit / DECIDE_SLICES;
        uint32_t s = bit % DECIDE_SLICES;

        if ((held[i] >> bit & 1) == 0
            || !ownership_may_grant (model->instances[i].ownership,
                                     model_local_time (model, i), c, s, 0))
          continue;
        if ((seen >> bit & 1) != 0)
          snprintf (model->violation, sizeof model->violation,
                    "entry-%u and another instance may grant in slice %u of "
                    "centre %u at %" PRId64 " ms",
                    i, s, c, model->now);
        seen |= (uint64_t)1 << bit;
      }
  return true;
}

void
model_check_grants (model_t *model)
{
  model->next_grant_check_at = model->now + 10;
  for (uint32_t c = 0; c <= model->data_centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      for (uint32_t i = 0; i < model->instance_count; i++)
        {
          const model_instance_t *instance = &model->instances[i];
          uint64_t incarnation;

          if (!model_is_running (model, i)
              || !ownership_may_grant (instance->ownership,
                                       model_local_time (model, i), c, s,
                                       MODEL_GRANT_MS))
            continue;
          incarnation = instance->ownership->incarnation;
          if (model->granted_until[c][s] > model->now
              && model->granted_by[c][s] != incarnation
              && model->granted_by[c][s] != instance->imported_from[c][s])
            snprintf (model->violation, sizeof model->violation,
                      "entry-%u may grant in slice %u of centre %u at %" PRId64
                      " ms, a grant by incarnation %" PRIu64 " is outstanding",
                      i, s, c, model->now, model->granted_by[c][s]);
          model->granted_by[c][s] = incarnation;
          /* The owner measures the grant's duration with its own clock.  */
          model->granted_until[c][s]
              = model->now
                + MODEL_GRANT_MS * 10000 / (10000 + instance->clock_drift);
        }
}

uint32_t
model_count_served_slices (const model_t *model)
{
  uint32_t served = 0;

  for (uint32_t c = 0; c <= model->data_centre_count; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      for (uint32_t i = 0; i < model->instance_count; i++)
        served += model_is_running (model, i)
                  && ownership_may_grant (model->instances[i].ownership,
                                          model_local_time (model, i), c, s,
                                          MODEL_GRANT_MS);
  return served;
}

uint32_t
model_count_owned_slices (const model_t *model, uint32_t i)
{
  ownership_status_t status;

  if (model->instances[i].ownership == NULL)
    return 0;
  ownership_get_status (model->instances[i].ownership,
                        model_local_time (model, i), &status);
  return status.slices_owned;
}

int64_t
model_run_until_served (model_t *model, uint32_t slice_count, int64_t limit_ms)
{
  int64_t start = model->now;

  while (model->now - start <= limit_ms && model->violation[0] == '\0')
    {
      if (model_count_served_slices (model) == slice_count)
        return model->now - start;
      model_run (model, 10);
    }
  return -1;
}
