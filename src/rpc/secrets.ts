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
  const expected = hashText(`Bearer ${secret}`);
  return (next) => (call) => {
    if (!timingSafeEqual(expected, hashText(call.header.get(SECRET_HEADER) ?? ""))) {
      const refusal = new MissingSecret({ interface: interfaceName });
      throw new ConnectError(refusal.message, Code.Unauthenticated);
    }
    return next(call);
  };
}

/** Hashes a text. Digests have equal lengths, so comparing them reveals nothing about the secret's length. */
function hashText(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
