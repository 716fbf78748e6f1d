/**
 * Maps advertised addresses to the addresses to connect to. Deployments leave the map empty;
 * tests use it to route the connections between any two processes through a fault proxy.
 */

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Address to connect to, as `host:port`, by advertised `host:port`. */
export type DialMap = Readonly<Record<string, string>>;

/** Parses `host:port`; brackets around an IPv6 host are removed. */
export function parseAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(separator + 1)) };
}

export function mapAddress(dialMap: DialMap, address: string): string {
  return dialMap[address] ?? address;
}

/** Returns the base URL to connect to for an advertised http:// base URL. */
export function mapBaseUrl(dialMap: DialMap, baseUrl: string): string {
  const url = new URL(baseUrl);
  const mapped = dialMap[url.host];
  return mapped === undefined ? url.origin : `http://${mapped}`;
}
