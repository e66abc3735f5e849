/** Since when an entry has known the services of its declaration. Pure: times are monotonic milliseconds. */
import type { Declaration } from "../declaration";

export class NewServices {
  private _declaredAt: ReadonlyMap<string, number> = new Map();

  /** Applies a newer declaration; services that it keeps are not new. */
  setDeclaration(now: number, { services }: Declaration): void {
    this._declaredAt = new Map(services.map(({ name }) => [name, this._declaredAt.get(name) ?? now]));
  }

  /** Gets when a service was declared to this entry; `undefined` for an unknown service. */
  getDeclaredAt(service: string): number | undefined {
    return this._declaredAt.get(service);
  }
}
