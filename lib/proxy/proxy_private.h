#ifndef PERIDOT_PROXY_PRIVATE_H
#define PERIDOT_PROXY_PRIVATE_H

#include <http_parser.h>

#include "assign.h"
#include "caller_age.h"
#include "probing.h"
#include "proxy.h"
#include "telemetry.h"

/* Endpoints that one request may be sent to.  */
#define ATTEMPTS_MAX 4

typedef struct request request_t;
typedef struct probe_round probe_round_t;
typedef struct uplink uplink_t;

struct proxy
{
  struct ev_loop *loop;
  proxy_settings_t settings;
  backends_t *backends;
  const routes_t *routes;   /* NULL: not configured yet */
  GHashTable *route_states; /* route name to route_state_t * */
  GQueue unrouted;    /* request_t * that wait for the first configuration */
  GPtrArray *pools;   /* pool_t *, by index of the endpoint in the table */
  GPtrArray *uplinks; /* uplink_t *, all that are open */
  decide_rng_t rng;
  ev_timer housekeeping_timer;
  ev_prepare cleanup;    /* frees @closed_uplinks */
  GQueue closed_uplinks; /* uplink_t * */
  int instances;         /* known instances, at least 1 */
  int in_flight;         /* requests that are not answered yet */
  bool refusing_new;
  probing_t probing;
  int least_urgent_priority; /* largest priority value of all routes */
  uint32_t log_lines_left;   /* token bucket: lines that may be written now */
  uint64_t log_suppressed;   /* lines suppressed since the last warning */
};

/* Connections to one endpoint.  */
typedef struct pool
{
  uint32_t generation; /* of the endpoint's entry in the table */
  GQueue idle;         /* uplink_t *, most recently used first */
  int open;            /* connections, including those in use */
} pool_t;

/* State of a route that outlives changes of the configuration.  */
typedef struct route_state
{
  route_split_t split;
  bool split_seeded; /* @split has its random start values */
  service_time_t work;
  caller_age_t caller_age;
} route_state_t;

/* State of the proxy for one service.  */
typedef struct service_state
{
  proxy_t *proxy;
  service_ref_t service;
  retry_budget_t retry_budget;
  GQueue waiting;       /* request_t * that wait for an endpoint */
  ev_timer round_timer; /* starts the next round for @waiting */
  bool round_active;    /* a round started by @round_timer is not decided */
} service_state_t;

/* Response of an endpoint.  */
typedef struct response
{
  int status;
  GString *reason;
  GString *fields; /* header fields for the client, each ended by CR LF */
  GByteArray *body;
} response_t;

typedef enum uplink_state
{
  UPLINK_CONNECTING,
  UPLINK_IDLE,
  UPLINK_PROBING,
  UPLINK_HELD, /* probed, reserved until its round is decided */
  UPLINK_RUNNING
} uplink_state_t;

/* Connection from this instance to an endpoint.  */
struct uplink
{
  proxy_t *proxy;
  backend_ref_t backend;
  uplink_state_t state;
  int fd;
  ev_io reader;
  ev_io writer;
  ev_timer timer; /* timeout of a probe */
  GList link;     /* in the pool's @idle or the proxy's @closed_uplinks */
  http_parser parser;
  GByteArray *out;            /* probe or request that is being sent */
  size_t sent_bytes;          /* bytes of @out that were sent */
  probe_round_t *round;       /* round that waits for the probe, or NULL */
  request_t *request;         /* request that is being run, or NULL */
  clock_ms_t sent_at;         /* when the probe or request was sent */
  clock_ms_t idle_until;      /* an idle connection is closed at this time */
  backend_load_t load_before; /* endpoint's load just before the request */
  double expected_ms;         /* estimated duration of the request */
  /* State of the response that is being read.  */
  response_t response;
  GString *field_name;  /* header field that is being read */
  GString *field_value; /* its value */
  bool in_field_value;
  bool has_request_id;
  bool request_id_matches;
  bool foreign; /* the response belongs to another request and is skipped */
  bool not_run; /* the endpoint states that it did not run the request */
  bool has_signature;
  bool has_endpoint_id;
  bool endpoint_matches; /* the endpoint's ID is the expected one */
  bool has_load;         /* @load was stated by the response */
  backend_load_t load;
  clock_ms_t cold_left_ms; /* time for which the endpoint stays cold */
  int64_t retry_after;
  clock_ms_t keep_alive_ms; /* idle timeout of the endpoint; 0: not stated */
  bool response_complete;
  bool reusable; /* the connection can be kept after this response */
  bool tainted;  /* the connection has carried a foreign response */
  bool reading;  /* false while the client is too slow to take the response */
  bool closed;   /* waits to be freed */
};

