/**
 * Reads the log of `npm test` and the list of known failing tests; prints the ignored and the other failures and the counts.
 * Usage: verdict.mjs LOG KNOWN-RED EXIT-CODE; the last line is "PASSED FAILED", counts to be added to those of other steps.
 */
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const [logFile, knownFile, exitCode] = process.argv.slice(2);
const log = readFileSync(logFile, 'utf8').replaceAll(/\u001B\[[\d;]*m/gv, '');
const known = new Set(existsSync(knownFile)
	? [...readFileSync(knownFile, 'utf8').matchAll(/^test: (?<title>.+)$/gmv)].map(match => match.groups.title.trim())
	: []);

function sumCounts(pattern) {
	return [...log.matchAll(pattern)].reduce((sum, match) => sum + Number(match.groups.count), 0);
}

const passed = sumCounts(/^ *(?<count>\d+) tests? passed/gmv);
const failed = sumCounts(/^ *(?<count>\d+) tests? failed/gmv);
// AVA marks a failed test with "✘ [fail]: TITLE" and a test that exceeds the time limit with "◌ TITLE".
const titles = new Set([...log.matchAll(/^ *(?:✘ \[fail\]:|◌) (?<title>.+)$/gmv)].map(match => stripDetail(match.groups.title)));
const red = [...titles].filter(title => known.has(title));
const unknown = [...titles].filter(title => !known.has(title));
const cutOff = sumCounts(/^ *(?<count>\d+) tests? remained pending/gmv);

// Every failure must be explained by a listed test; a crash, lint error or build error is not.
const hasOtherFault = /^ *✘ (?!\[fail\]:|Timed out while running tests)/mv.test(log) || /uncaught exceptions?|unhandled rejections?/v.test(log);
const isExplained = red.length > 0 && unknown.length === 0 && red.length === failed + cutOff && !hasOtherFault;

for (const title of red) {
	console.log(`known red, failed: ${title}`);
}

for (const title of unknown) {
	console.log(`FAILED: ${title}`);
}

const isStepPassed = Number(exitCode) === 0 || isExplained;
console.log(`${passed + (isStepPassed ? 1 : 0)} ${isStepPassed ? 0 : Math.max(1, unknown.length, failed + cutOff - red.length)}`);

/** Removes the duration and the first line of the error from the title of a test. */
function stripDetail(title) {
	for (const name of known) {
		if (title === name || title.startsWith(`${name} (`) || title.startsWith(`${name} Error`)) {
			return name;
		}
	}

	return title.trim();
}
