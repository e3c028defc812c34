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
  return sim.now / US;
}

double
sim_uniform (void)
{
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
sim_put (us_t at, event_t event)
{
  event_t *entry = g_new (event_t, 1);

  event.at = at;
  event.sequence = sim.sequence++;
  *entry = event;
  g_sequence_insert_sorted (sim.events, entry, compare_events, NULL);
}

event_t
sim_take (void)
{
  GSequenceIter *first = g_sequence_get_begin_iter (sim.events);
  event_t event = *(event_t *)g_sequence_get (first);

  g_sequence_remove (first);
  return event;
}

us_t
sim_delay (uint32_t from, uint32_t to, bool message)
{
  /* Messages wait for the sender thread; the rest is the network.  */
  return (from == to ? 100 : 1500) + (message ? 100 : 0);
}

static void
end_request (uint32_t index, bool answered)
{
  request_t *request = sim_request (index);
  double latency = (double)(sim.now - request->arrived) / US;

  if (request->ended)
    {
      sim.result->ended_twice++;
      return;
    }
  request->ended = true;
  if (sim.now > request->deadline + 2 * US
      && !sim.instances[request->instance].was_paused)
    sim.result->ended_late++;
  if (request->arrived < (us_t)sim.options.warm_up_ms * US)
    return;
  if (answered)
    {
      sim.result->answered++;
      g_array_append_val (sim.latencies, latency);
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
                        .number = forward->attempt,
                        .start_by = forward->start_by,
                        .deadline = forward->deadline * US };
  const request_t *request = sim_request (forward->request);
  double wait = (double)(sim.now - request->arrived) / US;

  if (request->attempts == 0
      && request->arrived >= (us_t)sim.options.warm_up_ms * US)
    g_array_append_val (sim.waits, wait);
  g_array_append_val (sim.attempts, attempt);
  sim.result->attempts++;
  sim.result->hedges += forward->hedge;
  if (sim_request (forward->request)->attempts++ > 0 && !forward->hedge)
    sim.retries++;
  sim_put (sim.now, (event_t){ .kind = EV_FORWARD,
                               .a = attempt.instance,
                               .c = sim.attempts->len - 1 });
}

void
sim_cut (uint64_t index, us_t at)
{
  sim_put (at, (event_t){ .kind = EV_CUT, .c = index });
}

void
sim_attempt_over (uint64_t index, decide_attempt_result_t result,
                  const decide_load_t *load)
{
  attempt_t *attempt = sim_attempt (index);
  decide_attempt_end_t end = { .result = result,
                               .status = 200,
                               .latency_ms = (sim.now - attempt->sent) / US };
  instance_t *instance = &sim.instances[attempt->instance];
  uint32_t request = attempt->request;
  bool answer = result == DECIDE_ATTEMPT_ANSWERED;

  if (attempt->done)
    return;
  attempt->done = true;
  if (load != NULL)
    end.load = *load;
  if (instance->router != NULL)
    {
      answer = router_attempt_done (instance->router, sim_now_ms (),
                                    attempt->number, &end);
      if (answer)
        end_request (request, true);
      return;
    }
  instance->local[attempt->endpoint]--;
  if (result == DECIDE_ATTEMPT_SHED && sim_request (request)->attempts < 4
      && sim.now < sim_request (request)->deadline
      && budget_withdraw (&instance->budget, sim_now_ms ()))
    sim_put (sim.now, (event_t){ .kind = EV_ARRIVE,
                                 .a = attempt->instance,
                                 .b = 1,
                                 .c = request });
  else
    end_request (request, answer);
}

void
sim_cancel (void *context, uint64_t number)
{
  for (guint i = sim.attempts->len; i-- > 0;)
    if (sim_attempt (i)->number == number)
      {
        attempt_t *attempt = sim_attempt (i);
        instance_t *instance = context;

        sim_cut (i, sim.now
                        + sim_delay (instance->centre,
                                     sim.servers[attempt->endpoint].centre,
                                     false));
        /* Reported after the call, as the daemon's worker does.  */
        sim_put (sim.now, (event_t){ .kind = EV_DONE,
                                     .a = attempt->instance,
                                     .b = DECIDE_ATTEMPT_CANCELLED,
                                     .c = i });
        return;
      }
}
