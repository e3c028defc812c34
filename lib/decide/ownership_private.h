#ifndef PERIDOT_OWNERSHIP_PRIVATE_H
#define PERIDOT_OWNERSHIP_PRIVATE_H

/* Internal state and functions shared by the files of the ownership module. */

#include "ownership.h"

/* Duration of a lease by promises of a majority.  Two clocks that each drift
   by up to 1% from true time drift by a factor of up to 101/99 from each
   other.  Waits are lengthened by that factor and this lease is shortened by
   it (99/101 > 98/100).  */
#define OWNERSHIP_MAJORITY_LEASE_MS (DECIDE_OWNERSHIP_LEASE_MS * 98 / 100)
/* A majority may remove a member that is silent for this long.  */
#define OWNERSHIP_REMOVE_AFTER_MS 30000
#define OWNERSHIP_PEERS_MAX 32
/* A time for something that has not happened or is not scheduled.  */
#define OWNERSHIP_NEVER INT64_MIN
/* Assumed until ownership_set_longest_grant() is called.  */
#define OWNERSHIP_LONGEST_GRANT_DEFAULT_MS 60000

typedef struct ownership_peer
{
  decide_id_t id;       /* 0: free entry */
  bool configured;      /* listed in the settings */
  uint64_t incarnation; /* of the last known process; 0: unknown */
  /* Time in ms of the last sign of life of that process, or of a delegate that
     serves its slices.  */
  clock_ms_t heard_at;
  /* The same for any other process of the instance name.  */
  clock_ms_t other_process_heard_at;
  clock_ms_t last_message_at; /* time in ms of its own last message */
  decide_member_state_t state;
  uint64_t revision; /* configuration revision that it reported */
  /* Newest heartbeat of this instance that the peer answered with a promise:
     the record version, the peer's incarnation, the heartbeat's sequence
     number and the time in ms at which it was sent.  */
  uint64_t ack_version;
  uint64_t ack_incarnation;
  uint64_t ack_sequence;
  clock_ms_t ack_heartbeat_sent_at;
  /* Last promise to the peer's process, and the record version and time in ms
     at which it was made.  While @promise_pending, it is still to be sent:
     with the next heartbeat, unless the record version has changed by then. */
  uint64_t promised_version;
  clock_ms_t promised_at;
  bool promise_pending;
  decide_promise_t promise;
  /* Slices that the peer serves as a delegate, by its last heartbeat.  */
  uint32_t acting_count;
  decide_delegated_slice_t acting[DECIDE_SLICES];
} ownership_peer_t;

typedef struct ownership_slice
{
  /* State as the recorded owner.  */
  bool owned;
  bool wait_waived;  /* no former owner has grants that must end first */
  uint64_t assigned; /* record version of the assignment */
  clock_ms_t owned_since;
  /* The slice was offered to a successor and gets no more grants; this can't
     be undone until the record assigns the slice anew.  */
  bool offered;
  bool acked;         /* the successor accepted */
  decide_id_t target; /* the successor; 0 after it refused */
  uint64_t target_incarnation;
  clock_ms_t offered_at;
  clock_ms_t resend_at;
  /* Version that the last update of the record expected that assigns the slice
     to the successor.  */
  uint64_t put_version;
  /* State as a delegate of the recorded owner, @from.  */
  bool delegate;
  decide_id_t from;
  uint64_t delegator_incarnation;
  uint64_t from_assigned;  /* record version of its assignment */
  uint64_t first_sequence; /* first heartbeat that announces the delegation */
  clock_ms_t delegated_at;
} ownership_slice_t;

/* One process of an instance.  */
typedef struct ownership_process
{
  decide_id_t owner;
  uint64_t incarnation;
} ownership_process_t;

/* Attempt to get the support of a majority of members for a takeover from a
   process, or for its removal or joining.  */
typedef struct ownership_attempt
{
  bool active;
  clock_ms_t next_at;  /* of the next attempt; OWNERSHIP_NEVER: none */
  clock_ms_t deadline; /* for the replies */
  uint32_t failures;   /* in a row */
  uint64_t term;       /* number of the attempt */
  uint64_t version;    /* of the record */
  /* The process that the attempt is about.  */
  decide_id_t owner;
  uint64_t incarnation;
  uint32_t votes; /* bitmap of supporters by member index */
} ownership_attempt_t;

