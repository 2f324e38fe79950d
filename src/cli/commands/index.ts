/**
 * The commands of `endivemill`, in the order of the help text.
 */
import {type AddCommand} from '../cli-host.js';
import {addApplyCommand} from './apply.js';
import {addCoordinatorCommand} from './coordinator.js';
import {addDemoCommand} from './demo.js';
import {addDevCommand} from './dev.js';
import {addDiffCommand} from './diff.js';
import {addDrainCommand} from './drain.js';
import {addHistoryCommand} from './history.js';
import {addJobsCommand} from './jobs.js';
import {addRollbackCommand} from './rollback.js';
import {addSchemaCommand} from './schema.js';
import {addShowCommand} from './show.js';
import {addStatusCommand} from './status.js';
import {addSubmitCommand} from './submit.js';
import {addTimelineCommand} from './timeline.js';
import {addValidateCommand} from './validate.js';

/** Functions that add the commands. */
export const commands: readonly AddCommand[] = [
	addValidateCommand,
	addDiffCommand,
	addApplyCommand,
	addHistoryCommand,
	addShowCommand,
	addRollbackCommand,
	addSchemaCommand,
	addStatusCommand,
	addTimelineCommand,
	addSubmitCommand,
	addJobsCommand,
	addCoordinatorCommand,
	addDrainCommand,
	addDevCommand,
	addDemoCommand,
];
