#ifndef PERIDOT_FLEET_MEMBERS_H
#define PERIDOT_FLEET_MEMBERS_H

/* Membership table: the instances that are listed in the store or from which a
   message was received, and which of them are live and ready.  The reader is
   the instance that reads the store on behalf of all; the others send it
   hellos, which are their heartbeats.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

typedef struct member
{
  char *name;
  char *data_centre;
  uint32_t ip;   /* IPv4 address in network byte order */
  uint32_t hash; /* hash of @name; that of this instance determines its
                    takeover rank while it knows no other member */
  clock_ms_t last_hello_at; /* ms; when the last hello from the member was
                               received, or when this instance became the
                               reader, whichever is later; 0: never */
  clock_ms_t heard_at;      /* ms; when a message of the member was received;
                               0: never */
  clock_ms_t added_at;      /* ms; when the member was added to the table */
  bool weak;        /* it has little bandwidth or CPU time, and reads the store
                       only if no other member does */
  bool ready;       /* the member accepts requests, as last stated in its hello
                       or the reader's announcement */
  bool is_retained; /* members_end_replace() keeps the member: it is this
                       instance, or members_put() was called for it since
                       members_begin_replace() */
} member_t;

typedef struct members
{
  GPtrArray *table;    /* member_t *, sorted by name */
  GHashTable *by_name; /* maps names to the member_t * in @table */
  uint64_t digest;  /* exclusive or of members_entry_digest() of all members */
  member_t *own;    /* this instance */
  int initial_rank; /* takeover rank of this instance while it knows no other
                       member */
} members_t;

/* Creates a table that has only this instance.  @own_ip: network byte
   order.  */
members_t *members_new (const char *own_name, const char *own_data_centre,
                        uint32_t own_ip);
void members_free (members_t *members);

/* Adds a member or updates its address and data centre.  @ip: network byte
   order.  Return: whether the member is new or has changed.  */
bool members_put (members_t *members, const char *name,
                  const char *data_centre, uint32_t ip, clock_ms_t now);
/* Sets whether a member is weak.  Return: whether that has changed.  */
bool members_set_weak (members_t *members, const char *name, bool weak);
/* Replaces the table: members_end_replace() removes the members for which
   members_put() was not called since members_begin_replace(), except this
   instance.  */
void members_begin_replace (members_t *members);
void members_end_replace (members_t *members);

/* Returns the member with this name, or NULL.  */
member_t *members_find (const members_t *members, const char *name);

/* Digest of a member's name, its address and whether it is weak.  @ip: network
   byte order.  */
uint64_t members_entry_digest (const char *name, uint32_t ip, bool weak);
/* Digest of the table: the exclusive or of the digests of its members.  */
uint64_t members_digest (const members_t *members);

/**
 * members_expire() - mark members that have stopped sending hellos as not
 * ready, and remove those that have sent none for ten minutes
 *
 * Only the reader calls this, as hellos are sent to it.
 *
 * Return: whether a member was marked or removed.
 */
bool members_expire (members_t *members, clock_ms_t now);

/* Returns a bitmap of the ready members: bit i stands for the i-th member by
   name, with the least significant bit of each byte first.  Free with
   g_byte_array_free().  */
GByteArray *members_ready_bits (const members_t *members);
/* Sets which members are ready according to the reader's bitmap, as returned
   by members_ready_bits(); the state of this instance is left unchanged.
   @bytes: length of @bits.  @is_listed: out: whether this instance is ready
   according to the bitmap.  Return: 1 if the state of a member changed, 0 if
   not, or -EINVAL if the bitmap is too short.  */
int members_set_ready (members_t *members, const uint8_t *bits,
                       unsigned int bytes, bool *is_listed);

/* Number of ready members, including this instance even if it is not
   ready.  */
int members_count_ready (const members_t *members);

/* Number of members of which a message was received lately, including this
   instance.  */
int members_count_heard (const members_t *members, clock_ms_t now);

/* Sets the takeover rank of this instance while it knows no other member.
   Seeds, the configured contact addresses, have the lowest ranks.  */
void members_set_initial_rank (members_t *members, int initial_rank);

/* Number of ready members that try to take over from the reader @from (its
   name) before this instance does.  Those that are not weak come first.  Apart
   from that, the order is the cyclic order of names that begins after @from
   or, if that is NULL, with the lowest name.  While
   this instance knows no other member, returns @members->initial_rank.  */
int members_takeover_rank (const members_t *members, const char *from);

#endif
