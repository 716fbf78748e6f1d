/** Starts a server's listening socket. */

import type { AddressInfo, Server } from "node:net";

/** Resolves to the port that the server listens on; rejects if it cannot listen. */
export function listenOn(
  server: Server,
  { host, port }: { host: string; port: number },
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
