#include "allowance.h"

#include <math.h>

/* Time over which the demand is averaged.  */
#define DEMAND_WINDOW_MS 1000.0
/* Part of what the bounds allow in addition that the keeper uses; the rest is
   the reserve.  */
#define BOUNDS_PART 0.5
/* Parts of the reserve; see allowance.h.  */
#define START_PART (1.0 / 4.0)
#define FIRST_SUCCESSOR_PART (1.0 / 3.0)
#define SECOND_SUCCESSOR_PART (1.0 / 6.0)
/* Part of what a successor can save up that it gets in a window.  */
#define SUCCESSOR_REFILL_PART 0.5
/* Tokens that each rank leaves for the more urgent ones, as a time of the
   tenant's rate.  */
#define RESERVE_S 0.15
/* Time for which a candidate that has not replied is not asked again.  */
#define SILENT_CANDIDATE_MS 500
/* The same for one that had no tokens and is not the acting keeper.  */
#define EMPTY_CANDIDATE_MS 50
/* Time after which an instance that has not been listed is asked again.  */
#define UNLISTED_MS 100
/* Shortest and longest time after which a refused client is told to come
   back.  */
#define WAIT_MIN_MS 50.0
#define WAIT_MAX_MS 2000.0

struct allowances
{
  GHashTable *by_tenant; /* name to allowance_t * */
};

/* What a bucket holds at most, and what is added to it in a second.  */
typedef struct bucket_size
{
  double rate;
  double depth;
} bucket_size_t;

static double reserve_of (const tenant_t *tenant,
                          const allowance_bounds_t *bounds);
static double successor_depth (int rank, double reserve);
static bucket_size_t get_size (const keeper_role_t *role,
                               const tenant_t *tenant,
                               const allowance_bounds_t *bounds, double share,
                               clock_ms_t now);
static void fill (token_bucket_t *bucket, bucket_size_t size, clock_ms_t now);
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
      allowance = g_new (allowance_t, 1);
      allowance_init (allowance);
      g_hash_table_insert (allowances->by_tenant, g_strdup (tenant),
                           allowance);
    }
  return allowance;
}

void
allowance_init (allowance_t *allowance)
{
  *allowance
      = (allowance_t){ .rank = KEEPER_NO_RANK, .role.rank = KEEPER_NO_RANK };
}

/* Returns what the bounds allow beyond what the keeper uses.  */
static double
reserve_of (const tenant_t *tenant, const allowance_bounds_t *bounds)
{
  double window = bounds->window_s > 0 ? bounds->window_s : ALLOWANCE_WINDOW_S;

  return (1.0 - BOUNDS_PART)
         * ((tenant->rate_per_s * window + tenant->burst) * bounds->overshoot
            + bounds->slack);
}

static double
successor_depth (int rank, double reserve)
{
  if (rank == KEEPER_NO_RANK)
    return 0;
  return reserve * (rank == 1 ? FIRST_SUCCESSOR_PART : SECOND_SUCCESSOR_PART);
}

/* Returns the size of the bucket of an instance in a role.  */
static bucket_size_t
get_size (const keeper_role_t *role, const tenant_t *tenant,
          const allowance_bounds_t *bounds, double share, clock_ms_t now)
{
  double factor = 1.0 + bounds->overshoot * BOUNDS_PART;
  double window = bounds->window_s > 0 ? bounds->window_s : ALLOWANCE_WINDOW_S;
  double reserve = reserve_of (tenant, bounds);
  double depth;

  if (keeper_role_is_acting (role, now))
    {
      depth = (tenant->burst * factor + bounds->slack * BOUNDS_PART) * share;
      /* The larger part of divided instances may have a whole token.  */
      return (bucket_size_t){ .rate = tenant->rate_per_s * factor * share,
                              .depth
                              = share > 0.5 ? MAX (depth, 1.0) : depth };
    }
  /* One that is about to act has what it begins with.  */
  if (role->rank == 0)
    return (bucket_size_t){ .depth = successor_depth (1, reserve) * share };
  depth = successor_depth (role->rank, reserve) * share;
  return (bucket_size_t){ .rate = depth * SUCCESSOR_REFILL_PART / window,
                          .depth = depth };
}

