/** Refuses requests that would carry their own key to an upstream outside the headers. */

import type { Buffer } from "node:buffer";
import { CallerError } from "../../common/errors.ts";
import { containsKey } from "../../routing/forwarded-headers.ts";
import { minimumSearchedKeyCharacters } from "../constants.ts";

export function assertKeyAbsent(
  content: Buffer | string,
  callerKey: string | undefined,
): void {
  if (
    callerKey === undefined || callerKey.length < minimumSearchedKeyCharacters
  ) return;
  const isFound = typeof content === "string"
    ? containsKey(content, callerKey)
    : content.includes(callerKey);
  if (!isFound) return;
  throw new CallerError({
    status: 400,
    code: "key_in_request",
    message:
      "the key appears outside the headers; upstreams must not see it, send it as 'Authorization: Bearer KEY' only",
  });
}
