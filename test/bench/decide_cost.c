/* CPU time, memory and messages of the decision library: the members of one
   group with their store in virtual time, messages that take 1 ms, and backend
   servers that answer after a fixed time.  Prints one line of JSON; times and
   sizes are per member, and the time spent in this program is left out.  */

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
#define WARM_MS 8000
#define PAUSE_MS 3500 /* longer than any grant */
#define ENDPOINTS_PER_SERVICE 6
#define CENTRES 3
#define TYPES (DECIDE_MSG_KEY_COLLECT_REPLY + 1)
/* Encoding costs more than most events, so sizes come from the first
   messages of each type and from one in 16 of the rest.  */
#define SIZED_FIRST 64
#define SIZED_SHARE 16
#define CHANGES 100
#define ANSWER_BYTES 64
#define VIEWS 1000

typedef struct running
{
  clock_ms_t ends;
  uint64_t request;
  uint64_t attempt;
  uint32_t member;
} running_t;

typedef struct mail
{
  clock_ms_t due;
  uint32_t to;
  decide_id_t from;
  decide_msg_t *msg;
} mail_t;

/* Calls and time of one kind of event.  */
typedef struct role
{
  uint64_t count;
  int64_t ns;
} role_t;

typedef struct traffic
{
  uint64_t sent;
  uint64_t sized;
  uint64_t bytes;
} traffic_t;

typedef struct bench bench_t;

typedef struct member
{
  bench_t *bench;
  decide_t *node;
  decide_id_t id;
  bool sync_asked;
  uint64_t since;
  bool put_asked;
  uint64_t put_operation;
  uint64_t put_expected;
  decide_record_t put;
} member_t;

struct bench
{
  clock_ms_t now;
  uint32_t member_count;
  member_t members[DECIDE_MEMBERS_MAX];
  uint32_t services;
  uint32_t keyed_percent;
  decide_record_t record;
  uint64_t record_revision;
  uint64_t revision;
  GQueue running; /* running_t */
  GQueue mail;    /* mail_t */
  uint64_t next_id;
  uint64_t forwarded;
  uint64_t refused;
  uint64_t sent_in_call;
  int64_t outside_ns; /* spent in callbacks since the event began */
  role_t tick;
  role_t lent;  /* requests that needed no message before the attempt */
  role_t asked; /* requests that asked an owner */
  role_t done;
  role_t synced;
  role_t received[TYPES];
  traffic_t traffic[TYPES];
};

