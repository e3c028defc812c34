#ifndef PERIDOT_DECIDE_H
#define PERIDOT_DECIDE_H

/* Library that decides which endpoint serves a request and when.  The caller
   passes events and the current time to it, and it reports its decisions
   through callbacks.  It opens no sockets, starts no threads, reads no clock
   and keeps no global state.  */

#include "clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* XXH64 of a name.  Messages between instances carry it instead of the
   name.  */
typedef uint64_t decide_id_t;

/* Index into the catalog's endpoint table.  */
typedef uint32_t endpoint_handle_t;

/* Returned instead of a handle or an index when nothing was found.  */
#define DECIDE_NO_HANDLE UINT32_MAX
/* Sizes of names and addresses in bytes, including the terminating null.  */
#define DECIDE_NAME_MAX 64
#define DECIDE_ADDRESS_MAX 64
/* Maximum number of instances of a group, which are the members in its
   ownership record.  */
#define DECIDE_MEMBERS_MAX 16
#define DECIDE_DATA_CENTRES_MAX 16
/* Number of slices into which the pools of a data centre are partitioned.
   Each slice has one owner.  */
#define DECIDE_SLICES 16
/* Name of the pseudo data centre in the ownership record.  Its slices
   partition the idempotency keys instead of pools.  */
#define DECIDE_KEY_CENTRE "*"
#define DECIDE_POOL_ENDPOINTS_MAX 4
#define DECIDE_SERVICE_ENDPOINTS_MAX 256
#define DECIDE_SERVICE_GROUPS_MAX 8
/* Maximum length of the body of a recorded response.  */
#define DECIDE_RESPONSE_MAX_BYTES 4096
/* Maximum number of pool loads in one heartbeat.  */
#define DECIDE_LOADS_MAX 32

#define DECIDE_HEARTBEAT_INTERVAL_MS 250
#define DECIDE_STORE_SYNC_INTERVAL_MS 1000
/* How long an owner may issue grants after a successful read of the store or
   after promises from a majority of the members.  */
#define DECIDE_OWNERSHIP_LEASE_MS 2000
/* How long after a reusable grant was issued its holder may still start
   attempts under it.  */
#define DECIDE_GRANT_REUSE_MS 500
/* Time for which a requester waits for an owner's reply.  */
#define DECIDE_OWNER_REPLY_TIMEOUT_MS 40
/* A peer counts as reachable for this time after its last message.  */
#define DECIDE_PEER_TIMEOUT_MS 2000
/* Time for which clients may cache the addresses of instances.  With a
   configuration poll of 1 s, clients have stopped using an instance 3 s after
   it was taken out of service.  */
#define DECIDE_ADDRESS_TTL_MS 2000

/* Seeded xoshiro256++ generator.  */
typedef struct decide_rng
{
  uint64_t state[4];
} decide_rng_t;

void decide_rng_seed (decide_rng_t *rng, uint64_t seed);
uint64_t decide_rng_next (decide_rng_t *rng);

/**
 * decide_rng_below() - return a uniformly distributed random number
 * @rng: generator
 * @bound: exclusive upper bound, at least 1
 */
uint32_t decide_rng_below (decide_rng_t *rng, uint32_t bound);

/* Return: the XXH64 of the name.  */
decide_id_t decide_id (const char *name);

/* ---- Configuration objects ---- */

/* Retries allowed for each thousand requests of a service.  */
#define DECIDE_RETRIES_PER_MILLE 100

