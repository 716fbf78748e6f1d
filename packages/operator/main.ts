#!/usr/bin/env node
/** Entry point of the program `rosemaryrudder`, the operators' tool. */

import process from "node:process";
import { exitWithError } from "../common/program.ts";
import { programName } from "./constants.ts";
import { runOperatorProgram } from "./program.ts";

try {
  process.exitCode = await runOperatorProgram({ args: process.argv.slice(2) });
} catch (error) {
  exitWithError(programName, error);
}
