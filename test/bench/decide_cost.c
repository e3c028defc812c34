/* CPU time, memory and messages of the decision library for a number of
   endpoints: one instance that owns everything, in virtual time, with backend
   servers that answer after a fixed time.  Prints one line of JSON.  */

#include <err.h>
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "decide.h"

#define SERVICE_MS 5
#define WARM_MS 4000
#define ENDPOINTS_PER_SERVICE 6

typedef struct running
{
  clock_ms_t ends;
  uint64_t request;
  uint64_t attempt;
} running_t;

typedef struct bench
{
  decide_t *node;
  clock_ms_t now;
  bool sync_asked;
  bool put_asked;
  uint64_t put_operation;
  decide_record_t record;
  uint64_t revision;
  GQueue running; /* running_t */
  uint64_t forwarded;
  uint64_t refused;
} bench_t;

static void
on_send (void *context, decide_id_t instance, const decide_msg_t *msg)
{
  (void)context;
  (void)instance;
  (void)msg;
}

static void
on_forward (void *context, const decide_forward_t *forward)
{
  bench_t *bench = context;
  running_t *running = g_new (running_t, 1);

  running->ends = bench->now + SERVICE_MS;
  running->request = forward->request;
  running->attempt = forward->attempt;
  g_queue_push_tail (&bench->running, running);
  bench->forwarded++;
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
  ((bench_t *)context)->refused++;
}

static void
on_replay (void *context, uint64_t request, const decide_answer_t *answer)
{
  (void)context;
  (void)request;
  (void)answer;
}

static void
on_store_sync (void *context, uint64_t since)
{
  (void)since;
  ((bench_t *)context)->sync_asked = true;
}

