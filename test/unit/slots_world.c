#include "slots_world.h"

sim_t sim;

request_t *
sim_request (uint64_t index)
{
  return &g_array_index (sim.requests, request_t, index);
}

attempt_t *
sim_attempt (uint64_t index)
{
  return &g_array_index (sim.attempts, attempt_t, index);
}

clock_ms_t
sim_now_ms (void)
{
  return sim.now / US_PER_MS;
}

double
sim_uniform (void)
{
  /* 53 random bits, divided by 2 to the power of 53: a double represents the
     result exactly.  */
  return (double)(decide_rng_next (&sim.rng) >> 11) / 9007199254740992.0;
}

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const event_t *x = a;
  const event_t *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->sequence < y->sequence ? -1 : 1;
}

void
sim_schedule (us_t at, event_t event)
{
  event_t *entry = g_new (event_t, 1);

  event.at = at;
  event.sequence = sim.sequence++;
  *entry = event;
  g_sequence_insert_sorted (sim.events, entry, compare_events, NULL);
}

event_t
sim_pop_event (void)
{
  GSequenceIter *first = g_sequence_get_begin_iter (sim.events);
  event_t event = *(event_t *)g_sequence_get (first);

  g_sequence_remove (first);
  return event;
}

us_t
sim_delay (uint32_t from, uint32_t to, bool message)
{
  /* The network delay; a message between instances also waits for the sender
     thread.  */
  return (from == to ? 100 : 1500) + (message ? 100 : 0);
}

static void
end_request (uint32_t index, bool answered)
{
  request_t *request = sim_request (index);
  double request_latency_ms
      = (double)(sim.now - request->arrived_at) / US_PER_MS;

  if (request->ended)
    {
      sim.result->ended_twice++;
      return;
    }
  request->ended = true;
  if (sim.now > request->deadline + 2 * US_PER_MS
      && !sim.instances[request->instance].was_paused)
    sim.result->ended_late++;
  if (request->arrived_at < (us_t)sim.options.warm_up_ms * US_PER_MS)
    return;
  if (answered)
    {
      sim.result->answered++;
      g_array_append_val (sim.latencies, request_latency_ms);
    }
  else
    sim.result->refused++;
}

void
sim_refuse (void *context, const decide_refusal_t *refusal)
{
  (void)context;
  if (refusal->ran == DECIDE_RAN_NO && sim_request (refusal->request)->ran > 0)
    sim.result->false_not_run++;
  g_assert_cmpint (refusal->retry_after_ms, >, 0);
  end_request ((uint32_t)refusal->request, false);
}

void
sim_forward (void *context, const router_forward_t *forward)
{
  instance_t *instance = context;
  attempt_t attempt = { .request = (uint32_t)forward->request,
                        .instance = (uint32_t)(instance - sim.instances),
                        .endpoint = (uint32_t)forward->endpoint - 1,
                        .attempt_id = forward->attempt,
                        .start_by = forward->start_by,
                        .deadline = forward->deadline * US_PER_MS };
  const request_t *request = sim_request (forward->request);
  double first_wait_ms = (double)(sim.now - request->arrived_at) / US_PER_MS;

  if (request->attempts == 0
      && request->arrived_at >= (us_t)sim.options.warm_up_ms * US_PER_MS)
    g_array_append_val (sim.wait_times, first_wait_ms);
  g_array_append_val (sim.attempts, attempt);
  sim.result->attempts++;
  sim.result->hedges += forward->hedge;
  if (sim_request (forward->request)->attempts++ > 0 && !forward->hedge)
    sim.retries++;
  sim_schedule (sim.now, (event_t){ .kind = EV_FORWARD,
                                    .target = attempt.instance,
                                    .index = sim.attempts->len - 1 });
}

void
sim_schedule_close (uint64_t index, us_t at)
{
  sim_schedule (at, (event_t){ .kind = EV_CLOSE, .index = index });
}

void
sim_end_attempt (uint64_t index, decide_attempt_result_t result,
                 const decide_load_t *load)
{
  attempt_t *attempt = sim_attempt (index);
  decide_attempt_end_t end
      = { .result = result,
          .status = 200,
          .latency_ms = (sim.now - attempt->sent_at) / US_PER_MS };
  instance_t *instance = &sim.instances[attempt->instance];
  uint32_t request = attempt->request;
  bool is_answered = result == DECIDE_ATTEMPT_ANSWERED;

  if (attempt->done)
    return;
  attempt->done = true;
  if (load != NULL)
    end.load = *load;
  if (instance->router != NULL)
    {
      is_answered = router_attempt_done (instance->router, sim_now_ms (),
                                         attempt->attempt_id, &end);
      if (is_answered)
        end_request (request, true);
      return;
    }
  instance->local[attempt->endpoint]--;
  if (result == DECIDE_ATTEMPT_SHED && sim_request (request)->attempts < 4
      && sim.now < sim_request (request)->deadline
      && budget_withdraw (&instance->budget, sim_now_ms ()))
    sim_schedule (sim.now, (event_t){ .kind = EV_ARRIVE,
                                      .target = attempt->instance,
                                      .detail = 1,
                                      .index = request });
  else
    end_request (request, is_answered);
}

void
sim_cancel (void *context, uint64_t attempt_id)
{
  for (guint i = sim.attempts->len; i-- > 0;)
    if (sim_attempt (i)->attempt_id == attempt_id)
      {
        attempt_t *attempt = sim_attempt (i);
        instance_t *instance = context;

        sim_schedule_close (
            i, sim.now
                   + sim_delay (instance->data_centre,
                                sim.servers[attempt->endpoint].data_centre,
                                false));
        /* A callback must not call the router, so a later event reports the
           end of the attempt, as the daemon's worker does.  */
        sim_schedule (sim.now, (event_t){ .kind = EV_RESULT,
                                          .target = attempt->instance,
                                          .detail = DECIDE_ATTEMPT_CANCELLED,
                                          .index = i });
        return;
      }
}
