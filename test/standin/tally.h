#ifndef PERIDOT_STANDIN_TALLY_H
#define PERIDOT_STANDIN_TALLY_H

/* Statistics of the requests of the load generator, caller.c: how many had
   each outcome, and latencies.  */

#include "standin.h"

typedef enum outcome
{
  OUTCOME_WHOLE,           /* complete and correct response */
  OUTCOME_REFUSED_NO,      /* error response: the request did not run */
  OUTCOME_REFUSED_UNKNOWN, /* error response: it may have run */
  OUTCOME_BROKEN,          /* no response, or an incomplete or invalid one */
  OUTCOME_WRONG,           /* response with the content of another request */
  OUTCOME_TIMEOUT,
  OUTCOME_COUNT
} tally_outcome_t;

typedef struct tally
{
  int64_t counts[OUTCOME_COUNT];
  int64_t *latencies_us; /* of the requests with OUTCOME_WHOLE */
  size_t latency_count;
  size_t capacity;
} tally_t;

/* Returns the name of an outcome in reports.  */
const char *tally_outcome_name (tally_outcome_t outcome);
/* Counts a request, and its latency if the outcome is OUTCOME_WHOLE.  */
void tally_add (tally_t *tally, tally_outcome_t outcome, int64_t latency_us);

/* Adds the counts and latencies of @from to @tally.  */
void tally_merge (tally_t *tally, const tally_t *from);

/* Adds the counts and the percentiles of the latency in µs to the JSON object
   @value.  */
void tally_add_to_json (tally_t *tally, json_object *value);
/* Frees the latencies and resets all counts to 0.  */
void tally_clear (tally_t *tally);

#endif
