/* Starts and runs the components of an instance.  Implements its HTTP servers
   for readiness checks, the directory of instances and metrics, its timer and
   its signal handlers.  */

#include "instance_private.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#include "telemetry.h"

/* Interval at which the periodic functions of the components are called.  */
#define TICK_INTERVAL_S 0.05
/* Interval at which the instance checks whether the settings have changed, so
   that a change is also applied without a SIGHUP.  */
#define SETTINGS_CHECK_INTERVAL_MS 1000
/* Time for which clients are told to cache the list of instances.  Some
   clients cache it three times as long; see ADDRESSES_EXPIRE_MS.  */
#define ADDRESSES_TTL_MS 1000
/* Largest number of instances in a response of the directory.  */
#define ADDRESSES_MAX 64
/* If a client's data centre has fewer ready instances than this, the client is
   told the ready instances of all data centres.  */
#define LOCAL_INSTANCES_MIN 2
/* An instance that is not the reader of the store, and has received no
   announcement from the reader for this time, lists only itself in the
   directory.  The reader is the instance that reads the store for all.  */
#define ISOLATED_AFTER_MS 4000
/* An instance that has received no announcement for this time gives a new
   software version no more requests, as it would not hear that it is bad.  */
#define ROLLOUT_SUSPEND_AFTER_MS 1500
/* Largest number of endpoints that are probed at the same time for a
   request.  */
#define PROBES_PER_ROUND 5
/* Share of the debug-level decisions that are logged.  */
#define LOG_SAMPLE_SHARE 0.02
/* Largest number of log lines per second about decisions on requests.  */
#define LOG_LINES_PER_S 100
/* Share of the process's memory that the bodies of requests may take together.
   The socket buffers of as many uploads take about as much again.  */
#define BODY_MEMORY_SHARE 0.25
/* Share of the process's memory that the incomplete bodies of responses may
   take together.  Their buffers may be twice as large as the bodies.  */
#define RESPONSE_MEMORY_SHARE 0.0625
/* Share of the process's memory that clients may make it hold: requests that
   are being received, and responses that wait to be read.  Their buffers may
   be half as large again.  */
#define CLIENT_MEMORY_SHARE 0.35
/* The same for the bodies of requests that need none, such as those to the
   port for readiness.  */
#define OTHER_BODY_MEMORY_SHARE 0.01
/* Descriptors that are left for everything else: 12 for files, sockets that
   listen and the event loop; connections to the store and to other instances;
   one for a connection that is accepted before another one is closed.  */
#define OTHER_DESCRIPTORS 32
/* Shares of the remaining descriptors that connections of clients and those to
   endpoints may take.  */
#define CLIENT_DESCRIPTOR_SHARE 0.5
#define UPLINK_DESCRIPTOR_SHARE 0.4
/* Memory of the process if it is not known.  */
#define MEMORY_DEFAULT_BYTES (128 << 20)

static unsigned int get_descriptor_share (const instance_settings_t *settings,
                                          double share);
static int open_servers (instance_t *instance);
static server_t *
open_server (instance_t *instance, const struct sockaddr_in *address,
             void (*request) (void *context, exchange_t *exchange),
             int *result);
static void start_signal_watchers (instance_t *instance);
static void on_tick (struct ev_loop *loop, ev_timer *watcher, int events);
static void on_stop_signal (struct ev_loop *loop, ev_signal *watcher,
                            int events);
static void reload_settings (instance_t *instance);
static void on_reload_signal (struct ev_loop *loop, ev_signal *watcher,
                              int events);
static void on_routes_changed (void *context, const routes_t *routes);
static void on_backends_changed (void *context);
static void on_allowance_needed (void *context, const char *tenant,
                                 allowance_ask_t *ask);
static void on_allowance_replied (void *context, const char *tenant,
                                  const allowance_reply_t *reply);
static void on_rollouts_changed (void *context);
static void on_rollout_progress (void *context, const char *name,
                                 const rollout_progress_t *progress);
static void on_members_changed (void *context);
static void on_permit_needed (void *context, backend_t *backend,
                              clock_ms_t wait_max);
