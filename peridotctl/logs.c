#include "logs_read.h"

#include <err.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Maximum number of the instance's preceding log entries that are printed
   before the first entry of a request.  */
#define PRECEDING_ENTRIES_MAX 3
/* Length of a timestamp without the fraction of the second.  */
#define TIMESTAMP_SECONDS_LENGTH 19

/* Beginning of the detail of a refusal of a request under which endpoints have
   ended; its digest follows.  */
#define SUSPECT_DETAIL "suspect "

/* A request under which endpoints have ended, as the log shows it.  */
typedef struct log_suspect
{
  const log_entry_t *last_change; /* last entry about it that is not a refusal;
                                     NULL: none */
  const char *digest;
  int refusal_count;
} log_suspect_t;

static int read_stream (FILE *stream, const char *name, GArray *entries);
static gint compare_times (gconstpointer a, gconstpointer b);
static void print_entry (const ctl_options_t *opts, const log_entry_t *entry,
                         bool is_of_request);
static void print_preceding (const ctl_options_t *opts, const GArray *entries,
                             guint first);
static bool has_request_id (const log_entry_t *entry, const char *id);
static bool is_failure (const log_entry_t *entry);
static void increment_count (GHashTable *counts, const char *kind,
                             const char *key);
static const char *get_suspect_digest (const log_entry_t *entry);
static gint compare_suspects (gconstpointer a, gconstpointer b);
static void print_suspects (const ctl_options_t *opts, GList *suspects);
static void print_counts (const ctl_options_t *opts, GHashTable *counts,
                          json_object *totals);

/* Appends the log entries of a stream to @entries.  A log collector may have
   put text before the JSON object of a line.  A line without a JSON object, or
   whose object has no time, was not written by an instance and is
   skipped.  */
