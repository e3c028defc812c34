#ifndef PERIDOT_STORE_FIXTURE_H
#define PERIDOT_STORE_FIXTURE_H

/* Fake server of the platform API.  It has one object, and its responses can
   be lost or wrong.  */

#include "httpserver.h"
#include "store.h"

#include <glib.h>
#include <pthread.h>
#include <semaphore.h>

/* How the server handles a write request: whether the write takes effect, and
   what the server does then.  */
typedef enum write_behaviour
{
  WRITE_OK,
  WRITE_LOSE_RESPONSE,      /* takes effect, then closes the connection */
  WRITE_LOSE_REQUEST,       /* no effect, closes the connection */
  WRITE_SILENT,             /* takes effect, sends no response */
  WRITE_MALFORMED,          /* takes effect, sends truncated JSON */
  WRITE_UNAVAILABLE,        /* no effect, sends status 503 */
  WRITE_INVALID,            /* no effect, sends status 400 */
  WRITE_OTHER_CHANGE_FIRST, /* no effect, makes another change, closes the
                               connection */
  WRITE_OTHER_CHANGE_AFTER  /* takes effect, makes another change, closes
                               the connection */
} write_behaviour_t;

extern httpserver_t *server;
extern store_t *store;

/* State of the object and of the server.  */
typedef struct platform
{
  pthread_mutex_t lock;
  int version; /* of the object; 0: it does not exist */
  bool deleted;
  char change_id[64];
  write_behaviour_t write_behaviour;
  int writes;            /* write requests received */
  char list_target[256]; /* request target of the last list request */
  /* The server sends two responses to a request for prefix=twice.  The test
     posts this semaphore when it has read the first response.  */
  sem_t first_response_read;
  /* The server posts this semaphore when it has sent the second response.  */
  sem_t second_response_sent;
} platform_t;

extern platform_t platform;

/* Runs the function @test with a new server and a new client.  The object has
   version 3 at first.  */
void store_fixture_run (gconstpointer test);

#endif
