#include "pool_state.h"

#include <stdlib.h>

/* Percentage of the pool's current capacity that must stay free after a grant
   for the grant to be reusable.  With fewer free slots, other holders would
   have to wait until reusable grants that are idle at their holders are
   recalled.  */
#define REUSE_MIN_FREE_PERCENT 50
#define PERCENT 100
/* Time for which a holder may reuse a grant that is issued while requests
   wait, for its own requests in the same queue.  Reuse saves returning the
   slot to the owner; the time is bounded, so that requests of other holders do
   not starve.  */
#define QUEUED_REUSE_MS 15
/* Maximum number of waiting requests for each slot of the current capacity.  A
   longer queue serves no more requests and only increases tail latency.  */
#define QUEUE_MAX_PER_SLOT 2
/* Factor between ms and 1/16 ms, the unit of averages.  */
#define SIXTEENTHS 16
/* The newest sample of the hold time has a weight of 1 /
   HOLD_TIME_EWMA_DIVISOR.  */
#define HOLD_TIME_EWMA_DIVISOR 8

static void fill_common_fields (const pool_t *pool, decide_msg_grant_t *msg);
static void refuse (pool_t *pool, clock_ms_t now, decide_id_t holder,
                    uint64_t request, decide_reason_t reason);
static pool_member_t *choose_member (pool_t *pool, clock_ms_t now);
static void issue_grant (pool_t *pool, clock_ms_t now, pool_member_t *member,
                         const pool_waiter_t *waiter, clock_ms_t lend_ms);
static void refuse_infeasible (pool_t *pool, clock_ms_t now);
static void remove_grant (pool_t *pool, uint32_t index);
static void recall_reusable (pool_t *pool, clock_ms_t now,
                             pool_grant_t *candidate);
static void update_hold_time (pool_t *pool, clock_ms_t sample_ms);
static int64_t median_latency_sixteenths (const pool_t *pool);
static clock_ms_t hold_time_ms (const pool_t *pool);
static clock_ms_t expected_wait_ms (const pool_t *pool, uint32_t position,
                                    uint32_t capacity);
static clock_ms_t estimate_retry_after_ms (const pool_t *pool, clock_ms_t now);

/* Sets the fields that every message to a holder has: pool, free and
   queued.  */
static void
fill_common_fields (const pool_t *pool, decide_msg_grant_t *msg)
{
  decide_pool_load_t load;

  pool_get_load (pool, &load);
  msg->pool = pool->settings.id;
  msg->free = load.free;
  msg->queued = load.queued;
}

static void
refuse (pool_t *pool, clock_ms_t now, decide_id_t holder, uint64_t request,
        decide_reason_t reason)
{
  decide_msg_grant_t msg = { .request = request,
                             .reason = reason,
                             .wait_ms = estimate_retry_after_ms (pool, now) };

  fill_common_fields (pool, &msg);
  pool->callbacks.refused (pool->callbacks.context, holder, &msg);
}

void
pool_refuse_all (pool_t *pool, clock_ms_t now, decide_reason_t reason)
{
  while (pool->queue.count > 0)
    {
      pool_waiter_t waiter
          = pool_queue_remove (&pool->queue, pool->queue.count - 1);

      refuse (pool, now, waiter.holder, waiter.request, reason);
    }
}

/* Returns the lower median of the endpoints' long-term latency averages in
   1/16 ms, or 0 if fewer than 2 endpoints have one.  The lower median of two
   endpoints is the faster one's average; with a mean, a slow endpoint would go
   unnoticed.  */
static int64_t
median_latency_sixteenths (const pool_t *pool)
{
  int64_t sorted[DECIDE_POOL_ENDPOINTS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < pool->settings.endpoint_count; i++)
    {
      int64_t latency_sixteenths
          = pool->members[i].limit.baseline_latency_sixteenths;
      uint32_t position = count;

      if (latency_sixteenths == 0)
        continue;
      for (; position > 0 && sorted[position - 1] > latency_sixteenths;
           position--)
        sorted[position] = sorted[position - 1];
      sorted[position] = latency_sixteenths;
      count++;
    }
  return count < 2 ? 0 : sorted[(count - 1) / 2];
}

