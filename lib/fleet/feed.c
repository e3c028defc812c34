#include "feed.h"

#include <errno.h>
#include <string.h>

#include "telemetry.h"

/* Pause between lists of the endpoints.  Leaving endpoints get no new work
   within two seconds; see docs/platform.md for the parts of that time.  */
#define BACKENDS_EVERY_MS 600
/* Longest wait of a watch; each waiting watch is one priced call.  */
#define WATCH_WAIT_MS 5000
/* A list that takes longer has failed.  */
#define LIST_TIMEOUT_MS 1000
/* Pause after a failed call.  */
#define FAILED_PAUSE_MS 500
/* Without a fresh statement for this time the store was away.  */
#define OUTAGE_MS 1500
/* The list of members is stored this long after a change, so that instances
   that start together cost one call.  */
#define STORE_MEMBERS_AFTER_MS 1000
#define STORE_MEMBERS_RETRY_MS 1500

typedef struct channel
{
  bool busy;
  bool listing;
  bool known; /* a whole list was read since this instance reads */
  uint64_t revision;
  clock_ms_t next_at;
  GPtrArray *items; /* of the pages so far */
} channel_t;

struct feed
{
  struct ev_loop *loop;
  feed_source_t source;
  view_t *view;
  members_t *members;
  reader_t *reader;
  channel_t channels[FEED_KINDS];
  bool storing;
  clock_ms_t store_at; /* 0: the list of members need not be stored */
  uint64_t storing_digest;
  uint64_t stored_digest;    /* of the members as the store has them */
  uint64_t members_revision; /* 0: the store has no list */
  bool stopping;
  bool was_reading;
  bool away; /* the last list of the endpoints failed */
};

static void step (feed_t *feed, feed_kind_t kind, clock_ms_t now);
static void start_list (feed_t *feed, feed_kind_t kind, const char *after);
static void apply_list (feed_t *feed, feed_kind_t kind, uint64_t revision,
                        clock_ms_t now);
static void apply_events (feed_t *feed, feed_kind_t kind,
                          const GPtrArray *items, clock_ms_t now);
static void apply_item (feed_t *feed, feed_kind_t kind, feed_item_t *item,
                        clock_ms_t now);
static void call_failed (feed_t *feed, feed_kind_t kind, int error,
                         clock_ms_t now);
static void note_success (feed_t *feed, clock_ms_t now);
static void stop_reading (feed_t *feed);
static void store_members (feed_t *feed, clock_ms_t now);
static void apply_members (feed_t *feed, const feed_item_t *item,
                           clock_ms_t now);

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
  for (int i = 0; i < FEED_KINDS; i++)
    feed->channels[i].items = g_ptr_array_new_with_free_func (feed_item_free);
  return feed;
}

void
feed_free (feed_t *feed)
{
  for (int i = 0; i < FEED_KINDS; i++)
    g_ptr_array_free (feed->channels[i].items, TRUE);
  g_free (feed);
}

void
feed_stop (feed_t *feed)
{
  feed->stopping = true;
  stop_reading (feed);
}

void
feed_tick (feed_t *feed, clock_ms_t now)
{
  const reader_t *reader = feed->reader;
  int distance = members_distance (feed->members,
                                   reader->heard_once ? reader->last : NULL);

  if (feed->stopping)
    return;
  if (feed->was_reading && !reader->reading)
    stop_reading (feed);
  feed->was_reading = reader->reading;
  if (reader->reading)
    {
      for (int i = 0; i < FEED_KINDS; i++)
        step (feed, (feed_kind_t)i, now);
      store_members (feed, now);
      return;
    }
  if (reader_should_try (reader, distance, now)
      && !feed->channels[FEED_BACKENDS].busy)
    start_list (feed, FEED_BACKENDS, NULL);
}

/* Stores the list of members when it differs from what the store has.  */
static void
store_members (feed_t *feed, clock_ms_t now)
{
  if (!feed->channels[FEED_MEMBERS].known || feed->storing
      || feed->stored_digest == members_digest (feed->members))
    return;
  if (feed->store_at == 0)
    feed->store_at = now + STORE_MEMBERS_AFTER_MS;
  if (now < feed->store_at)
    return;
  feed->storing = true;
  feed->store_at = 0;
  feed->storing_digest = members_digest (feed->members);
  feed->source.store_members (feed->source.context, feed->members,
                              feed->members_revision);
}

