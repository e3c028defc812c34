/* Sending of announcements and hellos, which are datagrams.  */

#include "relay_private.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "spread.h"
#include "telemetry.h"

/* Limit of the number of announcements that include the same change.  Changes
   are repeated because datagrams may be lost.  An instance that misses all of
   these announcements fetches the change.  */
#define CHANGE_ANNOUNCEMENTS_MAX 3
/* A change that was recorded longer ago than this is not announced; an
   instance that has missed it fetches it.  */
#define CHANGE_MAX_AGE_MS 1200
/* Limit of the number of datagrams into which the changes of one announcement
   are divided.  */
#define ANNOUNCE_DATAGRAMS_MAX 8
/* Limit of the number of announcements that include a change of the
   configuration.  */
#define CONFIG_ANNOUNCEMENTS_MAX 3
/* Greatest length of an encoded change of the configuration in an
   announcement; a longer one is fetched.  */
#define CONFIG_CHANGE_MAX_BYTES 640
/* Greatest length of an encoded change of an endpoint in an announcement; a
   longer one is fetched.  */
#define ENDPOINT_CHANGE_MAX_BYTES 640
/* Greatest length of the limits of endpoints in an announcement, which leaves
   room for changes.  */
#define LIMITS_MAX_BYTES 600
/* Greatest length of the limits of endpoints in a hello.  */
#define HELLO_LIMITS_MAX_BYTES 900

static bool is_change_due (const view_change_t *change, bool never_announced,
                           clock_ms_t now);
static bool add_changes (const relay_t *relay, fleet_wire_announce *wire,
                         bool never_announced, size_t *bytes_left,
                         clock_ms_t now);
static config_change_t *make_config_change (relay_t *relay);
static size_t encode_announcement (relay_t *relay,
                                   const config_change_t *config,
                                   const GArray *limits,
                                   size_t message_length_max, clock_ms_t now,
                                   char *data, bool *more);
static size_t forward_list_bytes (const GArray *groups);
static fleet_wire_member make_own_wire_member (const relay_t *relay);

/* Whether to include a change in the current announcement: if @never_announced
   is set, only if it was never announced, and otherwise only if it was
   announced before but fewer than CHANGE_ANNOUNCEMENTS_MAX times.  In either
   case, not if it is older than CHANGE_MAX_AGE_MS.  */
static bool
is_change_due (const view_change_t *change, bool never_announced,
               clock_ms_t now)
{
  return now - change->recorded_at <= CHANGE_MAX_AGE_MS
         && (never_announced
                 ? change->announce_count == 0
                 : change->announce_count > 0
                       && change->announce_count < CHANGE_ANNOUNCEMENTS_MAX);
}

/* Adds changes to an announcement as far as they fit into @bytes_left: if
   @never_announced is set, those that were never announced, and otherwise
   those that were announced before but fewer than CHANGE_ANNOUNCEMENTS_MAX
   times.  Subtracts their length from @bytes_left.  Return: whether some did
   not fit.  */
static bool
add_changes (const relay_t *relay, fleet_wire_announce *wire,
             bool never_announced, size_t *bytes_left, clock_ms_t now)
{
  GList *link = relay->view->changes.head;

  /* The oldest change that is recent enough is added first, so that none is
     delayed again and again by newer ones.  */
  while (link != NULL && link->next != NULL
         && now - ((view_change_t *)link->next->data)->recorded_at
                <= CHANGE_MAX_AGE_MS)
    link = link->next;
  for (; link != NULL; link = link->prev)
    {
      view_change_t *change = link->data;
      fleet_wire_change *to
          = &wire->changes.changes_val[wire->changes.changes_len];
      size_t size;

      if (!is_change_due (change, never_announced, now))
        continue;
      if (wire->changes.changes_len == FLEET_CHANGES_MAX)
        return true;
      to->removed = change->removed;
      wire_from_backend (&to->backend, &change->entry, change->entry.cold);
      to->backend.revision = wire_from_revision (change->revision);
      size = xdr_sizeof ((xdrproc_t)xdr_fleet_wire_change, to);
      if (size > ENDPOINT_CHANGE_MAX_BYTES)
        {
          change->announce_count = CHANGE_ANNOUNCEMENTS_MAX;
          continue;
        }
      if (size > *bytes_left)
        return true;
      *bytes_left -= size;
      wire->changes.changes_len++;
      change->announce_count++;
    }
  return false;
}

/* Returns the last change of the configuration if it is small and was not
   announced often enough yet; NULL otherwise.  */
