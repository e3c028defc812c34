#ifndef PERIDOT_BALANCE_BACKENDS_PRIVATE_H
#define PERIDOT_BALANCE_BACKENDS_PRIVATE_H

#include "backends.h"

/* Largest number of instances that may send requests to one cold endpoint.
   Each sends at most one request a second, so that their total is below the
   smallest configured limit of a cold endpoint.  */
#define COLD_SENDERS_MAX 12

struct backends
{
  GPtrArray *table;    /* backend_t *, indexed by the index in a handle; unused
                          entries are kept for reuse */
  GQueue free_list;    /* backend_t *, the unused entries of @table */
  GPtrArray *services; /* service_t * */
  GHashTable *by_id;   /* endpoint ID to backend_t * */
  GHashTable *data_centres_out; /* names, used as a set */
  char *data_centre;            /* data centre of this instance */
  char *own_name;               /* name of this instance */
  char **instances; /* names of the known instances, NULL-terminated; NULL: not
                       set */
  int instance_count;         /* number of @instances */
  uint32_t instances_version; /* number of times that @instances was set; 0:
                                 not set yet */
};

#endif
