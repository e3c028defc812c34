#include "ownership_model.h"

#include <inttypes.h>
#include <stdio.h>

static uint64_t held_slices (const model_t *m, uint32_t i);

/* Bit per slice that the instance owns or is a delegate for.  */
static uint64_t
held_slices (const model_t *m, uint32_t i)
{
  const ownership_t *o = m->instances[i].o;
  uint64_t held = 0;

  if (!model_running (m, i))
    return 0;
  for (uint32_t c = 0; c <= m->data_centres; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      held |= (uint64_t)(o->slices[c][s].owned || o->slices[c][s].delegate)
              << (c * DECIDE_SLICES + s);
  return held;
}

bool
model_check (model_t *m)
{
  uint64_t held[MODEL_INSTANCES];
  uint64_t any = 0;
  uint64_t several = 0;
  bool watch = false;

  for (uint32_t i = 0; i < m->count; i++)
    {
      held[i] = held_slices (m, i);
      several |= any & held[i];
      any |= held[i];
    }
  if (several == 0)
    return false;
  any = 0;
  for (uint32_t i = 0; i < m->count; i++)
    {
      held[i] &= several;
      if (held[i] == 0
          || ownership_lease_left (m->instances[i].o, model_clock (m, i)) <= 0)
        {
          held[i] = 0;
          continue;
        }
      watch = watch || (any & held[i]) != 0;
      any |= held[i];
    }
  if (!watch)
    return false;
  any = 0;
  for (uint32_t i = 0; i < m->count; i++)
    for (uint32_t b = 0; b < 64 && held[i] != 0; b++)
      {
        uint32_t c = b / DECIDE_SLICES;
        uint32_t s = b % DECIDE_SLICES;

        if ((held[i] >> b & 1) == 0
            || !ownership_may_grant (m->instances[i].o, model_clock (m, i), c,
                                     s, 0))
          continue;
        if ((any >> b & 1) != 0)
          snprintf (m->violation, sizeof m->violation,
                    "entry-%u and another instance may grant in slice %u of "
                    "centre %u at %" PRId64 " ms",
                    i, s, c, m->now);
        any |= (uint64_t)1 << b;
      }
  return true;
}

void
model_check_grants (model_t *m)
{
  m->grants_at = m->now + 10;
  for (uint32_t c = 0; c <= m->data_centres; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      for (uint32_t i = 0; i < m->count; i++)
        {
          const model_instance_t *instance = &m->instances[i];
          uint64_t incarnation;

          if (!model_running (m, i)
              || !ownership_may_grant (instance->o, model_clock (m, i), c, s,
                                       MODEL_GRANT_MS))
            continue;
          incarnation = instance->o->incarnation;
          if (m->granted_until[c][s] > m->now
              && m->granted_by[c][s] != incarnation
              && m->granted_by[c][s] != instance->imported[c][s])
            snprintf (m->violation, sizeof m->violation,
                      "entry-%u may grant in slice %u of centre %u at %" PRId64
                      " ms, a grant by incarnation %" PRIu64 " is outstanding",
                      i, s, c, m->now, m->granted_by[c][s]);
          m->granted_by[c][s] = incarnation;
          m->granted_until[c][s]
              = m->now + MODEL_GRANT_MS * 10000 / (10000 + instance->rate);
        }
}

uint32_t
model_served (const model_t *m)
{
  uint32_t served = 0;

  for (uint32_t c = 0; c <= m->data_centres; c++)
    for (uint32_t s = 0; s < DECIDE_SLICES; s++)
      for (uint32_t i = 0; i < m->count; i++)
        served
            += model_running (m, i)
               && ownership_may_grant (m->instances[i].o, model_clock (m, i),
                                       c, s, MODEL_GRANT_MS);
  return served;
}

uint32_t
model_owned (const model_t *m, uint32_t i)
{
  ownership_status_t status;

  if (m->instances[i].o == NULL)
    return 0;
  ownership_get_status (m->instances[i].o, model_clock (m, i), &status);
  return status.slices_owned;
}

int64_t
model_settle (model_t *m, uint32_t served, int64_t limit)
{
  int64_t start = m->now;

  while (m->now - start <= limit && m->violation[0] == '\0')
    {
      if (model_served (m) == served)
        return m->now - start;
      model_run (m, 10);
    }
  return -1;
}
