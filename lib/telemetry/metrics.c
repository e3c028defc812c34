#include "telemetry.h"

#include <stdatomic.h>

/* Number of label values for which each counter has room.  It must be enough
   for the message types, of which there are more than values of any other
   label, and for "other".  */
#define LABEL_VALUES_MAX 32
/* Index at which a label value that is out of range is counted.  */
#define LABEL_OTHER (LABEL_VALUES_MAX - 1)
/* Number of buckets for which each histogram has room, including the +Inf
   bucket.  */
#define BUCKETS_MAX 24

/* A family of metrics in the Prometheus text format.  */
typedef struct metric_family
{
  const char *name;
  const char *help;       /* text of the HELP line */
  const char *label_name; /* name of the label; NULL: there is none */
  /* Texts of the label values, indexed by the number or enumeration value that
     is passed to telemetry_counter_add(); NULL-terminated; "": the index is
     not used; NULL: there is no label.  */
  const char *const *label_values;
} metric_family_t;

/* Label values in the order of the enumerations in decide.h.
   test/unit/telemetry.c checks that the order is the same.  */
static const char *const refusal_reasons[]
    = { "unknown_service", "queue_full",  "deadline",     "no_capacity",
        "no_contact",      "failed",      "key_conflict", "key_in_progress",
        "key_uncertain",   "key_no_copy", "key_full",     "other_group",
        "stopping",        NULL };
static const char *const attempt_results[]
    = { "answered", "shed",      "not_sent", "reset",  "timeout",
        "broken",   "cancelled", "unused",   "closed", NULL };
static const char *const message_types[] = { "",
                                             "heartbeat",
                                             "heartbeat_ack",
                                             "support_request",
                                             "support_reply",
                                             "handover",
                                             "handover_ack",
                                             "object_pull",
                                             "object_push",
                                             "grant_request",
                                             "grant",
                                             "queued",
                                             "refused",
                                             "release",
                                             "recall",
                                             "grant_cancel",
                                             "key_claim",
                                             "key_claim_reply",
                                             "key_copy",
                                             "key_copy_ack",
                                             "key_outcome",
                                             "key_collect",
                                             "key_collect_reply",
                                             NULL };
static const char *const directions[] = { "sent", "received", NULL };
static const char *const probe_results[] = { "ok", "failed", NULL };
static const char *const permit_results[]
    = { "asked", "issued", "refused", NULL };
static const char *const suspect_changes[]
    = { "endpoint_ended", "answered", "told", NULL };
static const char *const store_call_results[]
    = { "ok", "conflict", "failed", NULL };

static const char *const outcomes[] = { "answered",     "endpoint_failed",
                                        "caller_left",  "no_route",
                                        "unauthorized", "no_configuration",
                                        "no_endpoint",  "full",
                                        "allowance",    "limited",
                                        "out_of_time",  "not_run",
                                        "suspect",      "stopping",
                                        "timeout",      "broken",
                                        "cut",          NULL };
static const char *const obstacles[]
    = { "draining",        "leaving", "version", "declined",
        "data_centre_out", "cold",    "limited", NULL };
static const char *const rollout_phases[]
    = { "canary",      "ramp",      "promoted", "cancelled",
        "rolled_back", "completed", NULL };
static const char *const allowance_tokens[] = { "granted", "refused", NULL };
static const char *const allowance_results[]
    = { "admitted", "by_successor", "refused", "unanswered", NULL };
static const char *const canary_results[] = { "sent", "no_room", NULL };
static const char *const older_announcements[]
    = { "unused", "newer_config", NULL };
static const char *const reader_changes[] = { "took_over", "gave_up", NULL };

/* In the order of feed_kind_t.  */
static const char *const object_kinds[]
    = { "endpoints", "config", "out_of_service", "rollouts", "members", NULL };
static const char *const transfer_kinds[]
    = { "all", "part", "turned_away", NULL };
static const char *const config_transfer_kinds[]
    = { "large", "small", "turned_away", NULL };

