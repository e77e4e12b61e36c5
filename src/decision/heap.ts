/**
 * A binary heap: the first element according to `before` is removed first. Each operation takes
 * O(log n).
 */
export interface Heap<Element> {
  readonly size: number;
  push(element: Element): void;
  /** Returns the first element without removing it. */
  peek(): Element | undefined;
  /** Removes and returns the first element. */
  pop(): Element | undefined;
  /** Returns all elements, in no particular order. */
  values(): readonly Element[];
}

/**
 * Creates an empty heap.
 *
 * @param before Returns whether `a` is removed before `b`.
 */
export function createHeap<Element>(before: (a: Element, b: Element) => boolean): Heap<Element> {
  const elements: Element[] = [];
  const elementAt = (index: number): Element => elements[index] as Element;
  const swap = (a: number, b: number): void => {
    const moved = elementAt(a);
    elements[a] = elementAt(b);
    elements[b] = moved;
  };
  const siftUp = (from: number): void => {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!before(elementAt(index), elementAt(parent))) return;
      swap(index, parent);
      index = parent;
    }
  };
  const firstOf = (a: number, b: number): number => {
    if (b >= elements.length) return a;
    return before(elementAt(b), elementAt(a)) ? b : a;
  };
  const siftDown = (): void => {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= elements.length) return;
      const child = firstOf(left, left + 1);
      if (!before(elementAt(child), elementAt(index))) return;
      swap(index, child);
      index = child;
    }
  };
  return {
    get size() {
      return elements.length;
    },
    push: (element) => {
      elements.push(element);
      siftUp(elements.length - 1);
    },
    peek: () => elements[0],
    pop: () => {
      const first = elements[0];
      const last = elements.pop();
      if (elements.length > 0 && last !== undefined) {
        elements[0] = last;
        siftDown();
      }
      return first;
    },
    values: () => elements,
  };
}
