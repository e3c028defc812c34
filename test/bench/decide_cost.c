/* Benchmark of the decision library: time, memory and messages.  Simulates the
   members of one group and their store in virtual time; messages take 1 ms and
   backend servers respond after SERVICE_MS.  Prints one line of JSON; times
   and sizes are per member.  Times are elapsed time inside the library,
   without the time spent in the callbacks of this program.  */

#include <err.h>
#include <glib.h>
#include <malloc.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "decide.h"
#include "wire.h"

#define SERVICE_MS 5
#define WARMUP_MS 8000
#define GRANT_EXPIRY_MS 3500 /* longer than any grant is valid */
#define ENDPOINTS_PER_SERVICE 6
#define DATA_CENTRES 3
#define MSG_TYPES (DECIDE_MSG_KEY_COLLECT_REPLY + 1)
/* Encoding a message takes longer than most events, so only the first
   messages of each type and one in 16 of the rest are encoded to measure their
   size.  */
#define SIZED_MESSAGES_MIN 64
#define SIZE_SAMPLING_INTERVAL 16
#define SERVICE_CHANGES 100 /* measured by measure_change_us() */
#define RESPONSE_BYTES 64   /* length of the body of a response */
#define VIEW_CALLS 1000     /* measured by measure_view_us() */

/* An attempt at a backend server.  */
typedef struct pending
{
  clock_ms_t ends_at;
  uint64_t request;
  uint64_t attempt;
  uint32_t member; /* index of the member that sent it */
} pending_attempt_t;

/* A message that has not arrived yet.  */
typedef struct in_transit
{
  clock_ms_t due_at;
  uint32_t to; /* index of the receiving member */
  decide_id_t from;
  decide_msg_t *msg;
} in_transit_t;

/* Number of calls for one kind of event and the time that they took.  */
typedef struct cost
{
  uint64_t count;
  int64_t ns;
} event_cost_t;

/* Messages of one type.  */
typedef struct traffic
{
  uint64_t sent;
  uint64_t sized; /* messages that were encoded to measure their size */
  uint64_t bytes; /* total size of these */
} traffic_t;

typedef struct bench bench_t;

typedef struct member
{
  bench_t *bench;
  decide_t *node;
  decide_id_t id;
  /* Read and update of the store that the node has started, with the arguments
     of on_store_sync() and on_store_put().  They end in the next ms.  */
  bool sync_requested;
  uint64_t sync_since;
  bool put_requested;
  uint64_t put_operation;
  uint64_t put_expected;
  decide_record_t put_record;
} member_t;

struct bench
{
  clock_ms_t now;
  uint32_t member_count;
  member_t members[DECIDE_MEMBERS_MAX];
  uint32_t service_count;
  uint32_t keyed_percent;   /* share of requests with an idempotency key */
  decide_record_t record;   /* ownership record in the store */
  uint64_t record_revision; /* store revision of its last change */
  uint64_t revision;        /* of the store */
  GQueue pending;           /* pending_attempt_t */
  GQueue in_transit;        /* in_transit_t */
  uint64_t last_request_id;
  uint64_t forwarded;    /* attempts */
  uint64_t refused;      /* requests */
  uint64_t sent_in_call; /* messages since the last request was added */
  int64_t callback_ns;   /* time in callbacks since the event began */
  event_cost_t tick;
  event_cost_t reused_grant; /* requests started without a message */
  event_cost_t asked_owner;  /* requests that asked an owner */
  event_cost_t attempt_end;
  event_cost_t store_sync;
  event_cost_t received[MSG_TYPES];
  traffic_t traffic[MSG_TYPES];
};

/* Names of the message types in the output.  */
static const char *const type_names[MSG_TYPES] = { "",
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
                                                   "key_collect_reply" };

static int64_t
clock_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int64_t
begin_timing (bench_t *bench)
{
  bench->callback_ns = 0;
  return clock_ns ();
}

static void
end_timing (bench_t *bench, event_cost_t *cost, int64_t start)
{
  cost->ns += clock_ns () - start - bench->callback_ns;
  cost->count++;
}

