/** Constants of the control state. */

import { brandAs, type StreamName } from "../common/ids.ts";

export const controlStream = brandAs<StreamName>("control");
/** Newest schema version of control records that this release understands. */
export const controlSchemaVersion = 1;

/**
 * Writers whose last sequence is kept. Restarts and runs of the operators' tool bring about
 * 1,500 writers a day; a lost answer is repeated within minutes, so half a day is ample.
 */
export const maximumWriters = 1_024;
/** Verdicts kept for the operators' tool, which reads them within seconds. */
export const maximumVerdicts = 256;
/** Problems named in one verdict; a document with more is usually broken as a whole. */
export const maximumProblems = 20;
/** Ended incarnations that are kept, so that a late record cannot bring one back. */
export const maximumEndedIncarnations = 512;

export const freshnessMilliseconds = 2_000;
export const rejoinInitialDelayMilliseconds = 500;
export const rejoinMaximumDelayMilliseconds = 30_000;
