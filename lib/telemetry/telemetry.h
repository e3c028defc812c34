#ifndef PERIDOT_TELEMETRY_H
#define PERIDOT_TELEMETRY_H

/* Log, metrics and trace spans of one process.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* ---- Start and stop ---- */

typedef struct telemetry_settings
{
  const char *instance;     /* copied; stated in every line */
  GLogLevelFlags log_level; /* least important level that is written */
  double trace_share;       /* 0..1 of traces whose spans are written */
  unsigned int ring;        /* lines waiting; a power of two; 0: 4096 */
  int log_fd;               /* log lines go there; 0: standard error */
} telemetry_settings_t;

/**
 * telemetry_start() - start the writer thread and install the GLib writer
 *
 * After this g_log_structured(), g_warning() and so on put JSON lines into a
 * bounded ring; one thread writes them to standard error, and spans to
 * standard output.  A line that finds the ring full is dropped and counted.
 * Called once in a process, before other threads log.
 *
 * Return: 0, -EALREADY, -ENOMEM, or the negative errno of the thread start.
 */
int telemetry_start (const telemetry_settings_t *settings);

/* Writes what is in the ring and ends the writer thread.  Lines logged later
   are written by the caller itself.  */
void telemetry_stop (void);

/* ---- Log ---- */

/* Logging goes through GLib: g_log_structured (G_LOG_DOMAIN, level, "SERVICE",
   name, "MESSAGE", format, ...), g_critical(), g_warning(), g_message(),
   g_info(), g_debug().  Levels in the lines: error, critical, warning,
   notice, info, debug.  Field names are written in lower case.  */

void telemetry_set_log_level (GLogLevelFlags level);

/**
 * telemetry_dropped() - lines and spans dropped because the ring was full
 */
uint64_t telemetry_dropped (void);

/* ---- Metrics ---- */

/* Families of counters; the second column is the meaning of the label.  */
typedef enum telemetry_counter
{
  TELEMETRY_REQUESTS,         /* none: requests of callers */
  TELEMETRY_ANSWERED,         /* none */
  TELEMETRY_REFUSED,          /* decide_reason_t */
  TELEMETRY_BAD_REQUESTS,     /* none: 4xx before a decision */
  TELEMETRY_ATTEMPTS,         /* decide_attempt_result_t */
  TELEMETRY_RETRIES,          /* none */
  TELEMETRY_HEDGES,           /* none */
  TELEMETRY_REPLAYS,          /* none: recorded answers of keyed requests */
  TELEMETRY_RESUMES,          /* none: downloads resumed elsewhere */
  TELEMETRY_CUT_ANSWERS,      /* none: answers cut short to the caller */
  TELEMETRY_PROBES,           /* 0 ok, 1 failed */
  TELEMETRY_STORE_CALLS,      /* 0 ok, 1 conflict, 2 failed */
  TELEMETRY_OBJECTS_REJECTED, /* none: objects that failed the checks */
  TELEMETRY_PEER_SENT,        /* decide_msg_type_t */
  TELEMETRY_PEER_RECEIVED,    /* decide_msg_type_t */
  TELEMETRY_PEER_DROPPED,     /* none: ring to a peer full or RPC failed */
  TELEMETRY_PEER_BYTES,       /* 0 sent, 1 received */
  TELEMETRY_CONTROL_BYTES,    /* 0 sent, 1 received: store and peers */
  TELEMETRY_EVENTS_DROPPED,   /* none: ring to the decision thread full */
  TELEMETRY_UPLINKS_OPENED,   /* none: connections to endpoints */
  TELEMETRY_FOREIGN_ANSWERS,  /* none: answers of other requests, skipped */
  TELEMETRY_ROUTED,           /* telemetry_outcome_t */
  /* 0 all endpoints, 1 what changed or no endpoints, 2 turned away */
  TELEMETRY_STATE_TRANSFERS,
  TELEMETRY_READER_CHANGES,  /* 0 took over reading the store, 1 gave up */
  TELEMETRY_RETURNED,        /* none: callers that asked before */
  TELEMETRY_PROBES_WITHHELD, /* none: probes that the rate did not allow */
  TELEMETRY_COUNTERS
} telemetry_counter_t;

/* Ends of requests on the event loop.  */
typedef enum telemetry_outcome
{
  OUTCOME_ANSWERED,
  OUTCOME_ENDPOINT_FAILED, /* the endpoint's own failure was returned */
  OUTCOME_CALLER_LEFT,
  OUTCOME_NO_ROUTE,
  OUTCOME_NO_CONFIGURATION, /* from here on refused: has not run */
  OUTCOME_NO_ENDPOINT,
  OUTCOME_FULL,
  OUTCOME_OUT_OF_TIME,
  OUTCOME_NOT_RUN,
  OUTCOME_STOPPING,
  OUTCOME_TIMEOUT, /* from here on failed: may have run */
  OUTCOME_BROKEN,
  OUTCOME_CUT
} telemetry_outcome_t;

