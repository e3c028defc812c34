#ifndef PERIDOT_ADMIN_REPLY_H
#define PERIDOT_ADMIN_REPLY_H

/* Responses of the admin handlers; internal to them.  Each function sends a
   response and returns its HTTP status, which the handler returns to
   CivetWeb.  */

#include <json-c/json.h>

#include "admin.h"

/* Sends @root with status 200 and frees it.  */
int admin_reply_json (struct mg_connection *conn, json_object *root);

/* Sends @text with status 200.  @type is the Content-Type.  */
int admin_reply_text (struct mg_connection *conn, const char *type,
                      const char *text);

/* Sends a problem document (RFC 9457); the formatted text is its detail.  */
int admin_reply_problem (struct mg_connection *conn, int status,
                         const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Sends status 405.  @allow lists the allowed methods.  */
int admin_reply_method_not_allowed (struct mg_connection *conn,
                                    const char *allow);

/* Sends the error response for a negative @result of a callback.  @name is the
   object, collection or instance of the request.  @change may be NULL unless
   @result is -ESTALE.  */
int admin_reply_error (struct mg_connection *conn, int result,
                       const char *name, const admin_change_t *change);

/* Handles GET /v1/status.  */
int admin_get_status (struct mg_connection *conn,
                      const admin_callbacks_t *callbacks);

#endif
