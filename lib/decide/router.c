#include "router_state.h"

#include <errno.h>
#include <search.h>
#include <stdlib.h>

static int compare_keys (const void *a, const void *b);
static void do_not_free_entry (void *entry);
static router_service_t *
find_or_create_service (router_t *router, clock_ms_t now, decide_id_t id);
static void try_hedge (router_t *router, clock_ms_t now,
                       router_pending_request_t *pending);
static void run_request_timers (router_t *router, clock_ms_t now,
                                router_pending_request_t *pending);
static void return_expired_grants (router_t *router, clock_ms_t now,
                                   router_service_t *service);

static int
compare_keys (const void *a, const void *b)
{
  const router_key_t *x = a;
  const router_key_t *y = b;

  if (x->number != y->number)
    return x->number < y->number ? -1 : 1;
  if (x->owner != y->owner)
    return x->owner < y->owner ? -1 : 1;
  return 0;
}

void *
router_find (void *const *table, uint64_t number, uint64_t owner)
{
  router_key_t key = { .number = number, .owner = owner };
  void *const *node = tfind (&key, table, compare_keys);

  return node != NULL ? *node : NULL;
}

int
router_add (void **table, void *entry)
{
  return tsearch (entry, table, compare_keys) != NULL ? 0 : -ENOMEM;
}

void
router_remove (void **table, void *entry)
{
  tdelete (entry, table, compare_keys);
}

/* Passed to tdestroy() for tables whose entries are freed elsewhere.  */
static void
do_not_free_entry (void *entry)
{
  (void)entry;
}

router_t *
router_new (const router_callbacks_t *callbacks, decide_rng_t *rng,
            clock_ms_t now)
{
  router_t *router = calloc (1, sizeof *router);

  if (router == NULL)
    return NULL;
  router->callbacks = *callbacks;
  router->rng = rng;
  /* Numbers start at a random value, since owners may still have grant
     requests of an earlier process of this instance.  */
  router->last_number = decide_rng_next (rng);
  router->next_timer_at = now;
  TAILQ_INIT (&router->pending);
  TAILQ_INIT (&router->report_queue);
  TAILQ_INIT (&router->service_list);
  return router;
}

void
router_free (router_t *router)
{
  router_service_t *service;

  if (router == NULL)
    return;
  while (!TAILQ_EMPTY (&router->pending))
    {
      router_pending_request_t *pending = TAILQ_FIRST (&router->pending);

      TAILQ_REMOVE (&router->pending, pending, link);
      free (pending);
    }
  tdestroy (router->pending_by_id, do_not_free_entry);
  /* The grant requests are members of the pending requests.  */
  tdestroy (router->grant_requests, do_not_free_entry);
  tdestroy (router->attempts, free);
  tdestroy (router->grants, free);
  tdestroy (router->pool_states, free);
  tdestroy (router->services, do_not_free_entry);
  while ((service = TAILQ_FIRST (&router->service_list)) != NULL)
    {
      TAILQ_REMOVE (&router->service_list, service, link);
      free (service);
    }
  free (router);
}

/* Finds or creates the state of a service.  Return: the state, or NULL when
   out of memory.  */
static router_service_t *
find_or_create_service (router_t *router, clock_ms_t now, decide_id_t id)
{
  router_service_t *service = router_find (&router->services, id, 0);

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->key.number = id;
  TAILQ_INIT (&service->idle);
  budget_init (&service->retry_budget, DECIDE_RETRIES_PER_MILLE,
               BUDGET_MIN_RETRIES_PER_S, now);
  budget_init (&service->unknown_budget, 0, 0, now);
  budget_init (&service->hedge_budget, BUDGET_HEDGE_PER_MILLE, 0, now);
  if (router_add (&router->services, service) < 0)
    {
      free (service);
      return NULL;
    }
  TAILQ_INSERT_TAIL (&router->service_list, service, link);
  return service;
}

void
router_schedule (router_t *router, clock_ms_t due)
{
  if (due < router->next_timer_at)
    router->next_timer_at = due;
}

void
router_request (router_t *router, clock_ms_t now,
                const router_request_t *request)
{
  router_service_t *service
      = find_or_create_service (router, now, request->service);
  router_pending_request_t *pending = calloc (1, sizeof *pending);
  decide_refusal_t refusal
      = { .request = request->id,
          .reason = DECIDE_REASON_NO_CAPACITY,
          .ran = DECIDE_RAN_NO,
          .retry_after_ms = ROUTER_DEFAULT_RETRY_AFTER_MS };

  /* Two pending requests with the same id could not be told apart.  */
  if (router_find (&router->pending_by_id, request->id, 0) != NULL)
    abort ();
  if (pending != NULL)
    {
      pending->key.number = request->id;
      pending->request = *request;
      pending->service = service;
      pending->hedge_at = INT64_MAX;
      pending->min_retry_after_ms = INT64_MAX;
      pending->reason = DECIDE_REASON_NO_CAPACITY;
      pending->ran = DECIDE_RAN_NO;
      TAILQ_INIT (&pending->attempts);
    }
  if (service == NULL || pending == NULL
      || router_add (&router->pending_by_id, pending) < 0)
    {
      free (pending);
      router->callbacks.refuse (router->callbacks.context, &refusal);
      return;
    }
  TAILQ_INSERT_TAIL (&router->pending, pending, link);
  router->pending_count++;
  budget_deposit (&service->retry_budget);
  service->unknown_budget.per_mille = request->retries_after_unknown_per_mille;
  budget_deposit (&service->unknown_budget);
  budget_deposit (&service->hedge_budget);
  router_schedule (router, request->deadline);
  if (now >= request->deadline)
    router_refuse (router, now, pending, DECIDE_REASON_DEADLINE);
  else
    router_dispatch (router, now, pending);
}

