// Bundles the program of the users' platform into one file, so that it starts quickly.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/entry.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: true,
  legalComments: "none",
  // Defines require for bundled CommonJS modules, because an ES module has none.
  banner: {
    js:
      'import { createRequire as __createRequire } from "node:module"; const require = __createRequire(import.meta.url);',
  },
});
