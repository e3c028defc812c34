#ifndef PERIDOT_CLAIM_H
#define PERIDOT_CLAIM_H

/* Requester's side of idempotency keys: asks the owner of the key's slice
   before a request runs, and reports how it ended.  */

#include "decide.h"

typedef struct claims claims_t;

typedef struct claims_callbacks
{
  void *context;
  /* Instance that serves a key slice; 0 when there is none.  */
  decide_id_t (*target) (void *context, uint32_t slice);
  void (*send) (void *context, decide_id_t to, const decide_msg_t *msg);
  /* Stores the copy that a reply carries: RUN, NOT_OWNER when it may come from
     an owner that has been replaced, or FULL.  */
  decide_key_status_t (*hold) (void *context, decide_id_t from,
                               const decide_msg_t *reply);
  /* The outcome that is about to be reported.  */
  void (*ended) (void *context, const decide_msg_key_t *outcome);
  /* The request may run; claims_finish() must follow.  */
  void (*run) (void *context, uint64_t request);
  void (*replay) (void *context, uint64_t request,
                  const decide_response_t *answer);
  void (*refuse) (void *context, const decide_refusal_t *refusal);
} claims_callbacks_t;

claims_t *claims_new (const claims_callbacks_t *callbacks,
                      uint64_t incarnation);
void claims_free (claims_t *claims);

/**
 * claims_start() - claim the key of a request
 * @retention_ms: time for which the outcome is to be kept
 *
 * Ends in exactly one of run, replay or refuse, unless claims_cancel() comes
 * first.
 */
void claims_start (claims_t *claims, clock_ms_t now, uint64_t request,
                   const decide_key_t *key, clock_ms_t deadline,
                   clock_ms_t retention_ms);

/* Handles KEY_CLAIM_REPLY and KEY_COPY_ACK.  */
void claims_handle_message (claims_t *claims, clock_ms_t now, decide_id_t from,
                            const decide_msg_t *msg);

/**
 * claims_finish() - a request that was let run has ended
 * @state: DONE, UNKNOWN or NOT_RUN
 * @answer: answer to keep, or NULL when there is none or it is too large
 */
void claims_finish (claims_t *claims, clock_ms_t now, uint64_t request,
                    decide_key_state_t state, const decide_response_t *answer);

/* The caller has gone; a claim that has not led to a run is withdrawn.
   Return: whether the request may still run.  */
bool claims_cancel (claims_t *claims, clock_ms_t now, uint64_t request);

clock_ms_t claims_tick (claims_t *claims, clock_ms_t now);

/* Outcomes that have not been confirmed.  */
uint32_t claims_count (const claims_t *claims);

#endif
