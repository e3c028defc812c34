#include "relay_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "telemetry.h"

/* Time between announcements while nothing changes.  */
#define ANNOUNCE_INTERVAL_MS 250
/* Shortest delay from a change until it is announced, so that simultaneous
   changes share an announcement.  */
#define ANNOUNCE_DELAY_MS 2
/* Shortest time between announcements to all members, so that frequent changes
   do not use up the reader's bandwidth.  */
#define ANNOUNCE_MIN_INTERVAL_MS 60
/* An instance that has received no announcement for this time sends hellos to
   the seeds.  */
#define READER_LOST_MS 700
/* Time between the hellos that an instance sends to the seeds.  */
#define SEED_HELLO_INTERVAL_MS 100
/* While there is no reader, any instance may reply to the hello of one that is
   not ready with an announcement.  This is the shortest time between two such
   replies of one instance.  If a reply is lost, or the fetch that its receiver
   starts fails, the next reply causes another fetch.  */
#define READERLESS_REPLY_INTERVAL_MS 100
/* Members reply to announcements with hellos.  A member that has sent no hello
   for longer than this may have missed announcements; when its next hello
   arrives, the reader sends it an announcement at once.  */
#define MEMBER_STALE_MS 400

static void on_datagram (struct ev_loop *loop, ev_io *watcher, int events);
static void on_announce_timer (struct ev_loop *loop, ev_timer *watcher,
                               int events);
static void handle_announcement (relay_t *relay, const char *sender,
                                 const fleet_wire_announce *wire,
                                 clock_ms_t now);
static void handle_message (relay_t *relay, const fleet_wire_message *message,
                            clock_ms_t now);
static void handle_hello (relay_t *relay, const fleet_wire_hello *wire,
                          clock_ms_t now);
static bool can_reply_without_reader (const relay_t *relay,
                                      const fleet_wire_hello *wire,
                                      clock_ms_t now);
static void forward_hello (relay_t *relay, const char *sender,
                           const char *data, size_t length, clock_ms_t now);
static void apply_ready (relay_t *relay, const fleet_wire_announce *wire,
                         clock_ms_t now);
static void apply_out_of_service (relay_t *relay,
                                  const fleet_wire_announce *wire,
                                  clock_ms_t now);
static unsigned int apply_announced_state (relay_t *relay,
                                           const fleet_wire_announce *wire,
                                           clock_ms_t now);
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
  relay->hello_sent_at = -SEED_HELLO_INTERVAL_MS;
  relay->seeds = *seeds;
  relay->hooks = *hooks;
  decide_rng_seed (&relay->rng, address->sin_addr.s_addr);
  relay->started_at = (uint64_t)g_get_real_time ();
  relay->members_version = 1;
  relay->fetch_fd = -1;
  relay->tcp_fd = -1;
  relay->fetch_buffer = g_byte_array_new ();
  relay->transfers = g_ptr_array_new ();
  for (int i = 0; i < seeds->count; i++)
    if (seeds->ip[i] == members->own->ip)
      members_set_initial_rank (members, i);
  relay->udp_fd = socket_bind_udp (address);
  *result = MIN (relay->udp_fd, 0);
  if (*result == 0)
    *result = relay_serve_listen (relay);
  if (*result != 0)
    {
      relay_free (relay);
      return NULL;
    }
  ev_io_init (&relay->udp_watcher, on_datagram, relay->udp_fd, EV_READ);
  ev_init (&relay->announce_timer, on_announce_timer);
  relay->udp_watcher.data = relay;
  relay->announce_timer.data = relay;
  ev_io_start (loop, &relay->udp_watcher);
  return relay;
}

void
relay_free (relay_t *relay)
{
  if (relay->udp_fd >= 0)
    {
      ev_io_stop (relay->loop, &relay->udp_watcher);
      ev_timer_stop (relay->loop, &relay->announce_timer);
      close (relay->udp_fd);
    }
  relay_fetch_close (relay);
  relay_serve_close (relay);
  g_byte_array_free (relay->fetch_buffer, TRUE);
  g_ptr_array_free (relay->transfers, TRUE);
  g_free (relay);
}

