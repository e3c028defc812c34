#include "feed_private.h"

#include <errno.h>

#include "telemetry.h"

/* Delay from one complete list of the endpoints to the next.  All instances
   must stop sending requests to a draining endpoint within two seconds;
   docs/platform.md breaks that time down.  */
#define BACKENDS_POLL_INTERVAL_MS 600
/* Longest and shortest time that a watch waits for changes.  The platform
   charges for each watch as one call, however long it waits.  */
#define WATCH_WAIT_MAX_MS 5000
#define WATCH_WAIT_MIN_MS 500
/* Time for the response to a watch after its wait has ended.  */
#define WATCH_RESPONSE_MS 500
/* Time from the failure of a watch until a change that it has missed was
   listed and is in force at all instances.  */
#define MISSED_CHANGE_MS 1000
/* Timeout of the request for one page of a list.  */
#define LIST_TIMEOUT_MS 1000
/* Delay from a failed list to the next list of the same kind.  After a failed
   watch, the objects are listed without delay.  */
#define RETRY_DELAY_MS 500
/* The same for the other kinds while the endpoints cannot be read, when
   usually nothing can.  */
#define OUTAGE_RETRY_DELAY_MS 1000
/* Delay from a change of the list of members until it is written to the store,
   so that instances that start at the same time cause only one write.  */
#define STORE_MEMBERS_DELAY_MS 1000
/* Shortest time from a failed write of the list of members to the next
   write.  */
#define STORE_MEMBERS_RETRY_MS 1500

/* Shortest time between lists of the rollouts because endpoints of a version
   wait for an order.  */
#define ORDER_LOOK_INTERVAL_MS 1000

static void start_next_call (feed_t *feed, feed_kind_t kind, clock_ms_t now);
static clock_ms_t get_watch_wait (const feed_t *feed, feed_kind_t kind);
static void schedule_read_retry (feed_t *feed, feed_kind_t kind, int error,
                                 clock_ms_t now);
static bool is_outdated (const feed_t *feed, const channel_t *channel,
                         const feed_response_t *response);
static void enter_era (feed_t *feed, const feed_response_t *response);
static void look_for_order (feed_t *feed, clock_ms_t now);
static void drop_rollout_list (feed_t *feed);
static void store_members (feed_t *feed, clock_ms_t now);

void
feed_member_free (gpointer data)
{
  feed_member_t *member = data;

  g_free (member->name);
  g_free (member->data_centre);
  g_free (member);
}

void
feed_item_free (gpointer data)
{
  feed_item_t *item = data;

  if (item->backend != NULL)
    {
      g_free (item->backend->id);
      g_free (item->backend->service);
      g_free (item->backend->data_centre);
      g_free (item->backend->software);
      g_free (item->backend);
    }
  routes_free (item->routes);
  if (item->rollout != NULL)
    {
      g_free (item->rollout->service);
      g_free (item->rollout->version);
      g_free (item->rollout);
    }
  if (item->members != NULL)
    g_ptr_array_free (item->members, TRUE);
  g_free (item->name);
  g_free (item);
}

feed_t *
feed_new (struct ev_loop *loop, const feed_source_t *source, view_t *view,
          members_t *members, reader_t *reader)
{
  feed_t *feed = g_new0 (feed_t, 1);

  feed->loop = loop;
  feed->source = *source;
  feed->view = view;
  feed->members = members;
  feed->reader = reader;
  for (int i = 0; i < FEED_KIND_COUNT; i++)
    feed->channels[i].items = g_ptr_array_new_with_free_func (feed_item_free);
  return feed;
}

void
feed_free (feed_t *feed)
{
  for (int i = 0; i < FEED_KIND_COUNT; i++)
    g_ptr_array_free (feed->channels[i].items, TRUE);
  g_free (feed->storing_rollout);
  g_free (feed);
}

void
feed_set_bounds (feed_t *feed, const feed_bounds_t *bounds)
{
  feed->bounds = *bounds;
}

void
feed_stop (feed_t *feed)
{
  feed->stopping = true;
  feed_stop_reading (feed);
}

