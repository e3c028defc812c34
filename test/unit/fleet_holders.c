/* Tests of the choice of the instance to which a request for bulk data is
   redirected, without a network.  */

#include <glib.h>

#include "holders.h"

static members_t *
make_members (void)
{
  members_t *members = members_new ("front-a-1", "a", 1);

  (void)members_put (members, "front-a-2", "a", 2, 0);
  (void)members_put (members, "front-b-1", "b", 11, 0);
  (void)members_put (members, "front-b-2", "b", 12, 0);
  (void)members_put (members, "front-b-3", "b", 13, 0);
  for (guint i = 0; i < members->table->len; i++)
    ((member_t *)g_ptr_array_index (members->table, i))->ready = true;
  return members;
}

/* Guards against bulk data that crosses between data centres for each
   instance, and against a redirection to the requester itself or to an
   instance that was restarted and has nothing.  */
static void
holders_of_the_same_data_centre_are_preferred (void)
{
  members_t *members = make_members ();
  holders_t holders = { 0 };

  g_assert_cmpuint (holders_choose_local (&holders, members, 11), ==, 0);
  holders_add (&holders, 0, 2);
  holders_add (&holders, 0, 11);
  g_assert_cmpuint (holders_choose_local (&holders, members, 12), ==, 11);
  /* The only holder there is the requester.  */
  g_assert_cmpuint (holders_choose_local (&holders, members, 11), ==, 0);
  /* This instance sends within its own data centre.  */
  g_assert_cmpuint (holders_choose_local (&holders, members, 2), ==, 0);
  /* An instance that is not known yet.  */
  g_assert_cmpuint (holders_choose_local (&holders, members, 99), ==, 0);
  holders_add (&holders, 0, 12);
  g_assert_cmpuint (holders_choose_local (&holders, members, 13)
                        + holders_choose_local (&holders, members, 13),
                    ==, 11 + 12);
  members_find (members, "front-b-1")->ready = false;
  for (int i = 0; i < 4; i++)
    g_assert_cmpuint (holders_choose_local (&holders, members, 13), ==, 12);
  members_free (members);
}

/* Guards against a redirection to an instance with an older configuration.  */
static void
holders_of_an_older_version_are_forgotten (void)
{
  holders_t holders = { 0 };

  holders_add (&holders, 5, 2);
  g_assert_cmpuint (holders_choose (&holders, 2), ==, 0);
  g_assert_cmpuint (holders_choose (&holders, 3), ==, 2);
  holders_add (&holders, 6, 11);
  for (int i = 0; i < 4; i++)
    g_assert_cmpuint (holders_choose (&holders, 3), ==, 11);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/holders/same_data_centre_is_preferred",
                   holders_of_the_same_data_centre_are_preferred);
  g_test_add_func ("/holders/older_version_is_forgotten",
                   holders_of_an_older_version_are_forgotten);
  return g_test_run ();
}
