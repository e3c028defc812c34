#ifndef PERIDOT_BALANCE_DRAIN_RATE_H
#define PERIDOT_BALANCE_DRAIN_RATE_H

/* Rate at which the queue of requests that wait for a service's endpoints is
   drained at this instance.  It is measured only while requests wait: at other
   times the rate is that of the arrivals, and says nothing about what the
   endpoints take.  */

#include "clock.h"

typedef struct drain_rate
{
  double sent; /* requests that left the queue for an endpoint, weighted by
                  age */
  double queued_ms; /* time in which requests waited, weighted likewise */
  clock_ms_t observed_at; /* time of the last observation; 0: none */
  int left;               /* requests that the last observation left waiting */
} drain_rate_t;

/* Records that @sent requests were sent to endpoints and that @left ones still
   wait.  Must be called whenever requests are assigned to endpoints.  */
void drain_rate_observe (drain_rate_t *rate, int sent, int left,
                         clock_ms_t now);

/* Returns the expected time in ms until the request is sent that has @ahead
   requests ahead of it in the queue, or -1 if too little was observed.  */
clock_ms_t drain_rate_wait_ms (const drain_rate_t *rate, int ahead);

#endif
