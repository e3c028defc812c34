#include "links.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "telemetry.h"

struct links
{
  links_callbacks_t callbacks;
  pthread_mutex_t lock;
  peer_server_t *server; /* guarded by the lock */
  uint64_t received;     /* total in bytes; guarded by the lock */
  uint32_t count;
  struct
  {
    decide_id_t id;
    peer_sender_t *sender;
  } peers[CONF_INSTANCES_MAX];
};

static void deliver (void *context, decide_id_t from, decide_msg_t *msg);

int
links_start (links_t **out, const conf_settings_t *settings,
             const links_callbacks_t *callbacks)
{
  links_t *links = calloc (1, sizeof *links);
  peer_server_options_t server
      = { .address = settings->listen_peers, .deliver = deliver };
  int error = 0;

  if (links == NULL)
    return -ENOMEM;
  pthread_mutex_init (&links->lock, NULL);
  links->callbacks = *callbacks;
  server.context = links;
  for (uint32_t i = 0; i < settings->instance_count && error == 0; i++)
    {
      peer_sender_options_t options
          = { .self = decide_id (settings->instance),
              .address = settings->instances[i].peers };

      if (i == settings->own)
        continue;
      links->peers[links->count].id = decide_id (settings->instances[i].name);
      error = peer_sender_start (&links->peers[links->count].sender, &options);
      if (error == 0)
        links->count++;
    }
  if (error == 0)
    error = peer_server_start (&links->server, &server);
  if (error != 0)
    {
      g_critical ("cannot listen for instances on %s: %s",
                  settings->listen_peers, g_strerror (-error));
      links_free (links);
      return error;
    }
  *out = links;
  return 0;
}

/* Passes a received message to the message callback or, if it carries a
   configuration object, the parsed object to the object callback.  The last
   message of a push has no object name and carries no object; it states up to
   which revision the push is complete.  */
static void
deliver (void *context, decide_id_t from, decide_msg_t *msg)
{
  links_t *links = context;
  const decide_msg_object_t *pushed_object = &msg->u.object;
  conf_object_t *object;
  conf_error_t error;

  if (msg->type != DECIDE_MSG_OBJECT_PUSH || pushed_object->name[0] == '\0')
    {
      links->callbacks.message (links->callbacks.context, from, msg);
      return;
    }
  if (conf_parse_object (pushed_object->name, pushed_object->body,
                         pushed_object->version, pushed_object->revision,
                         pushed_object->deleted, &object, &error)
      == 0)
    links->callbacks.object (links->callbacks.context, pushed_object->previous,
                             object);
  else
    {
      telemetry_counter_increment (TELEMETRY_OBJECTS_REJECTED, 0);
      g_warning ("configuration object of another instance rejected: %s",
                 error.text);
    }
  peer_msg_free (msg);
}

void
links_send (links_t *links, decide_id_t instance, const decide_msg_t *msg)
{
  for (uint32_t i = 0; i < links->count; i++)
    if (links->peers[i].id == instance)
      {
        telemetry_counter_increment (TELEMETRY_PEER_SENT, msg->type);
        if (peer_sender_put (links->peers[i].sender, msg) != 0)
          telemetry_counter_increment (TELEMETRY_PEER_DROPPED, 0);
        return;
      }
}

void
links_get_bytes (links_t *links, uint64_t *sent, uint64_t *received)
{
  peer_sender_stats_t sender;
  peer_server_stats_t server;

  *sent = 0;
  for (uint32_t i = 0; i < links->count; i++)
    {
      peer_sender_get_stats (links->peers[i].sender, &sender);
      *sent += sender.bytes;
    }
  pthread_mutex_lock (&links->lock);
  if (links->server != NULL)
    {
      peer_server_get_stats (links->server, &server);
      links->received = server.bytes;
    }
  *received = links->received;
  pthread_mutex_unlock (&links->lock);
}

void
links_stop_server (links_t *links)
{
  peer_server_t *server;

  if (links == NULL)
    return;
  /* The lock is needed because the decision thread may be in
     links_get_bytes().  */
  pthread_mutex_lock (&links->lock);
  server = links->server;
  links->server = NULL;
  pthread_mutex_unlock (&links->lock);
  peer_server_stop (server);
}

void
links_free (links_t *links)
{
  if (links == NULL)
    return;
  links_stop_server (links);
  for (uint32_t i = 0; i < links->count; i++)
    peer_sender_stop (links->peers[i].sender);
  pthread_mutex_destroy (&links->lock);
  free (links);
}
