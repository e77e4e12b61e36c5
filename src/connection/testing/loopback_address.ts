/**
 * Loopback addresses for tests that need a port number before a process listens on it.
 *
 * A free port that the system picked may be taken by another process, or by an outgoing connection, before
 * the test binds it. The test then fails because the address is in use. Here each process uses its own
 * loopback address, so no other process can take its ports.
 *
 * @module
 */

/** Number of bits and maximum value of an octet of an IPv4 address. */
const OCTET_BITS = 8;
const MAX_OCTET = 255;
/** First port; it is below the range that the system uses for outgoing connections. */
const FIRST_PORT = 10_000;

let nextPort = FIRST_PORT;

/**
 * Returns an `IP:PORT` that nothing else uses.
 *
 * Outgoing connections use 127.0.0.1, and no other process on the machine uses this address, so neither can
 * take the port before the test binds it.
 */
export function reserveLoopbackAddress(): string {
  return `${loopbackAddressOf(process.pid)}:${nextPort++}`;
}

/** Returns the address in 127.0.0.0/8 whose lower 24 bits are the process id, which has at most 22 on Linux. */
function loopbackAddressOf(processId: number): string {
  const octets = [processId >> (2 * OCTET_BITS), processId >> OCTET_BITS, processId];
  return [127, ...octets.map((octet) => octet & MAX_OCTET)].join(".");
}
