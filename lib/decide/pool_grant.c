#include "pool_state.h"

#include <stdlib.h>

/* Slots of the pool, in percent, that must stay free for a grant to be lent:
   lent grants that lie idle at holders would make others wait for a recall. */
#define LEND_FREE_PERCENT 50
#define PERCENT 100
/* While requests wait, a holder may pass its grant on to another one of its
   requests in the same queue for this long.  It saves the way of the slot over
   the owner; the bound limits how long requests of other holders wait behind.
   */
#define CHAIN_MS 15
/* Waiting requests for each slot in use.  A longer queue answers no more
   requests and only lengthens the tail.  */
#define QUEUE_PER_SLOT 2
#define SIXTEENTHS 16
/* Weight of the newest sample of the hold time is 1 / HOLD_WEIGHT.  */
#define HOLD_WEIGHT 8

static void answer (const pool_t *pool, decide_msg_grant_t *msg);
static void refuse (pool_t *pool, clock_ms_t now, decide_id_t holder,
                    uint64_t request, decide_reason_t reason);
static pool_member_t *choose (pool_t *pool, clock_ms_t now);
static void grant (pool_t *pool, clock_ms_t now, pool_member_t *member,
                   const pool_waiter_t *waiter, clock_ms_t lend_ms);
static void refuse_late (pool_t *pool, clock_ms_t now);
static void drop_grant (pool_t *pool, uint32_t index);
static void recall (pool_t *pool, clock_ms_t now, pool_grant_t *lent);
static void measure_hold (pool_t *pool, clock_ms_t held_ms);
static int64_t median_16 (const pool_t *pool);
static clock_ms_t hold_ms (const pool_t *pool);
static clock_ms_t expected_wait (const pool_t *pool, uint32_t place,
                                 uint32_t capacity);
static clock_ms_t retry_after (const pool_t *pool, clock_ms_t now);

/* Sets what every answer to a holder carries.  */
static void
answer (const pool_t *pool, decide_msg_grant_t *msg)
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
                             .wait_ms = retry_after (pool, now) };

  answer (pool, &msg);
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

/* Lower median of the endpoints' latency averages: with two endpoints the
   faster one is the reference, else a slow one would hide itself.  */
static int64_t
median_16 (const pool_t *pool)
{
  int64_t sorted[DECIDE_POOL_ENDPOINTS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < pool->settings.endpoint_count; i++)
    {
      int64_t latency_16 = pool->members[i].limit.base_16;
      uint32_t at = count;

      if (latency_16 == 0)
        continue;
      for (; at > 0 && sorted[at - 1] > latency_16; at--)
        sorted[at] = sorted[at - 1];
      sorted[at] = latency_16;
      count++;
    }
  return count < 2 ? 0 : sorted[(count - 1) / 2];
}

static clock_ms_t
hold_ms (const pool_t *pool)
{
  return (pool->hold_16 + SIXTEENTHS - 1) / SIXTEENTHS;
}

/* Slots become free every hold time divided by the capacity.  */
static clock_ms_t
expected_wait (const pool_t *pool, uint32_t place, uint32_t capacity)
{
  return pool->hold_16 * (place + 1) / ((int64_t)SIXTEENTHS * capacity);
}

/* Time in which the queue drains without further requests.  */
static clock_ms_t
retry_after (const pool_t *pool, clock_ms_t now)
{
  uint32_t capacity = pool_capacity (pool, now);
  clock_ms_t wait;

  if (capacity == 0 || pool->hold_16 == 0)
    return POOL_RETRY_MS;
  wait = expected_wait (pool, pool->queue.count, capacity);
  return wait > 0 ? wait : 1;
}

