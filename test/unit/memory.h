#ifndef PERIDOT_TEST_MEMORY_H
#define PERIDOT_TEST_MEMORY_H

/* Callbacks of the admin handlers over objects in memory.  Changes of names
   that end with -unreached, -lost or -broken fail as the store does when it
   can't be reached, when its answer is lost, and with an input error.  Reads
   of names that end with -stale never find the object, as on an instance that
   does not know of it yet.  */

#include "admin.h"

typedef struct memory memory_t;

memory_t *memory_new (void);
void memory_free (memory_t *memory);
const admin_callbacks_t *memory_callbacks (const memory_t *memory);

#endif
