#ifndef PERIDOT_CALLER_H
#define PERIDOT_CALLER_H

/* Connection of a client while its request is served.  CivetWeb neither
   reports that the client closed the connection nor has writes with a
   deadline, so both are done on the socket's descriptor.  */

#include <civetweb.h>

#include "decide.h"

typedef struct client
{
  struct mg_connection *conn;
  int fd;                /* 0: not searched for yet, -1: not found */
  clock_ms_t last_check; /* for a disconnect; 0: none yet */
  bool disconnected;
} client_t;

/**
 * client_has_disconnected() - check whether the client closed the connection
 *
 * The socket is checked at most once in 20 ms.  A client that shuts down only
 * its sending side counts as disconnected.
 */
bool client_has_disconnected (client_t *client);

/**
 * client_write() - write to the client until all is written or the time is up
 * @deadline: ms, as clock_now_ms(); unused without a descriptor
 * Return: the number of bytes written.
 */
size_t client_write (client_t *client, const void *data, size_t length,
                     clock_ms_t deadline);

#endif
