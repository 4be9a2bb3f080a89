/* The plan: kinds of requests and their weights. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

static void
read_kind(RequestKind *kind, json_t *item)
{
    const char *name, *customer, *pipeline, *token, *suffix = "";
    int weight = 1, keyed = 0, stream = 0, timeout_ms = 11000;
    json_error_t error;
    if (json_unpack_ex(
            item, &error, 0, "{s:s, s:s, s:s, s:s, s?i, s?b, s?b, s?i, s?s}",
            "name", &name, "customer", &customer, "pipeline", &pipeline,
            "token", &token, "weight", &weight, "keyed", &keyed, "stream",
            &stream, "timeout_ms", &timeout_ms, "suffix", &suffix) != 0) {
        fprintf(stderr, "load: plan: %s\n", error.text);
        exit(2);
    }
    *kind = (RequestKind){.name = g_strdup(name),
                          .customer = g_strdup(customer),
                          .pipeline = g_strdup(pipeline),
                          .token = g_strdup(token),
                          .weight = (uint32_t)weight,
                          .keyed = keyed,
                          .stream = stream,
                          .timeout_us = timeout_ms * 1000LL,
                          .suffix = g_strdup(suffix)};
}

void
Plan_Read(Load *load, const char *file, const char *only)
{
    json_error_t error;
    json_t *plan = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
    if (plan == NULL) {
        fprintf(stderr, "load: %s:%d:%d: %s\n", file, error.line, error.column,
                error.text);
        exit(2);
    }
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(plan, "requests"), index, item)
    {
        const char *name = json_string_value(json_object_get(item, "name"));
        if (load->kind_count >= MAX_KINDS ||
            (only != NULL && (name == NULL || strcmp(name, only) != 0))) {
            continue;
        }
        read_kind(&load->kinds[load->kind_count], item);
        load->weight_sum += load->kinds[load->kind_count].weight;
        load->kind_count++;
    }
    json_decref(plan);
    if (load->weight_sum == 0) {
        fprintf(stderr, "load: %s: no kind of request has a weight above 0\n",
                file);
        exit(2);
    }
}

const RequestKind *
Plan_ChooseKind(Load *load, uint32_t *index)
{
    uint64_t remaining = EbRandom_Below(&load->random, load->weight_sum);
    uint32_t i = 0;
    while (remaining >= load->kinds[i].weight) {
        remaining -= load->kinds[i].weight;
        i++;
    }
    *index = i;
    return &load->kinds[i];
}

void
Plan_Clear(Load *load)
{
    for (uint32_t i = 0; i < load->kind_count; i++) {
        g_free(load->kinds[i].name);
        g_free(load->kinds[i].customer);
        g_free(load->kinds[i].pipeline);
        g_free(load->kinds[i].token);
        g_free(load->kinds[i].suffix);
    }
}
