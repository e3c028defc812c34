#include "backends_private.h"

#include <string.h>

/* A sender's requests are at least this far apart at one cold endpoint; the
   rest above a second covers different travel times.  */
#define COLD_GAP_MS 1100

static bool same_names (char *const *known, const char *const *names,
                        int count);
static int senders_before (backends_t *backends, backend_t *backend);

static bool
same_names (char *const *known, const char *const *names, int count)
{
  for (int i = 0; i < count; i++)
    if (known[i] == NULL || strcmp (known[i], names[i]) != 0)
      return false;
  return known[count] == NULL;
}

void
cold_share_set (backends_t *backends, const char *const *names, int count)
{
  if (backends->instances != NULL
      && same_names (backends->instances, names, count))
    return;
  backends->instances_set++;
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

/* Instances that go before this one at a cold endpoint.  */
static int
senders_before (backends_t *backends, backend_t *backend)
{
  uint32_t own;

  if (backend->senders_set == backends->instances_set)
    return backend->senders_before;
  own = backends_weight (backends->own_name, backend->entry.id);
  backend->senders_set = backends->instances_set;
  backend->senders_before = 0;
  for (int i = 0; backends->instances[i] != NULL; i++)
    if (strcmp (backends->instances[i], backends->own_name) != 0
        && backends_weight (backends->instances[i], backend->entry.id) >= own)
      backend->senders_before++;
  return backend->senders_before;
}

bool
cold_may_send (backends_t *backends, backend_t *backend, clock_ms_t now)
{
  const service_t *service
      = g_ptr_array_index (backends->services, (guint)backend->service);
  int senders = CLAMP ((int)service->cold_per_s, 1, COLD_SENDERS_MAX);

  if (backend->cold_sent_at != 0 && now - backend->cold_sent_at < COLD_GAP_MS)
    return false;
  if (backends->instances == NULL)
    return false;
  return senders_before (backends, backend) < senders;
}
