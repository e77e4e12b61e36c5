/**
 * Finds out which of the processes that a test has started owns the other end of a loopback connection.
 *
 * All instances have the same source address on loopback. So a stand-in of a link, which has to treat the connections of
 * one machine differently, needs the process.
 */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";

/** Returns the process id among `pids` that owns the connection's other end; undefined if none does. */
export function ownerOf(socket, pids) {
  if (pids.length === 0) return undefined;
  const inode = inodeOf(socket.remoteAddress, socket.remotePort, socket.localPort);
  if (inode === undefined) return undefined;
  return pids.find((pid) => ownsSocket(pid, inode));
}

function inodeOf(address, port, peerPort) {
  const hex = (number, digits) => number.toString(16).toUpperCase().padStart(digits, "0");
  const ip = String(address)
    .replace(/^::ffff:/, "")
    .split(".")
    .map(Number)
    .reverse()
    .map((part) => hex(part, 2))
    .join("");
  const local = `${ip}:${hex(port, 4)}`;
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1)) {
    const fields = line.trim().split(/\s+/);
    if (fields[1] === local && fields[2]?.endsWith(`:${hex(peerPort, 4)}`)) return fields[9];
  }
  return undefined;
}

function ownsSocket(pid, inode) {
  try {
    return readdirSync(`/proc/${pid}/fd`).some((fd) => {
      try {
        return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`;
      } catch {
        return false;
      }
    });
  } catch {
    return false;
  }
}
