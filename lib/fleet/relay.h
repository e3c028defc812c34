#ifndef PERIDOT_FLEET_RELAY_H
#define PERIDOT_FLEET_RELAY_H

/* Replicates the reader's state to the other instances.  The reader announces
   changes over UDP, a few times a second and after each change; the others
   reply with hellos, which are their heartbeats; and an instance whose state
   differs from the announced one fetches it over TCP.  */

#include <ev.h>

#include "feed.h"

typedef struct relay relay_t;

typedef struct relay_hooks
{
  /* The set of live and ready instances may have changed.  */
  void (*members_changed) (void *context);
  void *context;
} relay_hooks_t;

#define RELAY_SEEDS_MAX 3

/* Addresses of instances to contact while no reader is heard, as on the first
   start.  */
typedef struct relay_seeds
{
  uint32_t ip[RELAY_SEEDS_MAX]; /* network byte order */
  int count;
} relay_seeds_t;

/**
 * relay_new() - bind the port, which is the same on all instances
 * @result: out: 0 or a negative errno
 *
 * Return: the relay, or NULL if @result is not 0.
 */
relay_t *relay_new (struct ev_loop *loop, const struct sockaddr_in *address,
                    view_t *view, members_t *members, reader_t *reader,
                    feed_t *feed, const relay_seeds_t *seeds,
                    const relay_hooks_t *hooks, int *result);
void relay_free (relay_t *relay);

/* Sends what is due.  Must be called a few times a second.  */
void relay_tick (relay_t *relay, clock_ms_t now);

/* Schedules an announcement after a change, if this instance is the
   reader.  */
void relay_schedule_announcement (relay_t *relay);

/* Sets whether this instance is ready and announces it at once.  */
void relay_set_ready (relay_t *relay, bool ready);

#endif