typedef enum telemetry_gauge
{
  TELEMETRY_IN_FLIGHT,
  TELEMETRY_CONNECTIONS,
  TELEMETRY_REVISION,
  TELEMETRY_RECORD_VERSION,
  TELEMETRY_SLICES_OWNED,
  TELEMETRY_SLICES_SERVING,
  TELEMETRY_MEMBERS_HEARD,
  TELEMETRY_STORE_FRESH,
  TELEMETRY_MAJORITY_FRESH,
  TELEMETRY_STOPPING,
  TELEMETRY_CONTROL_CPU_US, /* CPU time of the control threads */
  TELEMETRY_RESIDENT_BYTES,
  TELEMETRY_GAUGES
} telemetry_gauge_t;

typedef enum telemetry_histogram
{
  TELEMETRY_ANSWERED_US,   /* whole request, answered */
  TELEMETRY_REFUSED_US,    /* whole request, refused */
  TELEMETRY_ADDED_US,      /* whole request less the attempt that answered */
  TELEMETRY_FIRST_BYTE_US, /* one attempt, sending to the first byte */
  TELEMETRY_DECIDE_US,     /* request to decision */
  TELEMETRY_STORE_US,      /* one store call */
  TELEMETRY_PROBE_US,      /* one probe of an endpoint */
  TELEMETRY_WAITED_US,     /* request to the send of its first attempt */
  TELEMETRY_HISTOGRAMS
} telemetry_histogram_t;

/**
 * telemetry_add() - add to a counter; any thread, one relaxed atomic addition
 * @label: value of the family's label, 0 when it has none; a value that is
 *   out of range is counted under "other"
 * @n: amount
 */
void telemetry_add (telemetry_counter_t counter, unsigned int label,
                    uint64_t n);

/* Adds one to a counter.  */
static inline void
telemetry_count (telemetry_counter_t counter, unsigned int label)
{
  telemetry_add (counter, label, 1);
}

uint64_t telemetry_read (telemetry_counter_t counter, unsigned int label);

void telemetry_gauge_set (telemetry_gauge_t gauge, int64_t value);
void telemetry_gauge_add (telemetry_gauge_t gauge, int64_t n);

/**
 * telemetry_observe() - record a duration; any thread
 * @us: microseconds; a negative value counts as 0
 */
void telemetry_observe (telemetry_histogram_t histogram, int64_t us);

/* Label of an outcome.  */
const char *telemetry_outcome_name (telemetry_outcome_t outcome);

/**
 * telemetry_format_metrics() - all metrics in the Prometheus text format
 * Return: text to be freed with g_free().
 */
char *telemetry_format_metrics (void);

/* ---- Traces ---- */

/* Size of a traceparent header value with its NUL.  */
#define TELEMETRY_TRACEPARENT_SIZE 56
#define TELEMETRY_SAMPLED 0x01

typedef struct telemetry_trace
{
  uint8_t trace_id[16];
  uint8_t span_id[8];
  uint8_t parent_id[8]; /* zero: no parent */
  uint8_t flags;
} telemetry_trace_t;

/**
 * telemetry_parse_trace() - parse a W3C traceparent header value
 * @text: value; NULL is malformed
 * @trace: the sender's trace and span; the parent is zero
 *
 * Return: 0 or -EINVAL.
 */
int telemetry_parse_trace (const char *text, telemetry_trace_t *trace);

/* Formats a traceparent header value, version 00.  */
void telemetry_format_trace (const telemetry_trace_t *trace,
                             char text[TELEMETRY_TRACEPARENT_SIZE]);

/* Starts a new trace with random ids.  */
void telemetry_new_trace (telemetry_trace_t *trace);

/* Sets @child to a new span below @parent; both may be the same object.  */
void telemetry_new_child (const telemetry_trace_t *parent,
                          telemetry_trace_t *child);

/**
 * telemetry_is_sampled() - whether the spans of a trace are written
 *
 * The trace id decides, so that all instances write the same traces and a
 * caller that sets the sampled flag on each request does not change the share.
 */
bool telemetry_is_sampled (const telemetry_trace_t *trace);

typedef struct telemetry_span
{
  const telemetry_trace_t *trace;
  const char *name;
  const char *service;  /* NULL: left out */
  const char *endpoint; /* NULL: left out */
  const char *outcome;  /* NULL: left out */
  int64_t start_us;     /* since 1970-01-01 UTC, as g_get_real_time() */
  int64_t duration_us;
} telemetry_span_t;

/* Writes a span when its trace is sampled; any thread.  */
void telemetry_write_span (const telemetry_span_t *span);

#endif