typedef enum request_state
{
  REQUEST_UNROUTED, /* waits for the first configuration */
  REQUEST_WAITING,  /* waits for an endpoint */
  REQUEST_SENT,
  REQUEST_STREAMING /* the client has been sent part of the response */
} request_state_t;

struct request
{
  proxy_t *proxy;
  exchange_t *exchange; /* NULL once its response is being ended */
  bool client_left;     /* the client has disconnected */
  request_state_t state;
  char *id;
  char *route;     /* name; empty before the request is routed */
  GString *fields; /* header fields for the endpoint, each ended by CR LF */
  GString *trail;  /* decisions on the request so far, for the log */
  bool idempotent;
  bool bulk;
  int endpoints_max; /* endpoints that may be tried */
  route_state_t *route_state;
  service_ref_t service; /* negative before the request is routed */
  clock_ms_t arrived;    /* when the request was read whole */
  admission_request_t admission;
  clock_ms_t client_deadline;        /* when the client stops waiting */
  backend_ref_t tried[ATTEMPTS_MAX]; /* endpoints of all attempts so far */
  int n_tried;
  uplink_t *uplinks[ATTEMPTS_MAX]; /* connections of attempts in flight */
  int n_uplinks;
  probe_round_t *hedge_round; /* round for a hedged attempt, or NULL */
  int rounds;                 /* decisions made while the request waited */
  bool marked_refused;        /* to be refused by refuse_marked_requests() */
  telemetry_outcome_t refusal_outcome;
  bool may_have_run; /* a failed attempt may have run the request */
  bool has_error_response;
  response_t error_response; /* 5xx, for the client if no attempt succeeds */
  ev_timer deadline_timer;
  ev_timer hedge_timer; /* starts a round for a hedged attempt */
  GList link;           /* in the proxy's @unrouted or service's @waiting */
  bool queued;          /* @link is in a queue */
};

/* Probes that are sent together, either for all requests that wait for an
   endpoint of a service or for a hedged attempt of one request.  */
struct probe_round
{
  proxy_t *proxy;
  service_ref_t service;
  request_t *hedged_request; /* NULL: the round is for waiting requests */
  bool is_followup; /* started by the service's @round_timer for requests that
                       have waited through an earlier round */
  int pending_probes;         /* probes without a result yet */
  uplink_t *held[CHOOSE_MAX]; /* connections whose probe succeeded */
  int n_held;
  ev_timer timer; /* ends the round */
};

typedef enum attempt_failure
{
  FAILURE_NOT_RUN,      /* the endpoint said so, or nothing was sent */
  FAILURE_MAY_HAVE_RUN, /* the request was sent, but no complete response to it
                           was received */
  FAILURE_ERROR_RESPONSE /* the endpoint returned a 5xx status */
} attempt_failure_t;

/* ---- fields.c ---- */

/* Appends those header fields of the client's request that are passed on to an
   endpoint.  */
void fields_append_for_endpoint (const proxy_header_names_t *names,
                                 const exchange_t *exchange, GString *fields);
/* Whether a header field concerns one connection only and is not forwarded.
   Content-Length counts as one, since each hop frames its messages anew.  */
bool fields_is_hop_by_hop (const char *name);
/**
 * fields_parse_load() - parse the value of the load header field
 * @text: running, waiting, slots and, optionally, pace, separated by commas
 *
 * Return: 0, or -EINVAL; @load is then left unchanged.
 */
int fields_parse_load (const char *text, backend_load_t *load);

/* ---- uplink.c ---- */

/**
 * uplink_acquire() - get a connection to an endpoint
 * @error: out, set if NULL is returned: -EBUSY when the endpoint has as many
 *   connections as this instance may open, or another negative errno
 *
 * Return: an idle connection or a new one that is being set up, or NULL.
 */
