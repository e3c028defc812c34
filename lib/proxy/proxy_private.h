#ifndef PERIDOT_PROXY_PRIVATE_H
#define PERIDOT_PROXY_PRIVATE_H

#include <http_parser.h>

#include "assign.h"
#include "caller_age.h"
#include "probing.h"
#include "proxy.h"
#include "telemetry.h"

#define TRIED_MAX 4

typedef struct request request_t;
typedef struct round round_t;
typedef struct uplink uplink_t;

struct proxy
{
  struct ev_loop *loop;
  proxy_settings_t settings;
  backends_t *backends;
  const routes_t *routes;   /* NULL: none yet */
  GHashTable *route_states; /* route name to route_state_t */
  GQueue unrouted;    /* request_t * that wait for the first configuration */
  GPtrArray *pools;   /* pool_t *, by index of the endpoint */
  GPtrArray *uplinks; /* uplink_t *, all that are open */
  decide_rng_t rng;
  ev_timer sweep;
  ev_prepare cleaner;
  GQueue dead; /* uplink_t * that are freed by the cleaner */
  int instances;
  int in_flight;
  bool refusing;
  probing_t probing;
  int priority_last; /* of the least urgent route */
  uint32_t log_left; /* lines that may be written in this second */
  uint64_t log_suppressed;
};

/* Connections to one endpoint.  */
typedef struct pool
{
  uint32_t generation;
  GQueue idle; /* uplink_t *, most recently used first */
  int open;
} pool_t;

/* State of the proxy for one route, across versions of the configuration.  */
typedef struct route_state
{
  route_split_t split;
  bool split_begun;
  work_t work;
  caller_age_t caller_age;
} route_state_t;

/* State of the proxy for one service.  */
typedef struct service_state
{
  proxy_t *proxy;
  service_ref_t service;
  repeats_t repeats;
  GQueue waiting; /* request_t * that were not sent yet */
  ev_timer again; /* next round for those that wait */
  bool in_round;  /* that round is under way */
} service_state_t;

/* An endpoint's answer.  */
typedef struct answer
{
  int status;
  GString *reason;
  GString *fields; /* to be returned, each ended by CR LF */
  GByteArray *body;
} answer_t;

typedef enum uplink_state
{
  UPLINK_CONNECTING,
  UPLINK_IDLE,
  UPLINK_PROBING,
  UPLINK_HELD, /* probed, waits for the decision of its round */
  UPLINK_RUNNING
} uplink_state_t;

struct uplink
{
  proxy_t *proxy;
  backend_ref_t backend;
  uplink_state_t state;
  int fd;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  GList link; /* in the pool's idle queue, or the proxy's dead ones */
  http_parser parser;
  GByteArray *out;
  size_t sent;
  round_t *round;
  request_t *request;
  clock_ms_t sent_at;
  clock_ms_t idle_until;
  backend_load_t load_before; /* of the endpoint when the request was sent */
  double expected;            /* ms that the request should take */
  /* The answer that is being read.  */
  answer_t answer;
  GString *name;
  GString *value;
  bool in_value;
  bool has_id;
  bool id_matches;
  bool foreign; /* belongs to another request, is skipped */
  bool not_run;
  bool has_signature;
  bool has_endpoint_id;
  bool endpoint_matches;
  bool has_load;
  backend_load_t load;
  clock_ms_t cold;
  int64_t retry_after;
  clock_ms_t keep_alive; /* ms stated by the endpoint; 0: none */
  bool complete;
  bool keep;
  bool tainted; /* has carried an answer of another request */
  bool reading; /* false while the caller does not take the answer */
  bool dead;
};

typedef enum request_state
{
  REQUEST_UNROUTED,
  REQUEST_WAITING,
  REQUEST_SENT,
  REQUEST_STREAMING
} request_state_t;