/* Counts a message that is sent, and measures the size of some.  */
static void
count_sent_message (traffic_t *traffic, const decide_msg_t *msg)
{
  wire_message wire;

  if (traffic->sent++ >= SIZED_MESSAGES_MIN
      && traffic->sent % SIZE_SAMPLING_INTERVAL != 0)
    return;
  if (peer_encode (msg, &wire) != 0)
    errx (1, "out of memory");
  traffic->sized++;
  traffic->bytes += xdr_sizeof ((xdrproc_t)xdr_wire_message, &wire);
  xdr_free ((xdrproc_t)xdr_wire_message, &wire);
}

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  member_t *member = context;
  bench_t *bench = member->bench;
  int64_t start = clock_ns ();

  bench->sent_in_call++;
  /* Objects have an empty body here and cannot be passed between members,
     which read them from the store only.  */
  if (msg->type == DECIDE_MSG_OBJECT_PULL)
    return;
  for (uint32_t i = 0; i < bench->member_count; i++)
    if (bench->members[i].id == instance)
      {
        in_transit_t *in_transit = g_new (in_transit_t, 1);

        count_sent_message (&bench->traffic[msg->type], msg);
        *in_transit = (in_transit_t){ .due_at = bench->now + 1,
                                      .to = i,
                                      .from = member->id,
                                      .msg = peer_msg_copy_compact (msg) };
        if (in_transit->msg == NULL)
          errx (1, "message of type %d is not valid", msg->type);
        g_queue_push_tail (&bench->in_transit, in_transit);
      }
  bench->callback_ns += clock_ns () - start;
}

static void
on_forward (void *context, const decide_forward_t *forward)
{
  member_t *member = context;
  bench_t *bench = member->bench;
  int64_t start = clock_ns ();
  pending_attempt_t *pending = g_new (pending_attempt_t, 1);

  pending->ends_at = bench->now + SERVICE_MS;
  pending->request = forward->request;
  pending->attempt = forward->attempt;
  pending->member = (uint32_t)(member - bench->members);
  g_queue_push_tail (&bench->pending, pending);
  bench->forwarded++;
  bench->callback_ns += clock_ns () - start;
}

static void
on_cancel (void *context, uint64_t attempt)
{
  (void)context;
  (void)attempt;
}

static void
on_refuse (void *context, const decide_refusal_t *refusal)
{
  (void)refusal;
  ((member_t *)context)->bench->refused++;
}

static void
on_replay (void *context, uint64_t request, const decide_response_t *response)
{
  (void)context;
  (void)request;
  (void)response;
}

static void
on_store_sync (void *context, uint64_t sync_since)
{
  member_t *member = context;

  member->sync_requested = true;
  member->sync_since = sync_since;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  member_t *member = context;

  member->put_requested = true;
  member->put_operation = operation;
  member->put_expected = expected;
  member->put_record = *record;
}

static void
on_probe (void *context, endpoint_handle_t endpoint,
          const decide_endpoint_t *target)
{
  (void)context;
  (void)endpoint;
  (void)target;
}

static void
complete_store_put (bench_t *bench, member_t *member)
{
  decide_store_result_t result = DECIDE_STORE_CONFLICT;

  if (!member->put_requested)
    return;
  member->put_requested = false;
  if (member->put_expected == bench->record.version)
    {
      result = DECIDE_STORE_OK;
      bench->record = member->put_record;
      bench->record.version = member->put_expected + 1;
      bench->record_revision = ++bench->revision;
    }
  decide_store_put_done (member->node, bench->now, member->put_operation,
                         result, bench->record.version);
}

static void
complete_store_sync (bench_t *bench, member_t *member)
{
  decide_object_t object = { .kind = DECIDE_OBJECT_RECORD,
                             .name = "shared/ownership/g",
                             .version = bench->record.version,
                             .revision = bench->record_revision,
                             .body = "",
                             .u.record = &bench->record };
  int64_t start;

  if (!member->sync_requested)
    return;
  member->sync_requested = false;
  if (bench->record.version > 0 && bench->record_revision > member->sync_since)
    decide_object (member->node, bench->now, UINT64_MAX, &object);
  start = begin_timing (bench);
  decide_handle_store_read_result (member->node, bench->now, bench->now, true,
                                   bench->revision);
  end_timing (bench, &bench->store_sync, start);
}

static void
complete_attempts (bench_t *bench)
{
  static const decide_response_t response = {
    .status = 201, .content_type = "application/json", .length = RESPONSE_BYTES
  };
  const pending_attempt_t *head;

  while ((head = g_queue_peek_head (&bench->pending)) != NULL
         && head->ends_at <= bench->now)
    {
      pending_attempt_t *pending = g_queue_pop_head (&bench->pending);
      decide_attempt_end_t attempt_end = { .result = DECIDE_ATTEMPT_ANSWERED,
                                           .latency_ms = SERVICE_MS,
                                           .status = 200 };
      int64_t start = begin_timing (bench);

      decide_attempt_done (bench->members[pending->member].node, bench->now,
                           pending->request, pending->attempt, &attempt_end,
                           &response);
      end_timing (bench, &bench->attempt_end, start);
      g_free (pending);
    }
}

