/* Probes of endpoints: GET requests for the service's health path, whose
   responses state the endpoint's current load.  */

#include "proxy_private.h"

#include <string.h>

/* An endpoint that does not respond to a probe within this time counts as
   unreachable.  */
#define PROBE_TIMEOUT_MS 400

/* Share of the allowed probe rate that is divided among the instances.  The
   rest is a margin, because other instances may send more probes than their
   part.  */
#define PROBE_RATE_SHARE 0.7

static backend_health_t classify_health (const uplink_t *uplink);

double
probe_compute_rate (const proxy_t *proxy)
{
  return proxy->settings.probes_per_s * PROBE_RATE_SHARE
         * backends_count (proxy->backends) / proxy->instance_count;
}

void
probe_start (uplink_t *uplink, probe_round_t *round)
{
  proxy_t *proxy = uplink->proxy;
  const backend_t *backend = backends_get (proxy->backends, uplink->backend);
  const service_t *service
      = backends_service_get (proxy->backends, backend->service);
  GString *text = g_string_sized_new (128);

  uplink->round = round;
  uplink->request = NULL;
  if (uplink->state != UPLINK_CONNECTING)
    uplink->state = UPLINK_PROBING;
  g_string_printf (text, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                   service->health_path, service->name);
  g_byte_array_set_size (uplink->out, 0);
  g_byte_array_append (uplink->out, (const guint8 *)text->str,
                       (guint)text->len);
  g_string_free (text, TRUE);
  uplink->sent_at = clock_now ();
  ev_timer_stop (proxy->loop, &uplink->timer);
  ev_timer_set (&uplink->timer, PROBE_TIMEOUT_MS / 1000.0, 0);
  ev_timer_start (proxy->loop, &uplink->timer);
  uplink_send (uplink);
}

static backend_health_t
classify_health (const uplink_t *uplink)
{
  if (uplink->has_endpoint_id && !uplink->endpoint_matches)
    return BACKEND_ID_MISMATCH;
  if (uplink->response.status == 200 && uplink->has_endpoint_id)
    return BACKEND_HEALTHY;
  return BACKEND_UNHEALTHY;
}

/* Returns the load that is assumed for a healthy endpoint that does not report
   its own.  Such an endpoint responds to a probe only when it has a free slot,
   so at least one slot is assumed to be free.  */
static backend_load_t
assumed_load (const backend_t *backend)
{
  uint32_t slots = MAX (backend->entry.slots, 1U);

  return (backend_load_t){ .running = MIN (backend->in_flight, slots - 1),
                           .slots = slots,
                           .slowdown_percent = 100 };
}

void
probe_handle_response (uplink_t *uplink)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  probe_round_t *round = uplink->round;
  clock_ms_t now = clock_now ();
  backend_health_t health = classify_health (uplink);

  ev_timer_stop (proxy->loop, &uplink->timer);
  telemetry_counter_increment (TELEMETRY_PROBES,
                               health == BACKEND_HEALTHY ? 0 : 1);
  telemetry_histogram_observe (TELEMETRY_PROBE_US,
                               (now - uplink->sent_at) * 1000);
  if (backend == NULL)
    {
      uplink_close (uplink);
      if (round != NULL)
        probe_round_add_failure (round);
      return;
    }
  if (uplink->has_endpoint_id)
    suspicion_handle_probe (proxy, uplink->backend,
                            health == BACKEND_ID_MISMATCH);
  if (!uplink->has_load && health == BACKEND_HEALTHY)
    uplink->load = assumed_load (backend);
  backend_record_probe (
      backend, health,
      uplink->has_load || health == BACKEND_HEALTHY ? &uplink->load : NULL,
      uplink->cold_left_ms, now);
  if (round == NULL)
    {
      /* The round of probes was finished before this response arrived.  A
         request that is waiting now may be sent on the connection.  */
      if (health != BACKEND_HEALTHY || !uplink->is_reusable
          || !probe_round_try_assign (uplink))
        uplink_release (uplink);
      return;
    }
  if (health != BACKEND_HEALTHY || !uplink->is_reusable)
    {
      if (health == BACKEND_ID_MISMATCH)
        uplink_close (uplink);
      else
        uplink_release (uplink);
      probe_round_add_failure (round);
      return;
    }
  uplink->state = UPLINK_HELD;
  probe_round_add_success (round, uplink);
}

void
probe_handle_failure (uplink_t *uplink, const char *why)
{
  proxy_t *proxy = uplink->proxy;
  backend_t *backend = backends_get (proxy->backends, uplink->backend);
  probe_round_t *round = uplink->round;

  ev_timer_stop (proxy->loop, &uplink->timer);
  if (uplink->was_refused)
    suspicion_handle_probe (proxy, uplink->backend, true);
  telemetry_counter_increment (TELEMETRY_PROBES, 1);
  /* If the endpoint has stated an idle timeout on this connection, the failure
     may just be the close at that timeout, which says nothing about the
     endpoint's health.  */
  if (backend != NULL && uplink->keep_alive_ms == 0)
    backend_record_probe (backend, BACKEND_UNREACHABLE, NULL, 0, clock_now ());
  g_debug ("probe of %s failed: %s",
           backend != NULL ? backend->entry.id : "removed endpoint", why);
  if (round == NULL)
    return;
  for (int i = 0; i < round->n_held; i++)
    if (round->held[i] == uplink)
      {
        round->held[i] = round->held[--round->n_held];
        uplink->round = NULL;
        return;
      }
  uplink->round = NULL;
  probe_round_add_failure (round);
}
