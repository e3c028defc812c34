#ifndef PERIDOT_TEST_MEMORY_H
#define PERIDOT_TEST_MEMORY_H

/* Callbacks of the admin handlers over objects in memory.  Changes of names
   that end with -unreached, -lost or -broken fail as the store does when it
   can't be reached, when its answer is lost, and with an input error.  Reads
   of names that end with -stale never find the object, as on an instance that
   does not know of it yet.  */

#include "admin.h"

typedef struct memory memory_store_t;

memory_store_t *memory_store_new (void);
void memory_store_free (memory_store_t *memory);
const admin_callbacks_t *memory_store_callbacks (const memory_store_t *memory);

#endif
