/** Compares two configuration texts for display to operators. */
import { createTwoFilesPatch } from "diff";

/**
 * Gets the unified diff of two texts.
 * @returns An empty string if the texts are equal.
 */
export function diffConfiguration(
  before: string,
  after: string,
  beforeName: string,
  afterName: string,
): string {
  if (before === after) return "";
  return createTwoFilesPatch(beforeName, afterName, before, after, "", "", { context: 2 });
}
