/* One request of a caller, from its arrival to the end of its attempts.  */

#include "proxy_private.h"

#include <stdlib.h>
#include <string.h>

/* The caller's own clock runs while the answer travels.  */
#define TRAVEL_MS 20
/* A caller that states no time is taken to wait this long.  */
#define CALLER_WAITS_MS 30000
/* A second attempt starts when the first has taken this many times as long as
   expected; see docs/platform.md.  */
#define BESIDE_FACTOR 2.0
#define BESIDE_MIN_MS 60
/* Pause before a failed round of a second attempt is tried again.  */
#define BESIDE_PAUSE_MS 50
/* Time to the end of a request below which no repeat is begun.  */
#define REPEAT_MIN_MS 30
/* Longest wait for the first configuration.  */
#define UNROUTED_MS 600
/* Output of a streamed answer that the caller has not taken; reading from the
   endpoint pauses above it.  */
#define STREAM_PENDING_MAX (256 << 10)

static void on_give_up (struct ev_loop *loop, ev_timer *watcher, int events);
static void on_again (struct ev_loop *loop, ev_timer *watcher, int events);
static const route_t *find_route (proxy_t *proxy, const exchange_t *exchange);
static route_state_t *state_of (proxy_t *proxy, const route_t *route);
static int choose_part (proxy_t *proxy, const route_t *route,
                        route_state_t *state);
static void set_times (request_t *request, const route_t *route);
static void build (request_t *request, const uplink_t *uplink,
                   GByteArray *out);
static void note_overdue (request_t *request);
static void forget_uplink (request_t *request, const uplink_t *uplink);
static void route_request (request_t *request);
static void queue_up (request_t *request);
static void unqueue (request_t *request);
static void wait_beside (request_t *request, clock_ms_t pause);
static void start_beside_timer (request_t *request, const uplink_t *uplink);
static bool may_repeat (request_t *request, attempt_failure_t failure);

service_state_t *
service_state (proxy_t *proxy, service_ref_t service)
{
  service_t *entry = backends_service_get (proxy->backends, service);

  if (entry->user == NULL)
    {
      service_state_t *state = g_new0 (service_state_t, 1);

      g_queue_init (&state->waiting);
      state->proxy = proxy;
      state->service = service;
      round_init (state);
      entry->user = state;
    }
  return entry->user;
}

static const route_t *
find_route (proxy_t *proxy, const exchange_t *exchange)
{
  const char *host = exchange_field (exchange, "Host");
  g_autofree char *name = NULL;

  if (host == NULL)
    return NULL;
  name = g_strndup (host, strcspn (host, ":"));
  return routes_find (proxy->routes, name, exchange->target);
}

static route_state_t *
state_of (proxy_t *proxy, const route_t *route)
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

static int
choose_part (proxy_t *proxy, const route_t *route, route_state_t *state)
{
  if (route->n_parts <= 1)
    return 0;
  /* Instances don't begin their divisions at the same place.  */
  for (int i = 0; i < route->n_parts && !state->split_begun; i++)
    state->split.credit[i]
        = decide_rng_below (&proxy->rng, route->parts[i].weight + 1);
  state->split_begun = true;
  return route_split_next (&state->split, route);
}

static void
set_times (request_t *request, const route_t *route)
{
  const proxy_names_t *names = &request->proxy->settings.names;
  const char *text = exchange_field (request->exchange, names->time_left);
  clock_ms_t arrived = request->exchange->arrived;
  clock_ms_t waits = CALLER_WAITS_MS;
  clock_ms_t age = 0;
  clock_ms_t limit;

  if (text != NULL)
    {
      waits = (clock_ms_t)g_ascii_strtoull (text, NULL, 10);
      age = caller_age_note (&request->route_state->caller_age, waits,
                             arrived);
    }
  if (age > 0)
    telemetry_count (TELEMETRY_RETURNED, 0);
  limit = MAX (waits - TRAVEL_MS, 1);
  if (route->timeout > 0)
    limit = MIN (limit, route->timeout);
  request->caller_until = arrived + waits;
  request->arrived = arrived;
  request->admission.asked_at = arrived - age;
  request->admission.waits_since = arrived;
  request->admission.target
      = route->target > 0 ? MIN (route->target, limit) : limit;
  request->admission.give_up_at = arrived + limit;
}

