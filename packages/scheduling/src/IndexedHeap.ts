/**
 * Binary heap with an index of item positions, so that any item can be removed or reordered in
 * logarithmic time. The fair queue keeps each request in several heaps with different orders and
 * removes it from all of them.
 */

/** Heap of distinct items; the item that `compare` orders first is at the top. */
export class IndexedHeap<T> {
  readonly #compare: (a: T, b: T) => number;

  readonly #items: T[] = [];

  readonly #positions = new Map<T, number>();

  constructor(compare: (a: T, b: T) => number) {
    this.#compare = compare;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /** Gets the first item without removing it; undefined if the heap is empty. */
  getTop(): T | undefined {
    return this.#items[0];
  }

  /** Adds an item, or restores its position if the heap already contains it. */
  add(item: T): void {
    if (this.#positions.has(item)) {
      this.update(item);
      return;
    }
    this.#items.push(item);
    this.#positions.set(item, this.#items.length - 1);
    this.#siftUp(this.#items.length - 1);
  }

  /** Restores the position of an item after its order changed; ignores unknown items. */
  update(item: T): void {
    const index = this.#positions.get(item);
    if (index === undefined) return;
    this.#siftDown(this.#siftUp(index));
  }

  /** Removes an item; returns whether the heap contained it. */
  remove(item: T): boolean {
    const index = this.#positions.get(item);
    if (index === undefined) return false;
    const last = this.#items.pop() as T;
    this.#positions.delete(item);
    if (last !== item) {
      this.#place(last, index);
      this.#siftDown(this.#siftUp(index));
    }
    return true;
  }

  #place(item: T, index: number): void {
    this.#items[index] = item;
    this.#positions.set(item, index);
  }

  #siftUp(start: number): number {
    const item = this.#items[start] as T;
    let index = start;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.#items[parentIndex] as T;
      if (this.#compare(item, parent) >= 0) break;
      this.#place(parent, index);
      index = parentIndex;
    }
    this.#place(item, index);
    return index;
  }

  #siftDown(start: number): void {
    const item = this.#items[start] as T;
    const { length } = this.#items;
    let index = start;
    while (2 * index + 1 < length) {
      const left = 2 * index + 1;
      const right = left + 1;
      const isRightLower = right < length
        && this.#compare(this.#items[right] as T, this.#items[left] as T) < 0;
      const childIndex = isRightLower ? right : left;
      const child = this.#items[childIndex] as T;
      if (this.#compare(child, item) >= 0) break;
      this.#place(child, index);
      index = childIndex;
    }
    this.#place(item, index);
  }
}
