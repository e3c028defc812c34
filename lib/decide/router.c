#include "router_state.h"

#include <errno.h>
#include <search.h>
#include <stdlib.h>

static int compare (const void *a, const void *b);
static void ignore (void *entry);
static router_service_t *find_service (router_t *router, clock_ms_t now,
                                       decide_id_t id);
static void try_hedge (router_t *router, clock_ms_t now,
                       router_pending_t *pending);
static void tick_pending (router_t *router, clock_ms_t now,
                          router_pending_t *pending);
static void tick_idle (router_t *router, clock_ms_t now,
                       router_service_t *service);

static int
compare (const void *a, const void *b)
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
  void *const *node = tfind (&key, table, compare);

  return node != NULL ? *node : NULL;
}

int
router_add (void **table, void *entry)
{
  return tsearch (entry, table, compare) != NULL ? 0 : -ENOMEM;
}

void
router_remove (void **table, void *entry)
{
  tdelete (entry, table, compare);
}

static void
ignore (void *entry)
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
  /* Owners may still hold numbers of an earlier process of this instance. */
  router->next = decide_rng_next (rng);
  router->due = now;
  TAILQ_INIT (&router->pending);
  TAILQ_INIT (&router->reports);
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
      router_pending_t *pending = TAILQ_FIRST (&router->pending);

      TAILQ_REMOVE (&router->pending, pending, link);
      free (pending);
    }
  tdestroy (router->pendings, ignore);
  tdestroy (router->asks, ignore); /* part of the pending requests */
  tdestroy (router->attempts, free);
  tdestroy (router->helds, free);
  tdestroy (router->notes, free);
  tdestroy (router->services, ignore);
  while ((service = TAILQ_FIRST (&router->service_list)) != NULL)
    {
      TAILQ_REMOVE (&router->service_list, service, link);
      free (service);
    }
  free (router);
}

static router_service_t *
find_service (router_t *router, clock_ms_t now, decide_id_t id)
{
  router_service_t *service = router_find (&router->services, id, 0);

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->key.number = id;
  TAILQ_INIT (&service->idle);
  budget_init (&service->retry, DECIDE_RETRIES_PER_MILLE,
               BUDGET_RETRY_FLOOR_PER_S, now);
  budget_init (&service->unknown, 0, 0, now);
  budget_init (&service->hedge, BUDGET_HEDGE_PER_MILLE, 0, now);
  if (router_add (&router->services, service) < 0)
    {
      free (service);
      return NULL;
    }
  TAILQ_INSERT_TAIL (&router->service_list, service, link);
  return service;
}

void
router_due_by (router_t *router, clock_ms_t due)
{
  if (due < router->due)
    router->due = due;
}

void
router_request (router_t *router, clock_ms_t now,
                const router_request_t *request)
{
  router_service_t *service = find_service (router, now, request->service);
  router_pending_t *pending = calloc (1, sizeof *pending);
  decide_refusal_t refusal = { .request = request->id,
                               .reason = DECIDE_REASON_NO_CAPACITY,
                               .ran = DECIDE_RAN_NO,
                               .retry_after_ms = ROUTER_RETRY_MS };

  /* Two requests of one number would be confused with each other.  */
  if (router_find (&router->pendings, request->id, 0) != NULL)
    abort ();
  if (pending != NULL)
    {
      pending->key.number = request->id;
      pending->request = *request;
      pending->service = service;
      pending->hedge_at = INT64_MAX;
      pending->retry_after = INT64_MAX;
      pending->reason = DECIDE_REASON_NO_CAPACITY;
      pending->ran = DECIDE_RAN_NO;
      TAILQ_INIT (&pending->attempts);
    }
  if (service == NULL || pending == NULL
      || router_add (&router->pendings, pending) < 0)
    {
      free (pending);
      router->callbacks.refuse (router->callbacks.context, &refusal);
      return;
    }
  TAILQ_INSERT_TAIL (&router->pending, pending, link);
  router->pending_count++;
  budget_earn (&service->retry);
  service->unknown.per_mille = request->unknown_per_mille;
  budget_earn (&service->unknown);
  budget_earn (&service->hedge);
  router_due_by (router, request->deadline);
  if (now >= request->deadline)
    router_refuse (router, now, pending, DECIDE_REASON_DEADLINE);
  else
    router_start (router, now, pending);
}