static void
deliver_messages (bench_t *bench)
{
  const in_transit_t *head;

  while ((head = g_queue_peek_head (&bench->in_transit)) != NULL
         && head->due_at <= bench->now)
    {
      in_transit_t *in_transit = g_queue_pop_head (&bench->in_transit);
      decide_msg_type_t type = in_transit->msg->type;
      int64_t start = begin_timing (bench);

      decide_handle_message (bench->members[in_transit->to].node, bench->now,
                             in_transit->from, in_transit->msg);
      end_timing (bench, &bench->received[type], start);
      peer_msg_free (in_transit->msg);
      g_free (in_transit);
    }
}

static void
tick (bench_t *bench, member_t *member)
{
  int64_t start = begin_timing (bench);

  decide_tick (member->node, bench->now);
  end_timing (bench, &bench->tick, start);
}

static void
advance_1_ms (bench_t *bench)
{
  bench->now++;
  for (uint32_t i = 0; i < bench->member_count; i++)
    {
      complete_store_put (bench, &bench->members[i]);
      complete_store_sync (bench, &bench->members[i]);
    }
  deliver_messages (bench);
  complete_attempts (bench);
  for (uint32_t i = 0; i < bench->member_count; i++)
    tick (bench, &bench->members[i]);
}

/* Stores a service and passes it to all members.  */
static void
put_service (bench_t *bench, uint32_t index, uint64_t version)
{
  decide_endpoint_t endpoints[ENDPOINTS_PER_SERVICE];
  decide_service_t service
      = { .endpoint_count = ENDPOINTS_PER_SERVICE, .endpoints = endpoints };
  char name[2 * DECIDE_NAME_MAX];
  decide_object_t object = { .kind = DECIDE_OBJECT_SERVICE,
                             .name = name,
                             .version = version,
                             .revision = ++bench->revision,
                             .body = "",
                             .u.service = &service };

  memset (endpoints, 0, sizeof endpoints);
  snprintf (service.name, sizeof service.name, "service-%u", index);
  snprintf (service.profile, sizeof service.profile, "default");
  snprintf (name, sizeof name, "shared/service/%s", service.name);
  for (uint32_t j = 0; j < ENDPOINTS_PER_SERVICE; j++)
    {
      snprintf (endpoints[j].name, sizeof endpoints[j].name, "e%u", j);
      snprintf (endpoints[j].data_centre, sizeof endpoints[j].data_centre,
                "d%u",
                bench->member_count < DATA_CENTRES ? 0 : j % DATA_CENTRES);
      snprintf (endpoints[j].address, sizeof endpoints[j].address,
                "127.0.0.1:1");
      endpoints[j].slots = 3;
    }
  for (uint32_t i = 0; i < bench->member_count; i++)
    if (decide_object (bench->members[i].node, bench->now, UINT64_MAX, &object)
        != 0)
      errx (1, "service %u was rejected", index);
}

static void
start_members (bench_t *bench)
{
  decide_instance_t instances[DECIDE_MEMBERS_MAX] = { 0 };
  decide_settings_t settings = { .group = "g",
                                 .instance_count = bench->member_count,
                                 .instances = instances };

  for (uint32_t i = 0; i < bench->member_count; i++)
    {
      snprintf (instances[i].name, sizeof instances[i].name, "m%u", i);
      snprintf (instances[i].data_centre, sizeof instances[i].data_centre,
                "d%u",
                bench->member_count < DATA_CENTRES ? 0 : i % DATA_CENTRES);
    }
  for (uint32_t i = 0; i < bench->member_count; i++)
    {
      member_t *member = &bench->members[i];
      decide_callbacks_t callbacks
          = { member,    on_send,       on_forward,   on_cancel, on_refuse,
              on_replay, on_store_sync, on_store_put, on_probe };

      memcpy (settings.instance, instances[i].name, sizeof settings.instance);
      memcpy (settings.data_centre, instances[i].data_centre,
              sizeof settings.data_centre);
      settings.incarnation = i + 1;
      settings.seed = i + 1;
      member->bench = bench;
      member->id = decide_id (settings.instance);
      member->node = decide_new (&settings, &callbacks, bench->now);
      if (member->node == NULL)
        errx (1, "cannot create a member");
    }
}

