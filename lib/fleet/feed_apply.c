/* Application of what was read from the store to the view and the table of
   members.  */

#include "feed_private.h"

#include <string.h>

static void apply_item (feed_t *feed, feed_kind_t kind, feed_item_t *item,
                        clock_ms_t now);
static rollout_order_t make_order (const feed_item_t *item);
static void apply_rollouts (feed_t *feed, const GPtrArray *items,
                            clock_ms_t now);
static void apply_members (feed_t *feed, const feed_item_t *item,
                           clock_ms_t now);

void
feed_apply_list (feed_t *feed, feed_kind_t kind, store_revision_t revision,
                 clock_ms_t now)
{
  channel_t *channel = &feed->channels[kind];
  GPtrArray *values; /* backend_entry_t * or char *, owned by the items */

  switch (kind)
    {
    case FEED_BACKENDS:
      values = g_ptr_array_new ();
      for (guint i = 0; i < channel->items->len; i++)
        {
          feed_item_t *item = g_ptr_array_index (channel->items, i);

          if (item->backend != NULL)
            g_ptr_array_add (values, item->backend);
        }
      view_replace_backends (feed->view, values, revision, now);
      g_ptr_array_free (values, TRUE);
      break;
    case FEED_MEMBERS:
      /* The list may be missing, also after it was there: the store may have
         been restored.  */
      feed->members_revision = (store_revision_t){ 0 };
      feed->stored_digest = 0;
      if (channel->items->len > 0)
        apply_item (feed, kind, g_ptr_array_index (channel->items, 0), now);
      break;
    case FEED_OUT_OF_SERVICE:
      values = g_ptr_array_new ();
      for (guint i = 0; i < channel->items->len; i++)
        {
          feed_item_t *item = g_ptr_array_index (channel->items, i);

          g_ptr_array_add (values, item->name);
        }
      view_set_out_of_service (feed->view, values, revision, now);
      g_ptr_array_free (values, TRUE);
      break;
    case FEED_ROLLOUTS:
      apply_rollouts (feed, channel->items, now);
      break;
    default:
      for (guint i = 0; i < channel->items->len; i++)
        apply_item (feed, kind, g_ptr_array_index (channel->items, i), now);
      break;
    }
  g_ptr_array_set_size (channel->items, 0);
}

void
feed_apply_watched_changes (feed_t *feed, feed_kind_t kind,
                            const GPtrArray *items, store_revision_t revision,
                            clock_ms_t now)
{
  for (guint i = 0; i < items->len; i++)
    {
      feed_item_t *item = g_ptr_array_index (items, i);

      if (kind == FEED_OUT_OF_SERVICE)
        {
          const GPtrArray *stated = feed->view->stated_out;
          GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

          for (guint j = 0; j < stated->len; j++)
            {
              const char *name = g_ptr_array_index (stated, j);

              if (strcmp (name, item->name) != 0)
                g_ptr_array_add (names, g_strdup (name));
            }
          if (!item->removed)
            g_ptr_array_add (names, g_strdup (item->name));
          view_set_out_of_service (feed->view, names, revision, now);
          g_ptr_array_free (names, TRUE);
        }
      else if (kind == FEED_ROLLOUTS && item->removed)
        view_cancel_rollouts (feed->view, item->name, NULL, now);
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
    view_put_backend (feed->view, item->backend, now);
  else if (kind == FEED_ROLLOUTS && item->rollout != NULL)
    {
      rollout_order_t order = make_order (item);

      view_put_rollout (feed->view, &order, item->rollout->stored_phase, now);
    }
}

static rollout_order_t
make_order (const feed_item_t *item)
{
  const feed_rollout_t *rollout = item->rollout;

  return (rollout_order_t){ .service = rollout->service,
                            .version = rollout->version,
                            .duration = rollout->duration,
                            .created = rollout->created,
                            .revision = item->revision };
}

/* Applies a complete list of the orders.  */
static void
apply_rollouts (feed_t *feed, const GPtrArray *items, clock_ms_t now)
{
  GPtrArray *orders = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < items->len; i++)
    {
      feed_item_t *item = g_ptr_array_index (items, i);
      rollout_order_t order;

      if (item->rollout == NULL)
        continue;
      order = make_order (item);
      apply_item (feed, FEED_ROLLOUTS, item, now);
      g_ptr_array_add (orders, g_memdup2 (&order, sizeof order));
    }
  view_cancel_rollouts (feed->view, NULL, orders, now);
  g_ptr_array_free (orders, TRUE);
}

/* Adds the instances in the store's list to the table of members.  Members
   that the list lacks stay in the table; store_members() writes them to the
   store.  */
static void
apply_members (feed_t *feed, const feed_item_t *item, clock_ms_t now)
{
  feed->members_revision = item->revision;
  feed->stored_digest = 0;
  for (guint i = 0; i < item->members->len; i++)
    {
      const feed_member_t *member = g_ptr_array_index (item->members, i);

      bool is_known = members_find (feed->members, member->name) != NULL;

      (void)members_put (feed->members, member->name, member->data_centre,
                         member->ip, now);
      /* A member's own word is newer than the list.  */
      if (!is_known)
        (void)members_set_weak (feed->members, member->name, member->weak);
      feed->stored_digest
          ^= members_entry_digest (member->name, member->ip, member->weak);
    }
}
