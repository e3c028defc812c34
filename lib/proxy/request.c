/* Requests of clients, from their arrival to the end of their attempts:
   routing, retries, hedged attempts and deadlines.  */

#include "proxy_private.h"

#include <stdlib.h>
#include <string.h>

/* Time allowed for the transfer of a response from this instance to the
   client.  It is subtracted from the client's timeout.  */
#define RESPONSE_TRANSIT_MS 20
/* Time for which a client is assumed to wait if it states no timeout.  */
#define CLIENT_TIMEOUT_DEFAULT_MS 30000
/* When an attempt has taken this many times as long as expected, a round of
   probes is started to find an endpoint for a hedged attempt; see
   docs/platform.md.  */
#define HEDGE_FACTOR 2.0
/* Shortest time from the start of an attempt to the start of a round of probes
   for a hedged attempt.  */
#define HEDGE_MIN_MS 60
/* Time from the start of a round of probes for a hedged attempt to the start
   of the next such round, if the first one has not led to an attempt.  */
#define HEDGE_RETRY_MS 50
/* A retry is started only if at least this time is left until the response
   deadline.  */
#define RETRY_TIME_MIN_MS 30
/* While the instance stops, a request is taken only if this multiple of its
   service time, or its whole response timeout, is left until the end.  Clients
   can go to another instance at once, so that a wide margin costs them less
   than a response that is cut off.  */
#define STOP_TIME_FACTOR 3.0
/* Longest time that a request waits for the first configuration before it is
   refused.  */
#define UNROUTED_WAIT_MAX_MS 600
/* When more bytes than this of a streamed response wait to be sent to the
   client, reading from the endpoint is paused until they have been sent.  */
#define STREAM_PENDING_MAX_BYTES (256 << 10)
/* Status that the client gets in place of an unconfirmed refusal.  */
#define STATUS_BAD_GATEWAY 502

static void on_deadline (struct ev_loop *loop, ev_timer *watcher, int events);
static void on_hedge_timer (struct ev_loop *loop, ev_timer *watcher,
                            int events);
static const route_t *find_route (proxy_t *proxy, const exchange_t *exchange);
static route_state_t *get_route_state (proxy_t *proxy, const route_t *route);
static void set_deadlines (request_t *request, const route_t *route);
static void build_http_request (request_t *request, const uplink_t *uplink,
                                GByteArray *out);
static void record_attempt_durations (request_t *request);
static void detach_uplink (request_t *request, const uplink_t *uplink);
static bool is_too_late (request_t *request);
static int get_priority (const route_t *route, const tenant_t *tenant);
static void route_request (request_t *request);
static void start_hedge_timer (request_t *request, clock_ms_t pause);
static void schedule_hedge (request_t *request, const uplink_t *uplink);
static bool reserve_retry (request_t *request, attempt_failure_t failure);

service_state_t *
service_state_get (proxy_t *proxy, service_index_t service)
{
  service_t *entry = backends_service_get (proxy->backends, service);

  if (entry->user == NULL)
    {
      service_state_t *state = g_new0 (service_state_t, 1);

      g_queue_init (&state->waiting);
      state->proxy = proxy;
      state->service = service;
      probe_round_init_timer (state);
      entry->user = state;
    }
  return entry->user;
}

static const route_t *
find_route (proxy_t *proxy, const exchange_t *exchange)
{
  const char *host = exchange_header_value (exchange, "Host");
  g_autofree char *name = NULL;

  if (host == NULL)
    return NULL;
  name = g_strndup (host, strcspn (host, ":"));
  return routes_find (proxy->routes, name, exchange->target);
}

static route_state_t *
get_route_state (proxy_t *proxy, const route_t *route)
{
  route_state_t *state
      = g_hash_table_lookup (proxy->route_states, route->name);

  if (state == NULL)
    {
      state = g_new0 (route_state_t, 1);
      g_hash_table_insert (proxy->route_states, g_strdup (route->name), state);
    }
  return state;
}

void
request_free_route_state (gpointer data)
{
  route_state_t *state = data;

  route_split_clear (&state->split);
  g_free (state);
}

/* Sets the time until which the client waits, the target and the response
   deadline of a request.  */
