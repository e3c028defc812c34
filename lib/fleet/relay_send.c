/* What an instance tells the others by datagrams.  */

#include "relay_private.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "spread.h"
#include "telemetry.h"

/* A change goes in so many statements, as datagrams are lost; an instance that
   misses all of them fetches what has changed.  */
#define CHANGE_SENDS 3
/* Changes that are older are fetched.  */
#define CHANGE_REPEAT_MS 1200
/* Datagrams of one statement.  */
#define BURST_MAX 8
/* One datagram; larger ones would be cut into fragments.  */
#define DATAGRAM_MAX 1400

static bool is_due (const view_change_t *change, bool first, clock_ms_t now);
static bool add_changes (const relay_t *relay, fleet_wire_announce *wire,
                         bool first, size_t *room, clock_ms_t now);
static size_t encode_announce (relay_t *relay, size_t size, clock_ms_t now,
                               char *data, bool *more);
static void send_to_all (relay_t *relay, const GArray *groups, char *data,
                         size_t length);
static size_t forward_size (const GArray *groups);
static size_t encode (const relay_t *relay, fleet_wire_message *message,
                      char *data, size_t size);
static fleet_wire_member own_member (const relay_t *relay);

static bool
is_due (const view_change_t *change, bool first, clock_ms_t now)
{
  return now - change->at <= CHANGE_REPEAT_MS
         && (first ? change->sent == 0
                   : change->sent > 0 && change->sent < CHANGE_SENDS);
}

/* Adds changes that were told before, or not yet, as far as there is room.
   Return: whether some did not fit.  */
static bool
add_changes (const relay_t *relay, fleet_wire_announce *wire, bool first,
             size_t *room, clock_ms_t now)
{
  GList *link = relay->view->changes.head;

  /* Those that were told wait for the next statement in any case; the oldest
     of the others go first, so that none is left behind.  */
  while (link != NULL && link->next != NULL
         && now - ((view_change_t *)link->next->data)->at <= CHANGE_REPEAT_MS)
    link = link->next;
  for (; link != NULL; link = link->prev)
    {
      view_change_t *change = link->data;
      fleet_wire_change *to
          = &wire->changes.changes_val[wire->changes.changes_len];
      size_t size;

      if (!is_due (change, first, now))
        continue;
      if (wire->changes.changes_len == FLEET_CHANGES_MAX)
        return true;
      to->removed = change->removed;
      wire_from_backend (&to->backend, &change->entry, change->entry.cold);
      to->backend.revision = change->revision;
      size = xdr_sizeof ((xdrproc_t)xdr_fleet_wire_change, to);
      if (size > *room)
        return true;
      *room -= size;
      wire->changes.changes_len++;
      change->sent++;
    }
  return false;
}

/* Encodes the statement, or one datagram of it, into RECEIVE_MAX bytes.
   @size: of the datagram with the changes that are told now; 0: no changes.
   @more: out: more have to follow at once.  Return: its length; 0: it can't be
   encoded.  */
static size_t
encode_announce (relay_t *relay, size_t size, clock_ms_t now, char *data,
                 bool *more)
{
  fleet_wire_change changes[FLEET_CHANGES_MAX];
  fleet_wire_message message = { .body.type = FLEET_ANNOUNCE };
  fleet_wire_announce *wire = &message.body.fleet_wire_body_u.announce;
  GByteArray *ready = members_ready_bits (relay->members);
  size_t length;
  size_t room;

  wire->revision = relay->view->revision;
  wire->digest = view_digest (relay->view);
  wire->config_version
      = relay->view->routes != NULL ? relay->view->routes->version : 0;
  wire->members_digest = members_digest (relay->members);
  wire->fresh = reader_is_fresh (relay->reader, now);
  wire->weak = relay->reader->weak;
  wire->member = own_member (relay);
  wire->out.out_len = relay->view->out->len;
  wire->out.out_val = (fleet_wire_name *)(void *)relay->view->out->pdata;
  wire->ready.ready_len = ready->len;
  wire->ready.ready_val = (char *)ready->data;
  wire->changes.changes_val = changes;
  *more = false;
  length = encode (relay, &message, data, RECEIVE_MAX);
  room = length < size ? size - length : 0;
  if (size > 0)
    {
      *more = add_changes (relay, wire, true, &room, now);
      if (!*more)
        (void)add_changes (relay, wire, false, &room, now);
      wire->more = *more;
      if (wire->changes.changes_len > 0)
        length = encode (relay, &message, data, RECEIVE_MAX);
    }
  g_byte_array_free (ready, TRUE);
  return length;
}

