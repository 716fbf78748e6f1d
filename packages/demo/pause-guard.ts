/**
 * A process that wakes paused processes when the launcher is gone. A stopped process cannot see
 * that its standard input has closed, so without this it would outlive a launcher that was
 * killed. Each input line is "pause PID" or "resume PID".
 */

import process from "node:process";
import { createInterface } from "node:readline";

const paused = new Set<number>();
const lines = createInterface({ input: process.stdin });
lines.on("line", (line) => {
  const [command, text] = line.split(" ");
  if (command === "pause") paused.add(Number(text));
  else paused.delete(Number(text));
});
lines.on("close", () => {
  for (const pid of paused) {
    try {
      process.kill(pid, "SIGCONT");
    } catch {
      // The process has ended in the meantime.
    }
  }
  process.exit(0);
});
// Signals of the terminal reach the whole process group; the guard outlasts the launcher.
process.on("SIGINT", () => {});
process.on("SIGTERM", () => {});
