#ifndef PERIDOT_LINKS_H
#define PERIDOT_LINKS_H

/* Connections to and from the other instances.  */

#include "conf.h"
#include "decide.h"
#include "peer.h"

typedef struct links links_t;

typedef struct links_callbacks
{
  void *context;
  /* The callee owns @msg.  */
  void (*message) (void *context, decide_id_t from, decide_msg_t *msg);
  /* A configuration object that passed the checks; the callee owns it.  */
  void (*object) (void *context, uint64_t previous, conf_object_t *object);
} links_callbacks_t;

int links_start (links_t **links, const conf_settings_t *settings,
                 const links_callbacks_t *callbacks);

/* Drops messages to unknown instances.  */
void links_send (links_t *links, decide_id_t instance,
                 const decide_msg_t *msg);

/* Sets the bytes of messages sent and received since the start.  */
void links_get_bytes (links_t *links, uint64_t *sent, uint64_t *received);

/* No callback is made after the return.  */
void links_stop_server (links_t *links);
void links_free (links_t *links);

#endif
