#include "assign.h"

static gint compare (gconstpointer a, gconstpointer b, gpointer data);
static bool is_better (const assign_request_t *request, admission_t result,
                       double cost, double best_cost);

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const assign_request_t *left = a;
  const assign_request_t *right = b;
  const clock_ms_t *now = data;

  if (admission_before (left->request, right->request, *now))
    return -1;
  return admission_before (right->request, left->request, *now) ? 1 : 0;
}

/* An endpoint that the request may be sent to is better than a faster one that
   has no room.  */
static bool
is_better (const assign_request_t *request, admission_t result, double cost,
           double best_cost)
{
  bool sends = result == ADMISSION_SEND;
  bool sent = request->result == ADMISSION_SEND;

  if (request->endpoint < 0 || sends != sent)
    return request->endpoint < 0 || sends;
  return cost < best_cost;
}

void
assign_decide (backends_t *backends, assign_request_t *requests,
               int n_requests, backend_t *const *endpoints, int n_endpoints,
               clock_ms_t now)
{
  bool used[CHOOSE_MAX] = { false };

  g_qsort_with_data (requests, n_requests, sizeof *requests, compare, &now);
  for (int i = 0; i < n_requests; i++)
    {
      assign_request_t *request = &requests[i];
      double best_cost = 0;

      request->endpoint = -1;
      request->result = admission_decide (request->request, NULL, 0, now);
      for (int j = 0; j < n_endpoints; j++)
        {
          admission_t result;
          double time;
          double cost;

          if (used[j]
              || choose_is_listed (backends, endpoints[j], request->excluded,
                                   request->n_excluded)
              || !choose_allows (backends, endpoints[j], now))
            continue;
          cost = choose_cost (backends, endpoints[j], request->request->base,
                              request->bulk, now, &time);
          result = admission_decide (request->request, &endpoints[j]->load,
                                     time, now);
          if (!is_better (request, result, cost, best_cost))
            continue;
          request->endpoint = j;
          request->result = result;
          best_cost = cost;
        }
      if (request->result == ADMISSION_SEND)
        used[request->endpoint] = true;
    }
}
