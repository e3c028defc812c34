#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define POLL_MS 200

/* How far one revision is in force on the instances that are heard.  */
typedef struct force
{
  uint64_t revision;
  size_t heard;
  size_t current;
  size_t silent;
} force_t;

static force_t count_force (json_object *root, bool newest, uint64_t revision);
static void print_force (FILE *stream, json_object *root,
                         const force_t *force);
static void print_names (FILE *stream, json_object *root, const force_t *force,
                         bool heard);
static void print_instances (json_object *root);
static void print_slices (json_object *root);
static void print_endpoints (json_object *root);
static void print_out (json_object *root);
static int64_t now_ms (void);

ctl_exit_t
show_status (const ctl_t *ctl)
{
  int64_t deadline = now_ms () + ctl->timeout_s * INT64_C (1000);
  const struct timespec pause = { .tv_nsec = POLL_MS * 1000000L };
  answer_t answer;
  ctl_exit_t result;
  force_t force;

  for (;;)
    {
      result = admin_call (ctl, "status", "GET", "/v1/status", NULL, &answer);
      if (result != CTL_OK)
        return result;
      force = count_force (answer.root, !ctl->has_wait, ctl->wait_revision);
      if (!ctl->has_wait || (force.heard > 0 && force.current == force.heard))
        break;
      if (now_ms () >= deadline)
        {
          print_force (stderr, answer.root, &force);
          answer_free (&answer);
          return CTL_REFUSED;
        }
      answer_free (&answer);
      (void)nanosleep (&pause, NULL);
    }
  if (ctl->json)
    print_json (answer.root);
  else
    print_force (stdout, answer.root, &force);
  if (!ctl->json && !ctl->has_wait)
    {
      print_out (answer.root);
      print_instances (answer.root);
      print_slices (answer.root);
      print_endpoints (answer.root);
    }
  answer_free (&answer);
  return CTL_OK;
}

static force_t
count_force (json_object *root, bool newest, uint64_t revision)
{
  json_object *list = get_list (root, "instances");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  force_t force = { .revision = revision };

  if (newest)
    force.revision = get_number (root, "revision");
  for (size_t i = 0; newest && i < count; i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      if (get_flag (item, "heard")
          && get_number (item, "revision") > force.revision)
        force.revision = get_number (item, "revision");
    }
  for (size_t i = 0; i < count; i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      bool heard = get_flag (item, "heard");

      force.heard += heard;
      force.silent += !heard;
      force.current
          += heard && get_number (item, "revision") >= force.revision;
    }
  return force;
}

static void
print_force (FILE *stream, json_object *root, const force_t *force)
{
  if (force->heard > 0 && force->current == force->heard)
    (void)fprintf (stream,
                   "revision %" PRIu64 " is in force on all %zu instances "
                   "that are heard",
                   force->revision, force->heard);
  else
    {
      (void)fprintf (stream,
                     "revision %" PRIu64 " is in force on %zu of %zu "
                     "instances that are heard",
                     force->revision, force->current, force->heard);
      print_names (stream, root, force, true);
    }
  if (force->silent > 0)
    print_names (stream, root, force, false);
  (void)fputc ('\n', stream);
}

static void
print_names (FILE *stream, json_object *root, const force_t *force, bool heard)
{
  json_object *list = get_list (root, "instances");
  const char *before = heard ? "; behind: " : "; not heard: ";

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      if (get_flag (item, "heard") != heard
          || (heard && get_number (item, "revision") >= force->revision))
        continue;
      (void)fprintf (stream, "%s%s", before, get_text (item, "name"));
      before = ", ";
    }
}

static void
print_out (json_object *root)
{
  static const char *const keys[] = { "data_centres", "instances" };
  static const char *const titles[] = { "data centres out", "instances out" };
  json_object *out;

  if (!json_object_object_get_ex (root, "out", &out))
    return;
  for (size_t i = 0; i < 2; i++)
    {
      json_object *list = get_list (out, keys[i]);
      size_t count = list == NULL ? 0 : json_object_array_length (list);

      for (size_t j = 0; j < count; j++)
        printf ("%s%s%s", j == 0 ? titles[i] : "", j == 0 ? ": " : ", ",
                json_object_get_string (json_object_array_get_idx (list, j)));
      if (count > 0)
        putchar ('\n');
    }
}