void
feed_tick (feed_t *feed, clock_ms_t now)
{
  const reader_t *reader = feed->reader;
  int rank = members_takeover_rank (
      feed->members, reader->has_heard_reader ? reader->last_reader : NULL);

  if (feed->stopping)
    return;
  if (feed->was_reader && !reader->is_reader)
    feed_stop_reading (feed);
  if (feed->is_candidate && !reader_must_read_all (reader, now))
    feed_stop_reading (feed);
  feed->was_reader = reader->is_reader;
  telemetry_gauge_set (TELEMETRY_READER_STATE,
                       feed_get_reader_state (reader, now));
  view_log_each_change (feed->view, reader->is_reader);
  if (reader->is_reader)
    {
      look_for_order (feed, now);
      for (int i = 0; i < FEED_KIND_COUNT; i++)
        start_next_call (feed, (feed_kind_t)i, now);
      store_members (feed, now);
      return;
    }
  if (reader_should_take_over (reader, rank, now)
      && !feed->channels[FEED_BACKENDS].busy && !feed->is_candidate)
    feed_start_list (feed, FEED_BACKENDS, NULL);
}

/* Lists the rollouts if endpoints of a version wait for an order, which a lost
   response of the watch may have had.  */
static void
look_for_order (feed_t *feed, clock_ms_t now)
{
  channel_t *channel = &feed->channels[FEED_ROLLOUTS];

  if (!rollouts_has_unordered (feed->view->rollouts) || !channel->has_list
      || now < feed->next_order_look_at)
    return;
  feed->next_order_look_at = now + ORDER_LOOK_INTERVAL_MS;
  drop_rollout_list (feed);
}

/* Makes the feed list the rollouts anew.  */
static void
drop_rollout_list (feed_t *feed)
{
  channel_t *channel = &feed->channels[FEED_ROLLOUTS];

  if (channel->busy)
    feed->source.cancel (feed->source.context, FEED_ROLLOUTS);
  channel->busy = false;
  channel->has_list = false;
  channel->next_call_at = 0;
}

/* Writes the list of members to the store if it differs from the one there and
   the delay after the change has passed.  */
static void
store_members (feed_t *feed, clock_ms_t now)
{
  if (!feed->channels[FEED_MEMBERS].has_list || feed->storing
      || feed->stored_digest == members_digest (feed->members))
    return;
  if (feed->next_store_at == 0)
    feed->next_store_at = now + STORE_MEMBERS_DELAY_MS;
  if (now < feed->next_store_at)
    return;
  feed->storing = true;
  feed->next_store_at = 0;
  feed->storing_digest = members_digest (feed->members);
  feed->source.store_members (feed->source.context, feed->members,
                              feed->members_revision);
}

void
feed_handle_store_result (feed_t *feed, int error, store_revision_t revision)
{
  feed->storing = false;
  if (error == 0 && revision.era == feed->era)
    {
      feed->stored_digest = feed->storing_digest;
      feed->members_revision = revision;
      return;
    }
  /* The store may have lost what it acknowledged in another era, and the
     condition of a write may have named a revision that it has given out
     again.  */
  if (error == 0)
    error = -ESTALE;
  g_info ("cannot write the list of instances to the store: %s",
          g_strerror (-error));
  feed->next_store_at = clock_now () + STORE_MEMBERS_RETRY_MS;
  /* The list is read again before the next attempt, as another reader may have
     changed it or a call without a response may have taken effect.  */
  feed->channels[FEED_MEMBERS].has_list = false;
}

int
feed_store_rollout (feed_t *feed, rollout_t *rollout)
{
  if (feed->stopping || feed->storing_rollout != NULL
      || !feed->channels[FEED_ROLLOUTS].has_list
      || store_revision_is_zero (rollout->revision)
      || rollout->revision.era != feed->era)
    return -EBUSY;
  feed->storing_rollout = g_strdup (rollout->service);
  feed->storing_phase = rollout->step.phase;
  feed->source.store_rollout (feed->source.context, rollout);
  return 0;
}

void
feed_handle_rollout_result (feed_t *feed, int error, store_revision_t revision)
{
  g_autofree char *service = g_steal_pointer (&feed->storing_rollout);
  rollout_t *rollout
      = service != NULL ? rollouts_find (feed->view->rollouts, service) : NULL;

  if (error == 0 && revision.era == feed->era && rollout != NULL)
    {
      rollout->revision = revision;
      rollout->stored_phase = feed->storing_phase == ROLLOUT_PROMOTED
                                  ? ROLLOUT_COMPLETED
                                  : feed->storing_phase;
      return;
    }
  g_info ("cannot write the state of a rollout to the store: %s",
          g_strerror (error == 0 ? ESTALE : -error));
  /* Another instance may have written, or this call may have taken effect.  */
  drop_rollout_list (feed);
}

