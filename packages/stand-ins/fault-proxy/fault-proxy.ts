/** The fault proxy: the links of one process and the admin interface that changes them. */

import { z } from "zod";
import { type Logger, silentLogger } from "../../common/logging.ts";
import {
  type HttpExchange,
  readJson,
  sendError,
  sendJson,
  startHttpService,
} from "../shared/http-service.ts";
import { Link } from "./link.ts";
import {
  bulkLinkChangeSchema,
  faultProxySettingsSchema,
  linkChangeSchema,
  matchesPattern,
} from "./settings.ts";

export interface RunningFaultProxy {
  /** Port of the admin interface. */
  readonly port: number;
  /** Listening port of each link, by the name of the link. */
  readonly linkPorts: ReadonlyMap<string, number>;
  close(): Promise<void>;
}

export async function startFaultProxy(
  input: z.input<typeof faultProxySettingsSchema>,
  logger: Logger = silentLogger,
): Promise<RunningFaultProxy> {
  const settings = faultProxySettingsSchema.parse(input);
  const { dropTimeoutMilliseconds } = settings;
  const links = new Map(
    settings.links.map((link) => [
      link.name,
      new Link({ settings: link, dropTimeoutMilliseconds }),
    ]),
  );
  await Promise.all([...links.values()].map((link) => link.listen()));
  const http = await startHttpService({
    host: settings.host,
    port: settings.port,
    handle: (exchange) => handle(exchange, links, logger),
  });
  logger.info("listening", {
    host: settings.host,
    port: http.port,
    links: links.size,
  });
  return {
    port: http.port,
    linkPorts: new Map(
      [...links].map(([name, link]) => [name, link.describe().listenPort]),
    ),
    close: async () => {
      for (const link of links.values()) link.close();
      await http.close();
    },
  };
}

async function handle(
  { method, segments, request, response }: HttpExchange,
  links: ReadonlyMap<string, Link>,
  logger: Logger,
): Promise<void> {
  const [root, name] = segments;
  if (root === "healthz") return sendJson(response, 200, { status: "ok" });
  if (root !== "links") return sendError(response, 404, "no such resource");
  if (method === "GET" && name === undefined) {
    const descriptions = [...links.values()].map((link) => link.describe());
    return sendJson(response, 200, { links: descriptions });
  }
  if (method !== "PUT") return sendError(response, 405, "use GET or PUT");
  const { names, ...change } = name === undefined
    ? await readJson(request, bulkLinkChangeSchema)
    : { names: [name], ...await readJson(request, linkChangeSchema) };
  const changed = [...links.values()].filter((link) =>
    name === undefined
      ? names.some((pattern) => matchesPattern(link.name, pattern))
      : link.name === name
  );
  if (changed.length === 0) return sendError(response, 404, "no such link");
  await Promise.all(changed.map((link) => link.change(change)));
  logger.info("links changed", {
    names: names.join(", "),
    count: changed.length,
    ...change,
  });
  sendJson(response, 200, { links: changed.map((link) => link.describe()) });
}
