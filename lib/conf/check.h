#ifndef PERIDOT_CONF_CHECK_H
#define PERIDOT_CONF_CHECK_H

/* Internal functions to parse and validate JSON values.  A function that
   returns int returns 0 or a negative errno.  With -EINVAL, the error of the
   parser holds a message that says where the fault is and why.  */

#include <json-c/json.h>

#include "conf.h"

#define CONF_JSON_PATH_BYTES 192

/* State of parsing one text.  */
typedef struct conf_parser
{
  const char *source;              /* file or object name, for messages */
  conf_error_t *error;             /* receives the message of a fault */
  size_t path_length;              /* length of @path in bytes */
  char path[CONF_JSON_PATH_BYTES]; /* JSON path of the value that is being
                                      parsed, such as $.listen */
} conf_parser_t;

/* Whether a key may be absent.  */
typedef enum conf_presence
{
  CONF_REQUIRED,
  CONF_OPTIONAL
} conf_presence_t;

/* Allowed values or array lengths, both ends included.  */
typedef struct conf_range
{
  int64_t min;
  int64_t max;
} conf_range_t;

/* Initializes @parser, parses @text and checks that its root is an object.
   The caller releases @root with json_object_put().  On failure, @root is set
   to NULL.  */
int conf_parse_root_object (conf_parser_t *parser, const char *source,
                            const char *text, size_t length,
                            conf_error_t *error, json_object **root);

/* Sets the error message for the value at the current path.  Return:
   -EINVAL.  */
int conf_parser_fail (conf_parser_t *parser, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Sets the error message for a key below the current path.  Return:
   -EINVAL.  */
int conf_parser_fail_key (conf_parser_t *parser, const char *key,
                          const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Append a key or an array index to the path.  Return: the previous length of
   the path, to be given to conf_parser_leave().  */
size_t conf_parser_enter_key (conf_parser_t *parser, const char *key);
size_t conf_parser_enter_index (conf_parser_t *parser, size_t index);

/* Shortens the path to @saved_length bytes, or to the root, $, when
   @saved_length is 0.  */
void conf_parser_leave (conf_parser_t *parser, size_t saved_length);

/* Fails if @object has a key that is not in @keys, which ends with NULL.  */
int conf_check_keys (conf_parser_t *parser, json_object *object,
                     const char *const keys[]);

/* Store the value of @key in @value, which stays unchanged if an optional key
   is absent.  The keys of conf_get_bool() and conf_get_fraction() are
   optional; a fraction is from 0 to 1.  @size is the size of the buffer @value
   in bytes, including the NUL byte.  */
int conf_get_integer (conf_parser_t *parser, json_object *object,
                      const char *key, conf_presence_t presence,
                      conf_range_t range, int64_t *value);
int conf_get_bool (conf_parser_t *parser, json_object *object, const char *key,
                   bool *value);
int conf_get_fraction (conf_parser_t *parser, json_object *object,
                       const char *key, double *value);
int conf_get_string (conf_parser_t *parser, json_object *object,
                     const char *key, conf_presence_t presence, size_t size,
                     char *value);
int conf_get_name (conf_parser_t *parser, json_object *object, const char *key,
                   conf_presence_t presence, char value[DECIDE_NAME_MAX]);
int conf_get_address (conf_parser_t *parser, json_object *object,
                      const char *key, conf_presence_t presence,
                      char value[DECIDE_ADDRESS_MAX]);

/* Store the object or array at @key in @value, or NULL if an optional one is
   absent.  An array is required, and its number of items must be in the range
   @length.  */
int conf_get_object (conf_parser_t *parser, json_object *object,
                     const char *key, conf_presence_t presence,
                     json_object **value);
int conf_get_array (conf_parser_t *parser, json_object *object,
                    const char *key, conf_range_t length, json_object **value);

/* Copies the names in @list, the array at @key, to @names.  Fails for an
   invalid or duplicate name.  */
int conf_parse_names (conf_parser_t *parser, const char *key,
                      json_object *list, char names[][DECIDE_NAME_MAX]);

/* Copies at most 60 bytes of @text to @buffer, with "..." for the rest, so
   that an error message can quote it.  All characters but printable ASCII are
   replaced by '?'.  Return: @buffer.  */
const char *conf_make_printable (const char *text, char buffer[64]);

/* Parse the body of a group and of an ownership record.  The caller must have
   zeroed @group and @record.  */
int conf_parse_group (conf_parser_t *parser, json_object *root,
                      decide_group_t *group);
int conf_parse_record (conf_parser_t *parser, json_object *root,
                       decide_record_t *record);

#endif