void
relay_tick (relay_t *relay, clock_ms_t now)
{
  bool reader_lost
      = !relay->reader->has_heard_reader
        || now - relay->reader->last_announcement_at > READER_LOST_MS;

  relay_contact_tick (relay, now);
  relay_allowance_tick (relay, now);
  relay_suspects_tick (relay, now);
  relay_counts_tick (relay, now);
  relay_serve_tick (relay, now);
  relay_fetch_tick (relay, now);
  if (!relay->reader->is_reader)
    {
      if (reader_lost && now - relay->hello_sent_at >= SEED_HELLO_INTERVAL_MS)
        {
          relay->hello_sent_at = now;
          for (int i = 0; i < relay->seeds.count; i++)
            if (relay->seeds.ip[i] != relay->members->own->ip)
              relay_send_hello (relay, relay->seeds.ip[i]);
        }
      return;
    }
  if (members_expire (relay->members, now))
    relay->hooks.members_changed (relay->hooks.context);
  if (now - relay->announced_at >= ANNOUNCE_INTERVAL_MS)
    relay_announce (relay, now);
  /* The others may have to take over, and wait from the announcement on.  */
  else if (reader_is_fresh (relay->reader, now) != relay->announced_fresh
           || relay->reader->is_partial != relay->announced_partial)
    relay_schedule_announcement (relay);
}

void
relay_start_anew (relay_t *relay, clock_ms_t now)
{
  const member_t *last_reader = NULL;
  char byte;

  contact_lose (&relay->contact);
  /* A datagram is dropped also if only its first byte is read.  */
  while (recv (relay->udp_fd, &byte, sizeof byte, 0) >= 0)
    ;
  if (relay->reader->has_heard_reader)
    last_reader = members_find (relay->members, relay->reader->last_reader);
  if (last_reader != NULL && last_reader != relay->members->own)
    relay_send_hello (relay, last_reader->ip);
  /* relay_tick() sends hellos to the seeds until an announcement arrives.  */
  relay->hello_sent_at = now - SEED_HELLO_INTERVAL_MS;
}

uint64_t
relay_config_version (const relay_t *relay)
{
  return relay->view->routes != NULL ? relay->view->routes->version : 0;
}

bool
relay_has_announced_config (const relay_t *relay)
{
  return relay->view->routes != NULL
         && relay->view->routes->version >= relay->announced_config_version;
}

void
relay_schedule_announcement (relay_t *relay)
{
  clock_ms_t since_announcement = clock_now () - relay->announced_at;

  if (relay->reader->is_reader && !ev_is_active (&relay->announce_timer))
    {
      ev_timer_set (&relay->announce_timer,
                    (double)MAX (ANNOUNCE_MIN_INTERVAL_MS - since_announcement,
                                 ANNOUNCE_DELAY_MS)
                        / 1000.0,
                    0);
      ev_timer_start (relay->loop, &relay->announce_timer);
    }
}

void
relay_set_ready (relay_t *relay, bool ready)
{
  const member_t *last_reader = NULL;

  if (relay->members->own->ready == ready)
    return;
  relay->members->own->ready = ready;
  relay_schedule_announcement (relay);
  if (relay->reader->has_heard_reader)
    last_reader = members_find (relay->members, relay->reader->last_reader);
  if (!relay->reader->is_reader && last_reader != NULL)
    relay_send_hello (relay, last_reader->ip);
  relay->hooks.members_changed (relay->hooks.context);
}

static void
on_announce_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  relay_t *relay = watcher->data;

  (void)loop;
  (void)events;
  /* This instance may have stepped down since the timer was started.  */
  if (relay->reader->is_reader)
    relay_announce (relay, clock_now ());
}

