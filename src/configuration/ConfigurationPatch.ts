/**
 * Configuration texts sent as differences: a change of a few lines out of a thousand
 * costs each entry a few hundred bytes instead of the whole text.
 *
 * The digest of the result travels along. A receiver whose own text is not what the
 * sender took it for finds out by it, and asks for the whole text.
 */
import { createHash } from "node:crypto";
import { applyPatch, createTwoFilesPatch } from "diff";

/** A text's digest: SHA-256, hexadecimal. */
export function getConfigurationDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Gets the patch that turns one text into another, without context lines. */
export function createConfigurationPatch(before: string, after: string): string {
  return createTwoFilesPatch("before", "after", before, after, "", "", { context: 0 });
}

/**
 * Applies a patch.
 * @param digest - What the result must have.
 * @returns `undefined` when the patch doesn't fit or gives something else.
 */
export function applyConfigurationPatch(before: string, patch: string, digest: string): string | undefined {
  const after = tryApply(before, patch);
  return after !== undefined && getConfigurationDigest(after) === digest ? after : undefined;
}

/** A patch that is none makes the library throw; to the receiver it is one that doesn't fit. */
function tryApply(before: string, patch: string): string | undefined {
  try {
    const after = applyPatch(before, patch);
    return after === false ? undefined : after;
  } catch {
    return undefined;
  }
}
