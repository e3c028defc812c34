/* Rounds of probes: the endpoints asked for the requests that wait, and the
   decision when they have answered.  */

#include "proxy_private.h"

#include <errno.h>

/* A round is decided after it, with the answers that have come.  */
#define ROUND_WAIT_MS 40
/* Each further round of a waiting request asks more endpoints of other data
   centres.  */
#define REMOTE_FIRST 1
#define REMOTE_LATER 3
/* From this round on any endpoint is asked.  */
#define WIDE_FROM 3

static void begin (proxy_t *proxy, const choose_wish_t *wish, round_t *round);
static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void on_again (struct ev_loop *loop, ev_timer *watcher, int events);
static bool is_settled (const round_t *round, const uplink_t *uplink);
static void decide (round_t *round);
static void drop (round_t *round);
static void release_held (round_t *round, const uplink_t *except);
static uplink_t *best_for (const round_t *round, const request_t *request,
                           double *estimate);
static void decide_beside (round_t *round, request_t *request);
static GArray *decide_waiting (proxy_t *proxy, service_ref_t service,
                               uplink_t *const *uplinks, int count);
static void refuse_marked (service_state_t *state);
static void pace (service_state_t *state);

void
round_init (service_state_t *state)
{
  ev_init (&state->again, on_again);
  state->again.data = state;
}

void
round_stop (service_state_t *state)
{
  ev_timer_stop (state->proxy->loop, &state->again);
}

void
round_start (request_t *request)
{
  proxy_t *proxy = request->proxy;
  choose_wish_t wish = { .service = request->service,
                         .excluded = request->tried,
                         .n_excluded = request->n_tried,
                         .count = proxy->settings.probes,
                         .remote = request->bulk ? 0 : REMOTE_FIRST };
  round_t *round = g_new0 (round_t, 1);

  begin (proxy, &wish, round);
}

void
round_start_beside (request_t *request)
{
  proxy_t *proxy = request->proxy;
  choose_wish_t wish = { .service = request->service,
                         .excluded = request->tried,
                         .n_excluded = request->n_tried,
                         .count = proxy->settings.probes,
                         .remote = request->bulk ? 0 : REMOTE_LATER };
  round_t *round = g_new0 (round_t, 1);

  round->beside = request;
  request->beside = round;
  begin (proxy, &wish, round);
}

/* A further round for those that wait.  */
static void
on_again (struct ev_loop *loop, ev_timer *watcher, int events)
{
  service_state_t *state = watcher->data;
  choose_wish_t wish = { .service = state->service,
                         .count = state->proxy->settings.probes,
                         .remote = REMOTE_LATER };
  round_t *round;

  (void)loop;
  (void)events;
  if (state->waiting.length == 0 || state->in_round)
    return;
  for (GList *link = state->waiting.head; link != NULL; link = link->next)
    wish.wide |= ((request_t *)link->data)->rounds >= WIDE_FROM;
  round = g_new0 (round_t, 1);
  round->repeated = true;
  state->in_round = true;
  begin (state->proxy, &wish, round);
}

static void
begin (proxy_t *proxy, const choose_wish_t *wish, round_t *round)
{
  backend_ref_t chosen[CHOOSE_MAX];
  choose_wish_t allowed = *wish;
  int n;

  allowed.count = probing_take (&proxy->probing, probe_rate (proxy),
                                wish->count, clock_now ());
  if (allowed.count < wish->count)
    telemetry_add (TELEMETRY_PROBES_WITHHELD, 0,
                   (uint64_t)(wish->count - allowed.count));
  n = choose_candidates (proxy->backends, &allowed, &proxy->rng, clock_now (),
                         chosen);
  round->proxy = proxy;
  round->service = wish->service;
  ev_timer_init (&round->timer, on_timer, ROUND_WAIT_MS / 1000.0, 0);
  round->timer.data = round;
  ev_timer_start (proxy->loop, &round->timer);
  /* Held open so that failures while probes start don't end the round.  */
  round->outstanding = 1;
  for (int i = 0; i < n; i++)
    {
      backend_t *backend = backends_get (proxy->backends, chosen[i]);
      int error = 0;
      uplink_t *uplink
          = backend != NULL ? uplink_take (proxy, backend, &error) : NULL;

      if (uplink == NULL)
        {
          if (error != 0 && error != -EBUSY)
            g_warning ("connection to %s: %s", backend->entry.id,
                       g_strerror (-error));
          continue;
        }
      round->outstanding++;
      probe_start (uplink, round);
    }
  round_failed (round);
}

