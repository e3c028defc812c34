/* Permits for requests to endpoints that have stated a limit.  */

#include "proxy_private.h"

/* Largest number of permits that are asked for at a time for one service.  */
#define ASKS_MAX 4
/* Number of permits that this instance tries to have when a request arrives.
   The endpoints with a limit then get their part of the requests also while
   others have room.  */
#define ASKS_AHEAD 3
/* Longest time until a permit that is asked for before it is needed can be
   used.  */
#define AHEAD_WAIT_MAX_MS 100
/* Longest time ahead for which a permit is asked for.  A permit is lost to
   others when its request is answered elsewhere meanwhile.  */
#define WAIT_MAX_MS 1000
/* Shortest and longest time that a client is told to wait before it
   retries.  */
#define RETRY_AFTER_MIN_MS 20
#define RETRY_AFTER_MAX_MS 2000
/* Clients that are refused because all endpoints have asked for time return
   within this share of that time after its end.  */
#define RETURN_SPREAD_SHARE 0.25

static clock_ms_t longest_patience (const service_state_t *state,
                                    clock_ms_t now);
static clock_ms_t useful_wait_ms (const admission_request_t *request,
                                  clock_ms_t now);
static void ask (service_state_t *state, int count, clock_ms_t wait_max,
                 bool skip_subsetting, clock_ms_t now);
static void refuse (assign_request_t *assigned, clock_ms_t next_at,
                    clock_ms_t now);

static clock_ms_t
longest_patience (const service_state_t *state, clock_ms_t now)
{
  clock_ms_t longest = 0;

  for (GList *link = state->waiting.head; link != NULL; link = link->next)
    {
      const request_t *request = link->data;

      longest
          = MAX (longest, admission_patience_ms (&request->admission, now));
    }
  return MIN (longest, WAIT_MAX_MS);
}

/* Asks for at most @count permits that can be used within @wait_max ms.  */
static void
ask (service_state_t *state, int count, clock_ms_t wait_max,
     bool skip_subsetting, clock_ms_t now)
{
  proxy_t *proxy = state->proxy;
  choose_criteria_t criteria = { .service = state->service,
                                 .count = count,
                                 .skip_subsetting = skip_subsetting };
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  int n_chosen
      = choose_permits (proxy->backends, &criteria, &proxy->rng, now, chosen);

  for (int i = 0; i < n_chosen; i++)
    {
      backend_t *backend = backends_get (proxy->backends, chosen[i]);

      rate_limit_ask (&backend->rate_limit, now);
      proxy->settings.ask_permit (proxy->settings.context, backend, wait_max);
    }
}

void
permits_ask (service_state_t *state, bool ahead)
{
  proxy_t *proxy = state->proxy;
  clock_ms_t now = clock_now ();
  choose_limits_t limits;
  int wanted;

  if (proxy->settings.ask_permit == NULL || proxy->is_holding
      || state->waiting.length == 0)
    return;
  limits = choose_get_limits (proxy->backends, state->service, now);
  wanted = (ahead ? ASKS_AHEAD : (int)state->waiting.length) - limits.n_permits
           - limits.n_asked;
  if (limits.n_unknown > 0 && wanted > 0)
    ask (state, MIN (wanted, ASKS_MAX),
         ahead ? AHEAD_WAIT_MAX_MS : longest_patience (state, now),
         limits.n_unlimited == 0, now);
}

/* Marks a request for refusal.  @next_at: time at which a limit may allow a
   request; the client is told to come back then.  */
static void
refuse (assign_request_t *assigned, clock_ms_t next_at, clock_ms_t now)
{
  request_t *request = assigned->user;

  assigned->result = ADMISSION_REFUSE;
  assigned->is_limited = true;
  request->retry_after
      = CLAMP (next_at - now, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

clock_ms_t
permits_get_declined_delay (request_t *request)
{
  proxy_t *proxy = request->proxy;
  clock_ms_t now = clock_now ();
  clock_ms_t from
      = choose_get_declined_until (proxy->backends, request->service, now);
  double spread = MAX ((double)(from - now) * RETURN_SPREAD_SHARE,
                       request->admission.service_time_ms);

  if (from == 0)
    return 0;
  return from - now
         + (clock_ms_t)decide_rng_below (&proxy->rng,
                                         (uint32_t)MAX (spread, 1.0));
}

/* Returns the longest time in ms that a request may wait so that it can still
   meet its target or, if it cannot, as long as it may wait at all.  */
static clock_ms_t
useful_wait_ms (const admission_request_t *request, clock_ms_t now)
{
  clock_ms_t patience = admission_patience_ms (request, now);

  if (!admission_can_meet_target (request, now))
    return patience;
  return MIN (patience, request->first_requested_at + request->target
                            - (clock_ms_t)request->service_time_ms - now);
}

void
permits_refuse_declined (service_state_t *state, assign_request_t *requests,
                         int count)
{
  clock_ms_t now = clock_now ();
  clock_ms_t from = choose_get_declined_until (state->proxy->backends,
                                               state->service, now);

  for (int i = 0; from != 0 && i < count; i++)
    if (requests[i].result == ADMISSION_WAIT
        && from - now > useful_wait_ms (requests[i].request, now))
      {
        request_t *request = requests[i].user;

        requests[i].result = ADMISSION_REFUSE;
        requests[i].is_limited = true;
        request->retry_after = permits_get_declined_delay (request);
      }
}

void
permits_refuse_hopeless (service_state_t *state, assign_request_t *requests,
                         int count)
{
  proxy_t *proxy = state->proxy;
  clock_ms_t now = clock_now ();
  choose_limits_t limits
      = choose_get_limits (proxy->backends, state->service, now);
  int n_sent = 0;
  int n_ahead = 0;

  if (limits.n_limited == 0)
    return;
  for (int i = 0; i < count; i++)
    n_sent += requests[i].result == ADMISSION_SEND ? 1 : 0;
  for (int i = 0; i < count; i++)
    {
      clock_ms_t useful_wait = useful_wait_ms (requests[i].request, now);
      clock_ms_t wait = drain_rate_wait_ms (&state->drain_rate, n_ahead);
      int permit = n_sent + n_ahead;

      if (requests[i].result != ADMISSION_WAIT)
        continue;
      if (permit < limits.n_permits)
        wait = limits.permit_from[permit] - now;
      else if (limits.n_unlimited + limits.n_asked + limits.n_unknown == 0)
        wait = MAX (wait, limits.next_at - now);
      if (wait > useful_wait)
        refuse (&requests[i], now + wait, now);
      else
        n_ahead++;
    }
}