struct request
{
  proxy_t *proxy;
  exchange_t *exchange;
  bool caller_left;
  request_state_t state;
  char *id;
  char *route;
  GString *fields;
  GString *trail; /* its decisions so far, for the log */
  bool idempotent;
  bool bulk;
  int endpoints_max;
  route_state_t *route_state;
  service_ref_t service;
  clock_ms_t arrived;
  admission_request_t admission;
  clock_ms_t caller_until; /* the caller stops waiting */
  backend_ref_t tried[TRIED_MAX];
  int n_tried;
  uplink_t *uplinks[TRIED_MAX]; /* attempts under way */
  int n_uplinks;
  round_t *beside; /* round for a second attempt */
  int rounds;      /* decisions while it waited */
  bool refused;    /* by a decision that is being carried out */
  telemetry_outcome_t refused_for;
  bool may_have_run;
  bool has_kept;
  answer_t kept; /* failure of an endpoint, returned if no other answers */
  ev_timer give_up;
  ev_timer again; /* second attempt beside the first */
  GList link;     /* in the service's waiting queue */
  bool queued;
};

/* Probes for the requests of a service that wait, or for a second attempt of
   one request.  */
struct round
{
  proxy_t *proxy;
  service_ref_t service;
  request_t *beside; /* NULL: for those that wait */
  bool repeated;     /* not the first round of a request */
  int outstanding;
  uplink_t *held[CHOOSE_MAX];
  int n_held;
  ev_timer timer;
};

typedef enum attempt_failure
{
  FAILURE_NOT_RUN, /* the endpoint said so, or nothing was sent */
  FAILURE_UNKNOWN, /* the request may have run */
  FAILURE_ANSWER   /* the endpoint answered that it failed */
} attempt_failure_t;

/* ---- fields.c ---- */
void fields_for_endpoint (const proxy_names_t *names,
                          const exchange_t *exchange, GString *fields);
bool fields_is_hop (const char *name);
int fields_parse_load (const char *text, backend_load_t *load);

/* ---- uplink.c ---- */
uplink_t *uplink_take (proxy_t *proxy, backend_t *backend, int *error);
void uplink_send (uplink_t *uplink);
void uplink_release (uplink_t *uplink);
void uplink_close (uplink_t *uplink);
void uplinks_free_dead (proxy_t *proxy);
void uplink_pause (uplink_t *uplink, bool paused);
pool_t *pool_of (proxy_t *proxy, backend_ref_t ref);
void pools_sweep (proxy_t *proxy, clock_ms_t now);
void pools_free (proxy_t *proxy);

/* ---- uplink_answer.c ---- */
extern const http_parser_settings uplink_parser;
void uplink_begin_answer (uplink_t *uplink);
void answer_clear (answer_t *answer);

/* ---- probe.c ---- */
void probe_start (uplink_t *uplink, round_t *round);
/* Probes a second that this instance may start; 0: not bounded.  */
double probe_rate (const proxy_t *proxy);
void probe_answered (uplink_t *uplink);
void probe_failed (uplink_t *uplink, const char *why);

/* ---- round.c ---- */
/* For a request that has begun to wait.  */
void round_start (request_t *request);
void round_start_beside (request_t *request);
void round_init (service_state_t *state);
void round_stop (service_state_t *state);
void round_probed (round_t *round, uplink_t *uplink);
void round_failed (round_t *round);
void round_leave (request_t *request);
/* A connection is free whose endpoint has just stated its load: it is used for
   a waiting request.  Return: whether it was.  */
bool round_offer (uplink_t *uplink);

/* ---- request.c ---- */
void request_new (proxy_t *proxy, exchange_t *exchange);
/* Routes the requests that waited for the first configuration.  */
void requests_route (proxy_t *proxy);
void request_send (request_t *request, uplink_t *uplink);
void request_failed (request_t *request, uplink_t *uplink,
                     attempt_failure_t failure, const char *why);
void request_answered (request_t *request, uplink_t *uplink);
void request_streamed (request_t *request, uplink_t *uplink, const char *data,
                       size_t length);
void request_caller_left (request_t *request);
service_state_t *service_state (proxy_t *proxy, service_ref_t service);

/* ---- request_end.c ---- */
void request_refuse (request_t *request, telemetry_outcome_t outcome,
                     const char *detail);
void request_fail (request_t *request, telemetry_outcome_t outcome,
                   const char *detail);
void request_deliver (request_t *request, answer_t *answer);
void request_free (request_t *request);
void request_cancel_uplinks (request_t *request, uplink_t *except);

/* ---- decision_log.c ---- */
void decision_log (request_t *request, GLogLevelFlags level,
                   const char *outcome, const backend_t *backend,
                   const char *detail);

#endif
