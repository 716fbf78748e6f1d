/** Stand-in for the weight store: serves `GET /weights/{model}` with a limited rate. */

import { Buffer } from "node:buffer";
import { z } from "zod";
import { sha256Hex } from "../../common/hashing.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import { logLevelSchema } from "../../common/program.ts";
import {
  type HttpExchange,
  sendBytes,
  sendError,
  sendJson,
  startHttpService,
} from "../shared/http-service.ts";
import { TokenBucket } from "../shared/token-bucket.ts";

export const weightStoreSettingsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(7_400),
  models: z.array(z.string().min(1)).default(["walnut-7b"]),
  fetchesPerSecond: z.number().positive().default(2)
    .describe("Fetches above this rate are answered with 429"),
  weightBytes: z.number().int().positive().default(16 * 1024),
  logLevel: logLevelSchema.default("info"),
});

export interface RunningWeightStore {
  readonly port: number;
  close(): Promise<void>;
}

export async function startWeightStore(
  input: z.input<typeof weightStoreSettingsSchema>,
  logger: Logger = silentLogger,
): Promise<RunningWeightStore> {
  const settings = weightStoreSettingsSchema.parse(input);
  const fetchBucket = new TokenBucket(settings.fetchesPerSecond);
  const counts = { fetches: 0, rejected: 0 };
  const handle = ({ method, segments, response }: HttpExchange) => {
    const [root, model] = segments;
    if (method !== "GET") return sendError(response, 405, "use GET");
    if (root === "healthz") return sendJson(response, 200, { status: "ok" });
    if (root === "statistics") return sendJson(response, 200, counts);
    if (root !== "weights" || !model || !settings.models.includes(model)) {
      return sendError(response, 404, "no such weights");
    }
    if (!fetchBucket.tryTake()) {
      counts.rejected += 1;
      const headers = { "retry-after": "1" };
      return sendError(response, 429, "the fetch rate is exceeded", headers);
    }
    counts.fetches += 1;
    sendBytes(
      response,
      200,
      "application/octet-stream",
      Buffer.alloc(settings.weightBytes, sha256Hex(model)),
    );
  };
  const { host, port } = settings;
  const http = await startHttpService({ host, port, handle });
  logger.info("listening", { host, port: http.port });
  return { port: http.port, close: () => http.close() };
}
