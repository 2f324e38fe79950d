/**
 * Starts the bundled daemon with the code that V8 compiled when it was built: a process that starts after a loss of power answers
 * callers sooner by the time of the compilation. With `--create-cache` it compiles, runs until the daemon ends for want of
 * settings, and writes the cache.
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
// V8 compiles anew where the cache comes from another version or from other flags.
const script = new vm.Script(source, {filename, cachedData: readCache()});
if (isCreating) {
	process.on('exit', () => {
		fs.writeFileSync(cacheFile, script.createCachedData());
		process.exitCode = 0;
	});
	delete process.env.ENDIVEMILL_CONFIG;
}

script.runInThisContext()({}, require, module, filename, target);
