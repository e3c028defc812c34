#ifndef PERIDOT_FLEET_SPREAD_H
#define PERIDOT_FLEET_SPREAD_H

/* Through whom the reader's statements reach all instances.  Needs no
   network.  */

#include "members.h"

/* Members that one of them passes statements on to.  */
#define SPREAD_OTHERS_MAX 128

typedef struct spread_group
{
  uint32_t head; /* network byte order; told by the reader */
  uint32_t others[SPREAD_OTHERS_MAX]; /* told by the head */
  int count;                          /* of @others */
} spread_group_t;

/**
 * spread_plan() - who is told by whom
 * @round: number of the statement; the heads change with it, so that one that
 * does not pass statements on delays its group by one statement only
 *
 * A few members are told directly.  Of many, those of a data centre are
 * divided into groups of about the square root of their number, and a member
 * that was heard a moment ago passes the statement on to the rest of its
 * group.
 *
 * Return: spread_group_t; to be freed with g_array_unref().
 */
GArray *spread_plan (const members_t *members, unsigned int round,
                     clock_ms_t now);

#endif
