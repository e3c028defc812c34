#include "router_state.h"

#include <stdlib.h>

static router_note_t *find_note (router_t *router, decide_id_t pool);
static int rank (router_t *router, clock_ms_t now,
                 const router_pending_t *pending,
                 const router_candidate_t *candidate, bool hedge);
static int64_t spare (router_t *router, const router_candidate_t *candidate);
static const router_candidate_t *pick (router_t *router,
                                       const router_candidate_t *candidates,
                                       const int *ranks, uint32_t count,
                                       int wanted, bool local);
static const router_candidate_t *choose (router_t *router, clock_ms_t now,
                                         const router_pending_t *pending,
                                         router_candidate_t *candidates,
                                         bool hedge);
static router_ask_t *answered_ask (router_t *router, clock_ms_t now,
                                   decide_id_t owner,
                                   const decide_msg_grant_t *msg);
static bool leave_queue (router_t *router, clock_ms_t now, router_ask_t *ask,
                         clock_ms_t wait_ms);
static void ask_elsewhere (router_t *router, clock_ms_t now,
                           router_pending_t *pending, bool hedge,
                           const router_tried_t *tried);

/* Requests that may wait in another data centre's pool for one more to join
   them.  With none, bursts were refused below capacity; without a bound, 64%
   of capacity was answered at 150% load in place of 96%.  */
#define FAR_QUEUE_MAX 6

/* Expected wait in ms from which a request rather asks a pool of another data
   centre that states free slots: a grant from there takes two ways of 1.5 ms
   and the messages' own time.  */
#define FAR_WAIT_MS 4
/* The last free slot there may have been taken since it was stated.  */
#define FAR_SPARE_MIN 2

/* Order in which pools are asked; a pool that refused is not asked again. */
enum
{
  RANK_FRESH,
  RANK_DOUBTFUL,
  RANK_NEVER
};

/* Return: the note, or NULL when out of memory; notes only improve choices. */
static router_note_t *
find_note (router_t *router, decide_id_t pool)
{
  router_note_t *note = router_find (&router->notes, pool, 0);

  if (note != NULL)
    return note;
  note = calloc (1, sizeof *note);
  if (note == NULL)
    return NULL;
  note->key.number = pool;
  if (router_add (&router->notes, note) < 0)
    {
      free (note);
      return NULL;
    }
  return note;
}

static int
rank (router_t *router, clock_ms_t now, const router_pending_t *pending,
      const router_candidate_t *candidate, bool hedge)
{
  const router_note_t *note = router_find (&router->notes, candidate->pool, 0);
  const router_attempt_t *running = TAILQ_FIRST (&pending->attempts);

  if (candidate->out)
    return RANK_NEVER;
  for (uint32_t i = 0; i < pending->tried_count; i++)
    if (pending->tried[i].pool == candidate->pool)
      return pending->tried[i].refused ? RANK_NEVER : RANK_DOUBTFUL;
  if (note != NULL && now < note->avoid_until)
    return RANK_DOUBTFUL;
  if (hedge && running != NULL && running->held->pool == candidate->pool)
    return RANK_DOUBTFUL;
  return RANK_FRESH;
}

/* Free slots less waiting requests as last stated, and less what this instance
   has asked for since.  */
static int64_t
spare (router_t *router, const router_candidate_t *candidate)
{
  const router_note_t *note = router_find (&router->notes, candidate->pool, 0);
  int64_t stated = (int64_t)candidate->free - candidate->queued;

  if (note == NULL)
    return stated;
  if (note->seen > candidate->seen)
    stated = note->spare;
  return stated - note->asked;
}

/* Power of two choices among the candidates of one rank and place.  */
static const router_candidate_t *
pick (router_t *router, const router_candidate_t *candidates, const int *ranks,
      uint32_t count, int wanted, bool local)
{
  uint32_t matching[ROUTER_CANDIDATES_MAX];
  uint32_t matches = 0;
  const router_candidate_t *first;
  const router_candidate_t *second;
  uint32_t at;

  for (uint32_t i = 0; i < count; i++)
    if (ranks[i] == wanted && candidates[i].local == local)
      matching[matches++] = i;
  if (matches == 0)
    return NULL;
  at = decide_rng_below (router->rng, matches);
  first = &candidates[matching[at]];
  if (matches == 1)
    return first;
  at += 1 + decide_rng_below (router->rng, matches - 1);
  second = &candidates[matching[at % matches]];
  return spare (router, second) > spare (router, first) ? second : first;
}