static void
set_deadlines (request_t *request, const route_t *route)
{
  const proxy_header_names_t *names = &request->proxy->settings.names;
  const char *text
      = exchange_header_value (request->exchange, names->time_left);
  clock_ms_t arrived_at = request->exchange->arrived_at;
  clock_ms_t client_timeout = CLIENT_TIMEOUT_DEFAULT_MS;
  clock_ms_t age = 0;
  clock_ms_t response_timeout;

  if (text != NULL)
    {
      client_timeout = (clock_ms_t)g_ascii_strtoull (text, NULL, 10);
      age = caller_age_update (&request->route_state->caller_age,
                               client_timeout, arrived_at);
    }
  if (age > 0)
    telemetry_counter_increment (TELEMETRY_RETURNED, 0);
  response_timeout = MAX (client_timeout - RESPONSE_TRANSIT_MS, 1);
  if (route->timeout > 0)
    response_timeout = MIN (response_timeout, route->timeout);
  request->client_deadline = arrived_at + client_timeout;
  request->arrived_at = arrived_at;
  request->admission.first_requested_at = arrived_at - age;
  /* A wait for the configuration, or after a pause, says nothing about the
     endpoints.  */
  request->admission.waiting_since = clock_now ();
  request->admission.target = route->target > 0
                                  ? MIN (route->target, response_timeout)
                                  : response_timeout;
  request->admission.response_deadline = arrived_at + response_timeout;
}

void
request_start (proxy_t *proxy, exchange_t *exchange)
{
  const char *id
      = exchange_header_value (exchange, proxy->settings.names.request_id);
  request_t *request = g_new0 (request_t, 1);

  exchange->user = request;
  request->proxy = proxy;
  request->exchange = exchange;
  request->id = g_strdup (id != NULL ? id : "");
  request->route = g_strdup ("");
  request->fields = g_string_new (NULL);
  request->trail = g_string_new (NULL);
  request->link.data = request;
  request->service = -1;
  request->pool = -1;
  ev_init (&request->deadline_timer, on_deadline);
  ev_init (&request->hedge_timer, on_hedge_timer);
  request->deadline_timer.data = request;
  request->hedge_timer.data = request;
  proxy->in_flight++;
  telemetry_counter_increment (TELEMETRY_REQUESTS, 0);
  telemetry_gauge_set (TELEMETRY_IN_FLIGHT, proxy->in_flight);
  request->state = REQUEST_UNROUTED;
  request->arrived_at = exchange->arrived_at;
  request->admission.first_requested_at = exchange->arrived_at;
  if (proxy->routes == NULL || proxy->is_holding)
    {
      /* The instance has just started and gets its configuration soon, or was
         paused and hears soon what has changed, so the request waits.  */
      request->queue = &proxy->unrouted;
      g_queue_push_tail_link (request->queue, &request->link);
      ev_timer_set (&request->deadline_timer, UNROUTED_WAIT_MAX_MS / 1000.0,
                    0);
      ev_timer_start (proxy->loop, &request->deadline_timer);
      return;
    }
  route_request (request);
}

void
request_route_all_unrouted (proxy_t *proxy)
{
  while (proxy->unrouted.head != NULL)
    {
      request_t *request = proxy->unrouted.head->data;

      request_dequeue (request);
      ev_timer_stop (proxy->loop, &request->deadline_timer);
      route_request (request);
    }
}

/* Whether a request has to be refused because the instance stops.  A request
   that may take less time than that is left to respond before the instance
   ends, so that the client gets a response in any case.  */
static bool
is_too_late (request_t *request)
{
  const proxy_t *proxy = request->proxy;
  admission_request_t *admission = &request->admission;
  clock_ms_t now = clock_now ();
  clock_ms_t likely_end
      = now + (clock_ms_t)(admission->service_time_ms * STOP_TIME_FACTOR);

  if (now >= proxy->refuse_from
      || MIN (likely_end, admission->response_deadline) >= proxy->answer_by)
    return true;
  admission->response_deadline
      = MIN (admission->response_deadline, proxy->answer_by);
  return false;
}

/* The priority of a tenant goes before that of the route.  */
static int
get_priority (const route_t *route, const tenant_t *tenant)
{
  return tenant != NULL && tenant->priority >= 0 ? tenant->priority
                                                 : route->priority;
}