static void
handle_message (relay_t *relay, const fleet_wire_message *message,
                clock_ms_t now)
{
  const fleet_wire_body *body = &message->body;
  member_t *sender = members_find (relay->members, message->sender);

  if (sender != NULL)
    sender->heard_at = now;
  if (body->type == FLEET_ANNOUNCE)
    handle_announcement (relay, message->sender,
                         &body->fleet_wire_body_u.announce, now);
  else if (body->type == FLEET_HELLO)
    handle_hello (relay, &body->fleet_wire_body_u.hello, now);
  else if (body->type == FLEET_PERMIT_ASK)
    relay_handle_permit_ask (relay, &body->fleet_wire_body_u.permit_ask, now);
  else if (body->type == FLEET_PERMIT_REPLY)
    relay_handle_permit_reply (relay, &body->fleet_wire_body_u.permit_reply,
                               now);
  else if (body->type == FLEET_SUSPECTS)
    relay_handle_suspects (relay, &body->fleet_wire_body_u.suspects, now);
  else if (body->type == FLEET_ALLOWANCE_ASK)
    relay_handle_allowance_ask (relay, &body->fleet_wire_body_u.allowance_ask,
                                now);
  else if (body->type == FLEET_ALLOWANCE_REPLY)
    relay_handle_allowance_reply (
        relay, &body->fleet_wire_body_u.allowance_reply, now);
  else if (body->type == FLEET_COUNTS)
    relay_handle_counts (relay, message->sender,
                         &body->fleet_wire_body_u.counts, now);
}

static void
on_datagram (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;

  (void)loop;
  (void)events;
  for (;;)
    {
      static char data[RELAY_BUFFER_BYTES];
      ssize_t n = recv (relay->udp_fd, data, sizeof data, 0);
      fleet_wire_message message = { 0 };
      clock_ms_t now = clock_now ();
      XDR xdr;

      if (n < 0)
        return;
      telemetry_counter_add (TELEMETRY_PEER_BYTES, 1, (uint64_t)n);
      xdrmem_create (&xdr, data, (u_int)n, XDR_DECODE);
      if (xdr_fleet_wire_message (&xdr, &message)
          && message.magic == WIRE_MAGIC
          && strcmp (message.sender, relay->members->own->name) != 0)
        {
          if (message.body.type == FLEET_ANNOUNCE
              || message.body.type == FLEET_SUSPECTS)
            relay_forward (relay, &xdr, data, (size_t)n);
          else if (message.body.type == FLEET_HELLO)
            forward_hello (relay, message.sender, data, (size_t)n, now);
          handle_message (relay, &message, now);
        }
      xdr_destroy (&xdr);
      xdr_free ((xdrproc_t)xdr_fleet_wire_message, (char *)&message);
    }
}

/* Forwards a hello to the current reader.  This is needed if this instance is
   a seed, because an instance that receives no announcements sends its hellos
   to the seeds.  To avoid loops, the reader forwards no hellos, and a hello of
   the reader is not forwarded.  */
static void
forward_hello (relay_t *relay, const char *sender, const char *data,
               size_t length, clock_ms_t now)
{
  const reader_t *reader = relay->reader;
  const member_t *last_reader;

  if (reader->is_reader || now - reader->last_announcement_at > READER_LOST_MS
      || strcmp (sender, reader->last_reader) == 0)
    return;
  last_reader = members_find (relay->members, reader->last_reader);
  if (last_reader != NULL)
    relay_send_to (relay, last_reader->ip, data, length);
}

/* Whether this instance may reply to a hello with an announcement although it
   is not the reader: it knows the endpoints, there is no reader, its last such
   announcement is old enough, and the sender is not ready.  Others need no
   reply, and would count it as the announcement of a reader: they would not
   reply to those that start, nor take over.  */
static bool
can_reply_without_reader (const relay_t *relay, const fleet_wire_hello *wire,
                          clock_ms_t now)
{
  return wire->ready == 0 && relay->view->has_all_backends
         && now - relay->reader->last_announcement_at > READER_LOST_MS
         && now - relay->readerless_reply_at > READERLESS_REPLY_INTERVAL_MS;
}

