/* EbHeap: a binary heap of pointers. Each item stores its own position, so any
 * item can be removed in O(log n).
 *
 * The heap updates an item's position through `set_position`. An item that is
 * in several heaps needs a position member for each of them. */
#ifndef EB_HEAP_H
#define EB_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EB_HEAP_NONE UINT32_MAX /* position of an item outside the heap */

typedef struct {
    /* Returns whether `left` comes before `right`. */
    bool (*before)(const void *left, const void *right);
    void (*set_position)(void *item, uint32_t position);
} EbHeapClass;

typedef struct {
    const EbHeapClass *class;
    void **items;
    uint32_t count;
    uint32_t capacity;
} EbHeap;

/* Makes an empty heap. `class` must outlive it. */
void EbHeap_Init(EbHeap *heap, const EbHeapClass *class);

/* Empties a heap and frees its array. The items belong to the caller and their
 * positions are not updated. */
void EbHeap_Clear(EbHeap *heap);

/* Returns the first item, or NULL when the heap is empty. */
void *EbHeap_First(const EbHeap *heap);

void EbHeap_Insert(EbHeap *heap, void *item);

/* Removes and returns the item at `position`, which must be less than the
 * count. */
void *EbHeap_RemoveAt(EbHeap *heap, uint32_t position);

#endif