static void on_limit_changed (void *context);
static void on_suspect_changed (void *context, suspect_t *suspect);
static bool is_ready (const instance_t *instance);
static void handle_ready_request (void *context, exchange_t *exchange);
static void handle_addresses_request (void *context, exchange_t *exchange);
static void handle_metrics_request (void *context, exchange_t *exchange);
static void on_client_disconnected (void *context, exchange_t *exchange);
static size_t get_memory_share (const instance_settings_t *settings,
                                double share);
static int choose_addresses (const instance_t *instance,
                             const char *data_centre,
                             struct sockaddr_in *addresses);

int
instance_run (
    const instance_settings_t *settings, const instance_hooks_t *hooks,
    feed_source_t (*make_source) (void *context, struct ev_loop *loop),
    void (*attach) (void *context, feed_t *feed), void *source_context)
{
  instance_t instance = { .settings = *settings, .hooks = *hooks };
  view_hooks_t view_hooks = { .routes_changed = on_routes_changed,
                              .backends_changed = on_backends_changed,
                              .rollouts_changed = on_rollouts_changed,
                              .context = &instance };
  relay_hooks_t relay_hooks = { .members_changed = on_members_changed,
                                .rollout_progress = on_rollout_progress,
                                .allowance_replied = on_allowance_replied,
                                .context = &instance };
  proxy_settings_t proxy_settings = {
    .names = settings->names,
    .retry_rules = settings->retry_rules,
    .probes_per_round = PROBES_PER_ROUND,
    .probes_per_s = settings->probes_per_s,
    .uplinks_max = get_descriptor_share (settings, UPLINK_DESCRIPTOR_SHARE),
    .buffer_bytes_max = get_memory_share (settings, RESPONSE_MEMORY_SHARE),
    .log_sample_share = LOG_SAMPLE_SHARE,
    .log_lines_per_s = LOG_LINES_PER_S,
    .ask_permit = on_permit_needed,
    .limit_changed = on_limit_changed,
    .suspect_changed = on_suspect_changed,
    .ask_allowance = on_allowance_needed,
    .context = &instance
  };
  feed_source_t source;
  int result;

  instance.loop = ev_default_loop (EVFLAG_NOENV);
  if (instance.loop == NULL)
    return -ENOMEM;
  reader_init (&instance.reader, settings->weak, clock_now ());
  instance.backends = backends_new (settings->name, settings->data_centre);
  instance.proxy
      = proxy_new (instance.loop, &proxy_settings, instance.backends);
  instance.view = view_new (instance.backends, &view_hooks);
  proxy_set_suspects (instance.proxy, instance.view->suspects);
  proxy_set_allowances (instance.proxy, instance.view->allowances);
  if (settings->rollout_bounds.share_max > 0)
    {
      view_enable_rollouts (instance.view);
      proxy_set_rollouts (instance.proxy, instance.view->rollouts,
                          instance.view->counts);
    }
  instance.members
      = members_new (settings->name, settings->data_centre,
                     settings->peer_listen_address.sin_addr.s_addr);
  (void)members_set_weak (instance.members, settings->name, settings->weak);
  source = make_source (source_context, instance.loop);
  instance.feed = feed_new (instance.loop, &source, instance.view,
                            instance.members, &instance.reader);
  feed_set_bounds (instance.feed, &settings->feed_bounds);
  attach (source_context, instance.feed);
  instance.rollout_control
      = rollout_control_new (instance.view, instance.members, &instance.reader,
                             instance.feed, &instance.settings.rollout_bounds);
  instance.relay
      = relay_new (instance.loop, &settings->peer_listen_address,
                   instance.view, instance.members, &instance.reader,
                   instance.feed, &settings->seeds, &relay_hooks, &result);
  if (result == 0)
    relay_set_allowance_bounds (instance.relay, &settings->allowance_bounds);
  if (result == 0)
    result = open_servers (&instance);
  if (result == 0)
    {
      on_members_changed (&instance);
      start_signal_watchers (&instance);
      ev_timer_init (&instance.tick_timer, on_tick, TICK_INTERVAL_S,
                     TICK_INTERVAL_S);
      instance.tick_timer.data = &instance;
      ev_timer_start (instance.loop, &instance.tick_timer);
      pause_start_watching (&instance);
      g_message ("started in data centre %s", settings->data_centre);
      ev_run (instance.loop, 0);
      feed_stop (instance.feed);
    }
  server_free (instance.client_server);
  server_free (instance.ready_server);
  server_free (instance.addresses_server);
  server_free (instance.metrics_server);
  if (instance.relay != NULL)
    relay_free (instance.relay);
  rollout_control_free (instance.rollout_control);
  feed_free (instance.feed);
  proxy_free (instance.proxy);
  view_free (instance.view);
  members_free (instance.members);
  backends_free (instance.backends);
  return result;
}

