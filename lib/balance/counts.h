#ifndef PERIDOT_BALANCE_COUNTS_H
#define PERIDOT_BALANCE_COUNTS_H

/* Counters over all instances.  Each instance counts by itself and sends its
   values, which only grow, to one instance, the collector.  A lost or repeated
   message therefore does no harm, and a new collector has all values of the
   live instances after their next message.  This module uses no network.  */

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/* Number of values that are counted under one key.  */
#define COUNTS_VALUES 4
/* Limit of the number of keys of one instance.  What is counted under further
   ones is lost.  */
#define COUNTS_KEYS_MAX 1024

/* What is counted.  */
typedef struct counts_key
{
  uint64_t subject; /* id of what the counts are about, such as a rollout */
  uint64_t item;    /* part of it; its meaning is the subject's */
} counts_key_t;

/* The values of a key.  */
typedef struct counts_values
{
  uint64_t value[COUNTS_VALUES];
} counts_values_t;

typedef struct counts counts_t;

counts_t *counts_new (void);
void counts_free (counts_t *counts);

/* Adds to the values that this instance has counted itself.  */
void counts_add (counts_t *counts, counts_key_t key,
                 const counts_values_t *values, clock_ms_t now);

/**
 * counts_learn() - record the values of another instance, as the collector
 * @instance: its name
 * @start: identifies the start of its process.  What it counted before a
 *   restart stays in the sums.
 * @values: all that it has counted since that start
 */
void counts_learn (counts_t *counts, const char *instance, uint64_t start,
                   counts_key_t key, const counts_values_t *values);

/* Calls @visit for each key of a subject, with the sum over this instance and
   all others.  */
void counts_sum (const counts_t *counts, uint64_t subject,
                 void (*visit) (void *context, uint64_t item,
                                const counts_values_t *sum),
                 void *context);

/* Calls @visit for each key whose own values have changed since @since.  */
void counts_visit_own (const counts_t *counts, clock_ms_t since,
                       void (*visit) (void *context, counts_key_t key,
                                      const counts_values_t *values),
                       void *context);

/* Forgets all keys of a subject.  */
void counts_forget (counts_t *counts, uint64_t subject);

#endif
