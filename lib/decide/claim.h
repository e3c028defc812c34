#ifndef PERIDOT_CLAIM_H
#define PERIDOT_CLAIM_H

/* Requester's side of idempotency keys: an instance claims the key of a
   request at the owner of the key's slice before the request runs, and then
   reports the outcome to the owner.  */

#include "decide.h"

typedef struct claims claims_t;

typedef struct claims_callbacks
{
  void *context;
  /* Returns the instance that serves a key slice; 0 when there is none.  */
  decide_id_t (*find_serving_instance) (void *context, uint32_t slice);
  void (*send) (void *context, decide_id_t to, const decide_msg_t *msg);
  /* Stores the copy of the claim that a reply RUN_WITH_COPY carries.  The
     result is that of keys_store_claim_copy().  */
  decide_key_status_t (*store_copy) (void *context, decide_id_t from,
                                     const decide_msg_t *reply);
  /* Records an outcome in the copy of the claim that this instance may have.
     Called once for each outcome, before the outcome is sent to the owner.  */
  void (*record_outcome) (void *context, const decide_msg_key_t *outcome);
  /* Lets the request run; claims_finish() must be called when it has
     ended.  */
  void (*run) (void *context, uint64_t request);
  /* Ends the request with the response that was recorded for its key.  */
  void (*replay) (void *context, uint64_t request,
                  const decide_response_t *response);
  void (*refuse) (void *context, const decide_refusal_t *refusal);
} claims_callbacks_t;

claims_t *claims_new (const claims_callbacks_t *callbacks,
                      uint64_t incarnation);
void claims_free (claims_t *claims);

/**
 * claims_start() - claim the key of a request
 * @request: number of the request, unique in this process
 * @deadline: deadline of the request, in ms
 * @retention_ms: time for which the owner keeps the outcome
 *
 * Exactly one of the callbacks run, replay and refuse is called later, unless
 * claims_cancel() is called first.
 */
void claims_start (claims_t *claims, clock_ms_t now, uint64_t request,
                   const decide_key_t *key, clock_ms_t deadline,
                   clock_ms_t retention_ms);

/* Handles KEY_CLAIM_REPLY, and KEY_COPY_ACK that confirms an outcome.  Other
   messages are ignored.  */
void claims_handle_message (claims_t *claims, clock_ms_t now, decide_id_t from,
                            const decide_msg_t *msg);

/**
 * claims_finish() - report the outcome of a request that was allowed to run
 * @outcome: DONE, UNKNOWN or NOT_RUN
 * @answer: response to record, copied; NULL when there is none or it is too
 *   large
 */
void claims_finish (claims_t *claims, clock_ms_t now, uint64_t request,
                    decide_key_state_t outcome,
                    const decide_response_t *answer);

/**
 * claims_cancel() - withdraw the claim of a request whose client has
 * disconnected
 *
 * Return: false when the claim was withdrawn or is not known; true when it no
 * longer waited for the owner's reply, so that the request may be running.
 */
bool claims_cancel (claims_t *claims, clock_ms_t now, uint64_t request);

/**
 * claims_tick() - resend claims and outcomes, and end those that time out
 *
 * Return: time in ms at which it must be called again; INT64_MAX when there
 * are no claims.
 */
clock_ms_t claims_tick (claims_t *claims, clock_ms_t now);

/* Number of claims that wait for the owner's reply, whose request is running,
   or whose outcome the owner has not confirmed.  */
uint32_t claims_count (const claims_t *claims);

#endif
