#include "ctl.h"

#include <err.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest body that the admin API accepts.  */
#define BODY_BYTES_MAX (1 << 20)

static char *read_file (const char *file);
static const char *get_singular (const char *collection);
static ctl_exit_t print_change (const ctl_options_t *opts, ctl_exit_t result,
                                const char *outcome,
                                admin_response_t *response);

ctl_exit_t
ctl_list_objects (const ctl_options_t *opts, const char *collection)
{
  admin_response_t response;
  char path[32];
  char operation[32];
  ctl_exit_t result;
  json_object *list;
  table_t *table;

  (void)snprintf (path, sizeof path, "/v1/%s", collection);
  (void)snprintf (operation, sizeof operation, "%s list", collection);
  result = admin_call (opts, operation, "GET", path, NULL, &response);
  if (result != CTL_OK)
    return result;
  if (opts->json)
    {
      ctl_print_json (response.root);
      admin_response_free (&response);
      return CTL_OK;
    }
  list = ctl_get_array (response.root, collection);
  table = table_new (3);
  table_add (table, "NAME");
  table_add (table, "VERSION");
  table_add (table, "REVISION");
  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      table_add (table, ctl_get_text (item, "name"));
      table_add_number (table, ctl_get_number (item, "version"));
      table_add_number (table, ctl_get_number (item, "revision"));
    }
  table_print (table);
  table_free (table);
  admin_response_free (&response);
  return CTL_OK;
}

ctl_exit_t
ctl_get_object (const ctl_options_t *opts, const char *collection,
                const char *name)
{
  char *path = admin_path (collection, name, "");
  admin_response_t response;
  char operation[128];
  ctl_exit_t result;

  (void)snprintf (operation, sizeof operation, "%s get %s", collection, name);
  result = admin_call (opts, operation, "GET", path, NULL, &response);
  free (path);
  if (result != CTL_OK)
    return result;
  if (opts->json)
    ctl_print_json (response.root);
  else
    {
      const char *body = ctl_get_text (response.root, "body");
      size_t length = strlen (body);

      printf ("%s%s", body,
              length > 0 && body[length - 1] == '\n' ? "" : "\n");
    }
  admin_response_free (&response);
  return CTL_OK;
}

/* Checks the object in a file under the file's name without directory and
   extension, so that error messages are the same as those of a put.  */
ctl_exit_t
ctl_check_object (const ctl_options_t *opts, const char *collection,
                  const char *file)
{
  const char *slash = strrchr (file, '/');
  char name[64];
  char operation[128];
  char *body = read_file (file);
  char *path;
  admin_response_t response;
  ctl_exit_t result;

  if (body == NULL)
    return CTL_REFUSED;
  (void)snprintf (name, sizeof name, "%s", slash == NULL ? file : slash + 1);
  name[strcspn (name, ".")] = '\0';
  path = admin_path (collection, name[0] == '\0' ? "file" : name, "/check");
  (void)snprintf (operation, sizeof operation, "%s check %s", collection,
                  file);
  result = admin_call (opts, operation, "POST", path, body, &response);
  free (path);
  free (body);
  if (result != CTL_OK)
    return result;
  if (opts->json)
    ctl_print_json (response.root);
  else
    printf ("%s: valid\n", file);
  admin_response_free (&response);
  return CTL_OK;
}

ctl_exit_t
ctl_put_object (const ctl_options_t *opts, const char *collection,
                const char *name, const char *file)
{
  char outcome[128];
  char operation[128];
  char *body = read_file (file);
  char *path;
  admin_response_t response;
  ctl_exit_t result;

  if (body == NULL)
    return CTL_REFUSED;
  path = admin_path (collection, name, "");
  (void)snprintf (operation, sizeof operation, "%s put %s", collection, name);
  (void)snprintf (outcome, sizeof outcome, "%s %s stored",
                  get_singular (collection), name);
  result = admin_call (opts, operation, "PUT", path, body, &response);
  free (path);
  free (body);
  return print_change (opts, result, outcome, &response);
}

ctl_exit_t
ctl_delete_object (const ctl_options_t *opts, const char *collection,
                   const char *name)
{
  char *path = admin_path (collection, name, "");
  char outcome[128];
  char operation[128];
  admin_response_t response;
  ctl_exit_t result;

  (void)snprintf (operation, sizeof operation, "%s delete %s", collection,
                  name);
  (void)snprintf (outcome, sizeof outcome, "%s %s deleted",
                  get_singular (collection), name);
  result = admin_call (opts, operation, "DELETE", path, NULL, &response);
  free (path);
  return print_change (opts, result, outcome, &response);
}

ctl_exit_t
ctl_put_action (const ctl_options_t *opts, const char *collection,
                const char *name, const char *action)
{
  char suffix[16];
  char outcome[128];
  char operation[128];
  char *path;
  admin_response_t response;
  ctl_exit_t result;

  (void)snprintf (suffix, sizeof suffix, "/%s", action);
  (void)snprintf (operation, sizeof operation, "%s %s %s",
                  get_singular (collection), name, action);
  (void)snprintf (outcome, sizeof outcome, "%s %s is %s",
                  get_singular (collection), name,
                  strcmp (action, "forget") == 0 ? "forgotten" : action);
  path = admin_path (collection, name, suffix);
  result = admin_call (opts, operation, "PUT", path, NULL, &response);
  free (path);
  return print_change (opts, result, outcome, &response);
}

/* Prints the outcome of a successful change, with the new version and revision
   if anything was changed, and frees the response.  Prints nothing if @result
   is an error.  Returns @result.  */
static ctl_exit_t
print_change (const ctl_options_t *opts, ctl_exit_t result,
              const char *outcome, admin_response_t *response)
{
  if (result != CTL_OK)
    return result;
  if (opts->json)
    ctl_print_json (response->root);
  else if (ctl_get_number (response->root, "revision") == 0)
    printf ("%s: no change\n", outcome);
  else
    printf ("%s: version %" PRIu64 ", revision %" PRIu64 "\n", outcome,
            ctl_get_number (response->root, "version"),
            ctl_get_number (response->root, "revision"));
  admin_response_free (response);
  return CTL_OK;
}

static const char *
get_singular (const char *collection)
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

/* Returns the content of a file, or of standard input for "-".  Prints an
   error and returns NULL on failure.  */
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
