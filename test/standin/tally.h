#ifndef PERIDOT_STANDIN_TALLY_H
#define PERIDOT_STANDIN_TALLY_H

/* Outcomes and latencies of the caller stand-in's requests.  */

#include "standin.h"

typedef enum outcome
{
  OUTCOME_WHOLE,
  OUTCOME_REFUSED_NO,      /* told that the request did not run */
  OUTCOME_REFUSED_UNKNOWN, /* told that it may have run */
  OUTCOME_BROKEN,          /* no or an incomplete answer */
  OUTCOME_WRONG,           /* an answer that is not its own */
  OUTCOME_TIMEOUT,
  OUTCOMES
} tally_outcome_t;

typedef struct tally
{
  int64_t counts[OUTCOMES];
  int64_t *latencies_us; /* of whole answers */
  size_t used;
  size_t capacity;
} tally_t;

const char *tally_outcome_name (tally_outcome_t outcome);
void tally_add (tally_t *tally, tally_outcome_t outcome, int64_t latency_us);

/* Adds what @from has counted to @tally.  */
void tally_merge (tally_t *tally, const tally_t *from);

/* Adds counts and percentiles in µs to @value.  */
void tally_add_to_json (tally_t *tally, json_object *value);
void tally_clear (tally_t *tally);

#endif
