/** HTTP/1.1 calls whose errors state whether any byte of the request may have reached the server. */
import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";
import { connect } from "node:net";
import { LostAnswer, MalformedAnswer, UnreachableEndpoint } from "../errors";
import { ClientSocket } from "./ClientSocket";
import { createAgent } from "./createAgent";
import { getHeadDefect } from "./getHeadDefect";
import { isFramed } from "./isFramed";

/** A body that may be evicted after it has been sent. */
export interface HttpBody {
  /** The bytes, read when the call is sent. */
  readonly chunks: readonly Uint8Array[];
  /** Called when the body is being sent. Returns a function that is called once it was sent or the call is over. */
  startSending(): () => void;
}

/** An HTTP request and its limits. */
export interface HttpCall {
  readonly method: string;
  /** Address in the form host:port. */
  readonly address: string;
  readonly path: string;
  /** Headers by name, or a list of alternating names and values that is sent unchanged. */
  readonly headers?: IncomingHttpHeaders | readonly string[];
  /** The whole body; `undefined` for none. */
  readonly body?: string | Uint8Array | HttpBody;
  /** Maximum time to connect, in milliseconds. */
  readonly connectMs: number;
  /** Maximum time without data before and during the response, in milliseconds. */
  readonly idleMs: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
  /** Maximum size of a JSON response; 16 MB by default. */
  readonly maxJsonBytes?: number;
  /**
   * Whether to use a new connection. A reused one may be closed by the server while the request is sent,
   * which leaves the outcome unknown.
   */
  readonly isFresh?: boolean;
  /**
   * Called once connected, right before the first byte is sent, with whether the connection is new. An
   * exception ends the call without sending anything.
   */
  readonly beforeSend?: (isNewConnection: boolean) => void;
}

/** How an address responds to a connection. */
export type ProbeOutcome = "accepted" | "refused" | "silent";

export interface HttpClientOptions {
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly keepAliveMs?: number;
  /** Local IP address of the connections; chosen by the operating system by default. */
  readonly sourceAddress?: string | undefined;
}

/** A connection within a region is established or refused within a few milliseconds. */
const PROBE_TIMEOUT_MS = 300;
/** Time after which an idle connection is closed, unless the server announces a shorter one. */
const KEEP_ALIVE_MS = 4_000;
const MAX_JSON_BYTES = 16_000_000;
/**
 * Maximum number of informational responses to one call. A server that sends more is treated as sending no
 * response.
 */
const MAX_INFORMATIONAL = 16;

/** An HTTP client with its own connection pool. */
export class HttpClient {
  private readonly _agent: Agent;
  private readonly _sourceAddress: string | undefined;

  /** @param options - Limits and the local address of the connections. */
  constructor({ keepAliveMs = KEEP_ALIVE_MS, sourceAddress }: HttpClientOptions = {}) {
    this._sourceAddress = sourceAddress;
    this._agent = createAgent({ keepAlive: true, timeout: keepAliveMs, scheduling: "lifo" });
  }

  /** Closes all pooled connections. */
  close(): void {
    this._agent.destroy();
  }

  /** Checks whether an idle connection to an address is open. */
  hasIdleConnection(address: string): boolean {
    const { host, port } = splitAddress(address);
    const name = this._agent.getName({ host, port, localAddress: this._sourceAddress });
    return (this._agent.freeSockets[name] ?? []).length > 0;
  }

  /** Opens a connection to an address and closes it at once. */
  probe(address: string): Promise<ProbeOutcome> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port, localAddress: this._sourceAddress, timeout: PROBE_TIMEOUT_MS });
      const end = (outcome: ProbeOutcome) => {
        socket.destroy();
        resolve(outcome);
      };
      socket.once("connect", () => end("accepted"));
      socket.once("timeout", () => end("silent"));
      socket.once("error", (cause: NodeJS.ErrnoException) =>
        end(cause.code === "ECONNREFUSED" ? "refused" : "silent"),
      );
    });
  }

  /** Closes idle connections. After a suspension of this process, servers may already have closed them. */
  closeIdle(): void {
    for (const sockets of Object.values(this._agent.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }

  /**
   * Sends a call and waits for the head of the response.
   * @throws UnreachableEndpoint - No byte was sent.
   * @throws LostAnswer - Bytes may have been sent.
   * @throws MalformedAnswer - The head of the response is invalid.
   */
  send(call: HttpCall): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = this._createRequest(call);
      const progress = new CallProgress(call, outgoing);
      outgoing.once("response", (answer) => {
        const defect = getHeadDefect(answer);
        if (defect !== undefined) {
          reject(new MalformedAnswer({ address: call.address, reason: defect }));
          outgoing.destroy();
          return;
        }
        if (!isFramed(answer, call.method)) markEndOfAnswer(outgoing);
        // A response without a length ends with its connection, so a reset must be passed on as an error.
        outgoing.on("error", (cause) => answer.destroy(cause));
        resolve(answer);
      });
      outgoing.on("error", (cause) => reject(progress.createError(cause)));
      outgoing.once("close", () => reject(progress.createError(new Error("the connection was closed"))));
    });
  }

  /**
   * Sends a call and reads a JSON response. The whole body must arrive within `idleMs`.
   * @returns Status and decoded body; the body is `undefined` if empty.
   * @throws UnreachableEndpoint - No byte was sent.
   * @throws LostAnswer - Bytes may have been sent, or the response was incomplete or late.
   * @throws MalformedAnswer - The head is invalid, or the body is too long or not valid JSON.
   */
  async sendJson(call: HttpCall): Promise<{ status: number; body: unknown }> {
    const answer = await this.send(call);
    const text = await readText(answer, call);
    try {
      return { status: answer.statusCode ?? 0, body: text === "" ? undefined : JSON.parse(text) };
    } catch {
      throw new MalformedAnswer({ address: call.address, reason: "the body is not valid JSON" });
    }
  }

  private _createRequest(call: HttpCall): ClientRequest {
    const { host, port } = splitAddress(call.address);
    return request({
      host,
      port,
      localAddress: this._sourceAddress,
      method: call.method,
      path: call.path,
      headers: call.headers as IncomingHttpHeaders | string[] | undefined,
      agent: call.isFresh ? createAgent() : this._agent,
      timeout: call.idleMs,
      signal: call.signal,
    });
  }
}

