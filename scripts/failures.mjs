// Reporter for node:test: one JSON line per failed test, without suites that failed only because of a subtest.
export default async function* reportFailures(events) {
  for await (const { type, data } of events) {
    if (type === 'test:fail' && data.details?.error?.failureType !== 'subtestsFailed') {
      yield `${JSON.stringify({ name: data.name, file: data.file })}\n`;
    }
  }
}