static config_change_t *
make_config_change (relay_t *relay)
{
  const view_t *view = relay->view;
  config_change_t *change;
  fleet_wire_config *wire;
  size_t size;

  if (view->routes == NULL)
    return NULL;
  if (relay->config_announced_version != view->routes->version)
    {
      relay->config_announced_version = view->routes->version;
      relay->config_announce_count = 0;
    }
  if (relay->config_announce_count >= CONFIG_ANNOUNCEMENTS_MAX)
    return NULL;
  relay->config_announce_count++;
  change = config_change_since (
      &view->config_history, view->routes, view->config_digest,
      config_history_previous_version (&view->config_history));
  wire = wire_config_new (change);
  size = xdr_sizeof ((xdrproc_t)xdr_fleet_wire_config, wire);
  wire_config_free (wire);
  if (change->base != 0 && size <= CONFIG_CHANGE_MAX_BYTES)
    return change;
  config_change_free (change);
  return NULL;
}

/* Encodes one message of an announcement.  @config: change of the
   configuration to include; NULL: none.  @limits: limits of endpoints to
   include; NULL: none.  @message_length_max: greatest
   length in bytes up to which changes are added; 0: none are added.  @data:
   buffer of RELAY_BUFFER_BYTES bytes.  @more: out: whether changes that were
   never announced did not fit and have to follow in another message.  Return:
   length of the message in bytes, or 0 if it cannot be encoded.  */
static size_t
encode_announcement (relay_t *relay, const config_change_t *config,
                     const GArray *limits, size_t message_length_max,
                     clock_ms_t now, char *data, bool *more)
{
  fleet_wire_change changes[FLEET_CHANGES_MAX];
  fleet_wire_rollout rollouts[FLEET_ROLLOUTS_MAX];
  fleet_wire_message message = { .body.type = FLEET_ANNOUNCE };
  fleet_wire_announce *wire = &message.body.fleet_wire_body_u.announce;
  GByteArray *ready = members_ready_bits (relay->members);
  size_t length;
  size_t bytes_left;

  wire->revision = wire_from_revision (relay->view->revision);
  wire->digest = view_digest (relay->view);
  wire->config_version = relay_config_version (relay);
  wire->members_digest = members_digest (relay->members);
  wire->fresh = reader_is_fresh (relay->reader, now);
  /* An instance that answers a hello without being the reader watches
     nothing.  */
  wire->partial = relay->reader->is_partial || !relay->reader->is_reader;
  wire->weak = relay->reader->weak;
  wire->member = make_own_wire_member (relay);
  wire->out_revision = wire_from_revision (relay->view->out_revision);
  wire->out.out_len = relay->view->out->len;
  wire->out.out_val = (fleet_wire_name *)(void *)relay->view->out->pdata;
  wire->heard = relay_count_heard (relay, now);
  wire->ready.ready_len = ready->len;
  wire->ready.ready_val = (char *)ready->data;
  wire->refused_digest = suspects_refused_digest (relay->view->suspects);
  wire->changes.changes_val = changes;
  wire->rollouts.rollouts_val = rollouts;
  wire->rollouts.rollouts_len = relay_add_rollouts (relay, rollouts, now);
  if (limits != NULL)
    {
      wire->limits.limits_len = limits->len;
      wire->limits.limits_val = (fleet_wire_limit *)(void *)limits->data;
    }
  if (config != NULL)
    {
      wire->config.config_len = 1;
      wire->config.config_val = wire_config_new (config);
    }
  *more = false;
  length = relay_encode_message (relay, &message, data, RELAY_BUFFER_BYTES);
  bytes_left = length < message_length_max ? message_length_max - length : 0;
  if (message_length_max > 0)
    {
      *more = add_changes (relay, wire, true, &bytes_left, now);
      if (!*more)
        (void)add_changes (relay, wire, false, &bytes_left, now);
      wire->more = *more;
      if (wire->changes.changes_len > 0)
        length
            = relay_encode_message (relay, &message, data, RELAY_BUFFER_BYTES);
    }
  g_byte_array_free (ready, TRUE);
  if (wire->config.config_len > 0)
    wire_config_free (wire->config.config_val);
  return length;
}

void
relay_send_to_groups (relay_t *relay, const GArray *groups, char *data,
                      size_t length)
{
  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);
      u_int to[SPREAD_RECIPIENTS_MAX];
      fleet_wire_forward forward
          = { .to.to_len = (u_int)group->count, .to.to_val = to };
      size_t total = length;
      XDR xdr;

      for (int j = 0; j < group->count; j++)
        to[j] = ntohl (group->recipients[j]);
      xdrmem_create (&xdr, data + length, RELAY_BUFFER_BYTES - (u_int)length,
                     XDR_ENCODE);
      if (group->count > 0 && xdr_fleet_wire_forward (&xdr, &forward))
        total += xdr_getpos (&xdr);
      xdr_destroy (&xdr);
      relay_send_to (relay, group->forwarder, data, total);
    }
}

