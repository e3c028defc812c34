/* Rate limit of cold endpoints: decides which instances may send requests to a
   cold endpoint, and how often.  */

#include "backends_private.h"

#include <string.h>

/* Shortest time between two requests of one instance to a cold endpoint.  It
   is 100 ms longer than a second, because two requests can arrive closer
   together than they were sent.  */
#define COLD_SEND_INTERVAL_MS 1100

static bool are_names_equal (char *const *known, const char *const *names,
                             int count);
static int cold_rank (backends_t *backends, backend_t *backend);

static bool
are_names_equal (char *const *known, const char *const *names, int count)
{
  for (int i = 0; i < count; i++)
    if (known[i] == NULL || strcmp (known[i], names[i]) != 0)
      return false;
  return known[count] == NULL;
}

void
backends_set_instances (backends_t *backends, const char *const *names,
                        int count)
{
  if (backends->instances != NULL
      && are_names_equal (backends->instances, names, count))
    return;
  backends->instances_version++;
  g_strfreev (backends->instances);
  backends->instances = g_new0 (char *, (gsize)count + 1);
  backends->instance_count = count;
  for (int i = 0; i < count; i++)
    backends->instances[i] = g_strdup (names[i]);
}

int
backends_instance_count (const backends_t *backends)
{
  return MAX (backends->instance_count, 1);
}

uint32_t
backends_rendezvous_weight (const char *instance, const char *endpoint)
{
  char text[160];

  (void)g_snprintf (text, sizeof text, "%s/%s", instance, endpoint);
  /* Multiplicative hashing spreads differences in the low bits of the string
     hash over the higher bits.  */
  return g_str_hash (text) * UINT32_C (2654435761);
}

/* Returns the number of other instances that precede this one for a cold
   endpoint, because their rendezvous weight is at least as high.  The number
   is cached until the set of instances changes.  */
static int
cold_rank (backends_t *backends, backend_t *backend)
{
  uint32_t own_weight;

  if (backend->cold_rank_instances_version == backends->instances_version)
    return backend->cold_rank;
  own_weight
      = backends_rendezvous_weight (backends->own_name, backend->entry.id);
  backend->cold_rank_instances_version = backends->instances_version;
  backend->cold_rank = 0;
  for (int i = 0; backends->instances[i] != NULL; i++)
    if (strcmp (backends->instances[i], backends->own_name) != 0
        && backends_rendezvous_weight (backends->instances[i],
                                       backend->entry.id)
               >= own_weight)
      backend->cold_rank++;
  return backend->cold_rank;
}

bool
backends_can_send_to_cold (backends_t *backends, backend_t *backend,
                           clock_ms_t now)
{
  const service_t *service
      = g_ptr_array_index (backends->services, (guint)backend->service);
  int senders_max = CLAMP ((int)service->cold_per_s, 1, COLD_SENDERS_MAX);

  if (backend->cold_sent_at != 0
      && now - backend->cold_sent_at < COLD_SEND_INTERVAL_MS)
    return false;
  if (backends->instances == NULL)
    return false;
  return cold_rank (backends, backend) < senders_max;
}
