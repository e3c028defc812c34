#ifndef PERIDOT_CONF_CHECK_H
#define PERIDOT_CONF_CHECK_H

/* Internal to the library: checked reading of JSON values.  A function that
   returns int returns 0, or a negative errno with the place and the reason in
   the reader's error.  */

#include <json-c/json.h>

#include "conf.h"

#define CONF_PATH_MAX 192

typedef struct reader
{
  const char *source; /* file or object name */
  conf_error_t *error;
  size_t depth; /* length of path */
  char path[CONF_PATH_MAX];
} reader_t;

/* The value to use when a key is absent, or that it has to be present.  */
typedef enum presence
{
  REQUIRED,
  OPTIONAL
} presence_t;

typedef struct range
{
  int64_t least;
  int64_t most;
} range_t;

/* Parses @text and checks that its root is an object; @root is to be put.  */
int reader_open (reader_t *reader, const char *source, const char *text,
                 size_t length, conf_error_t *error, json_object **root);

/* Records a fault at the current path.  Return: -EINVAL.  */
int reader_fail (reader_t *reader, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Records a fault at a key below the current path.  Return: -EINVAL.  */
int reader_fail_key (reader_t *reader, const char *key, const char *format,
                     ...) G_GNUC_PRINTF (3, 4);

/* Extend the path; the result is given to reader_leave().  */
size_t reader_enter (reader_t *reader, const char *key);
size_t reader_enter_index (reader_t *reader, size_t index);
void reader_leave (reader_t *reader, size_t depth);

/* Fails for a key that is not in the list, which ends with NULL.  */
int check_keys (reader_t *reader, json_object *object,
                const char *const keys[]);

/* Reads of an absent optional key leave @value as it is.  */
int read_integer (reader_t *reader, json_object *object, const char *key,
                  presence_t presence, range_t range, int64_t *value);
int read_bool (reader_t *reader, json_object *object, const char *key,
               bool *value);
int read_share (reader_t *reader, json_object *object, const char *key,
                double *value);
int read_string (reader_t *reader, json_object *object, const char *key,
                 presence_t presence, size_t size, char *value);
int read_name (reader_t *reader, json_object *object, const char *key,
               presence_t presence, char value[DECIDE_NAME_MAX]);
int read_address (reader_t *reader, json_object *object, const char *key,
                  presence_t presence, char value[DECIDE_ADDRESS_MAX]);

/* An object or array; NULL in @value when an optional one is absent.  */
int read_object (reader_t *reader, json_object *object, const char *key,
                 presence_t presence, json_object **value);
int read_array (reader_t *reader, json_object *object, const char *key,
                range_t length, json_object **value);

/* The different names in @list, the array at @key.  */
int read_names (reader_t *reader, const char *key, json_object *list,
                char names[][DECIDE_NAME_MAX]);

/* Copies @text with all but printable ASCII replaced, at most 60 bytes, so
   that it can be shown in an error.  */
const char *printable (const char *text, char shown[64]);

int parse_group (reader_t *reader, json_object *root, decide_group_t *group);
int parse_record (reader_t *reader, json_object *root,
                  decide_record_t *record);

#endif