static server_t *
open_server (instance_t *instance, const struct sockaddr_in *address,
             void (*request) (void *context, exchange_t *exchange),
             int *result)
{
  server_hooks_t hooks = { .request = request,
                           .disconnected = on_client_disconnected,
                           .context = instance };
  server_t *server = server_new (instance->loop, address, &hooks, result);

  if (server != NULL)
    {
      server_set_holdings (server, &instance->holdings);
      server_set_body_memory (
          server,
          get_memory_share (&instance->settings, OTHER_BODY_MEMORY_SHARE));
    }
  return server;
}

static size_t
get_memory_share (const instance_settings_t *settings, double share)
{
  size_t bytes = settings->memory_bytes > 0 ? settings->memory_bytes
                                            : MEMORY_DEFAULT_BYTES;

  return (size_t)((double)bytes * share);
}

/* Returns a share of the descriptors that connections may have.  At least one,
   as 0 would mean that there is no limit.  */
static unsigned int
get_descriptor_share (const instance_settings_t *settings, double share)
{
  struct rlimit limit = { 0 };
  double all = settings->descriptors_max;

  if (all <= 0)
    {
      (void)getrlimit (RLIMIT_NOFILE, &limit);
      all = (double)MIN (limit.rlim_cur, INT32_MAX);
    }
  return (unsigned int)MAX ((all - OTHER_DESCRIPTORS) * share, 1.0);
}

static int
open_servers (instance_t *instance)
{
  const instance_settings_t *settings = &instance->settings;
  server_hooks_t hooks = proxy_get_hooks (instance->proxy);
  int result = 0;

  instance->holdings.bytes_max
      = get_memory_share (settings, CLIENT_MEMORY_SHARE);
  instance->holdings.count_max
      = get_descriptor_share (settings, CLIENT_DESCRIPTOR_SHARE);

  instance->client_server = server_new (
      instance->loop, &settings->client_listen_address, &hooks, &result);
  if (result == 0)
    {
      server_set_holdings (instance->client_server, &instance->holdings);
      server_set_body_memory (instance->client_server,
                              get_memory_share (settings, BODY_MEMORY_SHARE));
    }
  if (result == 0)
    instance->ready_server
        = open_server (instance, &settings->ready_listen_address,
                       handle_ready_request, &result);
  if (result == 0)
    instance->addresses_server
        = open_server (instance, &settings->directory_listen_address,
                       handle_addresses_request, &result);
  if (result == 0 && settings->metrics_listen_address.sin_port != 0)
    instance->metrics_server
        = open_server (instance, &settings->metrics_listen_address,
                       handle_metrics_request, &result);
  return result;
}

static void
get_watched_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  sigaddset (signals, SIGHUP);
}

void
instance_block_signals (void)
{
  sigset_t signals;

  get_watched_signals (&signals);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
}

static void
start_signal_watchers (instance_t *instance)
{
  sigset_t signals;

  ev_signal_init (&instance->sigterm_watcher, on_stop_signal, SIGTERM);
  ev_signal_init (&instance->sigint_watcher, on_stop_signal, SIGINT);
  ev_signal_init (&instance->sighup_watcher, on_reload_signal, SIGHUP);
  instance->sigterm_watcher.data = instance;
  instance->sigint_watcher.data = instance;
  instance->sighup_watcher.data = instance;
  ev_signal_start (instance->loop, &instance->sigterm_watcher);
  ev_signal_start (instance->loop, &instance->sigint_watcher);
  ev_signal_start (instance->loop, &instance->sighup_watcher);
  get_watched_signals (&signals);
  pthread_sigmask (SIG_UNBLOCK, &signals, NULL);
}