typedef struct decide_profile
{
  char name[DECIDE_NAME_MAX];
  uint32_t priority;     /* 0 (highest) to 7 */
  clock_ms_t timeout_ms; /* deadline when the client gives none */
  clock_ms_t run_ms;     /* maximum duration of one attempt */
  uint32_t queue_max;    /* maximum number of waiting requests per pool */
  bool retry;            /* failed attempts may be retried */
  /* Maximum number of retries after an unknown outcome for each thousand
     requests.  Each such retry may repeat all calls that the backend server
     makes for the request.  */
  uint32_t unknown_retries_per_mille;
  /* Idempotent requests may be hedged: a second attempt is sent to another
     endpoint while the first one is still running.  */
  bool hedge;
  clock_ms_t hedge_after_ms;   /* delay of the hedge after the first attempt */
  clock_ms_t key_retention_ms; /* time for which an idempotency key is kept */
  char idempotent_prefix[DECIDE_NAME_MAX]; /* path prefix of POST requests that
                                              may be retried */
} decide_profile_t;

typedef struct decide_endpoint
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char address[DECIDE_ADDRESS_MAX]; /* IP:PORT */
  uint32_t slots;                   /* concurrent requests that it accepts */
} decide_endpoint_t;

typedef struct decide_service
{
  char name[DECIDE_NAME_MAX];
  char profile[DECIDE_NAME_MAX];
  uint32_t endpoint_count;
  decide_endpoint_t *endpoints;
  /* Groups that serve the service, at most one for each region.  In a region
     without one, groups_choose() selects a group by hash.  */
  uint32_t group_count;
  char groups[DECIDE_SERVICE_GROUPS_MAX][DECIDE_NAME_MAX];
  /* A data centre in the region whose group holds the service's idempotency
     keys; if empty, the data centre of the first endpoint is used.  */
  char key_region[DECIDE_NAME_MAX];
} decide_service_t;

/* Instance of a group whose address is published to the clients of other
   groups.  */
typedef struct decide_group_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char address[DECIDE_ADDRESS_MAX]; /* IP:PORT for clients */
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
  uint64_t incarnation; /* of the member's process; 0 until a process of the
                           member has written its own to the record */
  decide_member_state_t state;
} decide_member_t;

typedef struct decide_slice
{
  decide_id_t owner;    /* id of the member's name; 0: no owner */
  uint64_t incarnation; /* of the owner's process; 0 until a process of the
                           owner has written its own to the record */
  /* Record version that assigned the slice to its owner; 0 if no earlier
     owner can have issued grants.  */
  uint64_t assigned;
} decide_slice_t;

typedef struct decide_record_centre
{
  char name[DECIDE_NAME_MAX];
  decide_slice_t slices[DECIDE_SLICES];
} decide_record_centre_t;

/* Ownership record of one group, as kept in the store.  It is changed only by
   conditional updates.  */
typedef struct decide_record
{
  uint64_t version; /* version of the object in the store */
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
  const char *name;  /* full name in the store */
  uint64_t version;  /* the store's version of this object */
  uint64_t revision; /* store revision of the last change to this object */
  bool deleted;
  const char *body; /* text as stored; forwarded to peers with older data */
  union
  {
    const decide_profile_t *profile;
    const decide_service_t *service;
    const decide_record_t *record;
    const decide_group_t *group;
    const char *out; /* name of the data centre or instance out of service */
  } u;
} decide_object_t;

/* ---- Outcomes ---- */

/* Whether a refused request may have run at a backend server.  */
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
  DECIDE_REASON_NO_CAPACITY, /* no owner that responds has a usable slot */
  /* Neither the store nor a peer was reached lately, so the configuration may
     be stale.  */
  DECIDE_REASON_NO_CONTACT,
  DECIDE_REASON_FAILED,       /* attempts failed, and no retry is left */
  DECIDE_REASON_KEY_CONFLICT, /* the key was used with a different body */
  DECIDE_REASON_KEY_IN_PROGRESS,
  DECIDE_REASON_KEY_UNCERTAIN, /* an earlier request may have run */
  DECIDE_REASON_KEY_NO_COPY,   /* no second instance stores the claim */
  DECIDE_REASON_KEY_FULL,      /* the memory limit for keys is reached */
  DECIDE_REASON_OTHER_GROUP,   /* another group serves the request */
  DECIDE_REASON_STOPPING
} decide_reason_t;

