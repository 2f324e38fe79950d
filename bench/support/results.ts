/**
 * Writes the results of benchmarks.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {cpus} from 'node:os';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

const resultsFolder = pathToFileURL(`${process.cwd()}/bench/results/`);

/**
 * Writes the results of a benchmark as JSON and prints the path.
 * @param name - Name of the benchmark.
 * @param results - Results to write.
 */
export async function writeResults(name: string, results: Record<string, unknown>): Promise<void> {
	const file = new URL(`${name}.json`, resultsFolder);
	const machine = {node: process.version, cores: cpus().length, model: cpus()[0]?.model ?? ''};
	await mkdir(resultsFolder, {recursive: true});
	await writeFile(file, `${JSON.stringify({measuredAt: new Date().toISOString(), machine, ...results}, undefined, '\t')}\n`);
	process.stdout.write(`written to bench/results/${name}.json\n`);
}
