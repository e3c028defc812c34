#ifndef PERIDOT_FLEET_RELAY_PRIVATE_H
#define PERIDOT_FLEET_RELAY_PRIVATE_H

#include "relay.h"
#include "wire.h"

/* Number of instances most recently sent all endpoints that are
   remembered.  */
#define RELAY_SOURCES_MAX 32

struct relay
{
  struct ev_loop *loop;
  struct sockaddr_in address;
  view_t *view;
  members_t *members;
  reader_t *reader;
  feed_t *feed;
  relay_seeds_t seeds;
  relay_hooks_t hooks;
  int udp_fd; /* socket */
  int tcp_fd; /* listening socket; -1: none */
  ev_io udp_reader;
  ev_io tcp_acceptor;
  ev_timer announce_timer; /* delays an announcement, to coalesce changes */
  clock_ms_t announced_at; /* ms; last announcement to all members */
  clock_ms_t readerless_reply_at; /* ms; last announcement to one instance
                                     while there was no reader */
  unsigned int round;             /* number of announcements so far */
  clock_ms_t hello_sent_at; /* ms; last hello to the seeds or to a reader */
  /* The current fetch.  */
  int fetch_fd; /* -1: none */
  wire_request_t fetch_request;
  int fetch_redirects;  /* times that the current fetch was redirected */
  int fetch_mismatches; /* consecutive fetches of changes after which the
                           endpoints still differed from the sender's */
  ev_io fetch_reader;
  ev_io fetch_writer;
  ev_timer fetch_timer;
  GByteArray *fetch_buffer;        /* received so far */
  clock_ms_t next_fetch_at;        /* ms; no fetch starts before */
  unsigned int last_missing_parts; /* sum of FLEET_PART_ that differed at the
                                      last announcement */
  /* Transfers to other instances.  */
  GPtrArray *transfers; /* transfer_t *; those in progress */
  int full_transfers;   /* of these, those of all endpoints */
  /* Ring of the addresses of instances that were sent all endpoints, to which
     requests can be redirected; network byte order; 0: none.  */
  uint32_t sources[RELAY_SOURCES_MAX];
  unsigned int sources_added;    /* additions to the ring so far */
  unsigned int sources_offered;  /* round-robin position of next_source() */
  GBytes *full_snapshot;         /* all endpoints, encoded; NULL: not cached */
  uint64_t full_snapshot_digest; /* of the endpoints in it */
  clock_ms_t full_snapshot_at;   /* ms; when it was encoded */
};

/* Longest datagram, including the list of addresses to forward it to.  */
#define RELAY_BUFFER_BYTES 65536

/* Announces the reader's state and pending changes to all members.  */
void relay_announce (relay_t *relay, clock_ms_t now);
/* Announces the state, without changes, to one instance that has just started
   or was cut off.  */
void relay_announce_to (relay_t *relay, uint32_t ip, clock_ms_t now);
/* Forwards a message to the addresses that its sender has appended, if any.
   @xdr: positioned behind the message.  */
void relay_forward (relay_t *relay, XDR *xdr, const char *data, size_t length);
void relay_send_to (relay_t *relay, uint32_t ip, const char *data,
                    size_t length);
void relay_send_hello (relay_t *relay, uint32_t ip);

/* Fetches parts of the state from the instance at an address, unless a fetch
   is in progress or not allowed yet.  @parts: sum of FLEET_PART_.  */
void relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts,
                  clock_ms_t now);
/* Fetches the configuration, and aborts a fetch of other parts.  */
void relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now);
/* Frees the cached encoding of all endpoints when it has expired.  */
void relay_fetch_tick (relay_t *relay, clock_ms_t now);
/* Listens for requests.  Return: 0 or a negative errno.  */
int relay_fetch_listen (relay_t *relay);
/* Ends all transfers and the current fetch, and stops listening.  */
void relay_fetch_close (relay_t *relay);

#endif
