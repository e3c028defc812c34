/* Tests of group objects and of the mapping of services to groups.  */

#include "conf.h"
#include "groups.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define SERVICES 400

static const char north[] = "{\"data_centres\":[\"n1\",\"n2\"]}";
static const char south[] = "{\"data_centres\":[\"s1\"]}";

static conf_object_t *
parse_group (const char *name, const char *body, conf_error_t *error)
{
  g_autofree char *full = g_strconcat (CONF_PREFIX_GROUP, name, NULL);
  conf_object_t *object;

  conf_parse_object (full, body, 1, 1, false, &object, error);
  return object;
}

static void
add_group (groups_t *groups, const char *name, const char *body)
{
  conf_error_t error;
  conf_object_t *object = parse_group (name, body, &error);

  g_assert_cmpstr (error.text, ==, "");
  groups_set_object (groups, name, object->object.u.group);
  conf_object_free (object);
}

static groups_t *
create_four_groups (bool reversed)
{
  static const char *const names[] = { "a", "b", "c", "x" };
  groups_t *groups = groups_new ();

  for (int i = 0; i < 4; i++)
    {
      const char *name = names[reversed ? 3 - i : i];

      add_group (groups, name, name[0] == 'x' ? south : north);
    }
  return groups;
}

static const char *
choose_group (const groups_t *groups, int service, const char *centre)
{
  char name[16];

  g_snprintf (name, sizeof name, "service-%d", service);
  return groups_choose (groups, name, 0, NULL, centre);
}

/* Guards against a service with two groups in a region or with none.  All
   instances must map it to the same group, whatever the order in which objects
   arrived.  */
static void
test_one_group (void)
{
  groups_t *groups = create_four_groups (false);
  groups_t *reversed = create_four_groups (true);
  int count[4] = { 0 };

  for (int i = 0; i < SERVICES; i++)
    {
      const char *group = choose_group (groups, i, "n1");

      g_assert_cmpstr (group, ==, choose_group (groups, i, "n2"));
      g_assert_cmpstr (group, ==, choose_group (reversed, i, "n1"));
      g_assert_cmpstr (choose_group (groups, i, "s1"), ==, "x");
      g_assert_null (choose_group (groups, i, "elsewhere"));
      count[group[0] - 'a']++;
    }
  /* Each of the 3 groups gets a third of the 400 services, within 4 standard
     deviations of 9.4.  */
  for (int i = 0; i < 3; i++)
    g_assert_true (count[i] > 95 && count[i] < 172);
  groups_free (groups);
  groups_free (reversed);
}

/* Guards against a new group that makes services move between the existing
   groups, since each move delays the service's grants.  */
static void
test_minimal_movement (void)
{
  groups_t *groups = create_four_groups (false);
  groups_t *more = create_four_groups (false);
  int moved = 0;

  add_group (more, "d", north);
  for (int i = 0; i < SERVICES; i++)
    if (strcmp (choose_group (groups, i, "n1"), choose_group (more, i, "n1"))
        != 0)
      {
        g_assert_cmpstr (choose_group (more, i, "n1"), ==, "d");
        moved++;
      }
  g_assert_true (moved > 65 && moved < 135);
  groups_set_object (more, "d", NULL);
  for (int i = 0; i < SERVICES; i++)
    g_assert_cmpstr (choose_group (groups, i, "n1"), ==,
                     choose_group (more, i, "n1"));
  groups_free (groups);
  groups_free (more);
}

/* Guards against a service that is not served by the group that its object
   names, and against one that no group serves because the named group does not
   exist or is in another region.  */
static void
test_named (void)
{
  static const char names[][DECIDE_NAME_MAX] = { "gone", "c" };
  groups_t *groups = create_four_groups (false);

  for (int i = 0; i < 20; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "service-%d", i);
      g_assert_cmpstr (groups_choose (groups, name, 2, names, "n1"), ==, "c");
      g_assert_cmpstr (groups_choose (groups, name, 1, names, "n1"), ==,
                       choose_group (groups, i, "n1"));
      g_assert_cmpstr (groups_choose (groups, name, 2, names, "s1"), ==, "x");
    }
  groups_free (groups);
}

/* Guards against invalid group objects that are accepted, or rejected with an
   error message that lacks the place of the error or its reason.  */
static void
test_faults (void)
{
  static const struct
  {
    const char *body;
    const char *place;
    const char *reason;
  } cases[] = {
    { "{}", "$.data_centres", "missing" },
    { "{\"data_centres\":[]}", "$.data_centres", "1 to 16" },
    { "{\"data_centres\":[\"a\",7]}", "$.data_centres[1]", "not a name" },
    { "{\"data_centres\":[\"a\",\"a\"]}", "$.data_centres[1]", "duplicate" },
    { "{\"data_centres\":[\"a\"],\"region\":1}", "$",
      "unknown key \"region\"" },
    { "{\"data_centres\":[\"a\"],\"instances\":[{\"name\":\"i\","
      "\"data_centre\":\"b\",\"address\":\"127.0.0.1:80\"}]}",
      "$.instances[0].data_centre", "not one of the group's" },
    { "{\"data_centres\":[\"a\"],\"instances\":[{\"name\":\"i\","
      "\"data_centre\":\"a\",\"address\":\"localhost\"}]}",
      "$.instances[0].address", "IP:PORT" },
  };
  conf_error_t error;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_assert_null (parse_group ("g", cases[i].body, &error));
      g_test_message ("%s", error.text);
      g_assert_nonnull (strstr (error.text, cases[i].place));
      g_assert_nonnull (strstr (error.text, cases[i].reason));
    }
}

