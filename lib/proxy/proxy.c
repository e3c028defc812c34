/* The proxy object: its creation, its configuration, its callbacks for the
   HTTP server and its periodic work.  */

#include "proxy_private.h"

#include <string.h>

/* Interval at which expired idle connections are closed and the rate limit of
   the log is refilled.  */
#define HOUSEKEEPING_INTERVAL_S 0.25
/* Number of housekeeping intervals in a second.  */
#define HOUSEKEEPING_PER_S 4

static void on_request (void *context, exchange_t *exchange);
static void on_client_disconnected (void *context, exchange_t *exchange);
static void on_output_drained (void *context, exchange_t *exchange);
static void on_housekeeping (struct ev_loop *loop, ev_timer *watcher,
                             int events);
static void count_limited_endpoints (const proxy_t *proxy);
static void on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events);

proxy_t *
proxy_new (struct ev_loop *loop, const proxy_settings_t *settings,
           backends_t *backends)
{
  proxy_t *proxy = g_new0 (proxy_t, 1);

  proxy->loop = loop;
  proxy->settings = *settings;
  proxy->backends = backends;
  proxy->pools = g_ptr_array_new ();
  proxy->uplinks = g_ptr_array_new ();
  proxy->accusations = suspicion_new_accusations ();
  proxy->route_states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               request_free_route_state);
  proxy->instance_count = 1;
  proxy->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         tenancy_free_queue);
  proxy->log_lines_left = settings->log_lines_per_s;
  decide_rng_seed (&proxy->rng, (uint64_t)g_get_monotonic_time ()
                                    ^ (uint64_t)(uintptr_t)proxy);
  ev_timer_init (&proxy->housekeeping_timer, on_housekeeping,
                 HOUSEKEEPING_INTERVAL_S, HOUSEKEEPING_INTERVAL_S);
  proxy->housekeeping_timer.data = proxy;
  ev_timer_start (loop, &proxy->housekeeping_timer);
  ev_prepare_init (&proxy->cleanup_watcher, on_prepare);
  proxy->cleanup_watcher.data = proxy;
  ev_prepare_start (loop, &proxy->cleanup_watcher);
  return proxy;
}

void
proxy_free (proxy_t *proxy)
{
  ev_timer_stop (proxy->loop, &proxy->housekeeping_timer);
  ev_prepare_stop (proxy->loop, &proxy->cleanup_watcher);
  pools_free (proxy);
  uplinks_free_closed (proxy);
  g_ptr_array_free (proxy->uplinks, TRUE);
  g_array_unref (proxy->accusations);
  g_hash_table_destroy (proxy->route_states);
  g_hash_table_destroy (proxy->queues);
  for (int i = 0; i < backends_service_count (proxy->backends); i++)
    {
      service_t *service = backends_service_get (proxy->backends, i);

      if (service->user != NULL)
        probe_round_stop_timer (service->user);
      g_free (service->user);
      service->user = NULL;
    }
  g_free (proxy);
}

server_hooks_t
proxy_get_hooks (proxy_t *proxy)
{
  return (server_hooks_t){ .request = on_request,
                           .disconnected = on_client_disconnected,
                           .output_drained = on_output_drained,
                           .context = proxy };
}

static void
on_request (void *context, exchange_t *exchange)
{
  request_start (context, exchange);
}

static void
on_client_disconnected (void *context, exchange_t *exchange)
{
  (void)context;
  if (exchange->user == NULL)
    exchange_release (exchange);
  else
    request_handle_disconnect (exchange->user);
}

static void
on_output_drained (void *context, exchange_t *exchange)
{
  request_t *request = exchange->user;

  (void)context;
  if (request == NULL || request->state != REQUEST_STREAMING)
    return;
  for (int i = 0; i < request->n_uplinks; i++)
    if (!request->uplinks[i]->is_reading)
      uplink_pause (request->uplinks[i], false);
}

