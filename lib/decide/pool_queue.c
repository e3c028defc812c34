#include "pool_queue.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

int
pool_queue_resize (pool_queue_t *queue, uint32_t max)
{
  /* One more entry than needed is allocated, so that the size is never 0.  */
  pool_waiter_t *waiters
      = realloc (queue->waiters, ((size_t)max + 1) * sizeof *waiters);

  if (waiters == NULL)
    return -ENOMEM;
  queue->waiters = waiters;
  queue->max = max;
  return 0;
}

/* Returns whether @a is served before @b.  */
static bool
is_before (const pool_waiter_t *a, const pool_waiter_t *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->deadline < b->deadline;
}

uint32_t
pool_queue_find_position (const pool_queue_t *queue,
                          const pool_waiter_t *waiter)
{
  uint32_t position = queue->count;

  while (position > 0 && is_before (waiter, &queue->waiters[position - 1]))
    position--;
  return position;
}

void
pool_queue_insert (pool_queue_t *queue, const pool_waiter_t *waiter)
{
  uint32_t position = pool_queue_find_position (queue, waiter);

  memmove (&queue->waiters[position + 1], &queue->waiters[position],
           (queue->count - position) * sizeof *waiter);
  queue->waiters[position] = *waiter;
  queue->count++;
}

pool_waiter_t
pool_queue_remove (pool_queue_t *queue, uint32_t index)
{
  pool_waiter_t waiter = queue->waiters[index];

  queue->count--;
  memmove (&queue->waiters[index], &queue->waiters[index + 1],
           (queue->count - index) * sizeof waiter);
  return waiter;
}
