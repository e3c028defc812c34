#ifndef PERIDOT_FLEET_RELAY_PRIVATE_H
#define PERIDOT_FLEET_RELAY_PRIVATE_H

/* Shared by the parts of the relay: relay.c receives messages and decides what
   to send, relay_send.c sends datagrams, and relay_fetch.c and relay_serve.c
   transfer state over TCP.  */

#include "holders.h"
#include "relay.h"
#include "wire.h"

/* Number of kinds of data that are sent to a limited number of requesters:
   all endpoints, and large changes of the configuration.  */
#define RELAY_BULK_KINDS 2

struct relay
{
  struct ev_loop *loop;
  struct sockaddr_in address; /* UDP and TCP address of this instance */
  view_t *view;
  members_t *members;
  reader_t *reader;
  feed_t *feed;
  relay_seeds_t seeds;
  relay_hooks_t hooks;
  int udp_fd; /* socket for announcements and hellos */
  int tcp_fd; /* listening socket for requests of other instances for the
                 state; -1: none */
  ev_io udp_watcher;       /* waits until @udp_fd is readable */
  ev_io accept_watcher;    /* waits for connections on @tcp_fd */
  ev_timer announce_timer; /* delays an announcement, to coalesce changes */
  clock_ms_t announced_at; /* ms; when this instance last sent an announcement
                              to all members */
  bool announced_fresh;    /* what it then said of itself; see */
  bool announced_partial;  /* reader_announcement_t */
  clock_ms_t readerless_reply_at; /* ms; when this instance last replied to a
                                     hello with an announcement; limits such
                                     replies while there is no reader */
  uint64_t config_announced_version; /* version of the configuration whose
                                        change was last announced */
  int config_announce_count; /* number of announcements that have included
                                or could have included that change */
  decide_rng_t rng; /* chooses the instances that tell the reader what it
                       lacks */
  uint32_t limits_position; /* position in the table of endpoints from which
                               the next announcement includes limits */
  allowance_bounds_t allowance_bounds;
  contact_t contact;             /* of this instance with the others */
  clock_ms_t members_changed_at; /* ms; when @members_version last changed */
  guint tenant_position;    /* position among the tenants from which roles are
                               updated next */
  uint64_t members_version; /* changes when the set of ready instances may have
                               changed; never 0 */
  uint64_t started_at; /* identifies the start of this process in messages with
                          counts; Unix time in us */
  clock_ms_t counts_sent_at; /* ms; when counts were last sent */
  uint32_t counts_sent_to;   /* address to which they were sent; network byte
                                order */
  unsigned int sequence_number; /* number of announcements that were sent to
                                   all members so far, which also is the
                                   sequence number of the last one */
  clock_ms_t hello_sent_at; /* ms; when this instance last sent a hello to the
                               seeds or in reply to an announcement */
  /* The current fetch: a request of this instance for another one's state.  */
  int fetch_fd; /* connected socket; -1: no fetch is in progress */
  wire_request_t fetch_request; /* request that the current fetch sends */
  uint32_t fetch_ip;            /* address that it is sent to; network byte
                                   order */
  bool needs_whole_config; /* the last fetched changes of the configuration did
                              not fit this instance's version */
  unsigned int due_parts;  /* parts of the state that an instance has not sent,
                              or could not be asked for yet, to be fetched from
                              @due_from at @next_fetch_at; 0: none */
  uint32_t due_from;
  /* What the last announcement said.  */
  uint64_t announced_config_version;
  uint32_t announced_by; /* address of its sender; network byte order */
  int fetch_redirects;   /* number of times that the current fetch was
                            redirected to another instance */
  int fetch_mismatches; /* number of consecutive fetches of changes after which
                           the endpoints still differed from those of the
                           instance that had sent the changes */
  ev_io fetch_read_watcher;
  ev_io fetch_write_watcher;
  ev_timer fetch_timer;     /* aborts the fetch if it makes no progress */
  GByteArray *fetch_buffer; /* bytes received in the current fetch */
  clock_ms_t next_fetch_at; /* ms; time before which no fetch starts */
  /* Bit mask of FLEET_PART_CONFIG, FLEET_PART_BACKENDS and FLEET_PART_MEMBERS:
     the parts of the state that were still to be fetched after this instance
     last applied a received announcement.  */
  unsigned int last_missing_parts;
  /* Transfers of this instance's state to others.  */
  GPtrArray *transfers; /* transfer_t *; the transfers in progress */
  int bulk_transfers[RELAY_BULK_KINDS]; /* number of @transfers that send
                                           bulk data, by kind */
  holders_t holders[RELAY_BULK_KINDS];  /* by kind */
  GBytes *full_snapshot; /* cached encoding of all endpoints; NULL: none */
  uint64_t full_snapshot_digest; /* view_digest() of the endpoints in
                                    @full_snapshot */
  clock_ms_t full_snapshot_at;   /* ms; when @full_snapshot was encoded */
  GBytes *config_snapshot; /* cached encoding of changes of the configuration;
                              NULL: none */
  uint64_t config_snapshot_since;     /* version after which they are */
  uint64_t config_snapshot_version;   /* version that they lead to */
  clock_ms_t config_snapshot_used_at; /* ms; when it was last sent */
};

