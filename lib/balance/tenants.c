#include "tenants.h"

#include <string.h>
#include <xxhash.h>

#define SCHEME "Bearer"

tenant_t *
tenant_new (const char *name)
{
  tenant_t *tenant = g_new0 (tenant_t, 1);

  tenant->name = g_strdup (name);
  tenant->digest = tenant_name_digest (name);
  tenant->keys = g_ptr_array_new_with_free_func (g_free);
  tenant->priority = -1;
  return tenant;
}

tenant_t *
tenant_copy (const tenant_t *tenant)
{
  tenant_t *copy = tenant_new (tenant->name);

  copy->priority = tenant->priority;
  copy->rate_per_s = tenant->rate_per_s;
  copy->burst = tenant->burst;
  for (guint i = 0; i < tenant->keys->len; i++)
    g_ptr_array_add (copy->keys,
                     g_strdup (g_ptr_array_index (tenant->keys, i)));
  return copy;
}

void
tenant_free (gpointer data)
{
  tenant_t *tenant = data;

  g_ptr_array_free (tenant->keys, TRUE);
  g_free (tenant->name);
  g_free (tenant);
}

bool
tenant_is_limited (const tenant_t *tenant)
{
  return tenant->rate_per_s > 0 && tenant->rate_per_s < TENANT_RATE_MAX;
}

uint64_t
tenant_name_digest (const char *name)
{
  return XXH64 (name, strlen (name), 5);
}

const char *
tenant_parse_key (const char *text)
{
  size_t length = strlen (SCHEME);

  if (g_ascii_strncasecmp (text, SCHEME, length) != 0 || text[length] != ' ')
    return NULL;
  text += length + strspn (text + length, " ");
  return *text != '\0' && strpbrk (text, " \t") == NULL ? text : NULL;
}

bool
tenant_is_valid_name (const char *name)
{
  if (*name == '\0')
    return false;
  for (; *name != '\0'; name++)
    if (!g_ascii_isprint (*name))
      return false;
  return true;
}
