#include "router_state.h"

#include <errno.h>
#include <stdlib.h>

#define STATUS_SERVER_ERROR 500

static bool may_reuse (const router_t *router, clock_ms_t now,
                       const router_held_t *held,
                       const decide_attempt_end_t *end);
static void give_back (router_t *router, clock_ms_t now,
                       router_service_t *service, router_held_t *held,
                       const decide_attempt_end_t *end);
static router_pending_t *find_waiting (router_t *router, clock_ms_t now,
                                       const router_service_t *service,
                                       const router_held_t *held);
static void return_idle (router_t *router, router_service_t *service,
                         decide_id_t endpoint);
static bool is_not_run (decide_attempt_result_t result);
static void retry_or_refuse (router_t *router, clock_ms_t now,
                             router_pending_t *pending,
                             const decide_attempt_end_t *end);

void
router_start (router_t *router, clock_ms_t now, router_pending_t *pending)
{
  router_held_t *held = router_take_idle (router, now, pending);

  if (held != NULL)
    {
      if (router_forward_with (router, now, pending, held) < 0)
        router_refuse (router, now, pending, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  if (!router_ask_owner (router, now, pending, false))
    router_refuse (router, now, pending,
                   pending->attempted > 0 ? DECIDE_REASON_FAILED
                                          : pending->reason);
}

void
router_release_unknown (router_t *router, decide_id_t owner,
                        const decide_msg_grant_t *msg)
{
  decide_msg_release_t unused = { .grant = msg->grant,
                                  .pool = msg->pool,
                                  .end.result = DECIDE_ATTEMPT_UNUSED };

  router->callbacks.release (router->callbacks.context, owner, &unused);
}

static void
unlink_idle (router_held_t *held)
{
  if (!held->idle)
    return;
  TAILQ_REMOVE (&held->service->idle, held, link);
  held->idle = false;
}

void
router_return_unused (router_t *router, router_held_t *held)
{
  decide_attempt_end_t unused = { .result = DECIDE_ATTEMPT_UNUSED };

  unlink_idle (held);
  router_release (router, held, &unused, false);
}

router_held_t *
router_take_idle (router_t *router, clock_ms_t now,
                  const router_pending_t *pending)
{
  router_service_t *service = pending->service;
  const router_attempt_t *running = TAILQ_FIRST (&pending->attempts);
  router_held_t *held = TAILQ_FIRST (&service->idle);

  while (held != NULL)
    {
      router_held_t *next = TAILQ_NEXT (held, link);

      if (now >= held->start_by
          || !router->callbacks.usable (router->callbacks.context,
                                        service->key.number, held->pool,
                                        held->endpoint))
        router_return_unused (router, held);
      else if (held->endpoint != pending->failed_on
               && (running == NULL
                   || running->held->endpoint != held->endpoint))
        {
          unlink_idle (held);
          return held;
        }
      held = next;
    }
  return NULL;
}

int
router_forward_with (router_t *router, clock_ms_t now,
                     router_pending_t *pending, router_held_t *held)
{
  const router_request_t *request = &pending->request;
  router_attempt_t *attempt = calloc (1, sizeof *attempt);
  router_forward_t forward = { .request = request->id,
                               .service = request->service,
                               .pool = held->pool,
                               .endpoint = held->endpoint,
                               .start_by = held->start_by,
                               .deadline = held->expires,
                               .hedge = !TAILQ_EMPTY (&pending->attempts) };

  if (attempt != NULL)
    attempt->key.number = ++router->next;
  if (attempt == NULL || router_add (&router->attempts, attempt) < 0)
    {
      free (attempt);
      router_return_unused (router, held);
      return -ENOMEM;
    }
  if (forward.deadline > request->deadline)
    forward.deadline = request->deadline;
  if (request->run_ms > 0 && forward.deadline > now + request->run_ms)
    forward.deadline = now + request->run_ms;
  if (forward.start_by >= forward.deadline)
    forward.start_by = forward.deadline - 1;
  forward.attempt = attempt->key.number;
  attempt->pending = pending;
  attempt->service = pending->service;
  attempt->held = held;
  TAILQ_INSERT_TAIL (&pending->attempts, attempt, link);
  pending->attempted++;
  if (pending->attempted == 1 && request->idempotent && request->hedge
      && request->hedge_after_ms > 0)
    {
      pending->hedge_at = now + request->hedge_after_ms;
      router_due_by (router, pending->hedge_at);
    }
  router->callbacks.forward (router->callbacks.context, &forward);
  return 0;
}

static bool
may_reuse (const router_t *router, clock_ms_t now, const router_held_t *held,
           const decide_attempt_end_t *end)
{
  /* After any other end the attempt may still run at the backend server, so
     a second use could put it above its slots.  */
  if (end->result != DECIDE_ATTEMPT_ANSWERED
      || end->status >= STATUS_SERVER_ERROR || end->load.draining)
    return false;
  return held->lent && !held->recalled && !router->stopping
         && now < held->start_by;
}

/* Return: the first in order of the requests that may take over a chained
   grant, or NULL.  */
static router_pending_t *
find_waiting (router_t *router, clock_ms_t now,
              const router_service_t *service, const router_held_t *held)
{
  router_pending_t *best = NULL;
  router_pending_t *pending;

  if (!router->callbacks.usable (router->callbacks.context,
                                 service->key.number, held->pool,
                                 held->endpoint))
    return NULL;
  TAILQ_FOREACH (pending, &router->pending, link)
  {
    const router_request_t *request = &pending->request;

    if (pending->ask.key.number == 0 || !pending->ask.queued
        || pending->ask.pool != held->pool || pending->service != service
        || !TAILQ_EMPTY (&pending->attempts)
        || request->priority > held->priority || now >= request->deadline)
      continue;
    if (best == NULL || request->priority < best->request.priority
        || (request->priority == best->request.priority
            && request->deadline < best->request.deadline))
      best = pending;
  }
  return best;
}

static void
give_back (router_t *router, clock_ms_t now, router_service_t *service,
           router_held_t *held, const decide_attempt_end_t *end)
{
  if (!may_reuse (router, now, held, end))
    {
      router_release (router, held, end, false);
      return;
    }
  if (held->chained)
    {
      router_pending_t *next = find_waiting (router, now, service, held);

      router_release (router, held, end, next != NULL);
      if (next == NULL)
        return;
      router_drop_ask (router, next, true);
      if (router_forward_with (router, now, next, held) < 0)
        router_refuse (router, now, next, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  held->idle = true;
  held->service = service;
  TAILQ_INSERT_HEAD (&service->idle, held, link);
  router_due_by (router, held->start_by);
  router_report (router, now, held, end);
}

static bool
is_not_run (decide_attempt_result_t result)
{
  return result == DECIDE_ATTEMPT_SHED || result == DECIDE_ATTEMPT_NOT_SENT
         || result == DECIDE_ATTEMPT_UNUSED || result == DECIDE_ATTEMPT_CLOSED;
}

/* A retry after an unknown outcome may repeat all calls below it, so that the
   shares of the levels multiply; a profile may bound them more tightly than
   retries of requests that did not run.  */
static bool
spend_retry (router_pending_t *pending, clock_ms_t now,
             const decide_attempt_end_t *end)
{
  router_service_t *service = pending->service;

  if (!pending->request.retry)
    return false;
  if (!is_not_run (end->result)
      && pending->request.unknown_per_mille < DECIDE_RETRIES_PER_MILLE
      && !budget_spend (&service->unknown, now))
    return false;
  return budget_spend (&service->retry, now);
}

static void
retry_or_refuse (router_t *router, clock_ms_t now, router_pending_t *pending,
                 const decide_attempt_end_t *end)
{
  const router_request_t *request = &pending->request;
  /* Nothing was sent, so a further try adds no load.  */
  bool unused = end->result == DECIDE_ATTEMPT_UNUSED
                || end->result == DECIDE_ATTEMPT_CLOSED;

  if (now >= request->deadline)
    {
      router_refuse (router, now, pending, DECIDE_REASON_DEADLINE);
      return;
    }
  if ((!request->idempotent && pending->ran != DECIDE_RAN_NO)
      || pending->attempted >= ROUTER_ATTEMPTS_MAX
      || (!unused && !spend_retry (pending, now, end)))
    {
      router_refuse (router, now, pending, DECIDE_REASON_FAILED);
      return;
    }
  router_start (router, now, pending);
}

/* Returns the idle grants on an endpoint that may have restarted: used
   together, they could be more than it bears.  */
static void
return_idle (router_t *router, router_service_t *service, decide_id_t endpoint)
{
  router_held_t *held = TAILQ_FIRST (&service->idle);

  while (held != NULL)
    {
      router_held_t *next = TAILQ_NEXT (held, link);

      if (held->endpoint == endpoint)
        router_return_unused (router, held);
      held = next;
    }
}

bool
router_attempt_done (router_t *router, clock_ms_t now, uint64_t number,
                     const decide_attempt_end_t *end)
{
  router_attempt_t *attempt = router_find (&router->attempts, number, 0);
  router_pending_t *pending;

  if (attempt == NULL)
    return false;
  pending = attempt->pending;
  router_remove (&router->attempts, attempt);
  if (pending != NULL)
    {
      TAILQ_REMOVE (&pending->attempts, attempt, link);
      pending->failed_on = attempt->held->endpoint;
    }
  if (end->result == DECIDE_ATTEMPT_CLOSED
      || end->result == DECIDE_ATTEMPT_RESET)
    return_idle (router, attempt->service, attempt->held->endpoint);
  give_back (router, now, attempt->service, attempt->held, end);
  free (attempt);
  if (pending == NULL)
    return false;
  if (end->result == DECIDE_ATTEMPT_ANSWERED)
    {
      router_end (router, now, pending);
      return true;
    }
  if (!is_not_run (end->result))
    pending->ran = DECIDE_RAN_UNKNOWN;
  router_note_retry (pending, end->retry_after_ms);
  /* The other attempt, or the one that is being asked for, goes on.  */
  if (!TAILQ_EMPTY (&pending->attempts) || pending->ask.key.number != 0)
    return false;
  retry_or_refuse (router, now, pending, end);
  return false;
}

void
router_recall (router_t *router, clock_ms_t now, decide_id_t owner,
               const decide_msg_grant_t *msg)
{
  router_held_t *held = router_find (&router->helds, msg->grant, owner);

  (void)now;
  /* A grant that is not known may still be on its way; a release of it now
     would free a slot that is used later.  */
  if (held == NULL)
    return;
  held->recalled = true;
  if (held->idle)
    router_return_unused (router, held);
}
