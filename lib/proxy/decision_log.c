/* Log of the events and decisions in the processing of requests, such as a
   failed attempt or a refusal.  It is sampled and rate-limited.  */

#include "proxy_private.h"

/* Length of a request's trail above which no more decisions are appended to
   it.  */
#define TRAIL_MAX_BYTES 600

static bool reserve_log_line (proxy_t *proxy, GLogLevelFlags level);
static void append_to_trail (request_t *request, clock_ms_t elapsed,
                             const char *outcome, const backend_t *backend,
                             const char *load, const char *detail);

/* Whether a log line may be written.  If so, the line is counted for the rate
   limit.  Only a sample of the decisions at debug level may be written; lines
   that exceed the rate limit are counted as suppressed.  */
static bool
reserve_log_line (proxy_t *proxy, GLogLevelFlags level)
{
  if (level == G_LOG_LEVEL_DEBUG
      && decide_rng_below (&proxy->rng, 1000)
             >= (uint32_t)(proxy->settings.log_sample_share * 1000))
    return false;
  if (proxy->log_lines_left == 0)
    {
      proxy->log_suppressed++;
      return false;
    }
  proxy->log_lines_left--;
  return true;
}

/* Appends a decision to the request's trail, which each of its log lines
   contains.  The trail shows the cause of a failure or a late response even
   though decisions at debug level are only sampled.  */
static void
append_to_trail (request_t *request, clock_ms_t elapsed, const char *outcome,
                 const backend_t *backend, const char *load,
                 const char *detail)
{
  if (request->trail->len > TRAIL_MAX_BYTES)
    return;
  g_string_append_printf (request->trail, "%s%" G_GINT64_FORMAT "ms %s",
                          request->trail->len > 0 ? "; " : "", elapsed,
                          outcome);
  if (backend != NULL)
    g_string_append_printf (request->trail, " %s load %s", backend->entry.id,
                            load);
  if (detail != NULL)
    g_string_append_printf (request->trail, " (%s)", detail);
}

void
decision_log_write (request_t *request, GLogLevelFlags level,
                    const char *outcome, const backend_t *backend,
                    const char *detail)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t now = clock_now ();
  clock_ms_t elapsed = now - request->arrived_at;
  char elapsed_text[24];
  char rounds_text[16];
  char caller_age_text[24];
  char load[64] = "";
  char version[24] = "";

  if (backend != NULL)
    (void)g_snprintf (
        load, sizeof load, "%u,%u,%u,%u age_ms=%" G_GINT64_FORMAT,
        backend->load.running, backend->load.waiting, backend->load.slots,
        backend->load.slowdown_percent,
        backend->load_reported_at == 0 ? -1 : now - backend->load_reported_at);
  append_to_trail (request, elapsed, outcome, backend, load, detail);
  if (!reserve_log_line (proxy, level))
    return;
  (void)g_snprintf (elapsed_text, sizeof elapsed_text, "%" G_GINT64_FORMAT,
                    elapsed);
  (void)g_snprintf (rounds_text, sizeof rounds_text, "%d", request->rounds);
  (void)g_snprintf (
      caller_age_text, sizeof caller_age_text, "%" G_GINT64_FORMAT,
      request->arrived_at - request->admission.first_requested_at);
  if (proxy->routes != NULL)
    (void)g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT,
                      proxy->routes->version);
  g_log_structured (
      "proxy", level == G_LOG_LEVEL_DEBUG ? G_LOG_LEVEL_INFO : level,
      "REQUEST", request->id, "ROUTE", request->route, "SERVICE",
      request->service >= 0
          ? backends_service_get (proxy->backends, request->service)->name
          : "",
      "ENDPOINT", backend != NULL ? backend->entry.id : "", "LOAD", load,
      "CONFIG_VERSION", version, "MS", elapsed_text, "ROUNDS", rounds_text,
      "CALLER_AGE_MS", caller_age_text, "DETAIL", detail != NULL ? detail : "",
      "TRAIL", request->trail->str, "MESSAGE", "%s", outcome);
}

void
limit_log_write (proxy_t *proxy, const backend_t *backend,
                 rate_limit_source_t source, const char *event)
{
  char per_s[G_ASCII_DTOSTR_BUF_SIZE];

  if (!reserve_log_line (proxy, G_LOG_LEVEL_INFO))
    return;
  g_log_structured ("proxy", G_LOG_LEVEL_INFO, "ENDPOINT", backend->entry.id,
                    "SERVICE", backend->entry.service, "LIMIT_PER_S",
                    g_ascii_formatd (per_s, sizeof per_s, "%g",
                                     backend->rate_limit.statement.per_s),
                    "SOURCE", source == RATE_LIMIT_PROBE ? "probe" : "request",
                    "MESSAGE", "%s", event);
}

void
suspect_log_write (proxy_t *proxy, const suspect_t *suspect,
                   const char *request_id, const char *endpoint_id,
                   const char *event)
{
  char digest[24];
  char endings[16];

  if (!reserve_log_line (proxy, G_LOG_LEVEL_MESSAGE))
    return;
  (void)g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
                    suspect->digest);
  (void)g_snprintf (endings, sizeof endings, "%d", suspect->n_endings);
  g_log_structured ("proxy", G_LOG_LEVEL_MESSAGE, "REQUEST", request_id,
                    "ENDPOINT", endpoint_id, "DIGEST", digest, "ENDINGS",
                    endings, "MESSAGE", "%s", event);
}

void
statement_log_write (proxy_t *proxy, const backend_t *backend,
                     const char *event)
{
  if (!reserve_log_line (proxy, G_LOG_LEVEL_INFO))
    return;
  g_log_structured ("proxy", G_LOG_LEVEL_INFO, "ENDPOINT", backend->entry.id,
                    "SERVICE", backend->entry.service, "MESSAGE", "%s", event);
}
