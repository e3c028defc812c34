#ifndef PERIDOT_PROXY_PRIVATE_H
#define PERIDOT_PROXY_PRIVATE_H

#include <http_parser.h>

#include "assign.h"
#include "caller_age.h"
#include "drain_rate.h"
#include "probing.h"
#include "proxy.h"
#include "telemetry.h"

/* Largest number of attempts of one request, each at another endpoint.  */
#define ATTEMPTS_MAX 4

typedef struct request request_t;
typedef struct probe_round probe_round_t;
typedef struct uplink uplink_t;

struct proxy
{
  struct ev_loop *loop;
  proxy_settings_t settings;
  backends_t *backends;
  const routes_t *routes;   /* NULL: no configuration received yet */
  GHashTable *route_states; /* route name to route_state_t * */
  GQueue unrouted;    /* request_t * that wait for the first configuration or
                         for the end of proxy_hold() */
  GPtrArray *pools;   /* pool_t *, by index of the endpoint in the table */
  GPtrArray *uplinks; /* uplink_t *, all that are open */
  decide_rng_t rng;
  ev_timer housekeeping_timer;
  ev_prepare cleanup_watcher; /* frees the connections in @closed_uplinks, once
                                 in each iteration of the event loop */
  GQueue closed_uplinks; /* uplink_t * that are closed but not freed yet */
  size_t buffered_bytes; /* bytes of the incomplete bodies that are buffered,
                            of all responses together */
  suspects_t *suspects;  /* requests that may crash endpoints; NULL: none are
                            suspected */
  allowances_t *allowances; /* of tenants; NULL: none are kept */
  GHashTable *queues;   /* names of tenants to their queues of requests that
                           wait for a token; see tenancy.c */
  rollouts_t *rollouts; /* NULL: there are none */
  counts_t *counts;     /* counts about rollouts; NULL: as @rollouts */
  GArray *accusations;  /* requests whose endpoints may have ended; see
                           suspicion.c */
  int instance_count;   /* number of known instances, at least 1 */
  int in_flight;    /* number of clients' requests that are not answered yet */
  bool is_holding;  /* no attempt starts; see proxy_hold() */
  bool is_stopping; /* proxy_stop() was called, with these: */
  clock_ms_t refuse_from; /* ms; new requests are refused from then on */
  clock_ms_t answer_by;   /* ms; new requests that may not have their
                             response by then are refused, too */
  probing_t probing;      /* limits the rate of probes */
  int route_priorities[ALLOWANCE_RANKS]; /* the lowest values of the routes'
                                            priorities, in ascending order */
  int least_urgent_priority; /* largest priority value of all routes; 0 is the
                                most urgent */
  uint32_t log_lines_left;   /* log lines that may be written now (tokens of a
                                token bucket) */
  uint64_t log_suppressed;   /* number of log lines suppressed since the last
                                warning about them */
};

/* Connections to one endpoint.  */
typedef struct pool
{
  uint32_t generation; /* generation of the endpoint's handle; the handle's
                          index is the index of the pool in @pools */
  GQueue idle;         /* uplink_t *, most recently used first */
  int open_count;      /* number of open connections, including those in use */
} pool_t;

/* State of a route that outlives changes of the configuration.  */
typedef struct route_state
{
  route_split_t split;
  service_time_t service_time; /* service time of the route's requests */
  caller_age_t caller_age; /* recognises clients' retries by their timeouts */
} route_state_t;

/* State of the proxy for one service or canary pool.  */
typedef struct service_state
{
  proxy_t *proxy;
  service_index_t service;
  retry_budget_t retry_budget;
  GQueue waiting;          /* request_t * that wait for an endpoint */
  drain_rate_t drain_rate; /* rate at which @waiting is drained */
  ev_timer round_timer;    /* starts the next round of probes for @waiting */
  bool followup_round_active; /* a round of probes that @round_timer started is
                                 in progress */
  /* Endpoints that the last round of probes left out, by obstacle.  */
  uint32_t withheld[CHOOSE_OBSTACLE_COUNT];
} service_state_t;

