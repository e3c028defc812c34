#ifndef PERIDOT_NET_SYNTAX_H
#define PERIDOT_NET_SYNTAX_H

/* Characters of message heads.  http_parser also takes some that HTTP does not
   allow: spaces in field names, and control characters in the reason.  */

#include <stdbool.h>
#include <stddef.h>

/**
 * syntax_is_token() - whether all characters may stand in a field name
 */
bool syntax_is_token (const char *text, size_t length);

/**
 * syntax_is_text() - whether all characters may stand in a reason or in the
 * value of a field
 */
bool syntax_is_text (const char *text, size_t length);

#endif
