/* Rounds of probes: the endpoints asked for a request, and the decision when
   they have answered.  */

#include "proxy_private.h"

#include <errno.h>

/* A round is decided after it, with the answers that have come.  */
#define ROUND_WAIT_MS 40
/* Pause between rounds while nothing suitable is free; endpoints' loads change
   many times a second.  */
#define ROUND_PAUSE_MS 12
/* Each further round of a waiting request asks more endpoints of other data
   centres.  */
#define REMOTE_FIRST 1
#define REMOTE_LATER 3
/* From this round on any endpoint is asked.  */
#define WIDE_FROM 3

static void on_timer (struct ev_loop *loop, ev_timer *watcher, int events);
static void decide (round_t *round);
static void drop (round_t *round);
static void release_held (round_t *round, uplink_t *except);
static uplink_t *best_for (const round_t *round, const request_t *request,
                           double *estimate);
static bool was_tried (const request_t *request, const uplink_t *uplink);
static request_t *first_waiting (proxy_t *proxy, service_ref_t service);
static void decide_beside (round_t *round, request_t *request);

void
round_start (request_t *request, bool beside)
{
  proxy_t *proxy = request->proxy;
  backend_ref_t chosen[CHOOSE_MAX];
  choose_wish_t wish
      = { .service = request->service,
          .excluded = request->tried,
          .n_excluded = request->n_tried,
          .count = probe_allowance (proxy, proxy->settings.probes),
          .wide = request->rounds >= WIDE_FROM,
          .remote = request->bulk          ? 0
                    : request->rounds == 0 ? REMOTE_FIRST
                                           : REMOTE_LATER };
  round_t *round;
  int n;

  ev_timer_stop (proxy->loop, &request->again);
  n = choose_candidates (proxy->backends, &wish, &proxy->rng, clock_now (),
                         chosen);
  round = g_new0 (round_t, 1);
  round->proxy = proxy;
  round->request = request;
  round->service = request->service;
  round->beside = beside;
  ev_timer_init (&round->timer, on_timer, ROUND_WAIT_MS / 1000.0, 0);
  round->timer.data = round;
  ev_timer_start (proxy->loop, &round->timer);
  request->round = round;
  request->rounds++;
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

void
round_probed (round_t *round, uplink_t *uplink)
{
  round->held[round->n_held++] = uplink;
  round_failed (round);
}

/* The request needs no more probes; connections go back as they answer.  */
void
round_leave (request_t *request)
{
  round_t *round = request->round;

  if (round == NULL)
    return;
  request->round = NULL;
  round->request = NULL;
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
  if (round->request != NULL)
    round->request->round = NULL;
  g_free (round);
}

static void
release_held (round_t *round, uplink_t *except)
{
  for (int i = 0; i < round->n_held; i++)
    if (round->held[i] != except)
      uplink_release (round->held[i]);
  round->n_held = 0;
}

static bool
was_tried (const request_t *request, const uplink_t *uplink)
{
  for (int i = 0; i < request->n_tried; i++)
    if (request->tried[i].index == uplink->backend.index
        && request->tried[i].generation == uplink->backend.generation)
      return true;
  return false;
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

      if (backend == NULL || uplink->dead || was_tried (request, uplink)
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

/* The waiting request that the service serves next.  */
static request_t *
first_waiting (proxy_t *proxy, service_ref_t service)
{
  service_state_t *state = service_state (proxy, service);
  clock_ms_t now = clock_now ();
  request_t *first = NULL;

  for (GList *link = state->waiting.head; link != NULL; link = link->next)
    {
      request_t *request = link->data;

      if (first == NULL
          || admission_before (&request->admission, &first->admission, now))
        first = request;
    }
  return first;
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

  request->round = NULL;
  round->request = NULL;
  /* While others wait for a first attempt there is no room for a second.  */
  if (backend == NULL || state->waiting.length > 0
      || backend->load.running + backend->load.waiting >= backend->load.slots
      || now + (clock_ms_t)estimate > request->admission.give_up_at
      || !repeats_take (&state->repeats, &proxy->settings.repeats,
                        proxy->instances, now))
    {
      drop (round);
      return;
    }
  release_held (round, best);
  telemetry_count (TELEMETRY_HEDGES, 0);
  decision_log (request, G_LOG_LEVEL_INFO, "second attempt beside the first",
                backend, NULL);
  request_send (request, best);
  drop (round);
}

static void
decide (round_t *round)
{
  request_t *own = round->request;
  request_t *request;
  uplink_t *best;
  const backend_t *backend;
  double estimate = 0;
  admission_t admission;

  if (own != NULL && round->beside)
    {
      decide_beside (round, own);
      return;
    }
  request = first_waiting (round->proxy, round->service);
  best = request != NULL ? best_for (round, request, &estimate) : NULL;
  if (request != NULL && best == NULL && own != NULL && own != request)
    {
      request = own;
      best = best_for (round, own, &estimate);
    }
  if (request == NULL)
    {
      drop (round);
      return;
    }
  backend = best != NULL ? backends_get (round->proxy->backends, best->backend)
                         : NULL;
  admission = admission_decide (&request->admission,
                                backend != NULL ? &backend->load : NULL,
                                estimate, clock_now ());
  if (admission == ADMISSION_SEND && best != NULL)
    {
      release_held (round, best);
      round_leave (request);
      request_send (request, best);
    }
  else if (admission == ADMISSION_REFUSE)
    {
      round_leave (request);
      if (backend != NULL)
        decision_log (request, G_LOG_LEVEL_DEBUG, "best of the round", backend,
                      NULL);
      request_refuse (
          request, backend == NULL ? OUTCOME_NO_ENDPOINT : OUTCOME_FULL, NULL);
    }
  /* The request of this round goes on waiting when another one took the
     endpoint.  */
  own = round->request;
  drop (round);
  if (own != NULL && own->state == REQUEST_WAITING)
    request_wait (own, ROUND_PAUSE_MS);
}

bool
round_offer (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  request_t *request;
  clock_ms_t now = clock_now ();
  double estimate;

  if (backend == NULL || !choose_allows (proxy->backends, backend, now))
    return false;
  request = first_waiting (proxy, backend->service);
  if (request == NULL || was_tried (request, uplink))
    return false;
  (void)choose_cost (proxy->backends, backend, request->admission.base,
                     request->bulk, now, &estimate);
  if (admission_decide (&request->admission, &backend->load, estimate, now)
      != ADMISSION_SEND)
    return false;
  round_leave (request);
  request_send (request, uplink);
  return true;
}