static const char *const type_names[TYPES] = { "",
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
begin (bench_t *bench)
{
  bench->outside_ns = 0;
  return clock_ns ();
}

static void
end (bench_t *bench, role_t *role, int64_t start)
{
  role->ns += clock_ns () - start - bench->outside_ns;
  role->count++;
}

static void
measure_size (traffic_t *traffic, const decide_msg_t *msg)
{
  wire_message wire;

  if (traffic->sent++ >= SIZED_FIRST && traffic->sent % SIZED_SHARE != 0)
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
  /* Objects have no text here, so members read them from the store only.  */
  if (msg->type == DECIDE_MSG_OBJECT_PULL)
    return;
  for (uint32_t i = 0; i < bench->member_count; i++)
    if (bench->members[i].id == instance)
      {
        mail_t *mail = g_new (mail_t, 1);

        measure_size (&bench->traffic[msg->type], msg);
        *mail = (mail_t){ .due = bench->now + 1,
                          .to = i,
                          .from = member->id,
                          .msg = peer_msg_copy_compact (msg) };
        if (mail->msg == NULL)
          errx (1, "message of type %d not valid", msg->type);
        g_queue_push_tail (&bench->mail, mail);
      }
  bench->outside_ns += clock_ns () - start;
}

static void
on_forward (void *context, const decide_forward_t *forward)
{
  member_t *member = context;
  bench_t *bench = member->bench;
  int64_t start = clock_ns ();
  running_t *running = g_new (running_t, 1);

  running->ends = bench->now + SERVICE_MS;
  running->request = forward->request;
  running->attempt = forward->attempt;
  running->member = (uint32_t)(member - bench->members);
  g_queue_push_tail (&bench->running, running);
  bench->forwarded++;
  bench->outside_ns += clock_ns () - start;
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
on_replay (void *context, uint64_t request, const decide_response_t *answer)
{
  (void)context;
  (void)request;
  (void)answer;
}

static void
on_store_sync (void *context, uint64_t since)
{
  member_t *member = context;

  member->sync_asked = true;
  member->since = since;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  member_t *member = context;

  member->put_asked = true;
  member->put_operation = operation;
  member->put_expected = expected;
  member->put = *record;
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
answer_put (bench_t *bench, member_t *member)
{
  decide_store_result_t result = DECIDE_STORE_CONFLICT;

  if (!member->put_asked)
    return;
  member->put_asked = false;
  if (member->put_expected == bench->record.version)
    {
      result = DECIDE_STORE_OK;
      bench->record = member->put;
      bench->record.version = member->put_expected + 1;
      bench->record_revision = ++bench->revision;
    }
  decide_store_put_done (member->node, bench->now, member->put_operation,
                         result, bench->record.version);
}

static void
answer_sync (bench_t *bench, member_t *member)
{
  decide_object_t object = { .kind = DECIDE_OBJECT_RECORD,
                             .name = "shared/ownership/g",
                             .version = bench->record.version,
                             .revision = bench->record_revision,
                             .body = "",
                             .u.record = &bench->record };
  int64_t start;

  if (!member->sync_asked)
    return;
  member->sync_asked = false;
  if (bench->record.version > 0 && bench->record_revision > member->since)
    decide_object (member->node, bench->now, UINT64_MAX, &object);
  start = begin (bench);
  decide_store_synced (member->node, bench->now, bench->now, true,
                       bench->revision);
  end (bench, &bench->synced, start);
}

static void
end_attempts (bench_t *bench)
{
  static const decide_response_t answer = { .status = 201,
                                            .content_type = "application/json",
                                            .length = ANSWER_BYTES };
  const running_t *head;

  while ((head = g_queue_peek_head (&bench->running)) != NULL
         && head->ends <= bench->now)
    {
      running_t *running = g_queue_pop_head (&bench->running);
      decide_attempt_end_t done = { .result = DECIDE_ATTEMPT_ANSWERED,
                                    .latency_ms = SERVICE_MS,
                                    .status = 200 };
      int64_t start = begin (bench);

      decide_attempt_done (bench->members[running->member].node, bench->now,
                           running->request, running->attempt, &done, &answer);
      end (bench, &bench->done, start);
      g_free (running);
    }
}

static void
deliver (bench_t *bench)
{
  const mail_t *head;

  while ((head = g_queue_peek_head (&bench->mail)) != NULL
         && head->due <= bench->now)
    {
      mail_t *mail = g_queue_pop_head (&bench->mail);
      decide_msg_type_t type = mail->msg->type;
      int64_t start = begin (bench);

      decide_handle_message (bench->members[mail->to].node, bench->now,
                             mail->from, mail->msg);
      end (bench, &bench->received[type], start);
      peer_msg_free (mail->msg);
      g_free (mail);
    }
}

static void
tick (bench_t *bench, member_t *member)
{
  int64_t start = begin (bench);

  decide_tick (member->node, bench->now);
  end (bench, &bench->tick, start);
}

static void
step (bench_t *bench)
{
  bench->now++;
  for (uint32_t i = 0; i < bench->member_count; i++)
    {
      answer_put (bench, &bench->members[i]);
      answer_sync (bench, &bench->members[i]);
    }
  deliver (bench);
  end_attempts (bench);
  for (uint32_t i = 0; i < bench->member_count; i++)
    tick (bench, &bench->members[i]);
}

/* Gives all members one service.  */
static void
put_service (bench_t *bench, uint32_t number, uint64_t version)
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
  snprintf (service.name, sizeof service.name, "service-%u", number);
  snprintf (service.profile, sizeof service.profile, "default");
  snprintf (name, sizeof name, "shared/service/%s", service.name);
  for (uint32_t j = 0; j < ENDPOINTS_PER_SERVICE; j++)
    {
      snprintf (endpoints[j].name, sizeof endpoints[j].name, "e%u", j);
      snprintf (endpoints[j].data_centre, sizeof endpoints[j].data_centre,
                "d%u", bench->member_count < CENTRES ? 0 : j % CENTRES);
      snprintf (endpoints[j].address, sizeof endpoints[j].address,
                "127.0.0.1:1");
      endpoints[j].slots = 3;
    }
  for (uint32_t i = 0; i < bench->member_count; i++)
    if (decide_object (bench->members[i].node, bench->now, UINT64_MAX, &object)
        != 0)
      errx (1, "service %u not accepted", number);
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
                "d%u", bench->member_count < CENTRES ? 0 : i % CENTRES);
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
        errx (1, "cannot create the node");
    }
}

