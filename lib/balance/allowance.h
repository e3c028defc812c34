#ifndef PERIDOT_BALANCE_ALLOWANCE_H
#define PERIDOT_BALANCE_ALLOWANCE_H

/* Allowances: the requests that a tenant may send to all instances together.

   One instance, the keeper of the tenant, has a token bucket for it (see
   keeper.h).  Another instance asks the keeper for a token for each request;
   requests that arrive while a question is on its way share the next one.
   When tokens are short, the last ones are kept for urgent requests.  An
   instance that gets no reply asks the keeper's successors, which have small
   buckets for that.  This module uses no network.

   In a window of w seconds, a tenant with the rate r and the burst b may run

     (r w + b) (1 + overshoot) + slack

   requests.  A keeper uses (r w + b) (1 + overshoot / 2) + slack / 2 of it.
   The rest, the reserve R, is for times in which the keeper cannot be asked or
   is another one than before:

     R / 3 and R / 6   that the two successors have saved up
     R / 4             that they get in the window: half of that again, in w
     R / 4             with which a keeper begins that has just started

   A keeper or successor has the part of its rate and buckets that belongs to
   the instances that it is in contact with, so that the sum holds for any
   division of the instances.  A successor that becomes the keeper goes on with
   what it has saved up.  */

#include <stdint.h>

#include "clock.h"
#include "keeper.h"
#include "tenants.h"

/* An instance that got no reply by then asks the next candidate.  */
#define ALLOWANCE_REPLY_TIMEOUT_MS 60
/* Number of ranks of urgency; requests of rank 0 are the most urgent.  */
#define ALLOWANCE_RANKS 3

/* How much more than its allowance a tenant may get in any window.  The
   settings state it.  */
typedef struct allowance_bounds
{
  double overshoot; /* part of the rate and the burst */
  double slack;     /* requests in addition */
  double window_s;  /* length of the window, s; 0: ALLOWANCE_WINDOW_S */
} allowance_bounds_t;

/* Length of the window if the settings do not state it.  */
#define ALLOWANCE_WINDOW_S 5.0

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
  uint32_t unused;     /* tokens to be given back */
  clock_ms_t asked_at; /* time of the question that has no reply yet; 0:
                          none */
  int asked;           /* candidate that was asked last */
  clock_ms_t acts_at;  /* time from which a candidate acts as the keeper, as
                          it has said; 0: none has */
  clock_ms_t timed_out_at; /* time of the last question to which no reply has
                              come in time; 0: none */
  /* Candidates that have not replied, or had no tokens and are not the acting
     keeper, are not asked before these times.  */
  clock_ms_t ask_from[KEEPER_CANDIDATES];
  uint32_t candidates[KEEPER_CANDIDATES]; /* addresses in network byte order;
                                             0: this instance */
  int n_candidates;
  uint64_t members_version; /* of the set of instances by which the candidates
                               were found; 0: they were not yet */
  /* As the keeper or a successor.  */
  int rank;           /* of this instance by @members_version */
  keeper_role_t role; /* that it has taken on */
  token_bucket_t bucket;
  double demand_per_s; /* rate of the tokens that are wanted (EWMA) */
  clock_ms_t demanded_at;
} allowance_t;

typedef struct allowances allowances_t;

allowances_t *allowances_new (void);
void allowances_free (allowances_t *allowances);
/* Returns the state of a tenant, which is added if there is none.  */
allowance_t *allowances_get (allowances_t *allowances, const char *tenant);

/* Makes the state as that of a tenant that is not known yet.  */
void allowance_init (allowance_t *allowance);

/* Gives back the token of a request that was not sent to an endpoint.  */
void allowance_put_back (allowance_t *allowance);
/* Records that the candidate that was asked has not replied.  */
void allowance_handle_timeout (allowance_t *allowance, clock_ms_t now);
/* Returns the candidate that is to be asked now, or -1: none.  */
int allowance_next_candidate (const allowance_t *allowance, clock_ms_t now);

/* A question to the keeper.  */
typedef struct allowance_ask
{
  uint32_t wanted[ALLOWANCE_RANKS]; /* tokens, by rank of the requests */
  uint32_t unused;                  /* tokens that are given back */
} allowance_ask_t;

/* Begins a question to a candidate.  @ask: in: @wanted; out: @unused.  */
void allowance_begin_ask (allowance_t *allowance, int candidate,
                          allowance_ask_t *ask, clock_ms_t now);

/* The reply of a candidate.  */
typedef struct allowance_reply
{
  uint32_t granted[ALLOWANCE_RANKS]; /* tokens, by rank */
  bool is_final; /* the candidate is the acting keeper: what it has not granted
                    is refused; otherwise the next one is to be asked */
  clock_ms_t acts_in; /* ms after which the candidate acts as the keeper; 0:
                         not known */
  bool is_unanswered; /* no candidate can be asked now */
  clock_ms_t wait; /* ms after which a client that gets none may come back */
} allowance_reply_t;

/* Records a reply to the question of @asked_at.  Return: false if it is too
   late or belongs to another question, and is to be ignored.  The tokens of a
   late reply are given back with the next question.  */
bool allowance_end_ask (allowance_t *allowance, clock_ms_t asked_at,
                        const allowance_reply_t *reply, clock_ms_t now);

/* What an instance knows when it is asked.  */
typedef struct allowance_keeper
{
  const allowance_bounds_t *bounds;
  const contact_t *contact;
  clock_ms_t members_changed_at; /* time of the last change of the ready
                                    instances */
} allowance_keeper_t;

/* Takes on the role that this instance has by @allowance->rank.  A successor
   saves up tokens from then on.  */
void allowance_update_role (allowance_t *allowance, const tenant_t *tenant,
                            const allowance_keeper_t *keeper, clock_ms_t now);
/* Decides, as the keeper or a successor, on a question.  */
allowance_reply_t allowance_grant (allowance_t *allowance,
                                   const tenant_t *tenant,
                                   const allowance_keeper_t *keeper,
                                   const allowance_ask_t *ask, clock_ms_t now);

#endif
