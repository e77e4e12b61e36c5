/** Ends the processes of a test if the test itself ends without doing so. It learns their ids over its channel. */
const pids = new Set();
process.on("message", ({ pid, isStarted }) => void (isStarted ? pids.add(pid) : pids.delete(pid)));
process.on("disconnect", () => {
  for (const pid of pids) {
    try {
      process.kill(pid, "SIGKILL");
    } catch {
      // It has ended.
    }
  }
  process.exit(0);
});
