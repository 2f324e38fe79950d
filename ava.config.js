/** All tests but those of {@link ./ava.crowds.config.js}. */
const config = {
	extensions: {ts: 'module'},
	files: ['test/**/*.test.ts', '!test/platform/uncontrolled-callers.test.ts'],
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	timeout: '2m',
};

export default config;
