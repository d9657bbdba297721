/** A store in memory that can return with an older copy. */
import {
  type EntryMember,
  RecordKind,
  type Registration,
  type RegistryRecord,
  type RegistrySource,
  type SourceError,
  SourceErrorKind,
} from '@toucanbend/registry';
import { err, ok, type Result } from 'neverthrow';

interface Item {
  readonly revision: number;
  readonly value: unknown;
}

/** A store in memory that can return with an older copy; its calls are answered at once. */
export class CopiedStore implements RegistrySource {
  era = 1;
  #firstRevision = 0;
  revision = 100;
  readonly #handlers: ((era: number) => void)[] = [];
  #items = new Map<string, Item>();
  readonly registered: Registration[] = [];

  write(kind: RecordKind, id: string, value: unknown): void {
    this.revision += 1;
    this.#items.set(`${kind}/${id}`, { revision: this.revision, value });
  }

  remove(kind: RecordKind, id: string): void {
    this.write(kind, id, undefined);
  }

  copy(): { revision: number; items: Map<string, Item> } {
    return { revision: this.revision, items: new Map(this.#items) };
  }

  restore({ revision, items }: { revision: number; items: Map<string, Item> }): void {
    this.revision = revision;
    this.#items = new Map(items);
    this.era += 1;
    this.#handlers.forEach((handle) => {
      handle(this.era);
    });
  }

  /** Forgets the changes so far: watches from earlier revisions are rejected. */
  forgetHistory(): void {
    this.#firstRevision = this.revision;
  }

  list(kind: RecordKind): ReturnType<RegistrySource['list']> {
    const records = this.#records(kind, 0).filter((record) => record.value !== undefined);
    return this.#answer({ records, position: { era: this.era, revision: this.revision } });
  }

  watch(
    kind: RecordKind,
    position: { readonly era: number; readonly revision: number },
  ): ReturnType<RegistrySource['watch']> {
    const isKnown = position.revision >= this.#firstRevision && position.revision <= this.revision;
    if (position.era !== this.era || !isKnown) {
      return Promise.resolve(err({ kind: SourceErrorKind.HistoryLost, message: '410' }));
    }
    const records = this.#records(kind, position.revision);
    return this.#answer({ records, position: { era: this.era, revision: this.revision } });
  }

  register(member: EntryMember): ReturnType<RegistrySource['register']> {
    this.write(RecordKind.Entry, member.name, member);
    const lease = String(this.registered.length);
    const registration = { member, lease, position: { era: this.era, revision: this.revision } };
    this.registered.push(registration);
    return this.#answer(registration);
  }

  renew({ position }: Registration): ReturnType<RegistrySource['renew']> {
    const ended: SourceError = { kind: SourceErrorKind.LeaseEnded, message: 'another era' };
    return Promise.resolve(position.era === this.era ? ok() : err(ended));
  }

  release(): ReturnType<RegistrySource['release']> {
    return Promise.resolve(ok());
  }

  quarantine(): ReturnType<RegistrySource['quarantine']> {
    return Promise.resolve(ok());
  }

  endQuarantine(): ReturnType<RegistrySource['endQuarantine']> {
    return Promise.resolve(ok());
  }

  onRestored(handle: (era: number) => void): void {
    this.#handlers.push(handle);
  }

  #answer<Value>(value: Value): Promise<Result<Value, SourceError>> {
    return Promise.resolve(ok(value));
  }

  #records(kind: RecordKind, since: number): RegistryRecord[] {
    return [...this.#items]
      .filter(([key, { revision }]) => key.startsWith(`${kind}/`) && revision > since)
      .map(([key, { revision, value }]) => {
        const id = key.slice(kind.length + 1);
        return { kind, id, position: { era: this.era, revision }, value } as RegistryRecord;
      });
  }
}
