#ifndef PERIDOT_FLEET_RELAY_PRIVATE_H
#define PERIDOT_FLEET_RELAY_PRIVATE_H

#include "relay.h"
#include "wire.h"

/* So many instances that were sent all endpoints last are remembered.  */
#define RELAY_HOLDERS_MAX 32

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
  int udp;
  int tcp;
  ev_io udp_reader;
  ev_io tcp_acceptor;
  ev_timer soon; /* statement of a change, after others of the same moment */
  clock_ms_t announced_at;
  clock_ms_t told_at;  /* one instance was told without a reader */
  unsigned int round;  /* statements made */
  clock_ms_t hello_at; /* last one to the seeds */
  /* Fetch under way.  */
  int fetch_fd; /* -1: none */
  wire_request_t fetch_request;
  int fetch_hops;   /* times that this fetch was sent elsewhere */
  int fetch_misses; /* fetches of changes in a row that did not suffice */
  ev_io fetch_reader;
  ev_io fetch_writer;
  ev_timer fetch_timer;
  GByteArray *fetched;
  clock_ms_t fetch_after; /* no fetch before */
  unsigned int wanted;    /* parts that differed at the last statement */
  /* Transfers to others.  */
  GPtrArray *transfers;                /* those under way */
  int sending_all;                     /* of these, those of all endpoints */
  uint32_t holders[RELAY_HOLDERS_MAX]; /* network byte order; 0: none */
  unsigned int holders_added;
  unsigned int holders_named;
  GBytes *all; /* all endpoints, encoded; NULL: not at hand */
  uint64_t all_digest;
  clock_ms_t all_at; /* when @all was encoded */
};

/* Longest datagram with the list of those that it is passed on to.  */
#define RECEIVE_MAX 65536

/* The reader's statement to all members.  */
void relay_announce (relay_t *relay, clock_ms_t now);
/* To one that has just started, or was cut off.  */
void relay_announce_to (relay_t *relay, uint32_t ip, clock_ms_t now);
/* Passes a message on as its sender asks; @xdr: behind the message.  */
void relay_pass_on (relay_t *relay, XDR *xdr, const char *data, size_t length);
void relay_send_to (relay_t *relay, uint32_t ip, const char *data,
                    size_t length);
void relay_hello (relay_t *relay, uint32_t ip);

/* Fetches parts of the state from the instance at an address.  */
void relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts,
                  clock_ms_t now);
/* Fetches the configuration in place of whatever else is being fetched.  */
void relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now);
/* Frees what is kept for transfers when it is out of date.  */
void relay_fetch_tick (relay_t *relay, clock_ms_t now);
int relay_fetch_listen (relay_t *relay);
void relay_fetch_close (relay_t *relay);

#endif
