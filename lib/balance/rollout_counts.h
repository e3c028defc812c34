#ifndef PERIDOT_BALANCE_ROLLOUT_COUNTS_H
#define PERIDOT_BALANCE_ROLLOUT_COUNTS_H

/* Counts of the attempts at both versions of a service's software, over all
   instances (see counts.h).  */

#include "counts.h"
#include "rollout_judge.h"

/**
 * rollout_count_attempt() - count an attempt at an endpoint of a service whose
 * software is replaced
 * @route: digest of the route's name
 */
void rollout_count_attempt (counts_t *counts, const rollout_t *rollout,
                            const backend_t *backend, uint64_t route,
                            const rollout_tally_t *attempt, clock_ms_t now);

/* Sums up what all instances have counted of a rollout.  */
void rollout_gather_evidence (const counts_t *counts, uint64_t id,
                              rollout_evidence_t *evidence);

/* Number of requests of this instance at endpoints of other versions than the
   rollout's.  */
uint32_t rollout_count_old_in_flight (const rollout_t *rollout,
                                      backends_t *backends);

/* Finds out which endpoints of a service could get requests now.  Does not set
   @room->instances_behind.  */
void rollout_survey_room (const rollout_t *rollout, backends_t *backends,
                          clock_ms_t now, rollout_room_t *room);

#endif
