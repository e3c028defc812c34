#ifndef PERIDOT_OWNERSHIP_PRIVATE_H
#define PERIDOT_OWNERSHIP_PRIVATE_H

/* Internal state and functions shared by the files of the ownership module. */

#include "ownership.h"

/* Duration of the lease that promises of a majority give.  Two clocks that
   each drift by up to 1% from true time drift by a factor of up to 101/99 from
   each other.  Waits are lengthened by that factor and this lease is shortened
   by it (99/101 > 98/100).  */
#define OWNERSHIP_MAJORITY_LEASE_MS (DECIDE_OWNERSHIP_LEASE_MS * 98 / 100)
/* A majority may remove a member from which nothing was heard for this
   long.  */
#define OWNERSHIP_REMOVE_AFTER_MS 30000
#define OWNERSHIP_PEERS_MAX 32
/* A time for something that has not happened or is not scheduled.  */
#define OWNERSHIP_NEVER INT64_MIN
/* ownership_t.longest_grant_ms until ownership_set_longest_grant() is
   called.  */
#define OWNERSHIP_LONGEST_GRANT_DEFAULT_MS 60000

typedef struct ownership_peer
{
  decide_id_t id;       /* 0: free entry */
  bool configured;      /* the settings list the peer */
  uint64_t incarnation; /* of the peer's last known process; 0: unknown */
  /* Time in ms at which the last of these arrived: a message of that process,
     a message of a delegate that serves its slices, or the record version that
     first listed the process.  */
  clock_ms_t heard_at;
  /* The same time for all other processes of the peer's instance name.  */
  clock_ms_t other_process_heard_at;
  clock_ms_t last_message_at;  /* last message from the peer itself, in ms */
  decide_member_state_t state; /* as of its last heartbeat */
  uint64_t revision;           /* configuration revision that it reported */
  /* Promise that the peer made to this process for the newest heartbeat: the
     record version and the peer's incarnation at that time, the sequence
     number of this process's heartbeat, and the time in ms at which that
     heartbeat was sent.  */
  uint64_t ack_version;
  uint64_t ack_incarnation;
  uint64_t ack_sequence;
  clock_ms_t ack_heartbeat_sent_at;
  /* Promise that this process made last to the peer's process, and the record
     version and time in ms at which it was made.  While @promise_pending is
     set, the promise has not been sent yet; the next heartbeat carries it
     unless the record version has changed by then.  */
  uint64_t promised_version;
  clock_ms_t promised_at;
  bool promise_pending;
  decide_promise_t promise;
  /* Slices that the peer serves as a delegate, as of its last heartbeat.  */
  uint32_t acting_count;
  decide_delegated_slice_t acting[DECIDE_SLICES];
} ownership_peer_t;

/* State of one slice at this process.  */
typedef struct ownership_slice
{
  /* Set if the record names this process as the owner.  The fields from here
     to @reassign_expected_version are valid only then.  */
  bool owned;
  bool no_earlier_grants; /* no grants of former owners have to end first */
  uint64_t assigned;      /* record version that assigned the slice to
                             this process */
  clock_ms_t owned_since; /* time in ms at which that version was adopted */
  /* Set when the slice is offered to a successor.  This process then issues no
     more grants in it, and an offer can't be withdrawn: the state ends only
     when the record assigns the slice anew.  */
  bool offered;
  bool offer_accepted; /* the successor has accepted the offer */
  decide_id_t target;  /* the successor; 0 when it has refused */
  uint64_t target_incarnation;
  clock_ms_t offered_at;
  clock_ms_t resend_at; /* time in ms at which HANDOVER is sent (again) */
  /* Record version that was expected by the last update that assigns the slice
     to the successor; 0 when there was no such update.  */
  uint64_t reassign_expected_version;
  /* Set if this process serves the slice as a delegate of the owner in the
     record, @delegator.  The fields from here to the end are valid only
     then.  */
  bool delegate;
  decide_id_t delegator;
  uint64_t delegator_incarnation;
  uint64_t delegator_assigned; /* record version that assigned the slice to
                                  the delegator */
  uint64_t first_sequence;     /* sequence number of the first heartbeat that
                                  announces the slice */
  clock_ms_t delegated_at;
} ownership_slice_t;

