/**
 * Headers that may pass through an instance. Credentials of callers never reach an upstream,
 * and headers that describe one connection are not passed on to another.
 */

export type HeaderRecord = Readonly<Record<string, string>>;
export type IncomingHeaderRecord = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const credentialHeaders = new Set([
  "authorization",
  "proxy-authorization",
  "x-api-key",
  "api-key",
  "cookie",
]);

const hopByHopHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Set anew for each call to an upstream. */
const replacedHeaders = new Set([
  "host",
  "content-length",
  "expect",
  "x-request-id",
]);

function headersNamedInConnection(headers: IncomingHeaderRecord): Set<string> {
  const connection = headers["connection"];
  const text = Array.isArray(connection) ? connection.join(",") : connection;
  return new Set(
    String(text ?? "").split(",").map((name) => name.trim().toLowerCase()),
  );
}

function joinValues(value: string | readonly string[]): string {
  return typeof value === "string" ? value : value.join(", ");
}

/** Headers of a caller's request that its upstream gets. */
export function selectRequestHeaders(
  headers: IncomingHeaderRecord,
  callerKey?: string,
): Record<string, string> {
  const named = headersNamedInConnection(headers);
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    const lowerName = name.toLowerCase();
    if (
      credentialHeaders.has(lowerName) || hopByHopHeaders.has(lowerName) ||
      replacedHeaders.has(lowerName) || named.has(lowerName)
    ) continue;
    const text = joinValues(value);
    if (callerKey && containsKey(text, callerKey)) continue;
    selected[lowerName] = text;
  }
  return selected;
}

/**
 * Headers of an upstream's answer that the caller gets. Cookies pass in neither direction, so
 * `set-cookie` would have no effect.
 */
export function selectResponseHeaders(
  headers: IncomingHeaderRecord,
): Record<string, string> {
  const named = headersNamedInConnection(headers);
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (
      hopByHopHeaders.has(name) || named.has(name) ||
      name === "x-request-id" || name === "set-cookie"
    ) continue;
    selected[name] = joinValues(value);
  }
  return selected;
}

/** Whether a text holds the key, as it is or percent-encoded. */
export function containsKey(text: string, key: string): boolean {
  if (text.includes(key)) return true;
  if (!text.includes("%")) return false;
  try {
    return decodeURIComponent(text).includes(key);
  } catch {
    return text.replace(
      /%[0-9a-f]{2}/gi,
      (escape) => String.fromCharCode(Number.parseInt(escape.slice(1), 16)),
    ).includes(key);
  }
}
