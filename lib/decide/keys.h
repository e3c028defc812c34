#ifndef PERIDOT_KEYS_H
#define PERIDOT_KEYS_H

/* Table of idempotency keys.  An instance claims the key of a request at the
   owner of the key's slice.  The owner lets at most one request with a key run
   and keeps its response for repeated requests.  Each entry is replicated to
   one other member, the copy holder, which has the claim before the request
   runs.  The copy holder is the requester itself if it may hold copies,
   otherwise a member that confirms to the owner that it stored the copy.  */

#include "decide.h"

typedef struct keys keys_t;

/* One process of a member of the group.  */
typedef struct keys_member
{
  decide_id_t id;
  uint64_t incarnation; /* differs between processes of one instance */
} keys_member_t;

typedef struct keys_callbacks
{
  void *context;
  decide_id_t self; /* this instance */
  void (*send) (void *context, decide_id_t to, const decide_msg_t *msg);
  /* Whether this instance holds a valid lease on the slice.  */
  bool (*has_valid_lease) (void *context, uint32_t slice);
  /* Chooses the member that gets new copies of a slice's entries; returns
     false when no member may hold copies.  */
  bool (*choose_copy_holder) (void *context, uint32_t slice,
                              keys_member_t *member);
  /* Lists at most @max other members that may hold copies: members that are
     active, send heartbeats and are not leaving.  Returns their number.  */
  uint32_t (*list_copy_holders) (void *context, keys_member_t *members,
                                 uint32_t max);
  /* Lists at most @max other members of the ownership record, reachable or
     not.  Returns their number.  */
  uint32_t (*list_other_members) (void *context, keys_member_t *members,
                                  uint32_t max);
  /* Version of the ownership record; 0 when there is none.  */
  uint64_t (*record_version) (void *context);
} keys_callbacks_t;

/**
 * keys_new() - create an empty table
 * @callbacks: copied
 * @incarnation: this process's incarnation, sent in each message
 * @bytes_max: memory limit of all entries in bytes; at the limit new claims
 *   are refused, but copies received in KEY_COPY are still stored; 0 for no
 *   limit
 * @now: current time in ms
 */
keys_t *keys_new (const keys_callbacks_t *callbacks, uint64_t incarnation,
                  uint64_t bytes_max, clock_ms_t now);
void keys_free (keys_t *keys);

/* Returns the index of the slice that a key belongs to; it is below
   DECIDE_SLICES.  */
uint32_t keys_slice_index (const decide_key_t *key);

/**
 * keys_handle_message() - handle KEY_CLAIM, KEY_COPY, KEY_COPY_ACK,
 * KEY_OUTCOME, KEY_COLLECT or KEY_COLLECT_REPLY
 *
 * Other types of messages are ignored.
 */
void keys_handle_message (keys_t *keys, clock_ms_t now, decide_id_t from,
                          const decide_msg_t *msg);

/**
 * keys_store_claim_copy() - store the copy that a reply RUN_WITH_COPY carries
 * @from: owner that sent the reply
 * @incarnation: incarnation of the owner
 *
 * Return: DECIDE_KEY_RUN when the copy is stored; DECIDE_KEY_NOT_OWNER when
 * the owner may have been replaced or an outcome of the key is known here, so
 * that the request must not run on this reply; DECIDE_KEY_FULL when the memory
 * limit is reached.
 */
decide_key_status_t keys_store_claim_copy (keys_t *keys, clock_ms_t now,
                                           decide_id_t from,
                                           uint64_t incarnation,
                                           const decide_msg_key_t *reply);

/* Records the outcome of a request of this instance in the copy of its claim,
   if there is one.  Must be called before the outcome is sent to the
   owner.  */
void keys_record_outcome (keys_t *keys, const decide_msg_key_t *outcome);

/* How this instance became the owner of a slice.  */
typedef enum keys_origin
{
  KEYS_FIRST_OWNER, /* no instance served the slice before */
  KEYS_HANDED_OVER, /* the previous owner is reachable; all entries are
                       collected from it */
  KEYS_TAKEN_OVER   /* the previous owner is lost; the copies are collected
                       from the other members */
} keys_origin_t;

/**
 * keys_start_serving() - start to serve a slice and collect its entries
 * @previous_owner: id of the previous owner; 0 when there is none
 */
void keys_start_serving (keys_t *keys, clock_ms_t now, uint32_t slice,
                         keys_origin_t origin, decide_id_t previous_owner);
/* Stops serving a slice.  Its entries are kept, so that its next owner can
   collect them.  */
void keys_stop_serving (keys_t *keys, clock_ms_t now, uint32_t slice);

/**
 * keys_get_copy_report() - report on the copies of this instance's entries,
 * for heartbeats
 * @slices: set to a bit mask of the served slices of which every entry has a
 *   copy
 *
 * Return: hash of the members that may hold these copies.
 */
uint64_t keys_get_copy_report (const keys_t *keys, uint32_t *slices);

/* Stores the report that a heartbeat of another instance carries.  */
void keys_store_copy_report (keys_t *keys, decide_id_t from,
                             uint64_t holders_hash, uint32_t slices);

/**
 * keys_tick() - resend and renew copies, remove expired entries, continue
 * collections
 *
 * Return: time in ms at which it must be called again.
 */
clock_ms_t keys_tick (keys_t *keys, clock_ms_t now);

/* Number of entries, including the copies of other members' entries.  */
uint32_t keys_count (const keys_t *keys);

#endif
