/**
 * Pools of HTTP connections. Only the pool of the HTTP library is loaded, not its whole
 * interface, which keeps the memory of a small process low.
 */

import type { Dispatcher, Pool as UndiciPool } from "undici";
// @ts-types="undici"
import PoolClass from "undici/lib/dispatcher/pool.js";
import type { buildConnector } from "undici";
import createConnector from "undici/lib/core/connect.js";

export interface ConnectionPoolOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMilliseconds: number;
  /** How long an idle connection is kept when the server does not say. */
  readonly idleMilliseconds: number;
  /** Called for each connection that was opened. */
  readonly onConnect?: () => void;
}

export type ConnectionPool = UndiciPool;
export type ResponseController = Dispatcher.DispatchController;

/** A connection is not reused this close to the end that its server announced. */
const idleSafetyMilliseconds = 1_000;
const tcpKeepAliveMilliseconds = 1_000;

export function createConnectionPool(
  options: ConnectionPoolOptions,
): ConnectionPool {
  const origin = `http://${options.host}:${options.port}`;
  const pool = new PoolClass(origin, {
    pipelining: 1,
    connect: watchFailures(createConnector({
      timeout: options.connectTimeoutMilliseconds,
      keepAlive: true,
      keepAliveInitialDelay: tcpKeepAliveMilliseconds,
    })),
    keepAliveTimeout: options.idleMilliseconds,
    keepAliveMaxTimeout: options.idleMilliseconds,
    keepAliveTimeoutThreshold: idleSafetyMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
    allowH2: false,
  });
  const { onConnect } = options;
  if (onConnect) pool.on("connect", () => onConnect());
  return pool;
}

let isFailing = false;

/**
 * True while the failure of a connection is being reported. The HTTP library ends an answer
 * without a length as if it were complete when its connection is reset; this tells the two
 * apart.
 */
export function isConnectionFailing(): boolean {
  return isFailing;
}

/**
 * Notes the failure of a connection before the HTTP library hears of its end. The runtime reports
 * a reset that arrives together with data as an orderly end; the socket has no peer any more then.
 */
function watchFailures(
  connect: buildConnector.connector,
): buildConnector.connector {
  const note = () => {
    isFailing = true;
    queueMicrotask(() => isFailing = false);
  };
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.on("error", note);
      socket?.on("end", () => {
        if (socket.remoteAddress === undefined) note();
      });
      callback(...result);
    });
}