/* Conditional update of the record; at most one is under way.  */
typedef struct ownership_pending_update
{
  bool in_progress; /* there is no result yet */
  bool unresolved;  /* result unknown; the record must be read first */
  uint64_t operation;
  clock_ms_t unresolved_at; /* a later read resolves it */
  decide_record_t record;   /* new contents; version: the expected one */
} ownership_pending_update_t;

struct ownership
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  decide_id_t self;
  uint64_t incarnation;
  uint32_t instance_count;
  ownership_instance_t instances[DECIDE_MEMBERS_MAX];
  uint32_t centre_count;
  char centres[DECIDE_DATA_CENTRES_MAX][DECIDE_NAME_MAX];
  ownership_callbacks_t callbacks;
  decide_rng_t *rng;
  clock_ms_t started_at;
  clock_ms_t longest_grant_ms;

  decide_record_t record; /* the known record; version 0: none */
  decide_id_t member_ids[DECIDE_MEMBERS_MAX];
  /* Index of each member in peers; -1 for this instance and those for which
     there was no room.  */
  int member_peers[DECIDE_MEMBERS_MAX];
  int self_index;  /* in the record's members, -1 when not listed */
  bool member;     /* the record lists this process */
  bool was_member; /* it did once; it must not claim its entry again */

  clock_ms_t read_sent_at; /* time of the newest successful read */
  bool record_absent;      /* by that read */
  bool handling_read;      /* within ownership_handle_read_result() */
  clock_ms_t next_read_at; /* earliest time of the next store_read */
  clock_ms_t read_retry_ms;
  /* Time of the next update that other instances may try at the same time.  */
  clock_ms_t contended_update_at;
  uint32_t conflicts;        /* failed updates in a row */
  clock_ms_t next_update_at; /* earliest update for own slices */
  clock_ms_t next_rebalance_at;
  /* Whether the record must be written again, with or without a change,
     because a member supports a takeover from this instance: support is void
     at a new version.  */
  bool rewrite_due;
  ownership_pending_update_t pending_update;

  clock_ms_t next_heartbeat_at;
  uint64_t sequence; /* of the last heartbeat sent */
  ownership_peer_t peers[OWNERSHIP_PEERS_MAX];
  ownership_slice_t slices[DECIDE_DATA_CENTRES_MAX][DECIDE_SLICES];

  /* Processes from which this instance supports a takeover, at the known
     record version.  */
  uint32_t supported_takeover_count;
  ownership_process_t supports[DECIDE_MEMBERS_MAX * 2];
  ownership_attempt_t attempt;

  bool stopping; /* graceful shutdown has begun */
  clock_ms_t stopping_since;
  /* Last time at which there was a potential successor for the slices.  */
  clock_ms_t potential_successor_at;
};

/* Time in ms since @then, or INT64_MAX for OWNERSHIP_NEVER.  */
static inline clock_ms_t
ownership_age (clock_ms_t now, clock_ms_t then)
{
  return then == OWNERSHIP_NEVER ? INT64_MAX : now - then;
}

/* Index of a member of the known record, or -1.  */
static inline int
ownership_member_index (const ownership_t *o, decide_id_t id)
{
  for (uint32_t i = 0; i < o->record.member_count; i++)
    if (o->member_ids[i] == id)
      return (int)i;
  return -1;
}

/* ---- ownership.c, ownership_view.c ---- */

/* Whether the last successful read of the store was sent less than
   DECIDE_OWNERSHIP_LEASE_MS ago.  */
bool ownership_is_store_fresh (const ownership_t *o, clock_ms_t now);

/* Starts a conditional update that replaces the known record by @record, whose
   version is still the known one.  None may be under way.  */
void ownership_submit_record (ownership_t *o, const decide_record_t *record);

/* Returns whether a successful read of the store was sent at @since (ms) or
   later; if not, requests one, with exponential backoff.  */
bool ownership_ensure_read (ownership_t *o, clock_ms_t now, clock_ms_t since);

/* ---- record.c: contents of the record ---- */

/* Returns 0, or -EINVAL when the record is malformed.  */
int ownership_record_validate (const decide_record_t *record);

/* Index of a member in the record, or -1.  */
int ownership_record_find_member (const decide_record_t *record,
                                  decide_id_t id);

/* Number of slices of a data centre that the process owns.  */
uint32_t ownership_record_count_slices (const decide_record_t *record,
                                        uint32_t centre, decide_id_t owner,
                                        uint64_t incarnation);

/* Whether the process owns any slice.  */
bool ownership_record_is_owner (const decide_record_t *record,
                                decide_id_t owner, uint64_t incarnation);

