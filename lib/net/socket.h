#ifndef PERIDOT_NET_SOCKET_H
#define PERIDOT_NET_SOCKET_H

/* Non-blocking sockets.  Functions return a descriptor or a negative errno. */

#include <netinet/in.h>
#include <stdbool.h>

/* Parses "1.2.3.4:80".  Return: 0 or -EINVAL.  */
int socket_parse_address (const char *text, struct sockaddr_in *address);

int socket_listen (const struct sockaddr_in *address);
int socket_connect (const struct sockaddr_in *address);
int socket_bind_udp (const struct sockaddr_in *address);

/* Result of a connect that is under way: 0 or a negative errno.  */
int socket_connect_result (int fd);

#endif
