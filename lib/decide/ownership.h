#ifndef PERIDOT_OWNERSHIP_H
#define PERIDOT_OWNERSHIP_H

/* Decides which instance may give grants in which slice of a data centre
   (docs/ownership.md).  The ownership record in the store names the owner of
   each slice.  An owner may grant only while it has a lease: by a recent read
   of the store, or by promises of a majority of the record's members.
   Internal to the decision library.  All times are in ms on the instance's own
   clock.  */

#include "decide.h"

typedef struct ownership ownership_t;

typedef enum ownership_change
{
  OWNERSHIP_GAINED, /* the record names this instance as the owner */
  /* The owner handed the slice over to this instance, its delegate from then
     on; the record still names the old owner.  */
  OWNERSHIP_DELEGATED,
  /* This instance is neither owner nor delegate, or the successor has
     acknowledged the handover.  */
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
  /* Tells processes of the same instance name apart; not 0.  */
  uint64_t incarnation;
  uint32_t instance_count;
  /* Configured instances; may include this one.  */
  const ownership_instance_t *instances;
  uint32_t centre_count;
  /* Names of data centres, without DECIDE_KEY_CENTRE.  */
  const char *const *centres;
} ownership_settings_t;

/* Callbacks may call functions that take a const ownership_t, but none that
   changes it.  */
typedef struct ownership_callbacks
{
  void *context;
  void (*send) (void *context, decide_id_t instance, const decide_msg_t *msg);
  /* Adds the configuration revision to HEARTBEAT and HEARTBEAT_ACK, pool loads
     to HEARTBEAT, and limits of endpoints to HANDOVER.  All other fields are
     set already.  */
  void (*fill) (void *context, decide_msg_t *msg);
  /* Starts a read of the record now, besides the periodic ones; its end is
     reported by ownership_handle_read_result().  It is not called from within
     ownership_handle_read_result().  */
  void (*store_read) (void *context);
  /* Starts a conditional update of the record (compare-and-swap); its end is
     reported by ownership_handle_put_result().  @expected is the version that
     the record must have, 0 when it must not exist.  Only one update is under
     way at a time; @operation identifies it.  */
  void (*store_put) (void *context, uint64_t operation, uint64_t expected,
                     const decide_record_t *record);
  /* Called on each transition of a slice.  On OWNERSHIP_GAINED right after
     OWNERSHIP_DELEGATED the grants of the slice stay valid.  */
  void (*slice_changed) (void *context, uint32_t centre, uint32_t slice,
                         ownership_change_t change);
  /* Writes up to @max outstanding grants of a slice to @grants and returns the
     number of all outstanding ones.  The handover waits until they fit in one
     message.  */
  uint32_t (*export_grants) (void *context, uint32_t centre, uint32_t slice,
                             decide_handover_grant_t *grants, uint32_t max);
  /* Takes over the grants of a slice that was handed over; called once, after
     OWNERSHIP_DELEGATED.  */
  void (*import_grants) (void *context, const decide_msg_handover_t *handover);
} ownership_callbacks_t;

