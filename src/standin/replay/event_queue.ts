/** Callbacks ordered by time, and at the same time by insertion. */
export interface EventQueue {
  /** Returns the time of the callback that ran last or is running; 0 at first. */
  now(): number;
  /** Adds a callback. A time in the past counts as now. */
  add(at: number, run: () => void): void;
  /**
   * Runs the earliest callback.
   *
   * @returns False if the queue is empty.
   */
  runNext(): boolean;
}

interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Creates an empty queue, backed by a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: QueuedEvent[] = [];
  let nextOrder = 0;
  let now = 0;
  return {
    now: () => now,
    add: (at, run) => {
      heap.push({ at: Math.max(now, at), order: nextOrder++, run });
      siftUp(heap, heap.length - 1);
    },
    runNext: () => {
      const first = heap[0];
      const last = heap.pop();
      if (first === undefined || last === undefined) return false;
      if (heap.length > 0) {
        heap[0] = last;
        siftDown(heap);
      }
      now = first.at;
      first.run();
      return true;
    },
  };
}

function isEarlier(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.at === b.at ? a.order < b.order : a.at < b.at;
}

function swapIfEarlier(heap: QueuedEvent[], child: number, parent: number): boolean {
  const childEvent = heap[child];
  const parentEvent = heap[parent];
  if (childEvent === undefined || parentEvent === undefined || !isEarlier(childEvent, parentEvent))
    return false;
  heap[child] = parentEvent;
  heap[parent] = childEvent;
  return true;
}

function siftUp(heap: QueuedEvent[], from: number): void {
  let child = from;
  while (child > 0) {
    const parent = (child - 1) >> 1;
    if (!swapIfEarlier(heap, child, parent)) return;
    child = parent;
  }
}

function siftDown(heap: QueuedEvent[]): void {
  let parent = 0;
  for (;;) {
    const left = heap[2 * parent + 1];
    const right = heap[2 * parent + 2];
    if (left === undefined) return;
    const child = right !== undefined && isEarlier(right, left) ? 2 * parent + 2 : 2 * parent + 1;
    if (!swapIfEarlier(heap, child, parent)) return;
    parent = child;
  }
}