/* Size of a buffer for one datagram: a message and the list of addresses that
   its receiver forwards it to.  */
#define RELAY_BUFFER_BYTES 65536

/* Greatest length of a datagram; a longer one would be fragmented.  */
#define RELAY_DATAGRAM_MAX_BYTES 1400
/* Shortest time between hellos that an instance sends to the reader.  */
#define RELAY_HELLO_MIN_INTERVAL_MS 200

/* Version of this instance's configuration; 0: none.  */
uint64_t relay_config_version (const relay_t *relay);

/* Sends announcements to all members: the digests of this instance's state and
   the changes that are to be announced.  */
void relay_announce (relay_t *relay, clock_ms_t now);
/* Sends an announcement without changes to one instance, which has just
   started or may have missed announcements.  */
void relay_announce_to (relay_t *relay, uint32_t ip, clock_ms_t now);
/* Forwards a received message to the addresses that its sender has appended to
   the datagram, if any.  @xdr: decoder of the datagram, which has just decoded
   the message.  @data, @length: the datagram.  */
void relay_forward (relay_t *relay, XDR *xdr, const char *data, size_t length);
/* Sends a message to the forwarder of each group (see spread.h), followed by
   the addresses to which it forwards the message.  @data: buffer of
   RELAY_BUFFER_BYTES bytes, of which the message takes @length.  */
void relay_send_to_groups (relay_t *relay, const GArray *groups, char *data,
                           size_t length);
/* Sends a datagram to an address.  A failure is only counted, in
   TELEMETRY_PEER_DROPPED.  */
void relay_send_to (relay_t *relay, uint32_t ip, const char *data,
                    size_t length);
/* Sends a hello, which states whether this instance is ready, to the instance
   at the address @ip.  */
void relay_send_hello (relay_t *relay, uint32_t ip);

/* Encodes a message of this instance.  Return: its length in bytes, or 0.  */
size_t relay_encode_message (const relay_t *relay, fleet_wire_message *message,
                             char *data, size_t size);

/* Returns the limits to be told to other instances, as fleet_wire_limit with
   strings of the endpoints: those that have changed lately and, unless
   @only_own is set, others in turn.  @only_own: only those that responses to
   this instance have stated.  @bytes_max: greatest length of them all.  */
GArray *relay_collect_limits (relay_t *relay, bool only_own, size_t bytes_max,
                              clock_ms_t now);
/* Records limits that another instance has told.  The reader announces those
   that are new.  */
void relay_handle_limits (relay_t *relay, const fleet_wire_limit *limits,
                          u_int count, clock_ms_t now);
/* Issues or refuses a permit as the keeper of an endpoint.  */
void relay_handle_permit_ask (relay_t *relay,
                              const fleet_wire_permit_ask *wire,
                              clock_ms_t now);
void relay_handle_permit_reply (relay_t *relay,
                                const fleet_wire_permit_reply *wire,
                                clock_ms_t now);

