#include "decide.h"

#include <assert.h>

static uint64_t rotate_left (uint64_t x, int k);
static uint64_t splitmix64 (uint64_t *x);

static uint64_t
rotate_left (uint64_t x, int k)
{
  return (x << k) | (x >> (64 - k));
}

/* SplitMix64: derives the whole state of the generator from a small seed.  */
static uint64_t
splitmix64 (uint64_t *x)
{
  uint64_t z = (*x += 0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

void
decide_rng_seed (decide_rng_t *rng, uint64_t seed)
{
  for (int i = 0; i < 4; i++)
    rng->state[i] = splitmix64 (&seed);
}

uint64_t
decide_rng_next (decide_rng_t *rng)
{
  uint64_t *s = rng->state;
  uint64_t result = rotate_left (s[0] + s[3], 23) + s[0];
  uint64_t t = s[1] << 17;

  s[2] ^= s[0];
  s[3] ^= s[1];
  s[1] ^= s[2];
  s[0] ^= s[3];
  s[2] ^= t;
  s[3] = rotate_left (s[3], 45);
  return result;
}

uint32_t
decide_rng_below (decide_rng_t *rng, uint32_t bound)
{
  assert (bound > 0);
  return (uint32_t)(((decide_rng_next (rng) >> 32) * bound) >> 32);
}
