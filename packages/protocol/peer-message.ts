/**
 * Typed messages between instances. A message is defined once, with the function that checks
 * its body, and is then used by both sender and receiver.
 */

export interface PeerMessage<Request, Reply> {
  readonly type: string;
  readonly parseRequest: (body: unknown) => Request;
  readonly parseReply: (body: unknown) => Reply;
}

/** Checks a body, as `schema.parse` of a zod schema does; throws if it does not fit. */
export type Parse<Value> = (body: unknown) => Value;

export function definePeerMessage<Request, Reply = null>(
  type: string,
  parseRequest: Parse<Request>,
  parseReply: Parse<Reply> = () => null as Reply,
): PeerMessage<Request, Reply> {
  return { type, parseRequest, parseReply };
}
