/**
 * Selects the headers that an instance forwards between callers and upstreams. Credentials of
 * callers are never sent to an upstream, and hop-by-hop headers, which apply to one connection
 * only, are not forwarded.
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

/** Headers that are not forwarded because each call to an upstream sets its own. */
const replacedHeaders = new Set([
  "host",
  "content-length",
  "expect",
  "x-request-id",
]);

/** Names in the `connection` header, which mark further hop-by-hop headers. */
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

/**
 * Returns the headers of a caller's request that are sent to the upstream, with lower-case names.
 * A header whose value contains `callerKey` is left out.
 */
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
 * Returns the headers of an upstream's response that are sent to the caller. `set-cookie` is left
 * out, because cookies of callers are not forwarded either and it would have no effect.
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

/** Whether the text contains the key, verbatim or percent-encoded. */
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
