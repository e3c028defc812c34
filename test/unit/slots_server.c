#include "slots_world.h"

#include <math.h>

decide_load_t
sim_server_load (const server_t *server)
{
  return (decide_load_t){ .present = true,
                          .in_flight = server->running,
                          .queued = server->waiting.length,
                          .slots = server->slots,
                          .cold = server->cold_responses_left > 0,
                          .draining = server->draining,
                          .identity = server->identity };
}

/* Returns a random run time for an attempt that the server starts now.  The
   part of the work that falls into the server's noise takes NOISE_FACTOR times
   as long.  */
static us_t
draw_run_time (server_t *server)
{
  double half_mean_us = sim.options.service_ms * US_PER_MS / 2.0;
  double work_us = half_mean_us - half_mean_us * log (1 - sim_uniform ());
  us_t start = sim.now;
  double noise_left_us;

  if (server->cold_responses_left > 0)
    work_us *= COLD_FACTOR;
  if (start >= server->noisy_until || start + work_us <= server->noisy_from)
    return (us_t)work_us;
  if (start < server->noisy_from)
    {
      work_us -= (double)(server->noisy_from - start);
      start = server->noisy_from;
    }
  noise_left_us = (double)(server->noisy_until - start);
  if (work_us * NOISE_FACTOR > noise_left_us)
    work_us = noise_left_us + (work_us - noise_left_us / NOISE_FACTOR);
  else
    work_us *= NOISE_FACTOR;
  return start - sim.now + (us_t)work_us;
}

static void
run_waiting_attempts (server_t *server)
{
  uint32_t workers = server->cold_responses_left > 0 ? 1 : server->slots;

  while (server->running < workers && server->waiting.length > 0)
    {
      uint64_t index
          = GPOINTER_TO_SIZE (g_queue_pop_head (&server->waiting)) - 1;
      attempt_t *attempt = sim_attempt (index);
      request_t *request = sim_request (attempt->request);

      attempt->running = true;
      server->running++;
      if (request->ran++ > 0 && request->non_idempotent)
        sim.result->ran_twice++;
      sim_schedule (sim.now + draw_run_time (server),
                    (event_t){ .kind = EV_FINISH,
                               .target = attempt->endpoint,
                               .index = index });
    }
}

static void
send_result (uint64_t index, decide_attempt_result_t result)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];
  decide_load_t load = sim_server_load (server);

  sim_schedule (sim.now
                    + sim_delay (server->data_centre,
                                 sim.instances[attempt->instance].data_centre,
                                 false),
                (event_t){ .kind = EV_RESULT,
                           .target = attempt->instance,
                           .detail = result,
                           .index = index,
                           .release.end.load = load });
}

void
sim_arrive_at_server (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];
  uint32_t requests_at_server = server->running + server->waiting.length + 1;

  if (attempt->left_server)
    return;
  if (server->draining || requests_at_server > server->slots + SERVER_QUEUE)
    {
      if (server->draining && server->first_shed_at == 0)
        server->first_shed_at = sim.now;
      if (server->draining
          && sim.now > server->first_shed_at + 100 * US_PER_MS)
        sim.result->sent_to_drained++;
      attempt->left_server = true;
      sim.result->shed++;
      send_result (index, DECIDE_ATTEMPT_SHED);
      return;
    }
  if (requests_at_server > server->slots
      && requests_at_server - server->slots > sim.result->over_slots)
    sim.result->over_slots = requests_at_server - server->slots;
  if (server->cold_responses_left > 0
      && requests_at_server - 1 > sim.result->over_cold)
    sim.result->over_cold = requests_at_server - 1;
  attempt->at_server = true;
  g_queue_push_tail (&server->waiting, GSIZE_TO_POINTER (index + 1));
  run_waiting_attempts (server);
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
  run_waiting_attempts (server);
}

void
sim_finish_run (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];

  if (attempt->left_server)
    return;
  if (server->cold_responses_left > 0)
    server->cold_responses_left--;
  sim_leave_server (index);
  send_result (index, DECIDE_ATTEMPT_ANSWERED);
}

/* Ends the server process: its requests are reset, and the next process is
   cold.  */
void
sim_restart_server (uint32_t endpoint)
{
  server_t *server = &sim.servers[endpoint];

  for (guint i = 0; i < sim.attempts->len; i++)
    if (sim_attempt (i)->endpoint == endpoint && sim_attempt (i)->at_server
        && !sim_attempt (i)->left_server)
      {
        sim_attempt (i)->left_server = true;
        send_result (i, DECIDE_ATTEMPT_RESET);
      }
  server->running = 0;
  g_queue_clear (&server->waiting);
  server->cold_responses_left = COLD_RESPONSES;
  server->identity++;
  server->draining = false;
}

void
sim_send_attempt (uint64_t index)
{
  attempt_t *attempt = sim_attempt (index);
  server_t *server = &sim.servers[attempt->endpoint];
  us_t delay = sim_delay (sim.instances[attempt->instance].data_centre,
                          server->data_centre, false);

  if (attempt->done)
    return;
  attempt->sent_at = sim.now;
  if (sim_now_ms () > attempt->start_by)
    {
      sim_end_attempt (index, DECIDE_ATTEMPT_UNUSED, NULL);
      return;
    }
  /* If the instance was paused between the router's decision and now, only
     start_by limits the time since the decision.  */
  if (sim.out[server->data_centre]
      && sim.now > sim.out_changed_at
                       + (sim.instances[attempt->instance].was_paused
                              ? 3000 * US_PER_MS
                              : US_PER_MS))
    sim.result->sent_to_out++;
  sim_schedule (sim.now + delay,
                (event_t){ .kind = EV_AT_SERVER, .index = index });
  sim_schedule_close (index, attempt->deadline + delay);
  sim_schedule (attempt->deadline, (event_t){ .kind = EV_TIMEOUT,
                                              .target = attempt->instance,
                                              .index = index });
}
