#ifndef PERIDOT_DECIDE_H
#define PERIDOT_DECIDE_H

/* Decision library: events and the time come in, decisions go out through
   callbacks.  It opens no sockets, starts no threads, reads no clock and
   keeps no global state.  */

#include "clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* XXH64 of a name; the form in which names cross the wire.  */
typedef uint64_t decide_id_t;

/* Index into the catalog's endpoint table.  */
typedef uint32_t endpoint_handle_t;

#define DECIDE_NO_HANDLE UINT32_MAX
#define DECIDE_NAME_MAX 64
#define DECIDE_ADDRESS_MAX 64
#define DECIDE_MEMBERS_MAX 16
#define DECIDE_DATA_CENTRES_MAX 16
#define DECIDE_SLICES 16
/* Pseudo data centre that holds the slices of idempotency keys.  */
#define DECIDE_KEY_CENTRE "*"
#define DECIDE_POOL_ENDPOINTS_MAX 4
#define DECIDE_SERVICE_ENDPOINTS_MAX 256
#define DECIDE_SERVICE_GROUPS_MAX 8
#define DECIDE_ANSWER_MAX 4096
#define DECIDE_LOADS_MAX 32

#define DECIDE_HEARTBEAT_MS 250
#define DECIDE_STORE_SYNC_MS 1000
#define DECIDE_FENCE_MS 2000
#define DECIDE_LEND_MS 500
#define DECIDE_OWNER_REPLY_MS 40
#define DECIDE_CONTACT_MS 2000
/* With a configuration poll of 1 s, callers have left an instance 3 s after it
   was taken out.  */
#define DECIDE_ADDRESS_LIFETIME_MS 2000

/* Seeded xoshiro256++ generator.  */
typedef struct decide_rng
{
  uint64_t state[4];
} decide_rng_t;

void decide_rng_seed (decide_rng_t *rng, uint64_t seed);
uint64_t decide_rng_next (decide_rng_t *rng);

/**
 * decide_rng_below() - uniform random number
 * @rng: generator
 * @bound: exclusive upper bound, at least 1
 */
uint32_t decide_rng_below (decide_rng_t *rng, uint32_t bound);

decide_id_t decide_id (const char *name);

/* ---- Configuration objects ---- */

/* Share of a service's requests that may be retried.  */
#define DECIDE_RETRIES_PER_MILLE 100

typedef struct decide_profile
{
  char name[DECIDE_NAME_MAX];
  uint32_t priority;     /* 0 (first) to 7 */
  clock_ms_t timeout_ms; /* deadline when the caller gives none */
  clock_ms_t run_ms;     /* longest run of one attempt */
  uint32_t queue_max;    /* waiting requests for each pool */
  bool retry;
  /* Retries after an unknown outcome for each thousand requests; each such
     retry may repeat all calls below it.  */
  uint32_t unknown_retries_per_mille;
  bool hedge;
  clock_ms_t hedge_after_ms;
  clock_ms_t key_retention_ms;
  char idempotent_prefix[DECIDE_NAME_MAX]; /* POST paths that may repeat */
} decide_profile_t;

typedef struct decide_endpoint
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char address[DECIDE_ADDRESS_MAX]; /* IP:PORT */
  uint32_t slots;
} decide_endpoint_t;

typedef struct decide_service
{
  char name[DECIDE_NAME_MAX];
  char profile[DECIDE_NAME_MAX];
  uint32_t endpoint_count;
  decide_endpoint_t *endpoints;
  /* Groups that serve it, at most one for each region; a region without one
     is mapped by hash.  */
  uint32_t group_count;
  char groups[DECIDE_SERVICE_GROUPS_MAX][DECIDE_NAME_MAX];
  /* A data centre of the region whose group has the idempotency keys; empty:
     that of the first endpoint.  */
  char key_region[DECIDE_NAME_MAX];
} decide_service_t;

/* Instance of a group as callers of other groups are told of it.  */
typedef struct decide_group_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char address[DECIDE_ADDRESS_MAX]; /* IP:PORT for callers */
} decide_group_instance_t;

typedef struct decide_group
{
  char name[DECIDE_NAME_MAX];
  uint32_t centre_count; /* data centres of the group's region */
  char centres[DECIDE_DATA_CENTRES_MAX][DECIDE_NAME_MAX];
  uint32_t instance_count;
  decide_group_instance_t instances[DECIDE_MEMBERS_MAX];
} decide_group_t;