static bool
is_ready (const instance_t *instance)
{
  return instance->view->routes != NULL && instance->view->has_all_backends
         && instance->stop_began_at == 0;
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  instance_t *instance = watcher->data;
  clock_ms_t now = clock_now ();

  (void)loop;
  (void)events;
  feed_tick (instance->feed, now);
  relay_set_ready (instance->relay, is_ready (instance));
  relay_tick (instance->relay, now);
  view_tick (instance->view, now);
  rollouts_suspend (instance->view->rollouts,
                    !instance->reader.is_reader
                        && now - instance->reader.last_announcement_at
                               > ROLLOUT_SUSPEND_AFTER_MS);
  rollout_control_tick (instance->rollout_control, now);
  pause_tick (instance, now);
  stop_tick (instance, now);
  if (now - instance->settings_checked_at >= SETTINGS_CHECK_INTERVAL_MS)
    {
      instance->settings_checked_at = now;
      if (instance->hooks.have_settings_changed (instance->hooks.context))
        reload_settings (instance);
    }
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  stop_begin (watcher->data, clock_now ());
}

static void
on_reload_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  reload_settings (watcher->data);
}

/* Reads the settings again and applies those that can change while the process
   runs.  The others, such as the listen addresses, need a restart.  */
static void
reload_settings (instance_t *instance)
{
  instance_settings_t settings = { 0 };

  if (instance->hooks.reload (instance->hooks.context, &settings) != 0)
    return;
  instance->settings.retry_rules = settings.retry_rules;
  instance->settings.feed_bounds = settings.feed_bounds;
  instance->settings.stop_timeout = settings.stop_timeout;
  instance->settings.addresses_ttl_max = settings.addresses_ttl_max;
  instance->settings.probes_per_s = settings.probes_per_s;
  instance->settings.rollout_bounds = settings.rollout_bounds;
  relay_set_allowance_bounds (instance->relay, &settings.allowance_bounds);
  feed_set_bounds (instance->feed, &settings.feed_bounds);
  proxy_set_retry_rules (instance->proxy, &settings.retry_rules);
  proxy_set_probe_limit (instance->proxy, settings.probes_per_s);
  g_message ("settings read again");
  g_free (settings.name);
  g_free (settings.data_centre);
}

static void
on_routes_changed (void *context, const routes_t *routes)
{
  instance_t *instance = context;
  server_limits_t limits = { .header_bytes = routes->limits.header_bytes,
                             .body_bytes = routes->limits.body_bytes,
                             .header_timeout = routes->limits.header_timeout,
                             .idle_timeout = routes->limits.idle_timeout };

  proxy_set_routes (instance->proxy, routes);
  server_set_limits (instance->client_server, &limits);
  if (instance->relay != NULL)
    relay_schedule_announcement (instance->relay);
}

static void
on_backends_changed (void *context)
{
  instance_t *instance = context;

  proxy_close_stale_connections (instance->proxy);
  if (instance->relay != NULL)
    relay_schedule_announcement (instance->relay);
}

static void
on_allowance_needed (void *context, const char *tenant, allowance_ask_t *ask)
{
  const instance_t *instance = context;

  relay_ask_allowance (instance->relay, tenant, ask);
}

static void
on_allowance_replied (void *context, const char *tenant,
                      const allowance_reply_t *reply)
{
  const instance_t *instance = context;

  proxy_handle_allowance (instance->proxy, tenant, reply);
}

static void
on_rollouts_changed (void *context)
{
  const instance_t *instance = context;

  if (instance->relay != NULL)
    relay_schedule_announcement (instance->relay);
}

static void
on_rollout_progress (void *context, const char *name,
                     const rollout_progress_t *progress)
{
  const instance_t *instance = context;

  rollout_control_learn_progress (instance->rollout_control, name, progress,
                                  clock_now ());
}

static void
on_members_changed (void *context)
{
  instance_t *instance = context;
  const members_t *members = instance->members;
  const char **names = g_new0 (const char *, members->table->len);
  int count = (int)members->table->len;

  /* The count includes known instances that no messages arrive from, because
     instances that are cut off from each other still share the same retry
     budget and probe rate.  */
  for (int i = 0; i < count; i++)
    {
      const member_t *member = g_ptr_array_index (members->table, (guint)i);

      names[i] = member->name;
    }
  proxy_set_instance_count (instance->proxy, count);
  backends_set_instances (instance->backends, names, count);
  relay_handle_members_change (instance->relay);
  telemetry_gauge_set (TELEMETRY_MEMBERS_HEARD, members_count_ready (members));
  g_free (names);
}

