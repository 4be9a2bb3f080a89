#include "answer_stream.h"

#include <string.h>

#include "output.h"

void
EbAnswerStream_Init(EbAnswerStream *stream, FILE *out)
{
    *stream = (EbAnswerStream){.out = out,
                               .line = g_string_new(NULL),
                               .event = g_string_new(NULL),
                               .data = g_string_new(NULL)};
}

void
EbAnswerStream_Clear(EbAnswerStream *stream)
{
    g_string_free(stream->line, TRUE);
    g_string_free(stream->event, TRUE);
    g_string_free(stream->data, TRUE);
    json_decref(stream->outcome);
    *stream = (EbAnswerStream){0};
}

static void
dispatch_event(EbAnswerStream *stream)
{
    json_t *data = json_loadb(stream->data->str, stream->data->len,
                              JSON_REJECT_DUPLICATES, NULL);
    if (strcmp(stream->event->str, "token") == 0) {
        const char *text = json_string_value(json_object_get(data, "text"));
        if (text != NULL && stream->out != NULL) {
            EbOutput_Text(stream->out, text);
            fflush(stream->out);
        }
    }
    else if (strcmp(stream->event->str, "outcome") == 0 &&
             stream->outcome == NULL) {
        stream->outcome = json_incref(data);
    }
    json_decref(data);
    g_string_set_size(stream->event, 0);
    g_string_set_size(stream->data, 0);
}

static void
take_line(EbAnswerStream *stream)
{
    const char *line = stream->line->str;
    if (line[0] == '\0') {
        dispatch_event(stream);
        return;
    }
    GString *field = NULL;
    if (g_str_has_prefix(line, "event:")) {
        field = stream->event;
        line += strlen("event:");
    }
    else if (g_str_has_prefix(line, "data:")) {
        field = stream->data;
        line += strlen("data:");
    }
    if (field == NULL) {
        return; /* a comment or another field */
    }
    if (field == stream->data && field->len > 0) {
        g_string_append_c(field, '\n');
    }
    if (field->len <= EB_ANSWER_STREAM_MAX_LINE_BYTES) {
        g_string_append(field, line[0] == ' ' ? line + 1 : line);
    }
}

void
EbAnswerStream_Feed(void *context, const char *bytes, size_t count)
{
    EbAnswerStream *stream = context;
    for (size_t i = 0; i < count && !stream->broken; i++) {
        if (bytes[i] == '\n') {
            if (g_str_has_suffix(stream->line->str, "\r")) {
                g_string_truncate(stream->line, stream->line->len - 1);
            }
            take_line(stream);
            g_string_set_size(stream->line, 0);
        }
        else if (stream->line->len < EB_ANSWER_STREAM_MAX_LINE_BYTES) {
            g_string_append_c(stream->line, bytes[i]);
        }
        else {
            stream->broken = true;
        }
    }
}