typedef enum decide_member_state
{
  DECIDE_MEMBER_ACTIVE,
  DECIDE_MEMBER_LEAVING
} decide_member_state_t;

typedef struct decide_member
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  uint64_t incarnation;
  decide_member_state_t state;
} decide_member_t;

typedef struct decide_slice
{
  decide_id_t owner;    /* id of the member's name; 0 when none */
  uint64_t incarnation; /* of the owner when it was assigned */
  uint64_t assigned;    /* record version of the assignment */
} decide_slice_t;

typedef struct decide_record_centre
{
  char name[DECIDE_NAME_MAX];
  decide_slice_t slices[DECIDE_SLICES];
} decide_record_centre_t;

/* Ownership record of one group; changed only by conditional update.  */
typedef struct decide_record
{
  uint64_t version; /* the store's version of the object */
  uint32_t member_count;
  decide_member_t members[DECIDE_MEMBERS_MAX];
  uint32_t centre_count;
  decide_record_centre_t centres[DECIDE_DATA_CENTRES_MAX];
} decide_record_t;

typedef enum decide_object_kind
{
  DECIDE_OBJECT_PROFILE,
  DECIDE_OBJECT_SERVICE,
  DECIDE_OBJECT_OUT_CENTRE,
  DECIDE_OBJECT_OUT_INSTANCE,
  DECIDE_OBJECT_RECORD,
  DECIDE_OBJECT_GROUP
} decide_object_kind_t;

typedef struct decide_object
{
  decide_object_kind_t kind;
  const char *name; /* full name in the store */
  uint64_t version;
  uint64_t revision;
  bool deleted;
  const char *body; /* as stored, kept for peers that are behind */
  union
  {
    const decide_profile_t *profile;
    const decide_service_t *service;
    const decide_record_t *record;
    const decide_group_t *group;
    const char *out; /* data centre or instance name */
  } u;
} decide_object_t;

/* ---- Outcomes ---- */

typedef enum decide_ran
{
  DECIDE_RAN_NO,
  DECIDE_RAN_UNKNOWN
} decide_ran_t;

typedef enum decide_reason
{
  DECIDE_REASON_UNKNOWN_SERVICE,
  DECIDE_REASON_QUEUE_FULL,
  DECIDE_REASON_DEADLINE,
  DECIDE_REASON_NO_CAPACITY,  /* no pool with an owner that answers */
  DECIDE_REASON_NO_CONTACT,   /* configuration may be stale */
  DECIDE_REASON_FAILED,       /* attempts failed, no retry left */
  DECIDE_REASON_KEY_CONFLICT, /* same key, other body */
  DECIDE_REASON_KEY_IN_PROGRESS,
  DECIDE_REASON_KEY_UNCERTAIN, /* an earlier attempt may have run */
  DECIDE_REASON_KEY_NO_COPY,   /* no second instance keeps the claim */
  DECIDE_REASON_KEY_FULL,      /* no room for another key */
  DECIDE_REASON_OTHER_GROUP,   /* another group serves the request */
  DECIDE_REASON_STOPPING
} decide_reason_t;

typedef enum decide_attempt_result
{
  DECIDE_ATTEMPT_ANSWERED,
  DECIDE_ATTEMPT_SHED,     /* backend server said that it did not run */
  DECIDE_ATTEMPT_NOT_SENT, /* no connection, no byte sent */
  DECIDE_ATTEMPT_RESET,    /* connection reset after sending */
  DECIDE_ATTEMPT_TIMEOUT,
  DECIDE_ATTEMPT_BROKEN, /* body cut short */
  DECIDE_ATTEMPT_CANCELLED,
  DECIDE_ATTEMPT_UNUSED, /* grant returned without use */
  /* Returned without use, because the backend server had closed a connection
     that was idle only for latency_ms.  */
  DECIDE_ATTEMPT_CLOSED
} decide_attempt_result_t;

/* Load as a backend server states it in an answer, a probe or a shed.  */
typedef struct decide_load
{
  bool present;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t slots;
  bool cold;
  bool draining;
  uint64_t identity;
} decide_load_t;

