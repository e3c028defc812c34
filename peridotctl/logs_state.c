/* Commands that show the last state of rollouts, of tenants' allowances and of
   the configuration according to log files.  */

#include <stdio.h>
#include <string.h>

#include "logs_read.h"

/* Beginning of the detail of a refusal because a tenant's allowance was used
   up; the name of the tenant follows.  */
#define ALLOWANCE_DETAIL "allowance of "

/* A rollout, as the log shows it.  */
typedef struct log_rollout
{
  const log_entry_t *step;   /* last entry on a step */
  const log_entry_t *counts; /* last entry with the answers of both versions;
                                NULL: none */
} log_rollout_t;

/* A tenant whose allowance was used up.  */
typedef struct log_tenant
{
  const log_entry_t *first; /* refusal */
  const log_entry_t *last;
  int refusal_count;
} log_tenant_t;

/* The configuration at an instance.  */
typedef struct log_version
{
  const log_entry_t *in_force; /* last version in force; NULL: none */
  const log_entry_t *rejected; /* rejected since then; NULL: none */
} log_version_t;

/* The part of an instance in reading the store for all.  */
typedef struct log_reader
{
  const log_entry_t *began;  /* last time that it became the reader; NULL: it
                                is not known to have been */
  const log_entry_t *ended;  /* it has handed over since then; NULL: no */
  const log_entry_t *unread; /* since then it cannot read some kind of objects;
                                NULL: it can */
} log_reader_t;

/* What a command lists, by name.  */
typedef struct listing
{
  const char *headings[8];
  int n_headings;
  void (*add) (GHashTable *rows, const log_entry_t *entry);
  void (*print) (table_t *table, json_object *item, const char *name,
                 gpointer row);
} listing_t;

static gint compare_names (gconstpointer a, gconstpointer b);
static void print_rows (const ctl_options_t *opts, const listing_t *listing,
                        GHashTable *rows);
static ctl_exit_t print_listing (const ctl_options_t *opts,
                                 const listing_t *listing,
                                 const char *const files[], int count);
static void add_rollout_entry (GHashTable *rollouts, const log_entry_t *entry);
static void add_tenant_entry (GHashTable *tenants, const log_entry_t *entry);
static void print_rollout (table_t *table, json_object *item,
                           const char *service, gpointer row);
static void print_tenant (table_t *table, json_object *item, const char *name,
                          gpointer row);
static void add_version_entry (GHashTable *instances,
                               const log_entry_t *entry);
static void print_version (table_t *table, json_object *item,
                           const char *instance, gpointer row);
static void add_reader_entry (GHashTable *instances, const log_entry_t *entry);
static void print_reader (table_t *table, json_object *item,
                          const char *instance, gpointer row);
static void add_text (table_t *table, json_object *item, const char *key,
                      const char *text);

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

/* Adds a cell to the table, and the same to the JSON object.  */
static void
add_text (table_t *table, json_object *item, const char *key, const char *text)
{
  table_add (table, text);
  json_object_object_add (item, key, json_object_new_string (text));
}

/* Prints the rows by name.  */
static void
print_rows (const ctl_options_t *opts, const listing_t *listing,
            GHashTable *rows)
{
  table_t *table = table_new (listing->n_headings);
  json_object *list = json_object_new_array ();
  GList *names = g_list_sort (g_hash_table_get_keys (rows), compare_names);

  for (int i = 0; i < listing->n_headings; i++)
    table_add (table, listing->headings[i]);
  for (GList *link = names; link != NULL; link = link->next)
    {
      json_object *item = json_object_new_object ();

      listing->print (table, item, link->data,
                      g_hash_table_lookup (rows, link->data));
      json_object_array_add (list, item);
    }
  if (opts->json)
    puts (json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
  else
    table_print (table);
  g_list_free (names);
  table_free (table);
  json_object_put (list);
}

/* Prints what the entries of log files show, a row for each name.  */
static ctl_exit_t
print_listing (const ctl_options_t *opts, const listing_t *listing,
               const char *const files[], int count)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (log_entry_t));
  GHashTable *rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  ctl_exit_t result = CTL_REFUSED;

  g_array_set_clear_func (entries, logs_clear_entry);
  if (logs_read_files (files, count, entries) == 0)
    {
      for (guint i = 0; i < entries->len; i++)
        listing->add (rows, &g_array_index (entries, log_entry_t, i));
      print_rows (opts, listing, rows);
      result = CTL_OK;
    }
  g_hash_table_destroy (rows);
  g_array_free (entries, TRUE);
  return result;
}

