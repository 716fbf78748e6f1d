/** Commands `quarantine list` and `quarantine lift`: prompt parts under which servers crash. */

import { request } from "undici";
import { z } from "zod";
import { UsageError } from "../../common/command-line.ts";
import { defineCommand } from "../command.ts";
import { statusTimeoutMilliseconds } from "../constants.ts";

const verdictsSchema = z.object({
  verdicts: z.array(z.object({
    part: z.string(),
    alternatives: z.array(z.string()),
    crashes: z.number(),
    requests: z.number(),
    decidedAt: z.number(),
  })),
});

const statusOk = 200;
const statusNotFound = 404;

const addressFlag = z.string().regex(
  /^[^/:]+:\d+$/,
  "the address is HOST:PORT, where an instance serves its metrics",
);

export const listQuarantineCommand = defineCommand({
  usage: "quarantine list <address>",
  description: "List the prompt parts whose requests are rejected",
  flags: z.object({ address: addressFlag }),
  run: async (context, { address }) => {
    const { status, text } = await call(address, "GET", "/quarantine");
    if (status !== statusOk) throw new UsageError(`${address}: ${text}`);
    const { verdicts } = verdictsSchema.parse(JSON.parse(text));
    for (const verdict of verdicts) {
      context.print([
        verdict.part,
        `since=${new Date(verdict.decidedAt).toISOString()}`,
        `crashes=${verdict.crashes}`,
        `requests=${verdict.requests}`,
        `alternatives=${verdict.alternatives.join(",") || "none"}`,
      ].join(" "));
    }
    if (verdicts.length === 0) context.print("no prompt part is quarantined");
    return 0;
  },
});

export const liftQuarantineCommand = defineCommand({
  usage: "quarantine lift <address> <part>",
  description: "Let requests with the prompt part be sent again",
  flags: z.object({
    address: addressFlag,
    part: z.string().regex(/^[0-9a-f]+$/i, "a part is a hexadecimal id"),
  }),
  run: async (context, { address, part }) => {
    const path = `/quarantine/${part.toLowerCase()}`;
    const { status, text } = await call(address, "DELETE", path);
    if (status !== statusOk && status !== statusNotFound) {
      throw new UsageError(`${address}: ${text}`);
    }
    context.print(
      status === statusOk
        ? `${part} is no longer quarantined`
        : `${part} is not quarantined`,
    );
    return status === statusOk ? 0 : 1;
  },
});

async function call(
  address: string,
  method: "GET" | "DELETE",
  path: string,
): Promise<{ status: number; text: string }> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      method,
      headersTimeout: statusTimeoutMilliseconds,
      bodyTimeout: statusTimeoutMilliseconds,
    });
    return { status: statusCode, text: await body.text() };
  } catch (error) {
    throw new UsageError(`cannot reach ${address}: ${String(error)}`);
  }
}
