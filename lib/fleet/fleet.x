/* Messages between instances on the platform: what the reader of the store
   has learnt, and who is live.  Times are durations in ms.  */

const FLEET_NAME_MAX = 128;  /* bytes of an instance's name */
/* Bytes of a text that datagrams hold: ids of endpoints, versions of software,
   names of data centres, and names of services in orders of rollouts.  */
const FLEET_ID_MAX = 512;
/* Bytes of an object of the store: no text in it is longer.  */
const FLEET_OBJECT_MAX = 4194304;
/* A key takes four bytes of an object at least.  */
const FLEET_KEYS_MAX = 1048576;
const FLEET_LIST_MAX = 100000;
const FLEET_CHANGES_MAX = 24;
const FLEET_FORWARD_MAX = 128;
const FLEET_LIMITS_MAX = 24;
const FLEET_ENDINGS_MAX = 2;
const FLEET_SUSPECTS_MAX = 24;
const FLEET_ROLLOUTS_MAX = 4;
const FLEET_RANKS = 3;
const FLEET_COUNTS_MAX = 24;
const FLEET_COUNT_VALUES = 4;

typedef string fleet_wire_id<FLEET_ID_MAX>;
typedef string fleet_wire_name<FLEET_OBJECT_MAX>;

/* A revision of the store.  */
struct fleet_wire_revision
{
  unsigned hyper era;    /* times that the store was restored before it */
  unsigned hyper number; /* that the store gave out in that era */
};

struct fleet_wire_backend
{
  string id<FLEET_ID_MAX>;
  string service<FLEET_OBJECT_MAX>;
  string data_centre<FLEET_ID_MAX>;
  string software<FLEET_ID_MAX>;
  unsigned int ip;
  unsigned int port;
  unsigned int slots;
  bool draining;
  unsigned int cold;
  unsigned hyper born;
  unsigned hyper sequence; /* number of the heartbeat that wrote it; 0: not
                              stated */
  fleet_wire_revision revision;
};

struct fleet_wire_change
{
  bool removed;
  fleet_wire_backend backend;
};

struct fleet_wire_part
{
  string service<FLEET_OBJECT_MAX>;
  unsigned int weight;
};

struct fleet_wire_route
{
  string name<FLEET_OBJECT_MAX>;
  string host<FLEET_OBJECT_MAX>;
  string prefix<FLEET_OBJECT_MAX>;
  bool idempotent;
  bool bulk;
  hyper timeout;
  hyper target;
  int priority;
  int endpoints_max;
  bool is_public;
  fleet_wire_part parts<FLEET_LIST_MAX>;
};

struct fleet_wire_service
{
  string name<FLEET_OBJECT_MAX>;
  string health_path<FLEET_OBJECT_MAX>;
  int connections_max;
  double cold_per_s;
};

struct fleet_wire_tenant
{
  string name<FLEET_OBJECT_MAX>;
  int priority;
  double rate_per_s;
  double burst;
  fleet_wire_name keys<FLEET_KEYS_MAX>;
};

/* A version of the configuration, or what has changed since an older one.  */
struct fleet_wire_config
{
  unsigned hyper number; /* version */
  unsigned hyper base;   /* version that the rows change; 0: they are all */
  unsigned hyper digest; /* of the resulting version */
  hyper header_bytes;
  hyper body_bytes;
  hyper header_timeout;
  hyper idle_timeout;
  bool requires_key;
  unsigned int rows_left_out;
  fleet_wire_route routes<FLEET_LIST_MAX>;
  fleet_wire_service services<FLEET_LIST_MAX>;
  fleet_wire_name removed_routes<FLEET_LIST_MAX>;
  fleet_wire_name removed_services<FLEET_LIST_MAX>;
  fleet_wire_tenant tenants<FLEET_LIST_MAX>;
  fleet_wire_name removed_tenants<FLEET_LIST_MAX>;
};

struct fleet_wire_member
{
  string name<FLEET_NAME_MAX>;
  string data_centre<FLEET_ID_MAX>;
  unsigned int ip;
  bool weak;
};

/* What an endpoint has stated in its responses: the rate of requests that it
   takes from all instances together, and that it is leaving.  */
