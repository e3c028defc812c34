/* Rounds of probes.  In a round, a few endpoints are probed at the same time.
   When the round is finished, waiting requests, or a hedged attempt of one
   request, are sent to endpoints that responded.  */

#include "proxy_private.h"

#include <errno.h>
#include <string.h>

/* Longest time that a round waits for the results of its probes.  After that
   time, the round is finished with the responses received so far.  */
#define ROUND_TIMEOUT_MS 40
/* Smallest number of endpoints in other data centres that are probed in the
   first round for an attempt.  */
#define REMOTE_PROBES_FIRST 1
/* Smallest number of endpoints in other data centres that are probed in a
   further round or in a round for a hedged attempt.  */
#define REMOTE_PROBES_LATER 3
/* Number of rounds without an endpoint for a waiting request after which any
   endpoint of the service may be probed, not only this instance's subset.  */
#define SKIP_SUBSETTING_FROM_ROUND 3

static void start_probes (proxy_t *proxy, const choose_criteria_t *criteria,
                          probe_round_t *round);
static void on_round_timeout (struct ev_loop *loop, ev_timer *watcher,
                              int events);
static void on_next_round (struct ev_loop *loop, ev_timer *watcher,
                           int events);
static bool can_finish_early (const probe_round_t *round,
                              const uplink_t *uplink);
static void finish_round (probe_round_t *round);
static void free_round (probe_round_t *round);
static void release_held_uplinks (probe_round_t *round,
                                  const uplink_t *except);
static uplink_t *find_best_uplink (const probe_round_t *round,
                                   const request_t *request,
                                   double *expected_response_ms);
static void try_send_hedge (probe_round_t *round, request_t *request);
static GArray *assign_waiting (proxy_t *proxy, service_index_t service,
                               uplink_t *const *uplinks, int count);
static char *describe_withheld (const service_state_t *state);
static void refuse_marked_requests (service_state_t *state);
static void schedule_next_round (service_state_t *state);

void
probe_round_init_timer (service_state_t *state)
{
  ev_init (&state->round_timer, on_next_round);
  state->round_timer.data = state;
}

void
probe_round_stop_timer (service_state_t *state)
{
  ev_timer_stop (state->proxy->loop, &state->round_timer);
}

void
probe_round_start (request_t *request)
{
  proxy_t *proxy = request->proxy;
  choose_criteria_t criteria
      = { .service = request->pool,
          .excluded = request->tried,
          .n_excluded = request->n_tried,
          .count = proxy->settings.probes_per_round,
          .remote = request->bulk ? 0 : REMOTE_PROBES_FIRST };
  probe_round_t *round = g_new0 (probe_round_t, 1);

  permits_ask (service_state_get (proxy, request->pool), true);
  start_probes (proxy, &criteria, round);
}

void
probe_round_start_hedge (request_t *request)
{
  proxy_t *proxy = request->proxy;
  choose_criteria_t criteria
      = { .service = request->service,
          .excluded = request->tried,
          .n_excluded = request->n_tried,
          .count = proxy->settings.probes_per_round,
          .remote = request->bulk ? 0 : REMOTE_PROBES_LATER };
  probe_round_t *round = g_new0 (probe_round_t, 1);

  round->hedged_request = request;
  request->hedge_round = round;
  start_probes (proxy, &criteria, round);
}

/* Starts a further round of probes for the requests of a service that are
   still waiting.  */
static void
on_next_round (struct ev_loop *loop, ev_timer *watcher, int events)
{
  service_state_t *state = watcher->data;
  choose_criteria_t criteria
      = { .service = state->service,
          .count = state->proxy->settings.probes_per_round,
          .remote = REMOTE_PROBES_LATER };
  probe_round_t *round;

  (void)loop;
  (void)events;
  if (state->waiting.length == 0 || state->followup_round_active)
    return;
  for (GList *link = state->waiting.head; link != NULL; link = link->next)
    criteria.skip_subsetting
        |= ((request_t *)link->data)->rounds >= SKIP_SUBSETTING_FROM_ROUND;
  round = g_new0 (probe_round_t, 1);
  round->is_followup = true;
  state->followup_round_active = true;
  start_probes (state->proxy, &criteria, round);
}

/* Starts a round of probes: chooses endpoints by @criteria and probes them;
   the probe rate may allow fewer than @criteria asks for.  The round may be
   finished, and freed, before the function returns.  */
