#ifndef PERIDOT_BALANCE_ROUTES_H
#define PERIDOT_BALANCE_ROUTES_H

/* One version of the routing configuration, which maps requests to services
   and sets how they are handled.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

#define ROUTE_PARTS_MAX 8

/* One service of a route, with its share of the route's requests.  */
typedef struct route_part
{
  char *service;
  uint32_t weight;
} route_part_t;

typedef struct route
{
  char *name;
  char *host;
  char *prefix;       /* of the path; begins and ends with a slash */
  bool idempotent;    /* requests may run more than once */
  bool bulk;          /* responses are large */
  clock_ms_t timeout; /* longest wait of a client, ms from its request */
  clock_ms_t target;  /* a response within this time (ms) has its full value */
  int priority;       /* 0: highest */
  int endpoints_max;  /* most endpoints that one request is sent to */
  int n_parts;
  route_part_t parts[ROUTE_PARTS_MAX];
} route_t;

typedef struct service_rules
{
  char *name;
  char *health_path;
  int connections_max; /* at one endpoint, from all instances together */
  double cold_per_s;   /* limit for a cold endpoint, requests per second */
} service_rules_t;

typedef struct client_limits
{
  int64_t header_bytes;
  int64_t body_bytes;
  clock_ms_t header_timeout;
  clock_ms_t idle_timeout;
} client_limits_t;

typedef struct routes
{
  uint64_t version;
  GPtrArray *routes;   /* route_t *, longest prefix first */
  GPtrArray *services; /* service_rules_t * */
  client_limits_t limits;
} routes_t;

routes_t *routes_new (uint64_t version);
void routes_free (routes_t *routes);

/* Both take ownership of the object, which is allocated with g_new0() and its
   strings with g_strdup().  */
void routes_add (routes_t *routes, route_t *route);
void routes_add_service (routes_t *routes, service_rules_t *rules);

/* Sorts the routes for routes_find(); has to be called once after the last
   routes_add().  */
void routes_sort (routes_t *routes);

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

/* State of smooth weighted round-robin.  After any number of requests, each
   service's share is off by less than one request.  */
typedef struct route_split
{
  int64_t credit[ROUTE_PARTS_MAX];
} route_split_t;

/**
 * route_split_next() - select the service for the next request of a route
 * Return: index into @route's parts.
 */
int route_split_next (route_split_t *split, const route_t *route);

#endif
