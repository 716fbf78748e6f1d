/** Helpers for tests that call stand-ins over HTTP. */

import { setTimeout as delay } from "node:timers/promises";

/** Repeats a check until it returns a value other than undefined and false, and returns it. */
export async function waitFor<Value>(
  description: string,
  check: () => Value | Promise<Value>,
  timeoutMilliseconds = 10_000,
): Promise<Exclude<Value, undefined | false>> {
  const deadline = Date.now() + timeoutMilliseconds;
  for (;;) {
    const value = await check();
    if (value !== undefined && value !== false) {
      return value as Exclude<Value, undefined | false>;
    }
    if (Date.now() > deadline) throw new Error(`timed out: ${description}`);
    await delay(10);
  }
}

/** One entry of the journal of an upstream stand-in, as `GET /journal` returns it. */
export interface JournalLine {
  readonly time: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
  readonly outcome: string;
}

export async function readJournal(url: string): Promise<JournalLine[]> {
  const text = await (await fetch(`${url}/journal`)).text();
  return text.split("\n").filter((line) => line !== "").map((line) =>
    JSON.parse(line) as JournalLine
  );
}

export async function putJson(url: string, value: unknown): Promise<unknown> {
  const response = await fetch(url, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(value),
  });
  if (!response.ok) {
    throw new Error(`PUT ${url}: ${response.status} ${await response.text()}`);
  }
  return await response.json();
}
