#ifndef PERIDOT_FLEET_RELAY_H
#define PERIDOT_FLEET_RELAY_H

/* Messages between instances: the reader tells the others what it has learnt
   (UDP, a few times a second and at each change), they say that they live, and
   one that has missed something fetches the whole state (TCP).  */

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

/* Addresses at which other instances probably are, for the first start.  */
typedef struct relay_seeds
{
  uint32_t ip[RELAY_SEEDS_MAX]; /* network byte order */
  int count;
} relay_seeds_t;

/**
 * relay_new() - bind the port, which is the same on all instances
 * @result: out: 0 or a negative errno
 */
relay_t *relay_new (struct ev_loop *loop, const struct sockaddr_in *address,
                    view_t *view, members_t *members, reader_t *reader,
                    feed_t *feed, const relay_seeds_t *seeds,
                    const relay_hooks_t *hooks, int *result);
void relay_free (relay_t *relay);

/* Called a few times a second.  */
void relay_tick (relay_t *relay, clock_ms_t now);

/* Something that the others must know has changed.  */
void relay_changed (relay_t *relay);

/* Own readiness; told at once.  */
void relay_set_ready (relay_t *relay, bool ready);

#endif
