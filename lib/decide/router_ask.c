#include "router_state.h"

#include <stdlib.h>

static router_pool_state_t *find_or_create_pool_state (router_t *router,
                                                       decide_id_t pool);
static int rank_pool (router_t *router, clock_ms_t now,
                      const router_pending_request_t *pending,
                      const router_candidate_t *candidate, bool hedge);
static int64_t estimate_spare_slots (router_t *router,
                                     const router_candidate_t *candidate);
static const router_candidate_t *
pick_of_two (router_t *router, const router_candidate_t *candidates,
             const int *ranks, uint32_t count, int wanted_rank, bool local);
static const router_candidate_t *
choose_pool (router_t *router, clock_ms_t now,
             const router_pending_request_t *pending,
             router_candidate_t *candidates, bool hedge);
static router_grant_request_t *match_reply (router_t *router, clock_ms_t now,
                                            decide_id_t owner,
                                            const decide_msg_grant_t *msg);
static bool try_leave_queue (router_t *router, clock_ms_t now,
                             router_grant_request_t *grant_request,
                             clock_ms_t wait_ms);
static void try_next_pool (router_t *router, clock_ms_t now,
                           router_pending_request_t *pending, bool hedge,
                           const router_tried_pool_t *tried_pool);

/* When a local pool has refused a request because of its queue, a grant is
   requested from a pool in another data centre only if fewer requests than
   this wait in that pool.  When none were allowed to wait there, bursts of
   requests were refused although the load was below capacity.  Without a
   limit, 64% of capacity was answered at 150% load, instead of 96%.  */
#define REMOTE_QUEUE_MAX 6

/* Shortest expected wait for which a request leaves a local queue for a pool
   with free slots in another data centre.  A grant from there takes two
   one-way delays of 1.5 ms plus the time to process the messages.  */
#define REMOTE_MIN_WAIT_MS 4
/* Estimated spare slots that a pool in another data centre must have for a
   request to leave its local queue, since a single one may have been taken in
   the meantime.  */
#define REMOTE_MIN_SPARE_SLOTS 2

/* Ranks in the order in which pools are chosen: a fallback pool is chosen only
   if there is no suitable preferred pool, and an excluded one never.  A pool
   that refused the request is excluded.  */
enum
{
  RANK_PREFERRED,
  RANK_FALLBACK,
  RANK_EXCLUDED
};

/* Finds or creates the state of a pool.  Return: the state, or NULL when out
   of memory; pools are then chosen by heartbeats only.  */
static router_pool_state_t *
find_or_create_pool_state (router_t *router, decide_id_t pool)
{
  router_pool_state_t *pool_state
      = router_find (&router->pool_states, pool, 0);

  if (pool_state != NULL)
    return pool_state;
  pool_state = calloc (1, sizeof *pool_state);
  if (pool_state == NULL)
    return NULL;
  pool_state->key.number = pool;
  if (router_add (&router->pool_states, pool_state) < 0)
    {
      free (pool_state);
      return NULL;
    }
  return pool_state;
}

static int
rank_pool (router_t *router, clock_ms_t now,
           const router_pending_request_t *pending,
           const router_candidate_t *candidate, bool hedge)
{
  const router_pool_state_t *pool_state
      = router_find (&router->pool_states, candidate->pool, 0);
  const router_attempt_t *running = TAILQ_FIRST (&pending->attempts);

  if (candidate->out)
    return RANK_EXCLUDED;
  for (uint32_t i = 0; i < pending->tried_pool_count; i++)
    if (pending->tried_pools[i].pool == candidate->pool)
      return pending->tried_pools[i].refused ? RANK_EXCLUDED : RANK_FALLBACK;
  if (pool_state != NULL && now < pool_state->backoff_until)
    return RANK_FALLBACK;
  if (hedge && running != NULL && running->used_grant->pool == candidate->pool)
    return RANK_FALLBACK;
  return RANK_PREFERRED;
}

/* Estimates the spare slots of a pool: the free slots minus the waiting
   requests that its owner stated last, minus this instance's unanswered grant
   requests.  If the result is negative, requests have to wait.  */
