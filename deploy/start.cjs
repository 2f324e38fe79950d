/**
 * Starts the bundled daemon with the code cache that V8 created at build time: a process that restarts after a power failure answers
 * callers earlier by the compilation time. With `--create-cache` it compiles the bundle, runs it until the daemon exits, and writes the cache with
 * all functions that were compiled until then; without settings the daemon exits at once.
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
		// A file that is written in part must not take the place of a whole one.
		fs.writeFileSync(`${cacheFile}.new`, script.createCachedData());
		fs.renameSync(`${cacheFile}.new`, cacheFile);
		process.exitCode = 0;
	});
}

script.runInThisContext()({}, require, module, filename, target);
