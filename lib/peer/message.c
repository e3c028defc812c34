#include "wire.h"

#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Size of a message in bytes up to the end of one member of its union.  */
#define SIZE_UP_TO(member)                                                    \
  (offsetof (decide_msg_t, u) + sizeof (((decide_msg_t *)0)->u.member))

/* Returns how many bytes of decide_msg_t the message uses, or 0 if its type is
   unknown.  */
static size_t
get_used_size (const decide_msg_t *msg)
{
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      return SIZE_UP_TO (heartbeat);
    case DECIDE_MSG_HEARTBEAT_ACK:
      return SIZE_UP_TO (ack);
    case DECIDE_MSG_SUPPORT_REQUEST:
    case DECIDE_MSG_SUPPORT_REPLY:
      return SIZE_UP_TO (support);
    case DECIDE_MSG_HANDOVER:
    case DECIDE_MSG_HANDOVER_ACK:
      return SIZE_UP_TO (handover);
    case DECIDE_MSG_OBJECT_PULL:
      return SIZE_UP_TO (pull_since);
    case DECIDE_MSG_OBJECT_PUSH:
      return SIZE_UP_TO (object);
    case DECIDE_MSG_GRANT_REQUEST:
    case DECIDE_MSG_GRANT:
    case DECIDE_MSG_QUEUED:
    case DECIDE_MSG_REFUSED:
    case DECIDE_MSG_RECALL:
    case DECIDE_MSG_GRANT_CANCEL:
      return SIZE_UP_TO (grant);
    case DECIDE_MSG_RELEASE:
      return SIZE_UP_TO (release)
             - (DECIDE_RELEASE_ENDS_MAX - 1 - msg->u.release.earlier_count)
                   * sizeof (decide_attempt_end_t);
    case DECIDE_MSG_KEY_CLAIM:
    case DECIDE_MSG_KEY_CLAIM_REPLY:
    case DECIDE_MSG_KEY_COPY:
    case DECIDE_MSG_KEY_COPY_ACK:
    case DECIDE_MSG_KEY_OUTCOME:
    case DECIDE_MSG_KEY_COLLECT:
    case DECIDE_MSG_KEY_COLLECT_REPLY:
      if (!msg->u.key.has_answer)
        return SIZE_UP_TO (key) - sizeof (decide_response_t);
      return SIZE_UP_TO (key) - DECIDE_RESPONSE_MAX_BYTES
             + msg->u.key.answer.length;
    }
  return 0;
}

static int
check_object (const decide_msg_object_t *object)
{
  if (object->name == NULL || strlen (object->name) > WIRE_NAME_MAX)
    return -EINVAL;
  if (object->body != NULL && strlen (object->body) > WIRE_BODY_MAX)
    return -EMSGSIZE;
  return 0;
}

static int
check_response (const decide_response_t *answer)
{
  if (answer->length > DECIDE_RESPONSE_MAX_BYTES
      || memchr (answer->content_type, '\0', sizeof answer->content_type)
             == NULL)
    return -EINVAL;
  return 0;
}

int
peer_msg_check (const decide_msg_t *msg)
{
  switch (msg->type)
    {
    case DECIDE_MSG_HEARTBEAT:
      return msg->u.heartbeat.acting_count <= DECIDE_SLICES
                     && msg->u.heartbeat.load_count <= DECIDE_LOADS_MAX
                 ? 0
                 : -EINVAL;
    case DECIDE_MSG_HANDOVER:
    case DECIDE_MSG_HANDOVER_ACK:
      return msg->u.handover.grant_count <= DECIDE_HANDOVER_GRANTS_MAX
                     && msg->u.handover.limit_count
                            <= DECIDE_HANDOVER_LIMITS_MAX
                 ? 0
                 : -EINVAL;
    case DECIDE_MSG_RELEASE:
      return msg->u.release.earlier_count < DECIDE_RELEASE_ENDS_MAX ? 0
                                                                    : -EINVAL;
    case DECIDE_MSG_OBJECT_PUSH:
      return check_object (&msg->u.object);
    case DECIDE_MSG_KEY_CLAIM:
    case DECIDE_MSG_KEY_CLAIM_REPLY:
    case DECIDE_MSG_KEY_COPY:
    case DECIDE_MSG_KEY_COPY_ACK:
    case DECIDE_MSG_KEY_OUTCOME:
    case DECIDE_MSG_KEY_COLLECT:
    case DECIDE_MSG_KEY_COLLECT_REPLY:
      return msg->u.key.has_answer ? check_response (&msg->u.key.answer) : 0;
    default:
      return get_used_size (msg) > 0 ? 0 : -EINVAL;
    }
}

static decide_msg_t *
copy_message (const decide_msg_t *msg, size_t allocated_bytes)
{
  decide_msg_t *copy = calloc (1, allocated_bytes);

  if (copy == NULL)
    return NULL;
  memcpy (copy, msg, get_used_size (msg));
  if (msg->type != DECIDE_MSG_OBJECT_PUSH)
    return copy;
  copy->u.object.name = strdup (msg->u.object.name);
  copy->u.object.body
      = strdup (msg->u.object.body != NULL ? msg->u.object.body : "");
  if (copy->u.object.name != NULL && copy->u.object.body != NULL)
    return copy;
  peer_msg_free (copy);
  return NULL;
}

decide_msg_t *
peer_msg_copy_compact (const decide_msg_t *msg)
{
  return copy_message (msg, get_used_size (msg));
}

decide_msg_t *
peer_msg_copy (const decide_msg_t *msg)
{
  return peer_msg_check (msg) == 0 ? copy_message (msg, sizeof *msg) : NULL;
}

void
peer_msg_free (decide_msg_t *msg)
{
  if (msg == NULL)
    return;
  if (msg->type == DECIDE_MSG_OBJECT_PUSH)
    {
      free ((char *)msg->u.object.name);
      free ((char *)msg->u.object.body);
    }
  free (msg);
}
