#ifndef PERIDOT_NET_SERVER_PRIVATE_H
#define PERIDOT_NET_SERVER_PRIVATE_H

/* Shared by the parts of the server: server.c accepts connections and reads
   requests, server_body.c bounds the memory of their bodies, and
   server_output.c sends responses.  */

#include <http_parser.h>
#include <limits.h>

#include "holdings.h"
#include "server.h"

struct server
{
  struct ev_loop *loop;
  server_hooks_t hooks;
  server_limits_t limits;
  clock_ms_t previous_idle_timeout; /* ms; the idle timeout before it was last
                                       shortened */
  clock_ms_t idle_timeout_shortened_at; /* ms; when the idle timeout was last
                                           shortened; 0: never */
  int fd;                               /* listening socket; -1: closed */
  ev_io accept_watcher;
  ev_timer accept_retry_timer; /* starts @accept_watcher again after accept()
                                  has failed */
  ev_prepare cleanup_watcher;  /* frees the connections in @closed */
  GQueue connections;          /* connection_t *; open connections */
  GQueue closed; /* connection_t *; closed, and freed in the next iteration of
                    the event loop */
  bool draining; /* server_drain() was called */
  holdings_t *holdings;    /* what the connections hold */
  holdings_t own_holdings; /* these, unless others were set */
  /* Memory for request bodies.  */
  size_t body_bytes_max; /* limit of @body_bytes; 0: none */
  size_t body_bytes;     /* bytes that the bodies in @bodies may take */
  GQueue bodies;         /* exchange_t * with memory for their bodies */
  GQueue waiting_bodies; /* connection_t * that wait for such memory */
};

struct connection
{
  server_t *server;
  GList link; /* in the server's @connections or @closed */
  holding_t holding;
  int fd;
  ev_io read_watcher;
  ev_io write_watcher;
  ev_timer timeout_timer; /* checks periodically for timeouts */
  http_parser parser;
  GByteArray *pending_input; /* input that was read but cannot be parsed yet,
                                because too many requests are being
                                processed */
  GByteArray *output;        /* buffer that is being sent */
  GByteArray *output_body;   /* large body to send after @output; NULL: none */
  size_t output_sent_bytes;  /* number of bytes of @output that were sent */
  GQueue exchanges; /* exchange_t *; exchanges whose request was received, but
                       whose response was not completely moved to the output
                       yet; in the order of the requests */
  exchange_t *incoming; /* exchange whose request is being received; NULL:
                           none */
  GString *field_name;  /* name of the header field that is being parsed */
  GString *field_value; /* value of that header field */
  bool in_value;        /* @field_value is being parsed, not @field_name */
  size_t header_bytes;  /* bytes received of the target and header fields of
                           @incoming */
  bool in_body;         /* the head of @incoming was read */
  bool waits_for_body;  /* the body of @incoming waits for memory, and the
                           connection is not read */
  clock_ms_t body_wait_started_at; /* ms; when that began */
  GList body_link;                 /* in the server's @waiting_bodies */
  bool closing;   /* no further request is read; the connection closes
                     after the last response */
  bool truncated; /* a response was aborted; nothing is added to the output any
                     more, and the connection closes after it */
  bool lingering; /* all output was sent; input is discarded until the client
                     closes the connection */
  bool closed;    /* the socket is closed; the memory is freed in the
                     next iteration of the event loop */
  clock_ms_t accepted_at;        /* ms; when the connection was accepted */
  clock_ms_t last_activity_at;   /* ms; when bytes were last read or sent */
  clock_ms_t request_started_at; /* ms; when the request of @incoming began; 0:
                                    no request is being received */
};

/* Sends what was written to the responses, in the order of their requests,
   until the socket takes no more.  If no further request is to be read, closes
   the connection after the last response.  */
void connection_flush (connection_t *connection);
/* Parses the pending input, unless the limit of pipelined requests that are
   processed at the same time is reached.  */
void connection_resume (connection_t *connection);
/* Closes the socket at once; the memory is freed later.  Calls the
   disconnected hook for each request whose response is incomplete.  */
void connection_close (connection_t *connection);
/* ---- server_body.c ---- */

/* Prepares to read the body of the request whose head was read.  Return: false
   if the body has to wait for memory.  */
bool body_begin (connection_t *connection);
/* Accounts for a body that has grown to @bytes.  */
void body_grow (exchange_t *exchange, size_t bytes);
/* Gives back the memory of an exchange's body, if it has any.  */
void body_release (exchange_t *exchange);
/* Removes a connection from those that wait for memory, if it does.  */
void body_stop_waiting (connection_t *connection);
/* Whether the request of a connection has waited for memory for too long.  */
bool body_has_waited_too_long (const connection_t *connection, clock_ms_t now);
/* Resumes the connections for which there is memory now.  Must not be called
   by functions that use a connection.  */
void body_resume_waiting (server_t *server);
/* Detaches all exchanges from the server's memory for bodies, before the
   server is freed.  */
void body_forget_all (server_t *server);

/* ---- server_holdings.c ---- */

/* Records what the connection holds, after that has changed.  */
void connection_update_holding (connection_t *connection);
/* Whether responses wait for the client to read them.  */
bool connection_is_blocked (const connection_t *connection);
/* Whether no further request may be parsed until others have ended.  */
bool connection_is_full (const connection_t *connection);
/* Closes connections if the clients make the servers hold too much; any of
   them may be closed afterwards.  */
void server_shed (server_t *server);
/* ---- server.c ---- */

/* Frees an exchange, which must not be in a connection's queue any more.  */
void exchange_free (exchange_t *exchange);

#endif
