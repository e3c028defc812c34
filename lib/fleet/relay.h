#ifndef PERIDOT_FLEET_RELAY_H
#define PERIDOT_FLEET_RELAY_H

/* Replicates the state of the reader, the instance that reads the store on
   behalf of all, to the other instances.  A few times a second and after each
   change, the reader sends an announcement over UDP: digests of its state, and
   recent changes.  The others reply with hellos, which are their heartbeats.
   An instance whose state differs from the announced one fetches it over
   TCP.  */

#include <ev.h>

#include "feed.h"
#include "rollout_control.h"

typedef struct relay relay_t;

/* Callbacks of the relay.  */
typedef struct relay_hooks
{
  /* Called when the set of live and ready instances may have changed.  */
  void (*members_changed) (void *context);
  /* Called when another instance tells how far it is with a rollout.  */
  void (*rollout_progress) (void *context, const char *instance,
                            const rollout_progress_t *progress);
  /* Called when the keeper of a tenant's allowance has replied.  */
  void (*allowance_replied) (void *context, const char *tenant,
                             const allowance_reply_t *reply);
  void *context; /* argument of the callbacks */
} relay_hooks_t;

/* Limit of the number of seeds (see relay_seeds_t); further ones in the
   settings are not used.  */
#define RELAY_SEEDS_MAX 3

/* Seeds: the configured addresses of some instances.  An instance that
   receives no announcement, for example because it has just started, sends its
   hellos to them.  */
typedef struct relay_seeds
{
  uint32_t ip[RELAY_SEEDS_MAX]; /* network byte order */
  int count;                    /* number of addresses in @ip */
} relay_seeds_t;

/**
 * relay_new() - create a relay and bind its UDP and TCP sockets
 * @address: UDP and TCP address of this instance; the port is the same on all
 *   instances
 * @seeds: copied
 * @hooks: copied
 * @result: out: 0 or a negative errno
 *
 * Return: the relay, or NULL if @result is not 0.
 */
relay_t *relay_new (struct ev_loop *loop, const struct sockaddr_in *address,
                    view_t *view, members_t *members, reader_t *reader,
                    feed_t *feed, const relay_seeds_t *seeds,
                    const relay_hooks_t *hooks, int *result);
void relay_free (relay_t *relay);

/* Sends the announcement or the hellos that are due.  Must be called a few
   times a second.  */
void relay_tick (relay_t *relay, clock_ms_t now);

/* If this instance is the reader, schedules an announcement to all members
   after a short delay, so that changes in that time share an announcement.  */
void relay_schedule_announcement (relay_t *relay);

/* Asks the keeper of an endpoint, the instance that issues the permits for it
   (see rate_limit.h), for one that can be used within @wait_max ms.
   rate_limit_ask() must have been called.  */
void relay_ask_permit (relay_t *relay, backend_t *backend,
                       clock_ms_t wait_max);
/* Asks the keeper of a tenant's allowance for tokens.  The reply may come
   before the function returns.  @ask: in: @wanted.  */
void relay_ask_allowance (relay_t *relay, const char *tenant,
                          allowance_ask_t *ask);
void relay_set_allowance_bounds (relay_t *relay,
                                 const allowance_bounds_t *bounds);
/* Must be called when the set of ready instances may have changed.  */
void relay_handle_members_change (relay_t *relay);
/* Tells other instances of a limit that an endpoint has stated.  */
void relay_tell_limits (relay_t *relay);

/* Tells other instances of a change of a request that may crash endpoints.  */
void relay_tell_suspect (relay_t *relay, suspect_t *suspect);

/* Called after a pause of the process.  Drops the messages that arrived during
   the pause, which may be as old as it is, and asks for an announcement.  */
void relay_start_anew (relay_t *relay, clock_ms_t now);

/* Whether this instance has the configuration that was last announced, or a
   newer one.  */
bool relay_has_announced_config (const relay_t *relay);

/* Sets whether this instance is ready and, if that is a change, tells the
   other instances at once: in an announcement if it is the reader, and
   otherwise in a hello to the reader.  */
void relay_set_ready (relay_t *relay, bool ready);

#endif
