// Runs the compiled test files whose path contains one of the arguments, or all of them without
// arguments, and compares the failures with KNOWN-RED.txt. The run passes only if each failing
// test is listed there; the listed tests are always printed.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import process from "node:process";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { isAbsolute, join, relative } from "node:path";

const maximumParallelFiles = 4;
/** Output folder of the adapter of the platform and its tests. */
const platformFolder = "dist/platform/platform";

function findTestFiles(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return findTestFiles(path);
    return entry.name.endsWith(".test.js") && hasSource(path) ? [path] : [];
  });
}

// The compiler does not delete the output of removed sources, so such tests are skipped here.
function hasSource(path) {
  const source = path.replace(/\.js$/, ".ts");
  return path.startsWith(platformFolder)
    ? existsSync(source.replace(platformFolder, "platform"))
    : existsSync(source.replace(/^dist/, "packages"));
}

// Returns the names of the listed tests. Each entry starts with "test: NAME"; the lines after it
// give the command, the seed, the result and the issue.
function readKnownFailures() {
  return readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

// The name of a test; a file that fails as a whole is named by its path in the repository.
function nameOf(event) {
  return isAbsolute(event.name)
    ? relative(process.cwd(), event.name)
    : event.name;
}

const filters = process.argv.slice(2);
const files = findTestFiles("dist").filter((file) =>
  filters.length === 0 || filters.some((filter) => file.includes(filter))
).sort();
const knownFailures = readKnownFailures();
const unexpectedFailures = [];
const counts = { passed: 0, failed: 0 };

const stream = run({
  files: files.map((file) => join(process.cwd(), file)),
  concurrency: Math.min(maximumParallelFiles, availableParallelism()),
  timeout: 240_000,
});
stream.on("test:fail", (event) => {
  const isSuite = event.details?.type === "suite";
  const failureKind = event.details?.error?.failureType;
  if (isSuite || failureKind === "subtestsFailed") return;
  counts.failed += 1;
  const name = nameOf(event);
  if (!knownFailures.includes(name)) unexpectedFailures.push(name);
});
stream.on("test:pass", (event) => {
  if (event.details?.type !== "suite") counts.passed += 1;
});
stream.compose(new spec()).pipe(process.stdout);
stream.on("end", () => {
  setImmediate(() => {
    for (const name of knownFailures) console.log(`known red: ${name}`);
    for (const name of unexpectedFailures) {
      console.log(`unexpected failure: ${name}`);
    }
    console.log(`${counts.passed} passed, ${counts.failed} failed`);
    process.exitCode = unexpectedFailures.length > 0 || counts.passed === 0
      ? 1
      : 0;
  });
});