static void
start_probes (proxy_t *proxy, const choose_criteria_t *criteria,
              probe_round_t *round)
{
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  choose_criteria_t allowed = *criteria;
  service_state_t *state = service_state_get (proxy, criteria->service);
  int n_chosen;

  allowed.count
      = probing_take_tokens (&proxy->probing, probe_compute_rate (proxy),
                             criteria->count, clock_now ());
  if (allowed.count < criteria->count)
    telemetry_counter_add (TELEMETRY_PROBES_WITHHELD, 0,
                           (uint64_t)(criteria->count - allowed.count));
  memset (state->withheld, 0, sizeof state->withheld);
  allowed.withheld = state->withheld;
  n_chosen = choose_candidates (proxy->backends, &allowed, &proxy->rng,
                                clock_now (), chosen);
  for (unsigned int i = 1; i < CHOOSE_OBSTACLE_COUNT; i++)
    if (state->withheld[i] > 0)
      telemetry_counter_add (TELEMETRY_WITHHELD, i - 1, state->withheld[i]);
  round->proxy = proxy;
  round->service = criteria->service;
  ev_timer_init (&round->timer, on_round_timeout, ROUND_TIMEOUT_MS / 1000.0,
                 0);
  round->timer.data = round;
  ev_timer_start (proxy->loop, &round->timer);
  /* The count starts at 1, so that failures cannot finish the round while
     probes are still being started.  The call of probe_round_add_failure()
     below subtracts the 1 again.  */
  round->pending_probes = 1;
  for (int i = 0; i < n_chosen; i++)
    {
      backend_t *backend = backends_get (proxy->backends, chosen[i]);
      int error = 0;
      uplink_t *uplink
          = backend != NULL ? uplink_acquire (proxy, backend, &error) : NULL;

      if (uplink == NULL)
        {
          if (error != 0 && error != -EBUSY)
            g_warning ("cannot connect to %s: %s", backend->entry.id,
                       g_strerror (-error));
          continue;
        }
      round->pending_probes++;
      probe_start (uplink, round);
    }
  probe_round_add_failure (round);
}

void
probe_round_add_failure (probe_round_t *round)
{
  round->pending_probes--;
  if (round->pending_probes == 0)
    finish_round (round);
}

/* Whether the round of probes can be finished without more responses, because
   only one request waits and the endpoint of @uplink is good enough for that
   request.  */
static bool
can_finish_early (const probe_round_t *round, const uplink_t *uplink)
{
  proxy_t *proxy = round->proxy;
  const service_state_t *state = service_state_get (proxy, round->service);
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  const request_t *request;

  if (round->hedged_request != NULL || backend == NULL
      || state->waiting.length != 1)
    return false;
  request = state->waiting.head->data;
  return choose_is_good_enough (proxy->backends, backend,
                                request->admission.service_time_ms,
                                request->bulk, clock_now ());
}

void
probe_round_add_success (probe_round_t *round, uplink_t *uplink)
{
  round->held[round->n_held++] = uplink;
  round->pending_probes--;
  if (round->pending_probes == 0 || can_finish_early (round, uplink))
    finish_round (round);
}

void
probe_round_cancel_hedge (request_t *request)
{
  if (request->hedge_round == NULL)
    return;
  request->hedge_round->hedged_request = NULL;
  request->hedge_round = NULL;
}

static void
on_round_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  finish_round (watcher->data);
}

/* Frees a round of probes and releases the connections that it still holds.
   Probes without a result continue, but no longer belong to a round.  */
static void
free_round (probe_round_t *round)
{
  ev_timer_stop (round->proxy->loop, &round->timer);
  release_held_uplinks (round, NULL);
  for (guint i = 0; i < round->proxy->uplinks->len; i++)
    {
      uplink_t *uplink = g_ptr_array_index (round->proxy->uplinks, i);

      if (uplink->round == round)
        uplink->round = NULL;
    }
  if (round->hedged_request != NULL)
    round->hedged_request->hedge_round = NULL;
  g_free (round);
}

/* Releases the connections that a round of probes holds, except for @except,
   which may be NULL.  */
static void
release_held_uplinks (probe_round_t *round, const uplink_t *except)
{
  for (int i = 0; i < round->n_held; i++)
    if (round->held[i] != except)
      uplink_release (round->held[i]);
  round->n_held = 0;
}

/* Finds the held connection whose endpoint has the lowest cost for the
   request.  @expected_response_ms: out: expected response time at that
   endpoint, in ms.  Return: the connection, or NULL.  */
