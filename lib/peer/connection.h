#ifndef PERIDOT_PEER_CONNECTION_H
#define PERIDOT_PEER_CONNECTION_H

/* Internal: one accepted connection.  */

#include "wire.h"

#include <stdatomic.h>

typedef struct counters
{
  atomic_uint_fast64_t connections;
  atomic_uint_fast64_t open;
  atomic_uint_fast64_t batches;
  atomic_uint_fast64_t messages;
  atomic_uint_fast64_t bytes;
  atomic_uint_fast64_t rejected;
  atomic_uint_fast64_t garbage;
} counters_t;

typedef struct connection
{
  int fd;
  clock_ms_t idle_ms;
  peer_deliver_t deliver;
  void *context;
  counters_t *counters;
  /* Of the record that is being read.  */
  size_t record_bytes;
  clock_ms_t record_by;
} connection_t;

/* Serves calls until the connection ends; doesn't close it.  */
void peer_connection_serve (connection_t *connection);

#endif
