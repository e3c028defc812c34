#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

static bool has_data_centre (const decide_group_t *group, const char *centre);
static int parse_instance (conf_parser_t *parser, json_object *item,
                           decide_group_t *group);

int
conf_parse_group (conf_parser_t *parser, json_object *root,
                  decide_group_t *group)
{
  static const char *const keys[] = { "data_centres", "instances", NULL };
  json_object *list;
  int result;

  if ((result = conf_check_keys (parser, root, keys)) != 0
      || (result = conf_get_array (
              parser, root, "data_centres",
              (conf_range_t){ 1, DECIDE_DATA_CENTRES_MAX }, &list))
             != 0
      || (result
          = conf_parse_names (parser, "data_centres", list, group->centres))
             != 0)
    return result;
  group->centre_count = (uint32_t)json_object_array_length (list);
  if (!json_object_object_get_ex (root, "instances", NULL))
    return 0;
  result = conf_get_array (parser, root, "instances",
                           (conf_range_t){ 0, DECIDE_MEMBERS_MAX }, &list);
  if (result != 0)
    return result;
  conf_parser_enter_key (parser, "instances");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      size_t saved_length = conf_parser_enter_index (parser, i);

      result = json_object_is_type (item, json_type_object)
                   ? parse_instance (parser, item, group)
                   : conf_parser_fail (parser, "must be an object");
      if (result != 0)
        return result;
      conf_parser_leave (parser, saved_length);
    }
  return 0;
}

static int
parse_instance (conf_parser_t *parser, json_object *item,
                decide_group_t *group)
{
  static const char *const keys[] = { "name", "data_centre", "address", NULL };
  decide_group_instance_t *new = &group->instances[group->instance_count];
  int result;

  if ((result = conf_check_keys (parser, item, keys)) != 0
      || (result
          = conf_get_name (parser, item, "name", CONF_REQUIRED, new->name))
             != 0
      || (result = conf_get_name (parser, item, "data_centre", CONF_REQUIRED,
                                  new->data_centre))
             != 0
      || (result = conf_get_address (parser, item, "address", CONF_REQUIRED,
                                     new->address))
             != 0)
    return result;
  /* All instances of a group must be in one region, so that a network
     partition between regions does not cost any group its majority.  */
  if (!has_data_centre (group, new->data_centre))
    return conf_parser_fail_key (
        parser, "data_centre", "\"%s\" is not one of the group's data centres",
        new->data_centre);
  for (uint32_t i = 0; i < group->instance_count; i++)
    if (strcmp (group->instances[i].name, new->name) == 0)
      return conf_parser_fail_key (parser, "name", "duplicate instance \"%s\"",
                                   new->name);
  group->instance_count++;
  return 0;
}

static bool
has_data_centre (const decide_group_t *group, const char *centre)
{
  for (uint32_t i = 0; i < group->centre_count; i++)
    if (strcmp (group->centres[i], centre) == 0)
      return true;
  return false;
}

int
conf_check_group_overlap (const decide_group_t *one,
                          const decide_group_t *other, conf_error_t *error)
{
  const char *common = NULL;
  const char *unmatched = NULL;

  for (uint32_t i = 0; i < one->centre_count; i++)
    *(has_data_centre (other, one->centres[i]) ? &common : &unmatched)
        = one->centres[i];
  for (uint32_t i = 0; i < other->centre_count; i++)
    if (!has_data_centre (one, other->centres[i]))
      unmatched = other->centres[i];
  if (common == NULL || unmatched == NULL)
    return 0;
  (void)snprintf (error->text, sizeof error->text,
                  CONF_PREFIX_GROUP
                  "%s: $.data_centres: group \"%s\" has data centre \"%s\" as "
                  "well, but only one of the two has \"%s\"; groups of a "
                  "region have the same data centres",
                  one->name, other->name, common, unmatched);
  return -EINVAL;
}
