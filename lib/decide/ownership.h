#ifndef PERIDOT_OWNERSHIP_H
#define PERIDOT_OWNERSHIP_H

/* Which instance may grant in which slice (docs/ownership.md).  Internal to
   the decision library.  All times are ms on the instance's own clock.  */

#include "decide.h"

typedef struct ownership ownership_t;

typedef enum ownership_change
{
  OWNERSHIP_GAINED,    /* the record names this instance */
  OWNERSHIP_DELEGATED, /* handed over; the record still names the old owner */
  OWNERSHIP_LOST       /* neither; also after the successor's HANDOVER_ACK */
} ownership_change_t;

typedef struct ownership_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
} ownership_instance_t;

/* Copied by ownership_new().  */
typedef struct ownership_settings
{
  char instance[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  uint64_t incarnation; /* not 0; differs between processes of a name */
  uint32_t instance_count;
  const ownership_instance_t *instances; /* configured; may include itself */
  uint32_t centre_count;
  const char *const *centres; /* without DECIDE_KEY_CENTRE */
} ownership_settings_t;

/* Callbacks may read the aggregate, but not change it.  */
typedef struct ownership_callbacks
{
  void *context;
  void (*send) (void *context, decide_id_t instance, const decide_msg_t *msg);
  /* Adds the revision to HEARTBEAT and HEARTBEAT_ACK, pool loads to
     HEARTBEAT, limits of endpoints to HANDOVER.  The message is complete
     otherwise.  */
  void (*fill) (void *context, decide_msg_t *msg);
  /* Asks for a read of the record now, besides the periodic ones; ends in
     ownership_handle_read_result().  Not called from
     ownership_handle_read_result().  */
  void (*store_read) (void *context);
  /* Conditional update; ends in ownership_handle_put_result().  @expected is 0
     when the record must not exist.  One at a time.  */
  void (*store_put) (void *context, uint64_t operation, uint64_t expected,
                     const decide_record_t *record);
  /* Called on each transition.  GAINED after DELEGATED continues service with
     the same grants.  */
  void (*slice_changed) (void *context, uint32_t centre, uint32_t slice,
                         ownership_change_t change);
  /* Writes up to @max outstanding grants of a slice and returns how many
     there are.  The handover waits until they fit in one message.  */
  uint32_t (*export_grants) (void *context, uint32_t centre, uint32_t slice,
                             decide_handover_grant_t *grants, uint32_t max);
  /* Called once for a slice, after OWNERSHIP_DELEGATED.  */
  void (*import_grants) (void *context, const decide_msg_handover_t *handover);
} ownership_callbacks_t;

typedef struct ownership_status
{
  uint64_t record_version; /* 0: no record known */
  uint32_t slices_owned;   /* named by the record */
  uint32_t slices_serving; /* owned or delegated, with evidence now */
  uint32_t members_heard;  /* without itself */
  bool member;             /* the record names this incarnation */
  bool store_fresh;        /* evidence (a) */
  bool majority_fresh;     /* evidence (b) */
  bool stopping;
} ownership_status_t;

/**
 * ownership_new() - create the aggregate of one process
 * @settings: copied
 * @callbacks: copied; every function must be set
 * @rng: generator, owned by the caller, used for retry times
 * @now: start of the process in ms
 *
 * Return: the aggregate, or NULL when out of memory or when the settings
 * exceed DECIDE_MEMBERS_MAX or DECIDE_DATA_CENTRES_MAX - 1, are
 * contradictory, or have incarnation 0.
 */
ownership_t *ownership_new (const ownership_settings_t *settings,
                            const ownership_callbacks_t *callbacks,
                            decide_rng_t *rng, clock_ms_t now);
void ownership_free (ownership_t *o);

/**
 * ownership_add_centre() - a data centre that the record shall list
 *
 * A missing data centre is added by an update of the record.  Centres are
 * never removed, and their indices never change.
 *
 * Return: 0, -EEXIST when known already, -ENOSPC.
 */
int ownership_add_centre (ownership_t *o, const char *name);

/**
 * ownership_set_longest_grant() - longest grant of any configured pool
 * @grant_ms: lend time and run time in ms; 60,000 until it is set
 *
 * A slice is handed over only when this time would have passed for a new
 * owner, since the successor of a handover does not wait again.
 */
void ownership_set_longest_grant (ownership_t *o, clock_ms_t grant_ms);

/**
 * ownership_adopt_record() - a record read from the store or a peer
 * @record: copied; its version is the one that the store assigned
 *
 * Also called with the current object that a conflict returns, before
 * ownership_handle_put_result().
 *
 * Return: 0, -ESTALE when not newer than the known record, -EINVAL when it
 * is malformed (the read it came from then counts as failed).
 */
int ownership_adopt_record (ownership_t *o, clock_ms_t now,
                            const decide_record_t *record);

/**
 * ownership_handle_read_result() - a read of the store ended
 * @sent: when the read was sent, in ms
 * @ok: true when it succeeded and every record in it went through
 *   ownership_adopt_record() with 0 or -ESTALE
 * @record_seen: whether the record exists as far as the reader knows
 */
void ownership_handle_read_result (ownership_t *o, clock_ms_t now,
                                   clock_ms_t sent, bool ok, bool record_seen);

/**
 * ownership_handle_put_result() - result of store_put
 * @version: version that the store assigned; only for DECIDE_STORE_OK
 */
void ownership_handle_put_result (ownership_t *o, clock_ms_t now,
                                  uint64_t operation,
                                  decide_store_result_t result,
                                  uint64_t version);

/* HEARTBEAT, HEARTBEAT_ACK, SUPPORT_REQUEST, SUPPORT_REPLY, HANDOVER and
   HANDOVER_ACK; other types are ignored.  */
void ownership_handle_message (ownership_t *o, clock_ms_t now,
                               decide_id_t from, const decide_msg_t *msg);

/**
 * ownership_tick() - do what is due
 * Return: the next time in ms at which something is due.
 */
clock_ms_t ownership_tick (ownership_t *o, clock_ms_t now);

/* Begins the planned stop: hands all slices to other active members.  */
void ownership_stop (ownership_t *o, clock_ms_t now);

/**
 * ownership_has_stopped() - whether nothing is left to hand over
 *
 * True when every slice is handed over or there is no other member to take
 * it, and no update of the record is under way.  The caller limits how long
 * it waits; exiting earlier costs a takeover.
 */
bool ownership_has_stopped (const ownership_t *o, clock_ms_t now);

/**
 * ownership_may_grant() - whether a grant may be given now
 * @centre: index in the record
 * @grant_ms: longest grant of the pool, lend time and run time, in ms
 */
bool ownership_may_grant (const ownership_t *o, clock_ms_t now,
                          uint32_t centre, uint32_t slice,
                          clock_ms_t grant_ms);

/* Time in ms for which the best evidence for the slices that the record
   gives to this instance remains; 0 when there is none.  */
clock_ms_t ownership_lease_left (const ownership_t *o, clock_ms_t now);

/* Instance to ask for a grant: a delegate that announces itself, else the
   recorded owner; 0 when there is none.  */
decide_id_t ownership_grant_target (const ownership_t *o, clock_ms_t now,
                                    uint32_t centre, uint32_t slice);

/* Whether this instance owns the slice or is its delegate, with or without
   evidence.  */
bool ownership_holds (const ownership_t *o, uint32_t centre, uint32_t slice);

/* Index of a data centre in the record, or DECIDE_NO_HANDLE.  */
uint32_t ownership_centre_index (const ownership_t *o, const char *name);

/* Known record, or NULL; valid until the next call that changes it.  */
const decide_record_t *ownership_get_record (const ownership_t *o);

/* ---- Peers ---- */

/* Whether a heartbeat or an acknowledgement of the current process of the
   instance came within DECIDE_PEER_TIMEOUT_MS.  */
bool ownership_is_reachable (const ownership_t *o, clock_ms_t now,
                             decide_id_t instance);

/* Incarnation of the process that was heard last; 0: none.  */
uint64_t ownership_peer_incarnation (const ownership_t *o,
                                     decide_id_t instance);

/* Whether the last heartbeat said that the instance is leaving.  */
bool ownership_is_leaving (const ownership_t *o, decide_id_t instance);

/* Last configuration revision that the instance stated; 0 when unknown.  */
uint64_t ownership_peer_revision (const ownership_t *o, decide_id_t instance);

/* Time in ms of the last contact with any peer, or INT64_MIN.  */
clock_ms_t ownership_last_contact (const ownership_t *o);

void ownership_get_status (const ownership_t *o, clock_ms_t now,
                           ownership_status_t *status);

#endif
