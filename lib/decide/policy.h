#ifndef PERIDOT_DECIDE_POLICY_H
#define PERIDOT_DECIDE_POLICY_H

/* Load-balancing policies that choose an endpoint without asking the owners of
   pools; the benchmark uses them as baselines.  The product itself uses the
   policy `slots', which has no choose function because the router asks owners
   instead.  */

#include "decide.h"

typedef struct policy_endpoint
{
  endpoint_handle_t endpoint;
  uint32_t local;     /* attempts of this instance in progress */
  bool reported;      /* whether a load report was received */
  uint32_t in_flight; /* in the last report, as is @queued */
  uint32_t queued;
} policy_endpoint_t;

typedef struct policy_state
{
  decide_rng_t *rng;
  uint64_t turn; /* counter of the round robin */
} policy_state_t;

typedef struct policy
{
  const char *name;
  /* Returns an index below @count, which is at least 1.  NULL for the policy
     that uses the router.  */
  uint32_t (*choose) (policy_state_t *state,
                      const policy_endpoint_t *endpoints, uint32_t count);
} policy_t;

/* Return: the policy `random', `round-robin', `least-outstanding',
   `power-of-two' or `slots'; NULL for another name.  */
const policy_t *policy_find (const char *name);
/* Return: the policy at @index, or NULL when there are fewer.  */
const policy_t *policy_get (uint32_t index);

#endif
