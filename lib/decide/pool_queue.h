#ifndef PERIDOT_DECIDE_POOL_QUEUE_H
#define PERIDOT_DECIDE_POOL_QUEUE_H

/* Bounded queue of requests, ordered by priority, then deadline, then
   arrival.  */

#include "decide.h"

typedef struct pool_waiter
{
  decide_id_t holder;
  uint64_t request;
  uint32_t priority;
  clock_ms_t deadline;
  clock_ms_t arrived;
  clock_ms_t run_ms;
} pool_waiter_t;

typedef struct pool_queue
{
  pool_waiter_t *waiters; /* the first is served next */
  uint32_t count;
  uint32_t max;
} pool_queue_t;

/* Changes the bound; entries past the new bound must have been removed.
   Return: 0 or -ENOMEM.  */
int pool_queue_resize (pool_queue_t *queue, uint32_t max);
/* Return: the place that the waiter would take; 0 is the front.  */
uint32_t pool_queue_place (const pool_queue_t *queue,
                           const pool_waiter_t *waiter);
/* Inserts at its place; the queue must have room.  */
void pool_queue_insert (pool_queue_t *queue, const pool_waiter_t *waiter);
/* Removes and returns the entry at an index.  */
pool_waiter_t pool_queue_remove (pool_queue_t *queue, uint32_t index);

#endif
