/** Shared secrets on calls between processes and from operators. */
import { createHash, timingSafeEqual } from "node:crypto";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { MissingSecret } from "../errors";

const HEADER = "authorization";

/** Makes an interceptor that shows the secret with each call. */
export function createSecretSender(secret: string): Interceptor {
  return (next) => (call) => {
    call.header.set(HEADER, `Bearer ${secret}`);
    return next(call);
  };
}

/** Makes an interceptor that refuses calls without the secret. */
export function createSecretGuard(secret: string, interfaceName: string): Interceptor {
  const expected = digest(`Bearer ${secret}`);
  return (next) => (call) => {
    if (!timingSafeEqual(expected, digest(call.header.get(HEADER) ?? ""))) {
      const refusal = new MissingSecret({ interface: interfaceName });
      throw new ConnectError(refusal.message, Code.Unauthenticated);
    }
    return next(call);
  };
}

/** Digests have one length, so comparing them tells nothing of the secret's. */
function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