void
allowance_update_role (allowance_t *allowance, const tenant_t *tenant,
                       const allowance_keeper_t *keeper, clock_ms_t now)
{
  keeper_role_t *role = &allowance->role;
  keeper_role_t before = *role;
  token_bucket_t *bucket = &allowance->bucket;
  double share = contact_share (keeper->contact, now);
  double reserve = reserve_of (tenant, keeper->bounds);

  if (!keeper_role_set (role, allowance->rank, keeper->contact,
                        keeper->members_changed_at, now))
    return;
  if (before.rank == KEEPER_NO_RANK)
    *bucket = (token_bucket_t){ .level = role->rank == 0
                                             ? reserve * START_PART * share
                                             : 0,
                                .filled_at = role->since };
  else
    fill (bucket, get_size (&before, tenant, keeper->bounds, share, now), now);
  if (role->rank != 0)
    return;
  /* It goes on with what a successor may have saved up, and gets more when it
     acts.  */
  bucket->level = MIN (bucket->level, successor_depth (1, reserve));
  bucket->filled_at
      = MAX (bucket->filled_at, role->since + KEEPER_HANDOVER_MS);
}

/* Adds the tokens of the time since the last call.  */
static void
fill (token_bucket_t *bucket, bucket_size_t size, clock_ms_t now)
{
  double seconds = (double)MAX (now - bucket->filled_at, 0) / 1000.0;

  bucket->level = MIN (bucket->level + size.rate * seconds, size.depth);
  bucket->filled_at = MAX (bucket->filled_at, now);
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
  allowance->timed_out_at = allowance->asked_at;
  allowance->asked_at = 0;
  allowance->ask_from[allowance->asked] = now + SILENT_CANDIDATE_MS;
}

int
allowance_next_candidate (const allowance_t *allowance, clock_ms_t now)
{
  for (int i = 0; i < allowance->n_candidates; i++)
    if (now >= allowance->ask_from[i])
      return i;
  return -1;
}

void
allowance_begin_ask (allowance_t *allowance, int candidate,
                     allowance_ask_t *ask, clock_ms_t now)
{
  /* A successor has no use for them.  */
  ask->unused = candidate == 0 ? allowance->unused : 0;
  allowance->unused -= ask->unused;
  allowance->asked = candidate;
  allowance->asked_at = now;
}

bool
allowance_end_ask (allowance_t *allowance, clock_ms_t asked_at,
                   const allowance_reply_t *reply, clock_ms_t now)
{
  if (asked_at == 0)
    return false;
  if (asked_at == allowance->timed_out_at)
    {
      allowance->timed_out_at = 0;
      for (int i = 0; i < ALLOWANCE_RANKS; i++)
        allowance->unused += reply->granted[i];
      return false;
    }
  if (allowance->asked_at != asked_at
      || now - asked_at > ALLOWANCE_REPLY_TIMEOUT_MS)
    return false;
  allowance->asked_at = 0;
  if (reply->is_final)
    return true;
  allowance->ask_from[allowance->asked]
      = now + (reply->acts_in > 0 ? reply->acts_in : EMPTY_CANDIDATE_MS);
  if (reply->acts_in > 0)
    allowance->acts_at = now + reply->acts_in;
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
                 const allowance_keeper_t *keeper, const allowance_ask_t *ask,
                 clock_ms_t now)
{
  double share = contact_share (keeper->contact, now);
  allowance_reply_t reply = { 0 };
  bucket_size_t size;
  double reserve;
  double wanted = 0;

  allowance_update_role (allowance, tenant, keeper, now);
  size = get_size (&allowance->role, tenant, keeper->bounds, share, now);
  reserve = MIN (size.rate * RESERVE_S, size.depth / ALLOWANCE_RANKS);
  fill (&allowance->bucket, size, now);
  reply.is_final = keeper_role_is_acting (&allowance->role, now);
  if (allowance->role.rank == 0 && !reply.is_final)
    reply.acts_in = allowance->role.since + KEEPER_HANDOVER_MS - now;
  else if (!keeper->contact->is_listed)
    reply.acts_in = UNLISTED_MS;
  if (reply.is_final)
    allowance->bucket.level
        = MIN (allowance->bucket.level + ask->unused, size.depth);
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
