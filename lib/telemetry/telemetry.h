#ifndef PERIDOT_TELEMETRY_H
#define PERIDOT_TELEMETRY_H

/* Structured log, metrics and trace spans of a process.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* ---- Start and stop ---- */

typedef struct telemetry_settings
{
  const char *instance;        /* name that is written in every line; copied */
  GLogLevelFlags log_level;    /* least severe level that is written */
  double trace_sampling_ratio; /* 0..1, fraction of traces that are written */
  unsigned int ring_lines;     /* capacity in lines, a power of two; 0: 4096 */
  int log_fd;                  /* receives the log lines; 0: standard error */
} telemetry_settings_t;

/**
 * telemetry_start() - start the writer thread and install the GLib writer
 *
 * After this call g_log_structured(), g_warning() and so on put JSON lines
 * into a ring buffer.  The writer thread writes log lines to the log
 * descriptor and spans to standard output.  When the ring buffer is full, a
 * new line is dropped and counted.  The function must be called before other
 * threads log.
 *
 * Return: 0, -EALREADY when the thread runs already, -ENOMEM, or the negative
 * errno of the thread start.
 */
int telemetry_start (const telemetry_settings_t *settings);

/* Writes the lines in the ring buffer and ends the writer thread; lines that
   cannot be written within 1 s are discarded.  Lines logged later are written
   by the calling thread.  */
void telemetry_stop (void);

/* ---- Log ---- */

/* Logging goes through GLib: g_log_structured (G_LOG_DOMAIN, level, "SERVICE",
   name, "MESSAGE", format, ...), g_critical(), g_warning(), g_message(),
   g_info(), g_debug().  The levels are written as error, critical, warning,
   notice, info and debug, and field names in lower case.  */

void telemetry_set_log_level (GLogLevelFlags level);

/* Returns how many log lines and spans were dropped because the ring buffer
   was full.  */
uint64_t telemetry_dropped_lines (void);

/* ---- Metrics ---- */

/* Families of counters.  The comments state the values of the label and, where
   needed, what is counted.  */
typedef enum telemetry_counter
{
  TELEMETRY_REQUESTS,         /* none: requests from callers */
  TELEMETRY_ANSWERED,         /* none */
  TELEMETRY_REFUSED,          /* decide_reason_t */
  TELEMETRY_BAD_REQUESTS,     /* none: answered 4xx before a decision */
  TELEMETRY_ATTEMPTS,         /* decide_attempt_result_t */
  TELEMETRY_RETRIES,          /* none */
  TELEMETRY_HEDGES,           /* none */
  TELEMETRY_REPLAYS,          /* none: recorded answers to keyed requests */
  TELEMETRY_RESUMES,          /* none: downloads resumed at another endpoint */
  TELEMETRY_CUT_ANSWERS,      /* none: answers to callers cut short */
  TELEMETRY_PROBES,           /* 0 ok, 1 failed */
  TELEMETRY_STORE_CALLS,      /* 0 ok, 1 conflict, 2 failed */
  TELEMETRY_OBJECTS_REJECTED, /* none: objects that failed the checks */
  TELEMETRY_PEER_SENT,        /* decide_msg_type_t */
  TELEMETRY_PEER_RECEIVED,    /* decide_msg_type_t */
  TELEMETRY_PEER_DROPPED,     /* none: queue to a peer full or RPC failed */
  TELEMETRY_PEER_BYTES,       /* 0 sent, 1 received */
  TELEMETRY_CONTROL_BYTES,    /* 0 sent, 1 received; of the store and peers */
  TELEMETRY_EVENTS_DROPPED,   /* none: queue to the decision thread full */
  TELEMETRY_UPLINKS_OPENED,   /* none: connections opened to endpoints */
  TELEMETRY_FOREIGN_ANSWERS,  /* none: skipped answers to another request */
  TELEMETRY_ROUTED,           /* telemetry_outcome_t */
  /* 0 with all endpoints; 1 with changed endpoints, or none were needed;
     2 turned away: endpoints were needed but not sent */
  TELEMETRY_STATE_TRANSFERS,
  TELEMETRY_READER_CHANGES, /* 0 became reader of the store, 1 stopped */
  TELEMETRY_RETURNED,       /* none: requests from callers that asked before */
  TELEMETRY_PROBES_WITHHELD, /* none: probes that the rate limit prevented */
  TELEMETRY_COUNTERS
} telemetry_counter_t;

/* Outcomes of requests on the event loop.  */
typedef enum telemetry_outcome
{
  TELEMETRY_OUTCOME_ANSWERED,
  TELEMETRY_OUTCOME_ENDPOINT_FAILED, /* the endpoint's error was passed on */
  TELEMETRY_OUTCOME_CALLER_LEFT,
  TELEMETRY_OUTCOME_NO_ROUTE,
  TELEMETRY_OUTCOME_NO_CONFIGURATION, /* up to TELEMETRY_OUTCOME_STOPPING:
                                         refused, not executed */
  TELEMETRY_OUTCOME_NO_ENDPOINT,
  TELEMETRY_OUTCOME_FULL,
  TELEMETRY_OUTCOME_OUT_OF_TIME,
  TELEMETRY_OUTCOME_NOT_RUN,
  TELEMETRY_OUTCOME_STOPPING,
  TELEMETRY_OUTCOME_TIMEOUT, /* up to TELEMETRY_OUTCOME_CUT: failed, may have
                                been executed */
  TELEMETRY_OUTCOME_BROKEN,
  TELEMETRY_OUTCOME_CUT
} telemetry_outcome_t;

