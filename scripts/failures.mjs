// A reporter for node:test: one JSON line for each test that failed by itself, not by a test within it.
export default async function* reportFailures(events) {
  for await (const { type, data } of events) {
    if (type === 'test:fail' && data.details?.error?.failureType !== 'subtestsFailed') {
      yield `${JSON.stringify({ name: data.name, file: data.file })}\n`;
    }
  }
}