static int64_t
estimate_spare_slots (router_t *router, const router_candidate_t *candidate)
{
  const router_pool_state_t *pool_state
      = router_find (&router->pool_states, candidate->pool, 0);
  int64_t spare_slots = (int64_t)candidate->free - candidate->queued;

  if (pool_state == NULL)
    return spare_slots;
  if (pool_state->seen > candidate->seen)
    spare_slots = pool_state->spare_slots;
  return spare_slots - pool_state->unanswered_count;
}

/* Chooses a candidate of the rank @wanted_rank that is local if @local is set,
   else remote, by the power of two choices: of two random ones, the one with
   more spare slots.  Return: NULL when there is no such candidate.  */
static const router_candidate_t *
pick_of_two (router_t *router, const router_candidate_t *candidates,
             const int *ranks, uint32_t count, int wanted_rank, bool local)
{
  uint32_t matching[ROUTER_CANDIDATES_MAX];
  uint32_t match_count = 0;
  const router_candidate_t *first;
  const router_candidate_t *second;
  uint32_t index;

  for (uint32_t i = 0; i < count; i++)
    if (ranks[i] == wanted_rank && candidates[i].local == local)
      matching[match_count++] = i;
  if (match_count == 0)
    return NULL;
  index = decide_rng_below (router->rng, match_count);
  first = &candidates[matching[index]];
  if (match_count == 1)
    return first;
  index += 1 + decide_rng_below (router->rng, match_count - 1);
  second = &candidates[matching[index % match_count]];
  return estimate_spare_slots (router, second)
                 > estimate_spare_slots (router, first)
             ? second
             : first;
}

/* Chooses the pool from which a grant is requested next, and fills @candidates
   with all pools of the service.  Return: an entry of @candidates, or NULL
   when no pool is suitable.  */
static const router_candidate_t *
choose_pool (router_t *router, clock_ms_t now,
             const router_pending_request_t *pending,
             router_candidate_t *candidates, bool hedge)
{
  int ranks[ROUTER_CANDIDATES_MAX];
  uint32_t count = router->callbacks.candidates (
      router->callbacks.context, pending->request.service, candidates,
      ROUTER_CANDIDATES_MAX);
  bool is_local_queue_too_long = false;

  for (uint32_t i = 0; i < count; i++)
    {
      ranks[i] = rank_pool (router, now, pending, &candidates[i], hedge);
      for (uint32_t j = 0;
           j < pending->tried_pool_count && candidates[i].local; j++)
        if (pending->tried_pools[j].pool == candidates[i].pool
            && pending->tried_pools[j].queue_too_long)
          is_local_queue_too_long = true;
    }
  for (int wanted_rank = RANK_PREFERRED; wanted_rank < RANK_EXCLUDED;
       wanted_rank++)
    {
      const router_candidate_t *local_choice
          = pick_of_two (router, candidates, ranks, count, wanted_rank, true);
      const router_candidate_t *remote_choice
          = pick_of_two (router, candidates, ranks, count, wanted_rank, false);

      if (pending->left_queue && remote_choice != NULL
          && estimate_spare_slots (router, remote_choice) > 0)
        return remote_choice;
      if (local_choice != NULL)
        return local_choice;
      /* A grant of a remote pool occupies its slot for two more round trips
         than a grant of a local one.  A request that a local pool turned away
         because of its queue therefore goes to a remote pool only if few
         requests wait there.  Other requests go there in any case.  */
      if (remote_choice != NULL
          && (estimate_spare_slots (router, remote_choice) > -REMOTE_QUEUE_MAX
              || !is_local_queue_too_long))
        return remote_choice;
    }
  return NULL;
}

