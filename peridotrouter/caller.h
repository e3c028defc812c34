#ifndef PERIDOT_CALLER_H
#define PERIDOT_CALLER_H

/* Connection of a client while its request is served.  CivetWeb does not
   report that the client closed the connection, and its writes have no
   deadline, so these functions use the socket's descriptor directly.  */

#include <civetweb.h>

#include "decide.h"

typedef struct client
{
  struct mg_connection *conn;
  int fd; /* the socket's descriptor; 0: not searched for yet, -1: not found */
  /* Time in ms of the last check of the socket; until the first check, time of
     the first call of client_has_disconnected(), or 0.  */
  clock_ms_t last_check;
  bool disconnected;
} client_t;

/**
 * client_has_disconnected() - check whether the client closed the connection
 *
 * The socket is checked at most once in 20 ms, and not within 20 ms of the
 * first call.  A client that shuts down only its sending side counts as
 * disconnected.
 */
bool client_has_disconnected (client_t *client);

/**
 * client_write() - write to the client until all is written, sending fails or
 *   the deadline has passed
 * @deadline: time in ms on the clock of clock_now_ms(); checked only when the
 *   socket can't accept more data at once
 *
 * CivetWeb does not reveal the socket's descriptor, so it is searched for.  If
 * it is not found, the data is written by mg_write(), which ignores @deadline.
 *
 * Return: the number of bytes written; with mg_write(), @length if it wrote
 * all bytes, and otherwise 0.
 */
size_t client_write (client_t *client, const void *data, size_t length,
                     clock_ms_t deadline);

#endif