static void
route_request (request_t *request)
{
  proxy_t *proxy = request->proxy;
  exchange_t *exchange = request->exchange;
  const route_t *route = find_route (proxy, exchange);
  const tenant_t *tenant;
  int part = 0;

  if (route == NULL)
    {
      request_fail (request, TELEMETRY_OUTCOME_NO_ROUTE, NULL);
      return;
    }
  g_free (request->route);
  request->route = g_strdup (route->name);
  if (tenancy_find (proxy, exchange, route, &tenant) != 0)
    {
      request_fail (request, TELEMETRY_OUTCOME_UNAUTHORIZED, NULL);
      return;
    }
  if (route->n_parts == 0)
    {
      request_refuse (request, TELEMETRY_OUTCOME_NO_CONFIGURATION,
                      "the route is left out of the configuration");
      return;
    }
  request->idempotent = route->idempotent;
  request->bulk = route->bulk;
  request->endpoints_max = CLAMP (route->endpoints_max, 1, ATTEMPTS_MAX);
  request->route_state = get_route_state (proxy, route);
  if (route->n_parts > 1)
    part = route_split_next (&request->route_state->split, route, &proxy->rng);
  request->service
      = backends_ensure_service (proxy->backends, route->parts[part].service);
  request->pool = request->service;
  request->admission.urgent
      = get_priority (route, tenant) < proxy->least_urgent_priority;
  set_deadlines (request, route);
  request->admission.service_time_ms = estimate_service_time (
      &request->route_state->service_time, request->admission.target);
  if (proxy->is_stopping && is_too_late (request))
    {
      request_refuse (request, TELEMETRY_OUTCOME_STOPPING, NULL);
      return;
    }
  if (suspicion_is_refused (request))
    {
      char why[SUSPICION_TEXT_BYTES];

      suspicion_explain (request, why);
      request_refuse (request, TELEMETRY_OUTCOME_SUSPECT, why);
      return;
    }
  fields_append_for_endpoint (
      &proxy->settings.names, exchange, proxy->routes->requires_key,
      tenant != NULL ? tenant->name : NULL, request->fields);
  ev_timer_set (
      &request->deadline_timer,
      (double)MAX (request->admission.response_deadline - clock_now (), 0)
          / 1000.0,
      0);
  ev_timer_start (proxy->loop, &request->deadline_timer);
  if (tenancy_admit (request, route, tenant))
    request_admit (request);
}

void
request_admit (request_t *request)
{
  proxy_t *proxy = request->proxy;

  retry_budget_add_first (
      &service_state_get (proxy, request->service)->retry_budget,
      &proxy->settings.retry_rules, clock_now ());
  canary_select_pool (request);
  request_enqueue (request);
  probe_round_start (request);
}

void
request_enqueue (request_t *request)
{
  service_state_t *state = service_state_get (request->proxy, request->pool);

  request->state = REQUEST_WAITING;
  request->marked_for_refusal = false;
  if (request->queue != NULL)
    return;
  request->queue = &state->waiting;
  g_queue_push_tail_link (request->queue, &request->link);
}

void
request_dequeue (request_t *request)
{
  if (request->queue != NULL)
    g_queue_unlink (request->queue, &request->link);
  request->queue = NULL;
}

/* Schedules a round of probes for a hedged attempt.  @pause: ms until the
   round is started.  */
static void
start_hedge_timer (request_t *request, clock_ms_t pause)
{
  ev_timer_stop (request->proxy->loop, &request->hedge_timer);
  ev_timer_set (&request->hedge_timer, (double)pause / 1000.0, 0);
  ev_timer_start (request->proxy->loop, &request->hedge_timer);
}

/* Records how long the attempts in flight have taken so far, so that a slow
   endpoint is known to be slow before it has responded.  */
static void
record_attempt_durations (request_t *request)
{
  clock_ms_t now = clock_now ();

  for (int i = 0; i < request->n_uplinks; i++)
    {
      const uplink_t *uplink = request->uplinks[i];
      backend_t *backend
          = backends_get (request->proxy->backends, uplink->backend);

      if (backend != NULL)
        backend_record_duration (backend, uplink->expected_duration_ms,
                                 now - uplink->sent_at, false, now);
    }
}

static void
on_hedge_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  request_t *request = watcher->data;

  (void)loop;
  (void)events;
  if (request->hedge_round != NULL || request->state != REQUEST_SENT
      || !request->idempotent || request->n_tried >= request->endpoints_max
      || suspicion_forbids_hedge (request))
    return;
  record_attempt_durations (request);
  start_hedge_timer (request, HEDGE_RETRY_MS);
  probe_round_start_hedge (request);
}