void
feed_stop_reading (feed_t *feed)
{
  for (int i = 0; i < FEED_KIND_COUNT; i++)
    {
      channel_t *channel = &feed->channels[i];

      if (channel->busy)
        feed->source.cancel (feed->source.context, (feed_kind_t)i);
      channel->busy = false;
      channel->has_list = false;
      channel->has_failed = false;
      channel->next_call_at = 0;
      g_ptr_array_set_size (channel->items, 0);
    }
  feed->is_candidate = false;
}

bool
feed_is_needed (const feed_t *feed, feed_kind_t kind)
{
  return kind != FEED_ROLLOUTS || feed->view->has_rollouts;
}

static void
start_next_call (feed_t *feed, feed_kind_t kind, clock_ms_t now)
{
  channel_t *channel = &feed->channels[kind];
  clock_ms_t wait;

  if (channel->busy || now < channel->next_call_at)
    return;
  if (!feed_is_needed (feed, kind))
    return;
  /* The list of members needs no watch: only readers write it, and each knows
     its own writes.  */
  if (kind == FEED_MEMBERS && channel->has_list)
    return;
  if (kind == FEED_BACKENDS || !channel->has_list)
    {
      feed_start_list (feed, kind, NULL);
      return;
    }
  channel->busy = true;
  channel->listing = false;
  /* The watch starts at the revision of the last list or reported change, even
     if the store has a newer one by now.  If the store has dropped the changes
     after that revision, the watch fails and the objects are listed again.  */
  channel->revision_min = feed->newest_revision;
  wait = get_watch_wait (feed, kind);
  feed->source.watch (feed->source.context, kind, channel->revision, wait,
                      wait + WATCH_RESPONSE_MS);
}

/* Returns the time for which a watch waits for changes.  If the response with
   a change is lost, only the timeout of the watch shows that.  The change must
   then be in force in time, or at the latest when the lost response does not
   excuse its delay any more.  */
static clock_ms_t
get_watch_wait (const feed_t *feed, feed_kind_t kind)
{
  const feed_bounds_t *bounds = &feed->bounds;
  clock_ms_t in_force;

  /* An order that is learnt late harms nobody: endpoints of a version without
     an order get no requests for a time.  */
  if (kind == FEED_ROLLOUTS)
    return WATCH_WAIT_MAX_MS;
  in_force = kind == FEED_CONFIG ? bounds->config_in_force
                                 : bounds->out_of_service_in_force;

  return CLAMP (MAX (bounds->fault_excused, in_force) - MISSED_CHANGE_MS
                    - WATCH_RESPONSE_MS,
                WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS);
}

void
feed_start_list (feed_t *feed, feed_kind_t kind, const char *after)
{
  channel_t *channel = &feed->channels[kind];

  channel->busy = true;
  channel->listing = true;
  if (after == NULL)
    {
      g_ptr_array_set_size (channel->items, 0);
      channel->revision_min = feed->newest_revision;
    }
  feed->source.list (feed->source.context, kind, after, LIST_TIMEOUT_MS);
}

/* Whether a response is of an older era than known, or of an older revision
   than a response had stated when the call began: what has answered then lags
   behind what the store has acknowledged.  */
static bool
is_outdated (const feed_t *feed, const channel_t *channel,
             const feed_response_t *response)
{
  if (response->revision.era < feed->era)
    return true;
  return (channel->listing || response->items->len == 0)
         && store_revision_compare (response->revision, channel->revision_min)
                < 0;
}

