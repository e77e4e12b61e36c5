// A vitest reporter that writes what failed in a run to the file in FAILURES_FILE, for known_red.mjs.
import { writeFileSync } from "node:fs";

export default class FailuresReporter {
  onTestRunEnd(modules, unhandledErrors, reason) {
    const tests = modules.flatMap((module) =>
      [...module.children.allTests("failed")].map((test) => ({
        file: module.relativeModuleId,
        title: test.fullName,
        messages: test.result().errors.map(({ message }) => message),
      })),
    );
    const otherErrors = [
      ...modules.flatMap((module) => [
        ...module.errors(),
        ...[...module.children.allSuites()].flatMap((suite) => suite.errors()),
      ]),
      ...unhandledErrors,
    ].map(({ message }) => message);
    const failures = { reason, tests, otherErrors };
    writeFileSync(process.env.FAILURES_FILE, JSON.stringify(failures, undefined, 2));
  }
}
