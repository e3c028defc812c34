/* Requests for the new version of a service's software during a rollout (see
   rollouts.h).  */

#include "proxy_private.h"

#include <string.h>
#include <xxhash.h>

#include "rollout_counts.h"

/* An attempt counts as slow if it takes this multiple of the expected time,
   and longer than that by this time.  Less of the old version's attempts than
   one in a hundred do on a calm day.  */
#define SLOW_FACTOR 3.0
#define SLOW_MARGIN_MS 150.0

static uint64_t digest_route (const request_t *request);

static uint64_t
digest_route (const request_t *request)
{
  return XXH64 (request->route, strlen (request->route), 0);
}

void
canary_select_pool (request_t *request)
{
  proxy_t *proxy = request->proxy;
  const service_t *service
      = backends_service_get (proxy->backends, request->service);
  rollout_t *rollout
      = proxy->rollouts != NULL
            ? rollouts_find_dividing (proxy->rollouts, service->name)
            : NULL;

  if (rollout == NULL || service->canary < 0
      || !rollout_draw (rollout, digest_route (request), &proxy->rng))
    return;
  request->pool = service->canary;
}

void
canary_leave_pool (service_state_t *state)
{
  proxy_t *proxy = state->proxy;

  if (!backends_service_get (proxy->backends, state->service)->is_canary)
    return;
  while (state->waiting.head != NULL)
    {
      request_t *request = state->waiting.head->data;

      telemetry_counter_increment (TELEMETRY_CANARY_REQUESTS, 1);
      request_dequeue (request);
      request->pool = request->service;
      request_enqueue (request);
      probe_round_start (request);
    }
}

void
canary_count_attempt (const request_t *request, const uplink_t *uplink,
                      int status)
{
  proxy_t *proxy = request->proxy;
  const backend_t *backend = backends_get (proxy->backends, uplink->backend);
  const rollout_t *rollout
      = proxy->rollouts != NULL && rollouts_count (proxy->rollouts) > 0
                && backend != NULL
            ? rollouts_find (proxy->rollouts, backend->entry.service)
            : NULL;
  clock_ms_t now = clock_now ();
  clock_ms_t elapsed = now - uplink->sent_at;
  rollout_tally_t attempt = { .answers = 1, .busy_ms = (uint64_t)elapsed };

  if (rollout == NULL || !rollout_is_running (rollout))
    return;
  attempt.failures = status >= 500 ? 1 : 0;
  attempt.slow
      = (double)elapsed > MAX (uplink->expected_duration_ms * SLOW_FACTOR,
                               uplink->expected_duration_ms + SLOW_MARGIN_MS)
            ? 1
            : 0;
  if (status == 0 && attempt.slow == 0)
    return;
  rollout_count_attempt (proxy->counts, rollout, backend,
                         digest_route (request), &attempt, now);
}
