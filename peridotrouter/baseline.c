#include "baseline.h"

#include <glib.h>
#include <string.h>

#include "policy.h"
#include "telemetry.h"

/* Endpoint of a service.  An entry is kept after its endpoint has left the
   service, since attempts in progress may refer to it.  */
typedef struct target
{
  decide_id_t service;
  decide_endpoint_t endpoint;
  bool usable; /* configured and not out of service */
  bool in_own_data_centre;
  uint32_t local;     /* attempts of this instance in progress */
  decide_load_t load; /* last load report of the endpoint */
} target_t;

/* Request that has not ended.  */
typedef struct pending_request
{
  decide_request_t request;
  clock_ms_t run_ms;     /* time limit of an attempt */
  target_t *last_target; /* target of the last attempt, or NULL */
  uint64_t attempt;      /* id of the last attempt */
  bool retried;
} pending_request_t;

/* Attempt in progress.  */
typedef struct sent_attempt
{
  uint64_t id;
  target_t *target;
} sent_attempt_t;

struct baseline
{
  const policy_t *policy;
  policy_state_t state;
  decide_rng_t rng;
  decide_callbacks_t callbacks;
  char data_centre[DECIDE_NAME_MAX];
  GPtrArray *targets;           /* target_t */
  GHashTable *pending_requests; /* id -> pending_request_t */
  GHashTable *attempts;         /* id -> sent_attempt_t */
  uint64_t last_attempt_id;     /* id of the attempt started last */
};

static target_t *choose_target (baseline_t *baseline,
                                const pending_request_t *pending);
static void refuse_request (baseline_t *baseline, uint64_t request,
                            decide_reason_t reason, decide_ran_t ran,
                            clock_ms_t retry_after_ms);
static void send_attempt (baseline_t *baseline, clock_ms_t now,
                          pending_request_t *pending);

baseline_t *
baseline_new (const char *policy, const char *data_centre, uint64_t seed,
              const decide_callbacks_t *callbacks)
{
  const policy_t *found = policy_find (policy);
  baseline_t *baseline;

  if (found == NULL || found->choose == NULL)
    return NULL;
  baseline = g_new0 (baseline_t, 1);
  baseline->policy = found;
  decide_rng_seed (&baseline->rng, seed);
  baseline->state.rng = &baseline->rng;
  /* Start at a random position: with round robin, instances must not all begin
     with the same endpoint.  */
  baseline->state.turn = decide_rng_next (&baseline->rng) >> 1;
  baseline->callbacks = *callbacks;
  g_strlcpy (baseline->data_centre, data_centre, sizeof baseline->data_centre);
  baseline->targets = g_ptr_array_new_with_free_func (g_free);
  baseline->pending_requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  baseline->attempts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return baseline;
}

void
baseline_free (baseline_t *baseline)
{
  if (baseline == NULL)
    return;
  g_hash_table_destroy (baseline->attempts);
  g_hash_table_destroy (baseline->pending_requests);
  g_ptr_array_free (baseline->targets, TRUE);
  g_free (baseline);
}

static void
update_target (void *context, const decide_endpoint_view_t *view)
{
  baseline_t *baseline = context;
  decide_id_t service = decide_id (view->service);
  target_t *target = NULL;

  for (guint i = 0; i < baseline->targets->len && target == NULL; i++)
    {
      target_t *known = g_ptr_array_index (baseline->targets, i);

      if (known->service == service
          && strcmp (known->endpoint.name, view->endpoint->name) == 0)
        target = known;
    }
  if (target == NULL)
    {
      target = g_new0 (target_t, 1);
      target->service = service;
      g_ptr_array_add (baseline->targets, target);
    }
  target->endpoint = *view->endpoint;
  target->usable = !view->out;
  target->in_own_data_centre
      = strcmp (view->endpoint->data_centre, baseline->data_centre) == 0;
}

void
baseline_update (baseline_t *baseline, const decide_t *node, clock_ms_t now)
{
  for (guint i = 0; i < baseline->targets->len; i++)
    ((target_t *)g_ptr_array_index (baseline->targets, i))->usable = false;
  decide_each_endpoint (node, now, update_target, baseline);
}

/* Chooses among the usable endpoints other than the last target; those of the
   own data centre take precedence over all others.
   Return: the target, or NULL when there is none.  */
