/**
 * Binary heap that knows where each item stands, so that an item is removed or moved in logarithmic
 * time. The fair queue holds each request in several orders at once and takes it out of all.
 */

/** Heap of distinct items; the item that compares lowest is at the top. */
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

  /** Gets the lowest item without removing it. */
  getTop(): T | undefined {
    return this.#items[0];
  }

  /** Adds an item, or moves it when it is already held. */
  add(item: T): void {
    if (this.#positions.has(item)) {
      this.update(item);
      return;
    }
    this.#items.push(item);
    this.#positions.set(item, this.#items.length - 1);
    this.#raise(this.#items.length - 1);
  }

  /** Moves an item whose order changed. An item that is not held is ignored. */
  update(item: T): void {
    const index = this.#positions.get(item);
    if (index === undefined) return;
    this.#lower(this.#raise(index));
  }

  /** Removes an item and tells whether it was held. */
  remove(item: T): boolean {
    const index = this.#positions.get(item);
    if (index === undefined) return false;
    const last = this.#items.pop() as T;
    this.#positions.delete(item);
    if (last !== item) {
      this.#place(last, index);
      this.#lower(this.#raise(index));
    }
    return true;
  }

  #place(item: T, index: number): void {
    this.#items[index] = item;
    this.#positions.set(item, index);
  }

  #raise(start: number): number {
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

  #lower(start: number): void {
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