/* Response of an endpoint.  */
typedef struct response
{
  int status;       /* HTTP status code */
  GString *reason;  /* reason phrase of the status line */
  GString *fields;  /* header fields to be forwarded to the client, each ended
                       by CR LF */
  GByteArray *body; /* the part of the body that is buffered */
} response_t;

typedef enum uplink_state
{
  UPLINK_CONNECTING,
  UPLINK_IDLE,
  UPLINK_PROBING,
  UPLINK_HELD,   /* its probe succeeded, and it is reserved until its round of
                    probes is finished */
  UPLINK_RUNNING /* a request is being sent or waits for its response */
} uplink_state_t;

/* Connection from this instance to an endpoint.  */
struct uplink
{
  proxy_t *proxy;
  backend_handle_t backend;
  uplink_state_t state;
  int fd;
  ev_io read_watcher;  /* watches for data to be received */
  ev_io write_watcher; /* active while @out is being sent */
  ev_timer timer;      /* timeout of a probe */
  GList link; /* element of the pool's @idle or the proxy's @closed_uplinks */
  http_parser parser;
  GByteArray *out;       /* probe, or head of the request, that is being
                            sent */
  size_t body_bytes;     /* length of the body of @request, which is sent after
                            @out */
  size_t sent_bytes;     /* number of bytes of @out and the body that were
                            sent */
  size_t received_bytes; /* number of bytes received since @out began to be
                            sent, except for the body of a streamed response */
  probe_round_t *round;  /* round of probes that gets the probe's result, or
                            NULL */
  request_t *request;    /* request that is being run, or NULL */
  clock_ms_t sent_at;    /* time at which the probe or request was sent */
  clock_ms_t idle_until; /* time at which the connection is closed if it is
                            still idle */
  backend_load_t load_before;  /* load of the endpoint when @request was sent,
                                  without @request */
  double expected_duration_ms; /* estimated response time of @request, in ms */
  /* The response that is being read, and what its header fields state.  */
  response_t response;
  size_t buffered_bytes;   /* part of the proxy's @buffered_bytes */
  GString *field_name;     /* name of the header field that is being read */
  GString *field_value;    /* value of that header field */
  bool in_field_value;     /* part of @field_value has been read */
  bool has_request_id;     /* the response states a request ID */
  bool request_id_matches; /* that request ID is the ID of @request */
  bool is_malformed; /* the head has characters that HTTP does not allow */
  bool is_oversized; /* there is no memory for the rest of the body, which is
                        not streamed */
  bool is_foreign; /* the response belongs to another request and is skipped */
  bool not_run;    /* the endpoint states that it did not run the request */
  bool has_signature; /* the response has a signature, which the proxy does not
                         verify */
  bool has_endpoint_id;  /* the response states the ID of an endpoint */
  bool endpoint_matches; /* that endpoint ID is the ID of @backend */
  bool has_load;         /* the response stated @load */
  backend_load_t load;   /* load of the endpoint, as the response states it */
  clock_ms_t cold_left_ms; /* remaining warm-up time of the endpoint, in ms */
  rate_limit_statement_t rate_limit; /* limit that the response states */
  bool is_limit_malformed; /* the value of the field with the limit could not
                              be parsed */
  clock_ms_t retry_after;  /* ms for which the endpoint asks for no requests;
                              -1: it does not */
  bool has_retry_after;    /* a field with that was read */
  bool is_retry_after_malformed; /* it is malformed, or there are several */
  bool says_leaving;             /* the endpoint states that it is leaving */
  bool is_leaving_malformed;     /* it states something else in that field */
  clock_ms_t keep_alive_ms; /* idle timeout that the endpoint states for the
                               connection, in ms; 0: not stated */
  bool response_complete;   /* the response has been read to its end */
  bool is_reusable; /* the connection can be kept after this response */
  bool had_foreign_response; /* a response to another request arrived on this
                                connection, which is therefore not reused */
  bool is_reading;  /* false: reading is paused until more of the streamed
                       response has been sent to the client */
  bool was_refused; /* nothing listens at the endpoint's address */
  bool is_closed; /* the connection is in the proxy's @closed_uplinks and will
                     be freed */
};

