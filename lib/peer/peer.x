/* Messages between instances; decide.h describes the fields.  Names are encoded
   as 64-bit ids (but see wire_object) and times as durations in ms.  The clock
   reading in a heartbeat is the sender's; the receiver only returns it.  */

const WIRE_BATCH_MAX = 64;
const WIRE_SLICES = 16;
const WIRE_LOADS_MAX = 32;
const WIRE_GRANTS_MAX = 128;
const WIRE_LIMITS_MAX = 64;
const WIRE_ENDS_MAX = 8;
const WIRE_ANSWER_MAX = 4096;
const WIRE_TYPE_MAX = 63;
const WIRE_NAME_MAX = 255;
const WIRE_BODY_MAX = 1048576;

const WIRE_HEARTBEAT = 1;
const WIRE_HEARTBEAT_ACK = 2;
const WIRE_SUPPORT_REQUEST = 3;
const WIRE_SUPPORT_REPLY = 4;
const WIRE_HANDOVER = 5;
const WIRE_HANDOVER_ACK = 6;
const WIRE_OBJECT_PULL = 7;
const WIRE_OBJECT_PUSH = 8;
const WIRE_GRANT_REQUEST = 9;
const WIRE_GRANT = 10;
const WIRE_QUEUED = 11;
const WIRE_REFUSED = 12;
const WIRE_RELEASE = 13;
const WIRE_RECALL = 14;
const WIRE_GRANT_CANCEL = 15;
const WIRE_KEY_CLAIM = 16;
const WIRE_KEY_CLAIM_REPLY = 17;
const WIRE_KEY_COPY = 18;
const WIRE_KEY_COPY_ACK = 19;
const WIRE_KEY_OUTCOME = 20;
const WIRE_KEY_COLLECT = 21;
const WIRE_KEY_COLLECT_REPLY = 22;

struct wire_acting
{
  unsigned hyper owner;
  unsigned hyper owner_incarnation;
  unsigned int centre;
  unsigned int slice;
};

struct wire_pool_load
{
  unsigned hyper pool;
  unsigned int free;
  unsigned int queued;
};

struct wire_promise
{
  unsigned hyper sequence;
  hyper sent;
};

struct wire_heartbeat
{
  unsigned hyper sequence;
  hyper sent;
  unsigned int state;
  unsigned hyper record_version;
  unsigned hyper revision;
  unsigned int key_slices;
  unsigned hyper key_copies;
  wire_promise *promise;
  wire_acting acting<WIRE_SLICES>;
  wire_pool_load loads<WIRE_LOADS_MAX>;
};

struct wire_heartbeat_ack
{
  unsigned hyper sequence;
  hyper sent;
  unsigned hyper record_version;
  unsigned hyper revision;
  bool promised;
  bool supported_against;
};

struct wire_support
{
  unsigned hyper record_version;
  unsigned hyper owner;
  unsigned hyper owner_incarnation;
  unsigned hyper term;
  bool granted;
};

struct wire_handover_grant
{
  unsigned hyper grant;
  unsigned hyper pool;
  unsigned hyper endpoint;
  unsigned hyper holder;
  hyper left_ms;
};

struct wire_handover_limit
{
  unsigned hyper pool;
  unsigned hyper endpoint;
  unsigned hyper identity;
  unsigned int limit;
  unsigned int latency_16;
  bool draining;
};

struct wire_handover
{
  unsigned int centre;
  unsigned int slice;
  unsigned hyper record_version;
  bool more;
  wire_handover_grant grants<WIRE_GRANTS_MAX>;
  wire_handover_limit limits<WIRE_LIMITS_MAX>;
};

struct wire_object
{
  unsigned hyper previous;
  unsigned hyper object_version;
  unsigned hyper revision;
  bool deleted;
  string name<WIRE_NAME_MAX>;
  string body<WIRE_BODY_MAX>;
};