/* Returns the average time that one attempt occupies a slot, in ms, rounded
   up.  */
static clock_ms_t
hold_time_ms (const pool_t *pool)
{
  return (pool->hold_time_sixteenths + SIXTEENTHS - 1) / SIXTEENTHS;
}

/* Returns the expected wait in ms of a request at a position of the queue,
   counted from 0.  It assumes that @capacity slots are in use, each for the
   average hold time, so that one of them becomes free every hold time /
   @capacity.  */
static clock_ms_t
expected_wait_ms (const pool_t *pool, uint32_t position, uint32_t capacity)
{
  return pool->hold_time_sixteenths * (position + 1)
         / ((int64_t)SIXTEENTHS * capacity);
}

/* Returns the retry-after time in ms of a refusal: the time in which the queue
   empties if no new requests arrive.  */
static clock_ms_t
estimate_retry_after_ms (const pool_t *pool, clock_ms_t now)
{
  uint32_t capacity = pool_capacity (pool, now);
  clock_ms_t wait;

  if (capacity == 0 || pool->hold_time_sixteenths == 0)
    return POOL_DEFAULT_RETRY_AFTER_MS;
  wait = expected_wait_ms (pool, pool->queue.count, capacity);
  return wait > 0 ? wait : 1;
}

/* Returns the available endpoint below its limit with the lowest product of
   latency and load, or NULL when there is none.  */
static pool_member_t *
choose_member (pool_t *pool, clock_ms_t now)
{
  int64_t median_sixteenths = median_latency_sixteenths (pool);
  uint32_t count = pool->settings.endpoint_count;
  pool_member_t *best = NULL;
  int64_t best_cost = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      /* The search starts at another endpoint for each grant, so that
         endpoints of equal cost share the load.  */
      pool_member_t *member = &pool->members[(pool->next_grant + i) % count];
      uint32_t limit = limit_current (&member->limit);
      int64_t cost;

      if (!pool_member_is_available (pool, member, now)
          || member->in_flight >= limit)
        continue;
      cost = (limit_decayed_latency_sixteenths (&member->limit, now,
                                                median_sixteenths)
              + 1)
             * (int64_t)(limit + member->in_flight) * SIXTEENTHS / limit;
      if (best != NULL && cost >= best_cost)
        continue;
      best = member;
      best_cost = cost;
    }
  return best;
}

static void
issue_grant (pool_t *pool, clock_ms_t now, pool_member_t *member,
             const pool_waiter_t *waiter, clock_ms_t lend_ms)
{
  decide_msg_grant_t msg = { .request = waiter->request,
                             .grant = pool->next_grant++,
                             .endpoint = member->settings.id,
                             .run_ms = waiter->run_ms,
                             .lend_ms = lend_ms,
                             .wait_ms = now - waiter->arrived_at };

  limit_record_grant (&member->limit, now, member->in_flight);
  member->in_flight++;
  pool->grants[pool->grant_count++]
      = (pool_grant_t){ .id = msg.grant,
                        .request = waiter->request,
                        .holder = waiter->holder,
                        .endpoint = msg.endpoint,
                        .granted_at = now,
                        .expires_at = now + lend_ms + waiter->run_ms,
                        .attempt_started_at = now,
                        .reusable = lend_ms > 0,
                        .only_for_queued
                        = lend_ms > 0 && pool->queue.count > 0 };
  if (pool->queue.count > 0)
    msg.priority = pool->queue.waiters[0].priority;
  fill_common_fields (pool, &msg);
  pool->callbacks.granted (pool->callbacks.context, waiter->holder, &msg);
}

