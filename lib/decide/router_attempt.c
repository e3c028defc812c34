#include "router_state.h"

#include <errno.h>
#include <stdlib.h>

#define STATUS_SERVER_ERROR 500

static bool can_reuse (const router_t *router, clock_ms_t now,
                       const router_grant_t *grant,
                       const decide_attempt_end_t *end);
static void reuse_or_return_grant (router_t *router, clock_ms_t now,
                                   router_service_t *service,
                                   router_grant_t *grant,
                                   const decide_attempt_end_t *end);
static router_pending_request_t *
find_waiting_request (router_t *router, clock_ms_t now,
                      const router_service_t *service,
                      const router_grant_t *grant);
static void return_idle_grants (router_t *router, router_service_t *service,
                                decide_id_t endpoint);
static bool has_not_run (decide_attempt_result_t result);
static void retry_or_refuse (router_t *router, clock_ms_t now,
                             router_pending_request_t *pending,
                             const decide_attempt_end_t *end);

void
router_dispatch (router_t *router, clock_ms_t now,
                 router_pending_request_t *pending)
{
  router_grant_t *grant = router_take_idle_grant (router, now, pending);

  if (grant != NULL)
    {
      if (router_start_attempt (router, now, pending, grant) < 0)
        router_refuse (router, now, pending, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  if (!router_request_grant (router, now, pending, false))
    router_refuse (router, now, pending,
                   pending->attempt_count > 0 ? DECIDE_REASON_FAILED
                                              : pending->reason);
}

void
router_return_unmatched_grant (router_t *router, decide_id_t owner,
                               const decide_msg_grant_t *msg)
{
  decide_msg_release_t unused = { .grant = msg->grant,
                                  .pool = msg->pool,
                                  .end.result = DECIDE_ATTEMPT_UNUSED };

  router->callbacks.release (router->callbacks.context, owner, &unused);
}

static void
unlink_idle_grant (router_grant_t *grant)
{
  if (!grant->idle)
    return;
  TAILQ_REMOVE (&grant->service->idle, grant, link);
  grant->idle = false;
}

void
router_return_unused_grant (router_t *router, router_grant_t *grant)
{
  decide_attempt_end_t unused = { .result = DECIDE_ATTEMPT_UNUSED };

  unlink_idle_grant (grant);
  router_send_release (router, grant, &unused, false);
}

router_grant_t *
router_take_idle_grant (router_t *router, clock_ms_t now,
                        const router_pending_request_t *pending)
{
  router_service_t *service = pending->service;
  const router_attempt_t *running = TAILQ_FIRST (&pending->attempts);
  router_grant_t *grant = TAILQ_FIRST (&service->idle);

  while (grant != NULL)
    {
      router_grant_t *next = TAILQ_NEXT (grant, link);

      if (now >= grant->start_by
          || !router->callbacks.usable (router->callbacks.context,
                                        service->key.number, grant->pool,
                                        grant->endpoint))
        router_return_unused_grant (router, grant);
      else if (grant->endpoint != pending->last_endpoint
               && (running == NULL
                   || running->used_grant->endpoint != grant->endpoint))
        {
          unlink_idle_grant (grant);
          return grant;
        }
      grant = next;
    }
  return NULL;
}

int
router_start_attempt (router_t *router, clock_ms_t now,
                      router_pending_request_t *pending, router_grant_t *grant)
{
  const router_request_t *request = &pending->request;
  router_attempt_t *attempt = calloc (1, sizeof *attempt);
  router_forward_t forward = { .request = request->id,
                               .service = request->service,
                               .pool = grant->pool,
                               .endpoint = grant->endpoint,
                               .start_by = grant->start_by,
                               .deadline = grant->expires_at,
                               .hedge = !TAILQ_EMPTY (&pending->attempts) };

  if (attempt != NULL)
    attempt->key.number = ++router->last_number;
  if (attempt == NULL || router_add (&router->attempts, attempt) < 0)
    {
      free (attempt);
      router_return_unused_grant (router, grant);
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
  attempt->used_grant = grant;
  TAILQ_INSERT_TAIL (&pending->attempts, attempt, link);
  pending->attempt_count++;
  if (pending->attempt_count == 1 && request->idempotent && request->hedge
      && request->hedge_after_ms > 0)
    {
      pending->hedge_at = now + request->hedge_after_ms;
      router_schedule (router, pending->hedge_at);
    }
  router->callbacks.forward (router->callbacks.context, &forward);
  return 0;
}

/* Returns whether a grant may be used again after an attempt that ended with
   @end.  */
static bool
can_reuse (const router_t *router, clock_ms_t now, const router_grant_t *grant,
           const decide_attempt_end_t *end)
{
  /* After any end but a successful response, the attempt may still run at the
     backend server, so that another attempt could exceed the server's slots.
     A draining server is sent no further attempts.  */
  if (end->result != DECIDE_ATTEMPT_ANSWERED
      || end->status >= STATUS_SERVER_ERROR || end->load.draining)
    return false;
  return grant->reusable && !grant->recalled && !router->stopping
         && now < grant->start_by;
}

/* Finds the most urgent queued request, by priority and then by deadline, that
   may reuse a grant that is @only_for_queued.  Return: the request, or
   NULL.  */
static router_pending_request_t *
find_waiting_request (router_t *router, clock_ms_t now,
                      const router_service_t *service,
                      const router_grant_t *grant)
{
  router_pending_request_t *best = NULL;
  router_pending_request_t *pending;

  if (!router->callbacks.usable (router->callbacks.context,
                                 service->key.number, grant->pool,
                                 grant->endpoint))
    return NULL;
  TAILQ_FOREACH (pending, &router->pending, link)
  {
    const router_request_t *request = &pending->request;

    if (pending->grant_request.key.number == 0
        || !pending->grant_request.queued
        || pending->grant_request.pool != grant->pool
        || pending->service != service || !TAILQ_EMPTY (&pending->attempts)
        || request->priority > grant->priority || now >= request->deadline)
      continue;
    if (best == NULL || request->priority < best->request.priority
        || (request->priority == best->request.priority
            && request->deadline < best->request.deadline))
      best = pending;
  }
  return best;
}

/* Handles the end of an attempt under a grant: starts an attempt of a waiting
   request with the grant, keeps it idle for reuse, or returns it to its
   owner.  */
static void
reuse_or_return_grant (router_t *router, clock_ms_t now,
                       router_service_t *service, router_grant_t *grant,
                       const decide_attempt_end_t *end)
{
  if (!can_reuse (router, now, grant, end))
    {
      router_send_release (router, grant, end, false);
      return;
    }
  if (grant->only_for_queued)
    {
      router_pending_request_t *next
          = find_waiting_request (router, now, service, grant);

      router_send_release (router, grant, end, next != NULL);
      if (next == NULL)
        return;
      router_end_grant_request (router, next, true);
      if (router_start_attempt (router, now, next, grant) < 0)
        router_refuse (router, now, next, DECIDE_REASON_NO_CAPACITY);
      return;
    }
  grant->idle = true;
  grant->service = service;
  TAILQ_INSERT_HEAD (&service->idle, grant, link);
  router_schedule (router, grant->start_by);
  router_report_attempt_end (router, now, grant, end);
}

/* Returns whether the result shows that the request was not run.  */
static bool
has_not_run (decide_attempt_result_t result)
{
  return result == DECIDE_ATTEMPT_SHED || result == DECIDE_ATTEMPT_NOT_SENT
         || result == DECIDE_ATTEMPT_UNUSED || result == DECIDE_ATTEMPT_CLOSED;
}

/* Takes the tokens for a retry.  A retry after an unknown outcome may repeat
   all calls that the backend server makes for the request.  If those calls are
   retried as well, the retry ratios of all levels of calls multiply.  A
   profile may therefore limit these retries more tightly than retries of
   requests that did not run.  Return: whether a retry is allowed.  */
static bool
take_retry_token (router_pending_request_t *pending, clock_ms_t now,
                  const decide_attempt_end_t *end)
{
  router_service_t *service = pending->service;

  if (!pending->request.retry)
    return false;
  if (!has_not_run (end->result)
      && pending->request.retries_after_unknown_per_mille
             < DECIDE_RETRIES_PER_MILLE
      && !budget_withdraw (&service->unknown_budget, now))
    return false;
  return budget_withdraw (&service->retry_budget, now);
}

/* Tries a request again after an attempt failed, if its deadline, idempotency,
   number of attempts and retry budget allow it; otherwise refuses it.  */
static void
retry_or_refuse (router_t *router, clock_ms_t now,
                 router_pending_request_t *pending,
                 const decide_attempt_end_t *end)
{
  const router_request_t *request = &pending->request;
  /* If nothing was sent, another attempt adds no load and needs no token.  */
  bool was_not_sent = end->result == DECIDE_ATTEMPT_UNUSED
                      || end->result == DECIDE_ATTEMPT_CLOSED;

  if (now >= request->deadline)
    {
      router_refuse (router, now, pending, DECIDE_REASON_DEADLINE);
      return;
    }
  if ((!request->idempotent && pending->ran != DECIDE_RAN_NO)
      || pending->attempt_count >= ROUTER_ATTEMPTS_MAX
      || (!was_not_sent && !take_retry_token (pending, now, end)))
    {
      router_refuse (router, now, pending, DECIDE_REASON_FAILED);
      return;
    }
  router_dispatch (router, now, pending);
}

/* Returns to their owners the idle grants on an endpoint that may have
   restarted: if all of them were used together, they could overload it.  */
static void
return_idle_grants (router_t *router, router_service_t *service,
                    decide_id_t endpoint)
{
  router_grant_t *grant = TAILQ_FIRST (&service->idle);

  while (grant != NULL)
    {
      router_grant_t *next = TAILQ_NEXT (grant, link);

      if (grant->endpoint == endpoint)
        router_return_unused_grant (router, grant);
      grant = next;
    }
}

bool
router_attempt_done (router_t *router, clock_ms_t now, uint64_t number,
                     const decide_attempt_end_t *end)
{
  router_attempt_t *attempt = router_find (&router->attempts, number, 0);
  router_pending_request_t *pending;

  if (attempt == NULL)
    return false;
  pending = attempt->pending;
  router_remove (&router->attempts, attempt);
  if (pending != NULL)
    {
      TAILQ_REMOVE (&pending->attempts, attempt, link);
      pending->last_endpoint = attempt->used_grant->endpoint;
    }
  if (end->result == DECIDE_ATTEMPT_CLOSED
      || end->result == DECIDE_ATTEMPT_RESET)
    return_idle_grants (router, attempt->service,
                        attempt->used_grant->endpoint);
  reuse_or_return_grant (router, now, attempt->service, attempt->used_grant,
                         end);
  free (attempt);
  if (pending == NULL)
    return false;
  if (end->result == DECIDE_ATTEMPT_ANSWERED)
    {
      router_end_request (router, now, pending);
      return true;
    }
  if (!has_not_run (end->result))
    pending->ran = DECIDE_RAN_UNKNOWN;
  router_lower_retry_after (pending, end->retry_after_ms);
  /* While another attempt or a grant request is pending, the request goes on
     without a retry.  */
  if (!TAILQ_EMPTY (&pending->attempts)
      || pending->grant_request.key.number != 0)
    return false;
  retry_or_refuse (router, now, pending, end);
  return false;
}

void
router_handle_recall (router_t *router, clock_ms_t now, decide_id_t owner,
                      const decide_msg_grant_t *msg)
{
  router_grant_t *grant = router_find (&router->grants, msg->grant, owner);

  (void)now;
  /* An unknown grant may still be on its way to this instance.  A release now
     would free a slot that the grant uses later.  */
  if (grant == NULL)
    return;
  grant->recalled = true;
  if (grant->idle)
    router_return_unused_grant (router, grant);
}
