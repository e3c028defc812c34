#ifndef PERIDOT_FLEET_MEMBERS_H
#define PERIDOT_FLEET_MEMBERS_H

/* The instances: those listed in the store, and which of them are live and
   ready.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

typedef struct member
{
  char *name;
  char *data_centre;
  uint32_t ip;          /* network byte order */
  uint32_t hash;        /* of the name; its short form in messages */
  clock_ms_t heard_at;  /* last hello, on the reader; 0: never */
  clock_ms_t listed_at; /* when it became known */
  bool ready;           /* as last stated, by itself or by the reader */
  bool kept;            /* named again during a replacement */
} member_t;

typedef struct members
{
  GPtrArray *table;    /* member_t *, sorted by name */
  GHashTable *by_name; /* the same */
  uint64_t digest;     /* of the table, kept with each change */
  member_t *own;
  int place; /* while no other is known */
} members_t;

members_t *members_new (const char *own_name, const char *own_data_centre,
                        uint32_t own_ip);
void members_free (members_t *members);

/* Adds a member or changes its address.  Return: whether something changed. */
bool members_put (members_t *members, const char *name,
                  const char *data_centre, uint32_t ip, clock_ms_t now);
/* Members that are not put between the two calls are removed, but for the own
   one.  */
void members_begin_replace (members_t *members);
void members_end_replace (members_t *members);

member_t *members_find (const members_t *members, const char *name);

/* Digest of names and addresses; that of a list is the exclusive or of those
   of its members.  */
uint64_t members_digest_of (const char *name, uint32_t ip);
uint64_t members_digest (const members_t *members);

/**
 * members_expire() - on the reader: a silent member is not ready any more,
 * and is forgotten after a long time
 * Return: whether something changed.
 */
bool members_expire (members_t *members, clock_ms_t now);

/* Readiness as one bit for each member in the order of names, the lowest of a
   byte first; to be freed with g_byte_array_free().  */
GByteArray *members_ready_bits (const members_t *members);
/* On others: takes over the reader's statement.  Return: 1: something changed,
   0, or -EINVAL when there are too few bits.  */
int members_set_ready (members_t *members, const uint8_t *bits,
                       unsigned int bytes);

/* Number of ready members, own one included.  */
int members_ready (const members_t *members);

/* The places among which instances that know no other are spread; seeds come
   first.  */
void members_set_place (members_t *members, int place);

/* Places between two members in the circle of names, for the order in which
   they take over from @from; NULL: from the beginning.  */
int members_distance (const members_t *members, const char *from);

#endif
