#ifndef PERIDOT_TELEMETRY_LINE_H
#define PERIDOT_TELEMETRY_LINE_H

/* Internal to the library: JSON lines and the ring to the writer thread.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Appends a JSON string; invalid UTF-8 is replaced.  */
void line_append_string (GString *line, const char *text, gssize length);

/* Appends ,"key":"text" (without the comma after an opening brace); nothing
   when @text is NULL.  */
void line_append_field (GString *line, const char *key, const char *text);

/* Appends a member with a number.  */
void line_append_number (GString *line, const char *key, int64_t number);

/* Appends a member with a point in time, RFC 3339 in UTC.  */
void line_append_time (GString *line, const char *key, int64_t us);

/* Ends the line and gives it to the writer thread for the descriptor; takes
   over the memory.  Written at once when the thread does not run or
   @at_once.  */
void log_submit (int fd, GString *line, bool at_once);

/* Name of this process's instance, "" before the start.  */
const char *log_instance (void);

/* Share of traces whose spans are written.  */
double log_trace_share (void);

#endif
