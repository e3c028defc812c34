/* End of a request: delivery of a response, refusal or failure.  */

#include "proxy_private.h"

#include <string.h>

/* Value of Retry-After for a request that is refused because the instance has
   no configuration yet.  */
#define RETRY_AFTER_UNROUTED_MS 1000

static clock_ms_t compute_retry_after (request_t *request,
                                       telemetry_outcome_t outcome);
static void respond_and_free (request_t *request, int status,
                              const char *reason, const char *fields,
                              const char *body);

void
request_free (request_t *request)
{
  proxy_t *proxy = request->proxy;

  proxy->in_flight--;
  telemetry_gauge_set (TELEMETRY_IN_FLIGHT, proxy->in_flight);
  ev_timer_stop (proxy->loop, &request->deadline_timer);
  ev_timer_stop (proxy->loop, &request->hedge_timer);
  probe_round_cancel_hedge (request);
  request_dequeue (request);
  tenancy_release_token (request);
  request_cancel_uplinks (request, NULL);
  if (request->exchange != NULL)
    {
      request->exchange->user = NULL;
      if (request->client_disconnected)
        exchange_release (request->exchange);
    }
  response_clear (&request->error_response);
  g_string_free (request->fields, TRUE);
  g_string_free (request->trail, TRUE);
  g_free (request->id);
  g_free (request->route);
  g_free (request->tenant);
  g_free (request);
}

/* Frees the request and responds to its client with a short text.  The
   exchange is ended last, because that may start the connection's next request
   or free the exchange.  */
static void
respond_and_free (request_t *request, int status, const char *reason,
                  const char *fields, const char *body)
{
  exchange_t *exchange = request->exchange;
  bool is_disconnected = request->client_disconnected;

  if (!is_disconnected)
    {
      exchange->user = NULL;
      request->exchange = NULL;
    }
  request_free (request);
  if (!is_disconnected)
    exchange_respond (exchange, status, reason, fields, body, strlen (body));
}

void
request_deliver (request_t *request, response_t *response)
{
  exchange_t *exchange = request->exchange;
  clock_ms_t elapsed = clock_now () - request->arrived_at;
  bool streaming = request->state == REQUEST_STREAMING;
  response_t delivered = *response;

  *response = (response_t){ 0 };
  telemetry_counter_increment (TELEMETRY_ROUTED,
                               delivered.status < 500
                                   ? TELEMETRY_OUTCOME_ANSWERED
                                   : TELEMETRY_OUTCOME_ENDPOINT_FAILED);
  telemetry_histogram_observe (TELEMETRY_ANSWERED_US, elapsed * 1000);
  if (elapsed > request->admission.target)
    decision_log_write (request, G_LOG_LEVEL_INFO, "answered late", NULL,
                        NULL);
  if (request->client_disconnected)
    {
      request_free (request);
      response_clear (&delivered);
      return;
    }
  exchange->user = NULL;
  request->exchange = NULL;
  request_free (request);
  if (streaming)
    exchange_end_response (exchange);
  else
    exchange_respond_take (exchange, delivered.status, delivered.reason->str,
                           delivered.fields->str,
                           g_steal_pointer (&delivered.body));
  response_clear (&delivered);
}

/* Returns the delay that Retry-After states, in ms.  */
static clock_ms_t
compute_retry_after (request_t *request, telemetry_outcome_t outcome)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t declined_delay;

  /* This instance is stopping; the client can go to another one at once.  */
  if (outcome == TELEMETRY_OUTCOME_STOPPING)
    return 0;
  if (request->service < 0)
    return RETRY_AFTER_UNROUTED_MS;
  if (outcome == TELEMETRY_OUTCOME_LIMITED
      || outcome == TELEMETRY_OUTCOME_ALLOWANCE)
    return request->retry_after;
  declined_delay = permits_get_declined_delay (request);
  if (declined_delay != 0)
    return declined_delay;
  return admission_retry_after_ms (outcome == TELEMETRY_OUTCOME_NOT_RUN,
                                   request->admission.service_time_ms,
                                   &proxy->rng);
}

void
request_refuse (request_t *request, telemetry_outcome_t outcome,
                const char *detail)
{
  char fields[64];
  clock_ms_t delay = compute_retry_after (request, outcome);

  /* The refusal states that the request has not run, so a request that may
     have run must not be refused.  */
  if (request->has_error_response)
    {
      request_deliver (request, &request->error_response);
      return;
    }
  if (request->may_have_run)
    {
      request_fail (request, TELEMETRY_OUTCOME_BROKEN, detail);
      return;
    }
  telemetry_counter_increment (TELEMETRY_ROUTED, outcome);
  telemetry_histogram_observe (TELEMETRY_REFUSED_US,
                               (clock_now () - request->arrived_at) * 1000);
  decision_log_write (request, G_LOG_LEVEL_MESSAGE, "refused", NULL,
                      detail != NULL ? detail
                                     : telemetry_outcome_name (outcome));
  (void)g_snprintf (fields, sizeof fields, "Retry-After: %d.%03d\r\n",
                    (int)(delay / 1000), (int)(delay % 1000));
  if (outcome == TELEMETRY_OUTCOME_ALLOWANCE)
    respond_and_free (request, 429, "Too Many Requests", fields,
                      "allowance used up; has not run\n");
  else
    respond_and_free (request, 503, "Service Unavailable", fields,
                      "has not run; try again\n");
}

void
request_fail (request_t *request, telemetry_outcome_t outcome,
              const char *detail)
{
  telemetry_counter_increment (TELEMETRY_ROUTED, outcome);
  decision_log_write (request, G_LOG_LEVEL_MESSAGE, "failed", NULL,
                      detail != NULL ? detail
                                     : telemetry_outcome_name (outcome));
  if (outcome == TELEMETRY_OUTCOME_NO_ROUTE)
    respond_and_free (request, 404, "Not Found", NULL, "no route\n");
  else if (outcome == TELEMETRY_OUTCOME_UNAUTHORIZED)
    respond_and_free (request, 401, "Unauthorized",
                      "WWW-Authenticate: Bearer\r\n", "unknown key\n");
  else if (outcome == TELEMETRY_OUTCOME_TIMEOUT)
    respond_and_free (request, 504, "Gateway Timeout", NULL,
                      "no answer in time; may have run\n");
  else
    respond_and_free (request, 502, "Bad Gateway", NULL,
                      "the endpoint failed; may have run\n");
}
