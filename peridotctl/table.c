#include "ctl.h"

#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 8

struct table
{
  int columns;            /* at most COLUMNS_MAX */
  size_t count;           /* number of cells */
  char **cells;           /* texts of the cells, row by row */
  int width[COLUMNS_MAX]; /* bytes of the longest cell of each column */
};

table_t *
table_new (int columns)
{
  table_t *table = calloc (1, sizeof *table);

  if (table == NULL)
    err (CTL_REFUSED, "table");
  table->columns = columns;
  return table;
}

void
table_add (table_t *table, const char *cell)
{
  int *width = &table->width[table->count % (size_t)table->columns];
  int length = (int)strlen (cell);

  table->cells
      = reallocarray (table->cells, table->count + 1, sizeof *table->cells);
  if (table->cells == NULL
      || (table->cells[table->count] = strdup (cell)) == NULL)
    err (CTL_REFUSED, "table");
  table->count++;
  if (length > *width)
    *width = length;
}

void
table_add_number (table_t *table, uint64_t number)
{
  char text[24];

  (void)snprintf (text, sizeof text, "%" PRIu64, number);
  table_add (table, text);
}

void
table_print (const table_t *table)
{
  for (size_t i = 0; i < table->count; i++)
    {
      int column = (int)(i % (size_t)table->columns);
      bool is_last = column == table->columns - 1;

      printf ("%-*s%s", is_last ? 0 : table->width[column], table->cells[i],
              is_last ? "\n" : "  ");
    }
}

void
table_free (table_t *table)
{
  for (size_t i = 0; i < table->count; i++)
    free (table->cells[i]);
  free (table->cells);
  free (table);
}