typedef struct decide_attempt_end
{
  decide_attempt_result_t result;
  clock_ms_t latency_ms; /* from sending to the first byte; see CLOSED */
  uint32_t status;
  clock_ms_t retry_after_ms; /* of a shed; 0 when not stated */
  decide_load_t load;
} decide_attempt_end_t;

/* 128-bit hash of service and idempotency key, and hash of the body.  */
typedef struct decide_key
{
  uint64_t hash[2];
  uint64_t body;
} decide_key_t;

/* Recorded answer of a keyed request.  */
typedef struct decide_answer
{
  uint32_t status;
  char content_type[DECIDE_NAME_MAX];
  uint32_t length;
  uint8_t body[DECIDE_ANSWER_MAX];
} decide_answer_t;

/* ---- Messages between instances; durations only, no clock readings ---- */

typedef enum decide_msg_type
{
  DECIDE_MSG_HEARTBEAT = 1,
  DECIDE_MSG_HEARTBEAT_ACK,
  DECIDE_MSG_SUPPORT_REQUEST,
  DECIDE_MSG_SUPPORT_REPLY,
  DECIDE_MSG_HANDOVER,
  DECIDE_MSG_HANDOVER_ACK,
  DECIDE_MSG_OBJECT_PULL,
  DECIDE_MSG_OBJECT_PUSH,
  DECIDE_MSG_GRANT_REQUEST,
  DECIDE_MSG_GRANT,
  DECIDE_MSG_QUEUED,
  DECIDE_MSG_REFUSED,
  DECIDE_MSG_RELEASE,
  DECIDE_MSG_RECALL,
  DECIDE_MSG_GRANT_CANCEL,
  DECIDE_MSG_KEY_CLAIM,
  DECIDE_MSG_KEY_CLAIM_REPLY,
  DECIDE_MSG_KEY_COPY,
  DECIDE_MSG_KEY_COPY_ACK,
  DECIDE_MSG_KEY_OUTCOME,
  DECIDE_MSG_KEY_COLLECT,
  DECIDE_MSG_KEY_COLLECT_REPLY
} decide_msg_type_t;

/* A slice that the sender serves for its recorded owner after a handover.  */
typedef struct decide_acting
{
  decide_id_t owner;
  uint64_t owner_incarnation;
  uint32_t centre; /* index in the record */
  uint32_t slice;
} decide_acting_t;

typedef struct decide_pool_load
{
  decide_id_t pool;
  uint16_t free;
  uint16_t queued;
} decide_pool_load_t;

/* A heartbeat of the receiver that the sender promised, at the record version
   of the message that carries this.  */
typedef struct decide_promise
{
  uint64_t sequence;
  clock_ms_t sent; /* echo */
} decide_promise_t;

typedef struct decide_msg_heartbeat
{
  uint64_t sequence;
  clock_ms_t sent; /* sender's clock, only echoed */
  decide_member_state_t state;
  uint64_t record_version;
  uint64_t revision; /* configuration known completely */
  /* Key slices of which every entry has a copy, a bit for each, and a hash of
     the members that hold the copies.  */
  uint32_t key_slices;
  uint64_t key_copies;
  bool has_promise;
  decide_promise_t promise; /* replaces a HEARTBEAT_ACK */
  uint32_t acting_count;
  decide_acting_t acting[DECIDE_SLICES];
  uint32_t load_count;
  decide_pool_load_t loads[DECIDE_LOADS_MAX];
} decide_msg_heartbeat_t;

typedef struct decide_msg_heartbeat_ack
{
  uint64_t sequence;
  clock_ms_t sent; /* echo */
  uint64_t record_version;
  uint64_t revision;
  bool promised;
  bool supported_against; /* a takeover from the receiver was supported */
} decide_msg_heartbeat_ack_t;

typedef struct decide_msg_support
{
  uint64_t record_version;
  decide_id_t owner;
  uint64_t owner_incarnation;
  uint64_t term; /* requester's counter, echoed */
  bool granted;  /* in the reply */
} decide_msg_support_t;

typedef struct decide_handover_grant
{
  uint64_t grant;
  decide_id_t pool;
  decide_id_t endpoint;
  decide_id_t holder;
  clock_ms_t left_ms;
} decide_handover_grant_t;

/* A warm or draining endpoint, with which the next owner of its pool goes on.
   Others start cold there.  */
