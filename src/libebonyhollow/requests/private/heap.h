/* EbHeap: a binary heap of pointers whose items know their position, so that
 * any item is removed in O(log n).
 *
 * An item stores its position through `set_position`; it is in at most one
 * place of one heap per position field. */
#ifndef EB_HEAP_H
#define EB_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EB_HEAP_NONE UINT32_MAX

typedef struct {
    bool (*before)(const void *left, const void *right);
    void (*set_position)(void *item, uint32_t position);
} EbHeapClass;

typedef struct {
    const EbHeapClass *class;
    void **items;
    uint32_t count;
    uint32_t capacity;
} EbHeap;

void EbHeap_Init(EbHeap *heap, const EbHeapClass *class);
void EbHeap_Clear(EbHeap *heap);

/* Returns the first item, or NULL when the heap is empty. */
void *EbHeap_First(const EbHeap *heap);

void EbHeap_Insert(EbHeap *heap, void *item);

/* Removes the item at a position and returns it. */
void *EbHeap_RemoveAt(EbHeap *heap, uint32_t position);

#endif