static int
read_stream (FILE *stream, const char *name, GArray *entries)
{
  char *text = NULL;
  size_t size = 0;
  int result = 0;

  while (getline (&text, &size, stream) >= 0)
    {
      const char *start = strchr (text, '{');
      log_entry_t entry = { 0 };

      if (start != NULL)
        entry.object = json_tokener_parse (start);
      if (entry.object == NULL)
        continue;
      if (!json_object_is_type (entry.object, json_type_object)
          || *ctl_get_text (entry.object, "time") == '\0')
        {
          json_object_put (entry.object);
          continue;
        }
      entry.time = ctl_get_text (entry.object, "time");
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

int
logs_read_files (const char *const files[], int count, GArray *entries)
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
  const log_entry_t *left = a;
  const log_entry_t *right = b;

  return strcmp (left->time, right->time);
}

void
logs_clear_entry (gpointer data)
{
  log_entry_t *entry = data;

  json_object_put (entry->object);
}

static bool
has_request_id (const log_entry_t *entry, const char *id)
{
  return strcmp (ctl_get_text (entry->object, "request"), id) == 0;
}

static void
print_entry (const ctl_options_t *opts, const log_entry_t *entry,
             bool is_of_request)
{
  static const char *const keys[]
      = { "detail", "route",  "service",       "endpoint",
          "load",   "digest", "endings",       "config_version",
          "ms",     "rounds", "caller_age_ms", "trail" };

  if (opts->json)
    {
      puts (json_object_to_json_string_ext (entry->object,
                                            JSON_C_TO_STRING_PLAIN));
      return;
    }
  printf ("%s%s %s: %s\n", is_of_request ? "" : "  before: ", entry->time,
          ctl_get_text (entry->object, "instance"),
          ctl_get_text (entry->object, "message"));
  for (size_t i = 0; is_of_request && i < G_N_ELEMENTS (keys); i++)
    if (*ctl_get_text (entry->object, keys[i]) != '\0')
      printf ("    %s: %s\n", keys[i], ctl_get_text (entry->object, keys[i]));
}

/* Prints up to PRECEDING_ENTRIES_MAX entries that belong to no request: the
   last ones that the instance wrote before the first entry of the request.  */
static void
print_preceding (const ctl_options_t *opts, const GArray *entries, guint first)
{
  const log_entry_t *request_entry
      = &g_array_index (entries, log_entry_t, first);
  const char *instance = ctl_get_text (request_entry->object, "instance");
  guint found[PRECEDING_ENTRIES_MAX];
  int count = 0;

  for (guint i = first; i > 0 && count < PRECEDING_ENTRIES_MAX; i--)
    {
      const log_entry_t *entry = &g_array_index (entries, log_entry_t, i - 1);

      if (*ctl_get_text (entry->object, "request") == '\0'
          && strcmp (ctl_get_text (entry->object, "instance"), instance) == 0)
        found[count++] = i - 1;
    }
  while (count > 0)
    print_entry (opts, &g_array_index (entries, log_entry_t, found[--count]),
                 false);
}

ctl_exit_t
logs_explain_request (const ctl_options_t *opts, const char *id,
                      const char *const files[], int count)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (log_entry_t));
  ctl_exit_t result = CTL_REFUSED;
  bool found = false;

  g_array_set_clear_func (entries, logs_clear_entry);
  if (logs_read_files (files, count, entries) != 0)
    goto out;
  for (guint i = 0; i < entries->len; i++)
    {
      const log_entry_t *entry = &g_array_index (entries, log_entry_t, i);

      if (!has_request_id (entry, id))
        continue;
      if (!found)
        print_preceding (opts, entries, i);
      found = true;
      print_entry (opts, entry, true);
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

/* Returns whether the entry reports a refused, failed or late request or a
   failed attempt.  */
static bool
is_failure (const log_entry_t *entry)
{
  const char *message = ctl_get_text (entry->object, "message");

  return strcmp (message, "refused") == 0 || strcmp (message, "failed") == 0
         || strcmp (message, "answered late") == 0
         || strcmp (message, "attempt failed") == 0;
}

static void
increment_count (GHashTable *counts, const char *kind, const char *key)
{
  char *name = g_strdup_printf ("%s %s", kind, key);
  gpointer count = g_hash_table_lookup (counts, name);

  g_hash_table_replace (counts, name,
                        GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
}

/* Prints the counts sorted by name; with --json, adds them to @totals
   instead.  */
static void
print_counts (const ctl_options_t *opts, GHashTable *counts,
              json_object *totals)
{
  GList *names = g_list_sort (g_hash_table_get_keys (counts),
                              (GCompareFunc)(void (*) (void))strcmp);

  for (GList *link = names; link != NULL; link = link->next)
    {
      int count = GPOINTER_TO_INT (g_hash_table_lookup (counts, link->data));

      if (opts->json)
        json_object_object_add (totals, link->data,
                                json_object_new_int (count));
      else
        printf ("%7d  %s\n", count, (const char *)link->data);
    }
  g_list_free (names);
}

ctl_exit_t
logs_summarize (const ctl_options_t *opts, const char *const files[],
                int count)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (log_entry_t));
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_object *totals = json_object_new_object ();
  ctl_exit_t result = CTL_REFUSED;

  g_array_set_clear_func (entries, logs_clear_entry);
  if (logs_read_files (files, count, entries) != 0)
    goto out;
  for (guint i = 0; i < entries->len; i++)
    {
      const log_entry_t *entry = &g_array_index (entries, log_entry_t, i);
      g_autofree char *reason = NULL;
      g_autofree char *second = NULL;

      if (!is_failure (entry))
        continue;
      reason
          = g_strdup_printf ("%s: %s", ctl_get_text (entry->object, "message"),
                             ctl_get_text (entry->object, "detail"));
      second = g_strndup (entry->time, TIMESTAMP_SECONDS_LENGTH);
      increment_count (counts, "reason", reason);
      increment_count (counts, "instance",
                       ctl_get_text (entry->object, "instance"));
      increment_count (counts, "second", second);
    }
  print_counts (opts, counts, totals);
  if (opts->json)
    puts (json_object_to_json_string_ext (totals, JSON_C_TO_STRING_PLAIN));
  result = CTL_OK;

out:
  json_object_put (totals);
  g_hash_table_destroy (counts);
  g_array_free (entries, TRUE);
  return result;
}

