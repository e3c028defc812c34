#ifndef PERIDOT_DECIDE_POLICY_H
#define PERIDOT_DECIDE_POLICY_H

/* Load-balancing policies that choose an endpoint without a grant from the
   owner of its pool; the benchmark uses them as baselines.  The product itself
   uses the policy `slots', which has no choose function because the router
   requests grants from the owners instead.  */

#include "decide.h"

typedef struct policy_endpoint
{
  endpoint_handle_t endpoint;
  uint32_t local;     /* attempts that this instance has in progress there */
  bool reported;      /* a load report of the endpoint was received */
  uint32_t in_flight; /* requests, according to the last report */
  uint32_t queued;    /* requests, according to the last report */
} policy_endpoint_t;

typedef struct policy_state
{
  decide_rng_t *rng;
  uint64_t turn; /* number of choices that the policy round-robin has made */
} policy_state_t;

typedef struct policy
{
  const char *name;
  /* Returns the index of the chosen endpoint; @count is at least 1.  The
     pointer is NULL for the policy `slots'.  */
  uint32_t (*choose) (policy_state_t *state,
                      const policy_endpoint_t *endpoints, uint32_t count);
} policy_t;

/* Return: the policy `random', `round-robin', `least-outstanding',
   `power-of-two' or `slots'; NULL for another name.  */
const policy_t *policy_find (const char *name);
/* Return: the policy at @index, or NULL when there are fewer.  */
const policy_t *policy_get (uint32_t index);

#endif