static void
add_request (bench_t *bench)
{
  char name[DECIDE_NAME_MAX];
  uint64_t id = ++bench->last_request_id;
  member_t *member = &bench->members[id % bench->member_count];
  decide_request_t request
      = { .id = id, .idempotent = true, .deadline = bench->now + 1000 };
  int64_t start;

  snprintf (name, sizeof name, "service-%u",
            (uint32_t)(id / bench->member_count % bench->service_count));
  request.service = decide_id (name);
  if (id % 100 < bench->keyed_percent)
    {
      request.idempotent = false;
      request.keyed = true;
      request.key = (decide_key_t){ { id * 0x9e3779b97f4a7c15, id }, id };
    }
  start = begin_timing (bench);
  bench->sent_in_call = 0;
  decide_request (member->node, bench->now, &request);
  end_timing (bench,
              bench->sent_in_call == 0 ? &bench->reused_grant
                                       : &bench->asked_owner,
              start);
}

/* Return: time in ns that all members spent in the library since the last call
   of reset_costs().  */
static int64_t
total_time_ns (const bench_t *bench)
{
  int64_t ns = bench->tick.ns + bench->reused_grant.ns + bench->asked_owner.ns
               + bench->attempt_end.ns + bench->store_sync.ns;

  for (int i = 0; i < MSG_TYPES; i++)
    ns += bench->received[i].ns;
  return ns;
}

static void
reset_costs (bench_t *bench)
{
  bench->tick = bench->reused_grant = bench->asked_owner = (event_cost_t){ 0 };
  bench->attempt_end = bench->store_sync = (event_cost_t){ 0 };
  memset (bench->received, 0, sizeof bench->received);
  memset (bench->traffic, 0, sizeof bench->traffic);
  bench->forwarded = bench->refused = 0;
}

static void
print_cost (const char *name, const event_cost_t *cost)
{
  if (cost->count > 0)
    printf ("\"%s\":{\"count\":%" G_GUINT64_FORMAT ",\"us\":%.3f},", name,
            cost->count, (double)cost->ns / 1e3 / (double)cost->count);
}

/* Prints the costs by kind of event and the traffic per member and second.  */
static void
print_phase (const bench_t *bench, const char *name, uint32_t run_ms)
{
  double messages = 0;
  double bytes = 0;

  printf (",\"%s\":{", name);
  print_cost ("tick", &bench->tick);
  print_cost ("request_lent", &bench->reused_grant);
  print_cost ("request_asked", &bench->asked_owner);
  print_cost ("attempt_done", &bench->attempt_end);
  print_cost ("store_read", &bench->store_sync);
  for (int i = 1; i < MSG_TYPES; i++)
    {
      const traffic_t *traffic = &bench->traffic[i];

      print_cost (type_names[i], &bench->received[i]);
      if (traffic->sized == 0)
        continue;
      printf ("\"%s_bytes\":%.0f,", type_names[i],
              (double)traffic->bytes / (double)traffic->sized);
      messages += (double)traffic->sent;
      bytes += (double)traffic->bytes / (double)traffic->sized
               * (double)traffic->sent;
    }
  printf ("\"us_per_s\":%.1f,\"messages_per_s\":%.1f,\"bytes_per_s\":%.0f,"
          "\"forwarded\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
          "}",
          (double)total_time_ns (bench) / run_ms / bench->member_count,
          messages * 1000 / run_ms / bench->member_count,
          bytes * 1000 / run_ms / bench->member_count, bench->forwarded,
          bench->refused);
}

/* Return: mean time in us that one member needs to apply a changed service:
   the call of decide_object(), and the next tick, which updates the pools.  */
static double
measure_change_us (bench_t *bench)
{
  event_cost_t change = { 0 };

  for (uint32_t i = 0; i < SERVICE_CHANGES; i++)
    {
      int64_t start = begin_timing (bench);

      put_service (bench, i * 7 % bench->service_count, i + 2);
      for (uint32_t j = 0; j < bench->member_count; j++)
        decide_tick (bench->members[j].node, bench->now);
      end_timing (bench, &change, start);
      advance_1_ms (bench);
    }
  return (double)change.ns / 1e3 / SERVICE_CHANGES / bench->member_count;
}