static const metric_family_t counters[TELEMETRY_COUNTER_COUNT] = {
  [TELEMETRY_REQUESTS]
  = { "peridot_requests_total", "Requests of callers.", NULL, NULL },
  [TELEMETRY_ANSWERED]
  = { "peridot_requests_answered_total",
      "Requests answered by a backend server.", NULL, NULL },
  [TELEMETRY_REFUSED]
  = { "peridot_requests_refused_total", "Requests refused, by reason.",
      "reason", refusal_reasons },
  [TELEMETRY_BAD_REQUESTS]
  = { "peridot_bad_requests_total",
      "Requests with a fault of the caller, before any decision.", NULL,
      NULL },
  [TELEMETRY_ATTEMPTS]
  = { "peridot_attempts_total", "Attempts against endpoints, by result.",
      "result", attempt_results },
  [TELEMETRY_RETRIES]
  = { "peridot_retries_total", "Attempts after the first.", NULL, NULL },
  [TELEMETRY_HEDGES]
  = { "peridot_hedges_total", "Second attempts beside a slow first one.", NULL,
      NULL },
  [TELEMETRY_REPLAYS]
  = { "peridot_replays_total", "Recorded answers given to repeats of a key.",
      NULL, NULL },
  [TELEMETRY_RESUMES]
  = { "peridot_resumes_total", "Downloads resumed from another endpoint.",
      NULL, NULL },
  [TELEMETRY_CUT_ANSWERS]
  = { "peridot_cut_answers_total",
      "Answers to callers that ended short of their length.", NULL, NULL },
  [TELEMETRY_PROBES] = { "peridot_probes_total", "Probes of endpoints.",
                         "result", probe_results },
  [TELEMETRY_STORE_CALLS]
  = { "peridot_store_calls_total", "Calls of the object API.", "result",
      store_call_results },
  [TELEMETRY_OBJECTS_REJECTED]
  = { "peridot_objects_rejected_total",
      "Configuration objects that failed the checks.", NULL, NULL },
  [TELEMETRY_PEER_SENT]
  = { "peridot_peer_messages_sent_total", "Messages to instances, by type.",
      "type", message_types },
  [TELEMETRY_PEER_RECEIVED]
  = { "peridot_peer_messages_received_total",
      "Messages from instances, by type.", "type", message_types },
  [TELEMETRY_PEER_DROPPED]
  = { "peridot_peer_messages_dropped_total",
      "Messages to instances that were dropped or not confirmed.", NULL,
      NULL },
  [TELEMETRY_PEER_BYTES]
  = { "peridot_peer_bytes_total", "Bytes of messages between instances.",
      "direction", directions },
  [TELEMETRY_CONTROL_BYTES]
  = { "peridot_control_bytes_total",
      "Bytes for control, of the store and of messages between instances.",
      "direction", directions },
  [TELEMETRY_EVENTS_DROPPED]
  = { "peridot_events_dropped_total",
      "Events that found the ring to the decision thread full.", NULL, NULL },
  [TELEMETRY_UPLINKS_OPENED]
  = { "peridot_uplinks_opened_total", "Connections opened to endpoints.", NULL,
      NULL },
  [TELEMETRY_FOREIGN_ANSWERS]
  = { "peridot_foreign_answers_total",
      "Answers that belonged to another request and were skipped.", NULL,
      NULL },
  [TELEMETRY_ENDLESS_RESPONSES]
  = { "peridot_endless_responses_total",
      "Connections to endpoints closed because of too many bytes that are no "
      "usable response.",
      NULL, NULL },
  [TELEMETRY_ROUTED]
  = { "peridot_routed_total", "Requests on the event loop, by outcome.",
      "outcome", outcomes },
  [TELEMETRY_STATE_TRANSFERS]
  = { "peridot_state_transfers_total",
      "State sent to instances that asked: with all endpoints, with what "
      "changed, or without endpoints because others are being served.",
      "kind", transfer_kinds },
  [TELEMETRY_CONFIG_TRANSFERS]
  = { "peridot_config_transfers_total",
      "Changes of the configuration sent to instances that asked: large "
      "ones, small ones, or none because others are being served.",
      "kind", config_transfer_kinds },
  [TELEMETRY_READER_CHANGES]
  = { "peridot_reader_changes_total",
      "Times this instance began or ended reading the store for all.",
      "change", reader_changes },
  [TELEMETRY_STORE_READS]
  = { "peridot_store_reads_total",
      "Lists and watches of the store that have succeeded, by kind of object.",
      "kind", object_kinds },
  [TELEMETRY_STORE_READ_FAILURES]
  = { "peridot_store_read_failures_total",
      "Lists and watches of the store that have failed, by kind of object.",
      "kind", object_kinds },
  [TELEMETRY_OLDER_ANNOUNCEMENTS]
  = { "peridot_older_announcements_total",
      "Announcements with an older store revision than known, of which only "
      "a newer configuration is used: without and with one.",
      "kind", older_announcements },
  [TELEMETRY_RETURNED]
  = { "peridot_returned_total",
      "Requests of callers that asked before, by the time that they state.",
      NULL, NULL },
  [TELEMETRY_PROBES_WITHHELD]
  = { "peridot_probes_withheld_total",
      "Probes left out because the allowed rate was used up.", NULL, NULL },
  [TELEMETRY_LIMITED_SENT]
  = { "peridot_limited_sent_total",
      "Requests sent to endpoints that have stated a limit.", NULL, NULL },
  [TELEMETRY_WITHHELD]
  = { "peridot_withheld_total",
      "Endpoints that a round of probes left out, by the reason.", "reason",
      obstacles },
  [TELEMETRY_UNCONFIRMED_REFUSALS]
  = { "peridot_unconfirmed_refusals_total",
      "Responses 408, 429 or 503 to requests that may run only once, of "
      "endpoints that do not state that they have not run them; the client "
      "gets 502.",
      NULL, NULL },
  [TELEMETRY_SHED_CONNECTIONS]
  = { "peridot_shed_connections_total",
      "Connections of clients closed because unfinished requests, unread "
      "responses or connections were too many.",
      NULL, NULL },
  [TELEMETRY_ALLOWANCE_TOKENS]
  = { "peridot_allowance_tokens_total",
      "Tokens of tenants' allowances for which this instance was asked.",
      "result", allowance_tokens },
  [TELEMETRY_ALLOWANCE_REQUESTS]
  = { "peridot_allowance_requests_total",
      "Requests of tenants with an allowance: admitted by the keeper or by a "
      "successor, refused, or refused as neither could be asked.",
      "result", allowance_results },
  [TELEMETRY_CONFIGS_REJECTED]
  = { "peridot_configs_rejected_total",
      "Reads of a configuration that could not be used as a whole.", NULL,
      NULL },
  [TELEMETRY_ROLLOUT_STEPS] = { "peridot_rollout_steps_total",
                                "Steps of rollouts that were taken, by phase.",
                                "phase", rollout_phases },
  [TELEMETRY_CANARY_REQUESTS]
  = { "peridot_canary_requests_total",
      "Requests that a rollout gives to the new version: sent there, or to "
      "the old one as the new one had no room.",
      "result", canary_results },
  [TELEMETRY_SUSPECTS]
  = { "peridot_suspects_total",
      "Changes of suspicions that a request crashes endpoints.", "change",
      suspect_changes },
  [TELEMETRY_PERMITS]
  = { "peridot_permits_total",
      "Permits for requests to endpoints that have stated a limit.", "result",
      permit_results },
};

