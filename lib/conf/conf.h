#ifndef PERIDOT_CONF_H
#define PERIDOT_CONF_H

/* Settings of the daemon and configuration objects of the store: JSON with
   comments, every field checked, errors with their place and reason.  */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide.h"

#define CONF_URL_MAX 256
/* The record of one group lists every configured instance.  */
#define CONF_INSTANCES_MAX DECIDE_MEMBERS_MAX

#define CONF_PREFIX "shared/"
#define CONF_PREFIX_PROFILE "shared/profile/"
#define CONF_PREFIX_SERVICE "shared/service/"
#define CONF_PREFIX_OUT_DATA_CENTRE "shared/out/data-centre/"
#define CONF_PREFIX_OUT_INSTANCE "shared/out/instance/"
#define CONF_PREFIX_GROUP "shared/group/"
#define CONF_PREFIX_OWNERSHIP "shared/ownership/"

/* Place and reason, for example
   "/etc/peridotrouter.json: $.listen.callers: "localhost:80" is not IP:PORT".
   Empty after success.  */
typedef struct conf_error
{
  char text[512];
} conf_error_t;

/* Ways to choose an endpoint; all but the first are benchmark baselines.  */
typedef enum conf_policy
{
  CONF_POLICY_OWNER,
  CONF_POLICY_RANDOM,
  CONF_POLICY_ROUND_ROBIN,
  CONF_POLICY_LEAST_OUTSTANDING,
  CONF_POLICY_POWER_OF_TWO
} conf_policy_t;

typedef struct conf_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char callers[DECIDE_ADDRESS_MAX]; /* IP:PORT given to callers */
  char peers[DECIDE_ADDRESS_MAX];   /* IP:PORT that RPC is sent to */
} conf_instance_t;

typedef struct conf_settings
{
  char instance[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char group[DECIDE_NAME_MAX];
  char listen_clients[DECIDE_ADDRESS_MAX];
  char listen_admin[DECIDE_ADDRESS_MAX];
  char listen_peers[DECIDE_ADDRESS_MAX];
  char advertise[DECIDE_ADDRESS_MAX]; /* default: own entry's callers */
  uint32_t instance_count;
  uint32_t own; /* index of this instance in instances */
  conf_instance_t instances[CONF_INSTANCES_MAX];
  char store_url[CONF_URL_MAX]; /* without a slash at the end */
  clock_ms_t store_timeout_ms;
  uint32_t workers; /* CivetWeb threads: concurrent caller connections */
  uint64_t body_bytes;
  uint32_t header_bytes;
  uint64_t key_bytes; /* limit of idempotency keys in memory */
  clock_ms_t
      request_header_timeout_ms; /* longest wait for a request's header */
  GLogLevelFlags log_level;      /* least important level that is written */
  double trace; /* share 0..1 of requests whose spans are written */
  conf_policy_t policy;
  bool has_seed;
  uint64_t seed;
} conf_settings_t;

/**
 * conf_read_settings() - read the daemon's settings from a file
 * @path: file name
 * @settings: set completely on success, undefined otherwise
 * @error: place and reason of the first fault
 *
 * Return: 0, -EINVAL for a fault in the text, or the negative errno of the
 *   file operation that failed.
 */
int conf_read_settings (const char *path, conf_settings_t *settings,
                        conf_error_t *error);

/**
 * conf_parse_settings() - parse the daemon's settings
 * @path: name used in error messages
 * @text: JSON with comments
 * @length: bytes of @text
 *
 * Return: 0, -EINVAL, or -ENOMEM.
 */
int conf_parse_settings (const char *path, const char *text, size_t length,
                         conf_settings_t *settings, conf_error_t *error);

/* Name of a policy as written in the settings.  */
const char *conf_policy_name (conf_policy_t policy);

/* A decide_object_t together with the memory it points to.  */
typedef struct conf_object
{
  decide_object_t object;
  char *name;
  char *body;
  union
  {
    decide_profile_t profile;
    decide_service_t service;
    decide_record_t record;
    decide_group_t group;
    char out[DECIDE_NAME_MAX];
  } u;
} conf_object_t;

/**
 * conf_parse_object() - check an object of the store and take it over
 * @name: full name, beginning with CONF_PREFIX
 * @body: JSON text; ignored and may be NULL when @deleted
 * @version: the store's version of the object
 * @revision: the store's revision at the object's last change
 * @deleted: the object is a tombstone
 * @object: receives the object; free with conf_object_free()
 * @error: place and reason of the first fault
 *
 * A tombstone has a kind and a name; the union of its decide_object_t is the
 * name for the out objects and NULL for the other kinds.
 *
 * Return: 0, -ENOENT when @name is of no known kind, -EINVAL, or -ENOMEM.
 */
int conf_parse_object (const char *name, const char *body, uint64_t version,
                       uint64_t revision, bool deleted, conf_object_t **object,
                       conf_error_t *error);

/* Frees an object; NULL is allowed.  */
void conf_object_free (conf_object_t *object);

/**
 * conf_compare_groups() - check that two groups fit together
 * @error: names the data centre that only one of them has
 *
 * Return: 0 when their data centres are the same or have none in common,
 *   otherwise -EINVAL.
 */
int conf_compare_groups (const decide_group_t *one,
                         const decide_group_t *other, conf_error_t *error);

/**
 * conf_format_record() - JSON text of an ownership record
 *
 * The version is not part of the text: the store keeps it.  Ids and
 * incarnations are hexadecimal strings because JSON numbers lose 64-bit
 * values in many readers.
 *
 * Return: text to be freed with free(), or NULL when out of memory.
 */
char *conf_format_record (const decide_record_t *record);

/**
 * conf_format_profile() - JSON text of a profile, defaults written out
 * Return: text to be freed with free(), or NULL when out of memory.
 */
char *conf_format_profile (const decide_profile_t *profile);

/**
 * conf_check_name() - letters, digits, '-', '_' and '.', 1 to 63 bytes
 * Return: 0 or -EINVAL.
 */
int conf_check_name (const char *name);

/**
 * conf_check_address() - IPv4:PORT or [IPv6]:PORT, port 1 to 65535
 * Return: 0 or -EINVAL.
 */
int conf_check_address (const char *address);

#endif