void
feed_stored (feed_t *feed, int error, uint64_t revision)
{
  feed->storing = false;
  if (error == 0)
    {
      feed->stored_digest = feed->storing_digest;
      feed->members_revision = revision;
      return;
    }
  g_info ("list of instances was not stored: %s", g_strerror (-error));
  feed->store_at = clock_now () + STORE_MEMBERS_RETRY_MS;
  /* Whatever another reader wrote, or a call without an answer did, is read
     before the next try.  */
  feed->channels[FEED_MEMBERS].known = false;
}

static void
stop_reading (feed_t *feed)
{
  for (int i = 0; i < FEED_KINDS; i++)
    {
      channel_t *channel = &feed->channels[i];

      if (channel->busy)
        feed->source.cancel (feed->source.context, (feed_kind_t)i);
      channel->busy = false;
      channel->known = false;
      channel->next_at = 0;
      g_ptr_array_set_size (channel->items, 0);
    }
}

static void
step (feed_t *feed, feed_kind_t kind, clock_ms_t now)
{
  channel_t *channel = &feed->channels[kind];

  if (channel->busy || now < channel->next_at)
    return;
  /* One call at a time shows whether the store is back.  */
  if (feed->away && kind != FEED_BACKENDS)
    return;
  /* Only readers write the list of members, each knows its own writes.  */
  if (kind == FEED_MEMBERS && channel->known)
    return;
  if (kind == FEED_BACKENDS || !channel->known)
    {
      start_list (feed, kind, NULL);
      return;
    }
  channel->busy = true;
  channel->listing = false;
  /* From the revision of the list or the last event, even if the store has
     moved on: should the history between be dropped, the store says so.  */
  feed->source.watch (feed->source.context, kind, channel->revision,
                      WATCH_WAIT_MS);
}

static void
start_list (feed_t *feed, feed_kind_t kind, const char *after)
{
  channel_t *channel = &feed->channels[kind];

  channel->busy = true;
  channel->listing = true;
  if (after == NULL)
    g_ptr_array_set_size (channel->items, 0);
  feed->source.list (feed->source.context, kind, after, LIST_TIMEOUT_MS);
}

void
feed_answered (feed_t *feed, feed_kind_t kind, feed_answer_t *answer)
{
  channel_t *channel = &feed->channels[kind];
  clock_ms_t now = clock_now ();

  channel->busy = false;
  if (feed->stopping)
    return;
  if (answer->error != 0)
    {
      call_failed (feed, kind, answer->error, now);
      return;
    }
  if (channel->listing)
    {
      for (guint i = 0; i < answer->items->len; i++)
        g_ptr_array_add (channel->items, g_ptr_array_index (answer->items, i));
      g_ptr_array_set_free_func (answer->items, NULL);
      if (answer->more && answer->items->len > 0)
        {
          const feed_item_t *last
              = g_ptr_array_index (channel->items, channel->items->len - 1);

          start_list (feed, kind, last->name);
          return;
        }
      note_success (feed, now);
      apply_list (feed, kind, answer->revision, now);
      channel->known = true;
      channel->revision = answer->revision;
      channel->next_at = now + (kind == FEED_BACKENDS ? BACKENDS_EVERY_MS : 0);
    }
  else
    {
      apply_events (feed, kind, answer->items, now);
      if (answer->items->len > 0)
        channel->revision = answer->revision;
      channel->next_at = 0;
    }
  feed_tick (feed, now);
}

static void
call_failed (feed_t *feed, feed_kind_t kind, int error, clock_ms_t now)
{
  channel_t *channel = &feed->channels[kind];

  /* Changes may have been made while a watch that was cut heard nothing, and
     their history may be gone: everything is listed anew.  */
  channel->known = false;
  channel->next_at = channel->listing ? now + FAILED_PAUSE_MS : now;
  if (kind != FEED_BACKENDS)
    return;
  if (!feed->away)
    g_warning ("store can't be read: %s", g_strerror (-error));
  feed->away = true;
  /* Waiting watches may hang on connections that are silent for good.  */
  stop_reading (feed);
  channel->next_at = now + FAILED_PAUSE_MS;
  (void)reader_result (feed->reader, false, members_ready (feed->members),
                       now);
}