typedef enum request_state
{
  REQUEST_UNROUTED, /* waits for the first configuration, or is held */
  REQUEST_WAITING,  /* waits for an endpoint */
  REQUEST_SENT,     /* an attempt is in flight */
  REQUEST_STREAMING /* the client has been sent part of the response */
} request_state_t;

/* A request of a client, from its arrival to the end of its response.  */
struct request
{
  proxy_t *proxy;
  exchange_t *exchange; /* exchange with the client; NULL once the response to
                           the client is completed or aborted */
  bool client_disconnected; /* the client has disconnected, so that it cannot
                               get a response */
  request_state_t state;
  char *id;    /* request ID that the client states; empty if it states none */
  char *route; /* name of the route; empty before the request is routed */
  GString *fields; /* header fields to be forwarded to the endpoint, each ended
                      by CR LF */
  GString *trail;  /* decisions on the request so far, for the log */
  char *tenant;    /* name of the tenant whose allowance it uses; NULL: none */
  int rank;        /* of its urgency in that; 0 is the most urgent */
  bool has_token;  /* it uses a token of that which can be given back */
  bool idempotent; /* the request may be run more than once */
  bool bulk;       /* responses of the request's route are large */
  int endpoints_max; /* largest number of endpoints to which the request may be
                        sent */
  route_state_t *route_state;
  service_index_t service; /* negative before the request is routed */
  service_index_t pool;    /* service whose endpoints it waits for: @service,
                              or its canary pool */
  clock_ms_t arrived_at;   /* time at which the request was read to its end */
  admission_request_t admission;
  clock_ms_t client_deadline; /* time at which the client stops waiting */
  backend_handle_t tried[ATTEMPTS_MAX]; /* endpoints of all attempts so far */
  int n_tried;                          /* number of attempts so far */
  uplink_t *uplinks[ATTEMPTS_MAX];      /* connections of attempts in flight */
  int n_uplinks;
  probe_round_t *hedge_round; /* round of probes in progress for a hedged
                                 attempt, or NULL */
  int rounds; /* number of times that assign_decide() has decided on the
                 request */
  bool marked_for_refusal; /* refuse_marked_requests() refuses the request */
  /* Outcome to report if the request is refused because of
     @marked_for_refusal.  */
  telemetry_outcome_t refusal_outcome;
  clock_ms_t retry_after;  /* if that is TELEMETRY_OUTCOME_LIMITED: ms until a
                              limit may allow the request */
  bool may_have_run;       /* the endpoint of a failed attempt may have run the
                              request */
  bool has_error_response; /* @error_response is set */
  response_t error_response; /* first 5xx response, which the client gets if no
                                attempt succeeds */
  ev_timer deadline_timer; /* limits the wait for the first configuration, then
                              the time to the response deadline, and while
                              streaming the time to @client_deadline */
  ev_timer hedge_timer;    /* starts a round of probes for a hedged attempt */
  GList link;              /* element of @queue */
  GQueue *queue; /* the proxy's @unrouted, the pool's @waiting or that of a
                    tenant in which the request waits; NULL: none */
};

/* Probes that are sent together, either for all requests that wait for an
   endpoint of a service or for a hedged attempt of one request.  */
