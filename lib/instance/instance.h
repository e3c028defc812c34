#ifndef PERIDOT_INSTANCE_H
#define PERIDOT_INSTANCE_H

/* One instance on the event loop: the parts, how they are joined, and how it
   starts and stops.  */

#include "proxy.h"
#include "relay.h"

typedef struct instance_settings
{
  char *name;
  char *data_centre;
  struct sockaddr_in callers;   /* requests */
  struct sockaddr_in ready;     /* question whether this instance is ready */
  struct sockaddr_in addresses; /* question which instances to use */
  struct sockaddr_in metrics;   /* port 0: none */
  struct sockaddr_in instances; /* messages between instances */
  relay_seeds_t seeds;
  bool weak; /* a small machine: not the first to read */
  struct sockaddr_in store;
  repeats_rules_t repeats;
  double probes_per_s;           /* most probes of one endpoint */
  clock_ms_t stop_within;        /* from SIGTERM to SIGKILL */
  clock_ms_t addresses_kept_max; /* callers keep an answer at most so long */
  proxy_names_t names;
} instance_settings_t;

typedef struct instance instance_t;

/* What callers' questions look like; the answers are decided here.  */
typedef struct instance_calls
{
  const char *ready_path;
  const char *addresses_path;
  /* Spells the answer with the addresses of instances.  */
  void (*write_addresses) (void *context, const struct sockaddr_in *addresses,
                           int count, clock_ms_t keep, GString *body);
  /* The data centre that a question comes from, or NULL; to be freed.  */
  char *(*asking_data_centre) (void *context, const char *target);
  /* Reads the settings again; 0 or a negative errno, which is logged.  */
  int (*reload) (void *context, instance_settings_t *settings);
  /* Whether the settings were changed since they were read last.  */
  bool (*settings_changed) (void *context);
  void *context;
} instance_calls_t;

/**
 * instance_run() - run until a planned stop has ended
 * @make_source: creates the source of the store's contents
 *
 * Return: 0 or a negative errno.
 */
int instance_run (
    const instance_settings_t *settings, const instance_calls_t *calls,
    feed_source_t (*make_source) (void *context, struct ev_loop *loop),
    void (*attach) (void *context, feed_t *feed), void *source_context);

#endif
