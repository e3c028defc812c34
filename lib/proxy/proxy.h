#ifndef PERIDOT_PROXY_H
#define PERIDOT_PROXY_H

/* Request path on one event loop: takes requests of callers, probes a few
   endpoints for each, sends it to the best one and returns the answer.  */

#include <ev.h>

#include "backends.h"
#include "repeats.h"
#include "routes.h"
#include "server.h"

typedef struct proxy proxy_t;

/* Names of header fields; they differ between the interfaces that callers and
   endpoints speak.  */
typedef struct proxy_names
{
  const char *request_id;        /* of one attempt of a caller, echoed */
  const char *time_left;         /* ms that the caller will still wait */
  const char *expected_endpoint; /* only this endpoint may run the request */
  const char *endpoint_id;
  const char *load;      /* running, waiting, slots, pace */
  const char *not_run;   /* the endpoint did not run the request */
  const char *signature; /* of a whole answer */
  const char *cold_left; /* ms that the endpoint stays cold */
} proxy_names_t;

typedef struct proxy_settings
{
  proxy_names_t names;
  repeats_rules_t repeats;
  int probes;          /* endpoints asked for each request */
  double probes_per_s; /* most probes of one endpoint, of all instances
                          together; 0: not bounded */
  double log_sample;   /* share of unremarkable requests that are logged */
  uint32_t log_per_s;  /* most log lines a second */
} proxy_settings_t;

proxy_t *proxy_new (struct ev_loop *loop, const proxy_settings_t *settings,
                    backends_t *backends);
void proxy_free (proxy_t *proxy);

/* Hooks for the server that callers connect to.  */
server_hooks_t proxy_hooks (proxy_t *proxy);

/* A new configuration, which stays valid until the next one is set; requests
   under way keep what they have.  */
void proxy_set_routes (proxy_t *proxy, const routes_t *routes);
void proxy_set_repeats (proxy_t *proxy, const repeats_rules_t *rules);

/* Known instances, among which budgets are divided, own one included.  */
void proxy_set_instances (proxy_t *proxy, int count);

/* Requests that are not answered yet.  */
int proxy_in_flight (const proxy_t *proxy);

/* From now on new requests are refused.  */
void proxy_refuse_new (proxy_t *proxy);

/* The table of endpoints changed; idle connections to endpoints that are gone
   are closed.  */
void proxy_backends_changed (proxy_t *proxy);

#endif
