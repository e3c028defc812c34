#ifndef PERIDOT_PROXY_H
#define PERIDOT_PROXY_H

/* Load-balancing HTTP proxy on one event loop.  For each request of a client
   it probes a few endpoints, sends the request to the best of them and returns
   the response.  */

#include <ev.h>

#include "allowance.h"
#include "backends.h"
#include "counts.h"
#include "repeats.h"
#include "rollouts.h"
#include "routes.h"
#include "server.h"
#include "suspects.h"

typedef struct proxy proxy_t;

/* Names of the header fields that the proxy reads or writes.  They depend on
   the protocol between clients, proxy and endpoints.  Each comment says what
   the field's value is.  */
typedef struct proxy_header_names
{
  const char *request_id;        /* ID of one attempt of a client; the endpoint
                                    returns it in its response */
  const char *time_left;         /* ms for which the client still waits */
  const char *expected_endpoint; /* ID of the only endpoint that may run the
                                    request */
  const char *endpoint_id;       /* ID of the endpoint that responds */
  const char *load;              /* load of the endpoint that responds; see
                                    fields_parse_load() */
  const char *not_run;   /* any value; the field is present if the endpoint did
                            not run the request */
  const char *signature; /* signature of the complete response; a response with
                            a status below 300 must have one */
  const char *cold_left; /* remaining warm-up time of the endpoint that
                            responds, in ms */
  const char *leaving;   /* "1": the endpoint that responds is leaving */
  const char *tenant;    /* name of the tenant that sends the request */
  const char *rate_limit; /* requests per second that the endpoint that
                             responds takes from all instances together; see
                             rate_limit_parse() */
} proxy_header_names_t;

typedef struct proxy_settings
{
  proxy_header_names_t names;
  retry_budget_rules_t retry_rules; /* rules of the retry budget, which also
                                       limits hedged requests */
  int probes_per_round; /* largest number of endpoints that are probed at the
                           same time for a request, in a round of probes */
  double probes_per_s; /* largest number of probes per second that one endpoint
                          may get from all instances together; 0: unlimited */
  unsigned int uplinks_max; /* largest number of connections to endpoints, all
                               together; 0: unlimited */
  size_t buffer_bytes_max;  /* limit of the memory for the bodies of responses
                               that are buffered, all together */
  double log_sample_share;  /* share of the debug-level decisions that are
                               logged, 0 to 1 */
  uint32_t log_lines_per_s; /* largest number of log lines per second */
  /* Asks the keeper of @backend for a permit (see rate_limit.h) that can be
     used within @wait_max ms; NULL: there are no permits.  */
  void (*ask_permit) (void *context, backend_t *backend, clock_ms_t wait_max);
  /* Called when a limit that an endpoint states has changed, or when an
     endpoint states that it is leaving; may be NULL.  */
  void (*limit_changed) (void *context);
  /* Called when an endpoint has ended under a request, or a request that was
     suspected of that was answered; may be NULL.  */
  void (*suspect_changed) (void *context, suspect_t *suspect);
  /* Asks for tokens of a tenant's allowance; proxy_handle_allowance() has to
     be called when the reply has come.  @ask: @wanted is set.  */
  void (*ask_allowance) (void *context, const char *tenant,
                         allowance_ask_t *ask);
  void *context; /* first argument of the callbacks */
} proxy_settings_t;

proxy_t *proxy_new (struct ev_loop *loop, const proxy_settings_t *settings,
                    backends_t *backends);
void proxy_free (proxy_t *proxy);

/* Returns the callbacks for the server to which clients connect.  */
server_hooks_t proxy_get_hooks (proxy_t *proxy);

/* Replaces the routes.  @routes must stay valid until the next call.  Requests
   that were routed before keep the properties of their old route.  */
void proxy_set_routes (proxy_t *proxy, const routes_t *routes);
/* Sets the table of requests that may crash endpoints; it must outlive the
   proxy's use.  Without one, no request is suspected.  */
void proxy_set_suspects (proxy_t *proxy, suspects_t *suspects);
/* Sets the table of tenants' allowances, which must outlive the proxy's use.
   Without one, no allowance is kept.  */
void proxy_set_allowances (proxy_t *proxy, allowances_t *allowances);
/* Lets the requests go on for which tokens of a tenant's allowance were
   granted, and refuses the others that were asked for.  */
void proxy_handle_allowance (proxy_t *proxy, const char *tenant,
                             const allowance_reply_t *reply);
/* Sets the tables of rollouts and of the counts about them; they must outlive
   the proxy's use.  Without them, endpoints are not told apart by version.  */
void proxy_set_rollouts (proxy_t *proxy, rollouts_t *rollouts,
                         counts_t *counts);
/* Replaces the rules of the retry budget.  */
void proxy_set_retry_rules (proxy_t *proxy, const retry_budget_rules_t *rules);
/* Holds requests, or ends that.  While requests are held, no attempt starts;
   those that wait for long are refused.  */
void proxy_hold (proxy_t *proxy, bool hold);

/* Replaces the largest number of probes per second that one endpoint may
   get.  */
void proxy_set_probe_limit (proxy_t *proxy, double probes_per_s);

/* Sets the number of known instances, including this one, among which the
   probe rate, the retry budget and the connections are divided.  */
void proxy_set_instance_count (proxy_t *proxy, int count);

/* Returns the number of clients' requests that are not answered yet.  */
int proxy_count_in_flight (const proxy_t *proxy);

/* Appends the metrics of the routes whose requests are divided among several
   services, in the Prometheus text format.  Routes without a request since
   their weights changed are left out.  */
void proxy_append_split_metrics (const proxy_t *proxy, GString *text);

/* Makes the proxy refuse requests that may not have their response before the
   instance ends.  @refuse_from: time in ms from which all new requests are
   refused.  @answer_by: time in ms by which each request must have its
   response.  */
void proxy_stop (proxy_t *proxy, clock_ms_t refuse_from, clock_ms_t answer_by);
/* Ends all requests: those that have not run are refused, and for those that
   may have run the client is told that the endpoint did not respond in time. A
   response that is being streamed breaks off.  */
void proxy_end_requests (proxy_t *proxy);

/* Closes idle connections to endpoints that are no longer in the table, and
   those that have been idle for too long.  The function has to be called
   whenever the table of endpoints has changed.  */
void proxy_close_stale_connections (proxy_t *proxy);

#endif
