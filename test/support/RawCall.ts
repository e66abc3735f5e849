/** A request on a connection of its own, whose answer is read byte by byte. */
import { connect, type Socket } from "node:net";
import { splitAddress } from "../../src/http";

const LAST_CHUNK = "\r\n0\r\n\r\n";
const HEAD_END = "\r\n\r\n";

/** A request as its caller writes it. */
export interface RawRequest {
  readonly path: string;
  readonly id: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Version of HTTP; 1.1 by default. */
  readonly version?: string;
  /** Whether the caller reads the first bytes only, until it is told to read on. */
  readonly readsLate?: boolean;
}

/** What a caller sees on its connection. */
export class RawCall {
  /** Resolves when the connection is closed. */
  readonly ended: Promise<this>;
  private readonly _socket: Socket;
  private readonly _chunks: Buffer[] = [];
  private _end = "";

  /** Sends a request to an entry. */
  constructor(address: string, { path, id, headers = {}, version = "1.1", readsLate = false }: RawRequest) {
    const { host, port } = splitAddress(address);
    const fields = {
      host,
      "x-ploverstage-request-id": id,
      "x-ploverstage-deadline-ms": "8000",
      "api-key": "k1",
      "content-length": "5",
      ...headers,
    };
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    const socket = connect(port, host);
    this._socket = socket;
    socket.write(`POST ${path} HTTP/${version}\r\n${lines.join("")}\r\nhello`);
    socket.on("data", (chunk: Buffer) => this._chunks.push(chunk));
    if (readsLate) socket.once("data", () => socket.pause());
    socket.once("end", () => {
      this._end ||= "in order";
    });
    socket.once("error", (cause: NodeJS.ErrnoException) => {
      this._end ||= cause.code ?? "error";
    });
    this.ended = new Promise((resolve) => socket.once("close", () => resolve(this)));
  }

  /** Gets all that has arrived. */
  get text(): string {
    return Buffer.concat(this._chunks).toString("latin1");
  }

  /** Gets how the connection ended: "in order", or the code of its error. */
  get end(): string {
    return this._end;
  }

  /** Gets the status of the answer; `undefined` before it has arrived. */
  get status(): number | undefined {
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(this.text)?.[1];
    return status === undefined ? undefined : Number(status);
  }

  /** Gets whether any byte of an answer's body has arrived. */
  get hasBegun(): boolean {
    const { text } = this;
    return text.includes(HEAD_END) && !text.endsWith(HEAD_END);
  }

  /** Gets whether a caller takes the answer for complete (RFC 9112, section 8). */
  get isComplete(): boolean {
    const { text } = this;
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) return false;
    const head = text.slice(0, headEnd);
    if (/^transfer-encoding: *chunked/im.test(head)) return text.endsWith(LAST_CHUNK);
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    if (length === undefined) return this._end === "in order";
    return text.length - headEnd - HEAD_END.length === Number(length);
  }

  /** Starts to read. */
  readOn(): void {
    this._socket.resume();
  }

  /** Closes the connection. */
  close(): void {
    this._socket.destroy();
  }
}
