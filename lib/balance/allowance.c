#include "allowance.h"

#include <math.h>

/* Time over which the demand is averaged.  */
#define DEMAND_WINDOW_MS 1000.0
/* What a new keeper starts with, as a time of the tenant's rate, besides the
   slack that the bounds allow.  */
#define START_S 0.15
/* Part of what the bounds allow in addition that is used.  The rest is left
   for times with two keepers, or without replies.  */
#define BOUNDS_PART 0.5
/* Tokens that each rank leaves for the more urgent ones, as a time of the
   tenant's rate.  */
#define RESERVE_S 0.15
/* Depth of the bucket of an instance that goes on alone, as a time of its
   rate, and its least rate.  A share of a small tenant's rate is less than a
   request in many seconds, so that nearly all of its requests would be refused
   there.  */
#define ALONE_DEPTH_S 0.5
#define ALONE_RATE_MIN 0.2
/* Time for which an instance goes on alone before it asks again.  */
#define ALONE_MS 500
/* Shortest and longest time after which a refused client is told to come
   back.  */
#define WAIT_MIN_MS 50.0
#define WAIT_MAX_MS 2000.0

struct allowances
{
  GHashTable *by_tenant; /* name to allowance_t * */
};

static void fill (token_bucket_t *bucket, double rate, double depth,
                  double start, clock_ms_t now);
static uint32_t take (token_bucket_t *bucket, double reserve, uint32_t wanted);
static void observe_demand (allowance_t *allowance, double wanted,
                            clock_ms_t now);

allowances_t *
allowances_new (void)
{
  allowances_t *allowances = g_new0 (allowances_t, 1);

  allowances->by_tenant
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return allowances;
}

void
allowances_free (allowances_t *allowances)
{
  g_hash_table_destroy (allowances->by_tenant);
  g_free (allowances);
}

allowance_t *
allowances_get (allowances_t *allowances, const char *tenant)
{
  allowance_t *allowance = g_hash_table_lookup (allowances->by_tenant, tenant);

  if (allowance == NULL)
    {
      allowance = g_new0 (allowance_t, 1);
      g_hash_table_insert (allowances->by_tenant, g_strdup (tenant),
                           allowance);
    }
  return allowance;
}

void
allowance_set_keeper (allowance_t *allowance, uint32_t ip, uint64_t version)
{
  if (ip == 0 && allowance->keeper_ip != 0)
    allowance->bucket.filled_at = 0;
  allowance->keeper_ip = ip;
  allowance->keeper_version = version;
}

/* Adds the tokens of the time since the last call.  @start: tokens of a bucket
   that has not been filled yet.  */
static void
fill (token_bucket_t *bucket, double rate, double depth, double start,
      clock_ms_t now)
{
  if (bucket->filled_at == 0)
    bucket->level = start;
  else
    bucket->level += rate * (double)(now - bucket->filled_at) / 1000.0;
  bucket->level = MIN (bucket->level, depth);
  bucket->filled_at = now;
}

/* Takes as many tokens as are wanted, but leaves @reserve.  */
static uint32_t
take (token_bucket_t *bucket, double reserve, uint32_t wanted)
{
  uint32_t taken
      = (uint32_t)CLAMP (floor (bucket->level - reserve), 0, (double)wanted);

  bucket->level -= taken;
  return taken;
}

void
allowance_put_back (allowance_t *allowance)
{
  allowance->unused++;
}

void
allowance_handle_timeout (allowance_t *allowance, clock_ms_t now)
{
  allowance->asked_at = 0;
  allowance->alone_until = now + ALONE_MS;
}

bool
allowance_is_alone (const allowance_t *allowance, clock_ms_t now)
{
  return now < allowance->alone_until;
}

bool
allowance_take_alone (allowance_t *allowance, const tenant_t *tenant,
                      int instances, clock_ms_t now)
{
  double rate = MAX (tenant->rate_per_s / instances, ALONE_RATE_MIN);
  double depth = MAX (rate * ALONE_DEPTH_S, 1.0);

  fill (&allowance->alone, rate, depth, depth, now);
  return take (&allowance->alone, 0, 1) == 1;
}

void
allowance_begin_ask (allowance_t *allowance, allowance_ask_t *ask,
                     clock_ms_t now)
{
  ask->unused = allowance->unused;
  allowance->unused = 0;
  allowance->asked_at = now;
}

bool
allowance_end_ask (allowance_t *allowance, clock_ms_t asked_at, clock_ms_t now)
{
  if (asked_at == 0 || allowance->asked_at != asked_at
      || now - asked_at > ALLOWANCE_REPLY_TIMEOUT_MS)
    return false;
  allowance->asked_at = 0;
  return true;
}

static void
observe_demand (allowance_t *allowance, double wanted, clock_ms_t now)
{
  double kept
      = allowance->demanded_at == 0
            ? 0
            : exp (-(double)(now - allowance->demanded_at) / DEMAND_WINDOW_MS);

  allowance->demand_per_s
      = allowance->demand_per_s * kept + wanted * 1000.0 / DEMAND_WINDOW_MS;
  allowance->demanded_at = now;
}

allowance_reply_t
allowance_grant (allowance_t *allowance, const tenant_t *tenant,
                 const allowance_bounds_t *bounds, double heard_share,
                 const allowance_ask_t *ask, clock_ms_t now)
{
  double factor = 1.0 + bounds->overshoot * BOUNDS_PART;
  double rate = tenant->rate_per_s * factor * heard_share;
  double depth
      = MAX (tenant->burst * factor + bounds->slack * BOUNDS_PART, 1.0);
  double reserve = MIN (rate * RESERVE_S, depth / ALLOWANCE_RANKS);
  allowance_reply_t reply = { 0 };
  double wanted = 0;

  fill (&allowance->bucket, rate, depth,
        rate * START_S + bounds->slack * BOUNDS_PART, now);
  allowance->bucket.level = MIN (allowance->bucket.level + ask->unused, depth);
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      reply.granted[i]
          = take (&allowance->bucket, i * reserve, ask->wanted[i]);
      wanted += ask->wanted[i];
    }
  observe_demand (allowance, wanted, now);
  /* The more is wanted beyond the rate, the later clients may come back.  */
  reply.wait = (clock_ms_t)CLAMP (
      1000.0 * (allowance->demand_per_s / tenant->rate_per_s - 1.0),
      WAIT_MIN_MS, WAIT_MAX_MS);
  return reply;
}
