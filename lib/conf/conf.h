#ifndef PERIDOT_CONF_H
#define PERIDOT_CONF_H

/* Parser for the daemon's settings and for the configuration objects in the
   store.  Both are JSON with comments; every field is validated, and an error
   says where the fault is and why the value is refused.  */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "decide.h"

#define CONF_URL_MAX 256
/* Limit of configured instances: the group's ownership record has an entry for
   each, and at most DECIDE_MEMBERS_MAX entries.  */
#define CONF_INSTANCES_MAX DECIDE_MEMBERS_MAX

#define CONF_PREFIX "shared/"
#define CONF_PREFIX_PROFILE "shared/profile/"
#define CONF_PREFIX_SERVICE "shared/service/"
#define CONF_PREFIX_OUT_DATA_CENTRE "shared/out/data-centre/"
#define CONF_PREFIX_OUT_INSTANCE "shared/out/instance/"
#define CONF_PREFIX_GROUP "shared/group/"
#define CONF_PREFIX_OWNERSHIP "shared/ownership/"

/* Error message of a parser function.  */
typedef struct conf_error
{
  /* Where the fault is and why the value is refused, for example
     "/etc/peridotrouter.json: $.listen.callers: "localhost:80" is not
     IP:PORT".  Empty after a text was parsed without a fault.  */
  char text[512];
} conf_error_t;

/* Load-balancing policies.  All but CONF_POLICY_OWNER are baselines for
   benchmarks.  */
typedef enum conf_policy
{
  CONF_POLICY_OWNER,
  CONF_POLICY_RANDOM,
  CONF_POLICY_ROUND_ROBIN,
  CONF_POLICY_LEAST_OUTSTANDING,
  CONF_POLICY_POWER_OF_TWO
} conf_policy_t;

/* An instance of the group as listed in the settings.  */
typedef struct conf_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char callers[DECIDE_ADDRESS_MAX]; /* IP:PORT that clients connect to */
  char peers[DECIDE_ADDRESS_MAX];   /* IP:PORT for RPC between instances */
} conf_instance_t;

/* The daemon's settings, with defaults for absent keys.  */
typedef struct conf_settings
{
  char instance[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char group[DECIDE_NAME_MAX];
  char listen_clients[DECIDE_ADDRESS_MAX]; /* listener for clients */
  char listen_admin[DECIDE_ADDRESS_MAX];
  char listen_peers[DECIDE_ADDRESS_MAX];
  /* Address published to clients; defaults to the member callers of this
     instance's entry in instances.  */
  char advertised_address[DECIDE_ADDRESS_MAX];
  uint32_t instance_count;
  uint32_t own; /* index of this instance in instances */
  conf_instance_t instances[CONF_INSTANCES_MAX];
  char store_url[CONF_URL_MAX]; /* without a slash at the end */
  clock_ms_t store_timeout_ms;
  /* Number of CivetWeb threads, and so of concurrent client connections.  */
  uint32_t workers;
  uint64_t body_bytes;                  /* size limit of a request body */
  uint32_t header_bytes;                /* size limit of a request header */
  uint64_t key_bytes_limit;             /* memory limit of idempotency keys */
  clock_ms_t request_header_timeout_ms; /* timeout for a request's header */
  GLogLevelFlags log_level;             /* lowest severity that is logged */
  double trace; /* sampling ratio, 0 to 1, of traces whose spans are written */
  conf_policy_t policy;
  bool has_seed;
  uint64_t seed; /* for random choices; unused without has_seed */
} conf_settings_t;

/**
 * conf_read_settings() - read the daemon's settings from a file
 * @path: file name
 * @settings: receives the settings; undefined after an error
 * @error: receives the message for the first fault
 *
 * Return: 0, -EINVAL for a fault in the text, -EFBIG for a file over 1 MiB,
 *   -ENOMEM, or the negative errno of the file operation that failed.
 */
int conf_read_settings (const char *path, conf_settings_t *settings,
                        conf_error_t *error);

/**
 * conf_parse_settings() - parse the daemon's settings
 * @path: name used in error messages
 * @text: JSON with comments
 * @length: length of @text in bytes
 * @settings: receives the settings; undefined after an error
 * @error: receives the message for the first fault
 *
 * Return: 0, -EINVAL, or -ENOMEM.
 */
int conf_parse_settings (const char *path, const char *text, size_t length,
                         conf_settings_t *settings, conf_error_t *error);

/* Returns the name of a policy as written in the settings.  */
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
    char out[DECIDE_NAME_MAX]; /* data centre or instance out of service */
  } u;
} conf_object_t;

/**
 * conf_parse_object() - parse and validate an object of the store
 * @name: full name, beginning with CONF_PREFIX
 * @body: JSON text; ignored and may be NULL when @deleted
 * @version: the store's version of the object
 * @revision: the store's revision at the object's last change
 * @deleted: the object is a tombstone
 * @object: receives the object; free with conf_object_free()
 * @error: receives the message for the first fault
 *
 * A tombstone has no body.  If the deleted object took a data centre or an
 * instance out of service, the union u of the decide_object_t points to its
 * name; for the other kinds of object it is NULL.
 *
 * Return: 0, -ENOENT when the prefix of @name is of no known kind, -EINVAL, or
 *   -ENOMEM.
 */
int conf_parse_object (const char *name, const char *body, uint64_t version,
                       uint64_t revision, bool deleted, conf_object_t **object,
                       conf_error_t *error);

/* Frees an object; NULL is allowed.  */
void conf_object_free (conf_object_t *object);

/**
 * conf_check_group_overlap() - check that two groups do not overlap partly
 * @one: first group
 * @other: second group
 * @error: receives a message that names a data centre that only one of the
 *   two groups has
 *
 * Return: 0 when their data centres are the same or have none in common,
 *   otherwise -EINVAL.
 */
int conf_check_group_overlap (const decide_group_t *one,
                              const decide_group_t *other,
                              conf_error_t *error);

/**
 * conf_format_record() - format an ownership record as JSON
 * @record: record to format; its names are not escaped
 *
 * The text does not contain the version, which the store keeps.  Ids and
 * incarnations are hexadecimal strings because many JSON parsers round
 * 64-bit numbers.
 *
 * Return: text to be freed with free(), or NULL when out of memory.
 */
char *conf_format_record (const decide_record_t *record);

/**
 * conf_format_profile() - format a profile as JSON, including defaults
 * @profile: profile to format
 *
 * Return: text to be freed with free(), or NULL when out of memory.
 */
char *conf_format_profile (const decide_profile_t *profile);

/**
 * conf_check_name() - check the name of an object, data centre or instance
 * @name: valid when it has 1 to 63 bytes, all of them letters, digits, '-',
 *   '_' or '.'
 *
 * Return: 0 or -EINVAL.
 */
int conf_check_name (const char *name);

/**
 * conf_check_address() - check a network address
 * @address: valid as IPv4:PORT or [IPv6]:PORT in canonical spelling, with a
 *   port from 1 to 65535
 *
 * Return: 0 or -EINVAL.
 */
int conf_check_address (const char *address);

#endif
