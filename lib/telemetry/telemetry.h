#ifndef PERIDOT_TELEMETRY_H
#define PERIDOT_TELEMETRY_H

/* Structured log, metrics and trace spans of a process, which is one instance
   of the load balancer.  In the names and texts of metrics, "caller" means a
   client and "answer" a response.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* ---- Start and stop ---- */

typedef struct telemetry_settings
{
  const char *instance;        /* name of this instance, which is written in
                                  every line; copied */
  GLogLevelFlags log_level;    /* least severe level that is written */
  double trace_sampling_ratio; /* fraction of traces written, 0 to 1 */
  unsigned int ring_lines; /* capacity of the ring buffer in lines, a power of
                              two and at least 4; 0: 4096 */
  int log_fd;              /* descriptor to which log lines are written; 0:
                              standard error */
} telemetry_settings_t;

/**
 * telemetry_start() - start the writer thread and direct GLib's logging to it
 *
 * After this call g_log_structured(), g_warning() and so on put JSON lines
 * into a ring buffer.  The writer thread writes log lines to the log
 * descriptor and spans to standard output.  When the ring buffer is full, a
 * new line is dropped and counted.  The function must be called before other
 * threads log.
 *
 * Return: 0, -EALREADY if the writer thread runs already, -ENOMEM, or the
 * negative errno of pthread_create().
 */
int telemetry_start (const telemetry_settings_t *settings);

/* Writes the lines in the ring buffer and ends the writer thread; lines that
   cannot be written within 1 s are discarded.  A line that is logged after
   that is written by the thread that logs it.  */
void telemetry_stop (void);

/* ---- Log ---- */

/* Logging goes through GLib: g_log_structured (G_LOG_DOMAIN, level, "SERVICE",
   name, "MESSAGE", format, ...), g_critical(), g_warning(), g_message(),
   g_info(), g_debug().  The levels are written as error, critical, warning,
   notice, info and debug, and field names in lower case.  */

/* Sets the least severe level that is written.  May be called by any
   thread.  */
void telemetry_set_log_level (GLogLevelFlags level);

/* Returns how many log lines and spans were dropped since the start of the
   process because the ring buffer was full.  */
uint64_t telemetry_dropped_lines (void);

/* ---- Metrics ---- */

/* Families of counters.  Each comment states the values of the metric's label
   (numbers or an enumeration; "none" if the metric has no label) and, after a
   colon, what is counted.  */