struct probe_round
{
  proxy_t *proxy;
  service_index_t service;
  /* Request that gets a hedged attempt from this round; NULL: the round is for
     waiting requests.  */
  request_t *hedged_request;
  bool is_followup;   /* the service's @round_timer started the round, for
                         requests that an earlier round has left waiting */
  int pending_probes; /* number of probes without a result yet, plus 1 while
                         probes are being started */
  uplink_t *held[CHOOSE_ENDPOINTS_MAX]; /* connections in state UPLINK_HELD */
  int n_held;
  ev_timer timer; /* finishes the round when it has taken ROUND_TIMEOUT_MS */
};

typedef enum attempt_failure
{
  FAILURE_NOT_RUN, /* the endpoint stated that it did not run the request, or
                      nothing was sent */
  FAILURE_MAY_HAVE_RUN, /* the request was sent, but no complete response to it
                           was received */
  FAILURE_ERROR_RESPONSE /* the endpoint returned a 5xx status */
} attempt_failure_t;

/* ---- fields.c ---- */

/**
 * fields_append_for_endpoint() - append those header fields of the client's
 * request that are forwarded to the endpoint
 * @requires_key: whether clients identify themselves by keys, which are not
 *   forwarded; nor is a name of a tenant that the client states itself
 * @tenant: name of the client's tenant, or NULL
 */
void fields_append_for_endpoint (const proxy_header_names_t *names,
                                 const exchange_t *exchange, bool requires_key,
                                 const char *tenant, GString *fields);
/* Whether a header field is hop-by-hop, that is, not forwarded because it only
   concerns one connection.  Content-Length counts as hop-by-hop, because the
   proxy states the length of each message that it sends itself.  */
bool fields_is_hop_by_hop (const char *name);
/**
 * fields_parse_load() - parse the value of the load header field
 * @text: numbers separated by commas: running requests, waiting requests,
 *   slots and, optionally, the duration of requests as a percentage of the
 *   normal duration (100 if missing)
 *
 * Return: 0, or -EINVAL; @load is then left unchanged.
 */
int fields_parse_load (const char *text, backend_load_t *load);

/**
 * fields_parse_retry_after() - parse the value of a Retry-After field
 * @text: seconds, a decimal number
 * @ms: out: at most an hour
 *
 * Return: 0, or -EINVAL for a date, a negative number or another text; @ms is
 * then left unchanged.
 */
int fields_parse_retry_after (const char *text, clock_ms_t *ms);

/* ---- uplink.c ---- */

/**
 * uplink_acquire() - get a connection to an endpoint
 * @error: out, set if NULL is returned: -EBUSY when the endpoint, or all of
 *   them together, have as many connections as this instance may open, or
 *   another negative errno
 *
 * Return: an idle connection or a new one that is being set up, or NULL.
 */
uplink_t *uplink_acquire (proxy_t *proxy, backend_t *backend, int *error);
/* Starts to send the contents of @out, followed by the body of the uplink's
   request if it has one, and to read the response.  */
void uplink_send (uplink_t *uplink);
/* Whether all was sent.  */
bool uplink_has_sent_all (const uplink_t *uplink);
/* Returns a connection to its pool, or closes it if it cannot be reused or the
   pool is full.  */
void uplink_release (uplink_t *uplink);
/* Closes a connection.  uplinks_free_closed() frees it later.  */
void uplink_close (uplink_t *uplink);
/* Frees the connections that uplink_close() has closed.  */
void uplinks_free_closed (proxy_t *proxy);
/* Pauses or resumes reading from the endpoint, for flow control of a streamed
   response.  */
void uplink_pause (uplink_t *uplink, bool paused);
/* Returns the pool of connections to an endpoint.  The pool is created if
   there is none, and emptied if its connections are to an earlier endpoint
   that had the same index.  */
pool_t *pool_get (proxy_t *proxy, backend_handle_t handle);
/* Closes connections that have been idle for too long or whose endpoint was
   removed.  */
void pools_close_expired (proxy_t *proxy, clock_ms_t now);
/* Closes all idle connections and frees the pools.  */
void pools_free (proxy_t *proxy);

