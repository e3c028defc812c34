#include "pool_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static int reserve_members (pool_t *pool, uint32_t max);
static int reserve_grants (pool_t *pool, uint32_t max);
static uint32_t sum_slots (const pool_settings_t *settings);
static int merge_members (pool_t *pool, clock_ms_t now,
                          const pool_settings_t *settings);

pool_t *
pool_new (const pool_settings_t *settings, const pool_callbacks_t *callbacks,
          uint64_t first_grant, clock_ms_t now)
{
  pool_t *pool = calloc (1, sizeof *pool);

  if (pool == NULL)
    return NULL;
  pool->callbacks = *callbacks;
  pool->next_grant = first_grant;
  pool->suspended = true;
  if (pool_configure (pool, now, settings) < 0)
    {
      pool_free (pool);
      return NULL;
    }
  return pool;
}

void
pool_free (pool_t *pool)
{
  if (pool == NULL)
    return;
  free (pool->members);
  free (pool->grants);
  free (pool->queue.waiters);
  free (pool);
}

/* Allocates room for at least @max endpoints.  */
static int
reserve_members (pool_t *pool, uint32_t max)
{
  pool_member_t *members;

  if (max <= pool->member_max)
    return 0;
  members = realloc (pool->members, max * sizeof *members);
  if (members == NULL)
    return -ENOMEM;
  pool->members = members;
  pool->member_max = max;
  return 0;
}

/* Allocates room for at least @max grants.  */
static int
reserve_grants (pool_t *pool, uint32_t max)
{
  pool_grant_t *grants;

  if (max <= pool->grant_max)
    return 0;
  grants = realloc (pool->grants, max * sizeof *grants);
  if (grants == NULL)
    return -ENOMEM;
  pool->grants = grants;
  pool->grant_max = max;
  return 0;
}

static uint32_t
sum_slots (const pool_settings_t *settings)
{
  uint32_t slots = 0;

  for (uint32_t i = 0; i < settings->endpoint_count; i++)
    slots += settings->endpoints[i].slots;
  return slots;
}

/* Replaces the pool's list of endpoints by those of the settings, followed by
   the removed endpoints that still have grants.  */
static int
merge_members (pool_t *pool, clock_ms_t now, const pool_settings_t *settings)
{
  uint32_t max = settings->endpoint_count + pool->member_count;
  pool_member_t *merged = malloc ((max + 1) * sizeof *merged);
  uint32_t count = 0;

  if (merged == NULL)
    return -ENOMEM;
  for (uint32_t i = 0; i < settings->endpoint_count; i++)
    {
      const pool_endpoint_t *endpoint = &settings->endpoints[i];
      pool_member_t *known = pool_find_member (pool, endpoint->id);

      if (known == NULL)
        {
          merged[count] = (pool_member_t){ .configured = true };
          limit_init (&merged[count].limit, endpoint->slots, now);
        }
      else
        {
          merged[count] = *known;
          if (!known->configured)
            limit_set_cold (&merged[count].limit, now);
          limit_set_slots (&merged[count].limit, endpoint->slots);
        }
      merged[count].configured = true;
      merged[count++].settings = *endpoint;
    }
  for (uint32_t i = 0; i < pool->member_count; i++)
    {
      bool is_configured = false;

      for (uint32_t j = 0; j < settings->endpoint_count && !is_configured; j++)
        is_configured
            = pool->members[i].settings.id == settings->endpoints[j].id;
      if (is_configured || pool->members[i].in_flight == 0)
        continue;
      merged[count] = pool->members[i];
      merged[count++].configured = false;
    }
  free (pool->members);
  pool->members = merged;
  pool->member_count = count;
  pool->member_max = max + 1;
  return 0;
}

int
pool_configure (pool_t *pool, clock_ms_t now, const pool_settings_t *settings)
{
  uint32_t queue_capacity = pool->queue.count > settings->queue_max
                                ? pool->queue.count
                                : settings->queue_max;
  bool back_in_service = pool->settings.out && !settings->out;

  /* Memory is allocated first, so that a failure leaves the old settings in
     force.  Outstanding grants may be on removed endpoints, so they need
     entries in addition to those for all slots of the new settings.  */
  if (reserve_grants (pool, pool->grant_count + sum_slots (settings) + 1) < 0
      || pool_queue_resize (&pool->queue, queue_capacity) < 0
      || merge_members (pool, now, settings) < 0)
    return -ENOMEM;
  pool->queue.max = settings->queue_max;
  pool->settings = *settings;
  if (settings->out)
    pool_refuse_all (pool, now, DECIDE_REASON_NO_CAPACITY);
  /* Backend servers may have been restarted while their data centre was out of
     service.  */
  if (back_in_service)
    pool_set_cold (pool, now);
  pool_recall_surplus (pool, now);
  pool_dispatch (pool, now);
  return 0;
}

pool_member_t *
pool_find_member (const pool_t *pool, decide_id_t endpoint)
{
  for (uint32_t i = 0; i < pool->member_count; i++)
    if (pool->members[i].settings.id == endpoint)
      return &pool->members[i];
  return NULL;
}

bool
pool_member_is_available (const pool_t *pool, const pool_member_t *member,
                          clock_ms_t now)
{
  return !pool->suspended && !pool->settings.out && member->configured
         && !member->settings.out
         && now >= member->settings.grants_blocked_until;
}

uint32_t
pool_capacity (const pool_t *pool, clock_ms_t now)
{
  uint32_t capacity = 0;

  for (uint32_t i = 0; i < pool->member_count; i++)
    if (pool_member_is_available (pool, &pool->members[i], now))
      capacity += limit_current (&pool->members[i].limit);
  return capacity;
}