/* One process of an instance.  */
typedef struct ownership_process
{
  decide_id_t instance;
  uint64_t incarnation;
} ownership_process_t;

/* Attempt to get the support of a majority of members for a takeover from a
   process, or for its removal or joining.  */
typedef struct ownership_attempt
{
  bool active;
  clock_ms_t next_attempt_at; /* time in ms; OWNERSHIP_NEVER: none planned */
  clock_ms_t deadline;        /* time in ms until which replies count */
  uint32_t failures;          /* consecutive attempts without a majority */
  uint64_t term;              /* number of the attempt */
  uint64_t version;           /* record version for which support is
                                 requested */
  /* Process to take slices over from, to remove or to add.  */
  decide_id_t owner;
  uint64_t incarnation;
  uint32_t voters; /* bitmap of the members that support the attempt, by
                          their index in the record */
} ownership_attempt_t;

/* Conditional update of the record; at most one is under way.  */
typedef struct ownership_pending_update
{
  bool in_progress;   /* the store has not reported a result yet */
  bool unresolved;    /* the result is unknown until the record is read */
  uint64_t operation; /* number passed to the store_put callback */
  clock_ms_t unresolved_at; /* a read sent at this time (ms) or later shows
                               the result */
  decide_record_t record;   /* new contents; its version is the one that
                               the store is expected to have */
} ownership_pending_update_t;

struct ownership
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  decide_id_t self;
  uint64_t incarnation;
  uint32_t instance_count;
  /* All configured instances, including this one.  */
  ownership_instance_t instances[DECIDE_MEMBERS_MAX];
  uint32_t centre_count;
  /* Data centres that the record must list; the first one is
     DECIDE_KEY_CENTRE.  */
  char centres[DECIDE_DATA_CENTRES_MAX][DECIDE_NAME_MAX];
  ownership_callbacks_t callbacks;
  decide_rng_t *rng;
  clock_ms_t started_at;
  clock_ms_t longest_grant_ms;

  decide_record_t record; /* the known record; version 0: none */
  decide_id_t member_ids[DECIDE_MEMBERS_MAX]; /* of the record's members */
  /* Index in @peers of each member of the record; -1 for this instance and for
     members for which @peers had no room.  */
  int member_peers[DECIDE_MEMBERS_MAX];
  int self_index;  /* of this instance in the record's members, or -1 */
  bool member;     /* the record lists this process */
  bool was_member; /* this or an earlier version of the record lists this
                      process, so that it must not claim its entry again */

  clock_ms_t read_sent_at; /* time in ms of sending the last successful read */
  bool record_absent;      /* that read found no record in the store */
  bool handling_read;      /* ownership_handle_read_result() is running */
  clock_ms_t next_read_at; /* earliest next call of store_read, in ms */
  clock_ms_t read_retry_ms; /* current retry delay of store_read */
  /* Time in ms of the next update that creates the record or adds this process
     or data centres to it; other instances may try the same update.  */
  clock_ms_t contended_update_at;
  uint32_t update_failures;     /* consecutive failed updates, counted up to
                                   UPDATE_FAILURES_MAX */
  clock_ms_t next_update_at;    /* earliest update to reassign slices, in ms */
  clock_ms_t next_rebalance_at; /* earliest next rebalancing, in ms */
  /* Set when a member supports a takeover from this process.  The record must
     then be written, even without a change: a new version makes that support
     void.  */
  bool rewrite_due;
  ownership_pending_update_t pending_update;

  clock_ms_t next_heartbeat_at;
  uint64_t sequence; /* of the last heartbeat sent */
  ownership_peer_t peers[OWNERSHIP_PEERS_MAX];
  ownership_slice_t slices[DECIDE_DATA_CENTRES_MAX][DECIDE_SLICES];

  /* Processes of which this process supports the takeover or removal, at the
     known record version.  */
  uint32_t voted_against_count;
  ownership_process_t voted_against[DECIDE_MEMBERS_MAX * 2];
  ownership_attempt_t attempt;

  bool stopping; /* graceful shutdown has begun */
  clock_ms_t stopping_since;
  /* Last time in ms at which another member could have taken over the
     slices.  */
  clock_ms_t potential_successor_at;
};