static void
add_request (bench_t *bench)
{
  char name[DECIDE_NAME_MAX];
  uint64_t id = ++bench->next_id;
  member_t *member = &bench->members[id % bench->member_count];
  decide_request_t request
      = { .id = id, .idempotent = true, .deadline = bench->now + 1000 };
  int64_t start;

  snprintf (name, sizeof name, "service-%u",
            (uint32_t)(id / bench->member_count % bench->services));
  request.service = decide_id (name);
  if (id % 100 < bench->keyed_percent)
    {
      request.idempotent = false;
      request.keyed = true;
      request.key = (decide_key_t){ { id * 0x9e3779b97f4a7c15, id }, id };
    }
  start = begin (bench);
  bench->sent_in_call = 0;
  decide_request (member->node, bench->now, &request);
  end (bench, bench->sent_in_call == 0 ? &bench->lent : &bench->asked, start);
}

/* Return: CPU time of the members in ns, until the next reset.  */
static int64_t
total_ns (const bench_t *bench)
{
  int64_t ns = bench->tick.ns + bench->lent.ns + bench->asked.ns
               + bench->done.ns + bench->synced.ns;

  for (int i = 0; i < TYPES; i++)
    ns += bench->received[i].ns;
  return ns;
}

static void
reset (bench_t *bench)
{
  bench->tick = bench->lent = bench->asked = (role_t){ 0 };
  bench->done = bench->synced = (role_t){ 0 };
  memset (bench->received, 0, sizeof bench->received);
  memset (bench->traffic, 0, sizeof bench->traffic);
  bench->forwarded = bench->refused = 0;
}

static void
print_role (const char *name, const role_t *role)
{
  if (role->count > 0)
    printf ("\"%s\":{\"count\":%" G_GUINT64_FORMAT ",\"us\":%.3f},", name,
            role->count, (double)role->ns / 1e3 / (double)role->count);
}

/* Prints events by kind, with the traffic per member and second.  */
static void
print_phase (const bench_t *bench, const char *name, uint32_t run_ms)
{
  double messages = 0;
  double bytes = 0;

  printf (",\"%s\":{", name);
  print_role ("tick", &bench->tick);
  print_role ("request_lent", &bench->lent);
  print_role ("request_asked", &bench->asked);
  print_role ("attempt_done", &bench->done);
  print_role ("store_read", &bench->synced);
  for (int i = 1; i < TYPES; i++)
    {
      const traffic_t *traffic = &bench->traffic[i];

      print_role (type_names[i], &bench->received[i]);
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
          (double)total_ns (bench) / run_ms / bench->member_count,
          messages * 1000 / run_ms / bench->member_count,
          bytes * 1000 / run_ms / bench->member_count, bench->forwarded,
          bench->refused);
}

/* Cost of a changed service at one member: the object, and the tick that
   applies it to the pools.  */
static double
change_us (bench_t *bench)
{
  role_t change = { 0 };

  for (uint32_t i = 0; i < CHANGES; i++)
    {
      int64_t start = begin (bench);

      put_service (bench, i * 7 % bench->services, i + 2);
      for (uint32_t j = 0; j < bench->member_count; j++)
        decide_tick (bench->members[j].node, bench->now);
      end (bench, &change, start);
      step (bench);
    }
  return (double)change.ns / 1e3 / CHANGES / bench->member_count;
}

