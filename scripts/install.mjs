// Installs the locked dependencies if they are missing or older than the lock file, so that
// every command of the README works in a fresh clone. Linked modules are left as they are.
import { spawnSync } from "node:child_process";
import { existsSync, lstatSync, statSync } from "node:fs";
import process from "node:process";

const installedMarker = "node_modules/.package-lock.json";
const isLinked = existsSync("node_modules") &&
  lstatSync("node_modules").isSymbolicLink();
const isCurrent = existsSync(installedMarker) &&
  statSync(installedMarker).mtimeMs >= statSync("package-lock.json").mtimeMs;
if (!isLinked && !isCurrent) {
  const result = spawnSync("npm", [
    "ci",
    "--no-audit",
    "--no-fund",
    "--loglevel=error",
  ], {
    stdio: ["ignore", 2, 2],
  });
  process.exit(result.status ?? 1);
}
