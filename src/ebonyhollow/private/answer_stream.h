/* EbAnswerStream: the event stream of a streamed answer (docs/api.md). */
#ifndef EB_ANSWER_STREAM_H
#define EB_ANSWER_STREAM_H

#include <stdbool.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#define EB_ANSWER_STREAM_MAX_LINE_BYTES 1048576

typedef struct {
    FILE *out;     /* receives the text of tokens as they arrive, or NULL */
    GString *line; /* incomplete line */
    GString *event;
    GString *data;
    json_t *outcome; /* data of the outcome event, NULL until it came */
    bool broken;     /* a line is too long */
} EbAnswerStream;

void EbAnswerStream_Init(EbAnswerStream *stream, FILE *out);
void EbAnswerStream_Clear(EbAnswerStream *stream);

/* Takes bytes of the stream; for EbHttpRequest.chunk. */
void EbAnswerStream_Feed(void *context, const char *bytes, size_t count);

#endif