/* Guards against groups that share only some of their data centres.  Regions
   must be equal or disjoint.  */
static void
test_regions (void)
{
  static const struct
  {
    const char *body;
    int result;
  } cases[] = {
    { "{\"data_centres\":[\"n2\",\"n1\"]}", 0 },
    { "{\"data_centres\":[\"s1\"]}", 0 },
    { "{\"data_centres\":[\"n2\"]}", -EINVAL },
    { "{\"data_centres\":[\"n1\",\"n2\",\"n3\"]}", -EINVAL },
    { "{\"data_centres\":[\"n1\",\"n3\"]}", -EINVAL },
  };
  conf_error_t error;
  conf_object_t *first = parse_group ("first", north, &error);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      conf_object_t *other = parse_group ("other", cases[i].body, &error);

      g_assert_cmpint (
          conf_check_group_overlap (&other->u.group, &first->u.group, &error),
          ==, cases[i].result);
      if (cases[i].result != 0)
        g_assert_nonnull (strstr (error.text, "group/other: $.data_centres: "
                                              "group \"first\""));
      conf_object_free (other);
    }
  conf_object_free (first);
}

static void
apply_object (decide_t *node, const char *name, const char *body)
{
  static uint64_t revision;
  conf_error_t error;
  conf_object_t *object;

  revision++;
  conf_parse_object (name, body, revision, revision, false, &object, &error);
  g_assert_cmpstr (error.text, ==, "");
  g_assert_cmpint (decide_object (node, 1, UINT64_MAX, &object->object), ==,
                   0);
  conf_object_free (object);
}

static void
append_name (void *context, const decide_group_instance_t *instance)
{
  g_string_append_printf (context, " %s", instance->name);
}

/* Guards against clients that are sent to a group that does not serve them, or
   to instances of a group that are out of service, leaving or removed from the
   ownership record.  */
static void
test_addresses (void)
{
#define MEMBER(name, state)                                                   \
  "{\"name\":\"" name "\",\"data_centre\":\"s1\",\"incarnation\":"            \
  "\"0000000000000001\",\"state\":\"" state "\"}"
#define INSTANCE(name)                                                        \
  "{\"name\":\"" name "\",\"data_centre\":\"s1\",\"address\":\"[::1]:80\"}"
#define ENDPOINT(name, centre, port)                                          \
  "{\"id\":\"" name "\",\"data_centre\":\"" centre                            \
  "\",\"address\":\"[::1]:" port "\",\"slots\":1}"
  static const decide_instance_t self = { "i", "n1" };
  decide_settings_t settings = { .instance = "i",
                                 .data_centre = "n1",
                                 .group = "a",
                                 .incarnation = 1,
                                 .seed = 1,
                                 .instance_count = 1,
                                 .instances = &self };
  decide_callbacks_t callbacks = { 0 };
  decide_t *node = decide_new (&settings, &callbacks, 1);
  decide_id_t service = decide_id ("s");
  g_autoptr (GString) names = g_string_new (NULL);

  apply_object (
      node, "shared/service/s",
      "{\"profile\":\"p\",\"key_region\":\"s1\",\"endpoints\":[" ENDPOINT (
          "e", "n1", "1") "," ENDPOINT ("f", "s1", "2") "]}");
  g_assert_null (decide_service_group (node, service, "n1", false));
  apply_object (node, "shared/group/a", north);
  apply_object (
      node, "shared/group/x",
      "{\"data_centres\":[\"s1\"],\"instances\":[" INSTANCE ("away") "," INSTANCE (
          "gone") "," INSTANCE ("good") "," INSTANCE ("leaves") "]}");
  g_assert_cmpstr (decide_service_group (node, service, "n2", false), ==, "a");
  g_assert_cmpstr (decide_service_group (node, service, "s1", false), ==, "x");
  g_assert_cmpstr (decide_service_group (node, service, "n1", true), ==, "x");
  g_assert_cmpstr (decide_service_group (node, service, "else", false), ==,
                   "x");
  g_assert_null (decide_service_group (node, decide_id ("t"), "n1", false));
  decide_each_group_instance (node, "x", append_name, names);
  g_assert_cmpstr (names->str, ==, " away gone good leaves");
  g_string_truncate (names, 0);
  apply_object (node, "shared/out/instance/away", "{}");
  apply_object (
      node, "shared/ownership/x",
      "{\"members\":[" MEMBER ("away", "active") "," MEMBER (
          "good", "active") "," MEMBER ("leaves",
                                        "leaving") "],\"data_centres\":[]}");
  decide_each_group_instance (node, "x", append_name, names);
  g_assert_cmpstr (names->str, ==, " good");
  decide_free (node);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/groups/one-group", test_one_group);
  g_test_add_func ("/groups/minimal-movement", test_minimal_movement);
  g_test_add_func ("/groups/named", test_named);
  g_test_add_func ("/groups/faults", test_faults);
  g_test_add_func ("/groups/regions", test_regions);
  g_test_add_func ("/groups/addresses", test_addresses);
  return g_test_run ();
}
