#include "wire.h"

#include <errno.h>
#include <netdb.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

clock_ms_t
peer_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (clock_ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int
peer_address_parse (const char *text, peer_address_t *address)
{
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  struct addrinfo *found;
  char host[DECIDE_ADDRESS_MAX];
  const char *colon = strrchr (text, ':');
  size_t length;

  if (colon == NULL || colon == text || colon[1] == '\0')
    return -EINVAL;
  length = (size_t)(colon - text);
  if (text[0] == '[' && colon[-1] == ']')
    {
      text++;
      length -= 2;
    }
  if (length >= sizeof host)
    return -EINVAL;
  memcpy (host, text, length);
  host[length] = '\0';
  if (getaddrinfo (host, colon + 1, &hints, &found) != 0)
    return -EINVAL;
  memcpy (&address->address, found->ai_addr, found->ai_addrlen);
  address->length = found->ai_addrlen;
  freeaddrinfo (found);
  return 0;
}
