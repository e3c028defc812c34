#include "slots_world.h"

#include <math.h>

decide_load_t
sim_load (const server_t *server)
{
  return (decide_load_t){ .present = true,
                          .in_flight = server->running,
                          .queued = server->waiting.length,
                          .slots = server->slots,
                          .cold = server->cold_left > 0,
                          .draining = server->draining,
                          .identity = server->identity };
}

static us_t
run_time (server_t *server)
{
  double half = sim.options.service_ms * US / 2.0;
  double work = half - half * log (1 - sim_uniform ());
  us_t at = sim.now;
  double slow;

  if (server->cold_left > 0)
    work *= COLD_FACTOR;
  if (at >= server->noisy_until || at + work <= server->noisy_from)
    return (us_t)work;
  if (at < server->noisy_from)
    {
      work -= (double)(server->noisy_from - at);
      at = server->noisy_from;
    }
  slow = (double)(server->noisy_until - at);
  if (work * NOISE_FACTOR > slow)
    work = slow + (work - slow / NOISE_FACTOR);
  else
    work *= NOISE_FACTOR;
  return at - sim.now + (us_t)work;
}

static void
serve (server_t *server)
{
  uint32_t workers = server->cold_left > 0 ? 1 : server->slots;

  while (server->running < workers && server->waiting.length > 0)
    {
      uint64_t index
          = GPOINTER_TO_SIZE (g_queue_pop_head (&server->waiting)) - 1;
      attempt_t *attempt = sim_attempt (index);
      request_t *request = sim_request (attempt->request);

      attempt->running = true;
      server->running++;
      if (request->ran++ > 0 && request->once)
        sim.result->ran_twice++;
      sim_put (
          sim.now + run_time (server),
          (event_t){ .kind = EV_FINISH, .a = attempt->endpoint, .c = index });
    }
}

static void
answer_from (uint64_t index, decide_attempt_result_t result)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];
  decide_load_t load = sim_load (server);

  sim_put (sim.now
               + sim_delay (server->centre,
                            sim.instances[attempt->instance].centre, false),
           (event_t){ .kind = EV_DONE,
                      .a = attempt->instance,
                      .b = result,
                      .c = index,
                      .release.end.load = load });
}

void
sim_at_server (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];
  uint32_t load = server->running + server->waiting.length + 1;

  if (attempt->left_server)
    return;
  if (server->draining || load > server->slots + SERVER_QUEUE)
    {
      if (server->draining && server->drained_at == 0)
        server->drained_at = sim.now;
      if (server->draining && sim.now > server->drained_at + 100 * US)
        sim.result->sent_to_drained++;
      attempt->left_server = true;
      sim.result->shed++;
      answer_from (index, DECIDE_ATTEMPT_SHED);
      return;
    }
  if (load > server->slots && load - server->slots > sim.result->over_slots)
    sim.result->over_slots = load - server->slots;
  if (server->cold_left > 0 && load - 1 > sim.result->over_cold)
    sim.result->over_cold = load - 1;
  attempt->at_server = true;
  g_queue_push_tail (&server->waiting, GSIZE_TO_POINTER (index + 1));
  serve (server);
}

void
sim_leave_server (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];

  if (attempt->left_server)
    return;
  attempt->left_server = true;
  if (!attempt->at_server)
    return;
  if (attempt->running)
    server->running--;
  else
    g_queue_remove (&server->waiting, GSIZE_TO_POINTER (index + 1));
  serve (server);
}

void
sim_finish (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];

  if (attempt->left_server)
    return;
  if (server->cold_left > 0)
    server->cold_left--;
  sim_leave_server (index);
  answer_from (index, DECIDE_ATTEMPT_ANSWERED);
}

/* The process ends: its requests are reset, the next one is cold.  */
void
sim_restart_server (uint32_t endpoint)
{
  server_t *server = &sim.servers[endpoint];

  for (guint i = 0; i < sim.attempts->len; i++)
    if (sim_attempt (i)->endpoint == endpoint && sim_attempt (i)->at_server
        && !sim_attempt (i)->left_server)
      {
        sim_attempt (i)->left_server = true;
        answer_from (i, DECIDE_ATTEMPT_RESET);
      }
  server->running = 0;
  g_queue_clear (&server->waiting);
  server->cold_left = COLD_ANSWERS;
  server->identity++;
  server->draining = false;
}

void
sim_forward_now (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];
  us_t there = sim_delay (sim.instances[attempt->instance].centre,
                          server->centre, false);

  if (attempt->done)
    return;
  attempt->sent = sim.now;
  if (sim_now_ms () > attempt->start_by)
    {
      sim_attempt_over (index, DECIDE_ATTEMPT_UNUSED, NULL);
      return;
    }
  /* A pause between the decision and the sending is bounded by start_by.  */
  if (sim.out[server->centre]
      && sim.now > sim.out_since
                       + (sim.instances[attempt->instance].was_paused
                              ? 3000 * US
                              : US))
    sim.result->sent_to_out++;
  sim_put (sim.now + there, (event_t){ .kind = EV_AT_SERVER, .c = index });
  sim_cut (index, attempt->deadline + there);
  sim_put (
      attempt->deadline,
      (event_t){ .kind = EV_TIMEOUT, .a = attempt->instance, .c = index });
}
