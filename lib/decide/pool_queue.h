#ifndef PERIDOT_DECIDE_POOL_QUEUE_H
#define PERIDOT_DECIDE_POOL_QUEUE_H

/* Bounded priority queue of requests that wait for a grant, ordered by
   priority, then deadline, then arrival.  */

#include "decide.h"

/* A waiting request.  Times are in ms.  */
typedef struct pool_waiter
{
  decide_id_t holder;    /* instance that sent the grant request */
  uint64_t request;      /* number of the holder's grant request */
  uint32_t priority;     /* lower values are served first */
  clock_ms_t deadline;   /* by which the request must have been served */
  clock_ms_t arrived_at; /* at the owner */
  clock_ms_t run_ms;     /* maximum duration of the attempt, in ms */
} pool_waiter_t;

typedef struct pool_queue
{
  pool_waiter_t *waiters; /* sorted; the first one is served next */
  uint32_t count;         /* number of waiting requests */
  uint32_t max;           /* maximum of @count */
} pool_queue_t;

/* Changes the maximum length to @max, which must not be below the current
   length.
   Return: 0 or -ENOMEM.  */
int pool_queue_resize (pool_queue_t *queue, uint32_t max);
/* Return: the index at which @waiter would be inserted; 0 is the front.  */
uint32_t pool_queue_find_position (const pool_queue_t *queue,
                                   const pool_waiter_t *waiter);
/* Inserts @waiter in order; the queue must not be full.  */
void pool_queue_insert (pool_queue_t *queue, const pool_waiter_t *waiter);
/* Removes and returns the entry at @index, which must be valid.  */
pool_waiter_t pool_queue_remove (pool_queue_t *queue, uint32_t index);

#endif
