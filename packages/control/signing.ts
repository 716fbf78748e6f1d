/**
 * Signs and verifies publishes of sections. A publish is identified by the hash of its section,
 * base version and body; the team signs this id with its Ed25519 key.
 */

import { Buffer } from "node:buffer";
import {
  createPrivateKey,
  createPublicKey,
  generateKeyPairSync,
  type KeyObject,
  sign,
  verify,
} from "node:crypto";
import { RosemaryrudderError } from "../common/errors.ts";
import { sha256Hex } from "../common/hashing.ts";

export interface PublishContent {
  readonly section: string;
  readonly baseVersion: number;
  /** JSON text of the section. */
  readonly body: string;
}

/** Id of a publish: a SHA-256 in hexadecimal digits. */
export function publishId(content: PublishContent): string {
  const { section, baseVersion, body } = content;
  return sha256Hex(JSON.stringify([section, baseVersion, body]));
}

function signedBytes(id: string): Buffer {
  return Buffer.from(`rosemaryrudder section publish\n${id}`, "utf8");
}

/**
 * Signs a publish with a team's private key in PEM and returns the signature in base64. Throws
 * `signing_key_unreadable` for any other key.
 */
export function signPublish(
  content: PublishContent,
  privateKeyPem: string,
): string {
  const key = readPrivateKey(privateKeyPem);
  return sign(null, signedBytes(publishId(content)), key).toString("base64");
}

/** Whether the signature is valid; false for keys and signatures that cannot be parsed. */
export function verifyPublish(
  content: PublishContent,
  publicKey: string,
  signature: string,
): boolean {
  const key = parsePublicKey(publicKey);
  if (!key) return false;
  try {
    const bytes = Buffer.from(signature, "base64");
    return verify(null, signedBytes(publishId(content)), key, bytes);
  } catch {
    return false;
  }
}

/** Keys are cached because parsing one takes as long as several verifications. */
const maximumCachedKeys = 256;
const publicKeys = new Map<string, KeyObject | undefined>();

/** Parses an Ed25519 public key (SPKI in base64); undefined for anything else. */
export function parsePublicKey(text: string): KeyObject | undefined {
  if (!publicKeys.has(text)) {
    if (publicKeys.size >= maximumCachedKeys) publicKeys.clear();
    publicKeys.set(text, readPublicKey(text));
  }
  return publicKeys.get(text);
}

function readPublicKey(text: string): KeyObject | undefined {
  try {
    const key = createPublicKey({
      key: Buffer.from(text, "base64"),
      format: "der",
      type: "spki",
    });
    return key.asymmetricKeyType === "ed25519" ? key : undefined;
  } catch {
    return undefined;
  }
}

export interface TeamKeyPair {
  /** SPKI in base64, for the `platform` section. */
  readonly publicKey: string;
  /** PKCS #8 in PEM, for the team's key file. */
  readonly privateKeyPem: string;
}

export function createTeamKeyPair(): TeamKeyPair {
  const { publicKey, privateKey } = generateKeyPairSync("ed25519");
  return {
    publicKey: encodePublicKey(publicKey),
    privateKeyPem: privateKey.export({ format: "pem", type: "pkcs8" })
      .toString(),
  };
}

/** The public key that belongs to a team's private key. */
export function publicKeyOf(privateKeyPem: string): string {
  return encodePublicKey(createPublicKey(readPrivateKey(privateKeyPem)));
}

function readPrivateKey(pem: string): KeyObject {
  let key: KeyObject | undefined;
  try {
    key = createPrivateKey(pem);
  } catch {
    // The error may quote the key file, so it must not become the cause of the error below.
  }
  if (key?.asymmetricKeyType !== "ed25519") {
    throw new RosemaryrudderError(
      "signing_key_unreadable",
      "the signing key is not an Ed25519 private key in PEM",
    );
  }
  return key;
}

function encodePublicKey(key: KeyObject): string {
  return key.export({ format: "der", type: "spki" }).toString("base64");
}
