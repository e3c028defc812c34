#ifndef PERIDOT_OWNERSHIP_PRIVATE_H
#define PERIDOT_OWNERSHIP_PRIVATE_H

/* State shared by the files of the ownership aggregate.  */

#include "ownership.h"

/* Two clocks that each differ by up to 1% from true time differ by up to
   101/99 from each other.  Waits are stretched by that, evidence by majority
   is shortened by it (99/101 > 98/100).  */
#define OWNERSHIP_EVIDENCE_MS (DECIDE_OWNERSHIP_LEASE_MS * 98 / 100)
#define OWNERSHIP_REMOVE_MS 30000
#define OWNERSHIP_PEERS_MAX 32
#define OWNERSHIP_NEVER INT64_MIN
/* Until the node states the longest grant of the configured pools.  */
#define OWNERSHIP_LONGEST_GRANT_MS 60000

typedef struct ownership_peer
{
  decide_id_t id; /* 0: free entry */
  bool configured;
  uint64_t incarnation;       /* of the last process that spoke */
  clock_ms_t heard;           /* that process or a delegate acting for it */
  clock_ms_t heard_older;     /* other processes of the name */
  clock_ms_t last_message_at; /* the instance itself, for contact */
  decide_member_state_t state;
  uint64_t revision;
  /* Newest acknowledged heartbeat: evidence (b).  */
  uint64_t ack_version;
  uint64_t ack_incarnation;
  uint64_t ack_sequence;
  clock_ms_t ack_sent;
  /* Last promise to this process.  It goes with the next heartbeat unless it
     has been sent, or another version was learned in between.  */
  uint64_t promised_version;
  clock_ms_t promised_at;
  bool promise_waits;
  decide_promise_t promise;
  uint32_t acting_count;
  decide_acting_t acting[DECIDE_SLICES];
} ownership_peer_t;

typedef struct ownership_slice
{
  /* As the recorded owner.  */
  bool owned;
  bool direct; /* nobody else could grant before: no wait */
  uint64_t assigned;
  clock_ms_t since;
  /* Offered to a successor; irrevocable for this assignment.  */
  bool offered;
  bool acked;
  decide_id_t target;
  uint64_t target_incarnation;
  clock_ms_t offered_at;
  clock_ms_t resend_at;
  uint64_t put_version; /* expected by the last update that gives it */
  /* As a delegate of the recorded owner.  */
  bool delegate;
  decide_id_t from;
  uint64_t from_incarnation;
  uint64_t from_assigned;
  uint64_t first_sequence; /* first heartbeat that announces it */
  clock_ms_t delegated_at;
} ownership_slice_t;

typedef struct ownership_support
{
  decide_id_t owner;
  uint64_t incarnation;
} ownership_support_t;

typedef struct ownership_attempt
{
  bool active;
  clock_ms_t next_at; /* OWNERSHIP_NEVER: nothing to attempt so far */
  clock_ms_t deadline;
  uint32_t failures; /* in a row */
  uint64_t term;
  uint64_t version;
  decide_id_t owner;
  uint64_t incarnation;
  uint32_t votes; /* bit per member index */
} ownership_attempt_t;

typedef struct ownership_put
{
  bool busy;       /* no result yet */
  bool unresolved; /* result unknown: read back first */
  uint64_t operation;
  clock_ms_t unresolved_at;
  decide_record_t record; /* version: the expected one */
} ownership_put_t;

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
  clock_ms_t started;
  clock_ms_t longest_grant;

  decide_record_t record; /* version 0: none known */
  decide_id_t member_ids[DECIDE_MEMBERS_MAX];
  int member_peers[DECIDE_MEMBERS_MAX]; /* entry in peers; -1 for itself */
  int self_index;  /* in the members, -1 when not listed */
  bool member;     /* listed with this incarnation */
  bool was_member; /* so a later process of the name supersedes this one */

  clock_ms_t read_sent; /* newest successful read of the store */
  bool record_absent;   /* as of that read */
  bool syncing;         /* inside ownership_handle_read_result() */
  clock_ms_t ask_at;    /* not before it: the next store_read */
  clock_ms_t read_retry_ms;
  clock_ms_t contend_at; /* next update that other starting instances race */
  uint32_t conflicts;    /* in a row */
  clock_ms_t change_at;  /* next update of the own slices */
  clock_ms_t balance_at;
  bool rewrite_due;
  ownership_put_t put;

  clock_ms_t next_heartbeat;
  uint64_t sequence;
  ownership_peer_t peers[OWNERSHIP_PEERS_MAX];
  ownership_slice_t slices[DECIDE_DATA_CENTRES_MAX][DECIDE_SLICES];

  /* Owners against which a takeover was supported at the known version.  */
  uint32_t support_count;
  ownership_support_t supports[DECIDE_MEMBERS_MAX * 2];
  ownership_attempt_t attempt;

  bool stopping;
  clock_ms_t stop_at;
  clock_ms_t company_at; /* last time at which another one could succeed */
};

