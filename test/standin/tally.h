#ifndef PERIDOT_STANDIN_TALLY_H
#define PERIDOT_STANDIN_TALLY_H

/* Statistics of the requests of the load generator, caller.c: the number of
   requests by outcome, and the latencies of successful ones.  */

#include "standin.h"

typedef enum outcome
{
  OUTCOME_WHOLE,           /* complete and correct response */
  OUTCOME_REFUSED_NO,      /* error response: the request did not run */
  OUTCOME_REFUSED_UNKNOWN, /* error response: it may have run */
  OUTCOME_BROKEN,          /* no response, or an incomplete or invalid one */
  OUTCOME_WRONG,           /* response that is not the one to this request */
  OUTCOME_TIMEOUT,         /* no complete response in time */
  OUTCOME_COUNT
} tally_outcome_t;

typedef struct tally
{
  int64_t counts[OUTCOME_COUNT]; /* requests by outcome */
  int64_t *latencies_us;         /* of the requests with OUTCOME_WHOLE */
  size_t latency_count;
  size_t capacity; /* of latencies_us, in elements */
} tally_t;

/* Returns the name of an outcome, as reports show it.  */
const char *tally_outcome_name (tally_outcome_t outcome);

/* Counts a request, and its latency if the outcome is OUTCOME_WHOLE.  */
void tally_add (tally_t *tally, tally_outcome_t outcome, int64_t latency_us);

/* Adds the counts and latencies of @from to @tally.  */
void tally_merge (tally_t *tally, const tally_t *from);

/* Sorts the latencies, and adds the counts and the percentiles of the latency
   in µs to the JSON object @value.  */
void tally_add_to_json (tally_t *tally, json_object *value);

/* Frees the latencies and resets all counts to 0.  */
void tally_clear (tally_t *tally);

#endif