void
proxy_set_routes (proxy_t *proxy, const routes_t *routes)
{
  proxy->routes = routes;
  for (guint i = 0; i < routes->services->len; i++)
    {
      const service_rules_t *rules = g_ptr_array_index (routes->services, i);
      service_index_t index
          = backends_ensure_service (proxy->backends, rules->name);
      service_t *service = backends_service_get (proxy->backends, index);

      g_free (service->health_path);
      service->health_path = g_strdup (rules->health_path);
      service->connections_max = rules->connections_max;
      service->cold_per_s = rules->cold_per_s;
      backends_sync_canary (proxy->backends, index);
    }
  proxy->least_urgent_priority = 0;
  for (guint i = 0; i < routes->routes->len; i++)
    {
      const route_t *route = g_ptr_array_index (routes->routes, i);

      proxy->least_urgent_priority
          = MAX (proxy->least_urgent_priority, route->priority);
    }
  for (guint i = 0; i < routes->tenants->len; i++)
    {
      const tenant_t *tenant = g_ptr_array_index (routes->tenants, i);

      proxy->least_urgent_priority
          = MAX (proxy->least_urgent_priority, tenant->priority);
    }
  tenancy_rank_routes (proxy, routes);
  if (!proxy->is_holding)
    request_route_all_unrouted (proxy);
}

void
proxy_set_retry_rules (proxy_t *proxy, const retry_budget_rules_t *rules)
{
  proxy->settings.retry_rules = *rules;
}

void
proxy_hold (proxy_t *proxy, bool hold)
{
  proxy->is_holding = hold;
  if (!hold && proxy->routes != NULL)
    request_route_all_unrouted (proxy);
}

void
proxy_set_suspects (proxy_t *proxy, suspects_t *suspects)
{
  proxy->suspects = suspects;
}

void
proxy_set_allowances (proxy_t *proxy, allowances_t *allowances)
{
  proxy->allowances = allowances;
}

void
proxy_set_rollouts (proxy_t *proxy, rollouts_t *rollouts, counts_t *counts)
{
  proxy->rollouts = rollouts;
  proxy->counts = counts;
}

void
proxy_set_probe_limit (proxy_t *proxy, double probes_per_s)
{
  proxy->settings.probes_per_s = probes_per_s;
}

void
proxy_set_instance_count (proxy_t *proxy, int count)
{
  proxy->instance_count = MAX (count, 1);
}

int
proxy_count_in_flight (const proxy_t *proxy)
{
  return proxy->in_flight;
}

void
proxy_stop (proxy_t *proxy, clock_ms_t refuse_from, clock_ms_t answer_by)
{
  proxy->is_stopping = true;
  proxy->refuse_from = refuse_from;
  proxy->answer_by = answer_by;
}

void
proxy_end_requests (proxy_t *proxy)
{
  /* The end of a request may start another one on its connection, which is
     refused, and closes connections to endpoints, so that the table of them is
     read anew each time.  */
  for (guint i = 0; i < proxy->uplinks->len;)
    {
      const uplink_t *uplink = g_ptr_array_index (proxy->uplinks, i);

      if (uplink->request == NULL)
        i++;
      else
        request_end_unfinished (uplink->request);
    }
  for (int i = 0; i < backends_service_count (proxy->backends); i++)
    {
      service_state_t *state = service_state_get (proxy, (service_index_t)i);

      while (state->waiting.head != NULL)
        request_end_unfinished (state->waiting.head->data);
    }
  while (proxy->unrouted.head != NULL)
    request_end_unfinished (proxy->unrouted.head->data);
  tenancy_end_requests (proxy);
}

void
proxy_close_stale_connections (proxy_t *proxy)
{
  pools_close_expired (proxy, clock_now ());
}

static void
count_limited_endpoints (const proxy_t *proxy)
{
  uint32_t position = 0;
  int64_t count = 0;

  for (const backend_t *backend = backends_next (proxy->backends, &position);
       backend != NULL; backend = backends_next (proxy->backends, &position))
    count += backend->rate_limit.statement.is_limited ? 1 : 0;
  telemetry_gauge_set (TELEMETRY_LIMITED_ENDPOINTS, count);
}

static void
on_housekeeping (struct ev_loop *loop, ev_timer *watcher, int events)
{
  proxy_t *proxy = watcher->data;

  (void)loop;
  (void)events;
  pools_close_expired (proxy, clock_now ());
  tenancy_drop_idle (proxy);
  count_limited_endpoints (proxy);
  suspicion_expire (proxy, clock_now ());
  proxy->log_lines_left
      = MIN (proxy->log_lines_left
                 + proxy->settings.log_lines_per_s / HOUSEKEEPING_PER_S + 1,
             proxy->settings.log_lines_per_s);
  if (proxy->log_suppressed > 0)
    {
      g_log_structured ("proxy", G_LOG_LEVEL_WARNING, "MESSAGE",
                        "%" G_GUINT64_FORMAT
                        " decision log lines suppressed by the rate limit",
                        proxy->log_suppressed);
      proxy->log_suppressed = 0;
    }
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  uplinks_free_closed (watcher->data);
}
