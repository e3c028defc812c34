#ifndef PERIDOT_CLOCK_H
#define PERIDOT_CLOCK_H

/* Clock that all components use for timeouts and for the age of data.  */

#include <stdint.h>
#include <time.h>

/* Time in ms on a clock that continues while the machine is suspended, or a
   duration in ms.  */
typedef int64_t clock_ms_t;

/**
 * clock_now() - read CLOCK_BOOTTIME
 *
 * CLOCK_MONOTONIC is not used, because it stops while the machine is
 * suspended: data from before the suspension would look recent afterwards.
 *
 * Return: the time in ms.
 */
static inline clock_ms_t
clock_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

#endif