void
router_end (router_t *router, clock_ms_t now, router_pending_t *pending)
{
  router_attempt_t *attempt;

  (void)now;
  router_drop_ask (router, pending, true);
  while ((attempt = TAILQ_FIRST (&pending->attempts)) != NULL)
    {
      TAILQ_REMOVE (&pending->attempts, attempt, link);
      attempt->pending = NULL;
      router->callbacks.cancel (router->callbacks.context,
                                attempt->key.number);
    }
  router_remove (&router->pendings, pending);
  TAILQ_REMOVE (&router->pending, pending, link);
  router->pending_count--;
  free (pending);
}

void
router_refuse (router_t *router, clock_ms_t now, router_pending_t *pending,
               decide_reason_t reason)
{
  decide_refusal_t refusal
      = { .request = pending->request.id,
          .reason = reason,
          .ran = pending->ran,
          .retry_after_ms = pending->retry_after == INT64_MAX
                                ? ROUTER_RETRY_MS
                                : pending->retry_after };

  /* An attempt that is still running may have any effect.  */
  if (!TAILQ_EMPTY (&pending->attempts))
    refusal.ran = DECIDE_RAN_UNKNOWN;
  router_end (router, now, pending);
  router->callbacks.refuse (router->callbacks.context, &refusal);
}

/* The earliest of the times that owners and backend servers stated is the
   first at which the request may succeed.  */
void
router_note_retry (router_pending_t *pending, clock_ms_t retry_after_ms)
{
  if (retry_after_ms > 0 && retry_after_ms < pending->retry_after)
    pending->retry_after = retry_after_ms;
}

void
router_gone (router_t *router, clock_ms_t now, uint64_t request)
{
  router_pending_t *pending = router_find (&router->pendings, request, 0);

  if (pending != NULL)
    router_end (router, now, pending);
}

bool
router_withdraw (router_t *router, clock_ms_t now, uint64_t request)
{
  router_pending_t *pending = router_find (&router->pendings, request, 0);

  if (pending == NULL || pending->ran != DECIDE_RAN_NO
      || !TAILQ_EMPTY (&pending->attempts))
    return false;
  router_end (router, now, pending);
  return true;
}

/* One hedge for each request, while its only attempt is running.  */
static void
try_hedge (router_t *router, clock_ms_t now, router_pending_t *pending)
{
  router_held_t *held;

  pending->hedge_at = INT64_MAX;
  if (TAILQ_EMPTY (&pending->attempts)
      || TAILQ_NEXT (TAILQ_FIRST (&pending->attempts), link) != NULL
      || pending->ask.key.number != 0
      || !budget_spend (&pending->service->hedge, now))
    return;
  held = router_take_idle (router, now, pending);
  if (held != NULL)
    router_forward_with (router, now, pending, held);
  else
    router_ask_owner (router, now, pending, true);
}

static void
tick_pending (router_t *router, clock_ms_t now, router_pending_t *pending)
{
  if (now >= pending->request.deadline)
    {
      router_refuse (router, now, pending, DECIDE_REASON_DEADLINE);
      return;
    }
  if (now >= pending->hedge_at)
    try_hedge (router, now, pending);
  if (pending->ask.key.number != 0 && now >= pending->ask.give_up)
    router_ask_late (router, now, pending);
}

/* Lent grants that may not start another use go back.  */
static void
tick_idle (router_t *router, clock_ms_t now, router_service_t *service)
{
  router_held_t *held = TAILQ_FIRST (&service->idle);

  while (held != NULL)
    {
      router_held_t *next = TAILQ_NEXT (held, link);

      if (router->stopping || now >= held->start_by)
        router_return_unused (router, held);
      else
        router_due_by (router, held->start_by);
      held = next;
    }
}

clock_ms_t
router_tick (router_t *router, clock_ms_t now)
{
  router_pending_t *pending;
  router_service_t *service;

  if (now < router->due)
    return router->due;
  router->due = INT64_MAX;
  pending = TAILQ_FIRST (&router->pending);
  while (pending != NULL)
    {
      /* Only the visited request can end here.  */
      router_pending_t *next = TAILQ_NEXT (pending, link);

      tick_pending (router, now, pending);
      pending = next;
    }
  TAILQ_FOREACH (pending, &router->pending, link)
  {
    router_due_by (router, pending->request.deadline);
    router_due_by (router, pending->hedge_at);
    if (pending->ask.key.number != 0)
      router_due_by (router, pending->ask.give_up);
  }
  TAILQ_FOREACH (service, &router->service_list, link)
  {
    tick_idle (router, now, service);
  }
  router_report_due (router, now);
  return router->due;
}

void
router_stop_lending (router_t *router, clock_ms_t now)
{
  router->stopping = true;
  router->due = now;
  router_tick (router, now);
}

uint32_t
router_pending (const router_t *router)
{
  return router->pending_count;
}

uint32_t
router_held (const router_t *router)
{
  return router->held_count;
}
