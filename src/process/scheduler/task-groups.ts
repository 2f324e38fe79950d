/**
 * Division of a job's tasks into parts that fit the same upstreams.
 */
import {type ScheduledTask} from '../task-scheduler.js';
import {type TaskGroup, type QueuedJob, type QueuedTask} from './queued-job.js';

/** Tasks of one part of a job that is not queued yet. */
export type NewTaskGroup = {
	readonly group: TaskGroup;
	readonly tasks: QueuedTask[];
};

/**
 * Divides the tasks of a new job by the upstreams that they fit.
 * @param job - Job to divide.
 * @param getShape - Names the set of upstreams that a task fits.
 */
export function groupTasksByShape(job: QueuedJob, getShape: (needs: ScheduledTask['needs']) => string): readonly NewTaskGroup[] {
	const byShape = new Map<string, NewTaskGroup>();
	for (const task of job.source.tasks) {
		const shape = getShape(task.needs);
		const {group: part, tasks} = byShape.get(shape) ?? addPart(byShape, job, shape);
		tasks.push({
			task, job, group: part, attempts: 0, triedUpstreams: [],
		});
	}

	return [...byShape.values()];
}

function addPart(byShape: Map<string, NewTaskGroup>, job: QueuedJob, shape: string): NewTaskGroup {
	const part: TaskGroup = {
		job, shape, ready: [], heap: undefined, heapIndex: -1, rank: 0, sequence: job.sequence,
	};
	const added: NewTaskGroup = {group: part, tasks: []};
	byShape.set(shape, added);
	return added;
}