/* Time since @then, or INT64_MAX for OWNERSHIP_NEVER.  */
static inline clock_ms_t
ownership_age (clock_ms_t now, clock_ms_t then)
{
  return then == OWNERSHIP_NEVER ? INT64_MAX : now - then;
}

/* Index of a member of the known record, or -1.  */
static inline int
ownership_member (const ownership_t *o, decide_id_t id)
{
  for (uint32_t i = 0; i < o->record.member_count; i++)
    if (o->member_ids[i] == id)
      return (int)i;
  return -1;
}

/* ---- ownership.c, ownership_view.c ---- */

bool ownership_store_fresh (const ownership_t *o, clock_ms_t now);

/* Hands a change of the record to the store; one at a time.  @record is
   based on the known record.  */
void ownership_put (ownership_t *o, const decide_record_t *record);

/* Asks for a read that is sent at @since or later; true once there was one. */
bool ownership_ensure_read (ownership_t *o, clock_ms_t now, clock_ms_t since);

/* ---- record.c: the record's contents ---- */

/* Returns 0 or -EINVAL.  */
int ownership_record_validate (const decide_record_t *record);
int ownership_record_find_member (const decide_record_t *record,
                                  decide_id_t id);
uint32_t ownership_record_count_slices (const decide_record_t *record,
                                        uint32_t centre, decide_id_t owner,
                                        uint64_t incarnation);
bool ownership_record_is_owner (const decide_record_t *record,
                                decide_id_t owner, uint64_t incarnation);
void ownership_record_create (const ownership_t *o, decide_record_t *record);
bool ownership_record_add_centres (const ownership_t *o,
                                   decide_record_t *record);

/* Changes the own entry and the slices that were never active.  */
void ownership_record_claim_entry (const ownership_t *o,
                                   decide_record_t *record);
void ownership_record_add_self (const ownership_t *o, decide_record_t *record);
void ownership_record_remove_member (decide_record_t *record, decide_id_t id);

/* Member of @record to give a slice to: the least loaded one of those that
   are active and heard, in the data centre if there is one; -1 for none.
   @others leaves out this instance.  */
int ownership_record_find_successor (const ownership_t *o, clock_ms_t now,
                                     const decide_record_t *record,
                                     uint32_t centre, bool others);

/* Gives a slice to a member in an update that expects the known version.  */
void ownership_record_assign_slice (decide_record_t *record, uint32_t centre,
                                    uint32_t slice, decide_id_t owner,
                                    uint64_t incarnation);

/* ---- promise.c: heartbeats, acknowledgements, evidence ---- */

ownership_peer_t *ownership_peer_find (const ownership_t *o, decide_id_t id);
ownership_peer_t *ownership_peer_add (ownership_t *o, decide_id_t id,
                                      clock_ms_t now);

/* The process (@id, @incarnation) or its delegate was heard.  */
bool ownership_peer_touch (ownership_t *o, clock_ms_t now, decide_id_t id,
                           uint64_t incarnation);
bool ownership_peer_silent (const ownership_t *o, clock_ms_t now,
                            decide_id_t id, uint64_t incarnation,
                            clock_ms_t limit);

/* Time left of the evidence by majority, counting acknowledgements of
   heartbeats from @first on; 0 when there is none.  */
clock_ms_t ownership_majority_left (const ownership_t *o, clock_ms_t now,
                                    uint64_t first);
void ownership_heartbeat_send (ownership_t *o, clock_ms_t now);
void ownership_heartbeat (ownership_t *o, clock_ms_t now, decide_id_t from,
                          const decide_msg_t *msg);
void ownership_heartbeat_ack (ownership_t *o, clock_ms_t now, decide_id_t from,
                              const decide_msg_t *msg);

/* ---- takeover.c: support of a majority for changes by others ---- */

bool ownership_has_supported (const ownership_t *o, decide_id_t owner,
                              uint64_t incarnation);
void ownership_support_request (ownership_t *o, clock_ms_t now,
                                decide_id_t from, const decide_msg_t *msg);
void ownership_support_reply (ownership_t *o, clock_ms_t now, decide_id_t from,
                              const decide_msg_t *msg);
void ownership_takeover_tick (ownership_t *o, clock_ms_t now);

/* ---- handover.c: changes by the owner of slices and its delegate ---- */

/* Whether the wait that follows an assignment has passed for grants of
   @grant_ms.  */
bool ownership_waited (const ownership_slice_t *slice, clock_ms_t now,
                       clock_ms_t grant_ms);

/* Adapts the state of all slices to a newly learned record.  */
void ownership_slices_learn (ownership_t *o, clock_ms_t now,
                             const decide_record_t *previous);
void ownership_handover (ownership_t *o, clock_ms_t now, decide_id_t from,
                         const decide_msg_t *msg);
void ownership_handover_ack (ownership_t *o, clock_ms_t now, decide_id_t from,
                             const decide_msg_t *msg);
/* Offers, resends and updates that are due.  */
void ownership_handover_tick (ownership_t *o, clock_ms_t now);

#endif
