#!/usr/bin/env node
/** Entry point of the operators' tool without the commands that need the platform's adapter. */

import { runOperatorProcess } from "./program.ts";

await runOperatorProcess();