typedef enum decide_attempt_result
{
  DECIDE_ATTEMPT_ANSWERED, /* complete response, which may be an error */
  DECIDE_ATTEMPT_SHED,     /* backend server rejected it without running it */
  DECIDE_ATTEMPT_NOT_SENT, /* no connection was made; no byte was sent */
  DECIDE_ATTEMPT_RESET,    /* connection failed after sending, before the end
                              of the response's header */
  DECIDE_ATTEMPT_TIMEOUT,  /* no complete response by the deadline */
  DECIDE_ATTEMPT_BROKEN,   /* response truncated or malformed */
  DECIDE_ATTEMPT_CANCELLED,
  DECIDE_ATTEMPT_UNUSED, /* the grant was returned unused */
  /* The grant was returned unused because the backend server had closed the
     connection, which had been idle for only @latency_ms.  */
  DECIDE_ATTEMPT_CLOSED
} decide_attempt_result_t;

/* Load that a backend server reports in its response to a request or a probe,
   also when it sheds the request.  */
typedef struct decide_load
{
  bool present;       /* the response had a load report */
  uint32_t in_flight; /* requests */
  uint32_t queued;    /* requests */
  uint32_t slots;
  bool cold;         /* the backend server is still warming up */
  bool draining;     /* the backend server wants no new requests */
  uint64_t identity; /* of the backend server's process; 0: not given */
} decide_load_t;

typedef struct decide_attempt_end
{
  decide_attempt_result_t result;
  clock_ms_t latency_ms;     /* from sending to the first byte of the response;
                                with DECIDE_ATTEMPT_CLOSED, time for which the
                                connection was idle */
  uint32_t status;           /* HTTP status of the response */
  clock_ms_t retry_after_ms; /* with DECIDE_ATTEMPT_SHED, delay that the
                                backend server asks for; 0: not given */
  decide_load_t load;
} decide_attempt_end_t;

/* Hashes of a request with an idempotency key.  */
typedef struct decide_key
{
  uint64_t hash[2]; /* 128-bit hash of the service and the key */
  uint64_t body;    /* hash of the request's body */
} decide_key_t;

/* Recorded response of a request with an idempotency key.  */
typedef struct decide_response
{
  uint32_t status;
  char content_type[DECIDE_NAME_MAX];
  uint32_t length; /* of the body, in bytes */
  uint8_t body[DECIDE_RESPONSE_MAX_BYTES];
} decide_response_t;

/* ---- Messages between instances ---- */

/* Clocks of different instances are not comparable, so messages carry
   durations instead of times.  The only exception is @sent of a HEARTBEAT: a
   reading of the sender's clock, which the acknowledgement returns to it.  */

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

/* Slice that the sender serves as delegate: the slice was handed over to it,
   and the record still names the previous owner.  */
typedef struct decide_delegated_slice
{
  decide_id_t owner; /* previous owner */
  uint64_t owner_incarnation;
  uint32_t centre; /* index of the data centre in the record */
  uint32_t slice;  /* index in the data centre */
} decide_delegated_slice_t;

typedef struct decide_pool_load
{
  decide_id_t pool;
  uint16_t free;   /* slots */
  uint16_t queued; /* requests */
} decide_pool_load_t;

/* Promise in response to an earlier HEARTBEAT of the receiver.  It holds for
   the record version of the message that carries it.  */
typedef struct decide_promise
{
  uint64_t sequence; /* @sequence of the HEARTBEAT that this acknowledges */
  clock_ms_t sent;   /* @sent of that HEARTBEAT */
} decide_promise_t;

