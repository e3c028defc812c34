/* Suspicion of requests that may crash endpoints (see suspects.h).  When an
   endpoint closes the connection of a request that it runs, a probe finds out
   whether the endpoint has ended: then its address refuses the connection or
   belongs to another one.  An endpoint that lives has lost the response or was
   full, which says nothing about the request.  */

#include "proxy_private.h"

#include <string.h>
#include <xxhash.h>

/* Limit of the requests that wait for such a probe.  */
#define ACCUSATIONS_MAX 256
/* A request whose endpoint is not known to have ended by then is not
   suspected.  */
#define ACCUSATION_MAX_AGE_MS 1000
#define ID_TEXT_BYTES 40

/* A request whose endpoint may have ended while it ran.  */
typedef struct accusation
{
  uint64_t digest;          /* of the request */
  backend_handle_t backend; /* the endpoint */
  uint64_t endpoint;        /* digest of the endpoint's id */
  clock_ms_t at;            /* ms; when the connection was closed */
  /* For the log: the ids, cut off if they are longer.  */
  char request_id[ID_TEXT_BYTES];
  char endpoint_id[ID_TEXT_BYTES];
} accusation_t;

static uint64_t compute_digest (const exchange_t *exchange);
static void record_ending (proxy_t *proxy, const accusation_t *accusation,
                           clock_ms_t now);
static bool is_pending (const proxy_t *proxy, backend_handle_t backend);

/* Returns the digest of what identifies a request to an endpoint: method,
   host, target and body.  */
static uint64_t
compute_digest (const exchange_t *exchange)
{
  const char *host = exchange_header_value (exchange, "Host");
  XXH64_hash_t digest
      = XXH3_64bits (exchange->body->data, exchange->body->len);

  digest = XXH3_64bits_withSeed (exchange->target, strlen (exchange->target),
                                 digest);
  digest = XXH3_64bits_withSeed (exchange->method, strlen (exchange->method),
                                 digest);
  return host == NULL ? digest
                      : XXH3_64bits_withSeed (host, strlen (host), digest);
}

GArray *
suspicion_new_accusations (void)
{
  return g_array_new (FALSE, FALSE, sizeof (accusation_t));
}

void
suspicion_explain (const request_t *request, char text[SUSPICION_TEXT_BYTES])
{
  (void)g_snprintf (text, SUSPICION_TEXT_BYTES,
                    "suspect %016" G_GINT64_MODIFIER "x",
                    compute_digest (request->exchange));
}

bool
suspicion_is_refused (const request_t *request)
{
  const suspects_t *suspects = request->proxy->suspects;

  return suspects != NULL && suspects_count (suspects) > 0
         && suspects_is_refused (suspects, compute_digest (request->exchange),
                                 clock_now ());
}

bool
suspicion_forbids_hedge (const request_t *request)
{
  const suspects_t *suspects = request->proxy->suspects;

  return suspects != NULL && suspects_count (suspects) > 0
         && request->exchange != NULL
         && suspects_find (suspects, compute_digest (request->exchange),
                           clock_now ())
                != NULL;
}

bool
suspicion_forbids_retry (const request_t *request)
{
  const proxy_t *proxy = request->proxy;
  const suspect_t *suspect;
  uint64_t digest;
  int count = 0;

  if (proxy->suspects == NULL
      || (proxy->accusations->len == 0
          && suspects_count (proxy->suspects) == 0))
    return false;
  digest = compute_digest (request->exchange);
  suspect = suspects_find (proxy->suspects, digest, clock_now ());
  if (suspect != NULL)
    count = suspect->n_endings;
  for (guint i = 0; i < proxy->accusations->len; i++)
    if (g_array_index (proxy->accusations, accusation_t, i).digest == digest)
      count++;
  return count >= SUSPECT_ENDINGS_MAX;
}

static bool
is_pending (const proxy_t *proxy, backend_handle_t backend)
{
  for (guint i = 0; i < proxy->accusations->len; i++)
    {
      const accusation_t *accusation
          = &g_array_index (proxy->accusations, accusation_t, i);

      if (accusation->backend.index == backend.index
          && accusation->backend.generation == backend.generation)
        return true;
    }
  return false;
}

void
suspicion_accuse (request_t *request, const uplink_t *uplink)
{
  proxy_t *proxy = request->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  clock_ms_t now = clock_now ();
  accusation_t accusation;
  bool is_probed;

  /* An endpoint that leaves may end whatever it runs.  */
  if (proxy->suspects == NULL || backend == NULL || backend->entry.draining
      || backend->says_leaving || proxy->accusations->len == ACCUSATIONS_MAX)
    return;
  accusation = (accusation_t){
    .digest = compute_digest (request->exchange),
    .backend = uplink->backend,
    .endpoint = XXH3_64bits (backend->entry.id, strlen (backend->entry.id)),
    .at = now,
  };
  g_strlcpy (accusation.request_id, request->id, ID_TEXT_BYTES);
  g_strlcpy (accusation.endpoint_id, backend->entry.id, ID_TEXT_BYTES);
  is_probed = is_pending (proxy, uplink->backend);
  g_array_append_val (proxy->accusations, accusation);
  if (!is_probed)
    uplink_probe (proxy, backend);
}

static void
record_ending (proxy_t *proxy, const accusation_t *accusation, clock_ms_t now)
{
  suspect_ending_t ending
      = { .endpoint = accusation->endpoint, .at = accusation->at };
  suspect_t *suspect = suspects_add_ending (proxy->suspects,
                                            accusation->digest, &ending, now);

  if (suspect == NULL)
    return;
  suspect_log_write (proxy, suspect, accusation->request_id,
                     accusation->endpoint_id,
                     "an endpoint has ended under a request");
  telemetry_counter_increment (TELEMETRY_SUSPECTS, 0);
  if (proxy->settings.suspect_changed != NULL)
    proxy->settings.suspect_changed (proxy->settings.context, suspect);
}

void
suspicion_handle_probe (proxy_t *proxy, backend_handle_t backend,
                        bool has_ended)
{
  clock_ms_t now = clock_now ();

  for (guint i = proxy->accusations->len; i-- > 0;)
    {
      accusation_t accusation
          = g_array_index (proxy->accusations, accusation_t, i);

      if (accusation.backend.index != backend.index
          || accusation.backend.generation != backend.generation)
        continue;
      g_array_remove_index_fast (proxy->accusations, i);
      if (has_ended && now - accusation.at <= ACCUSATION_MAX_AGE_MS)
        record_ending (proxy, &accusation, now);
    }
}

void
suspicion_expire (proxy_t *proxy, clock_ms_t now)
{
  for (guint i = proxy->accusations->len; i-- > 0;)
    if (now - g_array_index (proxy->accusations, accusation_t, i).at
        > ACCUSATION_MAX_AGE_MS)
      g_array_remove_index_fast (proxy->accusations, i);
  if (proxy->suspects != NULL)
    suspects_expire (proxy->suspects, now);
}

void
suspicion_clear (const request_t *request)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t now = clock_now ();
  suspect_t *suspect;

  if (proxy->suspects == NULL || suspects_count (proxy->suspects) == 0
      || request->exchange == NULL)
    return;
  suspect = suspects_set_served (proxy->suspects,
                                 compute_digest (request->exchange), now, now);
  if (suspect == NULL)
    return;
  suspect_log_write (proxy, suspect, request->id, "",
                     "a suspected request was answered");
  telemetry_counter_increment (TELEMETRY_SUSPECTS, 1);
  if (proxy->settings.suspect_changed != NULL)
    proxy->settings.suspect_changed (proxy->settings.context, suspect);
}