/* A probe brought nothing that can be used.  */
void
round_failed (round_t *round)
{
  round->outstanding--;
  if (round->outstanding == 0)
    decide (round);
}

/* Whether the only request that waits gets no better endpoint.  */
static bool
is_settled (const round_t *round, const uplink_t *uplink)
{
  proxy_t *proxy = round->proxy;
  const service_state_t *state = service_state (proxy, round->service);
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  const request_t *request;

  if (round->beside != NULL || backend == NULL || state->waiting.length != 1)
    return false;
  request = state->waiting.head->data;
  return choose_is_good_enough (proxy->backends, backend,
                                request->admission.base, request->bulk,
                                clock_now ());
}

void
round_probed (round_t *round, uplink_t *uplink)
{
  round->held[round->n_held++] = uplink;
  round->outstanding--;
  if (round->outstanding == 0 || is_settled (round, uplink))
    decide (round);
}

/* The request needs no second attempt; the round serves those that wait.  */
void
round_leave (request_t *request)
{
  if (request->beside == NULL)
    return;
  request->beside->beside = NULL;
  request->beside = NULL;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  decide (watcher->data);
}

static void
drop (round_t *round)
{
  ev_timer_stop (round->proxy->loop, &round->timer);
  release_held (round, NULL);
  for (guint i = 0; i < round->proxy->uplinks->len; i++)
    {
      uplink_t *uplink = g_ptr_array_index (round->proxy->uplinks, i);

      if (uplink->round == round)
        uplink->round = NULL;
    }
  if (round->beside != NULL)
    round->beside->beside = NULL;
  g_free (round);
}

static void
release_held (round_t *round, const uplink_t *except)
{
  for (int i = 0; i < round->n_held; i++)
    if (round->held[i] != except)
      uplink_release (round->held[i]);
  round->n_held = 0;
}

static uplink_t *
best_for (const round_t *round, const request_t *request, double *estimate)
{
  proxy_t *proxy = round->proxy;
  clock_ms_t now = clock_now ();
  uplink_t *best = NULL;
  double best_cost = 0;

  for (int i = 0; i < round->n_held; i++)
    {
      uplink_t *uplink = round->held[i];
      backend_t *backend = backends_get (proxy->backends, uplink->backend);
      double time;
      double cost;

      if (backend == NULL || uplink->dead
          || choose_is_listed (proxy->backends, backend, request->tried,
                               request->n_tried)
          || !choose_allows (proxy->backends, backend, now))
        continue;
      cost = choose_cost (proxy->backends, backend, request->admission.base,
                          request->bulk, now, &time);
      if (best == NULL || cost < best_cost)
        {
          best = uplink;
          best_cost = cost;
          *estimate = time;
        }
    }
  return best;
}

/* A second attempt is sent only where it is likely to overtake the first.  */
static void
decide_beside (round_t *round, request_t *request)
{
  proxy_t *proxy = round->proxy;
  double estimate = 0;
  uplink_t *best = best_for (round, request, &estimate);
  const backend_t *backend
      = best != NULL ? backends_get (proxy->backends, best->backend) : NULL;
  service_state_t *state = service_state (proxy, request->service);
  clock_ms_t now = clock_now ();

  /* While others wait for a first attempt there is no room for a second.  */
  if (backend == NULL || state->waiting.length > 0
      || backend->load.running + backend->load.waiting >= backend->load.slots
      || now + (clock_ms_t)estimate > request->admission.give_up_at
      || !repeats_take (&state->repeats, &proxy->settings.repeats,
                        proxy->instances, now))
    return;
  release_held (round, best);
  telemetry_count (TELEMETRY_HEDGES, 0);
  decision_log (request, G_LOG_LEVEL_INFO, "second attempt beside the first",
                backend, NULL);
  request_send (request, best);
}