typedef struct decide_msg_heartbeat
{
  uint64_t sequence;           /* number of the heartbeat */
  clock_ms_t sent;             /* when it was sent, on the sender's clock */
  decide_member_state_t state; /* of the sender */
  uint64_t record_version;     /* of the sender's ownership record */
  uint64_t revision;   /* store revision up to which the sender has every
                          change */
  uint32_t key_slices; /* bit mask of the sender's key slices of which every
                          entry has a copy */
  uint64_t key_copies; /* hash of the members that hold these copies */
  bool has_promise;
  decide_promise_t promise; /* sent here instead of in a HEARTBEAT_ACK */
  uint32_t acting_count;    /* slices that the sender serves as delegate */
  decide_delegated_slice_t acting[DECIDE_SLICES];
  uint32_t load_count;
  decide_pool_load_t loads[DECIDE_LOADS_MAX]; /* of the sender's pools */
} decide_msg_heartbeat_t;

typedef struct decide_msg_heartbeat_ack
{
  uint64_t sequence; /* @sequence of the HEARTBEAT that this acknowledges */
  clock_ms_t sent;   /* @sent of that HEARTBEAT */
  uint64_t record_version; /* of the sender's ownership record */
  /* Store revision up to which the sender has every change.  */
  uint64_t revision;
  bool promised; /* the acknowledgement counts for the receiver's lease */
  /* The sender supports a takeover from the receiver, or from an owner for
     which the receiver serves as delegate.  */
  bool supported_against;
} decide_msg_heartbeat_ack_t;

/* SUPPORT_REQUEST asks the other members to support an attempt of the
   requester to take over from a silent member or remove it, or to join the
   record.  SUPPORT_REPLY grants or denies the support.  */
typedef struct decide_msg_support
{
  uint64_t record_version;
  /* Owner that the requester wants to replace; the requester itself when it
     asks to join the record.  */
  decide_id_t owner;
  uint64_t owner_incarnation;
  uint64_t term; /* number of the requester's attempt to take over or to join;
                    the reply repeats it */
  bool granted;  /* SUPPORT_REPLY: the sender supports the request */
} decide_msg_support_t;

typedef struct decide_handover_grant
{
  uint64_t grant; /* number that the previous owner chose */
  decide_id_t pool;
  decide_id_t endpoint;
  decide_id_t holder; /* instance that uses the grant */
  clock_ms_t left_ms; /* time until the grant expires */
} decide_handover_grant_t;

/* Concurrency limit of a warm or draining endpoint, with which the next owner
   of its pool continues.  The next owner treats all other endpoints as
   cold.  */
typedef struct decide_handover_limit
{
  decide_id_t pool;
  decide_id_t endpoint;
  uint64_t identity;   /* as in decide_load_t */
  uint32_t limit;      /* slots that may be in use at once */
  uint32_t latency_16; /* average latency in 1/16 ms */
  bool draining;
} decide_handover_limit_t;

#define DECIDE_HANDOVER_GRANTS_MAX 128
#define DECIDE_HANDOVER_LIMITS_MAX 64

/* HANDOVER offers a slice to another member, together with its outstanding
   grants and its limits.  HANDOVER_ACK accepts or refuses the offer.  */
typedef struct decide_msg_handover
{
  uint32_t centre; /* index of the data centre in the record */
  uint32_t slice;
  uint64_t record_version;
  bool more; /* HANDOVER: always false, since a handover has to fit in one
                message; HANDOVER_ACK: the offer is refused */
  uint32_t grant_count;
  decide_handover_grant_t grants[DECIDE_HANDOVER_GRANTS_MAX];
  uint32_t limit_count;
  decide_handover_limit_t limits[DECIDE_HANDOVER_LIMITS_MAX];
} decide_msg_handover_t;

typedef struct decide_msg_object
{
  /* A store revision; the sender has no other change between it and
     @revision.  */
  uint64_t previous;
  uint64_t version;  /* the store's version of this object */
  uint64_t revision; /* store revision of the last change to this object */
  bool deleted;
  const char *name;
  const char *body;
} decide_msg_object_t;

