/**
 * How long a step may take before it is taken to hang.
 *
 * It decides no verdict: what a scenario waits for has a bound of its own, of which `waitFor` says
 * what it waited for. cucumber's own five seconds are shorter than that one, and on a busy machine
 * end steps that would have come to a verdict.
 */
import { setDefaultTimeout } from '@cucumber/cucumber';

const LONGEST_STEP_MS = 60_000;

setDefaultTimeout(LONGEST_STEP_MS);
