/* What the results of reads mean for the reader: when this instance takes
   over, and what it says that it cannot read.  */

#include "feed_private.h"

#include "telemetry.h"

static void end_outage (feed_t *feed);
static void become_reader (feed_t *feed, const char *reason, clock_ms_t now);

/* Names of the kinds in the log.  */
const char *const feed_kind_labels[FEED_KIND_COUNT] = {
  [FEED_BACKENDS] = "the endpoints",
  [FEED_CONFIG] = "the configuration",
  [FEED_OUT_OF_SERVICE] = "the data centres out of service",
  [FEED_ROLLOUTS] = "the rollouts",
  [FEED_MEMBERS] = "the list of instances",
};

int
feed_get_reader_state (const reader_t *reader, clock_ms_t now)
{
  if (!reader->is_reader)
    return 0;
  if (!reader_is_fresh (reader, now))
    return 1;
  return reader->is_partial ? 2 : 3;
}

void
feed_become_candidate (feed_t *feed, clock_ms_t now)
{
  feed->is_candidate = true;
  for (int i = 0; i < FEED_KIND_COUNT; i++)
    if (i != FEED_BACKENDS && feed_is_needed (feed, (feed_kind_t)i))
      feed_start_list (feed, (feed_kind_t)i, NULL);
  feed_continue_candidacy (feed, now);
}

void
feed_continue_candidacy (feed_t *feed, clock_ms_t now)
{
  bool has_all = true;

  for (int i = 0; i < FEED_KIND_COUNT; i++)
    {
      const channel_t *channel = &feed->channels[i];

      if (!feed_is_needed (feed, (feed_kind_t)i))
        continue;
      if (channel->has_failed)
        {
          reader_delay_takeover (feed->reader,
                                 members_count_ready (feed->members), now);
          feed_stop_reading (feed);
          return;
        }
      has_all &= channel->has_list;
    }
  if (!has_all)
    return;
  feed->is_candidate = false;
  feed_handle_read_result (feed, READER_READ_ALL, now);
  /* The reader may have recovered meanwhile.  */
  if (!feed->reader->is_reader)
    feed_stop_reading (feed);
}

void
feed_begin_outage (feed_t *feed, int error, clock_ms_t now)
{
  g_warning ("cannot read the store: %s", g_strerror (-error));
  feed->store_unreachable = true;
  feed_stop_reading (feed);
  for (int i = 0; i < FEED_KIND_COUNT; i++)
    feed->channels[i].next_call_at
        = now + feed_get_retry_delay (feed, (feed_kind_t)i);
  feed_update_partial (feed);
}

/* Called when a list of the endpoints has succeeded again.  What could not be
   read meanwhile is listed at once, on new connections.  */
static void
end_outage (feed_t *feed)
{
  g_message ("store can be read again");
  feed->store_unreachable = false;
  for (int i = 0; i < FEED_KIND_COUNT; i++)
    {
      channel_t *channel = &feed->channels[i];

      if (i == FEED_BACKENDS || channel->has_list)
        continue;
      if (channel->busy)
        feed->source.cancel (feed->source.context, (feed_kind_t)i);
      channel->busy = false;
      channel->has_failed = false;
      channel->next_call_at = 0;
      g_ptr_array_set_size (channel->items, 0);
    }
}

void
feed_handle_read_result (feed_t *feed, reader_result_t result, clock_ms_t now)
{
  const char *reason = reader_get_takeover_reason (feed->reader, now);

  if (reader_handle_read_result (feed->reader, result,
                                 members_count_ready (feed->members), now))
    become_reader (feed, reason, now);
}

/* Called when this instance has become the reader.  @reason: why.  */
static void
become_reader (feed_t *feed, const char *reason, clock_ms_t now)
{
  telemetry_counter_increment (TELEMETRY_READER_CHANGES, 0);
  g_log_structured ("fleet", G_LOG_LEVEL_MESSAGE, "READER", "began", "REASON",
                    reason, "PEER", feed->reader->last_reader, "MESSAGE",
                    feed->store_unreachable
                        ? "announces for all instances, as nobody else does"
                        : "reads the store for all instances");
  for (guint i = 0; i < feed->members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (feed->members->table, i);

      /* So far the members have sent their hellos to the previous reader.
         Each live member now has the full timeout to send one to this
         instance.  */
      member->last_hello_at = now;
    }
}

void
feed_record_backends_list (feed_t *feed, clock_ms_t now)
{
  reader_t *reader = feed->reader;

  if (reader_is_after_outage (reader, feed->view->has_all_backends, now))
    view_retain_missing (feed->view, now);
  if (feed->store_unreachable)
    end_outage (feed);
  feed_handle_read_result (feed, READER_READ_ENDPOINTS, now);
}

void
feed_update_partial (feed_t *feed)
{
  reader_t *reader = feed->reader;
  const char *unread = NULL;
  /* A reader that cannot read the endpoints says only that.  */
  bool is_reader = reader->is_reader && !feed->store_unreachable;

  for (int i = 0; i < FEED_KIND_COUNT && is_reader; i++)
    if (i != FEED_BACKENDS && feed->channels[i].has_failed && unread == NULL)
      unread = feed_kind_labels[i];
  if (reader->is_partial == (unread != NULL))
    return;
  reader->is_partial = unread != NULL;
  if (unread != NULL)
    g_log_structured (
        "fleet", G_LOG_LEVEL_WARNING, "READER", "partial", "UNREAD", unread,
        "MESSAGE", "cannot read all objects of the store: %s cannot be read",
        unread);
  else if (!feed->store_unreachable)
    g_log_structured ("fleet", G_LOG_LEVEL_MESSAGE, "READER", "complete",
                      "MESSAGE", "all objects of the store can be read again");
}
