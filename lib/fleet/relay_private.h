#ifndef PERIDOT_FLEET_RELAY_PRIVATE_H
#define PERIDOT_FLEET_RELAY_PRIVATE_H

#include "relay.h"
#include "wire.h"

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
  uint8_t fetch_parts;
  ev_io fetch_reader;
  ev_io fetch_writer;
  ev_timer fetch_timer;
  GByteArray *fetched;
  clock_ms_t fetch_after; /* no fetch before */
  unsigned int wanted;    /* parts that differed at the last statement */
};

/* Fetches parts of the state from the instance at an address.  */
void relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts,
                  clock_ms_t now);
/* Fetches the configuration in place of whatever else is being fetched.  */
void relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now);
int relay_fetch_listen (relay_t *relay);
void relay_fetch_close (relay_t *relay);

#endif
