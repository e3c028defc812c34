/* Messages between instances on the platform.  The reader, the instance that
   reads the store on behalf of all, announces its state in datagrams; the
   others send it hellos, which are their heartbeats, and fetch state over TCP.
   Times are durations in ms unless stated otherwise.  IP addresses are IPv4
   addresses.  */

const FLEET_NAME_MAX = 128;
const FLEET_LIST_MAX = 100000;
const FLEET_PARTS_MAX = 8;
const FLEET_CHANGES_MAX = 24;
const FLEET_ZONES_MAX = 64;
const FLEET_FORWARD_MAX = 128;

struct fleet_wire_backend
{
  string id<FLEET_NAME_MAX>;
  string service<FLEET_NAME_MAX>;
  string data_centre<FLEET_NAME_MAX>;
  string software<FLEET_NAME_MAX>;
  unsigned int ip;
  unsigned int port;
  unsigned int slots;            /* requests that it can run at a time */
  bool draining;                 /* it takes no new requests */
  unsigned int cold;             /* remaining warm-up time */
  unsigned hyper born;           /* start time, Unix ms; 0: not stated */
  unsigned hyper revision;       /* store revision of its entry */
};

struct fleet_wire_change
{
  bool removed;
  fleet_wire_backend backend;
};

struct fleet_wire_part
{
  string service<FLEET_NAME_MAX>;
  unsigned int weight;
};

struct fleet_wire_route
{
  string name<FLEET_NAME_MAX>;
  string host<512>;
  string prefix<4096>;
  bool idempotent;
  bool bulk;
  unsigned int timeout;
  unsigned int target;
  int priority;
  int endpoints_max;
  fleet_wire_part parts<FLEET_PARTS_MAX>;
};

struct fleet_wire_service
{
  string name<FLEET_NAME_MAX>;
  string health_path<4096>;
  int connections_max;
  double cold_per_s;
};

struct fleet_wire_config
{
  unsigned hyper number; /* version */
  hyper header_bytes;
  hyper body_bytes;
  hyper header_timeout;
  hyper idle_timeout;
  fleet_wire_route routes<FLEET_LIST_MAX>;
  fleet_wire_service services<FLEET_LIST_MAX>;
};

struct fleet_wire_member
{
  string name<FLEET_NAME_MAX>;
  string data_centre<FLEET_NAME_MAX>;
  unsigned int ip;
};

typedef string fleet_wire_name<FLEET_NAME_MAX>;

const FLEET_PART_CONFIG = 1;
const FLEET_PART_BACKENDS = 2;
const FLEET_PART_MEMBERS = 4;

/* Request with which an instance begins to fetch state over TCP.  */
struct fleet_wire_request
{
  unsigned int asker;   /* IP address of the requester, to which other
                           requesters may be redirected */
  unsigned int parts;   /* requested parts, sum of FLEET_PART_ */
  unsigned hyper since; /* store revision of the requester's endpoints; 0: all
                           endpoints are requested */
};

/* A removed endpoint, and the store revision at which its entry was
   missing.  */
struct fleet_wire_gone
{
  string id<FLEET_NAME_MAX>;
  unsigned hyper revision;
};

/* State of the sender: the parts that were requested.  */
struct fleet_wire_snapshot
{
  unsigned int included;         /* sum of FLEET_PART_; the endpoints are left
                                    out if the sender does not have them all
                                    or already sends them to many others */
  unsigned int elsewhere;        /* if the endpoints are left out, IP address
                                    of an instance that has them; 0: none */
  unsigned hyper revision;       /* store revision of the sender's endpoints */
  unsigned hyper since;          /* only endpoints that have changed after this
                                    store revision are sent; 0: all are */
  unsigned hyper digest;         /* digest of all the sender's endpoints */
  fleet_wire_config config<1>;
  fleet_wire_backend backends<FLEET_LIST_MAX>;
  fleet_wire_gone gone<FLEET_LIST_MAX>;
  fleet_wire_name out<FLEET_ZONES_MAX>; /* data centres out of service */
  fleet_wire_member members<FLEET_LIST_MAX>;
};

/* Announcement: sent by the reader to all members a few times a second, and to
   a single member in reply to its hello.  While there is no reader, any
   instance that has all endpoints may reply to a hello with it.  */
struct fleet_wire_announce
{
  unsigned hyper revision;       /* store revision of the sender's endpoints */
  unsigned hyper digest;         /* digest of all the sender's endpoints */
  unsigned hyper config_version; /* 0: none */
  unsigned hyper members_digest; /* digest of the sender's table of members */
  bool fresh;                    /* the sender has read the store recently */
  bool weak;                     /* the sender has little bandwidth or CPU time
                                    and is the reader only if no other instance
                                    takes over */
  fleet_wire_member member;      /* the sender */
  fleet_wire_name out<FLEET_ZONES_MAX>; /* data centres out of service */
  /* Which members are ready: one bit for each member, in the order of their
     names, the least significant bit of a byte first.  A receiver uses it only
     if the digest of its own table of members is the same.  */
  opaque ready<FLEET_LIST_MAX>;
  fleet_wire_change changes<FLEET_CHANGES_MAX>; /* recent changes */
  bool more;                     /* further changes follow at once, in another
                                    datagram */
};

/* Hello: sent by each member to the reader whose announcements it receives or,
   while it receives none, to the seeds (the configured contact addresses),
   which forward it to the reader.  */
struct fleet_wire_hello
{
  bool ready;               /* the sender accepts requests */
  fleet_wire_member member; /* the sender */
};

const FLEET_ANNOUNCE = 1;
const FLEET_HELLO = 2;

union fleet_wire_body switch (unsigned int type)
{
case FLEET_ANNOUNCE:
  fleet_wire_announce announce;
case FLEET_HELLO:
  fleet_wire_hello hello;
};

/* May follow an announcement in its datagram: IP addresses to which the
   receiver forwards the announcement, without this list.  */
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