/* A read went well; the first one after a pause ends an outage.  */
static void
note_success (feed_t *feed, clock_ms_t now)
{
  reader_t *reader = feed->reader;
  clock_ms_t last = MAX (reader->read_ok, reader->heard_fresh);

  if (last != 0 && now - last > OUTAGE_MS)
    view_outage_ended (feed->view, now);
  if (feed->away)
    g_message ("store can be read again");
  feed->away = false;
  if (reader_result (reader, true, members_ready (feed->members), now))
    {
      telemetry_count (TELEMETRY_READER_CHANGES, 0);
      g_message ("reads the store for all instances");
      for (guint i = 0; i < feed->members->table->len; i++)
        {
          member_t *member = g_ptr_array_index (feed->members->table, i);

          /* Live members are given the time of a hello.  */
          member->heard_at = now;
        }
    }
}

static void
apply_list (feed_t *feed, feed_kind_t kind, uint64_t revision, clock_ms_t now)
{
  channel_t *channel = &feed->channels[kind];
  GPtrArray *names;

  switch (kind)
    {
    case FEED_BACKENDS:
      names = g_ptr_array_new ();
      for (guint i = 0; i < channel->items->len; i++)
        {
          feed_item_t *item = g_ptr_array_index (channel->items, i);

          if (item->backend != NULL)
            g_ptr_array_add (names, item->backend);
        }
      view_replace (feed->view, names, revision, now);
      g_ptr_array_free (names, TRUE);
      break;
    case FEED_OUT:
      names = g_ptr_array_new ();
      for (guint i = 0; i < channel->items->len; i++)
        {
          feed_item_t *item = g_ptr_array_index (channel->items, i);

          g_ptr_array_add (names, item->name);
        }
      view_set_out (feed->view, names);
      g_ptr_array_free (names, TRUE);
      break;
    default:
      for (guint i = 0; i < channel->items->len; i++)
        apply_item (feed, kind, g_ptr_array_index (channel->items, i), now);
      break;
    }
  g_ptr_array_set_size (channel->items, 0);
}

static void
apply_events (feed_t *feed, feed_kind_t kind, const GPtrArray *items,
              clock_ms_t now)
{
  for (guint i = 0; i < items->len; i++)
    {
      feed_item_t *item = g_ptr_array_index (items, i);

      if (kind == FEED_OUT)
        {
          GPtrArray *names = g_ptr_array_new ();

          for (guint j = 0; j < feed->view->out->len; j++)
            {
              char *name = g_ptr_array_index (feed->view->out, j);

              if (!item->removed || strcmp (name, item->name) != 0)
                g_ptr_array_add (names, g_strdup (name));
            }
          if (!item->removed)
            g_ptr_array_add (names, g_strdup (item->name));
          view_set_out (feed->view, names);
          g_ptr_array_set_free_func (names, g_free);
          g_ptr_array_free (names, TRUE);
        }
      else if (!item->removed)
        apply_item (feed, kind, item, now);
    }
}

static void
apply_item (feed_t *feed, feed_kind_t kind, feed_item_t *item, clock_ms_t now)
{
  if (kind == FEED_CONFIG && item->routes != NULL)
    {
      view_set_routes (feed->view, item->routes);
      item->routes = NULL;
    }
  else if (kind == FEED_MEMBERS && item->members != NULL)
    apply_members (feed, item, now);
  else if (kind == FEED_BACKENDS && item->backend != NULL)
    view_put (feed->view, item->backend, now);
}

static void
apply_members (feed_t *feed, const feed_item_t *item, clock_ms_t now)
{
  feed->members_revision = item->revision;
  feed->stored_digest = 0;
  for (guint i = 0; i < item->members->len; i++)
    {
      const feed_member_t *member = g_ptr_array_index (item->members, i);

      (void)members_put (feed->members, member->name, member->data_centre,
                         member->ip, now);
      feed->stored_digest ^= members_digest_of (member->name, member->ip);
    }
}
