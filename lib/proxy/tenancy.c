/* Keys of tenants: who may send a request.  */

#include "proxy_private.h"

#include <errno.h>

/* Returns the only Authorization field of a request, or NULL.  */
static const char *find_authorization (const exchange_t *exchange);

static const char *
find_authorization (const exchange_t *exchange)
{
  const char *found = NULL;

  for (guint i = 0; i + 1 < exchange->fields->len; i += 2)
    {
      if (g_ascii_strcasecmp (g_ptr_array_index (exchange->fields, i),
                              "Authorization")
          != 0)
        continue;
      /* Of two keys it is not clear which one holds.  */
      if (found != NULL)
        return NULL;
      found = g_ptr_array_index (exchange->fields, i + 1);
    }
  return found;
}

int
tenancy_find (const proxy_t *proxy, const exchange_t *exchange,
              const route_t *route, const tenant_t **tenant)
{
  const char *text;
  const char *key;

  *tenant = NULL;
  if (!proxy->routes->requires_key)
    return 0;
  text = find_authorization (exchange);
  key = text != NULL ? tenant_parse_key (text) : NULL;
  if (key != NULL)
    *tenant = routes_find_tenant (proxy->routes, key);
  return *tenant != NULL || route->is_public ? 0 : -EACCES;
}