/* Returns the time in ms since @then, or INT64_MAX for OWNERSHIP_NEVER.  */
static inline clock_ms_t
ownership_age (clock_ms_t now, clock_ms_t then)
{
  return then == OWNERSHIP_NEVER ? INT64_MAX : now - then;
}

/* Returns the index of a member in the known record, or -1.  */
static inline int
ownership_member_index (const ownership_t *ownership, decide_id_t id)
{
  for (uint32_t i = 0; i < ownership->record.member_count; i++)
    if (ownership->member_ids[i] == id)
      return (int)i;
  return -1;
}

/* ---- ownership.c, ownership_view.c ---- */

/* Returns whether the last successful read of the store was sent less than
   DECIDE_OWNERSHIP_LEASE_MS ago.  */
bool ownership_is_store_fresh (const ownership_t *ownership, clock_ms_t now);

/* Starts a conditional update of the record to @record, whose version must
   still be that of the known record.  No other update may be under way.  */
void ownership_submit_record (ownership_t *ownership,
                              const decide_record_t *record);

/* Returns whether a read of the store that was sent at @since (in ms) or later
   has succeeded.  If not, requests a read, with exponential backoff.  */
bool ownership_ensure_read (ownership_t *ownership, clock_ms_t now,
                            clock_ms_t since);

/* ---- record.c: contents of the record ---- */

/* Returns 0, or -EINVAL when the record is malformed.  */
int ownership_record_validate (const decide_record_t *record);

/* Returns the index of a member in @record, or -1.  */
int ownership_record_find_member (const decide_record_t *record,
                                  decide_id_t id);

/* Returns the number of slices of a data centre that @record assigns to the
   process (@owner, @incarnation).  */
uint32_t ownership_record_count_slices (const decide_record_t *record,
                                        uint32_t centre, decide_id_t owner,
                                        uint64_t incarnation);

/* Returns whether @record assigns any slice to the process.  */
bool ownership_record_is_owner (const decide_record_t *record,
                                decide_id_t owner, uint64_t incarnation);

/* Sets @record to a new record of all configured instances and data
   centres.  */
void ownership_record_create (const ownership_t *ownership,
                              decide_record_t *record);

/* Adds the configured data centres that @record lacks and assigns their slices
   to members.  Returns whether any was added.  */
bool ownership_record_add_centres (const ownership_t *ownership,
                                   decide_record_t *record);

/* Sets the incarnation of this process in its instance's member entry, and in
   the slices that are assigned to the instance but to no process of it
   yet.  */
void ownership_record_claim_entry (const ownership_t *ownership,
                                   decide_record_t *record);

/* Adds a member entry for this process.  */
void ownership_record_add_self (const ownership_t *ownership,
                                decide_record_t *record);
void ownership_record_remove_member (decide_record_t *record, decide_id_t id);

/* Returns the index of the member to assign a slice of the data centre @centre
   to, or -1: of the active and reachable members, the one with the fewest
   slices of that data centre; members in that data centre are preferred.  With
   @exclude_self, this instance is not chosen.  */
int ownership_record_find_successor (const ownership_t *ownership,
                                     clock_ms_t now,
                                     const decide_record_t *record,
                                     uint32_t centre, bool exclude_self);

