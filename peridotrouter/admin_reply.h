#ifndef PERIDOT_ADMIN_REPLY_H
#define PERIDOT_ADMIN_REPLY_H

/* Internal to the admin handlers: answers.  Each function returns the HTTP
   status, which a handler gives back to CivetWeb.  */

#include <json-c/json.h>

#include "admin.h"

/* Sends @root and frees it.  */
int admin_reply_json (struct mg_connection *conn, json_object *root);

int admin_reply_text (struct mg_connection *conn, const char *type,
                      const char *text);

/* Problem document of RFC 9457.  */
int admin_reply_problem (struct mg_connection *conn, int status,
                         const char *format, ...) G_GNUC_PRINTF (3, 4);

/* 405 with the methods that are allowed.  */
int admin_reply_method (struct mg_connection *conn, const char *allow);

/* Answer to a negative result of a callback.  */
int admin_reply_error (struct mg_connection *conn, int result,
                       const char *name, const admin_change_t *change);

int admin_get_status (struct mg_connection *conn,
                      const admin_callbacks_t *callbacks);

#endif
