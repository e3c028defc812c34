#ifndef PERIDOT_KEYS_STATE_H
#define PERIDOT_KEYS_STATE_H

/* State shared by the files of the key table.  */

#include <glib.h>

#include "keys.h"

/* The entries of a slice that was handed over are complete for this long.  */
#define HANDED_MS 10000

typedef struct keys_waiter
{
  keys_member_t instance;
  uint64_t request;
  clock_ms_t deadline;
} keys_waiter_t;

typedef struct keys_entry
{
  decide_key_t key;
  uint32_t slice;
  decide_key_state_t state;
  bool serving;   /* this instance answers for the key */
  bool confirmed; /* the request may run */
  decide_id_t runner;
  uint64_t request;
  clock_ms_t run_until; /* deadline of the claim's request */
  clock_ms_t expires;
  keys_member_t copy; /* member that has or gets the copy; id 0: none */
  clock_ms_t copy_sent;
  uint32_t copy_tries;
  bool copied;               /* it has at least the claim */
  bool copy_due;             /* the state has changed since the copy */
  bool listed;               /* in the active list */
  decide_response_t *answer; /* without the unused part of its body */
  GArray *waiters;           /* keys_waiter_t */
  uint64_t sequence;         /* number in the order of adding */
  GList link;                /* in the slice's entries */
} keys_entry_t;

typedef struct keys_source
{
  keys_member_t member;
  bool answered;
  bool restarted;     /* since the record named it */
  uint32_t received;  /* entries of this page */
  uint64_t after;     /* sequence at the source of the last entry before it */
  clock_ms_t started; /* of the member's process, own clock */
} keys_source_t;

typedef struct keys_slice
{
  bool serving;
  bool collecting;
  keys_origin_t origin;
  clock_ms_t lost; /* end of serving; negative: never served */
  decide_id_t previous;
  uint64_t round;   /* identifies the replies to the last KEY_COLLECT */
  uint64_t barrier; /* copies with an older record version are refused */
  keys_member_t collector; /* sender of the KEY_COLLECT at the barrier */
  clock_ms_t gained;
  clock_ms_t asked; /* last KEY_COLLECT */
  clock_ms_t progressed;
  /* Claims made before this time may be unknown here; negative: none.  */
  clock_ms_t unknown_before;
  /* No member lost a copy since the previous owner stated that all entries
     have one.  */
  bool kept;
  uint64_t copies;        /* what it would have stated about today's members */
  clock_ms_t own_started; /* of this process if it lost copies; negative: no */
  GQueue entries;         /* keys_entry_t in the order of adding */
  uint32_t source_count;
  keys_source_t sources[DECIDE_MEMBERS_MAX];
} keys_slice_t;

/* What an owner of slices last stated about their copies; 0: nothing.  */
typedef struct keys_stated
{
  decide_id_t owner;
  uint64_t copies[DECIDE_SLICES];
} keys_stated_t;

struct keys
{
  keys_callbacks_t callbacks;
  uint64_t incarnation;
  uint64_t bytes; /* of all entries and their answers */
  uint64_t bytes_max;
  clock_ms_t started;
  clock_ms_t scanned;
  clock_ms_t checked; /* the list of holders */
  clock_ms_t found;   /* entries without a copy */
  uint64_t rounds;
  GHashTable *entries; /* decide_key_t.hash -> keys_entry_t */
  uint64_t sequence;   /* of the last entry added */
  GPtrArray *active;   /* entries with something to send or to time */
  GArray *uncopied;    /* decide_key_t of entries that need a new copy */
  keys_member_t holders[DECIDE_MEMBERS_MAX]; /* when uncopied was filled */
  uint64_t copies; /* as keys_get_copy_report() states it */
  uint32_t copied_slices;
  keys_stated_t stated[DECIDE_MEMBERS_MAX];
  uint32_t stated_turn;
  keys_slice_t slices[DECIDE_SLICES];
};

uint64_t keys_hash_members (const keys_member_t *members, uint32_t count);
uint64_t keys_stated (const keys_t *keys, decide_id_t owner, uint32_t slice);

keys_entry_t *keys_find_entry (const keys_t *keys, const decide_key_t *key);
keys_entry_t *keys_add_entry (keys_t *keys, clock_ms_t now,
                              const decide_msg_key_t *msg);
void keys_remove_entry (keys_t *keys, keys_entry_t *entry);
void keys_activate (keys_t *keys, keys_entry_t *entry);
decide_msg_t keys_entry_message (const keys_t *keys, decide_msg_type_t type,
                                 const keys_entry_t *entry);
void keys_reply (keys_t *keys, const keys_entry_t *entry, decide_id_t to,
                 uint64_t request, decide_key_status_t status);
void keys_handle_claim (keys_t *keys, clock_ms_t now,
                        const keys_member_t *from,
                        const decide_msg_key_t *msg);
size_t keys_answer_size (const decide_response_t *answer);
void keys_answer_waiters (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
void keys_settle (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
bool keys_outcome_applies (const keys_entry_t *entry,
                           const decide_msg_key_t *msg);
void keys_handle_outcome (keys_t *keys, clock_ms_t now,
                          const keys_member_t *from,
                          const decide_msg_key_t *msg);
void keys_start_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry);
void keys_send_copy (keys_t *keys, clock_ms_t now, const keys_entry_t *entry,
                     decide_msg_type_t type);
int keys_state_rank (decide_key_state_t state);
void keys_merge (keys_t *keys, keys_entry_t *entry, decide_key_state_t state,
                 const decide_msg_key_t *msg);
bool keys_is_full (const keys_t *keys);
void keys_handle_copy (keys_t *keys, clock_ms_t now, decide_id_t from,
                       const decide_msg_key_t *msg);
void keys_handle_copy_ack (keys_t *keys, clock_ms_t now,
                           const keys_member_t *from,
                           const decide_msg_key_t *msg);
bool keys_same_member (const keys_member_t *a, const keys_member_t *b);
bool keys_may_hold (const keys_t *keys, const keys_member_t *member);
void keys_run_with_copy (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                         const keys_member_t *requester);
void keys_repeat_run (keys_t *keys, clock_ms_t now, keys_entry_t *entry,
                      const keys_member_t *requester);
void keys_renew_copies (keys_t *keys, clock_ms_t now);
void keys_handle_collect (keys_t *keys, clock_ms_t now,
                          const keys_member_t *from,
                          const decide_msg_key_t *msg);
void keys_collect_reply (keys_t *keys, clock_ms_t now,
                         const keys_member_t *from,
                         const decide_msg_key_t *msg);
void keys_tick_collect (keys_t *keys, clock_ms_t now, uint32_t index);

#endif
