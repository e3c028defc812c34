#ifndef PERIDOT_NET_SYNTAX_H
#define PERIDOT_NET_SYNTAX_H

/* Checks of characters in message heads that http_parser leaves out: it takes
   spaces in field names and does not check the reason.  */

#include <stdbool.h>
#include <stddef.h>

/**
 * syntax_is_token() - whether all characters may stand in a field name
 */
bool syntax_is_token (const char *text, size_t length);

/**
 * syntax_is_text() - whether all characters may stand in a reason
 */
bool syntax_is_text (const char *text, size_t length);

#endif
