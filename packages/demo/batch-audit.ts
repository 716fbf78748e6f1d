/** Audits the results of a batch against its items and the request journals of the engines. */

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

export interface JournalEntry {
  readonly body: string;
  readonly outcome: string;
}

export interface BatchAudit {
  readonly items: number;
  readonly completed: number;
  readonly failed: number;
  /** Items without any result. */
  readonly lost: number;
  /** Items with more than one result. */
  readonly duplicated: number;
  /** Results whose content does not match their item's prompt. */
  readonly mismatched: number;
  /** Items that engines completed more than once, which is allowed after a crash. */
  readonly executedRepeatedly: number;
}

export function auditBatch(
  items: readonly BatchItem[],
  results: {
    output: readonly ResultLine[];
    errors: readonly ResultLine[];
    journal: readonly JournalEntry[];
  },
): BatchAudit {
  const resultCounts = new Map<string, number>();
  for (const { custom_id } of [...results.output, ...results.errors]) {
    resultCounts.set(custom_id, (resultCounts.get(custom_id) ?? 0) + 1);
  }
  const digests = new Map(
    items.map((
      { custom_id, body },
    ) => [custom_id, promptDigest(body.messages)]),
  );
  const mismatched = results.output.filter(({ custom_id, response }) => {
    const content = response?.body.choices?.[0]?.message.content ?? "";
    const digest = digests.get(custom_id);
    return digest === undefined || !content.includes(digest);
  }).length;
  const executions = countExecutions(results.journal);
  return {
    items: items.length,
    completed: results.output.length,
    failed: results.errors.length,
    lost: items.filter(({ custom_id }) => !resultCounts.has(custom_id)).length,
    duplicated: [...resultCounts.values()].filter((count) => count > 1).length,
    mismatched,
    executedRepeatedly: [...digests.values()]
      .filter((digest) => (executions.get(digest) ?? 0) > 1).length,
  };
}

/** Whether no result is lost, duplicated or mismatched. */
export function isConsistent(audit: BatchAudit): boolean {
  return audit.lost === 0 && audit.duplicated === 0 && audit.mismatched === 0;
}

/** Completed executions per prompt digest. */
function countExecutions(
  journal: readonly JournalEntry[],
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
