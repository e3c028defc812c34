#include "backends_private.h"

#include <string.h>

/* A sender's requests are at least this far apart at one cold endpoint; the
   rest above a second covers different travel times.  */
#define COLD_GAP_MS 1100

void
cold_share_set (backends_t *backends, const char *const *names, int count)
{
  g_strfreev (backends->instances);
  backends->instances = g_new0 (char *, (gsize)count + 1);
  for (int i = 0; i < count; i++)
    backends->instances[i] = g_strdup (names[i]);
}

uint32_t
backends_weight (const char *instance, const char *endpoint)
{
  char text[160];

  (void)g_snprintf (text, sizeof text, "%s/%s", instance, endpoint);
  /* The multiplication spreads the low bits of the string hash.  */
  return g_str_hash (text) * UINT32_C (2654435761);
}

bool
cold_may_send (backends_t *backends, const backend_t *backend, clock_ms_t now)
{
  const service_t *service
      = g_ptr_array_index (backends->services, (guint)backend->service);
  int senders = CLAMP ((int)service->cold_per_s, 1, COLD_SENDERS_MAX);
  uint32_t own;
  int before = 0;

  if (backend->cold_sent_at != 0 && now - backend->cold_sent_at < COLD_GAP_MS)
    return false;
  if (backends->instances == NULL)
    return false;
  own = backends_weight (backends->own_name, backend->entry.id);
  for (int i = 0; backends->instances[i] != NULL; i++)
    if (strcmp (backends->instances[i], backends->own_name) != 0
        && backends_weight (backends->instances[i], backend->entry.id) >= own)
      before++;
  return before < senders;
}
