#ifndef PERIDOT_NET_HOLDINGS_H
#define PERIDOT_NET_HOLDINGS_H

/* Memory and descriptors that clients make the servers of a process hold:
   heads and bodies that are being received, input that waits to be parsed, and
   responses that wait for their client.  When they exceed a limit, the
   connections of clients that take long for what they hold are closed.  */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "clock.h"

/* Assumed size of a connection without any data.  */
#define HOLDINGS_CONNECTION_BYTES 4096
/* Assumed size of a header field beside its characters: two allocations and
   two pointers.  */
#define HOLDINGS_FIELD_BYTES 80

/* What one connection holds.  */
typedef struct holding
{
  GList link;       /* in @all of the holdings */
  size_t bytes;     /* that it is charged for */
  clock_ms_t since; /* ms; when it last had nothing to wait for: its client
                       sent a whole request, or read a whole response; the time
                       of its acceptance at first */
  bool is_waiting; /* it waits for its client: for the rest of a request, for a
                      first one, or for a response to be read */
} holding_t;

typedef struct holdings
{
  GQueue all;             /* holding_t * */
  size_t bytes;           /* of all */
  size_t bytes_max;       /* limit; 0: none */
  unsigned int count_max; /* limit of the number of connections; 0: none */
  /* Closes the connection of a holding, which is removed then.  */
  void (*close) (holding_t *holding);
} holdings_t;

/* Records whether a connection waits for its client.  */
void holdings_set_waiting (holding_t *holding, bool is_waiting,
                           clock_ms_t now);
void holdings_add (holdings_t *holdings, holding_t *holding, clock_ms_t now);
void holdings_remove (holdings_t *holdings, holding_t *holding);
/* Sets the bytes of a holding.  */
void holdings_set_bytes (holdings_t *holdings, holding_t *holding,
                         size_t bytes);

/* Whether a limit is exceeded.  */
bool holdings_are_exceeded (const holdings_t *holdings);

/**
 * holdings_find_victim() - choose the connection to close
 *
 * The size counts more than the time: many idle connections are kept longer
 * than a large incomplete request.
 *
 * Return: of those that wait for their clients, the one with the most bytes
 * for the longest time; NULL: there is none.
 */
holding_t *holdings_find_victim (const holdings_t *holdings, clock_ms_t now);

/* Closes connections until no limit is exceeded, or none is left that waits
   for its client.  Must not be called by functions that use a connection.
   Return: the number of closed connections.  */
int holdings_shed (holdings_t *holdings, clock_ms_t now);

#endif
