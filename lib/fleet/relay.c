#include "relay_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "telemetry.h"

#define ANNOUNCE_EVERY_MS 250
/* Changes of the same moment go in one statement.  */
#define ANNOUNCE_SOON_MS 2
/* Statements are at least this far apart, so that many changes don't fill the
   reader's link.  */
#define ANNOUNCE_GAP_MS 60
/* An instance that hears no reader for this time turns to the seeds.  */
#define UNHEARD_MS 700
#define HELLO_EVERY_MS 100
/* The reader's statements are answered at most this often.  */
#define HELLO_GAP_MS 200
/* An instance that does not read tells others what it knows at most this
   often; a fetch that was lost is begun again after it.  */
#define TELL_GAP_MS 100
/* A member that was silent for this time may have missed statements.  */
#define MEMBER_NEWS_MS 400
/* A store that was away this long may have let entries lapse.  */
#define OUTAGE_MS 1500

static void on_datagram (struct ev_loop *loop, ev_io *watcher, int events);
static void on_soon (struct ev_loop *loop, ev_timer *watcher, int events);
static void heard_announce (relay_t *relay, const char *sender,
                            const fleet_wire_announce *wire, clock_ms_t now);
static void heard_hello (relay_t *relay, const fleet_wire_hello *wire,
                         clock_ms_t now);
static bool knows_without_reader (const relay_t *relay, clock_ms_t now);
static void pass_on_hello (relay_t *relay, const char *sender,
                           const char *data, size_t length, clock_ms_t now);
static void apply_changes (relay_t *relay, const fleet_wire_announce *wire,
                           clock_ms_t now);

relay_t *
relay_new (struct ev_loop *loop, const struct sockaddr_in *address,
           view_t *view, members_t *members, reader_t *reader, feed_t *feed,
           const relay_seeds_t *seeds, const relay_hooks_t *hooks, int *result)
{
  relay_t *relay = g_new0 (relay_t, 1);

  relay->loop = loop;
  relay->address = *address;
  relay->view = view;
  relay->members = members;
  relay->reader = reader;
  relay->feed = feed;
  relay->hello_at = -HELLO_EVERY_MS;
  relay->seeds = *seeds;
  relay->hooks = *hooks;
  relay->fetch_fd = -1;
  relay->tcp = -1;
  relay->fetched = g_byte_array_new ();
  relay->transfers = g_ptr_array_new ();
  for (int i = 0; i < seeds->count; i++)
    if (seeds->ip[i] == members->own->ip)
      members_set_place (members, i);
  relay->udp = socket_bind_udp (address);
  *result = MIN (relay->udp, 0);
  if (*result == 0)
    *result = relay_fetch_listen (relay);
  if (*result != 0)
    {
      relay_free (relay);
      return NULL;
    }
  ev_io_init (&relay->udp_reader, on_datagram, relay->udp, EV_READ);
  ev_init (&relay->soon, on_soon);
  relay->udp_reader.data = relay;
  relay->soon.data = relay;
  ev_io_start (loop, &relay->udp_reader);
  return relay;
}

void
relay_free (relay_t *relay)
{
  if (relay->udp >= 0)
    {
      ev_io_stop (relay->loop, &relay->udp_reader);
      ev_timer_stop (relay->loop, &relay->soon);
      close (relay->udp);
    }
  relay_fetch_close (relay);
  g_byte_array_free (relay->fetched, TRUE);
  g_ptr_array_free (relay->transfers, TRUE);
  g_free (relay);
}

void
relay_tick (relay_t *relay, clock_ms_t now)
{
  bool unheard = !relay->reader->heard_once
                 || now - relay->reader->heard_any > UNHEARD_MS;

  relay_fetch_tick (relay, now);
  if (!relay->reader->reading)
    {
      if (unheard && now - relay->hello_at >= HELLO_EVERY_MS)
        {
          relay->hello_at = now;
          for (int i = 0; i < relay->seeds.count; i++)
            if (relay->seeds.ip[i] != relay->members->own->ip)
              relay_hello (relay, relay->seeds.ip[i]);
        }
      return;
    }
  if (members_expire (relay->members, now))
    relay->hooks.members_changed (relay->hooks.context);
  if (now - relay->announced_at >= ANNOUNCE_EVERY_MS)
    relay_announce (relay, now);
}