/* Writes the head of the HTTP request for the endpoint to @out.  */
static void
build_http_request (request_t *request, const uplink_t *uplink,
                    GByteArray *out)
{
  const proxy_header_names_t *names = &request->proxy->settings.names;
  const backend_t *backend
      = backends_get (request->proxy->backends, uplink->backend);
  const exchange_t *exchange = request->exchange;
  clock_ms_t left = request->admission.response_deadline - clock_now ();
  GString *text = g_string_sized_new (request->fields->len + 256);

  g_string_printf (
      text, "%s %s HTTP/1.1\r\n%s%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n\r\n",
      exchange->method, exchange->target, request->fields->str,
      names->time_left, MAX (left, 1), names->expected_endpoint,
      backend->entry.id);
  g_byte_array_set_size (out, 0);
  g_byte_array_append (out, (const guint8 *)text->str, (guint)text->len);
  g_string_free (text, TRUE);
}

void
request_send (request_t *request, uplink_t *uplink)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  clock_ms_t now = clock_now ();

  /* A second run of a request that is not idempotent would have a second
     effect.  */
  g_assert (request->idempotent
            || (request->n_uplinks == 0 && !request->may_have_run));
  ev_timer_stop (proxy->loop, &request->hedge_timer);
  probe_round_cancel_hedge (request);
  if (request->n_tried == 0)
    telemetry_histogram_observe (TELEMETRY_WAITED_US,
                                 (now - request->arrived_at) * 1000);
  request->tried[request->n_tried++] = uplink->backend;
  request->uplinks[request->n_uplinks++] = uplink;
  request_dequeue (request);
  request->state = REQUEST_SENT;
  uplink->round = NULL;
  uplink->request = request;
  uplink->state = UPLINK_RUNNING;
  uplink->sent_at = now;
  uplink->load_before = backend->load;
  uplink->expected_duration_ms = estimate_response_time (
      backends_service_get (proxy->backends, backend->service),
      request->admission.service_time_ms, &backend->load,
      backend_is_cold (backend, now));
  backend->in_flight++;
  if (backend->rate_limit.statement.is_limited)
    telemetry_counter_increment (TELEMETRY_LIMITED_SENT, 0);
  rate_limit_take (&backend->rate_limit,
                   backends_instance_count (proxy->backends), now);
  decision_log_write (request, G_LOG_LEVEL_DEBUG, "sent", backend, NULL);
  /* The request counts as load until the endpoint reports its load again.  */
  backend->load.running++;
  if (backend_is_cold (backend, now))
    backend->cold_sent_at = now;
  build_http_request (request, uplink, uplink->out);
  schedule_hedge (request, uplink);
  uplink_send (uplink);
}

/* Starts the hedge timer when an attempt is sent, if the request may have
   another attempt at the same time.  */
static void
schedule_hedge (request_t *request, const uplink_t *uplink)
{
  if (!request->idempotent || request->n_tried >= request->endpoints_max)
    return;
  start_hedge_timer (
      request, MAX ((clock_ms_t)(uplink->expected_duration_ms * HEDGE_FACTOR),
                    HEDGE_MIN_MS));
}

/* Removes a connection from the request's attempts in flight.  */
static void
detach_uplink (request_t *request, const uplink_t *uplink)
{
  backend_t *backend
      = backends_get (request->proxy->backends, uplink->backend);

  if (backend != NULL && backend->in_flight > 0)
    backend->in_flight--;
  for (int i = 0; i < request->n_uplinks; i++)
    if (request->uplinks[i] == uplink)
      {
        request->uplinks[i] = request->uplinks[--request->n_uplinks];
        return;
      }
}

void
request_cancel_uplinks (request_t *request, uplink_t *except)
{
  for (int i = request->n_uplinks - 1; i >= 0; i--)
    {
      uplink_t *uplink = request->uplinks[i];

      if (uplink == except)
        continue;
      canary_count_attempt (request, uplink, 0);
      detach_uplink (request, uplink);
      uplink_close (uplink);
    }
}

/* Whether the request may be retried.  If so, the retry is taken from the
   service's retry budget.  */
