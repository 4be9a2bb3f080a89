/* Injects faults at every step of a request: one, the same twice, pairs, and
 * random sequences.
 *
 * Usage: test_fault_matrix [--seed N | --write FILE]
 *
 * --seed runs one random sequence, --write writes the table to
 * FILE as docs/fault-matrix.md. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "matrix.h"
#include "sequences.h"
#include "test_page.h"
#include "test_runner.h"

static int
write_page(const char *file)
{
    GString *text = Matrix_Format();
    int status = EbTest_WritePage(file, text->str);
    g_string_free(text, TRUE);
    return status;
}

int
main(int argc, char **argv)
{
    if (argc == 3 && strcmp(argv[1], "--seed") == 0) {
        return Sequences_Run(strtoull(argv[2], NULL, 10), 1) ? 0 : 1;
    }
    if (argc == 3 && strcmp(argv[1], "--write") == 0) {
        return write_page(argv[2]);
    }
    static const EbTestCase cases[] = {
        {"single faults", test_single_faults},
        {"repeated faults", test_repeated_faults},
        {"pairs of faults", test_pairs},
        {"documentation page", test_page},
        {"random sequences", test_sequences},
    };
    return EbTest_Run("test_fault_matrix", cases, TABLE_COUNT(cases));
}
