#include "groups.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Members of a group's ownership record, as last received.  */
typedef struct record_members
{
  uint32_t count;
  decide_member_t list[DECIDE_MEMBERS_MAX];
} record_members_t;

struct groups
{
  GHashTable *objects; /* name of a group -> decide_group_t */
  GHashTable *records; /* name of another group -> record_members_t */
  bool has_seen_object;
};

static bool has_centre (const decide_group_t *group, const char *centre);
static uint64_t rendezvous_weight (const char *service, const char *group);

groups_t *
groups_new (void)
{
  groups_t *groups = g_new0 (groups_t, 1);

  groups->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  groups->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return groups;
}

void
groups_free (groups_t *groups)
{
  if (groups == NULL)
    return;
  g_hash_table_destroy (groups->objects);
  g_hash_table_destroy (groups->records);
  g_free (groups);
}

void
groups_set_object (groups_t *groups, const char *name,
                   const decide_group_t *group)
{
  groups->has_seen_object = true;
  if (group == NULL)
    g_hash_table_remove (groups->objects, name);
  else
    g_hash_table_replace (groups->objects, g_strdup (name),
                          g_memdup2 (group, sizeof *group));
}

void
groups_set_record (groups_t *groups, const char *name,
                   const decide_record_t *record)
{
  record_members_t *members;

  if (record == NULL)
    {
      g_hash_table_remove (groups->records, name);
      return;
    }
  members = g_new0 (record_members_t, 1);
  members->count = record->member_count;
  memcpy (members->list, record->members,
          record->member_count * sizeof *record->members);
  g_hash_table_replace (groups->records, g_strdup (name), members);
}

bool
groups_are_configured (const groups_t *groups)
{
  return g_hash_table_size (groups->objects) > 0;
}

bool
groups_have_seen_object (const groups_t *groups)
{
  return groups->has_seen_object;
}

const decide_group_t *
groups_find (const groups_t *groups, const char *name)
{
  return g_hash_table_lookup (groups->objects, name);
}

bool
groups_have_foreign_record (const groups_t *groups)
{
  return g_hash_table_size (groups->records) > 0;
}

bool
groups_have_centre (const groups_t *groups, const char *name,
                    const char *centre)
{
  const decide_group_t *group = groups_find (groups, name);

  return group != NULL && has_centre (group, centre);
}

static bool
has_centre (const decide_group_t *group, const char *centre)
{
  for (uint32_t i = 0; i < group->centre_count; i++)
    if (strcmp (group->centres[i], centre) == 0)
      return true;
  return false;
}

/* Returns the XXH64 of both names.  A newline separates them, since no name
   contains one; otherwise different pairs could give the same text.  */
static uint64_t
rendezvous_weight (const char *service, const char *group)
{
  char text[2 * DECIDE_NAME_MAX];
  int length = g_snprintf (text, sizeof text, "%s\n%s", service, group);

  return XXH64 (text, (size_t)length, 0);
}

const char *
groups_choose (const groups_t *groups, const char *service,
               uint32_t named_count, const char named[][DECIDE_NAME_MAX],
               const char *centre)
{
  const char *best = NULL;
  uint64_t best_weight = 0;
  GHashTableIter iter;
  void *key;
  void *value;

  for (uint32_t i = 0; i < named_count; i++)
    {
      const decide_group_t *group = groups_find (groups, named[i]);

      if (group != NULL && has_centre (group, centre))
        return group->name;
    }
  g_hash_table_iter_init (&iter, groups->objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const decide_group_t *group = value;
      uint64_t weight;

      if (!has_centre (group, centre))
        continue;
      weight = rendezvous_weight (service, group->name);
      if (best != NULL
          && (weight < best_weight
              || (weight == best_weight && strcmp (group->name, best) > 0)))
        continue;
      best = group->name;
      best_weight = weight;
    }
  return best;
}

bool
groups_is_presumed_active (const groups_t *groups, const char *group,
                           const char *instance)
{
  const record_members_t *members
      = g_hash_table_lookup (groups->records, group);

  if (members == NULL)
    return true;
  for (uint32_t i = 0; i < members->count; i++)
    if (strcmp (members->list[i].name, instance) == 0)
      return members->list[i].state == DECIDE_MEMBER_ACTIVE;
  return false;
}
