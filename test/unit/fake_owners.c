#include "fake_owners.h"

GArray *fake_grant_requests;
GArray *fake_releases;
GArray *fake_forwards;
GArray *fake_cancels;
GArray *fake_refusals;
bool fake_usable;
uint16_t fake_free_slots;
uint16_t fake_queued;
clock_ms_t fake_heartbeat_at;
uint32_t fake_priority;
uint32_t fake_retries_after_unknown_per_mille = DECIDE_RETRIES_PER_MILLE;
bool fake_local[POOLS];
bool fake_out_of_service[POOLS];
static decide_rng_t rng;

static uint32_t
cb_candidates (void *context, decide_id_t service,
               router_candidate_t *candidates, uint32_t max)
{
  (void)context;
  (void)service;
  (void)max;
  for (uint32_t i = 0; i < POOLS; i++)
    candidates[i] = (router_candidate_t){ .pool = i + 1,
                                          .owner = i + 101,
                                          .local = fake_local[i],
                                          .out = fake_out_of_service[i],
                                          .free = fake_free_slots,
                                          .queued = fake_queued,
                                          .seen = fake_heartbeat_at };
  return POOLS;
}

static bool
cb_usable (void *context, decide_id_t service, decide_id_t pool,
           decide_id_t endpoint)
{
  (void)context;
  (void)service;
  (void)pool;
  (void)endpoint;
  return fake_usable;
}

static void
cb_request_grant (void *context, decide_id_t owner,
                  const decide_msg_grant_t *msg)
{
  fake_grant_request_t grant_request = { owner, *msg, false };

  (void)context;
  g_array_append_val (fake_grant_requests, grant_request);
}

static void
cb_cancel_grant_request (void *context, decide_id_t owner,
                         const decide_msg_grant_t *msg)
{
  (void)context;
  for (guint i = 0; i < fake_grant_requests->len; i++)
    {
      fake_grant_request_t *grant_request
          = &g_array_index (fake_grant_requests, fake_grant_request_t, i);

      if (grant_request->owner == owner
          && grant_request->msg.request == msg->request)
        grant_request->cancelled = true;
    }
}

static void
cb_release (void *context, decide_id_t owner, const decide_msg_release_t *msg)
{
  fake_release_t entry = { owner, *msg };

  (void)context;
  g_array_append_val (fake_releases, entry);
}

static void
cb_forward (void *context, const router_forward_t *forward)
{
  (void)context;
  g_array_append_val (fake_forwards, *forward);
}

static void
cb_cancel (void *context, uint64_t attempt)
{
  (void)context;
  g_array_append_val (fake_cancels, attempt);
}

static void
cb_refuse (void *context, const decide_refusal_t *refusal)
{
  (void)context;
  g_assert_cmpint (refusal->retry_after_ms, >, 0);
  g_array_append_val (fake_refusals, *refusal);
}

router_t *
fake_router_new (void)
{
  static const router_callbacks_t callbacks = {
    .candidates = cb_candidates,
    .usable = cb_usable,
    .request_grant_from_owner = cb_request_grant,
    .cancel_grant_request = cb_cancel_grant_request,
    .release = cb_release,
    .forward = cb_forward,
    .cancel = cb_cancel,
    .refuse = cb_refuse,
  };
  GArray *recorded[] = { fake_grant_requests, fake_releases, fake_forwards,
                         fake_cancels, fake_refusals };

  for (guint i = 0; i < G_N_ELEMENTS (recorded); i++)
    g_array_set_size (recorded[i], 0);
  fake_usable = true;
  fake_free_slots = 10;
  fake_queued = 0;
  fake_heartbeat_at = 0;
  fake_priority = 0;
  for (int i = 0; i < POOLS; i++)
    {
      fake_local[i] = true;
      fake_out_of_service[i] = false;
    }
  decide_rng_seed (&rng, 3);
  return router_new (&callbacks, &rng, 0);
}

void
fake_submit_request (router_t *router, clock_ms_t now, uint64_t id,
                     bool idempotent, bool hedge)
{
  router_request (router, now,
                  &(router_request_t){ .id = id,
                                       .service = SERVICE,
                                       .idempotent = idempotent,
                                       .retry = true,
                                       .retries_after_unknown_per_mille
                                       = fake_retries_after_unknown_per_mille,
                                       .priority = fake_priority,
                                       .hedge = hedge,
                                       .hedge_after_ms = 20,
                                       .run_ms = RUN_MS,
                                       .deadline = now + 800 });
}

const fake_grant_request_t *
fake_last_grant_request (void)
{
  return &g_array_index (fake_grant_requests, fake_grant_request_t,
                         fake_grant_requests->len - 1);
}

const router_forward_t *
fake_last_forward (void)
{
  return &g_array_index (fake_forwards, router_forward_t,
                         fake_forwards->len - 1);
}

const decide_refusal_t *
fake_last_refusal (void)
{
  return &g_array_index (fake_refusals, decide_refusal_t,
                         fake_refusals->len - 1);
}

const fake_release_t *
fake_last_release (void)
{
  return &g_array_index (fake_releases, fake_release_t,
                         fake_releases->len - 1);
}

void
fake_send_grant (router_t *router, clock_ms_t now,
                 const fake_grant_request_t *grant_request,
                 decide_id_t endpoint, clock_ms_t lend_ms, clock_ms_t wait_ms)
{
  static uint64_t number = 5000;

  router_handle_grant (
      router, now, grant_request->owner,
      &(decide_msg_grant_t){ .request = grant_request->msg.request,
                             .grant = ++number,
                             .pool = grant_request->msg.pool,
                             .endpoint = endpoint,
                             .run_ms = RUN_MS,
                             .lend_ms = lend_ms,
                             .wait_ms = wait_ms,
                             .priority = fake_priority,
                             .queued = fake_free_slots == 0 });
}

void
fake_send_refusal (router_t *router, clock_ms_t now,
                   const fake_grant_request_t *grant_request,
                   decide_reason_t reason, clock_ms_t wait_ms)
{
  router_handle_refused (
      router, now, grant_request->owner,
      &(decide_msg_grant_t){ .request = grant_request->msg.request,
                             .pool = grant_request->msg.pool,
                             .reason = reason,
                             .wait_ms = wait_ms });
}

bool
fake_end_attempt (router_t *router, clock_ms_t now, uint64_t attempt,
                  decide_attempt_result_t result)
{
  return router_attempt_done (router, now, attempt,
                              &(decide_attempt_end_t){ .result = result,
                                                       .status = 200,
                                                       .latency_ms = 5 });
}

void
fake_set_up (void)
{
  fake_grant_requests
      = g_array_new (FALSE, FALSE, sizeof (fake_grant_request_t));
  fake_releases = g_array_new (FALSE, FALSE, sizeof (fake_release_t));
  fake_forwards = g_array_new (FALSE, FALSE, sizeof (router_forward_t));
  fake_cancels = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  fake_refusals = g_array_new (FALSE, FALSE, sizeof (decide_refusal_t));
}

void
fake_tear_down (void)
{
  g_array_free (fake_grant_requests, TRUE);
  g_array_free (fake_releases, TRUE);
  g_array_free (fake_forwards, TRUE);
  g_array_free (fake_cancels, TRUE);
  g_array_free (fake_refusals, TRUE);
}
