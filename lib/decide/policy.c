#include "policy.h"

#include <string.h>

static uint32_t choose_random (policy_state_t *state,
                               const policy_endpoint_t *endpoints,
                               uint32_t count);
static uint32_t choose_round_robin (policy_state_t *state,
                                    const policy_endpoint_t *endpoints,
                                    uint32_t count);
static uint32_t choose_least_outstanding (policy_state_t *state,
                                          const policy_endpoint_t *endpoints,
                                          uint32_t count);
static uint32_t choose_power_of_two (policy_state_t *state,
                                     const policy_endpoint_t *endpoints,
                                     uint32_t count);

static const policy_t policies[] = {
  { "random", choose_random },
  { "round-robin", choose_round_robin },
  { "least-outstanding", choose_least_outstanding },
  { "power-of-two", choose_power_of_two },
  { "slots", NULL },
};

#define POLICY_COUNT (sizeof policies / sizeof *policies)

static uint32_t
choose_random (policy_state_t *state, const policy_endpoint_t *endpoints,
               uint32_t count)
{
  (void)endpoints;
  return decide_rng_below (state->rng, count);
}

static uint32_t
choose_round_robin (policy_state_t *state, const policy_endpoint_t *endpoints,
                    uint32_t count)
{
  (void)endpoints;
  return (uint32_t)(state->turn++ % count);
}

/* Ties are broken at random; otherwise all instances would prefer the first
   endpoint.  */
static uint32_t
choose_least_outstanding (policy_state_t *state,
                          const policy_endpoint_t *endpoints, uint32_t count)
{
  uint32_t best = 0;
  uint32_t ties = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (endpoints[i].local > endpoints[best].local)
        continue;
      if (endpoints[i].local < endpoints[best].local)
        ties = 0;
      ties++;
      if (decide_rng_below (state->rng, ties) == 0
          || endpoints[i].local < endpoints[best].local)
        best = i;
    }
  return best;
}

/* Without a report, the load is estimated as the number of this instance's
   own attempts.  */
static uint32_t
estimate_load (const policy_endpoint_t *endpoint)
{
  if (!endpoint->reported)
    return endpoint->local;
  return endpoint->in_flight + endpoint->queued;
}

static uint32_t
choose_power_of_two (policy_state_t *state, const policy_endpoint_t *endpoints,
                     uint32_t count)
{
  uint32_t first = decide_rng_below (state->rng, count);
  uint32_t second;

  if (count == 1)
    return first;
  second = decide_rng_below (state->rng, count - 1);
  if (second >= first)
    second++;
  return estimate_load (&endpoints[second]) < estimate_load (&endpoints[first])
             ? second
             : first;
}

const policy_t *
policy_find (const char *name)
{
  for (size_t i = 0; i < POLICY_COUNT; i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

const policy_t *
policy_get (uint32_t index)
{
  return index < POLICY_COUNT ? &policies[index] : NULL;
}