typedef enum telemetry_counter
{
  TELEMETRY_REQUESTS,     /* none: requests of clients */
  TELEMETRY_ANSWERED,     /* none: requests to which an endpoint responded */
  TELEMETRY_REFUSED,      /* decide_reason_t: requests that were refused */
  TELEMETRY_BAD_REQUESTS, /* none: requests that got a 4xx response before a
                             decision on them */
  TELEMETRY_ATTEMPTS, /* decide_attempt_result_t: attempts, each of which sends
                         a client's request to an endpoint */
  TELEMETRY_RETRIES,  /* none: attempts after the first one of a request */
  TELEMETRY_HEDGES,   /* none: second attempts while the first is under way */
  TELEMETRY_REPLAYS,  /* none: recorded responses sent for requests with a
                         known idempotency key */
  TELEMETRY_RESUMES,  /* none: downloads resumed at another endpoint */
  TELEMETRY_CUT_ANSWERS, /* none: responses to clients that ended before their
                            full length */
  TELEMETRY_PROBES,      /* 0 ok, 1 failed: probes of endpoints */
  TELEMETRY_STORE_CALLS, /* 0 ok, 1 conflict or history that the store has
                            dropped, 2 failed: calls of the store */
  TELEMETRY_OBJECTS_REJECTED, /* none: objects of the store that failed
                                 validation */
  TELEMETRY_PEER_SENT,     /* decide_msg_type_t: messages to other instances */
  TELEMETRY_PEER_RECEIVED, /* decide_msg_type_t: messages of other instances */
  TELEMETRY_PEER_DROPPED,  /* none: messages to other instances that were lost,
                              because the queue was full, the RPC failed or a
                              datagram could not be sent */
  TELEMETRY_PEER_BYTES,    /* 0 sent, 1 received: bytes of messages between
                              instances */
  TELEMETRY_CONTROL_BYTES, /* 0 sent, 1 received: bytes of store calls and of
                              messages between instances */
  TELEMETRY_EVENTS_DROPPED, /* none: events that were lost because the queue to
                               the decision thread was full */
  TELEMETRY_UPLINKS_OPENED, /* none: connections opened to endpoints */
  TELEMETRY_FOREIGN_ANSWERS, /* none: responses that were skipped because they
                                belonged to another request */
  TELEMETRY_ENDLESS_RESPONSES, /* none: connections to endpoints closed because
                                  of too many bytes that are no usable
                                  response */
  TELEMETRY_ROUTED,            /* telemetry_outcome_t: requests that ended */
  /* 0 all endpoints were sent, 1 changed endpoints were sent or none were
     requested, 2 endpoints were requested but not sent: transfers of state to
     other instances */
  TELEMETRY_STATE_TRANSFERS,
  /* 0 a large change of the configuration was sent, 1 a small one, 2 none,
     because a large one is being sent to others: transfers to other
     instances */
  TELEMETRY_CONFIG_TRANSFERS,
  TELEMETRY_READER_CHANGES, /* 0 began, 1 ended: times that this instance began
                               or ended reading the store on behalf of all */
  /* kind of object: lists and watches of the store that have succeeded */
  TELEMETRY_STORE_READS,
  /* kind of object: lists and watches of the store that have failed */
  TELEMETRY_STORE_READ_FAILURES,
  /* 0 without, 1 with a newer configuration: announcements whose store
     revision is older than this instance's */
  TELEMETRY_OLDER_ANNOUNCEMENTS,
  TELEMETRY_RETURNED, /* none: requests that repeat an earlier attempt of the
                         client, as inferred from the timeout stated in the
                         request (see caller_age_update()) */
  TELEMETRY_PROBES_WITHHELD, /* none: probes not sent because of the rate
                                limit */
  TELEMETRY_LIMITED_SENT, /* none: requests sent to endpoints that have stated
                             a limit */
  TELEMETRY_PERMITS, /* 0 asked, 1 issued, 2 refused: permits for requests to
                        endpoints that have stated a limit */
  /* 0 an endpoint has ended under a request, 1 a request suspected of that was
     answered, 2 another instance told of either: changes of suspicions */
  TELEMETRY_SUSPECTS,
  /* rollout_phase_t: steps of rollouts that this instance has taken */
  TELEMETRY_ROLLOUT_STEPS,
  /* 0 sent to the new version, 1 sent to the old one as the new one had no
     room: requests that a rollout gives to the new version */
  TELEMETRY_CANARY_REQUESTS,
  /* 0 granted, 1 refused: tokens of tenants' allowances, at their keeper */
  TELEMETRY_ALLOWANCE_TOKENS,
  /* 0 admitted by the keeper, 1 admitted by a successor, 2 refused,
     3 refused as neither could be asked: requests of tenants with an
     allowance */
  TELEMETRY_ALLOWANCE_REQUESTS,
  TELEMETRY_CONFIGS_REJECTED, /* none: reads of a configuration that could not
                                 be used as a whole */
  TELEMETRY_UNCONFIRMED_REFUSALS, /* none: responses to requests that are not
                                     idempotent with a status that would tell
                                     the client that the request has not run,
                                     which the endpoint does not state */
  TELEMETRY_SHED_CONNECTIONS, /* none: connections of clients closed because
                                 clients made the instance hold too much */
  /* choose_obstacle_t less 1: endpoints that a round of probes left out */
  TELEMETRY_WITHHELD,
  TELEMETRY_COUNTER_COUNT /* number of families */
} telemetry_counter_t;