void
relay_changed (relay_t *relay)
{
  clock_ms_t since = clock_now () - relay->announced_at;

  if (relay->reader->reading && !ev_is_active (&relay->soon))
    {
      ev_timer_set (
          &relay->soon,
          (double)MAX (ANNOUNCE_GAP_MS - since, ANNOUNCE_SOON_MS) / 1000.0, 0);
      ev_timer_start (relay->loop, &relay->soon);
    }
}

void
relay_set_ready (relay_t *relay, bool ready)
{
  const member_t *last = NULL;

  if (relay->members->own->ready == ready)
    return;
  relay->members->own->ready = ready;
  relay_changed (relay);
  if (relay->reader->heard_once)
    last = members_find (relay->members, relay->reader->last);
  if (!relay->reader->reading && last != NULL)
    relay_hello (relay, last->ip);
  relay->hooks.members_changed (relay->hooks.context);
}

static void
on_soon (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  relay_announce (watcher->data, clock_now ());
}

static void
on_datagram (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;

  (void)loop;
  (void)events;
  for (;;)
    {
      static char data[RECEIVE_MAX];
      ssize_t n = recv (relay->udp, data, sizeof data, 0);
      fleet_wire_message message = { 0 };
      clock_ms_t now = clock_now ();
      XDR xdr;

      if (n < 0)
        return;
      telemetry_add (TELEMETRY_PEER_BYTES, 1, (uint64_t)n);
      xdrmem_create (&xdr, data, (u_int)n, XDR_DECODE);
      if (xdr_fleet_wire_message (&xdr, &message)
          && message.magic == WIRE_MAGIC
          && strcmp (message.sender, relay->members->own->name) != 0)
        {
          if (message.body.type == FLEET_ANNOUNCE)
            {
              relay_pass_on (relay, &xdr, data, (size_t)n);
              heard_announce (relay, message.sender,
                              &message.body.fleet_wire_body_u.announce, now);
            }
          else
            {
              pass_on_hello (relay, message.sender, data, (size_t)n, now);
              heard_hello (relay, &message.body.fleet_wire_body_u.hello, now);
            }
        }
      xdr_destroy (&xdr);
      xdr_free ((xdrproc_t)xdr_fleet_wire_message, (char *)&message);
    }
}

/* An instance that knows no reader has turned to this one as a seed.  Only
   what its sender sent itself is passed on, so that nothing circles.  */
static void
pass_on_hello (relay_t *relay, const char *sender, const char *data,
               size_t length, clock_ms_t now)
{
  const reader_t *reader = relay->reader;
  const member_t *last;

  if (reader->reading || now - reader->heard_any > UNHEARD_MS
      || strcmp (sender, reader->last) == 0)
    return;
  last = members_find (relay->members, reader->last);
  if (last != NULL)
    relay_send_to (relay, last->ip, data, length);
}

static bool
knows_without_reader (const relay_t *relay, clock_ms_t now)
{
  return relay->view->listed && now - relay->reader->heard_any > UNHEARD_MS
         && now - relay->told_at > TELL_GAP_MS;
}

static void
heard_hello (relay_t *relay, const fleet_wire_hello *wire, clock_ms_t now)
{
  member_t *member;
  bool changed = members_put (relay->members, wire->member.name,
                              wire->member.data_centre, wire->member.ip, now);

  member = members_find (relay->members, wire->member.name);
  /* One that has just started, or was not heard, is told at once.  Without a
     reader, as while the store is away, any instance tells what it knows.  */
  if (relay->reader->reading ? now - member->heard_at > MEMBER_NEWS_MS
                             : knows_without_reader (relay, now))
    {
      relay->told_at = now;
      relay_announce_to (relay, member->ip, now);
    }
  member->heard_at = now;
  if (member->ready == (wire->ready != 0) && !changed)
    return;
  member->ready = wire->ready != 0;
  relay_changed (relay);
  relay->hooks.members_changed (relay->hooks.context);
}