void
request_new (proxy_t *proxy, exchange_t *exchange)
{
  const char *id = exchange_field (exchange, proxy->settings.names.request_id);
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
  ev_init (&request->give_up, on_give_up);
  ev_init (&request->again, on_again);
  request->give_up.data = request;
  request->again.data = request;
  proxy->in_flight++;
  telemetry_count (TELEMETRY_REQUESTS, 0);
  telemetry_gauge_set (TELEMETRY_IN_FLIGHT, proxy->in_flight);
  request->state = REQUEST_UNROUTED;
  request->arrived = exchange->arrived;
  request->admission.asked_at = exchange->arrived;
  if (proxy->routes == NULL)
    {
      /* An instance that has just started knows it in a moment.  */
      g_queue_push_tail_link (&proxy->unrouted, &request->link);
      request->queued = true;
      ev_timer_set (&request->give_up, UNROUTED_MS / 1000.0, 0);
      ev_timer_start (proxy->loop, &request->give_up);
      return;
    }
  route_request (request);
}

void
requests_route (proxy_t *proxy)
{
  while (proxy->unrouted.head != NULL)
    {
      request_t *request = proxy->unrouted.head->data;

      g_queue_unlink (&proxy->unrouted, &request->link);
      request->queued = false;
      ev_timer_stop (proxy->loop, &request->give_up);
      route_request (request);
    }
}

static void
route_request (request_t *request)
{
  proxy_t *proxy = request->proxy;
  exchange_t *exchange = request->exchange;
  const route_t *route = find_route (proxy, exchange);

  if (route == NULL)
    {
      request_fail (request, OUTCOME_NO_ROUTE, NULL);
      return;
    }
  g_free (request->route);
  request->route = g_strdup (route->name);
  request->idempotent = route->idempotent;
  request->bulk = route->bulk;
  request->endpoints_max = CLAMP (route->endpoints_max, 1, TRIED_MAX);
  request->route_state = state_of (proxy, route);
  request->service = backends_service (
      proxy->backends,
      route->parts[choose_part (proxy, route, request->route_state)].service);
  request->admission.urgent = route->priority < proxy->priority_last;
  set_times (request, route);
  request->admission.base
      = estimate_base (&request->route_state->work, request->admission.target);
  if (proxy->refusing)
    {
      request_refuse (request, OUTCOME_STOPPING, NULL);
      return;
    }
  fields_for_endpoint (&proxy->settings.names, exchange, request->fields);
  repeats_first (&service_state (proxy, request->service)->repeats,
                 &proxy->settings.repeats, clock_now ());
  ev_timer_set (&request->give_up,
                (double)MAX (request->admission.give_up_at - clock_now (), 0)
                    / 1000.0,
                0);
  ev_timer_start (proxy->loop, &request->give_up);
  queue_up (request);
  round_start (request);
}

static void
queue_up (request_t *request)
{
  service_state_t *state = service_state (request->proxy, request->service);

  request->state = REQUEST_WAITING;
  request->refused = false;
  if (!request->queued)
    g_queue_push_tail_link (&state->waiting, &request->link);
  request->queued = true;
}

static void
unqueue (request_t *request)
{
  if (request->queued)
    g_queue_unlink (&service_state (request->proxy, request->service)->waiting,
                    &request->link);
  request->queued = false;
}

/* Looks at a second attempt after a pause.  */
static void
wait_beside (request_t *request, clock_ms_t pause)
{
  ev_timer_stop (request->proxy->loop, &request->again);
  ev_timer_set (&request->again, (double)pause / 1000.0, 0);
  ev_timer_start (request->proxy->loop, &request->again);
}

/* An attempt under way has taken longer than its endpoint should need.  */
static void
note_overdue (request_t *request)
{
  clock_ms_t now = clock_now ();

  for (int i = 0; i < request->n_uplinks; i++)
    {
      const uplink_t *uplink = request->uplinks[i];
      backend_t *backend
          = backends_get (request->proxy->backends, uplink->backend);

      if (backend != NULL)
        backend_took (backend, uplink->expected, now - uplink->sent_at, false,
                      now);
    }
}

static void
on_again (struct ev_loop *loop, ev_timer *watcher, int events)
{
  request_t *request = watcher->data;

  (void)loop;
  (void)events;
  if (request->beside != NULL || request->state != REQUEST_SENT
      || !request->idempotent || request->n_tried >= request->endpoints_max)
    return;
  note_overdue (request);
  wait_beside (request, BESIDE_PAUSE_MS);
  round_start_beside (request);
}

