#ifndef PERIDOT_CTL_H
#define PERIDOT_CTL_H

/* Declarations that the source files of peridotctl share.  */

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit status of a command.  */
typedef enum ctl_exit
{
  CTL_OK = 0,
  CTL_REFUSED = 1,    /* rejected, version conflict or bad input */
  CTL_USAGE = 2,      /* wrong options or arguments */
  CTL_UNREACHABLE = 3 /* no complete response */
} ctl_exit_t;

/* Options of the command line.  */
typedef struct ctl_options
{
  const char *const *urls; /* addresses of admin listeners, ends with NULL */
  bool json;               /* print the response as JSON */
  bool has_expected_version;
  uint64_t expected_version; /* 0: the object must not exist */
  bool has_wait_revision;
  uint64_t wait_revision; /* The status command waits until every reachable
                             instance uses this configuration revision or a
                             later one.  */
  int timeout_s;          /* time limit of this wait in seconds */
} ctl_options_t;

/* Response of the admin API, with a JSON object as its body.  */
typedef struct admin_response
{
  long status; /* HTTP status code */
  json_object *root;
} admin_response_t;

/**
 * admin_call() - send a request to the admin API
 * @opts: addresses and expected version
 * @operation: description of the operation, for error messages
 * @method: HTTP method
 * @path: path of the request
 * @body: body of the request, or NULL
 * @response: set when CTL_OK is returned; admin_response_free() frees it
 *
 * Tries the addresses in turn.  The next address is tried only when the
 * request cannot have changed anything at the previous one.  Prints an error
 * for every result but CTL_OK, also for a response with an error status.
 *
 * Return: CTL_OK, CTL_REFUSED for a response with an error status or without
 * a JSON object, or CTL_UNREACHABLE.
 */
ctl_exit_t admin_call (const ctl_options_t *opts, const char *operation,
                       const char *method, const char *path, const char *body,
                       admin_response_t *response);
void admin_response_free (admin_response_t *response);

/* Returns the path of an object, with @name as one percent-encoded segment.
   The caller frees it.  */
char *admin_path (const char *collection, const char *name,
                  const char *suffix);

/* These functions return a member of a JSON object, or an empty string, 0,
   false or NULL when it is absent.  */
const char *ctl_get_text (json_object *object, const char *key);
uint64_t ctl_get_number (json_object *object, const char *key);
bool ctl_get_bool (json_object *object, const char *key);
json_object *ctl_get_array (json_object *object, const char *key);

/* Prints a JSON value, indented, to standard output.  */
void ctl_print_json (json_object *root);

/* Text table whose columns are as wide as their widest cells.  */
typedef struct table table_t;

table_t *table_new (int columns);
/* Appends a cell; the table is filled row by row.  */
void table_add (table_t *table, const char *cell);
void table_add_number (table_t *table, uint64_t number);
void table_print (const table_t *table);
void table_free (table_t *table);

/* Commands of peridotctl.  @collection is the plural form that the paths of
   the admin API have; @action is "out", "in" or "forget".  */
ctl_exit_t ctl_list_objects (const ctl_options_t *opts,
                             const char *collection);
ctl_exit_t ctl_get_object (const ctl_options_t *opts, const char *collection,
                           const char *name);
ctl_exit_t ctl_check_object (const ctl_options_t *opts, const char *collection,
                             const char *file);
ctl_exit_t ctl_put_object (const ctl_options_t *opts, const char *collection,
                           const char *name, const char *file);
ctl_exit_t ctl_delete_object (const ctl_options_t *opts,
                              const char *collection, const char *name);
ctl_exit_t ctl_put_action (const ctl_options_t *opts, const char *collection,
                           const char *name, const char *action);
ctl_exit_t ctl_show_status (const ctl_options_t *opts);

#endif