static const metric_family_t gauges[TELEMETRY_GAUGE_COUNT] = {
  [TELEMETRY_IN_FLIGHT]
  = { "peridot_in_flight", "Requests of callers in flight.", NULL, NULL },
  [TELEMETRY_CONNECTIONS]
  = { "peridot_connections", "Open connections of callers.", NULL, NULL },
  [TELEMETRY_CONFIG_ROWS_LEFT_OUT]
  = { "peridot_config_rows_left_out",
      "Rows of the configuration in force that cannot be used.", NULL, NULL },
  [TELEMETRY_REVISION]
  = { "peridot_revision", "Store revision known completely.", NULL, NULL },
  [TELEMETRY_STORE_ERA]
  = { "peridot_store_era",
      "Times that the store was restored from an older copy, as last read.",
      NULL, NULL },
  [TELEMETRY_RECORD_VERSION]
  = { "peridot_record_version", "Version of the ownership record.", NULL,
      NULL },
  [TELEMETRY_SLICES_OWNED]
  = { "peridot_slices_owned", "Slices the record names this instance for.",
      NULL, NULL },
  [TELEMETRY_SLICES_SERVING]
  = { "peridot_slices_serving", "Slices this instance may grant in.", NULL,
      NULL },
  [TELEMETRY_MEMBERS_HEARD]
  = { "peridot_members_heard", "Members heard from lately.", NULL, NULL },
  [TELEMETRY_STORE_FRESH]
  = { "peridot_store_fresh", "1 while the last store read is evidence.", NULL,
      NULL },
  [TELEMETRY_MAJORITY_FRESH]
  = { "peridot_majority_fresh",
      "1 while a majority's acknowledgements are evidence.", NULL, NULL },
  [TELEMETRY_STOPPING]
  = { "peridot_stopping", "1 during a planned stop.", NULL, NULL },
  [TELEMETRY_CONTROL_CPU_US]
  = { "peridot_control_cpu_microseconds",
      "CPU time of the threads for control.", NULL, NULL },
  [TELEMETRY_RESIDENT_BYTES]
  = { "peridot_resident_bytes", "Resident memory of the process.", NULL,
      NULL },
  [TELEMETRY_READER_STATE]
  = { "peridot_reader_state",
      "0: does not read the store for all; 1: does, but cannot read the "
      "endpoints; 2: cannot read another kind of object; 3: reads all.",
      NULL, NULL },
  [TELEMETRY_LIMITED_ENDPOINTS]
  = { "peridot_limited_endpoints", "Endpoints that have stated a limit.", NULL,
      NULL },
};

