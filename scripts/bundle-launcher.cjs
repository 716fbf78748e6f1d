// Runs the bundle beside this file with the compiled code that an earlier process has stored. The
// code is compiled again if there is none or if it was compiled by another version of Node.js.
const { readFileSync, writeFileSync } = require("node:fs");
const { createRequire, wrap } = require("node:module");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const filename = join(__dirname, "entry.bundle.cjs");
const compiledCodePath = join(__dirname, "entry.bundle.cache");

function readCompiledCode() {
  try {
    return readFileSync(compiledCodePath);
  } catch (error) {
    if (error.code === "ENOENT") return undefined;
    throw error;
  }
}

const storesCompiledCode = process.argv.includes("--store-compiled-code");
// Otherwise each process compiles the functions that it calls, which takes more processor time than
// to read them.
if (storesCompiledCode) setFlagsFromString("--no-lazy");
const script = new Script(wrap(readFileSync(filename, "utf8")), {
  filename,
  cachedData: readCompiledCode(),
});
if (storesCompiledCode) {
  // Compiled code is used only by a process with the same flags.
  setFlagsFromString("--lazy");
  // The program ends at once, since it has no settings.
  process.on("exit", () => {
    writeFileSync(compiledCodePath, script.createCachedData());
    process.exitCode = 0;
  });
}
if (process.argv.includes("--check-compiled-code")) {
  process.exit(script.cachedDataRejected === false ? 0 : 1);
}
const program = { exports: {} };
script.runInThisContext().call(
  program.exports,
  program.exports,
  createRequire(filename),
  program,
  filename,
  __dirname,
);