static bool
reserve_retry (request_t *request, attempt_failure_t failure)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t now = clock_now ();

  if (request->client_disconnected
      || request->n_tried >= request->endpoints_max
      || now + RETRY_TIME_MIN_MS > request->admission.response_deadline
      || suspicion_forbids_retry (request))
    return false;
  if (!request->idempotent
      && (failure != FAILURE_NOT_RUN || request->may_have_run))
    return false;
  return retry_budget_take (
      &service_state_get (proxy, request->service)->retry_budget,
      &proxy->settings.retry_rules, proxy->instance_count, now);
}

void
request_handle_attempt_failure (request_t *request, uplink_t *uplink,
                                attempt_failure_t failure, const char *why)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  bool streaming = request->state == REQUEST_STREAMING;

  uplink->request = NULL;
  detach_uplink (request, uplink);
  if (backend != NULL)
    backend_record_result (backend, true, clock_now ());
  if (failure != FAILURE_NOT_RUN)
    request->may_have_run = true;
  decision_log_write (request, G_LOG_LEVEL_MESSAGE, "attempt failed", backend,
                      why);
  if (streaming)
    {
      telemetry_counter_increment (TELEMETRY_ROUTED, TELEMETRY_OUTCOME_CUT);
      exchange_abort_response (request->exchange);
      request->exchange = NULL;
      request_free (request);
      return;
    }
  if (request->n_uplinks > 0)
    return;
  if (reserve_retry (request, failure))
    {
      telemetry_counter_increment (TELEMETRY_RETRIES, 0);
      probe_round_cancel_hedge (request);
      request->admission.waiting_since = clock_now ();
      /* The new version of a rollout gets no retries.  */
      request->pool = request->service;
      request_enqueue (request);
      probe_round_start (request);
    }
  else if (request->has_error_response)
    request_deliver (request, &request->error_response);
  else if (request->may_have_run)
    request_fail (request, TELEMETRY_OUTCOME_BROKEN, why);
  else
    request_refuse (request, TELEMETRY_OUTCOME_NOT_RUN, why);
}

void
request_handle_response (request_t *request, uplink_t *uplink)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  response_t *response = &uplink->response;
  clock_ms_t now = clock_now ();
  bool succeeded = response->status < 500;

  if (backend != NULL && uplink->has_load)
    backend_record_load (backend, &uplink->load, now);
  /* Status 421 states that another endpoint responds at this address.  */
  if (backend != NULL && response->status == 421)
    backend_record_probe (backend, BACKEND_ID_MISMATCH, NULL, 0, now);
  /* A refusal that does not name the request may be a late one of an earlier
     request or probe, and states nothing about this one.  */
  if (uplink->request_id_matches
      && (uplink->not_run || response->status == 421))
    {
      request_handle_attempt_failure (
          request, uplink, FAILURE_NOT_RUN,
          response->status == 421 ? "another endpoint" : "shed");
      uplink_release (uplink);
      return;
    }
  if (!uplink->request_id_matches
      || (response->status < 300 && !uplink->has_signature))
    {
      uplink->is_reusable = false;
      request_handle_attempt_failure (
          request, uplink, FAILURE_MAY_HAVE_RUN,
          "wrong response: no request ID or signature");
      uplink_release (uplink);
      return;
    }
  if (uplink_has_unconfirmed_refusal (uplink))
    {
      telemetry_counter_increment (TELEMETRY_UNCONFIRMED_REFUSALS, 0);
      suspicion_clear (request);
      canary_count_attempt (request, uplink, STATUS_BAD_GATEWAY);
      request_handle_attempt_failure (
          request, uplink, FAILURE_MAY_HAVE_RUN,
          "refusal without a statement that the request has not run");
      uplink_release (uplink);
      return;
    }
  canary_count_attempt (request, uplink, response->status);
  if (!succeeded && request->idempotent && request->state != REQUEST_STREAMING)
    {
      if (!request->has_error_response)
        {
          request->error_response = *response;
          uplink->response = (response_t){ 0 };
          request->has_error_response = true;
        }
      request_handle_attempt_failure (request, uplink, FAILURE_ERROR_RESPONSE,
                                      "failed");
      uplink_release (uplink);
      return;
    }
  detach_uplink (request, uplink);
  uplink->request = NULL;
  suspicion_clear (request);
  if (backend != NULL)
    {
      backend_record_result (backend, !succeeded, now);
      backend_record_duration (backend, uplink->expected_duration_ms,
                               now - uplink->sent_at, true, now);
      if (succeeded)
        estimate_update (
            backends_service_get (proxy->backends, backend->service),
            &request->route_state->service_time, &uplink->load_before,
            now - uplink->sent_at);
    }
  telemetry_histogram_observe (TELEMETRY_FIRST_BYTE_US,
                               (now - uplink->sent_at) * 1000);
  decision_log_write (request, G_LOG_LEVEL_DEBUG, "answered", backend, NULL);
  request_deliver (request, response);
  if (!uplink->is_closed && uplink->is_reusable && uplink->has_load
      && uplink_has_sent_all (uplink) && probe_round_try_assign (uplink))
    return;
  uplink_release (uplink);
}

