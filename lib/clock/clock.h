#ifndef PERIDOT_CLOCK_H
#define PERIDOT_CLOCK_H

/* The clock type of all packages.  */

#include <stdint.h>
#include <time.h>

/* Milliseconds on a clock that continues while the process is suspended.  */
typedef int64_t clock_ms_t;

/**
 * clock_now() - read CLOCK_BOOTTIME
 *
 * CLOCK_MONOTONIC stands still while a machine is suspended; what was learnt
 * before the suspension would then look fresh.
 */
static inline clock_ms_t
clock_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

#endif