typedef struct decide_handover_limit
{
  decide_id_t pool;
  decide_id_t endpoint;
  uint64_t identity;
  uint32_t limit;
  uint32_t latency_16; /* average latency in 1/16 ms */
  bool draining;
} decide_handover_limit_t;

#define DECIDE_HANDOVER_GRANTS_MAX 128
#define DECIDE_HANDOVER_LIMITS_MAX 64

typedef struct decide_msg_handover
{
  uint32_t centre;
  uint32_t slice;
  uint64_t record_version;
  bool more; /* further parts follow */
  uint32_t grant_count;
  decide_handover_grant_t grants[DECIDE_HANDOVER_GRANTS_MAX];
  uint32_t limit_count;
  decide_handover_limit_t limits[DECIDE_HANDOVER_LIMITS_MAX];
} decide_msg_handover_t;

typedef struct decide_msg_object
{
  uint64_t previous; /* sender's revision before this object */
  uint64_t version;
  uint64_t revision;
  bool deleted;
  const char *name;
  const char *body;
} decide_msg_object_t;

/* Between instances a REQUEST carries request, pool, priority, left_ms, run_ms
   and lend_ms; a GRANT all but left_ms and reason; QUEUED and REFUSED request,
   pool, wait_ms, reason, free and queued; RECALL and CANCEL request, grant and
   pool.  */
typedef struct decide_msg_grant
{
  uint64_t request; /* requester's number */
  uint64_t grant;   /* owner's number; 0 in a request */
  decide_id_t pool;
  decide_id_t endpoint;
  uint32_t priority;
  clock_ms_t left_ms;     /* time until the request's deadline */
  clock_ms_t run_ms;      /* longest run of one use */
  clock_ms_t lend_ms;     /* time in which uses may start; 0: one use */
  clock_ms_t wait_ms;     /* QUEUED: expected; REFUSED: retry after */
  decide_reason_t reason; /* REFUSED */
  uint16_t free;          /* slots left in the pool */
  uint16_t queued;
} decide_msg_grant_t;

#define DECIDE_RELEASE_ENDS_MAX 8

typedef struct decide_msg_release
{
  uint64_t grant;
  decide_id_t pool;
  bool keep; /* report of uses of a lent grant */
  decide_attempt_end_t end;
  /* Uses that ended before, in order, and were not reported yet.  */
  uint32_t earlier_count;
  decide_attempt_end_t earlier[DECIDE_RELEASE_ENDS_MAX - 1];
} decide_msg_release_t;

typedef enum decide_key_status
{
  DECIDE_KEY_RUN, /* the claim is the first: run it */
  DECIDE_KEY_ANSWERED,
  DECIDE_KEY_IN_PROGRESS,
  DECIDE_KEY_CONFLICT,
  DECIDE_KEY_UNCERTAIN,
  DECIDE_KEY_NO_COPY,
  DECIDE_KEY_NOT_OWNER,
  DECIDE_KEY_RUN_WITH_COPY, /* as RUN; the requester holds the copy */
  DECIDE_KEY_FULL           /* no room for another key */
} decide_key_status_t;

typedef enum decide_key_state
{
  DECIDE_KEY_STATE_CLAIMED,
  DECIDE_KEY_STATE_DONE,
  DECIDE_KEY_STATE_UNKNOWN, /* ended without a known outcome */
  DECIDE_KEY_STATE_NOT_RUN  /* released: may be claimed again */
} decide_key_state_t;

typedef struct decide_msg_key
{
  uint64_t request;
  decide_id_t runner; /* COPY, COLLECT_REPLY, RUN_WITH_COPY: instance of the
                         claim */
  uint64_t round;     /* COLLECT, echoed in COLLECT_REPLY */
  /* COLLECT: number, at the source, of the last entry that is known; last
     COLLECT_REPLY: the same after this page.  */
  uint64_t after;
  /* Last COLLECT_REPLY: what the previous owner, @runner of COLLECT, stated
     about the copies of the slice; 0: nothing.  */
  uint64_t copies;
  uint32_t centre;
  uint32_t slice;
  uint64_t record_version;
  decide_key_t key;
  clock_ms_t left_ms;         /* CLAIM: until the request's deadline */
  decide_id_t service;        /* CLAIM */
  clock_ms_t moved_ms;        /* CLAIM: time in which a claim by the service's
                                 earlier group may still be kept */
  clock_ms_t retention_ms;    /* time for which the entry is still kept */
  decide_key_status_t status; /* CLAIM_REPLY */
  decide_key_state_t state;   /* COPY, OUTCOME, COLLECT_REPLY */
  bool more;                  /* COLLECT_REPLY: further entries follow */
  bool empty;                 /* COLLECT_REPLY without an entry */
  bool authoritative;         /* last COLLECT_REPLY: sender served the slice */
  clock_ms_t running_ms;      /* COLLECT_REPLY: age of the sender's process */
  bool has_answer;
  decide_answer_t answer;
} decide_msg_key_t;

