#include "check.h"

#include <errno.h>
#include <string.h>

static int parse_member (conf_parser_t *parser, json_object *item,
                         decide_record_t *record);
static int parse_data_centre (conf_parser_t *parser, json_object *item,
                              decide_record_t *record);
static int parse_slice (conf_parser_t *parser, json_object *item,
                        decide_slice_t *slice);
static int
parse_list (conf_parser_t *parser, json_object *list, const char *key,
            int (*parse) (conf_parser_t *, json_object *, decide_record_t *),
            decide_record_t *record);
static int get_hex (conf_parser_t *parser, json_object *object,
                    const char *key, uint64_t *value);

int
conf_parse_record (conf_parser_t *parser, json_object *root,
                   decide_record_t *record)
{
  static const char *const keys[] = { "members", "data_centres", NULL };
  json_object *members;
  json_object *centres;
  int result;

  if ((result = conf_check_keys (parser, root, keys)) != 0
      || (result
          = conf_get_array (parser, root, "members",
                            (conf_range_t){ 1, DECIDE_MEMBERS_MAX }, &members))
             != 0
      || (result = conf_get_array (
              parser, root, "data_centres",
              (conf_range_t){ 0, DECIDE_DATA_CENTRES_MAX }, &centres))
             != 0
      || (result
          = parse_list (parser, members, "members", parse_member, record))
             != 0)
    return result;
  return parse_list (parser, centres, "data_centres", parse_data_centre,
                     record);
}

static int
parse_list (conf_parser_t *parser, json_object *list, const char *key,
            int (*parse) (conf_parser_t *, json_object *, decide_record_t *),
            decide_record_t *record)
{
  size_t list_saved_length = conf_parser_enter_key (parser, key);

  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      size_t saved_length = conf_parser_enter_index (parser, i);
      int result = json_object_is_type (item, json_type_object)
                       ? parse (parser, item, record)
                       : conf_parser_fail (parser, "must be an object");

      if (result != 0)
        return result;
      conf_parser_leave (parser, saved_length);
    }
  conf_parser_leave (parser, list_saved_length);
  return 0;
}

static int
parse_member (conf_parser_t *parser, json_object *item,
              decide_record_t *record)
{
  static const char *const keys[]
      = { "name", "data_centre", "incarnation", "state", NULL };
  decide_member_t *new = &record->members[record->member_count];
  char state[16];
  int result;

  if ((result = conf_check_keys (parser, item, keys)) != 0
      || (result
          = conf_get_name (parser, item, "name", CONF_REQUIRED, new->name))
             != 0
      || (result = conf_get_name (parser, item, "data_centre", CONF_REQUIRED,
                                  new->data_centre))
             != 0
      || (result = get_hex (parser, item, "incarnation", &new->incarnation))
             != 0
      || (result = conf_get_string (parser, item, "state", CONF_REQUIRED,
                                    sizeof state, state))
             != 0)
    return result;
  if (strcmp (state, "active") == 0)
    new->state = DECIDE_MEMBER_ACTIVE;
  else if (strcmp (state, "leaving") == 0)
    new->state = DECIDE_MEMBER_LEAVING;
  else
    return conf_parser_fail_key (parser, "state", "must be active or leaving");
  for (uint32_t i = 0; i < record->member_count; i++)
    if (strcmp (record->members[i].name, new->name) == 0)
      return conf_parser_fail_key (parser, "name", "duplicate member \"%s\"",
                                   new->name);
  record->member_count++;
  return 0;
}

