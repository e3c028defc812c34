#include "counts.h"

#include <glib.h>

/* What another instance has counted under a key.  */
typedef struct remote_values
{
  uint64_t start;         /* start of its process */
  counts_values_t before; /* sum over the earlier starts */
  counts_values_t values; /* since @start */
} remote_values_t;

typedef struct entry
{
  counts_key_t key;
  counts_values_t own;
  clock_ms_t own_changed_at; /* 0: never */
  GHashTable *remote; /* name of an instance to remote_values_t *; NULL: none
                         was learnt */
} entry_t;

struct counts
{
  GHashTable *entries; /* entry_t *, by their key */
};

static guint hash_key (gconstpointer data);
static gboolean are_keys_equal (gconstpointer a, gconstpointer b);
static void free_entry (gpointer data);
static entry_t *ensure_entry (counts_t *counts, counts_key_t key);
static void add_values (counts_values_t *to, const counts_values_t *from);
static gboolean is_of_subject (gpointer key, gpointer value, gpointer data);

static guint
hash_key (gconstpointer data)
{
  const counts_key_t *key = data;
  uint64_t mixed = (key->subject ^ key->item) * UINT64_C (0x9E3779B97F4A7C15);

  return (guint)(mixed >> 32);
}

static gboolean
are_keys_equal (gconstpointer a, gconstpointer b)
{
  const counts_key_t *left = a;
  const counts_key_t *right = b;

  return left->subject == right->subject && left->item == right->item;
}

static void
free_entry (gpointer data)
{
  entry_t *entry = data;

  if (entry->remote != NULL)
    g_hash_table_destroy (entry->remote);
  g_free (entry);
}

counts_t *
counts_new (void)
{
  counts_t *counts = g_new0 (counts_t, 1);

  counts->entries
      = g_hash_table_new_full (hash_key, are_keys_equal, NULL, free_entry);
  return counts;
}

void
counts_free (counts_t *counts)
{
  g_hash_table_destroy (counts->entries);
  g_free (counts);
}

/* Returns the entry of a key, or NULL if there are too many.  */
static entry_t *
ensure_entry (counts_t *counts, counts_key_t key)
{
  entry_t *entry = g_hash_table_lookup (counts->entries, &key);

  if (entry != NULL)
    return entry;
  if (g_hash_table_size (counts->entries) >= COUNTS_KEYS_MAX)
    return NULL;
  entry = g_new0 (entry_t, 1);
  entry->key = key;
  g_hash_table_insert (counts->entries, &entry->key, entry);
  return entry;
}

static void
add_values (counts_values_t *to, const counts_values_t *from)
{
  for (int i = 0; i < COUNTS_VALUES; i++)
    to->value[i] += from->value[i];
}

void
counts_add (counts_t *counts, counts_key_t key, const counts_values_t *values,
            clock_ms_t now)
{
  entry_t *entry = ensure_entry (counts, key);

  if (entry == NULL)
    return;
  add_values (&entry->own, values);
  entry->own_changed_at = now;
}

void
counts_learn (counts_t *counts, const char *instance, uint64_t start,
              counts_key_t key, const counts_values_t *values)
{
  entry_t *entry = ensure_entry (counts, key);
  remote_values_t *remote;

  if (entry == NULL)
    return;
  if (entry->remote == NULL)
    entry->remote
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  remote = g_hash_table_lookup (entry->remote, instance);
  if (remote == NULL)
    {
      remote = g_new0 (remote_values_t, 1);
      remote->start = start;
      g_hash_table_insert (entry->remote, g_strdup (instance), remote);
    }
  if (remote->start != start)
    {
      add_values (&remote->before, &remote->values);
      remote->values = (counts_values_t){ 0 };
      remote->start = start;
    }
  /* Values only grow, so that a smaller one is of a delayed message.  */
  for (int i = 0; i < COUNTS_VALUES; i++)
    remote->values.value[i] = MAX (remote->values.value[i], values->value[i]);
}

void
counts_sum (const counts_t *counts, uint64_t subject,
            void (*visit) (void *context, uint64_t item,
                           const counts_values_t *sum),
            void *context)
{
  GHashTableIter entries;
  gpointer value;

  g_hash_table_iter_init (&entries, counts->entries);
  while (g_hash_table_iter_next (&entries, NULL, &value))
    {
      const entry_t *entry = value;
      counts_values_t sum = entry->own;
      GHashTableIter remotes;
      gpointer remote;

      if (entry->key.subject != subject)
        continue;
      if (entry->remote != NULL)
        {
          g_hash_table_iter_init (&remotes, entry->remote);
          while (g_hash_table_iter_next (&remotes, NULL, &remote))
            {
              add_values (&sum, &((remote_values_t *)remote)->before);
              add_values (&sum, &((remote_values_t *)remote)->values);
            }
        }
      visit (context, entry->key.item, &sum);
    }
}

void
counts_visit_own (const counts_t *counts, clock_ms_t since,
                  void (*visit) (void *context, counts_key_t key,
                                 const counts_values_t *values),
                  void *context)
{
  GHashTableIter entries;
  gpointer value;

  g_hash_table_iter_init (&entries, counts->entries);
  while (g_hash_table_iter_next (&entries, NULL, &value))
    {
      const entry_t *entry = value;

      if (entry->own_changed_at != 0 && entry->own_changed_at >= since)
        visit (context, entry->key, &entry->own);
    }
}

static gboolean
is_of_subject (gpointer key, gpointer value, gpointer data)
{
  (void)value;
  return ((counts_key_t *)key)->subject == *(const uint64_t *)data;
}

void
counts_forget (counts_t *counts, uint64_t subject)
{
  g_hash_table_foreach_remove (counts->entries, is_of_subject, &subject);
}