/* How a request to the load balancer ended.  */
typedef enum telemetry_outcome
{
  TELEMETRY_OUTCOME_ANSWERED,
  TELEMETRY_OUTCOME_ENDPOINT_FAILED, /* the client got the endpoint's error
                                        response */
  TELEMETRY_OUTCOME_CALLER_LEFT,     /* the client disconnected */
  TELEMETRY_OUTCOME_NO_ROUTE,
  TELEMETRY_OUTCOME_UNAUTHORIZED, /* it has no key of a tenant */
  /* With the outcomes from here to TELEMETRY_OUTCOME_STOPPING, the request was
     refused and not executed.  */
  TELEMETRY_OUTCOME_NO_CONFIGURATION,
  TELEMETRY_OUTCOME_NO_ENDPOINT,
  TELEMETRY_OUTCOME_FULL,        /* no endpoint had free capacity */
  TELEMETRY_OUTCOME_ALLOWANCE,   /* its tenant's allowance was used up */
  TELEMETRY_OUTCOME_LIMITED,     /* the limits that the endpoints state were
                                    used up */
  TELEMETRY_OUTCOME_OUT_OF_TIME, /* no endpoint could respond in time */
  TELEMETRY_OUTCOME_NOT_RUN,     /* every attempt failed before execution */
  TELEMETRY_OUTCOME_SUSPECT,     /* endpoints have ended under it */
  TELEMETRY_OUTCOME_STOPPING,    /* this instance is shutting down */
  /* With the outcomes from here to TELEMETRY_OUTCOME_CUT, the request failed
     and may have been executed.  */
  TELEMETRY_OUTCOME_TIMEOUT, /* no response arrived in time */
  TELEMETRY_OUTCOME_BROKEN,  /* the connection to the endpoint failed */
  TELEMETRY_OUTCOME_CUT      /* the response ended before its full length */
} telemetry_outcome_t;

/* Gauges, whose values can go up and down.  */
typedef enum telemetry_gauge
{
  TELEMETRY_IN_FLIGHT,      /* requests of clients that have not ended */
  TELEMETRY_CONNECTIONS,    /* open connections of clients */
  TELEMETRY_REVISION,       /* store revision up to which this instance has all
                               changes */
  TELEMETRY_STORE_ERA,      /* number of times that the store was restored from
                               an older copy, as last stated to this
                               instance */
  TELEMETRY_RECORD_VERSION, /* version of the ownership record, which assigns
                               each slice (a partition of the pools of
                               endpoints of a data centre) to an instance */
  TELEMETRY_SLICES_OWNED, /* slices that the record assigns to this instance */
  TELEMETRY_SLICES_SERVING, /* slices in which this instance may grant the use
                               of endpoints to requests */
  TELEMETRY_MEMBERS_HEARD,  /* instances from which a message was received
                               recently */
  TELEMETRY_STORE_FRESH,    /* 1 while a recent read of the store lets this
                               instance grant the use of endpoints, otherwise
                               0 */
  TELEMETRY_MAJORITY_FRESH, /* 1 while recent acknowledgements of a majority of
                               the instances let this instance grant the use of
                               endpoints, otherwise 0 */
  TELEMETRY_CONFIG_ROWS_LEFT_OUT, /* rows of the configuration in force that
                                     cannot be used */
  TELEMETRY_STOPPING,          /* 1 during a graceful shutdown, otherwise 0 */
  TELEMETRY_CONTROL_CPU_US,    /* CPU time in microseconds that the control
                                  threads have used */
  TELEMETRY_RESIDENT_BYTES,    /* resident memory of the process in bytes */
  TELEMETRY_READER_STATE,      /* 0 if this instance does not read the store on
                                  behalf of all, 1 if it does but cannot read
                                  the endpoints, 2 if it cannot read some other
                                  kind of object, 3 if it can read all */
  TELEMETRY_LIMITED_ENDPOINTS, /* endpoints that have stated a limit */
  TELEMETRY_GAUGE_COUNT        /* number of gauges */
} telemetry_gauge_t;

/* Histograms of durations in microseconds.  */
typedef enum telemetry_histogram
{
  TELEMETRY_ANSWERED_US, /* from receiving a request to the end of its
                            processing, if an endpoint responded */
  TELEMETRY_REFUSED_US,  /* from receiving a request to refusing it */
  TELEMETRY_ADDED_US, /* the duration in TELEMETRY_ANSWERED_US less that of the
                         attempt that got the response */
  TELEMETRY_FIRST_BYTE_US, /* from sending an attempt to the first byte of its
                              response */
  TELEMETRY_DECIDE_US,     /* unused: no duration is recorded in it */
  TELEMETRY_STORE_US,      /* from the start to the end of a store call */
  TELEMETRY_PROBE_US,  /* from sending a probe to its response; probes without
                          a response are not counted */
  TELEMETRY_WAITED_US, /* from receiving a request to sending its first
                          attempt */
  TELEMETRY_HISTOGRAM_COUNT /* number of histograms */
} telemetry_histogram_t;