static void
on_store_put (void *context, uint64_t operation, uint64_t expected,
              const decide_record_t *record)
{
  bench_t *bench = context;

  (void)expected;
  bench->put_asked = true;
  bench->put_operation = operation;
  bench->record = *record;
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
answer_store (bench_t *bench)
{
  if (bench->put_asked)
    {
      bench->put_asked = false;
      bench->record.version++;
      bench->revision++;
      decide_store_put_done (bench->node, bench->now, bench->put_operation,
                             DECIDE_STORE_OK, bench->record.version);
    }
  if (!bench->sync_asked)
    return;
  bench->sync_asked = false;
  if (bench->record.version > 0)
    {
      decide_object_t object = { .kind = DECIDE_OBJECT_RECORD,
                                 .name = "shared/ownership/g",
                                 .version = bench->record.version,
                                 .revision = bench->revision,
                                 .body = "",
                                 .u.record = &bench->record };

      decide_object (bench->node, bench->now, UINT64_MAX, &object);
    }
  decide_store_synced (bench->node, bench->now, bench->now, true,
                       bench->revision);
}

static void
end_attempts (bench_t *bench)
{
  const running_t *head;

  while ((head = g_queue_peek_head (&bench->running)) != NULL
         && head->ends <= bench->now)
    {
      running_t *running = g_queue_pop_head (&bench->running);
      decide_attempt_end_t end = { .result = DECIDE_ATTEMPT_ANSWERED,
                                   .latency_ms = SERVICE_MS,
                                   .status = 200 };

      decide_attempt_done (bench->node, bench->now, running->request,
                           running->attempt, &end, NULL);
      g_free (running);
    }
}

static void
step (bench_t *bench)
{
  bench->now++;
  answer_store (bench);
  end_attempts (bench);
  decide_tick (bench->node, bench->now);
}

static void
add_services (bench_t *bench, uint32_t services)
{
  for (uint32_t i = 0; i < services; i++)
    {
      decide_endpoint_t endpoints[ENDPOINTS_PER_SERVICE];
      decide_service_t service = { .endpoint_count = ENDPOINTS_PER_SERVICE,
                                   .endpoints = endpoints };
      char name[2 * DECIDE_NAME_MAX];
      decide_object_t object = { .kind = DECIDE_OBJECT_SERVICE,
                                 .name = name,
                                 .version = 1,
                                 .revision = ++bench->revision,
                                 .body = "",
                                 .u.service = &service };

      memset (endpoints, 0, sizeof endpoints);
      snprintf (service.name, sizeof service.name, "service-%u", i);
      snprintf (service.profile, sizeof service.profile, "default");
      snprintf (name, sizeof name, "shared/service/%s", service.name);
      for (uint32_t j = 0; j < ENDPOINTS_PER_SERVICE; j++)
        {
          snprintf (endpoints[j].name, sizeof endpoints[j].name, "e%u", j);
          snprintf (endpoints[j].data_centre, sizeof endpoints[j].data_centre,
                    "d0");
          snprintf (endpoints[j].address, sizeof endpoints[j].address,
                    "127.0.0.1:1");
          endpoints[j].slots = 3;
        }
      if (decide_object (bench->node, bench->now, UINT64_MAX, &object) != 0)
        errx (1, "service %u not accepted", i);
    }
}

static int64_t
cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int
main (int argc, char **argv)
{
  decide_instance_t instance = { "a", "d0" };
  decide_settings_t settings = { .instance = "a",
                                 .data_centre = "d0",
                                 .group = "g",
                                 .incarnation = 1,
                                 .seed = 1,
                                 .instance_count = 1,
                                 .instances = &instance };
  bench_t bench = { .now = 1000 };
  decide_callbacks_t callbacks
      = { &bench,    on_send,       on_forward,   on_cancel, on_refuse,
          on_replay, on_store_sync, on_store_put, on_probe };
  uint32_t services;
  uint32_t per_ms;
  uint32_t run_ms;
  uint64_t id = 0;
  int64_t idle_us;
  int64_t busy_us;
  size_t memory;

  if (argc != 4)
    errx (2, "usage: decide_cost ENDPOINTS REQUESTS-PER-MS MS");
  services = (uint32_t)strtoul (argv[1], NULL, 10) / ENDPOINTS_PER_SERVICE;
  per_ms = (uint32_t)strtoul (argv[2], NULL, 10);
  run_ms = (uint32_t)strtoul (argv[3], NULL, 10);
  if (services == 0)
    services = 1;
  bench.node = decide_new (&settings, &callbacks, bench.now);
  if (bench.node == NULL)
    errx (1, "cannot create the node");
  add_services (&bench, services);
  for (int i = 0; i < WARM_MS; i++)
    step (&bench);
  memory = mallinfo2 ().uordblks;

  idle_us = cpu_us ();
  for (uint32_t i = 0; i < run_ms; i++)
    step (&bench);
  idle_us = cpu_us () - idle_us;

  bench.forwarded = 0;
  bench.refused = 0;
  busy_us = cpu_us ();
  for (uint32_t i = 0; i < run_ms; i++)
    {
      for (uint32_t j = 0; j < per_ms; j++)
        {
          char name[DECIDE_NAME_MAX];
          decide_request_t request = { .id = ++id,
                                       .idempotent = true,
                                       .deadline = bench.now + 1000 };

          snprintf (name, sizeof name, "service-%u", (uint32_t)id % services);
          request.service = decide_id (name);
          decide_request (bench.node, bench.now, &request);
        }
      step (&bench);
    }
  busy_us = cpu_us () - busy_us;
  printf ("{\"endpoints\":%u,\"requests\":%" G_GUINT64_FORMAT
          ",\"forwarded\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
          ",\"idle_us_per_s\":%.1f,\"us_per_request\":%.3f,\"bytes\":%zu}\n",
          services * ENDPOINTS_PER_SERVICE, id, bench.forwarded, bench.refused,
          (double)idle_us * 1000 / run_ms,
          id == 0 ? 0.0 : (double)(busy_us - idle_us) / (double)id, memory);
  decide_free (bench.node);
  g_queue_clear_full (&bench.running, g_free);
  return 0;
}