/* Returns the digest of the request under which endpoints have ended if the
   entry is about one, or NULL.  */
static const char *
get_suspect_digest (const log_entry_t *entry)
{
  const char *digest = ctl_get_text (entry->object, "digest");
  const char *detail = ctl_get_text (entry->object, "detail");

  if (*digest != '\0')
    return digest;
  return g_str_has_prefix (detail, SUSPECT_DETAIL)
             ? detail + strlen (SUSPECT_DETAIL)
             : NULL;
}

static gint
compare_suspects (gconstpointer a, gconstpointer b)
{
  const log_suspect_t *left = a;
  const log_suspect_t *right = b;

  return strcmp (left->digest, right->digest);
}

static void
print_suspects (const ctl_options_t *opts, GList *suspects)
{
  static const char *const headings[]
      = { "DIGEST", "ENDPOINTS", "REFUSED", "LAST",
          "EVENT",  "REQUEST",   "ENDPOINT" };
  static const char *const keys[]
      = { "time", "message", "request", "endpoint" };
  table_t *table = table_new ((int)G_N_ELEMENTS (headings));
  json_object *list = json_object_new_array ();

  for (size_t i = 0; i < G_N_ELEMENTS (headings); i++)
    table_add (table, headings[i]);
  for (GList *link = suspects; link != NULL; link = link->next)
    {
      const log_suspect_t *suspect = link->data;
      const log_entry_t *last = suspect->last_change;
      json_object *item = json_object_new_object ();

      json_object_object_add (item, "digest",
                              json_object_new_string (suspect->digest));
      json_object_object_add (item, "refused",
                              json_object_new_int (suspect->refusal_count));
      if (last != NULL)
        json_object_object_add (item, "last", json_object_get (last->object));
      json_object_array_add (list, item);
      table_add (table, suspect->digest);
      table_add (table,
                 last != NULL ? ctl_get_text (last->object, "endings") : "");
      table_add_number (table, (uint64_t)suspect->refusal_count);
      for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
        table_add (table,
                   last != NULL ? ctl_get_text (last->object, keys[i]) : "");
    }
  if (opts->json)
    puts (json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  else
    table_print (table);
  table_free (table);
  json_object_put (list);
}

ctl_exit_t
logs_list_suspects (const ctl_options_t *opts, const char *const files[],
                    int count)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (log_entry_t));
  GHashTable *by_digest
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GList *suspects = NULL;
  ctl_exit_t result = CTL_REFUSED;

  g_array_set_clear_func (entries, logs_clear_entry);
  if (logs_read_files (files, count, entries) != 0)
    goto out;
  for (guint i = 0; i < entries->len; i++)
    {
      const log_entry_t *entry = &g_array_index (entries, log_entry_t, i);
      const char *digest = get_suspect_digest (entry);
      log_suspect_t *suspect;

      if (digest == NULL)
        continue;
      suspect = g_hash_table_lookup (by_digest, digest);
      if (suspect == NULL)
        {
          suspect = g_new0 (log_suspect_t, 1);
          suspect->digest = digest;
          g_hash_table_insert (by_digest, (gpointer)digest, suspect);
        }
      if (*ctl_get_text (entry->object, "digest") != '\0')
        suspect->last_change = entry;
      else
        suspect->refusal_count++;
    }
  suspects
      = g_list_sort (g_hash_table_get_values (by_digest), compare_suspects);
  print_suspects (opts, suspects);
  result = CTL_OK;

out:
  g_list_free (suspects);
  g_hash_table_destroy (by_digest);
  g_array_free (entries, TRUE);
  return result;
}
