#ifndef PERIDOT_KEYS_STATE_H
#define PERIDOT_KEYS_STATE_H

/* Private types and functions of the key table.  */

#include <glib.h>

#include "keys.h"

/* A former owner counts as having all entries of a slice for this time after
   it stopped serving the slice.  */
#define AUTHORITATIVE_MS 10000

/* A request that waits for the outcome of another request with its key.  */
typedef struct keys_waiter
{
  keys_member_t instance; /* sender of the claim */
  uint64_t request;
  clock_ms_t deadline;
} keys_waiter_t;

/* Key that was claimed: the owner's entry, or a copy of it.  */
typedef struct keys_entry
{
  decide_key_t key;
  uint32_t slice;
  decide_key_state_t state;
  bool serving;       /* this instance serves the key's slice */
  bool run_allowed;   /* the request may run now or may have run */
  decide_id_t runner; /* instance that claimed the key */
  uint64_t request;   /* its request, as numbered by the runner */
  clock_ms_t request_deadline;
  clock_ms_t expires_at;
  keys_member_t copy_holder; /* member to which the copy was sent; id 0:
                                none */
  clock_ms_t copy_sent_at;
  uint32_t copy_tries;       /* number of unconfirmed sends of the copy */
  bool claim_copied;         /* the copy holder has a copy, in which @state may
                                still be an earlier one */
  bool copy_pending;         /* the copy holder has not confirmed @state yet */
  bool in_tick_list;         /* is in keys_t.tick_list */
  decide_response_t *answer; /* recorded response, allocated without the unused
                                part of its body; NULL: none */
  GArray *waiters;           /* keys_waiter_t; NULL: none */
  uint64_t sequence;         /* number in the order of insertion */
  GList link;                /* in keys_slice_t.entries */
} keys_entry_t;

/* A member from which the entries of a slice are collected.  */
typedef struct keys_source
{
  keys_member_t member;
  bool finished;  /* all its pages were received */
  bool restarted; /* replied with an incarnation other than the one in the
                     record */
  uint32_t page_entries; /* entries received of the page requested last */
  uint64_t after; /* sequence number, at the source, of the last entry of the
                     previous page */
  /* The source has all claims made since this time, which is on this
     instance's clock.  */
  clock_ms_t complete_since;
} keys_source_t;

/* State of one slice at this instance.  If it serves the slice after another
   instance did, it first collects the entries from the sources.  */
typedef struct keys_slice
{
  bool serving;
  bool collecting; /* a source has not sent all its pages */
  keys_origin_t origin;
  clock_ms_t serving_ended_at; /* when this instance last stopped serving the
                                  slice; negative: never */
  decide_id_t previous_owner;
  uint64_t round; /* number of the last KEY_COLLECT; replies to earlier ones
                     are ignored */
  uint64_t fence_version; /* copies with an older record version are ignored */
  /* Sender of the KEY_COLLECT that has @fence_version as its record version;
     id 0: none; incarnation 0: there were two.  */
  keys_member_t collector;
  clock_ms_t serving_since;
  clock_ms_t collect_sent_at; /* when KEY_COLLECT was last sent to all
                                 unfinished sources */
  clock_ms_t last_page_at;    /* when the last complete page was received */
  /* The table may lack claims made before this time; negative: it lacks
     none.  */
  clock_ms_t unknown_before;
  /* No member has lost a copy since the previous owner reported that all
     entries have one.  */
  bool copies_intact;
  /* Hash of all current members except the previous owner.  It equals the hash
     that the previous owner reported last if the members that held the copies
     of its entries at that time are the current ones.  */
  uint64_t expected_holders_hash;
  /* This instance has the copies sent to it since this time, the start of its
     process; those that an earlier process held are lost.  Negative: no copies
     held here are needed.  */
  clock_ms_t own_complete_since;
  GQueue entries; /* keys_entry_t in the order of insertion */
  uint32_t source_count;
  keys_source_t sources[DECIDE_MEMBERS_MAX];
} keys_slice_t;

/* Last report of an owner on the copies of its entries.  */
typedef struct keys_copy_report
{
  decide_id_t owner;
  uint64_t holders_hash[DECIDE_SLICES]; /* hash of the members that hold the
                                           copies of a slice; 0: no report */
} keys_copy_report_t;