uplink_t *uplink_acquire (proxy_t *proxy, backend_t *backend, int *error);
/* Starts to send the contents of @out and to read the response.  */
void uplink_send (uplink_t *uplink);
/* Returns a connection to its pool, or closes it if it can't be reused.  */
void uplink_release (uplink_t *uplink);
/* Closes a connection; it is freed by uplinks_free_closed().  */
void uplink_close (uplink_t *uplink);
void uplinks_free_closed (proxy_t *proxy);
/* Stops or resumes reading, for flow control of a streamed response.  */
void uplink_pause (uplink_t *uplink, bool paused);
/* Returns the pool of an endpoint, which is created if it is missing.  */
pool_t *pool_get (proxy_t *proxy, backend_ref_t ref);
/* Closes idle connections that are too old or whose endpoint was removed.  */
void pools_close_expired (proxy_t *proxy, clock_ms_t now);
void pools_free (proxy_t *proxy);

/* ---- uplink_answer.c ---- */
extern const http_parser_settings uplink_parser_settings;
/* Prepares the connection for reading the next response.  */
void uplink_begin_response (uplink_t *uplink);
void response_clear (response_t *response);

/* ---- probe.c ---- */

/* Sends a probe on a connection; @round gets the result.  */
void probe_start (uplink_t *uplink, probe_round_t *round);
/* Probes per second that this instance may start; 0: unlimited.  */
double probe_rate (const proxy_t *proxy);
/* Handles the complete response to a probe.  */
void probe_response_received (uplink_t *uplink);
/* Handles the failure of a connection that was probing or held; the caller of
   the function closes it.  */
void probe_failed (uplink_t *uplink, const char *why);

/* ---- round.c ---- */

/* Starts a round for a request that has just begun to wait.  */
void probe_round_start (request_t *request);
/* Starts a round for a hedged attempt of a request.  */
void probe_round_start_hedge (request_t *request);
/* Initialises and stops the timer of further rounds of a service.  */
void probe_round_init_timer (service_state_t *state);
void probe_round_stop_timer (service_state_t *state);
/* Adds a probed connection to the round, which may end the round.  */
void probe_round_probe_succeeded (probe_round_t *round, uplink_t *uplink);
/* Counts off a probe without a usable result, which may end the round.  */
void probe_round_probe_failed (probe_round_t *round);
/* Cancels the hedged attempt that a request's round was started for; the round
   then serves waiting requests.  */
void probe_round_detach (request_t *request);
/* Tries to assign a waiting request to a free connection whose endpoint has
   just reported its load.  Return: whether the connection was used.  */
bool probe_round_try_assign (uplink_t *uplink);

/* ---- request.c ---- */

/* Starts to handle a request that a client has sent.  */
void request_start (proxy_t *proxy, exchange_t *exchange);
/* Routes the requests that waited for the first configuration.  */
void request_route_pending (proxy_t *proxy);
/* Sends the request on a connection whose endpoint was just probed.  */
void request_send (request_t *request, uplink_t *uplink);
/* Handles the failure of an attempt, by a retry or a response to the client.
   The caller of the function closes or releases the connection.  */
void request_attempt_failed (request_t *request, uplink_t *uplink,
                             attempt_failure_t failure, const char *why);
/* Handles the complete response of an endpoint.  */
void request_response_received (request_t *request, uplink_t *uplink);
/* Passes on part of a response that is too large to be buffered whole.  */
void request_stream_data (request_t *request, uplink_t *uplink,
                          const char *data, size_t length);
/* Handles the disconnection of the client.  */
void request_client_left (request_t *request);
/* Returns the state of a service, which is created if it is missing.  */
service_state_t *service_state (proxy_t *proxy, service_ref_t service);

/* ---- request_end.c ---- */

/* Each of the first three functions answers the client and frees the
   request.  */

/* Answers 503 with Retry-After to a request that has not run; one that may
   have run is passed to request_deliver() or request_fail().  */
void request_refuse (request_t *request, telemetry_outcome_t outcome,
                     const char *detail);
/* Answers 404, 502 or 504, depending on @outcome.  */
void request_fail (request_t *request, telemetry_outcome_t outcome,
                   const char *detail);
/* Sends an endpoint's response to the client; @response is taken over.  */
void request_deliver (request_t *request, response_t *response);
void request_free (request_t *request);
/* Closes the connections of all attempts in flight but @except.  */
void request_cancel_uplinks (request_t *request, uplink_t *except);

/* ---- decision_log.c ---- */

/**
 * decision_log() - record a decision on a request in its trail and the log
 * @level: G_LOG_LEVEL_DEBUG: the line is sampled; all are limited by a rate
 * @backend: the endpoint, or NULL
 * @detail: reason, or NULL
 */
void decision_log (request_t *request, GLogLevelFlags level,
                   const char *outcome, const backend_t *backend,
                   const char *detail);

#endif
