/* What the connections hold, and closing those that hold most when the clients
   make an instance hold too much; see holdings.h.  */

#include "server_private.h"

#include <stddef.h>

#include "telemetry.h"

/* Limit of the pipelined requests of one connection that are processed at the
   same time.  */
#define PIPELINED_REQUESTS_MAX 16
/* No further request of a connection is processed while its client does not
   read and it holds more than this.  */
#define BLOCKED_BYTES_MAX (256 << 10)

static void close_held (holding_t *holding);
static size_t get_exchange_bytes (const exchange_t *exchange);

static void
close_held (holding_t *holding)
{
  connection_t *connection
      = (connection_t *)(void *)((char *)holding
                                 - offsetof (connection_t, holding));

  connection_close (connection);
}

void
server_set_holdings (server_t *server, holdings_t *holdings)
{
  server->holdings = holdings;
  holdings->close = close_held;
}

void
server_shed (server_t *server)
{
  int n;

  if (!holdings_are_exceeded (server->holdings))
    return;
  n = holdings_shed (server->holdings, clock_now ());
  telemetry_counter_add (TELEMETRY_SHED_CONNECTIONS, 0, (uint64_t)n);
}

bool
connection_is_blocked (const connection_t *connection)
{
  return connection->output_sent_bytes < connection->output->len
         || connection->output_body != NULL;
}

bool
connection_is_full (const connection_t *connection)
{
  return g_queue_get_length ((GQueue *)&connection->exchanges)
             >= PIPELINED_REQUESTS_MAX
         || (connection_is_blocked (connection)
             && connection->holding.bytes > BLOCKED_BYTES_MAX);
}

/* Returns the bytes that an exchange takes.  */
static size_t
get_exchange_bytes (const exchange_t *exchange)
{
  return exchange->head_bytes
         + exchange->fields->len / 2 * HOLDINGS_FIELD_BYTES
         + exchange->body->len
         + (exchange->output != NULL ? exchange->output->len : 0);
}

void
connection_update_holding (connection_t *connection)
{
  size_t bytes = HOLDINGS_CONNECTION_BYTES + connection->pending_input->len
                 + connection->output->len;
  bool is_blocked = connection_is_blocked (connection);

  if (connection->closed)
    return;
  if (connection->output_body != NULL)
    bytes += connection->output_body->len;
  if (connection->incoming != NULL)
    bytes += get_exchange_bytes (connection->incoming);
  for (GList *link = connection->exchanges.head; link != NULL;
       link = link->next)
    bytes += get_exchange_bytes (link->data);
  holdings_set_bytes (connection->server->holdings, &connection->holding,
                      bytes);
  holdings_set_waiting (&connection->holding,
                        is_blocked || connection->exchanges.head == NULL,
                        clock_now ());
}