/* Message about a grant.  Between instances, GRANT_REQUEST carries request,
   pool, priority, left_ms, run_ms and lend_ms; GRANT carries all fields but
   left_ms and reason; QUEUED and REFUSED carry request, pool, wait_ms, reason,
   free and queued; RECALL and GRANT_CANCEL carry request, grant and pool.  */
typedef struct decide_msg_grant
{
  uint64_t request; /* number that the requester chose */
  uint64_t grant;   /* number that the owner chose; 0 in a GRANT_REQUEST */
  decide_id_t pool;
  decide_id_t endpoint;
  uint32_t priority;
  clock_ms_t left_ms;     /* time until the request's deadline */
  clock_ms_t run_ms;      /* maximum duration of one attempt */
  clock_ms_t lend_ms;     /* how long attempts may be started under a reusable
                             grant; 0: the grant is for one attempt */
  clock_ms_t wait_ms;     /* GRANT: time queued at the owner; QUEUED:
                             expected wait; REFUSED: time until a retry */
  decide_reason_t reason; /* REFUSED */
  uint16_t free;          /* free slots of the pool */
  uint16_t queued;        /* requests queued at the pool's owner */
} decide_msg_grant_t;

/* Maximum number of results of attempts in one RELEASE.  */
#define DECIDE_RELEASE_ENDS_MAX 8

typedef struct decide_msg_release
{
  uint64_t grant;
  decide_id_t pool;
  /* The grant does not end: the sender may start further attempts under it,
     and this message only reports results.  */
  bool keep;
  decide_attempt_end_t end; /* result of the last attempt */
  /* Results of earlier attempts that were not reported yet, oldest first.  */
  uint32_t earlier_count;
  decide_attempt_end_t earlier[DECIDE_RELEASE_ENDS_MAX - 1];
} decide_msg_release_t;

typedef enum decide_key_status
{
  DECIDE_KEY_RUN,           /* the request may run */
  DECIDE_KEY_ANSWERED,      /* the reply carries the recorded response */
  DECIDE_KEY_IN_PROGRESS,   /* another request with the key is running */
  DECIDE_KEY_CONFLICT,      /* the key was used with a different body */
  DECIDE_KEY_UNCERTAIN,     /* an earlier request with the key may have run */
  DECIDE_KEY_NO_COPY,       /* no second member stores the claim */
  DECIDE_KEY_NOT_OWNER,     /* the sender cannot serve the key's slice now;
                               the requester claims again */
  DECIDE_KEY_RUN_WITH_COPY, /* as RUN, once the requester has stored the copy
                               that the reply carries */
  DECIDE_KEY_FULL           /* the memory limit for keys is reached */
} decide_key_status_t;

typedef enum decide_key_state
{
  DECIDE_KEY_STATE_CLAIMED,
  DECIDE_KEY_STATE_DONE,    /* the request ended with a response */
  DECIDE_KEY_STATE_UNKNOWN, /* the request ended without a known outcome */
  DECIDE_KEY_STATE_NOT_RUN  /* the request did not run; the key may be claimed
                               again */
} decide_key_state_t;

/* Message about an idempotency key or a slice of keys.  COLLECT requests a
   page of entries.  The reply is one COLLECT_REPLY for each entry, and a last
   one without an entry, called end of page here.  */
