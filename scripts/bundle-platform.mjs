// Bundles the program of the users' platform, so that it starts quickly: all modules are in one
// file, and the compiled code of all functions is stored beside it.
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { build } from "esbuild";

const [folder = "target"] = process.argv.slice(2);

await build({
  entryPoints: ["platform/main.ts"],
  outfile: join(folder, "entry.bundle.cjs"),
  bundle: true,
  platform: "node",
  target: "node20",
  // A CommonJS file starts faster than an ES module.
  format: "cjs",
  minify: true,
  keepNames: true,
  legalComments: "none",
});

// Compiled code is used only by a process with the same flags.
const [, flags] = readFileSync("deploy/system.toml", "utf8").match(
  /^run = "node (.*) target\/entry\.cjs"$/m,
);
copyFileSync("scripts/bundle-launcher.cjs", join(folder, "entry.cjs"));
execFileSync(
  process.execPath,
  [...flags.split(" "), join(folder, "entry.cjs"), "--store-compiled-code"],
  { env: {}, stdio: "ignore" },
);