bool
router_request_grant (router_t *router, clock_ms_t now,
                      router_pending_request_t *pending, bool hedge)
{
  router_candidate_t candidates[ROUTER_CANDIDATES_MAX];
  router_grant_request_t *grant_request = &pending->grant_request;
  const router_candidate_t *candidate;
  decide_msg_grant_t msg = { .priority = pending->request.priority,
                             .left_ms = pending->request.deadline - now,
                             .run_ms = pending->request.run_ms };
  router_pool_state_t *pool_state;

  if (pending->grant_requests_sent >= ROUTER_GRANT_REQUESTS_MAX)
    return false;
  candidate = choose_pool (router, now, pending, candidates, hedge);
  if (candidate == NULL)
    return false;
  *grant_request
      = (router_grant_request_t){ .key = { .number = ++router->last_number },
                                  .pending = pending,
                                  .pool = candidate->pool,
                                  .owner = candidate->owner,
                                  .sent_at = now,
                                  .timeout_at
                                  = now + DECIDE_OWNER_REPLY_TIMEOUT_MS,
                                  .hedge = hedge };
  if (router_add (&router->grant_requests, grant_request) < 0)
    {
      grant_request->key.number = 0;
      return false;
    }
  pending->grant_requests_sent++;
  pool_state = find_or_create_pool_state (router, candidate->pool);
  if (pool_state != NULL)
    pool_state->unanswered_count++;
  router_schedule (router, grant_request->timeout_at);
  msg.request = grant_request->key.number;
  msg.pool = candidate->pool;
  /* Reusable grants are not requested from other data centres: later requests
     would use them instead of free local slots.  */
  if (candidate->local && !hedge && !router->stopping)
    msg.lend_ms = DECIDE_GRANT_REUSE_MS;
  router->callbacks.request_grant_from_owner (router->callbacks.context,
                                              candidate->owner, &msg);
  return true;
}

void
router_end_grant_request (router_t *router, router_pending_request_t *pending,
                          bool notify_owner)
{
  router_grant_request_t *grant_request = &pending->grant_request;
  decide_msg_grant_t msg
      = { .request = grant_request->key.number, .pool = grant_request->pool };
  router_pool_state_t *pool_state;

  if (grant_request->key.number == 0)
    return;
  router_remove (&router->grant_requests, grant_request);
  grant_request->key.number = 0;
  pool_state = router_find (&router->pool_states, grant_request->pool, 0);
  if (pool_state != NULL && !grant_request->queued)
    pool_state->unanswered_count--;
  if (notify_owner)
    router->callbacks.cancel_grant_request (router->callbacks.context,
                                            grant_request->owner, &msg);
}

/* Records a pool that gave no usable grant to the request, and tries another
   pool.  If the grant was for a hedge and the first attempt is still running,
   no other pool is tried, and the request continues without a hedge.  */
static void
try_next_pool (router_t *router, clock_ms_t now,
               router_pending_request_t *pending, bool hedge,
               const router_tried_pool_t *tried_pool)
{
  if (pending->tried_pool_count < ROUTER_GRANT_REQUESTS_MAX)
    pending->tried_pools[pending->tried_pool_count++] = *tried_pool;
  /* If the first attempt has failed in the meantime, the request still needs a
     grant, which is then for a normal attempt.  */
  if (hedge && !TAILQ_EMPTY (&pending->attempts))
    return;
  router_dispatch (router, now, pending);
}

void
router_handle_grant_timeout (router_t *router, clock_ms_t now,
                             router_pending_request_t *pending)
{
  router_grant_request_t *grant_request = &pending->grant_request;
  router_pool_state_t *pool_state
      = router_find (&router->pool_states, grant_request->pool, 0);

  /* An owner that queued the request has answered before and may just be busy,
     so its pool is not made a fallback.  */
  if (pool_state != NULL && !grant_request->queued)
    pool_state->backoff_until = now + ROUTER_BACKOFF_MS;
  router_end_grant_request (router, pending, true);
  try_next_pool (router, now, pending, grant_request->hedge,
                 &(router_tried_pool_t){ .pool = grant_request->pool });
}

/* Finds the grant request to which a message is the reply, and updates the
   state of its pool.  Return: NULL when the grant request is no longer
   pending.  */
static router_grant_request_t *
match_reply (router_t *router, clock_ms_t now, decide_id_t owner,
             const decide_msg_grant_t *msg)
{
  router_grant_request_t *grant_request
      = router_find (&router->grant_requests, msg->request, 0);
  router_pool_state_t *pool_state;

  if (grant_request == NULL || grant_request->owner != owner)
    return NULL;
  pool_state = router_find (&router->pool_states, grant_request->pool, 0);
  if (pool_state == NULL)
    return grant_request;
  pool_state->backoff_until = 0;
  pool_state->spare_slots = (int64_t)msg->free - msg->queued;
  pool_state->seen = now;
  return grant_request;
}

