/* EbAnswerStream: parses the event stream of a streamed answer
 * (docs/api.md). */
#ifndef EB_ANSWER_STREAM_H
#define EB_ANSWER_STREAM_H

#include <stdbool.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#define EB_ANSWER_STREAM_MAX_LINE_BYTES 1048576

typedef struct {
    FILE *out;       /* receives the text of tokens as they arrive, or NULL */
    GString *line;   /* incomplete line */
    GString *event;  /* name of the incomplete event */
    GString *data;   /* data of the incomplete event */
    json_t *outcome; /* data of the first outcome event; NULL before it */
    bool line_too_long; /* the rest of the stream is ignored */
} EbAnswerStream;

/* Initializes a parser. `out` is borrowed and may be NULL. */
void EbAnswerStream_Init(EbAnswerStream *stream, FILE *out);

/* Frees the members, including `outcome`. */
void EbAnswerStream_Clear(EbAnswerStream *stream);

/* Parses the next bytes of the stream. `context` is the EbAnswerStream: the
 * function serves as EbHttpRequest.handle_chunk. */
void EbAnswerStream_Feed(void *context, const char *bytes, size_t count);

#endif
