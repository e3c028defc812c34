#include "spread.h"

#include <math.h>
#include <string.h>

/* So many members are told directly: a round of statements to them is a small
   part of the reader's link and processor.  */
#define DIRECT_MAX 32
/* Hellos come four times a second; a head has sent one of the last two.  */
#define HEAD_HEARD_MS 500
/* Members that were never heard are told too, but those silent for this time
   only at every eighth statement.  */
#define SILENT_MS 5000
#define SILENT_EVERY 8

static GPtrArray *list_told (const members_t *members, unsigned int round,
                             clock_ms_t now);
static gint compare_data_centres (gconstpointer a, gconstpointer b);
static void add_direct (GArray *groups, const GPtrArray *told, guint from,
                        guint to);
static void add_group (GArray *groups, const GPtrArray *told, guint from,
                       guint to, unsigned int round, clock_ms_t now);
static const member_t *choose_head (const GPtrArray *told, guint from,
                                    guint to, unsigned int round,
                                    clock_ms_t now);

static GPtrArray *
list_told (const members_t *members, unsigned int round, clock_ms_t now)
{
  GPtrArray *told = g_ptr_array_sized_new (members->table->len);

  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);
      bool silent
          = !member->ready
            && now - MAX (member->heard_at, member->listed_at) > SILENT_MS;

      if (member != members->own && (!silent || round % SILENT_EVERY == 0))
        g_ptr_array_add (told, member);
    }
  return told;
}

static gint
compare_data_centres (gconstpointer a, gconstpointer b)
{
  const member_t *left = *(member_t *const *)a;
  const member_t *right = *(member_t *const *)b;
  int order = strcmp (left->data_centre, right->data_centre);

  return order != 0 ? order : strcmp (left->name, right->name);
}

static void
add_direct (GArray *groups, const GPtrArray *told, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    {
      const member_t *member = g_ptr_array_index (told, i);
      spread_group_t group = { .head = member->ip };

      g_array_append_val (groups, group);
    }
}

static const member_t *
choose_head (const GPtrArray *told, guint from, guint to, unsigned int round,
             clock_ms_t now)
{
  guint size = to - from;

  for (guint i = 0; i < size; i++)
    {
      const member_t *member
          = g_ptr_array_index (told, from + (round + i) % size);

      if (member->heard_at != 0 && now - member->heard_at < HEAD_HEARD_MS)
        return member;
    }
  return NULL;
}

static void
add_group (GArray *groups, const GPtrArray *told, guint from, guint to,
           unsigned int round, clock_ms_t now)
{
  const member_t *head = choose_head (told, from, to, round, now);
  spread_group_t group = { 0 };

  if (head == NULL)
    {
      add_direct (groups, told, from, to);
      return;
    }
  group.head = head->ip;
  for (guint i = from; i < to; i++)
    {
      const member_t *member = g_ptr_array_index (told, i);

      if (member != head)
        group.others[group.count++] = member->ip;
    }
  g_array_append_val (groups, group);
}

GArray *
spread_plan (const members_t *members, unsigned int round, clock_ms_t now)
{
  GPtrArray *told = list_told (members, round, now);
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (spread_group_t));
  guint size = MIN ((guint)ceil (sqrt (told->len)), SPREAD_OTHERS_MAX);
  guint from = 0;

  if (told->len <= DIRECT_MAX)
    add_direct (groups, told, 0, told->len);
  else
    g_ptr_array_sort (told, compare_data_centres);
  while (told->len > DIRECT_MAX && from < told->len)
    {
      const member_t *first = g_ptr_array_index (told, from);
      guint to = from + 1;

      while (
          to < told->len && to - from < size
          && strcmp (
                 ((const member_t *)g_ptr_array_index (told, to))->data_centre,
                 first->data_centre)
                 == 0)
        to++;
      add_group (groups, told, from, to, round, now);
      from = to;
    }
  g_ptr_array_free (told, TRUE);
  return groups;
}
