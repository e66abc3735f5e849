/** Messages of the agreement protocol to the other members, in order, over one long call each. */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
import { pause } from "../clock";
import type { Transport } from "../consensus";
import {
  type ConsensusMessage,
  ConsensusService,
  type DeliverRequestSchema,
} from "../gen/ploverstage/v1/consensus_pb";
import type { TransportPool } from "../rpc";

const MAX_QUEUED = 2_000;
const REOPEN_MS = 50;

/** A queue to one address, sent as one long call that is opened again when it breaks. */
class PeerQueue {
  private readonly _client: Client<typeof ConsensusService>;
  private _messages: ConsensusMessage[] = [];
  private _wake: () => void = () => {};
  private _isOpen = false;
  private readonly _closed = new AbortController();

  constructor(address: string, transports: TransportPool) {
    this._client = createClient(ConsensusService, transports.getTransport(address));
  }

  close(): void {
    this._closed.abort();
    this._wake();
  }

  add(message: ConsensusMessage): void {
    if (this._closed.signal.aborted) return;
    // Losing messages is allowed; holding them without bound is not.
    if (this._messages.length >= MAX_QUEUED) this._messages = [];
    this._messages.push(message);
    this._wake();
    if (!this._isOpen) void this._open();
  }

  private async _open(): Promise<void> {
    this._isOpen = true;
    const controller = new AbortController();
    const { signal } = this._closed;
    await this._client.deliver(this._takeBatches(controller.signal), { signal }).catch(() => {});
    controller.abort();
    this._wake();
    // What was queued for a peer that is away is stale by the time it answers.
    this._messages = [];
    await pause(REOPEN_MS);
    this._isOpen = false;
  }

  /** A broken call's batches end, so that they take nothing from the next one's. */
  private async *_takeBatches(
    broken: AbortSignal,
  ): AsyncGenerator<MessageInitShape<typeof DeliverRequestSchema>> {
    while (!broken.aborted && !this._closed.signal.aborted) {
      if (this._messages.length === 0) {
        await new Promise<void>((resolve) => {
          this._wake = resolve;
        });
        continue;
      }
      const messages = this._messages;
      this._messages = [];
      yield { messages };
    }
  }
}

/** Queues to all members. */
export class PeerTransport implements Transport {
  private readonly _transports: TransportPool;
  private readonly _queues = new Map<string, PeerQueue>();

  /**
   * @param transports - To the other members.
   */
  constructor(transports: TransportPool) {
    this._transports = transports;
  }

  /** Queues a message; one without an address is dropped. */
  send(message: ConsensusMessage, address: string): void {
    if (address === "") return;
    let queue = this._queues.get(address);
    if (queue === undefined) {
      queue = new PeerQueue(address, this._transports);
      this._queues.set(address, queue);
    }
    queue.add(message);
  }

  /** Ends all calls; nothing is sent any more. */
  close(): void {
    for (const queue of this._queues.values()) queue.close();
  }
}