void
feed_handle_response (feed_t *feed, feed_kind_t kind,
                      feed_response_t *response)
{
  channel_t *channel = &feed->channels[kind];
  clock_ms_t now = clock_now ();
  bool is_new_era;
  bool is_whole_list;

  channel->busy = false;
  if (feed->stopping)
    return;
  telemetry_counter_increment (response->error == 0
                                   ? TELEMETRY_STORE_READS
                                   : TELEMETRY_STORE_READ_FAILURES,
                               (unsigned int)kind);
  if (response->error != 0)
    {
      schedule_read_retry (feed, kind, response->error, now);
      return;
    }
  is_whole_list = channel->listing && channel->items->len == 0;
  is_new_era = !feed->knows_era || response->revision.era > feed->era;
  if (is_new_era)
    enter_era (feed, response);
  if (is_outdated (feed, channel, response))
    {
      g_log_structured (
          "fleet", G_LOG_LEVEL_INFO, "MESSAGE",
          "%s: read at an older store "
          "revision " STORE_REVISION_FORMAT " than " STORE_REVISION_FORMAT,
          feed_kind_labels[kind], STORE_REVISION_ARGS (response->revision),
          STORE_REVISION_ARGS (channel->revision_min));
      schedule_read_retry (feed, kind, -ESTALE, now);
      return;
    }
  if (store_revision_compare (feed->newest_revision, response->revision) < 0)
    feed->newest_revision = response->revision;
  /* A response that continues a list or a watch of an older era is dropped. */
  if (is_new_era && !is_whole_list)
    {
      channel->has_list = false;
      g_ptr_array_set_size (channel->items, 0);
      feed_tick (feed, now);
      return;
    }
  if (channel->listing)
    {
      for (guint i = 0; i < response->items->len; i++)
        g_ptr_array_add (channel->items,
                         g_ptr_array_index (response->items, i));
      g_ptr_array_set_free_func (response->items, NULL);
      if (response->more && response->items->len > 0)
        {
          const feed_item_t *last
              = g_ptr_array_index (channel->items, channel->items->len - 1);

          feed_start_list (feed, kind, last->name);
          return;
        }
      if (kind == FEED_BACKENDS)
        feed_record_backends_list (feed, now);
      feed_apply_list (feed, kind, response->revision, now);
      channel->has_list = true;
      channel->has_failed = false;
      channel->revision = response->revision;
      channel->next_call_at
          = now + (kind == FEED_BACKENDS ? BACKENDS_POLL_INTERVAL_MS : 0);
      feed_update_partial (feed);
      if (feed->is_candidate)
        feed_continue_candidacy (feed, now);
      /* A reader that has stepped down since the last tick still has its
         watches.  */
      else if (kind == FEED_BACKENDS && !feed->was_reader
               && reader_must_read_all (feed->reader, now))
        feed_become_candidate (feed, now);
    }
  else
    {
      feed_apply_watched_changes (feed, kind, response->items,
                                  response->revision, now);
      if (response->items->len > 0)
        channel->revision = response->revision;
      channel->next_call_at = 0;
    }
  feed_tick (feed, now);
}

/* Handles the first response of a new era.  What was read before, and the
   revision at which a watch waits, are of a history that the store has lost in
   part, so that all kinds are listed again.  */
static void
enter_era (feed_t *feed, const feed_response_t *response)
{
  if (feed->knows_era)
    {
      g_log_structured ("fleet", G_LOG_LEVEL_WARNING, "MESSAGE",
                        "the store was restored from an older copy: store "
                        "revision " STORE_REVISION_FORMAT
                        " after " STORE_REVISION_FORMAT,
                        STORE_REVISION_ARGS (response->revision),
                        STORE_REVISION_ARGS (feed->view->revision));
      feed_stop_reading (feed);
    }
  feed->era = response->revision.era;
  feed->knows_era = true;
  telemetry_gauge_set (TELEMETRY_STORE_ERA, (int64_t)feed->era);
}

clock_ms_t
feed_get_retry_delay (const feed_t *feed, feed_kind_t kind)
{
  return feed->store_unreachable && kind != FEED_BACKENDS
             ? OUTAGE_RETRY_DELAY_MS
             : RETRY_DELAY_MS;
}

/* Schedules a complete list after a list or watch has failed.  If the failed
   call was a list of the endpoints, the store counts as unreachable until a
   list succeeds.  */
static void
schedule_read_retry (feed_t *feed, feed_kind_t kind, int error, clock_ms_t now)
{
  channel_t *channel = &feed->channels[kind];

  /* A complete list is needed, as a watch may have missed changes before its
     connection broke and the store may have dropped their history.  */
  channel->has_list = false;
  /* Where a watch has got no response, a list may get none either.  Waiting
     for its timeout as well would take too long.  */
  channel->has_failed = channel->listing || error == -ETIMEDOUT;
  channel->next_call_at
      = channel->listing ? now + feed_get_retry_delay (feed, kind) : now;
  if (kind != FEED_BACKENDS)
    {
      if (feed->is_candidate)
        feed_continue_candidacy (feed, now);
      feed_update_partial (feed);
      return;
    }
  if (!feed->store_unreachable)
    feed_begin_outage (feed, error, now);
  feed_handle_read_result (feed, READER_FAILED, now);
}
