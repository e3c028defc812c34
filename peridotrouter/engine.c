#include "engine_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <urcu.h>

#define RING 65536
/* Events handled between two looks at the timers.  */
#define BATCH 64
#define ADDRESSES_INTERVAL_MS 100
#define GAUGES_INTERVAL_MS 1000

static void
do_periodic (engine_t *engine, clock_ms_t now)
{
  if (now >= engine->addresses_at)
    {
      engine->addresses_at = now + ADDRESSES_INTERVAL_MS;
      engine_publish_addresses (engine, now);
      if (engine->baseline != NULL)
        baseline_update (engine->baseline, engine->node, now);
    }
  if (now >= engine->gauges_at)
    {
      engine->gauges_at = now + GAUGES_INTERVAL_MS;
      engine_publish_gauges (engine, now);
      engine_publish_bytes (engine);
    }
  if (decide_is_stopped (engine->node, now))
    atomic_store (&engine->stopped, true);
}

static void *
run (void *arg)
{
  engine_t *engine = arg;
  bool end = false;

  rcu_register_thread ();
  while (!end)
    {
      clock_ms_t now = clock_now_ms ();
      clock_ms_t due;
      event_t *event;

      record_tick (engine->record, now);
      due = decide_tick (engine->node, now);
      do_periodic (engine, now);
      if (due > engine->addresses_at)
        due = engine->addresses_at;
      event = mailbox_get (engine->events, due > now ? due - now : 0);
      for (int i = 0; event != NULL; i++)
        {
          engine_handle_event (engine, event);
          end |= event->type == EVENT_END;
          free (event);
          event = i < BATCH ? mailbox_get (engine->events, 0) : NULL;
        }
    }
  rcu_unregister_thread ();
  return NULL;
}

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
  decide_settings_t own
      = { .instance_count = settings->instance_count, .instances = instances };
  decide_callbacks_t callbacks = {
    .context = engine,
    .send = engine_on_send,
    .forward = engine_on_forward,
    .cancel = engine_on_cancel,
    .refuse = engine_on_refuse,
    .replay = engine_on_replay,
    .store_sync = engine_on_store_sync,
    .store_put = engine_on_store_put,
    .probe = engine_on_probe,
  };
  clock_ms_t now;
  int error = random_u64 (&own.incarnation);

  if (error == 0)
    error = random_u64 (&own.seed);
  if (error != 0)
    return error;
  own.incarnation |= 1;
  own.key_bytes = settings->key_bytes;
  if (settings->has_seed)
    own.seed = settings->seed;
  g_strlcpy (own.instance, settings->instance, sizeof own.instance);
  g_strlcpy (own.data_centre, settings->data_centre, sizeof own.data_centre);
  g_strlcpy (own.group, settings->group, sizeof own.group);
  for (uint32_t i = 0; i < settings->instance_count; i++)
    {
      g_strlcpy (instances[i].name, settings->instances[i].name,
                 sizeof instances[i].name);
      g_strlcpy (instances[i].data_centre, settings->instances[i].data_centre,
                 sizeof instances[i].data_centre);
    }
  now = clock_now_ms ();
  record_start (engine->record, now, &own);
  engine->node = decide_new (&own, &callbacks, now);
  if (engine->node == NULL)
    return -EINVAL;
  if (settings->policy == CONF_POLICY_OWNER)
    return 0;
  engine->baseline
      = baseline_new (conf_policy_name (settings->policy),
                      settings->data_centre, own.seed, &callbacks);
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
              const char *recording)
{
  storage_callbacks_t storage = { .object = engine_on_object,
                                  .synced = engine_on_synced,
                                  .put_done = engine_on_put_done };
  links_callbacks_t links
      = { .message = engine_on_message, .object = engine_on_pushed };
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
  engine->events = mailbox_new (RING);
  if (recording != NULL)
    {
      engine->record = record_open (recording);
      if (engine->record == NULL)
        g_warning ("cannot record to %s: %s", recording, g_strerror (errno));
    }
  error = engine->events == NULL || engine->addresses == NULL
              ? -ENOMEM
              : create_node (engine);
  if (error == 0)
    error = storage_start (&engine->storage, settings, &storage);
  if (error == 0)
    error = probes_start (&engine->probes, engine_on_probed, engine);
  if (error == 0)
    error = links_start (&engine->links, settings, &links);
  if (error == 0)
    error = -pthread_create (&engine->thread, NULL, run, engine);
  if (error != 0)
    {
      g_critical ("cannot start: %s", g_strerror (-error));
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
  links_stop_server (engine->links);
  if (engine->started)
    {
      engine_post_wait (engine, engine_event_new (EVENT_END));
      pthread_join (engine->thread, NULL);
    }
  links_free (engine->links);
  probes_stop (engine->probes);
  storage_stop (engine->storage);
  while (engine->events != NULL
         && (event = mailbox_get (engine->events, 0)) != NULL)
    {
      if (event->type == EVENT_MESSAGE)
        peer_msg_free (event->u.message.msg);
      else if (event->type == EVENT_OBJECT)
        conf_object_free (event->u.object.object);
      free (event);
    }
  mailbox_free (engine->events);
  record_close (engine->record);
  baseline_free (engine->baseline);
  decide_free (engine->node);
  g_hash_table_destroy (engine->requests);
  g_hash_table_destroy (engine->attempts);
  free (engine->addresses);
  free (engine);
}

void
engine_set_hedge_callback (engine_t *engine, engine_hedge_t hedge,
                           void *context)
{
  engine->hedge = hedge;
  engine->hedge_context = context;
}
