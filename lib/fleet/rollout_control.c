#include "rollout_control.h"

#include <string.h>

#include "rollout_counts.h"
#include "telemetry.h"

/* Time between judgements, and between writes of the same phase.  */
#define JUDGE_INTERVAL_MS 250
#define STORE_RETRY_MS 500
/* What another instance has told holds for this time.  */
#define PROGRESS_MAX_AGE_MS 1500

/* What another instance has told, and when.  */
typedef struct told_progress
{
  rollout_progress_t progress;
  clock_ms_t told_at;
} told_progress_t;

/* Memory for one service.  */
typedef struct service_control
{
  rollout_judge_t judge;
  clock_ms_t next_store_at; /* ms; time before which no write is tried */
  bool is_overdue_logged;   /* that it has taken longer than ordered */
} service_control_t;

struct rollout_control
{
  view_t *view;
  members_t *members;
  const reader_t *reader;
  feed_t *feed;
  const rollout_bounds_t *bounds;
  GHashTable *services; /* name to service_control_t * */
  GHashTable *progress; /* "instance\nid" to told_progress_t * */
  clock_ms_t next_judge_at;
};

static char *make_progress_key (const char *instance, uint64_t id);
static service_control_t *get_service (rollout_control_t *control,
                                       const char *service);
static bool is_behind (rollout_control_t *control, const rollout_t *rollout,
                       const member_t *member, clock_ms_t now);
static void judge (rollout_control_t *control, rollout_t *rollout,
                   clock_ms_t now);
static void log_counts (const rollout_t *rollout,
                        const rollout_evidence_t *evidence);
static void log_overdue (service_control_t *service, const rollout_t *rollout,
                         clock_ms_t now);
static bool is_store_due (const rollout_t *rollout, bool can_complete);
static void store (rollout_control_t *control, rollout_t *rollout,
                   bool can_complete, clock_ms_t now);

rollout_control_t *
rollout_control_new (view_t *view, members_t *members, const reader_t *reader,
                     feed_t *feed, const rollout_bounds_t *bounds)
{
  rollout_control_t *control = g_new0 (rollout_control_t, 1);

  control->view = view;
  control->members = members;
  control->reader = reader;
  control->feed = feed;
  control->bounds = bounds;
  control->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  control->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return control;
}

void
rollout_control_free (rollout_control_t *control)
{
  g_hash_table_destroy (control->services);
  g_hash_table_destroy (control->progress);
  g_free (control);
}

static char *
make_progress_key (const char *instance, uint64_t id)
{
  return g_strdup_printf ("%s\n%" G_GUINT64_FORMAT, instance, id);
}

void
rollout_control_learn_progress (rollout_control_t *control,
                                const char *instance,
                                const rollout_progress_t *progress,
                                clock_ms_t now)
{
  told_progress_t *told = g_new0 (told_progress_t, 1);

  told->progress = *progress;
  told->told_at = now;
  g_hash_table_replace (control->progress,
                        make_progress_key (instance, progress->id), told);
}

static service_control_t *
get_service (rollout_control_t *control, const char *service)
{
  service_control_t *entry = g_hash_table_lookup (control->services, service);

  if (entry == NULL)
    {
      entry = g_new0 (service_control_t, 1);
      g_hash_table_insert (control->services, g_strdup (service), entry);
    }
  return entry;
}

/* Whether an instance may still have requests at old endpoints of a promoted
   rollout, as far as is known.  */
static bool
is_behind (rollout_control_t *control, const rollout_t *rollout,
           const member_t *member, clock_ms_t now)
{
  g_autofree char *key = make_progress_key (member->name, rollout->id);
  const told_progress_t *told = g_hash_table_lookup (control->progress, key);

  if (member == control->members->own)
    return rollout_count_old_in_flight (rollout, control->view->backends) > 0;
  return told == NULL || now - told->told_at > PROGRESS_MAX_AGE_MS
         || told->progress.phase < ROLLOUT_PROMOTED
         || told->progress.old_in_flight > 0;
}

