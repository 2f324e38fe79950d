/** Tests with crowds of callers, which run apart from others: they need a process and a machine that are not busy otherwise. */
import common from './ava.config.js';

const config = {...common, files: ['test/platform/uncontrolled-callers.test.ts']};

export default config;
