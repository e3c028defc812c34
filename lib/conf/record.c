#include "check.h"

#include <errno.h>
#include <string.h>

static int parse_member (reader_t *reader, json_object *item,
                         decide_record_t *record);
static int parse_centre (reader_t *reader, json_object *item,
                         decide_record_t *record);
static int parse_slice (reader_t *reader, json_object *item,
                        decide_slice_t *slice);
static int parse_list (reader_t *reader, json_object *list, const char *key,
                       int (*parse) (reader_t *, json_object *,
                                     decide_record_t *),
                       decide_record_t *record);
static int read_hex (reader_t *reader, json_object *object, const char *key,
                     uint64_t *value);

int
parse_record (reader_t *reader, json_object *root, decide_record_t *record)
{
  static const char *const keys[] = { "members", "data_centres", NULL };
  json_object *members;
  json_object *centres;
  int result;

  if ((result = check_keys (reader, root, keys)) != 0
      || (result = read_array (reader, root, "members",
                               (range_t){ 1, DECIDE_MEMBERS_MAX }, &members))
             != 0
      || (result
          = read_array (reader, root, "data_centres",
                        (range_t){ 0, DECIDE_DATA_CENTRES_MAX }, &centres))
             != 0
      || (result
          = parse_list (reader, members, "members", parse_member, record))
             != 0)
    return result;
  return parse_list (reader, centres, "data_centres", parse_centre, record);
}

static int
parse_list (reader_t *reader, json_object *list, const char *key,
            int (*parse) (reader_t *, json_object *, decide_record_t *),
            decide_record_t *record)
{
  size_t outer = reader_enter (reader, key);

  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      size_t depth = reader_enter_index (reader, i);
      int result = json_object_is_type (item, json_type_object)
                       ? parse (reader, item, record)
                       : reader_fail (reader, "must be an object");

      if (result != 0)
        return result;
      reader_leave (reader, depth);
    }
  reader_leave (reader, outer);
  return 0;
}

static int
parse_member (reader_t *reader, json_object *item, decide_record_t *record)
{
  static const char *const keys[]
      = { "name", "data_centre", "incarnation", "state", NULL };
  decide_member_t *new = &record->members[record->member_count];
  char state[16];
  int result;

  if ((result = check_keys (reader, item, keys)) != 0
      || (result = read_name (reader, item, "name", REQUIRED, new->name)) != 0
      || (result = read_name (reader, item, "data_centre", REQUIRED,
                              new->data_centre))
             != 0
      || (result = read_hex (reader, item, "incarnation", &new->incarnation))
             != 0
      || (result
          = read_string (reader, item, "state", REQUIRED, sizeof state, state))
             != 0)
    return result;
  if (strcmp (state, "active") == 0)
    new->state = DECIDE_MEMBER_ACTIVE;
  else if (strcmp (state, "leaving") == 0)
    new->state = DECIDE_MEMBER_LEAVING;
  else
    return reader_fail_key (reader, "state", "must be active or leaving");
  for (uint32_t i = 0; i < record->member_count; i++)
    if (strcmp (record->members[i].name, new->name) == 0)
      return reader_fail_key (reader, "name", "duplicate member \"%s\"",
                              new->name);
  record->member_count++;
  return 0;
}

static int
parse_centre (reader_t *reader, json_object *item, decide_record_t *record)
{
  static const char *const keys[] = { "name", "slices", NULL };
  decide_record_centre_t *new = &record->centres[record->centre_count];
  json_object *list;
  int result;

  if ((result = check_keys (reader, item, keys)) != 0
      || (result = read_string (reader, item, "name", REQUIRED,
                                sizeof new->name, new->name))
             != 0
      || (result
          = read_array (reader, item, "slices",
                        (range_t){ DECIDE_SLICES, DECIDE_SLICES }, &list))
             != 0)
    return result;
  if (strcmp (new->name, DECIDE_KEY_CENTRE) != 0
      && conf_check_name (new->name) != 0)
    return reader_fail_key (reader, "name", "not a name");
  for (uint32_t i = 0; i < record->centre_count; i++)
    if (strcmp (record->centres[i].name, new->name) == 0)
      return reader_fail_key (reader, "name", "duplicate data centre \"%s\"",
                              new->name);
  reader_enter (reader, "slices");
  for (size_t i = 0; i < DECIDE_SLICES; i++)
    {
      size_t depth = reader_enter_index (reader, i);

      result = parse_slice (reader, json_object_array_get_idx (list, i),
                            &new->slices[i]);
      if (result != 0)
        return result;
      reader_leave (reader, depth);
    }
  record->centre_count++;
  return 0;
}

static int
parse_slice (reader_t *reader, json_object *item, decide_slice_t *slice)
{
  static const char *const keys[]
      = { "owner", "incarnation", "assigned", NULL };
  int64_t assigned;
  int result;

  if (!json_object_is_type (item, json_type_object))
    return reader_fail (reader, "must be an object");
  if ((result = check_keys (reader, item, keys)) != 0
      || (result = read_hex (reader, item, "owner", &slice->owner)) != 0
      || (result = read_hex (reader, item, "incarnation", &slice->incarnation))
             != 0
      || (result = read_integer (reader, item, "assigned", REQUIRED,
                                 (range_t){ 0, INT64_MAX }, &assigned))
             != 0)
    return result;
  slice->assigned = (uint64_t)assigned;
  return 0;
}

static int
read_hex (reader_t *reader, json_object *object, const char *key,
          uint64_t *value)
{
  char text[18];
  guint64 number;
  int result = read_string (reader, object, key, REQUIRED, sizeof text, text);

  if (result != 0)
    return result;
  if (strlen (text) != 16
      || !g_ascii_string_to_unsigned (text, 16, 0, UINT64_MAX, &number, NULL))
    return reader_fail_key (reader, key, "must be 16 hexadecimal digits");
  *value = number;
  return 0;
}

/* The text is written directly: with 16 slices in each of 16 data centres a
   tree of json-c objects costs some 100 KB for each update, and every string
   in it is a checked name, a constant or a number.  */
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
