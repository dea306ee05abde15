/**
 * The progress of a run, its failures, and one plain line with the scenario counts for CI to read.
 */
import { ProgressFormatter, Status, type IFormatterOptions } from '@cucumber/cucumber';

/** Counts finished scenarios by their worst step and prints `N passed, N failed, N skipped`. */
export default class ClosingLine extends ProgressFormatter {
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
