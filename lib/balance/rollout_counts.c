#include "rollout_counts.h"

#include <string.h>
#include <xxhash.h>

/* Kinds of items, in the lowest bits of their number; the others are those of
   a digest.  */
typedef enum item_kind
{
  ITEM_STABLE_ROUTE,   /* attempts on a route at old endpoints */
  ITEM_CANARY_ROUTE,   /* the same at endpoints of the new version */
  ITEM_CANARY_ENDPOINT /* attempts at an endpoint of the new version */
} item_kind_t;

#define ITEM_KIND_MASK UINT64_C (3)

static bool is_new (const rollout_t *rollout, const backend_t *backend);
static counts_key_t make_key (const rollout_t *rollout, uint64_t digest,
                              item_kind_t kind);
static void visit_count (void *context, uint64_t item,
                         const counts_values_t *sum);

static bool
is_new (const rollout_t *rollout, const backend_t *backend)
{
  return g_strcmp0 (backend->entry.software, rollout->version) == 0;
}

static counts_key_t
make_key (const rollout_t *rollout, uint64_t digest, item_kind_t kind)
{
  return (counts_key_t){ .subject = rollout->id,
                         .item = (digest & ~ITEM_KIND_MASK) | kind };
}

void
rollout_count_attempt (counts_t *counts, const rollout_t *rollout,
                       const backend_t *backend, uint64_t route,
                       const rollout_tally_t *attempt, clock_ms_t now)
{
  counts_values_t values = { { attempt->answers, attempt->failures,
                               attempt->slow, attempt->busy_ms } };
  const char *id = backend->entry.id;

  if (!is_new (rollout, backend))
    {
      counts_add (counts, make_key (rollout, route, ITEM_STABLE_ROUTE),
                  &values, now);
      return;
    }
  counts_add (counts, make_key (rollout, route, ITEM_CANARY_ROUTE), &values,
              now);
  /* Later all endpoints get requests, so that single ones are of no
     importance.  */
  if (rollout->step.phase == ROLLOUT_CANARY)
    counts_add (
        counts,
        make_key (rollout, XXH64 (id, strlen (id), 0), ITEM_CANARY_ENDPOINT),
        &values, now);
}

static void
visit_count (void *context, uint64_t item, const counts_values_t *sum)
{
  rollout_evidence_t *evidence = context;
  uint64_t digest = item & ~ITEM_KIND_MASK;
  item_kind_t kind = (item_kind_t)(item & ITEM_KIND_MASK);
  rollout_tally_t tally = { .answers = sum->value[0],
                            .failures = sum->value[1],
                            .slow = sum->value[2],
                            .busy_ms = sum->value[3] };
  rollout_tally_t *to = NULL;

  if (kind == ITEM_CANARY_ENDPOINT)
    to = rollout_evidence_endpoint (evidence, digest);
  else
    {
      rollout_route_tally_t *route = rollout_evidence_route (evidence, digest);

      if (route != NULL)
        to = kind == ITEM_STABLE_ROUTE ? &route->stable : &route->canary;
    }
  if (to != NULL)
    *to = tally;
}

void
rollout_gather_evidence (const counts_t *counts, uint64_t id,
                         rollout_evidence_t *evidence)
{
  memset (evidence, 0, sizeof *evidence);
  counts_sum (counts, id, visit_count, evidence);
}

uint32_t
rollout_count_old_in_flight (const rollout_t *rollout, backends_t *backends)
{
  uint32_t position = 0;
  uint32_t count = 0;

  for (const backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    if (backend->in_flight > 0
        && strcmp (backend->entry.service, rollout->service) == 0
        && !is_new (rollout, backend))
      count += backend->in_flight;
  return count;
}

void
rollout_survey_room (const rollout_t *rollout, backends_t *backends,
                     clock_ms_t now, rollout_room_t *room)
{
  uint32_t position = 0;

  for (const backend_t *backend = backends_next (backends, &position);
       backend != NULL; backend = backends_next (backends, &position))
    {
      if (strcmp (backend->entry.service, rollout->service) != 0
          || backend->entry.draining || backend->says_leaving
          || backend_is_cold (backend, now))
        continue;
      if (is_new (rollout, backend))
        {
          room->canary_endpoints++;
          room->canary_slots += backend->entry.slots;
        }
      else
        {
          room->stable_endpoints++;
          room->stable_slots += backend->entry.slots;
        }
    }
}
