#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define POLL_INTERVAL_MS 200

/* Numbers of instances on which a configuration revision is in force.  */
typedef struct propagation
{
  uint64_t revision;
  size_t heard;   /* instances that the status reports as "heard" */
  size_t current; /* those of @heard that have @revision or a later one */
  size_t silent;  /* instances that the status reports as not heard */
} propagation_t;

static propagation_t count_propagation (json_object *root, bool use_newest,
                                        uint64_t revision);
static void print_propagation (FILE *stream, json_object *root,
                               const propagation_t *propagation);
static void print_instance_names (FILE *stream, json_object *root,
                                  const propagation_t *propagation,
                                  bool heard);
static void print_instances (json_object *root);
static void print_slices (json_object *root);
static void print_endpoints (json_object *root);
static void print_out_of_service (json_object *root);
static int64_t now_ms (void);

ctl_exit_t
ctl_show_status (const ctl_options_t *opts)
{
  int64_t deadline = now_ms () + opts->timeout_s * INT64_C (1000);
  const struct timespec pause = { .tv_nsec = POLL_INTERVAL_MS * 1000000L };
  admin_response_t response;
  ctl_exit_t result;
  propagation_t propagation;

  for (;;)
    {
      result
          = admin_call (opts, "status", "GET", "/v1/status", NULL, &response);
      if (result != CTL_OK)
        return result;
      propagation = count_propagation (response.root, !opts->has_wait_revision,
                                       opts->wait_revision);
      if (!opts->has_wait_revision
          || (propagation.heard > 0
              && propagation.current == propagation.heard))
        break;
      if (now_ms () >= deadline)
        {
          print_propagation (stderr, response.root, &propagation);
          admin_response_free (&response);
          return CTL_REFUSED;
        }
      admin_response_free (&response);
      (void)nanosleep (&pause, NULL);
    }
  if (opts->json)
    ctl_print_json (response.root);
  else
    print_propagation (stdout, response.root, &propagation);
  if (!opts->json && !opts->has_wait_revision)
    {
      print_out_of_service (response.root);
      print_instances (response.root);
      print_slices (response.root);
      print_endpoints (response.root);
    }
  admin_response_free (&response);
  return CTL_OK;
}

/* Counts the instances on which @revision is in force or, with @use_newest,
   the newest revision that the status shows.  */
static propagation_t
count_propagation (json_object *root, bool use_newest, uint64_t revision)
{
  json_object *list = ctl_get_array (root, "instances");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  propagation_t propagation = { .revision = revision };

  if (use_newest)
    propagation.revision = ctl_get_number (root, "revision");
  for (size_t i = 0; use_newest && i < count; i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      if (ctl_get_bool (item, "heard")
          && ctl_get_number (item, "revision") > propagation.revision)
        propagation.revision = ctl_get_number (item, "revision");
    }
  for (size_t i = 0; i < count; i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      bool heard = ctl_get_bool (item, "heard");

      propagation.heard += heard;
      propagation.silent += !heard;
      propagation.current
          += heard
             && ctl_get_number (item, "revision") >= propagation.revision;
    }
  return propagation;
}

static void
print_propagation (FILE *stream, json_object *root,
                   const propagation_t *propagation)
{
  if (propagation->heard > 0 && propagation->current == propagation->heard)
    (void)fprintf (stream,
                   "revision %" PRIu64 " is in force on all %zu instances "
                   "that are heard",
                   propagation->revision, propagation->heard);
  else
    {
      (void)fprintf (stream,
                     "revision %" PRIu64 " is in force on %zu of %zu "
                     "instances that are heard",
                     propagation->revision, propagation->current,
                     propagation->heard);
      print_instance_names (stream, root, propagation, true);
    }
  if (propagation->silent > 0)
    print_instance_names (stream, root, propagation, false);
  (void)fputc ('\n', stream);
}

/* Prints the heard instances that do not have the revision yet, or those that
   are not heard.  */