typedef struct decide_msg_key
{
  uint64_t request;   /* number that the requester chose */
  decide_id_t runner; /* COPY, COLLECT_REPLY, RUN_WITH_COPY: instance that
                         made the claim; COLLECT: previous owner */
  uint64_t round;     /* COLLECT: its number; COLLECT_REPLY: number of the
                         COLLECT to which it replies */
  /* Sequence number of an entry at the instance that sends the replies.
     COLLECT: the page starts after this entry; end of page: last entry of the
     page.  */
  uint64_t after;
  /* End of page: hash of the members that held copies of the slice, as last
     reported by the previous owner (@runner of COLLECT); 0: no report.  */
  uint64_t copies;
  uint32_t centre;
  uint32_t slice;
  uint64_t record_version;
  decide_key_t key;
  clock_ms_t left_ms;      /* CLAIM, COPY, COLLECT_REPLY with an entry: time
                              until the request's deadline; end of page:
                              number of replies before it in the page */
  decide_id_t service;     /* CLAIM */
  clock_ms_t moved_ms;     /* CLAIM: time for which the group that served the
                              service before may still have claims of its keys;
                              0 if there is none */
  clock_ms_t retention_ms; /* time until the entry expires */
  decide_key_status_t status; /* CLAIM_REPLY */
  decide_key_state_t state;   /* COPY, OUTCOME, COLLECT_REPLY */
  bool more;                  /* COLLECT_REPLY: further entries follow */
  bool empty;                 /* COLLECT_REPLY: end of page, without entry */
  bool authoritative;         /* end of page: the sender serves or recently
                                 served the slice */
  clock_ms_t running_ms;      /* end of page: age of the sender's process, or
                                 if @authoritative, time for which its entries
                                 have been complete */
  bool has_answer;            /* @answer is the recorded response */
  decide_response_t answer;
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
    uint64_t pull_since; /* OBJECT_PULL: store revision up to which the sender
                            has every change */
    decide_msg_grant_t grant; /* GRANT_REQUEST, GRANT, QUEUED, REFUSED, RECALL,
                                 GRANT_CANCEL */
    decide_msg_release_t release;
    decide_msg_key_t key;
  } u;
} decide_msg_t;

/* ---- Node: the decision state of one instance ---- */

typedef struct decide decide_t;

typedef struct decide_request
{
  uint64_t id; /* chosen by the caller of the library */
  decide_id_t service;
  bool idempotent; /* may run more than once */
  bool keyed;      /* has an idempotency key, @key */
  decide_key_t key;
  clock_ms_t deadline;
} decide_request_t;

/* Decision to send an attempt to an endpoint.  */
typedef struct decide_forward
{
  uint64_t request;
  uint64_t attempt;
  endpoint_handle_t endpoint;
  const decide_endpoint_t *target;
  clock_ms_t start_by; /* latest time to send the attempt */
  clock_ms_t deadline; /* time by which the attempt must have ended */
  bool hedge; /* sent while another attempt of the request is in progress */
} decide_forward_t;

typedef struct decide_refusal
{
  uint64_t request;
  decide_reason_t reason;
  decide_ran_t ran;
  clock_ms_t retry_after_ms; /* delay advised to the client; 0: none */
} decide_refusal_t;

typedef enum decide_store_result
{
  DECIDE_STORE_OK,
  DECIDE_STORE_CONFLICT,
  DECIDE_STORE_UNKNOWN /* no response: the update may have taken effect */
} decide_store_result_t;

/* Callbacks through which the decisions are carried out.  */
typedef struct decide_callbacks
{
  void *context;
  void (*send) (void *context, decide_id_t instance, const decide_msg_t *msg);
  void (*forward) (void *context, const decide_forward_t *forward);
  /* Cancels an attempt whose result is no longer needed; decide_attempt_done()
     must still be called when it has ended.  */
  void (*cancel) (void *context, uint64_t attempt);
  void (*refuse) (void *context, const decide_refusal_t *refusal);
  /* Answers the request with the recorded response to an earlier request with
     the same key.  */
  void (*replay) (void *context, uint64_t request,
                  const decide_response_t *answer);
  /* Starts a read of all objects changed after revision @since, which ends in
     decide_handle_store_read_result().  */
  void (*store_sync) (void *context, uint64_t since);
  /* Starts a conditional update of the record, which ends in
     decide_store_put_done().  @expected is the version that the object must
     have, or 0 when the object must not exist.  */
  void (*store_put) (void *context, uint64_t operation, uint64_t expected,
                     const decide_record_t *record);
  /* Starts a probe, which ends in decide_probe_done().  */
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
  char group[DECIDE_NAME_MAX]; /* group to which this instance belongs */
  uint64_t incarnation;        /* random number, not 0, that distinguishes this
                                  process from other processes of the
                                  instance */
  uint64_t seed;               /* of the random number generator */
  /* Memory limit of the idempotency keys, in bytes; 0: no limit.  */
  uint64_t key_bytes_limit;
  /* All configured instances, including this one.  The list is copied.  */
  uint32_t instance_count;
  const decide_instance_t *instances;
} decide_settings_t;

