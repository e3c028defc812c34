#ifndef PERIDOT_BASELINE_H
#define PERIDOT_BASELINE_H

/* Baseline policies for the benchmark: each instance chooses endpoints by
   itself, from its own counts and the load reports in the responses that it
   received.  There are no slot grants, no queue and no idempotency keys.  Only
   the decision thread calls these functions.  */

#include "decide.h"

typedef struct baseline baseline_t;

/**
 * baseline_new() - create the state of a baseline policy
 * @policy: name in the policy table of the decision library
 * @data_centre: endpoints of this data centre are used first
 * @seed: seed of the random choices
 * @callbacks: only forward and refuse are used; copied
 *
 * Return: the baseline, or NULL when @policy is unknown or does not
 *   choose endpoints.
 */
baseline_t *baseline_new (const char *policy, const char *data_centre,
                          uint64_t seed, const decide_callbacks_t *callbacks);
/* Frees the state; NULL is allowed.  */
void baseline_free (baseline_t *baseline);

/* Copies the list of endpoints, and which of them are out of service, from the
   decision library.  It must be called periodically.  */
void baseline_update (baseline_t *baseline, const decide_t *node,
                      clock_ms_t now);

/**
 * baseline_request() - choose an endpoint and forward, or refuse
 * @profile: profile of the service, or NULL when the service is not known
 */
void baseline_request (baseline_t *baseline, clock_ms_t now,
                       const decide_request_t *request,
                       const decide_profile_t *profile);
/* Withdraws a request; the end of its attempt then starts no retry.  */
void baseline_cancel_request (baseline_t *baseline, uint64_t request);

/**
 * baseline_attempt_done() - an attempt ended
 *
 * An idempotent request is retried once, before its deadline, if the endpoint
 * shed the attempt (refused it because of overload) or it was not sent.
 *
 * Return: whether the request has ended with this attempt's response.
 */
bool baseline_attempt_done (baseline_t *baseline, clock_ms_t now,
                            uint64_t request, uint64_t attempt,
                            const decide_attempt_end_t *end);

#endif
