/**
 * Patches of configuration texts. A change of a few lines out of a thousand costs each entry a few hundred
 * bytes instead of the whole text.
 *
 * The digest of the result is sent with the patch. A receiver that applied the patch to another text detects
 * the mismatch and requests the whole text.
 */
import { createHash } from "node:crypto";
import { applyPatch, createTwoFilesPatch } from "diff";

/** Gets the SHA-256 digest of a text, hexadecimal. */
export function getConfigurationDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Creates the patch that turns one text into another, without context lines. */
export function createConfigurationPatch(before: string, after: string): string {
  return createTwoFilesPatch("before", "after", before, after, "", "", { context: 0 });
}

/**
 * Applies a patch.
 * @param digest - Expected digest of the result.
 * @returns `undefined` if the patch does not apply or if the digest of the result differs.
 */
export function applyConfigurationPatch(before: string, patch: string, digest: string): string | undefined {
  const after = tryApplyPatch(before, patch);
  return after !== undefined && getConfigurationDigest(after) === digest ? after : undefined;
}

/** The library throws if the text is not a patch at all; this is handled like a patch that does not apply. */
function tryApplyPatch(before: string, patch: string): string | undefined {
  try {
    const after = applyPatch(before, patch);
    return after === false ? undefined : after;
  } catch {
    return undefined;
  }
}