static void
build (request_t *request, const uplink_t *uplink, GByteArray *out)
{
  const proxy_names_t *names = &request->proxy->settings.names;
  const backend_t *backend
      = backends_get (request->proxy->backends, uplink->backend);
  const exchange_t *exchange = request->exchange;
  clock_ms_t left = request->admission.give_up_at - clock_now ();
  GString *text = g_string_sized_new (request->fields->len + 256);

  g_string_printf (
      text, "%s %s HTTP/1.1\r\n%s%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n\r\n",
      exchange->method, exchange->target, request->fields->str,
      names->time_left, MAX (left, 1), names->expected_endpoint,
      backend->entry.id);
  g_byte_array_set_size (out, 0);
  g_byte_array_append (out, (const guint8 *)text->str, (guint)text->len);
  g_byte_array_append (out, exchange->body->data, exchange->body->len);
  g_string_free (text, TRUE);
}

/* Sends the request on a connection whose endpoint was just probed.  */
void
request_send (request_t *request, uplink_t *uplink)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  clock_ms_t now = clock_now ();

  /* Two runs of such a request would be two effects.  */
  g_assert (request->idempotent
            || (request->n_uplinks == 0 && !request->may_have_run));
  ev_timer_stop (proxy->loop, &request->again);
  round_leave (request);
  if (request->n_tried == 0)
    telemetry_observe (TELEMETRY_WAITED_US, (now - request->arrived) * 1000);
  request->tried[request->n_tried++] = uplink->backend;
  request->uplinks[request->n_uplinks++] = uplink;
  unqueue (request);
  request->state = REQUEST_SENT;
  uplink->round = NULL;
  uplink->request = request;
  uplink->state = UPLINK_RUNNING;
  uplink->sent_at = now;
  uplink->load_before = backend->load;
  uplink->expected = estimate_at (
      backends_service_get (proxy->backends, backend->service),
      request->admission.base, &backend->load, backend_is_cold (backend, now));
  backend->in_flight++;
  decision_log (request, G_LOG_LEVEL_DEBUG, "sent", backend, NULL);
  /* Until it reports again, the endpoint is taken to have this one more.  */
  backend->load.running++;
  if (backend_is_cold (backend, now))
    backend->cold_sent_at = now;
  build (request, uplink, uplink->out);
  start_beside_timer (request, uplink);
  uplink_send (uplink);
}

static void
start_beside_timer (request_t *request, const uplink_t *uplink)
{
  if (!request->idempotent || request->n_tried >= request->endpoints_max)
    return;
  wait_beside (request, MAX ((clock_ms_t)(uplink->expected * BESIDE_FACTOR),
                             BESIDE_MIN_MS));
}

static void
forget_uplink (request_t *request, const uplink_t *uplink)
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
      forget_uplink (request, uplink);
      uplink_close (uplink);
    }
}

static bool
may_repeat (request_t *request, attempt_failure_t failure)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t now = clock_now ();

  if (request->caller_left || request->n_tried >= request->endpoints_max
      || now + REPEAT_MIN_MS > request->admission.give_up_at)
    return false;
  if (!request->idempotent
      && (failure != FAILURE_NOT_RUN || request->may_have_run))
    return false;
  return repeats_take (&service_state (proxy, request->service)->repeats,
                       &proxy->settings.repeats, proxy->instances, now);
}

/* An attempt failed; the caller of this function closes or releases the
   connection.  */
void
request_failed (request_t *request, uplink_t *uplink,
                attempt_failure_t failure, const char *why)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  bool streaming = request->state == REQUEST_STREAMING;

  uplink->request = NULL;
  forget_uplink (request, uplink);
  if (backend != NULL)
    backend_finished (backend, true, clock_now ());
  if (failure != FAILURE_NOT_RUN)
    request->may_have_run = true;
  decision_log (request, G_LOG_LEVEL_MESSAGE, "attempt failed", backend, why);
  if (streaming)
    {
      telemetry_count (TELEMETRY_ROUTED, OUTCOME_CUT);
      exchange_abort (request->exchange);
      request->exchange = NULL;
      request_free (request);
      return;
    }
  if (request->n_uplinks > 0)
    return;
  if (may_repeat (request, failure))
    {
      telemetry_count (TELEMETRY_RETRIES, 0);
      round_leave (request);
      request->admission.waits_since = clock_now ();
      queue_up (request);
      round_start (request);
    }
  else if (request->has_kept)
    request_deliver (request, &request->kept);
  else if (request->may_have_run)
    request_fail (request, OUTCOME_BROKEN, why);
  else
    request_refuse (request, OUTCOME_NOT_RUN, why);
}