/* Decides on all requests that wait, and sends those that may be sent.
   Return: the connections that were used; requests that are to be refused are
   marked.  */
static GArray *
decide_waiting (proxy_t *proxy, service_ref_t service,
                uplink_t *const *uplinks, int count)
{
  service_state_t *state = service_state (proxy, service);
  g_autofree assign_request_t *requests
      = g_new0 (assign_request_t, state->waiting.length + 1);
  GArray *used = g_array_new (FALSE, FALSE, sizeof (uplink_t *));
  backend_t *endpoints[CHOOSE_MAX];
  uplink_t *usable[CHOOSE_MAX];
  clock_ms_t now = clock_now ();
  int n_endpoints = 0;
  int n = 0;

  for (int i = 0; i < count; i++)
    {
      backend_t *backend = backends_get (proxy->backends, uplinks[i]->backend);

      if (backend == NULL || uplinks[i]->dead)
        continue;
      usable[n_endpoints] = uplinks[i];
      endpoints[n_endpoints++] = backend;
    }
  for (GList *link = state->waiting.head; link != NULL; link = link->next)
    {
      request_t *request = link->data;

      requests[n++] = (assign_request_t){ .request = &request->admission,
                                          .excluded = request->tried,
                                          .n_excluded = request->n_tried,
                                          .bulk = request->bulk,
                                          .user = request };
    }
  assign_decide (proxy->backends, requests, n, endpoints, n_endpoints, now);
  for (int i = 0; i < n; i++)
    {
      request_t *request = requests[i].user;
      int at = requests[i].endpoint;

      request->rounds++;
      if (requests[i].result == ADMISSION_SEND)
        {
          g_array_append_val (used, usable[at]);
          request_send (request, usable[at]);
          continue;
        }
      if (requests[i].result == ADMISSION_REFUSE && !request->refused
          && at >= 0)
        decision_log (request, G_LOG_LEVEL_DEBUG, "best of the round",
                      endpoints[at], NULL);
      request->refused = requests[i].result == ADMISSION_REFUSE;
      if (admission_is_hopeless (&request->admission, now))
        request->refused_for = OUTCOME_OUT_OF_TIME;
      else
        request->refused_for = at >= 0 ? OUTCOME_FULL : OUTCOME_NO_ENDPOINT;
    }
  return used;
}

/* The end of one request may end others of its connection.  */
static void
refuse_marked (service_state_t *state)
{
  GList *link = state->waiting.head;

  while (link != NULL)
    {
      request_t *request = link->data;

      link = link->next;
      if (!request->refused)
        continue;
      request_refuse (request, request->refused_for, NULL);
      link = state->waiting.head;
    }
}

/* Starts the timer of the next round while requests wait.  */
static void
pace (service_state_t *state)
{
  proxy_t *proxy = state->proxy;

  if (state->waiting.length == 0 || state->in_round
      || ev_is_active (&state->again))
    return;
  ev_timer_set (&state->again,
                (double)probing_pause (&proxy->probing, probe_rate (proxy),
                                       proxy->settings.probes)
                    / 1000.0,
                0);
  ev_timer_start (proxy->loop, &state->again);
}

static void
decide (round_t *round)
{
  service_state_t *state = service_state (round->proxy, round->service);

  if (round->beside != NULL)
    decide_beside (round, round->beside);
  else
    {
      GArray *used = decide_waiting (round->proxy, round->service, round->held,
                                     round->n_held);

      for (guint i = 0; i < used->len; i++)
        for (int j = 0; j < round->n_held; j++)
          if (round->held[j] == g_array_index (used, uplink_t *, i))
            round->held[j--] = round->held[--round->n_held];
      g_array_free (used, TRUE);
    }
  if (round->repeated)
    state->in_round = false;
  drop (round);
  refuse_marked (state);
  pace (state);
}

bool
round_offer (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  const backend_t *backend = backends_get (proxy->backends, uplink->backend);
  GArray *used;
  bool result;

  if (backend == NULL
      || service_state (proxy, backend->service)->waiting.length == 0)
    return false;
  used = decide_waiting (proxy, backend->service, &uplink, 1);
  result = used->len > 0;
  g_array_free (used, TRUE);
  return result;
}