typedef struct decide_msg
{
  decide_msg_type_t type;
  uint64_t incarnation; /* of the sender */
  union
  {
    decide_msg_heartbeat_t heartbeat;
    decide_msg_heartbeat_ack_t ack;
    decide_msg_support_t support;
    decide_msg_handover_t handover;
    decide_msg_object_t object;
    uint64_t pull_since;
    decide_msg_grant_t grant; /* REQUEST, GRANT, QUEUED, REFUSED, RECALL,
                                 CANCEL */
    decide_msg_release_t release;
    decide_msg_key_t key;
  } u;
} decide_msg_t;

/* ---- Node: all aggregates of one instance ---- */

typedef struct decide decide_t;

typedef struct decide_request
{
  uint64_t id; /* chosen by the caller of the library */
  decide_id_t service;
  bool idempotent;
  bool keyed;
  decide_key_t key;
  clock_ms_t deadline;
} decide_request_t;

typedef struct decide_forward
{
  uint64_t request;
  uint64_t attempt;
  endpoint_handle_t endpoint;
  const decide_endpoint_t *target;
  clock_ms_t start_by; /* not sent after this time */
  clock_ms_t deadline; /* the attempt ends by this time */
  bool hedge;
} decide_forward_t;

typedef struct decide_refusal
{
  uint64_t request;
  decide_reason_t reason;
  decide_ran_t ran;
  clock_ms_t retry_after_ms;
} decide_refusal_t;

typedef enum decide_store_result
{
  DECIDE_STORE_OK,
  DECIDE_STORE_CONFLICT,
  DECIDE_STORE_UNKNOWN /* no answer: the update may be in effect */
} decide_store_result_t;

typedef struct decide_callbacks
{
  void *context;
  void (*send) (void *context, decide_id_t instance, const decide_msg_t *msg);
  void (*forward) (void *context, const decide_forward_t *forward);
  void (*cancel) (void *context, uint64_t attempt);
  void (*refuse) (void *context, const decide_refusal_t *refusal);
  void (*replay) (void *context, uint64_t request,
                  const decide_answer_t *answer);
  /* Reads all objects changed after @since; ends in decide_store_synced.  */
  void (*store_sync) (void *context, uint64_t since);
  /* Conditional update of the record; ends in decide_store_put_done.
     @expected is 0 when the object must not exist.  */
  void (*store_put) (void *context, uint64_t operation, uint64_t expected,
                     const decide_record_t *record);
  void (*probe) (void *context, endpoint_handle_t endpoint,
                 const decide_endpoint_t *target);
} decide_callbacks_t;

typedef struct decide_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
} decide_instance_t;