/* Fills @record with all configured instances and data centres.  */
void ownership_record_create (const ownership_t *o, decide_record_t *record);

/* Adds configured data centres that the record lacks and assigns their slices.
   Returns whether there were any.  */
bool ownership_record_add_centres (const ownership_t *o,
                                   decide_record_t *record);

/* Enters this process in the instance's member entry and in the slices that
   are assigned to the instance but to no process of it yet.  */
void ownership_record_claim_entry (const ownership_t *o,
                                   decide_record_t *record);

/* Adds a member entry for this process.  */
void ownership_record_add_self (const ownership_t *o, decide_record_t *record);
void ownership_record_remove_member (decide_record_t *record, decide_id_t id);

/* Index of the member to assign a slice to, or -1: of the members that are
   active and reachable, the one that owns the fewest slices of the data
   centre, preferably one in that data centre.  With @others, this instance is
   left out.  */
int ownership_record_find_successor (const ownership_t *o, clock_ms_t now,
                                     const decide_record_t *record,
                                     uint32_t centre, bool others);

/* Assigns a slice to a process, in an update that expects the version of
   @record.  */
void ownership_record_assign_slice (decide_record_t *record, uint32_t centre,
                                    uint32_t slice, decide_id_t owner,
                                    uint64_t incarnation);

/* ---- promise.c: heartbeats, promises, lease by a majority ----

   A member that acknowledges a heartbeat with a promise supports no takeover
   from the sender for DECIDE_OWNERSHIP_LEASE_MS.  */

ownership_peer_t *ownership_peer_find (const ownership_t *o, decide_id_t id);

/* Finds or adds the entry of a peer; returns NULL for this instance, id 0 and
   when there is no room.  */
ownership_peer_t *ownership_peer_add (ownership_t *o, decide_id_t id,
                                      clock_ms_t now);

/* Notes a sign of life of the process (@id, @incarnation), or of a delegate
   that serves its slices.  Returns false when there is no room for it.  */
bool ownership_peer_mark_heard (ownership_t *o, clock_ms_t now, decide_id_t id,
                                uint64_t incarnation);

/* Whether there was no sign of life of the process for more than @limit ms.
   The result is false until this process itself has run for longer than
   that.  */
bool ownership_peer_is_silent (const ownership_t *o, clock_ms_t now,
                               decide_id_t id, uint64_t incarnation,
                               clock_ms_t limit);

/* Time in ms until the lease by a majority expires, counting only promises for
   heartbeats with sequence numbers from @first on; 0 when there is none.  */
clock_ms_t ownership_majority_lease_left (const ownership_t *o, clock_ms_t now,
                                          uint64_t first);
void ownership_send_heartbeats (ownership_t *o, clock_ms_t now);
void ownership_handle_heartbeat (ownership_t *o, clock_ms_t now,
                                 decide_id_t from, const decide_msg_t *msg);
void ownership_handle_heartbeat_ack (ownership_t *o, clock_ms_t now,
                                     decide_id_t from,
                                     const decide_msg_t *msg);

/* ---- takeover.c: takeovers, removals and joins by vote of a majority ---- */

/* Whether this instance supports a takeover from the process at the known
   record version.  */
bool ownership_has_supported_takeover (const ownership_t *o, decide_id_t owner,
                                       uint64_t incarnation);
void ownership_handle_support_request (ownership_t *o, clock_ms_t now,
                                       decide_id_t from,
                                       const decide_msg_t *msg);
void ownership_handle_support_reply (ownership_t *o, clock_ms_t now,
                                     decide_id_t from,
                                     const decide_msg_t *msg);

/* Starts, completes or gives up attempts.  No update may be under way.  */
void ownership_takeover_tick (ownership_t *o, clock_ms_t now);

/* ---- handover.c: handover of slices by their owner to a delegate ---- */

/* Whether an owner has waited long enough since the assignment that grants of
   former owners, of up to @grant_ms, have ended.  */
bool ownership_is_wait_over (const ownership_slice_t *slice, clock_ms_t now,
                             clock_ms_t grant_ms);

/* Updates the state of all slices after a new record was adopted.  */
void ownership_adopt_slices (ownership_t *o, clock_ms_t now,
                             const decide_record_t *previous);
void ownership_handle_handover (ownership_t *o, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg);
void ownership_handle_handover_ack (ownership_t *o, clock_ms_t now,
                                    decide_id_t from, const decide_msg_t *msg);
/* Sends offers and starts updates of the record that are due.  */
void ownership_handover_tick (ownership_t *o, clock_ms_t now);

#endif