static void
print_instance_names (FILE *stream, json_object *root,
                      const propagation_t *propagation, bool heard)
{
  json_object *list = ctl_get_array (root, "instances");
  const char *separator = heard ? "; behind: " : "; not heard: ";

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      if (ctl_get_bool (item, "heard") != heard
          || (heard
              && ctl_get_number (item, "revision") >= propagation->revision))
        continue;
      (void)fprintf (stream, "%s%s", separator, ctl_get_text (item, "name"));
      separator = ", ";
    }
}

static void
print_out_of_service (json_object *root)
{
  static const char *const keys[] = { "data_centres", "instances" };
  static const char *const titles[] = { "data centres out", "instances out" };
  json_object *out;

  if (!json_object_object_get_ex (root, "out", &out))
    return;
  for (size_t i = 0; i < 2; i++)
    {
      json_object *list = ctl_get_array (out, keys[i]);
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
  json_object *list = ctl_get_array (root, "instances");
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
                      ctl_get_bool (item, "heard") ? "heard" : "silent",
                      ctl_get_bool (item, "leaving") ? ",leaving" : "",
                      ctl_get_bool (item, "out") ? ",out" : "");
      table_add (table, ctl_get_text (item, "name"));
      table_add (table, ctl_get_text (item, "data_centre"));
      table_add_number (table, ctl_get_number (item, "revision"));
      table_add (table, state);
    }
  putchar ('\n');
  table_print (table);
  table_free (table);
}

/* Prints one row for consecutive slices of a data centre that have the same
   owner.  */
static void
print_slices (json_object *root)
{
  json_object *list = ctl_get_array (root, "slices");
  size_t count = list == NULL ? 0 : json_object_array_length (list);
  table_t *table = table_new (3);
  size_t next;

  table_add (table, "DATA-CENTRE");
  table_add (table, "SLICES");
  table_add (table, "OWNER");
  for (size_t i = 0; i < count; i = next)
    {
      json_object *first = json_object_array_get_idx (list, i);
      const char *owner = ctl_get_text (first, "owner");
      uint64_t from = ctl_get_number (first, "slice");
      uint64_t to = from;
      char range[48];

      for (next = i + 1; next < count; next++, to++)
        {
          json_object *item = json_object_array_get_idx (list, next);

          if (strcmp (ctl_get_text (item, "owner"), owner) != 0
              || strcmp (ctl_get_text (item, "data_centre"),
                         ctl_get_text (first, "data_centre"))
                     != 0
              || ctl_get_number (item, "slice") != to + 1)
            break;
        }
      if (from == to)
        (void)snprintf (range, sizeof range, "%" PRIu64, from);
      else
        (void)snprintf (range, sizeof range, "%" PRIu64 "-%" PRIu64, from, to);
      table_add (table, ctl_get_text (first, "data_centre"));
      table_add (table, range);
      table_add (table, owner[0] == '\0' ? "-" : owner);
    }
  printf ("\nownership record: version %" PRIu64 "\n",
          ctl_get_number (root, "record_version"));
  table_print (table);
  table_free (table);
}

static void
print_endpoints (json_object *root)
{
  static const char *const flags[]
      = { "cold", "draining", "suspended", "out" };
  json_object *list = ctl_get_array (root, "endpoints");
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
      const char *owner = ctl_get_text (item, "owner");
      const char *group = ctl_get_text (item, "group");
      char state[40] = "";

      for (size_t j = 0; j < sizeof flags / sizeof flags[0]; j++)
        if (ctl_get_bool (item, flags[j]))
          {
            size_t length = strlen (state);

            (void)snprintf (state + length, sizeof state - length, "%s%s",
                            length == 0 ? "" : ",", flags[j]);
          }
      table_add (table, ctl_get_text (item, "service"));
      table_add (table, ctl_get_text (item, "endpoint"));
      table_add (table, ctl_get_text (item, "data_centre"));
      table_add (table, group[0] == '\0' ? "-" : group);
      table_add (table, owner[0] == '\0' ? "-" : owner);
      table_add_number (table, ctl_get_number (item, "limit"));
      table_add_number (table, ctl_get_number (item, "in_flight"));
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