static target_t *
choose_target (baseline_t *baseline, const pending_request_t *pending)
{
  policy_endpoint_t endpoints[DECIDE_SERVICE_ENDPOINTS_MAX];
  target_t *targets[DECIDE_SERVICE_ENDPOINTS_MAX];
  uint32_t count = 0;

  for (int in_own_data_centre = 1; in_own_data_centre >= 0 && count == 0;
       in_own_data_centre--)
    for (guint i = 0;
         i < baseline->targets->len && count < DECIDE_SERVICE_ENDPOINTS_MAX;
         i++)
      {
        target_t *target = g_ptr_array_index (baseline->targets, i);

        if (target->service != pending->request.service || !target->usable
            || target->in_own_data_centre != (in_own_data_centre != 0)
            || target == pending->last_target)
          continue;
        targets[count] = target;
        endpoints[count++]
            = (policy_endpoint_t){ .local = target->local,
                                   .reported = target->load.present,
                                   .in_flight = target->load.in_flight,
                                   .queued = target->load.queued };
      }
  if (count == 0)
    return NULL;
  return targets[baseline->policy->choose (&baseline->state, endpoints,
                                           count)];
}

static void
refuse_request (baseline_t *baseline, uint64_t request, decide_reason_t reason,
                decide_ran_t ran, clock_ms_t retry_after_ms)
{
  decide_refusal_t refusal = { .request = request,
                               .reason = reason,
                               .ran = ran,
                               .retry_after_ms = retry_after_ms };

  g_hash_table_remove (baseline->pending_requests, &request);
  baseline->callbacks.refuse (baseline->callbacks.context, &refusal);
}

static void
send_attempt (baseline_t *baseline, clock_ms_t now, pending_request_t *pending)
{
  clock_ms_t deadline = MIN (pending->request.deadline, now + pending->run_ms);
  target_t *target = choose_target (baseline, pending);
  decide_forward_t forward = { .request = pending->request.id,
                               .start_by = deadline,
                               .deadline = deadline };
  sent_attempt_t *sent;

  if (target == NULL)
    {
      refuse_request (baseline, pending->request.id, DECIDE_REASON_NO_CAPACITY,
                      DECIDE_RAN_NO, 1000);
      return;
    }
  sent = g_new (sent_attempt_t, 1);
  sent->id = ++baseline->last_attempt_id;
  sent->target = target;
  g_hash_table_insert (baseline->attempts, &sent->id, sent);
  target->local++;
  pending->last_target = target;
  pending->attempt = sent->id;
  forward.attempt = sent->id;
  forward.target = &target->endpoint;
  baseline->callbacks.forward (baseline->callbacks.context, &forward);
}

void
baseline_request (baseline_t *baseline, clock_ms_t now,
                  const decide_request_t *request,
                  const decide_profile_t *profile)
{
  pending_request_t *pending;

  if (profile == NULL)
    {
      refuse_request (baseline, request->id, DECIDE_REASON_UNKNOWN_SERVICE,
                      DECIDE_RAN_NO, 0);
      return;
    }
  pending = g_new0 (pending_request_t, 1);
  pending->request = *request;
  pending->run_ms = profile->run_ms;
  g_hash_table_insert (baseline->pending_requests, &pending->request.id,
                       pending);
  send_attempt (baseline, now, pending);
}

void
baseline_cancel_request (baseline_t *baseline, uint64_t request)
{
  g_hash_table_remove (baseline->pending_requests, &request);
}

bool
baseline_attempt_done (baseline_t *baseline, clock_ms_t now, uint64_t request,
                       uint64_t attempt, const decide_attempt_end_t *end)
{
  const sent_attempt_t *sent
      = g_hash_table_lookup (baseline->attempts, &attempt);
  pending_request_t *pending
      = g_hash_table_lookup (baseline->pending_requests, &request);
  bool not_run = end->result == DECIDE_ATTEMPT_SHED
                 || end->result == DECIDE_ATTEMPT_NOT_SENT;

  if (sent == NULL)
    return false;
  sent->target->local--;
  if (end->load.present)
    sent->target->load = end->load;
  g_hash_table_remove (baseline->attempts, &attempt);
  if (pending == NULL || pending->attempt != attempt)
    return false;
  if (end->result == DECIDE_ATTEMPT_ANSWERED)
    {
      g_hash_table_remove (baseline->pending_requests, &request);
      return true;
    }
  if (not_run && pending->request.idempotent && !pending->retried
      && now < pending->request.deadline)
    {
      pending->retried = true;
      telemetry_counter_increment (TELEMETRY_RETRIES, 0);
      send_attempt (baseline, now, pending);
      return false;
    }
  refuse_request (baseline, request, DECIDE_REASON_FAILED,
                  not_run ? DECIDE_RAN_NO : DECIDE_RAN_UNKNOWN,
                  MAX (end->retry_after_ms, 1000));
  return false;
}