typedef struct ownership_status
{
  uint64_t record_version; /* 0 while no record is known */
  uint32_t slices_owned;   /* the record names this instance */
  uint32_t slices_serving; /* grants may be given now */
  uint32_t members_heard;  /* reachable members, without this instance */
  bool member;             /* the record names this process */
  bool store_fresh;        /* has a lease by a read of the store */
  bool majority_fresh;     /* has a lease by promises of a majority */
  bool stopping;
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
void ownership_free (ownership_t *o);

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
int ownership_add_centre (ownership_t *o, const char *name);

/**
 * ownership_set_longest_grant() - set the longest grant of any configured pool
 * @grant_ms: reuse time and run time in ms; 60,000 until it is set
 *
 * The successor of a handover doesn't wait until grants of former owners have
 * ended.  So the owner hands a slice over only after it has itself owned it
 * for long enough to give a grant of this length.
 */
void ownership_set_longest_grant (ownership_t *o, clock_ms_t grant_ms);

/**
 * ownership_adopt_record() - adopt a record that was read from the store or a
 * peer
 * @now: time in ms
 * @record: copied; its version is the one that the store assigned
 *
 * When an update ends with a conflict that returns the current record, this
 * function must be called with that record before
 * ownership_handle_put_result().
 *
 * Return: 0, -ESTALE when @record is not newer than the known one, -EINVAL
 * when it is malformed or does not begin with the data centres of the known
 * one (the read that returned it then counts as failed).
 */
int ownership_adopt_record (ownership_t *o, clock_ms_t now,
                            const decide_record_t *record);

/**
 * ownership_handle_read_result() - handle the end of a read of the store
 * @now: time in ms
 * @sent: time in ms at which the read was sent
 * @ok: whether it succeeded and ownership_adopt_record() returned 0 or -ESTALE
 * for each record in it
 * @record_seen: whether the store has a record as far as the reader knows
 */
void ownership_handle_read_result (ownership_t *o, clock_ms_t now,
                                   clock_ms_t sent, bool ok, bool record_seen);

/**
 * ownership_handle_put_result() - handle the result of the store_put callback
 * @now: time in ms
 * @operation: number that was passed to store_put; results of other operations
 *   are ignored
 * @result: result of the update
 * @version: version that the store assigned; only for DECIDE_STORE_OK
 */
void ownership_handle_put_result (ownership_t *o, clock_ms_t now,
                                  uint64_t operation,
                                  decide_store_result_t result,
                                  uint64_t version);

/* Handles a message from the instance @from: HEARTBEAT, HEARTBEAT_ACK,
   SUPPORT_REQUEST, SUPPORT_REPLY, HANDOVER or HANDOVER_ACK.  Other types are
   ignored.  */
void ownership_handle_message (ownership_t *o, clock_ms_t now,
                               decide_id_t from, const decide_msg_t *msg);

/**
 * ownership_tick() - perform all actions that are due
 * @now: time in ms
 *
 * Return: time in ms at which it has to be called next.
 */
clock_ms_t ownership_tick (ownership_t *o, clock_ms_t now);

/* Begins the graceful shutdown, which hands all slices over to other active
   members.  */
void ownership_stop (ownership_t *o, clock_ms_t now);

/**
 * ownership_has_stopped() - whether the graceful shutdown has nothing left to
 * do
 * @now: time in ms
 *
 * The caller limits how long it waits.  If the process exits earlier, other
 * members have to take its slices over after a timeout.
 *
 * Return: true when every slice is handed over or no other member can take it,
 * and no update of the record is under way.
 */
bool ownership_has_stopped (const ownership_t *o, clock_ms_t now);

/**
 * ownership_may_grant() - whether this instance may give a grant now
 * @now: time in ms
 * @centre: index of the data centre in the record
 * @slice: index of the slice in the data centre
 * @grant_ms: longest grant of the pool, reuse time and run time, in ms
 *
 * Return: true when the instance serves the slice, has a lease, and all grants
 * of former owners have ended.
 */
bool ownership_may_grant (const ownership_t *o, clock_ms_t now,
                          uint32_t centre, uint32_t slice,
                          clock_ms_t grant_ms);

/* Time in ms until the lease on the slices that the record assigns to this
   instance expires, by a read of the store or by a majority, whichever lasts
   longer; 0 when there is none.  */
clock_ms_t ownership_lease_left (const ownership_t *o, clock_ms_t now);

/* Instance to ask for a grant in a slice: the delegate that announces it in
   its heartbeats, or else the recorded owner; 0 when there is none.  */
decide_id_t ownership_grant_target (const ownership_t *o, clock_ms_t now,
                                    uint32_t centre, uint32_t slice);

/* Whether this instance owns the slice or is its delegate, with or without a
   lease.  */
bool ownership_is_owner_or_delegate (const ownership_t *o, uint32_t centre,
                                     uint32_t slice);

/* Index of a data centre in the record, or DECIDE_NO_HANDLE.  */
uint32_t ownership_centre_index (const ownership_t *o, const char *name);

/* The known record, or NULL while there is none.  The pointer is valid until
   the next call that takes a non-const ownership_t.  */
const decide_record_t *ownership_get_record (const ownership_t *o);

/* ---- Peers ---- */

/* Whether any message of this module came from the instance within the last
   DECIDE_PEER_TIMEOUT_MS.  */
bool ownership_is_reachable (const ownership_t *o, clock_ms_t now,
                             decide_id_t instance);

/* Incarnation of the instance's last known process; 0 when it is unknown.  */
uint64_t ownership_peer_incarnation (const ownership_t *o,
                                     decide_id_t instance);

/* Whether the instance's last heartbeat announced its shutdown.  */
bool ownership_is_leaving (const ownership_t *o, decide_id_t instance);

/* Last configuration revision that the instance reported; 0 when unknown.  */
uint64_t ownership_peer_revision (const ownership_t *o, decide_id_t instance);

/* Time in ms of the last message from any peer, or INT64_MIN.  */
clock_ms_t ownership_last_contact (const ownership_t *o);

void ownership_get_status (const ownership_t *o, clock_ms_t now,
                           ownership_status_t *status);

#endif
