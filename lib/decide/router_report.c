#include "router_state.h"

#include <stdlib.h>

/* Ends of uses of a lent grant wait this long for others: half of the time in
   which a latency loses its weight at the owner.  Longer waits save hardly any
   more messages (docs/slots.md).  */
#define REPORT_MS 100

static void send_report (router_t *router, router_held_t *held,
                         const decide_attempt_end_t *end, bool keep);
static void forget_report (router_t *router, router_held_t *held);
static void flush_report (router_t *router, router_held_t *held);
static bool is_news (const router_held_t *held,
                     const decide_attempt_end_t *end);

static void
send_report (router_t *router, router_held_t *held,
             const decide_attempt_end_t *end, bool keep)
{
  decide_msg_release_t msg = { .grant = held->key.number,
                               .pool = held->pool,
                               .keep = keep,
                               .end = *end,
                               .earlier_count = held->end_count };

  for (uint32_t i = 0; i < held->end_count; i++)
    msg.earlier[i] = held->ends[i];
  forget_report (router, held);
  router->callbacks.release (router->callbacks.context, held->key.owner, &msg);
}

static void
forget_report (router_t *router, router_held_t *held)
{
  if (held->end_count > 0)
    TAILQ_REMOVE (&router->reports, held, report);
  held->end_count = 0;
}

static void
flush_report (router_t *router, router_held_t *held)
{
  decide_attempt_end_t last = held->ends[held->end_count - 1];

  held->end_count--;
  if (held->end_count == 0)
    TAILQ_REMOVE (&router->reports, held, report);
  send_report (router, held, &last, true);
}

/* Whether the owner should know at once.  Only good answers keep a grant; the
   first use tells the owner how the endpoint is, later ones that nothing has
   changed.  */
static bool
is_news (const router_held_t *held, const decide_attempt_end_t *end)
{
  return !held->reported || end->load.cold
         || end->load.identity != held->identity;
}

void
router_report (router_t *router, clock_ms_t now, router_held_t *held,
               const decide_attempt_end_t *end)
{
  bool news = is_news (held, end);

  held->reported = true;
  held->identity = end->load.identity;
  if (news || held->end_count == DECIDE_RELEASE_ENDS_MAX - 1)
    {
      send_report (router, held, end, true);
      return;
    }
  if (held->end_count == 0)
    {
      held->report_by = now + REPORT_MS;
      TAILQ_INSERT_TAIL (&router->reports, held, report);
      router_due_by (router, held->report_by);
    }
  held->ends[held->end_count++] = *end;
}

void
router_report_due (router_t *router, clock_ms_t now)
{
  router_held_t *held;

  while ((held = TAILQ_FIRST (&router->reports)) != NULL
         && now >= held->report_by)
    flush_report (router, held);
  if (held != NULL)
    router_due_by (router, held->report_by);
}

void
router_release (router_t *router, router_held_t *held,
                const decide_attempt_end_t *end, bool keep)
{
  send_report (router, held, end, keep);
  if (keep)
    return;
  router_remove (&router->helds, held);
  router->held_count--;
  free (held);
}