static void
count_reachable (void *context, const decide_peer_view_t *view)
{
  *(uint32_t *)context += view->heard;
}

/* Return: mean time in us of a call of decide_each_instance().  */
static double
measure_view_us (bench_t *bench)
{
  uint32_t reachable = 0;
  int64_t start = clock_ns ();

  for (int i = 0; i < VIEW_CALLS; i++)
    decide_each_instance (bench->members[0].node, bench->now, count_reachable,
                          &reachable);
  if (reachable != VIEW_CALLS * bench->member_count)
    errx (1, "not all members are reachable");
  return (double)(clock_ns () - start) / 1e3 / VIEW_CALLS;
}

static uint32_t
parse_argument (char **argv, int argc, int i, uint32_t default_value)
{
  return i < argc ? (uint32_t)strtoul (argv[i], NULL, 10) : default_value;
}

int
main (int argc, char **argv)
{
  bench_t bench = { .now = 1000 };
  uint32_t requests_per_ms;
  uint32_t run_ms;
  size_t memory;
  size_t memory_before;
  uint64_t keyed_count;
  int64_t load_ns;

  if (argc < 4 || argc > 6)
    errx (2, "usage: decide_cost ENDPOINTS REQUESTS-PER-MS MS [MEMBERS "
             "[KEYED-PERCENT]]");
  bench.service_count
      = parse_argument (argv, argc, 1, 0) / ENDPOINTS_PER_SERVICE;
  requests_per_ms = parse_argument (argv, argc, 2, 0);
  run_ms = parse_argument (argv, argc, 3, 0);
  bench.member_count = parse_argument (argv, argc, 4, 1);
  bench.keyed_percent = parse_argument (argv, argc, 5, 0);
  if (bench.service_count == 0)
    bench.service_count = 1;
  if (run_ms == 0 || bench.member_count == 0
      || bench.member_count > DECIDE_MEMBERS_MAX)
    errx (2, "MS and MEMBERS are at least 1, MEMBERS at most %d",
          DECIDE_MEMBERS_MAX);
  memory = mallinfo2 ().uordblks;
  start_members (&bench);
  load_ns = clock_ns ();
  for (uint32_t i = 0; i < bench.service_count; i++)
    put_service (&bench, i, 1);
  load_ns = clock_ns () - load_ns;
  for (int i = 0; i < WARMUP_MS; i++)
    advance_1_ms (&bench);
  memory = (mallinfo2 ().uordblks - memory) / bench.member_count;
  printf ("{\"endpoints\":%u,\"members\":%u,\"bytes\":%zu,"
          "\"load_us\":%.1f,\"view_us\":%.3f",
          bench.service_count * ENDPOINTS_PER_SERVICE, bench.member_count,
          memory, (double)load_ns / 1e3 / bench.member_count,
          measure_view_us (&bench));

  reset_costs (&bench);
  for (uint32_t i = 0; i < run_ms; i++)
    advance_1_ms (&bench);
  print_phase (&bench, "idle", run_ms);

  reset_costs (&bench);
  memory_before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < run_ms && requests_per_ms > 0; i++)
    {
      for (uint32_t j = 0; j < requests_per_ms; j++)
        add_request (&bench);
      advance_1_ms (&bench);
    }
  if (requests_per_ms > 0)
    print_phase (&bench, "busy", run_ms);
  keyed_count = bench.last_request_id * bench.keyed_percent / 100;
  /* During the pause grants expire, so that only the entries of idempotency
     keys add to the memory.  */
  for (int i = 0; i < GRANT_EXPIRY_MS && keyed_count > 0; i++)
    advance_1_ms (&bench);
  if (keyed_count > 0)
    printf (",\"bytes_per_key\":%.0f",
            (double)(mallinfo2 ().uordblks - memory_before)
                / (double)keyed_count);
  printf (",\"requests\":%" G_GUINT64_FORMAT ",\"change_us\":%.1f}\n",
          bench.last_request_id, measure_change_us (&bench));
  for (uint32_t i = 0; i < bench.member_count; i++)
    decide_free (bench.members[i].node);
  while (!g_queue_is_empty (&bench.in_transit))
    {
      in_transit_t *in_transit = g_queue_pop_head (&bench.in_transit);

      peer_msg_free (in_transit->msg);
      g_free (in_transit);
    }
  g_queue_clear_full (&bench.pending, g_free);
  return 0;
}