void
pool_handle_grant_request (pool_t *pool, clock_ms_t now, decide_id_t holder,
                           const decide_msg_grant_t *msg)
{
  uint32_t capacity = pool_capacity (pool, now);
  uint32_t queue_max = QUEUE_MAX_PER_SLOT * capacity;
  pool_waiter_t waiter = { .holder = holder,
                           .request = msg->request,
                           .priority = msg->priority,
                           .deadline = now + msg->left_ms,
                           .arrived_at = now,
                           .run_ms = pool->settings.run_ms };
  decide_msg_grant_t queued = { .request = msg->request };
  pool_member_t *member;
  uint32_t position;

  if (msg->run_ms > 0 && msg->run_ms < waiter.run_ms)
    waiter.run_ms = msg->run_ms;
  if (capacity == 0)
    {
      refuse (pool, now, holder, msg->request, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  member = pool->queue.count == 0 ? choose_member (pool, now) : NULL;
  if (member != NULL)
    {
      decide_pool_load_t load;
      bool reusable;

      pool_get_load (pool, &load);
      reusable
          = msg->lend_ms > 0
            && (load.free - 1U) * PERCENT >= capacity * REUSE_MIN_FREE_PERCENT;
      issue_grant (pool, now, member, &waiter,
                   reusable ? DECIDE_GRANT_REUSE_MS : 0);
      return;
    }
  position = pool_queue_find_position (&pool->queue, &waiter);
  if (expected_wait_ms (pool, position, capacity) + hold_time_ms (pool)
      > msg->left_ms)
    {
      refuse (pool, now, holder, msg->request, DECIDE_REASON_DEADLINE);
      return;
    }
  if (queue_max > pool->queue.max)
    queue_max = pool->queue.max;
  if (pool->queue.count >= queue_max)
    {
      pool_waiter_t evicted;

      if (position >= pool->queue.count)
        {
          refuse (pool, now, holder, msg->request, DECIDE_REASON_QUEUE_FULL);
          return;
        }
      evicted = pool_queue_remove (&pool->queue, pool->queue.count - 1);
      refuse (pool, now, evicted.holder, evicted.request,
              DECIDE_REASON_QUEUE_FULL);
    }
  pool_queue_insert (&pool->queue, &waiter);
  queued.wait_ms = expected_wait_ms (pool, position, capacity);
  fill_common_fields (pool, &queued);
  pool->callbacks.queued (pool->callbacks.context, holder, &queued);
  pool_dispatch (pool, now);
}

/* Sends RECALL for a grant, unless it is not reusable, is lingering, or was
   recalled less than POOL_RECALL_RETRY_MS ago.  */
static void
recall_reusable (pool_t *pool, clock_ms_t now, pool_grant_t *candidate)
{
  decide_msg_grant_t msg = { .request = candidate->request,
                             .grant = candidate->id,
                             .endpoint = candidate->endpoint };

  if (!candidate->reusable || candidate->lingering
      || (candidate->recalled
          && now - candidate->recalled_at < POOL_RECALL_RETRY_MS))
    return;
  candidate->recalled = true;
  candidate->recalled_at = now;
  fill_common_fields (pool, &msg);
  pool->callbacks.recall (pool->callbacks.context, candidate->holder, &msg);
}

void
pool_recall_surplus (pool_t *pool, clock_ms_t now)
{
  for (uint32_t i = 0; i < pool->grant_count; i++)
    {
      pool_grant_t *candidate = &pool->grants[i];
      pool_member_t *member = pool_find_member (pool, candidate->endpoint);

      if (!pool_member_is_available (pool, member, now)
          || member->in_flight > limit_current (&member->limit))
        recall_reusable (pool, now, candidate);
    }
}

/* Refuses waiting requests that can no longer meet their deadline.  */
static void
refuse_infeasible (pool_t *pool, clock_ms_t now)
{
  for (uint32_t i = pool->queue.count; i-- > 0;)
    if (now >= pool->queue.waiters[i].deadline - hold_time_ms (pool))
      {
        pool_waiter_t waiter = pool_queue_remove (&pool->queue, i);

        refuse (pool, now, waiter.holder, waiter.request,
                DECIDE_REASON_DEADLINE);
      }
}

void
pool_dispatch (pool_t *pool, clock_ms_t now)
{
  refuse_infeasible (pool, now);
  /* Without capacity, no grant is possible before an endpoint was probed, and
     another pool can serve the requests sooner.  */
  if (pool->queue.count > 0 && pool_capacity (pool, now) == 0)
    pool_refuse_all (pool, now, DECIDE_REASON_NO_CAPACITY);
  while (pool->queue.count > 0)
    {
      pool_member_t *member;
      pool_waiter_t waiter;

      member = choose_member (pool, now);
      if (member == NULL)
        break;
      waiter = pool_queue_remove (&pool->queue, 0);
      issue_grant (pool, now, member, &waiter,
                   pool->queue.count > 0 ? QUEUED_REUSE_MS : 0);
    }
  if (pool->queue.count == 0)
    return;
  for (uint32_t i = 0; i < pool->grant_count; i++)
    if (!pool->grants[i].only_for_queued)
      recall_reusable (pool, now, &pool->grants[i]);
}

static void
remove_grant (pool_t *pool, uint32_t index)
{
  pool_member_t *member
      = pool_find_member (pool, pool->grants[index].endpoint);

  member->in_flight--;
  pool->grants[index] = pool->grants[--pool->grant_count];
  if (!member->configured && member->in_flight == 0)
    {
      /* Removed endpoints follow the configured ones in arbitrary order.  */
      *member = pool->members[--pool->member_count];
    }
}

void
pool_handle_grant_cancel (pool_t *pool, clock_ms_t now, decide_id_t holder,
                          uint64_t request)
{
  for (uint32_t i = 0; i < pool->queue.count; i++)
    if (pool->queue.waiters[i].holder == holder
        && pool->queue.waiters[i].request == request)
      {
        pool_queue_remove (&pool->queue, i);
        return;
      }
  for (uint32_t i = 0; i < pool->grant_count; i++)
    if (pool->grants[i].holder == holder && pool->grants[i].request == request
        && !pool->grants[i].lingering)
      {
        remove_grant (pool, i);
        pool_dispatch (pool, now);
        return;
      }
}

static void
update_hold_time (pool_t *pool, clock_ms_t sample_ms)
{
  int64_t sample_sixteenths = (int64_t)sample_ms * SIXTEENTHS;

  if (sample_sixteenths < 1)
    sample_sixteenths = 1;
  if (pool->hold_time_sixteenths == 0)
    pool->hold_time_sixteenths = sample_sixteenths;
  else
    pool->hold_time_sixteenths
        += (sample_sixteenths - pool->hold_time_sixteenths)
           / HOLD_TIME_EWMA_DIVISOR;
}

void
pool_handle_release (pool_t *pool, clock_ms_t now, decide_id_t holder,
                     const decide_msg_release_t *msg)
{
  pool_grant_t *released = NULL;
  pool_member_t *member;
  uint32_t index = 0;

  for (; index < pool->grant_count && released == NULL; index++)
    if (pool->grants[index].id == msg->grant
        && pool->grants[index].holder == holder
        && !pool->grants[index].lingering)
      released = &pool->grants[index];
  if (released == NULL)
    return;
  index--;
  member = pool_find_member (pool, released->endpoint);
  for (uint32_t i = 0; i < msg->earlier_count; i++)
    limit_record_attempt (&member->limit, now, &msg->earlier[i],
                          median_latency_sixteenths (pool));
  limit_restore_if_same_process (&member->limit, released->granted_at,
                                 &msg->end.load);
  limit_record_attempt (&member->limit, now, &msg->end,
                        median_latency_sixteenths (pool));
  /* Under other reusable grants, the time since the previous report may
     include time in which the grant was idle at its holder.  */
  if ((!released->reusable || released->only_for_queued)
      && msg->end.result != DECIDE_ATTEMPT_UNUSED
      && msg->end.result != DECIDE_ATTEMPT_CLOSED)
    update_hold_time (pool, now - released->attempt_started_at);
  released->attempt_started_at = now;
  switch (msg->end.result)
    {
    case DECIDE_ATTEMPT_RESET:
    case DECIDE_ATTEMPT_TIMEOUT:
    case DECIDE_ATTEMPT_BROKEN:
    case DECIDE_ATTEMPT_CANCELLED:
      released->lingering = true;
      if (released->expires_at > now + POOL_LINGER_MS)
        released->expires_at = now + POOL_LINGER_MS;
      break;
    case DECIDE_ATTEMPT_ANSWERED:
    case DECIDE_ATTEMPT_SHED:
    case DECIDE_ATTEMPT_NOT_SENT:
    case DECIDE_ATTEMPT_UNUSED:
    case DECIDE_ATTEMPT_CLOSED:
    default:
      if (!msg->keep)
        remove_grant (pool, index);
      break;
    }
  pool_recall_surplus (pool, now);
  pool_dispatch (pool, now);
}

void
pool_handle_probe_result (pool_t *pool, clock_ms_t now, decide_id_t endpoint,
                          bool ok, clock_ms_t latency_ms,
                          const decide_load_t *load)
{
  pool_member_t *member = pool_find_member (pool, endpoint);

  /* A probe runs other code in the backend server than requests do, so its
     latency says nothing about that of requests.  */
  (void)latency_ms;
  if (!pool->probing || pool->probed_endpoint != endpoint)
    return;
  pool->probing = false;
  if (member == NULL)
    return;
  limit_handle_probe_result (&member->limit, now, ok, load);
  pool_dispatch (pool, now);
}

clock_ms_t
pool_tick (pool_t *pool, clock_ms_t now)
{
  static const decide_load_t no_load = { .present = false };
  clock_ms_t due = INT64_MAX;

  for (uint32_t i = pool->grant_count; i-- > 0;)
    if (now >= pool->grants[i].expires_at)
      remove_grant (pool, i);
  if (pool->probing && now >= pool->probe_started_at + POOL_PROBE_TIMEOUT_MS)
    pool_handle_probe_result (pool, now, pool->probed_endpoint, false, 0,
                              &no_load);
  pool_dispatch (pool, now);
  for (uint32_t i = 0; i < pool->queue.count; i++)
    {
      clock_ms_t latest_start
          = pool->queue.waiters[i].deadline - hold_time_ms (pool);

      if (latest_start < due)
        due = latest_start;
    }
  for (uint32_t i = 0; i < pool->settings.endpoint_count; i++)
    {
      pool_member_t *member = &pool->members[i];
      clock_ms_t blocked_until = member->settings.grants_blocked_until;

      if (blocked_until > now && pool->queue.count > 0 && blocked_until < due)
        due = blocked_until;
      if (!pool_member_is_available (pool, member, now) || pool->probing)
        continue;
      /* A probe occupies a slot of the backend server too.  */
      if (limit_is_probe_due (&member->limit, now)
          && member->in_flight < member->settings.slots)
        {
          pool->probing = true;
          pool->probed_endpoint = member->settings.id;
          pool->probe_started_at = now;
          limit_record_probe_start (&member->limit, now);
          pool->callbacks.probe (pool->callbacks.context, pool->settings.id,
                                 pool->probed_endpoint);
        }
    }
  if (pool->probing)
    {
      if (pool->probe_started_at + POOL_PROBE_TIMEOUT_MS < due)
        due = pool->probe_started_at + POOL_PROBE_TIMEOUT_MS;
    }
  else
    for (uint32_t i = 0; i < pool->settings.endpoint_count; i++)
      {
        clock_ms_t probe_at = limit_next_probe_at (&pool->members[i].limit);

        if (pool_member_is_available (pool, &pool->members[i], now)
            && probe_at > now && probe_at < due)
          due = probe_at;
      }
  for (uint32_t i = 0; i < pool->grant_count; i++)
    if (pool->grants[i].expires_at < due)
      due = pool->grants[i].expires_at;
  return due;
}
