/**
 * Loopback addresses for tests that have to know a port before anything listens there.
 *
 * @module
 */

/** Bits of an address's part, and the greatest part. */
const PART_BITS = 8;
const GREATEST_PART = 255;
/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;

let nextPort = FIRST_PORT;

/**
 * Takes an `IP:PORT` where nothing listens, nor will, except what it is given to.
 *
 * Connections go out from 127.0.0.1, and no other process of the machine has this address: neither takes the port in the
 * meantime.
 */
export function takeLoopbackAddress(): string {
  return `${loopbackOf(process.pid)}:${nextPort++}`;
}

/** The address in 127.0.0.0/8 whose other 24 bits hold the process's number, for which Linux uses up to 22. */
function loopbackOf(processId: number): string {
  const parts = [processId >> (2 * PART_BITS), processId >> PART_BITS, processId];
  return [127, ...parts.map((part) => part & GREATEST_PART)].join(".");
}
