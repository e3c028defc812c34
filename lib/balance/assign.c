#include "assign.h"

static gint compare_precedence (gconstpointer a, gconstpointer b,
                                gpointer data);
static bool is_better (const assign_request_t *request,
                       admission_decision_t result, double cost,
                       double best_cost);

static gint
compare_precedence (gconstpointer a, gconstpointer b, gpointer data)
{
  const assign_request_t *left = a;
  const assign_request_t *right = b;
  const clock_ms_t *now = data;

  if (admission_has_precedence (left->request, right->request, *now))
    return -1;
  return admission_has_precedence (right->request, left->request, *now) ? 1
                                                                        : 0;
}

/* Whether an endpoint with this admission decision and cost is better for the
   request than the best one so far, whose cost is @best_cost.  An endpoint to
   which the request may be sent now is better than one of lower cost for which
   it would have to wait.  */
static bool
is_better (const assign_request_t *request, admission_decision_t result,
           double cost, double best_cost)
{
  bool can_send = result == ADMISSION_SEND;
  bool best_can_send = request->result == ADMISSION_SEND;

  if (request->endpoint_index < 0 || can_send != best_can_send)
    return request->endpoint_index < 0 || can_send;
  return cost < best_cost;
}

void
assign_decide (backends_t *backends, assign_request_t *requests,
               int n_requests, backend_t *const *endpoints, int n_endpoints,
               clock_ms_t now)
{
  bool is_assigned[CHOOSE_ENDPOINTS_MAX] = { false };

  g_qsort_with_data (requests, n_requests, sizeof *requests,
                     compare_precedence, &now);
  for (int i = 0; i < n_requests; i++)
    {
      assign_request_t *request = &requests[i];
      double best_cost = 0;

      request->endpoint_index = -1;
      request->result = admission_decide (request->request, NULL, 0, now);
      for (int j = 0; j < n_endpoints; j++)
        {
          admission_decision_t result;
          double expected_response_ms;
          double cost;

          if (is_assigned[j]
              || choose_is_listed (backends, endpoints[j], request->excluded,
                                   request->n_excluded)
              || !choose_is_eligible (backends, endpoints[j], now))
            continue;
          cost = choose_cost (backends, endpoints[j],
                              request->request->service_time_ms, request->bulk,
                              now, &expected_response_ms);
          result = admission_decide (request->request, &endpoints[j]->load,
                                     expected_response_ms, now);
          if (!is_better (request, result, cost, best_cost))
            continue;
          request->endpoint_index = j;
          request->result = result;
          best_cost = cost;
        }
      if (request->result == ADMISSION_SEND)
        is_assigned[request->endpoint_index] = true;
    }
}
