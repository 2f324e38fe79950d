/**
 * Starts the bundled daemon with the code cache that V8 created at build time: a process that restarts after a power failure answers
 * callers earlier by the compilation time. With `--create-cache` it compiles the bundle, runs it until the daemon exits because of
 * missing settings, and writes the cache.
 */
'use strict';

const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const target = path.join(__dirname, '..', 'target');
const filename = path.join(target, 'endivemilld.cjs');
const cacheFile = path.join(target, 'endivemilld.cache');
const isCreating = process.argv.includes('--create-cache');

function readCache() {
	try {
		return isCreating ? undefined : fs.readFileSync(cacheFile);
	} catch (err) {
		console.error(`no code cache, the start takes longer: ${err.message}`);
		return undefined;
	}
}

const source = `(function (exports, require, module, __filename, __dirname) {${fs.readFileSync(filename, 'utf8')}\n})`;
// V8 rejects a cache from another version or with other flags and compiles the source again.
const script = new vm.Script(source, {filename, cachedData: readCache()});
if (isCreating) {
	process.on('exit', () => {
		fs.writeFileSync(cacheFile, script.createCachedData());
		process.exitCode = 0;
	});
	delete process.env.ENDIVEMILL_CONFIG;
}

script.runInThisContext()({}, require, module, filename, target);
