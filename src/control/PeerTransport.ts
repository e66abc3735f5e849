/** Messages of the agreement protocol to the other members, in order, one call at a time each. */
import { type Client, createClient } from "@connectrpc/connect";
import type { Transport } from "../consensus";
import { type ConsensusMessage, ConsensusService } from "../gen/ploverstage/v1/consensus_pb";
import { createRpcTransport } from "../rpc";

const MAX_QUEUED = 2_000;
const CALL_MS = 600;

/** A queue to one address. */
class PeerQueue {
  private readonly _client: Client<typeof ConsensusService>;
  private _messages: ConsensusMessage[] = [];
  private _isSending = false;

  constructor(address: string, secret: string) {
    this._client = createClient(ConsensusService, createRpcTransport(address, secret));
  }

  add(message: ConsensusMessage): void {
    // Losing messages is allowed; holding them without bound is not.
    if (this._messages.length >= MAX_QUEUED) this._messages = [];
    this._messages.push(message);
    if (!this._isSending) void this._sendAll();
  }

  private async _sendAll(): Promise<void> {
    this._isSending = true;
    while (this._messages.length > 0) {
      const messages = this._messages;
      this._messages = [];
      await this._client.deliver({ messages }, { timeoutMs: CALL_MS }).catch(() => {});
    }
    this._isSending = false;
  }
}

/** Queues to all members. */
export class PeerTransport implements Transport {
  private readonly _secret: string;
  private readonly _queues = new Map<string, PeerQueue>();

  /**
   * @param secret - The cluster's shared secret.
   */
  constructor(secret: string) {
    this._secret = secret;
  }

  /** Queues a message; one without an address is dropped. */
  send(message: ConsensusMessage, address: string): void {
    if (address === "") return;
    let queue = this._queues.get(address);
    if (queue === undefined) {
      queue = new PeerQueue(address, this._secret);
      this._queues.set(address, queue);
    }
    queue.add(message);
  }
}
