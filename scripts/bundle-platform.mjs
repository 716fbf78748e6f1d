// Bundles the program of the users' platform into one file, so that it starts quickly.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/entry.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  // A CommonJS file starts faster than an ES module.
  format: "cjs",
  minify: true,
  keepNames: true,
  legalComments: "none",
});
