/** Compares two configuration texts, for people. */
import { createTwoFilesPatch } from "diff";

/**
 * Gets the difference of two texts in unified form.
 * @returns An empty string when they are alike.
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
