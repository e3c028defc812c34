#ifndef PERIDOT_BALANCE_BACKENDS_PRIVATE_H
#define PERIDOT_BALANCE_BACKENDS_PRIVATE_H

#include "backends.h"

/* Instances that may send to one cold endpoint; with one request a second
   each it is below the smallest bound of a cold endpoint in use.  */
#define COLD_SENDERS_MAX 12

/* Weight of an instance for an endpoint, for rendezvous hashing.  */
uint32_t backends_weight (const char *instance, const char *endpoint);

struct backends
{
  GPtrArray *table;    /* backend_t *, never removed; index of a ref */
  GQueue vacant;       /* backend_t * of the table that are not used */
  GPtrArray *services; /* service_t * */
  GHashTable *by_id;   /* id to backend_t * */
  GHashTable *out;     /* data centres that are taken out */
  char *data_centre;
  char *own_name;
  char **instances;       /* NULL-terminated */
  uint32_t instances_set; /* counts the changes of @instances; 0: none yet */
};

#endif
