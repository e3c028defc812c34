#ifndef PERIDOT_BALANCE_TENANTS_H
#define PERIDOT_BALANCE_TENANTS_H

/* Tenants: the customers of the operator whose requests share the services.  A
   request names its tenant by one of the tenant's keys.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A rate or burst from here on is no limit.  */
#define TENANT_RATE_MAX 1e9

/* Configuration of a tenant.  */
typedef struct tenant
{
  char *name;
  uint64_t digest;   /* tenant_name_digest() of the name */
  GPtrArray *keys;   /* char * */
  int priority;      /* of its requests, in place of the route's; 0 is the most
                        urgent; -1: the route's holds */
  double rate_per_s; /* requests a second that it may send to all instances
                        together; 0: there is no limit */
  double burst;      /* requests that it may send at once in addition */
} tenant_t;

tenant_t *tenant_new (const char *name);
tenant_t *tenant_copy (const tenant_t *tenant);
void tenant_free (gpointer tenant);
bool tenant_is_limited (const tenant_t *tenant);
/* Digest of a tenant's name, by which messages between instances name it.  */
uint64_t tenant_name_digest (const char *name);

/**
 * tenant_parse_key() - find the key in the value of an Authorization field
 * @text: the scheme Bearer in upper or lower case, spaces, and the key
 *
 * Return: the key, which is part of @text and ends with it; NULL: @text has
 * another scheme or no key, or more than one word follows the scheme.
 */
const char *tenant_parse_key (const char *text);

/* Whether a name can be the value of a header field.  */
bool tenant_is_valid_name (const char *name);

#endif
