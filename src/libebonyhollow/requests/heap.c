#include "heap.h"

#include <assert.h>

#include <glib.h>

#define INITIAL_CAPACITY 4

static void
place(EbHeap *heap, uint32_t position, void *item)
{
    heap->items[position] = item;
    heap->class->set_position(item, position);
}

static void
sift_up(EbHeap *heap, uint32_t position, void *item)
{
    while (position > 0) {
        uint32_t parent = (position - 1) / 2;
        if (!heap->class->before(item, heap->items[parent])) {
            break;
        }
        place(heap, position, heap->items[parent]);
        position = parent;
    }
    place(heap, position, item);
}

static void
sift_down(EbHeap *heap, uint32_t position, void *item)
{
    for (;;) {
        uint32_t child = 2 * position + 1;
        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count &&
            heap->class->before(heap->items[child + 1], heap->items[child])) {
            child++;
        }
        if (!heap->class->before(heap->items[child], item)) {
            break;
        }
        place(heap, position, heap->items[child]);
        position = child;
    }
    place(heap, position, item);
}

void
EbHeap_Init(EbHeap *heap, const EbHeapClass *class)
{
    *heap = (EbHeap){.class = class};
}

void
EbHeap_Clear(EbHeap *heap)
{
    g_free(heap->items);
    EbHeap_Init(heap, heap->class);
}

void *
EbHeap_First(const EbHeap *heap)
{
    return heap->count > 0 ? heap->items[0] : NULL;
}

void
EbHeap_Insert(EbHeap *heap, void *item)
{
    if (heap->count == heap->capacity) {
        heap->capacity =
            heap->capacity > 0 ? heap->capacity * 2 : INITIAL_CAPACITY;
        heap->items = g_renew(void *, heap->items, heap->capacity);
    }
    sift_up(heap, heap->count++, item);
}

void *
EbHeap_RemoveAt(EbHeap *heap, uint32_t position)
{
    assert(position < heap->count);
    void *removed = heap->items[position];
    heap->class->set_position(removed, EB_HEAP_NONE);
    void *last = heap->items[--heap->count];
    if (last == removed) {
        return removed;
    }
    if (position > 0 &&
        heap->class->before(last, heap->items[(position - 1) / 2])) {
        sift_up(heap, position, last);
    }
    else {
        sift_down(heap, position, last);
    }
    return removed;
}
