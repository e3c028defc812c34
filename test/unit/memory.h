#ifndef PERIDOT_TEST_MEMORY_H
#define PERIDOT_TEST_MEMORY_H

/* Implements the callbacks of the admin handlers with objects in memory.
   Changes of objects whose names end with -unreached, -lost or -broken fail as
   if the store were unreachable (-EAGAIN), its response were lost (-ETIMEDOUT)
   or there were an input/output error (-EIO).  Reads of names that end with
   -stale never find the object, as on an instance that has not received it
   yet.  */

#include "admin.h"

typedef struct memory_store memory_store_t;

memory_store_t *memory_store_new (void);
void memory_store_free (memory_store_t *memory);
const admin_callbacks_t *memory_store_callbacks (const memory_store_t *memory);

#endif
