#include "spread.h"

#include <math.h>
#include <string.h>

/* Up to this number of recipients, the reader sends to each one directly, as
   that takes only a small part of its bandwidth and CPU time.  */
#define DIRECT_RECIPIENTS_MAX 32
/* A forwarder must have sent a hello (a heartbeat to the reader) within this
   time.  Members send hellos four times a second, so that at least one of the
   last two must have arrived.  */
#define FORWARDER_HELLO_MAX_AGE_MS 500
/* A member counts as silent if it is not ready and more than this time has
   passed both since its last hello and since it was added to the table.  */
#define SILENT_AFTER_MS 5000
/* A silent member is sent only one of this many announcements.  Any other
   member is sent every announcement, even if it has never sent a hello.  */
#define SILENT_ANNOUNCEMENT_INTERVAL 8

static GPtrArray *list_recipients (const members_t *members, bool hears_hellos,
                                   unsigned int sequence_number,
                                   clock_ms_t now);
static gint compare_data_centres (gconstpointer a, gconstpointer b);
static void add_single_member_groups (GArray *groups,
                                      const GPtrArray *recipients, guint from,
                                      guint to);
static void add_group (GArray *groups, const GPtrArray *recipients, guint from,
                       guint to, unsigned int sequence_number, clock_ms_t now);
static const member_t *choose_forwarder (const GPtrArray *recipients,
                                         guint from, guint to,
                                         unsigned int sequence_number,
                                         clock_ms_t now);

/* Returns the members (member_t *) that are to receive an announcement.  */
static GPtrArray *
list_recipients (const members_t *members, bool hears_hellos,
                 unsigned int sequence_number, clock_ms_t now)
{
  GPtrArray *recipients = g_ptr_array_sized_new (members->table->len);

  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);
      bool silent = hears_hellos && !member->ready
                    && now - MAX (member->last_hello_at, member->added_at)
                           > SILENT_AFTER_MS;

      if (member != members->own
          && (!silent || sequence_number % SILENT_ANNOUNCEMENT_INTERVAL == 0))
        g_ptr_array_add (recipients, member);
    }
  return recipients;
}

/* Compares members by data centre and, within one, by name.  */
static gint
compare_data_centres (gconstpointer a, gconstpointer b)
{
  const member_t *left = *(member_t *const *)a;
  const member_t *right = *(member_t *const *)b;
  int order = strcmp (left->data_centre, right->data_centre);

  return order != 0 ? order : strcmp (left->name, right->name);
}

/* Adds a group of its own for each recipient from index @from up to @to
   (exclusive), so that the reader sends to it directly.  */
static void
add_single_member_groups (GArray *groups, const GPtrArray *recipients,
                          guint from, guint to)
{
  for (guint i = from; i < to; i++)
    {
      const member_t *member = g_ptr_array_index (recipients, i);
      spread_group_t group = { .forwarder = member->ip };

      g_array_append_val (groups, group);
    }
}

/* Chooses a forwarder among the recipients from index @from up to @to
   (exclusive).  The forwarder must have sent a hello recently, and consecutive
   announcements get different forwarders.  Return: NULL if none of the
   recipients has sent a hello recently.  */
static const member_t *
choose_forwarder (const GPtrArray *recipients, guint from, guint to,
                  unsigned int sequence_number, clock_ms_t now)
{
  guint size = to - from;

  for (guint i = 0; i < size; i++)
    {
      const member_t *member = g_ptr_array_index (
          recipients, from + (sequence_number + i) % size);

      if (member->last_hello_at != 0
          && now - member->last_hello_at < FORWARDER_HELLO_MAX_AGE_MS)
        return member;
    }
  return NULL;
}

/* Adds a group of the recipients from index @from up to @to (exclusive).  If
   none of them can be the forwarder, adds a group of its own for each, so that
   the reader sends to it directly.  */
static void
add_group (GArray *groups, const GPtrArray *recipients, guint from, guint to,
           unsigned int sequence_number, clock_ms_t now)
{
  const member_t *forwarder
      = choose_forwarder (recipients, from, to, sequence_number, now);
  spread_group_t group = { 0 };

  if (forwarder == NULL)
    {
      add_single_member_groups (groups, recipients, from, to);
      return;
    }
  group.forwarder = forwarder->ip;
  for (guint i = from; i < to; i++)
    {
      const member_t *member = g_ptr_array_index (recipients, i);

      if (member != forwarder)
        group.recipients[group.count++] = member->ip;
    }
  g_array_append_val (groups, group);
}

GArray *
spread_plan (const members_t *members, bool hears_hellos,
             unsigned int sequence_number, clock_ms_t now)
{
  GPtrArray *recipients
      = list_recipients (members, hears_hellos, sequence_number, now);
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (spread_group_t));
  guint group_size_max
      = MIN ((guint)ceil (sqrt (recipients->len)), SPREAD_RECIPIENTS_MAX);
  guint from = 0;

  if (recipients->len <= DIRECT_RECIPIENTS_MAX)
    add_single_member_groups (groups, recipients, 0, recipients->len);
  else
    g_ptr_array_sort (recipients, compare_data_centres);
  while (recipients->len > DIRECT_RECIPIENTS_MAX && from < recipients->len)
    {
      const member_t *first = g_ptr_array_index (recipients, from);
      guint to = from + 1;

      while (to < recipients->len && to - from < group_size_max
             && strcmp (((const member_t *)g_ptr_array_index (recipients, to))
                            ->data_centre,
                        first->data_centre)
                    == 0)
        to++;
      add_group (groups, recipients, from, to, sequence_number, now);
      from = to;
    }
  g_ptr_array_free (recipients, TRUE);
  return groups;
}