void
relay_forward (relay_t *relay, XDR *xdr, const char *data, size_t length)
{
  size_t message_length = xdr_getpos (xdr);
  fleet_wire_forward forward = { 0 };

  if (message_length < length && xdr_fleet_wire_forward (xdr, &forward))
    for (u_int i = 0; i < forward.to.to_len; i++)
      relay_send_to (relay, htonl (forward.to.to_val[i]), data,
                     message_length);
  xdr_free ((xdrproc_t)xdr_fleet_wire_forward, (char *)&forward);
}

/* Returns the length in bytes of the encoded fleet_wire_forward of the group
   with the most recipients.  */
static size_t
forward_list_bytes (const GArray *groups)
{
  int longest = 0;

  for (guint i = 0; i < groups->len; i++)
    longest = MAX (longest, g_array_index (groups, spread_group_t, i).count);
  return ((size_t)longest + 1) * sizeof (uint32_t);
}

void
relay_announce (relay_t *relay, clock_ms_t now)
{
  char data[RELAY_BUFFER_BYTES];
  bool more = true;
  config_change_t *config = make_config_change (relay);
  GArray *limits = relay_collect_limits (relay, false, LIMITS_MAX_BYTES, now);
  GArray *groups;
  size_t message_length_max;

  relay->announced_at = now;
  relay->announced_fresh = reader_is_fresh (relay->reader, now);
  relay->announced_partial = relay->reader->is_partial;
  relay->sequence_number++;
  groups = spread_plan (relay->members, true, relay->sequence_number, now);
  message_length_max = RELAY_DATAGRAM_MAX_BYTES - forward_list_bytes (groups);
  for (int i = 0; more && i < ANNOUNCE_DATAGRAMS_MAX; i++)
    {
      size_t length = encode_announcement (
          relay, i == 0 ? config : NULL, i == 0 ? limits : NULL,
          message_length_max, now, data, &more);

      if (length == 0)
        break;
      relay_send_to_groups (relay, groups, data, length);
    }
  g_array_unref (groups);
  g_array_unref (limits);
  if (config != NULL)
    config_change_free (config);
  if (more)
    relay_schedule_announcement (relay);
}

void
relay_announce_to (relay_t *relay, uint32_t ip, clock_ms_t now)
{
  char data[RELAY_BUFFER_BYTES];
  bool more;
  GArray *limits = relay_collect_limits (relay, false, LIMITS_MAX_BYTES, now);
  size_t length
      = encode_announcement (relay, NULL, limits, 0, now, data, &more);

  if (length > 0)
    relay_send_to (relay, ip, data, length);
  g_array_unref (limits);
}

size_t
relay_encode_message (const relay_t *relay, fleet_wire_message *message,
                      char *data, size_t size)
{
  XDR xdr;
  size_t length = 0;

  message->magic = WIRE_MAGIC;
  message->sender = relay->members->own->name;
  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (xdr_fleet_wire_message (&xdr, message))
    length = xdr_getpos (&xdr);
  else
    g_warning (
        "a message to other instances cannot be encoded and is not sent");
  xdr_destroy (&xdr);
  return length;
}

void
relay_send_to (relay_t *relay, uint32_t ip, const char *data, size_t length)
{
  struct sockaddr_in to = relay->address;

  to.sin_addr.s_addr = ip;
  /* A datagram that cannot be sent is only counted: later announcements and
     hellos replace it.  */
  if (sendto (relay->udp_fd, data, length, 0, (const struct sockaddr *)&to,
              sizeof to)
      < 0)
    telemetry_counter_increment (TELEMETRY_PEER_DROPPED, 0);
  else
    telemetry_counter_add (TELEMETRY_PEER_BYTES, 0, length);
}

static fleet_wire_member
make_own_wire_member (const relay_t *relay)
{
  const member_t *own = relay->members->own;

  return (fleet_wire_member){ .name = own->name,
                              .data_centre = own->data_centre,
                              .ip = own->ip,
                              .weak = own->weak };
}

void
relay_send_hello (relay_t *relay, uint32_t ip)
{
  const member_t *own = relay->members->own;
  fleet_wire_message message = { .body.type = FLEET_HELLO };
  fleet_wire_hello *wire = &message.body.fleet_wire_body_u.hello;
  GArray *limits = relay_collect_limits (relay, true, HELLO_LIMITS_MAX_BYTES,
                                         clock_now ());
  char data[RELAY_DATAGRAM_MAX_BYTES];
  size_t length;

  wire->ready = own->ready;
  wire->config_version = relay_config_version (relay);
  wire->member = make_own_wire_member (relay);
  wire->limits.limits_len = limits->len;
  wire->limits.limits_val = (fleet_wire_limit *)(void *)limits->data;
  wire->refused_digest = suspects_refused_digest (relay->view->suspects);
  length = relay_encode_message (relay, &message, data, sizeof data);
  if (length > 0)
    relay_send_to (relay, ip, data, length);
  g_array_unref (limits);
}
