#ifndef PERIDOT_BALANCE_ROUTES_H
#define PERIDOT_BALANCE_ROUTES_H

/* One version of the routing configuration: which service may run a request
   and how the request is to be treated.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

#define ROUTE_PARTS_MAX 8

typedef struct route_part
{
  char *service;
  uint32_t weight;
} route_part_t;

typedef struct route
{
  char *name;
  char *host;
  char *prefix;       /* begins and ends with a slash */
  bool idempotent;    /* may run more than once */
  bool bulk;          /* answers are large */
  clock_ms_t timeout; /* longest wait of a caller, from its request */
  clock_ms_t target;  /* an answer within it has its full value */
  int priority;       /* 0: highest */
  int endpoints_max;  /* endpoints that one request may be sent to */
  int n_parts;
  route_part_t parts[ROUTE_PARTS_MAX];
} route_t;

typedef struct service_rules
{
  char *name;
  char *health_path;
  int connections_max; /* at one endpoint, of all callers together */
  double cold_per_s;   /* requests a second that a cold endpoint bears */
} service_rules_t;

typedef struct caller_limits
{
  int64_t header_bytes;
  int64_t body_bytes;
  clock_ms_t header_timeout;
  clock_ms_t idle_timeout;
} caller_limits_t;

typedef struct routes
{
  uint64_t version;
  GPtrArray *routes;   /* route_t *, longest prefix first */
  GPtrArray *services; /* service_rules_t * */
  caller_limits_t limits;
} routes_t;

routes_t *routes_new (uint64_t version);
void routes_free (routes_t *routes);

/* Both take over the object, made with g_new0() and g_strdup().  */
void routes_add (routes_t *routes, route_t *route);
void routes_add_service (routes_t *routes, service_rules_t *rules);

/* Sorts the routes; called once after the last routes_add().  */
void routes_finish (routes_t *routes);

/**
 * routes_find() - the route with the longest prefix that begins the path
 * @host: without a port; compared without regard to case
 * @path: path of the request; a query does not take part
 *
 * Return: the route, or NULL.
 */
const route_t *routes_find (const routes_t *routes, const char *host,
                            const char *path);

const service_rules_t *routes_service (const routes_t *routes,
                                       const char *name);

/* ---- Division of a route's requests among services ---- */

/* Spreads requests by weight with an error below one request, whatever the
   number of requests.  */
typedef struct route_split
{
  int64_t credit[ROUTE_PARTS_MAX];
} route_split_t;

/**
 * route_split_next() - the service of the next request of a route
 * Return: index into the route's parts.
 */
int route_split_next (route_split_t *split, const route_t *route);

#endif
