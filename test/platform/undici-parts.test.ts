import {execFile} from 'node:child_process';
import {createRequire} from 'node:module';
import {promisify} from 'node:util';
import test from 'ava';

const run = promisify(execFile);

test('the parts of undici that the bundle uses exist in the library', t => {
	const require = createRequire(import.meta.url);
	const parts = require('../../deploy/undici.cjs') as Readonly<Record<string, unknown>>;
	t.deepEqual(Object.keys(parts).toSorted(), ['Agent', 'Pool', 'buildConnector']);
	t.true(Object.values(parts).every(part => typeof part === 'function'));
});

test('the bundle uses nothing else of undici', async t => {
	// Names that the bundled sources import from undici, as resolved by the bundler.
	const {stdout} = await run('npx', [
		'esbuild',
		'src/platform/main.ts',
		'--bundle',
		'--platform=node',
		'--target=node20',
		'--format=esm',
		'--external:undici',
		'--external:dtrace-provider',
		'--external:mv',
		'--external:source-map-support',
	], {maxBuffer: 64 * 1024 * 1024});
	const imported = [...stdout.matchAll(/^import \{(?<names>[^\}]+)\} from "undici";$/gmv)].flatMap(({groups}) => groups!.names!.split(','));
	const names = new Set(imported.map(name => name.trim().split(' ')[0]!));
	t.true(names.size > 0);
	t.true([...names].every(name => ['Agent', 'Pool', 'buildConnector'].includes(name)));
});