static const router_candidate_t *
choose (router_t *router, clock_ms_t now, const router_pending_t *pending,
        router_candidate_t *candidates, bool hedge)
{
  int ranks[ROUTER_CANDIDATES_MAX];
  uint32_t count = router->callbacks.candidates (
      router->callbacks.context, pending->request.service, candidates,
      ROUTER_CANDIDATES_MAX);
  bool full_near = false;

  for (uint32_t i = 0; i < count; i++)
    {
      ranks[i] = rank (router, now, pending, &candidates[i], hedge);
      for (uint32_t j = 0; j < pending->tried_count && candidates[i].local;
           j++)
        if (pending->tried[j].pool == candidates[i].pool
            && pending->tried[j].full)
          full_near = true;
    }
  for (int wanted = RANK_FRESH; wanted < RANK_NEVER; wanted++)
    {
      const router_candidate_t *near
          = pick (router, candidates, ranks, count, wanted, true);
      const router_candidate_t *far
          = pick (router, candidates, ranks, count, wanted, false);

      if (pending->left_queue && far != NULL && spare (router, far) > 0)
        return far;
      if (near != NULL)
        return near;
      /* A grant used from another data centre keeps its slot for two more
         round trips, so it must not displace many requests that wait there. */
      if (far != NULL && (spare (router, far) > -FAR_QUEUE_MAX || !full_near))
        return far;
    }
  return NULL;
}

bool
router_ask_owner (router_t *router, clock_ms_t now, router_pending_t *pending,
                  bool hedge)
{
  router_candidate_t candidates[ROUTER_CANDIDATES_MAX];
  router_ask_t *ask = &pending->ask;
  const router_candidate_t *candidate;
  decide_msg_grant_t msg = { .priority = pending->request.priority,
                             .left_ms = pending->request.deadline - now,
                             .run_ms = pending->request.run_ms };
  router_note_t *note;

  if (pending->asked >= ROUTER_ASKS_MAX)
    return false;
  candidate = choose (router, now, pending, candidates, hedge);
  if (candidate == NULL)
    return false;
  *ask = (router_ask_t){ .key = { .number = ++router->next },
                         .pending = pending,
                         .pool = candidate->pool,
                         .owner = candidate->owner,
                         .sent = now,
                         .give_up = now + DECIDE_OWNER_REPLY_MS,
                         .hedge = hedge };
  if (router_add (&router->asks, ask) < 0)
    {
      ask->key.number = 0;
      return false;
    }
  pending->asked++;
  note = find_note (router, candidate->pool);
  if (note != NULL)
    note->asked++;
  router_due_by (router, ask->give_up);
  msg.request = ask->key.number;
  msg.pool = candidate->pool;
  /* Grants of other data centres are not borrowed: later requests would use
     them in place of free slots nearby.  */
  if (candidate->local && !hedge && !router->stopping)
    msg.lend_ms = DECIDE_LEND_MS;
  router->callbacks.ask (router->callbacks.context, candidate->owner, &msg);
  return true;
}

void
router_drop_ask (router_t *router, router_pending_t *pending, bool tell)
{
  router_ask_t *ask = &pending->ask;
  decide_msg_grant_t msg = { .request = ask->key.number, .pool = ask->pool };
  router_note_t *note;

  if (ask->key.number == 0)
    return;
  router_remove (&router->asks, ask);
  ask->key.number = 0;
  note = router_find (&router->notes, ask->pool, 0);
  if (note != NULL && !ask->queued)
    note->asked--;
  if (tell)
    router->callbacks.cancel_ask (router->callbacks.context, ask->owner, &msg);
}