static pool_member_t *
choose (pool_t *pool, clock_ms_t now)
{
  int64_t median = median_16 (pool);
  uint32_t count = pool->settings.endpoint_count;
  pool_member_t *best = NULL;
  int64_t best_cost = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      /* The start rotates, so that equal endpoints share the work.  */
      pool_member_t *member = &pool->members[(pool->next_grant + i) % count];
      uint32_t limit = limit_current (&member->limit);
      int64_t cost;

      if (!pool_member_open (pool, member, now) || member->in_flight >= limit)
        continue;
      cost = (limit_score (&member->limit, now, median) + 1)
             * (int64_t)(limit + member->in_flight) * SIXTEENTHS / limit;
      if (best != NULL && cost >= best_cost)
        continue;
      best = member;
      best_cost = cost;
    }
  return best;
}

static void
grant (pool_t *pool, clock_ms_t now, pool_member_t *member,
       const pool_waiter_t *waiter, clock_ms_t lend_ms)
{
  decide_msg_grant_t msg = { .request = waiter->request,
                             .grant = pool->next_grant++,
                             .endpoint = member->settings.id,
                             .run_ms = waiter->run_ms,
                             .lend_ms = lend_ms,
                             .wait_ms = now - waiter->arrived };

  limit_used (&member->limit, now, member->in_flight);
  member->in_flight++;
  pool->grants[pool->grant_count++]
      = (pool_grant_t){ .id = msg.grant,
                        .request = waiter->request,
                        .holder = waiter->holder,
                        .endpoint = msg.endpoint,
                        .granted_at = now,
                        .expires_at = now + lend_ms + waiter->run_ms,
                        .used_from = now,
                        .lent = lend_ms > 0,
                        .chained = lend_ms > 0 && pool->queue.count > 0 };
  if (pool->queue.count > 0)
    msg.priority = pool->queue.waiters[0].priority;
  answer (pool, &msg);
  pool->callbacks.granted (pool->callbacks.context, waiter->holder, &msg);
}

