/* Keys of tenants: who may send a request.  Allowances of tenants: how many a
   second.  */

#include "proxy_private.h"

#include <errno.h>
#include <limits.h>

/* Longest time for which a request waits for a candidate that is about to act
   as the keeper.  */
#define KEEPER_WAIT_MAX_MS 400

/* Requests of a tenant that wait for a token of its allowance.  */
typedef struct token_queue
{
  proxy_t *proxy;
  char *tenant;
  GQueue waiting[ALLOWANCE_RANKS]; /* request_t *, by rank */
  uint32_t asked[ALLOWANCE_RANKS]; /* tokens of the question that has no reply
                                      yet */
  ev_timer timer;                  /* ends the wait for a reply, or for a
                                      candidate that is about to act */
} token_queue_t;

static token_queue_t *get_queue (proxy_t *proxy, const char *tenant);
static bool is_empty (const token_queue_t *queue);
static int find_rank (const proxy_t *proxy, const route_t *route);
static void start_timer (token_queue_t *queue, clock_ms_t wait);
static void ask (token_queue_t *queue);
static void wait_for_keeper (token_queue_t *queue,
                             const allowance_reply_t *reply);
static void on_reply_timeout (struct ev_loop *loop, ev_timer *watcher,
                              int events);
static void let_first_go_on (token_queue_t *queue, int rank, int candidate);
static void refuse_first (token_queue_t *queue, int rank,
                          const allowance_reply_t *reply);
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
  /* Requests that arrive before the reply are asked for with the next
     question.  */
  if (allowance->asked_at == 0)
    ask (queue);
  return false;
}

static void
start_timer (token_queue_t *queue, clock_ms_t wait)
{
  ev_timer_stop (queue->proxy->loop, &queue->timer);
  ev_timer_set (&queue->timer, (double)wait / 1000.0, 0);
  ev_timer_start (queue->proxy->loop, &queue->timer);
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
  start_timer (queue, ALLOWANCE_REPLY_TIMEOUT_MS);
  proxy->settings.ask_allowance (proxy->settings.context, queue->tenant,
                                 &question);
}

/* Lets the request of a rank that waits longest look for an endpoint.
   @candidate: who has granted its token; 0: the keeper.  */
static void
let_first_go_on (token_queue_t *queue, int rank, int candidate)
{
  request_t *request = queue->waiting[rank].head->data;

  telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS,
                               candidate == 0 ? 0 : 1);
  request_dequeue (request);
  request->has_token = true;
  request_admit (request);
}

static void
refuse_first (token_queue_t *queue, int rank, const allowance_reply_t *reply)
{
  request_t *request = queue->waiting[rank].head->data;
  g_autofree char *detail = g_strdup_printf (
      reply->is_unanswered ? "no reply about the allowance of %s"
                           : "allowance of %s",
      queue->tenant);

  telemetry_counter_increment (TELEMETRY_ALLOWANCE_REQUESTS,
                               reply->is_unanswered ? 3 : 2);
  /* Clients that were refused together come back one after the other.  */
  request->retry_after
      = reply->wait / 2
        + (clock_ms_t)decide_rng_below (&queue->proxy->rng,
                                        (uint32_t)MAX (reply->wait, 1));
  request_refuse (request, TELEMETRY_OUTCOME_ALLOWANCE, detail);
}

/* Keeps the requests waiting until a candidate acts as the keeper, except
   those that have waited long.  */
static void
wait_for_keeper (token_queue_t *queue, const allowance_reply_t *reply)
{
  clock_ms_t now = clock_now ();

  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    while (queue->waiting[i].head != NULL
           && now
                      - ((const request_t *)queue->waiting[i].head->data)
                            ->admission.waiting_since
                  > KEEPER_WAIT_MAX_MS)
      refuse_first (queue, i, reply);
  if (!is_empty (queue))
    start_timer (queue, reply->acts_in);
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
  if (reply->is_unanswered && reply->acts_in > 0)
    {
      wait_for_keeper (queue, reply);
      return;
    }
  for (int i = 0; i < ALLOWANCE_RANKS; i++)
    {
      uint32_t asked = queue->asked[i];
      uint32_t granted = MIN (reply->granted[i], asked);

      queue->asked[i] = 0;
      for (uint32_t j = 0; j < granted; j++)
        if (queue->waiting[i].head != NULL)
          let_first_go_on (queue, i, allowance->asked);
        else
          allowance_put_back (allowance);
      for (uint32_t j = granted; reply->is_final && j < asked; j++)
        if (queue->waiting[i].head != NULL)
          refuse_first (queue, i, reply);
    }
  /* These have arrived since the question, or are for the next candidate.  */
  if (!is_empty (queue) && allowance->asked_at == 0)
    ask (queue);
}

/* The candidate has not replied: it has ended, or one of the two is cut off.
   The next one is asked, if there is one.  */
static void
on_reply_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  token_queue_t *queue = watcher->data;
  allowance_t *allowance
      = allowances_get (queue->proxy->allowances, queue->tenant);

  (void)loop;
  (void)events;
  if (allowance->asked_at != 0)
    allowance_handle_timeout (allowance, clock_now ());
  if (!is_empty (queue))
    ask (queue);
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
