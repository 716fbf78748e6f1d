/** Settings and faults of the engine stand-in. */

import { z } from "zod";
import { logLevelSchema } from "../../common/program.ts";

const millisecondsSchema = z.number().nonnegative();

export const engineSettingsSchema = z.strictObject({
  name: z.string().default("engine"),
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(7_100),
  models: z.array(z.string().min(1)).default(["walnut-7b"]),
  concurrency: z.number().int().positive().default(8)
    .describe("Requests that run at once; the others wait in order"),
  rejectWhenFull: z.boolean().default(false)
    .describe("Refuse requests with 503 and x-not-admitted at the queue limit"),
  queueLimit: z.number().int().nonnegative().default(0)
    .describe("Waiting requests above which rejectWhenFull acts"),
  prefillMillisecondsPerThousandCharacters: millisecondsSchema.default(20),
  minimumPrefillMilliseconds: millisecondsSchema.default(10),
  tokenMilliseconds: z.number().positive().default(10),
  tokenGrowthPerRunningRequest: z.number().nonnegative().default(0)
    .describe("Share by which each further running request slows a token"),
  minimumTokens: z.number().int().positive().default(8),
  maximumTokens: z.number().int().positive().default(24),
  cacheBlocks: z.number().int().nonnegative().default(2_000)
    .describe("Blocks that the prefix cache holds"),
  cacheBlockCharacters: z.number().int().positive().default(64),
  cacheEventLagMilliseconds: millisecondsSchema.default(300),
  cacheEventLossShare: z.number().min(0).max(1).default(0.05)
    .describe("Share of cache events that are never published"),
  loadLagMilliseconds: millisecondsSchema.default(200),
  resumeWindowMilliseconds: millisecondsSchema.default(5_000)
    .describe("How long an interrupted stream can be resumed"),
  checksFencing: z.boolean().default(true)
    .describe("Refuse orders that carry an old fencing token"),
  orderMilliseconds: millisecondsSchema.default(0),
  weightStoreUrl: z.string().optional(),
  impossibleMarker: z.string().min(1).default("IMPOSSIBLE")
    .describe("Requests that contain this text are answered with 400"),
  maximumJournalEntries: z.number().int().positive().default(100_000),
  stopLimitMilliseconds: millisecondsSchema.default(10_000)
    .describe("Time for running requests to finish after SIGTERM"),
  logLevel: logLevelSchema.default("info"),
});
export type EngineSettings = z.output<typeof engineSettingsSchema>;

/** How many further answers a fault applies to; `true` means all of them. */
const affectedAnswersSchema = z.union([
  z.number().int().nonnegative(),
  z.boolean().transform((isOn) => isOn ? Number.MAX_SAFE_INTEGER : 0),
]);

/** No defaults here: a change of faults leaves those alone that it does not name. */
export const engineFaultsSchema = z.strictObject({
  /** Answers are cut in the middle and their connection is closed. */
  truncateAnswers: affectedAnswersSchema,
  /** Streams end in good order but without their last events. */
  endWithoutDone: affectedAnswersSchema,
  /** Answers are those of another, earlier request, with its request id. */
  swapAnswers: affectedAnswersSchema,
  /** Everything is sent this much later than it was generated. */
  lateMilliseconds: millisecondsSchema,
  /** The process exits when a request contains this text; empty for never. */
  crashOnMarker: z.string(),
  /** Prefill and tokens take this many times as long. */
  slowFactor: z.number().positive(),
}).partial();

export type EngineFaults = Required<z.output<typeof engineFaultsSchema>>;

export const noEngineFaults: EngineFaults = {
  truncateAnswers: 0,
  endWithoutDone: 0,
  swapAnswers: 0,
  lateMilliseconds: 0,
  crashOnMarker: "",
  slowFactor: 1,
};
