/** XO's rules as they ship; the few departures follow the house style and are explained in docs/DEVELOPERS.md. */
const config = [
	{
		ignores: ['dist/**', 'build/**', 'coverage/**', 'bench/out/**'],
	},
	{
		rules: {
			// Short customary names (`req`, `res`, `cfg`, `err`) are the house style.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Reading one answer after another is the point of a connection's task.
			'no-await-in-loop': 'off',
			'capitalized-comments': 'off',
		},
	},
	{
		files: ['src/**/*.ts'],
		rules: {
			'no-restricted-syntax': [
				'error',
				{selector: 'CallExpression[callee.object.name="Date"][callee.property.name="now"]', message: 'Take the time from the Clock that is passed in.'},
				{selector: 'CallExpression[callee.object.name="Math"][callee.property.name="random"]', message: 'Take random numbers from the Random that is passed in.'},
				{selector: 'NewExpression[callee.name="Date"][arguments.length=0]', message: 'Take the time from the Clock that is passed in.'},
			],
		},
	},
	{
		// The field names of the platform's messages and settings are given.
		files: [
			'src/platform/etcd-messages.ts',
			'src/platform/wire-*.ts',
			'src/platform/settings-file.ts',
			'src/testing/etcd-stand-in-*.ts',
			'src/testing/platform-*.ts',
			'test/platform/**',
			'bench/soak-processes/**',
			'deploy/warm-up.ts',
		],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		files: ['src/seams/**/*.ts'],
		rules: {'no-restricted-syntax': 'off'},
	},
];

export default config;
