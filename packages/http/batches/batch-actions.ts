/** Endpoints that create, get, list and cancel batch jobs. */

import { brandAs, type JobId } from "../../common/ids.ts";
import { parseJsonObject } from "../bodies/json-body.ts";
import { readBody } from "../bodies/read-body.ts";
import { defaultListLimit, maximumListLimit } from "../constants.ts";
import { invalidField } from "../errors/error-response.ts";
import type { CallerAction } from "../server/caller-action.ts";
import { sendJson } from "../server/send-response.ts";
import { parseBatchRequest, parseIdempotencyKey } from "./batch-request.ts";
import { toBatchObject, unknownBatch } from "./batch-object.ts";

export const createBatchAction: CallerAction = {
  name: "create_batch",
  method: "POST",
  path: "/v1/batches",
  takesRateToken: "itself",
  async handle({ request, response, admission, services }) {
    const body = await readBody(request, services.limits.jsonBytes);
    const batchRequest = parseBatchRequest(parseJsonObject(body), {
      configuration: services.control.state.configuration,
      workspace: admission.workspace,
      now: services.clock.wallNow(),
    });
    const idempotencyKey = parseIdempotencyKey(
      request.headers["idempotency-key"],
    );
    await admission.takeRateToken();
    admission.check();
    const job = await services.batch.createJob({
      ...batchRequest,
      workspace: admission.workspace,
      idempotencyKey,
    });
    sendJson(response, 200, toBatchObject(job));
  },
};

export const getBatchAction: CallerAction = {
  name: "get_batch",
  method: "GET",
  path: "/v1/batches/:id",
  takesRateToken: "never",
  async handle({ response, parameters, admission, services }) {
    const job = await services.batch.getJob(
      admission.workspace,
      brandAs<JobId>(parameters["id"] ?? ""),
    );
    if (!job) throw unknownBatch();
    sendJson(response, 200, toBatchObject(job));
  },
};

export const listBatchesAction: CallerAction = {
  name: "list_batches",
  method: "GET",
  path: "/v1/batches",
  takesRateToken: "never",
  async handle({ response, query, admission, services }) {
    const parameters = new URLSearchParams(query);
    const limit = parseLimit(parameters.get("limit"));
    const after = parameters.get("after");
    // One job more than requested is read, to know whether there is another page.
    const jobs = await services.batch.listJobs(admission.workspace, {
      after: after ? brandAs<JobId>(after) : undefined,
      limit: limit + 1,
    });
    const page = jobs.slice(0, limit);
    sendJson(response, 200, {
      object: "list",
      data: page.map(toBatchObject),
      first_id: page[0]?.id ?? null,
      last_id: page.at(-1)?.id ?? null,
      has_more: jobs.length > limit,
    });
  },
};

export const cancelBatchAction: CallerAction = {
  name: "cancel_batch",
  method: "POST",
  path: "/v1/batches/:id/cancel",
  takesRateToken: "never",
  async handle({ response, parameters, admission, services }) {
    admission.check();
    const job = await services.batch.cancelJob(
      admission.workspace,
      brandAs<JobId>(parameters["id"] ?? ""),
    );
    if (!job) throw unknownBatch();
    sendJson(response, 200, toBatchObject(job));
  },
};

function parseLimit(text: string | null): number {
  if (text === null) return defaultListLimit;
  const limit = /^[0-9]{1,6}$/.test(text) ? Number(text) : NaN;
  if (!(limit >= 1 && limit <= maximumListLimit)) {
    throw invalidField("limit", `must be from 1 to ${maximumListLimit}`);
  }
  return limit;
}
