#include "ctl.h"

#include <err.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest body that the admin API takes.  */
#define BODY_BYTES_MAX (1 << 20)

static char *read_file (const char *file);
static const char *singular (const char *collection);
static ctl_exit_t finish_change (const ctl_t *ctl, ctl_exit_t result,
                                 const char *subject, answer_t *answer);

ctl_exit_t
list_objects (const ctl_t *ctl, const char *collection)
{
  answer_t answer;
  char path[32];
  char what[32];
  ctl_exit_t result;
  json_object *list;
  table_t *table;

  (void)snprintf (path, sizeof path, "/v1/%s", collection);
  (void)snprintf (what, sizeof what, "%s list", collection);
  result = admin_call (ctl, what, "GET", path, NULL, &answer);
  if (result != CTL_OK)
    return result;
  if (ctl->json)
    {
      print_json (answer.root);
      answer_free (&answer);
      return CTL_OK;
    }
  list = get_list (answer.root, collection);
  table = table_new (3);
  table_add (table, "NAME");
  table_add (table, "VERSION");
  table_add (table, "REVISION");
  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      table_add (table, get_text (item, "name"));
      table_add_number (table, get_number (item, "version"));
      table_add_number (table, get_number (item, "revision"));
    }
  table_print (table);
  table_free (table);
  answer_free (&answer);
  return CTL_OK;
}

ctl_exit_t
get_object (const ctl_t *ctl, const char *collection, const char *name)
{
  char *path = admin_path (collection, name, "");
  answer_t answer;
  char what[128];
  ctl_exit_t result;

  (void)snprintf (what, sizeof what, "%s get %s", collection, name);
  result = admin_call (ctl, what, "GET", path, NULL, &answer);
  free (path);
  if (result != CTL_OK)
    return result;
  if (ctl->json)
    print_json (answer.root);
  else
    {
      const char *body = get_text (answer.root, "body");
      size_t length = strlen (body);

      printf ("%s%s", body,
              length > 0 && body[length - 1] == '\n' ? "" : "\n");
    }
  answer_free (&answer);
  return CTL_OK;
}

/* Errors name the object after the file, so that they read alike in a check
   and in a put.  */
ctl_exit_t
check_object (const ctl_t *ctl, const char *collection, const char *file)
{
  const char *slash = strrchr (file, '/');
  char name[64];
  char what[128];
  char *body = read_file (file);
  char *path;
  answer_t answer;
  ctl_exit_t result;

  if (body == NULL)
    return CTL_REFUSED;
  (void)snprintf (name, sizeof name, "%s", slash == NULL ? file : slash + 1);
  name[strcspn (name, ".")] = '\0';
  path = admin_path (collection, name[0] == '\0' ? "file" : name, "/check");
  (void)snprintf (what, sizeof what, "%s check %s", collection, file);
  result = admin_call (ctl, what, "POST", path, body, &answer);
  free (path);
  free (body);
  if (result != CTL_OK)
    return result;
  if (ctl->json)
    print_json (answer.root);
  else
    printf ("%s: valid\n", file);
  answer_free (&answer);
  return CTL_OK;
}

ctl_exit_t
put_object (const ctl_t *ctl, const char *collection, const char *name,
            const char *file)
{
  char subject[128];
  char what[128];
  char *body = read_file (file);
  char *path;
  answer_t answer;
  ctl_exit_t result;

  if (body == NULL)
    return CTL_REFUSED;
  path = admin_path (collection, name, "");
  (void)snprintf (what, sizeof what, "%s put %s", collection, name);
  (void)snprintf (subject, sizeof subject, "%s %s stored",
                  singular (collection), name);
  result = admin_call (ctl, what, "PUT", path, body, &answer);
  free (path);
  free (body);
  return finish_change (ctl, result, subject, &answer);
}

ctl_exit_t
delete_object (const ctl_t *ctl, const char *collection, const char *name)
{
  char *path = admin_path (collection, name, "");
  char subject[128];
  char what[128];
  answer_t answer;
  ctl_exit_t result;

  (void)snprintf (what, sizeof what, "%s delete %s", collection, name);
  (void)snprintf (subject, sizeof subject, "%s %s deleted",
                  singular (collection), name);
  result = admin_call (ctl, what, "DELETE", path, NULL, &answer);
  free (path);
  return finish_change (ctl, result, subject, &answer);
}

ctl_exit_t
mark (const ctl_t *ctl, const char *collection, const char *name,
      const char *verb)
{
  char suffix[16];
  char subject[128];
  char what[128];
  char *path;
  answer_t answer;
  ctl_exit_t result;

  (void)snprintf (suffix, sizeof suffix, "/%s", verb);
  (void)snprintf (what, sizeof what, "%s %s %s", singular (collection), name,
                  verb);
  (void)snprintf (subject, sizeof subject, "%s %s is %s",
                  singular (collection), name,
                  strcmp (verb, "forget") == 0 ? "forgotten" : verb);
  path = admin_path (collection, name, suffix);
  result = admin_call (ctl, what, "PUT", path, NULL, &answer);
  free (path);
  return finish_change (ctl, result, subject, &answer);
}

static ctl_exit_t
finish_change (const ctl_t *ctl, ctl_exit_t result, const char *subject,
               answer_t *answer)
{
  if (result != CTL_OK)
    return result;
  if (ctl->json)
    print_json (answer->root);
  else if (get_number (answer->root, "revision") == 0)
    printf ("%s: no change\n", subject);
  else
    printf ("%s: version %" PRIu64 ", revision %" PRIu64 "\n", subject,
            get_number (answer->root, "version"),
            get_number (answer->root, "revision"));
  answer_free (answer);
  return CTL_OK;
}

static const char *
singular (const char *collection)
{
  if (strcmp (collection, "profiles") == 0)
    return "profile";
  if (strcmp (collection, "services") == 0)
    return "service";
  if (strcmp (collection, "groups") == 0)
    return "group";
  if (strcmp (collection, "instances") == 0)
    return "instance";
  return "data centre";
}

/* "-" is standard input.  Prints an error and returns NULL on failure.  */
static char *
read_file (const char *file)
{
  FILE *stream = strcmp (file, "-") == 0 ? stdin : fopen (file, "re");
  char *text = NULL;
  size_t length;

  if (stream == NULL)
    {
      warn ("%s", file);
      return NULL;
    }
  text = malloc (BODY_BYTES_MAX + 1);
  if (text == NULL)
    err (CTL_REFUSED, "%s", file);
  length = fread (text, 1, BODY_BYTES_MAX + 1, stream);
  if (ferror (stream))
    warn ("%s", file);
  else if (length > BODY_BYTES_MAX)
    warnx ("%s: longer than %d bytes", file, BODY_BYTES_MAX);
  else if (memchr (text, '\0', length) != NULL)
    warnx ("%s: has a NUL byte", file);
  else
    {
      text[length] = '\0';
      if (stream != stdin)
        (void)fclose (stream);
      return text;
    }
  if (stream != stdin)
    (void)fclose (stream);
  free (text);
  return NULL;
}
