/** Things to do at set times, earliest first; those of the same time in the order they were added. */
export interface EventQueue {
  /** The time of the one that runs or ran last, 0 at first. */
  now(): number;
  /** Adds one; a time that has passed stands for now. */
  add(at: number, run: () => void): void;
  /**
   * Runs the earliest.
   *
   * @returns False where nothing is left.
   */
  runNext(): boolean;
}

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Makes an empty queue, a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: Entry[] = [];
  let order = 0;
  let now = 0;
  return {
    now: () => now,
    add: (at, run) => {
      heap.push({ at: Math.max(now, at), order: order++, run });
      rise(heap, heap.length - 1);
    },
    runNext: () => {
      const first = heap[0];
      const last = heap.pop();
      if (first === undefined || last === undefined) return false;
      if (heap.length > 0) {
        heap[0] = last;
        sink(heap);
      }
      now = first.at;
      first.run();
      return true;
    },
  };
}

function isSooner(a: Entry, b: Entry): boolean {
  return a.at === b.at ? a.order < b.order : a.at < b.at;
}

function swapIfSooner(heap: Entry[], child: number, parent: number): boolean {
  const below = heap[child];
  const above = heap[parent];
  if (below === undefined || above === undefined || !isSooner(below, above)) return false;
  heap[child] = above;
  heap[parent] = below;
  return true;
}

function rise(heap: Entry[], from: number): void {
  let child = from;
  while (child > 0) {
    const parent = (child - 1) >> 1;
    if (!swapIfSooner(heap, child, parent)) return;
    child = parent;
  }
}

function sink(heap: Entry[]): void {
  let parent = 0;
  for (;;) {
    const left = heap[2 * parent + 1];
    const right = heap[2 * parent + 2];
    if (left === undefined) return;
    const child = right !== undefined && isSooner(right, left) ? 2 * parent + 2 : 2 * parent + 1;
    if (!swapIfSooner(heap, child, parent)) return;
    parent = child;
  }
}
