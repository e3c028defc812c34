#ifndef PERIDOT_CLOCK_H
#define PERIDOT_CLOCK_H

/* Clock from which all components take the current time for timeouts and for
   the age of data.  */

#include <stdint.h>
#include <time.h>

/* Time in ms on a clock that continues while the machine is suspended, or a
   duration in ms.  */
typedef int64_t clock_ms_t;

/**
 * clock_now() - read CLOCK_BOOTTIME
 *
 * CLOCK_MONOTONIC stops while the machine is suspended, so that data from
 * before the suspension would look recent afterwards.
 *
 * Return: ms.
 */
static inline clock_ms_t
clock_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

#endif