/* Return: the node, or NULL when the settings contradict each other, for
   example when there are more than DECIDE_MEMBERS_MAX instances.  */
decide_t *decide_new (const decide_settings_t *settings,
                      const decide_callbacks_t *callbacks, clock_ms_t now);
void decide_free (decide_t *node);

/**
 * decide_tick() - run the timers that have expired
 * Return: the time in ms at which the next timer expires.
 */
clock_ms_t decide_tick (decide_t *node, clock_ms_t now);

/**
 * decide_object() - apply a configuration object from the store or a peer
 * @previous: a store revision; the source has no other change between it and
 *   the revision of @object; UINT64_MAX for an object of a store read
 *
 * Return: 0, -ESTALE when an equal or newer version is known, -EEXIST when the
 *   id of its name belongs to another name, -EINVAL when it is a malformed
 *   ownership record of the own group, -ENOMEM.
 */
int decide_object (decide_t *node, clock_ms_t now, uint64_t previous,
                   const decide_object_t *object);

/**
 * decide_handle_own_change() - apply a configuration object that this instance
 * has changed in the store, and send it to the other members
 * @object: as the store has acknowledged it
 *
 * The others would else learn of the change only from the store, which may
 * have failed since.
 *
 * Return: as for decide_object().
 */
int decide_handle_own_change (decide_t *node, clock_ms_t now,
                              const decide_object_t *object);

/**
 * decide_handle_store_read_result() - a read of the store ended
 * @sent: time at which the read was sent, in ms
 * @ok: whether the read succeeded
 * @revision: revision of the store that was read
 */
void decide_handle_store_read_result (decide_t *node, clock_ms_t now,
                                      clock_ms_t sent, bool ok,
                                      uint64_t revision);

/**
 * decide_store_put_done() - a conditional update of the record ended
 * @operation: number that store_put() was given
 * @version: version that the store assigned, with DECIDE_STORE_OK
 */
void decide_store_put_done (decide_t *node, clock_ms_t now, uint64_t operation,
                            decide_store_result_t result, uint64_t version);

/* Reads the store in addition to the periodic reads, after a change that was
   made through this instance.  If a read is in progress, another one starts
   shortly after it ends.  */
void decide_request_store_read (decide_t *node, clock_ms_t now);

/* Handles a message from another instance.  */
void decide_handle_message (decide_t *node, clock_ms_t now, decide_id_t from,
                            const decide_msg_t *msg);

/* Accepts a request.  It ends when decide_attempt_done() or
   decide_withdraw_request() returns true, or with one of the callbacks refuse
   and replay.  */
void decide_request (decide_t *node, clock_ms_t now,
                     const decide_request_t *request);

/**
 * decide_withdraw_request() - withdraw a request whose client has disconnected
 *
 * A request with a key that may have run continues and ends like any other, so
 * that its outcome is recorded for a repeated request.
 *
 * Return: whether the request has ended.
 */
bool decide_withdraw_request (decide_t *node, clock_ms_t now,
                              uint64_t request);

/**
 * decide_attempt_done() - an attempt ended
 * @answer: response to record for a request with a key, or NULL
 *
 * Return: whether the request has ended with this attempt's response.
 */
bool decide_attempt_done (decide_t *node, clock_ms_t now, uint64_t request,
                          uint64_t attempt, const decide_attempt_end_t *end,
                          const decide_response_t *answer);