static const metric_family_t histograms[TELEMETRY_HISTOGRAM_COUNT] = {
  [TELEMETRY_ANSWERED_US] = { "peridot_answered_seconds",
                              "Whole time of answered requests.", NULL, NULL },
  [TELEMETRY_REFUSED_US] = { "peridot_refused_seconds",
                             "Whole time of refused requests.", NULL, NULL },
  [TELEMETRY_ADDED_US]
  = { "peridot_added_seconds",
      "Whole time of answered requests less the attempt that answered.", NULL,
      NULL },
  [TELEMETRY_FIRST_BYTE_US]
  = { "peridot_first_byte_seconds",
      "Time of attempts from sending to the first byte.", NULL, NULL },
  [TELEMETRY_DECIDE_US]
  = { "peridot_decide_seconds", "Time from a request to its decision.", NULL,
      NULL },
  [TELEMETRY_STORE_US] = { "peridot_store_seconds",
                           "Time of calls of the object API.", NULL, NULL },
  [TELEMETRY_PROBE_US]
  = { "peridot_probe_seconds", "Time of probes of endpoints.", NULL, NULL },
  [TELEMETRY_WAITED_US]
  = { "peridot_waited_seconds",
      "Time from a request to the send of its first attempt.", NULL, NULL },
};

/* Upper bounds of the histogram buckets in microseconds.  The bounds are most
   closely spaced around 1,300, which is the latency target for the time that
   the load balancer adds to a call.  */
static const int64_t bucket_bounds_us[]
    = { 50,     100,    200,    300,     500,     700,     1000,
        1300,   2000,   3000,   5000,    10000,   20000,   50000,
        100000, 200000, 500000, 1000000, 2000000, 5000000, 10000000 };

#define N_BOUNDS G_N_ELEMENTS (bucket_bounds_us)
G_STATIC_ASSERT (N_BOUNDS < BUCKETS_MAX);
G_STATIC_ASSERT (G_N_ELEMENTS (message_types) <= LABEL_OTHER);

static atomic_uint_fast64_t counter_values[TELEMETRY_COUNTER_COUNT]
                                          [LABEL_VALUES_MAX];
static atomic_int_fast64_t gauge_values[TELEMETRY_GAUGE_COUNT];
static struct
{
  /* For each bucket, the number of values that are greater than the bound of
     the previous bucket and not greater than its own.  Bucket N_BOUNDS has no
     upper bound.  */
  atomic_uint_fast64_t buckets[BUCKETS_MAX];
  atomic_uint_fast64_t sum_us; /* sum of all values in microseconds */
} histogram_values[TELEMETRY_HISTOGRAM_COUNT];

static unsigned int label_index (telemetry_counter_t counter,
                                 unsigned int label);
static void append_family_header (GString *text, const metric_family_t *family,
                                  const char *type);
static void append_counter (GString *text, telemetry_counter_t counter);
static void append_histogram (GString *text, telemetry_histogram_t histogram);

/* Returns the index in counter_values[counter] at which a label value is
   counted: LABEL_OTHER if it is out of range or unused.  */
static unsigned int
label_index (telemetry_counter_t counter, unsigned int label)
{
  const char *const *label_values = counters[counter].label_values;

  if (label_values == NULL)
    return label == 0 ? 0 : LABEL_OTHER;
  for (unsigned int i = 0; label_values[i] != NULL; i++)
    if (i == label && label_values[i][0] != '\0')
      return i;
  return LABEL_OTHER;
}

void
telemetry_counter_add (telemetry_counter_t counter, unsigned int label,
                       uint64_t n)
{
  atomic_fetch_add_explicit (
      &counter_values[counter][label_index (counter, label)], n,
      memory_order_relaxed);
}

