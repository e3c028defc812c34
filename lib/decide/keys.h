#ifndef PERIDOT_KEYS_H
#define PERIDOT_KEYS_H

/* Idempotency keys: the owner of a key's slice lets a request run once.  A
   second member has a copy of the claim before the request runs: the
   requester itself if it is a member, otherwise one that confirms it.  */

#include "decide.h"

typedef struct keys keys_t;

/* A member that may hold copies.  */
typedef struct keys_member
{
  decide_id_t id;
  uint64_t incarnation;
} keys_member_t;

typedef struct keys_callbacks
{
  void *context;
  decide_id_t self; /* this instance */
  void (*send) (void *context, decide_id_t to, const decide_msg_t *msg);
  /* Whether this instance holds a valid lease on the slice.  */
  bool (*has_valid_lease) (void *context, uint32_t slice);
  /* Member that keeps the copies of a slice; false when there is none.  */
  bool (*second) (void *context, uint32_t slice, keys_member_t *member);
  /* Members that may hold copies: active, heard and not leaving; returns their
     number.  */
  uint32_t (*holders) (void *context, keys_member_t *members, uint32_t max);
  /* Other members of the record; returns their number.  */
  uint32_t (*others) (void *context, keys_member_t *members, uint32_t max);
  uint64_t (*record_version) (void *context);
} keys_callbacks_t;

/**
 * keys_new() - create an empty table
 * @incarnation: this process's incarnation, for messages
 * @bytes_max: limit of all entries; above it new claims are refused, copies
 *   for other members are still taken; 0 for no limit
 */
keys_t *keys_new (const keys_callbacks_t *callbacks, uint64_t incarnation,
                  uint64_t bytes_max, clock_ms_t now);
void keys_free (keys_t *keys);

uint32_t keys_slice (const decide_key_t *key);

/**
 * keys_handle_message() - handle KEY_CLAIM, KEY_COPY, KEY_COPY_ACK,
 * KEY_OUTCOME, KEY_COLLECT or KEY_COLLECT_REPLY
 */
void keys_handle_message (keys_t *keys, clock_ms_t now, decide_id_t from,
                          const decide_msg_t *msg);

/**
 * keys_store_claim_copy() - store the copy that a reply RUN_WITH_COPY carries
 * @from: owner that sent the reply
 * @incarnation: the owner's
 *
 * Return: RUN; NOT_OWNER when the owner may have been replaced, so that the
 * request must not run on this reply; FULL when there is no room.
 */
decide_key_status_t keys_store_claim_copy (keys_t *keys, clock_ms_t now,
                                           decide_id_t from,
                                           uint64_t incarnation,
                                           const decide_msg_key_t *reply);

/* A request of this instance has ended: its copy, if any, gets the outcome
   before the owner is told.  */
void keys_record_outcome (keys_t *keys, const decide_msg_key_t *outcome);

/* How a slice came to this instance.  */
typedef enum keys_origin
{
  KEYS_FIRST_OWNER, /* nobody served it before */
  KEYS_HANDED_OVER, /* the previous owner is alive and knows all entries */
  KEYS_TAKEN_OVER   /* the entries are collected from the other members */
} keys_origin_t;

/**
 * keys_start_serving() - the slice is served by this instance from now on
 * @previous: id of the previous owner; 0 when there is none
 */
void keys_start_serving (keys_t *keys, clock_ms_t now, uint32_t slice,
                         keys_origin_t origin, decide_id_t previous);
void keys_stop_serving (keys_t *keys, clock_ms_t now, uint32_t slice);

/**
 * keys_get_copy_report() - what this instance states about copies, for
 * heartbeats
 * @slices: set to a bit for each slice of which every entry has a copy
 *
 * Return: hash of the members that hold these copies.
 */
uint64_t keys_get_copy_report (const keys_t *keys, uint32_t *slices);

/* Notes what another instance states.  */
void keys_store_copy_report (keys_t *keys, decide_id_t from, uint64_t copies,
                             uint32_t slices);

/**
 * keys_tick() - resend, expire, collect
 * Return: the next time in ms at which something is due.
 */
clock_ms_t keys_tick (keys_t *keys, clock_ms_t now);

uint32_t keys_count (const keys_t *keys);

#endif