static void
print_rollout (table_t *table, json_object *item, const char *service,
               gpointer row)
{
  static const char *const keys[]
      = { "version", "phase", "share", "time", "reason" };
  const log_rollout_t *rollout = row;

  add_text (table, item, "service", service);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    add_text (table, item, keys[i],
              ctl_get_text (rollout->step->object, keys[i]));
  add_text (table, item, "new",
            rollout->counts != NULL
                ? ctl_get_text (rollout->counts->object, "new")
                : "");
  add_text (table, item, "old",
            rollout->counts != NULL
                ? ctl_get_text (rollout->counts->object, "old")
                : "");
}

/* Takes an entry of the log, if it is about a rollout, into the rollouts.  */
static void
add_rollout_entry (GHashTable *rollouts, const log_entry_t *entry)
{
  const char *service = ctl_get_text (entry->object, "service");
  log_rollout_t *rollout = g_hash_table_lookup (rollouts, service);

  if (*ctl_get_text (entry->object, "phase") == '\0')
    return;
  if (*ctl_get_text (entry->object, "share") == '\0')
    {
      if (rollout != NULL && *ctl_get_text (entry->object, "new") != '\0')
        rollout->counts = entry;
      return;
    }
  if (rollout == NULL)
    {
      rollout = g_new0 (log_rollout_t, 1);
      g_hash_table_insert (rollouts, (gpointer)service, rollout);
    }
  if (rollout->step != NULL
      && strcmp (ctl_get_text (rollout->step->object, "version"),
                 ctl_get_text (entry->object, "version"))
             != 0)
    rollout->counts = NULL;
  rollout->step = entry;
}

ctl_exit_t
logs_list_rollouts (const ctl_options_t *opts, const char *const files[],
                    int count)
{
  static const listing_t listing
      = { .headings = { "SERVICE", "VERSION", "PHASE", "SHARE", "SINCE",
                        "REASON", "NEW", "OLD" },
          .n_headings = 8,
          .add = add_rollout_entry,
          .print = print_rollout };

  return print_listing (opts, &listing, files, count);
}

static void
print_tenant (table_t *table, json_object *item, const char *name,
              gpointer row)
{
  const log_tenant_t *tenant = row;

  add_text (table, item, "tenant", name);
  table_add_number (table, (uint64_t)tenant->refusal_count);
  json_object_object_add (item, "refused",
                          json_object_new_int (tenant->refusal_count));
  add_text (table, item, "first", tenant->first->time);
  add_text (table, item, "last", tenant->last->time);
  add_text (table, item, "request",
            ctl_get_text (tenant->last->object, "request"));
}

/* Takes an entry of the log, if it is a refusal because an allowance was used
   up, into the tenants.  */
static void
add_tenant_entry (GHashTable *tenants, const log_entry_t *entry)
{
  const char *detail = ctl_get_text (entry->object, "detail");
  const char *name = detail + strlen (ALLOWANCE_DETAIL);
  log_tenant_t *tenant;

  if (!g_str_has_prefix (detail, ALLOWANCE_DETAIL))
    return;
  tenant = g_hash_table_lookup (tenants, name);
  if (tenant == NULL)
    {
      tenant = g_new0 (log_tenant_t, 1);
      tenant->first = entry;
      g_hash_table_insert (tenants, (gpointer)name, tenant);
    }
  tenant->last = entry;
  tenant->refusal_count++;
}

ctl_exit_t
logs_list_tenants (const ctl_options_t *opts, const char *const files[],
                   int count)
{
  static const listing_t listing
      = { .headings = { "TENANT", "REFUSED", "FIRST", "LAST", "REQUEST" },
          .n_headings = 5,
          .add = add_tenant_entry,
          .print = print_tenant };

  return print_listing (opts, &listing, files, count);
}

