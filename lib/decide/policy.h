#ifndef PERIDOT_DECIDE_POLICY_H
#define PERIDOT_DECIDE_POLICY_H

/* Choice of an endpoint without owners: the baselines of the benchmark.  The
   policy `slots' is the product's own; it has no choose function because the
   router asks owners instead.  */

#include "decide.h"

typedef struct policy_endpoint
{
  endpoint_handle_t endpoint;
  uint32_t local;     /* attempts of this instance in progress */
  bool reported;      /* whether a load report was seen */
  uint32_t in_flight; /* of the last report */
  uint32_t queued;
} policy_endpoint_t;

typedef struct policy_state
{
  decide_rng_t *rng;
  uint64_t turn;
} policy_state_t;

typedef struct policy
{
  const char *name;
  /* Returns an index below @count, which is at least 1.  NULL: use the
     router.  */
  uint32_t (*choose) (policy_state_t *state,
                      const policy_endpoint_t *endpoints, uint32_t count);
} policy_t;

/* Return: `random', `round-robin', `least-outstanding', `power-of-two' or
   `slots'; NULL for another name.  */
const policy_t *policy_find (const char *name);
/* Return: the policy at @index, or NULL past the last.  */
const policy_t *policy_get (uint32_t index);

#endif