uint64_t
telemetry_counter_read (telemetry_counter_t counter, unsigned int label)
{
  return atomic_load_explicit (
      &counter_values[counter][label_index (counter, label)],
      memory_order_relaxed);
}

void
telemetry_gauge_set (telemetry_gauge_t gauge, int64_t value)
{
  atomic_store_explicit (&gauge_values[gauge], value, memory_order_relaxed);
}

void
telemetry_gauge_add (telemetry_gauge_t gauge, int64_t n)
{
  atomic_fetch_add_explicit (&gauge_values[gauge], n, memory_order_relaxed);
}

void
telemetry_histogram_observe (telemetry_histogram_t histogram, int64_t us)
{
  size_t i = 0;

  us = MAX (us, 0);
  while (i < N_BOUNDS && us > bucket_bounds_us[i])
    i++;
  atomic_fetch_add_explicit (&histogram_values[histogram].buckets[i], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram_values[histogram].sum_us, (uint64_t)us,
                             memory_order_relaxed);
}

const char *
telemetry_outcome_name (telemetry_outcome_t outcome)
{
  return outcomes[outcome];
}

char *
telemetry_format_metrics (void)
{
  static const metric_family_t dropped
      = { "peridot_log_lines_dropped_total",
          "Log lines and spans that found the ring full.", NULL, NULL };
  GString *text = g_string_sized_new (16384);

  for (int i = 0; i < TELEMETRY_COUNTER_COUNT; i++)
    append_counter (text, (telemetry_counter_t)i);
  append_family_header (text, &dropped, "counter");
  g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", dropped.name,
                          telemetry_dropped_lines ());
  for (int i = 0; i < TELEMETRY_GAUGE_COUNT; i++)
    {
      append_family_header (text, &gauges[i], "gauge");
      g_string_append_printf (
          text, "%s %" G_GINT64_FORMAT "\n", gauges[i].name,
          atomic_load_explicit (&gauge_values[i], memory_order_relaxed));
    }
  for (int i = 0; i < TELEMETRY_HISTOGRAM_COUNT; i++)
    append_histogram (text, (telemetry_histogram_t)i);
  return g_string_free (text, FALSE);
}

static void
append_family_header (GString *text, const metric_family_t *family,
                      const char *type)
{
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", family->name,
                          family->help, family->name, type);
}

static void
append_counter (GString *text, telemetry_counter_t counter)
{
  const metric_family_t *family = &counters[counter];
  uint64_t other = telemetry_counter_read (counter, LABEL_OTHER);

  append_family_header (text, family, "counter");
  if (family->label_values == NULL)
    {
      g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", family->name,
                              telemetry_counter_read (counter, 0));
      return;
    }
  for (unsigned int i = 0; family->label_values[i] != NULL; i++)
    if (family->label_values[i][0] != '\0')
      g_string_append_printf (text, "%s{%s=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              family->name, family->label_name,
                              family->label_values[i],
                              telemetry_counter_read (counter, i));
  if (other != 0)
    g_string_append_printf (text, "%s{%s=\"other\"} %" G_GUINT64_FORMAT "\n",
                            family->name, family->label_name, other);
}

/* Appends a histogram.  As other threads change the buckets while they are
   read one by one, the count is computed as the sum of the values that were
   read, so that it equals the +Inf bucket.  */
static void
append_histogram (GString *text, telemetry_histogram_t histogram)
{
  const metric_family_t *family = &histograms[histogram];
  uint64_t total = 0;

  append_family_header (text, family, "histogram");
  for (size_t i = 0; i <= N_BOUNDS; i++)
    {
      char bound[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";

      total += atomic_load_explicit (&histogram_values[histogram].buckets[i],
                                     memory_order_relaxed);
      if (i < N_BOUNDS)
        g_ascii_formatd (bound, sizeof bound, "%g",
                         (double)bucket_bounds_us[i] / 1e6);
      g_string_append_printf (text,
                              "%s_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              family->name, bound, total);
    }
  g_string_append_printf (
      text,
      "%s_sum %" G_GUINT64_FORMAT ".%06u\n%s_count %" G_GUINT64_FORMAT "\n",
      family->name,
      atomic_load_explicit (&histogram_values[histogram].sum_us,
                            memory_order_relaxed)
          / 1000000,
      (unsigned int)(atomic_load_explicit (&histogram_values[histogram].sum_us,
                                           memory_order_relaxed)
                     % 1000000),
      family->name, total);
}
