/**
 * The progress of a run, its failures, and one plain line with the scenario counts for CI to read.
 */
import { existsSync, readFileSync } from 'node:fs';
import { ProgressFormatter, Status, type IFormatterOptions } from '@cucumber/cucumber';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** Counts finished scenarios by their worst step and prints `N passed, N failed, N skipped`. */
export default class ClosingLine extends ProgressFormatter {
  constructor(options: IFormatterOptions) {
    super(options);
    options.eventBroadcaster.on('envelope', (envelope: { testRunFinished?: object }) => {
      if (envelope.testRunFinished) this.printCounts();
    });
  }

  /** The scenarios that CI passes over, so that no run hides them. */
  private printKnownRed(): void {
    if (!existsSync(KNOWN_RED_FILE)) return;
    this.log(`\nPassed over, known to fail:\n${readFileSync(KNOWN_RED_FILE, 'utf8')}`);
  }

  private printCounts(): void {
    const attempts = this.eventDataCollector.getTestCaseAttempts();
    const statuses = attempts
      .filter((a) => !a.willBeRetried)
      .map((a) => a.worstTestStepResult.status);
    const passed = statuses.filter((status) => status === Status.PASSED).length;
    const skipped = statuses.filter((status) => status === Status.SKIPPED).length;
    const failed = statuses.length - passed - skipped;
    this.printKnownRed();
    this.log(`\n${passed} passed, ${failed} failed, ${skipped} skipped\n`);
  }
}
