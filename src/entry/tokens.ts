/** Estimates of tokens, made without the models' own tokenizers. */

/** Characters a token holds on the average. */
export const CHARACTERS_PER_TOKEN = 4;

/**
 * Work of a prompt token against that of a generated one: a prefill works on many
 * tokens at once.
 */
export const PROMPT_TOKEN_COST = 0.1;

/** Estimates the tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
