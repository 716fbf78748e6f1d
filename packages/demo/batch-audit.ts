/** Compares the results of a batch with its items and with the journals of the engines. */

import { promptDigest } from "../stand-ins/engine/answer.ts";
import type { BatchItem } from "./lot-tagging.ts";

export interface ResultLine {
  readonly custom_id: string;
  readonly response?: {
    readonly status_code: number;
    readonly body: {
      readonly choices?: readonly {
        readonly message: { readonly content: string };
      }[];
    };
  } | null;
  readonly error?: unknown;
}

export interface JournalRecord {
  readonly body: string;
  readonly outcome: string;
}

export interface BatchAudit {
  readonly items: number;
  readonly done: number;
  readonly failed: number;
  /** Items without any result. */
  readonly lost: number;
  /** Items with more than one result. */
  readonly doubled: number;
  /** Results that do not belong to their item. */
  readonly foreign: number;
  /** Items that engines completed more than once, which is allowed after a crash. */
  readonly executedTwice: number;
}

export function auditBatch(
  items: readonly BatchItem[],
  results: {
    output: readonly ResultLine[];
    errors: readonly ResultLine[];
    journal: readonly JournalRecord[];
  },
): BatchAudit {
  const counts = new Map<string, number>();
  for (const { custom_id } of [...results.output, ...results.errors]) {
    counts.set(custom_id, (counts.get(custom_id) ?? 0) + 1);
  }
  const digests = new Map(
    items.map((
      { custom_id, body },
    ) => [custom_id, promptDigest(body.messages)]),
  );
  const foreign = results.output.filter(({ custom_id, response }) => {
    const content = response?.body.choices?.[0]?.message.content ?? "";
    const digest = digests.get(custom_id);
    return digest === undefined || !content.includes(digest);
  }).length;
  const executions = countExecutions(results.journal);
  return {
    items: items.length,
    done: results.output.length,
    failed: results.errors.length,
    lost: items.filter(({ custom_id }) => !counts.has(custom_id)).length,
    doubled: [...counts.values()].filter((count) => count > 1).length,
    foreign,
    executedTwice: [...digests.values()]
      .filter((digest) => (executions.get(digest) ?? 0) > 1).length,
  };
}

/** Nothing was lost, doubled or mixed up. */
export function isSound(audit: BatchAudit): boolean {
  return audit.lost === 0 && audit.doubled === 0 && audit.foreign === 0;
}

/** Number of completed runs by the digest of the prompt. */
function countExecutions(
  journal: readonly JournalRecord[],
): Map<string, number> {
  const executions = new Map<string, number>();
  for (const { body, outcome } of journal) {
    if (outcome !== "completed") continue;
    const digest = digestOfBody(body);
    if (digest === undefined) continue;
    executions.set(digest, (executions.get(digest) ?? 0) + 1);
  }
  return executions;
}

function digestOfBody(body: string): string | undefined {
  try {
    const { messages } = JSON.parse(body) as { messages?: unknown };
    return messages === undefined ? undefined : promptDigest(messages);
  } catch {
    return undefined;
  }
}