void
router_handle_grant (router_t *router, clock_ms_t now, decide_id_t owner,
                     const decide_msg_grant_t *msg)
{
  router_grant_request_t *grant_request
      = match_reply (router, now, owner, msg);
  router_pending_request_t *pending;
  router_grant_t *grant;
  clock_ms_t waited_ms = msg->wait_ms;
  clock_ms_t reusable_ms;
  clock_ms_t valid_ms;
  clock_ms_t sent_at;
  bool hedge;

  if (grant_request == NULL)
    {
      router_return_unmatched_grant (router, owner, msg);
      return;
    }
  pending = grant_request->pending;
  hedge = grant_request->hedge;
  sent_at = grant_request->sent_at;
  router_end_grant_request (router, pending, false);
  grant = calloc (1, sizeof *grant);
  if (grant != NULL)
    {
      grant->key.number = msg->grant;
      grant->key.owner = owner;
    }
  if (grant == NULL || router_add (&router->grants, grant) < 0)
    {
      free (grant);
      router_return_unmatched_grant (router, owner, msg);
      if (TAILQ_EMPTY (&pending->attempts))
        router_refuse (router, now, pending, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  router->grant_count++;
  /* The owner counts lend_ms and run_ms from the issue of the grant.  The
     grant was issued no earlier than wait_ms after this instance sent the
     grant request, so the times computed from sent_at + wait_ms are not later
     than the owner's.  */
  if (waited_ms > now - sent_at)
    waited_ms = now - sent_at;
  if (waited_ms < 0)
    waited_ms = 0;
  reusable_ms = waited_ms + msg->lend_ms;
  valid_ms = reusable_ms + msg->run_ms;
  grant->pool = msg->pool;
  grant->endpoint = msg->endpoint;
  grant->reusable = msg->lend_ms > 0;
  grant->only_for_queued = grant->reusable && msg->queued > 0;
  grant->priority = msg->priority;
  grant->expires_at = sent_at + valid_ms
                      - valid_ms * ROUTER_CLOCK_DRIFT_PERCENT / 100
                      - ROUTER_TRANSIT_MARGIN_MS;
  grant->start_by = grant->expires_at - 1;
  if (grant->reusable)
    grant->start_by = sent_at + reusable_ms
                      - reusable_ms * ROUTER_CLOCK_DRIFT_PERCENT / 100 - 1;
  if (hedge)
    {
      /* A hedge on the endpoint of the first attempt would have no benefit. */
      const router_attempt_t *running = TAILQ_FIRST (&pending->attempts);

      if (running != NULL && running->used_grant->endpoint == grant->endpoint)
        {
          router_return_unused_grant (router, grant);
          return;
        }
    }
  if (now >= grant->start_by
      || !router->callbacks.usable (router->callbacks.context,
                                    pending->request.service, grant->pool,
                                    grant->endpoint))
    {
      router_return_unused_grant (router, grant);
      try_next_pool (router, now, pending, hedge,
                     &(router_tried_pool_t){ .pool = msg->pool });
      return;
    }
  if (router_start_attempt (router, now, pending, grant) < 0
      && TAILQ_EMPTY (&pending->attempts))
    router_refuse (router, now, pending, DECIDE_REASON_NO_CAPACITY);
}

/* Makes a request leave the queue of a local pool if a pool in another data
   centre has spare slots.  Return: whether the request left the queue.  */
static bool
try_leave_queue (router_t *router, clock_ms_t now,
                 router_grant_request_t *grant_request, clock_ms_t wait_ms)
{
  router_candidate_t candidates[ROUTER_CANDIDATES_MAX];
  router_pending_request_t *pending = grant_request->pending;
  bool is_queued_locally = false;
  bool has_remote_slots = false;
  uint32_t count;

  if (pending->left_queue || wait_ms < REMOTE_MIN_WAIT_MS)
    return false;
  count = router->callbacks.candidates (router->callbacks.context,
                                        pending->request.service, candidates,
                                        ROUTER_CANDIDATES_MAX);
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].local)
      is_queued_locally |= candidates[i].pool == grant_request->pool;
    else
      has_remote_slots
          |= rank_pool (router, now, pending, &candidates[i], false)
                 == RANK_PREFERRED
             && estimate_spare_slots (router, &candidates[i])
                    >= REMOTE_MIN_SPARE_SLOTS;
  if (!is_queued_locally || !has_remote_slots)
    return false;
  pending->left_queue = true;
  router_end_grant_request (router, pending, true);
  try_next_pool (router, now, pending, false,
                 &(router_tried_pool_t){ .pool = grant_request->pool,
                                         .queue_too_long = true });
  return true;
}

