#ifndef PERIDOT_PROBES_H
#define PERIDOT_PROBES_H

/* Probe thread: asks endpoints for their load, one at a time.  */

#include "decide.h"

typedef struct probes probes_t;

typedef struct probe_result
{
  endpoint_handle_t endpoint;
  bool ok;
  clock_ms_t latency_ms;
  decide_load_t load;
} probe_result_t;

typedef void (*probes_done_t) (void *context, const probe_result_t *result);

int probes_start (probes_t **probes, probes_done_t done, void *context);
void probes_stop (probes_t *probes);

/* Ends in the callback, at once with ok = false when too many wait.  */
void probes_enqueue (probes_t *probes, endpoint_handle_t endpoint,
                     const char *address);

#endif
