#ifndef PERIDOT_CTL_H
#define PERIDOT_CTL_H

/* Shared by the files of peridotctl.  */

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit status.  */
typedef enum ctl_exit
{
  CTL_OK = 0,
  CTL_REFUSED = 1, /* refused, conflict or bad input */
  CTL_USAGE = 2,
  CTL_UNREACHED = 3 /* no admin address answered */
} ctl_exit_t;

typedef struct ctl
{
  const char *const *urls; /* admin addresses, ends with NULL */
  bool json;
  bool has_expect;
  uint64_t expect; /* 0: the object must not exist */
  bool has_wait;
  uint64_t wait_revision;
  int timeout_s;
} ctl_t;

/* An answer with a JSON object as its body.  */
typedef struct answer
{
  long status;
  json_object *root;
} answer_t;

/**
 * admin_call() - make a call of the admin API
 * @what: what is done, for error messages
 * @body: NULL for none
 * @answer: set when CTL_OK is returned; answer_free() frees it
 *
 * Tries the addresses in turn.  An address is left for the next one only when
 * nothing can have been changed there.  Prints an error for every result but
 * CTL_OK, also for an answer with an error status.
 */
ctl_exit_t admin_call (const ctl_t *ctl, const char *what, const char *method,
                       const char *path, const char *body, answer_t *answer);
void answer_free (answer_t *answer);

/* Path with @name as one percent-encoded segment; to be freed.  */
char *admin_path (const char *collection, const char *name,
                  const char *suffix);

/* Members of a JSON object; empty, 0 or false when absent.  */
const char *get_text (json_object *object, const char *key);
uint64_t get_number (json_object *object, const char *key);
bool get_flag (json_object *object, const char *key);
json_object *get_list (json_object *object, const char *key);

void print_json (json_object *root);

/* Columns of text, as wide as their widest cell.  */
typedef struct table table_t;

table_t *table_new (int columns);
void table_add (table_t *table, const char *cell);
void table_add_number (table_t *table, uint64_t number);
void table_print (const table_t *table);
void table_free (table_t *table);

/* Commands.  @collection is the plural as in the paths of the admin API;
   @verb is out, in or forget.  */
ctl_exit_t list_objects (const ctl_t *ctl, const char *collection);
ctl_exit_t get_object (const ctl_t *ctl, const char *collection,
                       const char *name);
ctl_exit_t check_object (const ctl_t *ctl, const char *collection,
                         const char *file);
ctl_exit_t put_object (const ctl_t *ctl, const char *collection,
                       const char *name, const char *file);
ctl_exit_t delete_object (const ctl_t *ctl, const char *collection,
                          const char *name);
ctl_exit_t mark (const ctl_t *ctl, const char *collection, const char *name,
                 const char *verb);
ctl_exit_t show_status (const ctl_t *ctl);

#endif