struct fleet_wire_limit
{
  string id<FLEET_ID_MAX>;   /* of the endpoint */
  bool is_limited;
  double per_s;
  unsigned int sources;      /* kinds of response that state it */
  unsigned int age;          /* of the response that stated it */
  bool leaving;
  unsigned hyper born;       /* of the endpoint that is leaving */
};

/* A rollout of a new version of a service's software; see rollouts.h.  */
struct fleet_wire_rollout
{
  string service<FLEET_ID_MAX>;
  string software<FLEET_ID_MAX>; /* the new version */
  hyper duration;
  fleet_wire_revision created;
  fleet_wire_revision ordered;
  unsigned hyper id;
  unsigned int phase;
  unsigned int number;   /* of the step */
  double share;
  unsigned int active;
  unsigned int first;
  unsigned int age;      /* of the order */
};

const FLEET_PART_CONFIG = 1;
const FLEET_PART_BACKENDS = 2;
const FLEET_PART_MEMBERS = 4;

/* First bytes of a fetch.  */
struct fleet_wire_request
{
  unsigned int asker;   /* its address, where others may fetch from it */
  unsigned int parts;   /* sum of FLEET_PART_ */
  fleet_wire_revision since; /* the asker's endpoints are those of this
                                revision; zero: it wants all of them */
  unsigned hyper config_version; /* the asker's; 0: it has none */
};

struct fleet_wire_gone
{
  string id<FLEET_ID_MAX>;
  unsigned hyper born;     /* of its last entry */
  unsigned hyper sequence;
  fleet_wire_revision revision;
};

/* What the sender knows, as of a revision of the store.  */
struct fleet_wire_snapshot
{
  unsigned int included;         /* sum of FLEET_PART_; endpoints and a large
                                    configuration are left out by a sender that
                                    is busy with others */
  unsigned int elsewhere;        /* address of an instance that has what was
                                    left out; 0: none */
  fleet_wire_revision revision;
  fleet_wire_revision since;     /* endpoints that changed after it; zero:
                                    all */
  unsigned hyper digest;         /* of the sender's table of endpoints */
  fleet_wire_config config<1>;
  fleet_wire_backend backends<FLEET_LIST_MAX>;
  fleet_wire_gone gone<FLEET_LIST_MAX>;
  fleet_wire_id out<FLEET_LIST_MAX>;
  fleet_wire_revision out_revision; /* at which the orders were read */
  fleet_wire_member members<FLEET_LIST_MAX>;
  fleet_wire_limit limits<FLEET_LIST_MAX>; /* sent with the endpoints */
  fleet_wire_rollout rollouts<FLEET_LIST_MAX>;
};

/* Sent by the reader to all members a few times a second.  */
struct fleet_wire_announce
{
  fleet_wire_revision revision;
  unsigned hyper digest;         /* of the sender's table of endpoints */
  unsigned hyper config_version; /* 0: none */
  unsigned hyper members_digest;
  bool fresh;                    /* the endpoints were read a moment ago */
  bool partial;                  /* objects of another kind cannot be read */
  bool weak;                     /* a small machine: others go before it */
  fleet_wire_member member;      /* the sender */
  fleet_wire_id out<FLEET_LIST_MAX>;
  fleet_wire_revision out_revision; /* at which the orders were read; zero:
                                       never */
  /* One bit for each member by name, the lowest of a byte first; of use to
     those whose members have the same digest.  */
  opaque ready<FLEET_LIST_MAX>;
  unsigned int heard; /* members that the sender hears, itself included */
  fleet_wire_change changes<FLEET_CHANGES_MAX>;
  bool more;                     /* further changes follow at once */
  fleet_wire_config config<1>;   /* a small change of the configuration */
  fleet_wire_limit limits<FLEET_LIMITS_MAX>;
  unsigned hyper refused_digest; /* of the requests that the sender refuses
                                    because endpoints have ended under them */
  fleet_wire_rollout rollouts<FLEET_ROLLOUTS_MAX>; /* some, in turn */
};

/* Sent by each member to the reader that it hears, or to the seeds while it
   hears none; these pass it on.  */
struct fleet_wire_hello
{
  bool ready;
  fleet_wire_member member;
  unsigned hyper config_version; /* 0: none */
  fleet_wire_limit limits<FLEET_LIMITS_MAX>; /* that the sender has learnt */
  unsigned hyper refused_digest; /* as in an announcement */
};

