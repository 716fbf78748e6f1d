/**
 * Prepares documents for a fleet from the templates in the folder `examples`. Fills in the
 * addresses and concurrency of the upstreams, the public keys of the teams and the hashes of the
 * workspaces' keys.
 */

import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { parse, stringify } from "yaml";
import { RosemaryrudderError } from "../common/errors.ts";
import { sha256Hex } from "../common/hashing.ts";
import { createTeamKeyPair, type TeamKeyPair } from "../control/signing.ts";
import type { FleetPlan } from "./fleet-plan.ts";

/** The sections of a document without their versions. */
export interface ExampleDocument {
  platform: {
    log: Record<string, unknown>;
    teams: { name: string; publicKey: string; sections: string[] }[];
    upstreams: Record<string, unknown>[];
    [field: string]: unknown;
  };
  [section: string]: {
    workspaces?: ExampleWorkspace[];
    routes?: ExampleRoute[];
    [field: string]: unknown;
  };
}

export interface ExampleWorkspace {
  id: string;
  ratePerSecond: number;
  burst: number;
  batchWeight?: number;
  keys: { id: string; sha256: string }[];
}

export interface ExampleRoute {
  id: string;
  pathPrefix: string;
  upstreams: string[];
  repeatable?: boolean;
  openToAll?: boolean;
  workspaces?: string[];
}

export interface PreparedWorkspace extends ExampleWorkspace {
  /** A valid key of the workspace, in plain text. */
  key: string;
}

export interface PreparedDocument {
  /** The document as YAML, as an operator would publish it. */
  readonly text: string;
  readonly document: ExampleDocument;
  readonly teamKeys: ReadonlyMap<string, TeamKeyPair>;
  readonly workspaces: readonly PreparedWorkspace[];
}

export interface PrepareOptions {
  /** File name in the folder `examples`. */
  template: string;
  /** Changes the document before it is written. */
  edit?: (sections: ExampleDocument) => void;
}

const placeholder = /\$\{([a-zA-Z]+):([a-z0-9.-]+)\}/g;

export function readExample(name: string): string {
  return readFileSync(new URL(`../../examples/${name}`, import.meta.url), {
    encoding: "utf8",
  });
}

export function prepareDocument(
  plan: FleetPlan,
  { template, edit = () => {} }: PrepareOptions,
): PreparedDocument {
  const teamKeys = new Map<string, TeamKeyPair>();
  const keys = new Map<string, string>();
  const addresses = new Map(
    plan.upstreams.map(({ id, address }) => [id, address]),
  );
  const resolvePlaceholder = (kind: string, name: string): string => {
    switch (kind) {
      case "publicKey":
        return getOrCreate(teamKeys, name, createTeamKeyPair).publicKey;
      case "keyHash":
        return sha256Hex(getOrCreate(keys, name, () => createKey(name)));
      case "address":
        return addresses.get(name) ?? "127.0.0.1:9";
      default:
        throw new RosemaryrudderError(
          "unknown_placeholder",
          `${template} contains an unknown placeholder: ${kind}`,
        );
    }
  };
  const filled = readExample(template).replace(
    placeholder,
    (_, kind: string, name: string) => resolvePlaceholder(kind, name),
  );
  const { sections } = parse(filled) as ExampleFile;
  const document = mapValues(sections, ({ version: _, ...body }) => body);
  document.platform.upstreams = plan.upstreams.map(describeUpstream);
  Object.assign(document.platform.log, logLimits(plan));
  edit(document);
  // Every section is new in a fleet that has just started.
  const newSections = mapValues(document, (body) => ({ version: 0, ...body }));
  return {
    text: stringify({ sections: newSections }),
    document,
    teamKeys,
    workspaces: Object.values(document).flatMap((section) =>
      (section.workspaces ?? []).map((workspace) => ({
        ...workspace,
        key: keys.get(workspace.id) ?? "",
      }))
    ),
  };
}

interface ExampleFile {
  sections: Record<string, Record<string, unknown>>;
}

function mapValues<Value extends object>(
  values: Record<string, Value>,
  change: (value: Value) => object,
): ExampleDocument {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [name, change(value)]),
  ) as ExampleDocument;
}

function describeUpstream(upstream: FleetPlan["upstreams"][number]) {
  const { id, kind, address, models, concurrency, checksFencing } = upstream;
  const common = { name: id, kind, address, concurrency };
  return kind === "plain" ? common : { ...common, models, checksFencing };
}

/** Limits of the log service, which the document repeats for the instances. */
function logLimits({ log }: FleetPlan): Record<string, unknown> {
  const { appendsPerSecond, retentionSeconds } = log.settings;
  return {
    ...(appendsPerSecond === undefined ? {} : { appendsPerSecond }),
    ...(retentionSeconds === undefined ? {} : { retentionSeconds }),
  };
}

function createKey(workspace: string): string {
  return `${workspace}-${randomBytes(18).toString("base64url")}`;
}

function getOrCreate<Value>(
  map: Map<string, Value>,
  name: string,
  create: () => Value,
): Value {
  const value = map.get(name) ?? create();
  map.set(name, value);
  return value;
}
