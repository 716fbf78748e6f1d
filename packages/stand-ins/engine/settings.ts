/** Settings of the engine stand-in, and the faults that can be set while it runs. */

import { z } from "zod";
import { logLevelSchema } from "../../common/program.ts";

const millisecondsSchema = z.number().nonnegative();

export const engineSettingsSchema = z.strictObject({
  name: z.string().default("engine"),
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(7_100),
  models: z.array(z.string().min(1)).default(["walnut-7b"]),
  concurrency: z.number().int().positive().default(8)
    .describe(
      "Requests that run concurrently; the others wait in order of arrival",
    ),
  rejectWhenFull: z.boolean().default(false)
    .describe("Refuse requests with 503 and x-not-admitted at the queue limit"),
  queueLimit: z.number().int().nonnegative().default(0)
    .describe("Number of waiting requests from which rejectWhenFull applies"),
  prefillMillisecondsPerThousandCharacters: millisecondsSchema.default(20),
  minimumPrefillMilliseconds: millisecondsSchema.default(10),
  tokenMilliseconds: z.number().positive().default(10),
  tokenGrowthPerRunningRequest: z.number().nonnegative().default(0)
    .describe(
      "Share of tokenMilliseconds that each further running request adds",
    ),
  minimumTokens: z.number().int().positive().default(8),
  maximumTokens: z.number().int().positive().default(24),
  cacheBlocks: z.number().int().nonnegative().default(2_000)
    .describe("Capacity of the prefix cache in blocks"),
  cacheBlockCharacters: z.number().int().positive().default(64),
  cacheEventLagMilliseconds: millisecondsSchema.default(300),
  cacheEventLossShare: z.number().min(0).max(1).default(0.05)
    .describe("Share of cache events that are never published"),
  loadLagMilliseconds: millisecondsSchema.default(200),
  resumeWindowMilliseconds: millisecondsSchema.default(5_000)
    .describe("Time during which an interrupted stream can be resumed"),
  checksFencing: z.boolean().default(true)
    .describe("Refuse orders with a fencing token lower than one seen before"),
  orderMilliseconds: millisecondsSchema.default(0),
  weightStoreUrl: z.string().optional(),
  impossibleMarker: z.string().min(1).default("IMPOSSIBLE")
    .describe("Requests that contain this text are answered with 400"),
  maximumJournalEntries: z.number().int().positive().default(100_000),
  stopLimitMilliseconds: millisecondsSchema.default(10_000)
    .describe("Time limit for running requests to finish after SIGTERM"),
  logLevel: logLevelSchema.default("info"),
});
export type EngineSettings = z.output<typeof engineSettingsSchema>;

/** Number of subsequent answers that a fault affects; `true` means all of them. */
const affectedAnswersSchema = z.union([
  z.number().int().nonnegative(),
  z.boolean().transform((isOn) => isOn ? Number.MAX_SAFE_INTEGER : 0),
]);

/** A change of faults. It has no defaults, so faults that a change omits stay as set. */
export const engineFaultsSchema = z.strictObject({
  /** Answers are truncated in the middle and their connection is closed. */
  truncateAnswers: affectedAnswersSchema,
  /**
   * Streams end after half of their tokens, without the last events but with a complete HTTP
   * response. Answers that are not streamed are truncated.
   */
  endWithoutDone: affectedAnswersSchema,
  /** A request gets the answer of another, earlier request, with that request's id. */
  swapAnswers: affectedAnswersSchema,
  /** Delay between the generation of a token or answer and its sending. */
  lateMilliseconds: millisecondsSchema,
  /** The process exits when a request contains this text; an empty text disables the fault. */
  crashOnMarker: z.string(),
  /** Factor by which prefill and the generation of tokens take longer. */
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