void
request_stream_data (request_t *request, uplink_t *uplink, const char *data,
                     size_t length)
{
  response_t *response = &uplink->response;

  if (request->state != REQUEST_STREAMING)
    {
      uint64_t unread_bytes = uplink->parser.content_length;
      int64_t body_length
          = unread_bytes == ULLONG_MAX
                    || (uplink->parser.flags & F_CHUNKED) != 0
                ? -1
                : (int64_t)(unread_bytes + response->body->len);

      request->state = REQUEST_STREAMING;
      ev_timer_stop (request->proxy->loop, &request->hedge_timer);
      probe_round_cancel_hedge (request);
      request_cancel_uplinks (request, uplink);
      exchange_start_response (request->exchange, response->status,
                               response->reason->str, response->fields->str,
                               body_length);
      if (uplink->request == NULL)
        return;
      exchange_write_body (request->exchange, response->body->data,
                           response->body->len);
      if (uplink->request == NULL)
        return;
      g_byte_array_set_size (response->body, 0);
    }
  if (length > 0)
    exchange_write_body (request->exchange, data, length);
  if (uplink->request == NULL)
    return;
  if (exchange_unsent_bytes (request->exchange) > STREAM_PENDING_MAX_BYTES)
    uplink_pause (uplink, true);
}

/* Ends a request whose response deadline has passed, or that has waited too
   long for the first configuration.  A response that is being streamed may
   continue until @client_deadline.  */
static void
on_deadline (struct ev_loop *loop, ev_timer *watcher, int events)
{
  request_t *request = watcher->data;
  clock_ms_t left = request->client_deadline - clock_now ();

  (void)events;
  if (request->state == REQUEST_STREAMING && left > 0)
    {
      ev_timer_set (watcher, (double)left / 1000.0, 0);
      ev_timer_start (loop, watcher);
      return;
    }
  request_end_unfinished (request);
}

void
request_end_unfinished (request_t *request)
{
  if (request->state == REQUEST_STREAMING)
    {
      telemetry_counter_increment (TELEMETRY_ROUTED, TELEMETRY_OUTCOME_CUT);
      request_cancel_uplinks (request, NULL);
      exchange_abort_response (request->exchange);
      request->exchange = NULL;
      request_free (request);
    }
  else if (request->has_error_response)
    request_deliver (request, &request->error_response);
  else if (request->n_uplinks > 0 || request->may_have_run)
    request_fail (request, TELEMETRY_OUTCOME_TIMEOUT, NULL);
  else if (request->proxy->is_stopping)
    request_refuse (request, TELEMETRY_OUTCOME_STOPPING, NULL);
  else if (request->state == REQUEST_UNROUTED)
    request_refuse (request, TELEMETRY_OUTCOME_NO_CONFIGURATION, NULL);
  else
    request_refuse (request, TELEMETRY_OUTCOME_OUT_OF_TIME, NULL);
}

/* The attempts of an idempotent request are cancelled, because no client waits
   for the response.  A request that is not idempotent is left to finish if an
   attempt is in flight.  */
void
request_handle_disconnect (request_t *request)
{
  request->client_disconnected = true;
  if (!request->idempotent && request->n_uplinks > 0)
    return;
  telemetry_counter_increment (TELEMETRY_ROUTED,
                               TELEMETRY_OUTCOME_CALLER_LEFT);
  decision_log_write (request, G_LOG_LEVEL_INFO, "caller left", NULL, NULL);
  request_cancel_uplinks (request, NULL);
  request_free (request);
}