/* Tries the next pool; a hedge is given up instead.  */
static void
ask_elsewhere (router_t *router, clock_ms_t now, router_pending_t *pending,
               bool hedge, const router_tried_t *tried)
{
  if (pending->tried_count < ROUTER_ASKS_MAX)
    pending->tried[pending->tried_count++] = *tried;
  /* The first attempt may have failed while the hedge was asked for.  */
  if (hedge && !TAILQ_EMPTY (&pending->attempts))
    return;
  router_start (router, now, pending);
}

void
router_ask_late (router_t *router, clock_ms_t now, router_pending_t *pending)
{
  router_ask_t *ask = &pending->ask;
  router_note_t *note = router_find (&router->notes, ask->pool, 0);

  /* An owner that queued the request has answered; it may only be busy.  */
  if (note != NULL && !ask->queued)
    note->avoid_until = now + ROUTER_AVOID_MS;
  router_drop_ask (router, pending, true);
  ask_elsewhere (router, now, pending, ask->hedge,
                 &(router_tried_t){ .pool = ask->pool });
}

/* Finds the ask that a message answers; its owner is alive.  */
static router_ask_t *
answered_ask (router_t *router, clock_ms_t now, decide_id_t owner,
              const decide_msg_grant_t *msg)
{
  router_ask_t *ask = router_find (&router->asks, msg->request, 0);
  router_note_t *note;

  if (ask == NULL || ask->owner != owner)
    return NULL;
  note = router_find (&router->notes, ask->pool, 0);
  if (note == NULL)
    return ask;
  note->avoid_until = 0;
  note->spare = (int64_t)msg->free - msg->queued;
  note->seen = now;
  return ask;
}

void
router_granted (router_t *router, clock_ms_t now, decide_id_t owner,
                const decide_msg_grant_t *msg)
{
  router_ask_t *ask = answered_ask (router, now, owner, msg);
  router_pending_t *pending;
  router_held_t *held;
  clock_ms_t waited = msg->wait_ms;
  clock_ms_t lent_for;
  clock_ms_t valid_for;
  clock_ms_t sent;
  bool hedge;

  if (ask == NULL)
    {
      router_release_unknown (router, owner, msg);
      return;
    }
  pending = ask->pending;
  hedge = ask->hedge;
  sent = ask->sent;
  router_drop_ask (router, pending, false);
  held = calloc (1, sizeof *held);
  if (held != NULL)
    {
      held->key.number = msg->grant;
      held->key.owner = owner;
    }
  if (held == NULL || router_add (&router->helds, held) < 0)
    {
      free (held);
      router_release_unknown (router, owner, msg);
      if (TAILQ_EMPTY (&pending->attempts))
        router_refuse (router, now, pending, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  router->held_count++;
  /* The owner counts from its grant, which was at least the time that the
     request waited there after it was sent.  */
  if (waited > now - sent)
    waited = now - sent;
  if (waited < 0)
    waited = 0;
  lent_for = waited + msg->lend_ms;
  valid_for = lent_for + msg->run_ms;
  held->pool = msg->pool;
  held->endpoint = msg->endpoint;
  held->lent = msg->lend_ms > 0;
  held->chained = held->lent && msg->queued > 0;
  held->priority = msg->priority;
  held->expires = sent + valid_for - valid_for * ROUTER_DRIFT_PERCENT / 100
                  - ROUTER_TRANSIT_MS;
  held->start_by = held->expires - 1;
  if (held->lent)
    held->start_by
        = sent + lent_for - lent_for * ROUTER_DRIFT_PERCENT / 100 - 1;
  if (hedge)
    {
      /* A second attempt on the same endpoint gains nothing.  */
      const router_attempt_t *running = TAILQ_FIRST (&pending->attempts);

      if (running != NULL && running->held->endpoint == held->endpoint)
        {
          router_return_unused (router, held);
          return;
        }
    }
  if (now >= held->start_by
      || !router->callbacks.usable (router->callbacks.context,
                                    pending->request.service, held->pool,
                                    held->endpoint))
    {
      router_return_unused (router, held);
      ask_elsewhere (router, now, pending, hedge,
                     &(router_tried_t){ .pool = msg->pool });
      return;
    }
  if (router_forward_with (router, now, pending, held) < 0
      && TAILQ_EMPTY (&pending->attempts))
    router_refuse (router, now, pending, DECIDE_REASON_NO_CAPACITY);
}

/* Gives up a place in the queue of a near pool for free slots of another data
   centre.  Return: whether it did.  */
static bool
leave_queue (router_t *router, clock_ms_t now, router_ask_t *ask,
             clock_ms_t wait_ms)
{
  router_candidate_t candidates[ROUTER_CANDIDATES_MAX];
  router_pending_t *pending = ask->pending;
  bool queued_near = false;
  bool free_far = false;
  uint32_t count;

  if (pending->left_queue || wait_ms < FAR_WAIT_MS)
    return false;
  count = router->callbacks.candidates (router->callbacks.context,
                                        pending->request.service, candidates,
                                        ROUTER_CANDIDATES_MAX);
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].local)
      queued_near |= candidates[i].pool == ask->pool;
    else
      free_far
          |= rank (router, now, pending, &candidates[i], false) == RANK_FRESH
             && spare (router, &candidates[i]) >= FAR_SPARE_MIN;
  if (!queued_near || !free_far)
    return false;
  pending->left_queue = true;
  router_drop_ask (router, pending, true);
  ask_elsewhere (router, now, pending, false,
                 &(router_tried_t){ .pool = ask->pool, .full = true });
  return true;
}