typedef struct decide_settings
{
  char instance[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char group[DECIDE_NAME_MAX]; /* ownership group */
  uint64_t incarnation;        /* random, not 0 */
  uint64_t seed;
  uint64_t key_bytes; /* limit of key entries; 0: none */
  /* All configured instances, this one included; copied.  */
  uint32_t instance_count;
  const decide_instance_t *instances;
} decide_settings_t;

/* Return: the node, or NULL when the settings are contradictory.  */
decide_t *decide_new (const decide_settings_t *settings,
                      const decide_callbacks_t *callbacks, clock_ms_t now);
void decide_free (decide_t *node);

/**
 * decide_tick() - do what is due
 * Return: the next time in ms at which something is due.
 */
clock_ms_t decide_tick (decide_t *node, clock_ms_t now);

/**
 * decide_object() - a configuration object read from the store or a peer
 * @previous: revision that the source had completely before this object, or
 *   UINT64_MAX for an object of a store read
 * Return: 0, -ESTALE when an equal or newer version is known, -EEXIST when a
 *   name collides, -ENOMEM.
 */
int decide_object (decide_t *node, clock_ms_t now, uint64_t previous,
                   const decide_object_t *object);
void decide_store_synced (decide_t *node, clock_ms_t now, clock_ms_t sent,
                          bool ok, uint64_t revision);
void decide_store_put_done (decide_t *node, clock_ms_t now, uint64_t operation,
                            decide_store_result_t result, uint64_t version);

/* Reads the store soon, besides the periodic reads: after a change that was
   made through this instance.  */
void decide_read_store (decide_t *node, clock_ms_t now);
void decide_message (decide_t *node, clock_ms_t now, decide_id_t from,
                     const decide_msg_t *msg);
void decide_request (decide_t *node, clock_ms_t now,
                     const decide_request_t *request);

/**
 * decide_request_gone() - withdraw the request of a caller that has left
 *
 * A request with a key that may run goes on, so that its outcome is recorded
 * for a repeat, and ends like any other.
 *
 * Return: whether the request has ended.
 */
bool decide_request_gone (decide_t *node, clock_ms_t now, uint64_t request);

/**
 * decide_attempt_done() - an attempt ended
 * @answer: answer to keep for a keyed request, or NULL
 *
 * Return: whether the request has ended with this attempt's answer.
 */
bool decide_attempt_done (decide_t *node, clock_ms_t now, uint64_t request,
                          uint64_t attempt, const decide_attempt_end_t *end,
                          const decide_answer_t *answer);
void decide_probed (decide_t *node, clock_ms_t now, endpoint_handle_t endpoint,
                    bool ok, clock_ms_t latency_ms, const decide_load_t *load);

/* Begins a planned stop; decide_stopped() says when it may end.  */
void decide_stop (decide_t *node, clock_ms_t now);
bool decide_stopped (const decide_t *node, clock_ms_t now);

/* ---- Reading the state ---- */

typedef struct decide_status
{
  uint64_t revision;
  uint64_t record_version;
  uint32_t slices_owned;
  uint32_t slices_serving;
  uint32_t pending;
  uint32_t members_heard;
  bool store_fresh;
  bool majority_fresh;
  bool stopping;
  /* Another group's record is in the store, and no group objects say what
     this one serves: no grants.  */
  bool foreign_group;
} decide_status_t;

void decide_get_status (const decide_t *node, clock_ms_t now,
                        decide_status_t *status);
const decide_record_t *decide_get_record (const decide_t *node);

/* Return: NULL when there is no such service, or its profile has not come yet
   to an instance that has just started.  */
const decide_profile_t *decide_get_profile (const decide_t *node,
                                            decide_id_t service);

typedef struct decide_peer_view
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  bool heard; /* in the last DECIDE_CONTACT_MS */
  bool leaving;
  bool out;
  uint64_t revision;
} decide_peer_view_t;

/* Calls @visit for this instance first, then for each peer.  */
void decide_each_instance (const decide_t *node, clock_ms_t now,
                           void (*visit) (void *context,
                                          const decide_peer_view_t *view),
                           void *context);

/* Visits the names of the data centres, or instances, that are out.  */
void decide_each_out (const decide_t *node, bool instances,
                      void (*visit) (void *context, const char *name),
                      void *context);

/**
 * decide_service_group() - group to use for a service
 * @centre: the caller's data centre
 * @keyed: the request has an idempotency key that is to be claimed
 *
 * Return: its name; empty when no group serves the service; NULL when services
 *   are not divided among groups, or there is no such service.
 */
const char *decide_service_group (const decide_t *node, decide_id_t service,
                                  const char *centre, bool keyed);

/**
 * decide_each_group_instance() - instances of a group that callers can use
 *
 * Visits what the group's object lists, without those that are known to be
 * out, leaving or gone.
 */
void decide_each_group_instance (
    const decide_t *node, const char *group,
    void (*visit) (void *context, const decide_group_instance_t *instance),
    void *context);

typedef struct decide_endpoint_view
{
  const decide_endpoint_t *endpoint;
  const char *service;
  const char *group; /* that serves the pool; empty: not divided, or none */
  decide_id_t owner;
  uint32_t limit;
  uint32_t in_flight;
  bool cold;
  bool draining;
  bool suspended;
  bool out;
} decide_endpoint_view_t;

void decide_each_endpoint (const decide_t *node, clock_ms_t now,
                           void (*visit) (void *context,
                                          const decide_endpoint_view_t *view),
                           void *context);

#endif