/* Logs what the steps of a rollout are decided by.  */
static void
log_counts (const rollout_t *rollout, const rollout_evidence_t *evidence)
{
  rollout_route_tally_t total = rollout_evidence_total (evidence);
  char canary[96];
  char stable[96];

  (void)g_snprintf (canary, sizeof canary,
                    "%" G_GUINT64_FORMAT " answers, %" G_GUINT64_FORMAT
                    " failed, %" G_GUINT64_FORMAT " slow",
                    total.canary.answers, total.canary.failures,
                    total.canary.slow);
  (void)g_snprintf (stable, sizeof stable,
                    "%" G_GUINT64_FORMAT " answers, %" G_GUINT64_FORMAT
                    " failed, %" G_GUINT64_FORMAT " slow",
                    total.stable.answers, total.stable.failures,
                    total.stable.slow);
  g_log_structured ("fleet", G_LOG_LEVEL_INFO, "SERVICE", rollout->service,
                    "VERSION", rollout->version, "PHASE",
                    rollout_phase_name (rollout->step.phase), "NEW", canary,
                    "OLD", stable, "MESSAGE", "answers of both versions");
}

static void
log_overdue (service_control_t *service, const rollout_t *rollout,
             clock_ms_t now)
{
  if (service->judge.id != rollout->id)
    service->is_overdue_logged = false;
  if (service->is_overdue_logged
      || now - rollout->started_at <= rollout->duration)
    return;
  service->is_overdue_logged = true;
  g_log_structured ("fleet", G_LOG_LEVEL_WARNING, "SERVICE", rollout->service,
                    "VERSION", rollout->version, "PHASE",
                    rollout_phase_name (rollout->step.phase), "MESSAGE",
                    "the rollout takes longer than ordered");
}

static void
judge (rollout_control_t *control, rollout_t *rollout, clock_ms_t now)
{
  service_control_t *service = get_service (control, rollout->service);
  rollout_phase_t phase = rollout->step.phase;
  rollout_evidence_t evidence;
  rollout_room_t room = { 0 };
  rollout_step_t step;
  char reason[ROLLOUT_REASON_BYTES] = "";

  if (!rollout_is_running (rollout))
    {
      store (control, rollout, false, now);
      return;
    }
  log_overdue (service, rollout, now);
  rollout_gather_evidence (control->view->counts, rollout->id, &evidence);
  rollout_survey_room (rollout, control->view->backends, now, &room);
  for (guint i = 0; i < control->members->table->len; i++)
    {
      const member_t *member = g_ptr_array_index (control->members->table, i);

      if (member->ready && is_behind (control, rollout, member, now))
        room.instances_behind++;
    }
  if (rollout_judge (&service->judge, rollout, &evidence, &room,
                     control->bounds, now, &step, reason))
    view_take_rollout_step (control->view, rollout, &step, reason, now);
  if (phase != rollout->step.phase)
    log_counts (rollout, &evidence);
  store (control, rollout, rollout_can_complete (rollout, &room, now), now);
}

/* Whether the store is to be told of the phase.  */
static bool
is_store_due (const rollout_t *rollout, bool can_complete)
{
  switch (rollout->step.phase)
    {
    case ROLLOUT_CANARY:
    case ROLLOUT_RAMP:
      return rollout->stored_phase == ROLLOUT_PHASE_COUNT;
    case ROLLOUT_PROMOTED:
      return can_complete;
    case ROLLOUT_CANCELLED:
      return false;
    default:
      return rollout->stored_phase != rollout->step.phase;
    }
}

static void
store (rollout_control_t *control, rollout_t *rollout, bool can_complete,
       clock_ms_t now)
{
  service_control_t *service = get_service (control, rollout->service);
  rollout_step_t completed = { .phase = ROLLOUT_COMPLETED, .share = 1.0 };

  if (rollout->step.phase == ROLLOUT_PROMOTED
      && rollout->stored_phase == ROLLOUT_COMPLETED)
    view_take_rollout_step (control->view, rollout, &completed,
                            "the store has it", now);
  if (!is_store_due (rollout, can_complete) || now < service->next_store_at)
    return;
  if (feed_store_rollout (control->feed, rollout) == 0)
    service->next_store_at = now + STORE_RETRY_MS;
}

void
rollout_control_tick (rollout_control_t *control, clock_ms_t now)
{
  rollouts_t *rollouts = control->view->rollouts;

  if (!control->reader->is_reader || rollouts_count (rollouts) == 0
      || now < control->next_judge_at)
    return;
  control->next_judge_at = now + JUDGE_INTERVAL_MS;
  for (int i = 0; i < rollouts_count (rollouts); i++)
    judge (control, rollouts_get (rollouts, i), now);
}
