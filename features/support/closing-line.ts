/**
 * Prints one plain line with the scenario counts at the end of a run, for CI to read.
 */
import { Formatter, Status, type IFormatterOptions } from '@cucumber/cucumber';

/** Counts finished scenarios by their worst step and prints `N passed, N failed, N skipped`. */
export default class ClosingLine extends Formatter {
  constructor(options: IFormatterOptions) {
    super(options);
    options.eventBroadcaster.on('envelope', (envelope: { testRunFinished?: object }) => {
      if (envelope.testRunFinished) this.printCounts();
    });
  }

  private printCounts(): void {
    const attempts = this.eventDataCollector.getTestCaseAttempts();
    const statuses = attempts
      .filter((a) => !a.willBeRetried)
      .map((a) => a.worstTestStepResult.status);
    const passed = statuses.filter((status) => status === Status.PASSED).length;
    const skipped = statuses.filter((status) => status === Status.SKIPPED).length;
    const failed = statuses.length - passed - skipped;
    this.log(`\n${passed} passed, ${failed} failed, ${skipped} skipped\n`);
  }
}
