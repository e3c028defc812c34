/* The part of the view that concerns rollouts of new software versions.  */

#include "view.h"

#include <string.h>

#include "telemetry.h"

static void log_step (const rollout_t *rollout);
static void apply_step (view_t *view, const rollout_t *rollout,
                        const rollout_step_t *before, clock_ms_t now);

void
view_enable_rollouts (view_t *view)
{
  view->has_rollouts = true;
}

static void
log_step (const rollout_t *rollout)
{
  const char *phase = rollout_phase_name (rollout->step.phase);
  char share[G_ASCII_DTOSTR_BUF_SIZE];

  g_log_structured (
      "fleet", G_LOG_LEVEL_MESSAGE, "SERVICE", rollout->service, "VERSION",
      rollout->version, "PHASE", phase, "SHARE",
      g_ascii_formatd (share, sizeof share, "%.3f", rollout->step.share),
      "REASON", rollout->reason, "MESSAGE", "rollout of version %s: %s",
      rollout->version, phase);
}

/* Lets a step take effect at the endpoints.  @before: the step before, or NULL
   if the rollout is new.  */
static void
apply_step (view_t *view, const rollout_t *rollout,
            const rollout_step_t *before, clock_ms_t now)
{
  const rollout_step_t *step = &rollout->step;

  rollouts_set_tracks (view->rollouts, view->backends, now);
  if (before == NULL || before->phase != step->phase
      || before->share < step->share || before->share > step->share)
    {
      telemetry_counter_increment (TELEMETRY_ROLLOUT_STEPS,
                                   (unsigned int)step->phase);
      /* The other instances only repeat what the reader decides.  */
      if (view->log_each_change)
        log_step (rollout);
    }
  view->hooks.rollouts_changed (view->hooks.context);
}

void
view_put_rollout (view_t *view, const rollout_order_t *order,
                  rollout_phase_t stored_phase, clock_ms_t now)
{
  const rollout_t *known = rollouts_find (view->rollouts, order->service);
  uint64_t known_id = known != NULL ? known->id : 0;
  rollout_t *rollout;

  if (!view->has_rollouts)
    return;
  rollout = rollouts_put (view->rollouts, order, now);
  if (strcmp (rollout->version, order->version) != 0)
    return;
  if (rollout->id != known_id)
    {
      counts_forget (view->counts, known_id);
      apply_step (view, rollout, NULL, now);
    }
  rollout->duration = order->duration;
  rollout->revision = order->revision;
  rollout->stored_phase = stored_phase;
  /* What the store says of the end of a rollout holds: the platform has acted
     on it.  */
  if (stored_phase != ROLLOUT_PHASE_COUNT
      && stored_phase > rollout->step.phase)
    view_take_rollout_step (
        view, rollout,
        &(rollout_step_t){ .phase = stored_phase,
                           .share = stored_phase == ROLLOUT_COMPLETED },
        "stated by the store", now);
}

void
view_cancel_rollouts (view_t *view, const char *service,
                      const GPtrArray *orders, clock_ms_t now)
{
  rollout_step_t step = { .phase = ROLLOUT_CANCELLED };

  if (now < view->retain_until)
    return;
  for (int i = 0; i < rollouts_count (view->rollouts); i++)
    {
      rollout_t *rollout = rollouts_get (view->rollouts, i);
      bool is_missing
          = service == NULL || strcmp (rollout->service, service) == 0;

      for (guint j = 0; orders != NULL && j < orders->len; j++)
        {
          const rollout_order_t *order = g_ptr_array_index (orders, j);

          is_missing &= strcmp (rollout->service, order->service) != 0;
        }
      if (is_missing && rollout_is_running (rollout))
        view_take_rollout_step (view, rollout, &step, "the order was removed",
                                now);
    }
}

void
view_take_rollout_step (view_t *view, rollout_t *rollout,
                        const rollout_step_t *step, const char *reason,
                        clock_ms_t now)
{
  rollout_step_t before = rollout->step;

  if (rollout_take_step (rollout, step, reason, now))
    apply_step (view, rollout, &before, now);
}

void
view_learn_rollout (view_t *view, const rollout_order_t *order, uint64_t id,
                    const rollout_step_t *step, clock_ms_t age, clock_ms_t now)
{
  const rollout_t *known = rollouts_find (view->rollouts, order->service);
  uint64_t known_id = known != NULL ? known->id : 0;
  rollout_step_t before = { 0 };

  if (known != NULL)
    before = known->step;
  if (!view->has_rollouts || step->phase >= ROLLOUT_PHASE_COUNT
      || !rollouts_learn (view->rollouts, order, id, step, age, now))
    return;
  known = rollouts_find (view->rollouts, order->service);
  if (known->id != known_id)
    counts_forget (view->counts, known_id);
  apply_step (view, known, known->id == known_id ? &before : NULL, now);
}
