#ifndef PERIDOT_INSTANCE_H
#define PERIDOT_INSTANCE_H

/* An instance is one process of the load balancer.  This module creates and
   connects its components, runs them on an event loop, and handles signals and
   the graceful shutdown.  */

#include "proxy.h"
#include "relay.h"

typedef struct instance_settings
{
  char *name;        /* name of this instance */
  char *data_centre; /* data centre in which it runs */
  /* Addresses to listen on.  */
  struct sockaddr_in client_listen_address; /* for requests of clients */
  struct sockaddr_in ready_listen_address;  /* for readiness checks */
  /* For the directory, which tells clients the addresses of instances.  */
  struct sockaddr_in directory_listen_address;
  /* For metrics; port 0: metrics are not served.  */
  struct sockaddr_in metrics_listen_address;
  struct sockaddr_in peer_listen_address; /* for messages between instances */

  /* Addresses of instances that are contacted while no reader of the store is
     known, as at the first start.  */
  relay_seeds_t seeds;
  bool weak; /* this instance has low capacity, and reads the store for all
                instances only if no instance that is not weak does */
  size_t memory_bytes;      /* memory that the process may use; 0: not known */
  double descriptors_max;   /* descriptors that the process may have; 0: not
                               known */
  struct sockaddr_in store; /* address of the store */
  feed_bounds_t feed_bounds; /* when changes in the store must be in force */
  retry_budget_rules_t retry_rules; /* limits of retries and hedged requests */
  double probes_per_s; /* largest number of probes per second to one endpoint,
                          from all instances together; 0: unlimited */
  clock_ms_t stop_timeout; /* ms from SIGTERM until the process would be killed
                              by SIGKILL */
  clock_ms_t addresses_ttl_max; /* longest time for which clients may cache the
                                   list of instances, in ms */
  allowance_bounds_t allowance_bounds; /* of tenants' allowances */
  rollout_bounds_t rollout_bounds; /* of rollouts of new software versions */
  proxy_header_names_t names;      /* names of the proxy's header fields */
} instance_settings_t;

typedef struct instance instance_t;

/* Callbacks that read the settings, and that parse and format messages of the
   protocol that clients use.  */
typedef struct instance_hooks
{
  const char *ready_path;     /* path of readiness checks */
  const char *addresses_path; /* path of the directory of instances */
  /* Formats the body of a response of the directory.  @ttl: ms for which the
     client may cache it.  */
  void (*write_addresses) (void *context, const struct sockaddr_in *addresses,
                           int count, clock_ms_t ttl, GString *body);
  /* Returns the data centre of the client that sent a directory request with
     this @target, or NULL if @target does not name it.  The calling function
     frees the result with g_free().  */
  char *(*get_client_data_centre) (void *context, const char *target);
  /* Reads the settings again.  Return: 0, or a negative errno, which the
     callback has logged.  */
  int (*reload) (void *context, instance_settings_t *settings);
  /* Whether the settings have changed since they were last read.  */
  bool (*have_settings_changed) (void *context);
  void *context; /* first argument of the callbacks */
} instance_hooks_t;

/**
 * instance_block_signals() - keep signals pending until the instance runs
 *
 * Call it before the first thread is created.  instance_run() then handles a
 * SIGTERM, SIGINT or SIGHUP that has arrived meanwhile.
 */
void instance_block_signals (void);

/**
 * instance_run() - run an instance until its graceful shutdown has ended
 * @make_source: creates the source that reads the store
 * @attach: tells the source the feed to which it reports its results
 * @source_context: first argument of @make_source and @attach
 *
 * Return: 0, or a negative errno if the instance could not be started.
 */
int instance_run (
    const instance_settings_t *settings, const instance_hooks_t *hooks,
    feed_source_t (*make_source) (void *context, struct ev_loop *loop),
    void (*attach) (void *context, feed_t *feed), void *source_context);

#endif
