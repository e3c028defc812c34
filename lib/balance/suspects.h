#ifndef PERIDOT_BALANCE_SUSPECTS_H
#define PERIDOT_BALANCE_SUSPECTS_H

/* Requests that may crash the endpoints that run them.  Clients repeat such a
   request, and others send the same one, so that each repeat could end another
   endpoint.  A request is known by a digest of what identifies it to an
   endpoint.  It is a suspect when an endpoint has ended while it ran there,
   and is refused when SUSPECT_ENDINGS_MAX endpoints have ended under it,
   counted over all instances.  A response to it ends the suspicion.

   The table is bounded: what is known longest is forgotten first.  */

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/* Number of endpoints that may end under the same request.  One is no proof:
   all requests that an endpoint runs end with it, whatever the cause.  */
#define SUSPECT_ENDINGS_MAX 2
/* Time after which an ending is forgotten, so that a refused request is tried
   again.  */
#define SUSPECT_MEMORY_MS 60000

/* An endpoint that has ended while it ran a request.  */
typedef struct suspect_ending
{
  uint64_t endpoint; /* digest of the endpoint's id */
  clock_ms_t at;     /* ms */
} suspect_ending_t;

typedef struct suspect
{
  uint64_t digest; /* of the request */
  suspect_ending_t endings[SUSPECT_ENDINGS_MAX];
  int n_endings;
  clock_ms_t served_at; /* ms; when a response to it last arrived; 0: never */
  /* For the module that tells other instances.  */
  clock_ms_t tell_at; /* ms; when they are to be told next; 0: not */
  int told_count;     /* number of times that they were told of the last
                         change */
} suspect_t;

typedef struct suspects suspects_t;

suspects_t *suspects_new (void);
void suspects_free (suspects_t *suspects);

/* Returns a request that is a suspect at @now, or NULL.  The pointer is valid
   until the next change of the table.  */
const suspect_t *suspects_find (const suspects_t *suspects, uint64_t digest,
                                clock_ms_t now);
/* Whether a request must not be sent to an endpoint.  */
bool suspects_is_refused (const suspects_t *suspects, uint64_t digest,
                          clock_ms_t now);

/* Records that an endpoint has ended under a request.  Return: the entry if
   that was not known and no later response ends the suspicion; NULL
   otherwise.  */
suspect_t *suspects_add_ending (suspects_t *suspects, uint64_t digest,
                                const suspect_ending_t *ending,
                                clock_ms_t now);
/* Records that a response to a request has arrived at @at.  Return: the entry
   if that ends a suspicion or was not known; NULL otherwise, and always for a
   request that is not in the table.  */
suspect_t *suspects_set_served (suspects_t *suspects, uint64_t digest,
                                clock_ms_t at, clock_ms_t now);

/* Returns a digest of the requests that are refused; 0: none.  */
uint64_t suspects_refused_digest (const suspects_t *suspects);

/* Number of entries, and the entry at a position below that.  */
int suspects_count (const suspects_t *suspects);
suspect_t *suspects_get (suspects_t *suspects, int position);
/* Forgets the entries that are too old.  */
void suspects_expire (suspects_t *suspects, clock_ms_t now);

#endif
