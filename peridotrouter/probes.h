#ifndef PERIDOT_PROBES_H
#define PERIDOT_PROBES_H

/* Thread that probes endpoints for their load, one at a time.  */

#include "decide.h"

typedef struct probes probes_t;

typedef struct probe_result
{
  endpoint_handle_t endpoint;
  bool ok;               /* the endpoint returned a load report */
  clock_ms_t latency_ms; /* from sending to the first byte of the response */
  decide_load_t load;    /* the reported load, if @ok */
} probe_result_t;

/* Receives the result of a probe.  It is called on the probe thread, or on the
   thread that queues the probe if the queue is full.  */
typedef void (*probes_callback_t) (void *context,
                                   const probe_result_t *result);

/**
 * probes_start() - create the probe thread
 * @done: called with each result
 * Return: 0 or a negative error number.
 */
int probes_start (probes_t **probes, probes_callback_t done, void *context);

/* Ends the thread and frees @probes, which may be NULL.  */
void probes_stop (probes_t *probes);

/* Queues a probe, whose result is passed to the callback.  When the queue is
   full, the callback is called at once, on the caller's thread, with ok =
   false.  */
void probes_enqueue (probes_t *probes, endpoint_handle_t endpoint,
                     const char *address);

#endif
