/**
 * Groups a job's tasks by the set of upstreams that they can run on.
 */
import {type ScheduledTask} from '../task-scheduler.js';
import {type TaskGroup, type QueuedJob, type QueuedTask} from './queued-job.js';

/** A task group that is not queued yet, with its tasks. */
export type NewTaskGroup = {
	readonly group: TaskGroup;
	readonly tasks: QueuedTask[];
};

/**
 * Groups the tasks of a new job by the set of upstreams that they can run on.
 * @param job - Job whose tasks are grouped.
 * @param getShape - Gets the key of the set of upstreams that satisfy a task's needs.
 */
export function groupTasksByShape(job: QueuedJob, getShape: (needs: ScheduledTask['needs']) => string): readonly NewTaskGroup[] {
	const byShape = new Map<string, NewTaskGroup>();
	for (const task of job.source.tasks) {
		const shape = getShape(task.needs);
		const {group, tasks} = byShape.get(shape) ?? addGroup(byShape, job, shape);
		tasks.push({
			task, job, group, attempts: 0, triedUpstreams: [],
		});
	}

	return [...byShape.values()];
}

function addGroup(byShape: Map<string, NewTaskGroup>, job: QueuedJob, shape: string): NewTaskGroup {
	const group: TaskGroup = {
		job, shape, ready: [], heap: undefined, heapIndex: -1, rank: 0, sequence: job.sequence,
	};
	const added: NewTaskGroup = {group, tasks: []};
	byShape.set(shape, added);
	return added;
}