/* The structures from here to wire_release are about grants.  Each has only the
   fields that messages of its type use; durations have 32 bits and so are at
   most 24 days.  */
struct wire_request
{
  unsigned hyper request;
  unsigned hyper pool;
  unsigned int priority;
  int left_ms;
  int run_ms;
  int lend_ms;
};

struct wire_grant
{
  unsigned hyper request;
  unsigned hyper grant;
  unsigned hyper pool;
  unsigned hyper endpoint;
  unsigned int priority;
  int run_ms;
  int lend_ms;
  int wait_ms;
  unsigned int free;
  unsigned int queued;
};

struct wire_refusal
{
  unsigned hyper request;
  unsigned hyper pool;
  int wait_ms;
  unsigned int reason;
  unsigned int free;
  unsigned int queued;
};

struct wire_reference
{
  unsigned hyper request;
  unsigned hyper grant;
  unsigned hyper pool;
};

struct wire_load
{
  unsigned int in_flight;
  unsigned int queued;
  unsigned int slots;
  bool cold;
  bool draining;
  unsigned hyper identity;
};

struct wire_end
{
  unsigned int result;
  int latency_ms;
  unsigned int status;
  int retry_after_ms;
  wire_load *load;
};

struct wire_release
{
  unsigned hyper grant;
  unsigned hyper pool;
  bool keep;
  wire_end ends<WIRE_ENDS_MAX>;
};

struct wire_answer
{
  unsigned int status;
  string content_type<WIRE_TYPE_MAX>;
  opaque body<WIRE_ANSWER_MAX>;
};

struct wire_key
{
  unsigned hyper request;
  unsigned int centre;
  unsigned int slice;
  unsigned hyper record_version;
  unsigned hyper hash[2];
  unsigned hyper body;
  hyper left_ms;
  hyper retention_ms;
  unsigned int status;
  unsigned int state;
  bool more;
  bool empty;
  unsigned hyper runner;
  unsigned hyper round;
  unsigned hyper after;
  unsigned hyper copies;
  bool authoritative;
  hyper running_ms;
  unsigned hyper service;
  hyper moved_ms;
  wire_answer *answer;
};

union wire_body switch (unsigned int type)
{
case WIRE_HEARTBEAT:
  wire_heartbeat heartbeat;
case WIRE_HEARTBEAT_ACK:
  wire_heartbeat_ack ack;
case WIRE_SUPPORT_REQUEST:
case WIRE_SUPPORT_REPLY:
  wire_support support;
case WIRE_HANDOVER:
case WIRE_HANDOVER_ACK:
  wire_handover handover;
case WIRE_OBJECT_PULL:
  unsigned hyper pull_since;
case WIRE_OBJECT_PUSH:
  wire_object object;
case WIRE_GRANT_REQUEST:
  wire_request request;
case WIRE_GRANT:
  wire_grant grant;
case WIRE_QUEUED:
case WIRE_REFUSED:
  wire_refusal refusal;
case WIRE_RECALL:
case WIRE_GRANT_CANCEL:
  wire_reference reference;
case WIRE_RELEASE:
  wire_release release;
case WIRE_KEY_CLAIM:
case WIRE_KEY_CLAIM_REPLY:
case WIRE_KEY_COPY:
case WIRE_KEY_COPY_ACK:
case WIRE_KEY_OUTCOME:
case WIRE_KEY_COLLECT:
case WIRE_KEY_COLLECT_REPLY:
  wire_key key;
default:
  void;
};

struct wire_message
{
  unsigned hyper incarnation;
  wire_body body;
};

struct wire_batch
{
  unsigned hyper sender;
  wire_message messages<WIRE_BATCH_MAX>;
};

/* The reply confirms only that the batch has arrived.  */
program PEER_PROGRAM
{
  version PEER_VERSION
  {
    void PEER_DELIVER (wire_batch) = 1;
  } = 1;
} = 0x2a9e0d17;
