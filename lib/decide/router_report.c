#include "router_state.h"

#include <stdlib.h>

/* Ended attempts under a reusable grant are reported in batches, after this
   delay at most.  It is half of the time in which a latency sample loses its
   weight at the owner.  Longer delays save hardly any more messages
   (docs/slots.md).  */
#define REPORT_DELAY_MS 100

static void send_report (router_t *router, router_grant_t *grant,
                         const decide_attempt_end_t *end, bool keep);
static void clear_unreported_ends (router_t *router, router_grant_t *grant);
static void send_unreported_ends (router_t *router, router_grant_t *grant);
static bool must_report_now (const router_grant_t *grant,
                             const decide_attempt_end_t *end);

/* Sends RELEASE with the unreported results of attempts and then @end, and
   clears the batch.  */
static void
send_report (router_t *router, router_grant_t *grant,
             const decide_attempt_end_t *end, bool keep)
{
  decide_msg_release_t msg = { .grant = grant->key.number,
                               .pool = grant->pool,
                               .keep = keep,
                               .end = *end,
                               .earlier_count = grant->unreported_count };

  for (uint32_t i = 0; i < grant->unreported_count; i++)
    msg.earlier[i] = grant->unreported_ends[i];
  clear_unreported_ends (router, grant);
  router->callbacks.release (router->callbacks.context, grant->key.owner,
                             &msg);
}

static void
clear_unreported_ends (router_t *router, router_grant_t *grant)
{
  if (grant->unreported_count > 0)
    TAILQ_REMOVE (&router->report_queue, grant, report_link);
  grant->unreported_count = 0;
}

static void
send_unreported_ends (router_t *router, router_grant_t *grant)
{
  decide_attempt_end_t last
      = grant->unreported_ends[grant->unreported_count - 1];

  grant->unreported_count--;
  if (grant->unreported_count == 0)
    TAILQ_REMOVE (&router->report_queue, grant, report_link);
  send_report (router, grant, &last, true);
}

/* Returns whether the end of an attempt must be reported to the owner at once.
   The attempt has succeeded, since a grant is returned after any other end.
   The first report under a grant tells the owner the endpoint's state, so it
   is not delayed.  A later one is sent at once only if the backend server is
   cold or its process has changed.  */
static bool
must_report_now (const router_grant_t *grant, const decide_attempt_end_t *end)
{
  return !grant->reported || end->load.cold
         || end->load.identity != grant->identity;
}

void
router_report_attempt_end (router_t *router, clock_ms_t now,
                           router_grant_t *grant,
                           const decide_attempt_end_t *end)
{
  bool report_now = must_report_now (grant, end);

  grant->reported = true;
  grant->identity = end->load.identity;
  if (report_now || grant->unreported_count == DECIDE_RELEASE_ENDS_MAX - 1)
    {
      send_report (router, grant, end, true);
      return;
    }
  if (grant->unreported_count == 0)
    {
      grant->report_due_at = now + REPORT_DELAY_MS;
      TAILQ_INSERT_TAIL (&router->report_queue, grant, report_link);
      router_schedule (router, grant->report_due_at);
    }
  grant->unreported_ends[grant->unreported_count++] = *end;
}

void
router_send_due_reports (router_t *router, clock_ms_t now)
{
  router_grant_t *grant;

  while ((grant = TAILQ_FIRST (&router->report_queue)) != NULL
         && now >= grant->report_due_at)
    send_unreported_ends (router, grant);
  if (grant != NULL)
    router_schedule (router, grant->report_due_at);
}

void
router_send_release (router_t *router, router_grant_t *grant,
                     const decide_attempt_end_t *end, bool keep)
{
  send_report (router, grant, end, keep);
  if (keep)
    return;
  router_remove (&router->grants, grant);
  router->grant_count--;
  free (grant);
}
