/** A request whose connection is read in turns with others. */
import { IncomingMessage } from "node:http";
import { bufferCollection } from "./bufferCollection";
import { ReadShare, ReadTurns } from "./ReadTurns";

/** The event loop is shared by all servers of a process. */
const TURNS = new ReadTurns((startTurn) => void setImmediate(startTurn));

let pacedRequest: typeof IncomingMessage | undefined;

/**
 * Gets the class of requests whose bodies are read in turns. It is defined on first use, since a startup snapshot
 * can't contain the class that it extends.
 */
export function getPacedRequest(): typeof IncomingMessage {
  pacedRequest ??= createPacedRequest();
  return pacedRequest;
}

function createPacedRequest(): typeof IncomingMessage {
  return class PacedRequest extends IncomingMessage {
    private readonly _share = new ReadShare(TURNS, {
      pauseReading: () => this.socket.pause(),
      resumeReading: () => {
        if (!this.socket.destroyed) this.socket.resume();
      },
    });

    /** Counts each chunk that the parser hands over. */
    override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
      if (chunk !== null) {
        this._share.add(chunk.length);
        bufferCollection.addReceived(chunk.length);
      }
      return super.push(chunk, encoding);
    }

    /** Reading on would resume a paused connection before its turn. */
    override _read(size: number): void {
      if (!this._share.isPaused) super._read(size);
    }
  };
}
