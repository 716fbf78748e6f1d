/** Refuses requests whose key also appears in the URL or body, which upstreams receive. */

import type { Buffer } from "node:buffer";
import { CallerError } from "../../common/errors.ts";
import { containsKey } from "../../routing/forwarded-headers.ts";
import { minimumSearchedKeyCharacters } from "../constants.ts";

/** Throws a CallerError if the content contains the caller's key. */
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
      "the key appears outside the headers, where an upstream would see it; send it as 'Authorization: Bearer KEY' only",
  });
}
