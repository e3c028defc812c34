/* One log line for each decision on a request, within a rate.  */

#include "proxy_private.h"

static bool may_log (proxy_t *proxy, GLogLevelFlags level);

/* Unremarkable decisions are sampled; others are bounded by a rate, and what
   was left out is counted.  */
static bool
may_log (proxy_t *proxy, GLogLevelFlags level)
{
  if (level == G_LOG_LEVEL_DEBUG
      && decide_rng_below (&proxy->rng, 1000)
             >= (uint32_t)(proxy->settings.log_sample * 1000))
    return false;
  if (proxy->log_left == 0)
    {
      proxy->log_suppressed++;
      return false;
    }
  proxy->log_left--;
  return true;
}

void
decision_log (request_t *request, GLogLevelFlags level, const char *outcome,
              const backend_t *backend, const char *detail)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t now = clock_now ();
  char waited[24];
  char load[64] = "";
  char version[24] = "";

  if (!may_log (proxy, level))
    return;
  (void)g_snprintf (waited, sizeof waited, "%" G_GINT64_FORMAT,
                    request->exchange != NULL
                        ? now - request->exchange->arrived
                        : now - request->admission.arrived);
  if (proxy->routes != NULL)
    (void)g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT,
                      proxy->routes->version);
  if (backend != NULL)
    (void)g_snprintf (load, sizeof load,
                      "%u,%u,%u,%u age_ms=%" G_GINT64_FORMAT,
                      backend->load.running, backend->load.waiting,
                      backend->load.slots, backend->load.pace,
                      backend->load_at == 0 ? -1 : now - backend->load_at);
  g_log_structured (
      "proxy", level == G_LOG_LEVEL_DEBUG ? G_LOG_LEVEL_INFO : level,
      "REQUEST", request->id, "ROUTE", request->route, "SERVICE",
      request->service >= 0
          ? backends_service_get (proxy->backends, request->service)->name
          : "",
      "ENDPOINT", backend != NULL ? backend->entry.id : "", "LOAD", load,
      "CONFIG_VERSION", version, "MS", waited, "DETAIL",
      detail != NULL ? detail : "", "MESSAGE", "%s", outcome);
}
