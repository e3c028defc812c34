/* Keys of tenants: who may send a request.  Allowances of tenants: how many a
   second.  */

#include "proxy_private.h"

#include <errno.h>

/* Requests of a tenant that wait for a token of its allowance.  */
typedef struct token_queue
{
  proxy_t *proxy;
  char *tenant;
  GQueue waiting; /* request_t * */
  ev_timer timer; /* ends the wait for the keeper's reply */
} token_queue_t;

static token_queue_t *get_queue (proxy_t *proxy, const char *tenant);
static void ask (token_queue_t *queue);
static void on_reply_timeout (struct ev_loop *loop, ev_timer *watcher,
                              int events);
static void let_first_go_on (token_queue_t *queue, bool by_keeper);
static void refuse_all (token_queue_t *queue, clock_ms_t wait);
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

static token_queue_t *
get_queue (proxy_t *proxy, const char *tenant)
{
  token_queue_t *queue = g_hash_table_lookup (proxy->queues, tenant);

  if (queue != NULL)
    return queue;
  queue = g_new0 (token_queue_t, 1);
  queue->proxy = proxy;
  queue->tenant = g_strdup (tenant);
  g_queue_init (&queue->waiting);
  ev_timer_init (&queue->timer, on_reply_timeout,
                 ALLOWANCE_REPLY_TIMEOUT_MS / 1000.0, 0);
  queue->timer.data = queue;
  g_hash_table_insert (proxy->queues, g_strdup (tenant), queue);
  return queue;
}

void
tenancy_free_queue (gpointer data)
{
  token_queue_t *queue = data;

  ev_timer_stop (queue->proxy->loop, &queue->timer);
  g_free (queue->tenant);
  g_free (queue);
}

bool
tenancy_admit (request_t *request, const tenant_t *tenant)
{
  proxy_t *proxy = request->proxy;
  allowance_t *allowance;
  token_queue_t *queue;
  clock_ms_t now = clock_now ();

  if (tenant == NULL || proxy->allowances == NULL
      || !tenant_is_limited (tenant))
    return true;
  allowance = allowances_get (proxy->allowances, tenant->name);
  allowance_add_request (allowance, now);
  request->tenant = g_strdup (tenant->name);
  if (allowance_take (allowance, now))
    {
      telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS, 0);
      request->has_token = true;
      return true;
    }
  queue = get_queue (proxy, tenant->name);
  request->queue = &queue->waiting;
  g_queue_push_tail_link (request->queue, &request->link);
  /* Requests that arrive before the reply are asked for with the next
     question.  */
  if (allowance->asked_at == 0)
    ask (queue);
  return false;
}

/* Asks the keeper for tokens for all requests that wait.  They may be gone
   when the function returns.  */
static void
ask (token_queue_t *queue)
{
  proxy_t *proxy = queue->proxy;
  const tenant_t *tenant = routes_get_tenant (proxy->routes, queue->tenant);

  /* The tenant has just been removed from the configuration.  */
  if (tenant == NULL)
    {
      refuse_all (queue, 0);
      return;
    }
  ev_timer_stop (proxy->loop, &queue->timer);
  ev_timer_set (&queue->timer, ALLOWANCE_REPLY_TIMEOUT_MS / 1000.0, 0);
  ev_timer_start (proxy->loop, &queue->timer);
  proxy->settings.ask_allowance (proxy->settings.context, tenant,
                                 queue->waiting.length);
}

/* Lets the request that waits longest look for an endpoint.  */
static void
let_first_go_on (token_queue_t *queue, bool by_keeper)
{
  request_t *request = queue->waiting.head->data;

  telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS,
                               by_keeper ? 0 : 1);
  request_dequeue (request);
  request->has_token = by_keeper;
  request_admit (request);
}

static void
refuse_all (token_queue_t *queue, clock_ms_t wait)
{
  while (queue->waiting.head != NULL)
    {
      request_t *request = queue->waiting.head->data;

      telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS, 2);
      /* Clients that were refused together come back one after the other.  */
      request->retry_after = wait / 2
                             + (clock_ms_t)decide_rng_below (
                                 &queue->proxy->rng, (uint32_t)MAX (wait, 1));
      request_refuse (request, TELEMETRY_OUTCOME_ALLOWANCE, queue->tenant);
    }
}

void
proxy_handle_allowance (proxy_t *proxy, const char *tenant, clock_ms_t wait)
{
  token_queue_t *queue = g_hash_table_lookup (proxy->queues, tenant);
  allowance_t *allowance = allowances_get (proxy->allowances, tenant);

  if (queue == NULL)
    return;
  ev_timer_stop (proxy->loop, &queue->timer);
  while (queue->waiting.head != NULL
         && allowance_take (allowance, clock_now ()))
    let_first_go_on (queue, true);
  if (wait > 0)
    refuse_all (queue, wait);
  /* These have arrived since the question.  */
  else if (queue->waiting.head != NULL)
    ask (queue);
}

/* The keeper has not replied: it has ended, or one of the two is cut off.  */
static void
on_reply_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  token_queue_t *queue = watcher->data;
  proxy_t *proxy = queue->proxy;
  allowance_t *allowance = allowances_get (proxy->allowances, queue->tenant);
  const tenant_t *tenant = routes_get_tenant (proxy->routes, queue->tenant);

  (void)loop;
  (void)events;
  allowance->asked_at = 0;
  while (tenant != NULL && queue->waiting.head != NULL
         && allowance_take_alone (allowance, tenant, proxy->instance_count,
                                  clock_now ()))
    let_first_go_on (queue, false);
  refuse_all (queue, ALLOWANCE_TOKEN_MS);
}

void
tenancy_release_token (request_t *request)
{
  proxy_t *proxy = request->proxy;

  if (request->has_token && request->n_tried == 0)
    allowance_put_back (allowances_get (proxy->allowances, request->tenant),
                        clock_now ());
  request->has_token = false;
}

void
tenancy_end_requests (proxy_t *proxy)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      token_queue_t *queue = value;

      while (queue->waiting.head != NULL)
        request_end_unfinished (queue->waiting.head->data);
    }
}

void
tenancy_drop_idle (proxy_t *proxy)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((token_queue_t *)value)->waiting.length == 0)
      g_hash_table_iter_remove (&iter);
}
