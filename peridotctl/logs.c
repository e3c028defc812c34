#include "logs.h"

#include <err.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Lines of log that are shown before a request's own, for each instance. */
#define BEFORE_MAX 3
#define SECOND_LENGTH 19 /* of a time, up to the seconds */

typedef struct entry
{
  json_object *line;
  const char *time;
} entry_t;

static int read_files (const char *const files[], int count, GArray *entries);
static int read_stream (FILE *stream, const char *name, GArray *entries);
static gint compare_times (gconstpointer a, gconstpointer b);
static void entry_clear (gpointer data);
static void show (const ctl_t *ctl, const entry_t *entry, bool own);
static void show_before (const ctl_t *ctl, const GArray *entries, guint first);
static bool is_of (const entry_t *entry, const char *id);
static bool is_bad_end (const entry_t *entry);
static void count_end (GHashTable *table, const char *kind, const char *key);
static void show_counts (const ctl_t *ctl, GHashTable *table,
                         json_object *all);

/* A line may have words before its object, as from a log collector.  Lines
   without an object are not the product's.  */
static int
read_stream (FILE *stream, const char *name, GArray *entries)
{
  char *text = NULL;
  size_t size = 0;
  int result = 0;

  while (getline (&text, &size, stream) >= 0)
    {
      const char *start = strchr (text, '{');
      entry_t entry = { 0 };

      if (start != NULL)
        entry.line = json_tokener_parse (start);
      if (entry.line == NULL)
        continue;
      if (!json_object_is_type (entry.line, json_type_object)
          || *get_text (entry.line, "time") == '\0')
        {
          json_object_put (entry.line);
          continue;
        }
      entry.time = get_text (entry.line, "time");
      g_array_append_val (entries, entry);
    }
  if (ferror (stream))
    {
      result = -EIO;
      warnx ("%s: can't be read", name);
    }
  free (text);
  return result;
}

static int
read_files (const char *const files[], int count, GArray *entries)
{
  int result = 0;

  for (int i = 0; i < count && result == 0; i++)
    {
      FILE *stream
          = strcmp (files[i], "-") == 0 ? stdin : fopen (files[i], "r");

      if (stream == NULL)
        {
          result = -errno;
          warn ("%s", files[i]);
          break;
        }
      result = read_stream (stream, files[i], entries);
      if (stream != stdin)
        (void)fclose (stream);
    }
  g_array_sort (entries, compare_times);
  return result;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const entry_t *left = a;
  const entry_t *right = b;

  return strcmp (left->time, right->time);
}

static void
entry_clear (gpointer data)
{
  entry_t *entry = data;

  json_object_put (entry->line);
}

static bool
is_of (const entry_t *entry, const char *id)
{
  return strcmp (get_text (entry->line, "request"), id) == 0;
}

static void
show (const ctl_t *ctl, const entry_t *entry, bool own)
{
  static const char *const keys[]
      = { "detail",         "route", "service", "endpoint",      "load",
          "config_version", "ms",    "rounds",  "caller_age_ms", "trail" };

  if (ctl->json)
    {
      puts (json_object_to_json_string_ext (entry->line,
                                            JSON_C_TO_STRING_PLAIN));
      return;
    }
  printf ("%s%s %s: %s\n", own ? "" : "  before: ", entry->time,
          get_text (entry->line, "instance"),
          get_text (entry->line, "message"));
  for (size_t i = 0; own && i < G_N_ELEMENTS (keys); i++)
    if (*get_text (entry->line, keys[i]) != '\0')
      printf ("    %s: %s\n", keys[i], get_text (entry->line, keys[i]));
}

/* What the instance learnt last before the request.  */
static void
show_before (const ctl_t *ctl, const GArray *entries, guint first)
{
  const entry_t *own = &g_array_index (entries, entry_t, first);
  const char *instance = get_text (own->line, "instance");
  guint found[BEFORE_MAX];
  int count = 0;

  for (guint i = first; i > 0 && count < BEFORE_MAX; i--)
    {
      const entry_t *entry = &g_array_index (entries, entry_t, i - 1);

      if (*get_text (entry->line, "request") == '\0'
          && strcmp (get_text (entry->line, "instance"), instance) == 0)
        found[count++] = i - 1;
    }
  while (count > 0)
    show (ctl, &g_array_index (entries, entry_t, found[--count]), false);
}

ctl_exit_t
explain_request (const ctl_t *ctl, const char *id, const char *const files[],
                 int count)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (entry_t));
  ctl_exit_t result = CTL_REFUSED;
  bool found = false;

  g_array_set_clear_func (entries, entry_clear);
  if (read_files (files, count, entries) != 0)
    goto out;
  for (guint i = 0; i < entries->len; i++)
    {
      const entry_t *entry = &g_array_index (entries, entry_t, i);

      if (!is_of (entry, id))
        continue;
      if (!found)
        show_before (ctl, entries, i);
      found = true;
      show (ctl, entry, true);
    }
  if (found)
    result = CTL_OK;
  else
    warnx ("no line names request %s; requests that went well are sampled",
           id);

out:
  g_array_free (entries, TRUE);
  return result;
}

static bool
is_bad_end (const entry_t *entry)
{
  const char *message = get_text (entry->line, "message");

  return strcmp (message, "refused") == 0 || strcmp (message, "failed") == 0
         || strcmp (message, "answered late") == 0
         || strcmp (message, "attempt failed") == 0;
}

static void
count_end (GHashTable *table, const char *kind, const char *key)
{
  char *name = g_strdup_printf ("%s %s", kind, key);
  gpointer count = g_hash_table_lookup (table, name);

  g_hash_table_replace (table, name,
                        GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
}

static void
show_counts (const ctl_t *ctl, GHashTable *table, json_object *all)
{
  GList *names = g_list_sort (g_hash_table_get_keys (table),
                              (GCompareFunc)(void (*) (void))strcmp);

  for (GList *link = names; link != NULL; link = link->next)
    {
      int count = GPOINTER_TO_INT (g_hash_table_lookup (table, link->data));

      if (ctl->json)
        json_object_object_add (all, link->data, json_object_new_int (count));
      else
        printf ("%7d  %s\n", count, (const char *)link->data);
    }
  g_list_free (names);
}

ctl_exit_t
summarize_logs (const ctl_t *ctl, const char *const files[], int count)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (entry_t));
  GHashTable *table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_object *all = json_object_new_object ();
  ctl_exit_t result = CTL_REFUSED;

  g_array_set_clear_func (entries, entry_clear);
  if (read_files (files, count, entries) != 0)
    goto out;
  for (guint i = 0; i < entries->len; i++)
    {
      const entry_t *entry = &g_array_index (entries, entry_t, i);
      g_autofree char *reason = NULL;
      g_autofree char *second = NULL;

      if (!is_bad_end (entry))
        continue;
      reason = g_strdup_printf ("%s: %s", get_text (entry->line, "message"),
                                get_text (entry->line, "detail"));
      second = g_strndup (entry->time, SECOND_LENGTH);
      count_end (table, "reason", reason);
      count_end (table, "instance", get_text (entry->line, "instance"));
      count_end (table, "second", second);
    }
  show_counts (ctl, table, all);
  if (ctl->json)
    puts (json_object_to_json_string_ext (all, JSON_C_TO_STRING_PLAIN));
  result = CTL_OK;

out:
  json_object_put (all);
  g_hash_table_destroy (table);
  g_array_free (entries, TRUE);
  return result;
}