void
pool_drop_holder_requests (pool_t *pool, clock_ms_t now, decide_id_t holder)
{
  (void)now;
  for (uint32_t i = pool->queue.count; i-- > 0;)
    if (pool->queue.waiters[i].holder == holder)
      pool_queue_remove (&pool->queue, i);
}

void
pool_set_cold (pool_t *pool, clock_ms_t now)
{
  for (uint32_t i = 0; i < pool->member_count; i++)
    limit_set_cold (&pool->members[i].limit, now);
  pool_recall_surplus (pool, now);
}

void
pool_suspend (pool_t *pool, clock_ms_t now)
{
  if (pool->suspended)
    return;
  pool->suspended = true;
  pool_refuse_all (pool, now, DECIDE_REASON_NO_CAPACITY);
  pool_recall_surplus (pool, now);
}

void
pool_resume (pool_t *pool, clock_ms_t now)
{
  (void)now;
  pool->suspended = false;
}

bool
pool_is_suspended (const pool_t *pool)
{
  return pool->suspended;
}

uint32_t
pool_grant_count (const pool_t *pool)
{
  return pool->grant_count;
}

uint32_t
pool_export_grants (const pool_t *pool, clock_ms_t now, uint32_t from,
                    decide_handover_grant_t *grants, uint32_t max)
{
  uint32_t count = 0;

  for (uint32_t i = from; i < pool->grant_count && count < max; i++)
    grants[count++] = (decide_handover_grant_t){
      .grant = pool->grants[i].id,
      .pool = pool->settings.id,
      .endpoint = pool->grants[i].endpoint,
      .holder = pool->grants[i].holder,
      .left_ms = pool->grants[i].expires_at - now,
    };
  return count;
}

int
pool_import_grant (pool_t *pool, clock_ms_t now,
                   const decide_handover_grant_t *grant)
{
  pool_member_t *member;

  if (grant->left_ms <= 0)
    return 0;
  for (uint32_t i = 0; i < pool->grant_count; i++)
    if (pool->grants[i].id == grant->grant
        && pool->grants[i].holder == grant->holder)
      return 0;
  if (reserve_grants (pool,
                      pool->grant_count + sum_slots (&pool->settings) + 2)
          < 0
      || reserve_members (pool, pool->member_count + 1) < 0)
    return -ENOMEM;
  member = pool_find_member (pool, grant->endpoint);
  if (member == NULL)
    {
      member = &pool->members[pool->member_count++];
      *member = (pool_member_t){ .settings = { .id = grant->endpoint } };
      limit_init (&member->limit, 0, now);
    }
  member->in_flight++;
  /* The handover does not say whether the grant is reusable.  It is taken as
     reusable, so that it can be recalled.  Recalling a grant in use is
     harmless: the holder returns it after the attempt.  */
  pool->grants[pool->grant_count++]
      = (pool_grant_t){ .id = grant->grant,
                        .holder = grant->holder,
                        .endpoint = grant->endpoint,
                        .granted_at = now,
                        .expires_at = now + grant->left_ms,
                        .reusable = true };
  return 0;
}

uint32_t
pool_export_limits (const pool_t *pool, decide_handover_limit_t *limits,
                    uint32_t max)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < pool->settings.endpoint_count && count < max; i++)
    {
      const pool_member_t *member = &pool->members[i];

      if (!limit_export (&member->limit, &limits[count]))
        continue;
      /* When the data centre returns, its endpoints are cold.  The new owner
         may already know of the return and have made them cold.  */
      if (pool->settings.out && !limits[count].draining)
        continue;
      limits[count].pool = pool->settings.id;
      limits[count++].endpoint = member->settings.id;
    }
  return count;
}

void
pool_import_limit (pool_t *pool, clock_ms_t now,
                   const decide_handover_limit_t *limit)
{
  pool_member_t *member = pool_find_member (pool, limit->endpoint);

  if (member != NULL && member->configured)
    limit_import (&member->limit, now, limit);
}

void
pool_get_load (const pool_t *pool, decide_pool_load_t *load)
{
  uint32_t free_slots = 0;

  for (uint32_t i = 0; i < pool->member_count; i++)
    {
      const pool_member_t *member = &pool->members[i];
      uint32_t limit = limit_current (&member->limit);

      /* With INT64_MAX as the time, endpoints still blocked by
         grants_blocked_until count as available.  The block is short, so this
         function doesn't take the current time for it.  */
      if (pool_member_is_available (pool, member, INT64_MAX)
          && limit > member->in_flight)
        free_slots += limit - member->in_flight;
    }
  if (free_slots > UINT16_MAX)
    free_slots = UINT16_MAX;
  *load = (decide_pool_load_t){
    .pool = pool->settings.id,
    .free = (uint16_t)free_slots,
    .queued = (uint16_t)(pool->queue.count > UINT16_MAX ? UINT16_MAX
                                                        : pool->queue.count),
  };
}

int
pool_get_endpoint (const pool_t *pool, uint32_t index,
                   pool_endpoint_view_t *view)
{
  const pool_member_t *member;

  if (index >= pool->settings.endpoint_count)
    return -ENOENT;
  member = &pool->members[index];
  *view = (pool_endpoint_view_t){
    .id = member->settings.id,
    .slots = member->settings.slots,
    .limit = limit_current (&member->limit),
    .in_flight = member->in_flight,
    .cold = member->limit.cold,
    .draining = member->limit.draining,
    .suspended = member->limit.suspended,
    .out = member->settings.out || pool->settings.out,
  };
  return 0;
}
