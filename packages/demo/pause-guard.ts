/**
 * Helper process that resumes paused processes when the launcher has exited. A process stopped by
 * SIGSTOP cannot notice that its standard input has closed, so without the guard it would outlive
 * a launcher that was killed. Each input line is "pause PID" or "resume PID".
 */

import process from "node:process";
import { createInterface } from "node:readline";

const pausedProcesses = new Set<number>();
const lines = createInterface({ input: process.stdin });
lines.on("line", (line) => {
  const [command, pid] = line.split(" ");
  if (command === "pause") pausedProcesses.add(Number(pid));
  else pausedProcesses.delete(Number(pid));
});
lines.on("close", () => {
  for (const pid of pausedProcesses) {
    try {
      process.kill(pid, "SIGCONT");
    } catch {
      // The process has already exited.
    }
  }
  process.exit(0);
});
// Terminal signals reach the whole process group, but the guard must outlive the launcher.
process.on("SIGINT", () => {});
process.on("SIGTERM", () => {});
