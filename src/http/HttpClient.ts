/**
 * Calls over HTTP/1.1 that know how far they came: an error tells whether a byte of
 * the request may have reached the other side.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";
import { LostAnswer, MalformedAnswer, UnreachableEndpoint } from "../errors";

/** One call. */
export interface HttpCall {
  readonly method: string;
  /** host:port */
  readonly address: string;
  readonly path: string;
  /** Named headers, or names and values in turn as they are to stand on the wire. */
  readonly headers?: IncomingHttpHeaders | readonly string[];
  /** Whole body, or nothing. */
  readonly body?: string | Uint8Array;
  /** Longest time to connect. */
  readonly connectMs: number;
  /** Longest silence before and within the answer. */
  readonly idleMs: number;
  /** Ends the call from outside. */
  readonly signal?: AbortSignal;
  /** Longest JSON answer that is read; 16 MB if not given. */
  readonly maxJsonBytes?: number;
  /** Uses a connection of its own, so that no idle-close race leaves the outcome unknown. */
  readonly isFresh?: boolean;
  /** Runs once connected, right before the first byte goes out; what it throws ends the call unsent. */
  readonly beforeSend?: () => void;
}

/** An idle connection is closed after this time, unless the other side says sooner. */
const KEEP_ALIVE_MS = 4_000;
const MAX_JSON_BYTES = 16_000_000;
/** Informational answers to one call; whoever sends more sends no answer. */
const MAX_INFORMATIONAL = 16;

/** A client with its own pool of connections. */
export class HttpClient {
  private readonly _agent: Agent;

  /**
   * @param keepAliveMs - How long an idle connection is kept.
   */
  constructor(keepAliveMs = KEEP_ALIVE_MS) {
    this._agent = new Agent({ keepAlive: true, timeout: keepAliveMs, scheduling: "lifo" });
  }

  /** Closes idle connections. */
  close(): void {
    this._agent.destroy();
  }

  /** Closes connections that carry nothing now: after a suspension the other sides may have closed them long ago. */
  closeIdle(): void {
    for (const sockets of Object.values(this._agent.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }

  /**
   * Sends a call and waits for the head of its answer.
   * @throws UnreachableEndpoint - No byte was sent.
   * @throws LostAnswer - Bytes may have been sent.
   */
  send(call: HttpCall): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = this._createRequest(call);
      const progress = new CallProgress(call, outgoing);
      outgoing.once("response", (answer) => {
        // An answer without a length ends with its connection: a reset must not look like its end.
        outgoing.on("error", (cause) => answer.destroy(cause));
        resolve(answer);
      });
      outgoing.on("error", (cause) => reject(progress.createError(cause)));
      outgoing.once("close", () => reject(progress.createError(new Error("the connection was closed"))));
    });
  }

  /**
   * Sends a call and reads a JSON answer whole; all of it comes within the longest silence, or the answer is lost.
   * @returns Status and decoded body.
   * @throws UnreachableEndpoint, LostAnswer, MalformedAnswer
   */
  async sendJson(call: HttpCall): Promise<{ status: number; body: unknown }> {
    const answer = await this.send(call);
    const text = await readText(answer, call);
    try {
      return { status: answer.statusCode ?? 0, body: text === "" ? undefined : JSON.parse(text) };
    } catch {
      throw new MalformedAnswer({ address: call.address, reason: "the body is no JSON" });
    }
  }

  private _createRequest(call: HttpCall): ClientRequest {
    const { host, port } = splitAddress(call.address);
    return request({
      host,
      port,
      method: call.method,
      path: call.path,
      headers: call.headers as IncomingHttpHeaders | string[] | undefined,
      agent: call.isFresh ? false : this._agent,
      timeout: call.idleMs,
      signal: call.signal,
    });
  }
}

/** Follows one call: waits for its connection, then sends it. */
class CallProgress {
  private readonly _call: HttpCall;
  private readonly _outgoing: ClientRequest;
  private readonly _timer: NodeJS.Timeout;
  private _isSent = false;
  private _timedOut = "";
  private _prevented: unknown;
  private _informational = 0;

  constructor(call: HttpCall, outgoing: ClientRequest) {
    this._call = call;
    this._outgoing = outgoing;
    this._timer = setTimeout(() => this._giveUp(`no connection within ${call.connectMs} ms`), call.connectMs);
    outgoing.once("socket", (socket) => {
      if (socket.connecting) socket.once("connect", () => this._sendNow());
      else this._sendNow();
    });
    outgoing.on("information", () => {
      this._informational += 1;
      if (this._informational > MAX_INFORMATIONAL) this._giveUp("too many informational answers");
    });
    outgoing.on("timeout", () => this._giveUp(`silent for ${call.idleMs} ms`));
    outgoing.once("close", () => clearTimeout(this._timer));
  }

  createError(cause: Error): unknown {
    clearTimeout(this._timer);
    if (this._prevented !== undefined) return this._prevented;
    const reason = this._timedOut || cause.message;
    const address = this._call.address;
    if (this._isSent) return new LostAnswer({ address, reason });
    return new UnreachableEndpoint({ address, reason });
  }

  /** Nothing is written before this: a request's head goes out with its end. */
  private _sendNow(): void {
    clearTimeout(this._timer);
    if (this._outgoing.destroyed) return;
    try {
      this._call.beforeSend?.();
    } catch (cause) {
      this._prevented = cause;
      this._outgoing.destroy();
      return;
    }
    this._isSent = true;
    this._outgoing.end(this._call.body);
  }

  private _giveUp(reason: string): void {
    this._timedOut = reason;
    this._outgoing.destroy();
  }
}

/** Splits host:port. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/** Reads an answer's body as text, up to a bound of bytes and of time. */
async function readText(
  answer: IncomingMessage,
  { address, idleMs, maxJsonBytes = MAX_JSON_BYTES }: HttpCall,
): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  const late = new LostAnswer({ address, reason: `its body took longer than ${idleMs} ms` });
  const timer = setTimeout(() => answer.destroy(late), idleMs);
  try {
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maxJsonBytes) throw new MalformedAnswer({ address, reason: "the body is too long" });
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
