#ifndef PERIDOT_BALANCE_ROUTES_H
#define PERIDOT_BALANCE_ROUTES_H

/* One version of the routing configuration, which maps requests to services
   and sets how they are handled.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "decide.h"
#include "tenants.h"

/* One service of a route, with its share of the route's requests.  */
typedef struct route_part
{
  char *service;
  uint32_t weight; /* the service's share of the requests is this weight
                      divided by the sum of the weights of all parts */
} route_part_t;

/* Rules for the requests to a host whose path begins with @prefix.  */
typedef struct route
{
  char *name;
  char *host;
  char *prefix;       /* prefix of the path; begins and ends with a slash */
  bool idempotent;    /* one request may be run more than once */
  bool bulk;          /* its responses are large */
  clock_ms_t timeout; /* ms from a request's arrival after which it fails; 0:
                         only the client's own timeout applies */
  clock_ms_t target;  /* target response time: ms from the client's first
                         attempt within which a response has its full value; 0:
                         no such limit */
  int priority;       /* 0: highest */
  int endpoints_max;  /* largest number of endpoints to which one request is
                         sent */
  bool is_public;     /* requests need no key of a tenant */
  int n_parts; /* 0: the route cannot be used, and requests are refused */
  route_part_t *parts;
} route_t;

/* Configuration of a service.  */
typedef struct service_rules
{
  char *name;
  char *health_path;   /* path that probes request */
  int connections_max; /* largest number of connections to one endpoint, from
                          all instances together; 0: unlimited */
  double cold_per_s;   /* largest number of requests per second that one cold
                          endpoint may get from all instances together */
} service_rules_t;

/* Limits for requests and connections of clients; see server_limits_t.  */
typedef struct client_limits
{
  int64_t header_bytes; /* largest size of a request's target and header fields
                           together */
  int64_t body_bytes;   /* largest size of a request body */
  clock_ms_t header_timeout; /* longest pause between bytes of an incomplete
                                request, ms */
  clock_ms_t idle_timeout;   /* longest idle time of a connection, ms */
} client_limits_t;

/* The routing configuration.  */
typedef struct routes
{
  uint64_t version;    /* version of the configuration */
  GPtrArray *routes;   /* route_t *, longest prefix first */
  GPtrArray *services; /* service_rules_t * */
  bool requires_key;   /* requests need a key of a tenant, except on public
                          routes */
  GPtrArray *tenants;  /* tenant_t * */
  /* Set by routes_index(): keys, names and digests of names of tenants to
     tenant_t *; a key that several have to NULL.  */
  GHashTable *by_key;
  GHashTable *by_name;
  GHashTable *by_digest;
  GHashTable *by_service; /* names of services to service_rules_t * */
  client_limits_t limits;
  uint32_t rows_left_out; /* number of rows that the instance that has read the
                             version could not use */
} routes_t;

routes_t *routes_new (uint64_t version);
void routes_free (routes_t *routes);

/* Removes the services of a route, whose requests are refused from then on. */
void route_remove_parts (route_t *route);
/* Adds a service to those among which a route's requests are divided.  */
void route_add_part (route_t *route, const char *service, uint32_t weight);
/* Copies and frees one row of the configuration.  */
route_t *route_copy (const route_t *route);
void route_free (gpointer route);
service_rules_t *service_rules_copy (const service_rules_t *rules);
void service_rules_free (gpointer rules);

/* These take ownership of @route, @rules and @tenant.  @route and @rules must
   be allocated with g_new0(), and their strings with g_strdup().  */
void routes_add (routes_t *routes, route_t *route);
void routes_add_service (routes_t *routes, service_rules_t *rules);
void routes_add_tenant (routes_t *routes, tenant_t *tenant);

/* Prepares the routes and tenants for routes_find() and routes_find_tenant().
   Has to be called once after the last of the functions above.  */
void routes_index (routes_t *routes);

/* Returns the tenant with a name, or NULL.  */
const tenant_t *routes_get_tenant (const routes_t *routes, const char *name);
/* Returns the tenant with this tenant_name_digest(), or NULL.  */
const tenant_t *routes_get_tenant_by_digest (const routes_t *routes,
                                             uint64_t digest);
/* Returns the tenant that has a key, or NULL: none has it, or several have,
   so that it is not known whose requests come with it.  */
const tenant_t *routes_find_tenant (const routes_t *routes, const char *key);

/**
 * routes_find() - find the route with the longest prefix of the path
 * @host: host name without a port, in upper or lower case
 * @path: path of the request; a query is ignored
 *
 * Return: the route, or NULL.
 */
const route_t *routes_find (const routes_t *routes, const char *host,
                            const char *path);

/* Finds a service by its name; NULL if there is none.  */
const service_rules_t *routes_find_service (const routes_t *routes,
                                            const char *name);

/* ---- Distribution of a route's requests among its services ---- */

/* Greatest number of parts for which the round-robin is used: its start takes
   time that grows with their number.  */
#define ROUTE_ROUND_ROBIN_PARTS_MAX 64

/* State of one part in a division of requests.  */
typedef struct split_part
{
  uint32_t weight;        /* of the part to which the state belongs */
  int64_t current_weight; /* the part with the highest one gets the next
                             request */
  uint64_t requests;      /* that the part got since the weights of the parts
                             last changed */
} split_part_t;

/* State of smooth weighted round-robin.  The number of requests that each
   service got since any time differs from its exact share by less than three
   requests.  The state must be all zero at first.  */
typedef struct route_split
{
  int n_parts;
  split_part_t *parts;
  uint64_t starts; /* times that the round-robin was started since the weights
                      of the parts last changed */
} route_split_t;

/* Frees what the state owns and makes it all zero.  */
void route_split_clear (route_split_t *split);

/**
 * route_split_next() - select the service for the next request of a route
 *
 * When the weights of the route's parts have changed, the round-robin starts
 * at a random position of its cycle.  Each request therefore goes to a service
 * with the probability that its weight says, also the first one of an
 * instance: many instances that each get few requests keep the weights
 * together.
 *
 * With more than ROUTE_ROUND_ROBIN_PARTS_MAX parts, each request goes to a
 * random part, with the probability that its weight says.
 *
 * Return: index into @route's parts, of which there must be one.
 */
int route_split_next (route_split_t *split, const route_t *route,
                      decide_rng_t *rng);

/* Whether the weights of the route's parts differ from those to which the
   state belongs.  */
bool route_split_has_changed (const route_split_t *split,
                              const route_t *route);

#endif
