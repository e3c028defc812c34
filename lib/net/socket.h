#ifndef PERIDOT_NET_SOCKET_H
#define PERIDOT_NET_SOCKET_H

/* Non-blocking IPv4 sockets.  Functions that open a socket return its file
   descriptor or a negative errno.  */

#include <netinet/in.h>
#include <stdbool.h>

/* Parses an address and port such as "1.2.3.4:80".  Return: 0 or -EINVAL.  */
int socket_parse_address (const char *text, struct sockaddr_in *address);

/* Opens a TCP socket that listens on an address.  */
int socket_listen (const struct sockaddr_in *address);

/* Opens a TCP socket and starts to connect it.  When it becomes writable,
   socket_connect_result() tells whether the connection was established.  */
int socket_connect (const struct sockaddr_in *address);

/* Opens a UDP socket that is bound to an address.  */
int socket_bind_udp (const struct sockaddr_in *address);

/* Returns the result of a connect that was in progress: 0 or a negative
   errno.  */
int socket_connect_result (int fd);

#endif
