#ifndef PERIDOT_KEYS_STATE_H
#define PERIDOT_KEYS_STATE_H

/* Private types and functions of the key table.  */

#include <glib.h>

#include "keys.h"

/* A former owner has all entries of a slice for this long after it stopped
   serving the slice.  */
#define AUTHORITATIVE_MS 10000

/* A request that waits for the outcome of another request with its key.  */
typedef struct keys_waiter
{
  keys_member_t instance; /* sender of the claim */
  uint64_t request;
  clock_ms_t deadline;
} keys_waiter_t;

typedef struct keys_entry
{
  decide_key_t key;
  uint32_t slice;
  decide_key_state_t state;
  bool serving;       /* this instance serves the key's slice */
  bool run_allowed;   /* the request may run */
  decide_id_t runner; /* instance that claimed the key */
  uint64_t request;   /* its request, as numbered by the runner */
  clock_ms_t request_deadline;
  clock_ms_t expires_at;
  keys_member_t copy_holder; /* has or gets the copy; id 0: none */
  clock_ms_t copy_sent_at;
  uint32_t copy_tries;
  bool copied;               /* the holder has at least the claim */
  bool copy_pending;         /* the holder has not confirmed the state */
  bool is_active;            /* is in the table's active list */
  decide_response_t *answer; /* allocated without the unused part of its
                              body */
  GArray *waiters;           /* keys_waiter_t */
  uint64_t sequence;         /* number in the order of insertion */
  GList link;                /* in the slice's list of entries */
} keys_entry_t;

/* A member from which the entries of a slice are collected.  */
typedef struct keys_source
{
  keys_member_t member;
  bool finished;         /* all its pages were received */
  bool restarted;        /* its incarnation is not the record's */
  uint32_t page_entries; /* entries received of the current page */
  uint64_t after; /* the page starts after this sequence of the source */
  /* The source has all claims since this time, on this instance's clock.  */
  clock_ms_t complete_since;
} keys_source_t;

typedef struct keys_slice
{
  bool serving;
  bool collecting;
  keys_origin_t origin;
  clock_ms_t lost_at; /* when it stopped serving; negative: never served */
  decide_id_t previous_owner;
  uint64_t round; /* number of the last KEY_COLLECT; replies repeat it */
  uint64_t fence_version; /* copies with an older record version are refused */
  keys_member_t collector; /* sent the KEY_COLLECT of fence_version */
  clock_ms_t gained_at;
  clock_ms_t collect_sent_at; /* last KEY_COLLECT sent to all sources */
  clock_ms_t progressed_at;   /* last complete page */
  /* Claims made before this time may be missing here; negative: none is.  */
  clock_ms_t unknown_before;
  /* No member has lost a copy since the previous owner reported that all
     entries have one.  */
  bool copies_intact;
  /* Hash that the previous owner reported if the current members held the
     copies.  */
  uint64_t copies;
  /* Start of this process, which may have lost the copies of an earlier one;
     negative: no copies of it are needed.  */
  clock_ms_t own_complete_since;
  GQueue entries; /* keys_entry_t in the order of insertion */
  uint32_t source_count;
  keys_source_t sources[DECIDE_MEMBERS_MAX];
} keys_slice_t;

/* Hash of the copy holders that an owner last reported for each slice; 0:
   none reported.  */
typedef struct keys_copy_report
{
  decide_id_t owner;
  uint64_t holders_hash[DECIDE_SLICES];
} keys_copy_report_t;

struct keys
{
  keys_callbacks_t callbacks;
  uint64_t incarnation;
  uint64_t bytes;     /* used by all entries and their responses */
  uint64_t bytes_max; /* 0: no limit */
  clock_ms_t started_at;
  clock_ms_t expiry_scanned_at;
  clock_ms_t holders_checked_at;
  clock_ms_t uncopied_scanned_at;
  uint64_t last_round;
  GHashTable *entries; /* decide_key_t.hash -> keys_entry_t */
  uint64_t sequence;   /* of the last entry added */
  GPtrArray *active;   /* entries with a resend or a deadline */
  GArray *uncopied;    /* decide_key_t of entries that need a new copy */
  keys_member_t holders[DECIDE_MEMBERS_MAX]; /* at the last scan */
  uint64_t holders_hash;                     /* see keys_get_copy_report() */
  uint32_t copied_slices; /* bit mask, see keys_get_copy_report() */
  keys_copy_report_t reports[DECIDE_MEMBERS_MAX];
  uint32_t next_report; /* replaced next, modulo DECIDE_MEMBERS_MAX */
  keys_slice_t slices[DECIDE_SLICES];
};

/* Hash of a set of members, whatever their order; never 0.  */
uint64_t keys_hash_members (const keys_member_t *members, uint32_t count);
/* Hash of the copy holders that @owner last reported for a slice; 0 when none
   was reported.  */
uint64_t keys_get_reported_hash (const keys_t *keys, decide_id_t owner,
                                 uint32_t slice);

keys_entry_t *keys_find_entry (const keys_t *keys, const decide_key_t *key);
keys_entry_t *keys_add_entry (keys_t *keys, clock_ms_t now,
                              const decide_msg_key_t *msg);
void keys_remove_entry (keys_t *keys, keys_entry_t *entry);
/* Adds an entry to the list that each tick processes.  */
void keys_activate (keys_t *keys, keys_entry_t *entry);
/* Creates a message with the key, state and response of an entry.  */
decide_msg_t keys_entry_message (const keys_t *keys, decide_msg_type_t type,
                                 const keys_entry_t *entry);
/* Sends KEY_CLAIM_REPLY; only status ANSWERED carries the response.  */
void keys_reply (keys_t *keys, const keys_entry_t *entry, decide_id_t to,
                 uint64_t request, decide_key_status_t status);
void keys_handle_claim (keys_t *keys, clock_ms_t now,
                        const keys_member_t *from,
                        const decide_msg_key_t *msg);
/* Size of a response without the unused part of its body, in bytes.  */
size_t keys_response_size (const decide_response_t *response);
void keys_reply_to_waiters (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
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
void keys_apply_state (keys_t *keys, keys_entry_t *entry,
                       decide_key_state_t state, const decide_msg_key_t *msg);
bool keys_is_full (const keys_t *keys);
void keys_handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                       const decide_msg_key_t *msg);
void keys_handle_copy_ack (keys_t *keys, clock_ms_t now,
                           const keys_member_t *from,
                           const decide_msg_key_t *msg);
bool keys_is_same_member (const keys_member_t *a, const keys_member_t *b);
bool keys_can_hold_copies (const keys_t *keys, const keys_member_t *member);
void keys_allow_run (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
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
void keys_tick_collect (keys_t *keys, clock_ms_t now, uint32_t index);

#endif
