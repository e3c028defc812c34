/* Log of the decisions on requests.  It is sampled and rate-limited.  */

#include "proxy_private.h"

/* No more decisions are appended to a request's trail once it is longer than
   this.  */
#define TRAIL_MAX_BYTES 600

static bool take_log_line (proxy_t *proxy, GLogLevelFlags level);
static void append_to_trail (request_t *request, clock_ms_t waited,
                             const char *outcome, const backend_t *backend,
                             const char *load, const char *detail);

/* Whether a line may be written.  Decisions at debug level are sampled first;
   then a line is taken from the rate limit, or counted as suppressed if none
   is left.  */
static bool
take_log_line (proxy_t *proxy, GLogLevelFlags level)
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
append_to_trail (request_t *request, clock_ms_t waited, const char *outcome,
                 const backend_t *backend, const char *load,
                 const char *detail)
{
  if (request->trail->len > TRAIL_MAX_BYTES)
    return;
  g_string_append_printf (request->trail, "%s%" G_GINT64_FORMAT "ms %s",
                          request->trail->len > 0 ? "; " : "", waited,
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
  clock_ms_t waited = now - request->arrived_at;
  char took[24];
  char rounds[16];
  char age[24];
  char load[64] = "";
  char version[24] = "";

  if (backend != NULL)
    (void)g_snprintf (
        load, sizeof load, "%u,%u,%u,%u age_ms=%" G_GINT64_FORMAT,
        backend->load.running, backend->load.waiting, backend->load.slots,
        backend->load.slowdown_percent,
        backend->load_reported_at == 0 ? -1 : now - backend->load_reported_at);
  append_to_trail (request, waited, outcome, backend, load, detail);
  if (!take_log_line (proxy, level))
    return;
  (void)g_snprintf (took, sizeof took, "%" G_GINT64_FORMAT, waited);
  (void)g_snprintf (rounds, sizeof rounds, "%d", request->rounds);
  (void)g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
                    request->arrived_at
                        - request->admission.first_requested_at);
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
      "CONFIG_VERSION", version, "MS", took, "ROUNDS", rounds, "CALLER_AGE_MS",
      age, "DETAIL", detail != NULL ? detail : "", "TRAIL",
      request->trail->str, "MESSAGE", "%s", outcome);
}
