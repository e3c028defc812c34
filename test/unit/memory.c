#include "memory.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Current version of an object, or its tombstone.  */
typedef struct stored_object
{
  uint64_t version;
  uint64_t revision;
  bool deleted;
  char *body;
} stored_object_t;

struct memory_store
{
  GMutex lock;
  GTree *objects;    /* name -> stored_object_t */
  uint64_t revision; /* revision of the last change of any object */
  admin_callbacks_t callbacks;
};

/* Arguments of list_objects() that visit_stored_object() uses.  */
typedef struct list_context
{
  const char *prefix;
  admin_visit_t visit;
  void *arg;
} list_context_t;

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
free_stored_object (gpointer data)
{
  stored_object_t *stored = data;

  g_free (stored->body);
  g_free (stored);
}

static int
read_object (void *context, const char *name, admin_object_t *object)
{
  memory_store_t *memory = context;
  const stored_object_t *stored;
  int result = -ENOENT;

  g_mutex_lock (&memory->lock);
  stored = g_tree_lookup (memory->objects, name);
  if (stored != NULL && !stored->deleted && !g_str_has_suffix (name, "-stale"))
    {
      *object = (admin_object_t){ .version = stored->version,
                                  .revision = stored->revision,
                                  .body = strdup (stored->body) };
      result = 0;
    }
  g_mutex_unlock (&memory->lock);
  return result;
}

static gboolean
visit_stored_object (gpointer key, gpointer value, gpointer data)
{
  const list_context_t *list_context = data;
  const stored_object_t *stored = value;
  admin_object_t object = { stored->version, stored->revision, stored->body };

  if (!stored->deleted && g_str_has_prefix (key, list_context->prefix))
    list_context->visit (list_context->arg, key, &object);
  return FALSE;
}

static int
list_objects (void *context, const char *prefix, admin_visit_t visit,
              void *arg)
{
  memory_store_t *memory = context;
  list_context_t list_context = { prefix, visit, arg };

  g_mutex_lock (&memory->lock);
  g_tree_foreach (memory->objects, visit_stored_object, &list_context);
  g_mutex_unlock (&memory->lock);
  return 0;
}

/* Return: the error that the suffix of the name selects, or 0.  */
static int
get_injected_error (const char *name)
{
  if (g_str_has_suffix (name, "-unreached"))
    return -EAGAIN;
  if (g_str_has_suffix (name, "-lost"))
    return -ETIMEDOUT;
  return g_str_has_suffix (name, "-broken") ? -EIO : 0;
}

static int
change_object (memory_store_t *memory, const char *name, const char *body,
               uint64_t expected, admin_change_t *change)
{
  stored_object_t *stored;
  uint64_t current;
  int result = get_injected_error (name);

  if (result != 0)
    return result;
  g_mutex_lock (&memory->lock);
  stored = g_tree_lookup (memory->objects, name);
  current = stored == NULL || stored->deleted ? 0 : stored->version;
  change->version = current;
  if (body == NULL && current == 0)
    result = -ENOENT;
  else if (current != expected)
    result = -ESTALE;
  else
    {
      if (stored == NULL)
        {
          stored = g_new0 (stored_object_t, 1);
          g_tree_insert (memory->objects, g_strdup (name), stored);
        }
      g_free (stored->body);
      stored->body = g_strdup (body == NULL ? "" : body);
      stored->deleted = body == NULL;
      stored->revision = ++memory->revision;
      change->version = ++stored->version;
      change->revision = stored->revision;
    }
  g_mutex_unlock (&memory->lock);
  return result;
}

static int
put_object (void *context, const char *name, const char *body,
            uint64_t expected, const char *change_id, admin_change_t *change)
{
  return strlen (change_id) == 32
             ? change_object (context, name, body, expected, change)
             : -EINVAL;
}

static int
remove_object (void *context, const char *name, uint64_t expected,
               const char *change_id, admin_change_t *change)
{
  return strlen (change_id) == 32
             ? change_object (context, name, NULL, expected, change)
             : -EINVAL;
}

static int
forget_instance (void *context, const char *instance, admin_change_t *change)
{
  memory_store_t *memory = context;

  if (strcmp (instance, "entry-3") != 0)
    return -ENOENT;
  *change = (admin_change_t){ 8, memory->revision + 1 };
  return 0;
}

/* Reports a fixed status: entry-2 has an older revision and is leaving,
   entry-3 is unreachable and out of service.  */
static int
collect_status (void *context, admin_status_t *status)
{
  static const admin_instance_t instances[] = {
    { "entry-1", "quezon", 12, true, false, false },
    { "entry-2", "quezon", 11, true, true, false },
    { "entry-3", "pasig", 4, false, false, true },
  };
  static const admin_slice_t slices[] = {
    { "*", 0, "entry-1" },      { "*", 1, "entry-1" },
    { "*", 2, "entry-2" },      { "quezon", 0, "entry-1" },
    { "quezon", 1, "entry-1" }, { "quezon", 3, "entry-1" },
    { "pasig", 0, "" },
  };
  static const admin_endpoint_t endpoints[] = {
    { "booking", "b1", "quezon", "north", "entry-1", 3, 1, false, false, false,
      false },
    { "booking", "b2", "pasig", "", "", 1, 0, true, true, false, true },
  };

  (void)context;
  status->revision = 12;
  status->record_version = 7;
  g_array_append_vals (status->instances, instances, G_N_ELEMENTS (instances));
  g_array_append_vals (status->slices, slices, G_N_ELEMENTS (slices));
  g_array_append_vals (status->endpoints, endpoints, G_N_ELEMENTS (endpoints));
  g_ptr_array_add (status->out_centres, g_strdup ("caloocan"));
  g_ptr_array_add (status->out_instances, g_strdup ("entry-3"));
  return 0;
}

memory_store_t *
memory_store_new (void)
{
  memory_store_t *memory = g_new0 (memory_store_t, 1);

  g_mutex_init (&memory->lock);
  memory->objects
      = g_tree_new_full (compare_names, NULL, g_free, free_stored_object);
  memory->callbacks = (admin_callbacks_t){ .context = memory,
                                           .instance = "entry-1",
                                           .read = read_object,
                                           .list = list_objects,
                                           .put = put_object,
                                           .remove = remove_object,
                                           .forget = forget_instance,
                                           .collect_status = collect_status };
  return memory;
}

void
memory_store_free (memory_store_t *memory)
{
  g_tree_unref (memory->objects);
  g_mutex_clear (&memory->lock);
  g_free (memory);
}

const admin_callbacks_t *
memory_store_callbacks (const memory_store_t *memory)
{
  return &memory->callbacks;
}
