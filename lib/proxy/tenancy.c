/* Keys of tenants: who may send a request.  Allowances of tenants: how many a
   second.  */

#include "proxy_private.h"

#include <errno.h>
#include <limits.h>

/* Time after which the clients of a tenant whose keeper does not reply may
   come back.  */
#define NO_KEEPER_WAIT_MS 300

/* Requests of a tenant that wait for a token of its allowance.  */
typedef struct token_queue
{
  proxy_t *proxy;
  char *tenant;
  GQueue waiting[ALLOWANCE_RANKS]; /* request_t *, by rank */
  uint32_t asked[ALLOWANCE_RANKS]; /* tokens of the question that has no reply
                                      yet */
  ev_timer timer;                  /* ends the wait for the keeper's reply */
} token_queue_t;

static token_queue_t *get_queue (proxy_t *proxy, const char *tenant);
static bool is_empty (const token_queue_t *queue);
static int find_rank (const proxy_t *proxy, const route_t *route);
static void ask (token_queue_t *queue);
static void go_on_alone (token_queue_t *queue);
static void on_reply_timeout (struct ev_loop *loop, ev_timer *watcher,
                              int events);
static void let_first_go_on (token_queue_t *queue, int rank, bool by_keeper);
static void refuse_first (token_queue_t *queue, int rank, clock_ms_t wait);
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
  ev_init (&queue->timer, on_reply_timeout);
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

static bool
is_empty (const token_queue_t *queue)
{
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    if (queue->waiting[i].length > 0)
      return false;
  return true;
}

void
tenancy_rank_routes (proxy_t *proxy, const routes_t *routes)
{
  int *priorities = proxy->route_priorities;

  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      priorities[i] = INT_MAX;
      for (guint j = 0; j < routes->routes->len; j++)
        {
          const route_t *route = g_ptr_array_index (routes->routes, j);

          if (i == 0 || route->priority > priorities[i - 1])
            priorities[i] = MIN (priorities[i], route->priority);
        }
    }
}

/* Returns the rank of a route's requests among those of their tenant.  */
static int
find_rank (const proxy_t *proxy, const route_t *route)
{
  int rank = 0;

  while (rank < ALLOWANCE_RANKS - 1
         && route->priority > proxy->route_priorities[rank])
    rank++;
  return rank;
}

bool
tenancy_admit (request_t *request, const route_t *route,
               const tenant_t *tenant)
{
  proxy_t *proxy = request->proxy;
  allowance_t *allowance;
  token_queue_t *queue;

  if (tenant == NULL || proxy->allowances == NULL
      || !tenant_is_limited (tenant))
    return true;
  allowance = allowances_get (proxy->allowances, tenant->name);
  request->tenant = g_strdup (tenant->name);
  request->rank = find_rank (proxy, route);
  queue = get_queue (proxy, tenant->name);
  request->queue = &queue->waiting[request->rank];
  g_queue_push_tail_link (request->queue, &request->link);
  if (allowance_is_alone (allowance, clock_now ()))
    go_on_alone (queue);
  /* Requests that arrive before the reply are asked for with the next
     question.  */
  else if (allowance->asked_at == 0)
    ask (queue);
  return false;
}

/* Asks the keeper for tokens for all requests that wait.  They may be gone
   when the function returns.  */
static void
ask (token_queue_t *queue)
{
  proxy_t *proxy = queue->proxy;
  allowance_ask_t question = { 0 };

  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      question.wanted[i] = queue->waiting[i].length;
      queue->asked[i] = question.wanted[i];
    }
  ev_timer_stop (proxy->loop, &queue->timer);
  ev_timer_set (&queue->timer, ALLOWANCE_REPLY_TIMEOUT_MS / 1000.0, 0);
  ev_timer_start (proxy->loop, &queue->timer);
  proxy->settings.ask_allowance (proxy->settings.context, queue->tenant,
                                 &question);
}

/* Lets the request of a rank that waits longest look for an endpoint.  */
static void
let_first_go_on (token_queue_t *queue, int rank, bool by_keeper)
{
  request_t *request = queue->waiting[rank].head->data;

  telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS,
                               by_keeper ? 0 : 1);
  request_dequeue (request);
  request->has_token = by_keeper;
  request_admit (request);
}

static void
refuse_first (token_queue_t *queue, int rank, clock_ms_t wait)
{
  request_t *request = queue->waiting[rank].head->data;
  g_autofree char *detail = g_strdup_printf ("allowance of %s", queue->tenant);

  telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS, 2);
  /* Clients that were refused together come back one after the other.  */
  request->retry_after = wait / 2
                         + (clock_ms_t)decide_rng_below (
                             &queue->proxy->rng, (uint32_t)MAX (wait, 1));
  request_refuse (request, TELEMETRY_OUTCOME_ALLOWANCE, detail);
}

static void
refuse_all (token_queue_t *queue, clock_ms_t wait)
{
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    while (queue->waiting[i].head != NULL)
      refuse_first (queue, i, wait);
}

void
proxy_handle_allowance (proxy_t *proxy, const char *tenant,
                        const allowance_reply_t *reply)
{
  token_queue_t *queue = g_hash_table_lookup (proxy->queues, tenant);
  allowance_t *allowance = allowances_get (proxy->allowances, tenant);

  if (queue == NULL)
    return;
  ev_timer_stop (proxy->loop, &queue->timer);
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      uint32_t asked = queue->asked[i];
      uint32_t granted = MIN (reply->granted[i], asked);

      queue->asked[i] = 0;
      for (uint32_t j = 0; j < granted; j++)
        if (queue->waiting[i].head != NULL)
          let_first_go_on (queue, i, true);
        else
          allowance_put_back (allowance);
      for (uint32_t j = granted; j < asked; j++)
        if (queue->waiting[i].head != NULL)
          refuse_first (queue, i, reply->wait);
    }
  /* These have arrived since the question.  */
  if (!is_empty (queue) && allowance->asked_at == 0)
    ask (queue);
}

/* Admits the requests that wait by this instance's share of the rate, and
   refuses the others.  */
static void
go_on_alone (token_queue_t *queue)
{
  proxy_t *proxy = queue->proxy;
  allowance_t *allowance = allowances_get (proxy->allowances, queue->tenant);
  const tenant_t *tenant = routes_get_tenant (proxy->routes, queue->tenant);

  for (int i = 0; tenant != NULL && i < ALLOWANCE_RANKS; i++)
    while (queue->waiting[i].head != NULL
           && allowance_take_alone (allowance, tenant, proxy->instance_count,
                                    clock_now ()))
      let_first_go_on (queue, i, false);
  refuse_all (queue, NO_KEEPER_WAIT_MS);
}

/* The keeper has not replied: it has ended, or one of the two is cut off.  */
static void
on_reply_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  token_queue_t *queue = watcher->data;

  (void)loop;
  (void)events;
  allowance_handle_timeout (
      allowances_get (queue->proxy->allowances, queue->tenant), clock_now ());
  go_on_alone (queue);
}

void
tenancy_release_token (request_t *request)
{
  proxy_t *proxy = request->proxy;

  if (request->has_token && request->n_tried == 0)
    allowance_put_back (allowances_get (proxy->allowances, request->tenant));
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

      for (int i = 0; i < ALLOWANCE_RANKS; i++)
        while (queue->waiting[i].head != NULL)
          request_end_unfinished (queue->waiting[i].head->data);
    }
}

void
tenancy_drop_idle (proxy_t *proxy)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, proxy->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_empty (value) && !ev_is_active (&((token_queue_t *)value)->timer))
      g_hash_table_iter_remove (&iter);
}