void
router_handle_queued (router_t *router, clock_ms_t now, decide_id_t owner,
                      const decide_msg_grant_t *msg)
{
  router_grant_request_t *grant_request
      = match_reply (router, now, owner, msg);
  router_pool_state_t *pool_state;

  if (grant_request == NULL)
    return;
  if (grant_request->hedge && !TAILQ_EMPTY (&grant_request->pending->attempts))
    {
      /* Hedges use only free slots and do not wait in queues.  */
      router_end_grant_request (router, grant_request->pending, true);
      return;
    }
  if (try_leave_queue (router, now, grant_request, msg->wait_ms))
    return;
  /* From now on the owner's heartbeats count the request as waiting.  */
  pool_state = router_find (&router->pool_states, grant_request->pool, 0);
  if (pool_state != NULL && !grant_request->queued)
    pool_state->unanswered_count--;
  grant_request->queued = true;
  grant_request->timeout_at = now + 2 * msg->wait_ms + ROUTER_QUEUE_MARGIN_MS;
  router_schedule (router, grant_request->timeout_at);
}

void
router_handle_refused (router_t *router, clock_ms_t now, decide_id_t owner,
                       const decide_msg_grant_t *msg)
{
  router_grant_request_t *grant_request
      = match_reply (router, now, owner, msg);
  router_tried_pool_t tried_pool
      = { .refused = true,
          .queue_too_long = msg->reason == DECIDE_REASON_QUEUE_FULL
                            || msg->reason == DECIDE_REASON_DEADLINE };
  router_pool_state_t *pool_state;

  if (grant_request == NULL)
    return;
  tried_pool.pool = grant_request->pool;
  pool_state = router_find (&router->pool_states, grant_request->pool, 0);
  /* A pool that refused for another reason than its queue has neither a usable
     slot nor waiting requests.  Without a backoff, it would appear idle and be
     chosen again.  */
  if (pool_state != NULL && !tried_pool.queue_too_long)
    pool_state->backoff_until
        = now
          + (msg->wait_ms < ROUTER_BACKOFF_MS ? msg->wait_ms
                                              : ROUTER_BACKOFF_MS);
  router_lower_retry_after (grant_request->pending, msg->wait_ms);
  grant_request->pending->reason = msg->reason;
  router_end_grant_request (router, grant_request->pending, false);
  try_next_pool (router, now, grant_request->pending, grant_request->hedge,
                 &tried_pool);
}

void
router_handle_owner_loss (router_t *router, clock_ms_t now, decide_id_t owner)
{
  router_service_t *service;
  router_pending_request_t *pending = TAILQ_FIRST (&router->pending);

  TAILQ_FOREACH (service, &router->service_list, link)
  {
    router_grant_t *grant = TAILQ_FIRST (&service->idle);

    while (grant != NULL)
      {
        router_grant_t *next = TAILQ_NEXT (grant, link);

        if (grant->key.owner == owner)
          router_return_unused_grant (router, grant);
        grant = next;
      }
  }
  while (pending != NULL)
    {
      router_pending_request_t *next = TAILQ_NEXT (pending, link);

      if (pending->grant_request.key.number != 0
          && pending->grant_request.owner == owner)
        router_handle_grant_timeout (router, now, pending);
      pending = next;
    }
}
