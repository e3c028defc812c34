#include "engine_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <urcu.h>

/* Capacity of the event queue; a power of two.  */
#define EVENT_QUEUE_CAPACITY 65536
/* Number of events after which the expired timers are run, even if more events
   are waiting.  */
#define EVENT_BATCH_MAX 64
#define ADDRESSES_INTERVAL_MS 100
#define GAUGES_INTERVAL_MS 1000

static void
run_periodic_tasks (engine_t *engine, clock_ms_t now)
{
  if (now >= engine->addresses_due_at)
    {
      engine->addresses_due_at = now + ADDRESSES_INTERVAL_MS;
      engine_publish_addresses (engine, now);
      if (engine->baseline != NULL)
        baseline_update (engine->baseline, engine->node, now);
    }
  if (now >= engine->gauges_due_at)
    {
      engine->gauges_due_at = now + GAUGES_INTERVAL_MS;
      engine_publish_gauges (engine, now);
      engine_publish_byte_counters (engine);
    }
  if (decide_is_stopped (engine->node, now))
    atomic_store (&engine->stopped, true);
}

static void *
run_decision_thread (void *arg)
{
  engine_t *engine = arg;
  bool exit_thread = false;

  rcu_register_thread ();
  while (!exit_thread)
    {
      clock_ms_t now = clock_now_ms ();
      clock_ms_t due;
      event_t *event;

      record_tick (engine->recording, now);
      due = decide_tick (engine->node, now);
      run_periodic_tasks (engine, now);
      if (due > engine->addresses_due_at)
        due = engine->addresses_due_at;
      event = mailbox_get (engine->events, due > now ? due - now : 0);
      for (int i = 0; event != NULL; i++)
        {
          engine_handle_event (engine, event);
          exit_thread |= event->type == EVENT_EXIT_THREAD;
          free (event);
          event = i < EVENT_BATCH_MAX ? mailbox_get (engine->events, 0) : NULL;
        }
    }
  rcu_unregister_thread ();
  return NULL;
}

/* Return: 0 or a negative error number.  */
static int
random_u64 (uint64_t *value)
{
  return getrandom (value, sizeof *value, 0) == sizeof *value ? 0 : -errno;
}

static int
create_node (engine_t *engine)
{
  const conf_settings_t *settings = &engine->settings;
  decide_instance_t instances[CONF_INSTANCES_MAX];
  decide_settings_t node_settings
      = { .instance_count = settings->instance_count, .instances = instances };
  decide_callbacks_t callbacks = {
    .context = engine,
    .send = engine_on_send,
    .forward = engine_on_forward,
    .cancel = engine_on_cancel_attempt,
    .refuse = engine_on_refuse,
    .replay = engine_on_replay,
    .store_sync = engine_on_store_sync,
    .store_put = engine_on_store_put,
    .probe = engine_on_probe,
  };
  clock_ms_t now;
  int error = random_u64 (&node_settings.incarnation);

  if (error == 0)
    error = random_u64 (&node_settings.seed);
  if (error != 0)
    return error;
  /* An incarnation must not be 0.  */
  node_settings.incarnation |= 1;
  node_settings.key_bytes_limit = settings->key_bytes_limit;
  if (settings->has_seed)
    node_settings.seed = settings->seed;
  g_strlcpy (node_settings.instance, settings->instance,
             sizeof node_settings.instance);
  g_strlcpy (node_settings.data_centre, settings->data_centre,
             sizeof node_settings.data_centre);
  g_strlcpy (node_settings.group, settings->group, sizeof node_settings.group);
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      g_strlcpy (instances[i].name, settings->instances[i].name,
                 sizeof instances[i].name);
      g_strlcpy (instances[i].data_centre, settings->instances[i].data_centre,
                 sizeof instances[i].data_centre);
    }
  now = clock_now_ms ();
  record_start (engine->recording, now, &node_settings);
  engine->node = decide_new (&node_settings, &callbacks, now);
  if (engine->node == NULL)
    return -EINVAL;
  if (settings->policy == CONF_POLICY_OWNER)
    return 0;
  engine->baseline
      = baseline_new (conf_policy_name (settings->policy),
                      settings->data_centre, node_settings.seed, &callbacks);
  return engine->baseline == NULL ? -EINVAL : 0;
}

bool
engine_uses_grants (const engine_t *engine)
{
  return engine->baseline == NULL;
}

static void
unref_request (gpointer request)
{
  request_unref (request);
}

int
engine_start (engine_t **out, const conf_settings_t *settings,
              const char *recording_path)
{
  storage_callbacks_t storage = { .object = engine_on_store_object,
                                  .synced = engine_on_store_synced,
                                  .put_done = engine_on_store_put_done };
  links_callbacks_t links
      = { .message = engine_on_message, .object = engine_on_peer_object };
  engine_t *engine = calloc (1, sizeof *engine);
  int error;

  if (engine == NULL)
    return -ENOMEM;
  engine->settings = *settings;
  engine->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            unref_request);
  engine->attempts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  storage.context = engine;
  links.context = engine;
  engine->addresses = calloc (1, sizeof *engine->addresses);
  engine->events = mailbox_new (EVENT_QUEUE_CAPACITY);
  if (recording_path != NULL)
    {
      engine->recording = record_open (recording_path);
      if (engine->recording == NULL)
        g_warning ("cannot record to %s: %s", recording_path,
                   g_strerror (errno));
    }
  error = engine->events == NULL || engine->addresses == NULL
              ? -ENOMEM
              : create_node (engine);
  if (error == 0)
    error = storage_start (&engine->storage, settings, &storage);
  if (error == 0)
    error = probes_start (&engine->probes, engine_on_probe_done, engine);
  if (error == 0)
    error = links_start (&engine->peer_links, settings, &links);
  if (error == 0)
    error
        = -pthread_create (&engine->thread, NULL, run_decision_thread, engine);
  if (error != 0)
    {
      g_critical ("cannot start the engine: %s", g_strerror (-error));
      engine_free (engine);
      return error;
    }
  engine->started = true;
  *out = engine;
  return 0;
}

void
engine_free (engine_t *engine)
{
  event_t *event;

  if (engine == NULL)
    return;
  links_stop_server (engine->peer_links);
  if (engine->started)
    {
      engine_post_blocking (engine, engine_event_new (EVENT_EXIT_THREAD));
      pthread_join (engine->thread, NULL);
    }
  links_free (engine->peer_links);
  probes_stop (engine->probes);
  storage_stop (engine->storage);
  while (engine->events != NULL
         && (event = mailbox_get (engine->events, 0)) != NULL)
    {
      if (event->type == EVENT_MESSAGE)
        peer_msg_free (event->u.message.msg);
      else if (event->type == EVENT_OBJECT || event->type == EVENT_OWN_CHANGE)
        conf_object_free (event->u.object.object);
      free (event);
    }
  mailbox_free (engine->events);
  record_close (engine->recording);
  baseline_free (engine->baseline);
  decide_free (engine->node);
  g_hash_table_destroy (engine->requests);
  g_hash_table_destroy (engine->attempts);
  free (engine->addresses);
  free (engine);
}

void
engine_set_hedge_callback (engine_t *engine, engine_hedge_callback_t hedge,
                           void *context)
{
  engine->hedge = hedge;
  engine->hedge_context = context;
}
