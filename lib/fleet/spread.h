#ifndef PERIDOT_FLEET_SPREAD_H
#define PERIDOT_FLEET_SPREAD_H

/* Plans the two-level application-layer multicast tree by which the
   announcements of the reader (the instance that reads the store on behalf of
   all) reach all instances.  The members are divided into groups; the reader
   sends a message to one member of each group, the forwarder, which forwards
   it to the others.  This module only computes the groups and uses no
   network.  */

#include "members.h"

/* Limit of the number of members to which a forwarder forwards messages.  */
#define SPREAD_RECIPIENTS_MAX 128

/* A forwarder and the members to which it forwards an announcement.  */
typedef struct spread_group
{
  /* Address to which the reader sends; network byte order.  */
  uint32_t forwarder;
  /* Addresses to which the forwarder sends; network byte order.  */
  uint32_t recipients[SPREAD_RECIPIENTS_MAX];
  int count; /* number of addresses in @recipients; 0 if the group consists
                only of @forwarder */
} spread_group_t;

/**
 * spread_plan() - divide the members into groups and choose their forwarders
 * @hears_hellos: this instance is the reader, to which the members send their
 *   hellos, so that it can tell which of them are silent
 * @sequence_number: sequence number of the announcement.  The forwarders
 *   differ from one announcement to the next, so that a forwarder that fails
 *   costs its group only one announcement.
 *
 * If there are only a few members, each is sent the announcement directly.
 * Otherwise the recipients in each data centre are divided into groups of at
 * most the square root of the number of all recipients, rounded up.  In each
 * group a member that has recently sent a hello (a heartbeat to the reader) is
 * chosen as the forwarder.
 *
 * Return: array of spread_group_t; free with g_array_unref().
 */
GArray *spread_plan (const members_t *members, bool hears_hellos,
                     unsigned int sequence_number, clock_ms_t now);

#endif