void
router_queued (router_t *router, clock_ms_t now, decide_id_t owner,
               const decide_msg_grant_t *msg)
{
  router_ask_t *ask = answered_ask (router, now, owner, msg);
  router_note_t *note;

  if (ask == NULL)
    return;
  if (ask->hedge && !TAILQ_EMPTY (&ask->pending->attempts))
    {
      /* Hedges use free slots only.  */
      router_drop_ask (router, ask->pending, true);
      return;
    }
  if (leave_queue (router, now, ask, msg->wait_ms))
    return;
  /* The owner's advertisement counts the request from now on.  */
  note = router_find (&router->notes, ask->pool, 0);
  if (note != NULL && !ask->queued)
    note->asked--;
  ask->queued = true;
  ask->give_up = now + 2 * msg->wait_ms + ROUTER_QUEUE_SLACK_MS;
  router_due_by (router, ask->give_up);
}

void
router_refused (router_t *router, clock_ms_t now, decide_id_t owner,
                const decide_msg_grant_t *msg)
{
  router_ask_t *ask = answered_ask (router, now, owner, msg);
  router_tried_t tried = { .refused = true,
                           .full = msg->reason == DECIDE_REASON_QUEUE_FULL
                                   || msg->reason == DECIDE_REASON_DEADLINE };
  router_note_t *note;

  if (ask == NULL)
    return;
  tried.pool = ask->pool;
  note = router_find (&router->notes, ask->pool, 0);
  /* A pool without any usable slot has no queue and would look idle.  */
  if (note != NULL && !tried.full)
    note->avoid_until
        = now
          + (msg->wait_ms < ROUTER_AVOID_MS ? msg->wait_ms : ROUTER_AVOID_MS);
  router_note_retry (ask->pending, msg->wait_ms);
  ask->pending->reason = msg->reason;
  router_drop_ask (router, ask->pending, false);
  ask_elsewhere (router, now, ask->pending, ask->hedge, &tried);
}

void
router_owner_lost (router_t *router, clock_ms_t now, decide_id_t owner)
{
  router_service_t *service;
  router_pending_t *pending = TAILQ_FIRST (&router->pending);

  TAILQ_FOREACH (service, &router->service_list, link)
  {
    router_held_t *held = TAILQ_FIRST (&service->idle);

    while (held != NULL)
      {
        router_held_t *next = TAILQ_NEXT (held, link);

        if (held->key.owner == owner)
          router_return_unused (router, held);
        held = next;
      }
  }
  while (pending != NULL)
    {
      router_pending_t *next = TAILQ_NEXT (pending, link);

      if (pending->ask.key.number != 0 && pending->ask.owner == owner)
        router_ask_late (router, now, pending);
      pending = next;
    }
}
