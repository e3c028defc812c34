#ifndef PERIDOT_BALANCE_STORE_REVISION_H
#define PERIDOT_BALANCE_STORE_REVISION_H

/* Position in the history of the store.  The store numbers its changes; when
   it is restored from an older copy, it begins a new era and gives out numbers
   again, so that numbers of different eras cannot be compared.  */

#include <stdbool.h>
#include <stdint.h>

/* Format of a revision in log lines, and its arguments.  */
#define STORE_REVISION_FORMAT "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
#define STORE_REVISION_ARGS(revision) (revision).era, (revision).number

/* A revision of the store.  All zero: before any.  */
typedef struct store_revision
{
  uint64_t era;    /* number of times that the store was restored */
  uint64_t number; /* number that the store gave out in that era */
} store_revision_t;

/* Return: negative if @a is older than @b, positive if it is newer, or 0.  */
static inline int
store_revision_compare (store_revision_t a, store_revision_t b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  if (a.number != b.number)
    return a.number < b.number ? -1 : 1;
  return 0;
}

/* Whether this is the value before any revision.  */
static inline bool
store_revision_is_zero (store_revision_t revision)
{
  return revision.era == 0 && revision.number == 0;
}

#endif
