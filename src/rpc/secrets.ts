/** Shared secrets on calls between processes and from operators. */
import { createHash, timingSafeEqual } from "node:crypto";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { MissingSecret } from "../errors";

const SECRET_HEADER = "authorization";

/** Creates an interceptor that sends the secret with each call. */
export function createSecretSender(secret: string): Interceptor {
  return (next) => (call) => {
    call.header.set(SECRET_HEADER, `Bearer ${secret}`);
    return next(call);
  };
}

/** Creates an interceptor that refuses calls without the secret. */
export function createSecretGuard(secret: string, interfaceName: string): Interceptor {
  const expected = `Bearer ${secret}`;
  return (next) => (call) => {
    if (!isSecret(expected, call.header.get(SECRET_HEADER) ?? "")) {
      const refusal = new MissingSecret({ interface: interfaceName });
      throw new ConnectError(refusal.message, Code.Unauthenticated);
    }
    return next(call);
  };
}

/** Compares a received secret with the expected one, in a time that does not depend on either. */
export function isSecret(expected: string, received: string): boolean {
  return timingSafeEqual(hashText(expected), hashText(received));
}

/** Hashes a text. Digests have equal lengths, so comparing them reveals nothing about the secret's length. */
function hashText(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