/* A whole answer was read.  */
void
request_answered (request_t *request, uplink_t *uplink)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  answer_t *answer = &uplink->answer;
  clock_ms_t now = clock_now ();
  bool well = answer->status < 500;

  if (backend != NULL && uplink->has_load)
    backend_reported (backend, &uplink->load, now);
  if (uplink->not_run || answer->status == 421)
    {
      if (backend != NULL && answer->status == 421)
        backend_probed (backend, BACKEND_OTHER, NULL, 0, now);
      request_failed (request, uplink, FAILURE_NOT_RUN,
                      answer->status == 421 ? "another endpoint" : "shed");
      uplink_release (uplink);
      return;
    }
  if (!uplink->id_matches || (answer->status < 300 && !uplink->has_signature))
    {
      uplink->keep = false;
      request_failed (request, uplink, FAILURE_UNKNOWN,
                      "not an answer to this request");
      uplink_release (uplink);
      return;
    }
  if (!well && request->idempotent && request->state != REQUEST_STREAMING)
    {
      if (!request->has_kept)
        {
          request->kept = *answer;
          uplink->answer = (answer_t){ 0 };
          request->has_kept = true;
        }
      request_failed (request, uplink, FAILURE_ANSWER, "failed");
      uplink_release (uplink);
      return;
    }
  forget_uplink (request, uplink);
  uplink->request = NULL;
  if (backend != NULL)
    {
      backend_finished (backend, !well, now);
      backend_took (backend, uplink->expected, now - uplink->sent_at, true,
                    now);
      if (well)
        estimate_learn (
            backends_service_get (proxy->backends, backend->service),
            &request->route_state->work, &uplink->load_before,
            now - uplink->sent_at);
    }
  telemetry_observe (TELEMETRY_FIRST_BYTE_US, (now - uplink->sent_at) * 1000);
  decision_log (request, G_LOG_LEVEL_DEBUG, "answered", backend, NULL);
  request_deliver (request, answer);
  if (!uplink->dead && uplink->keep && uplink->has_load
      && uplink->sent == uplink->out->len && round_offer (uplink))
    return;
  uplink_release (uplink);
}

/* Passes on an answer that is too large to be read whole first.  */
void
request_streamed (request_t *request, uplink_t *uplink, const char *data,
                  size_t length)
{
  answer_t *answer = &uplink->answer;

  if (request->state != REQUEST_STREAMING)
    {
      uint64_t left = uplink->parser.content_length;
      int64_t whole
          = left == ULLONG_MAX || (uplink->parser.flags & F_CHUNKED) != 0
                ? -1
                : (int64_t)(left + answer->body->len);

      request->state = REQUEST_STREAMING;
      ev_timer_stop (request->proxy->loop, &request->again);
      round_leave (request);
      request_cancel_uplinks (request, uplink);
      exchange_begin (request->exchange, answer->status, answer->reason->str,
                      answer->fields->str, whole);
      if (uplink->request == NULL)
        return;
      exchange_write (request->exchange, answer->body->data,
                      answer->body->len);
      if (uplink->request == NULL)
        return;
      g_byte_array_set_size (answer->body, 0);
    }
  if (length > 0)
    exchange_write (request->exchange, data, length);
  if (uplink->request == NULL)
    return;
  if (exchange_pending (request->exchange) > STREAM_PENDING_MAX)
    uplink_pause (uplink, true);
}

/* The end of the time for which the caller waits, or the operator lets it
   wait.  */
static void
on_give_up (struct ev_loop *loop, ev_timer *watcher, int events)
{
  request_t *request = watcher->data;
  clock_ms_t left = request->caller_until - clock_now ();

  (void)events;
  if (request->state == REQUEST_UNROUTED)
    {
      request_refuse (request, OUTCOME_NO_CONFIGURATION, NULL);
      return;
    }
  if (request->state == REQUEST_STREAMING && left > 0)
    {
      ev_timer_set (watcher, (double)left / 1000.0, 0);
      ev_timer_start (loop, watcher);
      return;
    }
  if (request->state == REQUEST_STREAMING)
    {
      telemetry_count (TELEMETRY_ROUTED, OUTCOME_CUT);
      request_cancel_uplinks (request, NULL);
      exchange_abort (request->exchange);
      request->exchange = NULL;
      request_free (request);
    }
  else if (request->has_kept)
    request_deliver (request, &request->kept);
  else if (request->n_uplinks > 0 || request->may_have_run)
    request_fail (request, OUTCOME_TIMEOUT, NULL);
  else
    request_refuse (request, OUTCOME_OUT_OF_TIME, NULL);
}

/* Work that may be repeated is stopped when nobody waits for it; other work
   is left to end.  */
void
request_caller_left (request_t *request)
{
  request->caller_left = true;
  if (!request->idempotent && request->n_uplinks > 0)
    return;
  telemetry_count (TELEMETRY_ROUTED, OUTCOME_CALLER_LEFT);
  decision_log (request, G_LOG_LEVEL_INFO, "caller left", NULL, NULL);
  request_cancel_uplinks (request, NULL);
  request_free (request);
}