void
pool_request (pool_t *pool, clock_ms_t now, decide_id_t holder,
              const decide_msg_grant_t *msg)
{
  uint32_t capacity = pool_capacity (pool, now);
  uint32_t bound = QUEUE_PER_SLOT * capacity;
  pool_waiter_t waiter = { .holder = holder,
                           .request = msg->request,
                           .priority = msg->priority,
                           .deadline = now + msg->left_ms,
                           .arrived = now,
                           .run_ms = pool->settings.run_ms };
  decide_msg_grant_t queued = { .request = msg->request };
  pool_member_t *member;
  uint32_t place;

  if (msg->run_ms > 0 && msg->run_ms < waiter.run_ms)
    waiter.run_ms = msg->run_ms;
  if (capacity == 0)
    {
      refuse (pool, now, holder, msg->request, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  member = pool->queue.count == 0 ? choose (pool, now) : NULL;
  if (member != NULL)
    {
      decide_pool_load_t load;
      bool lend;

      pool_get_load (pool, &load);
      lend = msg->lend_ms > 0
             && (load.free - 1U) * PERCENT >= capacity * LEND_FREE_PERCENT;
      grant (pool, now, member, &waiter, lend ? DECIDE_GRANT_REUSE_MS : 0);
      return;
    }
  place = pool_queue_place (&pool->queue, &waiter);
  if (expected_wait (pool, place, capacity) + hold_ms (pool) > msg->left_ms)
    {
      refuse (pool, now, holder, msg->request, DECIDE_REASON_DEADLINE);
      return;
    }
  if (bound > pool->queue.max)
    bound = pool->queue.max;
  if (pool->queue.count >= bound)
    {
      pool_waiter_t last;

      if (place >= pool->queue.count)
        {
          refuse (pool, now, holder, msg->request, DECIDE_REASON_QUEUE_FULL);
          return;
        }
      last = pool_queue_remove (&pool->queue, pool->queue.count - 1);
      refuse (pool, now, last.holder, last.request, DECIDE_REASON_QUEUE_FULL);
    }
  pool_queue_insert (&pool->queue, &waiter);
  queued.wait_ms = expected_wait (pool, place, capacity);
  answer (pool, &queued);
  pool->callbacks.queued (pool->callbacks.context, holder, &queued);
  pool_dispatch (pool, now);
}

static void
recall (pool_t *pool, clock_ms_t now, pool_grant_t *lent)
{
  decide_msg_grant_t msg = { .request = lent->request,
                             .grant = lent->id,
                             .endpoint = lent->endpoint };

  if (!lent->lent || lent->settling
      || (lent->recalled && now - lent->recalled_at < POOL_RECALL_AGAIN_MS))
    return;
  lent->recalled = true;
  lent->recalled_at = now;
  answer (pool, &msg);
  pool->callbacks.recall (pool->callbacks.context, lent->holder, &msg);
}

void
pool_recall_surplus (pool_t *pool, clock_ms_t now)
{
  for (uint32_t i = 0; i < pool->grant_count; i++)
    {
      pool_grant_t *lent = &pool->grants[i];
      pool_member_t *member = pool_find_member (pool, lent->endpoint);

      if (!pool_member_open (pool, member, now)
          || member->in_flight > limit_current (&member->limit))
        recall (pool, now, lent);
    }
}

/* Refuses waiting requests that cannot meet their deadline any more.  */
static void
refuse_late (pool_t *pool, clock_ms_t now)
{
  for (uint32_t i = pool->queue.count; i-- > 0;)
    if (now >= pool->queue.waiters[i].deadline - hold_ms (pool))
      {
        pool_waiter_t waiter = pool_queue_remove (&pool->queue, i);

        refuse (pool, now, waiter.holder, waiter.request,
                DECIDE_REASON_DEADLINE);
      }
}

void
pool_dispatch (pool_t *pool, clock_ms_t now)
{
  refuse_late (pool, now);
  /* Other pools serve sooner than endpoints that must be probed first.  */
  if (pool->queue.count > 0 && pool_capacity (pool, now) == 0)
    pool_refuse_all (pool, now, DECIDE_REASON_NO_CAPACITY);
  while (pool->queue.count > 0)
    {
      pool_member_t *member;
      pool_waiter_t waiter;

      member = choose (pool, now);
      if (member == NULL)
        break;
      waiter = pool_queue_remove (&pool->queue, 0);
      grant (pool, now, member, &waiter, pool->queue.count > 0 ? CHAIN_MS : 0);
    }
  if (pool->queue.count == 0)
    return;
  for (uint32_t i = 0; i < pool->grant_count; i++)
    if (!pool->grants[i].chained)
      recall (pool, now, &pool->grants[i]);
}

static void
drop_grant (pool_t *pool, uint32_t index)
{
  pool_member_t *member
      = pool_find_member (pool, pool->grants[index].endpoint);

  member->in_flight--;
  pool->grants[index] = pool->grants[--pool->grant_count];
  if (!member->configured && member->in_flight == 0)
    {
      /* Removed endpoints follow the configured ones in any order.  */
      *member = pool->members[--pool->member_count];
    }
}

void
pool_cancel (pool_t *pool, clock_ms_t now, decide_id_t holder,
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
        && !pool->grants[i].settling)
      {
        drop_grant (pool, i);
        pool_dispatch (pool, now);
        return;
      }
}

static void
measure_hold (pool_t *pool, clock_ms_t held_ms)
{
  int64_t held_16 = (int64_t)held_ms * SIXTEENTHS;

  if (held_16 < 1)
    held_16 = 1;
  if (pool->hold_16 == 0)
    pool->hold_16 = held_16;
  else
    pool->hold_16 += (held_16 - pool->hold_16) / HOLD_WEIGHT;
}

void
pool_release (pool_t *pool, clock_ms_t now, decide_id_t holder,
              const decide_msg_release_t *msg)
{
  pool_grant_t *released = NULL;
  pool_member_t *member;
  uint32_t index = 0;

  for (; index < pool->grant_count && released == NULL; index++)
    if (pool->grants[index].id == msg->grant
        && pool->grants[index].holder == holder
        && !pool->grants[index].settling)
      released = &pool->grants[index];
  if (released == NULL)
    return;
  index--;
  member = pool_find_member (pool, released->endpoint);
  for (uint32_t i = 0; i < msg->earlier_count; i++)
    limit_ended (&member->limit, now, &msg->earlier[i], median_16 (pool));
  limit_confirm (&member->limit, released->granted_at, &msg->end.load);
  limit_ended (&member->limit, now, &msg->end, median_16 (pool));
  if ((!released->lent || released->chained)
      && msg->end.result != DECIDE_ATTEMPT_UNUSED
      && msg->end.result != DECIDE_ATTEMPT_CLOSED)
    measure_hold (pool, now - released->used_from);
  released->used_from = now;
  switch (msg->end.result)
    {
    case DECIDE_ATTEMPT_RESET:
    case DECIDE_ATTEMPT_TIMEOUT:
    case DECIDE_ATTEMPT_BROKEN:
    case DECIDE_ATTEMPT_CANCELLED:
      released->settling = true;
      if (released->expires_at > now + POOL_SETTLE_MS)
        released->expires_at = now + POOL_SETTLE_MS;
      break;
    case DECIDE_ATTEMPT_ANSWERED:
    case DECIDE_ATTEMPT_SHED:
    case DECIDE_ATTEMPT_NOT_SENT:
    case DECIDE_ATTEMPT_UNUSED:
    case DECIDE_ATTEMPT_CLOSED:
    default:
      if (!msg->keep)
        drop_grant (pool, index);
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

  /* A probe runs other code than requests: its latency says nothing about
     theirs.  */
  (void)latency_ms;
  if (!pool->probing || pool->probed != endpoint)
    return;
  pool->probing = false;
  if (member == NULL)
    return;
  limit_probed (&member->limit, now, ok, load);
  pool_dispatch (pool, now);
}

clock_ms_t
pool_tick (pool_t *pool, clock_ms_t now)
{
  static const decide_load_t no_load = { .present = false };
  clock_ms_t due = INT64_MAX;

  for (uint32_t i = pool->grant_count; i-- > 0;)
    if (now >= pool->grants[i].expires_at)
      drop_grant (pool, i);
  if (pool->probing && now >= pool->probe_started + POOL_PROBE_TIMEOUT_MS)
    pool_handle_probe_result (pool, now, pool->probed, false, 0, &no_load);
  pool_dispatch (pool, now);
  for (uint32_t i = 0; i < pool->queue.count; i++)
    {
      clock_ms_t latest = pool->queue.waiters[i].deadline - hold_ms (pool);

      if (latest < due)
        due = latest;
    }
  for (uint32_t i = 0; i < pool->settings.endpoint_count; i++)
    {
      pool_member_t *member = &pool->members[i];
      clock_ms_t hold = member->settings.grants_blocked_until;

      if (hold > now && pool->queue.count > 0 && hold < due)
        due = hold;
      if (!pool_member_open (pool, member, now) || pool->probing)
        continue;
      /* A probe takes a slot of the backend server too.  */
      if (limit_probe_due (&member->limit, now)
          && member->in_flight < member->settings.slots)
        {
          pool->probing = true;
          pool->probed = member->settings.id;
          pool->probe_started = now;
          limit_probe_started (&member->limit, now);
          pool->callbacks.probe (pool->callbacks.context, pool->settings.id,
                                 pool->probed);
        }
    }
  if (pool->probing)
    {
      if (pool->probe_started + POOL_PROBE_TIMEOUT_MS < due)
        due = pool->probe_started + POOL_PROBE_TIMEOUT_MS;
    }
  else
    for (uint32_t i = 0; i < pool->settings.endpoint_count; i++)
      {
        clock_ms_t probe = limit_due (&pool->members[i].limit);

        if (pool_member_open (pool, &pool->members[i], now) && probe > now
            && probe < due)
          due = probe;
      }
  for (uint32_t i = 0; i < pool->grant_count; i++)
    if (pool->grants[i].expires_at < due)
      due = pool->grants[i].expires_at;
  return due;
}
