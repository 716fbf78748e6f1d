/**
 * Switches the logging library on. It reads this variable once, when it is loaded, and otherwise
 * discards all messages; so this module must be imported before it.
 */

import process from "node:process";

process.env["ROARR_LOG"] = "true";
