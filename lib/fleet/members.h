#ifndef PERIDOT_FLEET_MEMBERS_H
#define PERIDOT_FLEET_MEMBERS_H

/* Membership table: the instances that are listed in the store or were heard,
   and which of them are live and ready.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

typedef struct member
{
  char *name;
  char *data_centre;
  uint32_t ip;              /* network byte order */
  uint32_t hash;            /* of the name, for @initial_rank */
  clock_ms_t last_hello_at; /* ms; last hello from it, or when this instance
                               became the reader; 0: never */
  clock_ms_t added_at;      /* ms; when it was added to the table */
  bool ready;               /* as last announced, by itself or by the reader */
  bool is_retained;         /* put since members_begin_replace() */
} member_t;

typedef struct members
{
  GPtrArray *table;    /* member_t *, sorted by name */
  GHashTable *by_name; /* name to member_t *, owned by @table */
  uint64_t digest;     /* of the table, updated with each change */
  member_t *own;       /* this instance */
  int initial_rank;    /* takeover rank while no other member is known */
} members_t;

members_t *members_new (const char *own_name, const char *own_data_centre,
                        uint32_t own_ip);
void members_free (members_t *members);

/* Adds a member or updates its address and data centre.  Return: whether
   anything changed.  */
bool members_put (members_t *members, const char *name,
                  const char *data_centre, uint32_t ip, clock_ms_t now);
/* Members for which members_put() is not called between these two calls are
   removed, except this instance.  */
void members_begin_replace (members_t *members);
void members_end_replace (members_t *members);

member_t *members_find (const members_t *members, const char *name);

/* Digest of a member's name and address.  The digest of a table is the
   exclusive or of its members' digests.  */
uint64_t members_entry_digest (const char *name, uint32_t ip);
uint64_t members_digest (const members_t *members);

/**
 * members_expire() - mark members that send no hellos as not ready, and
 * remove those that were not heard for a long time
 *
 * Only the reader calls this, as hellos are sent to it.
 *
 * Return: whether anything changed.
 */
bool members_expire (members_t *members, clock_ms_t now);

/* Bitmap of the members that are ready, sorted by name, with the least
   significant bit of each byte first.  Free with g_byte_array_free().  */
GByteArray *members_ready_bits (const members_t *members);
/* Applies the reader's bitmap, except to this instance.  Return: 1 if anything
   changed, 0 if not, or -EINVAL if the bitmap is too short.  */
int members_set_ready (members_t *members, const uint8_t *bits,
                       unsigned int bytes);

/* Number of ready members; this instance always counts.  */
int members_count_ready (const members_t *members);

/* Sets the takeover rank that is used while no other member is known.  Seeds
   have the lowest ranks.  */
void members_set_initial_rank (members_t *members, int initial_rank);

/* Number of ready members that take over from the reader named @from before
   this instance does.  Members take over in the cyclic order of their names,
   from @from or, if that is NULL, from the lowest name.  */
int members_takeover_rank (const members_t *members, const char *from);

#endif
