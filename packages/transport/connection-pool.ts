/**
 * Creates pools of HTTP connections. Only the pool class of undici is imported, not the whole
 * library, which keeps the memory use of a small process low.
 */

import type { Client, Dispatcher, Pool as UndiciPool } from "undici";
// @ts-types="undici"
import ClientClass from "undici/lib/dispatcher/client.js";
// @ts-types="undici"
import PoolClass from "undici/lib/dispatcher/pool.js";
import type { buildConnector } from "undici";
import createConnector from "undici/lib/core/connect.js";

export interface ConnectionPoolOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMilliseconds: number;
  /**
   * How long an idle connection is kept if the server announces no timeout. A longer timeout that
   * the server announces is reduced to this.
   */
  readonly idleMilliseconds: number;
  /** Called for each connection that was opened. */
  readonly onConnect?: () => void;
}

export type ConnectionPool = UndiciPool;
export type ResponseController = Dispatcher.DispatchController;

/**
 * Key of a function in the options of a request, which is called with the client that the request is
 * assigned to. Each client of a pool has one connection, and its events name the client.
 */
export const onAssigned = Symbol("onAssigned");

export interface AssignableRequest {
  readonly [onAssigned]?: (client: object) => void;
}

/** A connection is not reused this close to the idle timeout that its server announced. */
const keepAliveSafetyMarginMilliseconds = 1_000;
/** Idle time before the first TCP keep-alive probe. */
const tcpKeepAliveMilliseconds = 1_000;

export function createConnectionPool(
  options: ConnectionPoolOptions,
): ConnectionPool {
  const origin = `http://${options.host}:${options.port}`;
  const pool = new PoolClass(origin, {
    pipelining: 1,
    factory: (clientOrigin, clientOptions) =>
      reportAssignments(new ClientClass(clientOrigin, clientOptions)),
    connect: trackConnectionFailures(createConnector({
      timeout: options.connectTimeoutMilliseconds,
      keepAlive: true,
      keepAliveInitialDelay: tcpKeepAliveMilliseconds,
    })),
    keepAliveTimeout: options.idleMilliseconds,
    keepAliveMaxTimeout: options.idleMilliseconds,
    keepAliveTimeoutThreshold: keepAliveSafetyMarginMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
    allowH2: false,
  });
  const { onConnect } = options;
  if (onConnect) pool.on("connect", () => onConnect());
  return pool;
}

function reportAssignments(client: Client): Client {
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (
    options: AssignableRequest & Dispatcher.DispatchOptions,
    handler,
  ) => {
    options[onAssigned]?.(client);
    return dispatch(options, handler);
  };
  return client;
}

let isFailing = false;

/**
 * True while the failure of a connection is being reported. If a connection is reset during a
 * response without a content length, undici ends the response as if it were complete; this
 * function tells the two cases apart.
 */
export function isConnectionFailing(): boolean {
  return isFailing;
}

/**
 * Registers the failure of a connection before undici handles the end of the socket. Node.js
 * reports a reset that arrives together with data as an orderly end, but the socket then no
 * longer has a remote address.
 */
function trackConnectionFailures(
  connect: buildConnector.connector,
): buildConnector.connector {
  const markFailing = () => {
    isFailing = true;
    queueMicrotask(() => isFailing = false);
  };
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.on("error", markFailing);
      socket?.on("end", () => {
        if (socket.remoteAddress === undefined) markFailing();
      });
      callback(...result);
    });
}
