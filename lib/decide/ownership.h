#ifndef PERIDOT_OWNERSHIP_H
#define PERIDOT_OWNERSHIP_H

/* Decides which instance may issue grants in which slice of a data centre
   (docs/ownership.md).  The ownership record in the store names the owner of
   each slice.  An owner may grant only while it has a lease, which a recent
   read of the store or promises of a majority of the record's members give it.
   Internal to the decision library.  All times are in ms on the instance's own
   clock.  */

#include "decide.h"

typedef struct ownership ownership_t;

typedef enum ownership_change
{
  OWNERSHIP_GAINED, /* the record names this process as the owner */
  /* The owner handed the slice over to this instance, its delegate from then
     on; the record still names the old owner.  */
  OWNERSHIP_DELEGATED,
  /* This instance has stopped serving the slice: it is neither owner nor
     delegate any more, or its successor has accepted the handover.  */
  OWNERSHIP_LOST
} ownership_change_t;

typedef struct ownership_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
} ownership_instance_t;

/* Configuration of the process, copied by ownership_new().  */
typedef struct ownership_settings
{
  char instance[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  /* Distinguishes this process from earlier and later ones of the same
     instance name; not 0.  */
  uint64_t incarnation;
  uint32_t instance_count;
  /* Configured instances of the group; may include this one.  */
  const ownership_instance_t *instances;
  uint32_t centre_count;
  /* Names of data centres, without DECIDE_KEY_CENTRE.  */
  const char *const *centres;
} ownership_settings_t;

/* A callback may call functions that take a const ownership_t, but no function
   that takes a non-const one.  */
typedef struct ownership_callbacks
{
  void *context;
  void (*send) (void *context, decide_id_t instance, const decide_msg_t *msg);
  /* Sets the fields of other modules before a message is sent: the
     configuration revision in HEARTBEAT and HEARTBEAT_ACK, pool loads in
     HEARTBEAT, and limits of endpoints in HANDOVER.  */
  void (*fill) (void *context, decide_msg_t *msg);
  /* Starts a read of the record now, in addition to the periodic reads; the
     end of each read is reported by ownership_handle_read_result().  This
     callback is not called from within ownership_handle_read_result().  */
  void (*store_read) (void *context);
  /* Starts a conditional update of the record (compare-and-swap), whose result
     is reported by ownership_handle_put_result().  @expected is the version
     that the record must have in the store, 0 if it must not exist there.
     Only one update is under way at a time; @operation identifies it.  */
  void (*store_put) (void *context, uint64_t operation, uint64_t expected,
                     const decide_record_t *record);
  /* Called on each transition of a slice.  When OWNERSHIP_GAINED directly
     follows OWNERSHIP_DELEGATED, outstanding grants in the slice stay
     valid.  */
  void (*slice_changed) (void *context, uint32_t centre, uint32_t slice,
                         ownership_change_t change);
  /* Writes up to @max outstanding grants of a slice to @grants and returns how
     many are outstanding in total.  The handover waits until all of them fit
     in one message.  */
  uint32_t (*export_grants) (void *context, uint32_t centre, uint32_t slice,
                             decide_handover_grant_t *grants, uint32_t max);
  /* Takes over the outstanding grants that the previous owner lists in the
     message; called once for each handover, after OWNERSHIP_DELEGATED.  */
  void (*import_grants) (void *context, const decide_msg_handover_t *handover);
} ownership_callbacks_t;

typedef struct ownership_status
{
  uint64_t record_version; /* 0 while no record is known */
  uint32_t slices_owned;   /* slices that the record assigns to this process */
  uint32_t slices_serving; /* slices in which it may issue grants now */
  uint32_t members_heard;  /* reachable members other than this instance */
  bool member;             /* the record names this process */
  bool store_fresh;        /* has a lease given by a read of the store */
  bool majority_fresh;     /* has a lease given by promises of a majority */
  bool stopping;           /* the graceful shutdown has begun */
} ownership_status_t;

/**
 * ownership_new() - create the ownership state of one process
 * @settings: configuration; copied
 * @callbacks: copied; every function must be set
 * @rng: random number generator for sequence numbers and jitter; owned by the
 *   caller, must outlive the ownership state
 * @now: start of the process in ms
 *
 * Return: the ownership state, or NULL when out of memory or when the settings
 * exceed DECIDE_MEMBERS_MAX or DECIDE_DATA_CENTRES_MAX - 1, lack a name, are
 * contradictory, or have incarnation 0.
 */
ownership_t *ownership_new (const ownership_settings_t *settings,
                            const ownership_callbacks_t *callbacks,
                            decide_rng_t *rng, clock_ms_t now);
void ownership_free (ownership_t *ownership);

/**
 * ownership_add_centre() - configure a data centre that the record must list
 * @name: name of the data centre
 *
 * If the record lacks the data centre, an update adds it later.  Data centres
 * are never removed from the record, and their indices never change.
 *
 * Return: 0, -EEXIST when it is configured already, -ENOSPC when there is no
 * room for another one or @name is empty or too long.
 */
int ownership_add_centre (ownership_t *ownership, const char *name);

/**
 * ownership_set_longest_grant() - set the longest grant of any configured pool
 * @grant_ms: sum of reuse time and run time in ms; 60,000 until it is set
 *
 * The successor of a handover issues grants without waiting until those of
 * former owners have ended.  An owner therefore hands a slice over only once
 * all grants of former owners, which last at most @grant_ms, have ended.
 */
void ownership_set_longest_grant (ownership_t *ownership, clock_ms_t grant_ms);

/**
 * ownership_adopt_record() - adopt a record that was read from the store or a
 * peer
 * @now: time in ms
 * @record: copied; its version is the one that the store assigned
 *
 * If an update fails with a conflict and the store returns the current record,
 * this function must be called with that record before
 * ownership_handle_put_result().
 *
 * Return: 0, -ESTALE when @record is not newer than the known record, -EINVAL
 * when @record is malformed or its list of data centres does not begin with
 * that of the known record (the read that returned it then counts as failed).
 */
int ownership_adopt_record (ownership_t *ownership, clock_ms_t now,
                            const decide_record_t *record);

/**
 * ownership_handle_read_result() - handle the end of a read of the store
 * @now: time in ms
 * @sent: time in ms at which the read was sent
 * @ok: whether the read succeeded and ownership_adopt_record() returned 0 or
 *   -ESTALE for each record in its response
 * @record_seen: whether this read, or an earlier read or message, showed that
 *   the store has a record
 */
void ownership_handle_read_result (ownership_t *ownership, clock_ms_t now,
                                   clock_ms_t sent, bool ok, bool record_seen);

/**
 * ownership_handle_put_result() - handle the result of the store_put callback
 * @now: time in ms
 * @operation: number that was passed to store_put; results of other operations
 *   are ignored
 * @result: result of the update
 * @version: version that the store assigned; only for DECIDE_STORE_OK
 */
void ownership_handle_put_result (ownership_t *ownership, clock_ms_t now,
                                  uint64_t operation,
                                  decide_store_result_t result,
                                  uint64_t version);

/* Handles a message from the instance @from: HEARTBEAT, HEARTBEAT_ACK,
   SUPPORT_REQUEST, SUPPORT_REPLY, HANDOVER or HANDOVER_ACK.  Other types are
   ignored.  */
void ownership_handle_message (ownership_t *ownership, clock_ms_t now,
                               decide_id_t from, const decide_msg_t *msg);

/**
 * ownership_tick() - perform all actions that are due
 * @now: time in ms
 *
 * Return: time in ms at which it has to be called next.
 */
clock_ms_t ownership_tick (ownership_t *ownership, clock_ms_t now);

/* Begins the graceful shutdown, which hands all slices over to other active
   members.  */
void ownership_stop (ownership_t *ownership, clock_ms_t now);

/**
 * ownership_has_stopped() - whether the graceful shutdown has nothing left to
 * do
 * @now: time in ms
 *
 * The caller limits how long it waits.  If the process exits earlier, other
 * members have to take its slices over after a timeout.
 *
 * Return: true when no update of the record is under way and each slice of
 * this process is either handed over or can't be taken by any other member.
 */
bool ownership_has_stopped (const ownership_t *ownership, clock_ms_t now);

/**
 * ownership_may_grant() - whether this instance may issue a grant now
 * @now: time in ms
 * @centre: index of the data centre in the record
 * @slice: index of the slice in the data centre
 * @grant_ms: longest grant of the pool in ms: the sum of reuse time and run
 *   time
 *
 * Return: true when the instance is owner or delegate of the slice, has a
 * lease, and all grants of former owners have ended.
 */
bool ownership_may_grant (const ownership_t *ownership, clock_ms_t now,
                          uint32_t centre, uint32_t slice,
                          clock_ms_t grant_ms);

/* Returns how long, in ms, this process still has a lease on the slices that
   the record assigns to it, given by a read of the store or by promises of a
   majority, whichever is longer; 0 when it has neither.  */
clock_ms_t ownership_lease_left (const ownership_t *ownership, clock_ms_t now);

/* Returns the instance to request grants of a slice from: the delegate that
   announces the slice in its heartbeats, or else the owner in the record; 0
   when there is none.  */
decide_id_t ownership_grant_target (const ownership_t *ownership,
                                    clock_ms_t now, uint32_t centre,
                                    uint32_t slice);

/* Returns whether this instance is owner or delegate of the slice, with or
   without a lease.  */
bool ownership_is_owner_or_delegate (const ownership_t *ownership,
                                     uint32_t centre, uint32_t slice);

/* Returns the index of a data centre in the record, or DECIDE_NO_HANDLE.  */
uint32_t ownership_centre_index (const ownership_t *ownership,
                                 const char *name);

/* Returns the known record, or NULL while there is none.  The pointer is valid
   until the next call that takes a non-const ownership_t.  */
const decide_record_t *ownership_get_record (const ownership_t *ownership);

/* ---- Peers ---- */

/* Returns whether a message of this module has arrived from the instance
   within the last DECIDE_PEER_TIMEOUT_MS.  */
bool ownership_is_reachable (const ownership_t *ownership, clock_ms_t now,
                             decide_id_t instance);

/* Returns the incarnation of the instance's last known process; 0 when it is
   unknown.  */
uint64_t ownership_peer_incarnation (const ownership_t *ownership,
                                     decide_id_t instance);

/* Returns whether the instance's last heartbeat announced its shutdown.  */
bool ownership_is_leaving (const ownership_t *ownership, decide_id_t instance);

/* Returns the configuration revision that the instance reported last; 0 when
   it has reported none.  */
uint64_t ownership_peer_revision (const ownership_t *ownership,
                                  decide_id_t instance);

/* Returns the time in ms of the last message from any peer, or INT64_MIN if
   there was none.  */
clock_ms_t ownership_last_contact (const ownership_t *ownership);

void ownership_get_status (const ownership_t *ownership, clock_ms_t now,
                           ownership_status_t *status);

#endif