static uplink_t *
find_best_uplink (const probe_round_t *round, const request_t *request,
                  double *expected_response_ms)
{
  proxy_t *proxy = round->proxy;
  clock_ms_t now = clock_now ();
  uplink_t *best = NULL;
  double best_cost = 0;

  for (int i = 0; i < round->n_held; i++)
    {
      uplink_t *uplink = round->held[i];
      backend_t *backend = backends_get (proxy->backends, uplink->backend);
      double response_ms;
      double cost;

      if (backend == NULL || uplink->is_closed
          || choose_is_listed (proxy->backends, backend, request->tried,
                               request->n_tried)
          || !choose_is_eligible (proxy->backends, backend, now))
        continue;
      cost = choose_cost (proxy->backends, backend,
                          request->admission.service_time_ms, request->bulk,
                          now, &response_ms);
      if (best == NULL || cost < best_cost)
        {
          best = uplink;
          best_cost = cost;
          *expected_response_ms = response_ms;
        }
    }
  return best;
}

/* Sends a hedged attempt to the best endpoint of the round of probes if the
   retry budget allows it.  The endpoint must have a free slot and be expected
   to respond before the response deadline, so that the hedged attempt is
   likely to finish before the first attempt.  */
static void
try_send_hedge (probe_round_t *round, request_t *request)
{
  proxy_t *proxy = round->proxy;
  double expected_response_ms = 0;
  uplink_t *best = find_best_uplink (round, request, &expected_response_ms);
  const backend_t *backend
      = best != NULL ? backends_get (proxy->backends, best->backend) : NULL;
  service_state_t *state = service_state_get (proxy, request->service);
  clock_ms_t now = clock_now ();

  /* Requests that wait for an endpoint take precedence.  */
  if (backend == NULL || proxy->is_holding || state->waiting.length > 0
      || backend->load.running + backend->load.waiting >= backend->load.slots
      || now + (clock_ms_t)expected_response_ms
             > request->admission.response_deadline
      || !retry_budget_take (&state->retry_budget,
                             &proxy->settings.retry_rules,
                             proxy->instance_count, now))
    return;
  release_held_uplinks (round, best);
  telemetry_counter_increment (TELEMETRY_HEDGES, 0);
  decision_log_write (request, G_LOG_LEVEL_INFO,
                      "second attempt beside the first", backend, NULL);
  request_send (request, best);
}

/* Assigns the waiting requests of a service to connections and sends them.
   For requests that are to be refused, @marked_for_refusal is set.  Return:
   array of the uplink_t * on which requests were sent, to be freed by the
   calling function.  */
static GArray *
assign_waiting (proxy_t *proxy, service_index_t service,
                uplink_t *const *uplinks, int count)
{
  service_state_t *state = service_state_get (proxy, service);
  g_autofree assign_request_t *requests
      = g_new0 (assign_request_t, state->waiting.length + 1);
  GArray *used = g_array_new (FALSE, FALSE, sizeof (uplink_t *));
  backend_t *endpoints[CHOOSE_ENDPOINTS_MAX];
  uplink_t *usable[CHOOSE_ENDPOINTS_MAX];
  clock_ms_t now = clock_now ();
  int n_endpoints = 0;
  int n_waiting = 0;
  int n_sent = 0;

  for (int i = 0; i < count; i++)
    {
      backend_t *backend = backends_get (proxy->backends, uplinks[i]->backend);

      if (backend == NULL || uplinks[i]->is_closed)
        continue;
      usable[n_endpoints] = uplinks[i];
      endpoints[n_endpoints++] = backend;
    }
  for (GList *link = state->waiting.head; link != NULL; link = link->next)
    {
      request_t *request = link->data;

      requests[n_waiting++]
          = (assign_request_t){ .request = &request->admission,
                                .excluded = request->tried,
                                .n_excluded = request->n_tried,
                                .bulk = request->bulk,
                                .user = request };
    }
  assign_decide (proxy->backends, requests, n_waiting, endpoints, n_endpoints,
                 now);
  for (int i = 0; i < n_waiting; i++)
    n_sent += requests[i].result == ADMISSION_SEND ? 1 : 0;
  drain_rate_observe (&state->drain_rate, n_sent, n_waiting - n_sent, now);
  permits_refuse_hopeless (state, requests, n_waiting);
  permits_refuse_declined (state, requests, n_waiting);
  for (int i = 0; i < n_waiting; i++)
    {
      request_t *request = requests[i].user;
      int endpoint_index = requests[i].endpoint_index;

      request->rounds++;
      if (requests[i].result == ADMISSION_SEND)
        {
          g_array_append_val (used, usable[endpoint_index]);
          request_send (request, usable[endpoint_index]);
          continue;
        }
      /* The log shows the load of the best endpoint as the reason for the
         refusal.  */
      if (requests[i].result == ADMISSION_REFUSE
          && !request->marked_for_refusal && endpoint_index >= 0)
        decision_log_write (request, G_LOG_LEVEL_DEBUG, "best of the round",
                            endpoints[endpoint_index], NULL);
      request->marked_for_refusal = requests[i].result == ADMISSION_REFUSE;
      if (requests[i].is_limited)
        request->refusal_outcome = TELEMETRY_OUTCOME_LIMITED;
      else if (admission_is_infeasible (&request->admission, now))
        request->refusal_outcome = TELEMETRY_OUTCOME_OUT_OF_TIME;
      else
        request->refusal_outcome = endpoint_index >= 0
                                       ? TELEMETRY_OUTCOME_FULL
                                       : TELEMETRY_OUTCOME_NO_ENDPOINT;
    }
  return used;
}