/* Reports the result of a probe.  */
void decide_probe_done (decide_t *node, clock_ms_t now,
                        endpoint_handle_t endpoint, bool ok,
                        clock_ms_t latency_ms, const decide_load_t *load);

/* Begins a graceful shutdown.  The process may exit once decide_is_stopped()
   returns true.  */
void decide_stop (decide_t *node, clock_ms_t now);
bool decide_is_stopped (const decide_t *node, clock_ms_t now);

/* ---- Reading the state ---- */

typedef struct decide_status
{
  uint64_t revision;       /* store revision up to which changes are known */
  uint64_t record_version; /* 0: no ownership record is known */
  uint32_t slices_owned;   /* slices that the record assigns to this process */
  uint32_t slices_serving; /* slices in which it may issue grants now */
  uint32_t pending;        /* requests that have not ended */
  uint32_t members_heard;  /* reachable members, without this instance */
  bool store_fresh;        /* has a lease given by a read of the store */
  bool majority_fresh;     /* has a lease given by promises of a majority */
  bool stopping;
  /* The store has the ownership record of another group but no group object
     of this one, so it is not known which services this group serves, and
     nothing is granted.  */
  bool has_group_conflict;
} decide_status_t;

void decide_get_status (const decide_t *node, clock_ms_t now,
                        decide_status_t *status);
const decide_record_t *decide_get_record (const decide_t *node);

/* Return: the service's profile; NULL when there is no such service, or when
   an instance that has just started has not received its profile yet.  */
const decide_profile_t *decide_get_profile (const decide_t *node,
                                            decide_id_t service);

typedef struct decide_peer_view
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  bool heard; /* sent a message in the last DECIDE_PEER_TIMEOUT_MS */
  bool leaving;
  bool out;          /* it or its data centre is out of service */
  uint64_t revision; /* store revision up to which it has every change */
} decide_peer_view_t;

/* Calls @visit for this instance first, then for each peer.  */
void decide_each_instance (const decide_t *node, clock_ms_t now,
                           void (*visit) (void *context,
                                          const decide_peer_view_t *view),
                           void *context);

/* Visits the names of the data centres (or, with @instances, the instances)
   that are out of service.  */
void decide_each_out_of_service (const decide_t *node, bool instances,
                                 void (*visit) (void *context,
                                                const char *name),
                                 void *context);

/**
 * decide_service_group() - find the group that serves a client's requests
 * @centre: the client's data centre
 * @keyed: whether the request has an idempotency key that is to be claimed
 *
 * Return: the group's name; empty when no group serves the service; NULL when
 *   services are not divided among groups, or there is no such service.
 */
const char *decide_service_group (const decide_t *node, decide_id_t service,
                                  const char *centre, bool keyed);

/**
 * decide_each_group_instance() - visit the usable instances of a group
 *
 * Visits the instances that the group's object lists, except those known to be
 * out of service, leaving or no longer members.
 */
void decide_each_group_instance (
    const decide_t *node, const char *group,
    void (*visit) (void *context, const decide_group_instance_t *instance),
    void *context);

typedef struct decide_endpoint_view
{
  const decide_endpoint_t *endpoint;
  const char *service;
  const char *group; /* serves the pool; empty if no group does, or services
                        are not divided among groups */
  decide_id_t owner; /* instance that issues its grants; 0: none, or another
                        group serves the pool */
  /* The members from @limit to @suspended are 0 or false unless this instance
     has the pool.  */
  uint32_t limit;     /* slots that may be in use now */
  uint32_t in_flight; /* outstanding grants */
  bool cold;          /* in slow start */
  bool draining;
  bool suspended; /* failed; gets no grants until a probe succeeds */
  bool out;       /* its data centre is out of service */
} decide_endpoint_view_t;

void decide_each_endpoint (const decide_t *node, clock_ms_t now,
                           void (*visit) (void *context,
                                          const decide_endpoint_view_t *view),
                           void *context);

#endif
