#ifndef PERIDOT_BALANCE_BACKENDS_PRIVATE_H
#define PERIDOT_BALANCE_BACKENDS_PRIVATE_H

#include "backends.h"

/* Most instances that may send to one cold endpoint.  With one request a
   second each, the sum is below the smallest configured limit of a cold
   endpoint.  */
#define COLD_SENDERS_MAX 12

/* Weight of an instance for an endpoint in rendezvous hashing.  */
uint32_t backends_rendezvous_weight (const char *instance,
                                     const char *endpoint);

struct backends
{
  GPtrArray *table;    /* backend_t *, never freed; indexed by backend_ref_t */
  GQueue free_list;    /* backend_t * of the table that are not in use */
  GPtrArray *services; /* service_t * */
  GHashTable *by_id;   /* id to backend_t * */
  GHashTable *data_centres_out; /* data centres out of service */
  char *data_centre;
  char *own_name;
  char **instances;           /* NULL-terminated */
  uint32_t instances_version; /* counts changes of @instances; 0: not set */
};

#endif