static void
handle_hello (relay_t *relay, const fleet_wire_hello *wire, clock_ms_t now)
{
  member_t *member;
  bool changed = members_put (relay->members, wire->member.name,
                              wire->member.data_centre, wire->member.ip, now);

  changed |= members_set_weak (relay->members, wire->member.name,
                               wire->member.weak != 0);
  relay_handle_limits (relay, wire->limits.limits_val, wire->limits.limits_len,
                       now);
  relay_tell_missing_refused (relay, wire->member.ip, wire->refused_digest, 1,
                              now);
  member = members_find (relay->members, wire->member.name);
  /* A reader that was started after the store was restored from an older copy
     finds an older version there than the one in force.  */
  if (wire->config_version > relay_config_version (relay))
    relay_fetch_config (relay, wire->member.ip, now);
  /* The reader sends an announcement at once to a member that has just started
     or has sent no hello for MEMBER_STALE_MS.  If there is no reader, as
     during an outage of the store, any instance that knows the endpoints
     replies with an announcement to one that is not ready.  */
  if (relay->reader->is_reader ? now - member->last_hello_at > MEMBER_STALE_MS
                               : can_reply_without_reader (relay, wire, now))
    {
      relay->readerless_reply_at = now;
      relay_announce_to (relay, member->ip, now);
    }
  member->last_hello_at = now;
  if (member->ready == (wire->ready != 0) && !changed)
    return;
  member->ready = wire->ready != 0;
  relay_schedule_announcement (relay);
  relay->hooks.members_changed (relay->hooks.context);
}

/* Applies the changes of endpoints in an announcement, which has the oldest
   first.  */
static void
apply_changes (relay_t *relay, const fleet_wire_announce *wire, clock_ms_t now)
{
  for (u_int i = 0; i < wire->changes.changes_len; i++)
    {
      const fleet_wire_change *change = &wire->changes.changes_val[i];
      backend_entry_t entry;

      wire_to_backend (&change->backend, &entry);
      if (change->removed)
        {
          view_removal_t removal = { .revision = entry.revision,
                                     .born = entry.born,
                                     .sequence = entry.sequence };

          view_remove_backend (relay->view, entry.id, &removal, now);
        }
      else
        view_put_backend (relay->view, &entry, now);
    }
}

/* Applies what an announcement says about data centres out of service.  */
static void
apply_out_of_service (relay_t *relay, const fleet_wire_announce *wire,
                      clock_ms_t now)
{
  GPtrArray *out = g_ptr_array_new ();

  for (u_int i = 0; i < wire->out.out_len; i++)
    g_ptr_array_add (out, wire->out.out_val[i]);
  view_set_out_of_service (relay->view, out,
                           wire_to_revision (wire->out_revision), now);
  g_ptr_array_free (out, TRUE);
}

/* Applies what an announcement says about endpoints.  Return: bit mask of
   FLEET_PART_BACKENDS and FLEET_PART_MEMBERS: the parts that are to be
   fetched.  */
static unsigned int
apply_announced_state (relay_t *relay, const fleet_wire_announce *wire,
                       clock_ms_t now)
{
  unsigned int missing_parts = 0;

  apply_changes (relay, wire, now);
  if (wire->members_digest != members_digest (relay->members))
    missing_parts |= FLEET_PART_MEMBERS;
  if (wire->digest == view_digest (relay->view))
    {
      relay->fetch_mismatches = 0;
      view_set_synced (relay->view, wire_to_revision (wire->revision));
    }
  else if (!wire->more)
    missing_parts |= FLEET_PART_BACKENDS;
  return missing_parts;
}

/* Applies what an announcement says about which members are ready, and about
   this instance's contact with them.  */
static void
apply_ready (relay_t *relay, const fleet_wire_announce *wire, clock_ms_t now)
{
  bool is_same = wire->members_digest == members_digest (relay->members);
  bool is_listed = false;
  int changed = -EINVAL;

  if (is_same)
    changed = members_set_ready (relay->members,
                                 (const uint8_t *)wire->ready.ready_val,
                                 wire->ready.ready_len, &is_listed);
  relay_update_contact (relay, wire->heard, changed >= 0, is_listed, now);
  if (changed > 0)
    relay->hooks.members_changed (relay->hooks.context);
}