/* ---- uplink_answer.c ---- */

/* Callbacks of http_parser for the response on an uplink.  */
extern const http_parser_settings uplink_parser_settings;
/* Prepares the connection for reading the next response.  */
void uplink_begin_response (uplink_t *uplink);
/* Whether the head of the response that is being read has a status with which
   a client takes its request for one that has not run and never will, while
   the endpoint does not state that it has not run it.  Only of requests that
   are not idempotent, which the client would then repeat.  */
bool uplink_has_unconfirmed_refusal (const uplink_t *uplink);
/* Frees the contents of a response and makes it empty.  */
void response_clear (response_t *response);
/* Gives back the part of the memory for incomplete bodies that the response of
   a connection takes.  */
void response_release_buffer (uplink_t *uplink);

/* Starts a probe of an endpoint on a new connection, which belongs to no round
   of probes.  */
void uplink_probe (proxy_t *proxy, backend_t *backend);

/* ---- suspicion.c ---- */

GArray *suspicion_new_accusations (void);
/* Whether a request must not be sent because endpoints have ended under it. */
bool suspicion_is_refused (const request_t *request);
/* Size of the text of suspicion_explain().  */
#define SUSPICION_TEXT_BYTES 40
/* Writes why a request is refused, with its digest in the form that the log
   has.  */
void suspicion_explain (const request_t *request,
                        char text[SUSPICION_TEXT_BYTES]);
/* Whether a request must not be sent again: endpoints have ended under it, or
   may have, which the probe of the last one has not shown yet.  */
bool suspicion_forbids_retry (const request_t *request);
/* Whether a request may be sent to one endpoint at a time only.  */
bool suspicion_forbids_hedge (const request_t *request);
/* Suspects a request if its endpoint, which has closed the connection while it
   ran the request, has ended.  */
void suspicion_accuse (request_t *request, const uplink_t *uplink);
/* Handles the result of a probe.  @has_ended: nothing or another endpoint
   responds at the endpoint's address.  */
void suspicion_handle_probe (proxy_t *proxy, backend_handle_t backend,
                             bool has_ended);
/* Ends the suspicion of a request that was answered.  */
void suspicion_clear (const request_t *request);
/* Forgets what is too old.  */
void suspicion_expire (proxy_t *proxy, clock_ms_t now);

/* ---- probe.c ---- */

/* Sends a probe on a connection.  Its result is reported to @round.  */
void probe_start (uplink_t *uplink, probe_round_t *round);
/* Returns the number of probes per second that this instance may send; 0:
   unlimited.  */
double probe_compute_rate (const proxy_t *proxy);
/* Records the result of a probe whose response is complete.  The connection is
   added to its round of probes if a request can be sent on it, and otherwise
   released or closed.  If the round is already finished, a waiting request may
   be sent on the connection at once.  */
void probe_handle_response (uplink_t *uplink);
/* Records the failure of a connection in state UPLINK_CONNECTING,
   UPLINK_PROBING or UPLINK_HELD, and removes it from its round of probes.  The
   calling function closes the connection.  @why: reason for the log.  */
void probe_handle_failure (uplink_t *uplink, const char *why);

/* ---- round.c ---- */

/* Starts a round of probes for a request that has just begun to wait.  */
void probe_round_start (request_t *request);
/* Starts a round of probes for a hedged attempt of a request.  */
void probe_round_start_hedge (request_t *request);
/* Initialises the timer that starts further rounds of probes for the service
   of @state.  */
void probe_round_init_timer (service_state_t *state);
/* Stops the timer that starts further rounds of probes for the service of
   @state.  */
void probe_round_stop_timer (service_state_t *state);
/* Adds a connection whose probe succeeded to its round of probes.  This may
   finish the round and free it.  */
void probe_round_add_success (probe_round_t *round, uplink_t *uplink);
/* Records that one of the probes of @round had no usable result.  This may
   finish the round and free it.  */
