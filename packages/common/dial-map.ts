/**
 * Maps an advertised address to the one to dial. Deployments leave the map empty; tests put a
 * fault proxy between any two processes with it.
 */

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

export type DialMap = Readonly<Record<string, string>>;

export function parseAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(separator + 1)) };
}

export function mapAddress(dialMap: DialMap, address: string): string {
  return dialMap[address] ?? address;
}

/** The base address to dial for an http:// base address. */
export function mapBaseUrl(dialMap: DialMap, baseUrl: string): string {
  const url = new URL(baseUrl);
  const mapped = dialMap[url.host];
  return mapped === undefined ? url.origin : `http://${mapped}`;
}