struct keys
{
  keys_callbacks_t callbacks;
  uint64_t incarnation;
  uint64_t bytes_used; /* memory used by all entries and their responses */
  uint64_t bytes_max;  /* limit of @bytes_used; 0: no limit */
  clock_ms_t started_at;
  clock_ms_t expiry_scanned_at;
  clock_ms_t holders_checked_at;
  clock_ms_t uncopied_scanned_at;
  uint64_t last_round;    /* last number given to a KEY_COLLECT */
  GHashTable *entries;    /* decide_key_t.hash -> keys_entry_t */
  uint64_t last_sequence; /* keys_entry_t.sequence of the last entry added */
  GPtrArray *tick_list;   /* keys_entry_t that keys_tick() has to check */
  GArray *uncopied;       /* decide_key_t of entries that need a new copy */
  /* Members that could hold copies at the last scan_copies(); id 0: unused
     entry.  */
  keys_member_t holders[DECIDE_MEMBERS_MAX];
  uint64_t holders_hash;  /* hash of @holders; keys_get_copy_report() returns
                             it */
  uint32_t copied_slices; /* bit mask of the served slices of which every
                             entry has a copy */
  keys_copy_report_t reports[DECIDE_MEMBERS_MAX];
  uint32_t replace_report_index; /* entry of reports to replace next, modulo
                                    DECIDE_MEMBERS_MAX */
  keys_slice_t slices[DECIDE_SLICES];
};

/* Hash of a set of members, which does not depend on their order; never 0.  */
uint64_t keys_hash_members (const keys_member_t *members, uint32_t count);
/* Hash of the copy holders that @owner last reported for a slice; 0 when none
   was reported.  */
uint64_t keys_get_reported_hash (const keys_t *keys, decide_id_t owner,
                                 uint32_t slice);

keys_entry_t *keys_find_entry (const keys_t *keys, const decide_key_t *key);
/* Adds an entry for the key in @msg, with the retention time and deadline of
   @msg.  The key must not have an entry yet.  */
keys_entry_t *keys_add_entry (keys_t *keys, clock_ms_t now,
                              const decide_msg_key_t *msg);
void keys_remove_entry (keys_t *keys, keys_entry_t *entry);
/* Adds an entry to the list that keys_tick() processes.  */
void keys_add_to_tick_list (keys_t *keys, keys_entry_t *entry);
/* Creates a message with the key, state and response of an entry.  */
decide_msg_t keys_create_message (const keys_t *keys, decide_msg_type_t type,
                                  const keys_entry_t *entry);
/* Sends KEY_CLAIM_REPLY; only status ANSWERED carries the response.  */
void keys_reply (keys_t *keys, const keys_entry_t *entry, decide_id_t to,
                 uint64_t request, decide_key_status_t status);
void keys_handle_claim (keys_t *keys, clock_ms_t now,
                        const keys_member_t *from,
                        const decide_msg_key_t *msg);
/* Size of a response without the unused part of its body, in bytes.  */
size_t keys_response_size (const decide_response_t *response);
/* Handles the claims that waited for the outcome of the entry's request as if
   they had just arrived.  Those past their deadline get the reply
   IN_PROGRESS.  */
void keys_reply_to_waiters (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
/* Sends the outcome of a claim to the copy holder and replies to the requests
   that wait for the outcome.  */
void keys_end_claim (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
bool keys_outcome_applies (const keys_entry_t *entry,
                           const decide_msg_key_t *msg);
void keys_handle_outcome (keys_t *keys, clock_ms_t now,
                          const keys_member_t *from,
                          const decide_msg_key_t *msg);
void keys_start_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
void keys_send_copy (keys_t *keys, clock_ms_t now, const keys_entry_t *entry,
                     decide_msg_type_t type);
int keys_state_rank (decide_key_state_t state);
void keys_set_state (keys_t *keys, keys_entry_t *entry,
                     decide_key_state_t state, const decide_msg_key_t *msg);
bool keys_is_full (const keys_t *keys);
void keys_handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                       const decide_msg_key_t *msg);
void keys_handle_copy_ack (keys_t *keys, clock_ms_t now,
                           const keys_member_t *from,
                           const decide_msg_key_t *msg);
bool keys_is_same_member (const keys_member_t *a, const keys_member_t *b);
bool keys_can_hold_copies (const keys_t *keys, const keys_member_t *member);
void keys_allow_run_with_copy (keys_t *keys, clock_ms_t now,
                               keys_entry_t *entry,
                               const keys_member_t *requester);
void keys_handle_repeated_claim (keys_t *keys, clock_ms_t now,
                                 keys_entry_t *entry,
                                 const keys_member_t *requester);
void keys_renew_copies (keys_t *keys, clock_ms_t now);
void keys_handle_collect (keys_t *keys, clock_ms_t now,
                          const keys_member_t *from,
                          const decide_msg_key_t *msg);
void keys_handle_collect_reply (keys_t *keys, clock_ms_t now,
                                const keys_member_t *from,
                                const decide_msg_key_t *msg);
/* If the slice's entries are still being collected, requests the next page of
   each unfinished source again at intervals of COLLECT_RESEND_MS.  When a
   previous owner that handed the slice over sends no page for
   HANDOVER_TIMEOUT_MS, the other members become the sources.  */
void keys_tick_collect (keys_t *keys, clock_ms_t now, uint32_t index);

#endif