void
router_end_request (router_t *router, clock_ms_t now,
                    router_pending_request_t *pending)
{
  router_attempt_t *attempt;

  (void)now;
  router_end_grant_request (router, pending, true);
  while ((attempt = TAILQ_FIRST (&pending->attempts)) != NULL)
    {
      TAILQ_REMOVE (&pending->attempts, attempt, link);
      attempt->pending = NULL;
      router->callbacks.cancel (router->callbacks.context,
                                attempt->key.number);
    }
  router_remove (&router->pending_by_id, pending);
  TAILQ_REMOVE (&router->pending, pending, link);
  router->pending_count--;
  free (pending);
}

void
router_refuse (router_t *router, clock_ms_t now,
               router_pending_request_t *pending, decide_reason_t reason)
{
  decide_refusal_t refusal
      = { .request = pending->request.id,
          .reason = reason,
          .ran = pending->ran,
          .retry_after_ms = pending->min_retry_after_ms == INT64_MAX
                                ? ROUTER_DEFAULT_RETRY_AFTER_MS
                                : pending->min_retry_after_ms };

  /* A running attempt may already have had an effect.  */
  if (!TAILQ_EMPTY (&pending->attempts))
    refusal.ran = DECIDE_RAN_UNKNOWN;
  router_end_request (router, now, pending);
  router->callbacks.refuse (router->callbacks.context, &refusal);
}

/* Of the retry-after times that owners and backend servers stated, the
   shortest one is kept, since the request may succeed from then on.  */
void
router_lower_retry_after (router_pending_request_t *pending,
                          clock_ms_t retry_after_ms)
{
  if (retry_after_ms > 0 && retry_after_ms < pending->min_retry_after_ms)
    pending->min_retry_after_ms = retry_after_ms;
}

void
router_cancel_request (router_t *router, clock_ms_t now, uint64_t request)
{
  router_pending_request_t *pending
      = router_find (&router->pending_by_id, request, 0);

  if (pending != NULL)
    router_end_request (router, now, pending);
}

bool
router_withdraw_if_not_run (router_t *router, clock_ms_t now, uint64_t request)
{
  router_pending_request_t *pending
      = router_find (&router->pending_by_id, request, 0);

  if (pending == NULL || pending->ran != DECIDE_RAN_NO
      || !TAILQ_EMPTY (&pending->attempts))
    return false;
  router_end_request (router, now, pending);
  return true;
}

/* Starts the hedge of a request, or requests a grant for it, if exactly one
   attempt is running and the budget allows it.  This is tried only once.  */
static void
try_hedge (router_t *router, clock_ms_t now, router_pending_request_t *pending)
{
  router_grant_t *grant;

  pending->hedge_at = INT64_MAX;
  if (TAILQ_EMPTY (&pending->attempts)
      || TAILQ_NEXT (TAILQ_FIRST (&pending->attempts), link) != NULL
      || pending->grant_request.key.number != 0
      || !budget_withdraw (&pending->service->hedge_budget, now))
    return;
  grant = router_take_idle_grant (router, now, pending);
  if (grant != NULL)
    router_start_attempt (router, now, pending, grant);
  else
    router_request_grant (router, now, pending, true);
}

/* Runs the timers of one request that are due: deadline, hedge and timeout of
   the grant request.  */
static void
run_request_timers (router_t *router, clock_ms_t now,
                    router_pending_request_t *pending)
{
  if (now >= pending->request.deadline)
    {
      router_refuse (router, now, pending, DECIDE_REASON_DEADLINE);
      return;
    }
  if (now >= pending->hedge_at)
    try_hedge (router, now, pending);
  if (pending->grant_request.key.number != 0
      && now >= pending->grant_request.timeout_at)
    router_handle_grant_timeout (router, now, pending);
}

/* Returns to their owners the idle grants under which no more attempts may
   start.  */
static void
return_expired_grants (router_t *router, clock_ms_t now,
                       router_service_t *service)
{
  router_grant_t *grant = TAILQ_FIRST (&service->idle);

  while (grant != NULL)
    {
      router_grant_t *next = TAILQ_NEXT (grant, link);

      if (router->stopping || now >= grant->start_by)
        router_return_unused_grant (router, grant);
      else
        router_schedule (router, grant->start_by);
      grant = next;
    }
}

clock_ms_t
router_tick (router_t *router, clock_ms_t now)
{
  router_pending_request_t *pending;
  router_service_t *service;

  if (now < router->next_timer_at)
    return router->next_timer_at;
  router->next_timer_at = INT64_MAX;
  pending = TAILQ_FIRST (&router->pending);
  while (pending != NULL)
    {
      /* The next entry stays valid, since run_request_timers() can only end
         the request that it is called for.  */
      router_pending_request_t *next = TAILQ_NEXT (pending, link);

      run_request_timers (router, now, pending);
      pending = next;
    }
  TAILQ_FOREACH (pending, &router->pending, link)
  {
    router_schedule (router, pending->request.deadline);
    router_schedule (router, pending->hedge_at);
    if (pending->grant_request.key.number != 0)
      router_schedule (router, pending->grant_request.timeout_at);
  }
  TAILQ_FOREACH (service, &router->service_list, link)
  {
    return_expired_grants (router, now, service);
  }
  router_send_due_reports (router, now);
  return router->next_timer_at;
}

void
router_stop_grant_reuse (router_t *router, clock_ms_t now)
{
  router->stopping = true;
  router->next_timer_at = now;
  router_tick (router, now);
}

uint32_t
router_count_pending (const router_t *router)
{
  return router->pending_count;
}

uint32_t
router_count_grants (const router_t *router)
{
  return router->grant_count;
}