/**
 * telemetry_counter_add() - add to a counter
 * @label: value of the family's label, 0 if it has none; a value that is out
 * of range is counted as "other"
 * @n: amount to add
 *
 * May be called by any thread.  The addition is one relaxed atomic operation.
 */
void telemetry_counter_add (telemetry_counter_t counter, unsigned int label,
                            uint64_t n);

/* Adds one to a counter.  May be called by any thread.  */
static inline void
telemetry_counter_increment (telemetry_counter_t counter, unsigned int label)
{
  telemetry_counter_add (counter, label, 1);
}

/* Returns the value of a counter for one value of its label.  */
uint64_t telemetry_counter_read (telemetry_counter_t counter,
                                 unsigned int label);

/* Sets a gauge.  May be called by any thread.  */
void telemetry_gauge_set (telemetry_gauge_t gauge, int64_t value);
/* Adds to a gauge.  May be called by any thread.  */
void telemetry_gauge_add (telemetry_gauge_t gauge, int64_t n);

/**
 * telemetry_histogram_observe() - record a duration
 * @us: duration in microseconds; a negative value counts as 0
 *
 * May be called by any thread.
 */
void telemetry_histogram_observe (telemetry_histogram_t histogram, int64_t us);

/* Returns the value that the label of TELEMETRY_ROUTED has for an outcome.  */
const char *telemetry_outcome_name (telemetry_outcome_t outcome);

/**
 * telemetry_format_metrics() - format all metrics in the Prometheus text
 * format
 *
 * Return: text to be freed with g_free().
 */
char *telemetry_format_metrics (void);

/* ---- Traces ---- */

/* Size in bytes of a traceparent header value, with its NUL.  */
#define TELEMETRY_TRACEPARENT_BYTES 56
/* Bit in the flags of a telemetry_trace_t: the trace's spans are to be
   recorded.  */
#define TELEMETRY_SAMPLED 0x01

/* Identifies a span of a trace, according to W3C Trace Context.  */
typedef struct telemetry_trace
{
  uint8_t trace_id[16];
  uint8_t span_id[8];
  uint8_t parent_id[8]; /* id of the parent span; all zero: none */
  uint8_t flags;        /* TELEMETRY_SAMPLED or 0 */
} telemetry_trace_t;

/**
 * telemetry_parse_traceparent() - parse a W3C traceparent header value
 * @text: value; NULL counts as malformed
 * @trace: out: the sender's trace and span, without a parent; unchanged on an
 *   error
 *
 * Return: 0 or -EINVAL.
 */
int telemetry_parse_traceparent (const char *text, telemetry_trace_t *trace);

/* Formats a traceparent header value of version 00.  */
void telemetry_format_traceparent (const telemetry_trace_t *trace,
                                   char text[TELEMETRY_TRACEPARENT_BYTES]);

/* Sets @trace to a new trace with random ids and without a parent.  */
void telemetry_new_trace (telemetry_trace_t *trace);

/* Sets @child to a new child span of @parent; both may be the same object.  */
void telemetry_new_child (const telemetry_trace_t *parent,
                          telemetry_trace_t *child);

/**
 * telemetry_is_sampled() - whether the spans of a trace are written
 *
 * The result depends only on the trace id, so that all instances write the
 * same traces and a client that sets the sampled flag on each request does not
 * change the sampling ratio.
 */
bool telemetry_is_sampled (const telemetry_trace_t *trace);

/* A span that has ended.  */
typedef struct telemetry_span
{
  const telemetry_trace_t *trace; /* ids of the span */
  const char *name;               /* name of the operation */
  const char *service;            /* service of the request; NULL: left out */
  const char *endpoint;           /* id of the endpoint; NULL: left out */
  const char *outcome;            /* result of the operation; NULL: left out */
  int64_t start_us;    /* microseconds since 1970-01-01 UTC, as returned by
                          g_get_real_time() */
  int64_t duration_us; /* time from start to end, in microseconds */
} telemetry_span_t;

/* Writes a span as a JSON line if its trace is sampled.  May be called by any
   thread.  */
void telemetry_write_span (const telemetry_span_t *span);

#endif