/** Tracks one call: waits for its connection, then sends the request. */
class CallProgress {
  private readonly _call: HttpCall;
  private readonly _outgoing: ClientRequest;
  private readonly _timer: NodeJS.Timeout;
  private _isSent = false;
  private _abortReason = "";
  private _beforeSendError: unknown;
  private _informationalCount = 0;

  constructor(call: HttpCall, outgoing: ClientRequest) {
    this._call = call;
    this._outgoing = outgoing;
    this._timer = setTimeout(() => this._abort(`not connected within ${call.connectMs} ms`), call.connectMs);
    outgoing.once("socket", (socket) => {
      if (socket.connecting) socket.once("connect", () => this._sendNow());
      else this._sendNow();
    });
    outgoing.on("information", () => {
      this._informationalCount += 1;
      if (this._informationalCount > MAX_INFORMATIONAL) this._abort("too many informational responses");
    });
    outgoing.on("timeout", () => this._abort(`silent for ${call.idleMs} ms`));
    outgoing.once("close", () => clearTimeout(this._timer));
  }

  createError(cause: Error): unknown {
    clearTimeout(this._timer);
    if (this._beforeSendError !== undefined) return this._beforeSendError;
    const reason = this._abortReason || cause.message;
    const address = this._call.address;
    if (this._isSent) return new LostAnswer({ address, reason });
    return new UnreachableEndpoint({ address, reason });
  }

  /**
   * Sends the request. No byte is written earlier, because Node writes the head of a request together with
   * the first bytes of its body, or with its end.
   */
  private _sendNow(): void {
    clearTimeout(this._timer);
    if (this._outgoing.destroyed) return;
    try {
      this._call.beforeSend?.(!this._outgoing.reusedSocket);
    } catch (cause) {
      this._beforeSendError = cause;
      this._outgoing.destroy();
      return;
    }
    this._isSent = true;
    this._sendBody();
  }

  private _sendBody(): void {
    const { body } = this._call;
    if (body === undefined || typeof body === "string" || body instanceof Uint8Array) {
      this._outgoing.end(body);
      return;
    }
    const endSending = body.startSending();
    this._outgoing.once("finish", endSending);
    this._outgoing.once("close", endSending);
    for (const chunk of body.chunks.slice(0, -1)) this._outgoing.write(chunk);
    this._outgoing.end(body.chunks.at(-1));
  }

  private _abort(reason: string): void {
    this._abortReason = reason;
    this._outgoing.destroy();
  }
}

/** Lets the end of the connection end the answer of a call, until the call is over. */
function markEndOfAnswer(outgoing: ClientRequest): void {
  const { socket } = outgoing;
  if (!(socket instanceof ClientSocket)) return;
  socket.setEndsAnswer(true);
  outgoing.once("close", () => socket.setEndsAnswer(false));
}

/** Splits an address of the form host:port. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Reads a response body as text, within the limits on size and time. */
async function readText(
  answer: IncomingMessage,
  { address, idleMs, maxJsonBytes = MAX_JSON_BYTES }: HttpCall,
): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  const timeoutError = new LostAnswer({ address, reason: `the body took longer than ${idleMs} ms` });
  const timer = setTimeout(() => answer.destroy(timeoutError), idleMs);
  try {
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maxJsonBytes)
        throw new MalformedAnswer({ address, reason: "the body exceeds the maximum length" });
      chunks.push(chunk);
    }
  } catch (cause) {
    if (cause instanceof MalformedAnswer || cause instanceof LostAnswer) throw cause;
    throw new LostAnswer({ address, reason: String(cause) });
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(chunks).toString("utf8");
}
