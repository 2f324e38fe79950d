/**
 * Formats the timeline as text and in the Trace Event Format, which the viewers of browsers and Perfetto open.
 */
import {type TimelineEvent} from './timeline-collector.js';

/** One entry of the Trace Event Format, with the field names of that format. */
export type TraceEvent = {
	readonly name: string;
	readonly cat: string;
	readonly ph: 'b' | 'e' | 'i' | 'M';
	/** Microseconds. */
	readonly ts: number;
	readonly pid: number;
	readonly tid: number;
	readonly id?: string;
	readonly s?: 'p';
	readonly args: Readonly<Record<string, string>>;
};

const microsecondsPerMillisecond = 1000;
const spanPhases: Readonly<Record<string, {readonly name: string; readonly phase: 'b' | 'e'}>> = {
	'job-accepted': {name: 'job', phase: 'b'},
	'job-ended': {name: 'job', phase: 'e'},
	'task-started': {name: 'task', phase: 'b'},
	'task-ended': {name: 'task', phase: 'e'},
};

/**
 * Formats events as text, one a line.
 * @param events - Events in order.
 */
export function formatTimeline(events: readonly TimelineEvent[]): string {
	return events.map(({time, process, kind, subject, detail}) =>
		`${new Date(time).toISOString()} ${process.padEnd(18)} ${kind.padEnd(20)} ${subject}${detail === '' ? '' : ` (${detail})`}`).join('\n');
}

/**
 * Formats events in the Trace Event Format.
 * @param events - Events in order.
 */
export function formatTrace(events: readonly TimelineEvent[]): {readonly traceEvents: readonly TraceEvent[]} {
	const processes = [...new Set(events.map(({process}) => process))];
	const processNames = processes.map((process, index): TraceEvent => ({
		name: 'process_name', cat: '', ph: 'M', ts: 0, pid: index, tid: 0, args: {name: process},
	}));
	return {traceEvents: [...processNames, ...events.map(event => createTraceEvent(event, processes.indexOf(event.process)))]};
}

function createTraceEvent({kind, time, subject, detail}: TimelineEvent, pid: number): TraceEvent {
	const span = spanPhases[kind];
	const commonFields = {
		cat: kind.split('-', 1)[0]!, ts: time * microsecondsPerMillisecond, pid, tid: 0, args: {subject, detail},
	};
	if (span === undefined) {
		return {
			...commonFields, name: kind, ph: 'i', s: 'p',
		};
	}

	const task = /^task \d+/v.exec(detail)?.[0] ?? '';
	return {
		...commonFields, name: span.name, ph: span.phase, id: `${subject} ${task}`.trimEnd(),
	};
}
