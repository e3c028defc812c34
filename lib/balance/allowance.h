#ifndef PERIDOT_BALANCE_ALLOWANCE_H
#define PERIDOT_BALANCE_ALLOWANCE_H

/* Allowances: the requests that a tenant may send to all instances together.

   One instance, the keeper of the tenant, has a token bucket for it.  Another
   instance asks the keeper for a token for each request, and for some in
   advance where it has many requests of the tenant, so that the number of
   messages is bounded.  Tokens in advance that it does not use it gives back.
   An instance that gets no reply has a small bucket of its own.  This module
   uses no network.  */

#include "clock.h"
#include "tenants.h"

/* An instance that got no reply from the keeper by then goes on alone.  */
#define ALLOWANCE_REPLY_TIMEOUT_MS 60
/* Time for which a token can be used.  */
#define ALLOWANCE_TOKEN_MS 300

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
  double requests_per_s;   /* rate of these requests (EWMA) */
  clock_ms_t requested_at; /* time of the last one; 0: none */
  uint32_t tokens;         /* that can be used until @tokens_until */
  clock_ms_t tokens_until;
  uint32_t unused;      /* tokens to be given back */
  clock_ms_t asked_at;  /* time of the question that has no reply yet; 0:
                           none */
  token_bucket_t alone; /* for times without replies of the keeper */
  /* As the keeper.  */
  token_bucket_t bucket;
  double demand_per_s; /* rate of the tokens that are wanted (EWMA) */
  clock_ms_t demanded_at;
  uint64_t granted; /* number of tokens granted so far */
  uint64_t refused; /* number of tokens not granted so far */
} allowance_t;

typedef struct allowances allowances_t;

allowances_t *allowances_new (void);
void allowances_free (allowances_t *allowances);
/* Returns the state of a tenant, which is added if there is none.  */
allowance_t *allowances_get (allowances_t *allowances, const char *tenant);

/* Reduces the buckets after the set of instances has changed: another instance
   may have been the keeper of some tenants, and has granted tokens of which
   this one does not know.  */
void allowances_handle_members_change (allowances_t *allowances);

/* Records that a request has arrived.  */
void allowance_add_request (allowance_t *allowance, clock_ms_t now);
/* Uses a token.  Return: whether there was one.  */
bool allowance_take (allowance_t *allowance, clock_ms_t now);
/* Gives back the token of a request that was not sent to an endpoint.  */
void allowance_put_back (allowance_t *allowance, clock_ms_t now);
/* Uses a token of the bucket for times without replies of the keeper.
   @instances: number of instances, which share the tenant's rate then.  */
bool allowance_take_alone (allowance_t *allowance, const tenant_t *tenant,
                           int instances, clock_ms_t now);

/* A question to the keeper.  */
typedef struct allowance_ask
{
  uint32_t wanted; /* tokens */
  uint32_t unused; /* tokens that are given back */
} allowance_ask_t;

/**
 * allowance_begin_ask() - begin a question to the keeper
 * @n_waiting: number of requests that wait for a token
 */
allowance_ask_t allowance_begin_ask (allowance_t *allowance,
                                     uint32_t n_waiting, clock_ms_t now);

/* The keeper's reply.  */
typedef struct allowance_reply
{
  uint32_t granted; /* tokens */
  clock_ms_t wait;  /* ms after which a client that gets none may come back; 0:
                       all that was wanted was granted */
} allowance_reply_t;

/* Records the reply to the question of @asked_at.  Return: false if it is too
   late or belongs to another one, and is ignored.  */
bool allowance_handle_reply (allowance_t *allowance,
                             const allowance_reply_t *reply,
                             clock_ms_t asked_at, clock_ms_t now);

/* Decides, as the keeper, on a question.  In any time t the tenant gets at
   most t times its rate and its burst.  */
allowance_reply_t allowance_grant (allowance_t *allowance,
                                   const tenant_t *tenant,
                                   const allowance_ask_t *ask, clock_ms_t now);

#endif