void probe_round_add_failure (probe_round_t *round);
/* If a round of probes for a hedged attempt of the request is in progress,
   makes that round serve waiting requests instead.  */
void probe_round_cancel_hedge (request_t *request);
/* Tries to send a waiting request on a free connection whose endpoint has just
   reported its load.  Return: whether a request was sent.  */
bool probe_round_try_assign (uplink_t *uplink);

/* ---- permit.c ---- */

/* Asks for permits for the requests of a service that wait for an endpoint, as
   far as its endpoints need some and have none.  @ahead: a request has just
   arrived, and may also find an endpoint that needs no permit.  */
void permits_ask (service_state_t *state, bool ahead);
/**
 * permits_refuse_hopeless() - refuse the waiting requests that the endpoints
 * will not take in time, because some of them have stated limits
 * @requests: waiting requests in the order of their precedence, with the
 *   results of assign_decide()
 *
 * The wait of a request is known from the permits of this instance, and
 * otherwise expected from the rate at which the queue is drained.  Requests
 * that would wait too long get the result ADMISSION_REFUSE and @is_limited
 * set, and their @retry_after says when it is worth to come back.
 */
void permits_refuse_hopeless (service_state_t *state,
                              assign_request_t *requests, int count);

/* Refuses the waiting requests of a service all of whose endpoints have asked
   for no requests, as far as they can't wait so long, like
   permits_refuse_hopeless().  */
void permits_refuse_declined (service_state_t *state,
                              assign_request_t *requests, int count);
/* Returns how long a client has to wait, in ms, because all endpoints of the
   request's service have asked for no requests; 0 if one may take it now.  The
   clients return spread over a time after that.  */
clock_ms_t permits_get_declined_delay (request_t *request);

/* ---- request.c ---- */

/* Routes a new request of a client and starts a round of probes for it, or
   queues it if no configuration has been received yet.  */
void request_start (proxy_t *proxy, exchange_t *exchange);
/* Routes the requests that waited for the first configuration.  */
void request_route_all_unrouted (proxy_t *proxy);
/* Sends the request on a connection whose endpoint was just probed.  */
void request_send (request_t *request, uplink_t *uplink);
/* Handles the failure of an attempt.  If no other attempt is in flight, the
   request is retried or the client gets a response; a response that is being
   streamed is aborted.  The calling function closes or releases the
   connection.  @why: reason for the log.  */
void request_handle_attempt_failure (request_t *request, uplink_t *uplink,
                                     attempt_failure_t failure,
                                     const char *why);
/* Ends an attempt whose response has been read to its end: delivers the
   response to the client, or treats it as a failure of the attempt.  Then
   releases the connection, or uses it for a waiting request.  */
void request_handle_response (request_t *request, uplink_t *uplink);
/* Forwards to the client a part of a response that is too large to be buffered
   whole.  The first call also starts the client's response and sends what has
   been buffered.  */
void request_stream_data (request_t *request, uplink_t *uplink,
                          const char *data, size_t length);
/* Cancels the request of a client that has disconnected.  A non-idempotent
   request that was already assigned to an endpoint is left to finish.  */
void request_handle_disconnect (request_t *request);
/* Ends a request that has no response, or an incomplete one, with what is true
   of it: it was not run, or may have run, or its response breaks off.  */
void request_end_unfinished (request_t *request);
/* Returns the proxy's state for a service; creates it if there is none.  */
/* Frees a route_state_t.  */
void request_free_route_state (gpointer data);
service_state_t *service_state_get (proxy_t *proxy, service_index_t service);

/* ---- request_end.c ---- */

/* request_refuse(), request_fail() and request_deliver() respond to the client
   and free the request.  @detail is a reason for the log, or NULL.  */

/* Responds with status 503 and Retry-After, and states that the request has
   not run.  A request that may have run is passed to request_deliver() or
   request_fail() instead.  */