typedef enum telemetry_gauge
{
  TELEMETRY_IN_FLIGHT,
  TELEMETRY_CONNECTIONS,
  TELEMETRY_REVISION,
  TELEMETRY_RECORD_VERSION, /* of the ownership record */
  TELEMETRY_SLICES_OWNED,   /* assigned by the ownership record */
  TELEMETRY_SLICES_SERVING,
  TELEMETRY_MEMBERS_HEARD,
  TELEMETRY_STORE_FRESH,    /* 1 while the last store read is recent enough */
  TELEMETRY_MAJORITY_FRESH, /* 1 while a majority has acknowledged recently */
  TELEMETRY_STOPPING,
  TELEMETRY_CONTROL_CPU_US, /* CPU time of the control threads */
  TELEMETRY_RESIDENT_BYTES,
  TELEMETRY_GAUGES
} telemetry_gauge_t;

typedef enum telemetry_histogram
{
  TELEMETRY_ANSWERED_US,   /* whole request, answered */
  TELEMETRY_REFUSED_US,    /* whole request, refused */
  TELEMETRY_ADDED_US,      /* whole request minus the attempt that answered */
  TELEMETRY_FIRST_BYTE_US, /* one attempt, from sending to first byte */
  TELEMETRY_DECIDE_US,     /* from a request to its decision */
  TELEMETRY_STORE_US,      /* one store call */
  TELEMETRY_PROBE_US,      /* one probe of an endpoint */
  TELEMETRY_WAITED_US,     /* from a request to sending its first attempt */
  TELEMETRY_HISTOGRAMS
} telemetry_histogram_t;

/**
 * telemetry_counter_add() - add to a counter; any thread
 * @label: value of the family's label, 0 when it has none; a value that is
 *   out of range is counted as "other"
 * @n: amount
 *
 * It is one relaxed atomic addition.
 */
void telemetry_counter_add (telemetry_counter_t counter, unsigned int label,
                            uint64_t n);

/* Adds one to a counter.  */
static inline void
telemetry_counter_increment (telemetry_counter_t counter, unsigned int label)
{
  telemetry_counter_add (counter, label, 1);
}

/* Returns the value of a counter.  */
uint64_t telemetry_counter_read (telemetry_counter_t counter,
                                 unsigned int label);

void telemetry_gauge_set (telemetry_gauge_t gauge, int64_t value);
void telemetry_gauge_add (telemetry_gauge_t gauge, int64_t n);

/**
 * telemetry_histogram_observe() - record a duration; any thread
 * @us: microseconds; a negative value counts as 0
 */
void telemetry_histogram_observe (telemetry_histogram_t histogram, int64_t us);

/* Returns the label value of an outcome.  */
const char *telemetry_outcome_name (telemetry_outcome_t outcome);

/**
 * telemetry_format_metrics() - all metrics in the Prometheus text format
 * Return: text to be freed with g_free().
 */
char *telemetry_format_metrics (void);

/* ---- Traces ---- */

/* Size in bytes of a traceparent header value, with its NUL.  */
#define TELEMETRY_TRACEPARENT_SIZE 56
/* Bit in the flags of a telemetry_trace_t.  */
#define TELEMETRY_SAMPLED 0x01

typedef struct telemetry_trace
{
  uint8_t trace_id[16];
  uint8_t span_id[8];
  uint8_t parent_id[8]; /* all zero: no parent */
  uint8_t flags;
} telemetry_trace_t;

/**
 * telemetry_parse_traceparent() - parse a W3C traceparent header value
 * @text: value; NULL is malformed
 * @trace: out: the sender's trace and span, without a parent; unchanged on an
 *   error
 *
 * Return: 0 or -EINVAL.
 */
int telemetry_parse_traceparent (const char *text, telemetry_trace_t *trace);

/* Formats a traceparent header value of version 00.  */
void telemetry_format_traceparent (const telemetry_trace_t *trace,
                                   char text[TELEMETRY_TRACEPARENT_SIZE]);

/* Sets @trace to a new trace with random ids and without a parent.  */
void telemetry_new_trace (telemetry_trace_t *trace);

/* Sets @child to a new child span of @parent; both may be the same object.  */
void telemetry_new_child (const telemetry_trace_t *parent,
                          telemetry_trace_t *child);

/**
 * telemetry_is_sampled() - whether the spans of a trace are written
 *
 * The result depends only on the trace id, so that all instances write the
 * same traces and a caller that sets the sampled flag on each request does not
 * change the sampling ratio.
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

/* Writes a span as a JSON line when its trace is sampled; any thread.  */
void telemetry_write_span (const telemetry_span_t *span);

#endif