static void
handle_announcement (relay_t *relay, const char *sender,
                     const fleet_wire_announce *wire, clock_ms_t now)
{
  reader_t *reader = relay->reader;
  bool fresh = wire->fresh != 0;
  reader_announcement_t announcement = { .name = sender,
                                         .fresh = fresh,
                                         .partial = wire->partial != 0,
                                         .weak = wire->weak != 0 };
  unsigned int missing_parts = 0;
  /* Address of the announcing instance, not of the forwarder.  */
  uint32_t ip = wire->member.ip;

  (void)members_put (relay->members, wire->member.name,
                     wire->member.data_centre, wire->member.ip, now);
  (void)members_set_weak (relay->members, wire->member.name,
                          wire->member.weak != 0);
  relay_handle_limits (relay, wire->limits.limits_val, wire->limits.limits_len,
                       now);
  relay_tell_missing_refused (relay, ip, wire->refused_digest,
                              relay->members->table->len, now);
  for (u_int i = 0; i < wire->rollouts.rollouts_len; i++)
    wire_apply_rollout (&wire->rollouts.rollouts_val[i], relay->view, now);
  /* Live endpoints may have been unable to renew their entries in the store
     while no instance could read it.  */
  if (fresh
      && reader_is_after_outage (reader, relay->view->has_all_backends, now))
    view_retain_missing (relay->view, now);
  if (reader_handle_announcement (reader, relay->members->own->name,
                                  &announcement, now))
    {
      telemetry_counter_increment (TELEMETRY_READER_CHANGES, 1);
      g_log_structured ("fleet", G_LOG_LEVEL_MESSAGE, "READER", "ended",
                        "PEER", sender, "MESSAGE",
                        "this instance stops reading the store; instance %s "
                        "reads it now",
                        sender);
    }
  if (reader->is_reader
      || now - relay->hello_sent_at >= RELAY_HELLO_MIN_INTERVAL_MS)
    {
      relay->hello_sent_at = now;
      relay_send_hello (relay, ip);
    }
  if (reader->is_reader)
    return;
  relay->announced_by = ip;
  relay->announced_config_version = wire->config_version;
  if (wire->config.config_len > 0
      && wire_apply_config (wire->config.config_val, relay->view) == -EBADMSG)
    relay->needs_whole_config = true;
  apply_ready (relay, wire, now);
  apply_out_of_service (relay, wire, now);
  if (wire->config_version > relay_config_version (relay))
    missing_parts |= FLEET_PART_CONFIG;
  /* Of an announcement with an older store revision than this instance's, only
     the configuration and the data centres out of service are of use, which
     have an order of their own.  */
  if (store_revision_compare (wire_to_revision (wire->revision),
                              relay->view->revision)
      < 0)
    telemetry_counter_increment (TELEMETRY_OLDER_ANNOUNCEMENTS,
                                 missing_parts != 0 ? 1 : 0);
  else
    missing_parts |= apply_announced_state (relay, wire, now);
  /* A changed configuration has to take effect on all instances sooner than
     any other change.  It is therefore fetched at once and without the other
     parts of the state.  */
  if ((missing_parts & FLEET_PART_CONFIG) != 0
      && relay->view->has_all_backends)
    relay_fetch_config (relay, ip, now);
  /* If only the endpoints differ, the changes in the next announcements
     usually correct that.  The endpoints are therefore fetched only if they
     differ at two consecutive announcements.  */
  else if ((missing_parts & ~FLEET_PART_BACKENDS) != 0
           || !relay->view->has_all_backends
           || (missing_parts & relay->last_missing_parts) != 0)
    relay_fetch (relay, ip, missing_parts, now);
  relay->last_missing_parts = missing_parts;
}
