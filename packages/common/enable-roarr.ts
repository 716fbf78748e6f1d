/**
 * Turns the log library on. It reads this variable of the environment once, when it is first
 * imported, so this module has to be imported before it.
 */

import process from "node:process";

process.env["ROARR_LOG"] = "true";