/* Assigns a slice to the process (@owner, @incarnation).  The update that
   writes @record must expect the version of @record.  */
void ownership_record_assign_slice (decide_record_t *record, uint32_t centre,
                                    uint32_t slice, decide_id_t owner,
                                    uint64_t incarnation);

/* ---- promise.c: heartbeats, promises, and the lease that they give ----

   A member that acknowledges a heartbeat with a promise supports no takeover
   from the sender for DECIDE_OWNERSHIP_LEASE_MS.  */

ownership_peer_t *ownership_peer_find (const ownership_t *ownership,
                                       decide_id_t id);

/* Finds or adds the entry of a peer.  Returns NULL for this instance, for id 0
   and when there is no room.  */
ownership_peer_t *ownership_peer_add (ownership_t *ownership, decide_id_t id,
                                      clock_ms_t now);

/* Records that the process (@id, @incarnation), or a delegate that serves its
   slices, was alive at @now.  Returns false when there is no room for it.  */
bool ownership_peer_mark_heard (ownership_t *ownership, clock_ms_t now,
                                decide_id_t id, uint64_t incarnation);

/* Returns whether nothing was heard of the process (@id, @incarnation) or its
   delegates for more than @silence_ms.  The result is false until the calling
   process itself has run for longer than that.  */
bool ownership_peer_is_silent (const ownership_t *ownership, clock_ms_t now,
                               decide_id_t id, uint64_t incarnation,
                               clock_ms_t silence_ms);

/* Returns how long, in ms, the lease that promises of a majority gave is still
   valid; 0 when there is none.  Only promises for heartbeats with a sequence
   number of at least @first_sequence count.  */
clock_ms_t ownership_majority_lease_left (const ownership_t *ownership,
                                          clock_ms_t now,
                                          uint64_t first_sequence);
void ownership_send_heartbeats (ownership_t *ownership, clock_ms_t now);
void ownership_handle_heartbeat (ownership_t *ownership, clock_ms_t now,
                                 decide_id_t from, const decide_msg_t *msg);
void ownership_handle_heartbeat_ack (ownership_t *ownership, clock_ms_t now,
                                     decide_id_t from,
                                     const decide_msg_t *msg);

/* ---- takeover.c: takeovers, removals and joins by vote of a majority ---- */

/* Returns whether this process supports a takeover from the process
   (@instance, @incarnation), or its removal, at the known record version.  */
bool ownership_has_voted_against (const ownership_t *ownership,
                                  decide_id_t instance, uint64_t incarnation);
void ownership_handle_support_request (ownership_t *ownership, clock_ms_t now,
                                       decide_id_t from,
                                       const decide_msg_t *msg);
void ownership_handle_support_reply (ownership_t *ownership, clock_ms_t now,
                                     decide_id_t from,
                                     const decide_msg_t *msg);

/* Starts an attempt, or completes or ends the active one.  No update of the
   record may be under way.  */
void ownership_takeover_tick (ownership_t *ownership, clock_ms_t now);

/* ---- handover.c: handover of slices by their owner to a delegate ---- */

/* Returns whether this process has owned the slice long enough that all grants
   of former owners, which last at most @grant_ms, have ended.  */
bool ownership_have_former_grants_ended (const ownership_slice_t *slice,
                                         clock_ms_t now, clock_ms_t grant_ms);

/* Updates the state of all slices after a new record was adopted; @previous is
   the record before it.  */
void ownership_adopt_slices (ownership_t *ownership, clock_ms_t now,
                             const decide_record_t *previous);
void ownership_handle_handover (ownership_t *ownership, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg);
void ownership_handle_handover_ack (ownership_t *ownership, clock_ms_t now,
                                    decide_id_t from, const decide_msg_t *msg);
/* Sends the offers that are due, and starts an update of the record if slices
   are due to be reassigned.  */
void ownership_handover_tick (ownership_t *ownership, clock_ms_t now);

#endif
