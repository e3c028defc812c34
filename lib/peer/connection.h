#ifndef PERIDOT_PEER_CONNECTION_H
#define PERIDOT_PEER_CONNECTION_H

/* Internal: serves the RPC calls of one accepted connection.  */

#include "wire.h"

#include <stdatomic.h>

/* Counters of a server, which all its connections share; see
   peer_server_stats_t.  */
typedef struct peer_server_counters
{
  atomic_uint_fast64_t connections;
  atomic_uint_fast64_t open;
  atomic_uint_fast64_t batches;
  atomic_uint_fast64_t messages;
  atomic_uint_fast64_t bytes;
  atomic_uint_fast64_t rejected;
  atomic_uint_fast64_t malformed_calls;
} peer_server_counters_t;

typedef struct peer_connection
{
  int fd;
  clock_ms_t idle_timeout_ms;
  peer_deliver_t deliver;
  void *context;
  peer_server_counters_t *counters;
  /* The RPC record that is being read: bytes received so far, and the time by
     which it must be complete, as peer_now_ms().  */
  size_t record_bytes;
  clock_ms_t record_deadline;
} peer_connection_t;

/* Serves calls until the client closes the connection, a time limit passes or
   an error occurs.  The caller closes the socket.  */
void peer_connection_serve (peer_connection_t *connection);

#endif
