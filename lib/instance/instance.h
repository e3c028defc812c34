#ifndef PERIDOT_INSTANCE_H
#define PERIDOT_INSTANCE_H

/* One instance of the load balancer: creates and connects its components, runs
   them on an event loop, and handles signals and the graceful shutdown.  */

#include "proxy.h"
#include "relay.h"

typedef struct instance_settings
{
  char *name;
  char *data_centre;
  /* Addresses to listen on.  */
  struct sockaddr_in callers;   /* requests of clients */
  struct sockaddr_in ready;     /* readiness checks */
  struct sockaddr_in addresses; /* directory of instances */
  struct sockaddr_in metrics;   /* port 0: metrics are not served */
  struct sockaddr_in instances; /* messages between instances */

  relay_seeds_t seeds;
  bool weak; /* low capacity: other instances precede this one as reader */
  struct sockaddr_in store;
  retry_budget_rules_t retry_rules; /* budget of retries and hedged requests */
  double probes_per_s;              /* most probes that one endpoint gets per
                                       second from all instances; 0: unlimited */
  clock_ms_t stop_timeout;          /* time from SIGTERM to SIGKILL */
  clock_ms_t addresses_ttl_max;     /* longest time for which clients may cache
                                        the list of instances */
  proxy_header_names_t names;
} instance_settings_t;

typedef struct instance instance_t;

/* Callbacks that read the settings, and that parse and format what depends on
   the interface spoken with clients.  */
typedef struct instance_hooks
{
  const char *ready_path;     /* of readiness checks */
  const char *addresses_path; /* of the directory of instances */
  /* Formats the response of the directory.  @ttl: ms for which the client may
     cache it.  */
  void (*write_addresses) (void *context, const struct sockaddr_in *addresses,
                           int count, clock_ms_t ttl, GString *body);
  /* Returns the data centre that the target of a directory request names, or
     NULL; to be freed with g_free().  */
  char *(*get_client_data_centre) (void *context, const char *target);
  /* Reads the settings again.  Return: 0, or a negative errno, which the
     callback has logged.  */
  int (*reload) (void *context, instance_settings_t *settings);
  /* Whether the settings have changed since they were last read.  */
  bool (*settings_changed) (void *context);
  void *context;
} instance_hooks_t;

/**
 * instance_run() - run an instance until its graceful shutdown has ended
 * @make_source: creates the source that reads the store
 * @attach: tells the source the feed that gets its results
 * @source_context: first argument of @make_source and @attach
 *
 * Return: 0 or a negative errno.
 */
int instance_run (
    const instance_settings_t *settings, const instance_hooks_t *hooks,
    feed_source_t (*make_source) (void *context, struct ev_loop *loop),
    void (*attach) (void *context, feed_t *feed), void *source_context);

#endif
