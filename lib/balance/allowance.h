#ifndef PERIDOT_BALANCE_ALLOWANCE_H
#define PERIDOT_BALANCE_ALLOWANCE_H

/* Allowances: the requests that a tenant may send to all instances together.

   One instance, the keeper of the tenant, has a token bucket for it.  Another
   instance asks the keeper for a token for each request; requests that arrive
   while a question is on its way share the next one.  When tokens are short,
   the last ones are kept for urgent requests.  An instance that gets no reply
   has a small bucket of its own.  This module uses no network.  */

#include <stdint.h>

#include "clock.h"
#include "tenants.h"

/* An instance that got no reply from the keeper by then goes on alone.  */
#define ALLOWANCE_REPLY_TIMEOUT_MS 60
/* Number of ranks of urgency; requests of rank 0 are the most urgent.  */
#define ALLOWANCE_RANKS 3

/* How much more than its allowance a tenant may get.  The settings state it;
   half of it is used, for requests that come in bursts by chance.  */
typedef struct allowance_bounds
{
  double overshoot; /* part of the rate and the burst */
  double slack;     /* requests in addition */
} allowance_bounds_t;

/* Token bucket.  */
typedef struct token_bucket
{
  double level;         /* tokens */
  clock_ms_t filled_at; /* time up to which tokens were added; 0: never */
} token_bucket_t;

/* State of one tenant's allowance at this instance.  */
typedef struct allowance
{
  /* As an instance that has requests of the tenant.  */
  uint32_t unused;        /* tokens to be given back */
  clock_ms_t asked_at;    /* time of the question that has no reply yet; 0:
                             none */
  token_bucket_t alone;   /* for times without replies of the keeper */
  clock_ms_t alone_until; /* the keeper has not replied and is not asked before
                             this time */
  uint32_t keeper_ip; /* address of the keeper in network byte order; 0: this
                         instance */
  uint64_t keeper_version; /* of the set of instances by which the keeper was
                              found; 0: it was not yet */
  /* As the keeper.  */
  token_bucket_t bucket;
  double demand_per_s; /* rate of the tokens that are wanted (EWMA) */
  clock_ms_t demanded_at;
} allowance_t;

typedef struct allowances allowances_t;

allowances_t *allowances_new (void);
void allowances_free (allowances_t *allowances);
/* Returns the state of a tenant, which is added if there is none.  */
allowance_t *allowances_get (allowances_t *allowances, const char *tenant);

/* Records the keeper of the tenant.  A new keeper starts with few tokens, as
   the one before it has granted tokens of which this one does not know.  */
void allowance_set_keeper (allowance_t *allowance, uint32_t ip,
                           uint64_t version);

/* Gives back the token of a request that was not sent to an endpoint.  */
void allowance_put_back (allowance_t *allowance);
/* Records that the keeper has not replied.  */
void allowance_handle_timeout (allowance_t *allowance, clock_ms_t now);
/* Whether this instance goes on alone now.  */
bool allowance_is_alone (const allowance_t *allowance, clock_ms_t now);
/* Uses a token of the bucket for times without replies of the keeper, which
   has this instance's share of the tenant's rate, or a little more if that is
   small.  @instances: number of instances, which share the rate then.  */
bool allowance_take_alone (allowance_t *allowance, const tenant_t *tenant,
                           int instances, clock_ms_t now);

/* A question to the keeper.  */
typedef struct allowance_ask
{
  uint32_t wanted[ALLOWANCE_RANKS]; /* tokens, by rank of the requests */
  uint32_t unused;                  /* tokens that are given back */
} allowance_ask_t;

/* Begins a question to the keeper.  @ask: in: @wanted; out: @unused.  */
void allowance_begin_ask (allowance_t *allowance, allowance_ask_t *ask,
                          clock_ms_t now);

/* The keeper's reply.  */
typedef struct allowance_reply
{
  uint32_t granted[ALLOWANCE_RANKS]; /* tokens, by rank */
  clock_ms_t wait; /* ms after which a client that gets none may come back */
} allowance_reply_t;

/* Records that the reply to the question of @asked_at has come.  Return: false
   if it is too late or belongs to another question, and is to be ignored.  */
bool allowance_end_ask (allowance_t *allowance, clock_ms_t asked_at,
                        clock_ms_t now);

/**
 * allowance_grant() - decide, as the keeper, on a question
 * @heard_share: share of the known instances that are heard.  The others may
 *   be alive and use their shares of the rate.
 *
 * In any time t the tenant gets at most t times its rate and its burst, each
 * with half of what @bounds allow in addition.
 */
allowance_reply_t allowance_grant (allowance_t *allowance,
                                   const tenant_t *tenant,
                                   const allowance_bounds_t *bounds,
                                   double heard_share,
                                   const allowance_ask_t *ask, clock_ms_t now);

#endif