/* Returns a text on the endpoints that the last round of probes left out,
   which is empty if it left out none.  */
static char *
describe_withheld (const service_state_t *state)
{
  GString *text = g_string_new (NULL);

  for (unsigned int i = 1; i < CHOOSE_OBSTACLE_COUNT; i++)
    if (state->withheld[i] > 0)
      g_string_append_printf (
          text, "%s%u %s",
          text->len > 0 ? ", " : "; left out: ", state->withheld[i],
          choose_obstacle_name ((choose_obstacle_t)i));
  return g_string_free (text, FALSE);
}

/* Refuses the requests for which @marked_for_refusal is set.  Writing a
   refusal may fail and close the client's connection, which also removes that
   client's other requests from the queue.  Therefore the search restarts at
   the head of the queue after each refusal.  */
static void
refuse_marked_requests (service_state_t *state)
{
  g_autofree char *withheld = describe_withheld (state);
  GList *link = state->waiting.head;

  while (link != NULL)
    {
      request_t *request = link->data;
      g_autofree char *detail = NULL;

      link = link->next;
      if (!request->marked_for_refusal)
        continue;
      detail = g_strconcat (telemetry_outcome_name (request->refusal_outcome),
                            withheld, NULL);
      request_refuse (request, request->refusal_outcome, detail);
      link = state->waiting.head;
    }
}

/* Starts the timer for the next round of probes if requests of the service are
   waiting.  */
static void
schedule_next_round (service_state_t *state)
{
  proxy_t *proxy = state->proxy;

  if (state->waiting.length == 0 || state->followup_round_active
      || ev_is_active (&state->round_timer))
    return;
  ev_timer_set (&state->round_timer,
                (double)probing_round_pause_ms (
                    &proxy->probing, probe_compute_rate (proxy),
                    proxy->settings.probes_per_round)
                    / 1000.0,
                0);
  ev_timer_start (proxy->loop, &state->round_timer);
}

/* Ends a round of probes: sends or refuses requests, frees the round and
   schedules the next one.  */
static void
finish_round (probe_round_t *round)
{
  service_state_t *state = service_state_get (round->proxy, round->service);

  if (round->hedged_request != NULL)
    try_send_hedge (round, round->hedged_request);
  else if (!round->proxy->is_holding)
    {
      GArray *used = assign_waiting (round->proxy, round->service, round->held,
                                     round->n_held);

      for (guint i = 0; i < used->len; i++)
        for (int j = 0; j < round->n_held; j++)
          if (round->held[j] == g_array_index (used, uplink_t *, i))
            round->held[j--] = round->held[--round->n_held];
      g_array_free (used, TRUE);
    }
  if (round->is_followup)
    state->followup_round_active = false;
  free_round (round);
  canary_leave_pool (state);
  refuse_marked_requests (state);
  permits_ask (state, false);
  schedule_next_round (state);
}

bool
probe_round_try_assign (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  const backend_t *backend = backends_get (proxy->backends, uplink->backend);
  GArray *used;
  bool result;

  if (backend == NULL || proxy->is_holding
      || service_state_get (proxy, backend->service)->waiting.length == 0)
    return false;
  used = assign_waiting (proxy, backend->service, &uplink, 1);
  result = used->len > 0;
  g_array_free (used, TRUE);
  return result;
}
