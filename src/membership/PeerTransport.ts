/** Sends consensus messages to the other members, in order, over one streaming call to each member. */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
import { pause } from "../clock";
import type { Transport } from "../consensus";
import {
  type ConsensusMessage,
  ConsensusService,
  type DeliverRequestSchema,
} from "../gen/ploverstage/v1/consensus_pb";
import type { Logger } from "../metrics";
import type { TransportPool } from "../rpc";

const MAX_QUEUED_MESSAGES = 2_000;
const REOPEN_DELAY_MS = 50;

/** A queue of messages to one address, sent over one streaming call that is reopened when it fails. */
class PeerQueue {
  private readonly _address: string;
  private readonly _logger: Logger;
  private readonly _client: Client<typeof ConsensusService>;
  private _messages: ConsensusMessage[] = [];
  private _wakeSender: () => void = () => {};
  private _isOpen = false;
  private _sentBatches = 0;
  private readonly _closeController = new AbortController();

  constructor(address: string, transports: TransportPool, logger: Logger) {
    this._address = address;
    this._logger = logger;
    this._client = createClient(ConsensusService, transports.getTransport(address));
  }

  close(): void {
    this._closeController.abort();
    this._wakeSender();
  }

  add(message: ConsensusMessage): void {
    if (this._closeController.signal.aborted) return;
    // The protocol tolerates lost messages; a queue that grows without bound would exhaust memory.
    if (this._messages.length >= MAX_QUEUED_MESSAGES) this._messages = [];
    this._messages.push(message);
    this._wakeSender();
    if (!this._isOpen) void this._open();
  }

  private async _open(): Promise<void> {
    this._isOpen = true;
    const callController = new AbortController();
    const { signal } = this._closeController;
    this._sentBatches = 0;
    const batches = this._generateBatches(callController.signal);
    await this._client.deliver(batches, { signal }).catch((cause: unknown) => this._logEnd(cause));
    callController.abort();
    this._wakeSender();
    // Messages that were queued for an unreachable peer are stale by the time it is reachable again.
    this._messages = [];
    await pause(REOPEN_DELAY_MS);
    this._isOpen = false;
  }

  /** Logs the end of a call that carried messages; attempts at a peer that does not listen are frequent. */
  private _logEnd(cause: unknown): void {
    if (this._sentBatches === 0 || this._closeController.signal.aborted) return;
    this._logger.info({
      event: "consensus_call_ended",
      peer: this._address,
      batches: this._sentBatches,
      dropped: this._messages.length,
      reason: String(cause),
    });
  }

  /**
   * Generates the batches of one call. The generator ends when its call fails, so that it takes no messages
   * from the generator of the next call.
   */
  private async *_generateBatches(
    callSignal: AbortSignal,
  ): AsyncGenerator<MessageInitShape<typeof DeliverRequestSchema>> {
    while (!callSignal.aborted && !this._closeController.signal.aborted) {
      if (this._messages.length === 0) {
        await new Promise<void>((resolve) => {
          this._wakeSender = resolve;
        });
        continue;
      }
      const messages = this._messages;
      this._messages = [];
      this._sentBatches += 1;
      yield { messages };
    }
  }
}

/** Message queues to all members. */
export class PeerTransport implements Transport {
  private readonly _transports: TransportPool;
  private readonly _logger: Logger;
  private readonly _queues = new Map<string, PeerQueue>();

  /**
   * @param transports - Transports to the other members.
   * @param logger - Records why calls to members end.
   */
  constructor(transports: TransportPool, logger: Logger) {
    this._transports = transports;
    this._logger = logger;
  }

  /** Queues a message; a message without an address is dropped. */
  send(message: ConsensusMessage, address: string): void {
    if (address === "") return;
    let queue = this._queues.get(address);
    if (queue === undefined) {
      queue = new PeerQueue(address, this._transports, this._logger);
      this._queues.set(address, queue);
    }
    queue.add(message);
  }

  /** Ends all calls; later messages are dropped. */
  close(): void {
    for (const queue of this._queues.values()) queue.close();
  }
}
