/* Tests of the plan by which the announcements of the reader reach all
   members, in part by way of forwarders (see spread.h).  */

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "spread.h"

#define NOW_MS 100000
/* Target size of a site, in members, as the user documentation names it.  */
#define TARGET_MEMBERS 3830

static const char *const data_centres[] = { "a", "b", "c" };

/* Creates @count members including this instance.  Member i has the address i
   + 1, and the others have sent a hello at NOW_MS.  */
static members_t *
new_members (int count)
{
  members_t *members = members_new ("front-0000", "a", 1);

  for (int i = 1; i < count; i++)
    {
      char name[24];
      member_t *member;

      (void)g_snprintf (name, sizeof name, "front-%04d", i);
      (void)members_put (members, name, data_centres[i % 3], (uint32_t)i + 1,
                         0);
      member = members_find (members, name);
      member->last_hello_at = NOW_MS;
      member->ready = true;
    }
  return members;
}

static member_t *
find_by_address (const members_t *members, uint32_t address)
{
  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);

      if (member->ip == address)
        return member;
    }
  return NULL;
}

/* Counts the copies of an announcement that each member receives if the
   forwarders with the addresses in @failed_forwarders forward nothing; NULL:
   all forward.  @copies: out: number of copies by address.  @direct_sends:
   out: number of copies that the reader sends.  @largest_group: out: greatest
   number of recipients of a forwarder.  */
static void
count_copies (const members_t *members, unsigned int sequence_number,
              const GHashTable *failed_forwarders, int *copies,
              int *direct_sends, int *largest_group)
{
  GArray *groups = spread_plan (members, true, sequence_number, NOW_MS);

  *direct_sends = (int)groups->len;
  *largest_group = 0;
  memset (copies, 0, (TARGET_MEMBERS + 2) * sizeof *copies);
  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);

      copies[group->forwarder]++;
      *largest_group = MAX (*largest_group, group->count);
      if (failed_forwarders != NULL
          && g_hash_table_contains ((GHashTable *)failed_forwarders,
                                    GUINT_TO_POINTER (group->forwarder)))
        continue;
      for (int j = 0; j < group->count; j++)
        copies[group->recipients[j]]++;
    }
  g_array_unref (groups);
}

/* Guards against members that receive no copy or two copies of an
   announcement, and against a reader that sends a datagram to each member
   itself.  At the target size, such a reader would send 3,829 datagrams four
   times a second, and forty times as many while endpoints register again.  */
static void
each_member_receives_one_copy (void)
{
  static const int counts[] = { 1, 2, 13, 33, 34, 104, 300, TARGET_MEMBERS };
  int *copies = g_new0 (int, TARGET_MEMBERS + 2);

  for (size_t c = 0; c < G_N_ELEMENTS (counts); c++)
    for (unsigned int sequence_number = 0; sequence_number < 5;
         sequence_number++)
      {
        members_t *members = new_members (counts[c]);
        int direct_sends;
        int largest_group;

        count_copies (members, sequence_number, NULL, copies, &direct_sends,
                      &largest_group);
        g_assert_cmpint (copies[1], ==, 0);
        for (int i = 2; i <= counts[c]; i++)
          g_assert_cmpint (copies[i], ==, 1);
        if (counts[c] > 100)
          {
            g_assert_cmpint (direct_sends, <=, (int)sqrt (counts[c]) + 4);
            g_assert_cmpint (largest_group, <=, (int)sqrt (counts[c]) + 1);
          }
        members_free (members);
      }
  g_free (copies);
}

/* Guards against traffic between data centres that grows with the number of
   members, as it would if forwarders sent to other data centres.  */
static void
groups_stay_in_a_data_centre (void)
{
  members_t *members = new_members (300);
  GArray *groups = spread_plan (members, true, 3, NOW_MS);

  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);
      const member_t *forwarder = find_by_address (members, group->forwarder);

      for (int j = 0; j < group->count; j++)
        g_assert_cmpstr (
            find_by_address (members, group->recipients[j])->data_centre, ==,
            forwarder->data_centre);
    }
  g_array_unref (groups);
  members_free (members);
}

/* Guards against the choice of failed members as forwarders, as when a data
   centre fails: the other members of their groups would receive no
   announcement and read the store themselves.  */
static void
silent_members_are_not_forwarders (void)
{
  members_t *members = new_members (300);
  int *copies = g_new0 (int, TARGET_MEMBERS + 2);
  GHashTable *failed_forwarders = g_hash_table_new (NULL, NULL);
  int direct_sends;
  int largest_group;

  /* Half of the members are silent: they sent their last hello 600 ms ago, or
     none at all, as members do that have just been added.  */
  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);

      if (member == members->own || i % 2 == 0)
        continue;
      member->last_hello_at = i % 4 == 1 ? 0 : NOW_MS - 600;
      g_hash_table_add (failed_forwarders, GUINT_TO_POINTER (member->ip));
    }
  for (unsigned int sequence_number = 0; sequence_number < 40;
       sequence_number++)
    {
      count_copies (members, sequence_number, failed_forwarders, copies,
                    &direct_sends, &largest_group);
      for (int i = 2; i <= 300; i++)
        g_assert_cmpint (copies[i], ==, 1);
    }
  g_hash_table_destroy (failed_forwarders);
  g_free (copies);
  members_free (members);
}

/* Guards against a group that receives nothing because its forwarder can reach
   the reader but not the other members.  Members that miss two consecutive
   announcements would read the store themselves.  */
static void
failed_forwarder_costs_one_announcement (void)
{
  members_t *members = new_members (300);
  int *copies = g_new0 (int, TARGET_MEMBERS + 2);
  int *consecutive_misses = g_new0 (int, TARGET_MEMBERS + 2);
  GHashTable *failed_forwarders = g_hash_table_new (NULL, NULL);
  int direct_sends;
  int largest_group;

  for (uint32_t i = 40; i < 301; i += 61)
    g_hash_table_add (failed_forwarders, GUINT_TO_POINTER (i));
  for (unsigned int sequence_number = 0; sequence_number < 100;
       sequence_number++)
    {
      count_copies (members, sequence_number, failed_forwarders, copies,
                    &direct_sends, &largest_group);
      for (int i = 2; i <= 300; i++)
        {
          consecutive_misses[i]
              = copies[i] == 0 ? consecutive_misses[i] + 1 : 0;
          g_assert_cmpint (consecutive_misses[i], <, 2);
        }
    }
  g_hash_table_destroy (failed_forwarders);
  g_free (copies);
  g_free (consecutive_misses);
  members_free (members);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spread/each_is_told_once", each_member_receives_one_copy);
  g_test_add_func ("/spread/groups_stay_in_a_data_centre",
                   groups_stay_in_a_data_centre);
  g_test_add_func ("/spread/silent_members_are_no_heads",
                   silent_members_are_not_forwarders);
  g_test_add_func ("/spread/stuck_head_costs_one_statement",
                   failed_forwarder_costs_one_announcement);
  return g_test_run ();
}
