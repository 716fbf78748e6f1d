/** Resolves the paths of the compiled programs. */

import { fileURLToPath } from "node:url";

/** Path of the main module in a folder of dist. */
export function programPath(folder: string): string {
  return fileURLToPath(new URL(`../${folder}/main.js`, import.meta.url));
}
