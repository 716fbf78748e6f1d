/**
 * Enables the output of the log library Roarr, which reads the environment variable ROARR_LOG
 * only once, when it is first imported. This module must therefore be imported before it.
 */

import process from "node:process";

process.env["ROARR_LOG"] = "true";