/* The instances that are asked about something named @name, in this order: the
   ready ones with the highest weights in rendezvous hashing.  */
typedef struct candidates
{
  const member_t *members[KEEPER_CANDIDATES];
  int count;
  int own_rank; /* index of this instance, or KEEPER_NO_RANK */
} candidates_t;

candidates_t relay_find_candidates (const members_t *members,
                                    const char *name);
/* Returns the first of the candidates, which keeps the state of something
   named @name for all.  NULL: no instance is ready.  */
const member_t *relay_find_keeper (const members_t *members, const char *name);
/* Records what an announcement, also one of this instance, says about its
   contact with the others.  @heard: number of members that the announcing one
   hears.  @tells_listing: see contact_news_t.  */
void relay_update_contact (relay_t *relay, unsigned int heard,
                           bool tells_listing, bool is_listed, clock_ms_t now);
/* Returns the number of members that this instance hears, for announcements.
 */
unsigned int relay_count_heard (const relay_t *relay, clock_ms_t now);
/* Records how many members this instance hears itself.  */
void relay_contact_tick (relay_t *relay, clock_ms_t now);
/* Updates this instance's roles for some of the tenants, in turn.  */
void relay_allowance_tick (relay_t *relay, clock_ms_t now);
/* Sends a message to the instance at an address.  */
void relay_send_message (relay_t *relay, uint32_t ip,
                         fleet_wire_message *message);
/* Grants or refuses tokens as the keeper of a tenant's allowance.  */
void relay_handle_allowance_ask (relay_t *relay,
                                 const fleet_wire_allowance_ask *wire,
                                 clock_ms_t now);
void relay_handle_allowance_reply (relay_t *relay,
                                   const fleet_wire_allowance_reply *wire,
                                   clock_ms_t now);

/* Records what another instance has told of requests that may crash
   endpoints.  */
void relay_handle_suspects (relay_t *relay, const fleet_wire_suspects *wire,
                            clock_ms_t now);
/* Tells an instance of the requests that this one refuses if the digest of
   those that it refuses differs.  @tellers: number of instances that may do so
   at the same time, of which a few suffice.  */
void relay_tell_missing_refused (relay_t *relay, uint32_t ip, uint64_t digest,
                                 guint tellers, clock_ms_t now);
/* Tells others of such requests where that is due.  */
void relay_suspects_tick (relay_t *relay, clock_ms_t now);

/* Adds rollouts to an announcement, in turn if there are many.  Return: their
   number.  */
u_int relay_add_rollouts (const relay_t *relay,
                          fleet_wire_rollout rollouts[FLEET_ROLLOUTS_MAX],
                          clock_ms_t now);
/* Records what another instance has counted.  */
void relay_handle_counts (relay_t *relay, const char *sender,
                          const fleet_wire_counts *wire, clock_ms_t now);
/* Sends this instance's counts to the reader where that is due.  */
void relay_counts_tick (relay_t *relay, clock_ms_t now);

/* Starts to fetch parts of the state from the instance at an address, unless a
   fetch is in progress or @now is before @relay->next_fetch_at.  @parts: bit
   mask of FLEET_PART_CONFIG, FLEET_PART_BACKENDS and FLEET_PART_MEMBERS.  */
void relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts,
                  clock_ms_t now);
/* Starts to fetch only the configuration from the instance at an address,
   unless such a fetch is in progress.  Any other fetch in progress is
   aborted.  */
void relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now);
/* Fetches again what was refused, when its delay has passed.  */
void relay_fetch_tick (relay_t *relay, clock_ms_t now);
/* Ends the current fetch.  */
void relay_fetch_close (relay_t *relay);

/* Starts to listen for requests of other instances for the state.  Return: 0
   or a negative errno.  */
int relay_serve_listen (relay_t *relay);
/* Frees the cached encoding of all endpoints, because it is outdated.  */
void relay_serve_drop_cached (relay_t *relay);
/* Frees cached encodings that are too old to be sent or are not used.  */
void relay_serve_tick (relay_t *relay, clock_ms_t now);
/* Ends all transfers and stops listening.  */
void relay_serve_close (relay_t *relay);

#endif
