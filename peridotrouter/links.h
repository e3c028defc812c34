#ifndef PERIDOT_LINKS_H
#define PERIDOT_LINKS_H

/* Connections to and from the other instances: one sender for each, and a
   server that receives from all.  */

#include "conf.h"
#include "decide.h"
#include "peer.h"

typedef struct links links_t;

typedef struct links_callbacks
{
  void *context;
  /* Handles a message that carries no configuration object; the callee owns
     @msg.  */
  void (*message) (void *context, decide_id_t from, decide_msg_t *msg);
  /* Handles a valid configuration object, which the callee owns.  The sender
     has no change between store revision @previous and that of the object.  */
  void (*object) (void *context, uint64_t previous, conf_object_t *object);
} links_callbacks_t;

/**
 * links_start() - listen for the other instances and start a sender for each
 * Return: 0 or a negative error number; the cause is logged.
 */
int links_start (links_t **links, const conf_settings_t *settings,
                 const links_callbacks_t *callbacks);

/* Queues a message to an instance.  The message is dropped if the instance is
   unknown or its sender does not accept it; only the latter is counted.  */
void links_send (links_t *links, decide_id_t instance,
                 const decide_msg_t *msg);

/* Sets @sent and @received to the bytes of messages since the start.  */
void links_get_bytes (links_t *links, uint64_t *sent, uint64_t *received);

/* Stops receiving.  No callback is called after this function has
   returned.  */
void links_stop_server (links_t *links);
/* Stops receiving and sending and frees @links, which may be NULL.  */
void links_free (links_t *links);

#endif
