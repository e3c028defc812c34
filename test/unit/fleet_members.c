/* Tests of the table of members: the order in which they take over from a
   reader.  */

#include "members.h"

#define COUNT 40

/* Returns the table that one of COUNT instances has.  Those whose number is
   divisible by 10 are not weak.  */
static members_t *
make_members (int own)
{
  g_autofree char *own_name = g_strdup_printf ("front-%02d", own);
  members_t *members = members_new (own_name, "a", (uint32_t)own + 1);

  for (int i = 0; i < COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf ("front-%02d", i);

      (void)members_put (members, name, "a", (uint32_t)i + 1, 0);
      (void)members_set_weak (members, name, i % 10 != 0);
      members_find (members, name)->ready = true;
    }
  return members;
}

/* Load: a reader whose store is silent, at a site where one instance in ten
   has the bandwidth to tell all others.  Guards against a weak instance that
   takes over first, and whose announcements of a new configuration then wait
   behind those of endpoints: at the last instance it was in force 3.8 s after
   its acknowledgement.  Each instance has a turn of its own.  */
static void
weak_members_take_over_last (void)
{
  bool has_turn[COUNT] = { false };

  for (int own = 0; own < COUNT; own++)
    {
      members_t *members = make_members (own);
      int rank = members_takeover_rank (members, "front-13");

      if (own == 13)
        {
          members_free (members);
          continue;
        }
      g_assert_cmpint (rank, <, COUNT);
      if (own % 10 == 0)
        g_assert_cmpint (rank, <, 4);
      else
        g_assert_cmpint (rank, >=, 4);
      g_assert_false (has_turn[rank]);
      has_turn[rank] = true;
      members_free (members);
    }
}

/* Guards against instances that do not notice that others know less of a
   member than they do.  */
static void
digest_covers_weakness (void)
{
  members_t *members = make_members (0);
  uint64_t digest = members_digest (members);

  g_assert_true (members_set_weak (members, "front-20", true));
  g_assert_false (members_set_weak (members, "front-20", true));
  g_assert_cmpuint (members_digest (members), !=, digest);
  g_assert_true (members_set_weak (members, "front-20", false));
  g_assert_cmpuint (members_digest (members), ==, digest);
  members_free (members);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/members/takeover", weak_members_take_over_last);
  g_test_add_func ("/members/digest", digest_covers_weakness);
  return g_test_run ();
}
