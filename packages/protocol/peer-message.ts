/**
 * Typed messages between instances. A message is defined once, with the functions that validate its
 * request and its reply, and is used by both sender and receiver.
 */

export interface PeerMessage<Request, Reply> {
  readonly type: string;
  readonly parseRequest: (body: unknown) => Request;
  readonly parseReply: (body: unknown) => Reply;
}

/** Validates a body, as `schema.parse` of a zod schema does; throws if it is invalid. */
export type Parse<Value> = (body: unknown) => Value;

export function definePeerMessage<Request, Reply = null>(
  type: string,
  parseRequest: Parse<Request>,
  parseReply: Parse<Reply> = () => null as Reply,
): PeerMessage<Request, Reply> {
  return { type, parseRequest, parseReply };
}