void request_refuse (request_t *request, telemetry_outcome_t outcome,
                     const char *detail);
/* Responds with status 404, 502 or 504, depending on @outcome.  */
void request_fail (request_t *request, telemetry_outcome_t outcome,
                   const char *detail);
/* Sends an endpoint's response to the client.  The contents of @response are
   moved out of it, so that it is empty afterwards.  */
void request_deliver (request_t *request, response_t *response);
/* Lets a request that was routed and admitted look for an endpoint.  */
void request_admit (request_t *request);
/* Puts a request into the queue of its pool, where it waits for an endpoint.
 */
void request_enqueue (request_t *request);
/* Takes it out of the queue, if it is in it.  */
void request_dequeue (request_t *request);
/* Frees a request, and closes the connections of its attempts in flight.  */
void request_free (request_t *request);
/* Closes the connections of all attempts in flight, except for @except, which
   may be NULL.  */
void request_cancel_uplinks (request_t *request, uplink_t *except);

/* ---- tenancy.c ---- */

/**
 * tenancy_find() - find the tenant whose key a request has
 * @tenant: out: NULL if the request needs no key and has none of a tenant
 *
 * Return: 0, or -EACCES if the request needs a key and has none of a tenant,
 * or several.
 */
int tenancy_find (const proxy_t *proxy, const exchange_t *exchange,
                  const route_t *route, const tenant_t **tenant);

/**
 * tenancy_admit() - admit a request by the allowance of its tenant
 * @route: its route
 * @tenant: NULL: the request has none
 *
 * Return: true if the request may go on.  Otherwise it waits for a token, or
 * was refused and freed.  When it gets one, request_admit() is called.
 */
bool tenancy_admit (request_t *request, const route_t *route,
                    const tenant_t *tenant);
/* Ranks the routes by their priorities.  */
void tenancy_rank_routes (proxy_t *proxy, const routes_t *routes);
/* Gives back the token of a request that ends without an attempt.  */
void tenancy_release_token (request_t *request);
void tenancy_free_queue (gpointer queue);
/* Ends all requests that wait for a token.  */
void tenancy_end_requests (proxy_t *proxy);
/* Forgets the queues of tenants that have no waiting request.  */
void tenancy_drop_idle (proxy_t *proxy);

/* ---- canary.c ---- */

/* Decides whether a request that was just routed goes to the canary pool of
   its service, and sets its @pool.  */
void canary_select_pool (request_t *request);
/* Lets the requests that wait for a canary pool without room wait for the
   endpoints of their service instead.  */
void canary_leave_pool (service_state_t *state);
/**
 * canary_count_attempt() - count the end of an attempt for the rollout of its
 * service, if there is one
 * @status: of the response; 0: the attempt has ended without one, and counts
 *   only if it has taken too long
 */
void canary_count_attempt (const request_t *request, const uplink_t *uplink,
                           int status);

/* ---- decision_log.c ---- */

/**
 * decision_log_write() - record a decision on a request in its trail and the
 * log
 * @level: at G_LOG_LEVEL_DEBUG, only a sample of the lines is written; the
 *   rate limit applies to all levels
 * @outcome: the decision
 * @backend: the endpoint that the decision concerns, or NULL
 * @detail: reason for the decision, or NULL
 */
void decision_log_write (request_t *request, GLogLevelFlags level,
                         const char *outcome, const backend_t *backend,
                         const char *detail);
/* Logs what an endpoint states about itself in a response.  */
/* Logs a change of what is known of a request that may crash endpoints.  */
void suspect_log_write (proxy_t *proxy, const suspect_t *suspect,
                        const char *request_id, const char *endpoint_id,
                        const char *event);
void statement_log_write (proxy_t *proxy, const backend_t *backend,
                          const char *event);
/* Logs what an endpoint states about its limit.  */
void limit_log_write (proxy_t *proxy, const backend_t *backend,
                      rate_limit_source_t source, const char *event);

#endif
