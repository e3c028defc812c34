#include "syntax.h"

#include <glib.h>
#include <string.h>

bool
syntax_is_token (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i])
        && (text[i] == '\0' || strchr ("!#$%&'*+-.^_`|~", text[i]) == NULL))
      return false;
  return true;
}

bool
syntax_is_text (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return false;
  return true;
}
