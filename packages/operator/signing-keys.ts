/** Finds the signing key of the team that owns a section among the given key files. */

import { readFileSync } from "node:fs";
import { RosemaryrudderError } from "../common/errors.ts";
import type { SectionName } from "../common/ids.ts";
import type { PlatformSection, Team } from "../control/document.ts";
import { publicKeyOf } from "../control/signing.ts";

export interface TeamSigner {
  readonly team: Team;
  readonly privateKeyPem: string;
}

/** Reads private keys in PEM and returns them by their public key. */
export function readSigningKeys(
  files: readonly string[],
): ReadonlyMap<string, string> {
  return new Map(files.map((file) => {
    try {
      const pem = readFileSync(file, "utf8");
      return [publicKeyOf(pem), pem];
    } catch (cause) {
      const reason = cause instanceof RosemaryrudderError
        ? cause.message
        : "the file cannot be read";
      throw new RosemaryrudderError(
        "signing_key_unreadable",
        `${file}: ${reason}`,
        { cause },
      );
    }
  }));
}

/** Returns the team that owns the section according to the platform section. */
export function ownerOfSection(
  platform: PlatformSection | undefined,
  section: SectionName,
): Team | undefined {
  return platform?.teams.find((team) => team.sections.includes(section));
}

/** Returns the team that owns the section with its private key, if that key was given. */
export function findSigner(
  platform: PlatformSection | undefined,
  section: SectionName,
  keys: ReadonlyMap<string, string>,
): TeamSigner | undefined {
  const team = ownerOfSection(platform, section);
  const privateKeyPem = team && keys.get(team.publicKey);
  return privateKeyPem ? { team, privateKeyPem } : undefined;
}
