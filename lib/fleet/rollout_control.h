#ifndef PERIDOT_FLEET_ROLLOUT_CONTROL_H
#define PERIDOT_FLEET_ROLLOUT_CONTROL_H

/* Carries out rollouts.  The reader, the instance that reads the store on
   behalf of all, judges each running rollout by the counts of all instances
   (see rollout_judge.h), announces the steps, and writes the phase into the
   store.  If it fails, the next reader goes on from what was announced.  Two
   readers do no harm: of two steps the one of higher precedence holds, and the
   store takes a phase only from a writer that has read what it replaces.  */

#include "feed.h"
#include "rollout_judge.h"

/* How far another instance is with a rollout.  */
typedef struct rollout_progress
{
  uint64_t id; /* of the rollout */
  rollout_phase_t phase;
  uint32_t old_in_flight; /* number of its requests at old endpoints */
} rollout_progress_t;

typedef struct rollout_control rollout_control_t;

/* All arguments must outlive the object.  */
rollout_control_t *rollout_control_new (view_t *view, members_t *members,
                                        const reader_t *reader, feed_t *feed,
                                        const rollout_bounds_t *bounds);
void rollout_control_free (rollout_control_t *control);

/* Judges and writes what is due.  Must be called a few times a second.  */
void rollout_control_tick (rollout_control_t *control, clock_ms_t now);

void rollout_control_learn_progress (rollout_control_t *control,
                                     const char *instance,
                                     const rollout_progress_t *progress,
                                     clock_ms_t now);

#endif