static void
apply_changes (relay_t *relay, const fleet_wire_announce *wire, clock_ms_t now)
{
  for (u_int i = wire->changes.changes_len; i > 0; i--)
    {
      const fleet_wire_change *change = &wire->changes.changes_val[i - 1];
      backend_entry_t entry;

      wire_to_backend (&change->backend, &entry);
      if (change->removed)
        view_remove (relay->view, entry.id, entry.revision, now);
      else
        view_put (relay->view, &entry, now);
    }
}

static void
heard_announce (relay_t *relay, const char *sender,
                const fleet_wire_announce *wire, clock_ms_t now)
{
  reader_t *reader = relay->reader;
  bool fresh = wire->fresh != 0;
  clock_ms_t last = MAX (reader->read_ok, reader->heard_fresh);
  uint64_t version
      = relay->view->routes != NULL ? relay->view->routes->version : 0;
  reader_statement_t statement
      = { .name = sender, .fresh = fresh, .weak = wire->weak != 0 };
  unsigned int wanted = 0;
  uint32_t ip = wire->member.ip; /* of the sender, not of who passed it on */
  GPtrArray *out;

  (void)members_put (relay->members, wire->member.name,
                     wire->member.data_centre, wire->member.ip, now);
  /* After a time without a reader entries may have lapsed.  */
  if (fresh && last != 0 && now - last > OUTAGE_MS)
    view_outage_ended (relay->view, now);
  if (reader_heard (reader, relay->members->own->name, &statement, now))
    {
      telemetry_count (TELEMETRY_READER_CHANGES, 1);
      g_message ("leaves reading the store to %s", sender);
    }
  if (reader->reading || now - relay->hello_at >= HELLO_GAP_MS)
    {
      relay->hello_at = now;
      relay_hello (relay, ip);
    }
  if (reader->reading)
    return;
  if (wire->members_digest == members_digest (relay->members)
      && members_set_ready (relay->members,
                            (const uint8_t *)wire->ready.ready_val,
                            wire->ready.ready_len)
             > 0)
    relay->hooks.members_changed (relay->hooks.context);
  /* A statement as of an older revision than the own one says nothing new of
     the store.  */
  if (wire->revision < relay->view->revision)
    return;
  apply_changes (relay, wire, now);
  out = g_ptr_array_new ();
  for (u_int i = 0; i < wire->out.out_len; i++)
    g_ptr_array_add (out, wire->out.out_val[i]);
  view_set_out (relay->view, out);
  g_ptr_array_free (out, TRUE);
  if (wire->config_version > version)
    wanted |= FLEET_PART_CONFIG;
  if (wire->members_digest != members_digest (relay->members))
    wanted |= FLEET_PART_MEMBERS;
  if (wire->digest != view_digest (relay->view))
    {
      if (!wire->more)
        wanted |= FLEET_PART_BACKENDS;
    }
  else
    {
      relay->fetch_misses = 0;
      view_agrees (relay->view, wire->revision);
    }
  /* The configuration has the shortest bound: it is fetched alone, at once. */
  if ((wanted & FLEET_PART_CONFIG) != 0 && relay->view->listed)
    relay_fetch_config (relay, ip, now);
  /* Endpoints that differ for a moment are brought into line by the changes
     that follow; the whole table is fetched when they still differ.  */
  else if ((wanted & ~FLEET_PART_BACKENDS) != 0 || !relay->view->listed
           || (wanted & relay->wanted) != 0)
    relay_fetch (relay, ip, wanted, now);
  relay->wanted = wanted;
}