static void
visit_instance (void *context, const decide_peer_view_t *view)
{
  *(uint32_t *)context += view->heard;
}

static double
view_us (bench_t *bench)
{
  uint32_t heard = 0;
  int64_t start = clock_ns ();

  for (int i = 0; i < VIEWS; i++)
    decide_each_instance (bench->members[0].node, bench->now, visit_instance,
                          &heard);
  if (heard != VIEWS * bench->member_count)
    errx (1, "not all members are heard");
  return (double)(clock_ns () - start) / 1e3 / VIEWS;
}

static uint32_t
number (char **argv, int argc, int i, uint32_t otherwise)
{
  return i < argc ? (uint32_t)strtoul (argv[i], NULL, 10) : otherwise;
}

int
main (int argc, char **argv)
{
  bench_t bench = { .now = 1000 };
  uint32_t per_ms;
  uint32_t run_ms;
  size_t memory;
  size_t before;
  uint64_t keyed;
  int64_t load_ns;

  if (argc < 4 || argc > 6)
    errx (2, "usage: decide_cost ENDPOINTS REQUESTS-PER-MS MS [MEMBERS "
             "[KEYED-PERCENT]]");
  bench.services = number (argv, argc, 1, 0) / ENDPOINTS_PER_SERVICE;
  per_ms = number (argv, argc, 2, 0);
  run_ms = number (argv, argc, 3, 0);
  bench.member_count = number (argv, argc, 4, 1);
  bench.keyed_percent = number (argv, argc, 5, 0);
  if (bench.services == 0)
    bench.services = 1;
  if (run_ms == 0 || bench.member_count == 0
      || bench.member_count > DECIDE_MEMBERS_MAX)
    errx (2, "MS and MEMBERS are at least 1, MEMBERS at most %d",
          DECIDE_MEMBERS_MAX);
  memory = mallinfo2 ().uordblks;
  start_members (&bench);
  load_ns = clock_ns ();
  for (uint32_t i = 0; i < bench.services; i++)
    put_service (&bench, i, 1);
  load_ns = clock_ns () - load_ns;
  for (int i = 0; i < WARM_MS; i++)
    step (&bench);
  memory = (mallinfo2 ().uordblks - memory) / bench.member_count;
  printf ("{\"endpoints\":%u,\"members\":%u,\"bytes\":%zu,"
          "\"load_us\":%.1f,\"view_us\":%.3f",
          bench.services * ENDPOINTS_PER_SERVICE, bench.member_count, memory,
          (double)load_ns / 1e3 / bench.member_count, view_us (&bench));

  reset (&bench);
  for (uint32_t i = 0; i < run_ms; i++)
    step (&bench);
  print_phase (&bench, "idle", run_ms);

  reset (&bench);
  before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < run_ms && per_ms > 0; i++)
    {
      for (uint32_t j = 0; j < per_ms; j++)
        add_request (&bench);
      step (&bench);
    }
  if (per_ms > 0)
    print_phase (&bench, "busy", run_ms);
  keyed = bench.next_id * bench.keyed_percent / 100;
  /* After a pause, so that only entries of keys are left.  */
  for (int i = 0; i < PAUSE_MS && keyed > 0; i++)
    step (&bench);
  if (keyed > 0)
    printf (",\"bytes_per_key\":%.0f",
            (double)(mallinfo2 ().uordblks - before) / (double)keyed);
  printf (",\"requests\":%" G_GUINT64_FORMAT ",\"change_us\":%.1f}\n",
          bench.next_id, change_us (&bench));
  for (uint32_t i = 0; i < bench.member_count; i++)
    decide_free (bench.members[i].node);
  while (!g_queue_is_empty (&bench.mail))
    {
      mail_t *mail = g_queue_pop_head (&bench.mail);

      peer_msg_free (mail->msg);
      g_free (mail);
    }
  g_queue_clear_full (&bench.running, g_free);
  return 0;
}
