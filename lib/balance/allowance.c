#include "allowance.h"

#include <math.h>

/* Time over which rates are averaged.  */
#define RATE_WINDOW_MS 1000.0
/* An instance asks for the requests that it expects in this time.  */
#define ADVANCE_MS 100.0
/* Part of a full bucket that a new keeper starts with: the one before it may
   have granted the rest.  */
#define START_PART 0.5
/* Depth of a bucket, as a time of the rate, if the burst is smaller.  */
#define DEPTH_MIN_S 0.1
/* Depth of the bucket of an instance that goes on alone, in tokens.  */
#define ALONE_DEPTH 1.0
/* Shortest and longest time after which a refused client is told to come
   back.  */
#define WAIT_MIN_MS 50.0
#define WAIT_MAX_MS 2000.0

struct allowances
{
  GHashTable *by_tenant; /* name to allowance_t * */
};

static double average_rate (double rate, clock_ms_t last, double n,
                            clock_ms_t now);
static void fill (token_bucket_t *bucket, double rate, double depth,
                  double start, clock_ms_t now);
static void expire_tokens (allowance_t *allowance, clock_ms_t now);

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
allowances_handle_members_change (allowances_t *allowances)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, allowances->by_tenant);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((allowance_t *)value)->bucket.level *= START_PART;
}

/* Returns a rate after @n events at @now.  */
static double
average_rate (double rate, clock_ms_t last, double n, clock_ms_t now)
{
  double kept = last == 0 ? 0 : exp (-(double)(now - last) / RATE_WINDOW_MS);

  return rate * kept + n * 1000.0 / RATE_WINDOW_MS;
}

/* Adds the tokens of the time since the last call.  @start: tokens of a bucket
   that has never been filled.  */
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

void
allowance_add_request (allowance_t *allowance, clock_ms_t now)
{
  allowance->requests_per_s = average_rate (allowance->requests_per_s,
                                            allowance->requested_at, 1.0, now);
  allowance->requested_at = now;
}

static void
expire_tokens (allowance_t *allowance, clock_ms_t now)
{
  if (now < allowance->tokens_until)
    return;
  allowance->unused += allowance->tokens;
  allowance->tokens = 0;
}

bool
allowance_take (allowance_t *allowance, clock_ms_t now)
{
  expire_tokens (allowance, now);
  if (allowance->tokens == 0)
    return false;
  allowance->tokens--;
  return true;
}

void
allowance_put_back (allowance_t *allowance, clock_ms_t now)
{
  expire_tokens (allowance, now);
  allowance->tokens++;
  allowance->tokens_until
      = MAX (allowance->tokens_until, now + ALLOWANCE_TOKEN_MS);
}

bool
allowance_take_alone (allowance_t *allowance, const tenant_t *tenant,
                      int instances, clock_ms_t now)
{
  fill (&allowance->alone, tenant->rate_per_s / instances, ALONE_DEPTH,
        ALONE_DEPTH, now);
  if (allowance->alone.level < 1.0)
    return false;
  allowance->alone.level -= 1.0;
  return true;
}

allowance_ask_t
allowance_begin_ask (allowance_t *allowance, uint32_t n_waiting,
                     clock_ms_t now)
{
  allowance_ask_t ask;

  expire_tokens (allowance, now);
  ask = (allowance_ask_t){
    .wanted
    = n_waiting + (uint32_t)(allowance->requests_per_s * ADVANCE_MS / 1000.0),
    .unused = allowance->unused,
  };
  allowance->unused = 0;
  allowance->asked_at = now;
  return ask;
}

bool
allowance_handle_reply (allowance_t *allowance, const allowance_reply_t *reply,
                        clock_ms_t asked_at, clock_ms_t now)
{
  if (allowance->asked_at != asked_at || asked_at == 0
      || now - asked_at > ALLOWANCE_REPLY_TIMEOUT_MS)
    return false;
  allowance->asked_at = 0;
  expire_tokens (allowance, now);
  allowance->tokens += reply->granted;
  allowance->tokens_until = now + ALLOWANCE_TOKEN_MS;
  return true;
}

allowance_reply_t
allowance_grant (allowance_t *allowance, const tenant_t *tenant,
                 const allowance_ask_t *ask, clock_ms_t now)
{
  double depth
      = MAX (MAX (tenant->burst, tenant->rate_per_s * DEPTH_MIN_S), 1.0);
  allowance_reply_t reply = { 0 };

  fill (&allowance->bucket, tenant->rate_per_s, depth, depth * START_PART,
        now);
  allowance->bucket.level = MIN (allowance->bucket.level + ask->unused, depth);
  allowance->demand_per_s
      = average_rate (allowance->demand_per_s, allowance->demanded_at,
                      (double)ask->wanted, now);
  allowance->demanded_at = now;
  reply.granted
      = (uint32_t)CLAMP (allowance->bucket.level, 0, (double)ask->wanted);
  allowance->bucket.level -= reply.granted;
  allowance->granted += reply.granted;
  allowance->refused += ask->wanted - reply.granted;
  if (reply.granted == ask->wanted)
    return reply;
  /* The more is wanted beyond the rate, the later clients may come back.  */
  reply.wait = (clock_ms_t)CLAMP (
      1000.0 * (allowance->demand_per_s / tenant->rate_per_s - 1.0),
      WAIT_MIN_MS, WAIT_MAX_MS);
  return reply;
}
