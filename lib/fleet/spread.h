#ifndef PERIDOT_FLEET_SPREAD_H
#define PERIDOT_FLEET_SPREAD_H

/* Plans the two-level application-layer multicast tree by which the reader's
   announcements reach all instances.  This module uses no network.  */

#include "members.h"

/* Limit of members that one member forwards announcements to.  */
#define SPREAD_RECIPIENTS_MAX 128

typedef struct spread_group
{
  /* Address that the reader sends to; network byte order.  */
  uint32_t forwarder;
  /* Addresses that the forwarder sends to; network byte order.  */
  uint32_t recipients[SPREAD_RECIPIENTS_MAX];
  int count; /* of @recipients */
} spread_group_t;

/**
 * spread_plan() - divide the members into groups and choose their forwarders
 * @round: number of the announcement; the forwarders rotate with it, so that
 * one that fails to forward delays its group by one announcement only
 *
 * If there are only a few members, each is sent the announcement directly.
 * Otherwise the members of each data centre are divided into groups of about
 * the square root of the number of all members, and a member from which a
 * hello was received recently forwards the announcement to the rest of its
 * group.
 *
 * Return: array of spread_group_t; free with g_array_unref().
 */
GArray *spread_plan (const members_t *members, unsigned int round,
                     clock_ms_t now);

#endif