/* Sends a message to the heads of all groups, each with the addresses of the
   others.  */
static void
send_to_all (relay_t *relay, const GArray *groups, char *data, size_t length)
{
  for (guint i = 0; i < groups->len; i++)
    {
      const spread_group_t *group = &g_array_index (groups, spread_group_t, i);
      u_int to[SPREAD_OTHERS_MAX];
      fleet_wire_forward forward
          = { .to.to_len = (u_int)group->count, .to.to_val = to };
      size_t whole = length;
      XDR xdr;

      for (int j = 0; j < group->count; j++)
        to[j] = ntohl (group->others[j]);
      xdrmem_create (&xdr, data + length, RECEIVE_MAX - (u_int)length,
                     XDR_ENCODE);
      if (group->count > 0 && xdr_fleet_wire_forward (&xdr, &forward))
        whole += xdr_getpos (&xdr);
      xdr_destroy (&xdr);
      relay_send_to (relay, group->head, data, whole);
    }
}

/* Passes a message on as its sender asks.  */
void
relay_pass_on (relay_t *relay, XDR *xdr, const char *data, size_t length)
{
  size_t message = xdr_getpos (xdr);
  fleet_wire_forward forward = { 0 };

  if (message < length && xdr_fleet_wire_forward (xdr, &forward))
    for (u_int i = 0; i < forward.to.to_len; i++)
      relay_send_to (relay, htonl (forward.to.to_val[i]), data, message);
  xdr_free ((xdrproc_t)xdr_fleet_wire_forward, (char *)&forward);
}

/* Bytes that the longest list of a plan takes in a datagram.  */
static size_t
forward_size (const GArray *groups)
{
  int most = 0;

  for (guint i = 0; i < groups->len; i++)
    most = MAX (most, g_array_index (groups, spread_group_t, i).count);
  return ((size_t)most + 1) * sizeof (uint32_t);
}

void
relay_announce (relay_t *relay, clock_ms_t now)
{
  char data[RECEIVE_MAX];
  bool more = true;
  GArray *groups;
  size_t room;

  relay->announced_at = now;
  relay->round++;
  groups = spread_plan (relay->members, relay->round, now);
  room = DATAGRAM_MAX - forward_size (groups);
  for (int i = 0; more && i < BURST_MAX; i++)
    {
      size_t length = encode_announce (relay, room, now, data, &more);

      if (length == 0)
        break;
      send_to_all (relay, groups, data, length);
    }
  g_array_unref (groups);
  if (more)
    relay_changed (relay);
}

/* A member that has just started, or was cut off, is told by itself.  */
void
relay_announce_to (relay_t *relay, uint32_t ip, clock_ms_t now)
{
  char data[RECEIVE_MAX];
  bool more;
  size_t length = encode_announce (relay, 0, now, data, &more);

  if (length > 0)
    relay_send_to (relay, ip, data, length);
}

static size_t
encode (const relay_t *relay, fleet_wire_message *message, char *data,
        size_t size)
{
  XDR xdr;
  size_t length = 0;

  message->magic = WIRE_MAGIC;
  message->sender = relay->members->own->name;
  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (xdr_fleet_wire_message (&xdr, message))
    length = xdr_getpos (&xdr);
  else
    g_warning ("statement to the other instances can't be encoded");
  xdr_destroy (&xdr);
  return length;
}

void
relay_send_to (relay_t *relay, uint32_t ip, const char *data, size_t length)
{
  struct sockaddr_in to = relay->address;

  to.sin_addr.s_addr = ip;
  /* A datagram that can't be sent counts as lost; the next one follows.  */
  if (sendto (relay->udp, data, length, 0, (const struct sockaddr *)&to,
              sizeof to)
      < 0)
    telemetry_count (TELEMETRY_PEER_DROPPED, 0);
  else
    telemetry_add (TELEMETRY_PEER_BYTES, 0, length);
}

static fleet_wire_member
own_member (const relay_t *relay)
{
  const member_t *own = relay->members->own;

  return (fleet_wire_member){ .name = own->name,
                              .data_centre = own->data_centre,
                              .ip = own->ip };
}

void
relay_hello (relay_t *relay, uint32_t ip)
{
  const member_t *own = relay->members->own;
  fleet_wire_message message = { .body.type = FLEET_HELLO };
  fleet_wire_hello *wire = &message.body.fleet_wire_body_u.hello;
  char data[DATAGRAM_MAX];
  size_t length;

  wire->ready = own->ready;
  wire->member = own_member (relay);
  length = encode (relay, &message, data, sizeof data);
  if (length > 0)
    relay_send_to (relay, ip, data, length);
}