static void
print_instances (json_object *root)
{
  json_object *list = get_list (root, "instances");
  table_t *table = table_new (4);

  table_add (table, "INSTANCE");
  table_add (table, "DATA-CENTRE");
  table_add (table, "REVISION");
  table_add (table, "STATE");
  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      char state[32];

      (void)snprintf (state, sizeof state, "%s%s%s",
                      get_flag (item, "heard") ? "heard" : "silent",
                      get_flag (item, "leaving") ? ",leaving" : "",
                      get_flag (item, "out") ? ",out" : "");
      table_add (table, get_text (item, "name"));
      table_add (table, get_text (item, "data_centre"));
      table_add_number (table, get_number (item, "revision"));
      table_add (table, state);
    }
  putchar ('\n');
  table_print (table);
  table_free (table);
}

/* Slices that follow each other and have one owner share a row.  */
static void
print_slices (json_object *root)
{
  json_object *list = get_list (root, "slices");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  table_t *table = table_new (3);
  size_t next;

  table_add (table, "DATA-CENTRE");
  table_add (table, "SLICES");
  table_add (table, "OWNER");
  for (size_t i = 0; i < count; i = next)
    {
      json_object *first = json_object_array_get_idx (list, i);
      const char *owner = get_text (first, "owner");
      uint64_t from = get_number (first, "slice");
      uint64_t to = from;
      char range[48];

      for (next = i + 1; next < count; next++, to++)
        {
          json_object *item = json_object_array_get_idx (list, next);

          if (strcmp (get_text (item, "owner"), owner) != 0
              || strcmp (get_text (item, "data_centre"),
                         get_text (first, "data_centre"))
                     != 0
              || get_number (item, "slice") != to + 1)
            break;
        }
      if (from == to)
        (void)snprintf (range, sizeof range, "%" PRIu64, from);
      else
        (void)snprintf (range, sizeof range, "%" PRIu64 "-%" PRIu64, from, to);
      table_add (table, get_text (first, "data_centre"));
      table_add (table, range);
      table_add (table, owner[0] == '\0' ? "-" : owner);
    }
  printf ("\nownership record: version %" PRIu64 "\n",
          get_number (root, "record_version"));
  table_print (table);
  table_free (table);
}

static void
print_endpoints (json_object *root)
{
  static const char *const flags[]
      = { "cold", "draining", "suspended", "out" };
  json_object *list = get_list (root, "endpoints");
  table_t *table = table_new (8);

  table_add (table, "SERVICE");
  table_add (table, "ENDPOINT");
  table_add (table, "DATA-CENTRE");
  table_add (table, "GROUP");
  table_add (table, "OWNER");
  table_add (table, "LIMIT");
  table_add (table, "IN-FLIGHT");
  table_add (table, "STATE");
  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      const char *owner = get_text (item, "owner");
      const char *group = get_text (item, "group");
      char state[40] = "";

      for (size_t j = 0; j < sizeof flags / sizeof flags[0]; j++)
        if (get_flag (item, flags[j]))
          {
            size_t length = strlen (state);

            (void)snprintf (state + length, sizeof state - length, "%s%s",
                            length == 0 ? "" : ",", flags[j]);
          }
      table_add (table, get_text (item, "service"));
      table_add (table, get_text (item, "endpoint"));
      table_add (table, get_text (item, "data_centre"));
      table_add (table, group[0] == '\0' ? "-" : group);
      table_add (table, owner[0] == '\0' ? "-" : owner);
      table_add_number (table, get_number (item, "limit"));
      table_add_number (table, get_number (item, "in_flight"));
      table_add (table, state[0] == '\0' ? "-" : state);
    }
  putchar ('\n');
  table_print (table);
  table_free (table);
}

static int64_t
now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
}
