#ifndef PERIDOT_STORE_FIXTURE_H
#define PERIDOT_STORE_FIXTURE_H

/* Object API with one object, whose answers can be lost or wrong.  */

#include "httpserver.h"
#include "store.h"

#include <glib.h>
#include <pthread.h>
#include <semaphore.h>

/* One object and what the server does with the next write.  */
typedef enum writing
{
  WRITE_OK,
  WRITE_LOSE_ANSWER, /* takes effect, connection closed */
  WRITE_LOSE_CALL,   /* no effect, connection closed */
  WRITE_SILENT,      /* takes effect, no answer */
  WRITE_MALFORMED,   /* takes effect, answer cut short */
  WRITE_UNAVAILABLE, /* no effect, 503 */
  WRITE_INVALID,     /* no effect, 400 */
  WRITE_OTHER_FIRST, /* another change first, connection closed */
  WRITE_OTHERS_AFTER /* takes effect, another change, answer lost */
} writing_t;

extern httpserver_t *server;
extern store_t *store;
typedef struct platform
{
  pthread_mutex_t lock;
  int version; /* 0: does not exist */
  bool deleted;
  char change_id[64];
  writing_t writing;
  int writes;
  char list[256]; /* what a list request asked for */
  sem_t taken;    /* the first answer to prefix=twice */
  sem_t written;  /* the second */
} platform_t;

extern platform_t platform;

/* Runs a test with a platform and a client of its own.  The object has
   version 3 unless the test changes that.  */
void with_store (gconstpointer test);

#endif
