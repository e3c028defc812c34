#ifndef PERIDOT_FLEET_HOLDERS_H
#define PERIDOT_FLEET_HOLDERS_H

/* Instances that were sent bulk data, such as all endpoints, to which further
   requests for it can be redirected.  Those in the requester's data centre are
   preferred, so that the data crosses between data centres only a few
   times.  */

#include "members.h"

/* Number of instances that are remembered.  */
#define HOLDERS_MAX 32

typedef struct holders
{
  uint64_t version; /* version of what they hold; 0 for endpoints, which have
                       digests of their own */
  uint32_t ip[HOLDERS_MAX]; /* ring buffer of their addresses; network byte
                               order */
  unsigned int added;       /* number of addresses added to @ip so far */
  unsigned int position;    /* counts the uses of @ip; modulo the number of
                               addresses in it, the index of the next one */
} holders_t;

/* Remembers an instance that has the data of this version.  Instances with
   another version are forgotten.  */
void holders_add (holders_t *holders, uint64_t version, uint32_t ip);

/**
 * holders_choose_local() - choose a holder in the data centre of the requester
 * @asker: address of the requester, which is not chosen; network byte order
 *
 * Return: the address of a holder that is ready, one after the other; 0: there
 * is none, or the requester is in this instance's data centre.
 */
uint32_t holders_choose_local (holders_t *holders, const members_t *members,
                               uint32_t asker);

/* Chooses any holder but the requester, one after the other.  Return: its
   address, or 0 if there is none.  */
uint32_t holders_choose (holders_t *holders, uint32_t asker);

#endif