/* Asks the keeper of an endpoint's limit for a permit to send one request.  */
struct fleet_wire_permit_ask
{
  fleet_wire_limit limit;  /* as the sender knows it */
  hyper asked_at;          /* on the sender's clock; returned in the reply */
  unsigned int wait_max;   /* how long the request can wait for its turn */
  unsigned int asker;      /* address of the sender */
};

struct fleet_wire_permit_reply
{
  string id<FLEET_ID_MAX>; /* of the endpoint */
  hyper asked_at;
  bool is_issued;
  unsigned int wait; /* until the permit can be used, or until it is worth to
                        ask again */
};

/* An endpoint that has ended while it ran a request.  */
struct fleet_wire_ending
{
  unsigned hyper endpoint; /* digest of its id */
  unsigned int age;        /* since it ended */
};

/* A request that may crash the endpoints that run it.  */
struct fleet_wire_suspect
{
  unsigned hyper digest;   /* of the request */
  bool served;             /* a response to it has arrived */
  unsigned int served_age; /* since then */
  fleet_wire_ending endings<FLEET_ENDINGS_MAX>;
};

struct fleet_wire_suspects
{
  fleet_wire_suspect suspects<FLEET_SUSPECTS_MAX>;
};

/* How far an instance is with a rollout.  */
struct fleet_wire_progress
{
  unsigned hyper id;     /* of the rollout */
  unsigned int phase;
  unsigned int old_in_flight; /* requests of the sender at old endpoints */
};

/* What an instance has counted since its start; see counts.h.  */
struct fleet_wire_count
{
  unsigned hyper subject;
  unsigned hyper item;
  unsigned hyper values[FLEET_COUNT_VALUES];
};

/* Sent to the reader while there is something to count.  */
struct fleet_wire_counts
{
  unsigned hyper start;  /* of the sender's process */
  fleet_wire_progress progress<FLEET_ROLLOUTS_MAX>;
  fleet_wire_count counts<FLEET_COUNTS_MAX>;
};

/* Asks a candidate for the keeper of a tenant's allowance for tokens; see
   allowance.h.  */
struct fleet_wire_allowance_ask
{
  unsigned hyper tenant;   /* digest of its name; see tenant_name_digest() */
  hyper asked_at;          /* on the sender's clock; returned in the reply */
  unsigned int wanted[FLEET_RANKS]; /* tokens, by rank of the requests */
  unsigned int unused;     /* tokens that are given back */
  unsigned int asker;      /* address of the sender */
};

struct fleet_wire_allowance_reply
{
  unsigned hyper tenant;   /* digest of its name */
  hyper asked_at;
  unsigned int granted[FLEET_RANKS];
  bool is_final;           /* see allowance_reply_t */
  unsigned int acts_in;
  unsigned int wait;       /* after which a refused client may come back */
};

const FLEET_ANNOUNCE = 1;
const FLEET_HELLO = 2;
const FLEET_PERMIT_ASK = 3;
const FLEET_PERMIT_REPLY = 4;
const FLEET_SUSPECTS = 5;
const FLEET_COUNTS = 6;
const FLEET_ALLOWANCE_ASK = 7;
const FLEET_ALLOWANCE_REPLY = 8;

union fleet_wire_body switch (unsigned int type)
{
case FLEET_ANNOUNCE:
  fleet_wire_announce announce;
case FLEET_HELLO:
  fleet_wire_hello hello;
case FLEET_PERMIT_ASK:
  fleet_wire_permit_ask permit_ask;
case FLEET_PERMIT_REPLY:
  fleet_wire_permit_reply permit_reply;
case FLEET_SUSPECTS:
  fleet_wire_suspects suspects;
case FLEET_COUNTS:
  fleet_wire_counts counts;
case FLEET_ALLOWANCE_ASK:
  fleet_wire_allowance_ask allowance_ask;
case FLEET_ALLOWANCE_REPLY:
  fleet_wire_allowance_reply allowance_reply;
};

/* May follow a message in its datagram: addresses that the receiver passes the
   message on to, without this list.  */
struct fleet_wire_forward
{
  unsigned int to<FLEET_FORWARD_MAX>;
};

struct fleet_wire_message
{
  unsigned int magic;
  string sender<FLEET_NAME_MAX>;
  fleet_wire_body body;
};