static void
print_version (table_t *table, json_object *item, const char *instance,
               gpointer row)
{
  const log_version_t *version = row;
  const log_entry_t *in_force = version->in_force;
  const log_entry_t *rejected = version->rejected;

  add_text (table, item, "instance", instance);
  add_text (table, item, "version",
            in_force != NULL
                ? ctl_get_text (in_force->object, "config_in_force")
                : "none");
  add_text (table, item, "since", in_force != NULL ? in_force->time : "");
  add_text (table, item, "left_out",
            in_force != NULL ? ctl_get_text (in_force->object, "rows_left_out")
                             : "");
  add_text (table, item, "rejected",
            rejected != NULL ? ctl_get_text (rejected->object, "detail") : "");
}

/* Takes an entry of the log, if it is about a version of the configuration as
   a whole, into the instances.  */
static void
add_version_entry (GHashTable *instances, const log_entry_t *entry)
{
  const char *instance = ctl_get_text (entry->object, "instance");
  bool is_in_force = *ctl_get_text (entry->object, "config_in_force") != '\0';
  bool is_rejected
      = strcmp (ctl_get_text (entry->object, "rejected"), "configuration")
        == 0;
  log_version_t *version;

  if (!is_in_force && !is_rejected)
    return;
  version = g_hash_table_lookup (instances, instance);
  if (version == NULL)
    {
      version = g_new0 (log_version_t, 1);
      g_hash_table_insert (instances, (gpointer)instance, version);
    }
  if (is_in_force)
    version->in_force = entry;
  version->rejected = is_in_force ? NULL : entry;
}

ctl_exit_t
logs_list_versions (const ctl_options_t *opts, const char *const files[],
                    int count)
{
  static const listing_t listing
      = { .headings
          = { "INSTANCE", "VERSION", "SINCE", "LEFT OUT", "REJECTED" },
          .n_headings = 5,
          .add = add_version_entry,
          .print = print_version };

  return print_listing (opts, &listing, files, count);
}

static void
print_reader (table_t *table, json_object *item, const char *instance,
              gpointer row)
{
  const log_reader_t *reader = row;
  const log_entry_t *began = reader->began;

  add_text (table, item, "instance", instance);
  add_text (table, item, "began", began != NULL ? began->time : "");
  add_text (table, item, "reason",
            began != NULL ? ctl_get_text (began->object, "reason") : "");
  add_text (table, item, "ended",
            reader->ended != NULL ? reader->ended->time : "");
  add_text (table, item, "successor",
            reader->ended != NULL
                ? ctl_get_text (reader->ended->object, "peer")
                : "");
  add_text (table, item, "unread",
            reader->unread != NULL
                ? ctl_get_text (reader->unread->object, "unread")
                : "");
}

/* Takes an entry of the log, if it is about reading the store for all, into
   the instances.  */
static void
add_reader_entry (GHashTable *instances, const log_entry_t *entry)
{
  const char *instance = ctl_get_text (entry->object, "instance");
  const char *change = ctl_get_text (entry->object, "reader");
  log_reader_t *reader = g_hash_table_lookup (instances, instance);

  if (*change == '\0')
    return;
  if (reader == NULL)
    {
      reader = g_new0 (log_reader_t, 1);
      g_hash_table_insert (instances, (gpointer)instance, reader);
    }
  if (strcmp (change, "began") == 0)
    *reader = (log_reader_t){ .began = entry };
  else if (strcmp (change, "ended") == 0)
    reader->ended = entry;
  else if (strcmp (change, "partial") == 0)
    reader->unread = entry;
  else if (strcmp (change, "complete") == 0)
    reader->unread = NULL;
}

ctl_exit_t
logs_list_readers (const ctl_options_t *opts, const char *const files[],
                   int count)
{
  static const listing_t listing
      = { .headings = { "INSTANCE", "READS SINCE", "REASON", "UNTIL",
                        "SUCCESSOR", "CANNOT READ" },
          .n_headings = 6,
          .add = add_reader_entry,
          .print = print_reader };

  return print_listing (opts, &listing, files, count);
}
