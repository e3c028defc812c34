#ifndef PERIDOT_CALLER_H
#define PERIDOT_CALLER_H

/* The connection of a caller while its request is served.  CivetWeb neither
   tells when the caller closes it nor bounds a write by a deadline, so both
   are done on the descriptor.  */

#include <civetweb.h>

#include "decide.h"

typedef struct caller
{
  struct mg_connection *conn;
  int fd; /* 0 until it is needed, -1 when it was not found */
  clock_ms_t checked;
  bool left;
} caller_t;

/**
 * caller_has_left() - check whether the caller has closed its connection
 *
 * At most once in 20 ms; a caller that closes only its sending side counts as
 * one that has left.
 */
bool caller_has_left (caller_t *caller);

/**
 * caller_write() - write to the caller until a time in ms
 * Return: the number of bytes that the connection took.
 */
size_t caller_write (caller_t *caller, const void *data, size_t length,
                     clock_ms_t until);

#endif
