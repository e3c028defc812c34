/* Who is told by whom, without a network.  */

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "spread.h"

#define NOW 100000
/* The size that the users' pages name as the target.  */
#define TARGET 3830

static const char *const data_centres[] = { "a", "b", "c" };

/* Members heard at NOW, @count with the own one; address i + 1.  */
static members_t *
world (int count)
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
      member->heard_at = NOW;
      member->ready = true;
    }
  return members;
}

static member_t *
by_address (const members_t *members, uint32_t address)
{
  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);

      if (member->ip == address)
        return member;
    }
  return NULL;
}

/* Copies that each address gets when the heads in @stuck pass nothing on.  */
static void
deliver (const members_t *members, unsigned int round, const GHashTable *stuck,
         int *copies, int *by_reader, int *most)
{
  GArray *groups = spread_plan (members, round, NOW);

  *by_reader = (int)groups->len;
  *most = 0;
  memset (copies, 0, (TARGET + 2) * sizeof *copies);
  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);

      copies[group->head]++;
      *most = MAX (*most, group->count);
      if (stuck != NULL
          && g_hash_table_contains ((GHashTable *)stuck,
                                    GUINT_TO_POINTER (group->head)))
        continue;
      for (int j = 0; j < group->count; j++)
        copies[group->others[j]]++;
    }
  g_array_unref (groups);
}

/* Guards against members that are left out or told twice, and against a reader
   whose datagrams grow as its members do: at the target size 3,829 of them
   four times a second, and forty times that while endpoints return.  */
static void
each_is_told_once (void)
{
  static const int counts[] = { 1, 2, 13, 33, 34, 104, 300, TARGET };
  int *copies = g_new0 (int, TARGET + 2);

  for (size_t c = 0; c < G_N_ELEMENTS (counts); c++)
    for (unsigned int round = 0; round < 5; round++)
      {
        members_t *members = world (counts[c]);
        int by_reader;
        int most;

        deliver (members, round, NULL, copies, &by_reader, &most);
        g_assert_cmpint (copies[1], ==, 0);
        for (int i = 2; i <= counts[c]; i++)
          g_assert_cmpint (copies[i], ==, 1);
        if (counts[c] > 100)
          {
            g_assert_cmpint (by_reader, <=, (int)sqrt (counts[c]) + 4);
            g_assert_cmpint (most, <=, (int)sqrt (counts[c]) + 1);
          }
        members_free (members);
      }
  g_free (copies);
}

/* Guards against bytes between data centres for each member.  */
static void
groups_stay_in_a_data_centre (void)
{
  members_t *members = world (300);
  GArray *groups = spread_plan (members, 3, NOW);

  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);
      const member_t *head = by_address (members, group->head);

      for (int j = 0; j < group->count; j++)
        g_assert_cmpstr (by_address (members, group->others[j])->data_centre,
                         ==, head->data_centre);
    }
  g_array_unref (groups);
  members_free (members);
}

/* Guards against a data centre that is lost with the heads in it: the rest of
   its groups would hear no reader and read the store by themselves.  */
static void
silent_members_are_no_heads (void)
{
  members_t *members = world (300);
  int *copies = g_new0 (int, TARGET + 2);
  GHashTable *stuck = g_hash_table_new (NULL, NULL);
  int by_reader;
  int most;

  /* Half of each group, with those that have just started and were not heard
     yet.  */
  for (guint i = 0; i < members->table->len; i++)
    {
      member_t *member = g_ptr_array_index (members->table, i);

      if (member == members->own || i % 2 == 0)
        continue;
      member->heard_at = i % 4 == 1 ? 0 : NOW - 600;
      g_hash_table_add (stuck, GUINT_TO_POINTER (member->ip));
    }
  for (unsigned int round = 0; round < 40; round++)
    {
      deliver (members, round, stuck, copies, &by_reader, &most);
      for (int i = 2; i <= 300; i++)
        g_assert_cmpint (copies[i], ==, 1);
    }
  g_hash_table_destroy (stuck);
  g_free (copies);
  members_free (members);
}

/* Guards against a group that hears nothing because its head can speak to the
   reader but not to the others.  Two statements in a row make the others turn
   to the store.  */
static void
stuck_head_costs_one_statement (void)
{
  members_t *members = world (300);
  int *copies = g_new0 (int, TARGET + 2);
  int *missed = g_new0 (int, TARGET + 2);
  GHashTable *stuck = g_hash_table_new (NULL, NULL);
  int by_reader;
  int most;

  for (uint32_t i = 40; i < 301; i += 61)
    g_hash_table_add (stuck, GUINT_TO_POINTER (i));
  for (unsigned int round = 0; round < 100; round++)
    {
      deliver (members, round, stuck, copies, &by_reader, &most);
      for (int i = 2; i <= 300; i++)
        {
          missed[i] = copies[i] == 0 ? missed[i] + 1 : 0;
          g_assert_cmpint (missed[i], <, 2);
        }
    }
  g_hash_table_destroy (stuck);
  g_free (copies);
  g_free (missed);
  members_free (members);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/spread/each_is_told_once", each_is_told_once);
  g_test_add_func ("/spread/groups_stay_in_a_data_centre",
                   groups_stay_in_a_data_centre);
  g_test_add_func ("/spread/silent_members_are_no_heads",
                   silent_members_are_no_heads);
  g_test_add_func ("/spread/stuck_head_costs_one_statement",
                   stuck_head_costs_one_statement);
  return g_test_run ();
}
