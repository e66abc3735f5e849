/** Estimates token counts without the tokenizers of the models. */

/** Mean number of characters per token. */
export const CHARACTERS_PER_TOKEN = 4;

/**
 * Cost of a prompt token relative to a generated token. It is lower because a prefill processes many tokens
 * at once.
 */
export const PROMPT_TOKEN_COST = 0.1;

/** Estimates the number of tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
