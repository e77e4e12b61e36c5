/**
 * A caller in a process of its own, so that it sends a request while the server's process stands still.
 *
 * @module
 */
import { connect } from "node:net";
import { splitAddress } from "../http_listener.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
/** Milliseconds from the message that the stall may begin until the request is sent. */
const SEND_DELAY = 250;

const [, , address = "", kind] = process.argv;
const [host, port] = splitAddress(address);
const socket = connect({ host, port });
let received = "";

/** Has the server's process begin its stall, and sends a request during it. */
function sendDuringStall(): void {
  received = "";
  process.send?.("ready");
  setTimeout(() => socket.write(REQUEST), SEND_DELAY);
}

socket.on("data", (bytes) => {
  const isFirst = received === "" && kind === "kept" && !hasBegun;
  received += String(bytes);
  if (!received.endsWith("yes")) return;
  if (!isFirst) process.send?.(received);
  else {
    hasBegun = true;
    sendDuringStall();
  }
});
let hasBegun = false;
socket.on("connect", () => {
  if (kind === "kept") socket.write(REQUEST);
  else sendDuringStall();
});
socket.on("error", () => undefined);
socket.on("close", () => process.send?.(`closed after: ${received}`));
