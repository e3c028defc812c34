#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

static bool has_centre (const decide_group_t *group, const char *centre);
static int parse_instance (reader_t *reader, json_object *item,
                           decide_group_t *group);

int
parse_group (reader_t *reader, json_object *root, decide_group_t *group)
{
  static const char *const keys[] = { "data_centres", "instances", NULL };
  json_object *list;
  int result;

  if ((result = check_keys (reader, root, keys)) != 0
      || (result = read_array (reader, root, "data_centres",
                               (range_t){ 1, DECIDE_DATA_CENTRES_MAX }, &list))
             != 0
      || (result = read_names (reader, "data_centres", list, group->centres))
             != 0)
    return result;
  group->centre_count = (uint32_t)json_object_array_length (list);
  if (!json_object_object_get_ex (root, "instances", NULL))
    return 0;
  result = read_array (reader, root, "instances",
                       (range_t){ 0, DECIDE_MEMBERS_MAX }, &list);
  if (result != 0)
    return result;
  reader_enter (reader, "instances");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      size_t depth = reader_enter_index (reader, i);

      result = json_object_is_type (item, json_type_object)
                   ? parse_instance (reader, item, group)
                   : reader_fail (reader, "must be an object");
      if (result != 0)
        return result;
      reader_leave (reader, depth);
    }
  return 0;
}

static int
parse_instance (reader_t *reader, json_object *item, decide_group_t *group)
{
  static const char *const keys[] = { "name", "data_centre", "address", NULL };
  decide_group_instance_t *new = &group->instances[group->instance_count];
  int result;

  if ((result = check_keys (reader, item, keys)) != 0
      || (result = read_name (reader, item, "name", REQUIRED, new->name)) != 0
      || (result = read_name (reader, item, "data_centre", REQUIRED,
                              new->data_centre))
             != 0
      || (result
          = read_address (reader, item, "address", REQUIRED, new->address))
             != 0)
    return result;
  /* Instances of a group are in one region, so that a cut between regions
     takes no group's majority.  */
  if (!has_centre (group, new->data_centre))
    return reader_fail_key (reader, "data_centre",
                            "\"%s\" is not one of the group's data centres",
                            new->data_centre);
  for (uint32_t i = 0; i < group->instance_count; i++)
    if (strcmp (group->instances[i].name, new->name) == 0)
      return reader_fail_key (reader, "name", "duplicate instance \"%s\"",
                              new->name);
  group->instance_count++;
  return 0;
}

static bool
has_centre (const decide_group_t *group, const char *centre)
{
  for (uint32_t i = 0; i < group->centre_count; i++)
    if (strcmp (group->centres[i], centre) == 0)
      return true;
  return false;
}

int
conf_compare_groups (const decide_group_t *one, const decide_group_t *other,
                     conf_error_t *error)
{
  const char *shared = NULL;
  const char *alone = NULL;

  for (uint32_t i = 0; i < one->centre_count; i++)
    *(has_centre (other, one->centres[i]) ? &shared : &alone)
        = one->centres[i];
  for (uint32_t i = 0; i < other->centre_count; i++)
    if (!has_centre (one, other->centres[i]))
      alone = other->centres[i];
  if (shared == NULL || alone == NULL)
    return 0;
  (void)snprintf (error->text, sizeof error->text,
                  CONF_PREFIX_GROUP
                  "%s: $.data_centres: group \"%s\" has data centre \"%s\" as "
                  "well, but only one of the two has \"%s\"; groups of a "
                  "region have the same data centres",
                  one->name, other->name, shared, alone);
  return -EINVAL;
}