static int
parse_data_centre (conf_parser_t *parser, json_object *item,
                   decide_record_t *record)
{
  static const char *const keys[] = { "name", "slices", NULL };
  decide_record_centre_t *new = &record->centres[record->centre_count];
  json_object *list;
  int result;

  if ((result = conf_check_keys (parser, item, keys)) != 0
      || (result = conf_get_string (parser, item, "name", CONF_REQUIRED,
                                    sizeof new->name, new->name))
             != 0
      || (result = conf_get_array (
              parser, item, "slices",
              (conf_range_t){ DECIDE_SLICES, DECIDE_SLICES }, &list))
             != 0)
    return result;
  /* DECIDE_KEY_CENTRE, under which the record lists the slices of idempotency
     keys, is not a valid name.  */
  if (strcmp (new->name, DECIDE_KEY_CENTRE) != 0
      && conf_check_name (new->name) != 0)
    return conf_parser_fail_key (
        parser, "name", "not a name (letters, digits, '-', '_', '.')");
  for (uint32_t i = 0; i < record->centre_count; i++)
    if (strcmp (record->centres[i].name, new->name) == 0)
      return conf_parser_fail_key (parser, "name",
                                   "duplicate data centre \"%s\"", new->name);
  conf_parser_enter_key (parser, "slices");
  for (size_t i = 0; i < DECIDE_SLICES; i++)
    {
      size_t saved_length = conf_parser_enter_index (parser, i);

      result = parse_slice (parser, json_object_array_get_idx (list, i),
                            &new->slices[i]);
      if (result != 0)
        return result;
      conf_parser_leave (parser, saved_length);
    }
  record->centre_count++;
  return 0;
}

static int
parse_slice (conf_parser_t *parser, json_object *item, decide_slice_t *slice)
{
  static const char *const keys[]
      = { "owner", "incarnation", "assigned", NULL };
  int64_t assigned;
  int result;

  if (!json_object_is_type (item, json_type_object))
    return conf_parser_fail (parser, "must be an object");
  if ((result = conf_check_keys (parser, item, keys)) != 0
      || (result = get_hex (parser, item, "owner", &slice->owner)) != 0
      || (result = get_hex (parser, item, "incarnation", &slice->incarnation))
             != 0
      || (result
          = conf_get_integer (parser, item, "assigned", CONF_REQUIRED,
                              (conf_range_t){ 0, INT64_MAX }, &assigned))
             != 0)
    return result;
  slice->assigned = (uint64_t)assigned;
  return 0;
}

static int
get_hex (conf_parser_t *parser, json_object *object, const char *key,
         uint64_t *value)
{
  char text[18];
  guint64 number;
  int result = conf_get_string (parser, object, key, CONF_REQUIRED,
                                sizeof text, text);

  if (result != 0)
    return result;
  if (strlen (text) != 16
      || !g_ascii_string_to_unsigned (text, 16, 0, UINT64_MAX, &number, NULL))
    return conf_parser_fail_key (parser, key, "must be 16 hexadecimal digits");
  *value = number;
  return 0;
}

/* The text is built without json-c, whose objects would take about 100 KB for
   each update with 16 slices in each of 16 data centres.  Nothing has to be
   escaped: all strings are checked names, constants or numbers.  */
char *
conf_format_record (const decide_record_t *record)
{
  GString *text = g_string_new ("{\"members\":[");
  char *copy;

  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const decide_member_t *member = &record->members[i];

      g_string_append_printf (
          text,
          "%s{\"name\":\"%s\",\"data_centre\":\"%s\","
          "\"incarnation\":\"%016" G_GINT64_MODIFIER "x\",\"state\":\"%s\"}",
          i == 0 ? "" : ",", member->name, member->data_centre,
          member->incarnation,
          member->state == DECIDE_MEMBER_ACTIVE ? "active" : "leaving");
    }
  g_string_append (text, "],\"data_centres\":[");
  for (uint32_t i = 0; i < record->centre_count; i++)
    {
      const decide_record_centre_t *centre = &record->centres[i];

      g_string_append_printf (text, "%s{\"name\":\"%s\",\"slices\":[",
                              i == 0 ? "" : ",", centre->name);
      for (size_t j = 0; j < DECIDE_SLICES; j++)
        g_string_append_printf (text,
                                "%s{\"owner\":\"%016" G_GINT64_MODIFIER
                                "x\",\"incarnation\":\"%016" G_GINT64_MODIFIER
                                "x\",\"assigned\":%" G_GUINT64_FORMAT "}",
                                j == 0 ? "" : ",", centre->slices[j].owner,
                                centre->slices[j].incarnation,
                                centre->slices[j].assigned);
      g_string_append (text, "]}");
    }
  g_string_append (text, "]}");
  copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}