static void
on_permit_needed (void *context, backend_t *backend, clock_ms_t wait_max)
{
  const instance_t *instance = context;

  relay_ask_permit (instance->relay, backend, wait_max);
}

static void
on_limit_changed (void *context)
{
  const instance_t *instance = context;

  relay_tell_limits (instance->relay);
}

static void
on_suspect_changed (void *context, suspect_t *suspect)
{
  const instance_t *instance = context;

  relay_tell_suspect (instance->relay, suspect);
}

static void
on_client_disconnected (void *context, exchange_t *exchange)
{
  (void)context;
  exchange_release (exchange);
}

static void
handle_ready_request (void *context, exchange_t *exchange)
{
  instance_t *instance = context;

  if (strcmp (exchange->target, instance->hooks.ready_path) != 0)
    exchange_respond (exchange, 404, "Not Found", NULL, NULL, 0);
  else if (is_ready (instance))
    exchange_respond (exchange, 200, "OK", NULL, NULL, 0);
  else
    exchange_respond (exchange, 503, "Service Unavailable", NULL, NULL, 0);
}

/* Writes to @addresses the addresses of the ready instances of the client's
   data centre, or of all data centres if the client's has fewer than
   LOCAL_INSTANCES_MIN.  If no instance is ready, this instance is listed
   unless it is shutting down.  Return: the number of addresses.  */
static int
choose_addresses (const instance_t *instance, const char *data_centre,
                  struct sockaddr_in *addresses)
{
  const members_t *members = instance->members;
  const reader_t *reader = &instance->reader;
  clock_ms_t now = clock_now ();
  bool is_isolated = !reader->is_reader
                     && now - reader->last_announcement_at > ISOLATED_AFTER_MS;
  int count = 0;

  for (int pass = 0; pass < 2 && count < LOCAL_INSTANCES_MIN; pass++)
    {
      count = 0;
      for (guint i = 0; i < members->table->len && count < ADDRESSES_MAX; i++)
        {
          const member_t *member = g_ptr_array_index (members->table, i);

          if (!member->ready || (is_isolated && member != members->own)
              || (pass == 0
                  && g_strcmp0 (member->data_centre, data_centre) != 0))
            continue;
          addresses[count] = instance->settings.client_listen_address;
          addresses[count].sin_addr.s_addr = member->ip;
          count++;
        }
    }
  if (count == 0 && instance->stop_began_at == 0)
    addresses[count++] = instance->settings.client_listen_address;
  return count;
}

static void
handle_addresses_request (void *context, exchange_t *exchange)
{
  instance_t *instance = context;
  const char *path = instance->hooks.addresses_path;
  size_t length = strlen (path);
  struct sockaddr_in addresses[ADDRESSES_MAX];
  g_autofree char *data_centre = NULL;
  GString *body;
  int count;

  if (strncmp (exchange->target, path, length) != 0
      || (exchange->target[length] != '\0' && exchange->target[length] != '?'))
    {
      exchange_respond (exchange, 404, "Not Found", NULL, NULL, 0);
      return;
    }
  data_centre = instance->hooks.get_client_data_centre (
      instance->hooks.context, exchange->target);
  count = choose_addresses (instance, data_centre, addresses);
  if (count == 0)
    {
      exchange_respond (exchange, 503, "Service Unavailable", NULL, NULL, 0);
      return;
    }
  body = g_string_new (NULL);
  instance->hooks.write_addresses (
      instance->hooks.context, addresses, count,
      MIN (ADDRESSES_TTL_MS, instance->settings.addresses_ttl_max), body);
  exchange_respond (exchange, 200, "OK", "Content-Type: application/json\r\n",
                    body->str, body->len);
  g_string_free (body, TRUE);
}

static void
handle_metrics_request (void *context, exchange_t *exchange)
{
  const instance_t *instance = context;
  g_autofree char *metrics = telemetry_format_metrics ();
  GString *text = g_string_new (metrics);

  proxy_append_split_metrics (instance->proxy, text);
  exchange_respond (exchange, 200, "OK",
                    "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                    text->len);
  g_string_free (text, TRUE);
}
